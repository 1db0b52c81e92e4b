//! What the control tasks share, and how each is made of it.

use std::{sync::Arc, time::Duration};

use slog::Logger;
use tokio::sync::{Notify, mpsc, watch};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use yuccarack_config::settings::DaemonSettings;
use yuccarack_platform::PlatformClient;

use crate::{
    coordination::{
        answering::Answering,
        gossip::{Gossip, GossipParts},
        membership::{Membership, MembershipParts},
        reconciler::Reconciler,
        removal::Removal,
        rules_sync::{RulesSync, RulesSyncParts},
        table::Table,
    },
    protocol::control::UrgentUpdate,
    state::{
        byte_budget::ByteBudget, counters::Counters, directory::Directory, own_target::OwnTarget,
        reachability::Reachability, store_health::StoreHealth,
    },
    transport::control_channel::ControlClient,
};

/// What the tasks share.
pub(super) struct Parts {
    pub(super) settings: Arc<DaemonSettings>,
    pub(super) counters: Counters,
    pub(super) logger: Logger,
    pub(super) directory: Directory,
    pub(super) own_target: OwnTarget,
    pub(super) table: Table,
    pub(super) reconciler: Reconciler,
    pub(super) gossip: Gossip,
    pub(super) reachability: Reachability,
    pub(super) changed: Arc<Notify>,
    pub(super) tracker: TaskTracker,
    pub(super) stop: CancellationToken,
}

impl Parts {
    pub(super) fn new(
        settings: Arc<DaemonSettings>,
        counters: Counters,
        logger: Logger,
        store_health: &StoreHealth,
        budget: ByteBudget,
    ) -> Self {
        let directory = Directory::new();
        let reachability = Reachability::new();
        let changed = Arc::new(Notify::new());
        // A client of its own, since its connections live on the thread that opened them.
        let timeout_ms = u64::from(settings.budgets.platform_timeout_ms);
        let timeout = Duration::from_millis(timeout_ms);
        let platform = PlatformClient::new(settings.platform_address, timeout);
        let table = Table::new(platform, store_health.clone(), counters.clone(), logger.clone());
        let reconciler = Reconciler::new(
            directory.clone(),
            counters.clone(),
            logger.clone(),
            Arc::clone(&changed),
        );
        let gossip = Gossip::new(GossipParts {
            settings: Arc::clone(&settings),
            directory: directory.clone(),
            client: ControlClient::new(budget.clone()),
            budget,
            counters: counters.clone(),
            reconciler: reconciler.clone(),
            reachability: reachability.clone(),
            changed: Arc::clone(&changed),
        });
        Self {
            settings,
            counters,
            logger,
            directory,
            own_target: OwnTarget::new(),
            table,
            reconciler,
            gossip,
            reachability,
            changed,
            tracker: TaskTracker::new(),
            stop: CancellationToken::new(),
        }
    }

    pub(super) fn rules_sync(&self) -> RulesSync {
        RulesSync::new(RulesSyncParts {
            settings: Arc::clone(&self.settings),
            directory: self.directory.clone(),
            table: self.table.clone(),
            gossip: self.gossip.clone(),
            counters: self.counters.clone(),
            logger: self.logger.clone(),
            changed: Arc::clone(&self.changed),
        })
    }

    pub(super) fn membership(&self, draining: watch::Receiver<bool>) -> Membership {
        let parts = MembershipParts {
            settings: Arc::clone(&self.settings),
            own_target: self.own_target.clone(),
            directory: self.directory.clone(),
            table: self.table.clone(),
            gossip: self.gossip.clone(),
            counters: self.counters.clone(),
            logger: self.logger.clone(),
        };
        Membership::new(parts, draining, Arc::clone(&self.changed))
    }

    pub(super) fn removal(&self) -> Removal {
        Removal {
            settings: Arc::clone(&self.settings),
            directory: self.directory.clone(),
            gossip: self.gossip.clone(),
            reachability: self.reachability.clone(),
            table: self.table.clone(),
            counters: self.counters.clone(),
            logger: self.logger.clone(),
            changed: Arc::clone(&self.changed),
        }
    }

    pub(super) fn answering(&self, urgent: mpsc::Sender<UrgentUpdate>) -> Answering {
        Answering {
            settings: Arc::clone(&self.settings),
            directory: self.directory.clone(),
            reconciler: self.reconciler.clone(),
            gossip: self.gossip.clone(),
            urgent,
            counters: self.counters.clone(),
        }
    }
}
