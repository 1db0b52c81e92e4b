//! Reads bodies of any size: a transfer is limited by its progress, not by its total time.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

/// Interval in which a transfer has to make progress.
pub const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes that have to arrive in each [`PROGRESS_INTERVAL`] until the end.
pub const PROGRESS_MIN_BYTES: usize = 16 * 1024;

/// Why a body was not read whole.
#[derive(Debug, Error)]
pub enum TransferError<E> {
    /// It broke off.
    #[error(transparent)]
    Interrupted(E),
    /// Less than [`PROGRESS_MIN_BYTES`] arrived within [`PROGRESS_INTERVAL`].
    #[error("the transfer stalled after {received_bytes} bytes")]
    Stalled {
        /// Bytes that had arrived.
        received_bytes: usize,
    },
}

/// Reads `body` whole; `on_bytes` gets the length of each piece as it arrives.
///
/// A limit on the total time would cut a large body on a slow link at every try, and each try would
/// start over with the first byte.
///
/// # Errors
///
/// [`TransferError`].
pub async fn read_full<B>(
    mut body: B,
    mut on_bytes: impl FnMut(usize),
) -> Result<Bytes, TransferError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut read = BytesMut::new();
    let mut interval_start_bytes = 0;
    let mut interval_ends_at = Instant::now() + PROGRESS_INTERVAL;
    loop {
        match timeout_at(interval_ends_at, body.frame()).await {
            Ok(None) => return Ok(read.freeze()),
            Ok(Some(frame)) => {
                if let Ok(data) = frame.map_err(TransferError::Interrupted)?.into_data() {
                    on_bytes(data.len());
                    read.extend_from_slice(&data);
                }
            }
            Err(_) if read.len() - interval_start_bytes < PROGRESS_MIN_BYTES => {
                return Err(TransferError::Stalled { received_bytes: read.len() });
            }
            Err(_) => {
                interval_start_bytes = read.len();
                interval_ends_at = Instant::now() + PROGRESS_INTERVAL;
            }
        }
    }
}
