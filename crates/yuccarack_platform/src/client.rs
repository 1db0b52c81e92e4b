//! The client: one question, one answer, every failure typed.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::timeout;

use crate::{
    errors::PlatformError,
    escape::percent_encode,
    feed::FeedRequest,
    messages::{Commit, CommitResponse, ConflictResponse, Row, Rows},
    transfer::{TransferError, read_full},
};

/// Idle connections kept to the platform.
const IDLE_CONNECTIONS_MAX: usize = 4;

/// Silence after which it is asked whether the connection still stands.
///
/// Failure: a connection dies without a reset while an answer is waited for that may take half a
/// minute, and changes aren't heard of for as long. One second costs one small packet a second.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between two such questions that got no answer.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Questions without an answer after which the connection is dead.
const KEEPALIVE_RETRIES: u32 = 2;

/// Asks the platform; cheap to clone, clones share their connections.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    answer_timeout: Duration,
}

impl PlatformClient {
    /// Makes a client of the platform at `address` that waits `answer_timeout` for each answer.
    pub fn new(address: SocketAddr, answer_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(answer_timeout));
        connector.set_keepalive(Some(KEEPALIVE_IDLE));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(IDLE_CONNECTIONS_MAX)
            .pool_timer(TokioTimer::new())
            // A resend of a write whose answer is lost would be judged against the first one's
            // effect, so the client never sends anything twice by itself.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, address, answer_timeout }
    }

    /// Writes all of `commit` if all its conditions hold.
    ///
    /// # Errors
    ///
    /// [`PlatformError::is_not_written`] tells whether nothing was written for certain.
    pub async fn commit(&self, commit: &Commit) -> Result<CommitResponse, PlatformError> {
        let body = to_json(commit)?;
        let (status, answer) = self.ask(Method::POST, "/table/commit", body).await?;
        if status == StatusCode::CONFLICT {
            let conflicted: ConflictResponse = from_json(&answer)?;
            return Err(PlatformError::Conflict { failed: conflicted.failed });
        }
        accepted(status)?;
        from_json(&answer)
    }

    /// Reads the row of `key`.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] but a conflict.
    pub async fn row(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let path = format!("/table/row?key={}", percent_encode(key));
        let (status, answer) = self.ask(Method::GET, &path, Bytes::new()).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        accepted(status)?;
        from_json(&answer).map(Some)
    }

    /// Reads all rows whose keys start with `prefix`, in order of their keys, however long it takes while
    /// it makes progress.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] but a conflict.
    pub async fn rows(&self, prefix: &str) -> Result<Rows, PlatformError> {
        let path = format!("/table/rows?prefix={}", percent_encode(prefix));
        let (status, answer) = self.fetch(&path).await?;
        accepted(status)?;
        from_json(&answer)
    }

    /// Keeps `body` under `name` in the object store.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] but a conflict.
    pub async fn put_object(&self, name: &str, body: Bytes) -> Result<(), PlatformError> {
        let path = format!("/objects/{}", percent_encode(name));
        let (status, _) = self.ask(Method::PUT, &path, body).await?;
        accepted(status)
    }

    /// Reads the object of `name`, however long it takes while it makes progress.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] but a conflict.
    pub async fn object(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        let path = format!("/objects/{}", percent_encode(name));
        let (status, answer) = self.fetch(&path).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        accepted(status)?;
        Ok(Some(answer))
    }

    /// Asks a question of a table with a feed and waits `answer_timeout` for the head of its answer;
    /// `on_bytes` gets the length of each piece of the body, which may take as long as it makes progress.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Unreachable`], [`PlatformError::UnknownOutcome`] and [`PlatformError::Stalled`].
    pub async fn send_feed_request(
        &self,
        question: FeedRequest,
        answer_timeout: Duration,
        on_bytes: impl FnMut(usize),
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let FeedRequest { method, path, body } = question;
        let request = self.request(method, &path, body)?;
        self.transfer(request, answer_timeout, on_bytes).await
    }

    /// Reads what may be of any size.
    async fn fetch(&self, path: &str) -> Result<(StatusCode, Bytes), PlatformError> {
        let request = self.request(Method::GET, path, Bytes::new())?;
        self.transfer(request, self.answer_timeout, |_| ()).await
    }

    /// Waits `answer_timeout` for the head of the answer, and for its body as long as it makes progress.
    async fn transfer(
        &self,
        request: Request<Full<Bytes>>,
        answer_timeout: Duration,
        on_bytes: impl FnMut(usize),
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let answer = timeout(answer_timeout, self.send(request)).await;
        let answer = answer.map_err(|_| PlatformError::UnknownOutcome)??;
        let status = answer.status();
        let body = read_full(answer.into_body(), on_bytes).await.map_err(|error| match error {
            TransferError::Interrupted(_) => PlatformError::UnknownOutcome,
            TransferError::Stalled { received_bytes } => PlatformError::Stalled { received_bytes },
        })?;
        Ok((status, body))
    }

    async fn ask(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        self.ask_within(method, path, body, self.answer_timeout).await
    }

    async fn ask_within(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        answer_timeout: Duration,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let request = self.request(method, path, body)?;
        match timeout(answer_timeout, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(PlatformError::UnknownOutcome),
        }
    }

    fn request(
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
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, PlatformError> {
        match self.client.request(request).await {
            Ok(answer) => Ok(answer),
            Err(error) if error.is_connect() => Err(PlatformError::Unreachable),
            Err(_) => Err(PlatformError::UnknownOutcome),
        }
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let answer = self.send(request).await?;
        let status = answer.status();
        let body = answer.into_body().collect().await.map_err(|_| PlatformError::UnknownOutcome)?;
        Ok((status, body.to_bytes()))
    }
}

/// A 503 of the platform says that it did nothing; any other failure says nothing.
fn accepted(status: StatusCode) -> Result<(), PlatformError> {
    if status.is_success() {
        return Ok(());
    }
    if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(PlatformError::Refused { status: status.as_u16() });
    }
    Err(PlatformError::UnknownOutcome)
}

fn to_json<T: Serialize>(question: &T) -> Result<Bytes, PlatformError> {
    serde_json::to_vec(question).map(Bytes::from).map_err(PlatformError::Unserializable)
}

fn from_json<T: DeserializeOwned>(answer: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(answer).map_err(PlatformError::Malformed)
}
