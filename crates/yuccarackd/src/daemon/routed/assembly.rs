//! Builds and starts the components of a daemon for routed calls.

use std::{sync::Arc, time::Duration};

use tokio::{net::TcpListener, time::Instant};
use yuccarack_config::heartbeat::TargetPhase;
use yuccarack_platform::PlatformClient;

use super::Listeners;
use crate::{
    coordination::routed::{
        catch_up::CatchUp,
        control_server::ControlServer,
        entry::{RoutedEntry, RoutedEntryParts},
        events::EventLog,
        gate::{CrashTracker, CrashTrackerParts, Gate, GateLink, GateParts, GateServer},
        metrics_server::MetricsServer,
        peers::{Peers, PeersParts},
        quota::{QuotaGauge, Quotas, QuotasParts},
        relay_follower::RelayFollower,
        row_publisher::RowPublisher,
        store_client::{RESPONSE_TIMEOUT, StoreClient},
        store_follower::{LastStoreResponse, StoreFollower},
        sweeper::Sweeper,
    },
    daemon::lifetimes::{StopTokens, Tasks},
    protocol::peer_update::RoutedMember,
    state::{
        counters::Counters,
        routed::{
            evacuations::Evacuations,
            live_settings::LiveSettings,
            members::Members,
            metrics::Metrics,
            routing_state::RoutingState,
            target::RoutedTarget,
            transfers::Transfers,
            update_source::{SyncState, UpdateSource},
        },
    },
    transport::{call_server::CallServer, upstream::Upstream},
};

/// Largest accepted request head, in bytes; twice the 16 kB that operators accept as the limit.
const HEAD_MAX_BYTES: usize = 32 * 1024;

/// Delay of the first read of the members when the whole fleet starts for the first time; by then
/// all instances have written their rows.
const FIRST_ROWS_DELAY: Duration = Duration::from_millis(2_500);

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

    /// Starts the exchange of state with the store and with peers.
    pub(super) fn start_sync(&self) -> (Peers, RowPublisher) {
        let platform = PlatformClient::new(self.settings.current().store_address, RESPONSE_TIMEOUT);
        let store = StoreClient::new(platform, self.counters.clone());
        let (sync_state, transfers) = (SyncState::new(), Transfers::new());
        // The store isn't queried yet: only the loaded members show whether a relay provides the
        // updates instead.
        sync_state.set_queries_store(false);
        let settings = self.settings.current();
        let peers = Peers::new(PeersParts {
            own_address: settings.advertised_gate_address(),
            routing: self.routing.clone(),
            members: self.members.clone(),
            evacuations: self.evacuations.clone(),
            sync_state: sync_state.clone(),
            transfers: transfers.clone(),
            leaving: self.stops.leaving.clone(),
            upstream: self.upstream.clone(),
            counters: self.counters.clone(),
            events: self.events.clone(),
        });
        let stop = &self.stops.background;
        self.spawn_until_stop(peers.clone().run(stop.clone()));
        let follower = StoreFollower {
            store: store.clone(),
            routing: self.routing.clone(),
            members: self.members.clone(),
            evacuations: self.evacuations.clone(),
            counters: self.counters.clone(),
            events: self.events.clone(),
            sync_state,
            last_response: LastStoreResponse::new(),
            transfers,
            first_read_at: match settings.is_first_start {
                true => Instant::now() + FIRST_ROWS_DELAY,
                false => Instant::now(),
            },
        };
        self.register_state_gauges(&follower);
        let (instance, domain) = (settings.instance.clone(), settings.failure_domain.clone());
        let relays = RelayFollower::new(peers.clone(), store.clone(), instance, domain);
        self.spawn_until_stop(relays.run());
        self.spawn_until_stop(CatchUp::new(peers.clone(), follower.clone()).run());
        self.spawn_until_stop(self.sweeper(&follower).run());
        self.tasks.background.spawn(follower.clone().follow_routing(stop.clone()));
        self.tasks.background.spawn(follower.follow_members(stop.clone()));
        let publisher = self.publisher(store);
        self.tasks.background.spawn(publisher.clone().run(stop.clone()));
        (peers, publisher)
    }

    /// Registers gauges for the known state and its age.
    ///
    /// Some help texts refer to the gauge before them, and they stay because operators see them:
    /// `routing_age_seconds` is -1 without a routing table, `target_evacuated` is 1 if this
    /// instance's target gets no requests because its failure domain is evacuated, `store_served`
    /// is 1 if updates from the store are received directly or through a relay, `news_relayed` is 1
    /// if they come through a relay, and `store_silence_seconds` is the time since the last
    /// response of the store.
    fn register_state_gauges(&self, follower: &StoreFollower) {
        let (metrics, routing, in_force) =
            (&self.metrics, self.routing.clone(), self.routing.clone());
        let (newest, behind) = (self.routing.clone(), self.routing.clone());
        let (members, target) = (self.members.clone(), self.target.clone());
        let (sync_state, relay_state, last_response) = (
            follower.sync_state.clone(),
            follower.sync_state.clone(),
            follower.last_response.clone(),
        );
        metrics.register_gauge(
            "routing_version",
            "Version of the routing table in force.",
            move || i64::try_from(routing.version()).unwrap_or(i64::MAX),
        );
        metrics.register_gauge(
            "routing_age_seconds",
            "Time since it came in force; -1 without.",
            move || in_force.in_force_for().map_or(-1, whole_seconds),
        );
        metrics.register_gauge("routing_newest_version", "Newest version known of.", move || {
            i64::try_from(newest.newest_version()).unwrap_or(i64::MAX)
        });
        metrics.register_gauge(
            "routing_behind_milliseconds",
            "Time since a newer version than the one in force was known of; 0 without one.",
            move || i64::try_from(behind.behind_for().as_millis()).unwrap_or(i64::MAX),
        );
        let (evacuations, own_evacuations) = (self.evacuations.clone(), self.evacuations.clone());
        let settings = self.settings.clone();
        metrics.register_gauge(
            "domains_evacuated",
            "Failure domains that are evacuated.",
            move || gauge_value(evacuations.count()),
        );
        metrics.register_gauge(
            "target_evacuated",
            "Whether the own target gets nothing for that, 1 or 0.",
            move || i64::from(own_evacuations.is_evacuated(&settings.current().failure_domain)),
        );
        metrics.register_gauge("members", "Instances that are known.", move || {
            gauge_value(members.count())
        });
        metrics.register_gauge(
            "target_ready",
            "Whether the own target takes work, 1 or 0.",
            move || {
                let ready = target.current().filter(|view| view.phase == TargetPhase::Ready);
                i64::from(ready.is_some())
            },
        );
        metrics.register_gauge(
            "store_served",
            "Whether the store's news come in, 1 or 0.",
            move || i64::from(sync_state.source() != UpdateSource::None),
        );
        metrics.register_gauge(
            "news_relayed",
            "Whether they come by another daemon, 1 or 0.",
            move || i64::from(relay_state.source() == UpdateSource::Relay),
        );
        metrics.register_gauge("store_silence_seconds", "Time since its last answer.", move || {
            whole_seconds(last_response.age())
        });
    }

    /// Spawns a background task that may be cancelled at any await point when the daemon stops.
    ///
    /// A stopping daemon would otherwise wait for responses of unreachable peers, one after the
    /// other, until it is killed.
    fn spawn_until_stop(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stops.background.clone();
        self.tasks.background.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = task => {}
            }
        });
    }

    fn sweeper(&self, follower: &StoreFollower) -> Sweeper {
        let settings = self.settings.current();
        Sweeper {
            instance: settings.instance.clone(),
            failure_domain: settings.failure_domain.clone(),
            remove_after: Duration::from_millis(settings.bounds.gone_after_ms.into()),
            store: follower.store.clone(),
            members: follower.members.clone(),
            sync_state: follower.sync_state.clone(),
            events: follower.events.clone(),
        }
    }

    fn publisher(&self, store: StoreClient) -> RowPublisher {
        let settings = self.settings.current();
        RowPublisher {
            store,
            member: RoutedMember {
                instance: settings.instance.clone(),
                failure_domain: settings.failure_domain.clone(),
                gate_address: settings.advertised_gate_address(),
                service: None,
            },
            target: self.target.clone(),
            members: self.members.clone(),
            events: self.events.clone(),
            initial_service: settings.is_first_start.then(|| settings.service.clone()),
        }
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

    pub(super) fn serve(&self, listeners: Listeners, gate: &Arc<Gate>, peers: Peers) {
        let (tasks, stops) = (&self.tasks, &self.stops);
        let quotas = self.start_quotas();
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
        let gate_server =
            Arc::new(GateServer::new(Arc::clone(gate), peers, quotas, stops.gate.clone()));
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
        })
    }

    fn server(&self, listener: TcpListener, counter_group: &'static str) -> CallServer {
        CallServer::new(listener, HEAD_MAX_BYTES, self.counters.clone(), counter_group)
    }
}

/// Converts a count to the value of a gauge.
fn gauge_value(number: usize) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

fn whole_seconds(time: Duration) -> i64 {
    i64::try_from(time.as_secs()).unwrap_or(i64::MAX)
}
