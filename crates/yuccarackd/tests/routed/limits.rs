//! Targets that announce a rate limit, and the requests that reach them.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use tokio::time::sleep;
use yuccarack_platform_standin::{
    caller::{Call, CallResponse, send_call},
    deployment::{Deployment, RouteSpec},
    target::Behaviour,
};

use crate::support::{ORDERS, READS, board_routes, deployed};

/// Window in which the requests to a limited target are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Factor on the limit and further requests that the window may have.
const EXCESS_FACTOR: f64 = 1.5;
const EXCESS_REQUESTS: f64 = 5.0;

/// Time after a caller got a response with the limit in which requests may still be on their way.
const PASS_ON_TIME: Duration = Duration::from_millis(500);

/// Routes of a table that takes a second over a link of [`THIN_BYTES_PER_S`].
const ROUTES: usize = 1_500;

/// Rate of a thin link to the store.
const THIN_BYTES_PER_S: u64 = 256 * 1024;

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

/// Returns the rule's count for `instance` under load for one window after its limit is known.
async fn most_under_load(deployment: &Deployment, instance: usize) -> usize {
    let from = Instant::now();
    send_load(deployment, WINDOW).await;
    most_in_window(deployment, instance, from)
}

/// Guards against a limit that falls and is applied late, and against one that stays in force after
/// it has risen or ended.
#[tokio::test]
async fn limits_that_fall_rise_and_end_are_followed() {
    let deployment = deploy("change", 2).await;
    let target = &deployment.instances[0].target;
    target.announce_limit(Some("40"));
    send_load(&deployment, PASS_ON_TIME).await;
    target.announce_limit(Some("2.5"));
    send_load(&deployment, PASS_ON_TIME).await;
    let low = most_under_load(&deployment, 0).await;
    assert!((1..=allowed(2.5)).contains(&low), "{low} requests at 2.5 a second");
    target.announce_limit(Some("20"));
    send_load(&deployment, 2 * PASS_ON_TIME).await;
    let risen = most_under_load(&deployment, 0).await;
    assert!((40..=allowed(20.0)).contains(&risen), "{risen} requests at 20 a second");
    target.announce_limit(None);
    send_load(&deployment, 2 * PASS_ON_TIME).await;
    let ended = most_under_load(&deployment, 0).await;
    assert!(ended > allowed(20.0), "{ended} requests without a limit");
}

/// Guards against a garbled limit that counts as none.
#[tokio::test]
async fn a_garbled_limit_leaves_the_one_before_in_force() {
    let deployment = deploy("garbled", 2).await;
    let target = &deployment.instances[0].target;
    target.announce_limit(Some("5"));
    send_load(&deployment, PASS_ON_TIME).await;
    for text in ["five", "-1", "NaN"] {
        target.announce_limit(Some(text));
        let most = most_under_load(&deployment, 0).await;
        assert!((1..=allowed(5.0)).contains(&most), "{most} requests after {text:?}");
    }
}

/// Guards against requests to a target that takes none, and against one that is never asked again.
#[tokio::test]
async fn a_target_that_takes_no_requests_gets_some_again_when_its_limit_ends() {
    for is_in_health_checks in [true, false] {
        let deployment = deploy("zero", 2).await;
        let target = &deployment.instances[0].target;
        target.announce_in_health_checks(is_in_health_checks);
        target.announce_limit(Some("0"));
        send_load(&deployment, PASS_ON_TIME).await;
        let most = most_under_load(&deployment, 0).await;
        assert!(most <= 1, "{most} requests at a limit of 0");
        let health_checks = target.health_checks();
        assert!((2..=6).contains(&health_checks), "{health_checks} health checks");
        target.announce_limit(None);
        send_load(&deployment, Duration::from_secs(6)).await;
        let ended = most_under_load(&deployment, 0).await;
        assert!(ended > 100, "{ended} requests without a limit");
    }
}

/// Guards against a limit below one a second that lets one through each second.
#[tokio::test]
async fn a_limit_below_one_a_second_is_kept() {
    let deployment = deploy("half", 2).await;
    deployment.instances[0].target.announce_limit(Some("0.5"));
    send_load(&deployment, PASS_ON_TIME).await;
    let most = most_under_load(&deployment, 0).await;
    assert!((1..=3).contains(&most), "{most} requests at 0.5 a second");
}

/// Guards against requests at a limited service that wait out their deadline, and against a
/// `Retry-After` after which the limit has no room either.
#[tokio::test]
async fn a_service_whose_targets_are_all_limited_refuses_at_once() {
    let deployment = deploy("all", 3).await;
    let limits = [4.0, 7.0, 0.5];
    for (instance, limit) in deployment.instances.iter().zip(limits) {
        instance.target.announce_limit(Some(&limit.to_string()));
    }
    send_load(&deployment, PASS_ON_TIME).await;
    let from = Instant::now();
    let responses = send_load(&deployment, WINDOW).await;
    for (instance, limit) in limits.into_iter().enumerate() {
        let most = most_in_window(&deployment, instance, from);
        assert!((1..=allowed(limit)).contains(&most), "{most} requests at {limit} a second");
    }
    let (answered, refused): (Vec<_>, Vec<_>) =
        responses.iter().partition(|(response, _)| response.status.is_success());
    let least = (limits.iter().sum::<f64>() * WINDOW.as_secs_f64() * 0.8) as usize;
    assert!(answered.len() >= least, "only {} of {least} answered", answered.len());
    assert!(refused.len() > answered.len(), "too little load: {} refused", refused.len());
    for (response, _) in &refused {
        assert_eq!(response.status, 503);
        let retry_after: f64 = response.header("retry-after").parse().expect("a number");
        assert!((0.05..=2.1).contains(&retry_after), "{retry_after}");
    }
    let mut times: Vec<Duration> = refused.iter().map(|(_, time)| *time).collect();
    times.sort_unstable();
    let longest = times[times.len() - 1];
    assert!(longest < Duration::from_millis(600), "a refusal took {longest:?}");
    let median = times[times.len() / 2];
    assert!(median < Duration::from_millis(100), "refusals took {median:?}");
}

/// Guards against a gate that forgets the limit with a restart and fills its target until the first
/// response.
#[tokio::test]
async fn a_limit_is_kept_across_restarts_of_the_gate_and_of_an_entry() {
    let mut deployment = deploy("gates", 3).await;
    deployment.instances[0].target.set_behaviour(Behaviour::Respond(Duration::from_millis(300)));
    deployment.instances[0].target.announce_limit(Some("0.5"));
    send_load(&deployment, 3 * PASS_ON_TIME).await;
    let from = Instant::now();
    for instance in [0, 1] {
        deployment.instances[instance].kill_daemon();
        deployment.instances[instance].start_daemon().await.expect("a daemon");
        deployment.instances[instance].start_heartbeats();
        send_load(&deployment, WINDOW / 2).await;
    }
    let most = most_in_window(&deployment, 0, from);
    assert!((1..=allowed(0.5)).contains(&most), "{most} requests in {WINDOW:?}");
}

/// Sends one read after the other to the entry of `instance` until `until`.
async fn send_reads(deployment: &Deployment, instance: usize, until: Instant) {
    let address = deployment.instances[instance].call_address();
    let callers = (0..CALLERS).map(|caller| async move {
        for number in 0.. {
            if Instant::now() >= until {
                break;
            }
            send_call(address, &Call::read(READS, "/r/1", &format!("e{caller}-{number}"))).await;
            sleep(Duration::from_millis(20)).await;
        }
    });
    join_all(callers).await;
}

/// Guards against a restarted gate that finds its target before it has a routing table, and fills
/// the target as soon as it has one, because a health check without a path counted as done.
#[tokio::test]
async fn a_limit_is_kept_by_a_gate_whose_routing_table_comes_late() {
    let mut deployment = deploy("late", 2).await;
    let others = (0..ROUTES).map(|number| RouteSpec::reads(READS, format!("/{number}/"), "board"));
    deployment.apply(&board_routes().into_iter().chain(others).collect::<Vec<_>>()).await;
    deployment.instances[0].target.set_behaviour(Behaviour::Respond(Duration::from_millis(300)));
    deployment.instances[0].target.announce_limit(Some("0.25"));
    send_load(&deployment, 3 * PASS_ON_TIME).await;
    let from = Instant::now();
    // The table comes from the store only, over a thin link.
    deployment.instances[1].daemon.as_ref().expect("a daemon").pause();
    let restarted = &mut deployment.instances[0];
    restarted.store_server.set_rate(Some(THIN_BYTES_PER_S));
    restarted.kill_daemon();
    restarted.start_daemon().await.expect("a daemon");
    restarted.start_heartbeats();
    send_reads(&deployment, 0, Instant::now() + WINDOW / 2).await;
    let most = most_in_window(&deployment, 0, from);
    assert!((1..=allowed(0.25)).contains(&most), "{most} requests in {WINDOW:?}");
    deployment.instances[1].daemon.as_ref().expect("a daemon").resume();
}

/// Guards against a gate that restarts again and again and lets requests through each time until
/// its target's first response, although the entries know the limit.
#[tokio::test]
async fn a_limit_is_kept_while_its_gate_restarts_in_series() {
    let mut deployment = deploy("series", 3).await;
    // The other targets have too few slots for all callers.
    for instance in &deployment.instances {
        instance.target.set_behaviour(Behaviour::Respond(Duration::from_millis(200)));
    }
    let limited = deployment.instances.remove(0);
    limited.target.announce_limit(Some("0.25"));
    // Requests through the other entries only, which don't restart.
    send_load(&deployment, 3 * PASS_ON_TIME).await;
    deployment.instances.push(limited);
    let from = Instant::now();
    for _ in 0..5 {
        deployment.instances[2].kill_daemon();
        deployment.instances[2].start_daemon().await.expect("a daemon");
        deployment.instances[2].start_heartbeats();
        let limited = deployment.instances.remove(2);
        send_load(&deployment, Duration::from_millis(1_300)).await;
        deployment.instances.push(limited);
    }
    let most = most_in_window(&deployment, 2, from);
    assert!(most <= allowed(0.25), "{most} requests in {WINDOW:?}");
}

/// Guards against a restarted target that is held to the limit of the process before it.
#[tokio::test]
async fn a_restarted_target_is_not_limited_until_it_announces_that() {
    let mut deployment = deploy("targets", 2).await;
    deployment.instances[0].target.announce_limit(Some("0.5"));
    send_load(&deployment, PASS_ON_TIME).await;
    deployment.instances[0].restart_target().await.expect("a target");
    send_load(&deployment, 2 * PASS_ON_TIME).await;
    let most = most_under_load(&deployment, 0).await;
    assert!(most > 100, "{most} requests without a limit");
    deployment.instances[0].target.announce_limit(Some("3"));
    send_load(&deployment, PASS_ON_TIME).await;
    let most = most_under_load(&deployment, 0).await;
    assert!((1..=allowed(3.0)).contains(&most), "{most} requests at 3 a second");
}
