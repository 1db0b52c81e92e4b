//! Reads aren't slower and orders don't wait during a long outage of the store, under load.

use std::time::Duration;

use http::Method;
use yuccarack_config::headers;
use yuccarack_standins::{
    client::ClientRequest,
    fleet::{DOMAINS, Fleet, FleetPlan, StressLoad, check_stress_calls, wait_until},
    load::{LoadPlan, LoadReport, RequestSpec, run_load},
    platform::{PlatformFaults, PlatformMode},
};

const SERVICE: &str = "conditions";

/// Length of each measured load, in ms, and its reads per second.
const LOAD_MS: u64 = 6_000;
const READS_PER_S: u32 = 100;

/// Tolerance between the p99 of two fleets that run side by side: a factor, and an addition in µs.
const NOISE_TIMES: u64 = 2;
const NOISE_US: u64 = 20_000;

/// Orders sent to each daemon during an outage.
const ORDERS: usize = 6;

fn plan(seed: u64) -> FleetPlan {
    FleetPlan::new(env!("CARGO_BIN_EXE_yuccarackd"), seed).with_service(SERVICE, 6)
}

fn set(fleet: &Fleet, mode: PlatformMode) {
    fleet.platform.set_faults(PlatformFaults { mode, ..Default::default() });
}

/// Sends reads to all running daemons.
async fn reads(fleet: &Fleet, seed: u64) -> LoadReport {
    let running = fleet.nodes.iter().filter(|node| node.daemon.is_some());
    let mix = RequestSpec {
        service: SERVICE.to_owned(),
        method: Method::GET,
        path: "/read".to_owned(),
        body_bytes: 0,
        response_bytes: 500,
        has_idempotency_key: false,
    };
    let plan = LoadPlan {
        addresses: running.map(|node| node.call_address()).collect(),
        per_second: READS_PER_S,
        duration_ms: LOAD_MS,
        seed,
        kinds: vec![mix],
        deadline_ms: Some(2_000),
        caller: None,
    };
    run_load(&plan).await
}

/// Checks that each daemon refuses an order at once, as not run and with a retry delay. The
/// deadline of the order is long enough for many timeouts of the store.
async fn order_is_refused(fleet: &Fleet, key: &str) {
    for node in fleet.nodes.iter().filter(|node| node.daemon.is_some()) {
        let question = ClientRequest::new(Method::POST, "/once")
            .with_header(headers::IDEMPOTENCY_KEY, key)
            .with_header(headers::DEADLINE_MS, 20_000);
        let call = fleet.call(node.call_address(), SERVICE, question);
        let response = tokio::time::timeout(Duration::from_secs(8), call).await;
        let response = response.expect("not refused at once").expect("no response");
        assert_eq!(response.header(headers::OUTCOME), "not_run", "{response:?}");
        assert_eq!(response.header(headers::REASON), "store_away", "{response:?}");
        assert!(response.header("retry-after").parse::<u64>().is_ok(), "{response:?}");
    }
}

/// Returns the number of claim transactions that all gates have sent.
async fn claim_batches(fleet: &Fleet) -> u64 {
    let mut batches = 0;
    for node in &fleet.nodes {
        batches += fleet.counters(node).await.get("claims.batches").copied().unwrap_or(0);
    }
    batches
}

async fn order_runs(fleet: &Fleet, key: &str) -> Duration {
    let running: Vec<_> = fleet.nodes.iter().filter(|node| node.daemon.is_some()).collect();
    let mut turn = 0;
    wait_until(&format!("order {key} has run"), || {
        turn += 1;
        let address = running[turn % running.len()].call_address();
        async move {
            fleet.send_once(address, SERVICE, key).await
                == yuccarack_standins::load::Verdict::Correct
        }
    })
    .await
}

/// Guards against reads that slow down, and orders that wait for timeouts, during a long outage in
/// which the store first refuses requests and then hangs. Orders run again after the outage.
///
/// The reads of a second fleet, whose store is up, are measured at the same time, since the p99 of
/// one fleet varies by more than the tolerance between two times on a busy machine.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn reads_go_on_and_orders_are_refused_at_once() {
    let fleet = Fleet::start_ready(plan(91)).await;
    let undisturbed = Fleet::start_ready(plan(92)).await;
    for (round, mode) in [PlatformMode::Down, PlatformMode::BlackHole].into_iter().enumerate() {
        set(&fleet, mode);
        let seed = 911 + round as u64;
        let (during, with_store) = tokio::join!(reads(&fleet, seed), reads(&undisturbed, seed));
        println!("store {mode:?}: {during:?}; store up: {with_store:?}");
        assert_eq!(during.right, during.sent, "{during:?}");
        assert_eq!(with_store.right, with_store.sent, "{with_store:?}");
        let limit_us = with_store.p99_us * NOISE_TIMES + NOISE_US;
        let p99s_us = (with_store.p99_us, during.p99_us);
        assert!(during.p99_us <= limit_us, "p99 with and without the store: {p99s_us:?} µs");
        let batches = claim_batches(&fleet).await;
        for number in 0..ORDERS {
            order_is_refused(&fleet, &format!("away-{mode:?}-{number}")).await;
        }
        // All but the first order of each gate are refused without a request to the store.
        let new_batches = claim_batches(&fleet).await - batches;
        assert!(new_batches <= 2 * fleet.nodes.len() as u64, "{new_batches} requests to the store");
        set(&fleet, PlatformMode::Up);
        order_runs(&fleet, &format!("away-{mode:?}-0")).await;
    }
    fleet.stop().await;
    undisturbed.stop().await;
}

/// Guards against wrong responses to callers in the other failure domains when the platform and one
/// failure domain fail at the same time, twice in a row. Afterwards all members are ready again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_store_and_a_domain_fail_together_twice() {
    let mut fleet = Fleet::start_ready(plan(93)).await;
    for (round, lost) in DOMAINS.into_iter().take(2).enumerate() {
        let mut plan = fleet.stress_plan(SERVICE, 93 + round as u64);
        let others = fleet.nodes.iter().filter(|node| node.settings.failure_domain != lost);
        plan.addresses = others.map(|node| node.call_address()).collect();
        plan.callers = 12;
        let storm = StressLoad::start(&plan);
        fleet.wait_more_calls(&storm, 200).await;
        set(&fleet, PlatformMode::BlackHole);
        for node in &mut fleet.nodes {
            if node.settings.failure_domain == lost {
                node.kill_daemon();
                node.target.kill().await;
            }
        }
        fleet.wait_more_calls(&storm, 400).await;
        for other in &plan.addresses {
            wait_until("the others serve", || fleet.read_succeeds(*other, SERVICE)).await;
        }
        set(&fleet, PlatformMode::Up);
        for node in &mut fleet.nodes {
            if node.settings.failure_domain == lost {
                node.target.restart().await.expect("the target can't be restarted");
                node.start_daemon().await.expect("the daemon can't be restarted");
            }
        }
        order_runs(&fleet, &format!("together-{round}")).await;
        fleet.wait_ready().await;
        let calls = storm.stop().await;
        fleet.wait_idle().await;
        let report = check_stress_calls(&calls, &fleet.run_log);
        println!("{report:?}");
        assert_eq!(report.violations, Vec::<String>::new());
    }
    fleet.stop().await;
}
