//! Start and graceful stop of a daemon for routed calls.

mod assembly;
mod sync;

use std::{path::Path, sync::Arc, time::Duration};

use slog::Logger;
use tokio::{
    net::TcpListener,
    time::{Instant, sleep},
};
use yuccarack_config::routed_settings::RoutedSettings;

use self::assembly::RoutedAssembly;
use super::{
    DaemonError, join_until,
    lifetimes::{StopTokens, Tasks},
    listen,
};
use crate::{
    coordination::routed::{
        events::EventLog,
        gate::Gate,
        log_lines::{
            RoutingInForce, Serving, SettingsNotReloaded, SettingsReloaded, Stopped,
            StoppedForcibly, Stopping,
        },
        row_publisher::RowPublisher,
    },
    state::{
        counters::Counters,
        routed::{
            evacuations::Evacuations, live_settings::LiveSettings, members::Members,
            metrics::Metrics, routing_state::RoutingState, target::RoutedTarget,
        },
    },
    transport::upstream::Upstream,
};

/// Time for which a stopping daemon keeps serving while it reports that it isn't ready. Callers of
/// the instance notice within two readiness checks, a second apart. Its target is reached through
/// this daemon only, so refusing other daemons earlier would only leave the target idle.
const READINESS_NOTICE: Duration = Duration::from_millis(2_300);

/// Time for which a stopping gate refuses requests before it closes its connections.
///
/// Other daemons learn only from its refusals that the gate is stopping. If it closed immediately,
/// its connections would be reset with unread requests on them, and callers would be told that
/// requests may have run: about thirty at each planned stop under load. Within this time each
/// daemon sends one more request, gets a refusal that confirms that it did not run, and uses
/// another gate. The time also suffices for a daemon that is starved of CPU time.
const GATE_NOTICE: Duration = Duration::from_millis(300);

/// Time before the deadline of a stop at which remaining calls are cut off, so that connections and
/// the log can be closed in order. That takes up to half a second on a tenth of a core.
const CLOSE_RESERVE: Duration = Duration::from_millis(800);

/// Part of the time for a stop that remains for the response to a call whose body arrives late.
///
/// A call whose body arrives later would reach its target and be cut off at the end of the stop, so
/// that its caller can't tell whether it ran. Cut off before its body is complete, it does not run.
const LATE_BODY_RESERVE_PART: u32 = 6;

/// Running daemon for routed calls, whose service the routing table gives.
pub struct RoutedDaemon {
    settings: LiveSettings,
    routing: RoutingState,
    events: EventLog,
    gate: Arc<Gate>,
    publisher: RowPublisher,
    upstream: Upstream,
    tasks: Tasks,
    stops: StopTokens,
}

/// Listeners of one daemon, bound before any component starts.
struct Listeners {
    calls: TcpListener,
    gate: TcpListener,
    /// Listener for the heartbeats of the target, on the `liveness_address` of the settings.
    liveness: TcpListener,
    readiness: TcpListener,
    metrics: TcpListener,
}

impl RoutedDaemon {
    /// Starts all components.
    ///
    /// # Errors
    ///
    /// [`DaemonError::Listen`] if an address can't be bound.
    pub async fn start(mut settings: RoutedSettings, logger: Logger) -> Result<Self, DaemonError> {
        let listeners = Listeners {
            calls: listen(&mut settings.call_address).await?,
            gate: listen(&mut settings.gate_address).await?,
            liveness: listen(&mut settings.liveness_address).await?,
            readiness: listen(&mut settings.readiness_address).await?,
            metrics: listen(&mut settings.metrics_address).await?,
        };
        let counters = Counters::new();
        let tasks = Tasks::default();
        let upstream = Upstream::new(tasks.background.clone());
        let (routing, members) = (RoutingState::new(), Members::new());
        let assembly = RoutedAssembly {
            events: EventLog::new(logger, counters.clone(), settings.log_lines_percent),
            metrics: Metrics::new(counters.clone()),
            routing,
            members,
            evacuations: Evacuations::new(),
            target: RoutedTarget::new(),
            upstream,
            counters,
            tasks,
            stops: StopTokens::default(),
            settings: LiveSettings::new(settings),
        };
        let gate = assembly.start_gate();
        let sync = assembly.start_sync();
        assembly.serve(listeners, &gate, &sync);
        let publisher = sync.publisher;
        let RoutedAssembly { settings, routing, events, upstream, tasks, stops, .. } = assembly;
        let started = settings.current();
        events.write(|| Serving {
            service: started.service.clone(),
            failure_domain: started.failure_domain.clone(),
            call_address: started.call_address.to_string(),
            gate_address: started.gate_address.to_string(),
            liveness_address: started.liveness_address.to_string(),
            readiness_address: started.readiness_address.to_string(),
            metrics_address: started.metrics_address.to_string(),
        });
        let daemon = Self { settings, routing, events, gate, publisher, upstream, tasks, stops };
        daemon.apply_routing_file();
        Ok(daemon)
    }

    /// Reloads the settings and the routing file; faults are logged and change nothing.
    pub fn reload(&self, file: &Path) {
        match self.settings.reload(file) {
            Ok(reloaded) => {
                self.apply_routing_file();
                self.events.write(|| SettingsReloaded { result: format!("{reloaded:?}") });
            }
            Err(error) => self.events.write(|| SettingsNotReloaded { cause: error.to_string() }),
        }
    }

    /// Puts the table of the routing file in force if the settings name one and it is newer.
    fn apply_routing_file(&self) {
        match self.settings.current().routing() {
            Ok(Some(table)) => {
                let version = table.version;
                if self.routing.install_if_newer(table) {
                    let from = "file".to_owned();
                    let (revision, behind_ms) = (None, 0);
                    self.events.write(|| RoutingInForce { version, revision, from, behind_ms });
                }
            }
            Ok(None) => {}
            Err(error) => self.events.write(|| SettingsNotReloaded { cause: error.to_string() }),
        }
    }

    /// Stops without cutting off a call.
    ///
    /// Callers of this instance keep sending until they learn that it isn't ready. Calls are
    /// accepted until then, and each response asks the caller to close its connection. Then the
    /// gate refuses requests and confirms that they did not run, so that other daemons send them
    /// elsewhere, and requests in flight finish.
    ///
    /// # Errors
    ///
    /// [`DaemonError::DrainTimeout`] if calls had to be cut off.
    pub async fn stop(self) -> Result<(), DaemonError> {
        let Self { settings, events, gate, publisher, upstream, tasks, stops, .. } = self;
        events.write(|| Stopping { running: gate.running() });
        let stop_max = Duration::from_millis(settings.current().bounds.stop_max_ms.into());
        let end_by = Instant::now() + stop_max.saturating_sub(CLOSE_RESERVE);
        stops.leaving.cancel();
        tasks.background.spawn(publisher.withdraw());
        sleep(READINESS_NOTICE.min(stop_max / 2)).await;
        stops.gate_leaving.cancel();
        stops.calls.cancel();
        let gate_notice = sleep(GATE_NOTICE.min(stop_max / 10));
        let calls_end = async {
            let bodies_by = end_by - stop_max / LATE_BODY_RESERVE_PART;
            join_until(&tasks.calls, bodies_by).await || {
                stops.late_bodies.cancel();
                join_until(&tasks.calls, end_by).await
            }
        };
        let (calls_ended, ()) = tokio::join!(calls_end, gate_notice);
        stops.gate.cancel();
        let gate_ended = join_until(&tasks.gate, end_by).await;
        upstream.close_idle();
        stops.background.cancel();
        let background_ended = join_until(&tasks.background, end_by + CLOSE_RESERVE / 2).await;
        if !(calls_ended && gate_ended && background_ended) {
            events.write(|| StoppedForcibly {
                calls: !calls_ended,
                gate: !gate_ended,
                rest: !background_ended,
            });
            return Err(DaemonError::DrainTimeout);
        }
        events.write(|| Stopped {});
        Ok(())
    }
}
