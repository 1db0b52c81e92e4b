//! Load management decisions: admission, queueing, rejection and the choice of a target or gate.
//!
//! The crate uses no network, clock or threads. Callers pass `now` and the random generator in, and
//! every type is driven by plain calls. Both the entry and the gate of a daemon use it.
//!
//! A daemon runs in one of two modes, and each mode has its own set of modules:
//!
//! - Calls by service, where the caller names the service. The entry chooses a target with
//!   [`choice`] and repeats requests by [`retry`] and [`hedge`]; the gate admits them by
//!   [`admission`] and isolates those that may crash targets by [`suspects`]. [`measuring`] and
//!   [`hidden_load`] limit and evaluate the probes of a target's load, and [`store_poll`] and
//!   [`exchange_interval`] limit the control traffic.
//! - Routed calls, where the host and path of the request lead to the service. The entry chooses a
//!   gate with [`placement`], divides a route over several services by [`split`], and limits what
//!   it sends by [`extra_attempts`], [`adaptive_throttle`], [`prior_wait`] and [`quota`]. The gate queues
//!   requests in [`work_queue`], which uses [`cold_rate`], [`rate_limit`] and
//!   [`slowdown`]; it ends their wait by [`return_margin`], tells callers of shed requests when to
//!   return by [`shed_returns`], paces its responses by [`link_pacing`], whose sizes entries learn by
//!   [`response_sizes`], checks its target by
//!   [`health_checks`] and counts crashes in [`crash_counts`]. [`relays`], [`change_polls`] and
//!   [`unreachable_members`] limit the control traffic and the list of members.
//!
//! Both modes use [`budget`].

pub mod adaptive_throttle;
pub mod admission;
pub mod budget;
pub mod change_polls;
pub mod choice;
pub mod cold_rate;
pub mod crash_counts;
pub mod exchange_interval;
pub mod extra_attempts;
pub mod health_checks;
pub mod hedge;
pub mod hidden_load;
pub mod link_pacing;
pub mod measuring;
pub mod placement;
pub mod prior_wait;
pub mod quota;
pub mod rate_limit;
pub mod relays;
pub mod response_sizes;
pub mod retry;
pub mod return_margin;
pub mod shed_returns;
pub mod slowdown;
pub mod split;
pub mod store_poll;
pub mod suspects;
pub mod unreachable_members;
pub mod work_queue;
