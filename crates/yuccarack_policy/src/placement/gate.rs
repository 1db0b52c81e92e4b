//! State of one gate as known to an entry.

use std::time::{Duration, Instant};

use yuccarack_config::announcement::RequestRate;

use super::link::{LinkLoad, LinkReport};
use crate::slowdown::SlowdownEstimate;

/// Load that a gate reports with each response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateLoad {
    /// Requests running at its target.
    pub running: u16,
    /// Requests waiting at the gate.
    pub waiting: u16,
    /// Largest number of requests that the gate runs at once.
    pub limit: u16,
    /// Mean service time of a request without slowdown.
    pub mean_service_time: Duration,
    /// Current slowdown; 1.0 is the usual service time.
    pub slowdown: f64,
    /// Rate limit that the target announces; `None` without one.
    pub rate_limit: Option<RequestRate>,
    /// Time until the rate limit has room for a further request; zero without a limit.
    pub admits_in: Duration,
}

/// Outcome of an attempt at a gate, as far as the gate or its target is responsible.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateAttemptOutcome {
    /// The target responded.
    Answered,
    /// The target responded with a failure, or its response was cut off.
    Failed,
    /// The gate rejected the request for now.
    Refused,
    /// The gate reports that its target takes no work: it is draining or has exited.
    Unavailable,
    /// No connection to the gate could be made.
    Unreachable,
    /// The caller disconnected or gave up.
    Cancelled,
}

/// Half-life of a load report, about as long as a request takes.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(200);

/// Age up to which a load report is taken as current; a slot becomes free every 20 to 30 ms.
const LOAD_FRESH_MAX_AGE: Duration = Duration::from_millis(30);

/// Weight of a new outcome in the share of failures, which covers about a dozen outcomes.
const FAILURE_WEIGHT: f64 = 0.08;

/// Concurrency assumed for a gate that has reported nothing yet; it is that of the fleet's targets.
const DEFAULT_LIMIT: u16 = 6;

/// First time for which an unavailable gate gets no requests.
const UNAVAILABLE_BACKOFF_MIN: Duration = Duration::from_millis(250);

/// Longest such time; a daemon that is reachable again is in the table by then.
const UNAVAILABLE_BACKOFF_MAX: Duration = Duration::from_secs(2);

/// A gate and what is known of it.
#[derive(Clone, Debug)]
pub struct Gate {
    /// Whether the gate is in the entry's own failure domain.
    pub is_local: bool,
    /// Requests of this entry that the gate currently has.
    pub outstanding: u16,
    load: Option<(GateLoad, Instant)>,
    slowdown: SlowdownEstimate,
    link: Option<LinkLoad>,
    /// Requests sent since the latest load report.
    sent_since_report: u16,
    failure_share: f64,
    unavailable_until: Option<Instant>,
    unavailable_in_row: u32,
    /// Whether nothing is sent to the gate until a connection could be made again.
    pub is_unreachable: bool,
}

impl Gate {
    pub fn new(is_local: bool) -> Self {
        Self {
            is_local,
            outstanding: 0,
            load: None,
            slowdown: SlowdownEstimate::new(),
            link: None,
            sent_since_report: 0,
            failure_share: 0.0,
            unavailable_until: None,
            unavailable_in_row: 0,
            is_unreachable: false,
        }
    }

    pub fn record_load(&mut self, now: Instant, load: GateLoad) {
        self.slowdown.record(now, load.slowdown);
        self.load = Some((load, now));
        self.sent_since_report = 0;
    }

    pub fn record_link(&mut self, now: Instant, report: Option<LinkReport>) {
        self.link = report.map(|report| LinkLoad::new(now, report));
    }

    /// Records that a request was sent whose response is expected to have `bytes`.
    pub fn record_expected_response(&mut self, bytes: u64) {
        if let Some(link) = &mut self.link {
            link.record_attempt(bytes);
        }
    }

    /// Returns the time that a response of `bytes` needs over the gate's link.
    pub fn link_delay(&self, now: Instant, bytes: u64) -> Duration {
        self.link.map_or(Duration::ZERO, |link| link.delay(now, bytes))
    }

    pub fn record_attempt(&mut self) {
        self.outstanding += 1;
        self.sent_since_report = self.sent_since_report.saturating_add(1);
    }

    pub fn record_outcome(&mut self, now: Instant, outcome: GateAttemptOutcome) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if matches!(outcome, GateAttemptOutcome::Unavailable | GateAttemptOutcome::Unreachable) {
            // The gate holds nothing of this request, and no load report came to say so.
            self.sent_since_report = self.sent_since_report.saturating_sub(1);
        }
        match outcome {
            GateAttemptOutcome::Answered => {
                self.failure_share -= FAILURE_WEIGHT * self.failure_share;
                self.mark_reachable();
            }
            GateAttemptOutcome::Failed => {
                self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share)
            }
            GateAttemptOutcome::Refused => self.mark_reachable(),
            GateAttemptOutcome::Unavailable => self.mark_unavailable(now),
            GateAttemptOutcome::Unreachable => self.is_unreachable = true,
            GateAttemptOutcome::Cancelled => {}
        }
    }

    /// Clears the unavailable and unreachable states after a response or rejection, a successful
    /// connection, or a changed row of the gate's daemon.
    pub fn mark_reachable(&mut self) {
        self.unavailable_until = None;
        self.unavailable_in_row = 0;
        self.is_unreachable = false;
    }

    pub fn is_unavailable(&self, now: Instant) -> bool {
        self.is_unreachable || self.unavailable_until.is_some_and(|until| until > now)
    }

    /// Returns the smoothed share of its responses that are failures.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Returns whether the load report is recent enough to show that the gate is full.
    pub fn is_load_fresh(&self, now: Instant) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.load.is_some_and(|(_, at)| age(at) < LOAD_FRESH_MAX_AGE)
    }

    /// Returns by how many requests the estimated load exceeds the limit with one more request.
    pub fn excess(&self, now: Instant) -> f64 {
        self.estimated_load(now) + 1.0 - self.limit()
    }

    /// Returns the expected time until the response to a request that is sent now.
    pub fn expected_response_time(&self, now: Instant, mean_service_time: Duration) -> Duration {
        let unloaded_time = self.load.map_or(mean_service_time, |(load, _)| load.mean_service_time);
        let service_time = self.slowdown.service_time(now, unloaded_time);
        let rounds = (self.excess(now).max(0.0)) / self.limit();
        service_time + service_time.mul_f64(rounds) + self.rate_limit_wait(now)
    }

    /// Returns how long a request that is sent now waits for the target's rate limit, counting the
    /// requests that this entry has sent since the latest load report.
    pub fn rate_limit_wait(&self, now: Instant) -> Duration {
        let Some((load, reported_at)) = self.load else { return Duration::ZERO };
        let Some(rate) = load.rate_limit else { return Duration::ZERO };
        let sent = rate.interval().unwrap_or_default() * u32::from(self.sent_since_report);
        (reported_at + load.admits_in + sent).saturating_duration_since(now)
    }

    fn limit(&self) -> f64 {
        f64::from(self.load.map_or(DEFAULT_LIMIT, |(load, _)| load.limit).max(1))
    }

    /// Estimates the requests at the gate: those reported, as far as they haven't completed by now,
    /// plus those sent since, and at least those of this entry.
    fn estimated_load(&self, now: Instant) -> f64 {
        let reported = self.load.map_or(0.0, |(load, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            let remaining_share = (-age / LOAD_HALF_LIFE.as_secs_f64()).exp2();
            f64::from(load.running + load.waiting) * remaining_share
        });
        (reported + f64::from(self.sent_since_report)).max(f64::from(self.outstanding))
    }

    fn mark_unavailable(&mut self, now: Instant) {
        let backoff =
            UNAVAILABLE_BACKOFF_MIN * 2_u32.saturating_pow(self.unavailable_in_row.min(4));
        self.unavailable_until = Some(now + backoff.min(UNAVAILABLE_BACKOFF_MAX));
        self.unavailable_in_row += 1;
    }
}
