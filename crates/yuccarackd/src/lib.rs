//! Sidecar daemon of a target: entry for calls, gate of its target, member of its service.
//!
//! The layers depend only on those below them: `coordination` (use cases), `transport` (network
//! I/O), `state` (shared state), `protocol` (messages and headers). Load-dependent decisions are in
//! a separate crate, `yuccarack_policy`.

pub mod coordination;
pub mod daemon;
pub mod logging;
pub mod options;
pub mod protocol;
pub mod state;
pub mod stop_signal;
pub mod transport;
