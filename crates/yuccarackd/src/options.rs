//! Command-line options of the daemon.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Load balancer daemon beside one target.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, generate(options))]
pub enum Options {
    /// Serves until SIGTERM or SIGINT.
    Serve {
        /// File with the daemon's settings, in JSON.
        #[bpaf(long, argument("FILE"))]
        settings: PathBuf,
    },
    /// Serves calls that are routed by host and path until SIGTERM or SIGINT.
    Routed {
        /// File with the settings of a daemon for routed calls, in JSON.
        #[bpaf(long("routed-settings"), env("YUCCARACK_ROUTED_SETTINGS"), argument("FILE"))]
        routed_settings: PathBuf,
    },
    /// Checks a settings file of a daemon for routed calls and exits.
    CheckRouted {
        /// Checks the settings in FILE and starts nothing.
        #[bpaf(long, argument("FILE"))]
        check_routed: PathBuf,
    },
    /// Checks a settings file and exits.
    Check {
        /// Checks the settings in FILE and starts nothing.
        #[bpaf(long, argument("FILE"))]
        check: PathBuf,
    },
}
