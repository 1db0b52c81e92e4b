//! Slots of the polls of all relays of the deployment.

use std::collections::BTreeMap;

use yuccarack_policy::{change_polls::PollSlot, relays::store_relays_of};

use super::StoreFollower;
use crate::state::routed::update_source::FollowedTable;

/// Polls that each relay keeps open.
const POLLS_PER_RELAY: usize = 2;

/// Returns the slot in which a poll of `table` by this daemon ends. Daemons that know the same members
/// compute different slots; a daemon that polls without being a relay shares that of another one.
pub(super) fn poll_slot(follower: &StoreFollower, table: FollowedTable) -> PollSlot {
    let members = follower.members.all();
    let mut domains: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for member in &members {
        domains.entry(&member.failure_domain).or_default().push(&member.instance);
    }
    let relays: Vec<&str> = domains.into_values().flat_map(store_relays_of).collect();
    let own = relays.iter().position(|relay| *relay == follower.instance).unwrap_or(0);
    let of_table = match table {
        FollowedTable::Routing => 0,
        FollowedTable::Members => 1,
    };
    let as_u32 = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
    let count = relays.len().max(1) * POLLS_PER_RELAY;
    PollSlot::new(as_u32(own * POLLS_PER_RELAY + of_table), as_u32(count))
}
