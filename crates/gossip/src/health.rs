//! How far a member trusts its own ears (Lifeguard's local health multiplier, Dadgar et al. 2018, section IV-A).

/// Time-outs grow to three times at most: one that hears nobody still comes to a verdict, within a minute.
const WORST: u32 = 2;

/// What multiplies this member's time-outs. Unlike in Lifeguard, being accused does not count against it: a liar could
/// make everybody doubt themselves.
#[derive(Debug, Default)]
pub(crate) struct Health {
    doubts: u32,
}

impl Health {
    /// Own timers ran late, or nobody at all is heard.
    pub(crate) fn doubt(&mut self) {
        self.doubts = (self.doubts + 1).min(WORST);
    }

    /// A period in which timers were on time and others were heard.
    pub(crate) fn well(&mut self) {
        self.doubts = self.doubts.saturating_sub(1);
    }

    /// What time-outs are multiplied by, from 1.
    pub(crate) fn factor(&self) -> i64 {
        i64::from(self.doubts) + 1
    }
}
