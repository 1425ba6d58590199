//! Audits requests: the guard checks every step against the rules, each close, retry and rejection is counted by its
//! reason, and each change of a request's state is logged at `debug` level under the request's id.

use super::log_target::LOG_TARGET;
use super::request_table::TrackedRequest;
use cottonnotch_decision::{Entry, Micros, Outcome, RejectionReason, Request, RequestId, ServerId, Settings};
use cottonnotch_proxy_core::{FinalAnswer, Guard, GuardResult, ListScope, Violation};
use cottonnotch_records::MoveReason;
use std::collections::BTreeMap;
use std::fmt::{self, Display};

/// A step that is counted by reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// An established connection ended, or the proxy ended it with `MOVE`.
    Closed,
    /// An attempt follows an earlier one; the reason is the outcome of the earlier one.
    Retried,
    /// The request was rejected, and the client may safely repeat it.
    Rejected,
    /// The request was answered with an error.
    Failed,
}

impl Step {
    /// The step's part of a metric's key.
    fn name(self) -> &'static str {
        match self {
            Step::Closed => "closed",
            Step::Retried => "retried",
            Step::Rejected => "refused",
            Step::Failed => "failed",
        }
    }
}

/// The guard of this proxy and the counts by step and reason.
#[derive(Debug, Default)]
pub struct Audit {
    guard: Guard,
    reasons: BTreeMap<(Step, &'static str), u64>,
}

impl Audit {
    /// Creates an audit that checks against these settings.
    pub fn new(settings: Settings) -> Self {
        Audit { guard: Guard::new(settings), reasons: BTreeMap::new() }
    }

    /// Applies changed settings.
    pub fn configure(&mut self, settings: Settings) {
        self.guard.configure(settings);
    }

    /// All metrics with their values: violations by kind, then steps by reason.
    pub fn metrics(&self) -> impl Iterator<Item = (String, u64)> {
        let violations = self.guard.violations().iter();
        let violations = violations.map(|(kind, count)| (format!("violations.{}", kind.name()), count));
        let reasons = self.reasons.iter();
        violations.chain(reasons.map(|((step, reason), count)| (format!("{}.{reason}", step.name()), *count)))
    }

    /// Shows the guard entries of the server list before the decision module receives them.
    pub fn listed(&mut self, now: Micros, full: bool, entries: &[Entry]) {
        let scope = if full { ListScope::Complete } else { ListScope::Changes };
        self.guard.listed(now, scope, entries);
    }

    // ---- the steps of a request ----

    /// Records that a request was accepted.
    pub fn requested(&mut self, now: Micros, request: &Request, wire_id: u64) {
        self.guard.requested(now, request);
        log_state_change(request.id, wire_id, format_args!("owed an answer, {:?} us left", request.left));
    }

    /// Records that a connection which was open before this process started is established again.
    pub fn reopened(&mut self, request: &Request, wire_id: u64) {
        self.guard.reestablished(request);
        log_state_change(request.id, wire_id, "up again");
    }

    /// Whether an attempt may be sent. Returns false if the attempt would be a violation that only this proxy can
    /// have caused.
    pub fn may_send(&mut self, now: Micros, tracked: &TrackedRequest, server: ServerId) -> bool {
        let checked = self.guard.check_attempt(now, tracked.id, server);
        let is_allowed = !matches!(checked, Err(violation) if !violation.may_have_external_cause());
        report_violation(checked, tracked);
        if let Some(previous) = tracked.last_outcome {
            self.count(Step::Retried, outcome_name(previous));
        }
        log_state_change(
            tracked.id,
            tracked.wire_id,
            format_args!("attempt {} to server {}", tracked.attempts, server.0),
        );
        is_allowed
    }

    /// Records that the last byte of the attempt's line was written.
    pub fn attempt_written(&mut self, now: Micros, tracked: &TrackedRequest) {
        report_violation(self.guard.attempt_written(now, tracked.id), tracked);
    }

    /// Records that the attempt ended without establishing a connection.
    pub fn attempt_ended(&mut self, tracked: &TrackedRequest, outcome: Outcome) {
        self.guard.attempt_ended(tracked.id, outcome);
        log_state_change(
            tracked.id,
            tracked.wire_id,
            format_args!("attempt ended, {}", outcome_name(outcome)),
        );
    }

    /// Records that the attempt established the connection.
    pub fn established(&mut self, now: Micros, tracked: &TrackedRequest) {
        report_violation(self.guard.established(now, tracked.id), tracked);
        log_state_change(tracked.id, tracked.wire_id, "up");
    }

    /// Records that the decision module rejected the request.
    pub fn rejected(&mut self, now: Micros, tracked: &TrackedRequest, reason: RejectionReason) {
        self.answered(now, tracked, FinalAnswer::Rejected, rejection_name(reason));
    }

    /// Records that the decision module failed the request.
    pub fn failed(&mut self, now: Micros, tracked: &TrackedRequest, reason: RejectionReason) {
        self.answered(now, tracked, FinalAnswer::Failed, rejection_name(reason));
    }

    /// Records that the request was answered with an error because of something that its client did.
    pub fn client_rejected(&mut self, now: Micros, tracked: &TrackedRequest) {
        self.answered(now, tracked, FinalAnswer::Failed, "client");
    }

    fn answered(&mut self, now: Micros, tracked: &TrackedRequest, answer: FinalAnswer, reason: &'static str) {
        report_violation(self.guard.answered(now, tracked.id, answer), tracked);
        let step = if answer == FinalAnswer::Rejected { Step::Rejected } else { Step::Failed };
        self.count(step, reason);
        log_state_change(tracked.id, tracked.wire_id, format_args!("{}: {reason}", step.name()));
    }

    /// Records that the client left before it was answered.
    pub fn client_left(&mut self, tracked: &TrackedRequest) {
        self.guard.client_left(tracked.id);
        log_state_change(tracked.id, tracked.wire_id, "its client has left");
    }

    /// Records that an established connection is migrated.
    pub fn migrated(&mut self, tracked: &TrackedRequest, reason: MoveReason) {
        let reason = match reason {
            MoveReason::PolicyRequest => "moved_asked",
            MoveReason::Draining => "moved_draining",
            MoveReason::Unresponsive => "moved_silent",
            MoveReason::ProxyShutdown => "moved_leaving",
        };
        self.closed(tracked, reason);
    }

    /// Records that an established connection ended.
    pub fn ended(&mut self, tracked: &TrackedRequest, outcome: Outcome) {
        self.closed(tracked, outcome_name(outcome));
    }

    fn closed(&mut self, tracked: &TrackedRequest, reason: &'static str) {
        report_violation(self.guard.closed(tracked.id), tracked);
        self.count(Step::Closed, reason);
        log_state_change(tracked.id, tracked.wire_id, format_args!("closed: {reason}"));
    }

    // ---- deadlines ----

    /// Reports requests that were not answered before their deadline. Called once a second.
    pub fn report_overdue(&mut self, now: Micros) {
        for request in self.guard.overdue(now) {
            log_unanswered(request, "in its time");
        }
    }

    /// Reports requests that are still unanswered when the process ends.
    pub fn finish(&mut self) {
        for request in self.guard.finish() {
            log_unanswered(request, "before the process ends");
        }
    }

    /// Counts a step by its reason.
    pub fn count(&mut self, step: Step, reason: &'static str) {
        *self.reasons.entry((step, reason)).or_default() += 1;
    }
}

/// Logs a violation. In debug builds, panics unless another party may have caused the violation.
fn report_violation(checked: GuardResult, tracked: &TrackedRequest) {
    let Err(violation) = checked else { return };
    let (kind, request) = (violation.name(), tracked.id.0);
    log::error!(
        target: LOG_TARGET, kind, request, wire_id:% = HexId(tracked.wire_id);
        "rule violation {kind}: request {request}, {} on the wire", HexId(tracked.wire_id)
    );
    debug_assert!(violation.may_have_external_cause(), "rule violation {kind}: {tracked:?}");
}

fn log_unanswered(RequestId(request): RequestId, when: &str) {
    let kind = Violation::Unanswered.name();
    log::error!(target: LOG_TARGET, kind, request; "rule violation {kind}: request {request} had no answer {when}");
}

fn log_state_change(RequestId(request): RequestId, wire_id: u64, state: impl Display) {
    log::debug!(target: LOG_TARGET, request, wire_id:% = HexId(wire_id); "request {request}: {state}");
}

/// Formats an id as it is written on the wire.
struct HexId(u64);

impl Display for HexId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// An outcome's part of a metric's key.
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

/// A rejection reason's part of a metric's key.
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
