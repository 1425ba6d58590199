//! Rules on established connections: the proxy does not cut them, forwards lines in time, forwards the render node's
//! end of a connection, and detects a silent render node.

use super::deferred_checks::DeferredCheck;
use super::request_table::{ClientEnd, Request, RequestTable, RuleContext};
use super::rule::Rule;
use super::units::{format_millis, format_seconds};
use crate::observation::{Answer, Attempt, AttemptEnd, ProxyClose, RequestId};
use crate::plan::NodeId;
use crate::time::Micros;

impl RequestTable {
    /// Records that the client read a `MOVE` line.
    pub fn record_move(&mut self, at: Micros, id: RequestId, context: &mut RuleContext) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.moved_at.get_or_insert(at);
        self.client_finished(at, id, context.output);
    }

    /// Records that the render node's process ended or was replaced, which ended all its established connections.
    pub fn process_changed(&mut self, at: Micros, node: NodeId, context: &mut RuleContext) {
        for id in self.established_at(node) {
            let Some(request) = self.requests.get_mut(&id) else { continue };
            let Some(attempt) = request.serving.and_then(|index| request.attempts.get_mut(index)) else {
                continue;
            };
            if attempt.ended.is_none() && context.node_states.can_communicate(attempt.proxy, node) {
                attempt.ended = Some((at, AttemptEnd::Cut));
                context.output.defer(
                    at + context.rules.ended_within + context.rules.grace,
                    DeferredCheck::EndedConnection(id),
                );
            }
        }
    }

    /// Reports a connection that the proxy ended without a cause that permits it. Runs after a delay in which a late
    /// observation of such a cause arrives.
    pub fn check_cut(&mut self, at: Micros, id: RequestId, context: &mut RuleContext) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.is_established() {
            return self.check_half_closed(at, id, context);
        }
        if request.moved_at.is_some() {
            return;
        }
        let Some((ended_at, ClientEnd::ByProxy(close))) = request.client_end else { return };
        let (Some(submission), Some(serving)) = (request.submission, request.serving_attempt()) else {
            return;
        };
        let latest_cause = ended_at + context.rules.grace;
        let ended_by_node = serving
            .ended
            .is_some_and(|(node_ended_at, end)| end != AttemptEnd::ByProxy && node_ended_at <= latest_cause);
        let process_changed = context.node_states.generation(serving.attempt.node) != serving.generation
            && context
                .node_states
                .process_changed_at(serving.attempt.node)
                .is_some_and(|changed_at| changed_at <= latest_cause);
        if ended_by_node
            || process_changed
            || !request.responsive_at_end
            || context.processes.excuses_request(submission.incarnation, submission.at, ended_at)
        {
            return;
        }
        let read_at = request.answer.as_ref().map_or(submission.at, |(read_at, _)| *read_at);
        let verb = if close == ProxyClose::Closed { "closed" } else { "reset" };
        let node_side = match serving.ended {
            Some((node_ended_at, _)) => {
                format!("ended the render node's side at {}", format_seconds(node_ended_at))
            }
            None => "kept the render node's side open".to_owned(),
        };
        let description = format!(
            "established since {}, {verb} at {} without MOVE; the proxy {node_side}, and the render \
             node still responded",
            format_seconds(read_at),
            format_seconds(ended_at)
        );
        self.report_violation(at, Rule::CutWithoutMove, id, description, context.output);
    }

    /// Reports a connection whose render node's side the proxy ended while the client's side is still open.
    fn check_half_closed(&mut self, at: Micros, id: RequestId, context: &mut RuleContext) {
        let Some(request) = self.requests.get(&id) else { return };
        let (Some(submission), Some(serving)) = (request.submission, request.serving_attempt()) else {
            return;
        };
        let Some((ended_at, AttemptEnd::ByProxy)) = serving.ended else { return };
        let responsive = context
            .node_states
            .responsive_since(serving.proxy, serving.attempt.node)
            .is_some_and(|since| since <= ended_at);
        if responsive && context.processes.is_running(submission.incarnation) {
            let description = format!(
                "the proxy ended the render node's side at {}; the client's side is still open {} ms \
                 later, without MOVE",
                format_seconds(ended_at),
                format_millis(at - ended_at)
            );
            self.report_violation(at, Rule::CutWithoutMove, id, description, context.output);
        }
    }

    /// Records a line that the client sent, and defers the checks of its delivery and return.
    pub fn record_line_sent(&mut self, at: Micros, id: RequestId, line: u32, context: &mut RuleContext) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.is_established()) else { return };
        if request.to_node.record_departure(line, at) {
            context.output.defer(
                at + context.rules.line_held + context.rules.grace,
                DeferredCheck::LineToNode(id, line),
            );
        }
        if request.unreturned.record_departure(line, at) {
            context.output.defer(
                at + context.rules.silent_within + context.rules.grace,
                DeferredCheck::SilentConnection(id, line),
            );
        }
    }

    /// Records that a client's line reached the render node.
    pub fn record_line_at_node(&mut self, attempt: Attempt, line: u32) {
        if let Some((_, request, _)) = self.find_attempt(attempt) {
            request.to_node.record_arrival(line);
        }
    }

    /// Records a line that the render node returned, and defers the check of its delivery to the client.
    pub fn record_line_returned(
        &mut self,
        at: Micros,
        attempt: Attempt,
        line: u32,
        context: &mut RuleContext,
    ) {
        let Some((id, request, _)) = self.find_attempt(attempt) else { return };
        request.unreturned.record_arrival(line);
        if request.to_client.record_departure(line, at) {
            context.output.defer(
                at + context.rules.line_held + context.rules.grace,
                DeferredCheck::LineToClient(id, line),
            );
        }
    }

    /// Records that a returned line reached the client.
    pub fn record_line_back(&mut self, id: RequestId, line: u32) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.to_client.record_arrival(line);
        }
    }

    /// Reports a line that has not reached the render node.
    pub fn check_line_to_node(&mut self, at: Micros, id: RequestId, line: u32, context: &mut RuleContext) {
        let Some(request) = self.requests.get(&id) else { return };
        if let Some(sent_at) = request.to_node.departed_at(line)
            && can_deliver(request, sent_at, context)
        {
            self.report_delayed_line(
                at,
                id,
                format!("line {line}, sent by the client at {}, ", format_seconds(sent_at)),
                context,
            );
        }
    }

    /// Reports a returned line that has not reached the client.
    pub fn check_line_to_client(&mut self, at: Micros, id: RequestId, line: u32, context: &mut RuleContext) {
        let Some(request) = self.requests.get(&id) else { return };
        if let Some(sent_at) = request.to_client.departed_at(line)
            && can_deliver(request, sent_at, context)
        {
            self.report_delayed_line(
                at,
                id,
                format!("line {line}, returned by the render node at {}, ", format_seconds(sent_at)),
                context,
            );
        }
    }

    fn report_delayed_line(&mut self, at: Micros, id: RequestId, line: String, context: &mut RuleContext) {
        let limit = format_millis(context.rules.line_held + context.rules.grace);
        let description = format!("{line}has not reached the other end {limit} ms later; both ends are open");
        self.report_violation(at, Rule::LineDelayed, id, description, context.output);
    }

    /// Reports a connection that is still open [`Rules::ended_within`](crate::plan::Rules) after its render node ended
    /// it.
    pub fn check_ended(&mut self, at: Micros, id: RequestId, context: &mut RuleContext) {
        let Some(request) = self.requests.get(&id).filter(|r| r.is_established()) else { return };
        let (Some(submission), Some(serving)) = (request.submission, request.serving_attempt()) else {
            return;
        };
        let Some((ended_at, end)) = serving.ended else { return };
        if !context.processes.is_running(submission.incarnation)
            || !context.node_states.can_communicate(serving.proxy, serving.attempt.node)
        {
            return;
        }
        let how = match end {
            AttemptEnd::Bye => "with BYE",
            AttemptEnd::Move => "with MOVE",
            AttemptEnd::Cut | AttemptEnd::ByProxy => "without BYE or MOVE",
        };
        let description = format!(
            "the render node ended it at {} {how}; the client's side is still open {} ms later, without MOVE",
            format_seconds(ended_at),
            format_millis(at - ended_at)
        );
        self.report_violation(at, Rule::EndedConnectionOpen, id, description, context.output);
    }

    /// Reports a connection that is still open although its render node has been silent for
    /// [`Rules::silent_within`](crate::plan::Rules) and did not return the line.
    pub fn check_silent(&mut self, at: Micros, id: RequestId, line: u32, context: &mut RuleContext) {
        let Some(request) = self.requests.get(&id).filter(|r| r.is_established()) else { return };
        let Some(sent_at) = request.unreturned.departed_at(line) else { return };
        let (Some(submission), Some(serving)) = (request.submission, request.serving_attempt()) else {
            return;
        };
        if serving.ended.is_some() || !context.processes.is_running(submission.incarnation) {
            return;
        }
        let Some(silent_since) = context.node_states.silent_since(serving.proxy, serving.attempt.node) else {
            return;
        };
        // A line that was sent before the silence began: the time limit starts with the silence.
        let due = silent_since.max(sent_at) + context.rules.silent_within + context.rules.grace;
        if due > at {
            return context.output.defer(due, DeferredCheck::SilentConnection(id, line));
        }
        let description = format!(
            "line {line}, sent at {}, was not returned by a render node that has been silent since {}; the client's \
             side is still open {} ms later, without MOVE",
            format_seconds(sent_at),
            format_seconds(silent_since),
            format_millis(at - sent_at)
        );
        self.report_violation(at, Rule::SilentConnectionOpen, id, description, context.output);
    }
}

/// Whether the line could be delivered at all times since it was sent: both ends were open, the proxy was running, and
/// the render node responded to the proxy.
fn can_deliver(request: &Request, sent_at: Micros, context: &RuleContext) -> bool {
    let (Some(submission), Some(serving)) = (request.submission, request.serving_attempt()) else {
        return false;
    };
    request.is_established()
        && matches!(request.answer, Some((_, Answer::Up(_))))
        && serving.ended.is_none()
        && context.node_states.generation(serving.attempt.node) == serving.generation
        && context.processes.is_running(submission.incarnation)
        && context
            .node_states
            .responsive_since(serving.proxy, serving.attempt.node)
            .is_some_and(|since| since <= sent_at)
}
