//! Packs changes of the routing table once for all daemons that lack the same ones.

use std::{collections::HashMap, sync::Arc};

use parking_lot::Mutex;
use yuccarack_config::routing::RoutingVersion;

use super::{events::EventLog, log_lines::UpdateNotEncoded};
use crate::{
    protocol::{packed_changes::PackedChanges, peer_update::SMALL_CHANGES_MAX_BYTES},
    state::routed::routing_state::RoutingState,
};

/// Most routes in changes that are packed for daemons which accept only small ones; a packed route
/// takes at least about 20 bytes.
const SMALL_ROUTES_MAX: usize = 5_000;

/// Caches packed changes that lead to the table in force, by the version from which they start.
pub struct RoutingPacker {
    routing: RoutingState,
    events: EventLog,
    packed: Mutex<Packed>,
}

#[derive(Default)]
struct Packed {
    version: RoutingVersion,
    by_base: HashMap<RoutingVersion, Arc<PackedChanges>>,
}

impl RoutingPacker {
    /// Packs changes of the table in `routing`.
    pub fn new(routing: RoutingState, events: EventLog) -> Self {
        Self { routing, events, packed: Mutex::default() }
    }

    /// Returns what a daemon with the table of version `base` lacks; none if that isn't an older
    /// version whose changes are known.
    pub fn changes_since(&self, base: RoutingVersion) -> Option<Arc<PackedChanges>> {
        self.pack(base, usize::MAX)
    }

    /// Returns the same, but none if it takes more than [`SMALL_CHANGES_MAX_BYTES`].
    pub fn small_changes_since(&self, base: RoutingVersion) -> Option<Arc<PackedChanges>> {
        let changes = self.pack(base, SMALL_ROUTES_MAX)?;
        Some(changes).filter(|changes| changes.body.len() <= SMALL_CHANGES_MAX_BYTES)
    }

    /// Packs changes of up to `routes_max` routes.
    fn pack(&self, base: RoutingVersion, routes_max: usize) -> Option<Arc<PackedChanges>> {
        let mut packed = self.packed.lock();
        let version = self.routing.version();
        if packed.version != version {
            *packed = Packed { version, by_base: HashMap::new() };
        }
        if let Some(cached) = packed.by_base.get(&base) {
            return Some(Arc::clone(cached));
        }
        let changes =
            self.routing.changes_since(base).filter(|changes| changes.len() <= routes_max)?;
        match PackedChanges::new(&changes) {
            Ok(changes) => {
                let changes = Arc::new(changes);
                packed.by_base.insert(base, Arc::clone(&changes));
                Some(changes)
            }
            Err(error) => {
                self.events.write(|| UpdateNotEncoded { cause: error.to_string() });
                None
            }
        }
    }
}
