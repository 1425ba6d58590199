//! The run's clock: microseconds since the run began, one for all stand-ins of a run.

use cottonnotch_reactor::Clock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in time or a span, in microseconds.
pub type Micros = i64;

/// One millisecond.
pub const MS: Micros = 1_000;
/// One second.
pub const S: Micros = 1_000_000;

/// The clock that all threads of a run share. Stand-ins differ in what they do, never in what time it is.
#[derive(Clone, Copy, Debug)]
pub struct RunClock {
    began: Instant,
    base: Micros,
    unix: Micros,
}

impl RunClock {
    /// A run that begins this long from now: until then, its time is negative, and its processes come up.
    pub fn begin_in(lead: Micros) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
        RunClock { began: Instant::now(), base: -lead, unix: unix + lead }
    }

    /// Time since the run began; negative before.
    pub fn now(&self) -> Micros {
        self.base + self.began.elapsed().as_micros() as Micros
    }

    /// The same clock for an event loop.
    pub fn for_loop(&self) -> Clock {
        Clock::starting_at(self.began, self.base)
    }

    /// A time of the run as Unix time in milliseconds, as lists have it.
    pub fn unix_ms(&self, at: Micros) -> u64 {
        u64::try_from((self.unix + at) / 1000).unwrap_or(0)
    }

    /// How long it is until then; nothing if it has passed.
    pub fn until(&self, at: Micros) -> Duration {
        Duration::from_micros(u64::try_from(at - self.now()).unwrap_or(0))
    }
}
