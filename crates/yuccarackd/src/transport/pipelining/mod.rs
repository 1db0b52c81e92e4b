//! Requests that a caller sends on a connection before its earlier ones are answered.
//!
//! hyper's server hands over one request of a connection at a time, and while bytes of a further one
//! are unread it doesn't look whether the connection has ended. Failure: reads sent behind each other
//! wait for each other's whole run, and the runs of a caller that has left go on. So a
//! [`PipelinedStream`] stands between the socket and hyper. It gives hyper the bytes of one request
//! at a time, goes on reading while that one is answered, starts reads that follow, and tells hyper
//! at once that the connection has ended. Framing, order and close stay hyper's.

mod early_calls;
mod framing;
mod pipeline;
mod stream;

pub use self::{
    early_calls::EarlyCalls,
    pipeline::{Pipeline, Turn},
    stream::PipelinedStream,
};
