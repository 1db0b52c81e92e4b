//! Network I/O: servers, clients, probes and the control channel.

pub mod admin_server;
pub mod call_server;
pub mod connection;
pub mod control_channel;
pub mod counted_stream;
pub mod discard_on_drop_body;
pub mod keep_alive;
pub mod load_probe;
pub mod pipelining;
pub mod tcp_probe;
pub mod upstream;
