//! A route's requests are dealt out by weight.

use quickcheck::quickcheck;
use rand::{SeedableRng, rngs::SmallRng};
use yuccarack_policy::split::WeightedRoundRobin;

/// Requests that each part takes of `requests` over `entries` entries.
fn dealt(weights: &[u32], entries: u64, requests: usize) -> Vec<usize> {
    let mut counts = vec![0; weights.len()];
    for entry in 0..entries {
        let mut split =
            WeightedRoundRobin::new(weights.to_vec(), &mut SmallRng::seed_from_u64(entry));
        for _ in 0..requests {
            if let Some(part) = split.next_part() {
                counts[part] += 1;
            }
        }
    }
    counts
}

/// Story: a split of 90 to 10 is dealt out by a dozen daemons that see some twenty requests each.
/// Drawn at random, the small part would be off by several in a hundred in one of twenty spans.
#[test]
fn a_few_requests_at_many_entries_keep_to_the_weights() {
    let counts = dealt(&[90, 10], 12, 20);
    let share = counts[1] as f64 / 240.0;
    assert!((share - 0.1).abs() < 0.05, "the small part got {share}");
}

#[test]
fn a_part_without_weight_gets_nothing() {
    assert_eq!(dealt(&[0, 3, 0], 3, 50), [0, 150, 0]);
    assert_eq!(
        WeightedRoundRobin::new(vec![0, 0], &mut SmallRng::seed_from_u64(1)).next_part(),
        None
    );
}

quickcheck! {
    fn each_part_is_off_by_less_than_two_rounds(a: u8, b: u8, c: u8) -> bool {
        let weights = [u32::from(a), u32::from(b), u32::from(c)];
        let total: u32 = weights.iter().sum();
        if total == 0 {
            return true;
        }
        let counts = dealt(&weights, 1, 300);
        weights.iter().zip(counts).all(|(&weight, count)| {
            let due = 300.0 * f64::from(weight) / f64::from(total);
            (count as f64 - due).abs() <= 3.0
        })
    }
}
