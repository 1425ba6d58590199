//! The kinds of broken rule, and how often each was seen.

/// A rule that was broken, or would have been had the step been taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Violation {
    /// Sending: an attempt for a request that is not owed an answer.
    SentUnowed,
    /// Sending: an attempt while another one of the same request is out.
    SecondAttemptOut,
    /// Sending: more attempts than the class allows.
    TooManyAttempts,
    /// Sending: to a server that drains or is gone.
    SentToStopped,
    /// Repeating: an unsafe request that may have run.
    RepeatedUnsafe,
    /// Repeating: a keyed request at a server that doesn't drop its repeats.
    RepeatedElsewhere,
    /// Repeating: a keyed request after its window.
    RepeatedLate,
    /// Repeating: a refusal, which invites a repeat, of what may have run and must not be repeated everywhere.
    RefusedAfterEffect,
    /// Closing: a second final answer, or one to nobody.
    AnsweredUnowed,
    /// Closing: a final answer while an attempt is out.
    AnsweredWhileOut,
    /// Closing: a final answer so late that the request counts as lost.
    AnsweredLate,
    /// Closing: no final answer in its time, or none before the end of the process.
    Unanswered,
    /// Closing: a connection ended as if it had been up.
    ClosedUnserved,
    /// Starting: a cold server got more from this proxy than all proxies together may send it.
    ColdOverBudget,
}

impl Violation {
    /// All kinds, in the order in which they are declared.
    pub const ALL: [Violation; 14] = [
        Violation::SentUnowed,
        Violation::SecondAttemptOut,
        Violation::TooManyAttempts,
        Violation::SentToStopped,
        Violation::RepeatedUnsafe,
        Violation::RepeatedElsewhere,
        Violation::RepeatedLate,
        Violation::RefusedAfterEffect,
        Violation::AnsweredUnowed,
        Violation::AnsweredWhileOut,
        Violation::AnsweredLate,
        Violation::Unanswered,
        Violation::ClosedUnserved,
        Violation::ColdOverBudget,
    ];

    /// Its name in figures and logs.
    pub fn name(self) -> &'static str {
        match self {
            Violation::SentUnowed => "sent_unowed",
            Violation::SecondAttemptOut => "second_attempt_out",
            Violation::TooManyAttempts => "too_many_attempts",
            Violation::SentToStopped => "sent_to_stopped",
            Violation::RepeatedUnsafe => "repeated_unsafe",
            Violation::RepeatedElsewhere => "repeated_elsewhere",
            Violation::RepeatedLate => "repeated_late",
            Violation::RefusedAfterEffect => "refused_after_effect",
            Violation::AnsweredUnowed => "answered_unowed",
            Violation::AnsweredWhileOut => "answered_while_out",
            Violation::AnsweredLate => "answered_late",
            Violation::Unanswered => "unanswered",
            Violation::ClosedUnserved => "closed_unserved",
            Violation::ColdOverBudget => "cold_over_budget",
        }
    }

    /// A process that is stopped or starved from outside can come to break it without a fault of its own: counted, never asserted.
    pub fn may_come_from_outside(self) -> bool {
        matches!(self, Violation::AnsweredLate | Violation::Unanswered | Violation::ColdOverBudget)
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
    pub fn all(&self) -> impl Iterator<Item = (Violation, u64)> {
        Violation::ALL.into_iter().map(|violation| (violation, self.of(violation)))
    }
}
