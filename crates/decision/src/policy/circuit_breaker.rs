//! When a server is paused, for how long, and the trial that ends a pause.

use crate::interface::{Micros, RequestId, SECOND};

/// Each further failure doubles the pause, up to 2^5 s: a dead server is tried about twice a minute.
const MAX_DOUBLINGS: u32 = 5;
/// One failure is forgotten for each such time without another.
const FORGET_AFTER: Micros = 20 * SECOND;

/// Why a server is paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PauseCause {
    /// It rejected a connection as full: paused until the next mark only.
    Overload,
    /// An attempt failed: each further failure doubles the pause.
    Failure,
}

/// What a pause means for the log.
pub(super) struct Failures {
    /// It is the second failure in a row.
    pub(super) is_second: bool,
}

/// What the end of a pause by a good trial means for the log.
pub(super) struct Recovery {
    /// The server had failed more than once in a row.
    pub(super) had_failed_often: bool,
}

/// Pauses, and the trial that ends one (closed, open and half-open, as a circuit breaker's).
#[derive(Clone, Debug, Default)]
pub(super) struct CircuitBreaker {
    pub(super) paused_until: Option<Micros>,
    /// The pause has lapsed and the next turn is a trial.
    pub(super) half_open: bool,
    /// The request that is out as a trial.
    pub(super) trial: Option<RequestId>,
    consecutive_failures: u32,
    /// When it last gave reason for a pause.
    pub(super) overloaded_at: Option<Micros>,
}

impl CircuitBreaker {
    pub(super) fn is_paused(&self, now: Micros) -> bool {
        self.paused_until.is_some_and(|until| until > now)
    }

    /// Another request is out as the trial.
    pub(super) fn is_on_trial(&self) -> bool {
        self.half_open && self.trial.is_some()
    }

    /// Pauses until the next second mark; after failures and failed trials, longer each time. `None` where
    /// the attempt was sent before the pause, or broken by the same blow: no news.
    pub(super) fn trip(&mut self, now: Micros, by: RequestId, cause: PauseCause) -> Option<Failures> {
        let was_trial = self.trial == Some(by);
        if !was_trial && self.is_paused(now) {
            return None;
        }
        self.forget_old_failures(now);
        let mut until = (now / SECOND + 1) * SECOND;
        let mut is_second = false;
        if cause == PauseCause::Failure || was_trial {
            until += ((1 << self.consecutive_failures.min(MAX_DOUBLINGS)) - 1) * SECOND;
            self.consecutive_failures += 1;
            is_second = self.consecutive_failures == 2;
        }
        self.trial = None;
        self.overloaded(now, until);
        Some(Failures { is_second })
    }

    /// Pauses until then at least.
    pub(super) fn overloaded(&mut self, now: Micros, until: Micros) {
        self.overloaded_at = Some(now);
        self.paused_until = self.paused_until.max(Some(until));
    }

    fn forget_old_failures(&mut self, now: Micros) {
        let forgotten = self.overloaded_at.map_or(0, |since| (now - since) / FORGET_AFTER);
        self.consecutive_failures = self.consecutive_failures.saturating_sub(forgotten.clamp(0, 64) as u32);
    }

    /// Opens the way for a trial if a pause has lapsed by now; whether one has.
    pub(super) fn half_open_if_lapsed(&mut self) -> bool {
        let has_lapsed = self.paused_until.take().is_some();
        // A branch, not `|=`: with that, release builds of rustc 1.95 set the flag though nothing was taken.
        if has_lapsed {
            self.half_open = true;
        }
        has_lapsed
    }

    /// The trial ended without showing anything: the server stays half-open.
    pub(super) fn abandon_trial(&mut self, by: RequestId) {
        self.trial = self.trial.filter(|trial| *trial != by);
    }

    /// Ends the pause for good if `by` was the trial.
    pub(super) fn close_after_trial(&mut self, by: RequestId) -> Option<Recovery> {
        if self.trial != Some(by) {
            return None;
        }
        (self.trial, self.half_open) = (None, false);
        let had_failed_often = self.consecutive_failures > 1;
        // Half is forgiven, not all: a server that fails most requests passes a trial now and then.
        self.consecutive_failures /= 2;
        Some(Recovery { had_failed_often })
    }
}
