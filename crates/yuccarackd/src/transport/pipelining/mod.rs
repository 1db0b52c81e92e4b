//! HTTP/1.1 pipelining: concurrent processing of reads that a caller sends without waiting.
//!
//! A read is a GET or HEAD request without a body. An early read is one that is started while an
//! earlier request of its connection is still in progress.
//!
//! hyper's server processes one request of a connection at a time, and doesn't detect the end of a
//! connection while bytes of a further request are unread. Pipelined reads would run one after the
//! other, and those of a caller that has disconnected would run on. A [`PipelinedStream`] between
//! the socket and hyper therefore passes the bytes of one request at a time to hyper, reads ahead
//! while that request is in progress, starts the reads that follow it, and reports the end of the
//! connection to hyper immediately. Framing, response order and close remain with hyper.

mod early_calls;
mod framing;
mod pipeline;
mod stream;

pub use self::{
    early_calls::EarlyCalls,
    pipeline::{Pipeline, Turn},
    stream::PipelinedStream,
};
