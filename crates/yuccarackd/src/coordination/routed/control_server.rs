//! Serves the control interface: heartbeats and leaves of the target, and readiness for the
//! platform.

use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime, SystemTimeError},
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use yuccarack_config::heartbeat::{Heartbeat, TargetIncarnation};
use yuccarack_platform_wire::{
    control::{self, ControlCall},
    heartbeat,
};

use super::{
    events::EventLog,
    log_lines::{ClockUnusable, HeartbeatReceived, HeartbeatRejected, TargetLeaving},
};
use crate::{
    protocol::body::{self, CallBody},
    state::{
        counters::Counters,
        routed::{
            routing_state::RoutingState,
            target::{HeartbeatEffect, RoutedTarget},
        },
    },
    transport::call_server::{Arrival, CallHandler},
};

/// Longest body that is read; a heartbeat has about 300 bytes.
const BODY_MAX_BYTES: usize = 64 * 1024;

/// Longest wait for a body: its sender waits a second for the response.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait until the store has the departure of a target, which waits a second for the response.
const STORED_TIMEOUT: Duration = Duration::from_millis(700);

/// Handles the requests of the target and the platform.
pub struct ControlServer {
    /// The target of this instance.
    pub target: RoutedTarget,
    /// The routing table in force; without one this daemon isn't ready.
    pub routing: RoutingState,
    /// Counters of unreadable requests.
    pub counters: Counters,
    /// Log for heartbeats and leaves.
    pub events: EventLog,
    /// Cancelled when this daemon leaves.
    pub leaving: CancellationToken,
}

impl CallHandler for ControlServer {
    async fn handle(
        self: Arc<Self>,
        _arrival: Arrival,
        request: Request<CallBody>,
    ) -> Response<CallBody> {
        let (parts, body) = request.into_parts();
        let status = match control::decode(&parts.method, parts.uri.path()) {
            Some(ControlCall::Readiness) => self.readiness(),
            Some(ControlCall::Heartbeat(target)) => match read_body(body).await {
                Some(body) => {
                    let status = self.heartbeat(target, &body);
                    wait_for_dispatched_requests().await;
                    match self.target.is_leaving() {
                        true => self.confirm_departures(status).await,
                        false => status,
                    }
                }
                None => StatusCode::BAD_REQUEST,
            },
            Some(ControlCall::Leave(target)) => match read_body(body).await {
                Some(body) => {
                    let status = self.leave(target, &body);
                    wait_for_dispatched_requests().await;
                    self.confirm_departures(status).await
                }
                None => StatusCode::BAD_REQUEST,
            },
            None => StatusCode::NOT_FOUND,
        };
        respond(status)
    }
}

impl ControlServer {
    fn readiness(&self) -> StatusCode {
        if self.leaving.is_cancelled() || self.routing.version() == 0 {
            return StatusCode::SERVICE_UNAVAILABLE;
        }
        StatusCode::OK
    }

    fn heartbeat(&self, target: String, body: &[u8]) -> StatusCode {
        let heartbeat = match heartbeat::decode(target, body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                self.counters.add("heartbeat.unreadable");
                self.events.write(|| HeartbeatRejected { cause: error.to_string() });
                return StatusCode::BAD_REQUEST;
            }
        };
        self.record_heartbeat(heartbeat)
    }

    fn record_heartbeat(&self, heartbeat: Heartbeat) -> StatusCode {
        let Heartbeat { target, life, sequence, service, phase, .. } = heartbeat.clone();
        let effect = self.target.apply_heartbeat(Instant::now(), heartbeat);
        if effect == HeartbeatEffect::Same {
            return StatusCode::OK;
        }
        self.events.write(|| HeartbeatReceived {
            target,
            life,
            sequence,
            service,
            phase: format!("{phase:?}"),
            heard: format!("{effect:?}"),
        });
        match effect {
            // A 200 would tell a process that has been replaced that its heartbeat was applied.
            HeartbeatEffect::OlderLife => StatusCode::CONFLICT,
            HeartbeatEffect::TooSoon => StatusCode::SERVICE_UNAVAILABLE,
            HeartbeatEffect::NewLife
            | HeartbeatEffect::Changed
            | HeartbeatEffect::Same
            | HeartbeatEffect::Older => StatusCode::OK,
        }
    }

    /// Returns the current time as an incarnation, which is the start time of a process: a leave
    /// without an incarnation covers every process that has started by now.
    ///
    /// If the clock can't be used, all processes count: a request to a target that has left is
    /// worse than none to one that is joining.
    fn latest_departed_incarnation(&self) -> TargetIncarnation {
        unix_ms().unwrap_or_else(|error| {
            self.events.write(|| ClockUnusable { cause: error.to_string() });
            TargetIncarnation::MAX
        })
    }

    /// Waits until the departures that a response with `status` would confirm are stored. A confirmed
    /// departure has to hold if this daemon restarts, so one that isn't stored is not confirmed; it
    /// takes effect all the same.
    async fn confirm_departures(&self, status: StatusCode) -> StatusCode {
        if status != StatusCode::OK {
            return status;
        }
        match timeout(STORED_TIMEOUT, self.target.wait_departures_stored()).await {
            Ok(()) => StatusCode::OK,
            Err(_) => {
                self.counters.add("target.departures_unconfirmed");
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }

    fn leave(&self, target: String, body: &[u8]) -> StatusCode {
        let leave = match heartbeat::decode_leave(target, body) {
            Ok(leave) => leave,
            Err(error) => {
                self.counters.add("heartbeat.unreadable");
                self.events.write(|| HeartbeatRejected { cause: error.to_string() });
                return StatusCode::BAD_REQUEST;
            }
        };
        let is_present = self.target.apply_leave(self.latest_departed_incarnation(), &leave);
        self.events.write(|| TargetLeaving { target: leave.target, life: leave.life, is_present });
        StatusCode::OK
    }
}

/// Returns the wall clock in milliseconds since 1970.
///
/// # Errors
///
/// This machine's clock is set before 1970.
pub(super) fn unix_ms() -> Result<u64, SystemTimeError> {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
    Ok(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// Lets the connections write the requests that the gate has handed to them.
///
/// The gate checks the target's state just before that, on the same thread. Otherwise the target
/// could have its announcement confirmed and then receive such a request, late by as long as this
/// process waits for a processor.
async fn wait_for_dispatched_requests() {
    tokio::task::yield_now().await;
}

async fn read_body(body: CallBody) -> Option<Bytes> {
    let limited = http_body_util::Limited::new(body, BODY_MAX_BYTES);
    let read = timeout(BODY_TIMEOUT, limited.collect()).await;
    read.ok()?.ok().map(http_body_util::Collected::to_bytes)
}

fn respond(status: StatusCode) -> Response<CallBody> {
    let mut response = Response::new(body::full(Bytes::from_static(b"{}")));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}
