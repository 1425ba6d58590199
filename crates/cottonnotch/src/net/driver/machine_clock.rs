//! The machine's monotonic clock, which all processes share.

use cottonnotch_decision::Micros;
use rustix::time::{ClockId, clock_gettime};

/// Microseconds since the machine booted.
pub fn machine_now() -> Micros {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec.saturating_mul(1_000_000).saturating_add(now.tv_nsec / 1_000)
}
