//! HTTP client for the admin addresses of daemons.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;
use tokio::time::timeout;
use yuccarack_platform::response_head::check_response_head;

use crate::errors::CtlError;

/// Number of characters of an unexpected response body that are included in the error.
const REFUSAL_CHARS_MAX: usize = 200;

/// Client for the admin addresses of daemons, with a timeout per request.
#[derive(Clone, Debug)]
pub struct AdminClient {
    client: Client<HttpConnector, Full<Bytes>>,
    response_timeout: Duration,
}

impl AdminClient {
    /// Creates a client that waits at most `response_timeout` for each complete response.
    pub fn new(response_timeout: Duration) -> Self {
        let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
        Self { client, response_timeout }
    }

    /// Fetches `path` from the daemon at `address`; returns `None` for status 404.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon is unreachable, refuses the request or sends a malformed
    /// response or a body that is not a `T`.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<Option<T>, CtlError> {
        let (status, body) = self.send_request(Method::GET, address, path).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        match serde_json::from_slice(&body) {
            Ok(response) if status.is_success() => Ok(Some(response)),
            _ => Err(refusal_error(address, status, &body)),
        }
    }

    /// Sends an empty POST request for `path` to the daemon at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon is unreachable, refuses the request or sends a malformed
    /// response.
    pub async fn post(&self, address: SocketAddr, path: &str) -> Result<(), CtlError> {
        let (status, body) = self.send_request(Method::POST, address, path).await?;
        match status.is_success() {
            true => Ok(()),
            false => Err(refusal_error(address, status, &body)),
        }
    }

    async fn send_request(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
    ) -> Result<(StatusCode, Bytes), CtlError> {
        let unreachable = || CtlError::DaemonUnreachable { address };
        let exchange = async {
            let request = Request::builder()
                .method(method)
                .uri(format!("http://{address}{path}"))
                .body(Full::new(Bytes::new()))
                .map_err(|_| unreachable())?;
            let response = self.client.request(request).await.map_err(|_| unreachable())?;
            check_response_head(&response)
                .map_err(|source| CtlError::MalformedResponse { address, source })?;
            let status = response.status();
            let body = response.into_body().collect().await.map_err(|_| unreachable())?;
            Ok((status, body.to_bytes()))
        };
        timeout(self.response_timeout, exchange).await.unwrap_or_else(|_| Err(unreachable()))
    }
}

fn refusal_error(address: SocketAddr, status: StatusCode, body: &[u8]) -> CtlError {
    let body = String::from_utf8_lossy(body).chars().take(REFUSAL_CHARS_MAX).collect();
    CtlError::DaemonRefused { address, status: status.as_u16(), body }
}
