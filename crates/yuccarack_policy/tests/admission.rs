//! Stories of one gate.

use std::time::{Duration, Instant};

use yuccarack_config::rules::LimitRules;
use yuccarack_policy::admission::{
    Admission, AdmissionConfig, AdmissionDecision, Offer, RefusalReason, RouteShare, RunKey,
    RunOutcome, WaitKey, WaitOutcome,
};

const TOOK: Duration = Duration::from_millis(10);

struct Gate {
    now: Instant,
    admission: Admission,
}

impl Gate {
    fn new(slots: u16) -> Self {
        Self::with_limits(slots, LimitRules::default())
    }

    fn with_limits(slots: u16, limits: LimitRules) -> Self {
        let routes = [100, 30].map(|slot_share_percent| RouteShare { slot_share_percent });
        let config = AdmissionConfig { slots, limits, routes: routes.to_vec() };
        let now = Instant::now();
        Self { now, admission: Admission::new(now, config) }
    }

    fn offer(&mut self, caller: u64, route: usize) -> AdmissionDecision {
        self.offer_for(caller, route, Duration::from_secs(1))
    }

    fn offer_for(&mut self, caller: u64, route: usize, time: Duration) -> AdmissionDecision {
        let offer = Offer { caller, route, deadline: self.now + time, alone: false };
        self.admission.offer(self.now, offer)
    }

    fn offer_alone(&mut self) -> AdmissionDecision {
        let deadline = self.now + Duration::from_secs(1);
        self.admission.offer(self.now, Offer { caller: 99, route: 0, deadline, alone: true })
    }

    fn run(&mut self, caller: u64, route: usize) -> RunKey {
        match self.offer(caller, route) {
            AdmissionDecision::Run(key) => key,
            other => panic!("should run: {other:?}"),
        }
    }

    fn wait(&mut self, caller: u64, route: usize) -> WaitKey {
        match self.offer(caller, route) {
            AdmissionDecision::Wait(key) => key,
            other => panic!("should wait: {other:?}"),
        }
    }

    fn done(&mut self, key: RunKey) -> Vec<WaitOutcome> {
        self.admission.release(self.now, key, RunOutcome::Completed { service_time: TOOK });
        self.admission.poll(self.now)
    }
}

fn reason(offered: AdmissionDecision) -> RefusalReason {
    match offered {
        AdmissionDecision::Refused(refusal) => refusal.reason,
        other => panic!("should be refused: {other:?}"),
    }
}

/// Two callers fill the slots and the whole queue. A third sends its first request: it must not
/// be refused for their sake, but take a place from the one with most, and run in its turn.
#[test]
fn a_light_caller_gets_in_past_heavy_ones() {
    let mut gate = Gate::with_limits(2, LimitRules { queue_length_max: 8, ..Default::default() });
    let runs = [gate.run(1, 0), gate.run(2, 0)];
    for _ in 0..4 {
        gate.wait(1, 0);
        gate.wait(2, 0);
    }
    let light = gate.wait(3, 0);
    let settled = gate.admission.poll(gate.now);
    assert!(matches!(
        settled[..],
        [WaitOutcome::Refused(_, refusal)] if refusal.reason == RefusalReason::CallerShare
    ));
    let mut started = Vec::new();
    let mut run = runs[0];
    for _ in 0..3 {
        let settled = gate.done(run);
        let [WaitOutcome::Run(waiting, next)] = settled[..] else { panic!("{settled:?}") };
        started.push(waiting);
        run = next;
    }
    assert!(started.contains(&light), "{started:?}");
}

/// Stock checks take seconds and come in a wave. They may fill three of ten slots; lookups keep
/// the other seven, and a lookup that comes later runs at once.
#[test]
fn a_long_route_leaves_slots_to_others() {
    let mut gate = Gate::new(10);
    for caller in 0..3 {
        gate.run(caller, 1);
    }
    for caller in 3..20 {
        gate.wait(caller, 1);
    }
    for caller in 20..27 {
        gate.run(caller, 0);
    }
    gate.wait(30, 0);
}

/// A request has 15 ms left and would wait 20. Run late it helps nobody, so it is refused at
/// once, and the caller learns when there is room.
#[test]
fn refuses_at_once_what_cannot_be_answered_in_time() {
    let mut gate = Gate::new(1);
    let run = gate.run(1, 0);
    gate.done(run);
    gate.run(1, 0);
    gate.wait(2, 0);
    let offered = gate.offer_for(3, 0, Duration::from_millis(15));
    let AdmissionDecision::Refused(refusal) = offered else { panic!("{offered:?}") };
    assert_eq!(refusal.reason, RefusalReason::DeadlineClose);
    assert!(refusal.retry_after >= TOOK && refusal.retry_after <= 4 * TOOK, "{refusal:?}");
    assert_eq!(reason(gate.offer_for(3, 0, Duration::ZERO)), RefusalReason::DeadlinePassed);
}

/// The target hangs and a request waits. Its time runs out in the queue: at that moment, not
/// later, it is told that it did not run.
#[test]
fn nothing_waits_past_its_time() {
    let mut gate = Gate::new(1);
    let run = gate.run(1, 0);
    gate.done(run);
    gate.run(1, 0);
    let AdmissionDecision::Wait(waiting) = gate.offer_for(2, 0, Duration::from_millis(100)) else {
        panic!("should wait")
    };
    let wake = gate.admission.next_wake().unwrap();
    assert!(wake <= gate.now + Duration::from_millis(90));
    gate.now = wake;
    let settled = gate.admission.poll(gate.now);
    assert!(matches!(
        settled[..],
        [WaitOutcome::Refused(key, refusal)]
            if key == waiting && refusal.reason == RefusalReason::DeadlineClose
    ));
    assert_eq!(gate.admission.next_wake(), None);
}

/// Load stays above what the target can do. A burst may wait long; once the queue has stood for
/// a while, newcomers wait for a few times of service or not at all.
#[test]
fn a_standing_queue_admits_only_short_waits() {
    let mut gate = Gate::new(1);
    let mut run = gate.run(0, 0);
    for caller in 1..11 {
        gate.wait(caller, 0);
    }
    for caller in 11..41 {
        gate.now += TOOK;
        let settled = gate.done(run);
        let [WaitOutcome::Run(_, next)] = settled[..] else { panic!("{settled:?}") };
        run = next;
        gate.offer(caller, 0);
    }
    assert!(gate.admission.load().queued <= 10, "{:?}", gate.admission.load());
    assert_eq!(reason(gate.offer(50, 0)), RefusalReason::WaitTooLong);
}

/// Target drains: what waits and what comes is told not run at once, what runs goes on.
#[test]
fn drain_refuses_all_but_what_runs() {
    let mut gate = Gate::new(1);
    let run = gate.run(1, 0);
    let waiting = gate.wait(2, 0);
    gate.admission.drain();
    let settled = gate.admission.poll(gate.now);
    assert!(matches!(
        settled[..],
        [WaitOutcome::Refused(key, refusal)]
            if key == waiting && refusal.reason == RefusalReason::Draining
    ));
    assert_eq!(reason(gate.offer(3, 0)), RefusalReason::Draining);
    assert_eq!(gate.admission.in_flight(), 1);
    gate.done(run);
    assert_eq!(gate.admission.in_flight(), 0);
}

/// A request may have crashed a target. It waits until nothing else runs, runs alone, and others
/// wait meanwhile, so that a second crash takes nobody with it.
#[test]
fn a_suspect_runs_alone() {
    let mut gate = Gate::new(4);
    let run = gate.run(1, 0);
    let AdmissionDecision::Wait(suspect) = gate.offer_alone() else { panic!("should wait") };
    let other = gate.wait(2, 0);
    let settled = gate.done(run);
    let [WaitOutcome::Run(key, alone)] = settled[..] else { panic!("{settled:?}") };
    assert_eq!(key, suspect);
    let late = gate.wait(3, 0);
    let settled = gate.done(alone);
    let started: Vec<_> = settled.iter().map(|settled| settled.wait_key()).collect();
    assert_eq!(started, [other, late]);
}

/// A slot frees, a waiting request gets it, and its caller hangs up before it is told. The run
/// nobody knows of must be ended, or the slot is lost for good.
#[test]
fn a_slot_given_to_a_caller_that_left_is_free_again() {
    let mut gate = Gate::new(1);
    let run = gate.run(1, 0);
    let waiting = gate.wait(2, 0);
    gate.admission.release(gate.now, run, RunOutcome::Completed { service_time: TOOK });
    gate.admission.cancel_wait(gate.now, waiting);
    assert_eq!(gate.admission.poll(gate.now), []);
    assert_eq!(gate.admission.in_flight(), 0);
    gate.run(3, 0);
}

/// A target freezes with four requests running. Six answers should have come by now and none
/// did: a request handed over would be stuck too, so it is refused and goes elsewhere.
#[test]
fn refuses_while_the_target_has_stopped() {
    let mut gate = Gate::new(10);
    let run = gate.run(1, 0);
    gate.done(run);
    let runs = [1, 2, 3, 4].map(|caller| gate.run(caller, 0));
    gate.now += Duration::from_millis(14);
    assert_eq!(reason(gate.offer(5, 0)), RefusalReason::Stalled);
    gate.done(runs[0]);
    gate.run(5, 0);
}

/// A target sheds though it announced ten slots. The gate hands over less until it stops
/// shedding, never less than one, and finds its way back to ten.
#[test]
fn the_limit_follows_the_target() {
    let mut gate = Gate::new(10);
    for _ in 0..100 {
        gate.now += Duration::from_millis(60);
        let run = gate.run(1, 0);
        gate.admission.release(gate.now, run, RunOutcome::Shed);
    }
    assert_eq!(gate.admission.load().limit, 1);
    for _ in 0..100 {
        gate.now += Duration::from_secs(1);
        let mut runs = Vec::new();
        while let AdmissionDecision::Run(run) = gate.offer(1, 0) {
            runs.push(run);
        }
        while let Some(run) = runs.pop() {
            for settled in gate.done(run) {
                if let WaitOutcome::Run(_, next) = settled {
                    runs.push(next);
                }
            }
        }
    }
    assert_eq!(gate.admission.load().limit, 10);
}

/// A target freezes for long with requests running and one waiting. The waiting one did not run
/// and others have room, so it is sent elsewhere, and not held until its time is over.
#[test]
fn what_waits_leaves_a_frozen_target() {
    let mut gate = Gate::new(4);
    let run = gate.run(1, 0);
    gate.done(run);
    for caller in 1..5 {
        gate.run(caller, 0);
    }
    gate.wait(5, 0);
    gate.now += Duration::from_millis(60);
    assert_eq!(reason(gate.offer(6, 0)), RefusalReason::Stalled);
    let settled = gate.admission.poll(gate.now);
    assert!(matches!(
        settled[..],
        [WaitOutcome::Refused(_, refusal)] if refusal.reason == RefusalReason::Stalled
    ));
}

/// Callers give up on a frozen target. Their leaving is no answer of its: newcomers are still
/// refused while others are stuck there.
#[test]
fn a_caller_that_leaves_is_no_sign_of_life() {
    let mut gate = Gate::new(10);
    let run = gate.run(1, 0);
    gate.done(run);
    let runs = [1, 2, 3, 4, 5].map(|caller| gate.run(caller, 0));
    gate.now += Duration::from_millis(20);
    gate.admission.release(gate.now, runs[0], RunOutcome::Cancelled);
    assert_eq!(reason(gate.offer(6, 0)), RefusalReason::Stalled);
}

/// One call in ten takes thirty times as long. When a long one has just ended, the target is no
/// slower than before, and must not be reported so.
#[test]
fn the_reported_time_does_not_follow_the_mix() {
    let mut gate = Gate::new(10);
    let mut reported = Vec::new();
    for call in 0..400 {
        gate.now += Duration::from_millis(20);
        let (route, service_time) = if call % 10 == 9 { (1, 30 * TOOK) } else { (0, TOOK) };
        let run = gate.run(1, route);
        gate.admission.release(gate.now, run, RunOutcome::Completed { service_time });
        reported.push(gate.admission.load().service_us);
    }
    let settled = &reported[300..];
    let (least, most) = (settled.iter().min().unwrap(), settled.iter().max().unwrap());
    assert!(*most < *least * 5 / 4, "between {least} and {most} µs for the same mix");
}
