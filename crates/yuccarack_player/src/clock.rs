//! Virtual clock with a queue of scheduled events.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

/// Yields events in the order of their times; events with equal times come in the order in which
/// they were scheduled, so that a run is reproducible.
pub struct Clock<E> {
    now: Instant,
    started_at: Instant,
    scheduled: BinaryHeap<Reverse<ScheduledEvent<E>>>,
    last_sequence: u64,
}

struct ScheduledEvent<E> {
    at: Instant,
    sequence: u64,
    event: E,
}

impl<E> Clock<E> {
    pub fn new() -> Self {
        let now = Instant::now();
        Self { now, started_at: now, scheduled: BinaryHeap::new(), last_sequence: 0 }
    }

    pub fn now(&self) -> Instant {
        self.now
    }

    pub fn elapsed(&self) -> Duration {
        self.now - self.started_at
    }

    pub fn schedule(&mut self, at: Instant, event: E) {
        self.last_sequence += 1;
        self.scheduled.push(Reverse(ScheduledEvent {
            at: at.max(self.now),
            sequence: self.last_sequence,
            event,
        }));
    }

    pub fn schedule_after(&mut self, delay: Duration, event: E) {
        self.schedule(self.now + delay, event);
    }

    /// Advances the clock to the next event and returns it.
    pub fn next(&mut self) -> Option<E> {
        let Reverse(scheduled) = self.scheduled.pop()?;
        self.now = scheduled.at;
        Some(scheduled.event)
    }
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<E> Eq for ScheduledEvent<E> {}

impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for ScheduledEvent<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}
