//! A gate with outdated rules claims requests that must not repeat by the rules of their entry.

use http::Method;
use yuccarack_config::{headers, rules::ServiceRules};
use yuccarack_standins::{
    client::{Question, Told},
    fleet::{Fleet, FleetPlan, route, rules_file, service_rules, until},
    proxy::ProxyFaults,
};

const SERVICE: &str = "refills";
const ORDERS: usize = 20;

fn rules(is_order_repeatable: bool) -> ServiceRules {
    ServiceRules {
        routes: vec![route("once", "/once", is_order_repeatable), route("read", "/", true)],
        ..service_rules(SERVICE)
    }
}

/// Guards against a second run at a gate with outdated rules. Operators apply rules by which orders
/// must not repeat any more, while one daemon can reach neither the store nor a peer. Orders are
/// sent twice through a daemon with the new rules, and the resends reach the outdated gate.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_gate_with_outdated_rules_runs_no_order_twice() {
    let plan = FleetPlan::new(env!("CARGO_BIN_EXE_yuccarackd"), 52).with_service(SERVICE, 3);
    let fleet = Fleet::serving_with(plan, vec![rules(true)]).await;
    let old_revision =
        fleet.rules_revision(&fleet.nodes[0], SERVICE).await.expect("rules are in force");
    let unreachable = ProxyFaults { black_hole: true, ..Default::default() };
    for node in &fleet.nodes {
        node.links.control.set_faults(unreachable.clone());
    }
    fleet.nodes[2].links.platform.set_faults(unreachable);
    let applied =
        fleet.operator.apply("second", &rules_file(old_revision, vec![rules(false)])).await;
    let applied = applied.expect("the operators' program can be run");
    assert_eq!(applied.code, 0, "not accepted: {} {}", applied.told, applied.complaint);
    until("the first daemon has the new rules", || async {
        fleet.rules_revision(&fleet.nodes[0], SERVICE).await > Some(old_revision)
    })
    .await;
    assert_eq!(fleet.rules_revision(&fleet.nodes[2], SERVICE).await, Some(old_revision));
    for number in 0..ORDERS {
        send_order(&fleet, number).await;
    }
    // The gates with the new rules accept no more requests, so the resends go to the outdated one.
    fleet.nodes[0].target.drain();
    fleet.nodes[1].target.drain();
    for number in 0..ORDERS {
        let response = send_order(&fleet, number).await;
        println!(
            "{:?} {} {}",
            response.status,
            response.header(headers::REASON),
            response.header(headers::INSTANCE)
        );
        let runs = fleet.ledger.runs_of_key(&order_key(number));
        assert!(runs.len() <= 1, "order {number} ran {} times: {runs:?}", runs.len());
    }
    let outdated_gate_counters = fleet.counters(&fleet.nodes[2]).await;
    assert!(
        outdated_gate_counters.contains_key("claims.store_away"),
        "no resend reached the outdated gate: {outdated_gate_counters:?}"
    );
    fleet.stop().await;
}

async fn send_order(fleet: &Fleet, number: usize) -> Told {
    let request = Question::new(Method::POST, "/once")
        .with_header(headers::IDEMPOTENCY_KEY, order_key(number))
        .with_body(format!("order {number}"));
    let response = fleet.call(fleet.nodes[0].call_address(), SERVICE, request).await;
    response.expect("each order gets a response")
}

fn order_key(number: usize) -> String {
    format!("order-{number}")
}
