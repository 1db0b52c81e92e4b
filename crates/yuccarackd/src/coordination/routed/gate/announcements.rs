//! Records what the target announces with its responses: a rate limit, and that it leaves.

use std::time::Instant;

use http::HeaderMap;
use yuccarack_config::{
    announcement::{LimitReport, RequestRate},
    heartbeat::TargetIncarnation,
};
use yuccarack_platform_wire::announcement;
use yuccarack_policy::{rate_limit::ReportSource, work_queue::WorkQueue};

use super::{ActiveTarget, Gate};
use crate::{
    coordination::routed::log_lines::{
        TargetAnnouncedLeaving, TargetLimitChanged, TargetLimitRejected,
    },
    protocol::target_announcement::TargetAnnouncement,
};

/// From what a gate learned of a change of the rate limit.
#[derive(Clone, Copy, Debug)]
enum LimitSource {
    Response,
    HealthCheck,
    Entry,
}

impl LimitSource {
    fn as_str(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::HealthCheck => "health_check",
            Self::Entry => "entry",
        }
    }
}

impl Gate {
    /// Returns the rate limit that the target announces; `None` without one.
    pub fn rate_limit(&self) -> Option<RequestRate> {
        let active = self.active.read().clone()?;
        active.slots.read(|queue| queue.rate_limit().rate())
    }

    /// Returns what the target announced; `None` if nothing that holds now.
    pub(super) fn announcement(&self) -> Option<TargetAnnouncement> {
        let rate_limit = self.rate_limit();
        let leaving = self.parts.target.announced_leaving();
        if rate_limit.is_none() && leaving.is_none() {
            return None;
        }
        let incarnation = self.active.read().as_ref()?.view.incarnation;
        let is_leaving = leaving == Some(incarnation);
        Some(TargetAnnouncement { incarnation, rate_limit, is_leaving })
    }

    /// Records what `active` announced by the knowledge of an entry.
    ///
    /// The entry passed on a response that an earlier process of this daemon received. Without it,
    /// each restart would let requests through until the target's next response.
    pub(super) fn record_known_announcement(
        &self,
        active: &ActiveTarget,
        known: TargetAnnouncement,
    ) {
        if known.incarnation != active.view.incarnation {
            return;
        }
        if known.is_leaving {
            self.record_leaving(known.incarnation);
        }
        let Some(rate) = known.rate_limit else { return };
        let adopt = |queue: &mut WorkQueue, now| queue.rate_limit_mut().adopt(now, rate);
        if active.slots.read(|queue| queue.rate_limit().is_unreported())
            && active.slots.change(adopt)
        {
            self.log_limit_change(active, None, LimitSource::Entry);
        }
    }

    /// Records what a response of `active` with the headers `map` announces; its request was sent
    /// at `sent_at`.
    pub(super) fn record_announcement(
        &self,
        active: &ActiveTarget,
        sent_at: Instant,
        source: ReportSource,
        map: &HeaderMap,
    ) {
        let announcement = announcement::decode(map);
        self.record_limit(active, sent_at, source, announcement.limit);
        if announcement.is_leaving {
            self.record_leaving(active.view.incarnation);
        }
    }

    /// Records that the process of `incarnation` announced that it leaves.
    fn record_leaving(&self, incarnation: TargetIncarnation) {
        if !self.parts.target.record_announced_leaving(incarnation) {
            return;
        }
        self.parts.events.write(|| TargetAnnouncedLeaving {
            target: self.parts.target.current().map(|view| view.target.clone()),
            life: incarnation,
        });
    }

    fn record_limit(
        &self,
        active: &ActiveTarget,
        sent_at: Instant,
        source: ReportSource,
        report: LimitReport,
    ) {
        let (previous, is_changed) = active.slots.change(|queue, now| {
            let limit = queue.rate_limit_mut();
            (limit.rate(), limit.record(now, sent_at, source, report))
        });
        if report == LimitReport::Malformed {
            self.parts.counters.add("gate.rate_limit_unreadable");
            self.parts.events.write(|| TargetLimitRejected {
                target: active.view.target.clone(),
                limit_per_1000_s: previous.map(RequestRate::per_1000_s),
            });
        }
        if is_changed {
            let source = match source {
                ReportSource::Request => LimitSource::Response,
                ReportSource::HealthCheck => LimitSource::HealthCheck,
            };
            self.log_limit_change(active, previous, source);
        }
    }

    fn log_limit_change(
        &self,
        active: &ActiveTarget,
        previous: Option<RequestRate>,
        source: LimitSource,
    ) {
        self.parts.counters.add("gate.rate_limit_changes");
        let rate = active.slots.read(|queue| queue.rate_limit().rate());
        self.parts.events.write(|| TargetLimitChanged {
            target: active.view.target.clone(),
            life: active.view.incarnation,
            limit_per_1000_s: rate.map(RequestRate::per_1000_s),
            previous_per_1000_s: previous.map(RequestRate::per_1000_s),
            from: source.as_str(),
        });
    }
}
