//! A daemon for routed calls: its parts, how they start, and how they stop without losing a call.

mod wiring;

use std::{path::Path, sync::Arc, time::Duration};

use slog::Logger;
use tokio::{
    net::TcpListener,
    time::{Instant, sleep},
};
use yuccarack_config::routed_settings::RoutedSettings;

use self::wiring::Wiring;
use super::{
    DaemonError, ended_by,
    lifetimes::{Stops, Tasks},
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

/// Time for which a stopping daemon goes on as before, but for saying that it isn't ready: callers
/// of the instance are told within two questions for readiness, a second apart. Its target is
/// reached by nobody else, so refusing other daemons any sooner would only idle it.
const NOTICE: Duration = Duration::from_millis(2_300);

/// Time for which a stopping gate turns requests away before it closes its connections.
///
/// Failure: other daemons hear that it goes by its refusals only. Closed at once, its connections are
/// reset with requests on them that nobody read, and their callers are told that orders may have run:
/// some thirty at each planned stop under load. Within this time each daemon has asked once more, is
/// refused with proof and goes elsewhere; a daemon that was starved of its processor catches up.
const GATE_NOTICE: Duration = Duration::from_millis(300);

/// Time before the hard end of a stop at which what still runs is cut off, so that connections and
/// the log can be closed in order; on a tenth of a core that took up to half a second.
const CLOSING: Duration = Duration::from_millis(800);

/// A running daemon for routed calls.
pub struct RoutedDaemon {
    settings: LiveSettings,
    routing: RoutingState,
    events: EventLog,
    gate: Arc<Gate>,
    publisher: RowPublisher,
    upstream: Upstream,
    tasks: Tasks,
    stops: Stops,
}

/// Listeners of one daemon.
struct Listeners {
    calls: TcpListener,
    gate: TcpListener,
    heartbeats: TcpListener,
    readiness: TcpListener,
    metrics: TcpListener,
}

impl RoutedDaemon {
    /// Starts all parts.
    ///
    /// # Errors
    ///
    /// [`DaemonError`] when an address can't be had.
    pub async fn start(mut settings: RoutedSettings, logger: Logger) -> Result<Self, DaemonError> {
        let listeners = Listeners {
            calls: listen(&mut settings.call_address).await?,
            gate: listen(&mut settings.gate_address).await?,
            heartbeats: listen(&mut settings.liveness_address).await?,
            readiness: listen(&mut settings.readiness_address).await?,
            metrics: listen(&mut settings.metrics_address).await?,
        };
        let counters = Counters::new();
        let tasks = Tasks::default();
        let upstream = Upstream::new(tasks.rest.clone());
        let (routing, members) = (RoutingState::new(), Members::new());
        let wiring = Wiring {
            events: EventLog::new(logger, counters.clone(), settings.log_lines_percent),
            metrics: Metrics::new(counters.clone()),
            routing,
            members,
            evacuations: Evacuations::new(),
            target: RoutedTarget::new(),
            upstream,
            counters,
            tasks,
            stops: Stops::default(),
            settings: LiveSettings::new(settings),
        };
        let gate = wiring.start_gate();
        let (peers, publisher) = wiring.start_state();
        wiring.serve(listeners, &gate, peers);
        let Wiring { settings, routing, events, upstream, tasks, stops, .. } = wiring;
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
        daemon.take_routing_file();
        Ok(daemon)
    }

    /// Reads the settings anew.
    pub fn reload(&self, file: &Path) {
        match self.settings.reload(file) {
            Ok(reloaded) => {
                self.take_routing_file();
                self.events.write(|| SettingsReloaded { result: format!("{reloaded:?}") });
            }
            Err(error) => self.events.write(|| SettingsNotReloaded { cause: error.to_string() }),
        }
    }

    /// Puts the table of the routing file in force, if the settings name one and it is newer.
    fn take_routing_file(&self) {
        match self.settings.current().routing() {
            Ok(Some(table)) => {
                let version = table.version;
                if self.routing.offer(table) {
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
    /// Callers of this instance go on sending until they are told that it isn't ready, so calls are
    /// taken for that long, each with the word to close its connection. Then the gate refuses with
    /// proof, so that other daemons go elsewhere, and what runs ends.
    ///
    /// # Errors
    ///
    /// [`DaemonError::DrainTimeout`] when calls were cut off at last.
    pub async fn stop(self) -> Result<(), DaemonError> {
        let Self { settings, events, gate, publisher, upstream, tasks, stops, .. } = self;
        events.write(|| Stopping { running: gate.running() });
        let stop_max = Duration::from_millis(settings.current().bounds.stop_max_ms.into());
        let end_by = Instant::now() + stop_max.saturating_sub(CLOSING);
        stops.leaving.cancel();
        tasks.rest.spawn(publisher.withdraw());
        sleep(NOTICE.min(stop_max / 2)).await;
        stops.gate_leaving.cancel();
        stops.calls.cancel();
        let gate_notice = sleep(GATE_NOTICE.min(stop_max / 10));
        let (calls_ended, ()) = tokio::join!(ended_by(&tasks.calls, end_by), gate_notice);
        stops.gate.cancel();
        let gate_ended = ended_by(&tasks.gate, end_by).await;
        upstream.close_idle();
        stops.rest.cancel();
        let rest_ended = ended_by(&tasks.rest, end_by + CLOSING / 2).await;
        if !(calls_ended && gate_ended && rest_ended) {
            events.write(|| StoppedForcibly {
                calls: !calls_ended,
                gate: !gate_ended,
                rest: !rest_ended,
            });
            return Err(DaemonError::DrainTimeout);
        }
        events.write(|| Stopped {});
        Ok(())
    }
}
