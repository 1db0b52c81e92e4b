//! State of the target on this instance, by its heartbeats and leave notices.

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
    view: Arc<watch::Sender<Option<Arc<RoutedTargetView>>>>,
}

#[derive(Debug, Default)]
struct State {
    /// Incarnation and id of the latest accepted process.
    latest: Option<(TargetIncarnation, TargetId)>,
    /// Highest sequence number among the heartbeats of that process.
    sequence: u64,
    /// Whether that process sent its leave notice; it never becomes ready again.
    has_left: bool,
    /// Whether a response of that process announced that it leaves. Its heartbeats may be older, so
    /// they don't revoke that.
    has_announced_leaving: bool,
    /// Time of its latest heartbeat.
    last_heartbeat_at: Option<Instant>,
    /// A process with a lower incarnation that keeps sending heartbeats.
    candidate: Option<CandidateProcess>,
    /// A target that was leaving before its first heartbeat to this process.
    departed: Option<DepartedTarget>,
    /// Whether the leave notice stored by an earlier process of this daemon was loaded, found to be
    /// missing, or could not be read in time. Heartbeats are rejected until then.
    is_restored: bool,
}

/// A leaving target: it is draining or has sent its leave notice, to this process or to an earlier
/// one of this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DepartedTarget {
    /// Id of the target.
    pub target: TargetId,
    /// Processes of the target with this incarnation or a lower one count as exited.
    ///
    /// An incarnation is a start time in ms since 1970. For a leave notice without one, this is the
    /// arrival time of the notice, which is comparable since target and daemon share the clock of
    /// their machine.
    pub last_incarnation: TargetIncarnation,
}

/// A process whose incarnation is lower than that of the latest accepted process.
#[derive(Debug)]
struct CandidateProcess {
    incarnation: TargetIncarnation,
    target: TargetId,
    sequence: u64,
    /// Number of its heartbeats, each newer than the one before.
    heartbeats: u32,
}

/// Heartbeats after which a process with a lower incarnation is accepted as the running one.
///
/// Delayed heartbeats arrive in a burst that ends; a running process keeps sending them.
const CANDIDATE_HEARTBEATS_MIN: u32 = 3;

/// Silence of the accepted process after which one with a lower incarnation may replace it: three
/// heartbeat intervals of current targets.
const SILENCE_MIN: Duration = Duration::from_millis(4_500);

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
    /// The heartbeat is not newer than the latest one, or its process has sent its leave notice.
    Older,
    /// The heartbeat comes from a process that has been replaced.
    OlderLife,
    /// It isn't known yet whether the target has sent a leave notice to an earlier process of this
    /// daemon.
    TooSoon,
}

impl RoutedTarget {
    /// Starts without a target, whatever earlier processes of this daemon were told.
    ///
    /// Guards against a daemon that restarts next to a target which has sent its leave notice, and
    /// that would take the target for ready. So no requests are sent before the target's first
    /// heartbeat to this process.
    pub fn new() -> Self {
        Self { state: Arc::default(), view: Arc::new(watch::Sender::new(None)) }
    }

    /// Returns the target, if one has sent a heartbeat and no leave notice since.
    pub fn current(&self) -> Option<Arc<RoutedTargetView>> {
        self.view.borrow().clone()
    }

    /// Restores the leave notice received by an earlier process of this daemon. Heartbeats are
    /// accepted from then on.
    pub fn restore_departed(&self, departed: Option<DepartedTarget>) {
        let mut state = self.state.lock();
        state.is_restored = true;
        if state.departed.is_none() {
            state.departed = departed;
        }
    }

    /// Returns the target if it is leaving, to be stored for a later process of this daemon.
    pub fn departed(&self) -> Option<DepartedTarget> {
        if !self.is_leaving() {
            return None;
        }
        let state = self.state.lock();
        let (last_incarnation, target) = state.latest.clone()?;
        Some(DepartedTarget { target, last_incarnation })
    }

    /// Returns whether a target was known and is draining or has sent its leave notice.
    pub fn is_leaving(&self) -> bool {
        match self.current() {
            Some(view) => view.phase == TargetPhase::Draining,
            None => {
                let state = self.state.lock();
                state.has_left || (state.latest.is_none() && state.departed.is_some())
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
        if !state.is_restored {
            return HeartbeatEffect::TooSoon;
        }
        let effect = state.record_heartbeat(now, &heartbeat);
        if matches!(effect, HeartbeatEffect::Older | HeartbeatEffect::OlderLife) {
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
        let (incarnation, _) = state.latest.as_ref().filter(|_| state.has_announced_leaving)?;
        Some(*incarnation)
    }

    /// Records that the process of `incarnation` announced with a response that it leaves; returns
    /// whether that is the current process and was not known.
    pub fn record_announced_leaving(&self, incarnation: TargetIncarnation) -> bool {
        let mut state = self.state.lock();
        let is_present = state.latest.as_ref().is_some_and(|(latest, _)| *latest == incarnation);
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
    /// comes from the current process.
    pub fn apply_leave(&self, unix_ms: u64, leave: &Leave) -> bool {
        let mut state = self.state.lock();
        let is_present = state.latest.as_ref().is_some_and(|(incarnation, target)| {
            *target == leave.target && leave.life.is_none_or(|left| left >= *incarnation)
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
    /// Records the heartbeat unless it is rejected, and returns its effect.
    fn record_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> HeartbeatEffect {
        let is_same = self.latest.as_ref().is_some_and(|(incarnation, target)| {
            *incarnation == heartbeat.life && *target == heartbeat.target
        });
        if is_same {
            if self.has_left || heartbeat.sequence <= self.sequence {
                return HeartbeatEffect::Older;
            }
            self.sequence = heartbeat.sequence;
            self.last_heartbeat_at = Some(now);
            return HeartbeatEffect::Same;
        }
        let is_older =
            self.latest.as_ref().is_some_and(|(incarnation, _)| *incarnation > heartbeat.life);
        if self.is_departed(heartbeat) {
            return HeartbeatEffect::Older;
        }
        if is_older && !self.record_candidate(now, heartbeat) {
            return HeartbeatEffect::OlderLife;
        }
        self.last_heartbeat_at = Some(now);
        self.candidate = None;
        self.latest = Some((heartbeat.life, heartbeat.target.clone()));
        self.sequence = heartbeat.sequence;
        self.has_left = false;
        self.has_announced_leaving = false;
        HeartbeatEffect::NewLife
    }
}

impl State {
    /// Returns whether the heartbeat comes from a process that has sent its leave notice.
    ///
    /// Guards against a restarted daemon that receives the leave notice first and a delayed
    /// heartbeat from before it afterwards, which would look like a new target that gets requests
    /// again.
    fn is_departed(&self, heartbeat: &Heartbeat) -> bool {
        let is_known = self.latest.is_some();
        !is_known
            && self.departed.as_ref().is_some_and(|departed| {
                departed.target == heartbeat.target && heartbeat.life <= departed.last_incarnation
            })
    }

    /// Counts a heartbeat of a process with a lower incarnation. Returns whether that process is
    /// nevertheless the running one, which replaces the latest accepted process.
    ///
    /// Guards against a machine whose clock is set back before its target restarts. The daemon
    /// would take the running process for a dead one for as long as the clock was set back.
    fn record_candidate(&mut self, now: Instant, heartbeat: &Heartbeat) -> bool {
        let is_silent =
            self.last_heartbeat_at.is_none_or(|at| now.duration_since(at) >= SILENCE_MIN);
        let known = self.candidate.take().filter(|candidate| {
            candidate.incarnation == heartbeat.life && candidate.target == heartbeat.target
        });
        let (last_sequence, heartbeats) =
            known.map_or((0, 0), |known| (known.sequence, known.heartbeats));
        let is_newer = heartbeats == 0 || heartbeat.sequence > last_sequence;
        let candidate = CandidateProcess {
            incarnation: heartbeat.life,
            target: heartbeat.target.clone(),
            sequence: heartbeat.sequence.max(last_sequence),
            heartbeats: heartbeats + u32::from(is_newer),
        };
        let is_running = is_silent && candidate.heartbeats >= CANDIDATE_HEARTBEATS_MIN;
        self.candidate = Some(candidate);
        is_running
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
