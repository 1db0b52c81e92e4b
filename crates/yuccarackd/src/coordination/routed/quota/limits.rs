//! Quotas in force, and the daemons that share them.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use tokio::time::sleep;
use yuccarack_config::{
    ids::InstanceId,
    organisations::{Organisation, OrganisationId},
    routed_settings::RoutedBounds,
};
use yuccarack_policy::quota::{QuotaLimit, QuotaTolerance, keeper_order};

use super::Quotas;

/// Number of daemons that is assumed while the members are not known. A smaller one would let each
/// daemon that starts use more than its share.
const UNKNOWN_DAEMONS: u32 = 1_000_000;

/// Time for which changes of known members are collected. Sorting 2,500 members takes about 1 ms, and at
/// a start of the fleet each of them changes.
const MEMBERS_PAUSE: Duration = Duration::from_millis(100);

/// Quotas in force, and the daemons that share them.
#[derive(Default)]
pub(super) struct LimitsInForce {
    knows_members: bool,
    tolerance: Option<QuotaTolerance>,
    /// Daemons of the own failure domain in the order in which they become its keeper.
    pub keepers: Vec<InstanceId>,
    /// All daemons in the order in which they become the root.
    pub roots: Vec<InstanceId>,
    /// When the next report of the ledger is planned; `None` without one.
    pub planned_at: Option<Instant>,
}

impl LimitsInForce {
    pub fn knows_members(&self) -> bool {
        self.knows_members
    }

    /// Returns whether a report at `due_at` is earlier than planned.
    pub fn is_before_planned(&self, due_at: Instant) -> bool {
        self.planned_at.is_none_or(|planned_at| due_at < planned_at)
    }
}

/// Applies each change of the routing table, the members and the bounds. Waits for changes only.
pub(super) async fn follow(quotas: &Quotas) {
    let parts = &quotas.inner.parts;
    let mut routing_changes = parts.routing.subscribe();
    let mut member_changes = parts.members.subscribe();
    loop {
        routing_changes.borrow_and_update();
        member_changes.borrow_and_update();
        quotas.apply_limits();
        let changed = tokio::select! {
            changed = routing_changes.changed() => changed,
            changed = member_changes.changed() => {
                if quotas.inner.limits.lock().knows_members() {
                    sleep(MEMBERS_PAUSE).await;
                }
                changed
            }
        };
        if changed.is_err() {
            return;
        }
    }
}

impl Quotas {
    /// Applies the bounds of reloaded settings.
    pub(super) fn apply_changed_bounds(&self) {
        let tolerance = tolerance(&self.inner.parts.settings.current().bounds);
        let in_force = self.inner.limits.lock().tolerance;
        if in_force != Some(tolerance) {
            self.apply_limits();
        }
    }

    /// Applies the quotas of the routing table and the number of daemons in force.
    pub(super) fn apply_limits(&self) {
        let inner = &self.inner;
        let parts = &inner.parts;
        let settings = parts.settings.current();
        let tolerance = tolerance(&settings.bounds);
        let routing = parts.routing.current();
        let organisations = || routing.iter().flat_map(|routing| routing.organisations());
        let limit = |it: &Organisation| Some((it.id(), QuotaLimit::new(it, tolerance)?));
        let limits: HashMap<OrganisationId, QuotaLimit> =
            organisations().filter_map(limit).collect();
        if limits.is_empty() && !self.has_limits() {
            return;
        }
        let members = parts.members.all();
        // Before the table of members is read, only the own row may be known.
        let knows_members = parts.members.is_loaded() || members.len() > 1;
        let daemons = match knows_members {
            true => u32::try_from(members.len()).unwrap_or(u32::MAX).max(1),
            false => UNKNOWN_DAEMONS,
        };
        let domain = &settings.failure_domain;
        let of_domain = members.iter().filter(|it| it.failure_domain == *domain);
        // Without the members each daemon would be its own keeper, and be bound to that for seconds.
        let (keepers, roots) = match knows_members {
            true => (
                keeper_order(domain, of_domain.map(|it| it.instance.clone()).collect()),
                keeper_order("", members.iter().map(|it| it.instance.clone()).collect()),
            ),
            false => Default::default(),
        };
        {
            let mut in_force = inner.limits.lock();
            (in_force.knows_members, in_force.tolerance) = (knows_members, Some(tolerance));
            (in_force.keepers, in_force.roots) = (keepers, roots);
        }
        let names = organisations().filter(|it| it.has_quota());
        inner.statistics.lock().set_names(names.map(|it| (it.id(), it.name.clone())).collect());
        let now = Instant::now();
        inner.ledger.lock().set_limits(now, daemons, &limits);
        inner.keeper.lock().set_limits(now, daemons, &limits);
        inner.root.lock().set_limits(now, daemons, &limits);
        inner.ledger_wake.notify_one();
    }
}

fn tolerance(bounds: &RoutedBounds) -> QuotaTolerance {
    QuotaTolerance {
        window: Duration::from_millis(bounds.quota_window_ms.into()),
        excess_percent: bounds.quota_excess_percent,
        slack: bounds.quota_slack,
    }
}
