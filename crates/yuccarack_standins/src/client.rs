//! A small HTTP/1.1 client for tests and stand-ins: one question, one whole answer.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;
use tokio::time::timeout;

/// Longest time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time that a question of a test may take.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why there is no whole answer.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No connection could be made; nothing was sent.
    #[error("no connection")]
    Unreachable,
    /// The connection broke before the answer's head.
    #[error("no answer")]
    NoResponse,
    /// The head came and the body was cut.
    #[error("the answer of status {status} was cut")]
    TruncatedBody {
        /// The answer's status.
        status: StatusCode,
    },
    /// Nothing came in time.
    #[error("no answer in time")]
    TimedOut,
    /// The question has no form.
    #[error("the question can't be written")]
    InvalidRequest,
    /// The answer isn't what was asked for.
    #[error("the answer can't be read")]
    Malformed,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl ClientResponse {
    /// The value of the header of `name`, empty when there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// A question on its way to becoming a request.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
}

impl ClientRequest {
    /// Asks for `path` with `method`.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self { method, path: path.into(), headers: Vec::new(), body: Bytes::new() }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    /// Gives it a body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Its path with the query.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Its body.
    pub fn body(&self) -> &Bytes {
        &self.body
    }
}

/// Asks over pooled connections; it never sends a question twice.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    response_timeout: Duration,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new(RESPONSE_TIMEOUT)
    }
}

impl HttpClient {
    /// Makes a client that waits `response_timeout` for each whole answer.
    pub fn new(response_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, response_timeout }
    }

    /// Asks `question` of `address`.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`] but a malformed answer.
    pub async fn send(
        &self,
        address: SocketAddr,
        question: ClientRequest,
    ) -> Result<ClientResponse, ClientError> {
        let mut request = Request::builder()
            .method(question.method)
            .uri(format!("http://{address}{}", question.path));
        for (name, value) in &question.headers {
            request = request.header(name, value);
        }
        let request =
            request.body(Full::new(question.body)).map_err(|_| ClientError::InvalidRequest)?;
        match timeout(self.response_timeout, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(ClientError::TimedOut),
        }
    }

    /// Reads `path` of `address` as JSON.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, ClientError> {
        let told = self.send(address, ClientRequest::new(Method::GET, path)).await?;
        serde_json::from_slice(&told.body).map_err(|_| ClientError::Malformed)
    }

    /// Posts `value` as JSON to `path` of `address`.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`]; an answer that isn't a success counts as malformed.
    pub async fn post_json<T: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        value: &T,
    ) -> Result<(), ClientError> {
        let body = serde_json::to_vec(value).map_err(|_| ClientError::InvalidRequest)?;
        let question = ClientRequest::new(Method::POST, path)
            .with_header("content-type", "application/json")
            .with_body(body);
        let told = self.send(address, question).await?;
        if told.status.is_success() {
            return Ok(());
        }
        Err(ClientError::Malformed)
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<ClientResponse, ClientError> {
        let answer = match self.client.request(request).await {
            Ok(answer) => answer,
            Err(error) if error.is_connect() => return Err(ClientError::Unreachable),
            Err(_) => return Err(ClientError::NoResponse),
        };
        let (head, body) = answer.into_parts();
        let status = head.status;
        let body =
            body.collect().await.map_err(|_| ClientError::TruncatedBody { status })?.to_bytes();
        Ok(ClientResponse { status, headers: head.headers, body })
    }
}
