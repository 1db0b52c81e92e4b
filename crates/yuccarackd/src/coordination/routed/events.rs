//! Writes the log lines of routed calls, one for each decision, at a limited rate for each kind.

use std::{sync::Arc, time::Instant};

use parking_lot::Mutex;
use slog::{BorrowedKV, Logger, Record, RecordLocation, RecordStatic};

use super::log_lines::{LinesDropped, LogLine};
use crate::state::counters::Counters;

/// Kinds of log lines, each with a rate limit of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EventKind {
    /// A target responded to the call with a 2xx status.
    CallSucceeded,
    /// A daemon refused the call, or its target responded with another status.
    CallFailed,
    /// An attempt failed other than by a gate's refusal.
    AttemptEnded,
    /// A gate refused a request or received no complete response.
    GateRefused,
    /// A heartbeat or leave of the target.
    Heartbeat,
    /// The rate limit of the target changed or can't be read.
    TargetLimit,
    /// Another instance serves something else than before.
    MemberChanged,
    /// A routing table could not be fetched.
    RoutingNotFetched,
    /// A relay is connected or lost; a lost relay is queried again after 1 to 4 s.
    Relay,
    /// An organisation begins or ceases to be refused over quota, or another keeper grants quotas.
    Quota,
}

const EVENT_KINDS: [EventKind; 10] = [
    EventKind::CallSucceeded,
    EventKind::CallFailed,
    EventKind::AttemptEnded,
    EventKind::GateRefused,
    EventKind::Heartbeat,
    EventKind::TargetLimit,
    EventKind::MemberChanged,
    EventKind::RoutingNotFetched,
    EventKind::Relay,
    EventKind::Quota,
];

impl EventKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::CallSucceeded => "call_answered",
            Self::CallFailed => "call_failed",
            Self::AttemptEnded => "try_ended",
            Self::GateRefused => "gate_refused",
            Self::Heartbeat => "heartbeat",
            Self::TargetLimit => "target_limit",
            Self::MemberChanged => "member_changed",
            Self::RoutingNotFetched => "routing_not_read",
            Self::Relay => "relay",
            Self::Quota => "quota",
        }
    }

    /// Returns the lines a second of this kind. Failures are what engineers look for, so they get a
    /// higher limit than successes. A line costs about 20 us of processor time, so all of them cost
    /// 0.3 % of a core.
    fn lines_per_s(self) -> f64 {
        match self {
            Self::CallSucceeded => 5.0,
            Self::CallFailed => 60.0,
            Self::AttemptEnded | Self::GateRefused => 40.0,
            Self::Heartbeat
            | Self::TargetLimit
            | Self::MemberChanged
            | Self::RoutingNotFetched
            | Self::Relay
            | Self::Quota => 5.0,
        }
    }
}

/// Source location that the library requires; lines are found by their event instead.
static LOCATION: RecordLocation = RecordLocation {
    file: file!(),
    line: line!(),
    column: column!(),
    function: "",
    module: module_path!(),
};

/// Writes log lines within the rate limit of their kind; clones share the limits.
#[derive(Clone)]
pub struct EventLog {
    logger: Logger,
    counters: Counters,
    rate_scale: f64,
    buckets: Arc<Mutex<[TokenBucket; EVENT_KINDS.len()]>>,
}

#[derive(Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
    dropped: u64,
}

impl EventLog {
    /// Writes to `logger`, with `rate_percent` of the default lines a second of each kind.
    pub fn new(logger: Logger, counters: Counters, rate_percent: u16) -> Self {
        let rate_scale = f64::from(rate_percent) / 100.0;
        let full = |kind: EventKind| TokenBucket {
            tokens: burst_size(kind.lines_per_s() * rate_scale),
            refilled_at: Instant::now(),
            dropped: 0,
        };
        Self { logger, counters, rate_scale, buckets: Arc::new(Mutex::new(EVENT_KINDS.map(full))) }
    }

    /// Writes the line that `make` returns, if the limit of its kind allows.
    ///
    /// Lines dropped before it are reported first, in a line of their own.
    pub fn write<L: LogLine>(&self, make: impl FnOnce() -> L) {
        if let Some(kind) = L::RATE_LIMITED_AS {
            match self.acquire(kind) {
                None => return,
                Some(0) => {}
                Some(count) => self.emit(&LinesDropped { of: kind.as_str(), count }),
            }
        }
        self.emit(&make());
    }

    fn emit<L: LogLine>(&self, line: &L) {
        let form = RecordStatic { location: &LOCATION, tag: "", level: L::LEVEL };
        self.logger.log(&Record::new(&form, &format_args!("{}", L::TEXT), BorrowedKV(line)));
    }

    fn acquire(&self, kind: EventKind) -> Option<u64> {
        let now = Instant::now();
        let mut buckets = self.buckets.lock();
        let bucket = &mut buckets[kind as usize];
        let elapsed_s = now.saturating_duration_since(bucket.refilled_at).as_secs_f64();
        let per_s = kind.lines_per_s() * self.rate_scale;
        bucket.tokens = (bucket.tokens + elapsed_s * per_s).min(burst_size(per_s));
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            bucket.dropped += 1;
            drop(buckets);
            self.counters.add_reason("log.left_out", kind.as_str());
            return None;
        }
        bucket.tokens -= 1.0;
        Some(std::mem::take(&mut bucket.dropped))
    }
}

/// Returns the most tokens that accumulate: those of a second and at least one, but none at a rate
/// of 0.
fn burst_size(per_s: f64) -> f64 {
    if per_s > 0.0 { per_s.max(1.0) } else { 0.0 }
}
