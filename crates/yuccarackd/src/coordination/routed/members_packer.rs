//! Packs the full list of members once for all daemons that load it at the same time.

use std::sync::Arc;

use parking_lot::Mutex;

use crate::{
    protocol::packed_json::{PackError, pack},
    state::routed::members::Members,
};

/// Fewest members that are packed.
///
/// When a failure domain returns after a loss of power, a relay sends all members to ten daemons at
/// once. The rows of 1,000 members have some 200 kB, which would occupy a link of 20 Mbit/s for
/// nearly a second, and a tenth of that in packed form.
const MEMBERS_MIN: usize = 100;

/// Packed form of all members at one generation.
#[derive(Debug, Default)]
pub struct MembersPacker {
    packed: Mutex<Option<(u64, Arc<str>)>>,
}

impl MembersPacker {
    /// Returns all members in packed form; `None` if they are too few for that.
    ///
    /// # Errors
    ///
    /// Returns a [`PackError`] if they can't be packed.
    pub fn pack_all(&self, members: &Members) -> Result<Option<Arc<str>>, PackError> {
        let mut cached = self.packed.lock();
        // Read before the rows, which may be of a later generation but never of an earlier one.
        let generation = members.generation();
        if let Some((packed_generation, packed)) = cached.as_ref()
            && *packed_generation == generation
        {
            return Ok(Some(Arc::clone(packed)));
        }
        let rows = members.changed_after(0);
        if rows.len() < MEMBERS_MIN {
            return Ok(None);
        }
        let packed: Arc<str> = pack(&rows)?.into();
        *cached = Some((generation, Arc::clone(&packed)));
        Ok(Some(packed))
    }
}
