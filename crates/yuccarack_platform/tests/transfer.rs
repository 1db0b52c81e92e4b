//! Reads of bodies that are slow, stall or are interrupted.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::Response;
use http_body::{Body, Frame};
use http_body_util::{BodyExt, StreamBody};
use tokio::time::{Instant, sleep};
use yuccarack_platform::{
    PlatformClient,
    transfer::{BODY_MAX_BYTES, PROGRESS_INTERVAL, PROGRESS_MIN_BYTES, TransferError, read_full},
};
use yuccarack_standins::server::{ConnectionAborted, Server, listen};

/// Error of a broken connection.
#[derive(Debug, PartialEq)]
struct BrokenConnection;

/// Returns a body of `pieces` frames of `chunk_bytes` each, with `pause` before each.
fn body(
    pieces: usize,
    chunk_bytes: usize,
    pause: Duration,
) -> impl Body<Data = Bytes, Error = BrokenConnection> + Unpin {
    let pieces = stream::unfold(0, move |sent| async move {
        if sent == pieces {
            return None;
        }
        sleep(pause).await;
        Some((Ok(Frame::data(Bytes::from(vec![b'x'; chunk_bytes]))), sent + 1))
    });
    StreamBody::new(pieces).boxed_unsync()
}

/// Guards against a limit on the total time, with which a large body on a slow link never arrives.
#[tokio::test(start_paused = true)]
async fn a_slow_body_is_read_fully_while_it_makes_progress() {
    let mut counted_bytes = 0;
    let slow_body = body(100, 4 * 1024, Duration::from_millis(200));
    let read = read_full(slow_body, |bytes| counted_bytes += bytes).await.expect("the full body");
    assert_eq!(read.len(), 400 * 1024);
    assert_eq!(counted_bytes, 400 * 1024);
}

/// Guards against a transfer that never ends because single bytes keep arriving.
#[tokio::test(start_paused = true)]
async fn a_trickling_body_is_aborted() {
    let started_at = Instant::now();
    let trickling_body = body(10_000, 1, Duration::from_millis(100));
    let result = read_full(trickling_body, |_| ()).await;
    assert!(matches!(result, Err(TransferError::Stalled { received_bytes: 9..=10 })), "{result:?}");
    assert_eq!(started_at.elapsed(), PROGRESS_INTERVAL);
}

/// Guards against waiting forever for a body that stops after it has made progress.
#[tokio::test(start_paused = true)]
async fn a_body_that_stops_midway_is_aborted() {
    let frames = body(3, PROGRESS_MIN_BYTES, Duration::from_millis(400));
    let stopping_body =
        StreamBody::new(stream::unfold((frames, 0), |(mut frames, sent)| async move {
            if sent == 3 {
                std::future::pending::<()>().await;
            }
            Some((frames.frame().await?, (frames, sent + 1)))
        }));
    let started_at = Instant::now();
    let result = read_full(stopping_body.boxed_unsync(), |_| ()).await;
    assert!(matches!(result, Err(TransferError::Stalled { .. })), "{result:?}");
    assert_eq!(started_at.elapsed(), PROGRESS_INTERVAL * 3);
}

#[tokio::test(start_paused = true)]
async fn an_interrupted_body_is_not_taken_for_complete() {
    let pieces = [Ok(Frame::data(Bytes::from_static(b"half"))), Err(BrokenConnection)];
    let result = read_full(StreamBody::new(stream::iter(pieces)), |_| ()).await;
    assert!(matches!(result, Err(TransferError::Interrupted(BrokenConnection))), "{result:?}");
}

/// Starts a platform that sends each response head at once and the body in pieces 20 ms apart.
async fn slow_platform() -> Server {
    let listener = listen(([127, 0, 0, 1], 0).into()).await.expect("a port");
    let server = Server::start(listener, 4, |request| async move {
        let text = match request.uri().path() {
            "/table/rows" => {
                format!("{}{}", " ".repeat(64 * 1024), r#"{"rows":[],"revision":7}"#)
            }
            _ => "x".repeat(64 * 1024),
        };
        let pieces = stream::unfold(Bytes::from(text), |mut rest| async move {
            sleep(Duration::from_millis(20)).await;
            let piece = rest.split_to(rest.len().min(2 * 1024));
            (!piece.is_empty()).then_some((Ok::<_, ConnectionAborted>(Frame::data(piece)), rest))
        });
        Ok(Response::new(StreamBody::new(pieces).boxed_unsync()))
    });
    server.expect("a server")
}

/// Guards against rows and objects that can't be read because their transfer takes longer than the
/// response timeout.
#[tokio::test]
async fn rows_and_objects_may_take_longer_than_the_response_timeout() {
    let server = slow_platform().await;
    let client = PlatformClient::new(server.address(), Duration::from_millis(200));
    assert_eq!(client.rows("x/").await.expect("rows").rows.len(), 0);
    let object = client.object("rules").await.expect("a response").expect("an object");
    assert_eq!(object.len(), 64 * 1024);
    server.crash().await;
}

/// Guards against a body without an end, which would use up the memory as long as it makes progress.
#[tokio::test(start_paused = true)]
async fn a_body_without_end_is_aborted() {
    let mut counted_bytes = 0;
    let endless_body = body(usize::MAX, 64 * 1024, Duration::from_millis(1));
    let read = read_full(endless_body, |bytes| counted_bytes += bytes).await;
    assert!(matches!(read, Err(TransferError::TooLong)), "{read:?}");
    assert_eq!(counted_bytes, BODY_MAX_BYTES);
}
