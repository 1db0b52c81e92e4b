//! Properties of one gate under any order of events.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use quickcheck::QuickCheck;
use yuccarack_config::rules::LimitRules;
use yuccarack_policy::admission::{
    Admission, AdmissionConfig, AdmissionDecision, Offer, RouteShare, RunKey, RunOutcome, WaitKey,
    WaitOutcome,
};

const SLOTS: u16 = 4;

/// A gate whose every answer is checked against what a caller may rely on.
struct Checked {
    now: Instant,
    gate: Admission,
    running: Vec<RunKey>,
    waiting: HashMap<WaitKey, Instant>,
    ended: HashSet<RunKey>,
}

impl Checked {
    fn new() -> Self {
        let limits = LimitRules { queue_length_max: 6, ..Default::default() };
        let routes = [100, 50].map(|slot_share_percent| RouteShare { slot_share_percent });
        let config = AdmissionConfig { slots: SLOTS, limits, routes: routes.to_vec() };
        let now = Instant::now();
        Self {
            now,
            gate: Admission::new(now, config),
            running: Vec::new(),
            waiting: HashMap::new(),
            ended: HashSet::new(),
        }
    }

    fn step(&mut self, event: u8, value: u8) {
        match event % 6 {
            0 | 1 => self.offer(value),
            2 => self.end(value),
            3 => self.hang_up(value),
            4 => self.now += Duration::from_millis(u64::from(value)),
            _ => {}
        }
        self.poll();
        self.check();
    }

    fn offer(&mut self, value: u8) {
        let deadline = self.now + Duration::from_millis(u64::from(value) * 2);
        let caller = u64::from(value % 3);
        let route = usize::from(value / 3 % 2);
        let offer = Offer { caller, route, deadline, alone: value > 250 };
        match self.gate.offer(self.now, offer) {
            AdmissionDecision::Run(key) => self.run(key),
            AdmissionDecision::Wait(key) => assert!(self.waiting.insert(key, deadline).is_none()),
            AdmissionDecision::Refused(refusal) => assert!(!refusal.reason.as_str().is_empty()),
        }
    }

    fn run(&mut self, key: RunKey) {
        assert!(!self.ended.contains(&key), "a run that ended can't start again");
        self.running.push(key);
    }

    fn end(&mut self, value: u8) {
        if self.running.is_empty() {
            return;
        }
        let key = self.running.remove(usize::from(value) % self.running.len());
        let service_time = Duration::from_millis(u64::from(value % 50));
        let end = match value % 4 {
            0 => RunOutcome::Failed { service_time },
            1 => RunOutcome::Shed,
            2 => RunOutcome::Cancelled,
            _ => RunOutcome::Completed { service_time },
        };
        self.ended.insert(key);
        self.gate.release(self.now, key, end);
        self.gate.release(self.now, key, end);
    }

    fn hang_up(&mut self, value: u8) {
        let mut keys: Vec<_> = self.waiting.keys().copied().collect();
        keys.sort();
        if keys.is_empty() {
            return;
        }
        let key = keys[usize::from(value) % keys.len()];
        self.waiting.remove(&key);
        self.gate.cancel_wait(self.now, key);
    }

    /// Each waiting request is settled once, and none that was given up.
    fn poll(&mut self) {
        for settled in self.gate.poll(self.now) {
            let deadline = self.waiting.remove(&settled.wait_key());
            let deadline = deadline.expect("only what waits is settled, and once");
            if let WaitOutcome::Run(_, key) = settled {
                assert!(self.now <= deadline, "nothing runs past its deadline");
                self.run(key);
            }
        }
    }

    fn check(&mut self) {
        assert!(self.running.len() <= usize::from(SLOTS), "more in flight than slots");
        assert_eq!(self.gate.in_flight(), self.running.len(), "a refused request counts as run");
        assert_eq!(usize::from(self.gate.load().queued), self.waiting.len());
        let wake = self.gate.next_wake();
        assert_eq!(wake.is_some(), !self.waiting.is_empty());
        assert!(wake.is_none_or(|wake| wake > self.now), "something due was left");
        assert!(self.waiting.values().all(|&deadline| deadline > self.now), "held too long");
        let limit = self.gate.load().limit;
        assert!((1..=SLOTS).contains(&limit));
    }

    /// Ends everything: whoever still waits must come to a final answer.
    fn finish(&mut self) {
        for _ in 0..1_000 {
            if self.waiting.is_empty() {
                break;
            }
            self.now += Duration::from_millis(1);
            self.end(3);
            self.poll();
        }
        assert!(self.waiting.is_empty(), "a request without a final answer");
        while !self.running.is_empty() {
            self.end(3);
            self.poll();
        }
        assert_eq!(self.gate.in_flight(), 0);
    }
}

/// Callers offer, hang up and are answered in any order while time passes: never more in flight
/// than slots, one final answer to each request, none held after it is given up, no slot lost.
#[test]
fn a_gate_keeps_its_promises_in_any_order_of_events() {
    fn holds(events: Vec<(u8, u8)>) -> bool {
        let mut gate = Checked::new();
        for (event, value) in events {
            gate.step(event, value);
        }
        gate.finish();
        true
    }
    QuickCheck::new().tests(3_000).quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}

/// One caller sends again whenever it may, another sends one request at a time. Whatever the
/// first does, the second is served within two turns.
#[test]
fn no_caller_starves() {
    fn holds(greed: u8, slots: u8) -> bool {
        let slots = u16::from(slots % 8) + 1;
        let config = AdmissionConfig { slots, limits: LimitRules::default(), routes: Vec::new() };
        let mut now = Instant::now();
        let mut gate = Admission::new(now, config);
        let deadline = now + Duration::from_secs(3_600);
        let offer = |caller| Offer { caller, route: 0, deadline, alone: false };
        let service_time = Duration::from_millis(u64::from(slots));
        let mut running: Vec<(RunKey, u64)> = Vec::new();
        let (mut modest, mut ends) = (None, 0);
        for _ in 0..200 {
            for _ in 0..=greed % 20 {
                if let AdmissionDecision::Run(key) = gate.offer(now, offer(1)) {
                    running.push((key, 1));
                }
            }
            let has_one = modest.is_some() || running.iter().any(|&(_, caller)| caller == 2);
            if !has_one {
                match gate.offer(now, offer(2)) {
                    AdmissionDecision::Run(key) => running.push((key, 2)),
                    AdmissionDecision::Wait(key) => (modest, ends) = (Some(key), 0),
                    AdmissionDecision::Refused(_) => return false,
                }
            }
            now += Duration::from_millis(1);
            if running.len() == usize::from(slots) {
                gate.release(now, running.remove(0).0, RunOutcome::Completed { service_time });
                ends += 1;
            }
            for settled in gate.poll(now) {
                let is_modest = modest == Some(settled.wait_key());
                modest = modest.filter(|_| !is_modest);
                if let WaitOutcome::Run(_, key) = settled {
                    running.push((key, if is_modest { 2 } else { 1 }));
                }
            }
            if modest.is_some() && ends > 2 {
                return false;
            }
        }
        true
    }
    QuickCheck::new().tests(100).quickcheck(holds as fn(u8, u8) -> bool);
}
