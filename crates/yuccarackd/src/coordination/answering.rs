//! Answers the questions of other daemons.

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

/// Daemons that are named when the asked-for service isn't known here.
const REFERRALS: usize = 4;

/// Answers the questions of other daemons; clones share all.
#[derive(Clone)]
pub struct Answering {
    /// Settings of the daemon.
    pub settings: Arc<DaemonSettings>,
    /// What is known.
    pub directory: Directory,
    /// Works out who lacks what.
    pub reconciler: Reconciler,
    /// Asks other daemons.
    pub gossip: Gossip,
    /// Where urgent news go.
    pub urgent: mpsc::Sender<UrgentUpdate>,
    /// Counters.
    pub counters: Counters,
}

impl Answering {
    /// Answers one question.
    pub async fn answer(self, question: Vec<u8>) -> Vec<u8> {
        let answer = match decode(&question) {
            Ok(question) => self.answer_one(question).await,
            Err(_) => {
                self.counters.add("control.not_understood");
                ControlResponse::NotUnderstood
            }
        };
        encode(&answer).unwrap_or_default()
    }

    async fn answer_one(&self, question: ControlRequest) -> ControlResponse {
        match question {
            ControlRequest::Sync(question) => self.answer_sync(&question),
            ControlRequest::Push(news) => self.take_push(news),
            ControlRequest::Urgent(news) => self.take_urgent(news),
            ControlRequest::Probe { instance } => self.probe(&instance).await,
            ControlRequest::Ping => ControlResponse::Taken,
        }
    }

    fn answer_sync(&self, question: &SyncRequest) -> ControlResponse {
        match self.reconciler.news_for(question) {
            Some(news) => ControlResponse::News(news),
            None => ControlResponse::Elsewhere { peers: self.referrals() },
        }
    }

    /// ServiceUpdate of services that nobody here wants are dropped, so that peers can't fill the memory.
    fn take_push(&self, news: ServiceUpdate) -> ControlResponse {
        if self.directory.peek(&news.service).is_some() {
            self.reconciler.take(news);
        }
        ControlResponse::Taken
    }

    fn take_urgent(&self, news: UrgentUpdate) -> ControlResponse {
        let counter = match self.urgent.try_send(news) {
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
        let chosen = members.choose_multiple(&mut generator(), REFERRALS);
        chosen.into_iter().map(|row| row.control_address).collect()
    }
}
