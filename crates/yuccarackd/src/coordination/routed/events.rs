//! Log lines of routed calls: one for each decision, bounded in number by kind.

use std::{sync::Arc, time::Instant};

use parking_lot::Mutex;
use slog::{BorrowedKV, Logger, Record, RecordLocation, RecordStatic};

use super::log_lines::{LinesDropped, LogLine};
use crate::state::counters::Counters;

/// Kinds of log lines, each with a number of lines a second of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EventKind {
    /// A call got its target's answer.
    CallAnswered,
    /// A call got an answer of ours, or a target's failure.
    CallFailed,
    /// A try ended without a target's good answer.
    AttemptEnded,
    /// A gate turned a request away or got no whole answer.
    GateRefused,
    /// A call to or of the target's control interface.
    Heartbeat,
    /// Another instance serves something else than before.
    MemberChanged,
    /// A routing table could not be fetched.
    RoutingNotFetched,
    /// A relay tells, or no longer does; lost ones are asked again each second or so.
    Relay,
}

const KINDS: [EventKind; 8] = [
    EventKind::CallAnswered,
    EventKind::CallFailed,
    EventKind::AttemptEnded,
    EventKind::GateRefused,
    EventKind::Heartbeat,
    EventKind::MemberChanged,
    EventKind::RoutingNotFetched,
    EventKind::Relay,
];

impl EventKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::CallAnswered => "call_answered",
            Self::CallFailed => "call_failed",
            Self::AttemptEnded => "try_ended",
            Self::GateRefused => "gate_refused",
            Self::Heartbeat => "heartbeat",
            Self::MemberChanged => "member_changed",
            Self::RoutingNotFetched => "routing_not_read",
            Self::Relay => "relay",
        }
    }

    /// Lines a second: failures are what engineers ask for, so they are kept before successes. A
    /// line costs some 20 us of processor time, so all of them cost 0.3 % of a core.
    fn lines_per_s(self) -> f64 {
        match self {
            Self::CallAnswered => 5.0,
            Self::CallFailed => 60.0,
            Self::AttemptEnded | Self::GateRefused => 40.0,
            Self::Heartbeat | Self::MemberChanged | Self::RoutingNotFetched | Self::Relay => 5.0,
        }
    }
}

/// Where lines come from, as the library asks for; their kind tells more.
static PLACE: RecordLocation = RecordLocation {
    file: file!(),
    line: line!(),
    column: column!(),
    function: "",
    module: module_path!(),
};

/// Writes lines while their kind has some left; clones share the bounds.
#[derive(Clone)]
pub struct EventLog {
    logger: Logger,
    counters: Counters,
    share: f64,
    allowances: Arc<Mutex<[Allowance; KINDS.len()]>>,
}

#[derive(Clone, Copy)]
struct Allowance {
    lines: f64,
    at: Instant,
    left_out: u64,
}

impl EventLog {
    /// Writes to `logger`, with `percent` of the usual lines a second of each kind.
    pub fn new(logger: Logger, counters: Counters, percent: u16) -> Self {
        let share = f64::from(percent) / 100.0;
        let full = |kind: EventKind| Allowance {
            lines: most(kind.lines_per_s() * share),
            at: Instant::now(),
            left_out: 0,
        };
        Self { logger, counters, share, allowances: Arc::new(Mutex::new(KINDS.map(full))) }
    }

    /// Writes the line that `make` makes, if lines of its kind are left.
    ///
    /// What was left out before is told in a line of its own first.
    pub fn write<L: LogLine>(&self, make: impl FnOnce() -> L) {
        if let Some(kind) = L::RATE_LIMITED_AS {
            match self.take(kind) {
                None => return,
                Some(0) => {}
                Some(count) => self.put(&LinesDropped { of: kind.as_str(), count }),
            }
        }
        self.put(&make());
    }

    fn put<L: LogLine>(&self, line: &L) {
        let form = RecordStatic { location: &PLACE, tag: "", level: L::LEVEL };
        self.logger.log(&Record::new(&form, &format_args!("{}", L::TEXT), BorrowedKV(line)));
    }

    fn take(&self, kind: EventKind) -> Option<u64> {
        let now = Instant::now();
        let mut allowances = self.allowances.lock();
        let allowance = &mut allowances[kind as usize];
        let passed_s = now.saturating_duration_since(allowance.at).as_secs_f64();
        let per_s = kind.lines_per_s() * self.share;
        allowance.lines = (allowance.lines + passed_s * per_s).min(most(per_s));
        allowance.at = now;
        if allowance.lines < 1.0 {
            allowance.left_out += 1;
            drop(allowances);
            self.counters.add_reason("log.left_out", kind.as_str());
            return None;
        }
        allowance.lines -= 1.0;
        Some(std::mem::take(&mut allowance.left_out))
    }
}

/// Most lines that are saved up: those of a second, and one where there are less, but none of none.
fn most(per_s: f64) -> f64 {
    if per_s > 0.0 { per_s.max(1.0) } else { 0.0 }
}
