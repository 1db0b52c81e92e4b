//! What daemons of a newer version say is understood as far as it is known.

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

/// Story: the daemons of a deployment are replaced one after the other. The newer ones write a field
/// more into their rows and news; those that aren't replaced yet kept both out, so that each half of
/// the deployment served without the other.
#[test]
fn fields_of_newer_daemons_are_passed_over() {
    let mut newer = member();
    newer["mood"] = json!({"is": "calm"});
    let read: RoutedMember = serde_json::from_value(newer.clone()).expect("a member");
    assert_eq!(read, serde_json::from_value(member()).expect("a member"));
    let mut routing = table();
    routing["routes"][0]["mood"] = json!(1);
    routing["mood"] = json!([]);
    let news = json!({
        "routing_version": 7, "routing": routing, "is_whole": false, "mood": null,
        "members": [{"instance": "n1", "revision": 3, "member": newer, "mood": 1}],
        "known": {"routing": 3, "members": 3, "moods": 3},
    });
    let news: PeerUpdate = serde_json::from_value(news).expect("news");
    let known: RoutingTable = serde_json::from_value(table()).expect("a table");
    assert_eq!(news.routing, Some(known));
    assert_eq!(news.members.len(), 1);
}

/// Story: the same with the word that goes with each hop; the request would be refused as malformed.
#[test]
fn a_hop_may_say_more_than_is_known() {
    let text = "00000000000000000000000000000007;board;a;900;300;1;1;0;7;10.0.0.1:80";
    let known: Hop = text.parse().expect("a hop");
    let newer: Hop = format!("{text};calm;9").parse().expect("a newer hop");
    assert_eq!(newer.to_string(), known.to_string());
    assert!(text.replace(";1;1;0;", ";1;2;0;").parse::<Hop>().is_err());
}
