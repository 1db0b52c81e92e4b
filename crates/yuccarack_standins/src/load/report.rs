//! Counts and latencies of responses.

use std::{collections::BTreeMap, fmt, time::Duration};

use hdrhistogram::Histogram;
use yuccarack_config::wire_data;

use super::Verdict;

/// Significant digits of the latency histogram.
const LATENCY_DIGITS: u8 = 3;

/// Highest latency in the histogram, in µs; longer ones are clamped to it.
const LATENCY_MAX_US: u64 = 120_000_000;

/// Counts of the responses so far.
#[derive(Debug)]
pub struct Tally {
    latencies_us: Histogram<u64>,
    right: u64,
    wrong: u64,
    cut: u64,
    missing: u64,
    refused: BTreeMap<String, u64>,
    untyped: BTreeMap<u16, u64>,
}

wire_data! {
    /// Result of a load.
    pub struct LoadReport {
        /// Requests sent.
        pub sent: u64,
        /// Correct responses.
        pub right: u64,
        /// Successes with another body than expected.
        pub wrong: u64,
        /// Truncated responses.
        pub cut: u64,
        /// Requests without a response.
        pub missing: u64,
        /// Typed refusals and losses, by outcome and reason.
        pub refused: BTreeMap<String, u64>,
        /// Failures without outcome and reason headers, by status.
        pub untyped: BTreeMap<u16, u64>,
        /// Correct responses per second.
        pub right_per_second: u64,
        /// Median latency of correct responses, in µs.
        pub p50_us: u64,
        /// 90th percentile of the latency of correct responses, in µs.
        pub p90_us: u64,
        /// 99th percentile of the latency of correct responses, in µs.
        pub p99_us: u64,
        /// 99.9th percentile of the latency of correct responses, in µs.
        pub p999_us: u64,
        /// Highest latency of a correct response, in µs.
        pub longest_us: u64,
    }
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            latencies_us: Histogram::new_with_bounds(1, LATENCY_MAX_US, LATENCY_DIGITS)
                .expect("the bounds and digits are in range"),
            right: 0,
            wrong: 0,
            cut: 0,
            missing: 0,
            refused: BTreeMap::new(),
            untyped: BTreeMap::new(),
        }
    }
}

impl Tally {
    /// Counts one response that arrived after `time`.
    pub fn count(&mut self, verdict: &Verdict, time: Duration) {
        match verdict {
            Verdict::Correct => {
                self.right += 1;
                let time_us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
                self.latencies_us.saturating_record(time_us);
            }
            Verdict::Refused { outcome, reason } => {
                *self.refused.entry(format!("{outcome} {reason}")).or_default() += 1;
            }
            Verdict::WrongBody => self.wrong += 1,
            Verdict::Untyped { status } => *self.untyped.entry(*status).or_default() += 1,
            Verdict::Truncated => self.cut += 1,
            Verdict::NoResponse => self.missing += 1,
        }
    }
}

impl LoadReport {
    /// Makes the report of `tally` for a load that took `elapsed`.
    pub fn new(tally: &Tally, elapsed: Duration) -> Self {
        let refused: u64 = tally.refused.values().sum();
        let untyped: u64 = tally.untyped.values().sum();
        let latencies = &tally.latencies_us;
        Self {
            sent: tally.right + tally.wrong + tally.cut + tally.missing + refused + untyped,
            right: tally.right,
            wrong: tally.wrong,
            cut: tally.cut,
            missing: tally.missing,
            refused: tally.refused.clone(),
            untyped: tally.untyped.clone(),
            right_per_second: (tally.right as f64 / elapsed.as_secs_f64()) as u64,
            p50_us: latencies.value_at_quantile(0.5),
            p90_us: latencies.value_at_quantile(0.9),
            p99_us: latencies.value_at_quantile(0.99),
            p999_us: latencies.value_at_quantile(0.999),
            longest_us: latencies.max(),
        }
    }

    /// Whether no response was wrong, truncated, missing or untyped.
    pub fn has_only_correct_or_refused(&self) -> bool {
        self.wrong == 0 && self.cut == 0 && self.missing == 0 && self.untyped.is_empty()
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "sent {:>8}   right a second {:>8}", self.sent, self.right_per_second)?;
        writeln!(f, "right {:>7}   wrong {}   cut {}", self.right, self.wrong, self.cut)?;
        writeln!(f, "missing {}", self.missing)?;
        for (reason, count) in &self.refused {
            writeln!(f, "refused {count:>5}   {reason}")?;
        }
        for (status, count) in &self.untyped {
            writeln!(f, "untyped {count:>5}   status {status}")?;
        }
        writeln!(f, "{:>10} {:>10} {:>10} {:>10} {:>10}", "p50", "p90", "p99", "p99.9", "longest")?;
        let latencies = [self.p50_us, self.p90_us, self.p99_us, self.p999_us, self.longest_us];
        let cells: Vec<_> = latencies.iter().map(|us| format!("{:>7.2} ms", ms(*us))).collect();
        write!(f, "{}", cells.join(" "))
    }
}

fn ms(us: u64) -> f64 {
    us as f64 / 1_000.0
}
