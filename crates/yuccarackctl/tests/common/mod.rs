//! Helpers shared by the tests: the command line, rules files, a fake daemon.
#![allow(dead_code, reason = "each test binary uses only a part")]

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde_json::{Value, json};
use yuccarack_standins::{
    platform::Platform,
    server::{HandlerResult, Server, listen, respond, respond_json},
};
use yuccarackctl::{CtlError, Report, command, run};

/// Returns a loopback address with port 0, for which the kernel chooses a free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts a platform stand-in.
pub async fn platform() -> Platform {
    Platform::start(any_port()).await.expect("a free port")
}

/// Runs the tool in this process with `args`, separated by whitespace.
pub async fn ctl(args: &str) -> Result<Report, CtlError> {
    let args: Vec<&str> = args.split_whitespace().collect();
    let command = command().run_inner(args.as_slice()).expect("a valid command line");
    run(command).await
}

/// Writes a rules file with one service and returns its path; `name` must be unique among tests.
pub fn rules_file(name: &str, based_on: u64, service: &str, deadline_ms: u32) -> String {
    let file = json!({
        "format": 1,
        "based_on": based_on,
        "services": [{
            "name": service,
            "routes": [{"name": "all", "path_prefix": "/", "deadline_ms": deadline_ms}],
        }],
    });
    write_file(name, &file.to_string())
}

/// Writes `text` to a file in the temporary directory of the tests and returns its path.
pub fn write_file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("a writable target directory");
    path.display().to_string()
}

/// Responses of a [`FakeDaemon`] and counts of its requests.
#[derive(Default)]
struct DaemonState {
    responses: Mutex<BTreeMap<String, Value>>,
    hints: AtomicU32,
    requests: AtomicU32,
}

/// A fake daemon that serves set responses at its admin address.
pub struct FakeDaemon {
    server: Server,
    state: Arc<DaemonState>,
}

impl FakeDaemon {
    /// Starts a daemon that responds to every path with status 404.
    pub async fn start() -> Self {
        let state = Arc::new(DaemonState::default());
        let server_state = Arc::clone(&state);
        let listener = listen(any_port()).await.expect("a free port");
        let server = Server::start(listener, 16, move |request| {
            let state = Arc::clone(&server_state);
            async move { state.serve(&request) }
        });
        Self { server: server.expect("a listening socket"), state }
    }

    /// Returns the admin address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the response for `path`.
    pub fn set_response(&self, path: &str, value: Value) {
        self.state.responses.lock().insert(path.to_owned(), value);
    }

    /// Returns the number of received hints.
    pub fn hints(&self) -> u32 {
        self.state.hints.load(Ordering::Relaxed)
    }

    /// Returns the number of received requests other than hints.
    pub fn requests(&self) -> u32 {
        self.state.requests.load(Ordering::Relaxed)
    }

    /// Stops the server and closes its connections.
    pub async fn stop(self) {
        self.server.crash().await;
    }
}

impl DaemonState {
    fn serve(&self, request: &Request<Incoming>) -> HandlerResult {
        let path = request.uri().path();
        if request.method() == Method::POST && path == "/hint" {
            self.hints.fetch_add(1, Ordering::Relaxed);
            return respond(StatusCode::NO_CONTENT, Bytes::new());
        }
        self.requests.fetch_add(1, Ordering::Relaxed);
        match self.responses.lock().get(path) {
            Some(value) => respond_json(StatusCode::OK, value),
            None => respond(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }
}
