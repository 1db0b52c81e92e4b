//! One daemon: its parts, how they start, and how they stop without cutting off a call.

mod assembly;
mod errors;
mod lifetimes;
pub mod routed;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use slog::{Logger, info, warn};
use tokio::{
    net::TcpListener,
    time::{Instant, sleep, timeout_at},
};
use tokio_util::task::TaskTracker;
use yuccarack_config::settings::DaemonSettings;
use yuccarack_platform::PlatformClient;

pub use self::errors::DaemonError;
use self::{
    assembly::Assembly,
    lifetimes::{StopTokens, Tasks},
};
use crate::{
    coordination::{control_plane::ControlPlane, gate::Gate},
    state::{call_log::CallLog, counters::Counters, explain::Explainer},
    transport::upstream::Upstream,
};

/// Longest wait for what is left once calls have ended or were cut off: outcomes of claims that are
/// still to be written, and connections that close.
const BACKGROUND_STOP_MAX: Duration = Duration::from_secs(10);

/// A running daemon.
pub struct Daemon {
    assembly: Assembly,
    control: ControlPlane,
    gate: Arc<Gate>,
}

impl Daemon {
    /// Starts all parts.
    ///
    /// # Errors
    ///
    /// [`DaemonError`] when an address or a socket can't be had.
    pub async fn start(mut settings: DaemonSettings, logger: Logger) -> Result<Self, DaemonError> {
        let call_listener = listen(&mut settings.call_address).await?;
        let gate_listener = listen(&mut settings.gate_address).await?;
        let assembly = assemble(settings, logger)?;
        let call_log = CallLog::new();
        let explainer = Explainer::new(call_log.clone());
        let mut control = ControlPlane::start(
            Arc::clone(&assembly.settings),
            assembly.counters.clone(),
            assembly.logger.clone(),
            Arc::new(move |id| explainer.explain(id)),
        )
        .await?;
        let gate = assembly.start_gate(&mut control);
        let entry = assembly.new_entry(&control, Arc::clone(&gate), call_log);
        assembly.serve_calls(call_listener, entry);
        assembly.serve_daemons(gate_listener, Arc::clone(&gate));
        info!(assembly.logger, "serving";
            "calls" => %assembly.settings.call_address,
            "gate" => %assembly.settings.gate_address);
        Ok(Self { assembly, control, gate })
    }

    /// One JSON line with the addresses that are served, for whoever started this process.
    pub fn ready_line(&self) -> String {
        let settings = &self.assembly.settings;
        serde_json::json!({
            "instance": settings.instance,
            "call_address": settings.call_address,
            "gate_address": settings.gate_address,
            "admin_address": self.control.admin_address(),
            "control_address": self.control.control_address(),
        })
        .to_string()
    }

    /// Stops without cutting off a call.
    ///
    /// Peers are told first, and until they have heard of it the gate refuses with proof, so
    /// that entries go elsewhere. Callers are told to close their connections while the entry
    /// still takes calls, since a caller may send its next call on a connection that we are
    /// closing and could not tell whether it ran.
    ///
    /// # Errors
    ///
    /// [`DaemonError::DrainTimeout`] when calls were cut off at last.
    pub async fn stop(self) -> Result<(), DaemonError> {
        let Assembly { settings, logger, upstream, tasks, stops, .. } = self.assembly;
        info!(logger, "stopping"; "in_flight" => self.gate.in_flight());
        let budgets = &settings.budgets;
        let drain_by = Instant::now() + Duration::from_millis(budgets.drain_max_ms.into());
        stops.leaving.cancel();
        self.control.begin_drain();
        self.gate.drain();
        sleep(Duration::from_millis(budgets.drain_notice_ms.into())).await;
        stops.calls.cancel();
        let calls_ended = join_until(&tasks.calls, drain_by).await;
        stops.gate.cancel();
        let gate_ended = join_until(&tasks.gate, drain_by).await;
        upstream.close_idle();
        stops.background.cancel();
        self.control.stop().await?;
        // Also after a cut: the outcomes of claims that have ended are still to be written.
        let background_ended =
            join_until(&tasks.background, Instant::now() + BACKGROUND_STOP_MAX).await;
        if !(calls_ended && gate_ended && background_ended) {
            warn!(logger, "calls were cut off");
            return Err(DaemonError::DrainTimeout);
        }
        info!(logger, "stopped");
        Ok(())
    }
}

fn assemble(settings: DaemonSettings, logger: Logger) -> Result<Assembly, DaemonError> {
    let platform_timeout = Duration::from_millis(settings.budgets.platform_timeout_ms.into());
    let tasks = Tasks::default();
    Ok(Assembly {
        counters: new_counters(&settings)?,
        platform: PlatformClient::new(settings.platform_address, platform_timeout),
        upstream: Upstream::new(tasks.background.clone()),
        settings: Arc::new(settings),
        logger,
        tasks,
        stops: StopTokens::default(),
    })
}

/// Binds `address` and puts the port there that the kernel gave.
async fn listen(address: &mut SocketAddr) -> Result<TcpListener, DaemonError> {
    let requested = *address;
    let listen_error = |cause| DaemonError::Listen { address: requested, cause };
    let listener = TcpListener::bind(requested).await.map_err(listen_error)?;
    *address = listener.local_addr().map_err(listen_error)?;
    Ok(listener)
}

fn new_counters(settings: &DaemonSettings) -> Result<Counters, DaemonError> {
    match settings.statsd_address {
        None => Ok(Counters::new()),
        Some(address) => Counters::new().with_collector(address).map_err(DaemonError::Counters),
    }
}

async fn join_until(tasks: &TaskTracker, by: Instant) -> bool {
    tasks.close();
    timeout_at(by, tasks.wait()).await.is_ok()
}
