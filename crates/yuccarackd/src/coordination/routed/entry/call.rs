//! A routed call at its entry, from which the request of each attempt is built.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri, header, request::Parts};
use hyper::ext::on_informational;
use yuccarack_config::{
    ids::{AttemptId, RegionName, ServiceName},
    routing::RoutingVersion,
};
use yuccarack_platform_wire::{authorization, headers};

use super::{authentication::CallerOrganisation, service::ChosenGate};
use crate::{
    coordination::{entry::call::origin_form, routed::deadline::CallDeadline},
    protocol::{
        body::{CallBody, SendableBody},
        forwarding,
        hop::{HOP, Hop},
        streamed_body::DemandSignal,
    },
};

/// A routed call at its entry.
pub struct RoutedCall {
    /// Request ID that the caller chose.
    pub request_id: HeaderValue,
    /// When the entry gives up on the call.
    pub deadline: CallDeadline,
    /// Until when the response counts as on time by the route's `on_time_ms`. The estimated wait of
    /// the caller with earlier, refused requests is deducted.
    pub soft_deadline: Instant,
    /// When the call arrived at the entry.
    pub received_at: Instant,
    /// Service whose targets may run the call.
    pub service: ServiceName,
    /// Hash of the route's name, which groups requests with similar service times.
    pub route_hash: u64,
    /// Usual size of the route's responses; `None` while no route has large ones or it is unknown.
    pub response_bytes: Option<u64>,
    /// Rank of the call's route, by which gates order their queues.
    pub rank: u8,
    /// Regions whose targets may run the call; all regions if empty.
    pub home_regions: Vec<RegionName>,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Most targets that may run the request.
    pub targets_max: u8,
    /// Version of the routing table that the call is routed by.
    pub routing_version: RoutingVersion,
    /// Organisation that the call belongs to; `None` if it needs no key.
    pub organisation: Option<CallerOrganisation>,
    /// Request head as forwarded to gates.
    pub head: ForwardedHead,
    /// Request body, buffered or streamed.
    pub body: SendableBody,
}

/// A request head without hop-by-hop headers and headers between daemons.
#[derive(Clone, Debug)]
pub struct ForwardedHead {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
}

impl ForwardedHead {
    /// Derives the forwarded head from `parts` of a call by an instance of `caller_service`.
    pub fn new(parts: Parts, caller_service: &str) -> Self {
        let uri = origin_form(&parts.uri);
        let mut map = parts.headers;
        forwarding::strip_hop_by_hop(&mut map);
        forwarding::strip_internal_headers(&mut map);
        // Only daemons set these headers, so values from the caller are dropped or replaced.
        map.remove(headers::INTENDED_TARGET);
        forwarding::set_header(&mut map, headers::CALLER_SERVICE, caller_service);
        Self { method: parts.method, uri, headers: map }
    }

    /// Removes the key of the caller and sets the name of its organisation, or none.
    pub fn with_organisation(mut self, name: Option<&str>) -> Self {
        authorization::strip(&mut self.headers);
        self.headers.remove(headers::ORGANISATION);
        if let Some(name) = name {
            forwarding::set_header(&mut self.headers, headers::ORGANISATION, name);
        }
        self
    }

    /// Builds the head of a request for the gate in this process.
    pub fn to_parts(&self) -> Parts {
        let mut request = Request::new(());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        request.into_parts().0
    }
}

impl RoutedCall {
    /// Returns the hop metadata of an attempt that is sent to `gate` at `now`.
    pub fn hop(
        &self,
        now: Instant,
        attempt: AttemptId,
        gate: &ChosenGate,
        sender: SocketAddr,
    ) -> Hop {
        Hop {
            attempt,
            service: self.service.clone(),
            route_hash: self.route_hash,
            left_ms: millis(self.deadline.remaining(now)),
            soft_deadline_left_ms: millis(self.soft_deadline.saturating_duration_since(now)),
            rank: self.rank,
            is_repeatable: self.is_repeatable,
            may_wait: gate.may_wait,
            routing_version: self.routing_version,
            sender,
            announcement: gate.announcement,
            organisation: self.organisation.as_ref().map(|organisation| organisation.hop),
        }
    }

    /// Formats the request ID for a log line.
    pub fn request_id_text(&self) -> String {
        String::from_utf8_lossy(self.request_id.as_bytes()).into_owned()
    }

    /// Builds the request of an attempt at another daemon's gate.
    ///
    /// If `expects_continue`, a streamed body is held back until the gate has a slot for the
    /// request and responds with `100 Continue`. After a refusal the body is still complete for
    /// another gate, and no bytes were sent for nothing.
    pub fn request(&self, hop: &Hop, expects_continue: bool) -> Request<CallBody> {
        let Some(body) = self.body.streamed().filter(|_| expects_continue) else {
            return self.request_with_body(hop, self.body.next_body());
        };
        let demand = DemandSignal::new();
        let mut request = self.request_with_body(hop, body.offer_when(&demand));
        request.headers_mut().insert(header::EXPECT, HeaderValue::from_static("100-continue"));
        on_informational(&mut request, move |response| {
            if response.status() == StatusCode::CONTINUE {
                demand.notify();
            }
        });
        request
    }

    fn request_with_body(&self, hop: &Hop, body: CallBody) -> Request<CallBody> {
        let mut request = Request::new(body);
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        let map = request.headers_mut();
        map.clone_from(&self.head.headers);
        forwarding::set_header(map, HOP, &hop.to_string());
        request
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
