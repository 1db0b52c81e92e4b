//! When a gate takes its target for stalled, and when not.

use std::time::{Duration, Instant};

use yuccarack_config::rules::LimitRules;
use yuccarack_policy::admission::{
    Admission, AdmissionConfig, AdmissionDecision, Offer, RefusalReason, RouteShare, RunKey,
    RunOutcome,
};

const QUICK: Duration = Duration::from_micros(200);

fn gate(now: Instant) -> Admission {
    let routes = vec![RouteShare { slot_share_percent: 100 }];
    Admission::new(now, AdmissionConfig { slots: 50, limits: LimitRules::default(), routes })
}

fn offer(now: Instant) -> Offer {
    Offer { caller: 1, route: 0, deadline: now + Duration::from_secs(1), alone: false }
}

fn run(gate: &mut Admission, now: Instant) -> RunKey {
    match gate.offer(now, offer(now)) {
        AdmissionDecision::Run(key) => key,
        other => panic!("not run but {other:?}"),
    }
}

/// Teaches the gate that its target answers within 0.2 ms.
fn learn(gate: &mut Admission, mut now: Instant) -> Instant {
    for _ in 0..500 {
        let key = run(gate, now);
        now += QUICK;
        gate.release(now, key, RunOutcome::Completed { service_time: QUICK });
    }
    now
}

// A hiker reads a note from a target that answers within 0.2 ms. The target's process is off its
// processor for 3 ms with four requests on it. The hiker's request was refused as stalled, though
// the target would have answered it sooner than another gate could.
#[test]
fn a_quick_target_that_is_off_its_processor_for_a_moment_is_not_stalled() {
    let start = Instant::now();
    let mut gate = gate(start);
    let now = learn(&mut gate, start);
    for _ in 0..4 {
        run(&mut gate, now);
    }
    run(&mut gate, now + Duration::from_millis(3));
}

// One invoice run takes 50 ms among look-ups of 0.2 ms, on the same route. Look-ups that came
// meanwhile were refused as stalled, though the target answered nothing else because nothing else
// was asked.
#[test]
fn one_long_request_is_not_a_stall() {
    let start = Instant::now();
    let mut gate = gate(start);
    let now = learn(&mut gate, start);
    run(&mut gate, now);
    run(&mut gate, now + Duration::from_millis(20));
}

// A target freezes with ten requests on it. After 20 ms without any answer the gate refuses the
// next one, which did not run and is answered elsewhere.
#[test]
fn a_target_that_answers_none_of_ten_requests_is_stalled() {
    let start = Instant::now();
    let mut gate = gate(start);
    let now = learn(&mut gate, start);
    for _ in 0..10 {
        run(&mut gate, now);
    }
    let later = now + Duration::from_millis(20);
    match gate.offer(later, offer(later)) {
        AdmissionDecision::Refused(refusal) => assert_eq!(refusal.reason, RefusalReason::Stalled),
        other => panic!("not refused but {other:?}"),
    }
}

// The only target of a service is held up for 20 ms. Its gate refused the next caller, who had two
// seconds to spare and nowhere else to go.
#[test]
fn the_only_target_of_a_service_is_waited_for() {
    let start = Instant::now();
    let mut gate = gate(start);
    gate.set_alternatives(false);
    let now = learn(&mut gate, start);
    for _ in 0..10 {
        run(&mut gate, now);
    }
    run(&mut gate, now + Duration::from_millis(20));
}

// Ten pictures of a collapsed roof are uploaded, each for seconds. No answer comes meanwhile, and
// the gate refused who read the hut's notes; but the target takes in piece after piece.
#[test]
fn uploads_that_move_are_not_a_stall() {
    let start = Instant::now();
    let mut gate = gate(start);
    let now = learn(&mut gate, start);
    let uploads: Vec<RunKey> = (0..10).map(|_| run(&mut gate, now)).collect();
    for upload in uploads {
        gate.record_progress(now, upload);
    }
    run(&mut gate, now + Duration::from_millis(200));
}

// Nine reads hang on a frozen target beside one upload that moved before it froze. The upload must
// not hide the freeze.
#[test]
fn an_upload_does_not_hide_a_stall() {
    let start = Instant::now();
    let mut gate = gate(start);
    let now = learn(&mut gate, start);
    let upload = run(&mut gate, now);
    gate.record_progress(now, upload);
    for _ in 0..9 {
        run(&mut gate, now);
    }
    let later = now + Duration::from_millis(20);
    assert!(matches!(gate.offer(later, offer(later)), AdmissionDecision::Refused(_)));
}
