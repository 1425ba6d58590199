//! The loop's clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A point in time or a span, in microseconds.
pub type Micros = i64;

/// A monotonic clock that reads `base` at its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    base: Micros,
}

impl Clock {
    /// Unix time, taken once and then advanced by the monotonic clock: it never goes back, and differs from Unix time once the
    /// wall clock was stepped.
    pub fn unix() -> Self {
        Clock { started: Instant::now(), base: Self::wall_now() }
    }

    /// Reads `base` at that moment: loops that are given the same share their time.
    pub fn starting_at(started: Instant, base: Micros) -> Self {
        Clock { started, base }
    }

    /// What the machine's wall clock shows now, in Unix time. It may be stepped, either way.
    pub fn wall_now() -> Micros {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as Micros)
    }

    /// The present time.
    pub fn now(&self) -> Micros {
        self.base + self.started.elapsed().as_micros() as Micros
    }
}
