//! Starts control planes and waits for what they learn.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use serde_json::json;
use slog::{Discard, Logger, o};
use tokio::time::sleep;
use yuccarack_config::{rules::ServiceRules, settings::DaemonSettings};
use yuccarack_platform::{
    messages::{Commit, Write},
    rows::{RulesRow, TargetState, rules_key},
};
use yuccarack_standins::platform::{Platform, PlatformFaults, PlatformMode};
use yuccarackd::{
    coordination::control_plane::ControlPlane, protocol::announce::Announcement,
    state::counters::Counters, transport::admin_server::Explain,
};

/// Longest wait for what has to come; far beyond what it takes.
const WAIT_MAX: Duration = Duration::from_secs(30);
/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// A control plane and what it was started with.
pub struct Peer {
    pub control: ControlPlane,
    pub counters: Counters,
}

impl Peer {
    /// Starts a daemon's control plane without a target.
    pub async fn start(platform: SocketAddr, instance: &str, seeds: Vec<SocketAddr>) -> Self {
        Self::with_settings(settings(platform, instance, seeds)).await
    }

    /// Starts a daemon's control plane by `settings`.
    pub async fn with_settings(settings: DaemonSettings) -> Self {
        let counters = Counters::new();
        let logger = Logger::root(Discard, o!());
        let explain: Explain = Arc::new(|id| (id == "known").then(|| json!({"id": id})));
        let control = ControlPlane::start(Arc::new(settings), counters.clone(), logger, explain);
        Self { control: control.await.expect("the control plane starts"), counters }
    }

    /// Starts a daemon's control plane whose target is ready.
    pub async fn ready(platform: SocketAddr, instance: &str, service: &str) -> Self {
        let peer = Self::start(platform, instance, Vec::new()).await;
        peer.announce(service, TargetState::Ready);
        peer
    }

    pub fn announce(&self, service: &str, state: TargetState) {
        self.control.own_target.apply_announcement(announcement(service, state), Instant::now());
    }

    pub fn count(&self, counter: &str) -> u64 {
        self.counters.snapshot().get(counter).copied().unwrap_or(0)
    }

    pub fn rules_revision(&self, service: &str) -> u64 {
        self.control.directory.peek(service).map_or(0, |view| view.rules_revision)
    }

    /// Number of members of `service` in `state` that this daemon knows.
    pub fn members(&self, service: &str, state: TargetState) -> usize {
        let view = self.control.directory.peek(service);
        let members = view.map(|view| Arc::clone(&view.members)).unwrap_or_default();
        members.iter().filter(|row| row.state == state).count()
    }
}

pub fn announcement(service: &str, state: TargetState) -> Announcement {
    Announcement {
        service: service.to_owned(),
        boot_id: 1,
        call_address: any_port(),
        load_path: None,
        slots: 10,
        connections_max: 250,
        state,
    }
}

pub async fn platform() -> Platform {
    Platform::start(any_port()).await.expect("the platform starts")
}

pub fn set_mode(platform: &Platform, mode: PlatformMode) {
    platform.set_faults(PlatformFaults { mode, ..PlatformFaults::default() });
}

/// Puts rules into the table that differ by their deadline; gives their revision back.
pub fn put_rules(platform: &Platform, service: &str, deadline_ms: u32) -> u64 {
    put(platform, service, &RulesRow::InForce(rules(service, deadline_ms)))
}

pub fn remove_rules(platform: &Platform, service: &str) -> u64 {
    put(platform, service, &RulesRow::Removed)
}

pub fn rules(service: &str, deadline_ms: u32) -> ServiceRules {
    let route = json!({"name": "all", "path_prefix": "/", "deadline_ms": deadline_ms});
    serde_json::from_value(json!({"name": service, "routes": [route]})).expect("the rules fit")
}

fn put(platform: &Platform, service: &str, row: &RulesRow) -> u64 {
    let write =
        Write::put(rules_key(service), serde_json::to_value(row).expect("rules have a form"));
    let commit = Commit { conditions: Vec::new(), writes: vec![write] };
    platform.with_table(|table| table.commit(commit)).expect("no condition is set").revision
}

/// Waits until `holds`, or panics with `what` was waited for.
pub async fn until(what: &str, holds: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_MAX;
    while !holds() {
        assert!(Instant::now() < deadline, "waited in vain until {what}");
        sleep(LOOK_INTERVAL).await;
    }
}

pub async fn stop_all(peers: Vec<Peer>) {
    for peer in peers {
        peer.control.stop().await.expect("the control plane stops");
    }
}

pub fn settings(platform: SocketAddr, instance: &str, seeds: Vec<SocketAddr>) -> DaemonSettings {
    let settings = json!({
        "instance": instance,
        "failure_domain": "sapporo",
        "call_address": any_port(),
        "gate_address": any_port(),
        "admin_address": any_port(),
        "control_address": any_port(),
        "platform_address": platform,
        "seed_peers": seeds,
        "budgets": {"announce_timeout_ms": 600_000, "gossip_interval_ms": 200},
    });
    serde_json::from_value(settings).expect("the settings fit")
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
