//! The kinds of violations, and the number of violations of each kind.

/// A violated rule, or a rule that a checked step would violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Violation {
    /// Sending: an attempt for a request that is not pending.
    AttemptWithoutRequest,
    /// Sending: an attempt while another attempt of the same request is pending.
    ConcurrentAttempt,
    /// Sending: more attempts than the class allows.
    TooManyAttempts,
    /// Sending: an attempt to a server that is draining or removed.
    AttemptToStoppedServer,
    /// Retrying: a request that is not idempotent and may have run.
    RetriedNotIdempotent,
    /// Retrying: a request with an idempotency key at a server that does not share the key.
    RetriedOutsideScope,
    /// Retrying: a request with an idempotency key after the key's window.
    RetriedAfterWindow,
    /// Retrying: a rejection, which invites a retry, of a request that may have run and must not be retried at every server.
    RejectedAfterEffect,
    /// Closing: a second final answer, or a final answer without a request.
    AnswerWithoutRequest,
    /// Closing: a final answer while an attempt is pending.
    AnsweredDuringAttempt,
    /// Closing: a final answer after the request counts as lost.
    AnsweredLate,
    /// Closing: no final answer before the request counts as lost, or before the end of the process.
    Unanswered,
    /// Closing: the end of a connection that was not established.
    ClosedNotEstablished,
    /// Slow start: more attempts from this proxy to a server in slow start than all proxies together may send.
    SlowStartOverBudget,
}

impl Violation {
    /// All kinds, in declaration order.
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

    /// Returns the kind's name in metrics and logs. Dashboards refer to the name, so it must not change when a variant is renamed.
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

    /// Whether the violation can occur without a fault in the proxy, because the process was stopped or got too little CPU time.
    /// Such a violation is counted, never asserted.
    pub fn may_have_external_cause(self) -> bool {
        matches!(self, Violation::AnsweredLate | Violation::Unanswered | Violation::SlowStartOverBudget)
    }

    fn index(self) -> usize {
        self as usize
    }
}

/// The number of violations of each kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Violations([u64; Violation::ALL.len()]);

impl Violations {
    pub(super) fn count(&mut self, violation: Violation) {
        self.0[violation.index()] += 1;
    }

    /// Returns the number of violations of this kind.
    pub fn of(&self, violation: Violation) -> u64 {
        self.0[violation.index()]
    }

    /// Iterates over all kinds with their counts.
    pub fn iter(&self) -> impl Iterator<Item = (Violation, u64)> {
        Violation::ALL.into_iter().map(|violation| (violation, self.of(violation)))
    }
}
