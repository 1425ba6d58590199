//! What the guard tracks of one request.

use super::violation::Violation;
use cottonnotch_decision::{Idempotency, Micros, Outcome, ServerId, ZoneId};

/// Up to so long after its deadline an answer only earns nothing; after that the request is lost. The platform's standing
/// test has the same bound, in microseconds.
pub(super) const LOST_AFTER: Micros = 500_000;

/// A server's zone and cell.
pub(super) type Locality = (ZoneId, u32);

/// What a request's class allows.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClassRules {
    /// What a retry of it may do.
    pub idempotency: Idempotency,
    /// Most attempts.
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
    /// Attempts sent so far.
    pub attempts: u32,
    /// The attempt that is under way.
    pub attempt: Option<PendingAttempt>,
    deadline: Option<Micros>,
    /// The first attempt that may have run: its locality, and when it was sent.
    may_have_run: Option<(Locality, Micros)>,
    /// The violation that no answer came in time has been counted.
    overdue: bool,
}

impl PendingRequest {
    /// A request of this class that no attempt was sent for yet.
    pub fn new(class: usize, deadline: Option<Micros>) -> Self {
        PendingRequest { class, attempts: 0, attempt: None, deadline, may_have_run: None, overdue: false }
    }

    /// Whether an attempt may be sent to a server there now, as far as earlier attempts allow.
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

    /// Whether the request may be rejected now, which invites the client to retry.
    pub fn check_rejection(&self, rules: ClassRules) -> Result<(), Violation> {
        let allowed = self.may_have_run.is_none() || rules.idempotency.may_reject();
        allowed.then_some(()).ok_or(Violation::RejectedAfterEffect)
    }

    /// The attempt under way has ended.
    pub fn attempt_ended(&mut self, outcome: Outcome) {
        let Some(attempt) = self.attempt.take() else { return };
        if !outcome.never_ran() {
            self.may_have_run.get_or_insert((attempt.locality, attempt.sent));
        }
    }

    /// Whether an answer at that time is too late to count.
    pub fn is_lost_at(&self, now: Micros) -> bool {
        self.deadline.is_some_and(|deadline| now > deadline.saturating_add(LOST_AFTER))
    }

    /// Whether the request is overdue; true once.
    pub fn newly_overdue(&mut self, now: Micros) -> bool {
        self.is_lost_at(now) && !std::mem::replace(&mut self.overdue, true)
    }

    /// Whether [`Self::newly_overdue`] was true before.
    pub fn was_overdue(&self) -> bool {
        self.overdue
    }
}
