//! Targets that announce a rate limit, and the requests that reach them.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use tokio::time::sleep;
use yuccarack_platform_standin::{
    caller::{Call, CallResponse, send_call},
    deployment::Deployment,
    target::Behaviour,
};

use crate::support::{ORDERS, READS, deployed};

/// Window in which the requests to a limited target are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Factor on the limit and further requests that the window may have.
const EXCESS_FACTOR: f64 = 1.5;
const EXCESS_REQUESTS: f64 = 5.0;

/// Time after a caller got a response with the limit in which requests may still be on their way.
const PASS_ON_TIME: Duration = Duration::from_millis(500);

/// Number of callers, each of which sends one request after the other.
const CALLERS: usize = 24;

/// Most requests in a window to a target that announces `limit`.
fn allowed(limit: f64) -> usize {
    (EXCESS_FACTOR * limit * WINDOW.as_secs_f64() + EXCESS_REQUESTS) as usize
}

/// Deploys one instance for each of `count` targets of one service, with a service time of 10 ms.
async fn deploy(name: &str, count: usize) -> Deployment {
    let deployment = deployed(name, &vec!["board"; count]).await;
    for instance in &deployment.instances {
        instance.target.set_behaviour(Behaviour::Respond(Duration::from_millis(10)));
    }
    deployment
}

/// Sends reads and orders through all instances in turn for `time`; returns the responses with the
/// time that each took.
async fn send_load(deployment: &Deployment, time: Duration) -> Vec<(CallResponse, Duration)> {
    let until = Instant::now() + time;
    let callers = (0..CALLERS).map(|caller| async move {
        let mut responses = Vec::new();
        let address = deployment.instances[caller % deployment.instances.len()].call_address();
        for number in 0.. {
            if Instant::now() >= until {
                break;
            }
            let id = format!("l{caller}-{number}-{}", until.elapsed().as_nanos());
            let call = match number % 2 {
                0 => Call::read(READS, "/r/1", &id),
                _ => Call::order(ORDERS, "/o/1", &id),
            };
            let sent_at = Instant::now();
            responses.extend(send_call(address, &call).await.map(|it| (it, sent_at.elapsed())));
            sleep(Duration::from_millis(10)).await;
        }
        responses
    });
    join_all(callers).await.into_iter().flatten().collect()
}

/// Returns the largest number of requests that reached the target of an instance in any window
/// that begins at `from` or later.
fn most_in_window(deployment: &Deployment, instance: usize, from: Instant) -> usize {
    let arrivals = deployment.instances[instance].target.arrivals();
    let counted: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= from).collect();
    let in_window = |start: &Instant| {
        counted.iter().filter(|at| **at >= *start && **at < *start + WINDOW).count()
    };
    counted.iter().map(in_window).max().unwrap_or(0)
}

/// Guards against a target that asks for fewer requests and gets as many as before.
#[tokio::test]
async fn a_target_gets_no_more_requests_than_it_announces() {
    let deployment = deploy("limit", 2).await;
    deployment.instances[0].target.announce_limit(Some("10.5"));
    send_load(&deployment, PASS_ON_TIME).await;
    let from = Instant::now();
    send_load(&deployment, WINDOW).await;
    let most = most_in_window(&deployment, 0, from);
    assert!((1..=allowed(10.5)).contains(&most), "{most} requests in {WINDOW:?}");
}
