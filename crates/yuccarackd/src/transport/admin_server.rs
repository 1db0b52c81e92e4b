//! HTTP endpoint for announcements of the target and for requests of operators.

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
        status::{AdminError, ServiceStatus, StatusReport, StoreStatus},
    },
    state::{
        counters::Counters, directory::Directory, own_target::OwnTarget, store_health::StoreHealth,
    },
};

/// Path to which targets post their announcements.
const ANNOUNCE_PATH: &str = "/announce";
/// Prefix of the paths that explain a request; the request id follows.
const EXPLAIN_PATH: &str = "/explain/";
/// Largest accepted announcement, in bytes.
const ANNOUNCEMENT_MAX_BYTES: usize = 16 * 1024;

/// Returns what happened to the request with an id; none if it is no longer in the call log.
pub type Explain = Arc<dyn Fn(&str) -> Option<Value> + Send + Sync>;

/// State that the admin endpoint reads and changes.
#[derive(Clone)]
pub struct AdminState {
    /// Settings of the daemon, with the addresses that may announce and administer.
    pub settings: Arc<DaemonSettings>,
    /// Counters that `/counters` returns.
    pub counters: Counters,
    /// Rules and members of the services that the daemon has loaded.
    pub directory: Directory,
    /// Target of this instance, which announcements update.
    pub own_target: OwnTarget,
    /// Tracks whether the store responds.
    pub store_health: StoreHealth,
    /// True while this daemon is stopping.
    pub draining: tokio::sync::watch::Receiver<bool>,
    /// Looks a request up in the call log.
    pub explain: Explain,
    /// Triggers an immediate poll of the store for all known services, on a request for `/hint`.
    pub request_poll: Arc<dyn Fn() + Send + Sync>,
}

/// Running admin endpoint; [`AdminServer::stop`] ends it.
pub struct AdminServer {
    address: SocketAddr,
    request_stop: Box<dyn FnOnce() + Send>,
    thread: JoinHandle<io::Result<()>>,
}

impl AdminServer {
    /// Serves `listener` on a dedicated thread.
    ///
    /// # Errors
    ///
    /// I/O error of the operating system if the listener can't be used or the thread can't start.
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
        // A target keeps its announcing connection open, and a graceful stop of the server would
        // wait 30 s for it, so that the daemon takes half a minute to exit. All calls have ended by
        // then and the responses here are small, so the stop closes connections immediately.
        let request_stop = Box::new(move || handle.stop(false));
        Ok(Self { address, request_stop, thread })
    }

    /// Returns the address that the endpoint listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and waits for the thread to end.
    ///
    /// # Errors
    ///
    /// Error that the server ended with, or one that says that its thread panicked.
    pub fn stop(self) -> io::Result<()> {
        (self.request_stop)();
        self.thread.join().unwrap_or_else(|_| Err(io::Error::other("admin server panicked")))
    }
}

type Context<'a> = WebContext<'a, AdminState>;

/// Refuses requests from addresses that the settings don't list.
///
/// Guards against other hosts on the network that pose as the target or act as an operator. Such
/// requests come from unlisted addresses, and TCP's handshake verifies the address.
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
    let refusal =
        AdminError { reason: "address_not_accepted".to_owned(), detail: peer.to_string() };
    Ok(json_response(&ctx, StatusCode::FORBIDDEN, &refusal))
}

async fn announce(
    ctx: &Context<'_>,
    (body, _): (Vec<u8>, Limit<ANNOUNCEMENT_MAX_BYTES>),
) -> WebResponse {
    let state = ctx.state();
    let announcement: Announcement = match serde_json::from_slice(&body) {
        Ok(announcement) => announcement,
        Err(error) => return reject_announcement(ctx, &error),
    };
    if let Err(error) = announcement.check() {
        return reject_announcement(ctx, &error);
    }
    state.counters.add("announce.taken");
    state.own_target.apply_announcement(announcement, Instant::now());
    empty_response(StatusCode::NO_CONTENT)
}

fn reject_announcement(ctx: &Context<'_>, error: &dyn std::error::Error) -> WebResponse {
    ctx.state().counters.add("announce.refused_content");
    let refusal =
        AdminError { reason: "announcement_not_valid".to_owned(), detail: error.to_string() };
    json_response(ctx, StatusCode::BAD_REQUEST, &refusal)
}

async fn hint(ctx: &Context<'_>) -> WebResponse {
    (ctx.state().request_poll)();
    empty_response(StatusCode::NO_CONTENT)
}

async fn status(ctx: &Context<'_>) -> WebResponse {
    let report = status_report(ctx.state());
    json_response(ctx, StatusCode::OK, &report)
}

async fn targets(ctx: &Context<'_>) -> WebResponse {
    let views = ctx.state().directory.views();
    let rows: Vec<MemberRow> = views.iter().flat_map(|view| view.members.to_vec()).collect();
    json_response(ctx, StatusCode::OK, &rows)
}

async fn counters(ctx: &Context<'_>) -> WebResponse {
    json_response(ctx, StatusCode::OK, &ctx.state().counters.snapshot())
}

async fn explain(ctx: &Context<'_>) -> WebResponse {
    let path = ctx.req().uri().path();
    let id = path.strip_prefix(EXPLAIN_PATH).unwrap_or_default();
    match (ctx.state().explain)(id) {
        Some(found) => json_response(ctx, StatusCode::OK, &found),
        None => {
            let refusal =
                AdminError { reason: "request_not_remembered".to_owned(), detail: id.to_owned() };
            json_response(ctx, StatusCode::NOT_FOUND, &refusal)
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

fn json_response<T: Serialize>(ctx: &Context<'_>, status: StatusCode, body: &T) -> WebResponse {
    let Ok(body) = serde_json::to_vec(body) else {
        ctx.state().counters.add("admin.unwritable");
        return empty_response(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut response = WebResponse::new(body.into());
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn empty_response(status: StatusCode) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::none());
    *response.status_mut() = status;
    response
}
