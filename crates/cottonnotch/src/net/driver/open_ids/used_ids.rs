//! The ids of requests that have ended, may have run, and must not run again. Clients choose their ids, so the number of ids that
//! are kept has a limit: beyond it the oldest is forgotten.

use cottonnotch_decision::Micros;
use std::collections::VecDeque;

/// How long the id of an ended request is kept.
const RETENTION: Micros = 30_000_000;
/// Maximum number of ids that are kept.
pub const MAX_USED_IDS: usize = 4_096;

/// Used ids in the order in which their requests ended, each with the time at which it is forgotten.
#[derive(Debug, Default)]
pub struct UsedIds {
    by_expiry: VecDeque<(Micros, u64)>,
}

impl UsedIds {
    /// Adds the id of a request that ends now. Returns the id that is forgotten in its place, if there are too many.
    pub fn insert(&mut self, now: Micros, id: u64) -> Option<u64> {
        self.by_expiry.push_back((now + RETENTION, id));
        if self.by_expiry.len() <= MAX_USED_IDS {
            return None;
        }
        self.by_expiry.pop_front().map(|(_, oldest)| oldest)
    }

    /// Takes the next id that has expired by now.
    pub fn next_expired(&mut self, now: Micros) -> Option<u64> {
        let (expires, id) = self.by_expiry.front().copied()?;
        (expires <= now).then(|| {
            self.by_expiry.pop_front();
            id
        })
    }
}

#[cfg(test)]
#[path = "used_ids_tests.rs"]
mod tests;
