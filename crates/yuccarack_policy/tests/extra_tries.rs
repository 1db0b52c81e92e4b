//! Further tries of routed requests stay within what all daemons share.

use std::time::Duration;

use yuccarack_policy::extra_attempts::{
    ExtraAttempts, FailedGateAttempt, GateAttemptFailure, NoExtraAttemptReason,
};

const LEFT: Duration = Duration::from_millis(400);

fn bad(kind: GateAttemptFailure) -> FailedGateAttempt {
    FailedGateAttempt { kind, is_repeatable: true, targets_run: 1, targets_max: 2, time_left: LEFT }
}

#[test]
fn what_may_have_run_is_not_repeated_where_it_must_not() {
    let mut tries = ExtraAttempts::new(20, 60, 1);
    for ended in [GateAttemptFailure::Unknown, GateAttemptFailure::Failed] {
        let order = FailedGateAttempt { is_repeatable: false, ..bad(ended) };
        assert_eq!(tries.decide(order), Err(NoExtraAttemptReason::NotRepeatable));
    }
    for ended in [GateAttemptFailure::Refused, GateAttemptFailure::Shed] {
        let order = FailedGateAttempt { is_repeatable: false, targets_run: 0, ..bad(ended) };
        assert_eq!(tries.decide(order), Ok(()));
    }
}

#[test]
fn a_request_runs_on_no_more_targets_than_it_may() {
    let mut tries = ExtraAttempts::new(20, 60, 1);
    let used_up = FailedGateAttempt { targets_run: 2, ..bad(GateAttemptFailure::Unknown) };
    assert_eq!(tries.decide(used_up), Err(NoExtraAttemptReason::TargetsUsedUp));
    // A refusal ran nowhere, so it uses up no target.
    assert_eq!(
        tries.decide(FailedGateAttempt { targets_run: 2, ..bad(GateAttemptFailure::Refused) }),
        Ok(())
    );
}

/// Story: all targets of a service turn away half of what arrives, at twelve daemons with 100
/// requests each in ten seconds. Each turned away goes on to another target, and together they
/// stay below a fifth of the requests and the reserve of sixty.
#[test]
fn twelve_daemons_stay_within_the_shared_allowance() {
    let mut extra = 0;
    for _ in 0..12 {
        let mut tries = ExtraAttempts::new(20, 60, 12);
        for request in 0..100 {
            tries.earn();
            let is_shed = request % 2 == 0;
            extra += u32::from(is_shed && tries.decide(bad(GateAttemptFailure::Shed)).is_ok());
        }
    }
    assert!(extra > 100, "only {extra} further tries");
    assert!(f64::from(extra) < 0.2 * 1_200.0 + 60.0, "{extra} further tries");
}

/// Story: all daemons start at once, and each knows two others when its first call comes. The others
/// write their rows a moment later, and a service fails. Had each kept a third of the reserve, seventy
/// of them would send 20 times as many further tries as operators allow.
#[test]
fn the_reserve_is_shared_anew_when_more_daemons_are_known() {
    let mut extra = 0;
    for _ in 0..70 {
        let mut tries = ExtraAttempts::new(20, 60, 3);
        tries.set_entry_count(70);
        extra += (0..30).filter(|_| tries.decide(bad(GateAttemptFailure::Shed)).is_ok()).count();
    }
    assert!(extra <= 70, "{extra} further tries");
}

/// Story: a service that another one calls fails, so each of its callers' requests fails after it
/// ran. Run again elsewhere it calls the failing service again, and what was a dent becomes a storm
/// of calls there. After some fifty tries nothing that ran is tried again, until answers are good.
#[test]
fn nothing_runs_again_while_many_fail() {
    let mut tries = ExtraAttempts::new(100, 10_000, 1);
    let failed = |tries: &mut ExtraAttempts| tries.decide(bad(GateAttemptFailure::Failed));
    assert_eq!(failed(&mut tries), Ok(()));
    let refused =
        (0..100).filter(|_| failed(&mut tries) == Err(NoExtraAttemptReason::TooManyFail)).count();
    assert!(refused > 90, "{refused} of 100 were not tried again");
    // A refusal tells nothing of runs.
    assert_eq!(tries.decide(bad(GateAttemptFailure::Refused)), Ok(()));
    for _ in 0..200 {
        tries.record_success();
    }
    assert_eq!(failed(&mut tries), Ok(()));
}

#[test]
fn no_try_is_made_that_could_not_be_answered() {
    let mut tries = ExtraAttempts::new(20, 60, 1);
    let late = FailedGateAttempt {
        time_left: Duration::from_millis(2),
        ..bad(GateAttemptFailure::Refused)
    };
    assert_eq!(tries.decide(late), Err(NoExtraAttemptReason::DeadlineClose));
}

/// Requests and further tries of all daemons in a tenth of a second.
#[derive(Clone, Copy, Default)]
struct Tenth {
    requests: u32,
    extra: u32,
}

/// Requests that each of 77 daemons gets in a tenth of a second: those of the first failure domain are
/// busy and some of the others idle, until the callers move to the second domain.
fn requests_at(daemon: usize, tenth: usize) -> u32 {
    let busy_domain = usize::from(tenth >= 100);
    match (daemon % 3 == busy_domain, daemon.is_multiple_of(5)) {
        (true, _) => 3,
        (false, true) => 0,
        (false, false) => u32::from(tenth.is_multiple_of(4)),
    }
}

/// Story: half of the daemons hardly have callers, whose allowances fill up, until the callers of one
/// failure domain move to theirs; all targets turn everything away meanwhile. What the quiet daemons
/// had saved must not come on top of what the busy ones have spent: over any ten seconds the further
/// tries of all 77 stay below a fifth of the requests and the reserve of 194.
#[test]
fn uneven_and_moving_traffic_stays_within_the_shared_allowance() {
    const DAEMONS: usize = 77;
    const WINDOW: usize = 100;
    let mut daemons: Vec<_> = (0..DAEMONS).map(|_| ExtraAttempts::new(20, 194, DAEMONS)).collect();
    let mut tenths = vec![Tenth::default(); 3 * WINDOW];
    for (at, tenth) in tenths.iter_mut().enumerate() {
        for (number, tries) in daemons.iter_mut().enumerate() {
            for _ in 0..requests_at(number, at) {
                tries.earn();
                tenth.requests += 1;
                while tries.decide(bad(GateAttemptFailure::Shed)).is_ok() {
                    tenth.extra += 1;
                }
            }
        }
    }
    for window in tenths.windows(WINDOW) {
        let requests: u32 = window.iter().map(|tenth| tenth.requests).sum();
        let extra: u32 = window.iter().map(|tenth| tenth.extra).sum();
        assert!(f64::from(extra) <= 0.2 * f64::from(requests) + 194.0, "{extra} for {requests}");
    }
    assert!(tenths.iter().map(|tenth| tenth.extra).sum::<u32>() > 194, "hardly any further try");
}
