//! Which callers of shed requests return instead of using the allowance of extra attempts.

use std::time::Instant;

use yuccarack_policy::shed_returns::can_return;

use super::call::RoutedCall;
use crate::{protocol::refusal::Refusal, state::routed::routing_state::RoutingState};

/// Returns whether callers of requests shed at random are asked to return early, which is so with
/// organisations or downloads.
pub fn uses_returns(routing: &RoutingState) -> bool {
    routing.current().is_some_and(|routing| routing.has_organisations_or_downloads())
}

impl RoutedCall {
    /// Returns whether the caller can return in time if it gets `refusal` at `now`.
    pub fn can_return(&self, now: Instant, refusal: &Refusal, routing: &RoutingState) -> bool {
        let Some(retry_after) = refusal.retry_after else { return false };
        let useful_until = self.soft_deadline.min(self.deadline.at());
        let time_left = useful_until.saturating_duration_since(now);
        uses_returns(routing) && can_return(time_left, retry_after)
    }
}
