//! Shutdown after SIGTERM: the proxy keeps serving clients and migrates the established ones, spread over the
//! available time so that they do not reach the other proxies in a burst.

use cottonnotch_decision::Micros;

/// SIGKILL follows SIGTERM no earlier than the longest deadline of a class plus `KILL_DELAY`. Longer deadlines
/// count as this much.
const MAX_CLASS_DEADLINE: Micros = 3_000_000;
/// Time between the longest deadline and the earliest SIGKILL.
const KILL_DELAY: Micros = 700_000;
/// Time reserved before SIGKILL for writing and reading the last answers.
const ANSWER_RESERVE: Micros = 300_000;
/// Interval between rounds of migration.
pub const ROUND_INTERVAL: Micros = 25_000;

/// A shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    started_at: Micros,
    migration_deadline: Micros,
    migrated: usize,
}

impl Shutdown {
    /// Begins a shutdown now; `longest_deadline` is the longest deadline of any class, which bounds the time until
    /// SIGKILL from below.
    pub fn begin(now: Micros, longest_deadline: Micros) -> Self {
        let duration = longest_deadline.clamp(0, MAX_CLASS_DEADLINE) + KILL_DELAY - ANSWER_RESERVE;
        Shutdown { started_at: now, migration_deadline: now + duration, migrated: 0 }
    }

    /// The number of established connections to migrate in this round. The share migrated so far follows the share of
    /// the time that has passed, and the last round migrates all that remain. The quota is cumulative: rounding up in
    /// every round would migrate a few connections at one per round, all within the first tenth of the time.
    pub fn quota(&mut self, now: Micros, established: usize) -> usize {
        let elapsed_share = (now + ROUND_INTERVAL - self.started_at) as f64
            / (self.migration_deadline - self.started_at).max(1) as f64;
        let due = (self.migrated + established) as f64 * elapsed_share.min(1.0);
        let quota = (due.ceil() as usize).saturating_sub(self.migrated).min(established);
        self.migrated += quota;
        quota
    }

    /// Whether this is the last round, in which requests that are still owed an answer are rejected.
    pub fn is_last(&self, now: Micros) -> bool {
        now + ROUND_INTERVAL >= self.migration_deadline
    }

    /// Whether the process may exit: by now the last answers have been read or never will be.
    pub fn is_over(&self, now: Micros) -> bool {
        now >= self.migration_deadline + ANSWER_RESERVE / 2
    }
}
