//! How far a member trusts its own timing (Lifeguard's local health multiplier, Dadgar et al. 2018, section IV-A).

/// Time-outs grow to three times at most: a member that hears nobody still comes to a verdict, within a minute.
const MAX_PENALTY: u32 = 2;

/// What multiplies this member's time-outs. Unlike in Lifeguard, being suspected does not count against it: a faulty peer could
/// make every member distrust itself.
#[derive(Debug, Default)]
pub(crate) struct LocalHealth {
    penalty: u32,
}

impl LocalHealth {
    /// Own timers ran late, or no other member at all is heard.
    pub(crate) fn degrade(&mut self) {
        self.penalty = (self.penalty + 1).min(MAX_PENALTY);
    }

    /// A period passed in which timers were on time and others were heard.
    pub(crate) fn recover(&mut self) {
        self.penalty = self.penalty.saturating_sub(1);
    }

    /// What time-outs are multiplied by, from 1.
    pub(crate) fn multiplier(&self) -> i64 {
        i64::from(self.penalty) + 1
    }
}
