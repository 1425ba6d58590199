//! The number that orders a member's own statements and the reports of other members about it.

/// The greatest accepted step from the known generation to a reported one: 34 years in milliseconds. Only a faulty peer
/// reports a greater one, and accepting it would use up the generation numbers.
const MAX_GENERATION_JUMP: u64 = 1 << 40;

/// A member's incarnation. It is compared only with other incarnations of the same member, so the member's clock need not be
/// right. If the clock goes back between two processes, other members send a correction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation {
    /// Identifies the process by the Unix time in milliseconds at its start, as the embedder provides it. 0 means that the
    /// member is known from the configuration but was never heard.
    pub generation: u64,
    /// Number of times this process refuted reports that it is suspect or has left.
    pub refutations: u16,
}

impl Incarnation {
    /// Returns the first incarnation of a process.
    pub fn first(generation: u64) -> Self {
        Incarnation { generation, refutations: 0 }
    }

    /// Returns the lowest incarnation that supersedes this one.
    pub(crate) fn next(self) -> Self {
        match self.refutations.checked_add(1) {
            Some(refutations) => Incarnation { refutations, ..self },
            None => Incarnation::first(self.generation.saturating_add(1)),
        }
    }

    /// Returns whether a report of this incarnation is plausible when `known` is the newest known one. A member that was never
    /// heard may have any incarnation.
    pub(crate) fn plausible_after(self, known: Incarnation) -> bool {
        let in_reach = self.generation <= known.generation.saturating_add(MAX_GENERATION_JUMP);
        self.generation < u64::MAX && (known.generation == 0 || in_reach)
    }
}
