//! Sidecar daemon of a target, an instance of a service.
//!
//! As the entry, it accepts calls and chooses an instance to send each of them to. As the gate, it
//! admits or refuses the requests that entries send to its own target.
//!
//! A daemon runs in one of two modes. [`daemon::Daemon`] serves calls that name their service, with
//! rules from the platform. [`daemon::routed::RoutedDaemon`] serves routed calls: a routing table
//! gives the service of each call.
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
