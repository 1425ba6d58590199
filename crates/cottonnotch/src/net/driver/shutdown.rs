//! Shutdown after SIGTERM: clients go on being served, and established ones are migrated, spread over the time there
//! is, so that the other proxies do not get them as a storm.

use cottonnotch_decision::Micros;

/// SIGKILL comes no earlier than the longest deadline (this much, where it is longer) ...
const LONGEST_DEADLINE: Micros = 3_000_000;
/// ... and this much after SIGTERM.
const KILL_AFTER: Micros = 700_000;
/// Reserved for the last answers to be written and read.
const RESERVE: Micros = 300_000;
/// Between two rounds of migration.
pub const ROUND_INTERVAL: Micros = 25_000;

/// A shutdown that has begun.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    began: Micros,
    until: Micros,
    migrated: usize,
}

impl Shutdown {
    /// A shutdown that begins now; SIGKILL may come after the longest deadline of a class.
    pub fn begin(now: Micros, longest_deadline: Micros) -> Self {
        let time = longest_deadline.clamp(0, LONGEST_DEADLINE) + KILL_AFTER - RESERVE;
        Shutdown { began: now, until: now + time, migrated: 0 }
    }

    /// How many of the established connections are to be migrated in this round, so that as large a share of all has
    /// been migrated as of the time has passed: all of them in the last. Guards against rounding up, which would migrate
    /// a few connections at one a round, within the first tenth of the time.
    pub fn quota(&mut self, now: Micros, established: usize) -> usize {
        let passed = (now + ROUND_INTERVAL - self.began) as f64 / (self.until - self.began).max(1) as f64;
        let due = (self.migrated + established) as f64 * passed.min(1.0);
        let quota = (due.ceil() as usize).saturating_sub(self.migrated).min(established);
        self.migrated += quota;
        quota
    }

    /// Time is up: what is still owed an answer is rejected.
    pub fn is_last(&self, now: Micros) -> bool {
        now + ROUND_INTERVAL >= self.until
    }

    /// The process may exit: the last answers have been read, or never will be.
    pub fn is_over(&self, now: Micros) -> bool {
        now >= self.until + RESERVE / 2
    }
}
