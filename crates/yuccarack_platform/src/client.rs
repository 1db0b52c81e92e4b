//! HTTP client of the table service and the object store, with typed errors.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{
        Client,
        connect::{HttpConnector, capture_connection},
    },
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::timeout;

use crate::{
    errors::PlatformError,
    escape::percent_encode,
    feed::FeedRequest,
    messages::{Commit, CommitResponse, ConflictResponse, Row, Rows},
    response_head::check_response_head,
    transfer::{BODY_MAX_BYTES, TransferError, read_full},
};

/// Maximum number of pooled idle connections to the platform.
const IDLE_CONNECTIONS_MAX: usize = 4;

/// Idle time of a connection before the first TCP keep-alive probe.
///
/// A request for changes may wait half a minute for its response. If the connection dies without a
/// reset meanwhile, changes would be missed for as long. One second costs one small packet per
/// second.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Interval between unanswered keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keep-alive probes after which the connection is dead.
const KEEPALIVE_RETRIES: u32 = 2;

/// Client of the platform; cheap to clone, and clones share their connections.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    response_timeout: Duration,
}

impl PlatformClient {
    /// Creates a client of the platform at `address` that waits `response_timeout` for each
    /// response.
    pub fn new(address: SocketAddr, response_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(response_timeout));
        connector.set_keepalive(Some(KEEPALIVE_IDLE));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(IDLE_CONNECTIONS_MAX)
            .pool_timer(TokioTimer::new())
            // A repeated write whose first response is lost would be checked against the effect of
            // the first one, so the client never retries a request by itself.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, address, response_timeout }
    }

    /// Commits `commit` if all of its conditions hold.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; [`PlatformError::is_not_written`] returns whether it is certain that
    /// nothing was written.
    pub async fn commit(&self, commit: &Commit) -> Result<CommitResponse, PlatformError> {
        let body = to_json(commit)?;
        let (status, response) = self.send_request(Method::POST, "/table/commit", body).await?;
        if status == StatusCode::CONFLICT {
            let conflict: ConflictResponse = from_json(&response)?;
            return Err(PlatformError::Conflict { failed: conflict.failed });
        }
        check_status(status)?;
        from_json(&response)
    }

    /// Reads the row of `key`; `None` if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] but a conflict.
    pub async fn row(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let path = format!("/table/row?key={}", percent_encode(key));
        let (status, response) = self.send_request(Method::GET, &path, Bytes::new()).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        check_status(status)?;
        from_json(&response).map(Some)
    }

    /// Reads all rows whose keys start with `prefix`, sorted by key. There is no limit on the total
    /// time as long as the transfer makes progress.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] but a conflict.
    pub async fn rows(&self, prefix: &str) -> Result<Rows, PlatformError> {
        let path = format!("/table/rows?prefix={}", percent_encode(prefix));
        let (status, response) = self.fetch(&path).await?;
        check_status(status)?;
        from_json(&response)
    }

    /// Writes `body` as object `name` to the object store.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] but a conflict.
    pub async fn put_object(&self, name: &str, body: Bytes) -> Result<(), PlatformError> {
        let path = format!("/objects/{}", percent_encode(name));
        let (status, _) = self.send_request(Method::PUT, &path, body).await?;
        check_status(status)
    }

    /// Reads the object `name`; `None` if it doesn't exist. There is no limit on the total time as
    /// long as the transfer makes progress.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] but a conflict.
    pub async fn object(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        let path = format!("/objects/{}", percent_encode(name));
        let (status, response) = self.fetch(&path).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        check_status(status)?;
        Ok(Some(response))
    }

    /// Sends a request to the store with the change feed, and waits `response_timeout` for the
    /// response head.
    ///
    /// The body may take any time while it makes progress; `on_bytes` gets the length of each part
    /// as it arrives.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Unreachable`], [`PlatformError::UnknownOutcome`],
    /// [`PlatformError::MalformedHead`], [`PlatformError::Stalled`] and [`PlatformError::TooLong`].
    pub async fn send_feed_request(
        &self,
        feed_request: FeedRequest,
        response_timeout: Duration,
        on_bytes: impl FnMut(usize),
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let FeedRequest { method, path, body } = feed_request;
        let request = self.build_request(method, &path, body)?;
        self.transfer(request, response_timeout, on_bytes).await
    }

    /// Sends a GET request whose response may be of any size.
    async fn fetch(&self, path: &str) -> Result<(StatusCode, Bytes), PlatformError> {
        let request = self.build_request(Method::GET, path, Bytes::new())?;
        self.transfer(request, self.response_timeout, |_| ()).await
    }

    /// Waits `response_timeout` for the response head, and for the body as long as it makes
    /// progress.
    async fn transfer(
        &self,
        request: Request<Full<Bytes>>,
        response_timeout: Duration,
        on_bytes: impl FnMut(usize),
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let response = timeout(response_timeout, self.send(request)).await;
        let response = response.map_err(|_| PlatformError::UnknownOutcome)??;
        let status = response.status();
        let body =
            read_full(response.into_body(), on_bytes).await.map_err(|error| match error {
                TransferError::Interrupted(_) => PlatformError::UnknownOutcome,
                TransferError::Stalled { received_bytes } => {
                    PlatformError::Stalled { received_bytes }
                }
                TransferError::TooLong => PlatformError::TooLong,
            })?;
        Ok((status, body))
    }

    async fn send_request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        self.send_request_within(method, path, body, self.response_timeout).await
    }

    async fn send_request_within(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        response_timeout: Duration,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let request = self.build_request(method, path, body)?;
        match timeout(response_timeout, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(PlatformError::UnknownOutcome),
        }
    }

    fn build_request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, PlatformError> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|_| PlatformError::Unreachable)
    }

    async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, PlatformError> {
        let connection = capture_connection(&mut request);
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Err(PlatformError::Unreachable),
            Err(_) => return Err(PlatformError::UnknownOutcome),
        };
        if let Err(error) = check_response_head(&response) {
            // Where the next response on the connection begins is not known.
            if let Some(connection) = connection.connection_metadata().as_ref() {
                connection.poison();
            }
            return Err(PlatformError::MalformedHead(error));
        }
        Ok(response)
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let response = self.send(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), BODY_MAX_BYTES).collect().await;
        Ok((status, body.map_err(|_| PlatformError::UnknownOutcome)?.to_bytes()))
    }
}

/// Maps a status to an error: a client error or 503 means that the platform did nothing, any other
/// failure leaves the outcome unknown.
fn check_status(status: StatusCode) -> Result<(), PlatformError> {
    if status.is_success() {
        return Ok(());
    }
    if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(PlatformError::Refused { status: status.as_u16() });
    }
    Err(PlatformError::UnknownOutcome)
}

fn to_json<T: Serialize>(request: &T) -> Result<Bytes, PlatformError> {
    serde_json::to_vec(request).map(Bytes::from).map_err(PlatformError::Unserializable)
}

fn from_json<T: DeserializeOwned>(response: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(response).map_err(PlatformError::Malformed)
}
