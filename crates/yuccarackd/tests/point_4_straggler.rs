//! An order whose target responds after the deadline runs once, and its outcome is recorded.

use std::time::Duration;

use yuccarack_config::headers;
use yuccarack_standins::{
    client::Question,
    fleet::{Fleet, FleetPlan, until},
    load::Verdict,
    proxy::ProxyFaults,
};

const SERVICE: &str = "refills";
const DEADLINE_MS: u32 = 600;
/// Delay of each piece between gate and target, by which the response arrives after the deadline.
const LINK_DELAY_MS: u64 = 900;

/// Guards against an order that stays unknown because its response comes after the deadline. The
/// caller gets `unknown` and sends the order again; it must not run twice, and the resend gets the
/// outcome of the first run without an operator's help.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_resend_gets_the_outcome_of_a_late_run() {
    let plan = FleetPlan::new(env!("CARGO_BIN_EXE_yuccarackd"), 51).with_service(SERVICE, 3);
    let fleet = Fleet::serving(plan).await;
    for node in &fleet.nodes {
        let slow = ProxyFaults { delay_ms: LINK_DELAY_MS, ..Default::default() };
        node.links.target.set_faults(slow);
    }
    let (key, path) = ("straggler", "/once");
    let request = Question::new(http::Method::POST, path)
        .with_header(headers::IDEMPOTENCY_KEY, key)
        .with_header(headers::DEADLINE_MS, DEADLINE_MS)
        .with_body(format!("order {key}"));
    let response = fleet.call(fleet.nodes[0].call_address(), SERVICE, request).await.unwrap();
    assert_eq!(response.header(headers::OUTCOME), "unknown", "{response:?}");
    assert_eq!(response.header(headers::REASON), "deadline_passed", "{response:?}");
    for node in &fleet.nodes {
        node.links.target.set_faults(ProxyFaults::default());
    }
    let mut turn = 0;
    until("the resend gets the outcome", || {
        turn += 1;
        let address = fleet.nodes[turn % fleet.nodes.len()].call_address();
        let call = fleet.once_to(address, SERVICE, key, path);
        async {
            let verdict = call.await;
            tokio::time::sleep(Duration::from_millis(50)).await;
            verdict == Verdict::Right
        }
    })
    .await;
    assert_eq!(fleet.ledger.runs_of_key(key).len(), 1);
    fleet.stop().await;
}
