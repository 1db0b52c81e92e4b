//! Tasks and services of the daemon: entry, gate, membership, rules, claims and suspects.

pub mod claims;
pub mod control_handler;
mod control_parts;
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
pub mod rules_sync;
pub mod service_finder;
pub mod suspects;
pub mod table;
