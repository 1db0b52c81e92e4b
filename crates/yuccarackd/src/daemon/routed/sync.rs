//! Starts the exchange of state with the store and with other daemons.

use std::time::Duration;

use tokio::time::Instant;
use yuccarack_config::heartbeat::TargetPhase;
use yuccarack_platform::PlatformClient;

use super::assembly::{RoutedAssembly, gauge_value, whole_seconds};
use crate::{
    coordination::routed::{
        catch_up::CatchUp,
        departure_store::DepartureStore,
        peers::{Peers, PeersParts},
        registrar::{Registrar, RegistrarParts},
        relay_follower::{RelayFollower, RelayFollowerParts},
        relay_list_publisher::RelayListPublisher,
        row_publisher::RowPublisher,
        store_client::{RESPONSE_TIMEOUT, StoreClient},
        store_follower::{LastStoreResponse, StoreFollower},
        sweeper::Sweeper,
    },
    protocol::peer_update::RoutedMember,
    state::routed::{
        known_relays::KnownRelays,
        relay_lists::RelayLists,
        transfers::Transfers,
        update_source::{SyncState, UpdateSource},
    },
};

/// Delay of the first read of the members when the whole fleet starts for the first time; by then
/// all instances have written their rows.
const FIRST_ROWS_DELAY: Duration = Duration::from_millis(2_500);

/// Components that exchange state with the store and with other daemons.
pub(super) struct StateSync {
    pub(super) peers: Peers,
    pub(super) publisher: RowPublisher,
    pub(super) registrar: Registrar,
}

impl RoutedAssembly {
    /// Starts the exchange of state with the store and with peers.
    pub(super) fn start_sync(&self) -> StateSync {
        let platform = PlatformClient::new(self.settings.current().store_address, RESPONSE_TIMEOUT);
        let store = StoreClient::new(platform, self.counters.clone());
        let (sync_state, transfers) = (SyncState::new(), Transfers::new());
        let (known_relays, relay_lists) = (KnownRelays::new(), RelayLists::new());
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
        self.spawn_until_stop(peers.clone().send_store_warnings());
        let first_read_at = match settings.is_first_start {
            true => Instant::now() + FIRST_ROWS_DELAY,
            false => Instant::now(),
        };
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
            known_relays: known_relays.clone(),
            relay_lists: relay_lists.clone(),
            instance: settings.instance.clone(),
            failure_domain: settings.failure_domain.clone(),
            first_read_at,
        };
        self.register_state_gauges(&follower);
        let (instance, domain) = (settings.instance.clone(), settings.failure_domain.clone());
        let relays = RelayFollower::new(RelayFollowerParts {
            peers: peers.clone(),
            store: store.clone(),
            known_relays: known_relays.clone(),
            first_read_at,
            instance,
            failure_domain: domain.clone(),
        });
        self.spawn_until_stop(relays.run());
        self.spawn_until_stop(self.relay_list_publisher(&follower).run());
        let (registrar, registrar_task) = Registrar::new(RegistrarParts {
            failure_domain: domain,
            store: store.clone(),
            members: self.members.clone(),
            known_relays: known_relays.clone(),
            events: self.events.clone(),
        });
        self.spawn_until_stop(registrar_task.run());
        self.spawn_until_stop(CatchUp::new(peers.clone(), follower.clone()).run());
        self.spawn_until_stop(self.sweeper(&follower).run());
        self.tasks.background.spawn(follower.clone().follow_routing(stop.clone()));
        self.tasks.background.spawn(follower.follow_members(stop.clone()));
        let publisher = self.publisher(store, registrar.clone(), known_relays);
        self.tasks.background.spawn(publisher.clone().run(stop.clone()));
        StateSync { peers, publisher, registrar }
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

    fn relay_list_publisher(&self, follower: &StoreFollower) -> RelayListPublisher {
        RelayListPublisher {
            instance: follower.instance.clone(),
            failure_domain: follower.failure_domain.clone(),
            store: follower.store.clone(),
            members: self.members.clone(),
            sync_state: follower.sync_state.clone(),
            stored: follower.relay_lists.clone(),
        }
    }

    fn publisher(
        &self,
        store: StoreClient,
        registrar: Registrar,
        known_relays: KnownRelays,
    ) -> RowPublisher {
        let settings = self.settings.current();
        let departures = DepartureStore::new(
            store.clone(),
            settings.instance.clone(),
            self.target.clone(),
            self.events.clone(),
        );
        RowPublisher {
            store,
            departures,
            member: RoutedMember {
                instance: settings.instance.clone(),
                failure_domain: settings.failure_domain.clone(),
                gate_address: settings.advertised_gate_address(),
                service: None,
            },
            target: self.target.clone(),
            members: self.members.clone(),
            events: self.events.clone(),
            registrar,
            upstream: self.upstream.clone(),
            known_relays,
            initial_service: settings.is_first_start.then(|| settings.service.clone()),
        }
    }
}
