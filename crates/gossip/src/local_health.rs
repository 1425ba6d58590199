//! The degree to which a member trusts its own timing (Lifeguard's local health multiplier, Dadgar et al. 2018, section IV-A).

/// Maximum penalty. Time-outs grow to at most three times their value, so that a member that hears no other still reaches a
/// verdict within a minute.
const MAX_PENALTY: u32 = 2;

/// Determines the multiplier of this member's time-outs. Unlike in Lifeguard, being suspected does not add a penalty, since a
/// faulty peer could then degrade every member.
#[derive(Debug, Default)]
pub(crate) struct LocalHealth {
    penalty: u32,
}

impl LocalHealth {
    /// Adds a penalty because this member's timers ran late or it hears no other member.
    pub(crate) fn degrade(&mut self) {
        self.penalty = (self.penalty + 1).min(MAX_PENALTY);
    }

    /// Removes a penalty at the beginning of a period unless this member hears no other.
    pub(crate) fn recover(&mut self) {
        self.penalty = self.penalty.saturating_sub(1);
    }

    /// Returns the multiplier of time-outs, at least 1.
    pub(crate) fn multiplier(&self) -> i64 {
        i64::from(self.penalty) + 1
    }
}
