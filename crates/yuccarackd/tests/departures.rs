//! Tests that a target which has left stays so, in any order of heartbeats, leaves and restarts.

use std::time::{Duration, Instant};

use quickcheck::{Arbitrary, Gen, QuickCheck};
use yuccarack_config::heartbeat::{Heartbeat, Leave, TargetPhase};
use yuccarackd::state::routed::{
    departures::Departure,
    target::{HeartbeatEffect, RoutedTarget},
};

/// Start times of the processes of the target, in their order. The clock was set back before the
/// third process started.
const INCARNATIONS: [u64; 4] = [2_000, 3_000, 1_000, 4_000];

/// Number of ids that the processes use in turn.
const IDS: usize = 2;

/// What reaches the daemon.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A heartbeat of a process; it may be late.
    Heartbeat { process: usize, sequence: u64 },
    /// A leave of a process.
    Leave { process: usize },
    /// The daemon restarts and reads the departures that the store has.
    Restart,
    /// The daemon restarts, and the store doesn't respond until later.
    RestartWithoutStore,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let process = usize::arbitrary(g) % INCARNATIONS.len();
        match u8::arbitrary(g) % 8 {
            0 | 1 => Self::Leave { process },
            2 => Self::Restart,
            3 => Self::RestartWithoutStore,
            _ => Self::Heartbeat { process, sequence: u64::arbitrary(g) % 20 },
        }
    }
}

/// The daemon's view of the target, and the store, which keeps what is confirmed.
struct Daemon {
    target: RoutedTarget,
    stored: Vec<Departure>,
    now: Instant,
    left: Vec<usize>,
}

fn id(process: usize) -> String {
    format!("i-{}", process % IDS)
}

fn heartbeat(process: usize, sequence: u64) -> Heartbeat {
    Heartbeat {
        target: id(process),
        life: INCARNATIONS[process],
        sequence,
        service: "board".to_owned(),
        address: "127.0.0.1:8080".parse().expect("an address"),
        failure_domain: "a".to_owned(),
        slots: 9,
        phase: TargetPhase::Ready,
        cold_for_ms: 0,
    }
}

impl Daemon {
    fn new() -> Self {
        let target = RoutedTarget::new();
        target.restore_departures(Vec::new());
        Self { target, stored: Vec::new(), now: Instant::now(), left: Vec::new() }
    }

    fn apply(&mut self, event: Event) {
        self.now += Duration::from_millis(400);
        match event {
            Event::Heartbeat { process, sequence } => {
                self.target.apply_heartbeat(self.now, heartbeat(process, sequence));
            }
            Event::Leave { process } => {
                let life = Some(INCARNATIONS[process]);
                self.target.apply_leave(0, &Leave { target: id(process), life });
                self.left.push(process);
                self.stored = self.target.departures();
            }
            Event::Restart => {
                self.target = RoutedTarget::new();
                self.target.restore_departures(self.stored.clone());
            }
            Event::RestartWithoutStore => {
                self.target = RoutedTarget::new();
                self.target.accept_without_departures();
                self.target.restore_departures(self.stored.clone());
            }
        }
    }

    fn has_left(&self, process: usize) -> bool {
        self.left.contains(&process)
    }
}

/// Guards against a target that gets requests again after its leave was confirmed.
#[test]
fn a_process_that_has_left_never_becomes_current_again() {
    fn holds(events: Vec<Event>) -> bool {
        let mut daemon = Daemon::new();
        events.into_iter().all(|event| {
            daemon.apply(event);
            let current = daemon.target.current();
            let is_current = |process: usize| {
                current.as_ref().is_some_and(|view| {
                    view.target == id(process) && view.incarnation == INCARNATIONS[process]
                })
            };
            (0..INCARNATIONS.len()).all(|process| !daemon.has_left(process) || !is_current(process))
        })
    }
    QuickCheck::new().tests(20_000).quickcheck(holds as fn(Vec<Event>) -> bool);
}

/// Guards against a process that is rejected because others have left: whatever came before, it is
/// accepted at its first heartbeat after the process before it left.
#[test]
fn the_next_process_is_accepted_at_its_first_heartbeat() {
    fn holds(events: Vec<Event>) -> bool {
        let mut daemon = Daemon::new();
        let (last, next) = (INCARNATIONS.len() - 1, INCARNATIONS.len() - 2);
        for event in events {
            let is_of_next = matches!(
                event,
                Event::Heartbeat { process, .. } | Event::Leave { process } if process == next
            );
            if !is_of_next {
                daemon.apply(event);
            }
        }
        daemon.apply(Event::Leave { process: last });
        let effect = daemon.target.apply_heartbeat(daemon.now, heartbeat(next, 1));
        effect == HeartbeatEffect::NewLife
    }
    QuickCheck::new().tests(20_000).quickcheck(holds as fn(Vec<Event>) -> bool);
}
