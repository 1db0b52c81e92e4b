//! State of a daemon in routed mode: routing table, members, target and settings.
//!
//! In routed mode, requests are matched by host and path prefix against one routing table of the
//! whole fleet. In the other mode, requests name their service, which
//! has rules of its own; see [`super::directory`].

pub mod boot_clock;
pub mod departures;
pub mod evacuations;
pub mod known_relays;
pub mod live_settings;
pub mod members;
pub mod metrics;
pub mod recent_changes;
pub mod relay_lists;
pub mod routing_state;
pub mod store_clock;
pub mod store_warnings;
pub mod target;
pub mod transfers;
pub mod update_source;
