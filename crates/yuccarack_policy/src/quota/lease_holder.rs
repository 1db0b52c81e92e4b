//! Lease that a daemon holds from its keeper, or a keeper from the root.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use yuccarack_config::organisations::OrganisationId;

use super::{BASE_SHARE, EARLY_REPORT_INTERVAL, KEPT_FOR, REPORT_INTERVAL, messages::QuotaLease};

/// Failed reports in a row after which the keeper counts as lost.
const FAILURES_MAX: u32 = 2;

/// Unit of grants in messages.
pub(super) const BILLION: f64 = 1e9;

/// Lease that a daemon holds from its keeper, or a keeper from the root.
#[derive(Debug, Default)]
pub(super) struct LeaseHolder {
    session: u64,
    lease: u64,
    expires_at: Option<Instant>,
    /// Until when the grants of an expired lease or of a lost keeper are used.
    ///
    /// With its fixed share alone a daemon would refuse most requests of unevenly distributed callers
    /// until the next keeper knows the demand.
    kept_until: Option<Instant>,
    reported_at: Option<Instant>,
    /// Whether the next report is due at once.
    is_due: bool,
    failures: u32,
    is_keeper_lost: bool,
    grants: HashMap<OrganisationId, f64>,
    without_spare: HashSet<OrganisationId>,
}

impl LeaseHolder {
    /// Returns the part of an organisation's rate that may be used, where `share` is the fixed share.
    pub fn fraction(&self, now: Instant, id: OrganisationId, share: f64) -> f64 {
        self.fraction_until(now, now, id, share)
    }

    /// Returns the part that may be used until `until`, or later if the lease is not valid by then.
    pub fn fraction_until(
        &self,
        now: Instant,
        until: Instant,
        id: OrganisationId,
        share: f64,
    ) -> f64 {
        let is_kept = self.kept_until.is_some_and(|until| until > now);
        if !self.is_live(until) && !is_kept {
            return share;
        }
        self.grants.get(&id).copied().unwrap_or(BASE_SHARE * share)
    }

    pub fn is_live(&self, now: Instant) -> bool {
        self.expires_at.is_some_and(|expires_at| expires_at > now)
    }

    /// Returns whether the lease has a grant for an organisation above the base grant.
    pub fn is_granted(&self, now: Instant, id: OrganisationId) -> bool {
        self.is_live(now) && self.grants.get(&id).is_some_and(|granted| *granted > 0.0)
    }

    pub fn expires_at(&self) -> Option<Instant> {
        self.expires_at
    }

    /// Returns whether the lease is live and its keeper has capacity to spare for an organisation.
    pub fn has_spare(&self, now: Instant, id: OrganisationId) -> bool {
        self.is_live(now) && !self.without_spare.contains(&id)
    }

    /// Returns when the next report is due; `is_early` for one that doesn't wait for the interval.
    pub fn report_due_at(&self, now: Instant, is_early: bool) -> Instant {
        let interval = if is_early { EARLY_REPORT_INTERVAL } else { REPORT_INTERVAL };
        let waits_from = self.reported_at.filter(|_| !self.is_due);
        waits_from.map_or(now, |reported_at| reported_at + interval)
    }

    /// Notes that a report is sent; returns the session and number of the held lease, and the time
    /// since the last report.
    pub fn begin_report(&mut self, now: Instant) -> (u64, u64, Duration) {
        if std::mem::take(&mut self.is_keeper_lost) {
            (self.session, self.lease, self.failures) = (0, 0, 0);
        }
        let interval = self
            .reported_at
            .map_or(REPORT_INTERVAL, |reported_at| now.saturating_duration_since(reported_at));
        (self.reported_at, self.is_due) = (Some(now), false);
        (self.session, self.lease, interval)
    }

    /// Applies the response to a report that was sent at `sent_at`. Returns whether it was granted.
    pub fn apply(&mut self, sent_at: Instant, lease: &QuotaLease) -> bool {
        let is_other_session = self.session != 0 && self.session != lease.session;
        if lease.lasts_ms == 0 || is_other_session {
            self.is_keeper_lost = true;
            return false;
        }
        if lease.lease <= self.lease {
            return true;
        }
        // A holder is counted only once it has confirmed a lease, so it confirms the first one at once.
        self.is_due = self.lease == 0;
        (self.session, self.lease, self.failures) = (lease.session, lease.lease, 0);
        let expires_at = sent_at + Duration::from_millis(lease.lasts_ms.into());
        (self.expires_at, self.kept_until) = (Some(expires_at), Some(expires_at + KEPT_FOR));
        if !lease.is_change {
            self.grants.clear();
        }
        for grant in &lease.grants {
            match grant.per_billion {
                Some(part) => self.grants.insert(grant.id, f64::from(part) / BILLION),
                None => self.grants.remove(&grant.id),
            };
        }
        self.without_spare = lease.without_spare.iter().copied().collect();
        true
    }

    /// Notes that a report had no response. Returns whether the keeper counts as lost.
    pub fn record_failure(&mut self) -> bool {
        self.failures += 1;
        // A holder without a lease isn't counted anywhere, so it may ask the next keeper at once.
        if self.failures >= FAILURES_MAX || self.lease == 0 {
            self.failures = 0;
            self.is_keeper_lost = true;
        }
        self.is_keeper_lost
    }

    /// Gives the keeper up. Its lease stays valid until it expires.
    pub fn leave(&mut self) {
        self.is_keeper_lost = true;
    }
}
