//! The target on this instance, by what it says of itself.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

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
    view: Arc<watch::Sender<Option<Arc<TargetView>>>>,
}

#[derive(Debug, Default)]
struct State {
    /// Life and name of the latest process that was heard of.
    latest: Option<(TargetIncarnation, TargetId)>,
    /// Highest number of a heartbeat of that process.
    sequence: u64,
    /// Whether that process said that it leaves; it doesn't come back.
    has_left: bool,
    /// When that process was heard of last.
    last_heartbeat_at: Option<Instant>,
    /// A process that seems to be an older one and goes on speaking.
    candidate: Option<CandidateProcess>,
    departed: Option<DepartedTarget>,
    /// Whether it is known, as far as it can be, what an earlier process of this daemon was told.
    is_restored: bool,
}

/// A target that said that it leaves, to this process or to an earlier one of this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DepartedTarget {
    /// Its name.
    pub target: TargetId,
    /// Processes that started up to then are gone; target and daemon share their machine's clock.
    pub last_incarnation: TargetIncarnation,
}

/// A process whose start seems to lie before that of the known one.
#[derive(Debug)]
struct CandidateProcess {
    life: TargetIncarnation,
    target: TargetId,
    sequence: u64,
    /// Heartbeats of it, each newer than the one before.
    heartbeats: u32,
}

/// Heartbeats of a process with an earlier start after which it is believed to live.
///
/// Heartbeats that were held up come in a burst and end; those of a living process go on.
const CANDIDATE_HEARTBEATS_MIN: u32 = 3;

/// Silence of the known process after which another with an earlier start may be believed: three
/// heartbeats of today's targets.
const SILENCE_MIN: Duration = Duration::from_millis(4_500);

/// Time by which two heartbeats may differ in the end of one cold time, for their time on the way.
const COLD_JITTER: Duration = Duration::from_millis(250);

/// The target as it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetView {
    /// Its name.
    pub target: TargetId,
    /// Its process.
    pub life: TargetIncarnation,
    /// Service that it serves.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u16,
    /// Whether it takes work.
    pub phase: TargetPhase,
    /// Whether it is cold by its latest word.
    pub is_cold: bool,
    /// Until when it is cold, as it was or will be.
    pub cold_until: Instant,
}

/// What a word of a target changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatEffect {
    /// A process that wasn't known.
    NewLife,
    /// The same process says something else.
    Changed,
    /// The same process says the same.
    Same,
    /// An older heartbeat of the process that is known.
    Older,
    /// A heartbeat of a process that has been replaced.
    OlderLife,
    /// It isn't known yet whether the target had said before that it leaves.
    TooSoon,
}

impl RoutedTarget {
    /// Starts without a target: whatever an earlier process of this daemon was told counts no more.
    ///
    /// Failure: a daemon restarts beside a target that had said that it leaves, takes it for ready
    /// and sends it work. So nothing is sent before the target has spoken to this process.
    pub fn new() -> Self {
        Self { state: Arc::default(), view: Arc::new(watch::Sender::new(None)) }
    }

    /// The target, if one has spoken and has not left.
    pub fn current(&self) -> Option<Arc<TargetView>> {
        self.view.borrow().clone()
    }

    /// Takes in what an earlier process of this daemon was told; heartbeats count from then on.
    pub fn restore_departed(&self, departed: Option<DepartedTarget>) {
        let mut state = self.state.lock();
        state.is_restored = true;
        if state.departed.is_none() {
            state.departed = departed;
        }
    }

    /// The target that leaves or has left, as a later process of this daemon has to know it.
    pub fn departed(&self) -> Option<DepartedTarget> {
        if !self.is_leaving() {
            return None;
        }
        let state = self.state.lock();
        let (last_incarnation, target) = state.latest.clone()?;
        Some(DepartedTarget { target, last_incarnation })
    }

    /// Whether a target was here and leaves or has left.
    pub fn is_leaving(&self) -> bool {
        match self.current() {
            Some(view) => view.phase == TargetPhase::Draining,
            None => {
                let state = self.state.lock();
                state.has_left || (state.latest.is_none() && state.departed.is_some())
            }
        }
    }

    /// Tells of changes.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<TargetView>>> {
        self.view.subscribe()
    }

    /// Takes a heartbeat in.
    ///
    /// Failure: a heartbeat is held up on its way, arrives after its sender has died and another
    /// process has taken its place, and brings the dead one back. The start of the process tells
    /// which one is the later, and the number of the heartbeat orders those of one process.
    pub fn apply_heartbeat(&self, now: Instant, heartbeat: Heartbeat) -> HeartbeatEffect {
        let mut state = self.state.lock();
        if !state.is_restored {
            return HeartbeatEffect::TooSoon;
        }
        let effect = state.classify(now, &heartbeat);
        if matches!(effect, HeartbeatEffect::Older | HeartbeatEffect::OlderLife) {
            return effect;
        }
        let view = TargetView::new(now, heartbeat);
        let old = self.current();
        let is_same =
            old.is_some_and(|old| old.is_same_except_cold(&view) && !old.is_newly_cold(&view));
        if effect == HeartbeatEffect::Same && is_same {
            return HeartbeatEffect::Same;
        }
        self.view.send_replace(Some(Arc::new(view)));
        if effect == HeartbeatEffect::Same { HeartbeatEffect::Changed } else { effect }
    }

    /// Takes in that the target leaves, at `unix_ms` of this machine's clock; says whether that is
    /// word of the present one.
    pub fn apply_leave(&self, unix_ms: u64, leave: &Leave) -> bool {
        let mut state = self.state.lock();
        let is_present = state.latest.as_ref().is_some_and(|(life, target)| {
            *target == leave.target && leave.life.is_none_or(|left| left >= *life)
        });
        if is_present {
            state.has_left = true;
            self.view.send_replace(None);
        } else if state.latest.is_none() {
            let last_incarnation = leave.life.unwrap_or(unix_ms);
            state.departed =
                Some(DepartedTarget { target: leave.target.clone(), last_incarnation });
        }
        is_present
    }
}

impl Default for RoutedTarget {
    fn default() -> Self {
        Self::new()
    }
}

impl State {
    fn classify(&mut self, now: Instant, heartbeat: &Heartbeat) -> HeartbeatEffect {
        let is_same = self
            .latest
            .as_ref()
            .is_some_and(|(life, target)| *life == heartbeat.life && *target == heartbeat.target);
        if is_same {
            if self.has_left || heartbeat.sequence <= self.sequence {
                return HeartbeatEffect::Older;
            }
            self.sequence = heartbeat.sequence;
            self.last_heartbeat_at = Some(now);
            return HeartbeatEffect::Same;
        }
        let is_older = self.latest.as_ref().is_some_and(|(life, _)| *life > heartbeat.life);
        if self.is_departed(heartbeat) {
            return HeartbeatEffect::Older;
        }
        if is_older && !self.is_accepted(now, heartbeat) {
            return HeartbeatEffect::OlderLife;
        }
        self.last_heartbeat_at = Some(now);
        self.candidate = None;
        self.latest = Some((heartbeat.life, heartbeat.target.clone()));
        self.sequence = heartbeat.sequence;
        self.has_left = false;
        HeartbeatEffect::NewLife
    }
}

impl State {
    /// Whether the heartbeat is of a process that had said that it leaves.
    ///
    /// Failure: a daemon restarts, the first that it hears of its target is that it leaves, and a
    /// heartbeat from before arrives after that. Taken for a new target it would get work again.
    fn is_departed(&self, heartbeat: &Heartbeat) -> bool {
        let is_known = self.latest.is_some();
        !is_known
            && self.departed.as_ref().is_some_and(|departed| {
                departed.target == heartbeat.target && heartbeat.life <= departed.last_incarnation
            })
    }

    /// Whether a process with an earlier start is the living one all the same.
    ///
    /// Failure: a machine's clock is set back, its target starts again, and its daemon takes the
    /// living process for a dead one for as long as the clock was set back.
    fn is_accepted(&mut self, now: Instant, heartbeat: &Heartbeat) -> bool {
        let is_silent =
            self.last_heartbeat_at.is_none_or(|at| now.duration_since(at) >= SILENCE_MIN);
        let known = self.candidate.take().filter(|candidate| {
            candidate.life == heartbeat.life && candidate.target == heartbeat.target
        });
        let (last_sequence, heartbeats) =
            known.map_or((0, 0), |known| (known.sequence, known.heartbeats));
        let is_newer = heartbeats == 0 || heartbeat.sequence > last_sequence;
        let candidate = CandidateProcess {
            life: heartbeat.life,
            target: heartbeat.target.clone(),
            sequence: heartbeat.sequence.max(last_sequence),
            heartbeats: heartbeats + u32::from(is_newer),
        };
        let is_accepted = is_silent && candidate.heartbeats >= CANDIDATE_HEARTBEATS_MIN;
        self.candidate = Some(candidate);
        is_accepted
    }
}

impl TargetView {
    fn new(now: Instant, heartbeat: Heartbeat) -> Self {
        let cold_for = Duration::from_millis(heartbeat.cold_for_ms.into());
        Self {
            target: heartbeat.target,
            life: heartbeat.life,
            service: heartbeat.service,
            address: heartbeat.address,
            slots: heartbeat.slots.max(1),
            phase: heartbeat.phase,
            is_cold: !cold_for.is_zero(),
            cold_until: now + cold_for,
        }
    }

    /// Whether both are the same process.
    pub fn is_same_process(&self, other: &Self) -> bool {
        self.life == other.life && self.target == other.target
    }

    /// Whether `later` tells of a cold time that isn't known.
    fn is_newly_cold(&self, later: &Self) -> bool {
        later.is_cold && later.cold_until > self.cold_until + COLD_JITTER
    }

    fn is_same_except_cold(&self, other: &Self) -> bool {
        Self { is_cold: other.is_cold, cold_until: other.cold_until, ..self.clone() } == *other
    }
}
