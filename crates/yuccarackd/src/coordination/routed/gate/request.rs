//! A routed request at its gate: metadata, head and body.

use std::time::{Duration, Instant};

use http::{HeaderValue, Request, request::Parts};
use yuccarack_config::ids::Fingerprint;
use yuccarack_platform_wire::headers;
use yuccarack_policy::{
    return_margin::wait_until,
    work_queue::{OrganisationShare, WorkRequest},
};

use crate::{
    coordination::{routed::deadline::CallDeadline, suspects::fingerprint::FingerprintParts},
    protocol::{
        body::{CallBody, SendableBody},
        forwarding,
        hop::Hop,
    },
};

/// A routed request at a gate.
pub struct GateRequest {
    /// Metadata from the entry's hop header.
    pub hop: Hop,
    /// When the entry gives up on the request.
    pub deadline: CallDeadline,
    /// Until when the response counts as on time by the route's `on_time_ms`.
    pub soft_deadline: Instant,
    /// When the request arrived at the gate.
    pub received_at: Instant,
    /// Time in the queue; `None` until the request gets a slot.
    pub queued: Option<Duration>,
    /// Request head without hop-by-hop headers and headers between daemons.
    pub parts: Parts,
    /// Request body, buffered or streamed.
    pub body: SendableBody,
}

impl GateRequest {
    /// Creates a request that arrived at `now`; the times of `hop` count from then.
    pub fn new(now: Instant, hop: Hop, mut parts: Parts, body: SendableBody) -> Self {
        forwarding::strip_hop_by_hop(&mut parts.headers);
        forwarding::strip_internal_headers(&mut parts.headers);
        let deadline = CallDeadline::new(now + Duration::from_millis(hop.left_ms.into()));
        let soft_deadline = now + Duration::from_millis(hop.soft_deadline_left_ms.into());
        Self { hop, deadline, soft_deadline, received_at: now, queued: None, parts, body }
    }

    /// Returns the attributes by which the queue orders and refuses the request. The wait in the
    /// queue ends by `return_margin` before the deadline, which holds for the run.
    pub fn to_work_request(&self, return_margin: Duration) -> WorkRequest {
        WorkRequest {
            kind: self.hop.route_hash,
            rank: self.hop.rank,
            organisation: self
                .hop
                .organisation
                .map(|it| OrganisationShare { id: it.id, rank: it.rank }),
            soft_deadline: self.soft_deadline,
            deadline: wait_until(self.deadline.at(), return_margin),
            may_wait: self.hop.may_wait,
        }
    }

    /// Returns the caller's request ID, which the target repeats in its response.
    pub fn request_id(&self) -> Option<&HeaderValue> {
        self.parts.headers.get(headers::REQUEST_ID)
    }

    /// Returns the fingerprint that identifies the request when its caller sends it again.
    pub fn fingerprint(&self) -> Fingerprint {
        let uri = &self.parts.uri;
        let body = self.body.buffered().map_or(&[][..], |body| &body[..]);
        let parts = FingerprintParts {
            service: &self.hop.service,
            method: self.parts.method.as_str(),
            path_and_query: uri.path_and_query().map_or("/", |path| path.as_str()),
            key: None,
            content_length: Some(body.len() as u64),
            body,
        };
        parts.fingerprint()
    }

    /// Builds the request for `target` and takes the body.
    pub fn target_request(&mut self, target: &str) -> Request<CallBody> {
        let mut request = Request::new(self.body.next_body());
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = self.parts.uri.clone();
        let map = request.headers_mut();
        map.clone_from(&self.parts.headers);
        forwarding::set_header(map, headers::INTENDED_TARGET, target);
        let left_ms = self.deadline.remaining(Instant::now()).as_millis();
        forwarding::set_header(map, headers::REMAINING_MS, &left_ms.to_string());
        request
    }
}
