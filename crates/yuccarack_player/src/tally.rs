//! Counters and response times of simulated calls, and the summary of a run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Highest response time that the histograms record, in µs.
const HIGHEST_US: u64 = 60_000_000;

/// Counts of one run, or the sum over several runs of one table row.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Calls offered.
    pub offered: u64,
    /// Calls that healthy targets could have served while calls arrived.
    pub capacity: f64,
    /// Calls answered in time while calls still arrived.
    pub answered_while_offered: u64,
    /// Calls refused, known not to have run.
    pub refused: u64,
    /// Calls that failed or whose outcome is unknown.
    pub failed: u64,
    /// Calls without a response by their deadline.
    pub late: u64,
    /// Runs started by targets.
    pub runs: u64,
    /// Runs beyond the first of their call.
    pub duplicates: u64,
    /// Hedged attempts sent.
    pub hedges: u64,
    /// Retries sent.
    pub retries: u64,
    /// Bytes spent on load reports.
    pub measuring_bytes: u64,
    /// Sum of the ages of the load reports over all choices, in µs, and the number of choices.
    pub report_age_us: (u64, u64),
    /// Number of targets times the duration, in seconds; the base of rates per target.
    pub target_s: f64,
    /// Number of entry-target pairs times the duration, in seconds.
    pub pair_s: f64,
    /// Response times of calls answered in time, in µs.
    pub response_times: Histogram<u64>,
    /// Calls of heavy callers: offered, and answered in time.
    pub heavy: (u64, u64),
    /// Calls of the other callers: offered, and answered in time.
    pub light: (u64, u64),
    /// Response times of short requests answered in time, in µs.
    pub short_response_times: Histogram<u64>,
}

/// One row of the table; the field names are the keys of its JSON form.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Name of the fleet.
    pub fleet: &'static str,
    /// Name of the scenario.
    #[serde(rename = "story")]
    pub scenario: &'static str,
    /// Name of the policy.
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
    /// Share without a response at the deadline, in percent.
    pub late_percent: f64,
    /// Runs beyond the first of their call, in percent of calls.
    pub duplicates_percent: f64,
    /// Share of light callers' calls answered in time, in percent.
    pub light_in_time_percent: f64,
    /// Share of heavy callers' calls answered in time, in percent.
    pub heavy_in_time_percent: f64,
    /// Bytes per second spent on load reports of each target.
    pub measuring_bytes_per_target_s: f64,
    /// Mean age of the load report behind a choice, in ms.
    pub news_age_ms: f64,
    /// Bytes per second and target that polling would cost for load reports of the same mean age.
    pub polling_bytes_per_target_s: f64,
}

/// Bytes of one poll of a load endpoint in both directions: request line and host, status line,
/// length and two numbers.
pub const POLL_BYTES: u64 = 200;

/// Bytes of the load header on a response.
pub const REPORT_BYTES: u64 = 34;

impl Tally {
    /// Creates an empty tally.
    pub fn new() -> Self {
        let response_times = Histogram::new_with_max(HIGHEST_US, 3)
            .expect("the highest value and three significant digits are valid");
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

    /// Records a call answered in time.
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

    /// Returns the response time that `percent` of the calls answered in time didn't exceed.
    pub fn percentile(&self, percent: f64) -> Duration {
        Duration::from_micros(self.response_times.value_at_percentile(percent))
    }

    /// Returns the share of offered calls that were answered in time.
    pub fn in_time(&self) -> f64 {
        share(self.response_times.len(), self.offered)
    }

    /// Returns the calls answered in time while calls arrived, as a share of the healthy capacity.
    pub fn goodput(&self) -> f64 {
        self.answered_while_offered as f64 / self.capacity
    }

    /// Returns the row of the table for these counts.
    pub fn summary(
        &self,
        fleet: &'static str,
        scenario: &'static str,
        policy: &'static str,
    ) -> Summary {
        let percent = |count| 100.0 * share(count, self.offered);
        let report_age_s = self.report_age_us.0 as f64 / self.report_age_us.1.max(1) as f64 / 1e6;
        // Reports polled at an interval `t` are `t / 2` old on average.
        let polls_per_pair_s = if report_age_s > 0.0 { 0.5 / report_age_s } else { 0.0 };
        let polling_bytes = polls_per_pair_s * POLL_BYTES as f64 * self.pair_s;
        Summary {
            fleet,
            scenario,
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
