//! What one entry knows of one target, and the answer time it expects of it.

use std::time::{Duration, Instant};

use yuccarack_config::{
    ids::{Incarnation, InstanceId},
    load::LoadReport,
};

use super::{Member, MemberState};

/// Time in which a load report loses half its weight against the mean.
pub const LOAD_HALF_LIFE: Duration = Duration::from_millis(100);

/// Time in which a service time loses half its weight against the mean.
pub const SERVICE_HALF_LIFE: Duration = Duration::from_millis(50);

/// Weight of one new sample in a smoothed value.
const SAMPLE_WEIGHT: f32 = 0.1;

/// Weight of one own answer in the smoothed time of own answers.
const RESPONSE_TIME_WEIGHT: f32 = 0.3;

/// Smallest share of the time of own answers that a report may claim as time of service.
///
/// Half leaves room for the link and for a queue as long as the service itself.
const CREDIBLE_SERVICE_SHARE: f32 = 0.5;

/// Weight of one outcome in the share of failures.
const FAILURE_WEIGHT: f32 = 0.2;

/// What a failure costs its caller, in times of service.
pub const FAILURE_COST: f32 = 5.0;

/// Time in which failures lose half their weight.
pub const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Share of failures above which other failure domains are looked at.
const OVERLOAD_FAILURE_SHARE: f32 = 0.1;

/// Share of answers that always counts as left, so that an expectation stays finite.
const SUCCESS_SHARE_MIN: f32 = 0.02;

/// Service time assumed before anything was seen, in µs.
const DEFAULT_SERVICE_US: f32 = 10_000.0;

/// How much a filled target costs more than an empty one, in shares of its service time.
const FILL_COST: f32 = 0.3;

/// Fill above which other failure domains are looked at.
pub const OVERLOAD_FILL: f32 = 0.9;

/// Multiple of the mean service time above which a target counts as slow.
pub const OVERLOAD_SLOWDOWN: f32 = 2.0;

/// Multiple of its service time for which a target with work may stay silent.
pub const SILENCE_FACTOR: f32 = 2.0;

/// Time after which a target counts as warm whatever it answered.
pub const SLOW_START: Duration = Duration::from_secs(10);

/// Answers after which a target counts as warm.
pub const SLOW_START_RESPONSES: f32 = 32.0;

/// Share of its slots that a cold target is given at once.
const WARMTH_MIN: f32 = 0.1;

/// First ejection; each further one in a row is twice as long.
pub const EJECTION_FIRST: Duration = Duration::from_secs(1);

/// Longest ejection.
pub const EJECTION_MAX: Duration = Duration::from_secs(30);

/// Answers in a row by which an ejected target proves itself.
pub const RECOVERY_RESPONSES: u8 = 3;

/// Means over all targets of the service, toward which old news fades.
#[derive(Clone, Copy, Debug)]
pub struct ServiceMeans {
    fill: f32,
    service_us: f32,
}

/// What one entry knows of one target.
#[derive(Clone, Debug)]
pub struct Target {
    pub instance: InstanceId,
    pub incarnation: Incarnation,
    pub is_local: bool,
    pub slots: u16,
    pub state: MemberState,
    pub outstanding: u32,
    pub report: LoadReport,
    pub reported_at: Option<Instant>,
    outstanding_at_report: u32,
    /// Last sign of life while work is out there.
    last_activity_at: Instant,
    service_us: f32,
    /// Smoothed time of this entry's own answers, queue and link included; 0 before the first.
    response_time_us: f32,
    failure_share: f32,
    failed_at: Instant,
    pub failures_in_row: u8,
    pub ejected_until: Option<Instant>,
    ejections_in_row: u8,
    responses_in_row: u8,
    ready_since: Instant,
    responses: f32,
}

impl Default for ServiceMeans {
    fn default() -> Self {
        Self { fill: 0.0, service_us: DEFAULT_SERVICE_US }
    }
}

impl Target {
    pub fn new(now: Instant, member: &Member, is_local: bool, is_warm: bool) -> Self {
        Self {
            instance: member.instance.clone(),
            incarnation: member.incarnation,
            is_local,
            slots: member.slots.max(1),
            state: member.state,
            outstanding: 0,
            report: LoadReport::default(),
            reported_at: None,
            outstanding_at_report: 0,
            last_activity_at: now,
            service_us: 0.0,
            response_time_us: 0.0,
            failure_share: 0.0,
            failed_at: now,
            failures_in_row: 0,
            ejected_until: None,
            ejections_in_row: 0,
            responses_in_row: 0,
            ready_since: now,
            responses: if is_warm { SLOW_START_RESPONSES } else { 0.0 },
        }
    }

    pub fn update(&mut self, now: Instant, member: &Member, is_local: bool) {
        if self.state != MemberState::Ready && member.state == MemberState::Ready {
            self.start_slowly(now);
        }
        self.state = member.state;
        self.slots = member.slots.max(1);
        self.is_local = is_local;
    }

    pub fn record_attempt(&mut self, now: Instant) {
        if self.outstanding == 0 {
            self.last_activity_at = now;
        }
        self.outstanding += 1;
    }

    pub fn record_end(&mut self, now: Instant) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.last_activity_at = now;
    }

    pub fn record_response(&mut self, took: Duration, mean: &mut ServiceMeans) {
        self.failure_share *= 1.0 - FAILURE_WEIGHT;
        self.failures_in_row = 0;
        self.responses_in_row = self.responses_in_row.saturating_add(1);
        self.responses += 1.0;
        let took_us = took.as_micros() as f32;
        if self.response_time_us == 0.0 {
            self.response_time_us = took_us;
        }
        self.response_time_us += (took_us - self.response_time_us) * RESPONSE_TIME_WEIGHT;
        if self.reported_at.is_none() {
            self.record_service_time(took_us, mean);
        }
    }

    /// Notes a failure; how fast it came never counts, or a target that fails at once would look
    /// like the quickest of all.
    pub fn record_failure(&mut self, now: Instant) {
        let share = self.failure_share(now);
        self.failure_share = share + (1.0 - share) * FAILURE_WEIGHT;
        self.failed_at = now;
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        self.responses_in_row = 0;
    }

    /// Notes a refusal: whatever was reported before, the target is full now.
    pub fn record_refusal(&mut self, now: Instant) {
        let limit = self.limit() as u16;
        self.report.in_flight = self.report.in_flight.max(limit);
        self.report.queued = self.report.queued.max(limit / 2 + 1);
        self.report.limit = limit;
        self.reported_at = Some(now);
        self.outstanding_at_report = self.outstanding;
    }

    pub fn record_report(&mut self, now: Instant, report: LoadReport, mean: &mut ServiceMeans) {
        self.report = report;
        self.reported_at = Some(now);
        self.outstanding_at_report = self.outstanding;
        let fill = self.reported_load() / self.limit();
        mean.fill += (fill - mean.fill) * SAMPLE_WEIGHT;
        if report.service_us > 0 {
            self.record_service_time(report.service_us as f32, mean);
        }
    }

    /// Time in which a request sent now is expected to be answered, in µs, without the link.
    pub fn expected_us(&self, now: Instant, mean: &ServiceMeans) -> f32 {
        let service_us = self.service_us(now, mean);
        let fill = self.fill(now, mean);
        let waiting = (fill - 1.0).max(0.0);
        let usual_us = service_us * (1.0 + FILL_COST * fill.min(1.0) + waiting);
        let failure_share = self.failure_share(now);
        let answered = (1.0 - failure_share).max(SUCCESS_SHARE_MIN);
        let failures_us = service_us * FAILURE_COST * failure_share;
        (usual_us + failures_us + self.silence_us(now, service_us)) / answered
    }

    /// Whether the target is full or slow, so that other failure domains are worth a look.
    pub fn is_overloaded(&self, now: Instant, mean: &ServiceMeans) -> bool {
        let service_us = self.service_us(now, mean);
        self.fill(now, mean) > OVERLOAD_FILL
            || self.service_us > mean.service_us * OVERLOAD_SLOWDOWN
            || self.silence_us(now, service_us) > 0.0
            || self.failure_share(now) > OVERLOAD_FAILURE_SHARE
    }

    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    pub fn is_due_for_probe(&self, now: Instant) -> bool {
        let is_over = self.ejected_until.is_some_and(|until| until <= now);
        is_over && self.outstanding == 0 && self.state == MemberState::Ready
    }

    pub fn eject(&mut self, now: Instant) {
        let lasts = EJECTION_FIRST.saturating_mul(1 << self.ejections_in_row.min(5));
        self.ejected_until = Some(now + lasts.min(EJECTION_MAX));
        self.ejections_in_row = self.ejections_in_row.saturating_add(1);
        self.responses_in_row = 0;
    }

    pub fn has_recovered(&self) -> bool {
        self.is_ejected() && self.responses_in_row >= RECOVERY_RESPONSES
    }

    pub fn readmit(&mut self, now: Instant) {
        self.ejected_until = None;
        self.failure_share = 0.0;
        self.start_slowly(now);
    }

    /// Share of its slots that the target is trusted with, from [`COLDEST`] to 1.
    pub fn warmth(&self, now: Instant) -> f32 {
        let age = now.saturating_duration_since(self.ready_since).as_secs_f32();
        let by_time = age / SLOW_START.as_secs_f32();
        by_time.max(self.responses / SLOW_START_RESPONSES).clamp(WARMTH_MIN, 1.0)
    }

    fn start_slowly(&mut self, now: Instant) {
        self.ready_since = now;
        self.responses = 0.0;
    }

    /// Takes over a time of service.
    ///
    /// The failure is a report that lies: its target claims to be quick and draws all load while
    /// its answers are slow. What this entry measured itself outranks it.
    fn record_service_time(&mut self, service_us: f32, mean: &mut ServiceMeans) {
        let service_us = service_us.max(self.response_time_us * CREDIBLE_SERVICE_SHARE);
        self.service_us = service_us;
        mean.service_us += (service_us - mean.service_us) * SAMPLE_WEIGHT;
    }

    fn limit(&self) -> f32 {
        match self.report.limit {
            0 => f32::from(self.slots),
            limit => f32::from(limit),
        }
    }

    fn reported_load(&self) -> f32 {
        f32::from(self.report.in_flight) + f32::from(self.report.queued)
    }

    /// Requests ahead of one sent now, itself included, as a share of what runs at once.
    fn fill(&self, now: Instant, mean: &ServiceMeans) -> f32 {
        let own = self.outstanding as f32;
        let own_since = own - self.outstanding_at_report as f32;
        let weight = self.report_weight(now, LOAD_HALF_LIFE);
        let reported = (self.reported_load() + own_since).max(own);
        let assumed = (mean.fill * self.limit()).max(own);
        let load = weight * reported + (1.0 - weight) * assumed;
        (load + 1.0) / (self.limit() * self.warmth(now))
    }

    fn service_us(&self, now: Instant, mean: &ServiceMeans) -> f32 {
        if self.service_us == 0.0 {
            return mean.service_us;
        }
        // With work out there an answer is on its way, so the last one counts until it comes; one
        // try at a time finds out whether a slow target has recovered.
        let weight =
            if self.outstanding > 0 { 1.0 } else { self.report_weight(now, SERVICE_HALF_LIFE) };
        weight * self.service_us + (1.0 - weight) * mean.service_us
    }

    /// Time for which the target has owed an answer, in µs; 0 while that is still usual.
    ///
    /// The failure is a target that stalls: its last report still looks fine, and no newer one
    /// comes because nothing is answered. Silence is the only sign of it.
    fn silence_us(&self, now: Instant, service_us: f32) -> f32 {
        if self.outstanding == 0 {
            return 0.0;
        }
        let silent_us = now.saturating_duration_since(self.last_activity_at).as_micros() as f32;
        if silent_us > service_us * SILENCE_FACTOR { silent_us } else { 0.0 }
    }

    /// Share of failures, which fades: a target that failed a few times and was then passed over
    /// would otherwise never be asked again.
    fn failure_share(&self, now: Instant) -> f32 {
        if self.failure_share == 0.0 {
            return 0.0;
        }
        let age = now.saturating_duration_since(self.failed_at).as_secs_f32();
        self.failure_share * (-age / FAILURE_HALF_LIFE.as_secs_f32()).exp2()
    }

    fn report_weight(&self, now: Instant, half_life: Duration) -> f32 {
        let Some(at) = self.reported_at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f32();
        (-age / half_life.as_secs_f32()).exp2()
    }
}
