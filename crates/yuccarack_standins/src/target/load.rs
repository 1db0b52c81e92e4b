//! The load endpoint of a target: true, lagging, lying, hanging or noisy.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http::{Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use yuccarack_config::wire_data;

use super::{Inner, TargetFaults};
use crate::server::{ConnectionAborted, HandlerResult, respond_json};

/// Size of one piece of noise, in bytes.
const NOISE_PIECE_BYTES: u64 = 16 * 1024;

wire_data! {
    /// What the load endpoint says.
    pub struct TargetLoad {
        /// Requests inside the target.
        pub in_flight: u64,
        /// Requests that it runs at once.
        pub slots: u16,
    }
}

/// Answers one question for the load.
pub(super) async fn report(inner: &std::sync::Arc<Inner>) -> HandlerResult {
    let faults = inner.faults.lock().clone();
    inner.stats.lock().load_requests += 1;
    let open = OpenQuestion { inner: std::sync::Arc::clone(inner), asked_at: Instant::now() };
    if faults.hang_load {
        std::future::pending::<()>().await;
    }
    if faults.noisy_load_bytes > 0 {
        return noise(open, faults.noisy_load_bytes);
    }
    let load = TargetLoad { in_flight: in_flight(inner, &faults), slots: inner.options.slots };
    inner.stats.lock().load_bytes += serde_json::to_vec(&load).map_or(0, |body| body.len() as u64);
    respond_json(StatusCode::OK, &load)
}

fn in_flight(inner: &Inner, faults: &TargetFaults) -> u64 {
    let inside = inner.stats.lock().inside;
    if let Some(lie) = faults.lie_load {
        return u64::from(lie);
    }
    let lag = Duration::from_millis(faults.lag_load_ms);
    let mut lagging = inner.lagging_load.lock();
    match *lagging {
        Some((seen_at, seen)) if seen_at.elapsed() < lag => seen,
        _ => {
            *lagging = Some((Instant::now(), inside));
            inside
        }
    }
}

/// Noise without end in sight; what is taken is counted piece by piece.
fn noise(open: OpenQuestion, length: u64) -> HandlerResult {
    let pieces = stream::unfold((open, length), |(open, left)| async move {
        let piece = left.min(NOISE_PIECE_BYTES);
        if piece == 0 {
            return None;
        }
        open.inner.stats.lock().load_bytes += piece;
        let bytes = Bytes::from(vec![b'x'; usize::try_from(piece).unwrap_or(0)]);
        Some((Ok(Frame::data(bytes)), (open, left - piece)))
    });
    Response::builder()
        .body(BodyExt::boxed_unsync(StreamBody::new(pieces)))
        .map_err(|_| ConnectionAborted)
}

/// Counts for how long a question is open.
struct OpenQuestion {
    inner: std::sync::Arc<Inner>,
    asked_at: Instant,
}

impl Drop for OpenQuestion {
    fn drop(&mut self) {
        let open_ms = u64::try_from(self.asked_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.inner.stats.lock().load_open_ms += open_ms;
    }
}
