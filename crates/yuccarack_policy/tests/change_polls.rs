//! Tests of the schedule of long polls against a store that stops responding and recovers.

use std::time::{Duration, Instant};

use quickcheck::{QuickCheck, TestResult};
use yuccarack_policy::change_polls::{
    CAUTIOUS_PERIOD, CONFIRMATION_DELAY_MAX, PollSchedule, PollSlot, WAIT_MAX,
};

/// Time after its recovery from which a store counts as stable.
const STABLE_AFTER: Duration = Duration::from_secs(3);

/// Time within which a change has to be known.
const KNOWN_MAX: Duration = Duration::from_secs(2);

/// Time for a response beyond the wait of a poll.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Wait of the first poll after a change.
const FIRST_WAIT: Duration = Duration::from_secs(1);

/// Pause after a change, and delay after a failure.
const PAUSE: Duration = Duration::from_millis(100);

/// Steps of the virtual clock.
const STEP: Duration = Duration::from_millis(10);

/// Time at which the polls of a settled deployment have been renewed at least once.
const SETTLED_AFTER: Duration = Duration::from_secs(30);

/// A store that loses polls which arrive while it is silent.
struct SilentStore {
    silent_from: Instant,
    silent_until: Instant,
    /// Whether it also loses the responses to polls that it held open and that a change ended.
    loses_open_polls: bool,
    changes: Vec<Instant>,
}

#[derive(Clone, Copy)]
struct Poll {
    known_up_to: Instant,
    due_at: Instant,
    is_lost: bool,
}

impl SilentStore {
    fn is_silent(&self, now: Instant) -> bool {
        (self.silent_from..self.silent_until).contains(&now)
    }

    fn accept(&self, now: Instant, due_at: Instant, known_up_to: Instant) -> Poll {
        Poll { known_up_to, due_at, is_lost: self.is_silent(now) }
    }

    /// Returns whether the response at `now` has changes; `None` if there is no response yet.
    fn respond(&self, poll: &mut Poll, now: Instant) -> Option<bool> {
        let has_changes =
            self.changes.iter().any(|change| (poll.known_up_to..now).contains(change));
        let is_silent = self.is_silent(now);
        poll.is_lost |= is_silent && has_changes && self.loses_open_polls;
        if poll.is_lost || is_silent {
            return None;
        }
        (has_changes || now >= poll.due_at).then_some(has_changes)
    }
}

/// The polls of one table by one daemon.
struct Follower {
    schedule: PollSchedule,
    slot: PollSlot,
    current: Option<Poll>,
    following: Option<Poll>,
    known_up_to: Instant,
    resume_at: Instant,
    polls_sent: usize,
    longest_delay: Duration,
    /// Whether the store recovered between the renewal of a poll and the response to the poll before
    /// it, which these polls can't distinguish from a store that was never silent.
    is_recovery_hidden: bool,
}

impl Follower {
    fn new(start: Instant, slot: PollSlot) -> Self {
        Self {
            schedule: PollSchedule::new(FIRST_WAIT),
            slot,
            current: None,
            following: None,
            known_up_to: start,
            resume_at: start,
            polls_sent: 0,
            longest_delay: Duration::ZERO,
            is_recovery_hidden: false,
        }
    }

    fn give_up(&mut self, resume_at: Instant) {
        (self.current, self.following, self.resume_at) = (None, None, resume_at);
    }

    /// Advances to `now`; returns whether other followers are warned.
    fn step(&mut self, store: &SilentStore, now: Instant, store_time: Duration) -> bool {
        if now < self.resume_at {
            return false;
        }
        let Some(mut poll) = self.current else {
            let due_at = self.schedule.start(now, self.slot, store_time);
            self.current = Some(store.accept(now, due_at, self.known_up_to));
            self.polls_sent += 1;
            return false;
        };
        let response = store.respond(&mut poll, now);
        self.current = Some(poll);
        let of_following = self.following.as_mut().and_then(|poll| store.respond(poll, now));
        if response == Some(true) || of_following.is_some() {
            self.record_changes(store, now);
            self.schedule.cancel();
            self.give_up(now + PAUSE);
        } else if response == Some(false) {
            let is_replaced = self.schedule.record_unchanged(now);
            self.current = self.following.take().filter(|_| is_replaced);
        } else if now >= poll.due_at + RESPONSE_TIMEOUT {
            self.schedule.record_failure(now);
            self.give_up(now + PAUSE);
        } else if self.schedule.late_at().is_some_and(|at| at <= now) {
            self.schedule.record_late();
            return true;
        } else if self.schedule.renew_at().is_some_and(|at| at <= now) {
            let due_at = self.schedule.renew(now, self.slot, store_time);
            let renewed = store.accept(now, due_at, self.known_up_to);
            self.following = Some(renewed);
            self.polls_sent += 1;
            self.is_recovery_hidden |=
                renewed.is_lost && store.silent_until <= poll.due_at + CONFIRMATION_DELAY_MAX;
        }
        false
    }

    fn record_changes(&mut self, store: &SilentStore, now: Instant) {
        let stable_from = store.silent_until + STABLE_AFTER;
        let learned = store.changes.iter().filter(|at| (self.known_up_to..now).contains(*at));
        let delays = learned.filter(|at| **at >= stable_from).map(|at| now - *at);
        self.longest_delay = delays.fold(self.longest_delay, Duration::max);
        self.known_up_to = now;
    }

    fn is_in_time(&self, last_change: Instant) -> bool {
        self.known_up_to > last_change && self.longest_delay <= KNOWN_MAX
    }

    fn warn(&mut self, now: Instant) {
        if self.current.is_some() && self.schedule.record_warning(now) {
            self.give_up(now);
        }
    }
}

/// Follows `store` with `polls` followers of one table each.
fn follow(store: &SilentStore, polls: u32, start: Instant, end: Instant) -> Vec<Follower> {
    let slots = (0..polls).map(|index| PollSlot::new(index, polls));
    let mut followers: Vec<_> = slots.map(|slot| Follower::new(start, slot)).collect();
    let mut now = start;
    while now < end {
        now += STEP;
        let is_warned = followers
            .iter_mut()
            .fold(false, |is_warned, follower| follower.step(store, now, now - start) | is_warned);
        if is_warned {
            followers.iter_mut().for_each(|follower| follower.warn(now));
        }
    }
    followers
}

fn ms(time_ms: u32) -> Duration {
    Duration::from_millis(time_ms.into())
}

/// Guards against changes that stay unknown for as long as a poll is held open, because the store
/// got the polls that followed a change while it was silent.
#[test]
fn a_change_after_a_silence_is_known_in_time_at_any_moment_of_a_poll() {
    fn is_in_time(polls: u8, from_ms: u16, silent_ms: u16, later_ms: u16) -> TestResult {
        let start = Instant::now();
        let change = start + SETTLED_AFTER;
        // Half of the silences begin around the change, when all polls are sent again.
        let from_ms = u32::from(from_ms);
        let from_ms = if from_ms % 2 == 0 { from_ms % 400 } else { from_ms % 30_000 };
        let silent_from = change + ms(from_ms);
        let silent_until = silent_from + ms(300 + u32::from(silent_ms) % 12_000);
        let last_change = silent_until + STABLE_AFTER + ms(u32::from(later_ms) / 8);
        let changes = vec![change, last_change];
        let store = SilentStore { silent_from, silent_until, loses_open_polls: false, changes };
        let polls = [2, 4, 12, 48][usize::from(polls) % 4];
        let followers = follow(&store, polls, start, last_change + WAIT_MAX + CAUTIOUS_PERIOD);
        if followers.iter().any(|follower| follower.is_recovery_hidden) {
            return TestResult::discard();
        }
        TestResult::from_bool(followers.iter().all(|follower| follower.is_in_time(last_change)))
    }
    QuickCheck::new().tests(300).quickcheck(is_in_time as fn(u8, u16, u16, u16) -> TestResult);
}

/// Guards against changes that stay unknown because the store lost the responses to polls that it
/// held open: in an outage of 8 s a response to one of them is due, and the daemons warn each other.
#[test]
fn a_change_after_lost_responses_is_known_in_time() {
    fn is_in_time(polls: u8, from_ms: u16, lost_ms: u16, later_ms: u16) -> bool {
        let start = Instant::now();
        let silent_from = start + SETTLED_AFTER + ms(u32::from(from_ms) % 30_000);
        let silent_until = silent_from + ms(8_000);
        let lost_change = silent_from + ms(u32::from(lost_ms) % 8_000);
        let last_change = silent_until + STABLE_AFTER + ms(u32::from(later_ms) / 8);
        let changes = vec![lost_change, last_change];
        let store = SilentStore { silent_from, silent_until, loses_open_polls: true, changes };
        let polls = [4, 12, 48][usize::from(polls) % 3];
        let followers = follow(&store, polls, start, last_change + WAIT_MAX + CAUTIOUS_PERIOD);
        followers.iter().all(|follower| follower.is_in_time(last_change))
    }
    QuickCheck::new().tests(200).quickcheck(is_in_time as fn(u8, u16, u16, u16) -> bool);
}

/// Guards against short polls while nothing is wrong: every poll is billed.
#[test]
fn polls_are_long_while_the_store_responds() {
    for (polls, at_change) in [(2, 2), (4, 2), (12, 1), (96, 1)] {
        let start = Instant::now();
        let end = start + WAIT_MAX * 4;
        let changes = vec![start + WAIT_MAX + Duration::from_secs(10)];
        let store =
            SilentStore { silent_from: end, silent_until: end, loses_open_polls: false, changes };
        for follower in follow(&store, polls, start, end) {
            let in_intervals = (WAIT_MAX * 4).div_duration_f64(follower.slot.wait_max()).ceil();
            // At the start and at the change, which end the poll before them.
            let most = in_intervals as usize + 2 * at_change;
            assert!(follower.polls_sent <= most, "{} polls of {polls}", follower.polls_sent);
        }
    }
}
