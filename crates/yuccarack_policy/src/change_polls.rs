//! Schedule of the long polls by which a daemon learns of the changes of one table.
//!
//! Used for routed calls.
//!
//! A store that stops responding and recovers may never respond to a poll that it got before or
//! meanwhile, and the daemon would learn of no change until that poll times out. A change ends the
//! polls of all relays at once, so all of them poll again at that moment and may lose their polls
//! together. Long polls keep the number of requests low, so they can't simply be shortened.
//!
//! Instead, the responses without changes are due in turn: each poll of a deployment has a slot on the
//! store's clock, and ends with its slot whenever it was sent. If a response is late, the daemon warns
//! the others, and all of them poll again. Where few polls make a turn long, the first poll after a
//! change is short, and each long poll is sent shortly before the response to the poll before it is
//! due. A response on time then shows that the store responds after it got the long poll.

use std::time::{Duration, Instant};

/// Longest time for which the store holds a poll open. Every poll is billed, and the store accepts
/// at most 30 s.
pub const WAIT_MAX: Duration = Duration::from_secs(25);

/// Longest time between two responses that are due in a deployment, so that an outage of the store
/// that disturbs operators is noticed before it ends.
const SLOT_GAP_MAX: Duration = Duration::from_millis(6_250);

/// Longest such time that lets the first poll after a change be a long one. A change has to be in
/// force within 2 s once the store has been responding for 3 s.
const PROMPT_SLOT_GAP: Duration = Duration::from_millis(2_100);

/// Longest wait of a poll for a while after a failure, as a store that has just recovered may fail
/// again.
pub const CAUTIOUS_WAIT: Duration = Duration::from_secs(2);

/// How long [`CAUTIOUS_WAIT`] applies.
pub const CAUTIOUS_PERIOD: Duration = Duration::from_secs(12);

/// Time before a response is due at which the following poll is sent. The store has to get that poll
/// before it sends the response, also over a slow link.
const RENEWAL_LEAD: Duration = Duration::from_millis(100);

/// Longest delay of a response that still shows that the store got the following poll. A store that
/// recovers responds late to the poll that it held meanwhile.
pub const CONFIRMATION_DELAY_MAX: Duration = Duration::from_millis(100);

/// Delay after which a response is late. A slow store takes up to 0.4 s.
pub const LATE_AFTER: Duration = Duration::from_millis(500);

/// Time after a warning in which further ones have no effect.
const WARNING_PERIOD: Duration = Duration::from_secs(5);

/// Most polls of a deployment that are due in turn; their responses are due every 2.1 s.
const SLOTS_MAX: u32 = 12;

/// Place of a poll among all polls of a deployment that are due in turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollSlot {
    index: u32,
    count: u32,
    /// Whether the poll ends with its slot; otherwise it waits as long as possible.
    is_due_in_turn: bool,
}

impl PollSlot {
    /// Creates the slot of the poll with `index` among `count` polls.
    ///
    /// In a large deployment some polls are due in turn, and the others are warned by these. A poll
    /// that ends with its slot is shorter, so each of them costs a request after each change.
    pub fn new(index: u32, count: u32) -> Self {
        let count = count.max(1);
        if count <= SLOTS_MAX {
            return Self { index, count, is_due_in_turn: true };
        }
        let slot_of = |index: u32| u64::from(index) * u64::from(SLOTS_MAX) / u64::from(count);
        let slot = slot_of(index);
        let is_due_in_turn = index == 0 || slot_of(index - 1) < slot;
        let index = u32::try_from(slot).unwrap_or(0);
        Self { index, count: SLOTS_MAX, is_due_in_turn }
    }

    /// Returns the longest wait of a poll.
    pub fn wait_max(&self) -> Duration {
        WAIT_MAX.min(SLOT_GAP_MAX.saturating_mul(self.count))
    }

    fn gap(&self) -> Duration {
        self.wait_max() / self.count
    }

    /// Returns the time from `store_time`, on the store's clock, to the next end of this slot.
    fn time_left(&self, store_time: Duration) -> Duration {
        if !self.is_due_in_turn {
            return self.wait_max();
        }
        let interval_ms = self.wait_max().as_millis().max(1);
        let offset_ms = interval_ms * u128::from(self.index) / u128::from(self.count);
        let passed_ms =
            (store_time.as_millis() + interval_ms - offset_ms % interval_ms) % interval_ms;
        Duration::from_millis(u64::try_from(interval_ms - passed_ms).unwrap_or(0))
    }
}

/// Schedule of the polls of one table, of which at most two are open.
#[derive(Clone, Copy, Debug)]
pub struct PollSchedule {
    /// Wait of the first poll after a change or a failure.
    first_wait: Duration,
    /// When the response to the earlier open poll is due.
    due_at: Option<Instant>,
    /// When the response to the poll after it is due.
    next_due_at: Option<Instant>,
    /// Whether the earlier poll has been reported as late.
    is_reported: bool,
    /// Whether the earlier poll is a short one, which shows soon whether the store responds.
    is_short: bool,
    /// Whether the first poll is to be short, as polls may have been lost.
    needs_confirmation: bool,
    cautious_until: Option<Instant>,
    warnings_from: Option<Instant>,
}

impl PollSchedule {
    /// Creates a schedule without open polls. If the store doesn't respond to a first poll,
    /// `first_wait` and the time-out of the response delay what the store acknowledges meanwhile.
    pub fn new(first_wait: Duration) -> Self {
        Self {
            first_wait,
            due_at: None,
            next_due_at: None,
            is_reported: false,
            is_short: false,
            needs_confirmation: false,
            cautious_until: None,
            warnings_from: None,
        }
    }

    /// Starts with a poll that is sent at `now`, which is `store_time` on the store's clock. Returns
    /// when the store is to respond.
    pub fn start(&mut self, now: Instant, slot: PollSlot, store_time: Duration) -> Instant {
        let is_doubtful = std::mem::take(&mut self.needs_confirmation) || self.is_cautious(now);
        self.is_short = is_doubtful || slot.gap() > PROMPT_SLOT_GAP;
        let due_at = match self.is_short {
            true => now + self.first_wait,
            false => self.long_due_at(now, slot, store_time),
        };
        (self.due_at, self.next_due_at, self.is_reported) = (Some(due_at), None, false);
        due_at
    }

    /// Returns when the following poll is to be sent; `None` if it is open already, or no poll is.
    pub fn renew_at(&self) -> Option<Instant> {
        let due_at = self.due_at.filter(|_| self.next_due_at.is_none())?;
        Some(due_at.checked_sub(RENEWAL_LEAD).unwrap_or(due_at))
    }

    /// Notes that the following poll is sent at `now`, as in [`Self::start`].
    pub fn renew(&mut self, now: Instant, slot: PollSlot, store_time: Duration) -> Instant {
        let due_at = match self.is_cautious(now) {
            true => now + CAUTIOUS_WAIT,
            false => self.long_due_at(now, slot, store_time),
        };
        self.next_due_at = Some(due_at);
        due_at
    }

    /// Returns when the earlier poll is to be reported as late; `None` if it has been.
    pub fn late_at(&self) -> Option<Instant> {
        Some(self.due_at.filter(|_| !self.is_reported)? + LATE_AFTER)
    }

    /// Notes that the earlier poll has been reported as late.
    pub fn record_late(&mut self) {
        self.is_reported = true;
    }

    /// Notes a response without changes to the earlier poll at `now`. Returns whether the following
    /// one takes its place; otherwise it is given up.
    pub fn record_unchanged(&mut self, now: Instant) -> bool {
        let is_late = self.due_at.is_some_and(|due_at| now > due_at + CONFIRMATION_DELAY_MAX);
        self.due_at = self.next_due_at.take().filter(|_| !is_late);
        (self.is_reported, self.is_short) = (false, false);
        self.due_at.is_some()
    }

    /// Notes at `now` that the store may have lost polls. Returns whether the open ones are given up.
    pub fn record_warning(&mut self, now: Instant) -> bool {
        if self.is_short || self.warnings_from.is_some_and(|from| now < from) {
            return false;
        }
        self.warnings_from = Some(now + WARNING_PERIOD);
        self.needs_confirmation = true;
        self.cancel();
        true
    }

    /// Notes that a poll failed at `now`; both polls are given up.
    pub fn record_failure(&mut self, now: Instant) {
        self.cancel();
        self.cautious_until = Some(now + CAUTIOUS_PERIOD);
    }

    /// Notes that both polls are given up.
    pub fn cancel(&mut self) {
        (self.due_at, self.next_due_at) = (None, None);
        (self.is_reported, self.is_short) = (false, false);
    }

    fn is_cautious(&self, now: Instant) -> bool {
        self.cautious_until.is_some_and(|until| now < until)
    }

    /// Returns the next end of `slot` that isn't closer than the first wait.
    fn long_due_at(&self, now: Instant, slot: PollSlot, store_time: Duration) -> Instant {
        let time_left = slot.time_left(store_time);
        let skipped = if time_left < self.first_wait { slot.wait_max() } else { Duration::ZERO };
        now + time_left + skipped
    }
}
