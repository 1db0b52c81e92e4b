//! Random sequences of claims, faults and outcomes, checked against a model of which key has run.

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
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(25);
/// Delay of a late write. It exceeds the response timeout, so that the write takes effect after it
/// was abandoned.
const LATE_MS: u64 = 60;

#[derive(Clone, Copy, Debug)]
enum Step {
    Claim { gate: usize, key: usize },
    HangUp,
    Settle,
    Dispatch,
    Release,
    Done,
    Shed,
    Abandon,
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
            Step::Dispatch,
            Step::Dispatch,
            Step::Release,
            Step::Done,
            Step::Shed,
            Step::Abandon,
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

/// State of one key in the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KnownState {
    NeverRan,
    Running,
    Done,
    Unknown,
}

struct Walk {
    platform: Platform,
    gates: Vec<TestGate>,
    calls: Vec<(usize, JoinHandle<ClaimVerdict>)>,
    held: Vec<(usize, Claim)>,
    running: Vec<(usize, RunningClaim)>,
    states: [KnownState; KEYS],
    attempt: u128,
}

impl Walk {
    async fn start() -> Self {
        let platform = platform().await;
        let gates = (0..GATES)
            .map(|gate| TestGate::start(&platform, &format!("gate-{gate}"), RESPONSE_TIMEOUT))
            .collect();
        Self {
            platform,
            gates,
            calls: Vec::new(),
            held: Vec::new(),
            running: Vec::new(),
            states: [KnownState::NeverRan; KEYS],
            attempt: 0,
        }
    }

    async fn run_step(&mut self, step: Step) {
        match step {
            Step::Claim { gate, key } => self.start_claim(gate, key),
            Step::HangUp => {
                if let Some((_, call)) = self.calls.pop() {
                    call.abort();
                }
            }
            Step::Settle => self.settle().await,
            Step::Dispatch => self.dispatch(),
            Step::Release => drop(self.held.pop()),
            Step::Done => self.end(KnownState::Done, |claim| claim.record_outcome(outcome())),
            Step::Shed => self.end(KnownState::NeverRan, RunningClaim::release_not_run),
            Step::Abandon => self.end(KnownState::Unknown, drop),
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

    fn start_claim(&mut self, gate: usize, key: usize) {
        self.attempt += 1;
        let request = request(&name(key), self.attempt);
        let tracker = self.gates[gate].tracker.clone();
        self.calls.push((key, tokio::spawn(async move { tracker.claim(request).await })));
    }

    async fn settle(&mut self) {
        // Ends an outage, so that calls don't wait for their deadlines.
        heal(&self.platform);
        for (key, call) in std::mem::take(&mut self.calls) {
            if let Ok(ClaimVerdict::Granted(claim)) = call.await {
                self.held.push((key, claim));
            }
        }
    }

    fn dispatch(&mut self) {
        let Some((key, claim)) = self.held.pop() else { return };
        let Some(running) = claim.begin_dispatch() else { return };
        assert_eq!(self.states[key], KnownState::NeverRan, "{} runs a second time", name(key));
        self.states[key] = KnownState::Running;
        self.running.push((key, running));
    }

    fn end(&mut self, state: KnownState, end: impl FnOnce(RunningClaim)) {
        if let Some((key, claim)) = self.running.pop() {
            self.states[key] = state;
            end(claim);
        }
    }

    /// Ends the walk and checks that without faults each key is in the state of the model.
    async fn finish(mut self) {
        self.settle().await;
        self.held.clear();
        while !self.running.is_empty() {
            self.end(KnownState::Done, |claim| claim.record_outcome(outcome()));
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
            match (gate.claim(&name(key), attempt).await, self.states[key]) {
                (ClaimVerdict::Granted(_), KnownState::NeverRan)
                | (ClaimVerdict::Recorded(_), KnownState::Done) => return,
                (ClaimVerdict::InProgress, KnownState::Unknown) if attempt > 10_005 => return,
                (ClaimVerdict::InProgress | ClaimVerdict::StoreUnavailable { .. }, _) => {}
                (verdict, state) => {
                    panic!("{} is {state:?}, the table has {verdict:?}", name(key))
                }
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("{} never became {:?}", name(key), self.states[key]);
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
            walk.run_step(step).await;
        }
        walk.finish().await;
    });
    true
}

/// Guards against a key that is dispatched twice, and against one that never ran and can't be run
/// after the faults. Keys are claimed at two gates, dispatched, shed, completed or abandoned, while
/// responses of the store are lost, its writes take effect late and it is unavailable.
#[test]
fn a_key_runs_at_most_once_and_no_key_is_lost() {
    let (seed, walks) = (env_or("YUCCARACK_SEED", SEED), env_or("YUCCARACK_WALKS", WALKS));
    println!("seed {seed}, {walks} walks");
    QuickCheck::new()
        .tests(walks)
        .rng(Gen::from_size_and_seed(STEPS_MAX, seed))
        .quickcheck(walk as fn(Vec<Step>) -> bool);
}

/// Returns the environment variable `name`, with which a soak test sets another seed or more walks.
fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}
