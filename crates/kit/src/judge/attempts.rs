//! Rules on the attempts that render nodes receive: a request has one attempt at a time and a limited number of them, a
//! draining or removed render node gets none, and each attempt belongs to a request that a client sent.

use super::deferred_checks::DeferredCheck;
use super::list_knowledge::ListKnowledge;
use super::request_table::{AttemptRecord, RequestTable, RuleContext};
use super::rule::Rule;
use super::subject::Subject;
use super::units::{format_millis, format_seconds};
use crate::observation::{Answer, Attempt, AttemptEnd, NodeAnswer, RequestId};
use crate::plan::{ProxyId, SessionId};
use crate::time::Micros;

/// An attempt as a render node received it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    pub attempt: Attempt,
    pub request: RequestId,
    pub session: Option<SessionId>,
    pub proxy: ProxyId,
    pub first_byte: Micros,
}

impl RequestTable {
    /// Records an attempt and checks it against the rules on attempts. An attempt that does not belong to its request
    /// is not recorded: it is reported now or by a deferred check.
    pub fn record_attempt(
        &mut self,
        at: Micros,
        arrival: Arrival,
        list_knowledge: &mut ListKnowledge,
        context: &mut RuleContext,
    ) {
        if !self.belongs_to_request(at, arrival, context) {
            return;
        }
        let index = self.add_attempt(at, arrival, context);
        self.check_order(at, arrival, index, context);
        self.check_attempt_count(at, arrival.request, index, context);
        self.check_drained_node(at, arrival, list_knowledge, context);
    }

    /// Whether the attempt belongs to its request: the client submitted the request to the same proxy, or its
    /// submission has not been observed yet, and the attempt carries the session's key.
    fn belongs_to_request(&mut self, at: Micros, arrival: Arrival, context: &mut RuleContext) -> bool {
        let Arrival { attempt, request: id, session, proxy, .. } = arrival;
        let request = self.requests.entry(id).or_default();
        let same_proxy = request.submission.map(|submission| submission.incarnation.proxy == proxy);
        if same_proxy == Some(true)
            && request.answer.is_some()
            && context.misbehaving_clients.may_carry_stolen_id(at, proxy)
        {
            return false;
        }
        if same_proxy != Some(true) {
            let check = DeferredCheck::UnknownRequest(id, attempt, proxy, at);
            context.output.defer(at + context.rules.grace, check);
        }
        if same_proxy == Some(false) {
            return false;
        }
        if request.submission.is_some_and(|submission| session != Some(submission.session)) {
            let description = format!("at {}, with a key that is not its session's", format_seconds(at));
            self.report_violation(at, Rule::BadFirstLine, id, description, context.output);
            return false;
        }
        true
    }

    /// Adds the attempt to its request; returns its index.
    fn add_attempt(&mut self, at: Micros, arrival: Arrival, context: &mut RuleContext) -> usize {
        let Arrival { attempt, request: id, proxy, .. } = arrival;
        let generation = context.node_states.generation(attempt.node);
        let request = self.requests.entry(id).or_default();
        let index = request.attempts.len();
        request.attempts.push(AttemptRecord {
            attempt,
            proxy,
            at,
            generation,
            answer: None,
            rejected_at: None,
            ended: None,
        });
        self.by_attempt.insert(attempt, id);
        index
    }

    /// Checks that the attempt neither overlaps an earlier one nor follows a final answer other than `UP`.
    fn check_order(&mut self, at: Micros, arrival: Arrival, index: usize, context: &mut RuleContext) {
        let Arrival { request: id, first_byte, .. } = arrival;
        let Some(request) = self.requests.get(&id) else { return };
        if request.attempts[..index].iter().any(|earlier| earlier.is_in_flight(context.node_states)) {
            let check = DeferredCheck::OverlappingAttempts(id, index as u32);
            context.output.defer(at + context.rules.grace, check);
        } else if let Some((read_at, Answer::Busy(_) | Answer::Failed(_))) = request.answer
            && first_byte > read_at + context.rules.grace
        {
            let description = format!(
                "sent on at {}, after its final answer at {}",
                format_seconds(first_byte),
                format_seconds(read_at)
            );
            self.report_violation(at, Rule::OneFinalAnswer, id, description, context.output);
        }
    }

    /// Checks that the request has no more attempts than allowed.
    fn check_attempt_count(&mut self, at: Micros, id: RequestId, index: usize, context: &mut RuleContext) {
        if index as u32 >= context.rules.attempts {
            let description =
                format!("attempt {}, at most {} are allowed", index + 1, context.rules.attempts);
            self.report_violation(at, Rule::TooManyAttempts, id, description, context.output);
        }
    }

    /// Checks that the attempt does not go to a render node that the proxy has known to be draining or removed for
    /// longer than the limit.
    fn check_drained_node(
        &mut self,
        at: Micros,
        arrival: Arrival,
        list_knowledge: &mut ListKnowledge,
        context: &mut RuleContext,
    ) {
        let Arrival { attempt, request: id, proxy, first_byte, .. } = arrival;
        let limit = context.rules.stop_within + context.rules.grace;
        let unavailable_since = list_knowledge.unavailable_since(at, proxy, attempt.node);
        let Some(since) = unavailable_since.filter(|since| first_byte > since + limit) else { return };
        let description = format!(
            "first byte at {}, {} ms after the proxy learned at {} that the render node is draining or removed; \
             {} ms are allowed",
            format_seconds(first_byte),
            format_millis(first_byte - since),
            format_seconds(since),
            format_millis(limit)
        );
        self.report_violation(at, Rule::SendAfterDrain, id, description, context.output);
    }

    /// Records a render node's answer to an attempt.
    pub fn record_attempt_answer(
        &mut self,
        at: Micros,
        attempt: Attempt,
        answer: NodeAnswer,
        context: &mut RuleContext,
    ) {
        let Some((id, request, index)) = self.find_attempt(attempt) else { return };
        let record = &mut request.attempts[index];
        record.answer = Some(answer);
        match answer {
            NodeAnswer::Busy | NodeAnswer::Error => record.rejected_at = Some(at),
            NodeAnswer::Up(receipt) => {
                let client_read_it = matches!(request.answer, Some((_, Answer::Up(r))) if r == receipt);
                let unmatched = client_read_it && request.serving.is_none();
                self.receipts.insert(receipt, attempt);
                if unmatched {
                    self.match_receipt(at, id, receipt, context);
                }
            }
        }
    }

    /// Records the end of an attempt or of the connection that it opened.
    pub fn record_attempt_end(
        &mut self,
        at: Micros,
        attempt: Attempt,
        end: AttemptEnd,
        context: &mut RuleContext,
    ) {
        let Some((id, request, index)) = self.find_attempt(attempt) else { return };
        if request.attempts[index].ended.is_some() {
            return;
        }
        request.attempts[index].ended = Some((at, end));
        let proxy = request.attempts[index].proxy;
        if request.serving != Some(index)
            || !request.is_established()
            || !context.node_states.can_communicate(proxy, attempt.node)
        {
            return;
        }
        // If the client ended the connection, the render node's observation can precede the client's own.
        let check = if end == AttemptEnd::ByProxy {
            DeferredCheck::CutConnection(id)
        } else {
            DeferredCheck::EndedConnection(id)
        };
        context.output.defer(at + context.rules.ended_within + context.rules.grace, check);
    }

    /// Reports an attempt that overlaps an earlier one. Runs after the grace time, in which a late observation of
    /// either end arrives.
    pub fn check_overlap(&mut self, at: Micros, id: RequestId, index: u32, context: &mut RuleContext) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(later) =
            request.attempts.get(index as usize).filter(|record| record.is_in_flight(context.node_states))
        else {
            return;
        };
        let Some(earlier) =
            request.attempts[..index as usize].iter().find(|record| record.is_in_flight(context.node_states))
        else {
            return;
        };
        let description = format!(
            "an attempt at render node {} at {}, while the attempt of {} at render node {} is in flight, for over {} \
             ms (render nodes by their index in the plan)",
            later.attempt.node.0,
            format_seconds(later.at),
            format_seconds(earlier.at),
            earlier.attempt.node.0,
            format_millis(context.rules.grace)
        );
        self.report_violation(at, Rule::TwoAttempts, id, description, context.output);
    }

    /// Reports an attempt whose request no client sent to this proxy. Runs after the grace time, in which a late
    /// observation of the submission arrives.
    pub fn check_unknown_request(
        &mut self,
        at: Micros,
        (id, attempt, proxy, arrived_at): (RequestId, Attempt, ProxyId, Micros),
        context: &mut RuleContext,
    ) {
        let submission = self.requests.get(&id).and_then(|request| request.submission);
        if submission.is_some_and(|submission| submission.incarnation.proxy == proxy) {
            return;
        }
        if !context.misbehaving_clients.has_sent(id, proxy) {
            let subject = Subject {
                request: Some(id),
                node: Some(attempt.node),
                proxy: Some(proxy),
                ..Subject::default()
            };
            let description = format!(
                "at {}, with an id that no client has sent to this proxy",
                format_seconds(arrived_at)
            );
            context.output.report_violation(at, Rule::BadFirstLine, subject, description);
        }
        if submission.is_none() {
            self.forget(id);
        }
    }
}
