//! Load endpoint of a target, with faults: stale, false, missing or oversized reports.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http::{Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use yuccarack_config::wire_data;

use super::{Inner, TargetFaults};
use crate::server::{ConnectionAborted, HandlerResult, respond_json};

/// Size of one piece of an oversized report, in bytes.
const OVERSIZED_PIECE_BYTES: u64 = 16 * 1024;

wire_data! {
    /// Load report.
    pub struct TargetLoad {
        /// Requests inside the target.
        pub in_flight: u64,
        /// Number of slots.
        pub slots: u16,
    }
}

/// Handles one request for the load.
pub(super) async fn report(inner: &std::sync::Arc<Inner>) -> HandlerResult {
    let faults = inner.faults.lock().clone();
    inner.stats.lock().load_requests += 1;
    let open = OpenLoadRequest { inner: std::sync::Arc::clone(inner), opened_at: Instant::now() };
    if faults.hang_load {
        std::future::pending::<()>().await;
    }
    if faults.noisy_load_bytes > 0 {
        return oversized_response(open, faults.noisy_load_bytes);
    }
    let load = TargetLoad { in_flight: in_flight(inner, &faults), slots: inner.options.slots };
    inner.stats.lock().load_bytes += serde_json::to_vec(&load).map_or(0, |body| body.len() as u64);
    respond_json(StatusCode::OK, &load)
}

fn in_flight(inner: &Inner, faults: &TargetFaults) -> u64 {
    let inside = inner.stats.lock().inside;
    if let Some(false_load) = faults.lie_load {
        return u64::from(false_load);
    }
    let lag = Duration::from_millis(faults.lag_load_ms);
    let mut stale = inner.stale_load.lock();
    match *stale {
        Some((seen_at, seen)) if seen_at.elapsed() < lag => seen,
        _ => {
            *stale = Some((Instant::now(), inside));
            inside
        }
    }
}

/// Responds with `length` bytes that are no report; counts the pieces that the caller reads.
fn oversized_response(open: OpenLoadRequest, length: u64) -> HandlerResult {
    let pieces = stream::unfold((open, length), |(open, remaining)| async move {
        let piece = remaining.min(OVERSIZED_PIECE_BYTES);
        if piece == 0 {
            return None;
        }
        open.inner.stats.lock().load_bytes += piece;
        let bytes = Bytes::from(vec![b'x'; usize::try_from(piece).unwrap_or(0)]);
        Some((Ok(Frame::data(bytes)), (open, remaining - piece)))
    });
    Response::builder()
        .body(BodyExt::boxed_unsync(StreamBody::new(pieces)))
        .map_err(|_| ConnectionAborted)
}

/// Adds the time for which a load request was open to the statistics.
struct OpenLoadRequest {
    inner: std::sync::Arc<Inner>,
    opened_at: Instant,
}

impl Drop for OpenLoadRequest {
    fn drop(&mut self) {
        let open_ms = u64::try_from(self.opened_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.inner.stats.lock().load_open_ms += open_ms;
    }
}
