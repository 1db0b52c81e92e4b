//! Which daemons ask the store, at today's sizes and at 104 daemons in a failure domain.

use std::{collections::HashMap, time::Duration};

use yuccarack_policy::relays::{RelayRole, relay_role, store_poll_interval};

fn domain(size: usize) -> Vec<String> {
    (0..size).map(|number| format!("sidecar-sapporo-{number}")).collect()
}

fn standing_in(own: &str, domain: &[String]) -> RelayRole {
    relay_role(own, domain.iter().map(String::as_str))
}

fn asking(domain: &[String]) -> Vec<&String> {
    domain.iter().filter(|own| standing_in(own, domain) == RelayRole::Relay).collect()
}

/// Story: all daemons of a failure domain restart together and each follows each row. With 104 of
/// them the store would answer 104 times as many questions as one needs.
#[test]
fn a_tenth_of_a_large_domain_asks_and_never_less_than_two() {
    for (size, relays) in [(1, 1), (2, 2), (4, 2), (18, 2), (26, 3), (104, 10)] {
        assert_eq!(asking(&domain(size)).len(), relays, "of {size} daemons");
    }
}

/// Story: one relay gets most of the daemons to tell and spends its bytes of control on them, while
/// another one has none.
#[test]
fn relays_share_those_that_are_told() {
    let domain = domain(104);
    let mut told: HashMap<String, usize> = HashMap::new();
    for own in &domain {
        if let RelayRole::Follower(relays) = standing_in(own, &domain) {
            *told.entry(relays[0].clone()).or_default() += 1;
        }
    }
    let most = told.values().max().copied().unwrap_or_default();
    assert_eq!(told.len(), 10, "{told:?}");
    assert!(most <= 18, "one relay tells {most}: {told:?}");
}

/// Story: a relay is replaced. Only those that it told look for another one; everybody else keeps
/// theirs, else each replacement would move the whole domain.
#[test]
fn a_lost_relay_moves_only_those_that_it_told() {
    let before = domain(104);
    let lost = asking(&before)[0].clone();
    let after: Vec<String> = before.iter().filter(|member| **member != lost).cloned().collect();
    for own in &after {
        let (RelayRole::Follower(old), RelayRole::Follower(new)) =
            (standing_in(own, &before), standing_in(own, &after))
        else {
            continue;
        };
        // One daemon more asks in place of the lost one, and may be some daemons' first choice.
        let taken_over = !old.contains(&new[0]);
        assert!(old[0] == new[0] || old[0] == lost || taken_over, "{own}: {old:?} to {new:?}");
    }
}

/// Story: a daemon that is alone in its domain, or has one neighbour, must not wait for news that
/// nobody asks the store for.
#[test]
fn small_domains_ask_the_store_themselves() {
    for size in 1..=2 {
        let domain = domain(size);
        assert_eq!(asking(&domain).len(), size);
    }
    assert_eq!(relay_role("alone", []), RelayRole::Relay);
}

/// Guards against questions to a store that is away which grow with the fleet.
#[test]
fn looks_at_a_store_that_is_away_do_not_grow_with_the_domain() {
    let questions = |size: usize| {
        Duration::from_secs(8).div_duration_f64(store_poll_interval(size)) * size as f64
    };
    assert!(questions(4) <= 16.0, "{}", questions(4));
    for size in [12, 39, 104, 500] {
        assert!(questions(size) <= 16.5, "{} of {size} daemons", questions(size));
    }
    assert_eq!(store_poll_interval(2), Duration::from_secs(2));
}
