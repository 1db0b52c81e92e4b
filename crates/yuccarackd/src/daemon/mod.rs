//! Start and graceful stop of a daemon.

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

/// Longest wait for background tasks once calls have ended or were cut off: outcomes of claims that
/// are still to be written, and connections that are closing.
const BACKGROUND_STOP_MAX: Duration = Duration::from_secs(10);

/// Running daemon for calls that name their service, as opposed to routed calls, which
/// [`RoutedDaemon`](routed::RoutedDaemon) serves.
pub struct Daemon {
    assembly: Assembly,
    control: ControlPlane,
    gate: Arc<Gate>,
}

impl Daemon {
    /// Starts all components.
    ///
    /// # Errors
    ///
    /// [`DaemonError`] if a listener or socket can't be opened.
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

    /// Returns a JSON line with the addresses that are served, for the parent process.
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
    /// Peers are notified first. Until they know, the gate refuses requests and confirms that they
    /// did not run, so that entries send them elsewhere. Responses ask callers to close their
    /// connections while the entry still accepts calls: a caller that sends its next call on a
    /// connection that is being closed could not tell whether it ran.
    ///
    /// # Errors
    ///
    /// [`DaemonError::DrainTimeout`] if calls had to be cut off.
    pub async fn stop(self) -> Result<(), DaemonError> {
        let Assembly { settings, logger, upstream, tasks, stops, .. } = self.assembly;
        info!(logger, "stopping"; "in_flight" => self.gate.running_count());
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
        // Waits even if calls were cut off, because outcomes of claims that have ended may still
        // have to be written.
        let background_ended =
            join_until(&tasks.background, Instant::now() + BACKGROUND_STOP_MAX).await;
        if !(calls_ended && gate_ended && background_ended) {
            warn!(logger, "stop timed out; remaining tasks and calls were cut off");
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

/// Binds `address` and stores the port that the kernel assigned in it.
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
