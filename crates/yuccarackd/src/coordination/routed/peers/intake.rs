//! Applies updates that other daemons send.

use std::{net::SocketAddr, sync::atomic::Ordering};

use thiserror::Error;
use yuccarack_config::routing_changes::ChangesError;

use super::Peers;
use crate::{
    coordination::routed::{
        log_lines::{
            EvacuationChanged, MemberChanged, PeerUpdateRejected, RoutingChangesRejected,
            RoutingInForce,
        },
        store_follower::whole_ms,
    },
    protocol::{
        packed_changes::PackedChanges,
        packed_json::PackError,
        peer_update::{PeerUpdate, VersionedMember},
    },
};

/// Why changes of the routing table were not applied.
#[derive(Debug, Error)]
enum ApplyChangesError {
    /// The changes can't be unpacked.
    #[error(transparent)]
    Unpack(#[from] PackError),
    /// The changes don't fit the table in force.
    #[error(transparent)]
    Mismatch(#[from] ChangesError),
}

impl Peers {
    /// Applies the update of the daemon whose gate is at `address`.
    pub(in crate::coordination::routed) fn apply_update(
        &self,
        address: SocketAddr,
        mut update: PeerUpdate,
    ) {
        let parts = &self.inner.parts;
        if let Err(error) = update.unpack_members() {
            parts.counters.add("peers.unreadable");
            let (peer, cause) = (address.to_string(), error.to_string());
            parts.events.write(|| PeerUpdateRejected { peer, cause });
            return;
        }
        let listed = update.complete_as_of();
        if let Some(changes) = &update.changes {
            self.apply_changes(address, changes);
        }
        if let Some(table) = update.routing {
            let version = table.version;
            let behind_ms = whole_ms(parts.routing.behind_for());
            if parts.routing.install_if_newer(table) {
                let from = address.to_string();
                parts.events.write(|| RoutingInForce { version, revision: None, from, behind_ms });
            }
        }
        for evacuation in update.evacuations {
            if parts.evacuations.merge(&evacuation) {
                parts.events.write(|| EvacuationChanged::new(evacuation, address.to_string()));
            }
        }
        for row in update.members {
            let VersionedMember { instance, revision, member } = row;
            let service = member.as_ref().and_then(|member| member.service.clone());
            if parts.members.merge(&instance, revision, member) {
                let (member, from) = (instance, "peer");
                parts.events.write(|| MemberChanged { member, service, revision, from });
            }
        }
        if let Some((revision, listed)) = listed {
            parts.members.drop_unlisted(revision, &listed);
            parts.sync_state.set_members_fully_read(revision);
            parts.members.mark_loaded();
        }
    }

    fn apply_changes(&self, address: SocketAddr, packed: &PackedChanges) {
        let parts = &self.inner.parts;
        let version = packed.version;
        if version <= parts.routing.version() {
            return;
        }
        let behind_ms = whole_ms(parts.routing.behind_for());
        let applied = packed.unpack().map_err(ApplyChangesError::from);
        match applied.and_then(|changes| Ok(parts.routing.apply(changes)?)) {
            Ok(false) => {}
            Ok(true) => {
                self.inner.needs_full_routing.store(false, Ordering::Relaxed);
                let from = address.to_string();
                parts.events.write(|| RoutingInForce { version, revision: None, from, behind_ms });
            }
            Err(error) => {
                if !matches!(error, ApplyChangesError::Mismatch(ChangesError::Base { .. })) {
                    self.inner.needs_full_routing.store(true, Ordering::Relaxed);
                }
                parts.counters.add("routing.changes_rejected");
                let (peer, cause) = (address.to_string(), error.to_string());
                parts.events.write(|| RoutingChangesRejected { peer, version, cause });
            }
        }
    }
}
