//! The state of leaving: every active member is sent a farewell, a few times over.

use crate::Micros;

/// Rounds of farewells, if there is time: at 30% loss one of 37 misses it, and hears it from others.
const ROUNDS: u32 = 3;
/// Between two rounds, in microseconds. A lost datagram and its neighbour are lost together at times.
const ROUND_INTERVAL: Micros = 100_000;

/// How far a member has come in leaving.
#[derive(Debug)]
pub(crate) struct Farewell {
    round: u32,
    /// The members that are still to be sent one in this round.
    pub(crate) pending: Vec<u16>,
    next_at: Option<Micros>,
    ends_at: Micros,
}

impl Farewell {
    /// Begins at once, and ends after this time whatever was sent.
    pub(crate) fn begin(now: Micros, max_duration: Micros) -> Self {
        Farewell { round: 0, pending: Vec::new(), next_at: Some(now), ends_at: now + max_duration }
    }

    /// When the next farewells are due; `None`: over.
    pub(crate) fn next_at(&self) -> Option<Micros> {
        self.next_at
    }

    pub(crate) fn is_due(&self, now: Micros) -> bool {
        self.next_at.is_some_and(|at| at <= now)
    }

    /// Begins another round if the last one is complete and there is one left; whether it did.
    pub(crate) fn begin_round(&mut self) -> bool {
        let begins = self.pending.is_empty() && self.round < ROUNDS;
        self.round += u32::from(begins);
        begins
    }

    /// Sets when to go on.
    pub(crate) fn schedule_next(&mut self, now: Micros) {
        let over = self.pending.is_empty() && self.round == ROUNDS;
        let next = now + ROUND_INTERVAL;
        self.next_at = (!over && next <= self.ends_at).then_some(next);
    }
}
