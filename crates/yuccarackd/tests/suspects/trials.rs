//! Trials of suspects and their outcomes.

use futures_util::future::join_all;
use yuccarack_platform::rows::SuspectState;
use yuccarack_policy::suspects::Verdict;
use yuccarack_standins::platform::{PlatformFaults, PlatformMode};
use yuccarackd::coordination::suspects::TrialVerdict;

use super::support::{Gates, eventually};

const REQUEST: u64 = 42;

fn is_quarantined(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Quarantined { .. })
}

/// Guards against two crashes by one suspect that is sent through several daemons at the same time,
/// when more than one gate gets its trial.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_several_gates_gets_the_trial() {
    let gates = Gates::start(4).await;
    for request in 0..50 {
        gates.record_crash(0, request).await;
        let verdicts = join_all((0..4).map(|number| gates.begin(number, request))).await;
        let granted = verdicts.iter().filter(|verdict| matches!(verdict, TrialVerdict::Granted(_)));
        let elsewhere = verdicts
            .iter()
            .filter(|verdict| matches!(verdict, TrialVerdict::OnTrialElsewhere { .. }));
        assert_eq!((granted.count(), elsewhere.count()), (1, 3), "{verdicts:?}");
    }
    gates.stop().await;
}

/// Guards against a request that stays a suspect, at a gate or in the table, after it ran alone
/// without a crash.
#[tokio::test]
async fn a_successful_trial_clears_the_request_everywhere() {
    let gates = Gates::start(3).await;
    gates.record_crash(0, REQUEST).await;
    gates.wait_for_all("suspected", REQUEST, |verdict| *verdict == Verdict::Isolated).await;
    gates.trial_granted(1, REQUEST).await.begin_dispatch().finish();
    gates.wait_for_all("clear", REQUEST, |verdict| *verdict == Verdict::Clear).await;
    eventually("the row is deleted", || gates.row(REQUEST).is_none()).await;
    gates.stop().await;
}

/// Guards against a gate that runs a request after its second crash. A daemon that starts later
/// reads the quarantine from the table.
#[tokio::test]
async fn a_second_crash_quarantines_everywhere() {
    let mut gates = Gates::start(3).await;
    gates.record_crash(0, REQUEST).await;
    let running = gates.trial_granted(1, REQUEST).await.begin_dispatch();
    gates.crash_on_trial(1).await;
    drop(running);
    gates.wait_for_all("quarantined", REQUEST, is_quarantined).await;
    eventually("the row is quarantined", || {
        gates.row(REQUEST).is_some_and(|row| row.state == SuspectState::Quarantined)
    })
    .await;
    let late = gates.add();
    assert_eq!(
        gates.verdict(late, REQUEST).await,
        Verdict::Clear,
        "the new daemon has an empty cache"
    );
    gates.gates[late].watch_service(super::support::SERVICE.to_owned());
    gates.wait_for_all("quarantined at the new daemon too", REQUEST, is_quarantined).await;
    for number in 0..4 {
        let verdict = gates.begin(number, REQUEST).await;
        assert!(matches!(verdict, TrialVerdict::Quarantined { .. }), "{verdict:?}");
    }
    gates.stop().await;
}

/// Guards against a suspect that is never found because its caller disconnects just before each
/// crash.
#[tokio::test]
async fn a_crash_after_the_caller_disconnected_counts() {
    let gates = Gates::start(2).await;
    gates.record_crash(0, REQUEST).await;
    drop(gates.trial_granted(1, REQUEST).await.begin_dispatch());
    let verdict = gates.begin(0, REQUEST).await;
    assert!(matches!(verdict, TrialVerdict::OnTrialElsewhere { .. }), "{verdict:?}");
    gates.crash_on_trial(1).await;
    gates.wait_for_all("quarantined", REQUEST, is_quarantined).await;
    gates.stop().await;
}

/// Guards against a suspect that stays on trial although its gate didn't run it, for example
/// because its target was full. Another gate may try it at once.
#[tokio::test]
async fn a_trial_that_did_not_run_is_released() {
    let gates = Gates::start(2).await;
    gates.record_crash(0, REQUEST).await;
    drop(gates.trial_granted(1, REQUEST).await);
    let trial = gates.trial_until_granted(0, REQUEST).await;
    trial.begin_dispatch().finish_not_run();
    drop(gates.trial_until_granted(1, REQUEST).await);
    gates.stop().await;
}

/// Guards against a suspect that crashes the complete instance with its daemon, so that no gate
/// reports the crash. The trial that expired without an end counts as the second crash.
#[tokio::test]
async fn an_expired_trial_counts_as_a_crash() {
    let gates = Gates::start(3).await;
    gates.record_crash(0, REQUEST).await;
    let _running = gates.trial_granted(1, REQUEST).await.begin_dispatch();
    gates.expire(REQUEST);
    let verdict = gates.begin(2, REQUEST).await;
    assert!(matches!(verdict, TrialVerdict::Quarantined { .. }), "{verdict:?}");
    eventually("the row is quarantined", || {
        gates.row(REQUEST).is_some_and(|row| row.state == SuspectState::Quarantined)
    })
    .await;
    gates.stop().await;
}

/// Guards against a third crash by a request that was in flight on two targets that crashed at the
/// same time, with other requests on both.
#[tokio::test]
async fn two_crashes_at_the_same_time_quarantine() {
    let gates = Gates::start(3).await;
    tokio::join!(gates.record_crash(0, REQUEST), gates.record_crash(1, REQUEST));
    gates.wait_for_all("quarantined", REQUEST, is_quarantined).await;
    gates.stop().await;
}

/// Guards against a request that stays quarantined for good. After the quarantine it is tried alone
/// once more, and cleared if the target doesn't crash.
#[tokio::test]
async fn an_expired_quarantine_allows_one_more_trial() {
    let gates = Gates::start(2).await;
    gates.record_crash(0, REQUEST).await;
    let _running = gates.trial_granted(1, REQUEST).await.begin_dispatch();
    gates.crash_on_trial(1).await;
    eventually("the row is quarantined", || {
        gates.row(REQUEST).is_some_and(|row| row.state == SuspectState::Quarantined)
    })
    .await;
    gates.expire(REQUEST);
    let mut later = gates;
    let fresh = later.add();
    later.trial_granted(fresh, REQUEST).await.begin_dispatch().finish();
    eventually("the row is deleted", || later.row(REQUEST).is_none()).await;
    later.stop().await;
}

/// Guards against a trial that is granted while the store is unavailable, when no gate can know
/// whether another one runs the suspect.
#[tokio::test]
async fn no_trial_is_granted_without_the_store() {
    let gates = Gates::start(2).await;
    gates.record_crash(0, REQUEST).await;
    for mode in [PlatformMode::Down, PlatformMode::BlackHole] {
        gates.platform.set_faults(PlatformFaults { mode, ..Default::default() });
        let verdict = gates.begin(1, REQUEST).await;
        assert!(matches!(verdict, TrialVerdict::StoreUnavailable { .. }), "{verdict:?}");
    }
    gates.platform.set_faults(PlatformFaults::default());
    drop(gates.trial_until_granted(1, REQUEST).await);
    gates.stop().await;
}

/// Guards against a trial that isn't granted because the response to its write is lost. The row
/// shows that the trial is this gate's own.
#[tokio::test]
async fn a_trial_with_a_lost_response_is_recognised() {
    let gates = Gates::start(2).await;
    gates.record_crash(0, REQUEST).await;
    eventually("the crash is written", || gates.row(REQUEST).is_some()).await;
    gates.platform.set_faults(PlatformFaults { lose_answers: 1, ..Default::default() });
    let _running = gates.trial_granted(1, REQUEST).await.begin_dispatch();
    let verdict = gates.begin(0, REQUEST).await;
    assert!(matches!(verdict, TrialVerdict::OnTrialElsewhere { .. }), "{verdict:?}");
    gates.stop().await;
}

/// Guards against a request that is quarantined without a crash: its caller disconnects while the
/// trial is being written, and the write takes effect later, so the trial expires without a run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_abandoned_trial_cannot_take_effect_late() {
    let gates = Gates::start(2).await;
    gates.record_crash(0, REQUEST).await;
    eventually("the crash is written", || gates.row(REQUEST).is_some()).await;
    // Shorter than the response timeout, so that the row can be read.
    let late = PlatformFaults { delay_ms: 100, late_effect: true, ..Default::default() };
    gates.platform.set_faults(late);
    let tracker = gates.gates[1].clone();
    let call =
        tokio::spawn(async move { tracker.begin_trial(super::support::SERVICE, REQUEST).await });
    eventually("the write is in progress", || gates.platform.pending_commits() > 0).await;
    call.abort();
    gates.platform.set_faults(PlatformFaults::default());
    eventually("the late write has taken effect", || gates.platform.pending_commits() == 0).await;
    eventually("it is a suspect without a trial", || {
        let row = gates.row(REQUEST).expect("it is still a suspect");
        (row.state, row.trial) == (SuspectState::Suspected, None)
    })
    .await;
    drop(gates.trial_until_granted(0, REQUEST).await);
    gates.stop().await;
}

/// Guards against a late crash record that makes a cleared request a suspect again: the store is
/// unavailable at the crash, and another gate tries and clears the request before the crash is
/// written.
#[tokio::test]
async fn a_late_crash_record_does_not_make_a_cleared_request_a_suspect() {
    let gates = Gates::start(2).await;
    let down = PlatformFaults { mode: PlatformMode::Down, ..Default::default() };
    gates.platform.set_faults(down);
    gates.record_crash(0, REQUEST).await;
    // The first gate has tried to write the crash and waits to retry.
    let failed = gates.platform.stats().failed;
    eventually("the crash can't be written", || gates.platform.stats().failed > failed).await;
    gates.platform.set_faults(PlatformFaults::default());
    gates.wait_for_all("suspected", REQUEST, |verdict| *verdict == Verdict::Isolated).await;
    gates.trial_granted(1, REQUEST).await.begin_dispatch().finish();
    gates.wait_for_all("clear", REQUEST, |verdict| *verdict == Verdict::Clear).await;
    // Another crash, which is written after the first one was processed.
    gates.record_crash(0, REQUEST + 1).await;
    eventually("the other crash is written", || gates.row(REQUEST + 1).is_some()).await;
    eventually("the trial's row is deleted", || gates.row(REQUEST).is_none()).await;
    assert_eq!(gates.row(REQUEST), None);
    gates.stop().await;
}

/// Guards against a request that is quarantined because another one crashes the target while it
/// waits to be dispatched on trial.
#[tokio::test]
async fn a_crash_before_dispatch_does_not_count_against_the_trial() {
    let gates = Gates::start(2).await;
    gates.record_crash(0, REQUEST).await;
    let waiting = gates.trial_granted(1, REQUEST).await;
    gates.record_crash(1, REQUEST + 1).await;
    drop(waiting);
    gates.trial_until_granted(0, REQUEST).await.begin_dispatch().finish();
    gates.wait_for_all("clear", REQUEST, |verdict| *verdict == Verdict::Clear).await;
    gates.stop().await;
}
