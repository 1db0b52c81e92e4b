//! Serves the metrics in the OpenMetrics text format.

use std::sync::Arc;

use http::{HeaderValue, Method, Request, Response, StatusCode, header};

use super::{events::EventLog, log_lines::MetricsNotEncoded};
use crate::{
    protocol::body::{self, CallBody},
    state::routed::metrics::Metrics,
    transport::call_server::{Arrival, CallHandler},
};

const PATH: &str = "/metrics";

const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Handles requests for the metrics.
pub struct MetricsServer {
    /// Registry of the metrics.
    pub metrics: Metrics,
    /// Log for metrics that can't be encoded.
    pub events: EventLog,
}

impl CallHandler for MetricsServer {
    async fn handle(
        self: Arc<Self>,
        _arrival: Arrival,
        request: Request<CallBody>,
    ) -> Response<CallBody> {
        if request.method() != Method::GET || request.uri().path() != PATH {
            return status_only(StatusCode::NOT_FOUND);
        }
        match self.metrics.encode() {
            Ok(text) => {
                let mut response = Response::new(body::full(text.into()));
                let content_type = HeaderValue::from_static(CONTENT_TYPE);
                response.headers_mut().insert(header::CONTENT_TYPE, content_type);
                response
            }
            Err(error) => {
                self.events.write(|| MetricsNotEncoded { cause: error.to_string() });
                status_only(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}

fn status_only(status: StatusCode) -> Response<CallBody> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = status;
    response
}
