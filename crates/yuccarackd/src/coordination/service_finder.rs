//! Search for a service by requests to other daemons, used while the store is unavailable.

use std::{
    collections::{HashSet, VecDeque},
    net::SocketAddr,
};

use yuccarack_config::settings::DaemonSettings;

use crate::{
    coordination::gossip::{ExchangeOutcome, Gossip},
    state::directory::Directory,
};

/// Most daemons that are queried for one service.
const QUERIED_MAX: usize = 16;

/// Queries members of known services, the seed peers of the settings and the daemons they refer to,
/// until one knows `service`. Returns whether one did.
///
/// A daemon that starts while the store is unavailable would otherwise refuse all calls until the
/// store is available again, although any other daemon that knows the service can provide it.
pub async fn find_service(
    service: &str,
    settings: &DaemonSettings,
    directory: &Directory,
    gossip: &Gossip,
) -> bool {
    let mut candidates: VecDeque<SocketAddr> = known_addresses(service, directory).into();
    candidates.extend(&settings.seed_peers);
    let mut queried = HashSet::from([settings.control_address]);
    while let Some(address) = candidates.pop_front() {
        if queried.len() > QUERIED_MAX {
            return false;
        }
        if !queried.insert(address) {
            continue;
        }
        match gossip.exchange(service, address).await {
            Ok(ExchangeOutcome::Synced) if has_rules(service, directory) => return true,
            Ok(ExchangeOutcome::Synced) | Err(_) => {}
            Ok(ExchangeOutcome::Referred(peers)) => candidates.extend(peers),
        }
    }
    false
}

fn has_rules(service: &str, directory: &Directory) -> bool {
    directory.peek(service).is_some_and(|view| view.rules_revision > 0)
}

/// Returns the control addresses of known members, those of the service itself first.
fn known_addresses(service: &str, directory: &Directory) -> Vec<SocketAddr> {
    let mut views = directory.views();
    views.sort_by_key(|view| view.name != service);
    let members = views.iter().flat_map(|view| view.members.iter());
    members.map(|row| row.control_address).take(QUERIED_MAX).collect()
}
