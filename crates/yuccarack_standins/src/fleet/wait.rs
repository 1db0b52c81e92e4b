//! Waits for observable conditions, with a limit that only a broken system reaches.

use std::time::{Duration, Instant};

use tokio::time::sleep;

/// Longest wait for a condition; much longer than needed, since the machine may be busy.
pub const WAIT_MAX: Duration = Duration::from_secs(30);

/// Poll interval.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `poll` until it returns a value; returns the value and the elapsed time.
///
/// # Panics
///
/// No value within [`WAIT_MAX`]; the message names `what`.
pub async fn wait_for<T, F>(what: &str, mut poll: impl FnMut() -> F) -> (T, Duration)
where
    F: Future<Output = Option<T>>,
{
    let start = Instant::now();
    loop {
        if let Some(found) = poll().await {
            let elapsed = start.elapsed();
            println!("{:>6} ms until {what}", elapsed.as_millis());
            return (found, elapsed);
        }
        assert!(start.elapsed() < WAIT_MAX, "timed out waiting until {what}");
        sleep(POLL_INTERVAL).await;
    }
}

/// Polls `condition` until it is true; returns the elapsed time.
///
/// # Panics
///
/// The condition doesn't hold within [`WAIT_MAX`]; the message names `what`.
pub async fn wait_until<F>(what: &str, mut condition: impl FnMut() -> F) -> Duration
where
    F: Future<Output = bool>,
{
    let poll = || {
        let condition = condition();
        async { condition.await.then_some(()) }
    };
    wait_for(what, poll).await.1
}
