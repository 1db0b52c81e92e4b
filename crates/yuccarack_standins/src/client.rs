//! A small HTTP/1.1 client for tests and stand-ins that buffers complete responses.

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

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Default timeout for a complete response.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why there is no complete response.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No connection could be opened; nothing was sent.
    #[error("no connection")]
    Unreachable,
    /// The connection broke before the head of the response.
    #[error("no response")]
    NoResponse,
    /// The head arrived, but the connection broke before the end of the body.
    #[error("the response body of status {status} was truncated")]
    TruncatedBody {
        /// Status of the response.
        status: StatusCode,
    },
    /// The complete response didn't arrive within the timeout.
    #[error("no response in time")]
    TimedOut,
    /// The request can't be encoded.
    #[error("the request can't be encoded")]
    InvalidRequest,
    /// The response has an unexpected status or can't be parsed.
    #[error("unexpected or malformed response")]
    Malformed,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Full body.
    pub body: Bytes,
}

impl ClientResponse {
    /// Returns the value of the header `name`, or an empty string if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// A request to send with [`HttpClient::send`].
#[derive(Clone, Debug)]
pub struct ClientRequest {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
}

impl ClientRequest {
    /// Makes a request of `method` for `path`, without headers or body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self { method, path: path.into(), headers: Vec::new(), body: Bytes::new() }
    }

    /// Appends a header.
    pub fn with_header(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    /// Sets the body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Returns the path with the query.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns the body.
    pub fn body(&self) -> &Bytes {
        &self.body
    }
}

/// A client with pooled connections that never sends a request twice.
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
    /// Makes a client that waits `response_timeout` for each complete response.
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

    /// Sends `request` to `address` and waits for the complete response.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`] but a malformed response.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: ClientRequest,
    ) -> Result<ClientResponse, ClientError> {
        let mut builder = Request::builder()
            .method(request.method)
            .uri(format!("http://{address}{}", request.path));
        for (name, value) in &request.headers {
            builder = builder.header(name, value);
        }
        let request =
            builder.body(Full::new(request.body)).map_err(|_| ClientError::InvalidRequest)?;
        match timeout(self.response_timeout, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(ClientError::TimedOut),
        }
    }

    /// Gets `path` from `address` and parses the body as JSON, whatever the status.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, ClientError> {
        let response = self.send(address, ClientRequest::new(Method::GET, path)).await?;
        serde_json::from_slice(&response.body).map_err(|_| ClientError::Malformed)
    }

    /// Posts `value` as JSON to `path` of `address`.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`]; a response that isn't a success counts as malformed.
    pub async fn post_json<T: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        value: &T,
    ) -> Result<(), ClientError> {
        let body = serde_json::to_vec(value).map_err(|_| ClientError::InvalidRequest)?;
        let request = ClientRequest::new(Method::POST, path)
            .with_header("content-type", "application/json")
            .with_body(body);
        let response = self.send(address, request).await?;
        if response.status.is_success() {
            return Ok(());
        }
        Err(ClientError::Malformed)
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<ClientResponse, ClientError> {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Err(ClientError::Unreachable),
            Err(_) => return Err(ClientError::NoResponse),
        };
        let (head, body) = response.into_parts();
        let status = head.status;
        let body =
            body.collect().await.map_err(|_| ClientError::TruncatedBody { status })?.to_bytes();
        Ok(ClientResponse { status, headers: head.headers, body })
    }
}
