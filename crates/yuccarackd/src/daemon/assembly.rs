//! Builds and starts the components of a daemon.

use std::sync::Arc;

use slog::Logger;
use tokio::{net::TcpListener, sync::mpsc};
use yuccarack_config::settings::DaemonSettings;
use yuccarack_platform::PlatformClient;

use super::lifetimes::{StopTokens, Tasks};
use crate::{
    coordination::{
        claims::ClaimTracker,
        control_plane::ControlPlane,
        entry::{Entry, EntryDependencies},
        gate::{Gate, GateDependencies, server::GateServer},
        load_prober::LoadProber,
        suspects::SuspectTracker,
    },
    state::{call_log::CallLog, counters::Counters},
    transport::{call_server::CallServer, upstream::Upstream},
};

/// Dependencies that the components of a daemon share.
pub struct Assembly {
    /// Settings, with the ports that the kernel assigned.
    pub settings: Arc<DaemonSettings>,
    /// Log for state changes.
    pub logger: Logger,
    /// Counters of all components.
    pub counters: Counters,
    /// Client of the platform's store.
    pub platform: PlatformClient,
    /// Connection pool for gates and the target.
    pub upstream: Upstream,
    /// Trackers of the spawned tasks.
    pub tasks: Tasks,
    /// Tokens that stop the spawned tasks.
    pub stops: StopTokens,
}

impl Assembly {
    /// Starts the gate with its trackers of claims and suspects, and the load probes of its target.
    pub fn start_gate(&self, control: &mut ControlPlane) -> Arc<Gate> {
        let gate = Arc::new(Gate::new(GateDependencies {
            instance: self.settings.instance.clone(),
            own_target: control.own_target.clone(),
            directory: control.directory.clone(),
            claims: self.start_claims(),
            suspects: self.start_suspects(control),
            upstream: self.upstream.clone(),
            counters: self.counters.clone(),
            logger: self.logger.clone(),
            requests: self.tasks.gate.clone(),
            background: self.tasks.background.clone(),
        }));
        let stop = &self.stops.background;
        self.tasks.background.spawn(Arc::clone(&gate).follow(stop.clone()));
        let load_prober = LoadProber::new(Arc::clone(&gate), self.counters.clone());
        self.tasks.background.spawn(load_prober.run(stop.clone()));
        gate
    }

    /// Creates the entry, which shares the daemon with `gate`.
    pub fn new_entry(&self, control: &ControlPlane, gate: Arc<Gate>, call_log: CallLog) -> Entry {
        Entry::new(EntryDependencies {
            instance: self.settings.instance.clone(),
            failure_domain: self.settings.failure_domain.clone(),
            buffered_body_max_bytes: self.settings.budgets.replay_body_max_bytes as usize,
            directory: control.directory.clone(),
            gate,
            upstream: self.upstream.clone(),
            call_log,
            counters: self.counters.clone(),
            leaving: self.stops.leaving.clone(),
        })
    }

    /// Starts the server for calls.
    pub fn serve_calls(&self, listener: TcpListener, entry: Entry) {
        let server = self.server(listener, "entry");
        let (tasks, stop) = (self.tasks.calls.clone(), self.stops.calls.clone());
        self.tasks.background.spawn(server.run(Arc::new(entry), tasks, stop));
    }

    /// Starts the server for requests of other daemons.
    pub fn serve_daemons(&self, listener: TcpListener, gate: Arc<Gate>) {
        let server = self.server(listener, "gate");
        let (tasks, stop) = (self.tasks.gate.clone(), self.stops.gate.clone());
        self.tasks.background.spawn(server.run(Arc::new(GateServer::new(gate)), tasks, stop));
    }

    fn server(&self, listener: TcpListener, counter_group: &'static str) -> CallServer {
        let head_max_bytes = self.settings.budgets.head_max_bytes as usize;
        CallServer::new(listener, head_max_bytes, self.counters.clone(), counter_group)
    }

    fn start_claims(&self) -> ClaimTracker {
        ClaimTracker::start(
            self.platform.clone(),
            self.settings.instance.clone(),
            self.counters.clone(),
            &self.tasks.background,
            self.stops.background.clone(),
        )
    }

    fn start_suspects(&self, control: &mut ControlPlane) -> SuspectTracker {
        // The control plane has just started, so the receiver hasn't been taken yet.
        let urgent_receiver = control.take_urgent_receiver().unwrap_or_else(|| mpsc::channel(1).1);
        SuspectTracker::start(
            self.platform.clone(),
            self.settings.instance.clone(),
            self.counters.clone(),
            control.outgoing_urgent_sender.clone(),
            urgent_receiver,
            &self.tasks.background,
            self.stops.background.clone(),
        )
    }
}
