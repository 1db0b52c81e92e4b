//! Hedged requests: whether and when a second target is tried before the first has responded.
//!
//! Used for calls by service.
//!
//! A straggler is a target that is slow for some milliseconds while the others are fast; the
//! requests already dispatched to it make up the tail of the response times. A second attempt after
//! the usual tail bounds it. Without a budget and a check for saturation, hedges would double the
//! load exactly when every target is slow.

use std::time::{Duration, Instant};

use yuccarack_config::rules::HedgeRules;

use crate::budget::EarnedBudget;

/// Hedges that an idle entry may send at once.
pub const RESERVE: u16 = 20;

/// Additional delay of a hedge when the budget is nearly spent, in multiples of the tail.
pub const SCARCITY_FACTOR: f64 = 3.0;

/// Responses needed before the tail is known.
///
/// With fewer than twenty the 95th percentile is just the slowest response.
pub const RESPONSES_MIN: u32 = 20;

/// Responses after which the old ones count half, so that the tail follows changes.
pub const RESPONSES_KEPT: u32 = 1_000;

/// Share of rejected first attempts above which no hedges are sent, in percent.
pub const REFUSED_MAX_PERCENT: f64 = 5.0;

/// Time in which evidence of saturation loses half its weight.
pub const EVIDENCE_HALF_LIFE: Duration = Duration::from_millis(500);

/// Buckets of the histogram for each doubling of the response time.
const BUCKETS_PER_DOUBLING: u32 = 8;

/// Number of buckets: 32 doublings of 1 µs are more than an hour.
const BUCKETS: usize = 256;

/// Decides on hedges for one service at one entry.
#[derive(Clone, Debug)]
pub struct HedgePolicy {
    after_percentile: u8,
    delay_min: Duration,
    budget: EarnedBudget,
    response_times: Histogram,
    attempts: DecayingCount,
    refusals: DecayingCount,
}

impl HedgePolicy {
    /// Creates the policy; a budget of 0 turns hedging off.
    pub fn new(rules: &HedgeRules) -> Self {
        Self {
            after_percentile: rules.after_percentile.min(100),
            delay_min: Duration::from_millis(u64::from(rules.delay_min_ms)),
            budget: EarnedBudget::new(rules.budget_percent, RESERVE),
            response_times: Histogram::new(),
            attempts: DecayingCount::default(),
            refusals: DecayingCount::default(),
        }
    }

    /// Records a first attempt, which earns its share of the budget.
    pub fn record_first_attempt(&mut self, now: Instant) {
        self.budget.earn();
        self.attempts.add(now);
    }

    /// Records the time from the start of an attempt to its response.
    pub fn record_response(&mut self, _now: Instant, response_time: Duration) {
        self.response_times.add(response_time);
    }

    /// Records a rejection by a gate, which is evidence of saturation.
    pub fn record_refusal(&mut self, now: Instant) {
        self.refusals.add(now);
    }

    /// Returns the time after dispatch at which a hedge is sent; `None` if none may be sent because
    /// hedging is off, too few responses are known or the service is saturated.
    pub fn delay(&self, now: Instant) -> Option<Duration> {
        if self.budget.is_off()
            || self.response_times.count < RESPONSES_MIN
            || self.is_saturated(now)
        {
            return None;
        }
        let tail = self.response_times.percentile(self.after_percentile).max(self.delay_min);
        Some(tail.mul_f64(1.0 + SCARCITY_FACTOR * (1.0 - self.budget.level())))
    }

    /// Spends one hedge just before it is sent; `false` means that it must not be sent.
    pub fn spend(&mut self, now: Instant) -> bool {
        !self.is_saturated(now) && self.budget.spend()
    }

    fn is_saturated(&self, now: Instant) -> bool {
        let refused = self.refusals.at(now);
        refused * 100.0 > (self.attempts.at(now) + 1.0) * REFUSED_MAX_PERCENT
    }
}

/// A count that loses half its weight every [`EVIDENCE_HALF_LIFE`].
#[derive(Clone, Debug, Default)]
struct DecayingCount {
    level: f64,
    at: Option<Instant>,
}

impl DecayingCount {
    fn add(&mut self, now: Instant) {
        self.level = self.at(now) + 1.0;
        self.at = Some(now);
    }

    fn at(&self, now: Instant) -> f64 {
        let Some(at) = self.at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.level * (-age / EVIDENCE_HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// Histogram of response times, in buckets of about 9 %.
#[derive(Clone, Debug)]
struct Histogram {
    counts: Box<[u16; BUCKETS]>,
    count: u32,
}

impl Histogram {
    fn new() -> Self {
        Self { counts: Box::new([0; BUCKETS]), count: 0 }
    }

    fn add(&mut self, response_time: Duration) {
        let response_time_us = response_time.as_micros().max(1) as f64;
        let bucket = (response_time_us.log2() * f64::from(BUCKETS_PER_DOUBLING)) as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1;
        self.count += 1;
        if self.count >= RESPONSES_KEPT {
            self.halve();
        }
    }

    fn halve(&mut self) {
        self.counts.iter_mut().for_each(|count| *count /= 2);
        self.count = self.counts.iter().map(|&count| u32::from(count)).sum();
    }

    fn percentile(&self, percentile: u8) -> Duration {
        let rank = (u64::from(self.count) * u64::from(percentile)).div_ceil(100);
        let mut cumulative = 0;
        for (bucket, &count) in self.counts.iter().enumerate() {
            cumulative += u64::from(count);
            if cumulative >= rank {
                return upper_edge(bucket);
            }
        }
        upper_edge(BUCKETS - 1)
    }
}

fn upper_edge(bucket: usize) -> Duration {
    let doublings = (bucket + 1) as f64 / f64::from(BUCKETS_PER_DOUBLING);
    Duration::from_micros(doublings.exp2() as u64)
}
