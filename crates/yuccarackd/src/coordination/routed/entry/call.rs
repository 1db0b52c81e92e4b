//! One routed call at its entry, ready to be sent once or more.

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
use yuccarack_platform_wire::headers;

use crate::{
    coordination::{entry::call::origin_form, routed::deadline::CallDeadline},
    protocol::{
        body::{CallBody, SendableBody},
        forwarding,
        hop::{HOP, Hop},
        streamed_body::Wanted,
    },
};

/// One routed call.
pub struct RoutedCall {
    /// The caller's name of the request.
    pub request_id: HeaderValue,
    /// When nobody waits for it any more.
    pub deadline: CallDeadline,
    /// Until when its answer is of full use.
    pub on_time_by: Instant,
    /// When it came.
    pub came_at: Instant,
    /// Service that has to run it.
    pub service: ServiceName,
    /// Requests of one kind take alike long.
    pub kind: u64,
    /// How urgent it is.
    pub rank: u8,
    /// Regions that it may reach; all without one.
    pub home_regions: Vec<RegionName>,
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// Most targets that may run it.
    pub targets_max: u8,
    /// The routing table by which it goes.
    pub routing_version: RoutingVersion,
    /// Its head, as it goes on.
    pub head: ForwardedHead,
    /// Its body.
    pub body: SendableBody,
}

/// A head without what belongs to one connection or to daemons.
#[derive(Clone, Debug)]
pub struct ForwardedHead {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
}

impl ForwardedHead {
    /// Takes what goes on of `parts`, for a target that `caller_service` calls.
    pub fn new(parts: Parts, caller_service: &str) -> Self {
        let uri = origin_form(&parts.uri);
        let mut map = parts.headers;
        forwarding::strip_hop_by_hop(&mut map);
        forwarding::strip_between_daemons(&mut map);
        // Whatever a caller says of these, only a daemon knows them.
        map.remove(headers::MEANT_FOR);
        forwarding::set(&mut map, headers::CALLER_SERVICE, caller_service);
        Self { method: parts.method, uri, headers: map }
    }

    /// The head of a request for the gate of this daemon.
    pub fn to_parts(&self) -> Parts {
        let mut request = Request::new(());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        request.into_parts().0
    }
}

impl RoutedCall {
    /// What a gate is told for a try that goes out at `now`.
    pub fn hop(&self, now: Instant, attempt: AttemptId, may_wait: bool, sender: SocketAddr) -> Hop {
        Hop {
            attempt,
            service: self.service.clone(),
            kind: self.kind,
            left_ms: millis(self.deadline.remaining(now)),
            on_time_left_ms: millis(self.on_time_by.saturating_duration_since(now)),
            rank: self.rank,
            is_repeatable: self.is_repeatable,
            may_wait,
            routing_version: self.routing_version,
            sender,
        }
    }

    /// The caller's name of the request, for a log line.
    pub fn request_id_text(&self) -> String {
        String::from_utf8_lossy(self.request_id.as_bytes()).into_owned()
    }

    /// The request as another daemon gets it.
    ///
    /// A streamed body goes out when the gate has a slot for it and not before: refused, it is still
    /// here for another gate, and none of its bytes were sent for nothing.
    pub fn request(&self, hop: &Hop, is_offered: bool) -> Request<CallBody> {
        let Some(body) = self.body.streamed().filter(|_| is_offered) else {
            return self.request_with_body(hop, self.body.take());
        };
        let wanted = Wanted::new();
        let mut request = self.request_with_body(hop, body.offer_when(&wanted));
        request.headers_mut().insert(header::EXPECT, HeaderValue::from_static("100-continue"));
        on_informational(&mut request, move |response| {
            if response.status() == StatusCode::CONTINUE {
                wanted.set();
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
        forwarding::set(map, HOP, &hop.to_string());
        request
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
