//! Who may run a suspect, and what becomes of it.

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

/// The page that crashed a target is reloaded in many browsers at once, each through another
/// daemon. If two gates try it at the same moment, two more targets fall.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_gate_of_many_gets_the_trial() {
    let gates = Gates::start(4).await;
    for request in 0..50 {
        gates.record_crash(0, request).await;
        let asked = join_all((0..4).map(|number| gates.begin(number, request))).await;
        let granted = asked.iter().filter(|asked| matches!(asked, TrialVerdict::Granted(_)));
        let elsewhere =
            asked.iter().filter(|asked| matches!(asked, TrialVerdict::OnTrialElsewhere { .. }));
        assert_eq!((granted.count(), elsewhere.count()), (1, 3), "{asked:?}");
    }
    gates.stop().await;
}

/// A bystander ran alone and its target lives: nothing may stay on it, at any gate or in the table.
#[tokio::test]
async fn a_trial_that_ends_well_clears_everywhere() {
    let gates = Gates::start(3).await;
    gates.record_crash(0, REQUEST).await;
    gates.until_all("suspected", REQUEST, |verdict| *verdict == Verdict::Alone).await;
    gates.granted(1, REQUEST).await.begin_dispatch().finish();
    gates.until_all("clear", REQUEST, |verdict| *verdict == Verdict::Clear).await;
    eventually("the row is gone", || gates.row(REQUEST).is_none()).await;
    gates.stop().await;
}

/// The second target falls. From then on no gate runs the request, and a daemon that starts later
/// knows it from the table.
#[tokio::test]
async fn a_second_crash_quarantines_everywhere() {
    let mut gates = Gates::start(3).await;
    gates.record_crash(0, REQUEST).await;
    let running = gates.granted(1, REQUEST).await.begin_dispatch();
    gates.crash_on_trial(1).await;
    drop(running);
    gates.until_all("quarantined", REQUEST, is_quarantined).await;
    eventually("the row says so", || {
        gates.row(REQUEST).is_some_and(|row| row.state == SuspectState::Quarantined)
    })
    .await;
    let late = gates.add();
    assert_eq!(gates.verdict(late, REQUEST).await, Verdict::Clear, "it has just started");
    gates.gates[late].watch_service(super::support::SERVICE.to_owned());
    gates.until_all("quarantined at the new daemon too", REQUEST, is_quarantined).await;
    for number in 0..4 {
        let asked = gates.begin(number, REQUEST).await;
        assert!(matches!(asked, TrialVerdict::Quarantined { .. }), "{asked:?}");
    }
    gates.stop().await;
}

/// A caller hangs up a moment before its request crashes the target, each time. The trial must
/// count all the same.
#[tokio::test]
async fn a_crash_after_a_hang_up_counts() {
    let gates = Gates::start(2).await;
    gates.record_crash(0, REQUEST).await;
    drop(gates.granted(1, REQUEST).await.begin_dispatch());
    let asked = gates.begin(0, REQUEST).await;
    assert!(matches!(asked, TrialVerdict::OnTrialElsewhere { .. }), "{asked:?}");
    gates.crash_on_trial(1).await;
    gates.until_all("quarantined", REQUEST, is_quarantined).await;
    gates.stop().await;
}

/// The gate refuses a suspect after all, as its target is full. Another gate may try it at once.
#[tokio::test]
async fn a_trial_of_which_nothing_ran_is_given_back() {
    let gates = Gates::start(2).await;
    gates.record_crash(0, REQUEST).await;
    drop(gates.granted(1, REQUEST).await);
    let trial = gates.granted_at_last(0, REQUEST).await;
    trial.begin_dispatch().finish_not_run();
    drop(gates.granted_at_last(1, REQUEST).await);
    gates.stop().await;
}

/// A suspect takes the whole instance with it, daemon included: nobody is left to tell. The trial
/// that never ended counts as the second crash.
#[tokio::test]
async fn a_trial_that_nobody_ends_counts_as_a_crash() {
    let gates = Gates::start(3).await;
    gates.record_crash(0, REQUEST).await;
    let _running = gates.granted(1, REQUEST).await.begin_dispatch();
    gates.let_expire(REQUEST);
    let asked = gates.begin(2, REQUEST).await;
    assert!(matches!(asked, TrialVerdict::Quarantined { .. }), "{asked:?}");
    eventually("the row says so", || {
        gates.row(REQUEST).is_some_and(|row| row.state == SuspectState::Quarantined)
    })
    .await;
    gates.stop().await;
}

/// A request is on two targets at once, in company on both, and both fall. It is no bystander.
#[tokio::test]
async fn two_deaths_at_once_quarantine() {
    let gates = Gates::start(3).await;
    tokio::join!(gates.record_crash(0, REQUEST), gates.record_crash(1, REQUEST));
    gates.until_all("quarantined", REQUEST, is_quarantined).await;
    gates.stop().await;
}

/// Ten minutes later the quarantine is over. The request is tried alone once more, and a target
/// that lives clears it.
#[tokio::test]
async fn a_served_quarantine_leaves_one_more_trial() {
    let gates = Gates::start(2).await;
    gates.record_crash(0, REQUEST).await;
    let _running = gates.granted(1, REQUEST).await.begin_dispatch();
    gates.crash_on_trial(1).await;
    eventually("the row says so", || {
        gates.row(REQUEST).is_some_and(|row| row.state == SuspectState::Quarantined)
    })
    .await;
    gates.let_expire(REQUEST);
    let mut later = gates;
    let fresh = later.add();
    later.granted(fresh, REQUEST).await.begin_dispatch().finish();
    eventually("the row is gone", || later.row(REQUEST).is_none()).await;
    later.stop().await;
}

/// The store is away, so no gate can know whether another one runs the suspect.
#[tokio::test]
async fn without_the_store_there_is_no_trial() {
    let gates = Gates::start(2).await;
    gates.record_crash(0, REQUEST).await;
    for mode in [PlatformMode::Down, PlatformMode::BlackHole] {
        gates.platform.set_faults(PlatformFaults { mode, ..Default::default() });
        let asked = gates.begin(1, REQUEST).await;
        assert!(matches!(asked, TrialVerdict::StoreUnavailable { .. }), "{asked:?}");
    }
    gates.platform.set_faults(PlatformFaults::default());
    drop(gates.granted_at_last(1, REQUEST).await);
    gates.stop().await;
}

/// The trial's write takes effect and its answer is lost. It is found to be this gate's own.
#[tokio::test]
async fn a_trial_whose_answer_is_lost_is_found() {
    let gates = Gates::start(2).await;
    gates.record_crash(0, REQUEST).await;
    eventually("the death is written", || gates.row(REQUEST).is_some()).await;
    gates.platform.set_faults(PlatformFaults { lose_answers: 1, ..Default::default() });
    let _running = gates.granted(1, REQUEST).await.begin_dispatch();
    let asked = gates.begin(0, REQUEST).await;
    assert!(matches!(asked, TrialVerdict::OnTrialElsewhere { .. }), "{asked:?}");
    gates.stop().await;
}

/// The caller hangs up while the trial's write is on its way, and the write takes effect long
/// after. The request would be on a trial that nobody runs, and then be quarantined for nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_trial_given_up_cannot_take_effect_late() {
    let gates = Gates::start(2).await;
    gates.record_crash(0, REQUEST).await;
    eventually("the death is written", || gates.row(REQUEST).is_some()).await;
    // Under the answer's timeout, so that the row can be read.
    let late = PlatformFaults { delay_ms: 100, late_effect: true, ..Default::default() };
    gates.platform.set_faults(late);
    let tracker = gates.gates[1].clone();
    let call =
        tokio::spawn(async move { tracker.begin_trial(super::support::SERVICE, REQUEST).await });
    eventually("the write is on its way", || gates.platform.commits_pending() > 0).await;
    call.abort();
    gates.platform.set_faults(PlatformFaults::default());
    eventually("the late write has landed", || gates.platform.commits_pending() == 0).await;
    eventually("it is a suspect on no trial", || {
        let row = gates.row(REQUEST).expect("it is still a suspect");
        (row.state, row.trial) == (SuspectState::Suspected, None)
    })
    .await;
    drop(gates.granted_at_last(0, REQUEST).await);
    gates.stop().await;
}

/// The store is away when a target dies, so the death waits to be written. Meanwhile another gate
/// has tried the bystander, and its target lives. The late word of the death must not put it on
/// trial again.
#[tokio::test]
async fn a_death_written_late_doesn_t_blame_a_cleared_request() {
    let gates = Gates::start(2).await;
    let down = PlatformFaults { mode: PlatformMode::Down, ..Default::default() };
    gates.platform.set_faults(down);
    gates.record_crash(0, REQUEST).await;
    // By now the first gate has tried to write and waits for the store.
    let failed = gates.platform.stats().failed;
    eventually("the death can't be written", || gates.platform.stats().failed > failed).await;
    gates.platform.set_faults(PlatformFaults::default());
    gates.until_all("suspected", REQUEST, |verdict| *verdict == Verdict::Alone).await;
    gates.granted(1, REQUEST).await.begin_dispatch().finish();
    gates.until_all("clear", REQUEST, |verdict| *verdict == Verdict::Clear).await;
    // Another death, written after the first one's turn has come.
    gates.record_crash(0, REQUEST + 1).await;
    eventually("the other death is written", || gates.row(REQUEST + 1).is_some()).await;
    eventually("the trial's row is gone", || gates.row(REQUEST).is_none()).await;
    assert_eq!(gates.row(REQUEST), None);
    gates.stop().await;
}

/// A bystander waits at a gate for its trial to begin when another request takes the target down.
/// It has done nothing, and must not be quarantined for it.
#[tokio::test]
async fn a_death_before_the_hand_over_is_not_the_trial_s() {
    let gates = Gates::start(2).await;
    gates.record_crash(0, REQUEST).await;
    let waiting = gates.granted(1, REQUEST).await;
    gates.record_crash(1, REQUEST + 1).await;
    drop(waiting);
    gates.granted_at_last(0, REQUEST).await.begin_dispatch().finish();
    gates.until_all("clear", REQUEST, |verdict| *verdict == Verdict::Clear).await;
    gates.stop().await;
}
