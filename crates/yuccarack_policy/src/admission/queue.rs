//! The requests that wait at a gate, in order of arrival.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use slotmap::SlotMap;

use super::{Offer, WaitKey};

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    pub offer: Offer,
    pub give_up_at: Instant,
    pub gives_up_for_deadline: bool,
}

#[derive(Clone, Copy, Debug)]
struct QueueEntry {
    waiting: Waiting,
    /// When its turn comes.
    turn_at: Instant,
}

/// Waiting requests in order of arrival, counted by caller and route.
#[derive(Clone, Debug)]
pub struct Queue {
    waiting: SlotMap<WaitKey, QueueEntry>,
    order: VecDeque<WaitKey>,
    by_caller: HashMap<u64, CallerQueue>,
    nonempty_since: Option<Instant>,
    /// No request is given up before this time; the next one may be later.
    earliest_give_up: Option<Instant>,
    alone: usize,
}

/// What a caller has waiting, and when the turn of its latest request comes.
#[derive(Clone, Copy, Debug)]
struct CallerQueue {
    count: usize,
    turn_at: Instant,
}

impl Queue {
    pub fn new() -> Self {
        Self {
            waiting: SlotMap::with_key(),
            order: VecDeque::new(),
            by_caller: HashMap::new(),
            nonempty_since: None,
            earliest_give_up: None,
            alone: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether something has waited at any time since `after` ago.
    pub fn is_standing(&self, now: Instant, after: Duration) -> bool {
        self.nonempty_since.is_some_and(|at| now.saturating_duration_since(at) >= after)
    }

    /// Lets a request wait; those of one caller come up no closer together than `turn`.
    ///
    /// With the arrival alone as turn, a caller that sends many at once would be served to its
    /// end first. With turns counted from 0 for each newcomer, new callers would forever go
    /// before one that was served once.
    pub fn push(&mut self, now: Instant, waiting: Waiting, turn: Duration) -> WaitKey {
        if self.order.is_empty() {
            self.nonempty_since = Some(now);
        }
        let caller = self
            .by_caller
            .entry(waiting.offer.caller)
            .and_modify(|caller| caller.turn_at = now.max(caller.turn_at + turn))
            .or_insert(CallerQueue { count: 0, turn_at: now });
        caller.count += 1;
        self.alone += usize::from(waiting.offer.alone);
        let give_up_at = waiting.give_up_at;
        self.earliest_give_up =
            Some(self.earliest_give_up.map_or(give_up_at, |at| at.min(give_up_at)));
        let key = self.waiting.insert(QueueEntry { waiting, turn_at: caller.turn_at });
        self.order.push_back(key);
        key
    }

    pub fn remove(&mut self, key: WaitKey) -> Option<Waiting> {
        let QueueEntry { waiting, .. } = self.waiting.remove(key)?;
        self.order.retain(|&queued| queued != key);
        if self.order.is_empty() {
            self.nonempty_since = None;
            self.earliest_give_up = None;
        }
        self.alone -= usize::from(waiting.offer.alone);
        if let Some(caller) = self.by_caller.get_mut(&waiting.offer.caller) {
            caller.count -= 1;
            if caller.count == 0 {
                self.by_caller.remove(&waiting.offer.caller);
            }
        }
        Some(waiting)
    }

    /// When the turn of a waiting request comes.
    pub fn turn_at(&self, key: WaitKey) -> Instant {
        self.waiting[key].turn_at
    }

    /// Callers that have something waiting.
    pub fn callers(&self) -> usize {
        self.by_caller.len()
    }

    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (WaitKey, &Waiting)> {
        self.order.iter().map(|&key| (key, &self.waiting[key].waiting))
    }

    pub fn has_alone(&self) -> bool {
        self.alone > 0
    }

    pub fn first_alone(&self) -> Option<(WaitKey, &Waiting)> {
        if self.alone == 0 {
            return None;
        }
        self.iter().find(|(_, waiting)| waiting.offer.alone)
    }

    pub fn caller_len(&self, caller: u64) -> usize {
        self.by_caller.get(&caller).map_or(0, |caller| caller.count)
    }

    pub fn route_len(&self, route: usize) -> usize {
        self.iter().filter(|(_, waiting)| waiting.offer.route == route).count()
    }

    /// The caller with most requests waiting, and how many.
    pub fn longest_caller(&self) -> Option<(u64, usize)> {
        let longest = self.by_caller.iter().max_by_key(|(name, caller)| (caller.count, **name));
        longest.map(|(&name, caller)| (name, caller.count))
    }

    /// Requests served before a newcomer of `caller` when callers take turns.
    pub fn requests_ahead_of(&self, caller: u64) -> usize {
        let turns = self.caller_len(caller) + 1;
        self.by_caller.values().map(|caller| caller.count.min(turns)).sum()
    }

    pub fn take_latest_of(&mut self, caller: u64) -> Option<(WaitKey, Waiting)> {
        let key = self.iter().rev().find(|(_, waiting)| waiting.offer.caller == caller)?.0;
        self.remove(key).map(|waiting| (key, waiting))
    }

    /// When the next request may have to be given up; at the latest then, `take_overdue` must be
    /// called.
    pub fn next_give_up(&self) -> Option<Instant> {
        self.earliest_give_up
    }

    pub fn take_overdue(&mut self, now: Instant) -> Vec<(WaitKey, Waiting)> {
        if self.earliest_give_up.is_none_or(|at| now < at) {
            return Vec::new();
        }
        let overdue: Vec<_> = self
            .iter()
            .filter(|(_, waiting)| waiting.give_up_at <= now)
            .map(|(key, _)| key)
            .collect();
        let taken: Vec<_> =
            overdue.into_iter().filter_map(|key| Some((key, self.remove(key)?))).collect();
        self.earliest_give_up = self.iter().map(|(_, waiting)| waiting.give_up_at).min();
        taken
    }

    pub fn take_all(&mut self) -> Vec<(WaitKey, Waiting)> {
        let keys: Vec<_> = self.order.iter().copied().collect();
        keys.into_iter().filter_map(|key| Some((key, self.remove(key)?))).collect()
    }
}
