//! Accepting rules files: races, lost answers, late writes, outages.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::join_all;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};
use yuccarack_config::{
    ids::Revision,
    rules::{RulesFile, ServiceRules},
};
use yuccarack_platform::{
    PlatformClient, PlatformError,
    accept::{AcceptError, AcceptedFile, Proposal, ServiceConflict, accept, read_back},
    messages::Commit,
    rows::{AppliedRow, RULES_PREFIX, RulesRow, applied_key, rules_key},
};
use yuccarack_standins::{
    platform::{Platform, PlatformFaults, PlatformMode, Table},
    server::{Answer, Server, answer, json_answer, json_question, listen},
};

const ANY_PORT: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
const LONG: Duration = Duration::from_secs(30);

async fn platform() -> (Platform, PlatformClient) {
    let platform = Platform::start(SocketAddr::from(ANY_PORT)).await.expect("a working stand-in");
    let client = PlatformClient::new(platform.address(), ANSWER_TIMEOUT);
    (platform, client)
}

fn file(based_on: Revision, services: &[(&str, u32)], removed: &[&str]) -> Proposal {
    let services: Vec<_> = services
        .iter()
        .map(|(name, deadline_ms)| {
            serde_json::json!({
                "name": name,
                "routes": [{"name": "all", "path_prefix": "/", "deadline_ms": deadline_ms}],
            })
        })
        .collect();
    let text = serde_json::json!({
        "format": 1, "based_on": based_on, "services": services, "removed": removed,
    });
    let text = Bytes::from(text.to_string());
    let rules = RulesFile::parse(&text).expect("a working stand-in");
    let mut proposal = Proposal::new(String::new(), "tester".to_owned(), rules, text);
    proposal.apply_id = proposal.object_name();
    proposal
}

async fn apply(client: &PlatformClient, proposal: &Proposal) -> Result<AcceptedFile, AcceptError> {
    accept(client, proposal, Instant::now() + LONG).await
}

async fn rules_of(client: &PlatformClient, service: &str) -> Option<(Revision, RulesRow)> {
    let row = client.row(&rules_key(service)).await.expect("a working stand-in")?;
    Some((row.revision, serde_json::from_value(row.value).expect("a working stand-in")))
}

fn deadline_of(rules: &ServiceRules) -> u32 {
    rules.routes[0].deadline_ms
}

#[tokio::test]
async fn an_accepted_file_stands_whole_in_the_table_and_the_object_store() {
    let (platform, client) = platform().await;
    let proposal = file(0, &[("conditions", 500), ("repairs", 900)], &[]);
    let accepted = apply(&client, &proposal).await.unwrap();
    for service in &proposal.rules.services {
        let found = rules_of(&client, &service.name).await.unwrap();
        assert_eq!(found, (accepted.revision, RulesRow::InForce(service.clone())));
    }
    let row = client.row(&applied_key(&proposal.apply_id)).await.unwrap().unwrap();
    let applied: AppliedRow = serde_json::from_value(row.value).unwrap();
    assert_eq!((row.revision, &applied), (accepted.revision, &accepted.applied));
    assert_eq!(client.object(&applied.object).await.unwrap(), Some(proposal.text));
    platform.stop().await;
}

// Two operators start from the same rules and both change one service. Were the second file
// accepted, the first one's change would be undone without anybody being told.
#[tokio::test]
async fn the_loser_of_a_race_hears_the_service_and_its_revision_and_writes_nothing() {
    let (platform, client) = platform().await;
    let first = apply(&client, &file(0, &[("conditions", 500)], &[])).await.unwrap();
    let late = file(0, &[("repairs", 900), ("conditions", 600)], &[]);
    let Err(AcceptError::Conflict { based_on, services }) = apply(&client, &late).await else {
        panic!("no conflict");
    };
    assert_eq!(based_on, 0);
    let revision = first.revision;
    assert_eq!(services, [ServiceConflict { service: "conditions".to_owned(), revision }]);
    assert_eq!(rules_of(&client, "repairs").await, None);
    assert!(read_back(&client, &late.apply_id).await.unwrap().is_none());
    platform.stop().await;
}

#[tokio::test]
async fn operators_who_change_different_services_both_win() {
    let (platform, client) = platform().await;
    let based_on =
        apply(&client, &file(0, &[("conditions", 500), ("repairs", 500)], &[])).await.unwrap();
    let one = file(based_on.revision, &[("conditions", 600)], &[]);
    let other = file(based_on.revision, &[("repairs", 700)], &[]);
    let (one, other) = tokio::join!(apply(&client, &one), apply(&client, &other));
    assert_ne!(one.unwrap().revision, other.unwrap().revision);
    platform.stop().await;
}

// An operator takes a service away while a colleague still edits a file with it. The colleague's
// file comes later: without the removed row it would bring the service back, unseen by both.
#[tokio::test]
async fn a_file_written_before_a_removal_does_not_bring_the_service_back() {
    let (platform, client) = platform().await;
    let first = apply(&client, &file(0, &[("repairs", 500)], &[])).await.unwrap();
    let removal = apply(&client, &file(first.revision, &[], &["repairs"])).await.unwrap();
    let late = apply(&client, &file(first.revision, &[("repairs", 600)], &[])).await;
    assert!(matches!(late, Err(AcceptError::Conflict { .. })), "{late:?}");
    let found = rules_of(&client, "repairs").await;
    assert_eq!(found, Some((removal.revision, RulesRow::Removed)));
    let knowing = file(removal.revision, &[("repairs", 600)], &[]);
    apply(&client, &knowing).await.unwrap();
    platform.stop().await;
}

// The commit takes effect and its answer gets lost. An operator who hears "failed" applies again
// or mends what is already in force. The row of the apply id tells.
#[tokio::test]
async fn a_lost_answer_is_read_back() {
    let (platform, client) = platform().await;
    platform.set_faults(PlatformFaults { lose_answers: 1, ..Default::default() });
    let proposal = file(0, &[("conditions", 500)], &[]);
    let accepted = apply(&client, &proposal).await.unwrap();
    assert_eq!(rules_of(&client, "conditions").await.unwrap().0, accepted.revision);
    assert_eq!(platform.stats().commits, 1);
    platform.stop().await;
}

// Every write is slow: it is still on its way when the tool gives up on its answer, and when the
// tool looks for its effect. The tool sends it again, and both copies arrive in the end. Only one
// of them may count, or a change of another operator in between would be undone. The file's
// `based_on` is high here, so that only the row of the apply id stands in the way of the second.
#[tokio::test]
async fn of_copies_that_arrive_late_only_one_takes_effect() {
    let store = LateStore::default();
    let (for_server, listener) = (store.clone(), listen(SocketAddr::from(ANY_PORT)).await.unwrap());
    let server = Server::start(listener, 16, move |request| for_server.clone().serve(request));
    let server = server.unwrap();
    let client = PlatformClient::new(server.address(), Duration::from_millis(50));
    let proposal = file(1_000, &[("conditions", 500)], &[]);
    let accepted = apply(&client, &proposal).await.unwrap();
    server.crash().await;
    let outcomes = store.all_arrived().await;
    assert!(outcomes.len() > 1, "no copy was sent");
    assert_eq!(outcomes.iter().flatten().copied().collect::<Vec<_>>(), [accepted.revision]);
}

/// A store whose commits take effect long after their senders have given up.
#[derive(Clone, Default)]
struct LateStore {
    table: Arc<Mutex<Table>>,
    late: Arc<Mutex<JoinSet<Option<Revision>>>>,
}

impl LateStore {
    async fn serve(self, request: Request<Incoming>) -> Answer {
        match (request.method().clone(), request.uri().query()) {
            (Method::PUT, _) => answer(StatusCode::NO_CONTENT, Bytes::new()),
            (Method::POST, _) => {
                let commit: Commit = json_question(request.into_body()).await?;
                let table = Arc::clone(&self.table);
                self.late.lock().expect("a working stand-in").spawn(async move {
                    sleep(Duration::from_millis(400)).await;
                    table
                        .lock()
                        .expect("a working stand-in")
                        .commit(commit)
                        .ok()
                        .map(|committed| committed.revision)
                });
                std::future::pending().await
            }
            (_, query) => {
                let key = query.unwrap_or_default().replace("key=", "").replace("%2F", "/");
                match self.table.lock().expect("a working stand-in").row(&key) {
                    Some(row) => json_answer(StatusCode::OK, &row),
                    None => answer(StatusCode::NOT_FOUND, Bytes::new()),
                }
            }
        }
    }

    /// The revision of each copy that took effect, once all have arrived.
    async fn all_arrived(&self) -> Vec<Option<Revision>> {
        let late = std::mem::take(&mut *self.late.lock().expect("a working stand-in"));
        late.join_all().await
    }
}

#[tokio::test]
async fn applying_the_same_again_tells_the_first_fate_and_writes_nothing() {
    let (platform, client) = platform().await;
    let proposal = file(0, &[("conditions", 500)], &[]);
    let first = apply(&client, &proposal).await.unwrap();
    apply(&client, &file(first.revision, &[("conditions", 600)], &[])).await.unwrap();
    let commits = platform.stats().commits;
    let again = apply(&client, &proposal).await.unwrap();
    assert_eq!(again, first);
    assert_eq!(platform.stats().commits, commits);
    platform.stop().await;
}

#[tokio::test]
async fn an_apply_id_stands_for_one_file_only() {
    let (platform, client) = platform().await;
    let first = file(0, &[("conditions", 500)], &[]);
    let accepted = apply(&client, &first).await.unwrap();
    let mut other = file(0, &[("repairs", 500)], &[]);
    other.apply_id = first.apply_id;
    let Err(AcceptError::ApplyIdTaken { revision, .. }) = apply(&client, &other).await else {
        panic!("accepted twice");
    };
    assert_eq!(revision, accepted.revision);
    assert_eq!(rules_of(&client, "repairs").await, None);
    platform.stop().await;
}

#[tokio::test]
async fn a_platform_that_refuses_until_the_deadline_has_not_accepted() {
    let (platform, client) = platform().await;
    platform.set_faults(PlatformFaults { mode: PlatformMode::Down, ..Default::default() });
    let proposal = file(0, &[("conditions", 500)], &[]);
    let deadline = Instant::now() + Duration::from_millis(100);
    let refused = accept(&client, &proposal, deadline).await;
    let Err(AcceptError::NotAccepted(PlatformError::Refused { status: 503 })) = refused else {
        panic!("{refused:?}");
    };
    platform.set_faults(PlatformFaults::default());
    apply(&client, &proposal).await.unwrap();
    platform.stop().await;
}

// The store keeps the file, then falls silent in the middle of the commit and stays away. Both
// "accepted" and "not accepted" could be a lie, so the operator hears that it is unknown.
#[tokio::test]
async fn a_commit_without_any_answer_is_unknown() {
    let listener = listen(SocketAddr::from(ANY_PORT)).await.unwrap();
    let server = Server::start(listener, 16, |request: http::Request<_>| async move {
        match *request.method() {
            Method::PUT => answer(StatusCode::NO_CONTENT, Bytes::new()),
            Method::POST => std::future::pending().await,
            _ => answer(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        }
    })
    .unwrap();
    let client = PlatformClient::new(server.address(), Duration::from_millis(50));
    let proposal = file(0, &[("conditions", 500)], &[]);
    let deadline = Instant::now() + Duration::from_millis(200);
    let result = accept(&client, &proposal, deadline).await;
    let Err(AcceptError::UnknownOutcome { apply_id, .. }) = result else { panic!("{result:?}") };
    assert_eq!(apply_id, proposal.apply_id);
    server.crash().await;
}

// Operators race on three services while answers of commits get lost at random. Each of them
// raises a number by one. If an accepted change were undone, or one counted twice, the sums would
// not match what the operators were told.
#[tokio::test]
async fn no_accepted_change_is_lost_or_doubled_in_a_race() {
    for seed in 0..8 {
        println!("seed {seed}");
        let (platform, client) = platform().await;
        let services = ["conditions", "repairs", "supplies"];
        let start: Vec<_> = services.iter().map(|service| (*service, 1)).collect();
        apply(&client, &file(0, &start, &[])).await.unwrap();
        let raised = join_all((0..6).map(|operator| {
            let mut random = StdRng::seed_from_u64(seed * 100 + operator);
            let (client, platform) = (client.clone(), &platform);
            async move {
                let mut raised = [0; 3];
                for _ in 0..8 {
                    if random.random_bool(0.3) {
                        let faults = PlatformFaults { lose_answers: 1, ..Default::default() };
                        platform.set_faults(faults);
                    }
                    let index = random.random_range(0..services.len());
                    if raise(&client, services[index], operator).await {
                        raised[index] += 1;
                    }
                }
                raised
            }
        }))
        .await;
        for (index, service) in services.iter().enumerate() {
            let told: u32 = raised.iter().map(|raised| raised[index]).sum();
            let (_, row) = rules_of(&client, service).await.unwrap();
            let RulesRow::InForce(rules) = row else { panic!("removed") };
            assert_eq!(deadline_of(&rules), 1 + told, "{service}, seed {seed}");
        }
        platform.stop().await;
    }
}

/// Raises the deadline of `service` by one; says whether that was accepted.
async fn raise(client: &PlatformClient, service: &str, operator: u64) -> bool {
    let rows = client.rows(RULES_PREFIX).await.expect("a working stand-in");
    let row =
        rows.rows.iter().find(|row| row.key == rules_key(service)).expect("a working stand-in");
    let RulesRow::InForce(rules) =
        serde_json::from_value(row.value.clone()).expect("a working stand-in")
    else {
        panic!("removed");
    };
    let mut proposal = file(rows.revision, &[(service, deadline_of(&rules) + 1)], &[]);
    // Two operators may write the very same file; each wants a change of its own here.
    proposal.apply_id = format!("{}-{operator}", proposal.apply_id);
    match apply(client, &proposal).await {
        Ok(_) => true,
        Err(AcceptError::Conflict { .. }) => false,
        Err(other) => panic!("{other}"),
    }
}
