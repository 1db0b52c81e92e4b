//! Selects the daemons that can be queried for updates.

use std::{collections::HashMap, net::SocketAddr};

use yuccarack_policy::relays::{relays_of, store_relays_of};

use super::Peers;

impl Peers {
    /// Returns the gates of all known members, or of known senders while there are no members.
    pub(super) fn all_addresses(&self) -> Vec<SocketAddr> {
        let members = self.inner.parts.members.all();
        if members.is_empty() {
            return self.inner.senders.lock().clone();
        }
        members.iter().map(|member| member.gate_address).collect()
    }

    /// Returns the gates of the relays of all failure domains.
    pub(super) fn relays(&self) -> Vec<SocketAddr> {
        self.chosen_members(|domain| relays_of(domain))
    }

    /// Returns the gates of the relays of all failure domains that poll the store.
    pub(super) fn store_relays(&self) -> Vec<SocketAddr> {
        self.chosen_members(|domain| store_relays_of(domain))
    }

    /// Returns the gates of the members that `choose` returns for each failure domain.
    fn chosen_members(&self, choose: for<'a> fn(Vec<&'a str>) -> Vec<&'a str>) -> Vec<SocketAddr> {
        let members = self.inner.parts.members.all();
        let mut domains: HashMap<&str, HashMap<&str, SocketAddr>> = HashMap::new();
        for member in &members {
            let gates = domains.entry(member.failure_domain.as_str()).or_default();
            gates.insert(member.instance.as_str(), member.gate_address);
        }
        let relay_addresses = |gates: HashMap<&str, SocketAddr>| -> Vec<SocketAddr> {
            let relays = choose(gates.keys().copied().collect());
            relays.iter().filter_map(|relay| gates.get(relay).copied()).collect()
        };
        domains.into_values().flat_map(relay_addresses).collect()
    }

    /// Returns `candidates` without this daemon.
    pub(super) fn without_self(&self, mut candidates: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let own_address = self.inner.parts.own_address;
        candidates.retain(|address| *address != own_address);
        candidates
    }
}
