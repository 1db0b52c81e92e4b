//! Components that the control tasks share, and the construction of the tasks.

use std::{sync::Arc, time::Duration};

use slog::Logger;
use tokio::sync::{Notify, mpsc, watch};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use yuccarack_config::settings::DaemonSettings;
use yuccarack_platform::PlatformClient;

use crate::{
    coordination::{
        control_handler::ControlHandler,
        gossip::{Gossip, GossipDependencies},
        member_remover::MemberRemover,
        membership::{Membership, MembershipDependencies},
        reconciler::Reconciler,
        table::Table,
        table_sync::{TableSync, TableSyncDependencies},
    },
    protocol::control::UrgentUpdate,
    state::{
        byte_budget::ByteBudget, counters::Counters, directory::Directory, own_target::OwnTarget,
        reachability::Reachability, store_health::StoreHealth,
    },
    transport::control_channel::ControlChannelClient,
};

/// Components that the control tasks share.
pub(super) struct ControlComponents {
    pub(super) settings: Arc<DaemonSettings>,
    pub(super) counters: Counters,
    pub(super) logger: Logger,
    pub(super) directory: Directory,
    pub(super) own_target: OwnTarget,
    pub(super) table: Table,
    pub(super) reconciler: Reconciler,
    pub(super) gossip: Gossip,
    pub(super) reachability: Reachability,
    pub(super) own_service_changed: Arc<Notify>,
    pub(super) tracker: TaskTracker,
    pub(super) stop: CancellationToken,
}

impl ControlComponents {
    pub(super) fn new(
        settings: Arc<DaemonSettings>,
        counters: Counters,
        logger: Logger,
        store_health: &StoreHealth,
        budget: ByteBudget,
    ) -> Self {
        let directory = Directory::new();
        let reachability = Reachability::new();
        let own_service_changed = Arc::new(Notify::new());
        // A separate client, since connections are bound to the thread that opened them.
        let timeout_ms = u64::from(settings.budgets.platform_timeout_ms);
        let timeout = Duration::from_millis(timeout_ms);
        let platform = PlatformClient::new(settings.platform_address, timeout);
        let table = Table::new(platform, store_health.clone(), counters.clone(), logger.clone());
        let reconciler = Reconciler::new(
            directory.clone(),
            counters.clone(),
            logger.clone(),
            Arc::clone(&own_service_changed),
        );
        let gossip = Gossip::new(GossipDependencies {
            settings: Arc::clone(&settings),
            directory: directory.clone(),
            client: ControlChannelClient::new(budget.clone()),
            budget,
            counters: counters.clone(),
            reconciler: reconciler.clone(),
            reachability: reachability.clone(),
            own_service_changed: Arc::clone(&own_service_changed),
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
            own_service_changed,
            tracker: TaskTracker::new(),
            stop: CancellationToken::new(),
        }
    }

    pub(super) fn table_sync(&self) -> TableSync {
        TableSync::new(TableSyncDependencies {
            settings: Arc::clone(&self.settings),
            directory: self.directory.clone(),
            table: self.table.clone(),
            gossip: self.gossip.clone(),
            counters: self.counters.clone(),
            logger: self.logger.clone(),
            own_service_changed: Arc::clone(&self.own_service_changed),
        })
    }

    pub(super) fn membership(&self, draining: watch::Receiver<bool>) -> Membership {
        let deps = MembershipDependencies {
            settings: Arc::clone(&self.settings),
            own_target: self.own_target.clone(),
            directory: self.directory.clone(),
            table: self.table.clone(),
            gossip: self.gossip.clone(),
            counters: self.counters.clone(),
            logger: self.logger.clone(),
        };
        Membership::new(deps, draining, Arc::clone(&self.own_service_changed))
    }

    pub(super) fn member_remover(&self) -> MemberRemover {
        MemberRemover {
            settings: Arc::clone(&self.settings),
            directory: self.directory.clone(),
            gossip: self.gossip.clone(),
            reachability: self.reachability.clone(),
            table: self.table.clone(),
            counters: self.counters.clone(),
            logger: self.logger.clone(),
            own_service_changed: Arc::clone(&self.own_service_changed),
        }
    }

    pub(super) fn control_handler(
        &self,
        received_urgent_sender: mpsc::Sender<UrgentUpdate>,
    ) -> ControlHandler {
        ControlHandler {
            settings: Arc::clone(&self.settings),
            directory: self.directory.clone(),
            reconciler: self.reconciler.clone(),
            gossip: self.gossip.clone(),
            received_urgent_sender,
            counters: self.counters.clone(),
        }
    }
}
