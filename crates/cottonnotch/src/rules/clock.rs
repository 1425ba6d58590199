//! The clock of leases. It goes on while the process is stopped and while the machine sleeps, and nobody can set it.

use cottonnotch_consensus::Micros;
use rustix::time::{ClockId, clock_gettime};

/// Microseconds since this machine's boot; never compared between machines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// The present time.
    pub fn now(self) -> Micros {
        let now = clock_gettime(ClockId::Boottime);
        now.tv_sec.saturating_mul(1_000_000).saturating_add(now.tv_nsec / 1_000)
    }
}

#[cfg(test)]
#[path = "clock_tests.rs"]
mod tests;
