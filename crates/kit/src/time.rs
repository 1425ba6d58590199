//! The clock of a run: microseconds since the run began, shared by all its emulators.

use cottonnotch_reactor::Clock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

/// One millisecond.
pub const MS: Micros = 1_000;
/// One second.
pub const S: Micros = 1_000_000;

/// The clock that all threads of a run share, so that the times of different emulators are comparable.
#[derive(Clone, Copy, Debug)]
pub struct RunClock {
    began: Instant,
    base: Micros,
    unix: Micros,
}

impl RunClock {
    /// Returns the clock of a run that begins after `lead`. Until then its time is negative, and the processes start.
    pub fn begin_in(lead: Micros) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
        RunClock { began: Instant::now(), base: -lead, unix: unix + lead }
    }

    /// Returns the time since the run began; it is negative before the beginning.
    pub fn now(&self) -> Micros {
        self.base + self.began.elapsed().as_micros() as Micros
    }

    /// Returns the same clock in the form that an event loop takes.
    pub fn for_loop(&self) -> Clock {
        Clock::starting_at(self.began, self.base)
    }

    /// Converts a time of the run to Unix time in milliseconds, the unit of endpoint lists.
    pub fn unix_ms(&self, at: Micros) -> u64 {
        u64::try_from((self.unix + at) / 1000).unwrap_or(0)
    }

    /// Returns the time left until `at`; zero if `at` has passed.
    pub fn until(&self, at: Micros) -> Duration {
        Duration::from_micros(u64::try_from(at - self.now()).unwrap_or(0))
    }
}
