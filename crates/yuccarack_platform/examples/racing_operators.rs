//! Operators race: a condition for each service against one version for everything.
//!
//! The load is that of the growth target, 1,000 times as fast: 5,000 changes a day are one each
//! 17.28 ms on average, at random moments, over 230 services, and a minute between reading and
//! applying is 60 ms. An operator who meets a conflict reads, edits and applies again. Prints a table for docs/CONFIGURATION.md.

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

/// Key of the one row that carries the version of everything.
const HEAD_KEY: &str = "head";
/// Mean time from one change to the next.
const CHANGE_INTERVAL: Duration = Duration::from_micros(17_280);
/// Times from an operator's reading to the applying, in ms.
const EDIT_TIMES_MS: [u64; 2] = [60, 10];
/// Sizes of the fleet: the growth target, and both deployments of today.
const SERVICES: [u32; 2] = [230, 6];
/// Delay of each of the store's answers, in ms.
const STORE_DELAY_MS: u64 = 2;
/// Changes of one run.
const CHANGES: u64 = 300;
/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Seed of the choice of services.
const SEED: u64 = 1;

/// What a commit is conditioned on.
#[derive(Clone, Copy, Debug)]
enum Way {
    PerService,
    OneVersion,
}

/// What came of the changes of one run.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    conflicts: u32,
    with_conflict: u32,
    tries_most: u32,
    latency_ms: u128,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    println!("| edit ms | services | way | had a conflict | conflicts | most tries | mean ms |");
    println!("|---|---|---|---|---|---|---|");
    for edit_ms in EDIT_TIMES_MS {
        for services in SERVICES {
            for way in [Way::PerService, Way::OneVersion] {
                let tally = race(way, services, Duration::from_millis(edit_ms)).await?;
                println!(
                    "| {edit_ms} | {services} | {way:?} | {} of {CHANGES} | {} | {} | {} |",
                    tally.with_conflict,
                    tally.conflicts,
                    tally.tries_most,
                    tally.latency_ms / u128::from(CHANGES),
                );
            }
        }
    }
    Ok(())
}

async fn race(way: Way, services: u32, edit_time: Duration) -> io::Result<Tally> {
    let platform = Platform::start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    platform.set_faults(PlatformFaults { delay_ms: STORE_DELAY_MS, ..Default::default() });
    let client = PlatformClient::new(platform.address(), ANSWER_TIMEOUT);
    let mut random = StdRng::seed_from_u64(SEED);
    let mut begin = Instant::now();
    let changes = (0..CHANGES).map(|number| {
        let service = format!("service-{}", random.random_range(0..services));
        let client = client.clone();
        // Independent operators: the gaps between their changes are exponential.
        let gaps = -random.random_range(f64::MIN_POSITIVE..1.0).ln();
        begin += CHANGE_INTERVAL.mul_f64(gaps);
        async move {
            sleep_until(begin).await;
            change(&client, way, &service, number, edit_time).await
        }
    });
    let mut tally = Tally::default();
    for result in join_all(changes).await {
        let (tries, took) = result.map_err(io::Error::other)?;
        tally.conflicts += tries - 1;
        tally.with_conflict += u32::from(tries > 1);
        tally.tries_most = tally.tries_most.max(tries);
        tally.latency_ms += took.as_millis();
    }
    platform.stop().await;
    Ok(tally)
}

/// Reads, edits and applies until it is accepted; the number of tries and the time they took.
async fn change(
    client: &PlatformClient,
    way: Way,
    service: &str,
    number: u64,
    edit_time: Duration,
) -> Result<(u32, Duration), PlatformError> {
    let start = Instant::now();
    let mut tries = 0;
    loop {
        tries += 1;
        let based_on = client.rows(HEAD_KEY).await?.revision;
        sleep(edit_time).await;
        match client.commit(&commit(way, service, number, based_on)?).await {
            Ok(_) => return Ok((tries, start.elapsed())),
            Err(PlatformError::Conflict { .. }) => {}
            Err(error) => return Err(error),
        }
    }
}

fn commit(
    way: Way,
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
    if let Way::OneVersion = way {
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
