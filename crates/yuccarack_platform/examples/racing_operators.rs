//! Measures conflicts between concurrent operators: one condition per service against one version
//! for all services.
//!
//! The load is that of the growth target at 1,000 times the speed: 5,000 changes a day over 230
//! services arrive at random with a mean interval of 17.28 ms, and a minute between reading and
//! applying is 60 ms. After a conflict, an operator reads, edits and applies again. Prints a table
//! for docs/CONFIGURATION.md.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_util::future::join_all;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::{Instant, sleep, sleep_until};
use yuccarack_config::{
    ids::Revision,
    rules::{RouteRules, RulesFile, ServiceRules},
};
use yuccarack_platform::{
    PlatformClient, PlatformError,
    accept::Proposal,
    messages::{Commit, Condition, Precondition, Write},
    rows::AppliedRow,
};
use yuccarack_standins::platform::{Platform, PlatformFaults};

/// Key of the row with the version of all services.
const HEAD_KEY: &str = "head";
/// Mean interval between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_micros(17_280);
/// Times between reading and applying by an operator, in ms.
const EDIT_TIMES_MS: [u64; 2] = [60, 10];
/// Numbers of services: that of the growth target and that of today's deployments.
const SERVICES: [u32; 2] = [230, 6];
/// Delay of each response of the store, in ms.
const STORE_DELAY_MS: u64 = 2;
/// Number of changes in a run.
const CHANGES: u64 = 300;
/// Timeout for a response of the store.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Seed of the choice of services and of the intervals between changes.
const SEED: u64 = 1;

/// Scope of the condition of a commit.
#[derive(Clone, Copy, Debug)]
enum ConditionScope {
    /// One condition per changed service.
    PerService,
    /// One condition on the version of all services.
    OneVersion,
}

/// Result of a run.
#[derive(Clone, Copy, Debug, Default)]
struct RaceResult {
    conflicts: u32,
    changes_with_conflict: u32,
    attempts_max: u32,
    latency_ms: u128,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    println!("| edit ms | services | way | had a conflict | conflicts | most tries | mean ms |");
    println!("|---|---|---|---|---|---|---|");
    for edit_ms in EDIT_TIMES_MS {
        for services in SERVICES {
            for scope in [ConditionScope::PerService, ConditionScope::OneVersion] {
                let result = race(scope, services, Duration::from_millis(edit_ms)).await?;
                println!(
                    "| {edit_ms} | {services} | {scope:?} | {} of {CHANGES} | {} | {} | {} |",
                    result.changes_with_conflict,
                    result.conflicts,
                    result.attempts_max,
                    result.latency_ms / u128::from(CHANGES),
                );
            }
        }
    }
    Ok(())
}

async fn race(scope: ConditionScope, services: u32, edit_time: Duration) -> io::Result<RaceResult> {
    let platform = Platform::start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    platform.set_faults(PlatformFaults { delay_ms: STORE_DELAY_MS, ..Default::default() });
    let client = PlatformClient::new(platform.address(), RESPONSE_TIMEOUT);
    let mut random = StdRng::seed_from_u64(SEED);
    let mut begin = Instant::now();
    let changes = (0..CHANGES).map(|number| {
        let service = format!("service-{}", random.random_range(0..services));
        let client = client.clone();
        // The operators are independent, so the intervals between changes are exponential.
        let interval_factor = -random.random_range(f64::MIN_POSITIVE..1.0).ln();
        begin += CHANGE_INTERVAL.mul_f64(interval_factor);
        async move {
            sleep_until(begin).await;
            change(&client, scope, &service, number, edit_time).await
        }
    });
    let mut result = RaceResult::default();
    for change in join_all(changes).await {
        let (attempts, duration) = change.map_err(io::Error::other)?;
        result.conflicts += attempts - 1;
        result.changes_with_conflict += u32::from(attempts > 1);
        result.attempts_max = result.attempts_max.max(attempts);
        result.latency_ms += duration.as_millis();
    }
    platform.stop().await;
    Ok(result)
}

/// Reads, edits and applies until the change is accepted; returns the number of attempts and their
/// total duration.
async fn change(
    client: &PlatformClient,
    scope: ConditionScope,
    service: &str,
    number: u64,
    edit_time: Duration,
) -> Result<(u32, Duration), PlatformError> {
    let start = Instant::now();
    let mut attempts = 0;
    loop {
        attempts += 1;
        let based_on = client.rows(HEAD_KEY).await?.revision;
        sleep(edit_time).await;
        match client.commit(&commit(scope, service, number, based_on)?).await {
            Ok(_) => return Ok((attempts, start.elapsed())),
            Err(PlatformError::Conflict { .. }) => {}
            Err(error) => return Err(error),
        }
    }
}

fn commit(
    scope: ConditionScope,
    service: &str,
    number: u64,
    based_on: Revision,
) -> Result<Commit, PlatformError> {
    let rules =
        RulesFile { format: 1, based_on, services: vec![rules_of(service)], removed: Vec::new() };
    let apply_id = number.to_string();
    let proposal = Proposal::new(apply_id.clone(), String::new(), rules, Bytes::new());
    let applied = AppliedRow {
        apply_id,
        operator: String::new(),
        services: vec![service.to_owned()],
        removed: Vec::new(),
        object: proposal.object_name(),
        applied_at_unix_ms: 0,
    };
    let mut commit = proposal.commit(&applied).map_err(PlatformError::Unserializable)?;
    if let ConditionScope::OneVersion = scope {
        commit.conditions = vec![Condition::new(HEAD_KEY, Precondition::NotBeNewerThan(based_on))];
        commit.writes.push(Write::put(HEAD_KEY, number.into()));
    }
    Ok(commit)
}

fn rules_of(service: &str) -> ServiceRules {
    ServiceRules {
        name: service.to_owned(),
        routes: vec![RouteRules {
            name: "all".to_owned(),
            methods: Vec::new(),
            path_prefix: "/".to_owned(),
            repeatable: None,
            deadline_ms: 500,
            slot_share_percent: 100,
        }],
        limits: Default::default(),
        retry: Default::default(),
        hedge: Default::default(),
        measuring: Default::default(),
        ejection: Default::default(),
    }
}
