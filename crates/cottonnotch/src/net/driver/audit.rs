//! The audit of requests: the guard checks every step against the rules, each close, retry and rejection is counted by its
//! reason, and each change of a request's state is in the log (`debug`) under its id.

use super::log_target::LOG_TARGET;
use super::request_table::TrackedRequest;
use cottonnotch_decision::{Entry, Micros, Outcome, RejectionReason, Request, RequestId, ServerId, Settings};
use cottonnotch_proxy_core::{FinalAnswer, Guard, GuardResult, ListScope, Violation};
use cottonnotch_records::MoveReason;
use std::collections::BTreeMap;
use std::fmt::{self, Display};

/// A step whose reasons are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// An established connection has ended, or was ended with `MOVE`.
    Closed,
    /// An attempt follows one that ended for this reason.
    Retried,
    /// Rejected: harmless to repeat.
    Rejected,
    /// Answered with an error.
    Failed,
}

impl Step {
    /// Part of a metric's key.
    fn name(self) -> &'static str {
        match self {
            Step::Closed => "closed",
            Step::Retried => "retried",
            Step::Rejected => "refused",
            Step::Failed => "failed",
        }
    }
}

/// The guard of this proxy, and the counts by reason.
#[derive(Debug, Default)]
pub struct Audit {
    guard: Guard,
    reasons: BTreeMap<(Step, &'static str), u64>,
}

impl Audit {
    /// An audit against these settings.
    pub fn new(settings: Settings) -> Self {
        Audit { guard: Guard::new(settings), reasons: BTreeMap::new() }
    }

    /// The settings have changed.
    pub fn configure(&mut self, settings: Settings) {
        self.guard.configure(settings);
    }

    /// Each metric with its value: violations by kind, then steps by reason.
    pub fn metrics(&self) -> impl Iterator<Item = (String, u64)> {
        let violations = self.guard.violations().iter();
        let violations = violations.map(|(kind, count)| (format!("violations.{}", kind.name()), count));
        let reasons = self.reasons.iter();
        violations.chain(reasons.map(|((step, reason), count)| (format!("{}.{reason}", step.name()), *count)))
    }

    /// The decision module is about to get these entries of the server list.
    pub fn listed(&mut self, now: Micros, full: bool, entries: &[Entry]) {
        let scope = if full { ListScope::Complete } else { ListScope::Changes };
        self.guard.listed(now, scope, entries);
    }

    // ---- the steps of a request ----

    /// It was accepted.
    pub fn requested(&mut self, now: Micros, request: &Request, wire_id: u64) {
        self.guard.requested(now, request);
        state(request.id, wire_id, format_args!("owed an answer, {:?} us left", request.left));
    }

    /// It was open before the start and is established again.
    pub fn reopened(&mut self, request: &Request, wire_id: u64) {
        self.guard.reestablished(request);
        state(request.id, wire_id, "up again");
    }

    /// Whether an attempt may be sent: false if that would break a rule of ours.
    pub fn may_send(&mut self, now: Micros, tracked: &TrackedRequest, server: ServerId) -> bool {
        let checked = self.guard.check_attempt(now, tracked.id, server);
        let may = !matches!(checked, Err(violation) if !violation.may_have_external_cause());
        report(checked, tracked);
        if let Some(before) = tracked.last_outcome {
            self.count(Step::Retried, outcome_name(before));
        }
        state(
            tracked.id,
            tracked.wire_id,
            format_args!("attempt {} to server {}", tracked.attempts, server.0),
        );
        may
    }

    /// The last byte of the attempt's line is written.
    pub fn attempt_written(&mut self, now: Micros, tracked: &TrackedRequest) {
        report(self.guard.attempt_written(now, tracked.id), tracked);
    }

    /// The attempt has ended without a connection.
    pub fn attempt_ended(&mut self, tracked: &TrackedRequest, outcome: Outcome) {
        self.guard.attempt_ended(tracked.id, outcome);
        state(tracked.id, tracked.wire_id, format_args!("attempt ended, {}", outcome_name(outcome)));
    }

    /// The attempt has established the connection.
    pub fn established(&mut self, now: Micros, tracked: &TrackedRequest) {
        report(self.guard.established(now, tracked.id), tracked);
        state(tracked.id, tracked.wire_id, "up");
    }

    /// Rejected by the decision module.
    pub fn rejected(&mut self, now: Micros, tracked: &TrackedRequest, reason: RejectionReason) {
        self.answered(now, tracked, FinalAnswer::Rejected, rejection_name(reason));
    }

    /// Failed by the decision module.
    pub fn failed(&mut self, now: Micros, tracked: &TrackedRequest, reason: RejectionReason) {
        self.answered(now, tracked, FinalAnswer::Failed, rejection_name(reason));
    }

    /// Answered with an error for what its client did.
    pub fn client_rejected(&mut self, now: Micros, tracked: &TrackedRequest) {
        self.answered(now, tracked, FinalAnswer::Failed, "client");
    }

    fn answered(&mut self, now: Micros, tracked: &TrackedRequest, answer: FinalAnswer, reason: &'static str) {
        report(self.guard.answered(now, tracked.id, answer), tracked);
        let step = if answer == FinalAnswer::Rejected { Step::Rejected } else { Step::Failed };
        self.count(step, reason);
        state(tracked.id, tracked.wire_id, format_args!("{}: {reason}", step.name()));
    }

    /// Its client left before the answer.
    pub fn client_left(&mut self, tracked: &TrackedRequest) {
        self.guard.client_left(tracked.id);
        state(tracked.id, tracked.wire_id, "its client has left");
    }

    /// An established connection is migrated.
    pub fn migrated(&mut self, tracked: &TrackedRequest, reason: MoveReason) {
        let reason = match reason {
            MoveReason::PolicyRequest => "moved_asked",
            MoveReason::Draining => "moved_draining",
            MoveReason::Unresponsive => "moved_silent",
            MoveReason::ProxyShutdown => "moved_leaving",
        };
        self.closed(tracked, reason);
    }

    /// An established connection has ended.
    pub fn ended(&mut self, tracked: &TrackedRequest, outcome: Outcome) {
        self.closed(tracked, outcome_name(outcome));
    }

    fn closed(&mut self, tracked: &TrackedRequest, reason: &'static str) {
        report(self.guard.closed(tracked.id), tracked);
        self.count(Step::Closed, reason);
        state(tracked.id, tracked.wire_id, format_args!("closed: {reason}"));
    }

    // ---- time ----

    /// Once a second: reports requests that have had no answer in their time.
    pub fn report_overdue(&mut self, now: Micros) {
        for request in self.guard.overdue(now) {
            unanswered(request, "in its time");
        }
    }

    /// The process ends: reports requests that are still without an answer.
    pub fn finish(&mut self) {
        for request in self.guard.finish() {
            unanswered(request, "before the process ends");
        }
    }

    /// Counts a step under its reason.
    pub fn count(&mut self, step: Step, reason: &'static str) {
        *self.reasons.entry((step, reason)).or_default() += 1;
    }
}

/// Logs a broken rule; a debug build stops there, unless somebody else may have caused it.
fn report(checked: GuardResult, tracked: &TrackedRequest) {
    let Err(violation) = checked else { return };
    let (kind, request) = (violation.name(), tracked.id.0);
    log::error!(
        target: LOG_TARGET, kind, request, wire_id:% = HexId(tracked.wire_id);
        "rule violation {kind}: request {request}, {} on the wire", HexId(tracked.wire_id)
    );
    debug_assert!(violation.may_have_external_cause(), "rule violation {kind}: {tracked:?}");
}

fn unanswered(RequestId(request): RequestId, when: &str) {
    let kind = Violation::Unanswered.name();
    log::error!(target: LOG_TARGET, kind, request; "rule violation {kind}: request {request} had no answer {when}");
}

fn state(RequestId(request): RequestId, wire_id: u64, state: impl Display) {
    log::debug!(target: LOG_TARGET, request, wire_id:% = HexId(wire_id); "request {request}: {state}");
}

/// An id as it is on the wire.
struct HexId(u64);

impl Display for HexId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// An outcome as part of a metric's key.
pub fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::Error => "error",
        Outcome::Full => "full",
        Outcome::TimedOut => "timed_out",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "not_sent",
    }
}

/// A rejection's reason as part of a metric's key.
pub fn rejection_name(reason: RejectionReason) -> &'static str {
    match reason {
        RejectionReason::ShuttingDown => "leaving",
        RejectionReason::AttemptsExhausted => "attempts_spent",
        RejectionReason::DeadlineTooClose => "too_late",
        RejectionReason::IdempotencyWindowOver => "window_over",
        RejectionReason::RejectedByRule => "ruled",
        RejectionReason::NoServer => "no_server",
    }
}
