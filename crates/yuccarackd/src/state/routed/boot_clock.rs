//! Time for which this machine was suspended.

use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};

/// Returns the time for which the machine was suspended since its start.
///
/// Guards against a machine that is suspended with a request in flight and resumes seconds later.
/// The monotonic clock stands still meanwhile, so the deadline of the request seems to lie ahead
/// although its caller has given up. The boot-time clock goes on, so a deadline has to be moved
/// forward by the difference between the two clocks.
pub fn time_suspended() -> Duration {
    let since_boot = duration(clock_gettime(ClockId::Boottime));
    since_boot.saturating_sub(duration(clock_gettime(ClockId::Monotonic)))
}

fn duration(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
