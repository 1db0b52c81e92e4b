//! Tests of organisations and capacities in the headers that gates and entries exchange.

use std::time::Duration;

use quickcheck::quickcheck;
use yuccarack_config::announcement::RequestRate;
use yuccarackd::protocol::{
    gate_capacity::GateCapacity,
    hop::{Hop, HopOrganisation},
    target_announcement::TargetAnnouncement,
};

/// A hop header without announcement and organisation, as daemons write it that know neither.
const HOP: &str = "00000000000000000000000000000007;board;a;900;300;1;1;0;7;10.0.0.1:80";

fn hop() -> Hop {
    HOP.parse().expect("a hop")
}

/// Returns the fields of an announcement, as all versions of the daemon write it.
fn announcement_text() -> String {
    let announcement = TargetAnnouncement {
        incarnation: 3,
        rate_limit: Some(RequestRate::new(9)),
        is_leaving: true,
    };
    announcement.to_string()
}

quickcheck! {
    fn organisations_are_read_as_written(
        rank: u8, id: u64, incarnation: Option<u64>, has_organisation: bool
    ) -> bool {
        let announcement = incarnation.map(|incarnation| {
            TargetAnnouncement { incarnation, rate_limit: None, is_leaving: false }
        });
        let organisation = has_organisation.then_some(HopOrganisation { rank, id });
        let hop = Hop { announcement, organisation, ..hop() };
        hop.to_string().parse() == Ok(hop)
    }

    fn capacities_are_read_as_written(
        backlog_ms: Option<u32>,
        link_kbit_per_s: Option<u32>
    ) -> bool {
        let link_backlog = backlog_ms.map(|ms| Duration::from_millis(ms.into()));
        let capacity =
            GateCapacity { link_backlog, link_kbit_per_s };
        capacity.to_string().parse() == Ok(capacity)
    }
}

/// Guards against further bytes in the header of deployments without organisations.
#[test]
fn a_hop_without_organisation_has_the_form_of_earlier_versions() {
    assert_eq!(hop().to_string(), HOP);
    assert_eq!(hop().organisation, None);
    let with_announcement = format!("{HOP};{}", announcement_text());
    let hop: Hop = with_announcement.parse().expect("a hop");
    assert_eq!(hop.to_string(), with_announcement);
    assert_eq!(hop.organisation, None);
    assert!(hop.announcement.is_some());
}

/// Guards against daemons of two versions that read each other's fields in other positions: the
/// organisation follows the announcement, which stays empty if there is none.
#[test]
fn the_organisation_follows_the_announcement() {
    let organisation = Some(HopOrganisation { rank: 2, id: 0xabc });
    let without = Hop { organisation, ..hop() };
    assert_eq!(without.to_string(), format!("{HOP};;2;abc"));
    let text = format!("{HOP};{};2;abc", announcement_text());
    let with: Hop = text.parse().expect("a hop");
    assert_eq!((with.organisation, with.announcement.is_some()), (organisation, true));
    assert_eq!(with.to_string(), text);
}

/// Guards against requests that are refused because a newer daemon appends further fields.
#[test]
fn further_fields_are_ignored() {
    let hop: Hop = format!("{HOP};;2;abc;new;9").parse().expect("a hop");
    assert_eq!(hop.organisation, Some(HopOrganisation { rank: 2, id: 0xabc }));
}

/// Guards against requests that run without their organisation because its fields are malformed.
#[test]
fn malformed_organisations_are_rejected() {
    for fields in [";;x;abc", ";;256;abc", ";;2;xyz", ";;2;", ";;;abc", ";;2;10000000000000000"] {
        assert!(format!("{HOP}{fields}").parse::<Hop>().is_err(), "{fields}");
    }
}

/// Guards against a capacity header in deployments that don't use it.
#[test]
fn an_empty_capacity_has_no_text() {
    assert!(GateCapacity::default().is_empty());
    assert_eq!(GateCapacity::default().to_string(), "");
    assert_eq!("".parse(), Ok(GateCapacity::default()));
}

#[test]
fn fields_of_a_newer_capacity_are_ignored() {
    let expected =
        GateCapacity { link_backlog: Some(Duration::from_millis(40)), link_kbit_per_s: None };
    assert_eq!("new=x;calls=70;other;link_ms=40;".parse(), Ok(expected));
    for malformed in ["link_ms=soon;", "link_ms=-1;", "link_kbit=-1;", "link_kbit=;"] {
        assert!(malformed.parse::<GateCapacity>().is_err(), "{malformed}");
    }
}
