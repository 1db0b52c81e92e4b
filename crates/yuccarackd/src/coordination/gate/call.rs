//! A request at its gate: metadata, head and body.

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

/// A request at a gate.
pub struct GateCall {
    /// Metadata from the request's head.
    pub head: CallHead,
    /// ID of the attempt that the request belongs to.
    pub attempt: AttemptId,
    /// Time at which the entry gives up.
    pub deadline: Instant,
    /// Head as received.
    pub parts: Parts,
    /// Body, not yet read.
    pub body: CallBody,
}

impl GateCall {
    /// Returns the method.
    pub fn method(&self) -> &Method {
        &self.parts.method
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.parts.uri.path()
    }

    /// Returns whether the request must not repeat by the rules of its entry.
    pub fn is_once(&self) -> bool {
        self.parts.headers.contains_key(headers::ONCE)
    }

    /// Returns the fingerprint that identifies the request when its caller sends it again.
    ///
    /// The length is that of the head or, if the head has none, that of the body. A request without
    /// a body has a length of 0 if it comes from another daemon and none if it comes from the entry
    /// of this one, and both must have the same fingerprint.
    ///
    /// The body is included only if its length is known and small, as waiting for more of a long
    /// one would delay its streaming.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the body is truncated; nothing ran.
    pub async fn fingerprint(&mut self) -> Result<Fingerprint, Refusal> {
        let length = content_length(&self.parts).or(self.body.size_hint().exact());
        let is_small = length.is_some_and(|bytes| bytes <= FINGERPRINT_BODY_MAX_BYTES as u64);
        let mut start = bytes::Bytes::new();
        if is_small {
            let body = std::mem::replace(&mut self.body, crate::protocol::body::empty());
            let read = BodyStart::read(body, FINGERPRINT_BODY_MAX_BYTES);
            let buffered = read.await.map_err(|_| Refusal::not_run(Reason::CallerBodyCut))?;
            start = buffered.start.clone();
            self.body = buffered.into_body();
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

    /// Builds the request that is sent to the target.
    pub fn into_target_request(mut self) -> Request<CallBody> {
        let map = &mut self.parts.headers;
        forwarding::strip_hop_by_hop(map);
        map.remove(headers::ONCE);
        forwarding::set_header(map, headers::REQUEST_ID, &format_id(self.head.request_id));
        forwarding::set_header(map, headers::ATTEMPT_ID, &format_id(self.attempt));
        let left_ms = remaining_ms(self.deadline, Instant::now());
        forwarding::set_header(map, headers::DEADLINE_MS, &left_ms.to_string());
        // The target forwards the depth with its own calls, so the length of a call chain is known.
        let depth = self.head.depth.saturating_add(1);
        forwarding::set_header(map, headers::DEPTH, &depth.to_string());
        forwarding::set_header(map, headers::SERVICE, &self.head.service);
        Request::from_parts(self.parts, self.body)
    }
}

fn content_length(parts: &Parts) -> Option<u64> {
    parts.headers.get(http::header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
