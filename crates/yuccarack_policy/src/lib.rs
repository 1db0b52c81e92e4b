//! Decisions under load: what is let in, what waits, what is turned away and where work goes.
//!
//! Nothing here touches a network, a clock or a thread: `now` and the random generator come in,
//! and every type is driven by plain calls. Both the entry and the gate of a daemon run this code.

pub mod adaptive_throttle;
pub mod admission;
pub mod budget;
pub mod choice;
pub mod cold_rate;
pub mod crash_counts;
pub mod exchange_interval;
pub mod extra_attempts;
pub mod health_checks;
pub mod hedge;
pub mod hidden_load;
pub mod measuring;
pub mod placement;
pub mod prior_wait;
pub mod relays;
pub mod retry;
pub mod slowdown;
pub mod split;
pub mod store_poll;
pub mod suspects;
pub mod unreachable_members;
pub mod work_queue;
