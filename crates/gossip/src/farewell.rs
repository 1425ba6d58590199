//! The state of a member that leaves the fleet: it sends a farewell to every active member, several times.

use crate::Micros;

/// Maximum rounds of farewells. At 30% loss one of 37 members misses all three, and learns of the farewell from others.
const ROUNDS: u32 = 3;
/// Time between two rounds, because datagrams that are sent close together are sometimes lost together.
const ROUND_INTERVAL: Micros = 100_000;

/// The progress of a member that is leaving.
#[derive(Debug)]
pub(crate) struct Farewell {
    round: u32,
    /// The members to which this round has not sent a farewell yet.
    pub(crate) pending: Vec<u16>,
    next_at: Option<Micros>,
    ends_at: Micros,
}

impl Farewell {
    /// Begins at once, and ends after `max_duration` even if some farewells were not sent.
    pub(crate) fn begin(now: Micros, max_duration: Micros) -> Self {
        Farewell { round: 0, pending: Vec::new(), next_at: Some(now), ends_at: now + max_duration }
    }

    /// Returns when the next farewells are due, or `None` when leaving is complete.
    pub(crate) fn next_at(&self) -> Option<Micros> {
        self.next_at
    }

    pub(crate) fn is_due(&self, now: Micros) -> bool {
        self.next_at.is_some_and(|at| at <= now)
    }

    /// Begins another round if the last one is complete and rounds are left. Returns whether a round began.
    pub(crate) fn begin_round(&mut self) -> bool {
        let begins = self.pending.is_empty() && self.round < ROUNDS;
        self.round += u32::from(begins);
        begins
    }

    /// Schedules the next farewells, or ends if all rounds are complete or the time is over.
    pub(crate) fn schedule_next(&mut self, now: Micros) {
        let over = self.pending.is_empty() && self.round == ROUNDS;
        let next = now + ROUND_INTERVAL;
        self.next_at = (!over && next <= self.ends_at).then_some(next);
    }
}
