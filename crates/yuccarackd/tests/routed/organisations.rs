//! Requests of organisations: which keys are accepted, and what targets learn of them.

use std::{net::SocketAddr, time::Duration};

use http::{HeaderName, StatusCode};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};
use yuccarack_platform_standin::{
    deployment::{Deployment, wait_until},
    target::Run,
};

use crate::support::{READS, deployed, program};

/// Time from the acceptance of a document by which a removed key is refused.
const KEY_REMOVED_AFTER: Duration = Duration::from_millis(2_500);

/// Path of a route that needs a key.
const KEYED: &str = "/r/1";

/// Path of an anonymous route.
const OPEN: &str = "/open/1";

const NORTH_KEY: &str = "key-of-north";
const NORTH_SECOND_KEY: &str = "second-key-of-north";
const SOUTH_KEY: &str = "key-of-south";
const UNKNOWN_KEY: &str = "key-of-nobody";

/// Returns an operators' document with two organisations and a route of each sort.
fn document(version: u64, north_keys: &[&str]) -> Value {
    let route = |name: &str, prefix: &str, is_open: bool| {
        json!({"name": name, "host": READS, "prefix": prefix, "kind": "safe", "timeout_ms": 1_500,
               "target_latency_ms": 500, "priority": 1, "attempts": 2, "service": "board",
               "allow_anonymous": is_open})
    };
    json!({"version": version, "routes": [route("keyed", "/r/", false), route("open", "/open/", true)],
           "services": [{"name": "board", "health_check_path": "/health", "max_connections": 240}],
           "limits": {"header_bytes": 16_384, "body_bytes": 67_108_864},
           "tenants": [
               {"name": "north", "api_keys": north_keys, "priority": 0},
               {"name": "south", "api_keys": [SOUTH_KEY], "priority": 1}]})
}

/// Status and head of a response.
struct Answer {
    status: StatusCode,
    head: String,
}

impl Answer {
    fn header(&self, name: &str) -> &str {
        let lines = self.head.lines().filter_map(|line| line.split_once(':'));
        let mut values = lines.filter(|(other, _)| other.eq_ignore_ascii_case(name));
        values.next().map_or("", |(_, value)| value.trim())
    }
}

/// An open connection of a caller that writes request heads by hand.
struct Caller {
    stream: TcpStream,
}

impl Caller {
    async fn connect(address: SocketAddr) -> Self {
        Self { stream: TcpStream::connect(address).await.expect("a connection") }
    }

    /// Sends a read of `path` with `headers` and returns the response, whose body is read and dropped.
    async fn read(&mut self, path: &str, id: &str, headers: &str) -> Answer {
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: {READS}\r\nYuccarack-Request-Id: {id}\r\n\
             Yuccarack-Request-Deadline: 1500\r\n{headers}\r\n"
        );
        self.stream.write_all(request.as_bytes()).await.expect("a sent request");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.stream.read_u8().await.expect("the head of a response"));
        }
        let head = String::from_utf8(head).expect("a head of text");
        let code = head.split(' ').nth(1).expect("a status").parse::<u16>().expect("a status");
        let status = StatusCode::from_u16(code).expect("a status");
        let answer = Answer { status, head };
        let length = answer.header("content-length").parse().expect("a length");
        self.stream.read_exact(&mut vec![0; length]).await.expect("the body");
        answer
    }
}

fn key_header(key: &str) -> String {
    format!("Authorization: Token {key}\r\n")
}

/// Starts two instances with the document in force at both.
async fn deployed_with_organisations(name: &str) -> Deployment {
    let deployment = deployed(name, &["board", "board"]).await;
    let keys = [NORTH_KEY, NORTH_SECOND_KEY];
    deployment.write_raw_routes(document(100, &keys).to_string().as_bytes());
    for instance in &deployment.instances {
        let requires_key = || async {
            let mut caller = Caller::connect(instance.call_address()).await;
            caller.read(KEYED, "start", "").await.status == StatusCode::UNAUTHORIZED
        };
        wait_until("the document to be in force", requires_key).await;
    }
    deployment
}

/// Returns all runs of the request `id`.
fn runs_of(deployment: &Deployment, id: &str) -> Vec<Run> {
    let runs = deployment.instances.iter().flat_map(|instance| instance.target.runs());
    runs.filter(|run| run.id == id).collect()
}

/// Returns the values of a header that a target received.
fn received<'a>(run: &'a Run, name: &HeaderName) -> Vec<&'a str> {
    let found = run.headers.iter().filter(|(other, _)| other == name.as_str());
    found.map(|(_, value)| value.as_str()).collect()
}

/// Asserts that one target ran `id` for `organisation` and received no key.
fn assert_run_for(deployment: &Deployment, id: &str, organisation: &[&str]) {
    let runs = runs_of(deployment, id);
    assert_eq!(runs.len(), 1, "{id}");
    let tenant = HeaderName::from_static("yuccarack-tenant");
    assert_eq!(received(&runs[0], &tenant), organisation, "{id}");
    assert_eq!(received(&runs[0], &http::header::AUTHORIZATION), Vec::<&str>::new(), "{id}");
    let all = format!("{:?}", runs[0].headers);
    assert!(!all.contains("key-of"), "{id}: a key among the headers of a target: {all}");
}

/// Asserts that no daemon has logged a key.
fn assert_no_key_logged(deployment: &Deployment) {
    for instance in &deployment.instances {
        let log = std::fs::read_to_string(instance.log()).expect("a log");
        assert!(!log.contains("key-of"), "{} logged a key", instance.name);
    }
}

/// Guards against keys that reach a target, and against a target that is told another organisation
/// than that of the key, such as one that the caller named itself.
#[tokio::test]
async fn a_target_learns_the_organisation_and_no_key() {
    let deployment = deployed_with_organisations("known").await;
    let own_name = "Yuccarack-Tenant: south\r\nyuccarack-tenant: east\r\n";
    let cases = [
        (NORTH_KEY, "", "north"),
        (NORTH_SECOND_KEY, "", "north"),
        (SOUTH_KEY, "", "south"),
        (NORTH_KEY, own_name, "north"),
    ];
    for (entry, instance) in deployment.instances.iter().enumerate() {
        let mut caller = Caller::connect(instance.call_address()).await;
        for round in 0..4 {
            for (number, (key, more, organisation)) in cases.into_iter().enumerate() {
                let id = format!("k{entry}-{round}-{number}");
                let answer = caller.read(KEYED, &id, &format!("{more}{}", key_header(key))).await;
                assert_eq!(answer.status, StatusCode::OK, "{id}");
                assert!(!answer.head.contains("key-of"), "{}", answer.head);
                assert_run_for(&deployment, &id, &[organisation]);
            }
        }
    }
    let ran_on = |number: usize| deployment.instances[number].target.runs().len();
    assert!(ran_on(0) > 0 && ran_on(1) > 0, "no request went to another daemon");
    assert_no_key_logged(&deployment);
}

/// Guards against requests that run without a key, or with one that no organisation holds.
#[tokio::test]
async fn only_known_keys_are_served() {
    let deployment = deployed_with_organisations("unknown").await;
    let refused = [
        String::new(),
        key_header(UNKNOWN_KEY),
        format!("Authorization: Bearer {NORTH_KEY}\r\n"),
        format!("Authorization: {NORTH_KEY}\r\n"),
        key_header(NORTH_KEY) + &key_header(SOUTH_KEY),
        "Yuccarack-Tenant: north\r\n".to_owned(),
    ];
    let mut caller = Caller::connect(deployment.instances[0].call_address()).await;
    for (number, headers) in refused.iter().enumerate() {
        let id = format!("u{number}");
        let answer = caller.read(KEYED, &id, headers).await;
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "{headers:?}");
        assert_eq!(answer.header("yuccarack-reason"), "unauthorized");
        assert_eq!(answer.header("yuccarack-outcome"), "not_run");
        assert!(!answer.head.contains("key-of"), "{}", answer.head);
        assert!(runs_of(&deployment, &id).is_empty(), "{headers:?} ran");
    }
    assert_no_key_logged(&deployment);
}

/// Guards against anonymous routes that pass on a key, or an organisation that the caller named.
#[tokio::test]
async fn an_anonymous_route_names_no_organisation() {
    let deployment = deployed_with_organisations("open").await;
    let cases = [
        String::new(),
        key_header(NORTH_KEY),
        key_header(UNKNOWN_KEY),
        "Yuccarack-Tenant: north\r\n".to_owned(),
        key_header(NORTH_KEY) + "Yuccarack-Tenant: north\r\n",
    ];
    for (entry, instance) in deployment.instances.iter().enumerate() {
        let mut caller = Caller::connect(instance.call_address()).await;
        for (number, headers) in cases.iter().enumerate() {
            let id = format!("o{entry}-{number}");
            assert_eq!(caller.read(OPEN, &id, headers).await.status, StatusCode::OK, "{headers:?}");
            assert_run_for(&deployment, &id, &[]);
        }
    }
}

/// Guards against a removed key that is still served on connections opened before.
#[tokio::test]
async fn a_removed_key_is_refused_on_an_open_connection() {
    let deployment = deployed_with_organisations("removed").await;
    let mut callers = Vec::new();
    for instance in &deployment.instances {
        let mut caller = Caller::connect(instance.call_address()).await;
        let answer = caller.read(KEYED, "before", &key_header(NORTH_KEY)).await;
        assert_eq!(answer.status, StatusCode::OK);
        callers.push(caller);
    }
    deployment.write_raw_routes(document(101, &[NORTH_SECOND_KEY]).to_string().as_bytes());
    sleep(KEY_REMOVED_AFTER).await;
    for (entry, mut caller) in callers.into_iter().enumerate() {
        let id = format!("removed{entry}");
        let answer = caller.read(KEYED, &id, &key_header(NORTH_KEY)).await;
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "at entry {entry}");
        assert!(runs_of(&deployment, &id).is_empty());
        for key in [NORTH_SECOND_KEY, SOUTH_KEY] {
            let answer = caller.read(KEYED, "kept", &key_header(key)).await;
            assert_eq!(answer.status, StatusCode::OK, "{key} at entry {entry}");
        }
    }
}

/// Guards against a 401 from a daemon that has no table yet: the caller would take a valid key for a
/// removed one.
#[tokio::test]
async fn a_daemon_without_a_table_responds_with_503() {
    let deployment = Deployment::start(program(), "tableless", &["board"]).await.expect("one");
    let address = deployment.instances[0].call_address();
    for headers in [String::new(), key_header(NORTH_KEY)] {
        let answer = Caller::connect(address).await.read(KEYED, "t", &headers).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{headers:?}");
        assert_eq!(answer.header("yuccarack-reason"), "no_routing");
    }
}

/// Guards against changed requests in deployments without organisations.
#[tokio::test]
async fn without_organisations_headers_are_passed_on() {
    let deployment = deployed("plain", &["board"]).await;
    let mut caller = Caller::connect(deployment.instances[0].call_address()).await;
    let headers = "Authorization: Token own\r\nYuccarack-Tenant: own\r\n";
    assert_eq!(caller.read(KEYED, "p", headers).await.status, StatusCode::OK);
    let runs = runs_of(&deployment, "p");
    assert_eq!(received(&runs[0], &http::header::AUTHORIZATION), ["Token own"]);
    assert_eq!(received(&runs[0], &HeaderName::from_static("yuccarack-tenant")), ["own"]);
}
