//! Quotas of organisations at running daemons.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};
use yuccarack_platform_standin::{deployment::Deployment, target::Behaviour};

use crate::support::{READS, deployed};

/// Quota of the limited organisation.
const RATE: f64 = 30.0;
const BURST: f64 = 10.0;

/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(5);

/// Most requests that may run in a window.
const MOST: f64 = (RATE * 5.0 + BURST) * 1.1 + 20.0;

/// Status, `Retry-After` and duration of a response.
struct Answer {
    status: u16,
    retry_after_s: Option<f64>,
    reason: String,
    took: Duration,
}

async fn deploy(name: &str, count: usize) -> Deployment {
    let deployment = deployed(name, &vec!["board"; count]).await;
    for instance in &deployment.instances {
        instance.target.set_behaviour(Behaviour::Respond(Duration::from_millis(2)));
    }
    deployment.write_raw_routes(document(1_000, RATE, BURST).to_string().as_bytes());
    sleep(Duration::from_millis(2_500)).await;
    deployment
}

fn document(version: u64, rate_per_s: f64, burst: f64) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "reads", "host": READS, "prefix": "/r/", "kind": "safe", "service": "board",
            "timeout_ms": 1_500, "target_latency_ms": 500, "priority": 1, "attempts": 2,
        }],
        "services": [{
            "name": "board", "health_check_path": "/health", "max_connections": 240,
            "cold_start_s": 3.0, "cold_per_s": 0.0,
        }],
        "tenants": [
            {"name": "limited", "api_keys": ["key-l"], "priority": 1, "rate_per_s": rate_per_s,
             "burst": burst},
            {"name": "free", "api_keys": ["key-f"], "priority": 1},
        ],
        "limits": {"header_bytes": 16_384, "body_bytes": 67_108_864,
                   "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
        "base_version": 0,
    })
}

async fn send(address: SocketAddr, key: &str, id: &str) -> Answer {
    let sent_at = Instant::now();
    let request = format!(
        "GET /r/1 HTTP/1.1\r\nHost: {READS}\r\nAuthorization: Token {key}\r\nConnection: close\r\n\
         Yuccarack-Request-Id: {id}\r\nYuccarack-Request-Deadline: 1500\r\n\r\n"
    );
    let mut text = String::new();
    if let Ok(mut stream) = TcpStream::connect(address).await
        && stream.write_all(request.as_bytes()).await.is_ok()
    {
        let _ = stream.read_to_string(&mut text).await;
    }
    let field = |name: &str| {
        let mut lines = text.lines().take_while(|line| !line.is_empty());
        lines.find_map(|line| line.to_ascii_lowercase().strip_prefix(name).map(str::to_owned))
    };
    Answer {
        status: text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0),
        retry_after_s: field("retry-after: ").and_then(|value| value.trim().parse().ok()),
        reason: field("yuccarack-reason: ").unwrap_or_default(),
        took: sent_at.elapsed(),
    }
}

/// Sends `per_s` requests per second for `time`, to the instances in turn.
async fn send_load(
    deployment: &Deployment,
    instances: &[usize],
    per_s: f64,
    time: Duration,
) -> Vec<Answer> {
    let started_at = Instant::now();
    let mut sent = Vec::new();
    for number in 0.. {
        let at = started_at + Duration::from_secs_f64(f64::from(number) / per_s);
        if at >= started_at + time {
            break;
        }
        tokio::time::sleep_until(at.into()).await;
        let instance = instances[number as usize % instances.len()];
        let address = deployment.instances[instance].call_address();
        let id = format!("q{number}-{}", started_at.elapsed().as_nanos());
        sent.push(tokio::spawn(async move { send(address, "key-l", &id).await }));
    }
    let mut answers = Vec::new();
    for answer in sent {
        answers.push(answer.await.expect("a caller"));
    }
    answers
}

/// Returns the most requests that ran on all targets in any window.
fn most_in_window(deployment: &Deployment) -> usize {
    let mut arrivals: Vec<Instant> =
        deployment.instances.iter().flat_map(|instance| instance.target.arrivals()).collect();
    arrivals.sort_unstable();
    let from = |start: usize| {
        let end = arrivals[start] + WINDOW;
        arrivals[start..].iter().take_while(|at| **at < end).count()
    };
    (0..arrivals.len()).map(from).max().unwrap_or(0)
}

fn count(answers: &[Answer], status: u16) -> usize {
    answers.iter().filter(|answer| answer.status == status).count()
}

/// Guards against an organisation that gets more than its quota by sending to all daemons, and against
/// refusals below the quota when it sends to one.
#[tokio::test]
async fn quota_holds_over_all_daemons_and_is_available_at_one() {
    let deployment = deploy("quota", 6).await;
    let below = send_load(&deployment, &[0], 0.6 * RATE, Duration::from_secs(8)).await;
    let refused = count(&below, 429);
    let over = send_load(&deployment, &[0, 1, 2, 3, 4, 5], 9.0 * RATE, 2 * WINDOW).await;
    let (served, refused_over) = (count(&over, 200), count(&over, 429));
    let most = most_in_window(&deployment);
    eprintln!(
        "below: {refused} of {} refused; over: {served} served, {refused_over} refused of {}; most {most} of {MOST}",
        below.len(),
        over.len()
    );
    assert!(most as f64 <= MOST, "{most} requests in {WINDOW:?}");
    assert!(served as f64 >= 0.6 * RATE * 10.0, "{served} served over the quota");
    let late = below.iter().rev().take(below.len() * 3 / 4).filter(|it| it.status == 429).count();
    assert!(late <= 1, "{late} of {} refused below the quota", below.len());
    for answer in over.iter().filter(|answer| answer.status == 429) {
        assert_eq!(answer.reason, "over_quota");
        let retry_after_s = answer.retry_after_s.expect("a Retry-After");
        assert!((0.04..=5.0).contains(&retry_after_s), "{retry_after_s} s");
    }
    let slowest = over.iter().filter(|it| it.status == 429).map(|it| it.took).max();
    eprintln!("slowest refusal {slowest:?}");
    let free = send(deployment.instances[0].call_address(), "key-f", "f1").await;
    assert_eq!(free.status, 200, "an organisation without a quota: {}", free.reason);
}

/// Guards against a keeper that dies and whose daemons go on without a bound, or refuse everything for
/// good.
#[tokio::test]
async fn quota_holds_when_keepers_die_and_is_granted_again() {
    let mut deployment = deploy("quotakeeper", 6).await;
    send_load(&deployment, &[0, 1, 2, 3, 4, 5], 3.0 * RATE, Duration::from_secs(4)).await;
    // Each domain has two daemons; the other one becomes the keeper.
    for instance in [0, 1, 2] {
        deployment.instances[instance].kill_daemon();
    }
    let during = send_load(&deployment, &[3, 4, 5], 3.0 * RATE, Duration::from_secs(8)).await;
    let after = send_load(&deployment, &[3, 4, 5], 0.4 * RATE, Duration::from_secs(6)).await;
    let most = most_in_window(&deployment);
    eprintln!(
        "during: {} served of {}; after: {} refused of {}; most {most} of {MOST}",
        count(&during, 200),
        during.len(),
        count(&after, 429),
        after.len()
    );
    assert!(most as f64 <= MOST, "{most} requests in {WINDOW:?}");
    assert!(count(&during, 200) > 30, "nothing is served while keepers are down");
}

/// Guards against reports in deployments without quotas.
#[tokio::test]
async fn nothing_is_reported_without_quotas() {
    let deployment = deployed("noquota", &["board"; 2]).await;
    deployment.write_raw_routes(document(1_000, 0.0, 0.0).to_string().as_bytes());
    sleep(Duration::from_secs(3)).await;
    let answer = send(deployment.instances[0].call_address(), "key-l", "n1").await;
    assert_eq!(answer.status, 200);
    let address = deployment.instances[0].address("metrics_address");
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let request = "GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("a request");
    let mut text = String::new();
    stream.read_to_string(&mut text).await.expect("metrics");
    assert!(text.contains("yuccarack_entry_calls"), "{text}");
    assert!(!text.contains("quota"), "metrics of quotas without any");
}
