//! List of the relays of a failure domain, by which a daemon that starts finds them.
//!
//! One row of the members table holds the list of each failure domain. With it a daemon of a large
//! fleet gets the members from a relay instead of reading all of them from the store.

use std::net::SocketAddr;

use yuccarack_config::{
    ids::{DomainName, InstanceId},
    shared_data,
};
use yuccarack_policy::relays::{RelayRole, role_by_relays};

/// Prefix of the keys of these rows. It sorts before the names of instances, so the first page of the
/// table contains them.
const KEY_PREFIX: &str = "-relays.";

shared_data! {
    /// A relay and the address of its gate.
    pub struct RelayAddress {
        /// The instance.
        pub instance: InstanceId,
        /// Address of the instance's gate.
        pub gate_address: SocketAddr,
    }

    /// Relays of one failure domain by rank.
    #[derive(Default)]
    pub struct RelayList {
        /// The relays.
        pub relays: Vec<RelayAddress>,
    }
}

impl RelayList {
    /// Returns the role of `own` in a failure domain with these relays.
    pub fn role_of(&self, own: &str) -> RelayRole {
        let relays: Vec<&str> = self.relays.iter().map(|relay| relay.instance.as_str()).collect();
        role_by_relays(own, &relays)
    }

    /// Returns the gate address of a relay.
    pub fn gate_address(&self, instance: &str) -> Option<SocketAddr> {
        let relay = self.relays.iter().find(|relay| relay.instance == instance)?;
        Some(relay.gate_address)
    }
}

/// Returns the key of the list of `failure_domain`.
pub fn relay_list_key(failure_domain: &DomainName) -> String {
    format!("{KEY_PREFIX}{failure_domain}")
}

/// Returns the failure domain whose list has the key `key`; `None` if it is the key of a member.
pub fn domain_of_relay_list(key: &str) -> Option<&str> {
    key.strip_prefix(KEY_PREFIX)
}
