//! Enforces the quotas of organisations over all daemons.

mod limits;
mod reporter;
mod statistics;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::{Response, StatusCode};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use yuccarack_config::{ids::InstanceId, organisations::OrganisationId};
use yuccarack_policy::quota::{QuotaKeeper, QuotaLease, QuotaLedger, QuotaReport};

pub use self::statistics::QuotaGauge;
use self::{limits::LimitsInForce, reporter::Reporter, statistics::Statistics};
use super::{events::EventLog, log_lines::QuotaStateChanged};
use crate::{
    protocol::{
        body::{self, CallBody},
        quota::{decode_report, encode_lease},
        refusal::{Reason, Refusal},
    },
    state::{
        counters::Counters,
        routed::{live_settings::LiveSettings, members::Members, routing_state::RoutingState},
    },
    transport::upstream::Upstream,
};

/// `Retry-After` of a daemon that doesn't know the number of daemons yet, and so not its share.
const NO_MEMBERS_RETRY_AFTER: Duration = Duration::from_millis(300);

/// What [`Quotas`] works with.
pub struct QuotasParts {
    /// The settings in force.
    pub settings: LiveSettings,
    /// The routing table in force, which has the organisations.
    pub routing: RoutingState,
    /// All daemons, which share the quotas.
    pub members: Members,
    /// Connections to other gates.
    pub upstream: Upstream,
    /// Counters of reports and refusals.
    pub counters: Counters,
    /// Log for changes of keepers and of organisations' states.
    pub events: EventLog,
}

/// Quotas at this daemon, as an entry and as a keeper; clones share the state.
#[derive(Clone)]
pub struct Quotas {
    inner: Arc<Inner>,
}

struct Inner {
    parts: QuotasParts,
    instance: InstanceId,
    ledger: Mutex<QuotaLedger>,
    /// This daemon as the keeper of its failure domain.
    keeper: Mutex<QuotaKeeper>,
    /// This daemon as the root.
    root: Mutex<QuotaKeeper>,
    limits: Mutex<LimitsInForce>,
    statistics: Mutex<Statistics>,
    /// Notified when a report of the ledger may be due earlier.
    ledger_wake: Notify,
    /// Notified when a report of the keeper may be due earlier.
    keeper_wake: Notify,
}

impl Quotas {
    /// Starts without organisations.
    pub fn new(parts: QuotasParts) -> Self {
        let instance = parts.settings.current().instance.clone();
        let session = || rand::random_range(1..=u64::MAX);
        let inner = Inner {
            ledger: Mutex::new(QuotaLedger::new(instance.clone())),
            keeper: Mutex::new(QuotaKeeper::new(instance.clone(), session())),
            root: Mutex::new(QuotaKeeper::new(instance.clone(), session())),
            limits: Mutex::default(),
            statistics: Mutex::default(),
            ledger_wake: Notify::new(),
            keeper_wake: Notify::new(),
            instance,
            parts,
        };
        Self { inner: Arc::new(inner) }
    }

    /// Follows the limits in force and reports to keepers until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = limits::follow(&self) => {}
            () = Reporter::of_ledger(&self).run() => {}
            () = Reporter::of_keeper(&self).run() => {}
        }
    }

    /// Takes a token of the organisation for a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal with [`Reason::OverQuota`] and the time until the next token.
    pub fn admit(&self, id: OrganisationId) -> Result<(), Refusal> {
        let inner = &self.inner;
        let now = Instant::now();
        let (admitted, is_limited, report_due_at) = {
            let mut ledger = inner.ledger.lock();
            (ledger.admit(now, id), ledger.has_limit(id), ledger.report_due_at(now))
        };
        if !is_limited {
            return Ok(());
        }
        if report_due_at.is_some_and(|due_at| inner.limits.lock().is_before_planned(due_at)) {
            inner.ledger_wake.notify_one();
        }
        let change = inner.statistics.lock().record(now, id, admitted.is_ok());
        if let Some(change) = change {
            self.log_change(now, change);
        }
        admitted.map_err(|refusal| {
            inner.parts.counters.add("quota.refused");
            let retry_after = match inner.limits.lock().knows_members() {
                true => refusal.retry_after,
                false => NO_MEMBERS_RETRY_AFTER,
            };
            Refusal::not_run(Reason::OverQuota).with_retry_after(retry_after)
        })
    }

    /// Returns the token of a request that was admitted and has not run.
    pub fn refund(&self, id: OrganisationId) {
        self.inner.ledger.lock().refund(Instant::now(), id);
    }

    /// Responds to the report of another daemon.
    pub async fn respond(&self, body: CallBody) -> Response<CallBody> {
        let response = match decode_report(body).await {
            Ok(report) => encode_lease(&self.grant(&report)),
            Err(error) => Err(error),
        };
        response.unwrap_or_else(|_| {
            self.inner.parts.counters.add("quota.unreadable");
            let mut response = Response::new(body::empty());
            *response.status_mut() = StatusCode::BAD_REQUEST;
            response
        })
    }

    fn grant(&self, report: &QuotaReport) -> QuotaLease {
        let inner = &self.inner;
        inner.parts.counters.add("quota.leases");
        let now = Instant::now();
        if report.is_for_root {
            return inner.root.lock().grant(now, report);
        }
        let lease = inner.keeper.lock().grant(now, report);
        inner.keeper_wake.notify_one();
        lease
    }

    fn log_change(&self, now: Instant, change: statistics::StateChange) {
        let inner = &self.inner;
        let (rate, is_leased) = {
            let ledger = inner.ledger.lock();
            (ledger.rate_per_s(now, change.id).unwrap_or(0.0), ledger.has_lease(now))
        };
        inner.parts.events.write(|| QuotaStateChanged {
            organisation: change.name,
            is_refused: change.is_refused,
            admitted: change.admitted,
            refused: change.refused,
            grant_per_1000_s: (rate * 1_000.0) as u64,
            is_leased,
        });
    }

    /// Returns a gauge's value of each organisation with a quota, by name.
    pub fn gauge(&self, gauge: QuotaGauge) -> Vec<(String, i64)> {
        let now = Instant::now();
        let inner = &self.inner;
        let statistics = inner.statistics.lock();
        match gauge {
            QuotaGauge::Refused | QuotaGauge::Admitted => statistics.counts(gauge),
            QuotaGauge::Grant => {
                let ledger = inner.ledger.lock();
                let rate = |id| ledger.rate_per_s(now, id).unwrap_or(0.0);
                statistics.named(|id| (rate(id) * 1_000.0) as i64)
            }
        }
    }

    /// Returns the numbers of daemons and of keepers that hold leases of this daemon, by level; empty
    /// without quotas.
    pub fn lease_holders(&self) -> Vec<(String, i64)> {
        if !self.has_limits() {
            return Vec::new();
        }
        let now = Instant::now();
        let inner = &self.inner;
        let holders = [("keeper", &inner.keeper), ("root", &inner.root)];
        let count = |keeper: &Mutex<QuotaKeeper>| keeper.lock().lease_holders(now);
        let count = |keeper| i64::try_from(count(keeper)).unwrap_or(i64::MAX);
        holders.map(|(level, keeper)| (level.to_owned(), count(keeper))).to_vec()
    }

    /// Returns whether any organisation has a quota.
    fn has_limits(&self) -> bool {
        self.inner.ledger.lock().has_limits()
    }
}
