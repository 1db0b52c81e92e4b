//! Quotas of all organisations at one entry.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64_with_seed;
use yuccarack_config::{ids::InstanceId, organisations::OrganisationId};

use super::{
    bucket::Bucket,
    lease_holder::LeaseHolder,
    limit::QuotaLimit,
    messages::{QuotaLease, QuotaReport, QuotaUse},
};

/// Requests by which a daemon may overdraw its bucket between two reports. With one, a second caller
/// of an idle organisation within the some ms of a report was refused.
const OVERDRAFT_MIN: f64 = 2.0;

/// Time of its granted rate by which it may do so on top.
const OVERDRAFT_S: f64 = 1.0;

/// Age of a lease up to which its bucket may be overdrawn. Reports are sent each half second.
const OVERDRAFT_LEASE_AGE_MAX: Duration = Duration::from_millis(800);

/// Part of a token from which a bucket without a grant for demand holds a whole one. Lower ones are
/// left to overdrafts, which the keeper can stop: tokens that all daemons gather while an
/// organisation is idle exceed the quota of a small one when a surge uses them.
const WHOLE_TOKEN_FROM: f64 = 0.3;

/// Bounds of the time after which a refused caller may retry.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);

/// A request is over the quota of its organisation.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("over quota, next token in {retry_after:?}")]
pub struct QuotaRefusal {
    /// Time until the next token.
    pub retry_after: Duration,
}

/// Quotas of all organisations at one entry.
#[derive(Debug)]
pub struct QuotaLedger {
    instance: InstanceId,
    daemons: u32,
    accounts: HashMap<OrganisationId, Account>,
    holder: LeaseHolder,
    lease_sent_at: Option<Instant>,
    is_early: bool,
}

#[derive(Debug)]
struct Account {
    limit: QuotaLimit,
    bucket: Bucket,
    arrived: u32,
    admitted: u32,
    overdraft: f64,
    is_dry: bool,
}

impl QuotaLedger {
    /// Creates a ledger without organisations.
    pub fn new(instance: InstanceId) -> Self {
        Self {
            instance,
            daemons: 1,
            accounts: HashMap::new(),
            holder: LeaseHolder::default(),
            lease_sent_at: None,
            is_early: false,
        }
    }

    /// Sets the quotas in force and the number of daemons. Buckets shrink to lower limits at once.
    pub fn set_limits(
        &mut self,
        now: Instant,
        daemons: u32,
        limits: &HashMap<OrganisationId, QuotaLimit>,
    ) {
        self.daemons = daemons.max(1);
        self.accounts.retain(|id, _| limits.contains_key(id));
        for (id, limit) in limits {
            match self.accounts.get_mut(id) {
                Some(account) => account.limit = *limit,
                None => {
                    self.accounts.insert(*id, Account::new(now, *limit));
                }
            }
            self.refill(now, *id);
        }
    }

    /// Returns whether any organisation has a quota.
    pub fn has_limits(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Takes a token of the organisation; one without a quota needs none.
    ///
    /// # Errors
    ///
    /// Returns a [`QuotaRefusal`] if the organisation is over its quota.
    pub fn admit(&mut self, now: Instant, id: OrganisationId) -> Result<(), QuotaRefusal> {
        let rate_per_s = self.refill(now, id);
        let is_recent =
            self.lease_sent_at.is_some_and(|sent_at| now < sent_at + OVERDRAFT_LEASE_AGE_MAX);
        let may_overdraw = is_recent && self.holder.has_spare(now, id);
        let Some(account) = self.accounts.get_mut(&id) else { return Ok(()) };
        account.arrived += 1;
        if account.bucket.level >= 1.0 {
            account.bucket.level -= 1.0;
            account.admitted += 1;
            return Ok(());
        }
        account.is_dry = true;
        // Over quota, further reports would change nothing.
        self.is_early |= self.holder.has_spare(now, id);
        let overdraft_max = OVERDRAFT_MIN + rate_per_s * OVERDRAFT_S;
        if may_overdraw && account.overdraft + 1.0 <= overdraft_max {
            account.overdraft += 1.0;
            account.admitted += 1;
            return Ok(());
        }
        let missing = 1.0 - account.bucket.level;
        let wait_s = (missing / rate_per_s.max(1e-6)).min(RETRY_AFTER_MAX.as_secs_f64());
        Err(QuotaRefusal { retry_after: Duration::from_secs_f64(wait_s).max(RETRY_AFTER_MIN) })
    }

    /// Returns the token of a request that was refused for another reason and has not run.
    pub fn refund(&mut self, now: Instant, id: OrganisationId) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.admitted = account.admitted.saturating_sub(1);
            match account.overdraft >= 1.0 {
                true => account.overdraft -= 1.0,
                false => account.bucket.level += 1.0,
            }
            self.refill(now, id);
        }
    }

    /// Returns whether an organisation has a quota.
    pub fn has_limit(&self, id: OrganisationId) -> bool {
        self.accounts.contains_key(&id)
    }

    /// Returns the grant of an organisation in requests per second; `None` without a quota.
    pub fn rate_per_s(&self, now: Instant, id: OrganisationId) -> Option<f64> {
        let account = self.accounts.get(&id)?;
        Some(account.limit.rate_per_s * self.holder.fraction(now, id, self.share()))
    }

    /// Returns whether the ledger holds a live lease.
    pub fn has_lease(&self, now: Instant) -> bool {
        self.holder.is_live(now)
    }

    /// Returns when the next report is due; `None` without quotas.
    pub fn report_due_at(&self, now: Instant) -> Option<Instant> {
        self.has_limits().then(|| self.holder.report_due_at(now, self.is_early))
    }

    /// Returns the report to send to the keeper.
    pub fn take_report(&mut self, now: Instant) -> QuotaReport {
        let (session, lease, interval) = self.holder.begin_report(now);
        self.is_early = false;
        let uses = self.accounts.iter_mut().filter_map(|(id, account)| account.take_use(*id));
        QuotaReport {
            is_for_root: false,
            reporter: self.instance.clone(),
            session,
            lease,
            exceeded: Vec::new(),
            daemons: 1,
            interval_ms: u32::try_from(interval.as_millis()).unwrap_or(u32::MAX),
            uses: uses.collect(),
        }
    }

    /// Applies the keeper's response to the report that was sent at `sent_at`. Returns whether the
    /// keeper granted a lease.
    pub fn apply_lease(&mut self, now: Instant, sent_at: Instant, lease: &QuotaLease) -> bool {
        self.refill_all(now);
        let is_granted = self.holder.apply(sent_at, lease);
        if is_granted {
            self.lease_sent_at = Some(sent_at);
            self.accounts.values_mut().for_each(|account| account.overdraft = 0.0);
        }
        is_granted
    }

    /// Notes that a report had no response. Returns whether the next report goes to another keeper.
    pub fn record_failure(&mut self) -> bool {
        self.holder.record_failure()
    }

    /// Gives the keeper up; the next report goes to another once no lease relies on this daemon's share.
    pub fn leave_keeper(&mut self) {
        self.holder.leave();
    }

    fn share(&self) -> f64 {
        1.0 / f64::from(self.daemons)
    }

    fn refill_all(&mut self, now: Instant) {
        let ids: Vec<OrganisationId> = self.accounts.keys().copied().collect();
        for id in ids {
            self.refill(now, id);
        }
    }

    /// Refills the bucket of an organisation and returns its rate.
    fn refill(&mut self, now: Instant, id: OrganisationId) -> f64 {
        let fraction = self.holder.fraction(now, id, self.share());
        let Some(account) = self.accounts.get_mut(&id) else { return 0.0 };
        let tokens = fraction * account.limit.tokens_max;
        let is_whole = self.holder.is_granted(now, id)
            || tokens >= WHOLE_TOKEN_FROM
            || is_token_holder(&self.instance, id, tokens);
        let capacity = if is_whole { tokens.max(1.0) } else { 0.0 };
        let rate_per_s = account.limit.rate_per_s * fraction;
        account.bucket.refill(now, rate_per_s, capacity);
        rate_per_s
    }
}

impl Account {
    /// Starts without tokens, as an earlier process may have used them.
    fn new(now: Instant, limit: QuotaLimit) -> Self {
        Self {
            limit,
            bucket: Bucket::new(now, 0.0),
            arrived: 0,
            admitted: 0,
            overdraft: 0.0,
            is_dry: false,
        }
    }

    fn take_use(&mut self, id: OrganisationId) -> Option<QuotaUse> {
        let taken =
            QuotaUse { id, arrived: self.arrived, admitted: self.admitted, is_dry: self.is_dry };
        (self.arrived, self.admitted, self.is_dry) = (0, 0, false);
        (taken.arrived > 0).then_some(taken)
    }
}

/// Returns whether a daemon whose part of the tokens is below one holds a whole one, chosen by hash so
/// that all daemons together hold about as many as the sum of their parts.
fn is_token_holder(instance: &str, id: OrganisationId, tokens: f64) -> bool {
    let position = xxh3_64_with_seed(instance.as_bytes(), id) as f64 / u64::MAX as f64;
    position < tokens
}
