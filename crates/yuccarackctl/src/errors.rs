//! What can go wrong for an operator, and how a script learns of it.

use std::{net::SocketAddr, process::ExitCode};

use serde_json::{Value, json};
use thiserror::Error;
use yuccarack_config::{
    faults::FileError,
    ids::{InstanceId, Revision},
};
use yuccarack_platform::{PlatformError, accept::AcceptError};

use crate::logs::{ChartError, LogError};

/// Codes by which a command ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// It was done.
    Ok = 0,
    /// It failed.
    Failed = 1,
    /// It was asked for in a way that has no meaning.
    Usage = 2,
    /// The file has faults; nothing was applied.
    Refused = 3,
    /// Somebody changed the same thing before; nothing was applied.
    Conflict = 4,
    /// The platform is away; nothing was applied.
    PlatformAway = 5,
    /// A daemon can't be reached.
    DaemonUnreachable = 6,
    /// A write went out and its fate is unknown.
    OutcomeUnknown = 7,
}

/// Why a command did not do what was asked.
#[derive(Debug, Error)]
pub enum CtlError {
    /// The file can't be read or has faults.
    #[error("{0}")]
    File(#[from] FileError),
    /// A log can't be read.
    #[error("{0}")]
    Log(#[from] LogError),
    /// The chart can't be written.
    #[error("{0}")]
    Chart(#[from] ChartError),
    /// The file is based on a revision that the platform hasn't come to.
    #[error("based_on: found {based_on}, accepted 0 to {revision}, the platform's revision of now")]
    BasedOnFuture {
        /// The file's `based_on`.
        based_on: Revision,
        /// The platform's revision.
        revision: Revision,
    },
    /// The file was not accepted, or it isn't known.
    #[error("{0}{hint}", hint = accept_hint(.0))]
    Accept(#[from] AcceptError),
    /// The platform did not answer a question.
    #[error("platform: {0}")]
    Platform(#[from] PlatformError),
    /// The claim's release went out and no answer came.
    #[error("unknown whether the claim was released; run `yuccarackctl claim show` to find out")]
    ReleaseUnknown,
    /// The claim changed while it was looked at.
    #[error("the claim changed, it is at revision {revision} now (0: it is gone)")]
    ClaimChanged {
        /// Its revision now.
        revision: Revision,
    },
    /// The request has run, so its claim stays.
    #[error("the request has run and its outcome is recorded; its claim can't be released")]
    ClaimDone,
    /// A release was asked for without the operator's word.
    #[error(
        "nothing was released. Make sure that the gate of instance {instance} is gone, or that the \
         request's deadline has passed: a gate that is frozen may still hand it over. Once the \
         target's records show that the request did not run, say so with --yes --revision {revision}"
    )]
    NotConfirmed {
        /// Instance whose gate holds the claim.
        instance: InstanceId,
        /// The claim's revision.
        revision: Revision,
    },
    /// What was asked for isn't there.
    #[error("{what} is not known")]
    NotFound {
        /// What was asked for.
        what: String,
    },
    /// A daemon can't be reached or didn't answer in time.
    #[error("daemon {address} can't be reached")]
    DaemonUnreachable {
        /// Its admin address.
        address: SocketAddr,
    },
    /// A daemon answered with something else than what was asked for.
    #[error("daemon {address} answered with status {status}: {body}")]
    DaemonRefused {
        /// Its admin address.
        address: SocketAddr,
        /// Its HTTP status.
        status: u16,
        /// Its words.
        body: String,
    },
    /// What answers there doesn't know what every daemon knows.
    #[error("{address} is no daemon's admin address, or of another version")]
    NotADaemon {
        /// The address.
        address: SocketAddr,
    },
    /// The rules were accepted and are not everywhere in force yet.
    #[error("accepted at revision {revision}, not seen in force yet at {}", list(.daemons))]
    NotInForce {
        /// Revision of the rules.
        revision: Revision,
        /// Daemons that don't have it in force, or can't be asked.
        daemons: Vec<SocketAddr>,
    },
    /// No platform was named.
    #[error("name the platform with --platform ADDR or YUCCARACK_PLATFORM")]
    NoPlatform,
    /// No daemon was named.
    #[error("name a daemon with --daemon ADDR, YUCCARACK_DAEMON or --members-of SERVICE")]
    NoDaemon,
}

impl CtlError {
    /// The code by which the command ends.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::File(FileError::Invalid(_)) | Self::BasedOnFuture { .. } => ExitStatus::Refused,
            Self::File(FileError::Unreadable { .. }) => ExitStatus::Failed,
            Self::Accept(error) => accept_status(error),
            Self::Platform(error) => platform_status(error),
            Self::ReleaseUnknown => ExitStatus::OutcomeUnknown,
            Self::ClaimChanged { .. } => ExitStatus::Conflict,
            Self::DaemonUnreachable { .. } => ExitStatus::DaemonUnreachable,
            Self::NotConfirmed { .. } | Self::NoPlatform | Self::NoDaemon => ExitStatus::Usage,
            Self::ClaimDone
            | Self::Log(_)
            | Self::Chart(_)
            | Self::NotFound { .. }
            | Self::DaemonRefused { .. }
            | Self::NotADaemon { .. }
            | Self::NotInForce { .. } => ExitStatus::Failed,
        }
    }

    /// The same for scripts.
    pub fn to_json(&self) -> Value {
        let mut told = json!({
            "error": self.to_string(),
            "exit_code": self.exit_status() as u8,
        });
        match self {
            Self::File(FileError::Invalid(faults)) => told["faults"] = json!(faults),
            Self::Accept(AcceptError::Conflict { based_on, services }) => {
                told["based_on"] = json!(based_on);
                told["services"] = json!(services);
            }
            Self::Accept(AcceptError::UnknownOutcome { apply_id, .. }) => {
                told["apply_id"] = json!(apply_id);
            }
            Self::NotInForce { revision, daemons } => {
                told["revision"] = json!(revision);
                told["daemons"] = json!(daemons);
            }
            Self::ClaimChanged { revision }
            | Self::NotConfirmed { revision, .. }
            | Self::BasedOnFuture { revision, .. } => {
                told["revision"] = json!(revision);
            }
            _ => {}
        }
        told
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

fn accept_status(error: &AcceptError) -> ExitStatus {
    match error {
        AcceptError::Conflict { .. } | AcceptError::ApplyIdTaken { .. } => ExitStatus::Conflict,
        AcceptError::NotAccepted(error) => platform_status(error),
        AcceptError::UnknownOutcome { .. } => ExitStatus::OutcomeUnknown,
    }
}

fn platform_status(error: &PlatformError) -> ExitStatus {
    match error {
        PlatformError::Unreachable
        | PlatformError::UnknownOutcome
        | PlatformError::Stalled { .. } => ExitStatus::PlatformAway,
        PlatformError::Refused { status } if *status >= 500 => ExitStatus::PlatformAway,
        PlatformError::Conflict { .. } => ExitStatus::Conflict,
        PlatformError::Refused { .. }
        | PlatformError::Malformed(_)
        | PlatformError::Unserializable(_) => ExitStatus::Failed,
    }
}

/// What an operator does next.
fn accept_hint(error: &AcceptError) -> String {
    match error {
        AcceptError::Conflict { services, .. } => {
            let lines = services.iter().map(|conflict| {
                format!("\n{} is at revision {}", conflict.service, conflict.revision)
            });
            let lines: String = lines.collect();
            format!(
                "{lines}\nnothing was applied; compare with `yuccarackctl diff`, then set based_on"
            )
        }
        AcceptError::UnknownOutcome { apply_id, .. } => format!(
            "\nrun the same command again: it is safe, and tells; or look for {apply_id} in \
             `yuccarackctl history`"
        ),
        AcceptError::ApplyIdTaken { .. } | AcceptError::NotAccepted(_) => String::new(),
    }
}

fn list(addresses: &[SocketAddr]) -> String {
    addresses.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(", ")
}
