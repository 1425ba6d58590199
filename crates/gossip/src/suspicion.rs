//! How long a member that does not answer is only suspected: Lifeguard (Dadgar, Phillips, Currey 2018), section IV-C, and one
//! rule more: it is dead only after checks of this member's own.

use crate::Micros;
use crate::peer::{MAX_REPORTERS, Peer};

/// Without confirmation a suspicion lasts this many times the least. Lifeguard has 6; own checks do a part of that here.
const MAX_TIMEOUT_MULTIPLIER: i64 = 4;
/// Checks of its own that must fail before a member is dead: one at 30% loss fails 1 of 9 times though all is well.
pub(crate) const MIN_FAILED_CHECKS: u32 = 2;

/// The suspicion of one member: since when, and what was tried.
#[derive(Debug)]
pub(crate) struct Suspicion {
    began_at: Micros,
    /// Own checks that failed, and when the last one did.
    pub(crate) failed_checks: u32,
    failed_at: Micros,
    next_check: Micros,
}

/// What is to be done about a suspect, and when.
#[derive(Clone, Copy, Debug)]
pub(crate) enum NextStep {
    /// Probe it.
    Check(Micros),
    /// Believe that it is dead, or has left.
    Confirm(Micros),
}

impl Suspicion {
    /// Begins after a first check that failed; the next one is due after this pause.
    pub(crate) fn begin(now: Micros, pause: Micros) -> Self {
        Suspicion { began_at: now, failed_checks: 1, failed_at: now, next_check: now + pause }
    }

    /// Notes that another check failed.
    pub(crate) fn add_failed_check(&mut self, now: Micros) {
        self.failed_checks += 1;
        self.failed_at = now;
    }

    /// Sets when the next check is due, unless the suspicion ends sooner.
    pub(crate) fn check_at(&mut self, at: Micros) {
        self.next_check = at;
    }

    /// Gives the suspect this much more time.
    pub(crate) fn postpone(&mut self, by: Micros) {
        self.began_at += by;
        self.failed_at += by;
        self.next_check += by;
    }

    /// What comes next, and when.
    pub(crate) fn next_step(&self, now: Micros, peer: &Peer, timeouts: &SuspicionTimeouts) -> NextStep {
        // Of a member that said farewell, enough others report it that nothing more is waited for.
        let timeout =
            if peer.reports.left_is_certain() { 0 } else { timeouts.confirmed_by(peer.reports.accusers()) };
        let end = (self.began_at + timeout).max(now);
        if self.failed_checks < MIN_FAILED_CHECKS || self.next_check < end {
            NextStep::Check(self.next_check)
        } else if self.failed_at + timeouts.min < end {
            // What failed long ago proves nothing: a partition may have healed since.
            NextStep::Check(end)
        } else {
            NextStep::Confirm(end)
        }
    }
}

/// How long suspicions last at present, whomever they are of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SuspicionTimeouts {
    min: Micros,
    /// Members that could confirm one.
    max_confirmations: usize,
}

impl SuspicionTimeouts {
    /// `min` is the least time-out; the number of active members limits how many can confirm a suspicion.
    pub(crate) fn new(min: Micros, active_members: u32) -> Self {
        let max_confirmations = MAX_REPORTERS.min((active_members as usize).saturating_sub(2));
        SuspicionTimeouts { min, max_confirmations }
    }

    /// From the longest towards the least, the more independent members confirm what this one's own checks found.
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
