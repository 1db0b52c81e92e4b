//! Records what the target announces with its responses: a rate limit, and that it leaves.

use std::time::Instant;

use http::HeaderMap;
use yuccarack_config::{
    announcement::{LimitReport, RequestRate},
    heartbeat::TargetIncarnation,
};
use yuccarack_platform_wire::announcement;
use yuccarack_policy::rate_limit::ReportSource;

use super::{ActiveTarget, Gate};
use crate::coordination::routed::log_lines::{
    TargetAnnouncedLeaving, TargetLimitChanged, TargetLimitRejected,
};

impl Gate {
    /// Returns the rate limit that the target announces; `None` without one.
    pub fn rate_limit(&self) -> Option<RequestRate> {
        let active = self.active.read().clone()?;
        active.slots.read(|queue| queue.rate_limit().rate())
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
    ///
    /// An entry that passed on such a response reports it with its requests, so that a gate which
    /// has restarted since doesn't forward them.
    pub(super) fn record_leaving(&self, incarnation: TargetIncarnation) {
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
        let previous_per_1000_s = previous.map(RequestRate::per_1000_s);
        if report == LimitReport::Malformed {
            self.parts.counters.add("gate.rate_limit_unreadable");
            self.parts.events.write(|| TargetLimitRejected {
                target: active.view.target.clone(),
                limit_per_1000_s: previous_per_1000_s,
            });
        }
        if !is_changed {
            return;
        }
        self.parts.counters.add("gate.rate_limit_changes");
        let rate = active.slots.read(|queue| queue.rate_limit().rate());
        self.parts.events.write(|| TargetLimitChanged {
            target: active.view.target.clone(),
            life: active.view.incarnation,
            limit_per_1000_s: rate.map(RequestRate::per_1000_s),
            previous_per_1000_s,
            by_health_check: source == ReportSource::HealthCheck,
        });
    }
}
