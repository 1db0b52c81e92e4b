//! Trace of one request: its log lines from all instances, in causal order.

use super::{Cause, Event, EventKind};

/// Log lines of one request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestTrace {
    /// The lines; in causal order after [`sort`](Self::sort).
    pub events: Vec<Event>,
}

impl RequestTrace {
    /// Adds a line if it belongs to `request`.
    pub fn record(&mut self, request: &str, event: Event) {
        if event.request.as_deref() == Some(request) {
            self.events.push(event);
        }
    }

    /// Sorts the lines into causal order although the clocks of instances differ.
    ///
    /// The line of a gate has the time left until the deadline, which decreases with each attempted
    /// gate. The end of an attempt follows the line of its gate, and the end of the call is last.
    /// Timestamps decide only between lines for which these are equal.
    pub fn sort(&mut self) {
        let times_left: Vec<(String, u64)> = self
            .events
            .iter()
            .filter(|event| event.event == Some(EventKind::GateRefused))
            .filter_map(|event| Some((event.instance.clone(), event.left_ms?)))
            .collect();
        let time_left_at = |gate: &str| {
            let times_at_gate = times_left.iter().filter(|(name, _)| name == gate);
            times_at_gate.map(|(_, left_ms)| *left_ms).min()
        };
        self.events.sort_by_cached_key(|event| {
            let (left_ms, rank) = match event.event {
                Some(EventKind::GateRefused) => (event.left_ms, 0),
                Some(EventKind::AttemptEnded) => {
                    (time_left_at(event.gate.as_deref().unwrap_or_default()), 1)
                }
                _ => (None, 2),
            };
            // Attempts whose gate wrote no line come after those with a known time left.
            let elapsed_rank = left_ms.map_or(u64::MAX, |left_ms| u64::MAX - 1 - left_ms);
            let is_call_end = event.is_call_end();
            (is_call_end, elapsed_rank, rank, event.ts)
        });
    }

    /// Returns the line about the end of the call.
    pub fn call_end(&self) -> Option<&Event> {
        self.events.iter().rev().find(|event| event.is_call_end())
    }

    /// Returns the cause of the failure, or `Cause::None` if the call succeeded.
    pub fn cause(&self) -> Cause {
        match self.call_end() {
            Some(end) => self.refined_cause(end),
            // The line of the entry was dropped, or its log was not given: the last line, such as
            // that of a gate, has the best information.
            None => self.events.last().map_or(Cause::Undetermined, Cause::from_end),
        }
    }

    /// Returns the cause given by the end of the call. If that says only that the deadline passed,
    /// a gate that lost the connection to its target with the request on it gives the cause.
    fn refined_cause(&self, end: &Event) -> Cause {
        let cause = Cause::from_end(end);
        if cause != Cause::DeadlinePassed {
            return cause;
        }
        let has_unknown_outcome = |event: &&Event| event.outcome.as_deref() == Some("unknown");
        let other_events =
            self.events.iter().filter(|event| !event.is_call_end()).filter(has_unknown_outcome);
        other_events
            .map(Cause::from_end)
            .find(|other| *other == Cause::TargetDisconnected)
            .unwrap_or(cause)
    }

    /// Returns the explanation of the cause, with the instance at fault if there is a single one.
    pub fn explanation(&self, request: &str) -> String {
        let cause = self.cause();
        let at = match self.faulty_instance() {
            Some(instance) => format!(" (at {instance})"),
            None => String::new(),
        };
        format!("{request}: {cause}{at}: {}", cause.explanation())
    }

    /// Returns the instance at fault if there is a single one, mostly the last attempted gate.
    fn faulty_instance(&self) -> Option<&str> {
        let end = self.call_end()?;
        match self.cause() {
            // These concern the whole service, not one instance.
            Cause::NoCapacity | Cause::NoTarget | Cause::CrashesTargets => return None,
            Cause::NoRoute | Cause::Caller => return Some(&end.instance),
            _ => {}
        }
        let last = end.gates.as_deref()?.split(' ').next_back()?;
        last.split_once('=').map(|(gate, _)| gate)
    }
}
