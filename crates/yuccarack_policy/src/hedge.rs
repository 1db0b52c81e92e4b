//! Whether and when a second target is asked before the first has answered.
//!
//! The pattern is a straggler: one target slows for some milliseconds while the others are quick,
//! and the requests already handed to it make the tail. A second try after the usual tail bounds
//! it. Without a budget and without evidence of saturation, hedges would double the load exactly
//! when every target is slow.

use std::time::{Duration, Instant};

use yuccarack_config::rules::HedgeRules;

use crate::budget::EarnedBudget;

/// Hedges that a quiet entry may send at once.
pub const RESERVE: u16 = 20;

/// How much longer a hedge waits when the budget is nearly spent, in shares of the tail.
pub const SCARCITY_FACTOR: f64 = 3.0;

/// Answers seen before the tail is believed.
///
/// Below twenty the 95th percentile is just the slowest answer.
pub const RESPONSES_MIN: u32 = 20;

/// Answers after which old ones count half, so that the tail follows a shift.
pub const RESPONSES_KEPT: u32 = 1_000;

/// Share of refused first tries above which hedges stop, in percent.
pub const REFUSED_MAX_PERCENT: f64 = 5.0;

/// Time in which evidence of saturation loses half its weight.
pub const EVIDENCE_HALF_LIFE: Duration = Duration::from_millis(500);

/// Steps of the histogram for each doubling of the answer time.
const BUCKETS_PER_DOUBLING: u32 = 8;

/// Steps in all: 32 doublings of 1 µs are over an hour.
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

    /// Notes a first try, which earns the budget's share.
    pub fn record_first_attempt(&mut self, now: Instant) {
        self.budget.earn();
        self.attempts.add(now);
    }

    /// Notes the time a try took until its answer.
    pub fn record_response(&mut self, _now: Instant, took: Duration) {
        self.response_times.add(took);
    }

    /// Notes a refusal by a gate, which is evidence of saturation.
    pub fn record_refusal(&mut self, now: Instant) {
        self.refusals.add(now);
    }

    /// Time after hand-over at which a hedge is worth sending; `None` while hedging is off.
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

    /// Pays for one hedge just before it is sent; `false` means that it isn't to be sent.
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

/// Answer times in steps of about 9 %.
#[derive(Clone, Debug)]
struct Histogram {
    counts: Box<[u16; BUCKETS]>,
    count: u32,
}

impl Histogram {
    fn new() -> Self {
        Self { counts: Box::new([0; BUCKETS]), count: 0 }
    }

    fn add(&mut self, took: Duration) {
        let took_us = took.as_micros().max(1) as f64;
        let step = (took_us.log2() * f64::from(BUCKETS_PER_DOUBLING)) as usize;
        self.counts[step.min(BUCKETS - 1)] += 1;
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
        let wanted = (u64::from(self.count) * u64::from(percentile)).div_ceil(100);
        let mut seen = 0;
        for (step, &count) in self.counts.iter().enumerate() {
            seen += u64::from(count);
            if seen >= wanted {
                return upper_edge(step);
            }
        }
        upper_edge(BUCKETS - 1)
    }
}

fn upper_edge(step: usize) -> Duration {
    let doublings = (step + 1) as f64 / f64::from(BUCKETS_PER_DOUBLING);
    Duration::from_micros(doublings.exp2() as u64)
}
