//! Grants of one keeper to its daemons, or of the root to keepers.

mod account;

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use yuccarack_config::{ids::InstanceId, organisations::OrganisationId};

use self::account::{KeptAccount, Pool, Reporter};
use super::{
    BASE_SHARE, COUNTED_FOR, LEASE, REPORT_INTERVAL,
    lease_holder::{BILLION, LeaseHolder},
    limit::QuotaLimit,
    messages::{QuotaGrant, QuotaLease, QuotaReport, QuotaUse},
};

/// Most reporters of one keeper; a failure domain of 2,500 daemons in 24 has some 104.
const REPORTERS_MAX: usize = 1_000;

/// Shortest lease. A root's lease that expires earlier is no longer relied on, since daemons would
/// lose theirs between two reports.
const LEASE_MIN: Duration = Duration::from_secs(1);

/// Time between two searches for expired leases. Each goes over all holdings, and a keeper of 104 daemons
/// gets more than 200 reports a second.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// Error of sums of grants.
const ROUNDING: f64 = 1e-6;

/// Distributes quotas among the daemons that report to it.
///
/// The keeper of a failure domain is at the same time a holder of the root's lease.
#[derive(Debug)]
pub struct QuotaKeeper {
    instance: InstanceId,
    session: u64,
    daemons: u32,
    limits: HashMap<OrganisationId, QuotaLimit>,
    members: HashMap<InstanceId, Member>,
    accounts: HashMap<OrganisationId, KeptAccount>,
    next_lease: u64,
    upper: LeaseHolder,
    is_early: bool,
    expired_at: Option<Instant>,
}

/// A daemon or keeper that reports.
#[derive(Debug)]
struct Member {
    daemons: u32,
    heard_at: Instant,
    /// Whether it has confirmed a lease, after which its share may be distributed.
    is_confirmed: bool,
    /// Number of the lease that was sent last.
    sent_lease: u64,
}

impl QuotaKeeper {
    /// Creates a keeper; `session` differs between all processes and is not 0.
    pub fn new(instance: InstanceId, session: u64) -> Self {
        Self {
            instance,
            session,
            daemons: 1,
            limits: HashMap::new(),
            members: HashMap::new(),
            accounts: HashMap::new(),
            next_lease: 1,
            upper: LeaseHolder::default(),
            is_early: false,
            expired_at: None,
        }
    }

    /// Sets the quotas in force and the number of all daemons.
    pub fn set_limits(
        &mut self,
        now: Instant,
        daemons: u32,
        limits: &HashMap<OrganisationId, QuotaLimit>,
    ) {
        self.daemons = daemons.max(1);
        self.limits.clone_from(limits);
        self.accounts.retain(|id, _| limits.contains_key(id));
        // An account that appeared only with its first use would count as having spare capacity
        // before.
        for id in limits.keys() {
            self.accounts.entry(*id).or_insert_with(|| KeptAccount::new(now));
        }
    }

    /// Returns the lease of a reporter.
    pub fn grant(&mut self, now: Instant, report: &QuotaReport) -> QuotaLease {
        let is_known = self.members.contains_key(&report.reporter);
        let is_other_session = report.session != 0 && report.session != self.session;
        if is_other_session || (!is_known && self.members.len() >= REPORTERS_MAX) {
            return self.refused();
        }
        self.expire(now);
        let sent = self.members.get(&report.reporter).map(|member| member.sent_lease);
        let (number, confirmed) = self.note_reporter(now, report);
        let is_change = confirmed > 0 && sent == Some(confirmed);
        let lasts = self.lease_duration(now);
        let used: HashMap<OrganisationId, &QuotaUse> =
            report.uses.iter().map(|used| (used.id, used)).collect();
        let reporter = Reporter {
            instance: &report.reporter,
            weight: f64::from(report.daemons) / f64::from(self.daemons),
            now,
            interval: Duration::from_millis(report.interval_ms.into()),
            lease: number,
            confirmed_lease: confirmed,
            expires_at: now + lasts,
        };
        let is_early = is_change && reporter.interval < REPORT_INTERVAL / 2;
        let mut grants = self.grants(now, &reporter, &used, (is_early, &report.exceeded));
        grants.retain(|(_, is_changed)| *is_changed || !is_change);
        QuotaLease {
            session: self.session,
            lease: number,
            lasts_ms: u32::try_from(lasts.as_millis()).unwrap_or(u32::MAX),
            is_change,
            grants: grants.into_iter().map(|(grant, _)| grant).collect(),
            without_spare: self.without_spare(now),
        }
    }

    /// Returns whether daemons report to this keeper.
    pub fn is_active(&self, now: Instant) -> bool {
        self.members.values().any(|member| member.heard_at + COUNTED_FOR > now)
    }

    /// Returns the number of reporters that hold a lease.
    pub fn lease_holders(&self, now: Instant) -> usize {
        self.members.values().filter(|member| member.heard_at + LEASE > now).count()
    }

    /// Returns when the next report to the root is due; `None` while no daemon reports.
    pub fn report_due_at(&self, now: Instant) -> Option<Instant> {
        self.is_active(now).then(|| self.upper.report_due_at(now, self.is_early))
    }

    /// Returns the report to send to the root.
    pub fn take_report(&mut self, now: Instant) -> QuotaReport {
        self.expire(now);
        let (session, lease, interval) = self.upper.begin_report(now);
        // The root may give away the rest of a smaller grant only once no daemon uses it.
        let exceeded = self.exceeded(now);
        self.is_early = false;
        let daemons = self.counted(now);
        let uses = self.accounts.iter_mut().filter_map(|(id, account)| account.take_use(*id));
        QuotaReport {
            is_for_root: true,
            reporter: self.instance.clone(),
            session,
            lease,
            exceeded,
            daemons,
            interval_ms: u32::try_from(interval.as_millis()).unwrap_or(u32::MAX),
            uses: uses.collect(),
        }
    }

    /// Applies the root's response to the report that was sent at `sent_at`. Returns whether the root
    /// granted a lease.
    pub fn apply_lease(&mut self, sent_at: Instant, lease: &QuotaLease) -> bool {
        self.upper.apply(sent_at, lease)
    }

    /// Notes that the root did not respond. Returns whether the next report goes to another root.
    pub fn record_failure(&mut self) -> bool {
        self.upper.record_failure()
    }

    /// Gives the root up; the next report goes to another once no lease relies on this domain's share.
    pub fn leave_root(&mut self) {
        self.upper.leave();
    }

    fn refused(&self) -> QuotaLease {
        QuotaLease {
            session: self.session,
            lease: 0,
            lasts_ms: 0,
            is_change: false,
            grants: Vec::new(),
            without_spare: Vec::new(),
        }
    }

    /// Returns the number of the new lease and of the one that the reporter has confirmed.
    fn note_reporter(&mut self, now: Instant, report: &QuotaReport) -> (u64, u64) {
        let number = self.next_lease;
        self.next_lease += 1;
        let confirmed = if report.session == self.session { report.lease } else { 0 };
        let member = Member {
            daemons: report.daemons,
            heard_at: now,
            is_confirmed: report.session == self.session,
            sent_lease: number,
        };
        self.members.insert(report.reporter.clone(), member);
        (number, confirmed)
    }

    /// Returns the number of daemons whose shares may be distributed.
    fn counted(&self, now: Instant) -> u32 {
        let counted = self
            .members
            .values()
            .filter(|member| member.is_confirmed && member.heard_at + COUNTED_FOR > now);
        counted.map(|member| member.daemons).sum()
    }

    fn counted_share(&self, now: Instant) -> f64 {
        f64::from(self.counted(now)) / f64::from(self.daemons)
    }

    /// A lease that relies on the root's must not outlast that.
    fn lease_duration(&self, now: Instant) -> Duration {
        match self.upper.expires_at().filter(|_| self.upper.is_live(now + LEASE_MIN)) {
            Some(expires_at) => LEASE.min(expires_at - now),
            None => LEASE,
        }
    }

    /// Returns the grants of a reporter, and whether each differs from that of the previous lease.
    fn grants(
        &mut self,
        now: Instant,
        reporter: &Reporter<'_>,
        used: &HashMap<OrganisationId, &QuotaUse>,
        (is_early, exceeded): (bool, &[OrganisationId]),
    ) -> Vec<(QuotaGrant, bool)> {
        let share = self.counted_share(now);
        let holds = |account: &&KeptAccount| account.holds(reporter.instance);
        let held = self.accounts.iter().filter(|(_, account)| holds(account)).map(|(id, _)| *id);
        let ids: HashSet<OrganisationId> = held.chain(used.keys().copied()).collect();
        let mut grants = Vec::new();
        for id in ids {
            let Some(limit) = self.limits.get(&id) else { continue };
            let pool = pool(&self.upper, now, id, share);
            let Some(account) = self.accounts.get_mut(&id) else { continue };
            account.refill(now, pool, limit);
            // Responses to early reports are kept short.
            if is_early && !used.contains_key(&id) {
                account.renew(reporter);
                continue;
            }
            account.record(reporter, used.get(&id).copied(), exceeded.contains(&id));
            let base_of_others = base_without_holding(account, &self.members, self.daemons);
            let previous = account.granted_to(reporter.instance);
            let granted = account.grant(reporter, pool, base_of_others, limit);
            self.is_early |= account.is_dry() && self.upper.has_spare(now, id);
            // Rounded down, so that the sum isn't exceeded.
            let per_billion = granted.map(|part| (part * BILLION) as u32);
            grants.push((QuotaGrant { id, per_billion }, previous != granted));
        }
        grants
    }

    fn without_spare(&mut self, now: Instant) -> Vec<OrganisationId> {
        let share = self.counted_share(now);
        let mut listed = Vec::new();
        for (id, account) in &mut self.accounts {
            let Some(limit) = self.limits.get(id) else { continue };
            let pool = pool(&self.upper, now, *id, share);
            account.refill(now, pool, limit);
            let root_has_spare = !pool.is_leased || self.upper.has_spare(now, *id);
            if !(root_has_spare && account.has_spare(pool, limit)) {
                listed.push(*id);
            }
        }
        listed
    }

    /// Returns the organisations of which all reporters together hold more than the pool, so that a
    /// smaller grant of the root isn't in effect yet.
    fn exceeded(&self, now: Instant) -> Vec<OrganisationId> {
        let share = self.counted_share(now);
        let is_exceeded = |(id, account): &(&OrganisationId, &KeptAccount)| {
            let base = base_without_holding(account, &self.members, self.daemons);
            account.reserved() + base > pool(&self.upper, now, **id, share).part + ROUNDING
        };
        self.accounts.iter().filter(is_exceeded).map(|(id, _)| *id).collect()
    }

    fn expire(&mut self, now: Instant) {
        if self.expired_at.is_some_and(|expired_at| now < expired_at + EXPIRY_INTERVAL) {
            return;
        }
        self.expired_at = Some(now);
        self.members.retain(|_, member| member.heard_at + LEASE > now);
        for account in self.accounts.values_mut() {
            account.expire(now);
        }
    }
}

/// Returns what members without a holding are granted together.
fn base_without_holding(
    account: &KeptAccount,
    members: &HashMap<InstanceId, Member>,
    daemons: u32,
) -> f64 {
    let others = members.iter().filter(|(instance, _)| !account.holds(instance));
    let represented: u32 = others.map(|(_, member)| member.daemons).sum();
    BASE_SHARE * f64::from(represented) / f64::from(daemons)
}

fn pool(upper: &LeaseHolder, now: Instant, id: OrganisationId, share: f64) -> Pool {
    let until = now + LEASE_MIN;
    Pool { part: upper.fraction_until(now, until, id, share), is_leased: upper.is_live(until) }
}
