//! Measures the cost of the control plane per daemon and the propagation time of updates, with
//! real daemons around one platform.

mod daemons;
mod usage;

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::StatusCode;
use serde_json::json;
use tokio::time::sleep;
use yuccarack_config::{ids::Revision, wire_data};
use yuccarack_platform::{
    messages::{Commit, Write},
    rows::{RulesRow, rules_key},
};

use self::{
    daemons::{Daemons, service_name},
    usage::{Usage, sample},
};
use crate::{
    platform::Platform,
    server::{Server, listen, respond},
};

/// Time from the last start to the first measurement, so that the cost of starting is excluded.
const WARMUP: Duration = Duration::from_secs(15);
/// Poll interval of all daemons while an update propagates.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for an update to reach all daemons.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(60);
/// Most open connections of the single server that stands in for all targets.
const CONNECTIONS_MAX: usize = 20_000;
/// Measurements of each kind of update.
const ROUNDS: usize = 3;

wire_data! {
    /// Parameters of one measurement.
    pub struct MeasurePlan {
        /// Path of the daemon's program.
        pub program: PathBuf,
        /// Number of daemons.
        pub daemons: usize,
        /// Number of members of each service.
        pub members: usize,
        /// Number of foreign services that each daemon calls.
        pub calls_services: usize,
        /// Whether all daemons call the first service only.
        pub is_hot: bool,
        /// Length of each measured window, in s.
        pub window_s: u64,
        /// Calls per second and daemon in the loaded window; 0 omits that window.
        pub calls_per_s: u32,
    }

    /// Result of one measurement.
    pub struct MeasureReport {
        /// Parameters of the measurement.
        pub plan: MeasurePlan,
        /// Costs without calls.
        pub idle: CostReport,
        /// Costs with calls.
        pub loaded: Option<CostReport>,
        /// Times until all members and callers of the service knew of a drain, in ms.
        pub drain_ms: Vec<u64>,
        /// Times until new rules were in force on these daemons, without hints, in ms.
        pub rules_ms: Vec<u64>,
        /// Time until all of them had removed the member row of a killed daemon, in ms.
        pub death_ms: Option<u64>,
    }

    /// Costs of one daemon, on average, and of the platform.
    pub struct CostReport {
        /// Bytes of control messages sent per second, with estimated TCP/IP headers.
        pub sent_bytes_per_s: u64,
        /// Bytes of control messages received per second.
        pub received_bytes_per_s: u64,
        /// Highest sum of bytes sent and received by one daemon per second.
        pub most_bytes_per_s: u64,
        /// Bytes between one daemon and the store per second, bodies only.
        pub store_bytes_per_s: u64,
        /// CPU time of the control threads, in millionths of a core.
        pub control_cpu_ppm: u64,
        /// CPU time of the admin endpoint's threads, in millionths of a core.
        pub admin_cpu_ppm: u64,
        /// CPU time of all other threads, in millionths of a core.
        pub other_cpu_ppm: u64,
        /// Resident memory, in KiB.
        pub resident_kib: u64,
        /// Highest resident memory of one daemon, in KiB.
        pub resident_most_kib: u64,
        /// Number of threads of one daemon.
        pub threads: u64,
        /// Store reads per 1,000 s by all daemons together.
        pub store_reads_per_1000s: u64,
        /// Store commits per 1,000 s by all daemons together.
        pub store_commits_per_1000s: u64,
        /// Exchanges that all daemons skipped in the window because of the byte budget.
        pub skipped_exchanges: u64,
    }
}

/// Runs one measurement.
///
/// # Errors
///
/// A part can't be started.
pub async fn run(plan: MeasurePlan) -> io::Result<MeasureReport> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let platform = Platform::start(any).await?;
    let target = Server::start(listen(any).await?, CONNECTIONS_MAX, |_| async {
        respond(StatusCode::OK, Bytes::from_static(b"ok"))
    })?;
    for service in 0..plan.daemons.div_ceil(plan.members) {
        put_rules(&platform, &service_name(service), 1_000);
    }
    let mut daemons = Daemons::start(&plan, platform.address(), target.address()).await?;
    daemons.call_all_services().await;
    sleep(WARMUP).await;

    let idle = measure_cost(&plan, &daemons, &platform).await;
    let loaded = match plan.calls_per_s {
        0 => None,
        rate => {
            daemons.start_load(rate);
            sleep(WARMUP).await;
            let loaded = measure_cost(&plan, &daemons, &platform).await;
            daemons.stop_load().await;
            Some(loaded)
        }
    };
    let mut rules_ms = Vec::new();
    let mut drain_ms = Vec::new();
    for round in 0..ROUNDS {
        rules_ms.extend(measure_rules_propagation(&daemons, &platform, round).await);
        drain_ms.extend(measure_drain_propagation(&mut daemons, round).await);
    }
    let death_ms = measure_removal_propagation(&mut daemons).await;
    daemons.stop().await;
    target.stop().await;
    platform.stop().await;
    Ok(MeasureReport { plan, idle, loaded, drain_ms, rules_ms, death_ms })
}

async fn measure_cost(plan: &MeasurePlan, daemons: &Daemons, platform: &Platform) -> CostReport {
    let (before, before_stats) = (sample(daemons).await, platform.stats());
    sleep(Duration::from_secs(plan.window_s)).await;
    let (after, after_stats) = (sample(daemons).await, platform.stats());
    let count = u64::try_from(after.len().max(1)).unwrap_or(1);
    let usages: Vec<Usage> =
        after.iter().zip(&before).map(|(after, before)| after.since(before)).collect();
    let mean = |of: fn(&Usage) -> u64| usages.iter().map(of).sum::<u64>() / count;
    let mean_per_s = |of: fn(&Usage) -> u64| mean(of) / plan.window_s;
    let per_1000s = |number: u64| number * 1_000 / plan.window_s;
    let store_bytes = after_stats.received_bytes + after_stats.sent_bytes
        - before_stats.received_bytes
        - before_stats.sent_bytes;
    let sent_and_received = |usage: &Usage| usage.sent_bytes + usage.received_bytes;
    CostReport {
        sent_bytes_per_s: mean_per_s(|usage| usage.sent_bytes),
        received_bytes_per_s: mean_per_s(|usage| usage.received_bytes),
        most_bytes_per_s: usages.iter().map(sent_and_received).max().unwrap_or(0) / plan.window_s,
        store_bytes_per_s: store_bytes / count / plan.window_s,
        control_cpu_ppm: mean_per_s(|usage| usage.control_us),
        admin_cpu_ppm: mean_per_s(|usage| usage.admin_us),
        other_cpu_ppm: mean_per_s(|usage| usage.other_us),
        resident_kib: mean(|usage| usage.resident_kib),
        resident_most_kib: usages.iter().map(|usage| usage.resident_kib).max().unwrap_or(0),
        threads: mean(|usage| usage.threads),
        store_reads_per_1000s: per_1000s(after_stats.reads - before_stats.reads),
        store_commits_per_1000s: per_1000s(after_stats.commits - before_stats.commits),
        skipped_exchanges: usages.iter().map(|usage| usage.skipped_exchanges).sum(),
    }
}

async fn measure_rules_propagation(
    daemons: &Daemons,
    platform: &Platform,
    round: usize,
) -> Option<u64> {
    let service = service_name(0);
    let deadline_ms = 2_000 + u32::try_from(round).unwrap_or(0);
    let revision = put_rules(platform, &service, deadline_ms);
    time_until(async || daemons.all_have_rules(&service, revision).await).await
}

async fn measure_drain_propagation(daemons: &mut Daemons, round: usize) -> Option<u64> {
    let instance = daemons.drain(round).await;
    time_until(async || daemons.all_know(&instance, Some("draining")).await).await
}

async fn measure_removal_propagation(daemons: &mut Daemons) -> Option<u64> {
    let instance = daemons.kill_last_of_first_service().await;
    time_until(async || daemons.all_know(&instance, None).await).await
}

/// Returns the time until `condition` is true, in ms; `None` after [`PROPAGATION_TIMEOUT`].
async fn time_until(condition: impl AsyncFn() -> bool) -> Option<u64> {
    let start = Instant::now();
    while start.elapsed() < PROPAGATION_TIMEOUT {
        if condition().await {
            return u64::try_from(start.elapsed().as_millis()).ok();
        }
        sleep(POLL_INTERVAL).await;
    }
    None
}

/// Writes rules to the table as the operators' tool does; returns their revision.
fn put_rules(platform: &Platform, service: &str, deadline_ms: u32) -> Revision {
    let routes = json!([{"name": "all", "path_prefix": "/", "deadline_ms": deadline_ms}]);
    let rules = json!({"name": service, "routes": routes});
    let row = serde_json::from_value(rules).map(RulesRow::InForce);
    let value = row.and_then(serde_json::to_value).unwrap_or_default();
    let commit =
        Commit { conditions: Vec::new(), writes: vec![Write::put(rules_key(service), value)] };
    platform.with_table(|table| table.commit(commit)).map_or(0, |committed| committed.revision)
}
