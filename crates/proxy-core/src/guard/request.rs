//! The guard's state of one request.

use super::violation::Violation;
use cottonnotch_decision::{Idempotency, Micros, Outcome, ServerId, ZoneId};

/// Time after the deadline, in microseconds, after which an unanswered request counts as lost. An earlier answer after the
/// deadline only earns nothing. The platform's standing test has the same bound.
pub(super) const LOST_AFTER: Micros = 500_000;

/// A server's zone and cell.
pub(super) type Locality = (ZoneId, u32);

/// The limits of a request's class.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClassRules {
    /// The idempotency of the class, which limits retries.
    pub idempotency: Idempotency,
    /// Maximum number of attempts.
    pub attempts: u32,
}

/// An attempt that has been sent and has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingAttempt {
    pub server: ServerId,
    pub locality: Locality,
    pub sent: Micros,
}

/// A request that awaits its final answer.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub class: usize,
    /// Number of attempts sent.
    pub attempts: u32,
    /// The pending attempt, if any.
    pub attempt: Option<PendingAttempt>,
    deadline: Option<Micros>,
    /// Locality and send time of the first attempt that may have run.
    may_have_run: Option<(Locality, Micros)>,
    /// Whether the missing answer has been counted as a violation.
    overdue: bool,
}

impl PendingRequest {
    /// Creates a request of this class without attempts.
    pub fn new(class: usize, deadline: Option<Micros>) -> Self {
        PendingRequest { class, attempts: 0, attempt: None, deadline, may_have_run: None, overdue: false }
    }

    /// Checks whether earlier attempts allow another attempt to a server of this locality now.
    pub fn check_retry(&self, rules: ClassRules, locality: Locality, now: Micros) -> Result<(), Violation> {
        let Some((first_locality, first_sent)) = self.may_have_run else { return Ok(()) };
        match rules.idempotency {
            Idempotency::Idempotent => Ok(()),
            Idempotency::NotIdempotent => Err(Violation::RetriedNotIdempotent),
            Idempotency::Keyed { scope, .. } if scope.separates(first_locality, locality) => {
                Err(Violation::RetriedOutsideScope)
            }
            Idempotency::Keyed { window, .. } if now >= first_sent.saturating_add(window) => {
                Err(Violation::RetriedAfterWindow)
            }
            Idempotency::Keyed { .. } => Ok(()),
        }
    }

    /// Checks whether the request may be rejected. A rejection invites the client to retry.
    pub fn check_rejection(&self, rules: ClassRules) -> Result<(), Violation> {
        let allowed = self.may_have_run.is_none() || rules.idempotency.may_reject();
        allowed.then_some(()).ok_or(Violation::RejectedAfterEffect)
    }

    /// Records that the pending attempt has ended.
    pub fn attempt_ended(&mut self, outcome: Outcome) {
        let Some(attempt) = self.attempt.take() else { return };
        if !outcome.never_ran() {
            self.may_have_run.get_or_insert((attempt.locality, attempt.sent));
        }
    }

    /// Whether the request counts as lost at the time `now`.
    pub fn is_lost_at(&self, now: Micros) -> bool {
        self.deadline.is_some_and(|deadline| now > deadline.saturating_add(LOST_AFTER))
    }

    /// Whether the request has become overdue. Returns true only once.
    pub fn newly_overdue(&mut self, now: Micros) -> bool {
        self.is_lost_at(now) && !std::mem::replace(&mut self.overdue, true)
    }

    /// Whether [`Self::newly_overdue`] has returned true.
    pub fn was_overdue(&self) -> bool {
        self.overdue
    }
}
