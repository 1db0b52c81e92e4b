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
pub async fn wait_for<T, F>(what: &str, poll: impl FnMut() -> F) -> (T, Duration)
where
    F: Future<Output = Option<T>>,
{
    let found = poll_until_deadline(what, poll).await;
    found.unwrap_or_else(|| panic!("timed out waiting until {what}"))
}

/// Polls `condition` until it is true; returns the elapsed time.
///
/// # Panics
///
/// The condition doesn't hold within [`WAIT_MAX`]; the message names `what`.
pub async fn wait_until<F>(what: &str, condition: impl FnMut() -> F) -> Duration
where
    F: Future<Output = bool>,
{
    wait_until_or_report(what, condition, async || ()).await
}

/// Polls `condition` like [`wait_until`], and calls `report` before it panics.
///
/// # Panics
///
/// The condition doesn't hold within [`WAIT_MAX`]; the message names `what`.
pub async fn wait_until_or_report<F>(
    what: &str,
    mut condition: impl FnMut() -> F,
    report: impl AsyncFnOnce(),
) -> Duration
where
    F: Future<Output = bool>,
{
    let poll = || {
        let condition = condition();
        async { condition.await.then_some(()) }
    };
    match poll_until_deadline(what, poll).await {
        Some(((), elapsed)) => elapsed,
        None => {
            report().await;
            panic!("timed out waiting until {what}");
        }
    }
}

/// Polls `poll` until it returns a value; `None` without one within [`WAIT_MAX`].
async fn poll_until_deadline<T, F>(what: &str, mut poll: impl FnMut() -> F) -> Option<(T, Duration)>
where
    F: Future<Output = Option<T>>,
{
    let start = Instant::now();
    loop {
        if let Some(found) = poll().await {
            let elapsed = start.elapsed();
            println!("{:>6} ms until {what}", elapsed.as_millis());
            return Some((found, elapsed));
        }
        if start.elapsed() >= WAIT_MAX {
            return None;
        }
        sleep(POLL_INTERVAL).await;
    }
}
