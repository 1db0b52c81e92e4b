//! What callers got.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Highest answer time kept, in µs.
const HIGHEST_US: u64 = 60_000_000;

/// Counts of one run or of several that belong together.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Calls offered.
    pub offered: u64,
    /// Calls that the healthy targets could have done.
    pub capacity: f64,
    /// Calls answered in time while calls still came.
    pub answered_while_offered: u64,
    /// Calls refused, known not to have run.
    pub refused: u64,
    /// Calls that failed or whose outcome is unknown.
    pub failed: u64,
    /// Calls that got nothing by their deadline.
    pub late: u64,
    /// Runs that a target started.
    pub runs: u64,
    /// Runs beyond the first of their call.
    pub duplicates: u64,
    /// Hedges sent.
    pub hedges: u64,
    /// Tries sent again.
    pub retries: u64,
    /// Bytes spent on news of load.
    pub measuring_bytes: u64,
    /// Sum of the age of news over all choices, in µs, and their number.
    pub report_age_us: (u64, u64),
    /// Target seconds, for rates.
    pub target_s: f64,
    /// Pairs of an entry and a target, seconds long.
    pub pair_s: f64,
    /// Answer times of calls answered in time, in µs.
    pub response_times: Histogram<u64>,
    /// Calls offered and answered of heavy callers.
    pub heavy: (u64, u64),
    /// Calls offered and answered of the other callers.
    pub light: (u64, u64),
    /// Answer times of short requests only, in µs.
    pub short_response_times: Histogram<u64>,
}

/// The figures of one row of the table.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Fleet played.
    pub fleet: &'static str,
    /// Story played.
    pub story: &'static str,
    /// Policy played.
    pub policy: &'static str,
    /// Calls offered.
    pub offered: u64,
    /// Share of calls answered in time, in percent.
    pub in_time_percent: f64,
    /// Calls answered in time as a share of capacity, in percent.
    pub goodput_percent: f64,
    /// Median of answered calls, in ms.
    pub p50_ms: f64,
    /// 99th percentile of answered calls, in ms.
    pub p99_ms: f64,
    /// 99.9th percentile of answered calls, in ms.
    pub p999_ms: f64,
    /// 99.9th percentile of answered short calls, in ms.
    pub short_p999_ms: f64,
    /// Share refused, in percent.
    pub refused_percent: f64,
    /// Share failed, in percent.
    pub failed_percent: f64,
    /// Share without an answer at the deadline, in percent.
    pub late_percent: f64,
    /// Runs beyond the first of their call, in percent of calls.
    pub duplicates_percent: f64,
    /// Share of light callers' calls answered in time, in percent.
    pub light_in_time_percent: f64,
    /// Share of heavy callers' calls answered in time, in percent.
    pub heavy_in_time_percent: f64,
    /// Bytes a second spent on news of each target.
    pub measuring_bytes_per_target_s: f64,
    /// Mean age of the news behind a choice, in ms.
    pub news_age_ms: f64,
    /// Bytes a second for each target that polling at the same age would cost.
    pub polling_bytes_per_target_s: f64,
}

/// Bytes of one poll of a load endpoint, both ways: request line and host, status line, length
/// and two numbers.
pub const POLL_BYTES: u64 = 200;

/// Bytes of the load header on an answer.
pub const REPORT_BYTES: u64 = 34;

impl Tally {
    /// Creates an empty tally.
    pub fn new() -> Self {
        let response_times =
            Histogram::new_with_max(HIGHEST_US, 3).expect("three digits of an hour's µs fit");
        Self {
            offered: 0,
            capacity: 0.0,
            answered_while_offered: 0,
            refused: 0,
            failed: 0,
            late: 0,
            runs: 0,
            duplicates: 0,
            hedges: 0,
            retries: 0,
            measuring_bytes: 0,
            report_age_us: (0, 0),
            target_s: 0.0,
            pair_s: 0.0,
            short_response_times: response_times.clone(),
            response_times,
            heavy: (0, 0),
            light: (0, 0),
        }
    }

    /// Notes a call answered in time.
    pub fn record_response(&mut self, response_time: Duration, is_heavy: bool, is_long: bool) {
        let response_time_us = (response_time.as_micros() as u64).clamp(1, HIGHEST_US);
        self.response_times.saturating_record(response_time_us);
        if !is_long {
            self.short_response_times.saturating_record(response_time_us);
        }
        if is_heavy {
            self.heavy.1 += 1;
        } else {
            self.light.1 += 1;
        }
    }

    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Self) {
        self.offered += other.offered;
        self.capacity += other.capacity;
        self.answered_while_offered += other.answered_while_offered;
        self.refused += other.refused;
        self.failed += other.failed;
        self.late += other.late;
        self.runs += other.runs;
        self.duplicates += other.duplicates;
        self.hedges += other.hedges;
        self.retries += other.retries;
        self.measuring_bytes += other.measuring_bytes;
        self.report_age_us.0 += other.report_age_us.0;
        self.report_age_us.1 += other.report_age_us.1;
        self.target_s += other.target_s;
        self.pair_s += other.pair_s;
        self.heavy.0 += other.heavy.0;
        self.heavy.1 += other.heavy.1;
        self.light.0 += other.light.0;
        self.light.1 += other.light.1;
        self.response_times.add(&other.response_times).expect("both have the same bounds");
        self.short_response_times
            .add(&other.short_response_times)
            .expect("both have the same bounds");
    }

    /// Answer time that `percent` of the answered calls didn't exceed.
    pub fn percentile(&self, percent: f64) -> Duration {
        Duration::from_micros(self.response_times.value_at_percentile(percent))
    }

    /// Share of calls answered in time.
    pub fn in_time(&self) -> f64 {
        share(self.response_times.len(), self.offered)
    }

    /// Calls answered in time as a share of what healthy targets could do meanwhile.
    pub fn goodput(&self) -> f64 {
        self.answered_while_offered as f64 / self.capacity
    }

    /// The row of the table.
    pub fn summary(
        &self,
        fleet: &'static str,
        story: &'static str,
        policy: &'static str,
    ) -> Summary {
        let percent = |count| 100.0 * share(count, self.offered);
        let report_age_s = self.report_age_us.0 as f64 / self.report_age_us.1.max(1) as f64 / 1e6;
        // News polled every `t` is `t / 2` old on average.
        let polls_per_pair_s = if report_age_s > 0.0 { 0.5 / report_age_s } else { 0.0 };
        let polling_bytes = polls_per_pair_s * POLL_BYTES as f64 * self.pair_s;
        Summary {
            fleet,
            story,
            policy,
            offered: self.offered,
            in_time_percent: 100.0 * self.in_time(),
            goodput_percent: 100.0 * self.goodput(),
            p50_ms: ms(self.response_times.value_at_percentile(50.0)),
            p99_ms: ms(self.response_times.value_at_percentile(99.0)),
            p999_ms: ms(self.response_times.value_at_percentile(99.9)),
            short_p999_ms: ms(self.short_response_times.value_at_percentile(99.9)),
            refused_percent: percent(self.refused),
            failed_percent: percent(self.failed),
            late_percent: percent(self.late),
            duplicates_percent: percent(self.duplicates),
            light_in_time_percent: 100.0 * share(self.light.1, self.light.0),
            heavy_in_time_percent: 100.0 * share(self.heavy.1, self.heavy.0),
            measuring_bytes_per_target_s: self.measuring_bytes as f64 / self.target_s,
            news_age_ms: report_age_s * 1e3,
            polling_bytes_per_target_s: polling_bytes / self.target_s,
        }
    }
}

impl Default for Tally {
    fn default() -> Self {
        Self::new()
    }
}

fn ms(us: u64) -> f64 {
    us as f64 / 1e3
}

fn share(part: u64, total: u64) -> f64 {
    if total == 0 { 1.0 } else { part as f64 / total as f64 }
}
