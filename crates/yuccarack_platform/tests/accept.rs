//! Accepting rules files with concurrent operators, lost responses, late writes and outages.

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
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);
const APPLY_TIMEOUT: Duration = Duration::from_secs(30);

async fn start_platform() -> (Platform, PlatformClient) {
    let platform = Platform::start(SocketAddr::from(ANY_PORT)).await.expect("a running platform");
    let client = PlatformClient::new(platform.address(), RESPONSE_TIMEOUT);
    (platform, client)
}

fn new_proposal(based_on: Revision, services: &[(&str, u32)], removed: &[&str]) -> Proposal {
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
    let rules = RulesFile::parse(&text).expect("valid rules");
    let mut proposal = Proposal::new(String::new(), "tester".to_owned(), rules, text);
    proposal.apply_id = proposal.object_name();
    proposal
}

async fn apply(client: &PlatformClient, proposal: &Proposal) -> Result<AcceptedFile, AcceptError> {
    accept(client, proposal, Instant::now() + APPLY_TIMEOUT).await
}

async fn rules_of(client: &PlatformClient, service: &str) -> Option<(Revision, RulesRow)> {
    let row = client.row(&rules_key(service)).await.expect("a response")?;
    Some((row.revision, serde_json::from_value(row.value).expect("a rules row")))
}

fn deadline_of(rules: &ServiceRules) -> u32 {
    rules.routes[0].deadline_ms
}

#[tokio::test]
async fn an_accepted_file_is_complete_in_the_table_and_the_object_store() {
    let (platform, client) = start_platform().await;
    let proposal = new_proposal(0, &[("conditions", 500), ("repairs", 900)], &[]);
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

// Guards against a silently lost update: two operators start from the same rules and change the
// same service. If the second file were accepted, it would undo the first change unnoticed.
#[tokio::test]
async fn a_conflict_names_the_service_and_its_revision_and_writes_nothing() {
    let (platform, client) = start_platform().await;
    let first = apply(&client, &new_proposal(0, &[("conditions", 500)], &[])).await.unwrap();
    let late_proposal = new_proposal(0, &[("repairs", 900), ("conditions", 600)], &[]);
    let Err(AcceptError::Conflict { based_on, services }) = apply(&client, &late_proposal).await
    else {
        panic!("no conflict");
    };
    assert_eq!(based_on, 0);
    let revision = first.revision;
    assert_eq!(services, [ServiceConflict { service: "conditions".to_owned(), revision }]);
    assert_eq!(rules_of(&client, "repairs").await, None);
    assert!(read_back(&client, &late_proposal.apply_id).await.unwrap().is_none());
    platform.stop().await;
}

#[tokio::test]
async fn changes_of_different_services_do_not_conflict() {
    let (platform, client) = start_platform().await;
    let based_on = apply(&client, &new_proposal(0, &[("conditions", 500), ("repairs", 500)], &[]))
        .await
        .unwrap();
    let first_change = new_proposal(based_on.revision, &[("conditions", 600)], &[]);
    let second_change = new_proposal(based_on.revision, &[("repairs", 700)], &[]);
    let (first, second) =
        tokio::join!(apply(&client, &first_change), apply(&client, &second_change));
    assert_ne!(first.unwrap().revision, second.unwrap().revision);
    platform.stop().await;
}

// Guards against a removed service that comes back: one operator removes it while another one edits
// a file that contains it and applies that later. Without the row that marks the removal, the late
// file would be accepted.
#[tokio::test]
async fn a_file_written_before_a_removal_does_not_bring_the_service_back() {
    let (platform, client) = start_platform().await;
    let first = apply(&client, &new_proposal(0, &[("repairs", 500)], &[])).await.unwrap();
    let removal = apply(&client, &new_proposal(first.revision, &[], &["repairs"])).await.unwrap();
    let late_result = apply(&client, &new_proposal(first.revision, &[("repairs", 600)], &[])).await;
    assert!(matches!(late_result, Err(AcceptError::Conflict { .. })), "{late_result:?}");
    let found = rules_of(&client, "repairs").await;
    assert_eq!(found, Some((removal.revision, RulesRow::Removed)));
    let based_on_removal = new_proposal(removal.revision, &[("repairs", 600)], &[]);
    apply(&client, &based_on_removal).await.unwrap();
    platform.stop().await;
}

// Guards against reporting a failure when the commit took effect and only its response was lost:
// the operator would apply rules again that are already in force.
#[tokio::test]
async fn a_commit_with_a_lost_response_is_read_back() {
    let (platform, client) = start_platform().await;
    platform.set_faults(PlatformFaults { lose_answers: 1, ..Default::default() });
    let proposal = new_proposal(0, &[("conditions", 500)], &[]);
    let accepted = apply(&client, &proposal).await.unwrap();
    assert_eq!(rules_of(&client, "conditions").await.unwrap().0, accepted.revision);
    assert_eq!(platform.stats().commits, 1);
    platform.stop().await;
}

// Guards against a commit that takes effect twice: it is still in flight after the response timeout
// and the read-back, so it is sent again, and both copies arrive. If both took effect, a change of
// another operator between them would be undone. `based_on` is high here, so that only the
// condition on the row of the apply id can reject the second copy.
#[tokio::test]
async fn only_one_of_the_copies_that_arrive_late_takes_effect() {
    let store = LateStore::default();
    let (for_server, listener) = (store.clone(), listen(SocketAddr::from(ANY_PORT)).await.unwrap());
    let server = Server::start(listener, 16, move |request| for_server.clone().serve(request));
    let server = server.unwrap();
    let client = PlatformClient::new(server.address(), Duration::from_millis(50));
    let proposal = new_proposal(1_000, &[("conditions", 500)], &[]);
    let accepted = apply(&client, &proposal).await.unwrap();
    server.crash().await;
    let outcomes = store.join_commits().await;
    assert!(outcomes.len() > 1, "no copy was sent");
    assert_eq!(outcomes.iter().flatten().copied().collect::<Vec<_>>(), [accepted.revision]);
}

/// A store whose commits take effect long after their senders have timed out.
#[derive(Clone, Default)]
struct LateStore {
    table: Arc<Mutex<Table>>,
    pending_commits: Arc<Mutex<JoinSet<Option<Revision>>>>,
}

impl LateStore {
    async fn serve(self, request: Request<Incoming>) -> Answer {
        match (request.method().clone(), request.uri().query()) {
            (Method::PUT, _) => answer(StatusCode::NO_CONTENT, Bytes::new()),
            (Method::POST, _) => {
                let commit: Commit = json_question(request.into_body()).await?;
                let table = Arc::clone(&self.table);
                self.pending_commits.lock().expect("an unpoisoned lock").spawn(async move {
                    sleep(Duration::from_millis(400)).await;
                    table
                        .lock()
                        .expect("an unpoisoned lock")
                        .commit(commit)
                        .ok()
                        .map(|committed| committed.revision)
                });
                std::future::pending().await
            }
            (_, query) => {
                let key = query.unwrap_or_default().replace("key=", "").replace("%2F", "/");
                match self.table.lock().expect("an unpoisoned lock").row(&key) {
                    Some(row) => json_answer(StatusCode::OK, &row),
                    None => answer(StatusCode::NOT_FOUND, Bytes::new()),
                }
            }
        }
    }

    /// Waits until all copies have arrived; returns the revision of each one that took effect.
    async fn join_commits(&self) -> Vec<Option<Revision>> {
        let pending_commits =
            std::mem::take(&mut *self.pending_commits.lock().expect("an unpoisoned lock"));
        pending_commits.join_all().await
    }
}

#[tokio::test]
async fn applying_a_file_again_returns_the_first_outcome_and_writes_nothing() {
    let (platform, client) = start_platform().await;
    let proposal = new_proposal(0, &[("conditions", 500)], &[]);
    let first = apply(&client, &proposal).await.unwrap();
    apply(&client, &new_proposal(first.revision, &[("conditions", 600)], &[])).await.unwrap();
    let commits = platform.stats().commits;
    let second = apply(&client, &proposal).await.unwrap();
    assert_eq!(second, first);
    assert_eq!(platform.stats().commits, commits);
    platform.stop().await;
}

#[tokio::test]
async fn an_apply_id_can_not_be_used_for_another_file() {
    let (platform, client) = start_platform().await;
    let first = new_proposal(0, &[("conditions", 500)], &[]);
    let accepted = apply(&client, &first).await.unwrap();
    let mut other = new_proposal(0, &[("repairs", 500)], &[]);
    other.apply_id = first.apply_id;
    let Err(AcceptError::ApplyIdTaken { revision, .. }) = apply(&client, &other).await else {
        panic!("accepted twice");
    };
    assert_eq!(revision, accepted.revision);
    assert_eq!(rules_of(&client, "repairs").await, None);
    platform.stop().await;
}

#[tokio::test]
async fn a_file_that_the_platform_refuses_until_the_deadline_is_not_accepted() {
    let (platform, client) = start_platform().await;
    platform.set_faults(PlatformFaults { mode: PlatformMode::Down, ..Default::default() });
    let proposal = new_proposal(0, &[("conditions", 500)], &[]);
    let deadline = Instant::now() + Duration::from_millis(100);
    let result = accept(&client, &proposal, deadline).await;
    let Err(AcceptError::NotAccepted(PlatformError::Refused { status: 503 })) = result else {
        panic!("{result:?}");
    };
    platform.set_faults(PlatformFaults::default());
    apply(&client, &proposal).await.unwrap();
    platform.stop().await;
}

// Guards against a definite result after the store has stored the file and then becomes unavailable
// during the commit: both "accepted" and "not accepted" could be wrong.
#[tokio::test]
async fn the_outcome_of_a_commit_without_a_response_is_unknown() {
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
    let proposal = new_proposal(0, &[("conditions", 500)], &[]);
    let deadline = Instant::now() + Duration::from_millis(200);
    let result = accept(&client, &proposal, deadline).await;
    let Err(AcceptError::UnknownOutcome { apply_id, .. }) = result else { panic!("{result:?}") };
    assert_eq!(apply_id, proposal.apply_id);
    server.crash().await;
}

// Guards against accepted changes that are lost or take effect twice: concurrent operators raise
// the deadlines of three services by one while responses to commits get lost at random. The sums
// must match the results that were returned to the operators.
#[tokio::test]
async fn no_accepted_change_is_lost_or_duplicated_by_concurrent_operators() {
    for seed in 0..8 {
        println!("seed {seed}");
        let (platform, client) = start_platform().await;
        let services = ["conditions", "repairs", "supplies"];
        let start: Vec<_> = services.iter().map(|service| (*service, 1)).collect();
        apply(&client, &new_proposal(0, &start, &[])).await.unwrap();
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
            let accepted: u32 = raised.iter().map(|raised| raised[index]).sum();
            let (_, row) = rules_of(&client, service).await.unwrap();
            let RulesRow::InForce(rules) = row else { panic!("removed") };
            assert_eq!(deadline_of(&rules), 1 + accepted, "{service}, seed {seed}");
        }
        platform.stop().await;
    }
}

/// Raises the deadline of `service` by one; returns whether the change was accepted.
async fn raise(client: &PlatformClient, service: &str, operator: u64) -> bool {
    let rows = client.rows(RULES_PREFIX).await.expect("a response");
    let row = rows.rows.iter().find(|row| row.key == rules_key(service)).expect("a rules row");
    let RulesRow::InForce(rules) = serde_json::from_value(row.value.clone()).expect("a rules row")
    else {
        panic!("removed");
    };
    let mut proposal = new_proposal(rows.revision, &[(service, deadline_of(&rules) + 1)], &[]);
    // Two operators may write identical files; each one needs an apply id of its own here.
    proposal.apply_id = format!("{}-{operator}", proposal.apply_id);
    match apply(client, &proposal).await {
        Ok(_) => true,
        Err(AcceptError::Conflict { .. }) => false,
        Err(other) => panic!("{other}"),
    }
}
