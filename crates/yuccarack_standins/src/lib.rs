//! Stand-ins of the system's environment (platform, targets, network, callers) for tests, the demo
//! and measurements.

pub mod client;
pub mod echo;
pub mod fleet;
pub mod link_rate;
pub mod load;
pub mod measure;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod raw_server;
pub mod server;
pub mod target;
