//! Handler of control requests from other daemons.

use std::{net::SocketAddr, sync::Arc};

use rand::seq::IteratorRandom;
use tokio::sync::mpsc;
use yuccarack_config::settings::DaemonSettings;
use yuccarack_platform::rows::MemberRow;

use crate::{
    coordination::{gossip::Gossip, jitter::generator, reconciler::Reconciler},
    protocol::control::{
        ControlRequest, ControlResponse, ServiceUpdate, SyncRequest, UrgentUpdate, decode, encode,
    },
    state::{counters::Counters, directory::Directory},
};

/// Most daemons that a response refers to when the requested service isn't known here.
const REFERRALS_MAX: usize = 4;

/// Handles control requests of other daemons. Clones share all state.
#[derive(Clone)]
pub struct ControlHandler {
    /// Settings of the daemon.
    pub settings: Arc<DaemonSettings>,
    /// Services and members that this daemon knows.
    pub directory: Directory,
    /// Computes and applies updates.
    pub reconciler: Reconciler,
    /// Pings members for probes of other daemons.
    pub gossip: Gossip,
    /// Queue of received urgent updates.
    pub received_urgent_sender: mpsc::Sender<UrgentUpdate>,
    /// Counters of the daemon.
    pub counters: Counters,
}

impl ControlHandler {
    /// Decodes one request and returns the encoded response.
    pub async fn respond(self, request: Vec<u8>) -> Vec<u8> {
        let response = match decode(&request) {
            Ok(request) => self.respond_to(request).await,
            Err(_) => {
                self.counters.add("control.not_understood");
                ControlResponse::NotUnderstood
            }
        };
        encode(&response).unwrap_or_default()
    }

    async fn respond_to(&self, request: ControlRequest) -> ControlResponse {
        match request {
            ControlRequest::Sync(request) => self.respond_sync(&request),
            ControlRequest::Push(update) => self.accept_push(update),
            ControlRequest::Urgent(update) => self.accept_urgent(update),
            ControlRequest::Probe { instance } => self.probe(&instance).await,
            ControlRequest::Ping => ControlResponse::Taken,
        }
    }

    fn respond_sync(&self, request: &SyncRequest) -> ControlResponse {
        match self.reconciler.update_for(request) {
            Some(update) => ControlResponse::News(update),
            None => ControlResponse::Elsewhere { peers: self.referrals() },
        }
    }

    /// Applies an update. Updates of services that this daemon doesn't use are dropped, so that
    /// peers can't fill its memory.
    fn accept_push(&self, update: ServiceUpdate) -> ControlResponse {
        if self.directory.peek(&update.service).is_some() {
            self.reconciler.apply(update);
        }
        ControlResponse::Taken
    }

    fn accept_urgent(&self, update: UrgentUpdate) -> ControlResponse {
        let counter = match self.received_urgent_sender.try_send(update) {
            Ok(()) => "urgent.received",
            Err(_) => "urgent.dropped",
        };
        self.counters.add(counter);
        ControlResponse::Taken
    }

    async fn probe(&self, instance: &str) -> ControlResponse {
        let own = self.directory.own_service();
        let member = own.and_then(|service| self.directory.member_row(&service, instance));
        let is_reachable = match member {
            Some(member) => self.gossip.ping(&member).await,
            None => false,
        };
        ControlResponse::Probed { is_reachable }
    }

    fn referrals(&self) -> Vec<SocketAddr> {
        let views = self.directory.views();
        let is_other = |row: &&MemberRow| row.instance != self.settings.instance;
        let members = views.iter().flat_map(|view| view.members.iter()).filter(is_other);
        let chosen = members.choose_multiple(&mut generator(), REFERRALS_MAX);
        chosen.into_iter().map(|row| row.control_address).collect()
    }
}
