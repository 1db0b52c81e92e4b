//! What targets announce, in the headers that gates and entries exchange.

use std::time::Duration;

use quickcheck::quickcheck;
use yuccarack_config::announcement::RequestRate;
use yuccarack_policy::placement::GateLoad;
use yuccarackd::protocol::{
    gate_status::GateStatus, hop::Hop, target_announcement::TargetAnnouncement,
};

const HOP: &str = "00000000000000000000000000000007;board;a;900;300;1;1;0;7;10.0.0.1:80";

fn status(announcement: Option<TargetAnnouncement>, admits_in_us: u32) -> GateStatus {
    let load = GateLoad {
        running: 1,
        waiting: 2,
        limit: 7,
        mean_service_time: Duration::from_micros(1_500),
        slowdown: 1.25,
        rate_limit: announcement.and_then(|announcement| announcement.rate_limit),
        admits_in: Duration::from_micros(admits_in_us.into()),
    };
    GateStatus { load, routing_version: 9, announcement }
}

quickcheck! {
    fn announcements_are_read_as_written(
        incarnation: u64, per_1000_s: Option<u32>, is_leaving: bool, admits_in_us: u32
    ) -> bool {
        let rate_limit = per_1000_s.map(RequestRate::new);
        let announcement = TargetAnnouncement { incarnation, rate_limit, is_leaving };
        let status = status(Some(announcement), admits_in_us);
        let hop = Hop { announcement: Some(announcement), ..HOP.parse().expect("a hop") };
        status.to_string().parse() == Ok(status) && hop.to_string().parse() == Ok(hop)
    }
}

/// Guards against a status of an earlier version of the daemon that is refused as malformed.
#[test]
fn a_status_without_an_announcement_has_the_form_of_earlier_versions() {
    let status = status(None, 0);
    assert_eq!(status.to_string(), "1,2,7,1500,125,9");
    assert_eq!("1,2,7,1500,125,9".parse(), Ok(status));
}

#[test]
fn malformed_announcements_are_rejected() {
    for text in ["", "1", "1:2", "1:x:0", "1:2:2", "x:-:1", "-1:-:0"] {
        assert!(text.parse::<TargetAnnouncement>().is_err(), "{text:?}");
    }
}
