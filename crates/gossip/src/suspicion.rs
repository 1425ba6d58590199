//! The duration of suspicions, as in Lifeguard (Dadgar, Phillips, Currey 2018), section IV-C, with one additional rule: this
//! member declares another one dead only after its own checks failed.

use crate::Micros;
use crate::peer::{MAX_REPORTERS, Peer};

/// An unconfirmed suspicion lasts this many times the minimum. Lifeguard uses 6; here this member's own checks add certainty,
/// so 4 is enough.
const MAX_TIMEOUT_MULTIPLIER: i64 = 4;
/// Number of this member's own checks that must fail before a suspect is declared dead. At 30% loss, a check of a live member
/// fails 1 of 9 times.
pub(crate) const MIN_FAILED_CHECKS: u32 = 2;

/// The suspicion of one member: when it began, and the checks made since.
#[derive(Debug)]
pub(crate) struct Suspicion {
    began_at: Micros,
    /// Number of this member's checks that failed.
    pub(crate) failed_checks: u32,
    /// When the last check failed.
    failed_at: Micros,
    next_check: Micros,
}

/// The next step for a suspect and when it is due.
#[derive(Clone, Copy, Debug)]
pub(crate) enum NextStep {
    /// Probe the suspect.
    Check(Micros),
    /// Declare that the suspect is dead or has left.
    Confirm(Micros),
}

impl Suspicion {
    /// Begins a suspicion after a first failed check. The next check is due after `pause`.
    pub(crate) fn begin(now: Micros, pause: Micros) -> Self {
        Suspicion { began_at: now, failed_checks: 1, failed_at: now, next_check: now + pause }
    }

    /// Records another failed check.
    pub(crate) fn add_failed_check(&mut self, now: Micros) {
        self.failed_checks += 1;
        self.failed_at = now;
    }

    /// Schedules the next check for this time. The suspicion may end before it.
    pub(crate) fn check_at(&mut self, at: Micros) {
        self.next_check = at;
    }

    /// Extends the suspicion and its next check by this duration.
    pub(crate) fn postpone(&mut self, by: Micros) {
        self.began_at += by;
        self.failed_at += by;
        self.next_check += by;
    }

    /// Returns the next step and when it is due.
    pub(crate) fn next_step(&self, now: Micros, peer: &Peer, timeouts: &SuspicionTimeouts) -> NextStep {
        // If enough other members report the subject's farewell, the suspicion does not wait for its time-out.
        let timeout =
            if peer.reports.left_is_certain() { 0 } else { timeouts.confirmed_by(peer.reports.accusers()) };
        let end = (self.began_at + timeout).max(now);
        if self.failed_checks < MIN_FAILED_CHECKS || self.next_check < end {
            NextStep::Check(self.next_check)
        } else if self.failed_at + timeouts.min < end {
            // A check that failed long ago proves nothing, since a partition may have healed meanwhile.
            NextStep::Check(end)
        } else {
            NextStep::Confirm(end)
        }
    }
}

/// The current time-outs of suspicions, the same for all suspects.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SuspicionTimeouts {
    min: Micros,
    /// Maximum number of members that can confirm a suspicion.
    max_confirmations: usize,
}

impl SuspicionTimeouts {
    /// Creates the time-outs: `min` is the shortest, and the number of active members limits how many can confirm a suspicion.
    pub(crate) fn new(min: Micros, active_members: u32) -> Self {
        let max_confirmations = MAX_REPORTERS.min((active_members as usize).saturating_sub(2));
        SuspicionTimeouts { min, max_confirmations }
    }

    /// Returns the time-out of a suspicion with this number of accusers. It falls from the longest to the shortest as more
    /// members independently confirm the result of this member's checks.
    fn confirmed_by(&self, accusers: usize) -> Micros {
        if self.max_confirmations == 0 {
            return self.min;
        }
        let confirmations = accusers.min(self.max_confirmations);
        let progress = ((confirmations + 1) as f64).ln() / ((self.max_confirmations + 1) as f64).ln();
        let max = self.min * MAX_TIMEOUT_MULTIPLIER;
        max - ((max - self.min) as f64 * progress) as Micros
    }
}
