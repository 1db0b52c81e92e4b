//! Quota of one organisation at a keeper.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use yuccarack_config::{ids::InstanceId, organisations::OrganisationId};

use crate::quota::{BASE_SHARE, bucket::Bucket, limit::QuotaLimit, messages::QuotaUse};

/// Factor by which a grant of the root exceeds the demand while the pool suffices, since requests come
/// unevenly.
const HEADROOM: f64 = 1.6;

/// The same for a keeper with a lease of the root, which has to suffice for its daemons.
const KEEPER_HEADROOM: f64 = 1.3;

/// Factor between the grants of a reporter that ran dry while the pool suffices.
const DRY_GROWTH: f64 = 2.0;

/// Part of the pool that is given by demand once it no longer suffices.
const BY_DEMAND: f64 = 1.0 - BASE_SHARE;

/// Time constant of the measured demand. Shorter ones make grants follow single requests.
const DEMAND_TIME_S: f64 = 2.0;

/// Time in which a debt of the bucket is repaid by smaller grants.
const REPAYMENT_S: f64 = 1.0;

/// Part of all tokens that a keeper with a lease may be in debt without consequence. Its pool is tiny
/// for an idle organisation, and the root has tokens for the first requests.
const DEBT_IGNORED: f64 = 0.5;

/// Part of a grant down to which lower demand leaves it as it is, so that few changes are sent.
const KEPT_FROM: f64 = 0.4;

/// Part of the pool up to which grants are left as they are.
const KEPT_PART: f64 = 0.85;

/// Part of the base grant below which demand is neglected.
const IDLE_PART: f64 = 0.2;

/// Part of the bucket below which no reporter may overdraw its own.
const SPARE_LEVEL: f64 = 0.15;

/// Part of an organisation's quota that a keeper distributes.
#[derive(Clone, Copy)]
pub(super) struct Pool {
    pub part: f64,
    /// Whether it is leased from the root, which stops overdrafts when the whole quota is used up.
    pub is_leased: bool,
}

/// Part of the rate above which demand leaves no spare capacity.
const SPARE_DEMAND: f64 = 0.9;

/// Time until all daemons know that there is no spare capacity: that of two reports.
const REACTION_S: f64 = 0.65;

/// A reporter and the lease that it is about to get.
pub(super) struct Reporter<'a> {
    pub instance: &'a InstanceId,
    /// Daemons that it represents, as a part of all.
    pub weight: f64,
    pub now: Instant,
    pub interval: Duration,
    pub lease: u64,
    pub confirmed_lease: u64,
    pub expires_at: Instant,
}

/// Quota of one organisation at a keeper.
#[derive(Debug)]
pub(super) struct KeptAccount {
    /// Tokens that are left of the pool by what reporters have admitted; below zero after a surge.
    bucket: Bucket,
    holdings: HashMap<InstanceId, Holding>,
    arrived: u32,
    admitted: u32,
    is_dry: bool,
}

/// What a reporter holds.
#[derive(Debug)]
struct Holding {
    demand_per_s: f64,
    /// Time up to which the demand is measured.
    measured_at: Instant,
    granted: f64,
    lease: u64,
    /// Largest grant that it may still use if the latest lease did not reach it.
    unconfirmed: f64,
    expires_at: Instant,
    is_dry: bool,
}

impl Holding {
    fn new(reporter: &Reporter<'_>) -> Self {
        // Until it confirms a first lease, a reporter uses its fixed share.
        let is_confirmed = reporter.confirmed_lease > 0;
        let part = if is_confirmed { BASE_SHARE } else { 1.0 };
        Self {
            demand_per_s: 0.0,
            measured_at: reporter.now.checked_sub(reporter.interval).unwrap_or(reporter.now),
            granted: 0.0,
            lease: 0,
            unconfirmed: part * reporter.weight,
            expires_at: reporter.expires_at,
            is_dry: false,
        }
    }

    fn reserved(&self) -> f64 {
        self.granted.max(self.unconfirmed)
    }
}

impl KeptAccount {
    pub fn new(now: Instant) -> Self {
        let (bucket, holdings) = (Bucket::new(now, 0.0), HashMap::new());
        Self { bucket, holdings, arrived: 0, admitted: 0, is_dry: false }
    }

    /// Returns the grant of a reporter by its last lease; `None` for the base grant.
    pub fn granted_to(&self, instance: &InstanceId) -> Option<f64> {
        let holding = self.holdings.get(instance).filter(|holding| holding.lease > 0)?;
        Some(holding.granted)
    }

    pub fn holds(&self, instance: &InstanceId) -> bool {
        self.holdings.contains_key(instance)
    }

    pub fn refill(&mut self, now: Instant, pool: Pool, limit: &QuotaLimit) {
        self.bucket.refill(now, pool.part * limit.rate_per_s, pool.part * limit.tokens_max);
    }

    /// Records what a reporter used since its last report; `is_exceeded` is whether it may still use
    /// more than the lease that it confirms.
    pub fn record(&mut self, reporter: &Reporter<'_>, used: Option<&QuotaUse>, is_exceeded: bool) {
        let (arrived, admitted) = used.map_or((0, 0), |used| (used.arrived, used.admitted));
        self.bucket.level -= f64::from(admitted);
        self.arrived = self.arrived.saturating_add(arrived);
        self.admitted = self.admitted.saturating_add(admitted);
        let holding = self
            .holdings
            .entry(reporter.instance.clone())
            .or_insert_with(|| Holding::new(reporter));
        let interval = reporter.now.saturating_duration_since(holding.measured_at);
        let interval_s = interval.as_secs_f64().max(0.001);
        holding.measured_at = reporter.now;
        let kept = (-interval_s / DEMAND_TIME_S).exp();
        let measured = f64::from(arrived) / interval_s;
        holding.demand_per_s = holding.demand_per_s * kept + measured * (1.0 - kept);
        holding.is_dry = used.is_some_and(|used| used.is_dry);
        let is_confirmed = holding.lease > 0 && holding.lease == reporter.confirmed_lease;
        if is_confirmed && !is_exceeded {
            holding.unconfirmed = 0.0;
        }
    }

    /// Returns the grant of a reporter as a part of the organisation's rate; `None` for the base grant.
    /// Reporters without a holding have `base_of_others` together.
    pub fn grant(
        &mut self,
        reporter: &Reporter<'_>,
        pool: Pool,
        base_of_others: f64,
        limit: &QuotaLimit,
    ) -> Option<f64> {
        let demand = self.demand_per_s();
        let reserved = self.reserved();
        let base = BASE_SHARE * reporter.weight;
        let usable = pool.part * self.repayment_factor(pool, limit);
        let rate = limit.rate_per_s.max(1e-6);
        let holding = self.holdings.get_mut(reporter.instance)?;
        let headroom = if pool.is_leased { KEEPER_HEADROOM } else { HEADROOM };
        let is_enough = demand * headroom < BY_DEMAND * usable * rate;
        let by_demand = match is_enough {
            true => holding.demand_per_s * headroom / rate,
            false => BY_DEMAND * usable * holding.demand_per_s / demand.max(1e-9),
        };
        let mut wanted = base + by_demand;
        if is_enough && holding.is_dry {
            wanted = wanted.max(holding.granted * DRY_GROWTH);
        }
        let is_kept = is_enough
            && reserved < KEPT_PART * usable
            && (KEPT_FROM * holding.granted..=holding.granted).contains(&wanted);
        if is_kept {
            wanted = holding.granted;
        }
        let others = reserved - holding.reserved() + base_of_others;
        let granted = wanted.min((usable - others).max(0.0));
        self.is_dry |= holding.is_dry || !is_enough;
        let is_idle = by_demand < IDLE_PART * base && granted >= base;
        if is_idle && holding.unconfirmed == 0.0 && holding.granted <= base {
            self.holdings.remove(reporter.instance);
            return None;
        }
        holding.unconfirmed = holding.reserved();
        holding.granted = if is_idle { base } else { granted };
        (holding.lease, holding.expires_at) = (reporter.lease, reporter.expires_at);
        Some(holding.granted)
    }

    /// Returns whether overdrafts could exceed the tokens before the keeper learns of them: callers that
    /// are refused may move to other daemons, each of which would overdraw.
    fn is_busy(&self, pool: Pool, limit: &QuotaLimit) -> bool {
        let rate_per_s = pool.part * limit.rate_per_s;
        // Three deviations of the measured demand, as small organisations have few requests.
        let usual = SPARE_DEMAND * rate_per_s + 3.0 * (rate_per_s / DEMAND_TIME_S / 2.0).sqrt();
        let demand = self.demand_per_s();
        demand > usual && demand * REACTION_S > pool.part * limit.overdraft_max
    }

    fn demand_per_s(&self) -> f64 {
        self.holdings.values().map(|holding| holding.demand_per_s).sum()
    }

    /// Extends the grant of a reporter whose use is not known, which has confirmed its last lease.
    pub fn renew(&mut self, reporter: &Reporter<'_>) {
        if let Some(holding) = self.holdings.get_mut(reporter.instance) {
            if holding.lease == reporter.confirmed_lease {
                holding.unconfirmed = 0.0;
            }
            (holding.lease, holding.expires_at) = (reporter.lease, reporter.expires_at);
        }
    }

    /// Returns what reporters with a holding may use.
    pub fn reserved(&self) -> f64 {
        self.holdings.values().map(Holding::reserved).sum()
    }

    /// Returns the part of the pool that may be granted: less after a surge, until its excess is repaid.
    fn repayment_factor(&self, pool: Pool, limit: &QuotaLimit) -> f64 {
        let rate_per_s = (pool.part * limit.rate_per_s).max(1e-9);
        let ignored = if pool.is_leased { debt_ignored(limit) } else { 0.0 };
        let debt = (self.bucket.level + ignored).min(0.0);
        (1.0 + debt / (rate_per_s * REPAYMENT_S)).max(0.0)
    }

    /// Returns whether reporters may overdraw their buckets by some requests.
    pub fn has_spare(&self, pool: Pool, limit: &QuotaLimit) -> bool {
        let least = match pool.is_leased {
            // The root sees the whole use, and stops overdrafts as well.
            true => -debt_ignored(limit),
            false => (SPARE_LEVEL * pool.part * limit.tokens_max).max(1.0),
        };
        let is_busy = !pool.is_leased && self.is_busy(pool, limit);
        self.bucket.level >= least && !is_busy
    }

    /// Returns whether a reporter wants more than the pool has.
    pub fn is_dry(&self) -> bool {
        self.is_dry
    }

    pub fn take_use(&mut self, id: OrganisationId) -> Option<QuotaUse> {
        let taken =
            QuotaUse { id, arrived: self.arrived, admitted: self.admitted, is_dry: self.is_dry };
        (self.arrived, self.admitted, self.is_dry) = (0, 0, false);
        (taken.arrived > 0).then_some(taken)
    }

    /// Frees what reporters held whose leases have expired.
    pub fn expire(&mut self, now: Instant) {
        self.holdings.retain(|_, holding| holding.expires_at > now);
    }
}

fn debt_ignored(limit: &QuotaLimit) -> f64 {
    DEBT_IGNORED * limit.tokens_max
}
