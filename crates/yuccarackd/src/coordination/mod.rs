//! Components of the daemon: entry, gate, membership, rules, claims and suspects.
//!
//! `routed` contains the components for calls that are routed by host and path.

pub mod claims;
mod control_components;
pub mod control_handler;
pub mod control_plane;
pub mod entry;
mod foreign_schedule;
pub mod gate;
pub mod gossip;
pub mod jitter;
pub mod load_prober;
pub mod member_remover;
pub mod membership;
pub mod reconciler;
pub mod routed;
pub mod service_finder;
pub mod suspects;
pub mod table;
pub mod table_sync;
