//! State of this daemon: what it knows of services, targets, peers and the store.

pub mod byte_budget;
pub mod call_log;
pub mod counters;
pub mod directory;
pub mod explain;
pub mod own_target;
pub mod reachability;
pub mod routed;
mod service_entry;
pub mod store_health;

pub use service_entry::is_newer;
