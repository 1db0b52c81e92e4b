//! The command line; its doc comments are the help pages.
#![expect(missing_docs, reason = "a shared group of options must not get a help text twice")]

use std::{
    net::{AddrParseError, SocketAddr},
    path::PathBuf,
    time::Duration,
};

use bpaf::{Bpaf, Parser};
use thiserror::Error;
use yuccarack_config::ids::{IdempotencyKey, InstanceId, Revision, ServiceName};

/// Environment variable that names a daemon.
const DAEMON_VARIABLE: &str = "YUCCARACK_DAEMON";

/// Exit codes, told below every help page.
const EXIT_CODES: &str = "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 file refused, \
    4 conflict, 5 platform away, 6 daemon unreachable, 7 outcome unknown.";

/// Options of every command.
#[derive(Bpaf, Clone, Debug, PartialEq, Eq)]
pub struct Common {
    /// Print JSON for scripts
    pub json: bool,
    /// Address of the platform's table and object store
    #[bpaf(long, env("YUCCARACK_PLATFORM"), argument("ADDR"), optional)]
    pub platform: Option<SocketAddr>,
    #[bpaf(external(daemons))]
    pub daemons: Vec<SocketAddr>,
    /// Longest time for the whole command, in ms
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

/// A list of options has no environment variable of its own in the library.
fn daemons_or_environment(
    daemons: Vec<SocketAddr>,
) -> Result<Vec<SocketAddr>, DaemonVariableError> {
    match std::env::var(DAEMON_VARIABLE) {
        Ok(address) if daemons.is_empty() => Ok(vec![address.parse()?]),
        _ => Ok(daemons),
    }
}

/// The environment names a daemon by something else than an address.
#[derive(Debug, Error)]
#[error("environment variable {DAEMON_VARIABLE}: {0}")]
struct DaemonVariableError(#[from] AddrParseError);

/// Commands of the operators of yuccarack
#[derive(Bpaf, Clone, Debug, PartialEq, Eq)]
#[bpaf(options, version, footer(EXIT_CODES))]
pub enum Command {
    /// Check a rules file or a routing file, whole, without applying it
    #[bpaf(command)]
    Check {
        #[bpaf(external)]
        common: Common,
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Apply a rules file, as a whole or not at all
    ///
    /// The file counts only if none of its services changed after its `based_on`; a file without
    /// one is based on nothing, so each of its services must be new. `show` prints a file to start
    /// from. Running the same command again is safe at any time.
    #[bpaf(command)]
    Apply {
        #[bpaf(external)]
        common: Common,
        /// Who applies, for the history
        #[bpaf(long, env("USER"), argument("NAME"), fallback("unknown".to_owned()))]
        operator: String,
        /// Name of this attempt, to find out its fate; without it, a hash of the file
        #[bpaf(long, argument("ID"), optional)]
        apply_id: Option<String>,
        /// Wait until the daemons given have the rules in force
        wait: bool,
        /// The rules file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show what applying a rules file would change
    #[bpaf(command)]
    Diff {
        #[bpaf(external)]
        common: Common,
        /// The rules file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the accepted rules as a file, ready to edit and apply
    #[bpaf(command)]
    Show {
        #[bpaf(external)]
        common: Common,
        /// Print the file that was applied under this id instead, based on the rules of now
        #[bpaf(long, argument("ID"), optional)]
        applied: Option<String>,
        /// Services to print; all without one
        #[bpaf(positional("SERVICE"))]
        services: Vec<ServiceName>,
    },
    /// List the files that were applied, the newest first
    #[bpaf(command)]
    History {
        #[bpaf(external)]
        common: Common,
        /// Most files to list
        #[bpaf(long, argument("N"), fallback(20), display_fallback)]
        limit: usize,
        /// Days to look back at most
        #[bpaf(long, argument("N"), fallback(30), display_fallback)]
        days: u32,
    },
    /// Show what daemons say of themselves
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        common: Common,
        #[bpaf(external)]
        members: Members,
    },
    /// List the targets that daemons know
    #[bpaf(command)]
    Targets {
        #[bpaf(external)]
        common: Common,
        #[bpaf(external)]
        members: Members,
    },
    /// Show the counters of daemons
    #[bpaf(command)]
    Counters {
        #[bpaf(external)]
        common: Common,
        #[bpaf(external)]
        members: Members,
        /// Only counters whose names start so
        #[bpaf(long, argument("TEXT"), fallback(String::new()))]
        prefix: String,
    },
    /// Show or release the claims of requests that must not repeat
    #[bpaf(command)]
    Claim {
        #[bpaf(external)]
        claim_command: ClaimCommand,
    },
    /// Tell what became of one request, and why
    ///
    /// With --logs, from the lines of daemons on the users' platform, whose clocks may differ;
    /// without, from what daemons remember of it.
    #[bpaf(command)]
    Explain {
        #[bpaf(external)]
        common: Common,
        #[bpaf(external)]
        members: Members,
        /// A log of a daemon, plain or packed by gzip, may be given several times
        #[bpaf(long, argument("FILE"))]
        logs: Vec<PathBuf>,
        /// The request's id, as its answer's yuccarack-request-id says
        #[bpaf(positional("REQUEST"))]
        request: String,
    },
    /// Count refused, failed and slow calls by cause over time
    #[bpaf(command)]
    Report {
        #[bpaf(external)]
        common: Common,
        /// A log of a daemon, plain or packed by gzip, may be given several times
        #[bpaf(long, argument("FILE"), some("name at least one log with --logs FILE"))]
        logs: Vec<PathBuf>,
        /// Length of a piece of time, in s; doubled where there would be more than 2,000
        #[bpaf(long, argument("S"), fallback(10), display_fallback)]
        bucket_s: u32,
        /// Answered calls that took longer count as slow, in ms
        #[bpaf(long, argument("MS"), fallback(1_000), display_fallback)]
        slow_ms: u64,
        /// Draw the same to this file, as SVG
        #[bpaf(long, argument("FILE"), optional)]
        svg: Option<PathBuf>,
    },
}

/// Daemons found in the table.
#[derive(Bpaf, Clone, Debug, PartialEq, Eq)]
pub struct Members {
    /// Ask the daemons of all targets of this service too, as the table names them
    #[bpaf(long, argument("SERVICE"), optional)]
    pub members_of: Option<ServiceName>,
}

/// Commands about claims.
#[derive(Bpaf, Clone, Debug, PartialEq, Eq)]
pub enum ClaimCommand {
    /// List the claims of a service
    #[bpaf(command)]
    List {
        #[bpaf(external)]
        common: Common,
        /// Only claims whose outcome is open
        open: bool,
        /// Only claims that this instance's gate holds
        #[bpaf(long, argument("INSTANCE"), optional)]
        instance: Option<InstanceId>,
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: ServiceName,
    },
    /// Show the claim of a key
    #[bpaf(command)]
    Show {
        #[bpaf(external)]
        common: Common,
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: ServiceName,
        /// The idempotency key
        #[bpaf(positional("KEY"))]
        key: IdempotencyKey,
    },
    /// Release an open claim, so that the request may run again
    ///
    /// Only after it is known, from the target's own records, that the request did not run, and that
    /// the gate which holds the claim is gone or the request's deadline has passed.
    #[bpaf(command)]
    Release {
        #[bpaf(external)]
        common: Common,
        /// Say that the request did not run
        yes: bool,
        /// Release only if the claim's revision is still this one
        #[bpaf(long, argument("N"), optional)]
        revision: Option<Revision>,
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: ServiceName,
        /// The idempotency key
        #[bpaf(positional("KEY"))]
        key: IdempotencyKey,
    },
}

impl Common {
    /// Longest time for the whole command.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(u64::from(self.timeout_ms))
    }
}

impl Command {
    /// What every command takes.
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
