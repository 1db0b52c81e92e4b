//! Waits on what can be seen, with limits that only a broken system reaches.

use std::time::{Duration, Instant};

use tokio::time::sleep;

/// Longest wait for anything; generous, since the machine may be busy.
pub const WAIT_MAX: Duration = Duration::from_secs(30);

/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `look` finds something, and says how long that took.
///
/// # Panics
///
/// Nothing is found within [`WAIT_MAX`]; `what` is named.
pub async fn wait_for<T, F>(what: &str, mut look: impl FnMut() -> F) -> (T, Duration)
where
    F: Future<Output = Option<T>>,
{
    let start = Instant::now();
    loop {
        if let Some(found) = look().await {
            let took = start.elapsed();
            println!("{:>6} ms until {what}", took.as_millis());
            return (found, took);
        }
        assert!(start.elapsed() < WAIT_MAX, "waited in vain until {what}");
        sleep(LOOK_INTERVAL).await;
    }
}

/// Waits until `holds` is true, and says how long that took.
///
/// # Panics
///
/// It doesn't hold within [`WAIT_MAX`]; `what` is named.
pub async fn wait_until<F>(what: &str, mut holds: impl FnMut() -> F) -> Duration
where
    F: Future<Output = bool>,
{
    let look = || {
        let holds = holds();
        async { holds.await.then_some(()) }
    };
    wait_for(what, look).await.1
}
