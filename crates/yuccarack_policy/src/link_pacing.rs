//! Pacing of the responses that a gate sends over the link of its instance.
//!
//! Used for routed calls.
//!
//! A response of 90 kB takes 60 ms of a link of 12 Mbit/s. Several of them at once fill the buffers
//! on the way, and short responses, heartbeats and connection attempts wait behind them for
//! hundreds of milliseconds. So long responses are sent in pieces at slightly less than the rate
//! of the link. Short ones are sent at once and only charged, which delays the long ones. Among
//! long responses the one with the fewest bytes left gets the next piece, and those that are late
//! come last. In a replay of an overloaded link more of them were on time than with the earliest
//! deadline first or in turn, since fewer were abandoned half-sent.

use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of a long response at one link.
    pub struct ResponseKey;
}

/// Largest piece of a long response. It takes 6 ms of a link of 12 Mbit/s.
pub const PIECE_MAX_BYTES: usize = 8 * 1024;

/// Largest response that is sent at once; two pieces.
pub const SHORT_MAX_BYTES: u64 = 2 * PIECE_MAX_BYTES as u64;

/// Share of the link's rate that is used, in percent. The remainder is for packet headers and for
/// messages that are not charged.
const USED_PERCENT: u64 = 90;

/// Least time for which pieces are sent ahead. Timers have a resolution of 1 ms, and a busy machine
/// runs them late; less would limit a fast link to a piece per timer.
const LEAD_MIN: Duration = Duration::from_millis(3);

/// Largest backlog of a link at which a request with a long response is taken that may also go to
/// another gate. Reports of backlogs are too old to choose by, as each of many entries gets few. In a
/// replay of a peak 95.3 % of downloads were on time with this bound, 94.7 % with 200 ms, 95.5 % with
/// 50 ms and 93.0 % without one.
const BACKLOG_WITHOUT_WAIT_MAX: Duration = Duration::from_millis(100);

/// Request with a long response, for which a gate decides whether its link has room.
#[derive(Clone, Copy, Debug)]
pub struct LongRequest {
    /// When its caller gives up.
    pub deadline: Instant,
    /// Whether the request may wait at the gate. If not, it can go to another one.
    pub may_wait: bool,
    /// Usual size of its response.
    pub bytes: u64,
}

/// Returns the time that a link of the rate `link_kbit_per_s` needs for `bytes` of responses.
pub fn transfer_time(link_kbit_per_s: u32, bytes: u64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / paced_bytes_per_s(link_kbit_per_s) as f64)
}

/// Returns the part of a link's rate that is used for responses.
fn paced_bytes_per_s(link_kbit_per_s: u32) -> u64 {
    let link_bytes_per_s = u64::from(link_kbit_per_s.max(1)) * 1_000 / 8;
    (link_bytes_per_s * USED_PERCENT / 100).max(1)
}

/// Divides a link among the responses that are sent over it.
#[derive(Clone, Debug)]
pub struct LinkPacer {
    link_kbit_per_s: u32,
    /// Time until which the link is busy with the bytes that were sent so far.
    busy_until: Option<Instant>,
    responses: SlotMap<ResponseKey, LongResponse>,
}

#[derive(Clone, Debug)]
struct LongResponse {
    deadline: Instant,
    remaining_bytes: u64,
    has_begun: bool,
    turn: Turn,
}

impl LongResponse {
    /// Returns the key by which responses are ordered, the first of which is sent.
    fn order(&self, now: Instant) -> (bool, u64, Instant) {
        (self.deadline < now, self.remaining_bytes, self.deadline)
    }
}

/// State of the next piece of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Turn {
    /// The response has no data to send.
    Idle,
    /// A piece of this size waits for the link.
    Waiting(usize),
    /// A piece of this size may be sent.
    Granted(usize),
}

impl LinkPacer {
    /// Creates the pacer of a link with the rate `link_kbit_per_s`, at least 1.
    pub fn new(link_kbit_per_s: u32) -> Self {
        Self { link_kbit_per_s, busy_until: None, responses: SlotMap::with_key() }
    }

    /// Charges bytes that are sent at once.
    pub fn charge(&mut self, now: Instant, bytes: u64) {
        let start = self.busy_until.map_or(now, |until| until.max(now));
        self.busy_until = Some(start + self.transfer_time(bytes));
    }

    /// Adds a response that is expected to have `bytes`, before it begins. It counts as late after
    /// `deadline`.
    pub fn reserve(&mut self, deadline: Instant, bytes: u64) -> ResponseKey {
        let response =
            LongResponse { deadline, remaining_bytes: bytes, has_begun: false, turn: Turn::Idle };
        self.responses.insert(response)
    }

    /// Sets the number of bytes of a response when it begins.
    pub fn begin(&mut self, key: ResponseKey, bytes: u64) {
        if let Some(response) = self.responses.get_mut(key) {
            response.remaining_bytes = bytes;
            response.has_begun = true;
        }
    }

    /// Removes a response that has ended or will not be sent.
    pub fn remove(&mut self, key: ResponseKey) {
        self.responses.remove(key);
    }

    /// Requests the next piece of a response that has `available_bytes` of data.
    pub fn request(&mut self, key: ResponseKey, available_bytes: usize) {
        if let Some(response) = self.responses.get_mut(key)
            && response.turn == Turn::Idle
        {
            response.turn = Turn::Waiting(available_bytes.min(PIECE_MAX_BYTES));
        }
    }

    /// Grants one piece to the waiting response that comes first, if the link has room for it.
    pub fn grant(&mut self, now: Instant) -> Option<ResponseKey> {
        if self.next_grant_at(now)? > now {
            return None;
        }
        let (key, bytes) = self.first_waiting(now)?;
        self.charge(now, bytes as u64);
        let response = self.responses.get_mut(key)?;
        response.turn = Turn::Granted(bytes);
        response.remaining_bytes = response.remaining_bytes.saturating_sub(bytes as u64);
        Some(key)
    }

    /// Takes the granted piece of a response and returns its size.
    pub fn take(&mut self, key: ResponseKey) -> Option<usize> {
        let response = self.responses.get_mut(key)?;
        let Turn::Granted(bytes) = response.turn else { return None };
        response.turn = Turn::Idle;
        Some(bytes)
    }

    /// Returns when the next piece can be granted; `None` if no response waits for one.
    pub fn next_grant_at(&self, now: Instant) -> Option<Instant> {
        let is_waiting = |response: &LongResponse| matches!(response.turn, Turn::Waiting(_));
        self.responses.values().any(is_waiting).then(|| {
            let lead = self.transfer_time(PIECE_MAX_BYTES as u64).max(LEAD_MIN);
            self.busy_until.and_then(|until| until.checked_sub(lead)).unwrap_or(now)
        })
    }

    /// Returns the number of bytes of long responses that are still to be sent, with those expected.
    pub fn waiting_bytes(&self) -> u64 {
        self.responses.values().map(|response| response.remaining_bytes).sum()
    }

    /// Returns the time that the link needs for everything that is to be sent.
    pub fn backlog(&self, now: Instant) -> Duration {
        self.busy_for(now) + self.transfer_time(self.waiting_bytes())
    }

    /// Returns the rate of the link.
    pub fn link_kbit_per_s(&self) -> u32 {
        self.link_kbit_per_s
    }

    /// Decides whether a request is taken, whose response has to be sent before the deadline.
    ///
    /// # Errors
    ///
    /// Returns the time after which such a request could be taken.
    pub fn admit(&self, now: Instant, request: LongRequest) -> Result<(), Duration> {
        let completes_at = self.completes_at(now, request.bytes);
        let excess = completes_at.saturating_duration_since(request.deadline);
        let surplus = match request.may_wait {
            true => Duration::ZERO,
            false => self.begun_backlog(now).saturating_sub(BACKLOG_WITHOUT_WAIT_MAX),
        };
        match excess.max(surplus) {
            Duration::ZERO => Ok(()),
            wait => Err(wait),
        }
    }

    /// Estimates when a new response of `bytes` would be complete, if everything that is to be sent
    /// went first.
    pub fn completes_at(&self, now: Instant, bytes: u64) -> Instant {
        now + self.backlog(now) + self.transfer_time(bytes)
    }

    /// Returns the time that the link needs for the responses that have begun. Those that targets
    /// still run are left out, as a new request runs meanwhile, too.
    fn begun_backlog(&self, now: Instant) -> Duration {
        let begun = self.responses.values().filter(|response| response.has_begun);
        let bytes = begun.map(|response| response.remaining_bytes).sum();
        self.busy_for(now) + self.transfer_time(bytes)
    }

    fn first_waiting(&self, now: Instant) -> Option<(ResponseKey, usize)> {
        let waiting = self.responses.iter().filter_map(|(key, response)| match response.turn {
            Turn::Waiting(bytes) => Some((response.order(now), key, bytes)),
            _ => None,
        });
        waiting.min_by_key(|(order, ..)| *order).map(|(_, key, bytes)| (key, bytes))
    }

    fn busy_for(&self, now: Instant) -> Duration {
        self.busy_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns the time that the link needs for `bytes` at the paced rate.
    pub fn transfer_time(&self, bytes: u64) -> Duration {
        transfer_time(self.link_kbit_per_s, bytes)
    }
}
