//! Answers the target and the platform: signs of life, readiness.

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
            target::{Heard, RoutedTarget},
        },
    },
    transport::call_server::{Arrival, CallHandler},
};

/// Longest body that is read; a heartbeat has some 300 bytes.
const BODY_MAX_BYTES: usize = 64 * 1024;

/// Longest wait for a body: its sender waits a second for the answer.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers the target and the platform.
pub struct ControlServer {
    /// The target.
    pub target: RoutedTarget,
    /// The routing table in force.
    pub routing: RoutingState,
    /// Counters.
    pub counters: Counters,
    /// Log lines.
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
            Some(ControlCall::Heartbeat(target)) => match read(body).await {
                Some(text) => self.heartbeat(target, &text),
                None => StatusCode::BAD_REQUEST,
            },
            Some(ControlCall::Leave(target)) => match read(body).await {
                Some(text) => self.leave(target, &text),
                None => StatusCode::BAD_REQUEST,
            },
            None => StatusCode::NOT_FOUND,
        };
        answer(status)
    }
}

impl ControlServer {
    fn readiness(&self) -> StatusCode {
        if self.leaving.is_cancelled() || self.routing.version() == 0 {
            return StatusCode::SERVICE_UNAVAILABLE;
        }
        StatusCode::OK
    }

    fn heartbeat(&self, target: String, text: &[u8]) -> StatusCode {
        let heartbeat = match heartbeat::decode(target, text) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                self.counters.add("heartbeat.unreadable");
                self.events.write(|| HeartbeatRejected { cause: error.to_string() });
                return StatusCode::BAD_REQUEST;
            }
        };
        self.heard(heartbeat)
    }

    fn heard(&self, heartbeat: Heartbeat) -> StatusCode {
        let Heartbeat { target, life, sequence, service, phase, .. } = heartbeat.clone();
        let heard = self.target.heard(Instant::now(), heartbeat);
        if heard == Heard::Same {
            return StatusCode::OK;
        }
        self.events.write(|| HeartbeatReceived {
            target,
            life,
            sequence,
            service,
            phase: format!("{phase:?}"),
            heard: format!("{heard:?}"),
        });
        match heard {
            // A yes would promise the dead process something that has no effect.
            Heard::OlderLife => StatusCode::CONFLICT,
            Heard::TooSoon => StatusCode::SERVICE_UNAVAILABLE,
            Heard::NewLife | Heard::Changed | Heard::Same | Heard::Older => StatusCode::OK,
        }
    }

    /// Start of the latest process that may have left by now, for a leave that doesn't name its own.
    ///
    /// With a clock that can't be used all processes count, since work for one that has left is worse
    /// than none for one that comes.
    fn last_life(&self) -> TargetIncarnation {
        unix_ms().unwrap_or_else(|error| {
            self.events.write(|| ClockUnusable { cause: error.to_string() });
            TargetIncarnation::MAX
        })
    }

    fn leave(&self, target: String, text: &[u8]) -> StatusCode {
        let leave = match heartbeat::decode_leave(target, text) {
            Ok(leave) => leave,
            Err(error) => {
                self.counters.add("heartbeat.unreadable");
                self.events.write(|| HeartbeatRejected { cause: error.to_string() });
                return StatusCode::BAD_REQUEST;
            }
        };
        let is_present = self.target.left(self.last_life(), &leave);
        self.events.write(|| TargetLeaving { target: leave.target, life: leave.life, is_present });
        StatusCode::OK
    }
}

/// The time of day.
///
/// # Errors
///
/// This machine's clock stands before 1970.
pub(super) fn unix_ms() -> Result<u64, SystemTimeError> {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
    Ok(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

async fn read(body: CallBody) -> Option<Bytes> {
    let limited = http_body_util::Limited::new(body, BODY_MAX_BYTES);
    let read = timeout(BODY_TIMEOUT, limited.collect()).await;
    read.ok()?.ok().map(http_body_util::Collected::to_bytes)
}

fn answer(status: StatusCode) -> Response<CallBody> {
    let mut answer = Response::new(body::full(Bytes::from_static(b"{}")));
    *answer.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(http::header::CONTENT_TYPE, json);
    answer
}
