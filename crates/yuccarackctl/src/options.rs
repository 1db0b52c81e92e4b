//! Definition of the command line. The doc comments of commands and options are the help pages.
#![expect(
    missing_docs,
    reason = "a doc comment on a shared option group would repeat its help text"
)]

use std::{
    net::{AddrParseError, SocketAddr},
    path::PathBuf,
    time::Duration,
};

use bpaf::{Bpaf, Parser};
use thiserror::Error;
use yuccarack_config::ids::{IdempotencyKey, InstanceId, Revision, ServiceName};

/// Environment variable with the admin address of a daemon.
const DAEMON_VARIABLE: &str = "YUCCARACK_DAEMON";

/// Footer of the help page with the exit codes; the numbers are those of `ExitStatus`.
const EXIT_CODES: &str = "Exit codes: 0 success, 1 failure, 2 usage error, 3 invalid file, \
    4 conflict, 5 platform unavailable, 6 daemon unreachable, 7 outcome unknown.";

/// Common options:
#[derive(Bpaf, Clone, Debug, PartialEq, Eq)]
pub struct Common {
    /// Print the result as JSON
    pub json: bool,
    /// Address of the platform's table and object store
    #[bpaf(long, env("YUCCARACK_PLATFORM"), argument("ADDR"), optional)]
    pub platform: Option<SocketAddr>,
    #[bpaf(external(daemons))]
    pub daemons: Vec<SocketAddr>,
    /// Timeout of the whole command, in ms
    #[bpaf(long, argument("MS"), fallback(10_000), display_fallback)]
    pub timeout_ms: u32,
}

fn daemons() -> impl Parser<Vec<SocketAddr>> {
    bpaf::long("daemon")
        .help("Admin address of a daemon, may be given several times [env:YUCCARACK_DAEMON]")
        .argument::<SocketAddr>("ADDR")
        .many()
        .parse(daemons_or_environment)
}

/// Falls back to the environment variable, which the library supports for single options only.
fn daemons_or_environment(
    daemons: Vec<SocketAddr>,
) -> Result<Vec<SocketAddr>, DaemonVariableError> {
    match std::env::var(DAEMON_VARIABLE) {
        Ok(address) if daemons.is_empty() => Ok(vec![address.parse()?]),
        _ => Ok(daemons),
    }
}

/// The environment variable does not contain a socket address.
#[derive(Debug, Error)]
#[error("environment variable {DAEMON_VARIABLE} is not a valid address: {0}")]
struct DaemonVariableError(#[from] AddrParseError);

/// Manage the rules, daemons and claims of yuccarack
#[derive(Bpaf, Clone, Debug, PartialEq, Eq)]
#[bpaf(options, version, footer(EXIT_CODES))]
pub enum Command {
    /// Check a rules or routing file without applying it
    #[bpaf(command)]
    Check {
        #[bpaf(external)]
        common: Common,
        /// Rules or routing file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Apply a rules file atomically
    ///
    /// The file is accepted only if none of its services changed after its `based_on` revision. A
    /// file without `based_on` may contain new services only. Use `show` to print a file to start
    /// from. Repeating the same command is always safe.
    #[bpaf(command)]
    Apply {
        #[bpaf(external)]
        common: Common,
        /// Operator name recorded in the history
        #[bpaf(long, env("USER"), argument("NAME"), fallback("unknown".to_owned()))]
        operator: String,
        /// Id under which the outcome can be looked up; defaults to a hash of the file
        #[bpaf(long, argument("ID"), optional)]
        apply_id: Option<String>,
        /// Wait until the given daemons have the rules in force
        wait: bool,
        /// Rules file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show the changes that applying a rules file would make
    #[bpaf(command)]
    Diff {
        #[bpaf(external)]
        common: Common,
        /// Rules file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the accepted rules as a file that can be edited and applied
    #[bpaf(command)]
    Show {
        #[bpaf(external)]
        common: Common,
        /// Print the file applied under this id instead, based on the current revision
        #[bpaf(long, argument("ID"), optional)]
        applied: Option<String>,
        /// Services to print (default: all)
        #[bpaf(positional("SERVICE"))]
        services: Vec<ServiceName>,
    },
    /// List the applied rules files, newest first
    #[bpaf(command)]
    History {
        #[bpaf(external)]
        common: Common,
        /// Maximum number of files to list
        #[bpaf(long, argument("N"), fallback(20), display_fallback)]
        limit: usize,
        /// Number of days to look back
        #[bpaf(long, argument("N"), fallback(30), display_fallback)]
        days: u32,
    },
    /// Show the status of daemons
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        common: Common,
        #[bpaf(external)]
        daemon_selection: DaemonSelection,
    },
    /// List the targets known to daemons
    #[bpaf(command)]
    Targets {
        #[bpaf(external)]
        common: Common,
        #[bpaf(external)]
        daemon_selection: DaemonSelection,
    },
    /// Show the counters of daemons
    #[bpaf(command)]
    Counters {
        #[bpaf(external)]
        common: Common,
        #[bpaf(external)]
        daemon_selection: DaemonSelection,
        /// Show only counters whose names start with this prefix
        #[bpaf(long, argument("TEXT"), fallback(String::new()))]
        prefix: String,
    },
    /// Show or release the claims of non-repeatable requests
    #[bpaf(command)]
    Claim {
        #[bpaf(external)]
        claim_command: ClaimCommand,
    },
    /// Explain the outcome of a request
    ///
    /// With --logs, the outcome is derived from log files of daemons for routed calls, whose clocks
    /// may differ. Otherwise the daemons are queried for the steps they recorded.
    #[bpaf(command)]
    Explain {
        #[bpaf(external)]
        common: Common,
        #[bpaf(external)]
        daemon_selection: DaemonSelection,
        /// Log file of a daemon, plain or gzip, may be given several times
        #[bpaf(long, argument("FILE"))]
        logs: Vec<PathBuf>,
        /// Request id, from the yuccarack-request-id header of the response
        #[bpaf(positional("REQUEST"))]
        request: String,
    },
    /// Count refused, failed and slow calls by cause and time bucket
    #[bpaf(command)]
    Report {
        #[bpaf(external)]
        common: Common,
        /// Log file of a daemon, plain or gzip, may be given several times
        #[bpaf(long, argument("FILE"), some("name at least one log file with --logs FILE"))]
        logs: Vec<PathBuf>,
        /// Length of a time bucket, in s; doubled until there are at most 2,000 buckets
        #[bpaf(long, argument("S"), fallback(10), display_fallback)]
        bucket_s: u32,
        /// Duration above which an answered call counts as slow, in ms
        #[bpaf(long, argument("MS"), fallback(1_000), display_fallback)]
        slow_ms: u64,
        /// Also write the counts as an SVG chart to this file
        #[bpaf(long, argument("FILE"), optional)]
        svg: Option<PathBuf>,
    },
}

/// Daemon selection:
#[derive(Bpaf, Clone, Debug, PartialEq, Eq)]
pub struct DaemonSelection {
    /// Also query the daemons of all targets of this service, as listed in the platform's table
    #[bpaf(long, argument("SERVICE"), optional)]
    pub members_of: Option<ServiceName>,
}

/// Claim commands:
#[derive(Bpaf, Clone, Debug, PartialEq, Eq)]
pub enum ClaimCommand {
    /// List the claims of a service
    #[bpaf(command)]
    List {
        #[bpaf(external)]
        common: Common,
        /// List only open claims, whose outcome is not recorded
        open: bool,
        /// List only claims held by the gate of this instance
        #[bpaf(long, argument("INSTANCE"), optional)]
        instance: Option<InstanceId>,
        /// Service
        #[bpaf(positional("SERVICE"))]
        service: ServiceName,
    },
    /// Show the claim of a key
    #[bpaf(command)]
    Show {
        #[bpaf(external)]
        common: Common,
        /// Service
        #[bpaf(positional("SERVICE"))]
        service: ServiceName,
        /// Idempotency key
        #[bpaf(positional("KEY"))]
        key: IdempotencyKey,
    },
    /// Release an open claim so that the request can run again
    ///
    /// Release a claim only if the target's own records show that the request did not run, and if
    /// the gate that holds the claim has exited or the request's deadline has passed.
    #[bpaf(command)]
    Release {
        #[bpaf(external)]
        common: Common,
        /// Confirm that the request did not run
        yes: bool,
        /// Release the claim only if it is still at this revision
        #[bpaf(long, argument("N"), optional)]
        revision: Option<Revision>,
        /// Service
        #[bpaf(positional("SERVICE"))]
        service: ServiceName,
        /// Idempotency key
        #[bpaf(positional("KEY"))]
        key: IdempotencyKey,
    },
}

impl Common {
    /// Returns the timeout of the whole command.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(u64::from(self.timeout_ms))
    }
}

impl Command {
    /// Returns the common options of the command.
    pub fn common(&self) -> &Common {
        match self {
            Self::Check { common, .. }
            | Self::Apply { common, .. }
            | Self::Diff { common, .. }
            | Self::Show { common, .. }
            | Self::History { common, .. }
            | Self::Status { common, .. }
            | Self::Targets { common, .. }
            | Self::Counters { common, .. }
            | Self::Explain { common, .. }
            | Self::Report { common, .. } => common,
            Self::Claim { claim_command } => claim_command.common(),
        }
    }
}

impl ClaimCommand {
    fn common(&self) -> &Common {
        match self {
            Self::List { common, .. }
            | Self::Show { common, .. }
            | Self::Release { common, .. } => common,
        }
    }
}
