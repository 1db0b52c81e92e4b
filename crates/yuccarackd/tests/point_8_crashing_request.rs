//! A request crashes at most two targets, and requests that were in flight beside it are cleared.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use http::Method;
use tokio::time::{sleep, timeout};
use yuccarack_config::headers;
use yuccarack_platform::rows::{SuspectRow, SuspectState, suspect_prefix};
use yuccarack_standins::{
    client::{ClientRequest, HttpClient},
    fleet::{Fleet, FleetPlan, Node, WAIT_MAX, wait_until},
    load::{Verdict, classify_response},
    platform::{Platform, PlatformFaults, PlatformMode},
    target::{CRASH_MARKER, RunLog, RunState, Target},
};

const SERVICE: &str = "dosing";
const TARGETS: usize = 6;

/// Delay of a caller between two attempts.
const CALLER_PAUSE: Duration = Duration::from_millis(30);
/// Delay before a crashed target is started again.
const RESTART_DELAY: Duration = Duration::from_millis(400);

/// Starts a fleet whose targets crash as processes do: connections break, the port refuses
/// connections, and a new incarnation announces itself later.
async fn fleet(seed: u64) -> Fleet {
    let plan = FleetPlan::new(env!("CARGO_BIN_EXE_yuccarackd"), seed);
    Fleet::start_ready(plan.with_service(SERVICE, TARGETS).without_target_links()).await
}

/// Access to the daemons for a test while targets crash.
struct Callers<'a> {
    addresses: Vec<SocketAddr>,
    admin_addresses: Vec<SocketAddr>,
    client: &'a HttpClient,
    run_log: &'a RunLog,
    platform: &'a Platform,
}

impl Callers<'_> {
    /// Sends a request to the daemon number `turn`, modulo their count.
    async fn send(&self, turn: usize, question: ClientRequest, path: &str, body: &str) -> Verdict {
        let address = self.addresses[turn % self.addresses.len()];
        let question = question.with_header(headers::SERVICE, SERVICE);
        classify_response(path, body.as_bytes(), &self.client.send(address, question).await)
    }

    /// Reads `path` at the daemon number `turn`, modulo their count.
    async fn read(&self, turn: usize, path: &str) -> Verdict {
        self.send(turn, ClientRequest::new(Method::GET, path), path, "").await
    }

    /// Returns the number of crashes of targets.
    fn crashes(&self) -> usize {
        let runs = self.run_log.runs().into_iter();
        runs.filter(|run| run.state == RunState::Crashed).count()
    }

    /// Returns how many requests the daemons made suspects after crashes.
    async fn suspect_count(&self) -> u64 {
        let mut suspect_count = 0;
        for address in &self.admin_addresses {
            let counters: BTreeMap<String, u64> =
                self.client.get_json(*address, "/counters").await.expect("a daemon counts");
            suspect_count += counters.get("suspects.blamed").copied().unwrap_or(0);
        }
        suspect_count
    }

    fn suspects(&self) -> Vec<SuspectRow> {
        let rows = self.platform.with_table(|table| table.rows(&suspect_prefix(SERVICE)));
        let rows = rows.rows.into_iter();
        rows.map(|row| serde_json::from_value(row.value).expect("a suspect's row")).collect()
    }
}

/// Runs `test` while crashed targets are restarted.
async fn with_restarting_targets(fleet: &mut Fleet, test: impl AsyncFnOnce(Callers<'_>)) {
    let addresses = fleet.nodes.iter().map(Node::call_address).collect();
    let admin_addresses = fleet.nodes.iter().map(Node::admin_address).collect();
    let Fleet { nodes, client, run_log, platform, .. } = fleet;
    let restarts = join_all(nodes.iter_mut().map(|node| restart_after_crashes(&mut node.target)));
    let test = test(Callers { addresses, admin_addresses, client, run_log, platform });
    tokio::select! {
        () = test => {}
        _ = restarts => {}
    }
}

async fn restart_after_crashes(target: &mut Target) {
    loop {
        target.wait_crashed().await;
        sleep(RESTART_DELAY).await;
        target.restart().await.expect("the port is free again");
    }
}

fn is_refused_for(verdict: &Verdict, wanted: &str) -> bool {
    matches!(verdict, Verdict::Refused { reason, .. } if reason == wanted)
}

/// Sends a request to all daemons in turn until all of them have quarantined it, and prints how
/// often each verdict occurred.
async fn send_until_quarantined(
    callers: &Callers<'_>,
    question: impl Fn(usize) -> (ClientRequest, String),
) {
    let path = format!("/read?{CRASH_MARKER}");
    let mut verdict_counts: BTreeMap<String, usize> = BTreeMap::new();
    let mut quarantined_in_row = 0;
    let sending = async {
        for turn in 0.. {
            let (request, body) = question(turn);
            let verdict = callers.send(turn, request, &path, &body).await;
            assert!(matches!(verdict, Verdict::Refused { .. }), "{verdict:?}");
            let is_quarantined = is_refused_for(&verdict, "quarantined");
            quarantined_in_row = if is_quarantined { quarantined_in_row + 1 } else { 0 };
            *verdict_counts.entry(format!("{verdict:?}")).or_default() += 1;
            if quarantined_in_row == 3 * TARGETS {
                return;
            }
            sleep(CALLER_PAUSE).await;
        }
    };
    let result = timeout(WAIT_MAX, sending).await;
    println!("{verdict_counts:#?}");
    result.expect("the request is not quarantined at all daemons");
}

/// Guards against a request that crashes all targets one after the other, because it is sent again
/// through another daemon each time. At most two targets crash, then it is refused everywhere, and
/// other callers' reads succeed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_crashing_read_crashes_at_most_two_targets() {
    let mut fleet = fleet(81).await;
    with_restarting_targets(&mut fleet, async |callers| {
        let mut verdicts: BTreeMap<String, usize> = BTreeMap::new();
        let others = async {
            for turn in 0.. {
                let verdict = callers.read(turn, &format!("/read?page={turn}")).await;
                let is_expected = matches!(verdict, Verdict::Correct | Verdict::Refused { .. });
                assert!(is_expected, "another reader got {verdict:?}");
                *verdicts.entry(format!("{verdict:?}")).or_default() += 1;
                sleep(Duration::from_millis(1)).await;
            }
        };
        let sending = send_until_quarantined(&callers, |_| {
            (ClientRequest::new(Method::GET, format!("/read?{CRASH_MARKER}")), String::new())
        });
        tokio::select! {
            () = sending => {}
            () = others => {}
        }
        println!("other readers: {verdicts:#?}");
        let right = verdicts.get(&format!("{:?}", Verdict::Correct)).copied().unwrap_or(0);
        let all: usize = verdicts.values().sum();
        assert!(right * 100 >= all * 95, "{right} of {all} other readers got their page");
        let crashes = callers.crashes();
        assert!((1..=2).contains(&crashes), "{crashes} targets crashed");
    })
    .await;
    fleet.stop().await;
}

/// Guards against more than two crashes by a request that crashes its target in the middle of the
/// response, so that its caller gets a broken response and sends it again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_crash_in_the_middle_of_a_response_counts() {
    let mut fleet = fleet(86).await;
    with_restarting_targets(&mut fleet, async |callers| {
        let mut body = "x".repeat(300 * 1024);
        body.push_str(CRASH_MARKER);
        let mut quarantined_in_row = 0;
        for turn in 0..40 * TARGETS {
            let question = ClientRequest::new(Method::POST, "/read?report").with_body(body.clone());
            let verdict = callers.send(turn, question, "/read?report", &body).await;
            assert_ne!(verdict, Verdict::Correct);
            let is_quarantined = is_refused_for(&verdict, "quarantined");
            quarantined_in_row = if is_quarantined { quarantined_in_row + 1 } else { 0 };
            if quarantined_in_row == 3 * TARGETS {
                break;
            }
            sleep(CALLER_PAUSE).await;
        }
        let crashes = callers.crashes();
        assert!((1..=2).contains(&crashes), "{crashes} targets crashed");
        assert_eq!(quarantined_in_row, 3 * TARGETS, "not all daemons refuse it");
    })
    .await;
    fleet.stop().await;
}

/// Guards against more than two crashes by an order that is sent again with a new key each time, so
/// that no claim stops it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn new_keys_do_not_hide_a_crashing_order() {
    let mut fleet = fleet(82).await;
    with_restarting_targets(&mut fleet, async |callers| {
        send_until_quarantined(&callers, |turn| {
            let question = ClientRequest::new(Method::POST, format!("/once?{CRASH_MARKER}"))
                .with_header(headers::IDEMPOTENCY_KEY, format!("fresh-{turn}"))
                .with_body("2 drums");
            (question, "2 drums".to_owned())
        })
        .await;
        let crashes = callers.crashes();
        assert!((1..=2).contains(&crashes), "{crashes} targets crashed");
    })
    .await;
    fleet.stop().await;
}

/// Guards against a second run of an order that crashed its target and is sent again with the same
/// key. It was dispatched once, so one target crashes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_crashing_order_under_one_key_runs_once() {
    let mut fleet = fleet(83).await;
    with_restarting_targets(&mut fleet, async |callers| {
        for turn in 0..30 {
            let question = ClientRequest::new(Method::POST, format!("/once?{CRASH_MARKER}"))
                .with_header(headers::IDEMPOTENCY_KEY, "refill")
                .with_body("2 drums");
            let verdict = callers.send(turn, question, "/once", "2 drums").await;
            assert!(matches!(verdict, Verdict::Refused { .. }), "{verdict:?}");
            sleep(CALLER_PAUSE).await;
        }
        assert_eq!(callers.run_log.runs_of_key("refill").len(), 1);
        assert_eq!(callers.crashes(), 1);
    })
    .await;
    fleet.stop().await;
}

/// Guards against reads that stay suspects because they were in flight when another request crashed
/// the target. When their callers send them again, each must succeed, after a trial at the latest,
/// and be cleared.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn other_requests_in_flight_are_cleared_by_one_run() {
    let mut fleet = fleet(84).await;
    with_restarting_targets(&mut fleet, async |callers| {
        let pages: Vec<String> =
            (0..24).map(|page| format!("/read?work_ms=25&page={page}")).collect();
        let reading = join_all(pages.iter().zip(0..).map(async |(page, turn)| {
            loop {
                callers.read(turn, page).await;
            }
        }));
        // Crashes targets until one crashes with reads in flight.
        let mut culprits = 0;
        let crashing = async {
            while callers.suspect_count().await <= culprits {
                culprits += 1;
                let path = format!("/read?{CRASH_MARKER}&culprit={culprits}");
                wait_until("a target crashes", || async {
                    is_refused_for(&callers.read(0, &path).await, "target_died")
                })
                .await;
            }
        };
        tokio::select! {
            _ = reading => {}
            () = crashing => {}
        }
        println!("{} suspects after {culprits} crashing requests", callers.suspect_count().await);
        for (page, first) in pages.iter().zip(0..) {
            let mut turn = first;
            wait_until(&format!("{page} is read"), || {
                turn += 1;
                let read = callers.read(turn, page);
                async { read.await == Verdict::Correct }
            })
            .await;
        }
        // A page that was read while the update about the crash was sent is cleared by its next
        // read.
        wait_until("only the crashing requests are suspects", || async {
            join_all(pages.iter().zip(0..).map(|(page, turn)| callers.read(turn, page))).await;
            let suspects = callers.suspects();
            let are_waiting = suspects.iter().all(|row| row.state == SuspectState::Suspected);
            suspects.len() as u64 == culprits && are_waiting
        })
        .await;
        assert_eq!(callers.crashes() as u64, culprits);
    })
    .await;
    fleet.stop().await;
}

/// Guards against a suspect that runs while the store is down, when no trial can be granted. It is
/// refused as not run until the store is available again; then at most one more target crashes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_suspect_does_not_run_without_the_store() {
    let mut fleet = fleet(85).await;
    with_restarting_targets(&mut fleet, async |callers| {
        let down = PlatformFaults { mode: PlatformMode::Down, ..Default::default() };
        callers.platform.set_faults(down);
        let path = format!("/read?{CRASH_MARKER}");
        for turn in 0..30 {
            let verdict = callers.read(turn, &path).await;
            assert!(matches!(verdict, Verdict::Refused { .. }), "{verdict:?}");
            sleep(CALLER_PAUSE).await;
        }
        assert_eq!(callers.crashes(), 1);
        callers.platform.set_faults(PlatformFaults::default());
        send_until_quarantined(&callers, |_| {
            (ClientRequest::new(Method::GET, path.clone()), String::new())
        })
        .await;
        assert_eq!(callers.crashes(), 2);
    })
    .await;
    fleet.stop().await;
}
