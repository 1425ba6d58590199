//! The clock of the event loop.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

/// A monotonic clock that shows the time `base` at the instant `started`.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    base: Micros,
}

impl Clock {
    /// Starts at the current Unix time and advances with the monotonic clock. The clock never goes backwards; after the wall
    /// clock is stepped, the two differ.
    pub fn unix() -> Self {
        Clock { started: Instant::now(), base: Self::wall_now() }
    }

    /// Creates a clock that shows `base` at `started`. Event loops with the same arguments have the same time.
    pub fn starting_at(started: Instant, base: Micros) -> Self {
        Clock { started, base }
    }

    /// Returns the Unix time of the machine's wall clock, which may be stepped forwards or backwards.
    pub fn wall_now() -> Micros {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as Micros)
    }

    /// Returns the current time.
    pub fn now(&self) -> Micros {
        self.base + self.started.elapsed().as_micros() as Micros
    }
}
