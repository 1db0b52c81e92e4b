//! Compatibility with messages of newer daemons, which may contain unknown fields.

use serde_json::{Value, json};
use yuccarack_config::routing::RoutingTable;
use yuccarackd::protocol::{
    hop::Hop,
    peer_update::{PeerUpdate, RoutedMember},
};

fn member() -> Value {
    json!({
        "instance": "n1", "failure_domain": "a", "gate_address": "10.0.0.1:80",
        "service": "board",
    })
}

fn table() -> Value {
    json!({
        "version": 7, "services": [], "caller_limits": {}, "routes": [{
            "name": "r", "host": "h", "path_prefix": "/", "is_repeatable": true,
            "split": [{"service": "board", "weight": 1}], "wait_max_ms": 900, "on_time_ms": 300,
            "targets_max": 2, "rank": 1,
        }],
    })
}

/// Guards against a rolling update in which the newer daemons add a field to their rows and
/// updates. The older daemons rejected both, so that each half of the deployment served without the
/// other.
#[test]
fn unknown_fields_of_newer_daemons_are_ignored() {
    let mut newer = member();
    newer["mood"] = json!({"is": "calm"});
    let parsed: RoutedMember = serde_json::from_value(newer.clone()).expect("a member");
    assert_eq!(parsed, serde_json::from_value(member()).expect("a member"));
    let mut routing = table();
    routing["routes"][0]["mood"] = json!(1);
    routing["mood"] = json!([]);
    let update = json!({
        "routing_version": 7, "routing": routing, "is_whole": false, "mood": null,
        "members": [{"instance": "n1", "revision": 3, "member": newer, "mood": 1}],
        "known": {"routing": 3, "members": 3, "moods": 3},
    });
    let update: PeerUpdate = serde_json::from_value(update).expect("news");
    let known: RoutingTable = serde_json::from_value(table()).expect("a table");
    assert_eq!(update.routing, Some(known));
    assert_eq!(update.members.len(), 1);
}

/// Guards against the same failure with the hop header, where requests would be refused as
/// malformed.
#[test]
fn unknown_fields_of_a_hop_header_are_ignored() {
    let text = "00000000000000000000000000000007;board;a;900;300;1;1;0;7;10.0.0.1:80";
    let known: Hop = text.parse().expect("a hop");
    let newer: Hop = format!("{text};calm;9").parse().expect("a newer hop");
    assert_eq!(newer.to_string(), known.to_string());
    assert!(text.replace(";1;1;0;", ";1;2;0;").parse::<Hop>().is_err());
}
