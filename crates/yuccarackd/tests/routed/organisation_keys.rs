//! Tests of callers who need the key of an organisation.

use std::fs;

use http::{Method, StatusCode};
use yuccarack_platform_standin::{
    caller::{Call, CallResponse, KeepAliveConnection, send_call},
    deployment::{Deployment, RouteSpec, wait_until},
    organisation::OrganisationSpec,
    target::Run,
};
use yuccarack_standins::client::{ClientRequest, HttpClient};

use crate::support::{ORDERS, READS, board_routes, program};

/// Host of a route for callers without a key.
const OPEN: &str = "open.example";

const KEY: &str = "the-key-of-the-harbour";
const OTHER_KEY: &str = "the-key-of-the-ferry";

fn organisations(harbour_keys: &[&str]) -> Vec<OrganisationSpec> {
    vec![
        OrganisationSpec::new("harbour", harbour_keys),
        OrganisationSpec::new("ferry", &[OTHER_KEY]),
    ]
}

fn routes() -> Vec<RouteSpec> {
    let mut routes = board_routes();
    routes.push(RouteSpec::reads(OPEN, "/p/", "board").for_anyone());
    routes
}

/// Starts two instances with the organisations and routes above.
async fn deployed(name: &str) -> Deployment {
    let services = ["board", "board"];
    let mut deployment = Deployment::start(program(), name, &services).await.expect("a deployment");
    deployment.set_organisations(organisations(&[KEY]));
    deployment.apply(&routes()).await;
    deployment
}

async fn send(deployment: &Deployment, instance: usize, call: &Call) -> CallResponse {
    send_call(deployment.instances[instance].call_address(), call).await.expect("a response")
}

fn run_of(deployment: &Deployment, id: &str) -> Option<Run> {
    let mut runs = deployment.instances.iter().flat_map(|instance| instance.target.runs());
    runs.find(|run| run.id == id)
}

/// Guards against requests without a known key that run, and against refusals that look like a lack
/// of capacity.
#[tokio::test]
async fn requests_without_a_known_key_are_refused() {
    let deployment = deployed("unknown").await;
    let order = |id: &str| Call::order(ORDERS, "/o/1", id);
    for call in
        [order("none"), order("unknown").with_key("no-such-key"), order("empty").with_key("")]
    {
        let response = send(&deployment, 0, &call).await;
        assert_eq!(response.status, StatusCode::UNAUTHORIZED, "{}", call.id);
        assert!(run_of(&deployment, &call.id).is_none(), "{}", call.id);
    }
    let response = send(&deployment, 0, &order("known").with_key(KEY)).await;
    assert_eq!(response.status, StatusCode::OK);
}

/// Guards against targets that get a caller's key, or believe a caller who claims to be another
/// organisation, also on routes without a key and through the gate of another instance.
#[tokio::test]
async fn targets_are_told_the_organisation_and_no_key() {
    let deployment = deployed("told").await;
    for number in 0..24 {
        let id = format!("t{number}");
        let (call, organisation) = match number % 3 {
            0 => (Call::read(READS, "/r/1", &id).with_key(KEY), "harbour"),
            1 => (Call::order(ORDERS, "/o/1", &id).with_key(OTHER_KEY), "ferry"),
            _ => (Call::read(OPEN, "/p/1", &id).with_key(KEY), ""),
        };
        let response = send(&deployment, number % 2, &call.claiming("somebody-else")).await;
        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(run_of(&deployment, &id).expect("a run").organisation, organisation, "{id}");
    }
    for instance in &deployment.instances {
        assert!(instance.target.requests() > 0);
        assert_eq!(instance.target.received_keys(), Vec::<String>::new());
    }
}

/// Guards against a removed key that stays valid on a connection that was open before.
#[tokio::test]
async fn a_removed_key_is_refused_on_an_open_connection() {
    let mut deployment = deployed("removed").await;
    let address = deployment.instances[0].call_address();
    let mut connection = KeepAliveConnection::open(address).await.expect("a connection");
    let read = Call::read(READS, "/r/1", "r").with_key(KEY);
    assert_eq!(connection.send(&read).await.expect("a response").status, StatusCode::OK);
    deployment.set_organisations(organisations(&["a-newer-key-of-the-harbour"]));
    deployment.write_routes(&routes());
    wait_until("the new key to be known", || async {
        let call = Call::read(READS, "/r/1", "n").with_key("a-newer-key-of-the-harbour");
        send(&deployment, 0, &call).await.status == StatusCode::OK
    })
    .await;
    let response = connection.send(&read).await.expect("a response");
    assert_eq!(response.status, StatusCode::UNAUTHORIZED);
}

/// Guards against callers who are told that their key is wrong by a daemon that knows no keys.
#[tokio::test]
async fn a_daemon_without_the_document_refuses_no_key() {
    let deployment = Deployment::start(program(), "bare", &["board"]).await.expect("a deployment");
    let call = Call::read(READS, "/r/1", "b").with_key(KEY);
    assert_eq!(send(&deployment, 0, &call).await.status, StatusCode::SERVICE_UNAVAILABLE);
}

/// Guards against keys that operators find in logs, metrics or responses.
#[tokio::test]
async fn keys_are_not_disclosed() {
    let deployment = deployed("hidden").await;
    for (number, key) in [KEY, OTHER_KEY, "a-mistyped-key"].into_iter().enumerate() {
        let call = Call::read(READS, "/r/1", &format!("h{number}")).with_key(key);
        let response = format!("{:?}", send(&deployment, number % 2, &call).await);
        assert!(!response.contains(key), "{response}");
    }
    for instance in &deployment.instances {
        let metrics = ClientRequest::new(Method::GET, "/metrics");
        let metrics =
            HttpClient::default().send(instance.address("metrics_address"), metrics).await;
        let metrics = String::from_utf8_lossy(&metrics.expect("metrics").body).into_owned();
        let log = fs::read_to_string(instance.log()).expect("a log");
        for text in [metrics, log] {
            assert!(!text.contains("-key"), "{text}");
        }
    }
}
