//! Commands of `yuccarackctl`, the operators' tool for rules, daemons, claims and logs.

pub mod admin_client;
pub mod commands;
pub mod difference;
pub mod errors;
pub mod logs;
pub mod options;
pub mod report;

pub use commands::run;
pub use errors::{CtlError, ExitStatus};
pub use options::{Command, command};
pub use report::Report;
