//! Recording of observations. Each emulator thread has its own list, so that no thread waits for another one.

use crate::observation::{Observation, Seen};
use crate::time::Micros;

/// The observations of one thread, in the order in which the thread recorded them.
#[derive(Debug, Default)]
pub struct Notes(Vec<Observation>);

impl Notes {
    /// Records the event `seen` with the time `at`.
    pub fn note(&mut self, at: Micros, seen: Seen) {
        self.0.push(Observation { at, seen });
    }

    /// Returns all recorded observations.
    pub fn into_inner(self) -> Vec<Observation> {
        self.0
    }
}

/// Merges the observations of all threads in order of time. Observations of one thread with equal times keep their
/// order.
pub fn merge(notes: Vec<Vec<Observation>>) -> Vec<Observation> {
    let mut all: Vec<Observation> = notes.into_iter().flatten().collect();
    // The sort is stable, and fast on a concatenation of sorted lists.
    all.sort_by_key(|observation| observation.at);
    all
}
