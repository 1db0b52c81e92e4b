//! State of the target on an instance, by its heartbeats and leave notices.

use std::time::{Duration, Instant};

use yuccarack_config::heartbeat::{Heartbeat, Leave, TargetPhase};
use yuccarackd::state::routed::{
    departures::Departure,
    target::{DepartedTarget, HeartbeatEffect, RoutedTarget},
};

fn heartbeat(life: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        target: "i-1".to_owned(),
        life,
        sequence,
        service: "board".to_owned(),
        address: "127.0.0.1:8080".parse().expect("an address"),
        failure_domain: "a".to_owned(),
        slots: 9,
        phase: TargetPhase::Ready,
        cold_for_ms: 0,
    }
}

/// A target state without leave notices to earlier processes of the daemon.
fn restored() -> RoutedTarget {
    let target = RoutedTarget::new();
    target.restore_departed(None);
    target
}

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn the_latest_heartbeat_of_the_latest_incarnation_counts() {
    let (start, target) = (Instant::now(), restored());
    assert_eq!(target.apply_heartbeat(start, heartbeat(10, 1)), HeartbeatEffect::NewLife);
    assert_eq!(target.apply_heartbeat(start, heartbeat(10, 2)), HeartbeatEffect::Same);
    let draining = Heartbeat { phase: TargetPhase::Draining, ..heartbeat(10, 4) };
    assert_eq!(target.apply_heartbeat(start, draining), HeartbeatEffect::Changed);
    assert_eq!(target.apply_heartbeat(start, heartbeat(10, 3)), HeartbeatEffect::Older);
    assert!(target.is_leaving());
    assert_eq!(target.apply_heartbeat(start, heartbeat(11, 1)), HeartbeatEffect::NewLife);
    assert_eq!(target.apply_heartbeat(start, heartbeat(10, 9)), HeartbeatEffect::OlderLife);
    assert_eq!(target.current().map(|view| view.incarnation), Some(11));
}

/// Guards against a heartbeat from before the announcement that makes a leaving target ready again.
#[test]
fn an_announcement_in_a_response_holds_for_the_process_whatever_its_heartbeats_report() {
    let (start, target) = (Instant::now(), restored());
    target.apply_heartbeat(start, heartbeat(10, 1));
    assert!(!target.record_announced_leaving(9), "announcement of an earlier process");
    assert!(target.record_announced_leaving(10));
    assert!(!target.record_announced_leaving(10));
    target.apply_heartbeat(start, heartbeat(10, 2));
    assert!(target.is_leaving());
    assert_eq!(target.announced_leaving(), Some(10));
    assert!(target.departed().is_some());
    target.apply_heartbeat(start, heartbeat(11, 1));
    assert!(!target.is_leaving());
    assert_eq!(target.announced_leaving(), None);
}

#[test]
fn a_target_that_has_left_does_not_return() {
    let (start, target) = (Instant::now(), restored());
    target.apply_heartbeat(start, heartbeat(10, 1));
    let leave = |life| Leave { target: "i-1".to_owned(), life };
    assert!(
        !target.apply_leave(0, &leave(Some(9))),
        "a leave notice of an earlier process was applied"
    );
    assert!(target.apply_leave(0, &leave(Some(10))));
    assert_eq!(target.apply_heartbeat(start, heartbeat(10, 2)), HeartbeatEffect::Older);
    assert_eq!(target.current(), None);
}

/// Guards against heartbeats of a dead process that an interrupted link delayed, and that arrive in
/// a burst seconds after another process has replaced it.
#[test]
fn a_burst_of_delayed_heartbeats_is_ignored() {
    let (start, target) = (Instant::now(), restored());
    target.apply_heartbeat(start, heartbeat(20, 1));
    for sequence in 1..10 {
        assert_eq!(
            target.apply_heartbeat(after(start, 1_000), heartbeat(10, sequence)),
            HeartbeatEffect::OlderLife
        );
    }
    target.apply_heartbeat(after(start, 1_500), heartbeat(20, 2));
    assert_eq!(target.current().map(|view| view.incarnation), Some(20));
}

/// Guards against a machine whose clock is set back by ten minutes before its target restarts. The
/// start of the new process seems to precede that of the old one, so it is accepted once the old
/// one is silent and the new one keeps sending heartbeats.
#[test]
fn a_target_that_starts_after_its_clock_was_set_back_is_accepted_in_the_end() {
    let (start, target) = (Instant::now(), restored());
    target.apply_heartbeat(start, heartbeat(700_000, 8));
    let effects: Vec<HeartbeatEffect> = (1..=4)
        .map(|sequence| {
            target.apply_heartbeat(after(start, 1_500 * sequence), heartbeat(100_000, sequence))
        })
        .collect();
    assert_eq!(effects[..2], [HeartbeatEffect::OlderLife, HeartbeatEffect::OlderLife]);
    assert!(effects.contains(&HeartbeatEffect::NewLife), "never accepted: {effects:?}");
    assert_eq!(target.current().map(|view| view.incarnation), Some(100_000));
}

/// Guards against a daemon that restarts during a rolling update, receives the leave notice of its
/// target first and a delayed heartbeat from before it two seconds later. The target received
/// requests again, after the time at which it had announced to leave.
#[test]
fn a_leave_notice_counts_without_an_earlier_heartbeat() {
    let (start, target) = (Instant::now(), restored());
    let leave = Leave { target: "i-1".to_owned(), life: None };
    assert!(!target.apply_leave(1_000, &leave));
    assert_eq!(
        target.apply_heartbeat(after(start, 2_000), heartbeat(400, 20)),
        HeartbeatEffect::Older
    );
    assert_eq!(target.current(), None);
    // A process that started after the notice is a new one, and so is another target.
    assert_eq!(
        target.apply_heartbeat(after(start, 3_000), heartbeat(1_500, 1)),
        HeartbeatEffect::NewLife
    );
    let other = Heartbeat { target: "i-2".to_owned(), ..heartbeat(2_000, 1) };
    assert_eq!(target.apply_heartbeat(after(start, 4_000), other), HeartbeatEffect::NewLife);
}

/// Guards against the same failure where an earlier process of the daemon received the leave notice
/// and wrote it to the store.
#[test]
fn a_leave_notice_to_an_earlier_process_counts() {
    let (start, target) = (Instant::now(), RoutedTarget::new());
    assert_eq!(target.apply_heartbeat(start, heartbeat(400, 20)), HeartbeatEffect::TooSoon);
    target
        .restore_departed(Some(DepartedTarget { target: "i-1".to_owned(), last_incarnation: 400 }));
    assert_eq!(target.apply_heartbeat(start, heartbeat(400, 21)), HeartbeatEffect::Older);
    assert_eq!(target.apply_heartbeat(start, heartbeat(401, 1)), HeartbeatEffect::NewLife);
    assert_eq!(target.departed(), None);
    target.apply_heartbeat(start, Heartbeat { phase: TargetPhase::Draining, ..heartbeat(401, 2) });
    let departed = DepartedTarget { target: "i-1".to_owned(), last_incarnation: 401 };
    assert_eq!(target.departed(), Some(departed));
}

/// Guards against a leave notice of a process that has sent no heartbeat yet, after another process
/// was known: it was dropped, and a late heartbeat made the process ready.
#[test]
fn a_leave_notice_counts_before_the_first_heartbeat_of_its_process() {
    let (start, target) = (Instant::now(), restored());
    for id in ["i-1", "i-2"] {
        let later = |heartbeat| Heartbeat { target: id.to_owned(), ..heartbeat };
        target.apply_heartbeat(start, heartbeat(10, 1));
        target.apply_leave(0, &Leave { target: id.to_owned(), life: Some(20) });
        assert_eq!(target.current(), None, "the earlier process has ended");
        let effect = target.apply_heartbeat(after(start, 4_000), later(heartbeat(20, 1)));
        assert_eq!(effect, HeartbeatEffect::Older);
        assert_eq!(target.current(), None);
        let effect = target.apply_heartbeat(after(start, 4_100), heartbeat(10, 2));
        assert_eq!(effect, HeartbeatEffect::OlderLife, "a late heartbeat of the earlier process");
        let effect = target.apply_heartbeat(after(start, 4_200), later(heartbeat(30, 1)));
        assert_eq!(effect, HeartbeatEffect::NewLife);
        target.apply_leave(0, &Leave { target: id.to_owned(), life: Some(30) });
    }
}

/// Guards against a process that is rejected after another one left, because the machine's clock was
/// set back in between.
#[test]
fn the_next_process_is_accepted_at_once_though_the_clock_was_set_back() {
    let (start, target) = (Instant::now(), restored());
    target.apply_heartbeat(start, heartbeat(700_000, 8));
    target.apply_leave(0, &Leave { target: "i-1".to_owned(), life: Some(700_000) });
    let effect = target.apply_heartbeat(after(start, 100), heartbeat(100_000, 1));
    assert_eq!(effect, HeartbeatEffect::NewLife);
    let restarted = RoutedTarget::new();
    restarted.restore_departures(target.departures());
    let effect = restarted.apply_heartbeat(after(start, 200), heartbeat(100_000, 2));
    assert_eq!(effect, HeartbeatEffect::NewLife);
    let effect = restarted.apply_heartbeat(after(start, 300), heartbeat(700_000, 9));
    assert_eq!(effect, HeartbeatEffect::OlderLife);
}

/// Guards against a late heartbeat that makes a target ready which left before its daemon restarted,
/// while the store with its departure doesn't respond.
#[test]
fn without_the_stored_departures_a_process_has_to_keep_sending_heartbeats() {
    let (start, target) = (Instant::now(), RoutedTarget::new());
    target.accept_without_departures();
    assert_eq!(target.apply_heartbeat(start, heartbeat(10, 3)), HeartbeatEffect::TooSoon);
    let again = target.apply_heartbeat(after(start, 1_500), heartbeat(10, 3));
    assert_eq!(again, HeartbeatEffect::TooSoon);
    let newer = target.apply_heartbeat(after(start, 1_600), heartbeat(10, 4));
    assert_eq!(newer, HeartbeatEffect::NewLife);
    target.restore_departures(vec![Departure::of_process("i-1".to_owned(), 10)]);
    assert_eq!(target.current(), None);
    let effect = target.apply_heartbeat(after(start, 3_000), heartbeat(10, 5));
    assert_eq!(effect, HeartbeatEffect::Older);
}
