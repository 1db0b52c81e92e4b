//! Tests how a gate divides its capacity among organisations under shortage.

#[path = "support/gate_replay.rs"]
mod gate_replay;

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::Xxh3Default;
use yuccarack_policy::work_queue::{
    OrganisationShare, QueueDecision, WaitResult, WorkOutcome, WorkQueue, WorkRequest,
};

use self::gate_replay::{
    Arrival, DEADLINE, End, SLOTS, SOFT_DEADLINE, USED_SLOTS, arrivals, replay, zipf_parts,
};

const ORGANISATIONS: usize = 72;
const USUAL_LOAD: f64 = 0.7;
const SURGE_FACTOR: f64 = 9.0;
const SURGE_START: Duration = Duration::from_secs(40);
const SURGE_END: Duration = Duration::from_secs(46);

const SEEDS: u64 = 12;

/// Largest part of its on-time requests that an organisation at its usual rate may lose to a surge.
const LOSS_MAX: f64 = 0.02;

/// Smallest part of the overall served share that any organisation gets.
const SERVED_PART_MIN: f64 = 0.25;

/// Fewest requests by which one organisation is judged by itself; with fewer, a single request
/// decides.
const REQUESTS_MIN: f64 = 100.0;

fn share(rank: u8) -> impl Fn(usize) -> Option<OrganisationShare> {
    move |index| Some(OrganisationShare { id: index as u64, rank })
}

/// Returns the arrivals of all organisations at their usual rates.
fn usual_arrivals(seed: u64) -> Vec<Arrival> {
    let parts = zipf_parts(ORGANISATIONS, 1.2).into_iter().enumerate();
    let end = SURGE_END + Duration::from_secs(2);
    parts
        .flat_map(|(index, part)| {
            arrivals(seed, index, part * USUAL_LOAD * USED_SLOTS, Duration::ZERO, end)
        })
        .collect()
}

/// Returns what organisation `index` sends in addition during its surge.
fn surge_arrivals(seed: u64, index: usize) -> Vec<Arrival> {
    let part = zipf_parts(ORGANISATIONS, 1.2)[index];
    let load = part * USUAL_LOAD * USED_SLOTS * (SURGE_FACTOR - 1.0);
    arrivals(seed + 500_000, index, load, SURGE_START, SURGE_END)
}

/// Returns requests and on-time requests by organisation among those that arrive from the start of
/// the surge on.
fn on_time_counts(ends: &[(Arrival, End)]) -> Vec<(f64, f64)> {
    let mut counts = vec![(0.0, 0.0); ORGANISATIONS];
    for (arrival, end) in ends.iter().filter(|(arrival, _)| arrival.at >= SURGE_START) {
        let count = &mut counts[arrival.organisation];
        count.0 += 1.0;
        count.1 += f64::from(u8::from(*end == End::OnTime));
    }
    counts
}

/// Returns requests, on-time requests alone and on-time requests next to the surge of organisation
/// `surging`, by organisation.
fn surge_counts(
    surging: usize,
    share: impl Fn(usize) -> Option<OrganisationShare>,
) -> Vec<(f64, f64, f64)> {
    let mut totals = vec![(0.0, 0.0, 0.0); ORGANISATIONS];
    for seed in 0..SEEDS {
        let mut usual = usual_arrivals(seed);
        let mut with_surge = usual.clone();
        with_surge.extend(surge_arrivals(seed, surging));
        let alone = on_time_counts(&replay(&mut usual, &share));
        let next_to_surge = on_time_counts(&replay(&mut with_surge, &share));
        for ((total, alone), surge) in totals.iter_mut().zip(alone).zip(next_to_surge) {
            total.0 += alone.0;
            total.1 += alone.1;
            total.2 += surge.1;
        }
    }
    totals
}

/// Returns the loss of all organisations but `surging` together.
fn loss_of_others(surging: usize, counts: &[(f64, f64, f64)]) -> f64 {
    let others = counts.iter().enumerate().filter(|(index, _)| *index != surging);
    let sum = others.fold((0.0, 0.0, 0.0), |sum, (_, count)| {
        (sum.0 + count.0, sum.1 + count.1, sum.2 + count.2)
    });
    (sum.1 - sum.2) / sum.0
}

/// Guards against organisations at their usual rate that lose requests because one of the same rank
/// sends nine times its usual rate for six seconds.
#[test]
fn a_surge_costs_other_organisations_nothing() {
    let unshared = loss_of_others(0, &surge_counts(0, |_| None));
    assert!(unshared > LOSS_MAX, "the load shows nothing: a loss of {unshared}");
    for surging in [0, 1, 2, 4] {
        assert_small_losses(surging, &surge_counts(surging, share(0)));
    }
}

/// Asserts that the organisations at their usual rate lose little, together and each that has enough
/// requests to tell.
fn assert_small_losses(surging: usize, counts: &[(f64, f64, f64)]) {
    let loss = loss_of_others(surging, counts);
    assert!(loss < LOSS_MAX, "surge of {surging}: the others lost {loss}");
    for (index, (requests, alone, with_surge)) in counts.iter().enumerate() {
        let loss = (alone - with_surge) / requests;
        let is_judged = index != surging && *requests >= REQUESTS_MIN;
        assert!(
            !is_judged || loss < LOSS_MAX,
            "surge of {surging}: organisation {index} lost {loss}"
        );
    }
}

/// Guards against organisations of lower ranks that lose requests to a surge of one of the highest
/// rank. Their ranks would put all requests of the surge before theirs.
#[test]
fn a_surge_of_the_highest_rank_costs_the_others_nothing() {
    for surging in [0, 1, 2, 4] {
        let rank = |index: usize| if index == surging { 0 } else { (index % 3) as u8 };
        assert_small_losses(surging, &surge_counts(surging, |index| share(rank(index))(index)));
    }
}

/// Returns the ends of 10 s of twice the capacity by organisations with `parts` of the load and
/// of the ranks that `rank` returns.
fn overload_ends(seed: u64, parts: &[f64], rank: impl Fn(usize) -> u8) -> Vec<(Arrival, End)> {
    let until = Duration::from_secs(10);
    let loads = parts.iter().enumerate();
    let mut all: Vec<Arrival> = loads
        .flat_map(|(index, part)| {
            arrivals(seed, index, 2.0 * part * USED_SLOTS, Duration::ZERO, until)
        })
        .collect();
    replay(&mut all, |index| share(rank(index))(index))
}

fn one_of_three_ranks(index: usize) -> u8 {
    (index % 3) as u8
}

/// Returns the served share of the requests of the organisations that `belongs` accepts.
fn served_share(ends: &[(Arrival, End)], belongs: impl Fn(usize) -> bool) -> f64 {
    let ends = ends.iter().filter(|(arrival, _)| belongs(arrival.organisation));
    let (count, served) = ends.fold((0.0, 0.0), |(count, served), (_, end)| {
        (count + 1.0, served + f64::from(u8::from(*end != End::Refused)))
    });
    served / count
}

/// Guards against ranks of organisations without effect when twice the capacity is demanded for ten
/// seconds. All organisations send as much, and most of them have the lowest rank, so there is room
/// for the others.
#[test]
fn higher_ranks_are_served_before_lower_ones() {
    const RANKS: [u8; 9] = [0, 1, 1, 2, 2, 2, 2, 2, 2];
    for seed in 0..SEEDS {
        let ends = overload_ends(seed, &[1.0 / 9.0; 9], |index| RANKS[index]);
        let by_rank = [0, 1, 2].map(|rank| served_share(&ends, |index| RANKS[index] == rank));
        assert!(by_rank.is_sorted_by(|a, b| a >= b), "seed {seed}: served by rank {by_rank:?}");
        assert!(by_rank[1] > 2.0 * by_rank[2], "seed {seed}: served by rank {by_rank:?}");
    }
}

/// Guards against organisations of lower ranks that get next to nothing in the same overload, if two
/// thirds of what can be served are of the highest rank.
#[test]
fn an_overload_starves_no_rank() {
    for seed in 0..SEEDS {
        let ends = overload_ends(seed, &[1.0 / 9.0; 9], one_of_three_ranks);
        let overall = served_share(&ends, |_| true);
        for organisation in 0..9 {
            let served = served_share(&ends, |index| index == organisation);
            assert!(
                served >= SERVED_PART_MIN * overall,
                "seed {seed}: organisation {organisation} got {served} of {overall}"
            );
        }
    }
}

/// Guards against small organisations that get next to nothing in the same overload, in which the
/// largest sends a quarter of all requests.
#[test]
fn an_overload_starves_no_small_organisation() {
    let parts = zipf_parts(ORGANISATIONS, 1.2);
    let ends: Vec<_> =
        (0..SEEDS).flat_map(|seed| overload_ends(seed, &parts, one_of_three_ranks)).collect();
    let overall = served_share(&ends, |_| true);
    for organisation in 0..ORGANISATIONS {
        let served = served_share(&ends, |index| index == organisation);
        assert!(
            served >= SERVED_PART_MIN * overall,
            "organisation {organisation} got {served} of {overall}"
        );
    }
}

/// Guards against an organisation that has to earn its share first when it returns after a while
/// without requests, in which another one used all capacity and more.
#[test]
fn a_returning_organisation_gets_its_share_at_once() {
    let (returns_at, until) = (Duration::from_secs(10), Duration::from_secs(12));
    let mut of_returning = Vec::new();
    for seed in 0..SEEDS {
        let mut all = arrivals(seed, 0, 2.0 * USED_SLOTS, Duration::ZERO, until);
        all.extend(arrivals(seed, 1, 0.3 * USED_SLOTS, returns_at, until));
        let ends = replay(&mut all, share(0));
        of_returning.extend(ends.into_iter().filter(|(arrival, _)| arrival.organisation == 1));
    }
    let on_time = of_returning.iter().filter(|(_, end)| *end == End::OnTime).count();
    let share = on_time as f64 / of_returning.len() as f64;
    assert!(share > 1.0 - LOSS_MAX, "{share} of its requests are on time");
}

/// Guards against calls of targets, which have no organisation, that go before or after the requests
/// of all organisations. They count as being of the highest rank that is present.
#[test]
fn a_request_without_organisation_has_the_highest_rank_present() {
    let now = Instant::now();
    let mut queue = WorkQueue::new(SLOTS);
    let request = |organisation, rank| WorkRequest {
        kind: 1,
        rank,
        organisation,
        soft_deadline: now + SOFT_DEADLINE,
        deadline: now + DEADLINE,
        may_wait: true,
    };
    let mut running = Vec::new();
    while let QueueDecision::Run(key) = queue.offer(now, request(share(1)(1), 0)) {
        running.push(key);
    }
    let offered = [(share(2)(2), 0), (None, 1), (share(1)(1), 2)];
    let waiting =
        offered.map(|(organisation, rank)| match queue.offer(now, request(organisation, rank)) {
            QueueDecision::Wait(key) => key,
            other => panic!("not queued: {other:?}"),
        });
    let mut started = Vec::new();
    for key in running.into_iter().take(4) {
        queue.release(now, key, WorkOutcome::Aborted);
        for result in queue.poll(now) {
            let WaitResult::Run(key, _) = result else { panic!("refused") };
            started.push(key);
        }
    }
    // The first one is the request that found all slots in use.
    assert_eq!(started[1..], [waiting[1], waiting[2], waiting[0]]);
}

/// Returns an overload with requests of three kinds and route ranks, the last kind short.
fn mixed_arrivals() -> Vec<Arrival> {
    let until = Duration::from_secs(10);
    let of_kind = |kind: u8| {
        let (scale, load) = if kind == 2 { (0.3, 0.8) } else { (1.0, 0.6) };
        arrivals(7, kind.into(), load * USED_SLOTS / scale, Duration::ZERO, until).into_iter().map(
            move |arrival| Arrival {
                kind,
                service_time: arrival.service_time.mul_f64(scale),
                ..arrival
            },
        )
    };
    (0..3).flat_map(of_kind).collect()
}

/// Returns the number of requests by end, and a digest of all ends in order.
fn summary(ends: &[(Arrival, End)]) -> ([usize; 3], u64) {
    let count = |end: End| ends.iter().filter(|(_, other)| *other == end).count();
    let mut hasher = Xxh3Default::new();
    for (arrival, end) in ends {
        hasher.update(&arrival.at.as_nanos().to_le_bytes());
        hasher.update(&[arrival.kind, *end as u8]);
    }
    ([End::OnTime, End::Late, End::Refused].map(count), hasher.digest())
}

/// Guards against another order or decision where no request has an organisation. The figures are
/// those of the queue before it knew organisations.
#[test]
fn without_organisations_each_request_ends_as_before() {
    let ends = replay(&mut mixed_arrivals(), |_| None);
    assert_eq!(summary(&ends), ([1137, 15, 535], 9_387_683_929_421_822_196));
}

/// Guards against shares that change the order within one organisation.
#[test]
fn requests_of_one_organisation_are_ordered_as_without_organisations() {
    let without = replay(&mut mixed_arrivals(), |_| None);
    let of_one = replay(&mut mixed_arrivals(), |_| Some(OrganisationShare { id: 5, rank: 2 }));
    assert_eq!(summary(&of_one), summary(&without));
}
