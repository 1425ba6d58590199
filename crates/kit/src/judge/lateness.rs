//! Whether the kit itself ran late: then no observation proves a violation.

use crate::time::{MS, Micros};
use serde::Serialize;

/// An emulator that once ran this late could have delayed a line or an end by a fourth of the shortest limit (1 s), five
/// times the grace: its observations prove nothing.
const MAX_LATENESS: Micros = 250 * MS;
/// Lag beyond this is counted: below, the grace of 50 ms covers it twice over.
const LATE_SAMPLE: Micros = 20 * MS;
/// Up to this part of the samples may be later than that: a scheduler's hiccups, not a kit short of a core.
const MAX_LATE_RATIO: f64 = 0.01;

/// How late the emulators ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Lateness {
    /// Samples taken.
    pub samples: u64,
    /// Those over 20 ms.
    pub late: u64,
    /// The latest, in microseconds.
    pub most: Micros,
}

impl Lateness {
    pub(super) fn observe(&mut self, late: Micros) {
        self.samples += 1;
        self.late += u64::from(late > LATE_SAMPLE);
        self.most = self.most.max(late);
    }

    /// Why the run is void, if it is.
    pub fn void_reason(&self) -> Option<String> {
        let late_ratio = self.late as f64 / self.samples.max(1) as f64;
        if self.most > MAX_LATENESS {
            return Some(format!(
                "the kit itself ran {} ms late; {} ms are borne",
                self.most / MS,
                MAX_LATENESS / MS
            ));
        }
        (late_ratio > MAX_LATE_RATIO).then(|| {
            format!(
                "the kit itself ran over {} ms late in {:.1}% of {} samples; 1% is borne",
                LATE_SAMPLE / MS,
                100.0 * late_ratio,
                self.samples
            )
        })
    }
}
