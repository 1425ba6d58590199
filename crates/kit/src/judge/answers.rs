//! Rules on the answers that clients read: a request gets exactly one final answer by its deadline, and an `UP` answer
//! comes from a render node.

use super::deferred_checks::DeferredCheck;
use super::processes::EXIT_NOTICE_DELAY;
use super::request_table::{ClientEnd, Request, RequestTable, RuleContext, Submission};
use super::rule::Rule;
use super::units::{format_millis, format_seconds};
use crate::observation::{Answer, ClientClose, NodeAnswer, ProxyClose, RequestId};
use crate::time::{MS, Micros};

/// The order of a client's close and of its answer is not significant within this time: the client can give up while
/// the answer is in transit and still read the answer.
const SIMULTANEITY_TOLERANCE: Micros = MS;

impl RequestTable {
    pub fn record_submission(&mut self, id: RequestId, submission: Submission) {
        // An entry can exist: a render node's thread can record an attempt before the client's thread records this.
        self.requests.entry(id).or_default().submission.get_or_insert(submission);
    }

    pub fn record_answer(&mut self, at: Micros, id: RequestId, answer: &Answer, context: &mut RuleContext) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some((first_at, first)) = &request.answer {
            let description = format!(
                "a second answer, {}, after {} at {}",
                describe_answer(answer),
                describe_answer(first),
                format_seconds(*first_at)
            );
            return self.report_violation(at, Rule::OneFinalAnswer, id, description, context.output);
        }
        request.answer = Some((at, answer.clone()));
        let overdue = request.submission.is_some_and(|submission| at > answer_deadline(&submission, context));
        if let Answer::Up(receipt) = answer {
            if !self.match_receipt(at, id, *receipt, context) {
                context.output.defer(at + context.rules.grace, DeferredCheck::Receipt(id));
            }
        } else {
            self.client_finished(at, id, context.output);
        }
        if overdue {
            context.output.defer(at + SIMULTANEITY_TOLERANCE, DeferredCheck::LateAnswer(id));
        }
    }

    /// Matches the receipt that the client read with the attempt that the render node answered with it. Returns false
    /// if no render node has been observed to issue the receipt yet.
    pub fn match_receipt(
        &mut self,
        at: Micros,
        id: RequestId,
        receipt: u64,
        context: &mut RuleContext,
    ) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let Some(index) =
            request.attempts.iter().position(|record| record.answer == Some(NodeAnswer::Up(receipt)))
        else {
            return false;
        };
        request.serving = Some(index);
        let (node, ended) = (request.attempts[index].attempt.node, request.attempts[index].ended);
        if request.client_end.is_none() {
            self.add_established(id, node);
            if ended.is_some() {
                context.output.defer(
                    at + context.rules.ended_within + context.rules.grace,
                    DeferredCheck::EndedConnection(id),
                );
            }
        }
        true
    }

    /// Reports an `UP` answer whose receipt no render node issued for this request. Runs after the grace time, in which
    /// a late observation of the render node arrives.
    pub fn check_receipt(&mut self, at: Micros, id: RequestId, context: &mut RuleContext) {
        let Some(request) = self.requests.get(&id).filter(|request| request.serving.is_none()) else {
            return;
        };
        let Some((read_at, Answer::Up(receipt))) = request.answer else { return };
        let issuer = match self.receipts.get(&receipt).and_then(|attempt| self.by_attempt.get(attempt)) {
            Some(other) => format!("a render node issued it for request {:016x}", other.0),
            None => "no render node issued it".to_owned(),
        };
        let description = format!("read UP {receipt:016x} at {}; {issuer}", format_seconds(read_at));
        self.report_violation(at, Rule::InventedAnswer, id, description, context.output);
    }

    /// Reports an answer after the deadline, unless the client closed the connection at about the same time.
    pub fn check_late_answer(&mut self, at: Micros, id: RequestId, context: &mut RuleContext) {
        let Some(request) = self.requests.get(&id) else { return };
        let (Some(submission), Some((read_at, _))) = (request.submission, &request.answer) else { return };
        if matches!(
            request.client_end,
            Some((left_at, ClientEnd::ByClient(_))) if (left_at - read_at).abs() <= SIMULTANEITY_TOLERANCE
        ) {
            return;
        }
        let description = format!(
            "answered at {}, {} ms after the latest accepted time {}",
            format_seconds(*read_at),
            format_millis(read_at - answer_deadline(&submission, context)),
            format_seconds(answer_deadline(&submission, context))
        );
        self.report_violation(at, Rule::OneFinalAnswer, id, description, context.output);
    }

    /// Records that the proxy ended the client's connection.
    pub fn record_proxy_close(
        &mut self,
        at: Micros,
        id: RequestId,
        how: ProxyClose,
        context: &mut RuleContext,
    ) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.client_end.is_none()) else { return };
        request.client_end = Some((at, ClientEnd::ByProxy(how)));
        if let Some(serving) = request.serving_attempt() {
            let responsive_since = context.node_states.responsive_since(serving.proxy, serving.attempt.node);
            request.responsive_at_end =
                responsive_since.is_some_and(|since| since <= at - context.rules.grace);
        }
        match &request.answer {
            None => context.output.defer(at + EXIT_NOTICE_DELAY, DeferredCheck::MissingAnswer(id)),
            Some((_, Answer::Up(_))) if request.moved_at.is_none() => {
                context.output.defer(at + EXIT_NOTICE_DELAY, DeferredCheck::CutConnection(id));
            }
            Some(_) => {}
        }
        self.client_finished(at, id, context.output);
    }

    /// Records that the client ended its connection.
    pub fn record_client_close(
        &mut self,
        at: Micros,
        id: RequestId,
        why: ClientClose,
        context: &mut RuleContext,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some((ended_at, ClientEnd::ByProxy(_))) = request.client_end {
            // The closes of the two sides crossed in transit.
            if why == ClientClose::Done && at - ended_at <= context.rules.grace {
                request.client_end = Some((ended_at, ClientEnd::ByClient(why)));
            }
            return;
        }
        request.client_end = Some((at, ClientEnd::ByClient(why)));
        if request.answer.is_none()
            && request.submission.is_some_and(|submission| at >= answer_deadline(&submission, context))
        {
            context.output.defer(at + SIMULTANEITY_TOLERANCE, DeferredCheck::MissingAnswer(id));
        }
        self.client_finished(at, id, context.output);
    }

    /// Reports a request that ended without an answer: the proxy closed the connection, or the client gave up after the
    /// deadline.
    pub fn check_missing_answer(&mut self, at: Micros, id: RequestId, context: &mut RuleContext) {
        if let Some(request) = self.requests.get(&id).filter(|r| r.answer.is_none())
            && let Some(description) = describe_missing_answer(request, context)
        {
            self.report_violation(at, Rule::OneFinalAnswer, id, description, context.output);
        }
    }

    /// Ends the run at `at`: reports unanswered open requests whose deadline has passed.
    pub fn finish(&mut self, at: Micros, context: &mut RuleContext) {
        let is_overdue = |request: &Request| {
            request.answer.is_none()
                && request.client_end.is_none()
                && request.submission.is_some_and(|submission| answer_deadline(&submission, context) < at)
        };
        let mut overdue: Vec<RequestId> =
            self.requests.iter().filter(|(_, request)| is_overdue(request)).map(|(id, _)| *id).collect();
        overdue.sort_unstable();
        overdue.into_iter().for_each(|id| self.check_missing_answer(at, id, context));
    }
}

/// The latest time at which an answer is accepted.
fn answer_deadline(submission: &Submission, context: &RuleContext) -> Micros {
    submission.deadline + context.rules.answer_slack + context.rules.grace
}

/// Describes a missing answer, unless the end of the proxy's process excuses it.
fn describe_missing_answer(request: &Request, context: &RuleContext) -> Option<String> {
    let submission = request.submission?;
    let deadline = answer_deadline(&submission, context);
    let (broken_at, description) = match request.client_end {
        Some((at, ClientEnd::ByProxy(how))) => {
            let verb = if how == ProxyClose::Closed { "closed" } else { "reset" };
            (at, format!("the proxy {verb} the connection at {} without an answer", format_seconds(at)))
        }
        Some((at, ClientEnd::ByClient(_))) => {
            (deadline, format!("the client gave up at {} without an answer", format_seconds(at)))
        }
        None => (deadline, "no answer arrived".to_owned()),
    };
    if context.processes.excuses_request(submission.incarnation, submission.at, broken_at) {
        return None;
    }
    Some(format!(
        "submitted at {}, an answer was due by {}: {description}",
        format_seconds(submission.at),
        format_seconds(deadline)
    ))
}

/// Formats an answer as on the wire, with other lines shortened and quoted.
fn describe_answer(answer: &Answer) -> String {
    match answer {
        Answer::Up(receipt) => format!("UP {receipt:016x}"),
        Answer::Busy(0) => "BUSY".to_owned(),
        Answer::Busy(wait) => format!("BUSY {}", format_millis(*wait)),
        Answer::Failed(line) => format!("'{}'", line.chars().take(60).collect::<String>().escape_debug()),
    }
}
