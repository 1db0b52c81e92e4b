//! All lines of one request, in the order in which things happened.

use super::{Cause, Event, EventKind};

/// What the lines tell of one request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestTrace {
    /// Its lines in order.
    pub events: Vec<Event>,
}

impl RequestTrace {
    /// Adds a line if it speaks of `request`.
    pub fn record(&mut self, request: &str, event: Event) {
        if event.request.as_deref() == Some(request) {
            self.events.push(event);
        }
    }

    /// Puts the lines into order although the clocks of instances differ.
    ///
    /// A gate's line says how much time was left, which falls with each gate that is asked; a try's
    /// end follows the line of its gate; the end of the call is last. Times are compared only
    /// between lines of one instance.
    pub fn sort(&mut self) {
        let times_left: Vec<(String, u64)> = self
            .events
            .iter()
            .filter(|event| event.event == Some(EventKind::GateRefused))
            .filter_map(|event| Some((event.instance.clone(), event.left_ms?)))
            .collect();
        let time_left_at = |gate: &str| {
            let gate_entries = times_left.iter().filter(|(name, _)| name == gate);
            gate_entries.map(|(_, left_ms)| *left_ms).min()
        };
        self.events.sort_by_cached_key(|event| {
            let (left_ms, rank) = match event.event {
                Some(EventKind::GateRefused) => (event.left_ms, 0),
                Some(EventKind::AttemptEnded) => {
                    (time_left_at(event.gate.as_deref().unwrap_or_default()), 1)
                }
                _ => (None, 2),
            };
            // A try whose gate wrote nothing stands behind those of which more is known.
            let elapsed_rank = left_ms.map_or(u64::MAX, |left_ms| u64::MAX - 1 - left_ms);
            let is_call_end = event.is_call_end();
            (is_call_end, elapsed_rank, rank, event.ts)
        });
    }

    /// The line that tells how the call ended.
    pub fn call_end(&self) -> Option<&Event> {
        self.events.iter().rev().find(|event| event.is_call_end())
    }

    /// Why it failed, if it did.
    pub fn cause(&self) -> Cause {
        match self.call_end() {
            Some(end) => self.refined_cause(end),
            // Its entry's line was left out, or that log isn't at hand; a gate's word is all there is.
            None => self.events.last().map_or(Cause::Untold, Cause::from_end),
        }
    }

    /// An end that says only that time was over is told by the gate that had the request then.
    fn refined_cause(&self, end: &Event) -> Cause {
        let cause = Cause::from_end(end);
        if cause != Cause::TooSlow {
            return cause;
        }
        let has_unknown_outcome = |event: &&Event| event.outcome.as_deref() == Some("unknown");
        let gate_events =
            self.events.iter().filter(|event| !event.is_call_end()).filter(has_unknown_outcome);
        gate_events.map(Cause::from_end).find(|other| *other == Cause::TargetBroke).unwrap_or(cause)
    }

    /// The cause in one sentence, with the instance where it lies if that is one.
    pub fn explanation(&self, request: &str) -> String {
        let cause = self.cause();
        let at = match self.faulty_instance() {
            Some(instance) => format!(" (at {instance})"),
            None => String::new(),
        };
        format!("{request}: {cause}{at}: {}", cause.explanation())
    }

    /// Where the cause lies, if that is one instance: the last gate that was asked.
    fn faulty_instance(&self) -> Option<&str> {
        let end = self.call_end()?;
        match self.cause() {
            // The whole service had no room.
            Cause::Load | Cause::NoTarget | Cause::CrashesTargets => return None,
            Cause::NoRoute | Cause::Caller => return Some(&end.instance),
            _ => {}
        }
        let last = end.gates.as_deref()?.split(' ').next_back()?;
        last.split_once('=').map(|(gate, _)| gate)
    }
}
