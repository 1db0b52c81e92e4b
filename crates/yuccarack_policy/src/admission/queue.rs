//! Queue of the requests that wait at a gate.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use slotmap::SlotMap;

use super::{Offer, WaitKey};

/// A request in the queue.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    pub offer: Offer,
    pub expires_at: Instant,
    pub is_limited_by_deadline: bool,
}

#[derive(Clone, Copy, Debug)]
struct QueueEntry {
    waiting: Waiting,
    /// Virtual start time of the request, by which callers are served fairly.
    virtual_start: Instant,
}

/// Waiting requests in order of arrival, with counts by caller.
#[derive(Clone, Debug)]
pub struct Queue {
    waiting: SlotMap<WaitKey, QueueEntry>,
    order: VecDeque<WaitKey>,
    by_caller: HashMap<u64, CallerQueue>,
    nonempty_since: Option<Instant>,
    /// Earliest time at which a request may have to be rejected; the actual one may be later.
    earliest_expiry: Option<Instant>,
    isolated_count: usize,
}

/// Number of a caller's waiting requests, and the virtual start time of its latest one.
#[derive(Clone, Copy, Debug)]
struct CallerQueue {
    count: usize,
    virtual_start: Instant,
}

impl Queue {
    pub fn new() -> Self {
        Self {
            waiting: SlotMap::with_key(),
            order: VecDeque::new(),
            by_caller: HashMap::new(),
            nonempty_since: None,
            earliest_expiry: None,
            isolated_count: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether requests have been waiting without a break for at least `after`.
    pub fn is_standing(&self, now: Instant, after: Duration) -> bool {
        self.nonempty_since.is_some_and(|at| now.saturating_duration_since(at) >= after)
    }

    /// Queues a request for fair queueing between callers; the virtual start times of one caller's
    /// requests are at least `turn_interval` apart.
    ///
    /// Ordered by arrival alone, a caller that sends many requests at once would be served until it
    /// has none left. With virtual times counted from 0 for each new caller, new callers would
    /// always go before one that was served once.
    pub fn push(&mut self, now: Instant, waiting: Waiting, turn_interval: Duration) -> WaitKey {
        if self.order.is_empty() {
            self.nonempty_since = Some(now);
        }
        let caller = self
            .by_caller
            .entry(waiting.offer.caller)
            .and_modify(|caller| {
                caller.virtual_start = now.max(caller.virtual_start + turn_interval)
            })
            .or_insert(CallerQueue { count: 0, virtual_start: now });
        caller.count += 1;
        self.isolated_count += usize::from(waiting.offer.is_isolated);
        let expires_at = waiting.expires_at;
        self.earliest_expiry =
            Some(self.earliest_expiry.map_or(expires_at, |at| at.min(expires_at)));
        let key = self.waiting.insert(QueueEntry { waiting, virtual_start: caller.virtual_start });
        self.order.push_back(key);
        key
    }

    pub fn remove(&mut self, key: WaitKey) -> Option<Waiting> {
        let QueueEntry { waiting, .. } = self.waiting.remove(key)?;
        self.order.retain(|&queued| queued != key);
        if self.order.is_empty() {
            self.nonempty_since = None;
            self.earliest_expiry = None;
        }
        self.isolated_count -= usize::from(waiting.offer.is_isolated);
        if let Some(caller) = self.by_caller.get_mut(&waiting.offer.caller) {
            caller.count -= 1;
            if caller.count == 0 {
                self.by_caller.remove(&waiting.offer.caller);
            }
        }
        Some(waiting)
    }

    /// Returns the virtual start time of a waiting request.
    pub fn virtual_start(&self, key: WaitKey) -> Instant {
        self.waiting[key].virtual_start
    }

    /// Returns the number of callers with waiting requests.
    pub fn callers(&self) -> usize {
        self.by_caller.len()
    }

    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (WaitKey, &Waiting)> {
        self.order.iter().map(|&key| (key, &self.waiting[key].waiting))
    }

    pub fn has_isolated_request(&self) -> bool {
        self.isolated_count > 0
    }

    pub fn first_isolated_request(&self) -> Option<(WaitKey, &Waiting)> {
        if self.isolated_count == 0 {
            return None;
        }
        self.iter().find(|(_, waiting)| waiting.offer.is_isolated)
    }

    pub fn caller_len(&self, caller: u64) -> usize {
        self.by_caller.get(&caller).map_or(0, |caller| caller.count)
    }

    pub fn route_len(&self, route: usize) -> usize {
        self.iter().filter(|(_, waiting)| waiting.offer.route == route).count()
    }

    /// Returns the caller with the most waiting requests, and their number.
    pub fn longest_caller(&self) -> Option<(u64, usize)> {
        let longest = self.by_caller.iter().max_by_key(|(name, caller)| (caller.count, **name));
        longest.map(|(&name, caller)| (name, caller.count))
    }

    /// Returns how many requests are served before a new one of `caller` when callers take turns.
    pub fn requests_ahead_of(&self, caller: u64) -> usize {
        let turns = self.caller_len(caller) + 1;
        self.by_caller.values().map(|caller| caller.count.min(turns)).sum()
    }

    pub fn take_latest_of(&mut self, caller: u64) -> Option<(WaitKey, Waiting)> {
        let key = self.iter().rev().find(|(_, waiting)| waiting.offer.caller == caller)?.0;
        self.remove(key).map(|waiting| (key, waiting))
    }

    /// Returns when the next request may have to be rejected; `take_expired` must be called by
    /// then.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.earliest_expiry
    }

    pub fn take_expired(&mut self, now: Instant) -> Vec<(WaitKey, Waiting)> {
        if self.earliest_expiry.is_none_or(|at| now < at) {
            return Vec::new();
        }
        let expired: Vec<_> = self
            .iter()
            .filter(|(_, waiting)| waiting.expires_at <= now)
            .map(|(key, _)| key)
            .collect();
        let taken: Vec<_> =
            expired.into_iter().filter_map(|key| Some((key, self.remove(key)?))).collect();
        self.earliest_expiry = self.iter().map(|(_, waiting)| waiting.expires_at).min();
        taken
    }

    pub fn take_all(&mut self) -> Vec<(WaitKey, Waiting)> {
        let keys: Vec<_> = self.order.iter().copied().collect();
        keys.into_iter().filter_map(|key| Some((key, self.remove(key)?))).collect()
    }
}
