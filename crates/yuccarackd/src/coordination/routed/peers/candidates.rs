//! Which other daemons can be asked for news.

use std::{collections::HashMap, net::SocketAddr};

use yuccarack_policy::relays::relays_of;

use super::Peers;

impl Peers {
    /// All daemons that are known.
    pub(super) fn anybody(&self) -> Vec<SocketAddr> {
        let members = self.inner.parts.members.all();
        if members.is_empty() {
            return self.inner.senders.lock().clone();
        }
        members.iter().map(|member| member.gate_address).collect()
    }

    /// The daemons that ask the store, of all failure domains.
    pub(super) fn relays(&self) -> Vec<SocketAddr> {
        let members = self.inner.parts.members.all();
        let mut domains: HashMap<&str, HashMap<&str, SocketAddr>> = HashMap::new();
        for member in &members {
            let of_domain = domains.entry(member.failure_domain.as_str()).or_default();
            of_domain.insert(member.instance.as_str(), member.gate_address);
        }
        let of_domain = |of_domain: HashMap<&str, SocketAddr>| -> Vec<SocketAddr> {
            let relays = relays_of(of_domain.keys().copied());
            relays.iter().filter_map(|relay| of_domain.get(relay).copied()).collect()
        };
        domains.into_values().flat_map(of_domain).collect()
    }

    /// `candidates` without this daemon.
    pub(super) fn others(&self, mut candidates: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let own_address = self.inner.parts.own_address;
        candidates.retain(|address| *address != own_address);
        candidates
    }
}
