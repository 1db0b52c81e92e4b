//! Calls routed by host and path: entry, gate, and the updates that both work by.

pub mod catch_up;
pub mod control_server;
pub mod deadline;
pub mod departure_store;
pub mod entry;
pub mod events;
pub mod gate;
pub mod log_lines;
mod members_packer;
pub mod metrics_server;
pub mod peers;
pub mod quota;
pub mod registrar;
pub mod relay_follower;
pub mod relay_list_publisher;
pub mod relay_stream;
mod return_margin;
pub mod routing_packer;
pub mod row_publisher;
pub mod store_client;
pub mod store_follower;
pub mod sweeper;
