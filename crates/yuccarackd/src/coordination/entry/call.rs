//! A call at its entry, from which the request of each attempt is built.

use std::time::Instant;

use http::{HeaderValue, Request, Uri, Version, header, request::Parts};
use rand::Rng;
use yuccarack_config::{headers, ids::AttemptId};

use crate::protocol::{
    body::{BodyError, CallBody, SendableBody},
    call::{CallHead, format_id, remaining_ms},
    forwarding,
};

/// A call at its entry.
pub struct EntryCall {
    /// Metadata from the call's head.
    pub head: CallHead,
    /// Time at which the caller gives up.
    pub deadline: Instant,
    /// Whether the call may run more than once.
    pub is_repeatable: bool,
    parts: Parts,
    body: SendableBody,
}

impl EntryCall {
    /// Reads a call. A body of up to `buffered_max_bytes` is buffered so that it can be sent again;
    /// a larger one is streamed.
    ///
    /// # Errors
    ///
    /// Returns an error if the body can't be read; nothing was sent.
    pub async fn read(
        head: CallHead,
        deadline: Instant,
        is_repeatable: bool,
        parts: Parts,
        body: CallBody,
        buffered_max_bytes: usize,
    ) -> Result<Self, BodyError> {
        let body = SendableBody::read(&parts, body, buffered_max_bytes).await?;
        Ok(Self { head, deadline, is_repeatable, parts, body })
    }

    /// Returns whether the body is still available for another attempt.
    pub fn can_be_sent(&self) -> bool {
        self.body.can_be_sent()
    }

    /// Returns whether the call can be sent to two gates at once.
    pub fn can_be_hedged(&self) -> bool {
        self.is_repeatable && self.body.is_buffered()
    }

    /// Builds the gate's request for the next attempt, and returns it with the attempt's ID.
    pub fn next_attempt(&mut self) -> (AttemptId, Request<CallBody>) {
        let attempt: AttemptId = rand::rng().random();
        let mut request = Request::new(self.body.next_body());
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = origin_form(&self.parts.uri);
        *request.version_mut() = Version::HTTP_11;
        let map = request.headers_mut();
        *map = self.parts.headers.clone();
        forwarding::strip_hop_by_hop(map);
        forwarding::strip_internal_headers(map);
        forwarding::set_header(map, headers::SERVICE, &self.head.service);
        forwarding::set_header(map, headers::CALLER, &self.head.caller);
        forwarding::set_header(map, headers::REQUEST_ID, &format_id(self.head.request_id));
        forwarding::set_header(map, headers::ATTEMPT_ID, &format_id(attempt));
        forwarding::set_header(map, headers::DEPTH, &self.head.depth.to_string());
        if !self.is_repeatable {
            map.insert(headers::ONCE, HeaderValue::from_static("true"));
        }
        let left_ms = remaining_ms(self.deadline, Instant::now());
        map.insert(headers::DEADLINE_MS, HeaderValue::from(left_ms));
        if !map.contains_key(header::HOST) {
            forwarding::set_header(map, "host", &self.head.service);
        }
        (attempt, request)
    }
}

/// Returns `uri` in origin form, the path and query that a server expects.
pub fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| Uri::from_static("/"))
}
