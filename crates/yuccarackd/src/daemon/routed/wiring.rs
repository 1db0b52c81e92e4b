//! Puts the parts of a daemon for routed calls together.

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
        gate::{CrashTracker, CrashTrackerParts, Gate, GateParts, GateServer},
        metrics_server::MetricsServer,
        peers::{Peers, PeersParts},
        relay_follower::RelayFollower,
        row_publisher::RowPublisher,
        store_client::{RESPONSE_TIMEOUT, StoreClient},
        store_follower::{LastStoreResponse, StoreFollower},
        sweeper::Sweeper,
    },
    daemon::lifetimes::{Stops, Tasks},
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

/// Largest request head that is read; operators accept 16 kB.
const HEAD_MAX_BYTES: usize = 32 * 1024;

/// Time after which the rows of a fleet that starts for the first time stand.
const ROWS_WRITTEN: Duration = Duration::from_millis(2_500);

/// What the parts share while they are put together.
pub(super) struct Wiring {
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
    pub(super) stops: Stops,
}

impl Wiring {
    pub(super) fn start_gate(&self) -> Arc<Gate> {
        let gate = Arc::new(Gate::new(GateParts {
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
                background: self.tasks.rest.clone(),
            }),
            upstream: self.upstream.clone(),
            counters: self.counters.clone(),
            metrics: self.metrics.clone(),
            decisions: self.settings.current().decisions,
            events: self.events.clone(),
            background: self.tasks.rest.clone(),
            leaving: self.stops.gate_leaving.clone(),
        }));
        self.tasks.rest.spawn(Arc::clone(&gate).follow(self.stops.rest.clone()));
        gate
    }

    /// Starts what brings news in and out: store and peers.
    pub(super) fn start_state(&self) -> (Peers, RowPublisher) {
        let platform = PlatformClient::new(self.settings.current().store_address, RESPONSE_TIMEOUT);
        let store = StoreClient::new(platform, self.counters.clone());
        let (sync_state, transfers) = (SyncState::new(), Transfers::new());
        // Who is told by a relay is known with the members.
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
        let stop = &self.stops.rest;
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
                true => Instant::now() + ROWS_WRITTEN,
                false => Instant::now(),
            },
        };
        self.tell_state(&follower);
        let (instance, domain) = (settings.instance.clone(), settings.failure_domain.clone());
        let relays = RelayFollower::new(peers.clone(), store.clone(), instance, domain);
        self.spawn_until_stop(relays.run());
        self.spawn_until_stop(CatchUp::new(peers.clone(), follower.clone()).run());
        self.spawn_until_stop(self.sweeper(&follower).run());
        self.tasks.rest.spawn(follower.clone().follow_routing(stop.clone()));
        self.tasks.rest.spawn(follower.follow_members(stop.clone()));
        let publisher = self.publisher(store);
        self.tasks.rest.spawn(publisher.clone().run(stop.clone()));
        (peers, publisher)
    }

    /// Tells with the metrics what is known and how old it is.
    fn tell_state(&self, follower: &StoreFollower) {
        let (metrics, routing, age) = (&self.metrics, self.routing.clone(), self.routing.clone());
        let (newest, behind) = (self.routing.clone(), self.routing.clone());
        let (members, target) = (self.members.clone(), self.target.clone());
        let (news, told, last_response) = (
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
            move || age.in_force_for().map_or(-1, whole_seconds),
        );
        metrics.register_gauge("routing_newest_version", "Newest version known of.", move || {
            i64::try_from(newest.newest_version()).unwrap_or(i64::MAX)
        });
        metrics.register_gauge(
            "routing_behind_milliseconds",
            "Time since a newer version than the one in force was known of; 0 without one.",
            move || i64::try_from(behind.behind_for().as_millis()).unwrap_or(i64::MAX),
        );
        let (evacuations, own) = (self.evacuations.clone(), self.evacuations.clone());
        let settings = self.settings.clone();
        metrics.register_gauge(
            "domains_evacuated",
            "Failure domains that are evacuated.",
            move || count(evacuations.count()),
        );
        metrics.register_gauge(
            "target_evacuated",
            "Whether the own target gets nothing for that, 1 or 0.",
            move || i64::from(own.is_evacuated(&settings.current().failure_domain)),
        );
        metrics
            .register_gauge("members", "Instances that are known.", move || count(members.count()));
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
            move || i64::from(news.source() != UpdateSource::Unassigned),
        );
        metrics.register_gauge(
            "news_relayed",
            "Whether they come by another daemon, 1 or 0.",
            move || i64::from(told.source() == UpdateSource::Relay),
        );
        metrics.register_gauge("store_silence_seconds", "Time since its last answer.", move || {
            whole_seconds(last_response.age())
        });
    }

    /// Spawns what may be dropped wherever it stands when the rest ends.
    ///
    /// Failure: a stopping daemon waits for answers of peers that are gone, one after the other,
    /// until it is killed.
    fn spawn_until_stop(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stops.rest.clone();
        self.tasks.rest.spawn(async move {
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

    pub(super) fn serve(&self, listeners: Listeners, gate: &Arc<Gate>, peers: Peers) {
        let (tasks, stops) = (&self.tasks, &self.stops);
        let entry = Arc::new(self.entry(Arc::clone(gate), peers.clone()));
        self.spawn_until_stop(Arc::clone(&entry).probe_unreachable_gates(stops.rest.clone()));
        let (of_entry, members) = (Arc::clone(&entry), self.members.clone());
        let help = "Gates that this entry can't reach now.";
        self.metrics
            .register_gauge("gates_unreachable", help, move || count(of_entry.unreachable_gates()));
        let help = "Instances that say what they serve.";
        self.metrics
            .register_gauge("members_serving", help, move || count(members.serving_count()));
        let calls = self.server(listeners.calls, "entry");
        tasks.rest.spawn(calls.run(entry, tasks.calls.clone(), stops.calls.clone()));
        let door = Arc::new(GateServer::new(Arc::clone(gate), peers));
        let gates = self.server(listeners.gate, "gate");
        tasks.rest.spawn(gates.run(door, tasks.gate.clone(), stops.gate.clone()));
        let control = Arc::new(ControlServer {
            target: self.target.clone(),
            routing: self.routing.clone(),
            counters: self.counters.clone(),
            events: self.events.clone(),
            leaving: stops.leaving.clone(),
        });
        let metrics = MetricsServer { metrics: self.metrics.clone(), events: self.events.clone() };
        let server = self.server(listeners.metrics, "metrics");
        tasks.rest.spawn(server.run(Arc::new(metrics), tasks.rest.clone(), stops.rest.clone()));
        for listener in [listeners.heartbeats, listeners.readiness] {
            let server = self.server(listener, "control");
            let (handler, stop) = (Arc::clone(&control), stops.rest.clone());
            tasks.rest.spawn(server.run(handler, tasks.rest.clone(), stop));
        }
    }

    fn entry(&self, gate: Arc<Gate>, peers: Peers) -> RoutedEntry {
        RoutedEntry::new(RoutedEntryParts {
            settings: self.settings.clone(),
            routing: self.routing.clone(),
            members: self.members.clone(),
            evacuations: self.evacuations.clone(),
            gate,
            peers,
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

/// A number for a gauge.
fn count(number: usize) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

fn whole_seconds(time: Duration) -> i64 {
    i64::try_from(time.as_secs()).unwrap_or(i64::MAX)
}
