//! State of a daemon for routed calls: routing table, members, target and settings.

pub mod boot_clock;
pub mod evacuations;
pub mod live_settings;
pub mod members;
pub mod metrics;
pub mod recent_changes;
pub mod routing_state;
pub mod target;
pub mod transfers;
pub mod update_source;
