//! Measures the cost of the control plane and prints a JSON line.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use yuccarack_standins::measure::{MeasurePlan, run};

/// Cost of the control plane and propagation times, with real daemons and a stand-in platform
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Path of the daemon's program
    #[bpaf(long, argument("FILE"))]
    program: PathBuf,
    /// Number of daemons
    #[bpaf(long, argument("N"), fallback(12))]
    daemons: usize,
    /// Members of each service
    #[bpaf(long, argument("N"), fallback(11))]
    members: usize,
    /// Foreign services that each daemon calls
    #[bpaf(long, argument("N"), fallback(4))]
    calls_services: usize,
    /// All daemons call the first service only
    hot: bool,
    /// Length of each measured window, in s
    #[bpaf(long, argument("S"), fallback(30))]
    window_s: u64,
    /// Calls per second and daemon in the loaded window; 0 omits that window
    #[bpaf(long, argument("N"), fallback(0))]
    calls_per_s: u32,
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = options().run();
    let plan = MeasurePlan {
        program: options.program,
        daemons: options.daemons.max(1),
        members: options.members.max(1),
        calls_services: options.calls_services,
        is_hot: options.hot,
        window_s: options.window_s.max(1),
        calls_per_s: options.calls_per_s,
    };
    match run(plan).await {
        Ok(report) => {
            println!("{}", serde_json::to_string(&report).unwrap_or_default());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
