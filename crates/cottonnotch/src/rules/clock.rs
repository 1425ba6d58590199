//! The clock that leases are measured by: `CLOCK_BOOTTIME`. The clock keeps running while the process is stopped and while the
//! machine is suspended, and cannot be set.

use cottonnotch_consensus::Micros;
use rustix::time::{ClockId, clock_gettime};

/// Reads the time in microseconds since the machine booted. Times of different machines are not comparable.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// Returns the current time.
    pub fn now(self) -> Micros {
        let now = clock_gettime(ClockId::Boottime);
        now.tv_sec.saturating_mul(1_000_000).saturating_add(now.tv_nsec / 1_000)
    }
}

#[cfg(test)]
#[path = "clock_tests.rs"]
mod tests;
