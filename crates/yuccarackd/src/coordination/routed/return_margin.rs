//! Time by which gates refuse waiting requests before their deadline, as far as the deployment uses
//! it.

use std::time::Duration;

use yuccarack_policy::return_margin::RETURN_MARGIN;

use crate::state::routed::routing_state::RoutingState;

/// Returns the margin under the routing table in force; zero without organisations and downloads.
pub fn return_margin(routing: &RoutingState) -> Duration {
    let is_used = routing.current().is_some_and(|it| it.has_organisations_or_downloads());
    if is_used { RETURN_MARGIN } else { Duration::ZERO }
}
