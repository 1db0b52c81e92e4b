//! Tests the admission control of one gate.

use std::time::{Duration, Instant};

use yuccarack_config::rules::LimitRules;
use yuccarack_policy::admission::{
    Admission, AdmissionConfig, AdmissionDecision, Offer, RefusalReason, RouteLimits, RunKey,
    RunOutcome, WaitKey, WaitOutcome,
};

const SERVICE_TIME: Duration = Duration::from_millis(10);

struct Gate {
    now: Instant,
    admission: Admission,
}

impl Gate {
    fn new(slots: u16) -> Self {
        Self::with_limits(slots, LimitRules::default())
    }

    fn with_limits(slots: u16, limits: LimitRules) -> Self {
        let routes = [100, 30].map(|slot_share_percent| RouteLimits { slot_share_percent });
        let config = AdmissionConfig { slots, limits, routes: routes.to_vec() };
        let now = Instant::now();
        Self { now, admission: Admission::new(now, config) }
    }

    fn offer(&mut self, caller: u64, route: usize) -> AdmissionDecision {
        self.offer_for(caller, route, Duration::from_secs(1))
    }

    fn offer_for(&mut self, caller: u64, route: usize, time: Duration) -> AdmissionDecision {
        let offer = Offer { caller, route, deadline: self.now + time, is_isolated: false };
        self.admission.offer(self.now, offer)
    }

    fn offer_isolated(&mut self) -> AdmissionDecision {
        let deadline = self.now + Duration::from_secs(1);
        self.admission.offer(self.now, Offer { caller: 99, route: 0, deadline, is_isolated: true })
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

    fn complete(&mut self, key: RunKey) -> Vec<WaitOutcome> {
        self.admission.release(self.now, key, RunOutcome::Completed { service_time: SERVICE_TIME });
        self.admission.poll(self.now)
    }
}

fn reason(decision: AdmissionDecision) -> RefusalReason {
    match decision {
        AdmissionDecision::Refused(refusal) => refusal.reason,
        other => panic!("should be rejected: {other:?}"),
    }
}

/// Two callers fill the slots and the whole queue. The first request of a third one must not be
/// rejected because of them, but take a place from the one with the most and run in its turn.
#[test]
fn a_light_caller_is_admitted_despite_heavy_ones() {
    let mut gate = Gate::with_limits(2, LimitRules { queue_length_max: 8, ..Default::default() });
    let runs = [gate.run(1, 0), gate.run(2, 0)];
    for _ in 0..4 {
        gate.wait(1, 0);
        gate.wait(2, 0);
    }
    let light = gate.wait(3, 0);
    let outcomes = gate.admission.poll(gate.now);
    assert!(matches!(
        outcomes[..],
        [WaitOutcome::Refused(_, refusal)] if refusal.reason == RefusalReason::CallerShare
    ));
    let mut started = Vec::new();
    let mut run = runs[0];
    for _ in 0..3 {
        let outcomes = gate.complete(run);
        let [WaitOutcome::Run(waiting, next)] = outcomes[..] else { panic!("{outcomes:?}") };
        started.push(waiting);
        run = next;
    }
    assert!(started.contains(&light), "{started:?}");
}

/// Stock checks take seconds and arrive all at once. They may use three of ten slots; lookups keep
/// the other seven, and a later lookup must run at once.
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

/// A request has 15 ms left and would wait 20. Run late it is of no use, so it must be rejected at
/// once with the time after which there is room.
#[test]
fn rejects_at_once_what_cannot_be_answered_in_time() {
    let mut gate = Gate::new(1);
    let run = gate.run(1, 0);
    gate.complete(run);
    gate.run(1, 0);
    gate.wait(2, 0);
    let decision = gate.offer_for(3, 0, Duration::from_millis(15));
    let AdmissionDecision::Refused(refusal) = decision else { panic!("{decision:?}") };
    assert_eq!(refusal.reason, RefusalReason::DeadlineClose);
    assert!(
        refusal.retry_after >= SERVICE_TIME && refusal.retry_after <= 4 * SERVICE_TIME,
        "{refusal:?}"
    );
    assert_eq!(reason(gate.offer_for(3, 0, Duration::ZERO)), RefusalReason::DeadlinePassed);
}

/// The target hangs and a request waits. When its time runs out in the queue it must be rejected at
/// that moment, and not later.
#[test]
fn no_request_waits_past_its_time() {
    let mut gate = Gate::new(1);
    let run = gate.run(1, 0);
    gate.complete(run);
    gate.run(1, 0);
    let AdmissionDecision::Wait(waiting) = gate.offer_for(2, 0, Duration::from_millis(100)) else {
        panic!("should wait")
    };
    let wake = gate.admission.next_wake().unwrap();
    assert!(wake <= gate.now + Duration::from_millis(90));
    gate.now = wake;
    let outcomes = gate.admission.poll(gate.now);
    assert!(matches!(
        outcomes[..],
        [WaitOutcome::Refused(key, refusal)]
            if key == waiting && refusal.reason == RefusalReason::DeadlineClose
    ));
    assert_eq!(gate.admission.next_wake(), None);
}

/// Load stays above what the target can do. A burst may wait long; once the queue has stood for a
/// while, new requests may wait for a few service times or not at all.
#[test]
fn a_standing_queue_admits_only_short_waits() {
    let mut gate = Gate::new(1);
    let mut run = gate.run(0, 0);
    for caller in 1..11 {
        gate.wait(caller, 0);
    }
    for caller in 11..41 {
        gate.now += SERVICE_TIME;
        let outcomes = gate.complete(run);
        let [WaitOutcome::Run(_, next)] = outcomes[..] else { panic!("{outcomes:?}") };
        run = next;
        gate.offer(caller, 0);
    }
    assert!(gate.admission.load().queued <= 10, "{:?}", gate.admission.load());
    assert_eq!(reason(gate.offer(50, 0)), RefusalReason::WaitTooLong);
}

/// The target drains: waiting and new requests must be rejected at once, and running ones continue.
#[test]
fn drain_rejects_all_but_running_requests() {
    let mut gate = Gate::new(1);
    let run = gate.run(1, 0);
    let waiting = gate.wait(2, 0);
    gate.admission.drain();
    let outcomes = gate.admission.poll(gate.now);
    assert!(matches!(
        outcomes[..],
        [WaitOutcome::Refused(key, refusal)]
            if key == waiting && refusal.reason == RefusalReason::Draining
    ));
    assert_eq!(reason(gate.offer(3, 0)), RefusalReason::Draining);
    assert_eq!(gate.admission.in_flight(), 1);
    gate.complete(run);
    assert_eq!(gate.admission.in_flight(), 0);
}

/// A request may have crashed a target. It must wait until nothing else runs and then run isolated
/// while others wait, so that a second crash affects no other request.
#[test]
fn a_suspect_runs_isolated() {
    let mut gate = Gate::new(4);
    let run = gate.run(1, 0);
    let AdmissionDecision::Wait(suspect) = gate.offer_isolated() else { panic!("should wait") };
    let other = gate.wait(2, 0);
    let outcomes = gate.complete(run);
    let [WaitOutcome::Run(key, isolated)] = outcomes[..] else { panic!("{outcomes:?}") };
    assert_eq!(key, suspect);
    let late = gate.wait(3, 0);
    let outcomes = gate.complete(isolated);
    let started: Vec<_> = outcomes.iter().map(|outcome| outcome.wait_key()).collect();
    assert_eq!(started, [other, late]);
}

/// A slot becomes free and is given to a waiting request, whose caller disconnects before it learns
/// so. The run must be ended, or the slot is lost for good.
#[test]
fn a_slot_given_to_a_disconnected_caller_is_free_again() {
    let mut gate = Gate::new(1);
    let run = gate.run(1, 0);
    let waiting = gate.wait(2, 0);
    gate.admission.release(gate.now, run, RunOutcome::Completed { service_time: SERVICE_TIME });
    gate.admission.cancel_wait(gate.now, waiting);
    assert_eq!(gate.admission.poll(gate.now), []);
    assert_eq!(gate.admission.in_flight(), 0);
    gate.run(3, 0);
}

/// A target freezes with four requests running. Six responses should have come by now and none did.
/// A request dispatched now would be stuck too, so it must be rejected to go elsewhere.
#[test]
fn rejects_while_the_target_is_stalled() {
    let mut gate = Gate::new(10);
    let run = gate.run(1, 0);
    gate.complete(run);
    let runs = [1, 2, 3, 4].map(|caller| gate.run(caller, 0));
    gate.now += Duration::from_millis(14);
    assert_eq!(reason(gate.offer(5, 0)), RefusalReason::Stalled);
    gate.complete(runs[0]);
    gate.run(5, 0);
}

/// A target sheds requests although it announced ten slots. The gate must dispatch fewer until that
/// stops, never fewer than one at a time, and return to ten later.
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
            for outcome in gate.complete(run) {
                if let WaitOutcome::Run(_, next) = outcome {
                    runs.push(next);
                }
            }
        }
    }
    assert_eq!(gate.admission.load().limit, 10);
}

/// A target freezes for long with requests running and one waiting. The waiting one has not run and
/// other targets have room, so it must be rejected rather than held until its deadline.
#[test]
fn waiting_requests_leave_a_frozen_target() {
    let mut gate = Gate::new(4);
    let run = gate.run(1, 0);
    gate.complete(run);
    for caller in 1..5 {
        gate.run(caller, 0);
    }
    gate.wait(5, 0);
    gate.now += Duration::from_millis(60);
    assert_eq!(reason(gate.offer(6, 0)), RefusalReason::Stalled);
    let outcomes = gate.admission.poll(gate.now);
    assert!(matches!(
        outcomes[..],
        [WaitOutcome::Refused(_, refusal)] if refusal.reason == RefusalReason::Stalled
    ));
}

/// Callers give up on a frozen target. Their requests' end is no response: new requests must be
/// rejected while others are stuck there.
#[test]
fn a_disconnected_caller_is_no_sign_of_progress() {
    let mut gate = Gate::new(10);
    let run = gate.run(1, 0);
    gate.complete(run);
    let runs = [1, 2, 3, 4, 5].map(|caller| gate.run(caller, 0));
    gate.now += Duration::from_millis(20);
    gate.admission.release(gate.now, runs[0], RunOutcome::Cancelled);
    assert_eq!(reason(gate.offer(6, 0)), RefusalReason::Stalled);
}

/// One call in ten takes thirty times as long. When a long one has just completed, the target is no
/// slower than before and must not be reported as slower.
#[test]
fn the_reported_time_does_not_follow_the_mix() {
    let mut gate = Gate::new(10);
    let mut reported = Vec::new();
    for call in 0..400 {
        gate.now += Duration::from_millis(20);
        let (route, service_time) =
            if call % 10 == 9 { (1, 30 * SERVICE_TIME) } else { (0, SERVICE_TIME) };
        let run = gate.run(1, route);
        gate.admission.release(gate.now, run, RunOutcome::Completed { service_time });
        reported.push(gate.admission.load().service_us);
    }
    let stable = &reported[300..];
    let (least, most) = (stable.iter().min().unwrap(), stable.iter().max().unwrap());
    assert!(*most < *least * 5 / 4, "between {least} and {most} µs for the same mix");
}
