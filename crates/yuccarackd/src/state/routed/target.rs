//! State of the target on this instance, by its heartbeats and leave notices.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use super::departures::{Departure, Departures};
use parking_lot::Mutex;
use tokio::sync::watch;
use yuccarack_config::{
    heartbeat::{Heartbeat, Leave, TargetId, TargetIncarnation, TargetPhase},
    ids::ServiceName,
};

/// The target on this instance; clones share it.
#[derive(Clone, Debug)]
pub struct RoutedTarget {
    state: Arc<Mutex<State>>,
    view: Arc<watch::Sender<Option<Arc<RoutedTargetView>>>>,
    /// Number of leave notices.
    leave_notices: Arc<watch::Sender<u64>>,
    /// The departures that the store has.
    stored_departures: Arc<watch::Sender<Vec<Departure>>>,
}

#[derive(Debug, Default)]
struct State {
    /// The process whose heartbeat was accepted last, unless a later one has left since.
    latest: Option<Process>,
    /// Highest sequence number among the heartbeats of that process.
    sequence: u64,
    /// Whether a response of that process announced that it leaves. Its heartbeats may be older, so
    /// they don't revoke that.
    has_announced_leaving: bool,
    /// Processes before the latest one, oldest first.
    earlier: Vec<Process>,
    /// Time of the latest accepted heartbeat.
    last_heartbeat_at: Option<Instant>,
    /// A process that keeps sending heartbeats although another one seems to have replaced it.
    candidate: Option<CandidateProcess>,
    /// Processes that have left; none of them becomes ready again.
    departures: Departures,
    /// Whether the departures stored by an earlier process of this daemon are known.
    restored: Restored,
}

/// A process of the target.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Process {
    target: TargetId,
    incarnation: TargetIncarnation,
}

/// Whether the departures stored by an earlier process of this daemon are known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Restored {
    /// They are being read; heartbeats are rejected.
    #[default]
    Pending,
    /// They can't be read for now. A process is accepted once it has sent several heartbeats, since
    /// one that has left sends no more.
    Unavailable,
    /// They are known.
    Known,
}

/// A process of the target that is leaving: it is draining or has sent its leave notice, to this
/// process or to an earlier one of this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DepartedTarget {
    /// Id of the target.
    pub target: TargetId,
    /// Incarnation of the process.
    pub last_incarnation: TargetIncarnation,
}

/// A process that is accepted only if it keeps sending heartbeats.
#[derive(Debug)]
struct CandidateProcess {
    process: Process,
    sequence: u64,
    /// Number of its heartbeats, each newer than the one before.
    heartbeats: u32,
    first_heartbeat_at: Instant,
}

/// Heartbeats after which a process that seems to have been replaced is accepted as the running one.
///
/// Delayed heartbeats arrive in a burst that ends; a running process keeps sending them.
const CANDIDATE_HEARTBEATS_MIN: u32 = 3;

/// Silence of the accepted process after which one that it seems to have replaced may replace it in
/// turn: three heartbeat intervals of current targets.
const SILENCE_MIN: Duration = Duration::from_millis(4_500);

/// Time over which a process sends heartbeats before it is accepted without the stored departures.
/// Delayed heartbeats of a process that has left arrive closer together.
const UNVERIFIED_PERIOD_MIN: Duration = Duration::from_millis(1_000);

/// Most processes that are kept as earlier ones.
const EARLIER_MAX: usize = 8;

/// Largest difference between two heartbeats in the end of the same cold period, due to their
/// transit times.
const COLD_JITTER: Duration = Duration::from_millis(250);

/// Current view of the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutedTargetView {
    /// Id of the target.
    pub target: TargetId,
    /// Incarnation of its process.
    pub incarnation: TargetIncarnation,
    /// Service that the target serves.
    pub service: ServiceName,
    /// Address on which the target accepts requests.
    pub address: SocketAddr,
    /// Number of requests that the target runs at once.
    pub slots: u16,
    /// Lifecycle phase, which tells whether the target accepts requests.
    pub phase: TargetPhase,
    /// Whether the target was cold at its latest heartbeat.
    pub is_cold: bool,
    /// End of the latest cold period, which may lie in the past.
    pub cold_until: Instant,
}

/// Effect of a heartbeat on the state. The log writes the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatEffect {
    /// The heartbeat comes from a new process.
    NewLife,
    /// The same process reports a change.
    Changed,
    /// The same process reports no change.
    Same,
    /// The heartbeat is not newer than the latest one, or its process has left.
    Older,
    /// The heartbeat comes from a process that has been replaced.
    OlderLife,
    /// It isn't known yet whether the target has left while an earlier process of this daemon ran.
    TooSoon,
}

impl RoutedTarget {
    /// Starts without a target, whatever earlier processes of this daemon were told.
    ///
    /// Guards against a daemon that restarts next to a target which has sent its leave notice, and
    /// that would take the target for ready. So no requests are sent before the target's first
    /// heartbeat to this process.
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            view: Arc::new(watch::Sender::new(None)),
            leave_notices: Arc::default(),
            stored_departures: Arc::default(),
        }
    }

    /// Returns the target, if one has sent a heartbeat and no leave notice since.
    pub fn current(&self) -> Option<Arc<RoutedTargetView>> {
        self.view.borrow().clone()
    }

    /// Restores the departure received by an earlier process of this daemon. Heartbeats are accepted
    /// from then on.
    pub fn restore_departed(&self, departed: Option<DepartedTarget>) {
        let departures = departed
            .into_iter()
            .map(|departed| Departure::of_process(departed.target, departed.last_incarnation));
        self.restore_departures(departures.collect());
    }

    /// Restores the departures received by earlier processes of this daemon. Heartbeats are accepted
    /// from then on.
    pub fn restore_departures(&self, departures: Vec<Departure>) {
        let mut state = self.state.lock();
        state.restored = Restored::Known;
        let received_since = std::mem::take(&mut state.departures);
        for departure in departures.into_iter().chain(received_since.to_vec()) {
            state.departures.add(departure);
        }
        if state.has_latest_left() {
            self.view.send_replace(None);
        }
    }

    /// Accepts heartbeats of processes that keep sending them, as the stored departures can't be read
    /// for now.
    pub fn accept_without_departures(&self) {
        let mut state = self.state.lock();
        if state.restored == Restored::Pending {
            state.restored = Restored::Unavailable;
        }
    }

    /// Returns the target if it is leaving.
    pub fn departed(&self) -> Option<DepartedTarget> {
        if !self.is_leaving() {
            return None;
        }
        let Process { target, incarnation } = self.state.lock().latest.clone()?;
        Some(DepartedTarget { target, last_incarnation: incarnation })
    }

    /// Returns the departures to be stored for a later process of this daemon, that of a draining
    /// target included.
    pub fn departures(&self) -> Vec<Departure> {
        let draining = self.departed();
        let mut departures = self.state.lock().departures.clone();
        if let Some(DepartedTarget { target, last_incarnation }) = draining {
            departures.add(Departure::of_process(target, last_incarnation));
        }
        departures.to_vec()
    }

    /// Notes which departures the store has.
    pub fn set_stored_departures(&self, departures: Vec<Departure>) {
        self.stored_departures.send_replace(departures);
    }

    /// Returns the departures that the store has.
    pub fn stored_departures(&self) -> Vec<Departure> {
        self.stored_departures.borrow().clone()
    }

    /// Waits until the store has all departures.
    pub async fn wait_departures_stored(&self) {
        let is_stored = |stored: &Vec<Departure>| {
            self.departures().iter().all(|departure| stored.contains(departure))
        };
        // The sender lives as long as `self`, so this can't fail.
        let _ = self.stored_departures.subscribe().wait_for(is_stored).await;
    }

    /// Subscribes to the number of leave notices.
    pub fn subscribe_leave_notices(&self) -> watch::Receiver<u64> {
        self.leave_notices.subscribe()
    }

    /// Returns whether a target was known and is draining or has sent its leave notice.
    pub fn is_leaving(&self) -> bool {
        match self.current() {
            Some(view) => view.phase == TargetPhase::Draining,
            None => {
                let state = self.state.lock();
                state.has_latest_left() || (state.latest.is_none() && !state.departures.is_empty())
            }
        }
    }

    /// Subscribes to changes of the view.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<RoutedTargetView>>> {
        self.view.subscribe()
    }

    /// Applies a heartbeat.
    ///
    /// Guards against a delayed heartbeat that arrives after its sender has died and another
    /// process has replaced it, and that would restore the dead process. The start time orders
    /// processes, and the sequence number orders the heartbeats of one process.
    pub fn apply_heartbeat(&self, now: Instant, heartbeat: Heartbeat) -> HeartbeatEffect {
        let mut state = self.state.lock();
        if state.restored == Restored::Pending {
            return HeartbeatEffect::TooSoon;
        }
        let is_leaving = self.is_draining();
        let effect = state.record_heartbeat(now, &heartbeat, is_leaving);
        if matches!(
            effect,
            HeartbeatEffect::Older | HeartbeatEffect::OlderLife | HeartbeatEffect::TooSoon
        ) {
            return effect;
        }
        let mut view = RoutedTargetView::new(now, heartbeat);
        if state.has_announced_leaving {
            view.phase = TargetPhase::Draining;
        }
        let old = self.current();
        let is_same =
            old.is_some_and(|old| old.is_same_except_cold(&view) && !old.is_newly_cold(&view));
        if effect == HeartbeatEffect::Same && is_same {
            return HeartbeatEffect::Same;
        }
        self.view.send_replace(Some(Arc::new(view)));
        if effect == HeartbeatEffect::Same { HeartbeatEffect::Changed } else { effect }
    }

    /// Returns the incarnation of the target if a response of it announced that it leaves.
    pub fn announced_leaving(&self) -> Option<TargetIncarnation> {
        let state = self.state.lock();
        let latest = state.latest.as_ref().filter(|_| state.has_announced_leaving)?;
        Some(latest.incarnation)
    }

    /// Records that the process of `incarnation` announced with a response that it leaves; returns
    /// whether that is the current process and was not known.
    pub fn record_announced_leaving(&self, incarnation: TargetIncarnation) -> bool {
        let mut state = self.state.lock();
        let is_present =
            state.latest.as_ref().is_some_and(|latest| latest.incarnation == incarnation);
        if !is_present || state.has_announced_leaving {
            return false;
        }
        state.has_announced_leaving = true;
        self.view.send_if_modified(|view| {
            let Some(view) = view.as_mut().filter(|view| view.phase == TargetPhase::Ready) else {
                return false;
            };
            Arc::make_mut(view).phase = TargetPhase::Draining;
            true
        });
        true
    }

    /// Applies a leave notice that arrived at `unix_ms` of this machine's clock; returns whether it
    /// ends the current process.
    ///
    /// A leave notice counts whether or not its process has sent a heartbeat. The notice of a process
    /// that started later than the current one shows that the current one has ended.
    pub fn apply_leave(&self, unix_ms: u64, leave: &Leave) -> bool {
        let mut state = self.state.lock();
        let ends_current = state.record_leave(unix_ms, leave);
        drop(state);
        if ends_current {
            self.view.send_replace(None);
        }
        self.leave_notices.send_modify(|count| *count += 1);
        ends_current
    }

    fn is_draining(&self) -> bool {
        self.current().is_some_and(|view| view.phase == TargetPhase::Draining)
    }
}

impl Default for RoutedTarget {
    fn default() -> Self {
        Self::new()
    }
}

impl State {
    /// Records the heartbeat unless it is rejected, and returns its effect. `is_draining` tells whether
    /// the latest process is draining.
    fn record_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        is_draining: bool,
    ) -> HeartbeatEffect {
        let process = Process { target: heartbeat.target.clone(), incarnation: heartbeat.life };
        if self.departures.include(&process.target, process.incarnation) {
            let has_successor = self.latest.is_some() && !self.has_latest_left();
            return if has_successor { HeartbeatEffect::OlderLife } else { HeartbeatEffect::Older };
        }
        if self.latest.as_ref() == Some(&process) {
            if heartbeat.sequence <= self.sequence {
                return HeartbeatEffect::Older;
            }
            self.sequence = heartbeat.sequence;
            self.last_heartbeat_at = Some(now);
            return HeartbeatEffect::Same;
        }
        if self.is_replaced(&process) {
            let is_silent =
                self.last_heartbeat_at.is_none_or(|at| now.duration_since(at) >= SILENCE_MIN);
            let candidate = self.record_candidate(now, process.clone(), heartbeat.sequence);
            if !is_silent || candidate.heartbeats < CANDIDATE_HEARTBEATS_MIN {
                return HeartbeatEffect::OlderLife;
            }
        } else if self.restored == Restored::Unavailable && self.latest.is_none() {
            let candidate = self.record_candidate(now, process.clone(), heartbeat.sequence);
            let sent_for = now.duration_since(candidate.first_heartbeat_at);
            if candidate.heartbeats < 2 || sent_for < UNVERIFIED_PERIOD_MIN {
                return HeartbeatEffect::TooSoon;
            }
        }
        self.replace_latest(process, is_draining);
        self.last_heartbeat_at = Some(now);
        self.sequence = heartbeat.sequence;
        HeartbeatEffect::NewLife
    }

    /// Returns whether another process seems to have replaced `process`: it was known before, or it
    /// started before the latest one, which hasn't left.
    fn is_replaced(&self, process: &Process) -> bool {
        let latest = self.latest.as_ref().filter(|_| !self.has_latest_left());
        let is_older = latest.is_some_and(|latest| latest.incarnation > process.incarnation);
        is_older || self.earlier.contains(process)
    }

    /// Counts a heartbeat of a process that is accepted only if it keeps sending them.
    ///
    /// Guards against a machine whose clock is set back before its target restarts. The daemon
    /// would take the running process for a dead one for as long as the clock was set back.
    fn record_candidate(
        &mut self,
        now: Instant,
        process: Process,
        sequence: u64,
    ) -> &CandidateProcess {
        let known = self.candidate.take().filter(|candidate| candidate.process == process);
        let mut candidate = known.unwrap_or(CandidateProcess {
            process,
            sequence,
            heartbeats: 0,
            first_heartbeat_at: now,
        });
        if candidate.heartbeats == 0 || sequence > candidate.sequence {
            candidate.sequence = sequence;
            candidate.heartbeats += 1;
        }
        self.candidate.insert(candidate)
    }

    /// Makes `process` the latest one.
    fn replace_latest(&mut self, process: Process, is_draining: bool) {
        if let Some(latest) = self.latest.take() {
            match is_draining {
                true => {
                    self.departures.add(Departure::of_process(latest.target, latest.incarnation))
                }
                false => self.add_earlier(latest),
            }
        }
        self.earlier.retain(|earlier| *earlier != process);
        self.latest = Some(process);
        self.candidate = None;
        self.has_announced_leaving = false;
    }

    fn add_earlier(&mut self, process: Process) {
        if self.earlier.len() >= EARLIER_MAX {
            self.earlier.remove(0);
        }
        self.earlier.push(process);
    }

    /// Records a leave notice; returns whether it ends the latest process.
    fn record_leave(&mut self, unix_ms: u64, leave: &Leave) -> bool {
        let Leave { target, life } = leave.clone();
        let latest = self.latest.clone();
        let of_latest = latest.as_ref().filter(|latest| latest.target == target);
        let departure = match (life, of_latest) {
            (Some(incarnation), _) => Departure::of_process(target, incarnation),
            (None, Some(latest)) => Departure::of_process(target, latest.incarnation),
            (None, None) => Departure::of_all_started_by(target, unix_ms),
        };
        let is_later =
            |latest: &Process| life.is_some_and(|incarnation| incarnation > latest.incarnation);
        let is_ended = self.latest.take_if(|latest| is_later(latest));
        self.departures.add(departure);
        if let Some(ended) = is_ended {
            self.add_earlier(ended);
            return true;
        }
        self.has_latest_left()
    }

    fn has_latest_left(&self) -> bool {
        let latest = self.latest.as_ref();
        latest.is_some_and(|latest| self.departures.include(&latest.target, latest.incarnation))
    }
}

impl RoutedTargetView {
    fn new(now: Instant, heartbeat: Heartbeat) -> Self {
        let cold_for = Duration::from_millis(heartbeat.cold_for_ms.into());
        Self {
            target: heartbeat.target,
            incarnation: heartbeat.life,
            service: heartbeat.service,
            address: heartbeat.address,
            slots: heartbeat.slots.max(1),
            phase: heartbeat.phase,
            is_cold: !cold_for.is_zero(),
            cold_until: now + cold_for,
        }
    }

    /// Returns whether both views are of the same process.
    pub fn is_same_process(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation && self.target == other.target
    }

    /// Returns whether `later` reports a cold period that isn't known yet.
    fn is_newly_cold(&self, later: &Self) -> bool {
        later.is_cold && later.cold_until > self.cold_until + COLD_JITTER
    }

    fn is_same_except_cold(&self, other: &Self) -> bool {
        Self { is_cold: other.is_cold, cold_until: other.cold_until, ..self.clone() } == *other
    }
}
