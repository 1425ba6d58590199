//! Detects that the kit itself ran late. The observations of such a run prove no violation.

use crate::time::{MS, Micros};
use serde::Serialize;

/// A larger lag makes the run void: the emulator itself could have delayed a line or the end of a connection by a
/// fourth of the shortest limit (1 s), which is five times the grace time.
const MAX_LAG: Micros = 250 * MS;
/// Larger lags are counted as late. The grace time of 50 ms is more than twice this.
const LATE_THRESHOLD: Micros = 20 * MS;
/// Largest share of late samples in a valid run. A smaller share comes from scheduling delays; a larger one means that
/// the kit lacks CPU time.
const MAX_LATE_RATIO: f64 = 0.01;

/// Lag of the emulators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Lateness {
    /// Number of samples.
    pub samples: u64,
    /// Number of samples over 20 ms.
    pub late: u64,
    /// Largest lag, in microseconds.
    pub most: Micros,
}

impl Lateness {
    pub(super) fn observe(&mut self, lag: Micros) {
        self.samples += 1;
        self.late += u64::from(lag > LATE_THRESHOLD);
        self.most = self.most.max(lag);
    }

    /// The reason why the run is void; `None` if it is valid.
    pub fn void_reason(&self) -> Option<String> {
        let late_ratio = self.late as f64 / self.samples.max(1) as f64;
        if self.most > MAX_LAG {
            return Some(format!(
                "the kit itself ran {} ms late; {} ms are allowed",
                self.most / MS,
                MAX_LAG / MS
            ));
        }
        (late_ratio > MAX_LATE_RATIO).then(|| {
            format!(
                "the kit itself ran over {} ms late in {:.1}% of {} samples; 1% is allowed",
                LATE_THRESHOLD / MS,
                100.0 * late_ratio,
                self.samples
            )
        })
    }
}
