//! Calls that are routed by host and path: entry, gate, and what both are told.

pub mod catch_up;
pub mod control_door;
pub mod deadline;
pub mod entry;
pub mod events;
pub mod follow;
pub mod gate;
pub mod lines;
pub mod metrics_door;
pub mod peers;
pub mod publish;
pub mod relay_follower;
pub mod relay_lines;
pub mod routing_packer;
pub mod store_client;
pub mod sweeper;
