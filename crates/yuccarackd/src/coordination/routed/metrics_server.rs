//! Where metrics are read.

use std::sync::Arc;

use http::{HeaderValue, Method, Request, Response, StatusCode, header};

use super::{events::EventLog, log_lines::MetricsNotEncoded};
use crate::{
    protocol::body::{self, CallBody},
    state::routed::metrics::Metrics,
    transport::call_server::{Arrival, CallHandler},
};

/// Path of the metrics.
const PATH: &str = "/metrics";

/// Form of the metrics.
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Answers whoever reads metrics.
pub struct MetricsServer {
    /// The metrics.
    pub metrics: Metrics,
    /// Log lines.
    pub events: EventLog,
}

impl CallHandler for MetricsServer {
    async fn handle(
        self: Arc<Self>,
        _arrival: Arrival,
        request: Request<CallBody>,
    ) -> Response<CallBody> {
        if request.method() != Method::GET || request.uri().path() != PATH {
            return with_status(StatusCode::NOT_FOUND);
        }
        match self.metrics.text() {
            Ok(text) => {
                let mut answer = Response::new(body::full(text.into()));
                let form = HeaderValue::from_static(CONTENT_TYPE);
                answer.headers_mut().insert(header::CONTENT_TYPE, form);
                answer
            }
            Err(error) => {
                self.events.write(|| MetricsNotEncoded { cause: error.to_string() });
                with_status(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}

fn with_status(status: StatusCode) -> Response<CallBody> {
    let mut answer = Response::new(body::empty());
    *answer.status_mut() = status;
    answer
}
