//! What one choice and one admission cost, in time.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::{SeedableRng, rngs::SmallRng};
use yuccarack_config::{load::LoadReport, rules::LimitRules};
use yuccarack_policy::{
    admission::{Admission, AdmissionConfig, AdmissionDecision, Offer, RouteShare, RunOutcome},
    choice::{Chooser, ChooserConfig, Member, MemberState, TargetAttemptOutcome},
};

const SIZES: [usize; 3] = [6, 100, 2_500];
const TOOK: Duration = Duration::from_millis(10);

fn members(count: usize) -> Vec<Member> {
    let member = |number: usize| Member {
        instance: format!("target-{number:04}"),
        incarnation: 1,
        failure_domain: format!("domain-{}", number % 3),
        slots: 10,
        state: MemberState::Ready,
    };
    (0..count).map(member).collect()
}

/// A chooser that knows a load of every target.
fn chooser(now: Instant, count: usize) -> Chooser {
    let mut chooser = Chooser::new(ChooserConfig::default(), "domain-0".into());
    chooser.set_members(now, &members(count));
    for (number, member) in members(count).iter().enumerate() {
        let key = chooser.key_of(&member.instance).expect("a member has a key");
        let in_flight = (number % 10) as u16;
        let report = LoadReport { in_flight, queued: 0, limit: 10, service_us: 10_000 };
        chooser.record_report(now, key, report);
    }
    chooser
}

fn choices(criterion: &mut Criterion) {
    let now = Instant::now();
    let report = LoadReport { in_flight: 3, queued: 0, limit: 10, service_us: 10_000 };
    let mut group = criterion.benchmark_group("choice");
    for size in SIZES {
        let mut chooser = chooser(now, size);
        let mut rng = SmallRng::seed_from_u64(1);
        group.bench_function(BenchmarkId::new("choose", size), |bencher| {
            bencher.iter(|| black_box(chooser.choose(now, &mut rng, &[])));
        });
        group.bench_function(BenchmarkId::new("choose_start_finish", size), |bencher| {
            bencher.iter(|| {
                let Ok(key) = chooser.choose(now, &mut rng, &[]) else { return };
                chooser.record_attempt(now, key);
                let end = TargetAttemptOutcome::Answered { response_time: TOOK };
                chooser.record_outcome(now, key, end, Some(report));
            });
        });
    }
}

/// Admissions with as many callers as there are targets, since each daemon is a caller.
fn admissions(criterion: &mut Criterion) {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(3_600);
    let mut group = criterion.benchmark_group("admission");
    for callers in SIZES {
        let routes = vec![RouteShare { slot_share_percent: 100 }];
        let config = AdmissionConfig { slots: 10, limits: LimitRules::default(), routes };
        let mut next = 0;
        let mut offer = move || {
            next = (next + 1) % callers as u64;
            Offer { caller: next, route: 0, deadline, alone: false }
        };
        let mut gate = Admission::new(now, config.clone());
        group.bench_function(BenchmarkId::new("free", callers), |bencher| {
            bencher.iter(|| {
                let AdmissionDecision::Run(key) = gate.offer(now, offer()) else { return };
                gate.release(now, key, RunOutcome::Completed { service_time: TOOK });
            });
        });
        let mut gate = Admission::new(now, config);
        let mut is_full = false;
        while !is_full {
            is_full = matches!(gate.offer(now, offer()), AdmissionDecision::Refused(_));
        }
        group.bench_function(BenchmarkId::new("full", callers), |bencher| {
            bencher.iter(|| black_box(gate.offer(now, offer())));
        });
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(30)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = choices, admissions
}
criterion_main!(benches);
