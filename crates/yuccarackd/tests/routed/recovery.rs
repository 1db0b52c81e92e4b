//! All daemons lose power at once; callers are served again within seconds of the return.

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

/// Calls of one look, over all instances.
const CALLS: usize = 100;

/// Share of them that counts as served again, in percent.
const SERVED_PERCENT: usize = 95;

/// Time in which callers have to be served again after the return.
const RECOVERY_MAX: Duration = Duration::from_secs(15);

/// How the store is when power returns.
#[derive(Clone, Copy, Debug)]
enum Store {
    Well,
    Slow,
    /// Away for a while after the return.
    Away(Duration),
    /// It turns a third of the instances away.
    TurnsSomeAway,
}

async fn served(deployment: &Deployment, round: u128) -> usize {
    let calls = (0..CALLS).map(|number| {
        let address = deployment.instances[number % INSTANCES].call_address();
        let call = Call::read(READS, "/r/1", &format!("p{round}-{number}"));
        async move { ask(address, &call).await.is_some_and(|told| told.status == StatusCode::OK) }
    });
    join_all(calls).await.into_iter().filter(|is_served| *is_served).count()
}

fn set(deployment: &Deployment, mode: DoorMode, delay: Duration) {
    for instance in &deployment.instances {
        instance.door.set(mode);
        instance.door.set_delay(delay);
    }
}

/// Time from the return of power until callers are served again.
async fn recovery(deployment: &mut Deployment, store: Store) -> Duration {
    deployment.instances.iter_mut().for_each(|instance| instance.kill_daemon());
    match store {
        Store::Well => {}
        Store::Slow => set(deployment, DoorMode::Open, Duration::from_millis(400)),
        Store::Away(_) => set(deployment, DoorMode::Refusing, Duration::ZERO),
        Store::TurnsSomeAway => {
            let away = deployment.instances.iter().step_by(3);
            away.for_each(|instance| instance.door.set(DoorMode::Silent));
        }
    }
    for instance in &mut deployment.instances {
        instance.start_daemon().await.expect("a daemon");
    }
    let returned_at = Instant::now();
    let mut store_back_at = None;
    if let Store::Away(time) = store {
        sleep(time).await;
        set(deployment, DoorMode::Open, Duration::ZERO);
        store_back_at = Some(Instant::now());
    }
    let since = store_back_at.unwrap_or(returned_at);
    while served(deployment, since.elapsed().as_micros()).await * 100 < CALLS * SERVED_PERCENT {
        assert!(since.elapsed() < RECOVERY_MAX, "{store:?}: not served again");
        sleep(Duration::from_millis(50)).await;
    }
    let took = since.elapsed();
    set(deployment, DoorMode::Open, Duration::ZERO);
    took
}

/// All machines of a deployment lose power at once and come back, while the store is well, slow, away
/// for three seconds, or doesn't answer a third of them. Routes and members are in the store and in
/// the memory of no process, targets are known by their next heartbeat; callers of every instance are
/// served again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_are_served_again_after_the_loss_of_all_power() {
    let mut deployment = deployed("power", &["board"; INSTANCES]).await;
    let away = Store::Away(Duration::from_secs(3));
    for store in [Store::Well, Store::Slow, away, Store::TurnsSomeAway] {
        let took = recovery(&mut deployment, store).await;
        println!("{store:?}: {SERVED_PERCENT} of {CALLS} served after {} ms", took.as_millis());
    }
}

/// Guards against a start that asks a slow store for one thing after the other while callers wait.
#[tokio::test]
async fn a_daemon_that_starts_beside_a_slow_store_waits_for_one_answer() {
    let mut deployment = deployed("slow-start", &["board"; INSTANCES]).await;
    let delay = Duration::from_millis(600);
    deployment.instances.iter_mut().for_each(|instance| instance.kill_daemon());
    set(&deployment, DoorMode::Open, delay);
    let starting = deployment.instances.iter_mut().map(|instance| instance.start_daemon());
    join_all(starting).await.into_iter().for_each(|started| started.expect("a daemon"));
    let started_at = Instant::now();
    for instance in &deployment.instances {
        wait("routes", || instance.is_ready()).await;
    }
    let took = started_at.elapsed();
    assert!(took < delay * 3 / 2, "routes after {} ms", took.as_millis());
    set(&deployment, DoorMode::Open, Duration::ZERO);
}
