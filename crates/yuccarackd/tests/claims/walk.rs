//! Random walks over claims, faults and ends, against a model of who may have run.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use tokio::{task::JoinHandle, time::sleep};
use yuccarack_standins::platform::{Platform, PlatformFaults, PlatformMode};
use yuccarackd::coordination::claims::{Claim, ClaimVerdict, RunningClaim};

use super::support::{TestGate, heal, outcome, platform, request};

const KEYS: usize = 3;
const GATES: usize = 2;
const STEPS_MAX: usize = 40;
const WALKS: u64 = 100;
const SEED: u64 = 0x1ce_c1a1;
const ANSWER_TIMEOUT: Duration = Duration::from_millis(25);
/// Longer than the answer's timeout, so that such a write lands after it was given up.
const LATE_MS: u64 = 60;

#[derive(Clone, Copy, Debug)]
enum Step {
    Claim { gate: usize, key: usize },
    HangUp,
    Settle,
    HandOver,
    Release,
    Done,
    Shed,
    Die,
    LoseAnswer,
    Late,
    Down,
    Hang,
    Heal,
    Pause,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let claim = Step::Claim { gate: pick(g, GATES), key: pick(g, KEYS) };
        let others = [
            Step::HangUp,
            Step::Settle,
            Step::HandOver,
            Step::HandOver,
            Step::Release,
            Step::Done,
            Step::Shed,
            Step::Die,
            Step::LoseAnswer,
            Step::LoseAnswer,
            Step::Late,
            Step::Late,
            Step::Down,
            Step::Hang,
            Step::Heal,
            Step::Heal,
            Step::Pause,
        ];
        match pick(g, 3) {
            0 => claim,
            _ => *g.choose(&others).expect("there are some"),
        }
    }
}

fn pick(g: &mut Gen, below: usize) -> usize {
    usize::arbitrary(g) % below
}

/// What is known of one key from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Known {
    NeverRan,
    Running,
    Done,
    Unknown,
}

struct Walk {
    platform: Platform,
    gates: Vec<TestGate>,
    asked: Vec<(usize, JoinHandle<ClaimVerdict>)>,
    held: Vec<(usize, Claim)>,
    running: Vec<(usize, RunningClaim)>,
    known: [Known; KEYS],
    attempt: u128,
}

impl Walk {
    async fn start() -> Self {
        let platform = platform().await;
        let gates = (0..GATES)
            .map(|gate| TestGate::start(&platform, &format!("gate-{gate}"), ANSWER_TIMEOUT))
            .collect();
        Self {
            platform,
            gates,
            asked: Vec::new(),
            held: Vec::new(),
            running: Vec::new(),
            known: [Known::NeverRan; KEYS],
            attempt: 0,
        }
    }

    async fn take(&mut self, step: Step) {
        match step {
            Step::Claim { gate, key } => self.ask(gate, key),
            Step::HangUp => {
                if let Some((_, call)) = self.asked.pop() {
                    call.abort();
                }
            }
            Step::Settle => self.settle().await,
            Step::HandOver => self.begin_dispatch(),
            Step::Release => drop(self.held.pop()),
            Step::Done => self.end(Known::Done, |claim| claim.record_outcome(outcome())),
            Step::Shed => self.end(Known::NeverRan, RunningClaim::release_not_run),
            Step::Die => self.end(Known::Unknown, drop),
            Step::LoseAnswer => {
                self.fault(PlatformFaults { lose_answers: 1, ..Default::default() });
            }
            Step::Late => self.fault(PlatformFaults {
                delay_ms: LATE_MS,
                late_effect: true,
                ..Default::default()
            }),
            Step::Down => {
                self.fault(PlatformFaults { mode: PlatformMode::Down, ..Default::default() });
            }
            Step::Hang => {
                self.fault(PlatformFaults { mode: PlatformMode::BlackHole, ..Default::default() });
            }
            Step::Heal => heal(&self.platform),
            Step::Pause => sleep(Duration::from_millis(7)).await,
        }
    }

    fn fault(&self, faults: PlatformFaults) {
        self.platform.set_faults(faults);
    }

    fn ask(&mut self, gate: usize, key: usize) {
        self.attempt += 1;
        let request = request(&name(key), self.attempt);
        let tracker = self.gates[gate].tracker.clone();
        self.asked.push((key, tokio::spawn(async move { tracker.claim(request).await })));
    }

    async fn settle(&mut self) {
        // So that a call whose store is away for good doesn't wait for its deadline.
        heal(&self.platform);
        for (key, call) in std::mem::take(&mut self.asked) {
            if let Ok(ClaimVerdict::Granted(claim)) = call.await {
                self.held.push((key, claim));
            }
        }
    }

    fn begin_dispatch(&mut self) {
        let Some((key, claim)) = self.held.pop() else { return };
        let Some(running) = claim.begin_dispatch() else { return };
        assert_eq!(self.known[key], Known::NeverRan, "{} runs a second time", name(key));
        self.known[key] = Known::Running;
        self.running.push((key, running));
    }

    fn end(&mut self, known: Known, how: impl FnOnce(RunningClaim)) {
        if let Some((key, claim)) = self.running.pop() {
            self.known[key] = known;
            how(claim);
        }
    }

    /// Ends the walk: with the faults over, each key stands as the model says, nothing is lost.
    async fn finish(mut self) {
        self.settle().await;
        self.held.clear();
        while !self.running.is_empty() {
            self.end(Known::Done, |claim| claim.record_outcome(outcome()));
        }
        for key in 0..KEYS {
            self.check(key).await;
        }
        for gate in self.gates {
            gate.stop().await;
        }
        self.platform.stop().await;
    }

    async fn check(&self, key: usize) {
        let gate = &self.gates[key % GATES];
        for attempt in 10_000..12_000 {
            match (gate.claim(&name(key), attempt).await, self.known[key]) {
                (ClaimVerdict::Granted(_), Known::NeverRan)
                | (ClaimVerdict::Recorded(_), Known::Done) => return,
                (ClaimVerdict::InProgress, Known::Unknown) if attempt > 10_005 => return,
                (ClaimVerdict::InProgress | ClaimVerdict::StoreUnavailable { .. }, _) => {}
                (verdict, known) => {
                    panic!("{} is {known:?}, the table says {verdict:?}", name(key))
                }
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("{} never became {:?}", name(key), self.known[key]);
    }
}

fn name(key: usize) -> String {
    format!("key-{key}")
}

fn walk(steps: Vec<Step>) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let mut walk = Walk::start().await;
        for step in steps {
            walk.take(step).await;
        }
        walk.finish().await;
    });
    true
}

/// Orders are claimed at two gates, handed over, shed, ended or cut off, while answers of the
/// store get lost, its writes land late and it goes away. Whatever the order of things, a key is
/// handed over once at most, and one that never ran can be run once the faults are over.
#[test]
fn whatever_happens_a_key_runs_once_and_none_is_lost() {
    let (seed, walks) = (told("YUCCARACK_SEED", SEED), told("YUCCARACK_WALKS", WALKS));
    println!("seed {seed}, {walks} walks");
    QuickCheck::new()
        .tests(walks)
        .rng(Gen::from_size_and_seed(STEPS_MAX, seed))
        .quickcheck(walk as fn(Vec<Step>) -> bool);
}

/// What a soak sets to walk elsewhere and longer.
fn told(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}
