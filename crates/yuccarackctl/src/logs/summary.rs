//! Counts of failed and slow calls by cause and time bucket.

use std::collections::BTreeMap;

use serde_json::{Value, json};
use time::OffsetDateTime;

use super::{Cause, Event, EventKind};

/// Maximum number of time buckets, which bounds memory for logs of any length.
const BUCKETS_MAX: usize = 2_000;

/// Number of calls by cause.
pub type Counts = BTreeMap<String, u64>;

/// Failed and slow calls, counted by cause in time buckets of equal length.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    bucket_s: i64,
    slow_ms: u64,
    buckets: BTreeMap<i64, Counts>,
    omitted_lines: u64,
    answered_lines: u64,
}

impl Summary {
    /// Creates a summary with buckets of `bucket_s` seconds, in which answered calls of more than
    /// `slow_ms` count as slow.
    pub fn new(bucket_s: u32, slow_ms: u64) -> Self {
        Self {
            bucket_s: i64::from(bucket_s.max(1)),
            slow_ms,
            buckets: BTreeMap::new(),
            omitted_lines: 0,
            answered_lines: 0,
        }
    }

    /// Counts a line if it reports the end of a failed or slow call, or dropped lines.
    pub fn record(&mut self, event: &Event) {
        self.omitted_lines += event.omitted_lines().unwrap_or(0);
        if !event.is_call_end() {
            return;
        }
        let cause = Cause::from_end(event);
        if event.event == Some(EventKind::CallAnswered) {
            self.answered_lines += 1;
        }
        let is_slow = event.took_ms.is_some_and(|took_ms| took_ms > self.slow_ms);
        let name = match cause {
            Cause::None if is_slow => "slow".to_owned(),
            Cause::None => return,
            cause => cause.to_string(),
        };
        let start = event.ts.unix_timestamp().div_euclid(self.bucket_s) * self.bucket_s;
        *self.buckets.entry(start).or_default().entry(name).or_default() += 1;
        if self.buckets.len() > BUCKETS_MAX {
            self.double_bucket_length();
        }
    }

    /// Doubles the length of the buckets and merges their counts.
    fn double_bucket_length(&mut self) {
        self.bucket_s *= 2;
        for (start, counts) in std::mem::take(&mut self.buckets) {
            let start = start.div_euclid(self.bucket_s) * self.bucket_s;
            let merged = self.buckets.entry(start).or_default();
            counts.into_iter().for_each(|(name, count)| *merged.entry(name).or_default() += count);
        }
    }

    /// Returns the length of a bucket, in s.
    pub fn bucket_s(&self) -> i64 {
        self.bucket_s
    }

    /// Returns the counts by the start of the bucket, in Unix seconds.
    pub fn buckets(&self) -> &BTreeMap<i64, Counts> {
        &self.buckets
    }

    /// Returns the total per cause, most frequent first.
    pub fn causes(&self) -> Vec<(String, u64)> {
        let mut totals = Counts::new();
        for (name, count) in self.buckets.values().flatten() {
            *totals.entry(name.clone()).or_default() += count;
        }
        let mut totals: Vec<_> = totals.into_iter().collect();
        totals.sort_by(|left, right| right.1.cmp(&left.1).then(left.0.cmp(&right.0)));
        totals
    }

    /// Returns the number of lines that daemons report as dropped. If it isn't 0, the counts are
    /// incomplete.
    pub fn omitted_lines(&self) -> u64 {
        self.omitted_lines
    }

    /// Returns header and rows of a table with the time and a column per cause.
    pub fn rows(&self) -> (Vec<String>, Vec<Vec<String>>) {
        let causes = self.causes();
        let mut header = vec!["time".to_owned()];
        header.extend(causes.iter().map(|(name, _)| name.clone()));
        let row = |(start, counts): (&i64, &Counts)| {
            let mut cells = vec![format_time(*start)];
            let cell = |(name, _): &(String, u64)| counts.get(name).copied().unwrap_or(0);
            cells.extend(causes.iter().map(cell).map(|count| count.to_string()));
            cells
        };
        (header, self.buckets.iter().map(row).collect())
    }

    /// Returns the summary as JSON for scripts.
    pub fn to_json(&self) -> Value {
        let buckets: Vec<Value> = self
            .buckets
            .iter()
            .map(|(start, counts)| {
                json!({"from": format_time(*start), "from_unix_s": start, "calls": counts})
            })
            .collect();
        let totals: Counts = self.causes().into_iter().collect();
        json!({
            "bucket_s": self.bucket_s, "buckets": buckets, "totals": totals,
            "lines_left_out": self.omitted_lines, "answered_lines": self.answered_lines,
        })
    }
}

/// Formats a Unix time as UTC date and time.
pub fn format_time(unix_s: i64) -> String {
    match OffsetDateTime::from_unix_timestamp(unix_s) {
        Ok(utc) => {
            let (date, time) = (utc.date(), utc.time());
            format!("{date} {:02}:{:02}:{:02}", time.hour(), time.minute(), time.second())
        }
        // Outside the range of years that the `time` crate supports.
        Err(_) => unix_s.to_string(),
    }
}
