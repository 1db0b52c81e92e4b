//! Stories of looks at the table.

use std::time::{Duration, Instant};

use rand::{SeedableRng, rngs::SmallRng};
use yuccarack_policy::store_poll;

/// Looks of all members of a service within a minute.
fn looks(members: usize) -> Vec<Duration> {
    let mut rng = SmallRng::seed_from_u64(11);
    let start = Instant::now();
    let end = start + Duration::from_secs(600);
    let mut looks = Vec::new();
    for _ in 0..members {
        let mut at = store_poll::next_poll(start, members, &mut rng);
        while at < end {
            looks.push(at - start);
            at = store_poll::next_poll(at, members, &mut rng);
        }
    }
    looks.sort();
    looks
}

/// A service grows from 3 targets to 100. The store sees about one look a second either way.
#[test]
fn the_store_sees_the_same_rate_at_any_size() {
    for members in [1, 3, 6, 100] {
        let per_s = looks(members).len() as f64 / 600.0;
        assert!((0.8..=1.2).contains(&per_s), "{per_s} looks a second at {members} members");
    }
}

/// News reaches no daemon by itself: a rule was applied while the operator's tool could reach
/// only the store. Some member looks within a few seconds, nearly always within three.
#[test]
fn a_change_is_found_within_seconds() {
    for members in [3, 6, 100] {
        let looks = looks(members);
        let gaps: Vec<_> = looks.windows(2).map(|pair| pair[1] - pair[0]).collect();
        let longest = gaps.iter().max().unwrap();
        assert!(*longest < Duration::from_secs(9), "{longest:?} at {members} members");
        // A change at a random time falls into a gap in proportion to the gap's length.
        let blind: Duration =
            gaps.iter().map(|gap| gap.saturating_sub(Duration::from_secs(3))).sum();
        assert!(blind < Duration::from_secs(36), "{blind:?} of 600 s at {members} members");
    }
}
