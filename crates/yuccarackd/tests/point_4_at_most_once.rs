//! A request that must not repeat runs at most once, and its outcome is never lost.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use tokio::time::{sleep_until, timeout};
use yuccarack_config::headers;
use yuccarack_platform::{
    messages::Rows,
    rows::{ClaimRow, ClaimState},
};
use yuccarack_standins::{
    client::Question,
    fleet::{Fleet, FleetPlan, found, until},
    load::Verdict,
    platform::{PlatformFaults, PlatformMode},
    proxy::ProxyFaults,
};

const SERVICE: &str = "repairs";

/// Timeout for a refusal while the store hangs; generous, but far below the deadline of 20 s.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(10);

fn plan(seed: u64) -> FleetPlan {
    FleetPlan::new(env!("CARGO_BIN_EXE_yuccarackd"), seed).with_service(SERVICE, 3)
}

/// Sends the order again, to each daemon in turn, until it succeeds; checks that it ran exactly
/// once.
async fn wait_for_single_run(fleet: &Fleet, key: &str, path: &str) {
    let mut turn = 0;
    until(&format!("{key} succeeds"), || {
        turn += 1;
        let address = fleet.nodes[turn % fleet.nodes.len()].call_address();
        async move {
            let verdict = fleet.once_to(address, SERVICE, key, path).await;
            if verdict != Verdict::Right {
                println!("{key} at {address}: {verdict:?}");
            }
            verdict == Verdict::Right
        }
    })
    .await;
    assert_eq!(fleet.ledger.runs_of_key(key).len(), 1, "runs of {key}");
}

fn find_claim(fleet: &Fleet, key: &str) -> Option<ClaimRow> {
    let rows: Rows = fleet.platform.with_table(|table| table.rows(&format!("claims/{SERVICE}/")));
    let found = rows.rows.into_iter().find(|row| row.key.ends_with(key))?;
    serde_json::from_value(found.value).ok()
}

async fn wait_until_claimed(fleet: &Fleet, key: &str) -> ClaimRow {
    found(&format!("{key} is claimed"), || async { find_claim(fleet, key) }).await.0
}

fn is_refused_with_outcome(verdict: &Verdict, expected: &str) -> bool {
    matches!(verdict, Verdict::Refused { outcome, .. } if outcome == expected)
}

/// Guards against an order that runs twice because its caller sends it to three daemons at the same
/// time. One of them runs it; the others report it as in progress or return its outcome.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_same_order_sent_to_three_daemons_runs_once() {
    let fleet = Fleet::serving(plan(41)).await;
    for number in 0..30 {
        let key = format!("same-{number}");
        let path = "/once?work_ms=20";
        let [a, b, c] = [0, 1, 2].map(|node| fleet.nodes[node].call_address());
        tokio::join!(
            fleet.once_to(a, SERVICE, &key, path),
            fleet.once_to(b, SERVICE, &key, path),
            fleet.once_to(c, SERVICE, &key, path),
        );
        wait_for_single_run(&fleet, &key, path).await;
    }
    fleet.stop().await;
}

/// Guards against a second run after a gate is killed while its target runs an order. The caller
/// gets `unknown` and sends the order again; every resend is refused as unknown, and the claim
/// stays open for the operator to see.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_gate_killed_during_a_run_leaves_one_run_and_an_open_claim() {
    let mut fleet = Fleet::serving(plan(42)).await;
    let (key, path) = ("killed-mid-run", "/once?work_ms=1500");
    let first = fleet.nodes[0].call_address();
    let send = fleet.once_to(first, SERVICE, key, path);
    let killed = async {
        let running = || async { fleet.ledger.runs_of_key(key).pop() };
        let (run, _) = found("the order runs", running).await;
        run.target
    };
    let victim = tokio::select! {
        verdict = send => panic!("early response: {verdict:?}"),
        victim = killed => victim,
    };
    fleet.node(&victim).kill_daemon();
    let others: Vec<_> = fleet.nodes.iter().filter(|node| node.daemon.is_some()).collect();
    for node in others.iter().cycle().take(6) {
        let verdict = fleet.once_to(node.call_address(), SERVICE, key, path).await;
        assert!(is_refused_with_outcome(&verdict, "unknown"), "{verdict:?}");
    }
    assert_eq!(fleet.ledger.runs_of_key(key).len(), 1);
    assert_eq!(find_claim(&fleet, key).map(|row| row.state), Some(ClaimState::Open));
    let show_result = fleet.operator.run(&["claim", "show", SERVICE, key]).await.unwrap();
    assert_eq!(show_result.code, 0, "{}", show_result.complaint);
    fleet.stop().await;
}

/// Guards against an order that is lost because its gate is killed between the claim and the
/// dispatch. The other gates can't know that nothing ran, so resends are refused as unknown. After
/// the operator has released the claim the order runs, once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_order_whose_gate_is_killed_after_the_claim_runs_after_its_release() {
    let mut fleet = Fleet::serving(plan(43)).await;
    let key = "killed-after-claim";
    // The claim takes effect at once and its response is delayed, which leaves time to kill the
    // gate.
    fleet.platform.set_faults(PlatformFaults { delay_ms: 400, ..Default::default() });
    let first = fleet.nodes[0].call_address();
    let row = tokio::select! {
        verdict = fleet.once(first, SERVICE, key) => panic!("early response: {verdict:?}"),
        row = wait_until_claimed(&fleet, key) => row,
    };
    fleet.node(&row.instance).kill_daemon();
    fleet.platform.set_faults(PlatformFaults::default());
    let other = fleet.nodes.iter().find(|node| node.daemon.is_some()).unwrap().call_address();
    until("the claim is reported as open", || async {
        is_refused_with_outcome(&fleet.once(other, SERVICE, key).await, "unknown")
    })
    .await;
    assert_eq!(fleet.ledger.runs_of_key(key).len(), 0);
    let release_result =
        fleet.operator.run(&["claim", "release", "--yes", SERVICE, key]).await.unwrap();
    assert_eq!(release_result.code, 0, "{}", release_result.complaint);
    let survivors = fleet.nodes.iter().filter(|node| node.daemon.is_some());
    let addresses: Vec<_> = survivors.map(|node| node.call_address()).collect();
    until("the order has run", || async {
        fleet.once(addresses[0], SERVICE, key).await == Verdict::Right
    })
    .await;
    assert_eq!(fleet.ledger.runs_of_key(key).len(), 1);
    fleet.stop().await;
}

/// Sends an order, freezes its gate just after the claim took effect, and waits until the order's
/// deadline has passed. Returns the name of the gate's node.
async fn freeze_gate_after_claim(fleet: &mut Fleet, first: SocketAddr, key: &str) -> String {
    fleet.platform.set_faults(PlatformFaults { delay_ms: 300, ..Default::default() });
    let request = Question::new(http::Method::POST, "/once")
        .with_header(headers::IDEMPOTENCY_KEY, key)
        .with_header(headers::DEADLINE_MS, 1_000)
        .with_body(format!("order {key}"));
    let claimed_at = Instant::now();
    let row = tokio::select! {
        response = fleet.call(first, SERVICE, request) => panic!("early response: {response:?}"),
        row = wait_until_claimed(fleet, key) => row,
    };
    fleet.node(&row.instance).daemon().freeze();
    fleet.platform.set_faults(PlatformFaults::default());
    sleep_until((claimed_at + Duration::from_millis(1_200)).into()).await;
    row.instance
}

/// Guards against a second run by a gate that is frozen just after its claim. The caller gives up
/// and sends the order again to other gates; later the frozen gate resumes with a granted claim and
/// must not run the order any more.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_gate_frozen_after_its_claim_adds_no_run() {
    let mut fleet = Fleet::serving(plan(44)).await;
    for round in 0..3 {
        let key = format!("frozen-{round}");
        let first = fleet.nodes[round].call_address();
        let frozen = freeze_gate_after_claim(&mut fleet, first, &key).await;
        for node in fleet.nodes.iter().filter(|node| node.name() != frozen) {
            let verdict = fleet.once(node.call_address(), SERVICE, &key).await;
            assert_ne!(verdict, Verdict::Right, "the order ran in spite of an open claim");
        }
        fleet.node(&frozen).daemon().wake();
        wait_for_single_run(&fleet, &key, "/once").await;
    }
    fleet.stop().await;
}

/// Guards against a second run by a frozen gate whose claim an operator has released. The order is
/// sent again and runs at another gate; then the frozen gate resumes, receives the response to its
/// claim and must detect that it is too late.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_gate_frozen_until_its_claim_is_released_adds_no_run() {
    let mut fleet = Fleet::serving(plan(49)).await;
    for round in 0..3 {
        let key = format!("released-{round}");
        let first = fleet.nodes[round].call_address();
        let frozen = freeze_gate_after_claim(&mut fleet, first, &key).await;
        let release_result =
            fleet.operator.run(&["claim", "release", "--yes", SERVICE, &key]).await;
        let release_result = release_result.unwrap();
        assert_eq!(release_result.code, 0, "{}", release_result.complaint);
        let running_nodes: Vec<_> =
            fleet.nodes.iter().filter(|node| node.name() != frozen).collect();
        until("the order has run elsewhere", || async {
            fleet.once(running_nodes[0].call_address(), SERVICE, &key).await == Verdict::Right
        })
        .await;
        fleet.node(&frozen).daemon().wake();
        let resumed_node = fleet.nodes.iter().find(|node| node.name() == frozen).unwrap();
        until("the resumed gate has given up its claim", || async {
            let counters = fleet.counters(resumed_node).await;
            let ends = ["claims.undelivered", "claims.upkeep_moot", "claims.readback"];
            ends.iter().any(|name| counters.contains_key(*name))
        })
        .await;
        wait_for_single_run(&fleet, &key, "/once").await;
    }
    fleet.stop().await;
}

/// Guards against lost orders and keys that stay claimed: the write of a claim takes effect, but
/// its response is lost. The gate has to find out, and the order runs once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_claim_whose_response_is_lost_runs_once() {
    let fleet = Fleet::serving(plan(45)).await;
    for number in 0..10 {
        let key = format!("lost-{number}");
        let lost_responses = 1 + number % 3;
        fleet
            .platform
            .set_faults(PlatformFaults { lose_answers: lost_responses, ..Default::default() });
        fleet.once(fleet.nodes[0].call_address(), SERVICE, &key).await;
        fleet.platform.set_faults(PlatformFaults::default());
        wait_for_single_run(&fleet, &key, "/once").await;
    }
    fleet.stop().await;
}

/// Guards against keys that stay claimed after a refusal: the store is so slow that writes take
/// effect long after the gates have given up and read nothing back. The orders are refused as not
/// run, and each runs once when it is sent again although its claim was applied late.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn claims_applied_after_their_refusal_neither_run_nor_remain() {
    let fleet = Fleet::serving(plan(46)).await;
    for number in 0..12 {
        wait_for_single_run(&fleet, &format!("before-{number}"), "/once").await;
    }
    // Otherwise the outcomes would share a transaction with the claims that are applied late.
    until("all outcomes are recorded", || async {
        let is_done = |number| {
            let row = find_claim(&fleet, &format!("before-{number}"));
            row.is_some_and(|row| row.state == ClaimState::Done)
        };
        (0..12).all(is_done)
    })
    .await;
    let slow = PlatformFaults { delay_ms: 6_000, late_effect: true, ..Default::default() };
    fleet.platform.set_faults(slow);
    let keys: Vec<_> = (0..3).map(|number| format!("late-{number}")).collect();
    for (node, key) in fleet.nodes.iter().zip(&keys) {
        let verdict = fleet.once(node.call_address(), SERVICE, key).await;
        assert!(is_refused_with_outcome(&verdict, "not_run"), "{verdict:?}");
        assert_eq!(fleet.ledger.runs_of_key(key).len(), 0);
    }
    fleet.platform.set_faults(PlatformFaults::default());
    until("all late writes are applied", || async { fleet.platform.commits_pending() == 0 }).await;
    for key in &keys {
        wait_for_single_run(&fleet, key, "/once").await;
    }
    fleet.stop().await;
}

/// Guards against orders that wait for an unavailable store: an order is refused at once as not
/// run, with a `Retry-After`, and runs once after the store is available again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_order_refused_while_the_store_is_down_runs_later() {
    let fleet = Fleet::serving(plan(47)).await;
    for number in 0..12 {
        // Each gate has written before, so that its next claim is sent before it notices the
        // outage.
        wait_for_single_run(&fleet, &format!("before-{number}"), "/once").await;
    }
    for mode in [PlatformMode::BlackHole, PlatformMode::Down, PlatformMode::BlackHole] {
        fleet.platform.set_faults(PlatformFaults { mode, ..Default::default() });
        let key = format!("down-{mode:?}-{}", fleet.ledger.runs().len());
        for node in &fleet.nodes {
            let request = Question::new(http::Method::POST, "/once")
                .with_header(headers::IDEMPOTENCY_KEY, &key)
                .with_header(headers::DEADLINE_MS, 20_000)
                .with_body(format!("order {key}"));
            // The refusal comes long before the deadline: a caller with time left must not wait for
            // the store.
            let call = fleet.call(node.call_address(), SERVICE, request);
            let response =
                timeout(REFUSAL_TIMEOUT, call).await.expect("no refusal in time").unwrap();
            assert_eq!(response.header(headers::OUTCOME), "not_run", "{response:?}");
            assert_eq!(response.header(headers::REASON), "store_away", "{response:?}");
            assert!(response.header("retry-after").parse::<u64>().is_ok(), "{response:?}");
        }
        assert_eq!(fleet.ledger.runs_of_key(&key).len(), 0);
        fleet.platform.set_faults(PlatformFaults::default());
        wait_for_single_run(&fleet, &key, "/once").await;
    }
    fleet.stop().await;
}

/// Guards against a second run after the link between entry and gate breaks past the dispatch. The
/// entry can't know whether the order ran and may retry it at another gate; the claim prevents a
/// second run, and a resend gets the recorded outcome.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_link_cut_after_the_dispatch_gives_one_run() {
    let fleet = Fleet::serving(plan(48)).await;
    for number in 0..12 {
        let key = format!("cut-{number}");
        let path = "/once?work_ms=200";
        let first = fleet.nodes[number % 3].call_address();
        let cut_links = async {
            let runs = || async { (!fleet.ledger.runs_of_key(&key).is_empty()).then_some(()) };
            found("the order runs", runs).await;
            for node in &fleet.nodes {
                node.links.gate.cut_now();
            }
        };
        tokio::join!(fleet.once_to(first, SERVICE, &key, path), cut_links);
        wait_for_single_run(&fleet, &key, path).await;
    }
    for node in &fleet.nodes {
        node.links.gate.set_faults(ProxyFaults { swallow_answer: true, ..Default::default() });
    }
    fleet.once(fleet.nodes[0].call_address(), SERVICE, "swallowed").await;
    for node in &fleet.nodes {
        node.links.gate.set_faults(ProxyFaults::default());
    }
    wait_for_single_run(&fleet, "swallowed", "/once").await;
    fleet.stop().await;
}
