//! Stories of the choice of a target.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use quickcheck::{QuickCheck, TestResult};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use yuccarack_config::load::LoadReport;
use yuccarack_policy::choice::{
    ChoiceRefusal, Chooser, ChooserConfig, Member, MemberState, TargetAttemptOutcome, TargetKey,
};

const TOOK: Duration = Duration::from_millis(10);

fn member(number: usize, domain: &str, state: MemberState) -> Member {
    Member {
        instance: format!("target-{number}"),
        incarnation: 1,
        failure_domain: domain.into(),
        slots: 10,
        state,
    }
}

fn ready(numbers: std::ops::Range<usize>, domain: &str) -> Vec<Member> {
    numbers.map(|number| member(number, domain, MemberState::Ready)).collect()
}

fn chooser(now: Instant, members: &[Member]) -> Chooser {
    let mut chooser = Chooser::new(ChooserConfig::default(), "home".into());
    chooser.set_members(now, members);
    chooser
}

fn report(in_flight: u16, service_us: u32) -> LoadReport {
    LoadReport { in_flight, queued: 0, limit: 10, service_us }
}

/// Sends calls that all end at once, and counts where they went.
fn spread(
    chooser: &mut Chooser,
    now: Instant,
    calls: usize,
    end: impl Fn(&str) -> TargetAttemptOutcome,
) -> HashMap<String, usize> {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut counts = HashMap::new();
    for _ in 0..calls {
        let key = chooser.choose(now, &mut rng, &[]).expect("a target is ready");
        let instance = chooser.instance_of(key).expect("the target is a member").clone();
        chooser.record_attempt(now, key);
        chooser.record_outcome(now, key, end(&instance), None);
        *counts.entry(instance).or_default() += 1;
    }
    counts
}

/// A service without members, then one that starts, then one that drains: a caller is told which
/// of these it is, since only the last two get better by waiting.
#[test]
fn says_why_nobody_can_be_chosen() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut refusal = |members: &[Member]| chooser(now, members).choose(now, &mut rng, &[]);
    let starting = member(0, "home", MemberState::Starting);
    let draining = member(1, "home", MemberState::Draining);
    assert_eq!(refusal(&[]), Err(ChoiceRefusal::NoMembers));
    assert_eq!(refusal(&[starting, draining.clone()]), Err(ChoiceRefusal::AllStarting));
    assert_eq!(refusal(&[draining]), Err(ChoiceRefusal::AllDraining));
}

/// A retry must not go where the first try failed: whatever is excluded, however few are left,
/// is never chosen, and when all are excluded the caller is told so.
#[test]
fn never_chooses_an_excluded_target() {
    fn holds(seed: u64, targets: u8, excluded: u8, failing: u8) -> TestResult {
        let (targets, now) = (usize::from(targets % 9) + 1, Instant::now());
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut members = ready(0..targets, "home");
        members.iter_mut().skip(targets / 2).for_each(|m| m.failure_domain = "away".into());
        let mut chooser = chooser(now, &members);
        let keys: Vec<TargetKey> =
            members.iter().map(|m| chooser.key_of(&m.instance).unwrap()).collect();
        for _ in 0..failing {
            let key = keys[rng.random_range(0..targets)];
            chooser.record_attempt(now, key);
            chooser.record_outcome(now, key, TargetAttemptOutcome::Broken, None);
        }
        let excluded: Vec<_> = keys.iter().copied().take(usize::from(excluded)).collect();
        let later = now + Duration::from_secs(u64::from(failing));
        match chooser.choose(later, &mut rng, &excluded) {
            Ok(key) => TestResult::from_bool(!excluded.contains(&key)),
            Err(refusal) => TestResult::from_bool(
                refusal == ChoiceRefusal::AllExcluded && excluded.len() == targets,
            ),
        }
    }
    QuickCheck::new().tests(2_000).quickcheck(holds as fn(u64, u8, u8, u8) -> TestResult);
}

/// Fifty entries hear at the same moment that one of ten targets is idle and the others are half
/// full. Following the news they would all go there and bury it; at most twice a fair share may.
#[test]
fn same_news_makes_no_herd() {
    let now = Instant::now();
    let members = ready(0..10, "home");
    let mut to_idle = 0;
    for entry in 0..50 {
        let mut chooser = chooser(now, &members);
        for member in &members {
            let in_flight = if member.instance == "target-0" { 0 } else { 5 };
            let key = chooser.key_of(&member.instance).unwrap();
            chooser.record_report(now, key, report(in_flight, 10_000));
        }
        let mut rng = SmallRng::seed_from_u64(entry);
        let key = chooser.choose(now, &mut rng, &[]).unwrap();
        to_idle += usize::from(chooser.instance_of(key).unwrap() == "target-0");
    }
    assert!(to_idle <= 50 * 2 / 10 + 5, "{to_idle} of 50 entries went to one target");
}

/// A target in another failure domain is a millisecond or more away. While the own domain has
/// room nothing goes there; once it is full, calls spill.
#[test]
fn stays_home_until_home_is_full() {
    let now = Instant::now();
    let mut members = ready(0..2, "home");
    members.extend(ready(2..4, "away"));
    let mut chooser = chooser(now, &members);
    let answered = |_: &str| TargetAttemptOutcome::Answered { response_time: TOOK };
    let counts = spread(&mut chooser, now, 200, answered);
    assert!(counts.keys().all(|instance| ["target-0", "target-1"].contains(&instance.as_str())));
    for instance in ["target-0", "target-1"] {
        let key = chooser.key_of(instance).unwrap();
        let full = LoadReport { in_flight: 10, queued: 8, limit: 10, service_us: 10_000 };
        chooser.record_report(now, key, full);
    }
    let mut rng = SmallRng::seed_from_u64(3);
    let key = chooser.choose(now, &mut rng, &[]).unwrap();
    assert!(["target-2", "target-3"].contains(&chooser.instance_of(key).unwrap().as_str()));
}

/// A target fails every request at once and so looks idle and quick. After a few failures it is
/// left out; now and then one request tries it, and when it answers again it is taken back.
#[test]
fn a_target_that_fails_fast_is_left_out_and_taken_back() {
    let now = Instant::now();
    let mut chooser = chooser(now, &ready(0..4, "home"));
    let fails = |instance: &str| match instance {
        "target-0" => {
            TargetAttemptOutcome::TargetFailed { response_time: Duration::from_micros(100) }
        }
        _ => TargetAttemptOutcome::Answered { response_time: TOOK },
    };
    let failed = spread(&mut chooser, now, 1_000, fails)["target-0"];
    assert!(failed <= 5, "{failed} of 1000 calls went to a target that fails");
    let mut at = now;
    for _ in 0..40 {
        at += Duration::from_secs(1);
        spread(&mut chooser, at, 100, |_| TargetAttemptOutcome::Answered { response_time: TOOK });
    }
    let counts =
        spread(&mut chooser, at, 1_000, |_| TargetAttemptOutcome::Answered { response_time: TOOK });
    assert!(counts["target-0"] > 150, "{counts:?}");
}

/// A deployment breaks every target at once. Leaving all out would turn errors of some requests
/// into refusals of all, so never more than the agreed share is ejected.
#[test]
fn ejects_no_more_than_the_agreed_share() {
    let now = Instant::now();
    let mut chooser = chooser(now, &ready(0..6, "home"));
    spread(&mut chooser, now, 1_000, |_| TargetAttemptOutcome::Broken);
    let ejected = chooser.explain(now).iter().filter(|view| view.ejected_for.is_some()).count();
    assert_eq!(ejected, 3);
}

/// A target failed three times, too few to be ejected, and looks worse than all others since.
/// Nothing is sent there, so nothing would ever show that it has recovered: failures must fade.
#[test]
fn a_few_failures_are_not_held_against_a_target_for_good() {
    let now = Instant::now();
    let mut chooser = chooser(now, &ready(0..3, "home"));
    let key = chooser.key_of("target-0").unwrap();
    for _ in 0..3 {
        chooser.record_attempt(now, key);
        chooser.record_outcome(now, key, TargetAttemptOutcome::Broken, None);
    }
    let answered = |_: &str| TargetAttemptOutcome::Answered { response_time: TOOK };
    let at_once = spread(&mut chooser, now, 300, answered);
    assert_eq!(at_once.get("target-0"), None);
    let later = spread(&mut chooser, now + Duration::from_secs(20), 300, answered);
    assert!(later["target-0"] > 50, "{later:?}");
}

/// A target stalls: its last report is fine and no newer one comes, since it answers nothing.
/// The entry's own unanswered request is the only sign, and must turn further requests away.
#[test]
fn silence_is_evidence() {
    let now = Instant::now();
    let mut chooser = chooser(now, &ready(0..2, "home"));
    for instance in ["target-0", "target-1"] {
        let key = chooser.key_of(instance).unwrap();
        chooser.record_report(now, key, report(1, 10_000));
    }
    let stalled = chooser.key_of("target-0").unwrap();
    chooser.record_attempt(now, stalled);
    let counts = spread(&mut chooser, now + Duration::from_millis(60), 50, |_| {
        TargetAttemptOutcome::Cancelled
    });
    assert_eq!(counts.get("target-0"), None);
}

/// A target claims a service time of 1 µs and answers in 100 ms. Its claim must not draw the
/// load: what the entry measured itself outranks what is reported.
#[test]
fn a_lying_report_is_not_attractive() {
    let now = Instant::now();
    let mut chooser = chooser(now, &ready(0..2, "home"));
    let mut rng = SmallRng::seed_from_u64(5);
    let mut to_liar = 0;
    for call in 0..200 {
        let at = now + Duration::from_millis(call);
        let key = chooser.choose(at, &mut rng, &[]).unwrap();
        let lies = chooser.instance_of(key).unwrap() == "target-0";
        let (ms, said_us) = if lies { (100, 1) } else { (10, 10_000) };
        let response_time = Duration::from_millis(ms);
        chooser.record_attempt(at, key);
        chooser.record_outcome(
            at,
            key,
            TargetAttemptOutcome::Answered { response_time },
            Some(report(0, said_us)),
        );
        to_liar += u32::from(lies);
    }
    assert!(to_liar <= 20, "{to_liar} of 200 calls went to the liar");
}

/// A new target joins three warm ones under load. It is cold, so it gets a little at first and
/// its share only after it has answered some.
#[test]
fn a_new_target_starts_slowly() {
    let now = Instant::now();
    let mut chooser = chooser(now, &ready(0..3, "home"));
    chooser.set_members(now, &ready(0..4, "home"));
    for number in 0..4 {
        let key = chooser.key_of(&format!("target-{number}")).unwrap();
        chooser.record_report(now, key, report(4, 10_000));
    }
    let cold = spread(&mut chooser, now, 100, |_| TargetAttemptOutcome::Cancelled);
    assert_eq!(cold.get("target-3"), None);
    let warm = now + Duration::from_secs(11);
    let counts = spread(&mut chooser, warm, 100, |_| TargetAttemptOutcome::Cancelled);
    assert!(counts["target-3"] > 10, "{counts:?}");
}

/// Membership news arrives while calls are out. What is known of targets that stay must be kept,
/// a target in a new life starts as unknown, and a key of one that left is never mistaken.
#[test]
fn knowledge_stays_with_its_target() {
    let now = Instant::now();
    let mut members = ready(0..2, "home");
    let mut chooser = chooser(now, &members);
    let [kept, reborn] = ["target-0", "target-1"].map(|name| chooser.key_of(name).unwrap());
    chooser.record_report(now, kept, report(3, 10_000));
    chooser.record_report(now, reborn, report(3, 10_000));
    members[1].incarnation = 2;
    chooser.set_members(now, &members);
    assert_eq!(chooser.key_of("target-0"), Some(kept));
    assert_ne!(chooser.key_of("target-1"), Some(reborn));
    assert_eq!(chooser.instance_of(reborn), None);
    chooser.record_outcome(now, reborn, TargetAttemptOutcome::Broken, None);
    let views = chooser.explain(now);
    assert_eq!(views[0].report, Some(report(3, 10_000)));
    assert_eq!(views[1].report, None);
    assert_eq!(views[1].failures_in_row, 0);
}

/// A gate refuses because its target has stopped, and its report still shows free slots. The
/// refusal is the fresher news: the next request must go elsewhere.
#[test]
fn a_refusal_outweighs_its_report() {
    let now = Instant::now();
    let mut chooser = chooser(now, &ready(0..2, "home"));
    let [refusing, other] = ["target-0", "target-1"].map(|name| chooser.key_of(name).unwrap());
    chooser.record_report(now, other, report(6, 10_000));
    chooser.record_attempt(now, refusing);
    chooser.record_outcome(now, refusing, TargetAttemptOutcome::Refused, Some(report(1, 10_000)));
    let counts = spread(&mut chooser, now, 50, |_| TargetAttemptOutcome::Cancelled);
    assert_eq!(counts.get("target-0"), None);
}

/// An entry starts beside targets that have run for days. They are not cold: one request there
/// doesn't fill them, and calls don't spill to another failure domain.
#[test]
fn targets_of_a_new_entry_are_warm() {
    let now = Instant::now();
    let mut members = ready(0..1, "home");
    members.extend(ready(1..3, "away"));
    let mut chooser = chooser(now, &members);
    let mut rng = SmallRng::seed_from_u64(9);
    for _ in 0..4 {
        let key = chooser.choose(now, &mut rng, &[]).unwrap();
        assert_eq!(chooser.instance_of(key).unwrap(), "target-0");
        chooser.record_attempt(now, key);
    }
}
