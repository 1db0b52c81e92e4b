//! Random jitter, which spreads actions that many daemons would otherwise take at the same time.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Returns a random duration between half of `delay` and `delay`.
///
/// Daemons that lost the store at the same time would otherwise retry at the same time, and
/// overload it whenever it becomes available again.
pub fn jittered(delay: Duration) -> Duration {
    delay.mul_f64(generator().random_range(0.5..1.0))
}

/// Returns a random number generator that is seeded by the operating system.
pub fn generator() -> SmallRng {
    SmallRng::from_os_rng()
}
