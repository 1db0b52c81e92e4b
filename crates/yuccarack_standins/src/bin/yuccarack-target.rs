//! Runs a target stand-in until it gets SIGTERM or SIGINT, or crashes.

use std::{io, net::SocketAddr, path::PathBuf, time::Duration};

use bpaf::Bpaf;
use yuccarack_standins::{
    process::{ReadyLine, print_ready_line, wait_for_shutdown},
    target::{CrashMode, RunLog, Target, TargetOptions},
};

/// Time without a request after which a draining target exits.
const QUIET_BEFORE_END: Duration = Duration::from_secs(1);

/// Stand-in of a target: echoes each request after its service time
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Service that it announces
    #[bpaf(long, argument("NAME"))]
    service: String,
    /// Name in the run log
    #[bpaf(long, argument("NAME"), fallback("target".to_owned()))]
    name: String,
    /// Address for calls, with port 0 for any
    #[bpaf(long, argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    listen: SocketAddr,
    /// Address for faults and the run log, with port 0 for any
    #[bpaf(long, argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    control: SocketAddr,
    /// Admin address of the daemon to announce itself to
    #[bpaf(long, argument("ADDRESS"), optional)]
    admin: Option<SocketAddr>,
    /// Address to announce in place of the one listened on
    #[bpaf(long, argument("ADDRESS"), optional)]
    announced: Option<SocketAddr>,
    /// Requests that run at once
    #[bpaf(long, argument("N"), fallback(10))]
    slots: u16,
    /// Connections taken at once
    #[bpaf(long, argument("N"), fallback(250))]
    connections_max: u16,
    /// Requests inside the target above which it sheds load
    #[bpaf(long, argument("N"), optional)]
    shed_above: Option<u16>,
    /// Service time, in ms
    #[bpaf(long, argument("MS"), fallback(1))]
    service_ms: u64,
    /// Share of requests with a longer service time, in percent
    #[bpaf(long, argument("N"), fallback(0))]
    tail_percent: u8,
    /// Mean additional service time of these, in ms
    #[bpaf(long, argument("MS"), fallback(0))]
    tail_ms: u64,
    /// Cold period after the start, in ms
    #[bpaf(long, argument("MS"), fallback(0))]
    cold_for_ms: u64,
    /// Additional service time during the cold period, in ms
    #[bpaf(long, argument("MS"), fallback(0))]
    cold_extra_ms: u64,
    /// Seed of the random service times
    #[bpaf(long, argument("N"), fallback(1))]
    seed: u64,
    /// Incarnation of the target
    #[bpaf(long, argument("N"), fallback(1))]
    boot_id: u64,
    /// File that a line is appended to for the start and the end of each run
    #[bpaf(long, argument("FILE"), optional)]
    record_file: Option<PathBuf>,
}

impl Options {
    fn target_options(&self) -> TargetOptions {
        TargetOptions {
            name: self.name.clone(),
            service: self.service.clone(),
            listen: self.listen,
            control_listen: self.control,
            admin: self.admin,
            announced: self.announced,
            slots: self.slots,
            connections_max: self.connections_max,
            shed_above: self.shed_above,
            service_ms: self.service_ms,
            tail_percent: self.tail_percent,
            tail_ms: self.tail_ms,
            cold_for_ms: self.cold_for_ms,
            cold_extra_ms: self.cold_extra_ms,
            seed: self.seed,
            boot_id: self.boot_id,
            ..TargetOptions::new(&self.name, &self.service)
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> io::Result<()> {
    let options = options().run();
    let run_log = match &options.record_file {
        Some(path) => RunLog::with_file(path)?,
        None => RunLog::default(),
    };
    let target = Target::start(options.target_options(), CrashMode::AbortProcess, run_log).await?;
    let control = Some(target.control_address());
    print_ready_line(&ReadyLine { listening: target.address(), control })?;
    wait_for_shutdown().await?;
    target.drain();
    target.wait_idle(QUIET_BEFORE_END).await;
    target.stop().await;
    Ok(())
}
