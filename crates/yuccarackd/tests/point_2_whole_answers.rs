//! A caller gets the complete response to its own request, or can see that it got none.

use std::time::Duration;

use http::Method;
use tokio::{task::JoinSet, time::timeout};
use yuccarack_config::headers;
use yuccarack_standins::{
    client::Question,
    fleet::{Fleet, FleetPlan, Storm, judge_storm, until},
    load::{Verdict, judge},
    proxy::{CutAfter, Direction, ProxyFaults},
    target::{RunState, TargetFaults},
};

const SERVICE: &str = "conditions";

/// Total number of calls under faults.
const TOTAL_CALLS: usize = 10_000;

/// Length of a body that is too large to be buffered, in bytes.
const LARGE_BYTES: usize = 16 * 1024 * 1024;

/// Number of concurrent calls with large bodies, spread over the daemons.
const LARGE_CALLS: usize = 12;

/// Largest memory use of a daemon that forwards large bodies, in KiB.
const MEMORY_MAX_KIB: u64 = 32 * 1024;

fn plan(seed: u64) -> FleetPlan {
    FleetPlan::new(env!("CARGO_BIN_EXE_yuccarackd"), seed).with_service(SERVICE, 3)
}

/// Guards against truncated or swapped responses: ten thousand calls run while links delay, cut and
/// lose data, targets truncate their responses or respond late, and some callers disconnect. A call
/// may get no response; a response that arrives is complete and belongs to its call.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn ten_thousand_calls_under_faults_get_no_wrong_response() {
    let fleet = Fleet::serving(plan(21)).await;
    let mut plan = fleet.storm_plan(SERVICE, 21);
    plan.callers = 48;
    plan.once_percent = 0;
    let storm = Storm::start(&plan);
    let cut = |direction, bytes| ProxyFaults {
        cut_after_bytes: Some(CutAfter { direction, bytes }),
        times: Some(20),
        ..Default::default()
    };
    let link_faults = [
        cut(Direction::Downstream, 100),
        cut(Direction::Downstream, 10_000),
        cut(Direction::Upstream, 2_000),
        ProxyFaults { delay_ms: 30, ..Default::default() },
        ProxyFaults { swallow_answer: true, times: Some(10), ..Default::default() },
    ];
    let target_faults = [
        TargetFaults { cut_answers_after: Some(50), ..Default::default() },
        TargetFaults { cut_answers_after: Some(10_000), ..Default::default() },
        TargetFaults { stall_for_ms: 300, ..Default::default() },
    ];
    for round in 0..20 {
        let node = &fleet.nodes[round % 3];
        node.links.gate.set_faults(link_faults[round % link_faults.len()].clone());
        node.links.target.set_faults(link_faults[(round + 2) % link_faults.len()].clone());
        let other = &fleet.nodes[(round + 1) % 3];
        other.target.set_faults(target_faults[round % target_faults.len()].clone());
        fleet.more_calls(&storm, TOTAL_CALLS / 20).await;
        node.links.gate.set_faults(ProxyFaults::default());
        node.links.target.set_faults(ProxyFaults::default());
        other.target.set_faults(TargetFaults::default());
    }
    let calls = storm.stop().await;
    fleet.until_quiet().await;
    let report = judge_storm(&calls, &fleet.ledger);
    println!("{report:?}");
    assert_eq!(report.breaches, Vec::<String>::new());
    assert!(report.calls >= TOTAL_CALLS && report.right > TOTAL_CALLS / 4, "{report:?}");
    fleet.stop().await;
}

/// Guards against truncated responses that look complete: a target fails in the middle of a
/// response without a content length.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_truncated_response_without_a_length_is_detected() {
    let fleet = Fleet::serving(plan(22)).await;
    for node in &fleet.nodes {
        let fault = TargetFaults { cut_answers_after: Some(5_000), ..Default::default() };
        node.target.set_faults(fault);
    }
    for node in fleet.nodes.iter().cycle().take(12) {
        let path = "/read?answer_bytes=9000&chunked=1";
        let request = Question::new(Method::GET, path);
        let response = fleet.call(node.call_address(), SERVICE, request).await;
        let verdict = judge(path, b"", &response);
        assert!(!matches!(verdict, Verdict::Right | Verdict::Wrong), "{verdict:?}");
    }
    fleet.stop().await;
}

/// Guards against daemons that buffer large bodies: bodies of 16 MiB pass through two daemons in
/// both directions, several at once. They arrive complete and the memory use stays small.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_bodies_arrive_complete_and_are_not_buffered() {
    let mut fleet = Fleet::serving(plan(23)).await;
    let mut calls = JoinSet::new();
    for number in 0..LARGE_CALLS {
        let address = fleet.nodes[number % 3].call_address();
        let asker = fleet.asker.clone();
        calls.spawn(async move {
            let path = format!("/read?n={number}");
            let body = vec![b'a' + u8::try_from(number).unwrap(); LARGE_BYTES];
            let request = Question::new(Method::POST, &path)
                .with_header(headers::SERVICE, SERVICE)
                .with_header(headers::DEADLINE_MS, 25_000)
                .with_body(body.clone());
            judge(&path, &body, &asker.ask(address, request).await)
        });
    }
    let verdicts = calls.join_all().await;
    assert_eq!(verdicts, vec![Verdict::Right; LARGE_CALLS]);
    for node in &mut fleet.nodes {
        let kib = node.daemon().memory_most_kib().unwrap();
        println!("{}: {kib} KiB", node.name());
        assert!(kib < MEMORY_MAX_KIB, "{} used {kib} KiB of memory", node.name());
    }
    fleet.stop().await;
}

/// Guards against slots that stay occupied after the caller has disconnected: the target is
/// notified while it works on the request, and stops.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_disconnected_caller_frees_the_target() {
    let fleet = Fleet::serving(plan(24)).await;
    for (number, node) in fleet.nodes.iter().enumerate() {
        let path = format!("/read?hangup={number}&work_ms=20000");
        let request = Question::new(Method::GET, &path).with_header(headers::DEADLINE_MS, 25_000);
        let mut call = Box::pin(fleet.call(node.call_address(), SERVICE, request));
        let running = async {
            until("the request runs", || async { !fleet.ledger.runs_of_path(&path).is_empty() })
                .await;
        };
        tokio::select! {
            response = &mut call => panic!("response before the disconnect: {response:?}"),
            () = running => {}
        }
        assert!(timeout(Duration::from_millis(50), &mut call).await.is_err());
        drop(call);
        until("the target has stopped", || async {
            let runs = fleet.ledger.runs_of_path(&path);
            runs.iter().all(|run| run.state == RunState::Cancelled)
        })
        .await;
    }
    fleet.stop().await;
}
