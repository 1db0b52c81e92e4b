//! Builds and starts the components of a daemon for routed calls.

use std::sync::Arc;

use tokio::net::TcpListener;

use super::{Listeners, sync::StateSync};
use crate::{
    coordination::routed::{
        control_server::ControlServer,
        entry::{RoutedEntry, RoutedEntryParts},
        events::EventLog,
        gate::{CrashTracker, CrashTrackerParts, Gate, GateLink, GateParts, GateServer},
        metrics_server::MetricsServer,
        peers::Peers,
        quota::{QuotaGauge, Quotas, QuotasParts},
    },
    daemon::lifetimes::{StopTokens, Tasks},
    state::{
        counters::Counters,
        routed::{
            evacuations::Evacuations, live_settings::LiveSettings, members::Members,
            metrics::Metrics, routing_state::RoutingState, target::RoutedTarget,
        },
    },
    transport::{call_server::CallServer, upstream::Upstream},
};

/// Largest accepted request head, in bytes; twice the 16 kB that operators accept as the limit.
const HEAD_MAX_BYTES: usize = 32 * 1024;

/// Gauges of each organisation with a quota.
const QUOTA_GAUGES: [(&str, &str, QuotaGauge); 3] = [
    (
        "quota_grant_per_1000_seconds",
        "Requests in 1,000 seconds that this daemon may admit.",
        QuotaGauge::Grant,
    ),
    ("quota_admitted", "Requests admitted by quota.", QuotaGauge::Admitted),
    ("quota_refused", "Requests refused over quota.", QuotaGauge::Refused),
];

/// Dependencies that the components share while they are built.
pub(super) struct RoutedAssembly {
    pub(super) settings: LiveSettings,
    pub(super) events: EventLog,
    pub(super) counters: Counters,
    pub(super) metrics: Metrics,
    pub(super) routing: RoutingState,
    pub(super) members: Members,
    pub(super) evacuations: Evacuations,
    pub(super) target: RoutedTarget,
    pub(super) upstream: Upstream,
    pub(super) tasks: Tasks,
    pub(super) stops: StopTokens,
}

impl RoutedAssembly {
    pub(super) fn start_gate(&self) -> Arc<Gate> {
        let link = self.start_link();
        let gate = Arc::new(Gate::new(GateParts {
            link,
            target: self.target.clone(),
            routing: self.routing.clone(),
            evacuations: self.evacuations.clone(),
            settings: self.settings.clone(),
            crashes: CrashTracker::new(CrashTrackerParts {
                settings: self.settings.clone(),
                members: self.members.clone(),
                upstream: self.upstream.clone(),
                counters: self.counters.clone(),
                events: self.events.clone(),
                background: self.tasks.background.clone(),
            }),
            upstream: self.upstream.clone(),
            counters: self.counters.clone(),
            metrics: self.metrics.clone(),
            decisions: self.settings.current().decisions,
            events: self.events.clone(),
            background: self.tasks.background.clone(),
            leaving: self.stops.gate_leaving.clone(),
        }));
        self.tasks.background.spawn(Arc::clone(&gate).follow(self.stops.background.clone()));
        gate
    }

    /// Starts the pacing of responses, if the settings name the rate of the link.
    fn start_link(&self) -> GateLink {
        let link_kbit_per_s = self.settings.current().link_kbit_per_s;
        let link = GateLink::new(link_kbit_per_s, self.routing.clone(), self.counters.clone());
        if link.has_rate() {
            let (waiting, backlog) = (link.clone(), link.clone());
            let help = "Bytes of long responses that wait for the link.";
            self.metrics.register_gauge("link_waiting_bytes", help, move || {
                i64::try_from(waiting.waiting_bytes()).unwrap_or(i64::MAX)
            });
            let help = "Time that the link needs for what is to be sent.";
            self.metrics.register_gauge("link_backlog_milliseconds", help, move || {
                let capacity = backlog.capacity(std::time::Instant::now());
                let backlog = capacity.link_backlog.unwrap_or_default();
                i64::try_from(backlog.as_millis()).unwrap_or(i64::MAX)
            });
            self.tasks.background.spawn(link.clone().run(self.stops.background.clone()));
        }
        link
    }

    /// Spawns a background task that may be cancelled at any await point when the daemon stops.
    ///
    /// A stopping daemon would otherwise wait for responses of unreachable peers, one after the
    /// other, until it is killed.
    pub(super) fn spawn_until_stop(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stops.background.clone();
        self.tasks.background.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = task => {}
            }
        });
    }

    /// Starts the exchange of quotas with other daemons.
    fn start_quotas(&self) -> Quotas {
        let quotas = Quotas::new(QuotasParts {
            settings: self.settings.clone(),
            routing: self.routing.clone(),
            members: self.members.clone(),
            upstream: self.upstream.clone(),
            counters: self.counters.clone(),
            events: self.events.clone(),
        });
        self.tasks.background.spawn(quotas.clone().run(self.stops.background.clone()));
        for (name, help, gauge) in QUOTA_GAUGES {
            let read = quotas.clone();
            let read = move || read.gauge(gauge);
            self.metrics.register_labelled_gauge(name, help, "organisation", read);
        }
        let holders = quotas.clone();
        let help = "Daemons, and keepers, that hold quotas granted by this daemon.";
        let read = move || holders.lease_holders();
        self.metrics.register_labelled_gauge("quota_lease_holders", help, "level", read);
        quotas
    }

    pub(super) fn serve(&self, listeners: Listeners, gate: &Arc<Gate>, sync: &StateSync) {
        let (tasks, stops) = (&self.tasks, &self.stops);
        let quotas = self.start_quotas();
        let peers = sync.peers.clone();
        let entry = Arc::new(self.new_entry(Arc::clone(gate), peers.clone(), quotas.clone()));
        self.spawn_until_stop(Arc::clone(&entry).probe_unreachable_gates(stops.background.clone()));
        let (gauge_entry, members) = (Arc::clone(&entry), self.members.clone());
        let help = "Gates that this entry can't reach now.";
        self.metrics.register_gauge("gates_unreachable", help, move || {
            gauge_value(gauge_entry.unreachable_gates())
        });
        let (limited_gate, target) = (Arc::clone(gate), self.target.clone());
        self.metrics.register_gauge(
            "target_rate_limit_per_1000_seconds",
            "Requests in 1,000 seconds that the own target takes; -1 without a limit.",
            move || limited_gate.rate_limit().map_or(-1, |rate| rate.per_1000_s().into()),
        );
        self.metrics.register_gauge(
            "target_announced_leaving",
            "Whether a response of the own target announced that it leaves, 1 or 0.",
            move || i64::from(target.announced_leaving().is_some()),
        );
        // Counts the members whose service is known.
        let help = "Instances that say what they serve.";
        self.metrics
            .register_gauge("members_serving", help, move || gauge_value(members.serving_count()));
        let calls = self.server(listeners.calls, "entry");
        // A server is joined with its connections, as it accepts some until it has closed its port.
        tasks.calls.spawn(calls.run(entry, tasks.calls.clone(), stops.calls.clone()));
        let gate_server = Arc::new(GateServer::new(
            Arc::clone(gate),
            peers,
            quotas,
            sync.registrar.clone(),
            stops.gate.clone(),
        ));
        let gates = self.server(listeners.gate, "gate");
        tasks.gate.spawn(gates.run(gate_server, tasks.gate.clone(), stops.gate.clone()));
        let control = Arc::new(ControlServer {
            target: self.target.clone(),
            routing: self.routing.clone(),
            counters: self.counters.clone(),
            events: self.events.clone(),
            leaving: stops.leaving.clone(),
        });
        let metrics = MetricsServer { metrics: self.metrics.clone(), events: self.events.clone() };
        let server = self.server(listeners.metrics, "metrics");
        tasks.background.spawn(server.run(
            Arc::new(metrics),
            tasks.background.clone(),
            stops.background.clone(),
        ));
        for listener in [listeners.liveness, listeners.readiness] {
            let server = self.server(listener, "control");
            let (handler, stop) = (Arc::clone(&control), stops.background.clone());
            tasks.background.spawn(server.run(handler, tasks.background.clone(), stop));
        }
    }

    fn new_entry(&self, gate: Arc<Gate>, peers: Peers, quotas: Quotas) -> RoutedEntry {
        RoutedEntry::new(RoutedEntryParts {
            settings: self.settings.clone(),
            routing: self.routing.clone(),
            members: self.members.clone(),
            evacuations: self.evacuations.clone(),
            gate,
            peers,
            quotas,
            upstream: self.upstream.clone(),
            counters: self.counters.clone(),
            metrics: self.metrics.clone(),
            events: self.events.clone(),
            leaving: self.stops.leaving.clone(),
            late_bodies: self.stops.late_bodies.clone(),
        })
    }

    fn server(&self, listener: TcpListener, counter_group: &'static str) -> CallServer {
        CallServer::new(listener, HEAD_MAX_BYTES, self.counters.clone(), counter_group)
    }
}

/// Converts a count to the value of a gauge.
pub(super) fn gauge_value(number: usize) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

pub(super) fn whole_seconds(time: std::time::Duration) -> i64 {
    i64::try_from(time.as_secs()).unwrap_or(i64::MAX)
}
