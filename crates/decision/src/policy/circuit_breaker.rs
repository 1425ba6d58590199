//! The pauses of one server: their start, their length, and the trial that ends them.

use crate::interface::{Micros, RequestId, SECOND};

/// Most doublings of a pause by repeated failures. At 2^5 s, a dead server is tried about twice a minute.
const MAX_DOUBLINGS: u32 = 5;
/// One recorded failure is forgotten for each period of this length without another failure.
const FORGET_AFTER: Micros = 20 * SECOND;

/// Why a server is paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PauseCause {
    /// The server rejected a connection as full. The pause ends at the next full second.
    Overload,
    /// An attempt failed. Each further failure doubles the pause.
    Failure,
}

/// What the caller logs about a pause that has begun.
pub(super) struct Trip {
    /// The pause follows the second failure in a row.
    pub(super) is_second_failure: bool,
}

/// What the caller logs about a pause that a successful trial has ended.
pub(super) struct Recovery {
    /// The server had failed more than once in a row.
    pub(super) had_failed_repeatedly: bool,
}

/// Circuit breaker of one server: closed, open (the server is paused) or half-open (the next request is a
/// trial).
#[derive(Clone, Debug, Default)]
pub(super) struct CircuitBreaker {
    pub(super) paused_until: Option<Micros>,
    /// The pause has ended, and the request that takes the server's next turn is a trial.
    pub(super) half_open: bool,
    /// The request whose attempt is the trial; `None` if no trial is in progress.
    pub(super) trial: Option<RequestId>,
    consecutive_failures: u32,
    /// When the server last gave a reason for a pause.
    pub(super) last_tripped_at: Option<Micros>,
}

impl CircuitBreaker {
    pub(super) fn is_paused(&self, now: Micros) -> bool {
        self.paused_until.is_some_and(|until| until > now)
    }

    /// Whether the server is half-open and its trial is in progress.
    pub(super) fn is_on_trial(&self) -> bool {
        self.half_open && self.trial.is_some()
    }

    /// Pauses the server until the next full second, or for longer with each further failure or failed
    /// trial.
    ///
    /// Returns `None`, and changes nothing, if the server is already paused and `request` is not its trial.
    /// Such an attempt was sent before the pause or was broken by the fault that caused it, and says
    /// nothing new.
    pub(super) fn trip(&mut self, now: Micros, request: RequestId, cause: PauseCause) -> Option<Trip> {
        let was_trial = self.trial == Some(request);
        if !was_trial && self.is_paused(now) {
            return None;
        }
        self.forget_old_failures(now);
        let mut until = (now / SECOND + 1) * SECOND;
        let mut is_second_failure = false;
        if cause == PauseCause::Failure || was_trial {
            until += ((1 << self.consecutive_failures.min(MAX_DOUBLINGS)) - 1) * SECOND;
            self.consecutive_failures += 1;
            is_second_failure = self.consecutive_failures == 2;
        }
        self.trial = None;
        self.trip_until(now, until);
        Some(Trip { is_second_failure })
    }

    /// Pauses the server until `until` or later.
    pub(super) fn trip_until(&mut self, now: Micros, until: Micros) {
        self.last_tripped_at = Some(now);
        self.paused_until = self.paused_until.max(Some(until));
    }

    fn forget_old_failures(&mut self, now: Micros) {
        let forgotten = self.last_tripped_at.map_or(0, |since| (now - since) / FORGET_AFTER);
        self.consecutive_failures = self.consecutive_failures.saturating_sub(forgotten.clamp(0, 64) as u32);
    }

    /// Ends a pause that is set and makes the server half-open. Returns whether a pause was set. The caller
    /// makes sure that the pause has run out.
    pub(super) fn half_open_if_lapsed(&mut self) -> bool {
        let has_lapsed = self.paused_until.take().is_some();
        // This is a branch because with `|=`, release builds of rustc 1.95 set the flag even if no pause
        // was set.
        if has_lapsed {
            self.half_open = true;
        }
        has_lapsed
    }

    /// Ends the trial `request` without a result. The server stays half-open.
    pub(super) fn abandon_trial(&mut self, request: RequestId) {
        self.trial = self.trial.filter(|trial| *trial != request);
    }

    /// Closes the circuit breaker if `request` was the trial; returns `None` otherwise.
    pub(super) fn close_after_trial(&mut self, request: RequestId) -> Option<Recovery> {
        if self.trial != Some(request) {
            return None;
        }
        (self.trial, self.half_open) = (None, false);
        let had_failed_repeatedly = self.consecutive_failures > 1;
        // Only half of the failures are forgotten: a server that fails most requests still passes a trial
        // now and then.
        self.consecutive_failures /= 2;
        Some(Recovery { had_failed_repeatedly })
    }
}
