//! Rules on what a render node gets: one attempt at a time, not too many, nothing after a drain, no line of the
//! proxy's own making.

use super::deferred_checks::DeferredCheck;
use super::list_knowledge::ListKnowledge;
use super::request_table::{AttemptRecord, RequestTable, RuleContext};
use super::rule::Rule;
use super::rule_output::Subject;
use super::units::{format_millis, format_seconds};
use crate::observation::{Answer, Attempt, NodeAnswer, Over, RequestId};
use crate::plan::{ProxyId, SessionId};
use crate::time::Micros;

/// An attempt, as it arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    pub attempt: Attempt,
    pub request: RequestId,
    pub session: Option<SessionId>,
    pub proxy: ProxyId,
    pub first_byte: Micros,
}

impl RequestTable {
    pub fn record_attempt(
        &mut self,
        at: Micros,
        arrival: Arrival,
        list_knowledge: &mut ListKnowledge,
        context: &mut RuleContext,
    ) {
        let Arrival { attempt, request: id, session, proxy, first_byte } = arrival;
        let request = self.requests.entry(id).or_default();
        let known = request.submission.map(|a| a.incarnation.0 == proxy);
        if known == Some(true)
            && request.answer.is_some()
            && context.misbehaving_clients.may_carry_stolen_id(at, proxy)
        {
            return;
        }
        if known != Some(true) {
            context
                .output
                .defer(at + context.rules.grace, DeferredCheck::UnknownRequest(id, attempt, proxy, at));
        }
        if known == Some(false) {
            // Another proxy's request has no part in it.
            return;
        }
        if request.submission.is_some_and(|submission| session != Some(submission.session)) {
            let description = format!("at {}, with a key that is not its session's", format_seconds(at));
            self.report_violation(at, Rule::BadFirstLine, id, description, context.output);
            return;
        }
        let generation = context.node_states.generation(attempt.node);
        let overlapping = request.attempts.iter().any(|t| t.is_in_flight(context.node_states));
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
        if overlapping {
            context
                .output
                .defer(at + context.rules.grace, DeferredCheck::OverlappingAttempts(id, index as u32));
        } else if let Some((read, Answer::Busy(_) | Answer::Failed(_))) = request.answer
            && first_byte > read + context.rules.grace
        {
            let description = format!(
                "sent on at {}, after its final answer at {}",
                format_seconds(first_byte),
                format_seconds(read)
            );
            self.report_violation(at, Rule::OneFinalAnswer, id, description, context.output);
        }
        if index as u32 >= context.rules.attempts {
            let description =
                format!("attempt {}, at most {} are allowed", index + 1, context.rules.attempts);
            self.report_violation(at, Rule::TooManyAttempts, id, description, context.output);
        }
        let limit = context.rules.stop_within + context.rules.grace;
        if let Some(since) = list_knowledge
            .unavailable_since(at, proxy, attempt.node)
            .filter(|since| first_byte > since + limit)
        {
            let description = format!(
                "first byte at {}, {} ms after the proxy was told at {} that the render node drains or is gone; {} ms \
                 are allowed",
                format_seconds(first_byte),
                format_millis(first_byte - since),
                format_seconds(since),
                format_millis(limit)
            );
            self.report_violation(at, Rule::SendAfterDrain, id, description, context.output);
        }
    }

    pub fn record_attempt_answer(
        &mut self,
        at: Micros,
        attempt: Attempt,
        answer: NodeAnswer,
        context: &mut RuleContext,
    ) {
        let Some((id, request, index)) = self.find_attempt(attempt) else { return };
        let this = &mut request.attempts[index];
        this.answer = Some(answer);
        match answer {
            NodeAnswer::Busy | NodeAnswer::Error => this.rejected_at = Some(at),
            NodeAnswer::Up(receipt) => {
                let read = matches!(request.answer, Some((_, Answer::Up(r))) if r == receipt);
                let waiting = read && request.serving.is_none();
                self.receipts.insert(receipt, attempt);
                if waiting {
                    self.match_receipt(at, id, receipt, context);
                }
            }
        }
    }

    pub fn record_attempt_end(
        &mut self,
        at: Micros,
        attempt: Attempt,
        over: Over,
        context: &mut RuleContext,
    ) {
        let Some((id, request, index)) = self.find_attempt(attempt) else { return };
        if request.attempts[index].ended.is_some() {
            return;
        }
        request.attempts[index].ended = Some((at, over));
        let proxy = request.attempts[index].proxy;
        if request.serving != Some(index)
            || !request.is_established()
            || !context.node_states.can_communicate(proxy, attempt.node)
        {
            return;
        }
        // The client's own end may be on its way, and passed on to the render node first.
        let check = if over == Over::ByProxy {
            DeferredCheck::CutConnection(id)
        } else {
            DeferredCheck::EndedConnection(id)
        };
        context.output.defer(at + context.rules.ended_within + context.rules.grace, check);
    }

    /// An attempt arrived while an earlier one was out; whoever ended one of them has noted it by now.
    pub fn check_overlap(&mut self, at: Micros, id: RequestId, index: u32, context: &mut RuleContext) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(later) =
            request.attempts.get(index as usize).filter(|t| t.is_in_flight(context.node_states))
        else {
            return;
        };
        let Some(earlier) =
            request.attempts[..index as usize].iter().find(|t| t.is_in_flight(context.node_states))
        else {
            return;
        };
        let description = format!(
            "an attempt at render node {} at {}, while that of {} at render node {} is out, for over {} ms (numbers as in \
             the plan)",
            later.attempt.node.0,
            format_seconds(later.at),
            format_seconds(earlier.at),
            earlier.attempt.node.0,
            format_millis(context.rules.grace)
        );
        self.report_violation(at, Rule::TwoAttempts, id, description, context.output);
    }

    /// A client's word on this request has been noted by now, if there was one.
    pub fn check_unknown_request(
        &mut self,
        at: Micros,
        (id, attempt, proxy, since): (RequestId, Attempt, ProxyId, Micros),
        context: &mut RuleContext,
    ) {
        let submission = self.requests.get(&id).and_then(|r| r.submission);
        if submission.is_some_and(|a| a.incarnation.0 == proxy) {
            return;
        }
        if !context.misbehaving_clients.has_sent(id, proxy) {
            let subject = Subject {
                request: Some(id),
                node: Some(attempt.node),
                proxy: Some(proxy),
                ..Subject::default()
            };
            let description =
                format!("at {}, with an id that no client has put to this proxy", format_seconds(since));
            context.output.report_violation(at, Rule::BadFirstLine, subject, description);
        }
        if submission.is_none() {
            self.forget(id);
        }
    }
}
