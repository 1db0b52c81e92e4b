//! One request as it stands at a gate.

use std::time::Instant;

use http::{Method, Request, request::Parts};
use http_body::Body;
use yuccarack_config::{
    headers,
    ids::{AttemptId, Fingerprint},
};

use crate::{
    coordination::suspects::fingerprint::{FINGERPRINT_BODY_MAX_BYTES, FingerprintParts},
    protocol::{
        body::{BodyStart, CallBody},
        call::{CallHead, format_id, remaining_ms},
        forwarding,
        refusal::{Reason, Refusal},
    },
};

/// One request at a gate.
pub struct GateCall {
    /// What its head says.
    pub head: CallHead,
    /// Its attempt.
    pub attempt: AttemptId,
    /// When its entry gives up.
    pub deadline: Instant,
    /// Its head as it came.
    pub parts: Parts,
    /// Its body, not yet read.
    pub body: CallBody,
}

impl GateCall {
    /// Its method.
    pub fn method(&self) -> &Method {
        &self.parts.method
    }

    /// Its path without the query.
    pub fn path(&self) -> &str {
        self.parts.uri.path()
    }

    /// Whether its entry knows that it must not repeat.
    pub fn is_once(&self) -> bool {
        self.parts.headers.contains_key(headers::ONCE)
    }

    /// What it is recognised by when its caller sends it again.
    ///
    /// The length is the head's or, without, the body's own: a request without a body comes with
    /// a length of 0 from another daemon and without any from this one's entry, and a resend by
    /// the other way must not pass for another request.
    ///
    /// A body counts only when its length is known and small: waiting for more of a long one
    /// would hold up its streaming.
    ///
    /// # Errors
    ///
    /// A refusal when the body was cut on its way here; nothing ran.
    pub async fn fingerprint(&mut self) -> Result<Fingerprint, Refusal> {
        let length = content_length(&self.parts).or(self.body.size_hint().exact());
        let is_small = length.is_some_and(|bytes| bytes <= FINGERPRINT_BODY_MAX_BYTES as u64);
        let mut start = bytes::Bytes::new();
        if is_small {
            let body = std::mem::replace(&mut self.body, crate::protocol::body::empty());
            let read = BodyStart::read(body, FINGERPRINT_BODY_MAX_BYTES);
            let whole = read.await.map_err(|_| Refusal::not_run(Reason::CallerBodyCut))?;
            start = whole.start.clone();
            self.body = whole.into_body();
        }
        let path = self.parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let parts = FingerprintParts {
            service: &self.head.service,
            method: self.parts.method.as_str(),
            path_and_query: path,
            key: self.head.key.as_deref(),
            content_length: length,
            body: &start,
        };
        Ok(parts.fingerprint())
    }

    /// The request as the target gets it.
    pub fn into_target_request(mut self) -> Request<CallBody> {
        let map = &mut self.parts.headers;
        forwarding::strip_hop_by_hop(map);
        map.remove(headers::ONCE);
        forwarding::set_header(map, headers::REQUEST_ID, &format_id(self.head.request_id));
        forwarding::set_header(map, headers::ATTEMPT_ID, &format_id(self.attempt));
        let left = remaining_ms(self.deadline, Instant::now());
        forwarding::set_header(map, headers::DEADLINE_MS, &left.to_string());
        // The target passes this on with the calls it makes, so a chain's length is known.
        let depth = self.head.depth.saturating_add(1);
        forwarding::set_header(map, headers::DEPTH, &depth.to_string());
        forwarding::set_header(map, headers::SERVICE, &self.head.service);
        Request::from_parts(self.parts, self.body)
    }
}

fn content_length(parts: &Parts) -> Option<u64> {
    parts.headers.get(http::header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
