//! Errors of commands, with their exit codes and their JSON form for scripts.

use std::{net::SocketAddr, process::ExitCode};

use serde_json::{Value, json};
use thiserror::Error;
use yuccarack_config::{
    errors::FileError,
    ids::{InstanceId, Revision},
};
use yuccarack_platform::{PlatformError, accept::AcceptError, response_head::ResponseHeadError};

use crate::logs::{ChartError, LogError};

/// Exit codes of the tool. Scripts rely on the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Ok = 0,
    /// The command failed for a reason without a code of its own.
    Failed = 1,
    /// The command line is invalid, or a required option or confirmation is missing.
    Usage = 2,
    /// The file has faults or a `based_on` in the future; nothing was applied.
    InvalidFile = 3,
    /// The same data was changed in the meantime; nothing was written.
    Conflict = 4,
    /// The platform is unavailable; nothing was written.
    PlatformUnavailable = 5,
    /// A daemon is unreachable.
    DaemonUnreachable = 6,
    /// A write was sent, and whether it took effect is unknown.
    OutcomeUnknown = 7,
}

/// Error of a command.
#[derive(Debug, Error)]
pub enum CtlError {
    /// The rules or routing file can't be read or has faults.
    #[error("{0}")]
    File(#[from] FileError),
    /// A log file can't be read.
    #[error("{0}")]
    Log(#[from] LogError),
    /// The SVG chart can't be written.
    #[error("{0}")]
    Chart(#[from] ChartError),
    /// The file is based on a revision that the platform has not reached.
    #[error(
        "based_on: found {based_on}, accepted 0 to {revision}, the current revision of the platform"
    )]
    BasedOnFuture {
        /// Value of `based_on` in the file.
        based_on: Revision,
        /// Current revision of the platform.
        revision: Revision,
    },
    /// The file was not accepted, or whether it was accepted is unknown.
    #[error("{0}{hint}", hint = accept_hint(.0))]
    Accept(#[from] AcceptError),
    /// A request to the platform failed.
    #[error("request to the platform failed: {0}")]
    Platform(#[from] PlatformError),
    /// The release of the claim was sent, and no response arrived before the deadline.
    #[error(
        "no response to the release of the claim; whether it was released is unknown, check with \
         `yuccarackctl claim show`"
    )]
    ReleaseOutcomeUnknown,
    /// The claim is at another revision than expected.
    #[error(
        "nothing was released: the claim has changed and is now at revision {revision} (0: it no \
         longer exists)"
    )]
    ClaimChanged {
        /// Current revision of the claim; 0 if it no longer exists.
        revision: Revision,
    },
    /// The request has run and its outcome is recorded, so its claim can't be released.
    #[error("nothing was released: the request has run and its outcome is recorded in the claim")]
    ClaimDone,
    /// The operator did not confirm the release with `--yes`.
    #[error(
        "nothing was released. Make sure that the gate of instance {instance} has exited or that \
         the request's deadline has passed: a frozen gate may still dispatch the request. If the \
         target's records also show that the request did not run, confirm with --yes --revision \
         {revision}"
    )]
    NotConfirmed {
        /// Instance whose gate holds the claim.
        instance: InstanceId,
        /// Revision of the claim.
        revision: Revision,
    },
    /// The named object does not exist.
    #[error("{what} not found")]
    NotFound {
        /// Kind and name of the object, such as `service conditions`.
        what: String,
    },
    /// A daemon is unreachable or did not respond in time.
    #[error(
        "no response from daemon {address}; check that it runs and that this is its admin address"
    )]
    DaemonUnreachable {
        /// Admin address of the daemon.
        address: SocketAddr,
    },
    /// A daemon refused a request or sent an unexpected response.
    #[error("unexpected response from daemon {address}: status {status}: {body}")]
    DaemonRefused {
        /// Admin address of the daemon.
        address: SocketAddr,
        /// HTTP status of the response.
        status: u16,
        /// Start of the response body.
        body: String,
    },
    /// A daemon sent a response with a malformed head.
    #[error("malformed response from daemon {address}: {source}")]
    MalformedResponse {
        /// Admin address of the daemon.
        address: SocketAddr,
        /// What is malformed.
        source: ResponseHeadError,
    },
    /// The address responds, but not to a request that every daemon supports.
    #[error(
        "{address} is not the admin address of a daemon, or the daemon has an incompatible version"
    )]
    NotADaemon {
        /// Address that was queried.
        address: SocketAddr,
    },
    /// The rules were accepted, but some daemons did not report them in force before the deadline.
    #[error(
        "accepted at revision {revision}, but not yet reported in force by {}",
        join_addresses(.daemons)
    )]
    NotInForce {
        /// Revision of the rules.
        revision: Revision,
        /// Admin addresses of the daemons that have older rules in force or did not respond.
        daemons: Vec<SocketAddr>,
    },
    /// The command needs a platform address, and none was given.
    #[error("name the platform with --platform ADDR or YUCCARACK_PLATFORM")]
    NoPlatform,
    /// The command needs a daemon address, and none was given.
    #[error("name a daemon with --daemon ADDR, YUCCARACK_DAEMON or --members-of SERVICE")]
    NoDaemon,
}

impl CtlError {
    /// Returns the exit code of a command that failed with this error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::File(FileError::Invalid(_)) | Self::BasedOnFuture { .. } => {
                ExitStatus::InvalidFile
            }
            Self::File(FileError::Unreadable { .. }) => ExitStatus::Failed,
            Self::Accept(error) => accept_exit_status(error),
            Self::Platform(error) => platform_exit_status(error),
            Self::ReleaseOutcomeUnknown => ExitStatus::OutcomeUnknown,
            Self::ClaimChanged { .. } => ExitStatus::Conflict,
            Self::DaemonUnreachable { .. } => ExitStatus::DaemonUnreachable,
            Self::NotConfirmed { .. } | Self::NoPlatform | Self::NoDaemon => ExitStatus::Usage,
            Self::ClaimDone
            | Self::Log(_)
            | Self::Chart(_)
            | Self::NotFound { .. }
            | Self::DaemonRefused { .. }
            | Self::MalformedResponse { .. }
            | Self::NotADaemon { .. }
            | Self::NotInForce { .. } => ExitStatus::Failed,
        }
    }

    /// Returns the error as JSON for scripts: message, exit code and the values of the error.
    pub fn to_json(&self) -> Value {
        let mut json = json!({
            "error": self.to_string(),
            "exit_code": self.exit_status() as u8,
        });
        match self {
            Self::File(FileError::Invalid(faults)) => json["faults"] = json!(faults),
            Self::Accept(AcceptError::Conflict { based_on, services }) => {
                json["based_on"] = json!(based_on);
                json["services"] = json!(services);
            }
            Self::Accept(AcceptError::UnknownOutcome { apply_id, .. }) => {
                json["apply_id"] = json!(apply_id);
            }
            Self::NotInForce { revision, daemons } => {
                json["revision"] = json!(revision);
                json["daemons"] = json!(daemons);
            }
            Self::ClaimChanged { revision }
            | Self::NotConfirmed { revision, .. }
            | Self::BasedOnFuture { revision, .. } => {
                json["revision"] = json!(revision);
            }
            _ => {}
        }
        json
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

fn accept_exit_status(error: &AcceptError) -> ExitStatus {
    match error {
        AcceptError::Conflict { .. } | AcceptError::ApplyIdTaken { .. } => ExitStatus::Conflict,
        AcceptError::NotAccepted(error) => platform_exit_status(error),
        AcceptError::UnknownOutcome { .. } => ExitStatus::OutcomeUnknown,
    }
}

fn platform_exit_status(error: &PlatformError) -> ExitStatus {
    match error {
        PlatformError::Unreachable
        | PlatformError::UnknownOutcome
        | PlatformError::Stalled { .. }
        | PlatformError::TooLong => ExitStatus::PlatformUnavailable,
        PlatformError::Refused { status } if *status >= 500 => ExitStatus::PlatformUnavailable,
        PlatformError::Conflict { .. } => ExitStatus::Conflict,
        PlatformError::Refused { .. }
        | PlatformError::MalformedHead(_)
        | PlatformError::Malformed(_)
        | PlatformError::Unserializable(_) => ExitStatus::Failed,
    }
}

/// Returns the next steps for the operator, to be appended to the message.
fn accept_hint(error: &AcceptError) -> String {
    match error {
        AcceptError::Conflict { services, .. } => {
            let lines = services.iter().map(|conflict| {
                format!("\nservice {} is at revision {}", conflict.service, conflict.revision)
            });
            let lines: String = lines.collect();
            format!(
                "{lines}\nnothing was applied; compare with `yuccarackctl diff`, then set based_on"
            )
        }
        AcceptError::UnknownOutcome { apply_id, .. } => format!(
            "\nrun the same command again, which is safe and reports the outcome, or look for \
             {apply_id} in `yuccarackctl history`"
        ),
        AcceptError::ApplyIdTaken { .. } | AcceptError::NotAccepted(_) => String::new(),
    }
}

fn join_addresses(addresses: &[SocketAddr]) -> String {
    addresses.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(", ")
}
