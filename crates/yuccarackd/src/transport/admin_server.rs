//! The admin endpoint: announcements of the target, questions of operators.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::JoinHandle,
    time::Instant,
};

use serde::Serialize;
use serde_json::Value;
use xitca_web::{
    App, WebContext,
    body::ResponseBody,
    error::Error,
    handler::{body::Limit, handler_service},
    http::{
        StatusCode, WebResponse,
        header::{CONTENT_TYPE, HeaderValue},
    },
    route::{get, post},
    service::Service,
};
use yuccarack_config::settings::DaemonSettings;
use yuccarack_platform::rows::MemberRow;

use crate::{
    protocol::{
        announce::Announcement,
        status::{Refusal, ServiceStatus, StatusReport, StoreStatus},
    },
    state::{
        counters::Counters, directory::Directory, own_target::OwnTarget, store_health::StoreHealth,
    },
};

/// Where targets announce themselves.
const ANNOUNCE_PATH: &str = "/announce";
/// Start of the paths under which requests are explained.
const EXPLAIN_PATH: &str = "/explain/";
/// Largest announcement that is read, in bytes.
const ANNOUNCEMENT_MAX_BYTES: usize = 16 * 1024;

/// Finds out what happened to a request; none when it isn't remembered.
pub type Explain = Arc<dyn Fn(&str) -> Option<Value> + Send + Sync>;

/// What the admin endpoint shows and changes.
#[derive(Clone)]
pub struct AdminState {
    /// Settings of the daemon.
    pub settings: Arc<DaemonSettings>,
    /// Counters.
    pub counters: Counters,
    /// What is known of services.
    pub directory: Directory,
    /// The own target.
    pub own_target: OwnTarget,
    /// Whether the store answers.
    pub store_health: StoreHealth,
    /// Whether this daemon is stopping.
    pub draining: tokio::sync::watch::Receiver<bool>,
    /// Finds out what happened to a request.
    pub explain: Explain,
    /// Has the table looked at at once.
    pub hint: Arc<dyn Fn() + Send + Sync>,
}

/// The running admin endpoint.
pub struct AdminServer {
    address: SocketAddr,
    ask_to_stop: Box<dyn FnOnce() + Send>,
    thread: JoinHandle<io::Result<()>>,
}

impl AdminServer {
    /// Serves `listener` on a thread of its own.
    ///
    /// # Errors
    ///
    /// The operating system's, when the listener can't be used or no thread can be had.
    pub fn start(state: AdminState, listener: TcpListener) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let mut server = App::new()
            .with_state(state)
            .at(ANNOUNCE_PATH, post(handler_service(announce)))
            .at("/hint", post(handler_service(hint)))
            .at("/status", get(handler_service(status)))
            .at("/targets", get(handler_service(targets)))
            .at("/counters", get(handler_service(counters)))
            .at("/explain/{id}", get(handler_service(explain)))
            .enclosed_fn(check_address)
            .serve()
            .worker_threads(1)
            .worker_max_blocking_threads(1)
            .disable_signal()
            .listen(listener)?
            .run();
        let handle = server.handle()?;
        let thread =
            std::thread::Builder::new().name("admin".to_owned()).spawn(move || server.wait())?;
        // Failure: a target keeps its announcing connection open, and the server's graceful stop
        // waits 30 s for it, which shows as a daemon that takes half a minute to leave. All calls
        // have ended by now and the answers here are small, so idle connections are just closed.
        let ask_to_stop = Box::new(move || handle.stop(false));
        Ok(Self { address, ask_to_stop, thread })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and waits for the thread to end.
    ///
    /// # Errors
    ///
    /// What the server ended with.
    pub fn stop(self) -> io::Result<()> {
        (self.ask_to_stop)();
        self.thread.join().unwrap_or_else(|_| Err(io::Error::other("the admin thread panicked")))
    }
}

type Context<'a> = WebContext<'a, AdminState>;

/// Refuses calls from addresses that the settings don't name.
///
/// Guards against anybody on the network who poses as the target, or drains and reads as an
/// operator would: both show as calls from unnamed addresses, and TCP proves the address.
async fn check_address<S>(next: &S, ctx: Context<'_>) -> Result<WebResponse, Error>
where
    S: for<'r> Service<Context<'r>, Response = WebResponse, Error = Error>,
{
    let state = ctx.state();
    let peer = ctx.req().body().socket_addr().ip();
    let is_announcement = ctx.req().uri().path() == ANNOUNCE_PATH;
    let (accepted, counter) = if is_announcement {
        (&state.settings.announce_from, "announce.refused_address")
    } else {
        (&state.settings.admin_from, "admin.refused_address")
    };
    if accepted.contains(&peer) {
        return next.call(ctx).await;
    }
    state.counters.add(counter);
    let refusal = Refusal { reason: "address_not_accepted".to_owned(), detail: peer.to_string() };
    Ok(json_answer(&ctx, StatusCode::FORBIDDEN, &refusal))
}

async fn announce(
    ctx: &Context<'_>,
    (body, _): (Vec<u8>, Limit<ANNOUNCEMENT_MAX_BYTES>),
) -> WebResponse {
    let state = ctx.state();
    let announcement: Announcement = match serde_json::from_slice(&body) {
        Ok(announcement) => announcement,
        Err(error) => return refuse_announcement(ctx, &error),
    };
    if let Err(error) = announcement.check() {
        return refuse_announcement(ctx, &error);
    }
    state.counters.add("announce.taken");
    state.own_target.apply_announcement(announcement, Instant::now());
    empty_answer(StatusCode::NO_CONTENT)
}

fn refuse_announcement(ctx: &Context<'_>, error: &dyn std::error::Error) -> WebResponse {
    ctx.state().counters.add("announce.refused_content");
    let refusal =
        Refusal { reason: "announcement_not_valid".to_owned(), detail: error.to_string() };
    json_answer(ctx, StatusCode::BAD_REQUEST, &refusal)
}

async fn hint(ctx: &Context<'_>) -> WebResponse {
    (ctx.state().hint)();
    empty_answer(StatusCode::NO_CONTENT)
}

async fn status(ctx: &Context<'_>) -> WebResponse {
    let report = status_report(ctx.state());
    json_answer(ctx, StatusCode::OK, &report)
}

async fn targets(ctx: &Context<'_>) -> WebResponse {
    let views = ctx.state().directory.views();
    let rows: Vec<MemberRow> = views.iter().flat_map(|view| view.members.to_vec()).collect();
    json_answer(ctx, StatusCode::OK, &rows)
}

async fn counters(ctx: &Context<'_>) -> WebResponse {
    json_answer(ctx, StatusCode::OK, &ctx.state().counters.snapshot())
}

async fn explain(ctx: &Context<'_>) -> WebResponse {
    let path = ctx.req().uri().path();
    let id = path.strip_prefix(EXPLAIN_PATH).unwrap_or_default();
    match (ctx.state().explain)(id) {
        Some(found) => json_answer(ctx, StatusCode::OK, &found),
        None => {
            let refusal =
                Refusal { reason: "request_not_remembered".to_owned(), detail: id.to_owned() };
            json_answer(ctx, StatusCode::NOT_FOUND, &refusal)
        }
    }
}

fn status_report(state: &AdminState) -> StatusReport {
    let own_service = state.directory.own_service();
    let target = state.own_target.current();
    let own_row = own_service
        .as_ref()
        .and_then(|service| state.directory.member_row(service, &state.settings.instance));
    let views = state.directory.views();
    let services = views.iter().map(|view| ServiceStatus {
        name: view.name.clone(),
        is_own: own_service.as_ref() == Some(&view.name),
        has_rules: view.rules.is_some(),
        rules_revision: view.rules_revision,
        members: view.members.len(),
        generation: view.generation,
    });
    let store = match state.store_health.is_unavailable() {
        true => StoreStatus::Away,
        false => StoreStatus::Reachable,
    };
    StatusReport {
        instance: state.settings.instance.clone(),
        failure_domain: state.settings.failure_domain.clone(),
        incarnation: own_row.map(|row| row.incarnation),
        target_state: target.as_ref().map(|target| target.state()),
        target: target.map(|target| target.announcement.clone()),
        services: services.collect(),
        store,
        is_draining: *state.draining.borrow(),
    }
}

fn json_answer<T: Serialize>(ctx: &Context<'_>, status: StatusCode, body: &T) -> WebResponse {
    let Ok(body) = serde_json::to_vec(body) else {
        ctx.state().counters.add("admin.unwritable");
        return empty_answer(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut answer = WebResponse::new(body.into());
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

fn empty_answer(status: StatusCode) -> WebResponse {
    let mut answer = WebResponse::new(ResponseBody::none());
    *answer.status_mut() = status;
    answer
}
