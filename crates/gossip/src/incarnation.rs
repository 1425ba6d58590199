//! The number that orders what a member says of itself, and what others say of it.

/// A generation may lie this much beyond the known one and still be believed: 34 years of milliseconds. More is of a faulty
/// peer, and would use the numbers up.
const MAX_GENERATION_JUMP: u64 = 1 << 40;

/// A member's incarnation. Compared only with other incarnations of the same member, so it matters to nobody whether
/// the member's clock is right; only a clock that went back between two processes matters, and then the others correct it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation {
    /// Which process: as the embedder gave it, Unix time in milliseconds at the start. 0: by configuration, not heard.
    pub generation: u64,
    /// How often this process had to refute that it is gone.
    pub refutations: u16,
}

impl Incarnation {
    /// The first of a process.
    pub fn first(generation: u64) -> Self {
        Incarnation { generation, refutations: 0 }
    }

    /// The least that supersedes this one.
    pub(crate) fn next(self) -> Self {
        match self.refutations.checked_add(1) {
            Some(refutations) => Incarnation { refutations, ..self },
            None => Incarnation::first(self.generation.saturating_add(1)),
        }
    }

    /// Whether a report of this incarnation can be true, where that one is known. A member that was never heard may have any.
    pub(crate) fn plausible_after(self, known: Incarnation) -> bool {
        let in_reach = self.generation <= known.generation.saturating_add(MAX_GENERATION_JUMP);
        self.generation < u64::MAX && (known.generation == 0 || in_reach)
    }
}
