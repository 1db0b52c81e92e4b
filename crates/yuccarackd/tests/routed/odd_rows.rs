//! Rows of another writer that can't be used cost themselves and no other row.

use std::time::Duration;

use futures_util::future::join_all;
use http::StatusCode;
use yuccarack_platform_standin::{
    caller::{Call, send_call},
    deployment::{Deployment, RouteSpec, wait_until},
    instance::Links,
    store::Store,
    target::Behaviour,
};

use crate::{
    relays::gauge,
    support::{READS, board_routes, program},
};

/// Levels of nesting that a recursive parser without a limit doesn't survive.
const NESTING_LEVELS: usize = 20_000;

/// Instances of one failure domain: two relays and two daemons that follow them.
const SERVICES: [&str; 4] = ["board"; 4];

/// Calls at the same time, more than three targets have slots for.
const CONCURRENT_CALLS: usize = 32;

/// Time that a target works on a request.
const SERVICE_TIME: Duration = Duration::from_millis(400);

/// Returns values that describe no member.
fn odd_values() -> Vec<Vec<u8>> {
    let member = |field: &str, value: &str| {
        let mut fields = vec![
            ("instance", "\"odd\""),
            ("failure_domain", "\"a\""),
            ("gate_address", "\"127.0.0.1:1\""),
            ("service", "\"board\""),
        ];
        fields.retain(|(name, _)| *name != field);
        fields.push((field, value));
        let fields = fields.iter().map(|(name, value)| format!("\"{name}\":{value}"));
        format!("{{{}}}", fields.collect::<Vec<_>>().join(",")).into_bytes()
    };
    let nested = format!("{}{}", "[".repeat(NESTING_LEVELS), "]".repeat(NESTING_LEVELS));
    let huge = format!("\"{}\"", "x".repeat(60_000));
    vec![
        Vec::new(),
        b"\xff\xfe".to_vec(),
        b"{".to_vec(),
        b"null".to_vec(),
        b"1e999".to_vec(),
        nested.clone().into_bytes(),
        member("service", &nested),
        member("service", "1e999"),
        member("service", "{}"),
        member("gate_address", "\"127.0.0.1:70000\""),
        member("gate_address", "\"127.0.0.1:-1\""),
        member("gate_address", "99999999999999999999"),
        member("gate_address", &huge),
        member("instance", "null"),
        member("failure_domain", "[]"),
        // Describes another member than its key.
        member("instance", "\"n1\""),
        member("instance", "\"n3\""),
    ]
}

/// Writes odd rows that are read before and behind those of the members, and into the other tables.
fn write_odd_rows(store: &Store) {
    for (number, value) in odd_values().iter().enumerate() {
        for prefix in ["!", "zz"] {
            store.put("members", &format!("{prefix}{number}"), value);
        }
        store.put("members", &format!("-relays.{number}"), value);
        store.put("op", &format!("odd{number}"), value);
        store.put("leaving", &format!("odd{number}"), value);
    }
}

/// Asserts that each daemon runs and knows exactly the members, and that all of them serve `path`.
async fn assert_members_serve(deployment: &mut Deployment, path: &str) {
    for number in 0..SERVICES.len() {
        let known = gauge(deployment, number, "yuccarack_members_serving").await;
        assert_eq!(known, Some(SERVICES.len()), "members known to n{number}");
        let daemon = deployment.instances[number].daemon.as_mut().expect("a daemon");
        assert!(daemon.is_running(), "n{number} has ended");
    }
    let requests = || deployment.instances.iter().map(|instance| instance.target.requests());
    let before: Vec<_> = requests().collect();
    let calls = (0..CONCURRENT_CALLS).map(|number| {
        let address = deployment.instances[number % SERVICES.len()].call_address();
        async move {
            let call = Call::read(READS, path, &format!("{path}-{number}"));
            send_call(address, &call).await.expect("a response")
        }
    });
    for response in join_all(calls).await {
        assert_eq!(response.status, StatusCode::OK);
    }
    for (number, (before, after)) in before.into_iter().zip(requests()).enumerate() {
        assert!(after > before, "no request at n{number}");
    }
}

async fn has_route(deployment: &Deployment, number: usize, path: &str) -> bool {
    let call = Call::read(READS, path, "probe");
    let response = send_call(deployment.instances[number].call_address(), &call).await;
    response.is_some_and(|response| response.status == StatusCode::OK)
}

/// Guards against one odd row or heartbeat that ends the daemons that read it, hides members or stops
/// the following of changes, in polls, through relays and at a start.
#[tokio::test]
async fn odd_rows_cost_no_other_row() {
    let links = vec![Links::default(); SERVICES.len()];
    let started = Deployment::start_with(program(), "odd-rows", &SERVICES, &links, 1).await;
    let mut deployment = started.expect("a deployment");
    for instance in &deployment.instances {
        instance.target.set_behaviour(Behaviour::Respond(SERVICE_TIME));
    }
    deployment.apply(&board_routes()).await;
    write_odd_rows(&deployment.store);
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_members_serve(&mut deployment, "/r/1").await;
    for value in odd_values() {
        let text = String::from_utf8_lossy(&value);
        let status = deployment.instances[0].send_raw_heartbeat(&text).await;
        assert!(status.is_some_and(|status| status.is_client_error()), "{status:?} to {text:.80}");
    }
    for number in 0..SERVICES.len() {
        deployment.instances[number].kill_daemon();
        deployment.instances[number].start_daemon().await.expect("a daemon");
        wait_until("a ready daemon", || deployment.instances[number].is_ready()).await;
    }
    let changed = vec![RouteSpec::reads(READS, "/new/", "board")];
    deployment.write_routes(&changed);
    for number in 0..SERVICES.len() {
        wait_until("the new route", || has_route(&deployment, number, "/new/1")).await;
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_members_serve(&mut deployment, "/new/1").await;
}
