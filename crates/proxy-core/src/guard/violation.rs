//! The kinds of violation, and how often each was seen.

/// A rule that was violated, or would have been had the step been taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Violation {
    /// Sending: an attempt for a request that awaits no answer.
    AttemptWithoutRequest,
    /// Sending: an attempt while another one of the same request is under way.
    ConcurrentAttempt,
    /// Sending: more attempts than the class allows.
    TooManyAttempts,
    /// Sending: to a server that is draining or removed.
    AttemptToStoppedServer,
    /// Retrying: a request that is not idempotent and may have run.
    RetriedNotIdempotent,
    /// Retrying: a request with an idempotency key at a server that doesn't know the key.
    RetriedOutsideScope,
    /// Retrying: a request with an idempotency key after the key's window.
    RetriedAfterWindow,
    /// Retrying: a rejection, which invites a retry, of what may have run and must not be retried everywhere.
    RejectedAfterEffect,
    /// Closing: a second final answer, or one to nobody.
    AnswerWithoutRequest,
    /// Closing: a final answer while an attempt is under way.
    AnsweredDuringAttempt,
    /// Closing: a final answer so late that the request counts as lost.
    AnsweredLate,
    /// Closing: no final answer in its time, or none before the end of the process.
    Unanswered,
    /// Closing: a connection ended as if it had been established.
    ClosedNotEstablished,
    /// Starting: a server in slow start got more from this proxy than all proxies together may send it.
    SlowStartOverBudget,
}

impl Violation {
    /// All kinds, in the order in which they are declared.
    pub const ALL: [Violation; 14] = [
        Violation::AttemptWithoutRequest,
        Violation::ConcurrentAttempt,
        Violation::TooManyAttempts,
        Violation::AttemptToStoppedServer,
        Violation::RetriedNotIdempotent,
        Violation::RetriedOutsideScope,
        Violation::RetriedAfterWindow,
        Violation::RejectedAfterEffect,
        Violation::AnswerWithoutRequest,
        Violation::AnsweredDuringAttempt,
        Violation::AnsweredLate,
        Violation::Unanswered,
        Violation::ClosedNotEstablished,
        Violation::SlowStartOverBudget,
    ];

    /// Its name in metrics and logs. Dashboards refer to it, so it stays when a variant is renamed.
    pub fn name(self) -> &'static str {
        match self {
            Violation::AttemptWithoutRequest => "sent_unowed",
            Violation::ConcurrentAttempt => "second_attempt_out",
            Violation::TooManyAttempts => "too_many_attempts",
            Violation::AttemptToStoppedServer => "sent_to_stopped",
            Violation::RetriedNotIdempotent => "repeated_unsafe",
            Violation::RetriedOutsideScope => "repeated_elsewhere",
            Violation::RetriedAfterWindow => "repeated_late",
            Violation::RejectedAfterEffect => "refused_after_effect",
            Violation::AnswerWithoutRequest => "answered_unowed",
            Violation::AnsweredDuringAttempt => "answered_while_out",
            Violation::AnsweredLate => "answered_late",
            Violation::Unanswered => "unanswered",
            Violation::ClosedNotEstablished => "closed_unserved",
            Violation::SlowStartOverBudget => "cold_over_budget",
        }
    }

    /// Whether a process that is stopped or starved from outside can violate it without a fault of its own: such a violation
    /// is counted, never asserted.
    pub fn may_have_external_cause(self) -> bool {
        matches!(self, Violation::AnsweredLate | Violation::Unanswered | Violation::SlowStartOverBudget)
    }

    fn index(self) -> usize {
        self as usize
    }
}

/// How often each kind was seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Violations([u64; Violation::ALL.len()]);

impl Violations {
    pub(super) fn count(&mut self, violation: Violation) {
        self.0[violation.index()] += 1;
    }

    /// How often this kind was seen.
    pub fn of(&self, violation: Violation) -> u64 {
        self.0[violation.index()]
    }

    /// Each kind with its count.
    pub fn iter(&self) -> impl Iterator<Item = (Violation, u64)> {
        Violation::ALL.into_iter().map(|violation| (violation, self.of(violation)))
    }
}
