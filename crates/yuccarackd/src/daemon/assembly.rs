//! How a daemon's parts are put together.

use std::sync::Arc;

use slog::Logger;
use tokio::{net::TcpListener, sync::mpsc};
use yuccarack_config::settings::DaemonSettings;
use yuccarack_platform::PlatformClient;

use super::lifetimes::{Stops, Tasks};
use crate::{
    coordination::{
        claims::ClaimTracker,
        control_plane::ControlPlane,
        entry::{Entry, EntryParts},
        gate::{Gate, GateParts, server::GateServer},
        measuring::Measuring,
        suspects::SuspectTracker,
    },
    state::{call_log::CallLog, counters::Counters},
    transport::{call_server::CallServer, upstream::Upstream},
};

/// What the parts share.
pub struct Assembly {
    /// The settings, with the ports that the kernel gave.
    pub settings: Arc<DaemonSettings>,
    /// Log of state changes.
    pub logger: Logger,
    /// Counters.
    pub counters: Counters,
    /// The platform.
    pub platform: PlatformClient,
    /// Connections to gates and to the target.
    pub upstream: Upstream,
    /// Parents of what is spawned.
    pub tasks: Tasks,
    /// Words that end it.
    pub stops: Stops,
}

impl Assembly {
    /// Starts the gate with its keepers of claims and suspects, and the looks at its target.
    pub fn start_gate(&self, control: &mut ControlPlane) -> Arc<Gate> {
        let gate = Arc::new(Gate::new(GateParts {
            instance: self.settings.instance.clone(),
            own_target: control.own_target.clone(),
            directory: control.directory.clone(),
            claims: self.start_claims(),
            suspects: self.start_suspects(control),
            upstream: self.upstream.clone(),
            counters: self.counters.clone(),
            logger: self.logger.clone(),
            requests: self.tasks.gate.clone(),
            background: self.tasks.rest.clone(),
        }));
        let stop = &self.stops.rest;
        self.tasks.rest.spawn(Arc::clone(&gate).follow(stop.clone()));
        let measuring = Measuring::new(Arc::clone(&gate), self.counters.clone());
        self.tasks.rest.spawn(measuring.run(stop.clone()));
        gate
    }

    /// Makes the entry beside `gate`.
    pub fn entry(&self, control: &ControlPlane, gate: Arc<Gate>, call_log: CallLog) -> Entry {
        Entry::new(EntryParts {
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

    /// Serves callers.
    pub fn serve_calls(&self, listener: TcpListener, entry: Entry) {
        let server = self.server(listener, "entry");
        let (tasks, stop) = (self.tasks.calls.clone(), self.stops.calls.clone());
        self.tasks.rest.spawn(server.run(Arc::new(entry), tasks, stop));
    }

    /// Serves other daemons.
    pub fn serve_daemons(&self, listener: TcpListener, gate: Arc<Gate>) {
        let server = self.server(listener, "gate");
        let (tasks, stop) = (self.tasks.gate.clone(), self.stops.gate.clone());
        self.tasks.rest.spawn(server.run(Arc::new(GateServer::new(gate)), tasks, stop));
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
            &self.tasks.rest,
            self.stops.rest.clone(),
        )
    }

    fn start_suspects(&self, control: &mut ControlPlane) -> SuspectTracker {
        // The control plane has just started, so nobody else has taken them.
        let arrived = control.take_arrived().unwrap_or_else(|| mpsc::channel(1).1);
        SuspectTracker::start(
            self.platform.clone(),
            self.settings.instance.clone(),
            self.counters.clone(),
            control.urgent.clone(),
            arrived,
            &self.tasks.rest,
            self.stops.rest.clone(),
        )
    }
}
