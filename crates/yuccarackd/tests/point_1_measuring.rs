//! Load measurements cost a target at most its measuring budget.

use std::time::{Duration, Instant};

use yuccarack_config::rules::MeasuringRules;
use yuccarack_standins::{
    fleet::{Fleet, FleetPlan, service_rules, until},
    target::{TargetFaults, TargetStats},
};

const SERVICE: &str = "pumps";
/// Number of load requests to wait for before the cost of a fault is checked.
const MIN_LOAD_REQUESTS: u64 = 3;
/// Size of the response of a broken load endpoint, in bytes.
const OVERSIZED_RESPONSE_BYTES: u64 = 10 * 1024 * 1024;
/// Bytes of one response that the target's server and kernel may buffer after the reader has
/// stopped, up to 4 MiB of them in the kernel's send buffer. They are never transmitted.
const BUFFERED_MAX_BYTES: u64 = OVERSIZED_RESPONSE_BYTES / 2;

fn budget() -> MeasuringRules {
    MeasuringRules { bytes_per_s_max: 512, requests_per_1000s_max: 4_000, time_ms_per_s_max: 20 }
}

async fn fleet(seed: u64) -> Fleet {
    let plan = FleetPlan::new(env!("CARGO_BIN_EXE_yuccarackd"), seed)
        .without_target_links()
        .with_service(SERVICE, 1);
    let mut rules = service_rules(SERVICE);
    rules.measuring = budget();
    Fleet::serving_with(plan, vec![rules]).await
}

/// Returns the cost of load requests for the target under `faults`, and the time that they took.
async fn measure_cost(fleet: &Fleet, faults: TargetFaults) -> (TargetStats, Duration) {
    let target = &fleet.nodes[0].target;
    target.set_faults(faults);
    let before = target.stats();
    let started_at = Instant::now();
    until("the load requests have arrived", || async {
        target.stats().load_requests >= before.load_requests + MIN_LOAD_REQUESTS
    })
    .await;
    let after = target.stats();
    let cost = TargetStats {
        load_requests: after.load_requests - before.load_requests,
        load_bytes: after.load_bytes - before.load_bytes,
        load_open_ms: after.load_open_ms - before.load_open_ms,
        ..TargetStats::default()
    };
    (cost, started_at.elapsed())
}

/// Returns what the budget allows within `elapsed`, including the window that was open at its
/// start.
fn allowed_by_budget(per_s: u32, elapsed: Duration) -> u64 {
    let seconds = elapsed.as_secs_f64().ceil() as u64 + 1;
    u64::from(per_s) * seconds
}

fn check_budget(label: &str, cost: &TargetStats, elapsed: Duration) {
    println!(
        "{label}: {} load requests, {} ms open in {elapsed:?}",
        cost.load_requests, cost.load_open_ms
    );
    let requests = allowed_by_budget(budget().requests_per_1000s_max, elapsed) / 1_000;
    assert!(cost.load_requests <= requests, "{label}: {} load requests", cost.load_requests);
    let open_ms = allowed_by_budget(budget().time_ms_per_s_max, elapsed);
    // The target sees the end of a load request slightly later: one millisecond each for the
    // transmission.
    let open_ms = open_ms + cost.load_requests;
    assert!(cost.load_open_ms <= open_ms, "{label}: open for {} ms", cost.load_open_ms);
}

/// Guards against measurements that overload a target whose load endpoint hangs: load requests that
/// wait for it would occupy its connections and threads. The number and duration of the requests,
/// as the target counts them, stay within the budget.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_hanging_load_endpoint_is_measured_within_the_budget() {
    let fleet = fleet(11).await;
    let hanging = TargetFaults { hang_load: true, ..TargetFaults::default() };
    let (cost, elapsed) = measure_cost(&fleet, hanging).await;
    check_budget("hanging", &cost, elapsed);
    let counters = fleet.counters(&fleet.nodes[0]).await;
    assert!(counters["measuring.no_answer"] > 0, "no load request went unanswered");
    fleet.stop().await;
}

/// Guards against measurements that read an oversized response: a load endpoint returns 10 MB, as
/// an error page or a debug dump might, and a reader of it all would cost the target 10 MB for each
/// measurement. The daemon reads at most its budget and closes the connection, so the target sends
/// only what fits into the buffers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_oversized_load_response_is_not_read_to_the_end() {
    let fleet = fleet(12).await;
    let read_before = bytes_read(&fleet).await;
    let noisy =
        TargetFaults { noisy_load_bytes: OVERSIZED_RESPONSE_BYTES, ..TargetFaults::default() };
    let (cost, elapsed) = measure_cost(&fleet, noisy).await;
    check_budget("noisy", &cost, elapsed);
    println!("noisy: the target sent {} bytes", cost.load_bytes);
    let read = bytes_read(&fleet).await - read_before;
    assert!(read <= allowed_by_budget(budget().bytes_per_s_max, elapsed), "read {read} bytes");
    let buffered = cost.load_requests * BUFFERED_MAX_BYTES;
    assert!(cost.load_bytes <= buffered, "the target sent {} bytes", cost.load_bytes);
    fleet.stop().await;
}

/// Guards against measurements of a healthy target more often than the budget allows, as they are
/// cheap when its load endpoint responds normally.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_healthy_load_endpoint_is_measured_within_the_budget() {
    let fleet = fleet(13).await;
    let (cost, elapsed) = measure_cost(&fleet, TargetFaults::default()).await;
    check_budget("healthy", &cost, elapsed);
    assert!(cost.load_bytes <= allowed_by_budget(budget().bytes_per_s_max, elapsed));
    fleet.stop().await;
}

async fn bytes_read(fleet: &Fleet) -> u64 {
    fleet.counters(&fleet.nodes[0]).await.get("measuring.bytes").copied().unwrap_or(0)
}
