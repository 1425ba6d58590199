//! Where a stand-in keeps what it saw: a list of its own, so that no thread waits for another one.

use crate::observation::{Observation, Seen};
use crate::time::Micros;

/// The notes of one thread, in the order in which they were taken.
#[derive(Debug, Default)]
pub struct Notes(Vec<Observation>);

impl Notes {
    /// Notes something seen at that time.
    pub fn note(&mut self, at: Micros, seen: Seen) {
        self.0.push(Observation { at, seen });
    }

    /// All notes.
    pub fn into_inner(self) -> Vec<Observation> {
        self.0
    }
}

/// The notes of all threads, in the order of their times; what one thread noted at one moment stays in its order.
pub fn merge(notes: Vec<Vec<Observation>>) -> Vec<Observation> {
    let mut all: Vec<Observation> = notes.into_iter().flatten().collect();
    // Stable, and fast on what is sorted piece by piece.
    all.sort_by_key(|observation| observation.at);
    all
}
