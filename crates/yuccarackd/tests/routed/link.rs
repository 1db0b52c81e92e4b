//! Long responses over the slow link of an instance.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use yuccarack_platform_standin::{
    caller::{Call, send_call},
    deployment::{Deployment, RouteSpec, wait_until},
    target::{Behaviour, long_page},
};
use yuccarack_standins::client::{ClientRequest, HttpClient};

use crate::support::{READS, deployed};

/// Host of the downloads.
const DOWNLOADS: &str = "downloads.example";

/// Rate of the link, of which 90 kB/s are used.
const LINK_KBIT_PER_S: u32 = 800;

/// Rate of a faster link, of which 270 kB/s are used.
const FASTER_KBIT_PER_S: u32 = 2_400;

/// Deploys a target of `board` with a slow link and a daemon whose callers use it.
async fn deploy_with_slow_link(name: &str, kbit_per_s: u32) -> Deployment {
    let mut deployment = deployed(name, &["board", "desk"]).await;
    let board = &mut deployment.instances[0];
    board.kill_daemon();
    // As the platform's template writes a rate in Mbit/s.
    let rate: serde_json::Value =
        serde_json::from_str(&format!("{}.0e2", kbit_per_s / 100)).expect("a number");
    board.set_setting("link_kbit_per_s", rate).expect("written settings");
    board.start_daemon().await.expect("a daemon");
    let downloads =
        RouteSpec { wait_max_ms: 9_000, ..RouteSpec::downloads(DOWNLOADS, "/d/", "board") };
    deployment.apply(&[downloads, RouteSpec::reads(READS, "/r/", "board")]).await;
    deployment
}

fn download(id: &str) -> Call {
    Call { deadline_ms: 9_000, ..Call::read(DOWNLOADS, "/d/1", id) }
}

/// Returns the value of a metric of the daemon with the slow link.
async fn metric(deployment: &Deployment, name: &str) -> Option<i64> {
    let address = deployment.instances[0].address("metrics_address");
    let request = ClientRequest::new(Method::GET, "/metrics");
    let response = HttpClient::new(Duration::from_secs(1)).send(address, request).await.ok()?;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line?.parse().ok()
}

/// Guards against paced responses that lose, repeat or swap pieces, or break off, and against short
/// responses that wait behind them: a response of 1.2 MB, which is
/// streamed, takes 4 s.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_responses_arrive_whole_and_short_ones_pass() {
    let deployment = deploy_with_slow_link("paced", FASTER_KBIT_PER_S).await;
    let (board, desk) = (&deployment.instances[0], &deployment.instances[1]);
    for (id, bytes) in [("d1", 90_000), ("d2", 300_000), ("d3", 1_200_000)] {
        board.target.queue_behaviour(Behaviour::RespondLong(bytes));
        let (address, call, sent_at) = (desk.call_address(), download(id), Instant::now());
        let long = tokio::spawn(async move { send_call(address, &call).await });
        wait_until("a paced response", || async {
            metric(&deployment, "yuccarack_link_waiting_bytes").await > Some(20_000)
        })
        .await;
        let short_at = Instant::now();
        let short =
            send_call(desk.call_address(), &Call::read(READS, "/r/1", &format!("{id}-short")))
                .await;
        assert_eq!(short.expect("a response").status, StatusCode::OK);
        assert!(short_at.elapsed() < Duration::from_millis(300), "{:?}", short_at.elapsed());
        assert!(!long.is_finished());
        let long = long.await.expect("a finished task").expect("a response");
        let took = sent_at.elapsed();
        assert_eq!(long.status, StatusCode::OK);
        assert!(long.body == long_page(id, bytes), "{} bytes of {bytes}", long.body.len());
        let needed = Duration::from_secs_f64((bytes as f64 - 20_000.0) / 270_000.0);
        assert!(took > needed, "{bytes} bytes took {took:?}");
    }
    assert_eq!(metric(&deployment, "yuccarack_link_waiting_bytes").await, Some(0));
    assert_eq!(metric(&deployment, "yuccarack_gate_responses_paced_total").await, Some(3));
}

/// Guards against a link that is kept for callers that have left: their responses would have taken
/// 10 s of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_leaves_frees_its_share() {
    let deployment = deploy_with_slow_link("left", LINK_KBIT_PER_S).await;
    let (board, desk) = (&deployment.instances[0], &deployment.instances[1]);
    board.target.set_behaviour(Behaviour::RespondLong(240_000));
    let callers = (0..4).map(|number| {
        let (address, call) = (desk.call_address(), download(&format!("gone-{number}")));
        tokio::spawn(async move { send_call(address, &call).await })
    });
    let callers: Vec<_> = callers.collect();
    wait_until("four paced responses", || async {
        metric(&deployment, "yuccarack_link_waiting_bytes").await > Some(4 * 200_000)
    })
    .await;
    callers.iter().for_each(|caller| caller.abort());
    wait_until("the shares to be free", || async {
        metric(&deployment, "yuccarack_link_waiting_bytes").await == Some(0)
    })
    .await;
    board.target.set_behaviour(Behaviour::RespondLong(50_000));
    let since = Instant::now();
    let response = send_call(desk.call_address(), &download("stays")).await.expect("a response");
    assert!(response.body == long_page("stays", 50_000));
    assert!(since.elapsed() < Duration::from_secs(2), "{:?}", since.elapsed());
}

/// Guards against pacing in deployments without downloads, where nothing must change.
#[tokio::test]
async fn nothing_is_paced_without_downloads() {
    let mut deployment = deploy_with_slow_link("off", LINK_KBIT_PER_S).await;
    deployment.apply(&[RouteSpec::reads(READS, "/r/", "board")]).await;
    let (board, desk) = (&deployment.instances[0], &deployment.instances[1]);
    board.target.queue_behaviour(Behaviour::RespondLong(240_000));
    let since = Instant::now();
    let response = send_call(desk.call_address(), &Call::read(READS, "/r/1", "r1")).await;
    assert!(response.expect("a response").body == long_page("r1", 240_000));
    assert!(since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
    assert_eq!(metric(&deployment, "yuccarack_gate_responses_paced_total").await, None);
}

/// Guards against downloads that run although their response can't be sent in time: the refusal must
/// be immediate, say that nothing ran, and name the time after which the link has room.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_download_that_cannot_be_sent_in_time_is_refused() {
    let deployment = deploy_with_slow_link("refused", LINK_KBIT_PER_S).await;
    let (board, desk) = (&deployment.instances[0], &deployment.instances[1]);
    board.target.queue_behaviour(Behaviour::RespondLong(60_000));
    let usual = send_call(desk.call_address(), &download("usual")).await.expect("a response");
    assert_eq!(usual.body.len(), 60_000);
    board.target.queue_behaviour(Behaviour::RespondLong(400_000));
    let (address, call) = (desk.call_address(), download("long"));
    let long = tokio::spawn(async move { send_call(address, &call).await });
    wait_until("a backlog", || async {
        metric(&deployment, "yuccarack_link_backlog_milliseconds").await > Some(3_000)
    })
    .await;
    let since = Instant::now();
    let urgent = Call { deadline_ms: 1_000, ..download("urgent") };
    let refused = send_call(address, &urgent).await.expect("a response");
    assert!(since.elapsed() < Duration::from_millis(300), "{:?}", since.elapsed());
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.header("yuccarack-reason"), "link_full");
    let retry_after: f64 = refused.header("retry-after").parse().expect("a time");
    assert!((2.0..=6.0).contains(&retry_after), "{retry_after} s");
    assert!(board.target.runs().iter().all(|run| run.id != "urgent"));
    let long = long.await.expect("a finished task").expect("a response");
    assert!(long.body == long_page("long", 400_000));
}
