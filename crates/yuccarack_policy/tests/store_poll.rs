//! Tests the interval at which daemons poll the table.

use std::time::{Duration, Instant};

use rand::{SeedableRng, rngs::SmallRng};
use yuccarack_policy::store_poll;

/// Returns the times of all polls by the members of a service within ten minutes.
fn polls(members: usize) -> Vec<Duration> {
    let mut rng = SmallRng::seed_from_u64(11);
    let start = Instant::now();
    let end = start + Duration::from_secs(600);
    let mut polls = Vec::new();
    for _ in 0..members {
        let mut at = store_poll::next_poll(start, members, &mut rng);
        while at < end {
            polls.push(at - start);
            at = store_poll::next_poll(at, members, &mut rng);
        }
    }
    polls.sort();
    polls
}

/// A service grows from 3 targets to 100. The store must see about one poll a second either way.
#[test]
fn the_store_sees_the_same_rate_at_any_size() {
    for members in [1, 3, 6, 100] {
        let per_s = polls(members).len() as f64 / 600.0;
        assert!((0.8..=1.2).contains(&per_s), "{per_s} polls a second at {members} members");
    }
}

/// A rule is applied while the operator's tool can reach only the store, so no daemon is told of
/// it. Some member must poll within a few seconds, nearly always within three.
#[test]
fn a_change_is_found_within_seconds() {
    for members in [3, 6, 100] {
        let polls = polls(members);
        let gaps: Vec<_> = polls.windows(2).map(|pair| pair[1] - pair[0]).collect();
        let longest = gaps.iter().max().unwrap();
        assert!(*longest < Duration::from_secs(9), "{longest:?} at {members} members");
        // A change at a random time falls into a gap with a probability proportional to its length.
        let undetected: Duration =
            gaps.iter().map(|gap| gap.saturating_sub(Duration::from_secs(3))).sum();
        assert!(
            undetected < Duration::from_secs(36),
            "{undetected:?} of 600 s at {members} members"
        );
    }
}
