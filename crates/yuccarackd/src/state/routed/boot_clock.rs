//! Time for which this machine was suspended.

use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};

/// Time for which the machine was suspended since its start.
///
/// Failure: a machine is suspended with a request in its hands and goes on seconds later. The
/// steady clock stood still meanwhile, so the request's deadline still seems to be ahead, though
/// its caller was told long ago that it is over. The clock that counts from the machine's start
/// went on, so the difference between the two is what a deadline has to be moved by.
pub fn time_suspended() -> Duration {
    let since_boot = duration(clock_gettime(ClockId::Boottime));
    since_boot.saturating_sub(duration(clock_gettime(ClockId::Monotonic)))
}

fn duration(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
