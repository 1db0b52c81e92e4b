//! Tests that callers are served again within seconds after all daemons lost power.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use http::StatusCode;
use tokio::time::sleep;
use yuccarack_platform_standin::{
    caller::{Call, ask},
    deployment::{Deployment, wait},
    store::DoorMode,
};

use crate::support::{READS, deployed};

/// Instances of the deployment.
const INSTANCES: usize = 9;

/// Calls of one measurement, over all instances.
const CALLS: usize = 100;

/// Share of these calls that counts as recovered, in percent.
const SERVED_PERCENT: usize = 95;

/// Time within which callers have to be served again after the return of power.
const RECOVERY_MAX: Duration = Duration::from_secs(15);

/// State of the store when power returns.
#[derive(Clone, Copy, Debug)]
enum StoreState {
    Healthy,
    Slow,
    /// Unavailable for a while after the return.
    Unavailable(Duration),
    /// Unresponsive to a third of the instances.
    UnresponsiveToSome,
}

async fn count_served(deployment: &Deployment, round: u128) -> usize {
    let calls = (0..CALLS).map(|number| {
        let address = deployment.instances[number % INSTANCES].call_address();
        let call = Call::read(READS, "/r/1", &format!("p{round}-{number}"));
        async move {
            ask(address, &call).await.is_some_and(|response| response.status == StatusCode::OK)
        }
    });
    join_all(calls).await.into_iter().filter(|is_served| *is_served).count()
}

fn set_store(deployment: &Deployment, mode: DoorMode, delay: Duration) {
    for instance in &deployment.instances {
        instance.door.set(mode);
        instance.door.set_delay(delay);
    }
}

/// Returns the time from the return of power, or of the store, until callers are served again.
async fn measure_recovery(deployment: &mut Deployment, store: StoreState) -> Duration {
    deployment.instances.iter_mut().for_each(|instance| instance.kill_daemon());
    match store {
        StoreState::Healthy => {}
        StoreState::Slow => set_store(deployment, DoorMode::Open, Duration::from_millis(400)),
        StoreState::Unavailable(_) => set_store(deployment, DoorMode::Refusing, Duration::ZERO),
        StoreState::UnresponsiveToSome => {
            let unavailable = deployment.instances.iter().step_by(3);
            unavailable.for_each(|instance| instance.door.set(DoorMode::Silent));
        }
    }
    for instance in &mut deployment.instances {
        instance.start_daemon().await.expect("a daemon");
    }
    let returned_at = Instant::now();
    let mut store_available_at = None;
    if let StoreState::Unavailable(time) = store {
        sleep(time).await;
        set_store(deployment, DoorMode::Open, Duration::ZERO);
        store_available_at = Some(Instant::now());
    }
    let since = store_available_at.unwrap_or(returned_at);
    while count_served(deployment, since.elapsed().as_micros()).await * 100 < CALLS * SERVED_PERCENT
    {
        assert!(since.elapsed() < RECOVERY_MAX, "{store:?}: callers are not served again");
        sleep(Duration::from_millis(50)).await;
    }
    let recovered_after = since.elapsed();
    set_store(deployment, DoorMode::Open, Duration::ZERO);
    recovered_after
}

/// Guards against a slow recovery when all machines lose power at once and come back, while the
/// store is healthy, slow, unavailable for three seconds, or unresponsive to a third of the
/// daemons. No process has routes or members in memory, and targets are known by their next
/// heartbeat only.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_are_served_again_after_the_loss_of_all_power() {
    let mut deployment = deployed("power", &["board"; INSTANCES]).await;
    let unavailable = StoreState::Unavailable(Duration::from_secs(3));
    for store in
        [StoreState::Healthy, StoreState::Slow, unavailable, StoreState::UnresponsiveToSome]
    {
        let recovered_after = measure_recovery(&mut deployment, store).await;
        println!(
            "{store:?}: {SERVED_PERCENT} of {CALLS} calls served after {} ms",
            recovered_after.as_millis()
        );
    }
}

/// Guards against a start that queries a slow store for one table after the other while callers
/// wait.
#[tokio::test]
async fn a_daemon_that_starts_beside_a_slow_store_waits_for_one_response() {
    let mut deployment = deployed("slow-start", &["board"; INSTANCES]).await;
    let delay = Duration::from_millis(600);
    deployment.instances.iter_mut().for_each(|instance| instance.kill_daemon());
    set_store(&deployment, DoorMode::Open, delay);
    let starting = deployment.instances.iter_mut().map(|instance| instance.start_daemon());
    join_all(starting).await.into_iter().for_each(|started| started.expect("a daemon"));
    let started_at = Instant::now();
    for instance in &deployment.instances {
        wait("routes", || instance.is_ready()).await;
    }
    let recovered_after = started_at.elapsed();
    assert!(recovered_after < delay * 3 / 2, "routes after {} ms", recovered_after.as_millis());
    set_store(&deployment, DoorMode::Open, Duration::ZERO);
}
