//! Shutdown after SIGTERM: clients go on being served, and those that are up are moved, spread over the time
//! there is, so that the other proxies do not get them as a storm.

use cottonnotch_decision::Micros;

/// SIGKILL comes no earlier than the longest deadline (this much, where it is longer) ...
const LONGEST_DEADLINE: Micros = 3_000_000;
/// ... and this much after SIGTERM.
const KILL_AFTER: Micros = 700_000;
/// Held back for the last answers to be written and read.
const RESERVE: Micros = 300_000;
/// Between two rounds of moving.
pub const DRAIN_ROUND: Micros = 25_000;

/// A shutdown that has begun.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    began: Micros,
    until: Micros,
    moved: usize,
}

impl Shutdown {
    pub fn begin(now: Micros, longest_deadline: Micros) -> Self {
        let time = longest_deadline.clamp(0, LONGEST_DEADLINE) + KILL_AFTER - RESERVE;
        Shutdown { began: now, until: now + time, moved: 0 }
    }

    /// How many of the connections that are up are to be moved in this round, so that as large a part of all
    /// has been moved as of the time has passed: all of them in the last. Guards against rounding up, which
    /// would move a few connections at one a round, within the first tenth of the time.
    pub fn quota(&mut self, now: Micros, up: usize) -> usize {
        let passed = (now + DRAIN_ROUND - self.began) as f64 / (self.until - self.began).max(1) as f64;
        let due = (self.moved + up) as f64 * passed.min(1.0);
        let quota = (due.ceil() as usize).saturating_sub(self.moved).min(up);
        self.moved += quota;
        quota
    }

    /// Time is up: what is still owed an answer is refused.
    pub fn is_last(&self, now: Micros) -> bool {
        now + DRAIN_ROUND >= self.until
    }

    /// When to leave: the last answers have been read, or never will be.
    pub fn is_over(&self, now: Micros) -> bool {
        now >= self.until + RESERVE / 2
    }
}
