//! Tests which daemons poll the store, in failure domains of up to 104 daemons.

use std::{collections::HashMap, time::Duration};

use yuccarack_policy::relays::{RelayRole, relay_role, store_poll_interval};

fn domain(size: usize) -> Vec<String> {
    (0..size).map(|number| format!("sidecar-sapporo-{number}")).collect()
}

fn role_in(own: &str, domain: &[String]) -> RelayRole {
    relay_role(own, domain.iter().map(String::as_str))
}

fn relays_in(domain: &[String]) -> Vec<&String> {
    domain.iter().filter(|own| role_in(own, domain) == RelayRole::Relay).collect()
}

/// All daemons of a failure domain restart together and each follows each row. With 104 of them the
/// store would answer 104 times as many requests as one daemon needs.
#[test]
fn a_tenth_of_a_large_domain_are_relays_and_at_least_two() {
    for (size, relays) in [(1, 1), (2, 2), (4, 2), (18, 2), (26, 3), (104, 10)] {
        assert_eq!(relays_in(&domain(size)).len(), relays, "of {size} daemons");
    }
}

/// Guards against one relay that has most of the followers and spends its control traffic on them
/// while another one has none.
#[test]
fn relays_share_the_followers() {
    let domain = domain(104);
    let mut followers: HashMap<String, usize> = HashMap::new();
    for own in &domain {
        if let RelayRole::Follower(relays) = role_in(own, &domain) {
            *followers.entry(relays[0].clone()).or_default() += 1;
        }
    }
    let followers_max = followers.values().max().copied().unwrap_or_default();
    assert_eq!(followers.len(), 10, "{followers:?}");
    assert!(followers_max <= 18, "one relay has {followers_max} followers: {followers:?}");
}

/// A relay is replaced. Only its followers may move to another one; otherwise each replacement
/// would move the whole failure domain.
#[test]
fn a_lost_relay_moves_only_its_followers() {
    let before = domain(104);
    let lost = relays_in(&before)[0].clone();
    let after: Vec<String> = before.iter().filter(|member| **member != lost).cloned().collect();
    for own in &after {
        let (RelayRole::Follower(old), RelayRole::Follower(new)) =
            (role_in(own, &before), role_in(own, &after))
        else {
            continue;
        };
        // One more daemon becomes a relay in place of the lost one, and may be the first choice of
        // some.
        let is_new_relay = !old.contains(&new[0]);
        assert!(old[0] == new[0] || old[0] == lost || is_new_relay, "{own}: {old:?} to {new:?}");
    }
}

/// A daemon that is alone in its failure domain, or has one neighbour, must not wait for updates
/// that nobody polls the store for.
#[test]
fn daemons_of_small_domains_poll_the_store_themselves() {
    for size in 1..=2 {
        let domain = domain(size);
        assert_eq!(relays_in(&domain).len(), size);
    }
    assert_eq!(relay_role("alone", []), RelayRole::Relay);
}

/// Guards against polls that grow with the fleet while the store is unavailable.
#[test]
fn polls_of_an_unavailable_store_do_not_grow_with_the_domain() {
    let polls = |size: usize| {
        Duration::from_secs(8).div_duration_f64(store_poll_interval(size)) * size as f64
    };
    assert!(polls(4) <= 16.0, "{}", polls(4));
    for size in [12, 39, 104, 500] {
        assert!(polls(size) <= 16.5, "{} of {size} daemons", polls(size));
    }
    assert_eq!(store_poll_interval(2), Duration::from_secs(2));
}
