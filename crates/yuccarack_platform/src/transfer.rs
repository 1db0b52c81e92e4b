//! Reads bodies of any size, limited by the progress of the transfer and not by its total time.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

/// Interval in which a transfer must make progress.
pub const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum number of bytes that must arrive in each [`PROGRESS_INTERVAL`] until the body ends.
pub const PROGRESS_MIN_BYTES: usize = 16 * 1024;

/// Longest body that is read; several may be read at the same time. A table of 12,000 routes takes about
/// 5 MB.
pub const BODY_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Error of reading a body.
#[derive(Debug, Error)]
pub enum TransferError<E> {
    /// The body ended before it was complete.
    #[error(transparent)]
    Interrupted(E),
    /// Less than [`PROGRESS_MIN_BYTES`] arrived within [`PROGRESS_INTERVAL`].
    #[error("the transfer stalled after {received_bytes} bytes")]
    Stalled {
        /// Number of bytes that had arrived.
        received_bytes: usize,
    },
    /// The body exceeds [`BODY_MAX_BYTES`].
    #[error("the body exceeds {BODY_MAX_BYTES} bytes")]
    TooLong,
}

/// Reads `body` to its end; `on_bytes` gets the length of each part as it arrives.
///
/// With a limit on the total time, a large body on a slow link would be aborted at every attempt,
/// and each attempt would start again at the first byte.
///
/// # Errors
///
/// [`TransferError`] if the body is interrupted, stalls or is too long.
pub async fn read_full<B>(
    mut body: B,
    mut on_bytes: impl FnMut(usize),
) -> Result<Bytes, TransferError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut received = BytesMut::new();
    let mut interval_start_bytes = 0;
    let mut interval_ends_at = Instant::now() + PROGRESS_INTERVAL;
    loop {
        match timeout_at(interval_ends_at, body.frame()).await {
            Ok(None) => return Ok(received.freeze()),
            Ok(Some(frame)) => {
                if let Ok(data) = frame.map_err(TransferError::Interrupted)?.into_data() {
                    if received.len() + data.len() > BODY_MAX_BYTES {
                        return Err(TransferError::TooLong);
                    }
                    on_bytes(data.len());
                    received.extend_from_slice(&data);
                }
            }
            Err(_) if received.len() - interval_start_bytes < PROGRESS_MIN_BYTES => {
                return Err(TransferError::Stalled { received_bytes: received.len() });
            }
            Err(_) => {
                interval_start_bytes = received.len();
                interval_ends_at = Instant::now() + PROGRESS_INTERVAL;
            }
        }
    }
}
