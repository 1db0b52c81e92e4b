//! Headers between daemons: they are read as written, and any text is either rejected or has one
//! meaning.

use std::{
    fmt::{Debug, Display},
    net::SocketAddr,
    str::FromStr,
    time::Duration,
};

use quickcheck::{Arbitrary, Gen, QuickCheck, Testable};
use yuccarack_config::announcement::RequestRate;
use yuccarack_policy::placement::GateLoad;
use yuccarackd::protocol::{
    gate_capacity::GateCapacity,
    gate_status::GateStatus,
    hop::{Hop, HopOrganisation},
    target_announcement::TargetAnnouncement,
};

/// Number of cases of each property; a case takes some microseconds.
const CASES: u64 = 20_000;

/// Characters of damaged headers: those with a meaning in one of them, and some others.
const CHARACTERS: &[char] =
    &['0', '1', '9', 'a', 'f', ';', ',', ':', '=', '-', '+', '.', '[', ']', '%', ' ', 'é', '\0'];

#[derive(Clone, Debug)]
struct AnyHop(Hop);

#[derive(Clone, Debug)]
struct AnyStatus(GateStatus);

#[derive(Clone, Debug)]
struct AnyCapacity(GateCapacity);

/// Changes of single characters: the position, and the new character, or none to cut there.
#[derive(Clone, Debug)]
struct Damage(Vec<(usize, Option<char>)>);

fn any_announcement(g: &mut Gen) -> Option<TargetAnnouncement> {
    let (incarnation, rate_limit) = (u64::arbitrary(g), Option::<u32>::arbitrary(g));
    let rate_limit = rate_limit.map(RequestRate::new);
    let announced = TargetAnnouncement { incarnation, rate_limit, is_leaving: bool::arbitrary(g) };
    bool::arbitrary(g).then_some(announced)
}

impl Arbitrary for AnyHop {
    fn arbitrary(g: &mut Gen) -> Self {
        let organisation = HopOrganisation { rank: u8::arbitrary(g), id: u64::arbitrary(g) };
        Self(Hop {
            attempt: u128::arbitrary(g),
            service: format!("service-{}", u8::arbitrary(g)),
            route_hash: u64::arbitrary(g),
            left_ms: u32::arbitrary(g),
            soft_deadline_left_ms: u32::arbitrary(g),
            rank: u8::arbitrary(g),
            is_repeatable: bool::arbitrary(g),
            may_wait: bool::arbitrary(g),
            routing_version: u64::arbitrary(g),
            sender: SocketAddr::arbitrary(g),
            announcement: any_announcement(g),
            organisation: bool::arbitrary(g).then_some(organisation),
        })
    }
}

impl Arbitrary for AnyStatus {
    fn arbitrary(g: &mut Gen) -> Self {
        let announcement = any_announcement(g);
        // Only a status with an announcement says when the gate admits the next request.
        let admits_in_us = if announcement.is_some() { u32::arbitrary(g) } else { 0 };
        let load = GateLoad {
            running: u16::arbitrary(g),
            waiting: u16::arbitrary(g),
            limit: u16::arbitrary(g),
            mean_service_time: Duration::from_micros(u64::arbitrary(g)),
            slowdown: f64::from(u32::arbitrary(g)) / 100.0,
            rate_limit: announcement.and_then(|announced| announced.rate_limit),
            admits_in: Duration::from_micros(admits_in_us.into()),
        };
        Self(GateStatus { load, routing_version: u64::arbitrary(g), announcement })
    }
}

impl Arbitrary for AnyCapacity {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(GateCapacity {
            link_kbit_per_s: Option::arbitrary(g),
            link_backlog: Option::arbitrary(g).map(Duration::from_millis),
        })
    }
}

impl Arbitrary for Damage {
    fn arbitrary(g: &mut Gen) -> Self {
        let change = |g: &mut Gen| (usize::arbitrary(g), any_replacement(g));
        Self((0..usize::arbitrary(g) % 4).map(|_| change(g)).collect())
    }
}

fn any_replacement(g: &mut Gen) -> Option<char> {
    (u8::arbitrary(g) % 8 != 0).then(|| *g.choose(CHARACTERS).expect("a character"))
}

impl Damage {
    fn apply(&self, text: &str) -> String {
        let mut characters: Vec<char> = text.chars().collect();
        for (position, replacement) in &self.0 {
            let at = position % (characters.len() + 1);
            match replacement {
                Some(character) if at < characters.len() => characters[at] = *character,
                Some(character) => characters.push(*character),
                None => characters.truncate(at),
            }
        }
        characters.into_iter().collect()
    }
}

/// Checks that `value` is read as it is written; the message of a failure has the header.
fn check_round_trip<T: Debug + Display + FromStr + PartialEq>(value: &T) {
    let text = value.to_string();
    assert_eq!(text.parse().ok().as_ref(), Some(value), "{text:?}");
}

/// Checks that `text` is rejected, or has the same meaning when it is written again.
fn check_one_meaning<T: Debug + Display + FromStr + PartialEq>(text: &str) {
    if let Ok(read) = text.parse::<T>() {
        assert_eq!(read.to_string().parse().ok(), Some(read), "{text:?}");
    }
}

fn check<P: Testable>(property: P) {
    QuickCheck::new().tests(CASES).quickcheck(property);
}

/// Guards against a field that a gate reads in the place of another one.
#[test]
fn headers_are_read_as_written() {
    check((|hop| check_round_trip(&hop.0)) as fn(AnyHop));
    check((|status| check_round_trip(&status.0)) as fn(AnyStatus));
    check((|capacity| check_round_trip(&capacity.0)) as fn(AnyCapacity));
}

/// Guards against a decoder that panics on a damaged header, or takes it for something that can't be
/// written.
#[test]
fn damaged_headers_are_rejected_or_have_one_meaning() {
    check(
        (|hop, damage| check_one_meaning::<Hop>(&damage.apply(&hop.0.to_string())))
            as fn(AnyHop, Damage),
    );
    check(
        (|status, damage| check_one_meaning::<GateStatus>(&damage.apply(&status.0.to_string())))
            as fn(AnyStatus, Damage),
    );
    check(
        (|capacity, damage| {
            check_one_meaning::<GateCapacity>(&damage.apply(&capacity.0.to_string()));
        }) as fn(AnyCapacity, Damage),
    );
}

/// Guards against a decoder that panics on a text that no daemon writes.
#[test]
fn any_text_is_rejected_or_has_one_meaning() {
    check((|text| check_one_meaning::<Hop>(&text)) as fn(String));
    check((|text| check_one_meaning::<GateStatus>(&text)) as fn(String));
    check((|text| check_one_meaning::<GateCapacity>(&text)) as fn(String));
}

/// Guards against a header of a later version that is rejected for its further fields.
#[test]
fn further_fields_are_ignored() {
    check(
        (|hop| {
            let hop = with_all_fields(&hop.0);
            assert_eq!(format!("{hop};x;y").parse(), Ok(hop));
        }) as fn(AnyHop),
    );
    check(
        (|capacity| assert_eq!(format!("later=1.5;{}", capacity.0).parse(), Ok(capacity.0)))
            as fn(AnyCapacity),
    );
}

/// Returns the hop with an organisation, as later fields come after it.
fn with_all_fields(hop: &Hop) -> Hop {
    let organisation = hop.organisation.unwrap_or(HopOrganisation { rank: 3, id: 4 });
    Hop { organisation: Some(organisation), ..hop.clone() }
}
