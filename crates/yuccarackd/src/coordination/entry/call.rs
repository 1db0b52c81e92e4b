//! One call as it stands at its entry, ready to be sent once or more.

use std::time::Instant;

use http::{HeaderValue, Request, Uri, Version, header, request::Parts};
use rand::Rng;
use yuccarack_config::{headers, ids::AttemptId};

use crate::protocol::{
    body::{BodyError, CallBody, SendableBody},
    call::{CallHead, format_id, remaining_ms},
    forwarding,
};

/// One call at its entry.
pub struct EntryCall {
    /// What its head says.
    pub head: CallHead,
    /// When its caller gives up.
    pub deadline: Instant,
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    parts: Parts,
    body: SendableBody,
}

impl EntryCall {
    /// Takes a call in; a body of up to `kept_max_bytes` is read whole first, so that it can be
    /// sent again.
    ///
    /// # Errors
    ///
    /// The body's own error; nothing was sent.
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

    /// Whether it can be sent another time.
    pub fn can_be_sent(&self) -> bool {
        self.body.can_be_sent()
    }

    /// Whether it can be sent to two gates at once.
    pub fn can_be_hedged(&self) -> bool {
        self.is_repeatable && self.body.is_buffered()
    }

    /// The next try, as a gate gets it, with the name of its attempt.
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

/// The request target as a server gets it.
pub fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| Uri::from_static("/"))
}
