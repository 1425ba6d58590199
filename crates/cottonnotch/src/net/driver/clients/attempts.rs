//! Attempts of requests: how they begin, are cancelled and end.

use super::Clients;
use crate::net::client_protocol::{AttemptParameters, CancelScope};
use crate::net::driver::context::{Context, REOPEN};
use crate::net::driver::endpoints::Endpoints;
use crate::net::driver::message_latency::MessageLatency;
use crate::net::driver::request_table::{Stage, TrackedRequest};
use crate::net::invariant::invariant;
use cottonnotch_decision::{Event, Micros, Outcome, RequestId, ServerId};
use cottonnotch_reactor::Key;

/// A connection that was open before the start is tried again after this, until its client gives up.
const REOPEN_AFTER: Micros = 200_000;

/// Where an attempt goes, and its times, as the decision module has it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptPlan {
    /// Where it goes.
    pub server: ServerId,
    /// It ends as timed out after this; 0: when the client gives up.
    pub timeout: Micros,
    /// Its first line is written before this or not at all.
    pub write_deadline: Option<Micros>,
}

impl Clients {
    /// Makes an attempt for a request; an event if it can't even begin.
    pub fn start_attempt(
        &mut self,
        context: &mut Context,
        endpoints: &Endpoints,
        request: RequestId,
        plan: AttemptPlan,
    ) -> Option<Event> {
        let key = self.requests.key(request);
        let tracked = key.and_then(|key| self.requests.get_mut(key));
        let (Some(key), Some(tracked)) = (key, tracked) else {
            invariant!(false, "an attempt is made for a request that is owed an answer");
            return None;
        };
        let (server, attempt) = (plan.server, tracked.attempts);
        tracked.latest_attempt = Some((server, attempt));
        if !context.is_awaiting_answer(key) {
            // It has left, which is reported and ends this attempt too.
            tracked.attempts += 1;
            return None;
        }
        let not_sent = Event::Ended { request, attempt, server, outcome: Outcome::NotSent, last: false };
        if !context.audit.may_send(context.reactor.io.now(), tracked, server) {
            tracked.attempts += 1;
            return Some(not_sent);
        }
        let has_begun = begin_attempt(context, endpoints, key, tracked, plan);
        (!has_begun).then_some(not_sent)
    }

    /// The last byte of an attempt's first line was written.
    pub fn handle_attempt_written(&self, context: &mut Context, key: Key) {
        context.records.attempt_written();
        if let Some(tracked) = self.requests.get(key) {
            context.audit.attempt_written(context.reactor.io.now(), tracked);
        }
    }

    /// An attempt has ended without a connection: that, and before it that its client is gone, if it is.
    pub fn handle_attempt_ended(
        &mut self,
        context: &mut Context,
        key: Key,
        outcome: Outcome,
    ) -> [Option<Event>; 2] {
        let Some(tracked) = self.requests.get_mut(key) else { return [None, None] };
        end_attempt(context, tracked, outcome);
        if let Stage::Reopening(_) = tracked.stage {
            self.reopen_later(context, key);
            return [None, None];
        }
        let Some((server, attempt)) = tracked.latest_attempt else { return [None, None] };
        let request = tracked.id;
        let ended = Event::Ended { request, attempt, server, outcome, last: false };
        // A client that left is reported, and its request removed then. The module hears of it first: no queue place, set-up
        // or budget of others' is used for an attempt that is not made.
        let client_closed = (!context.is_awaiting_answer(key)).then_some(Event::ClientClosed(request));
        [client_closed, Some(ended)]
    }

    /// An attempt's endpoint accepted the connection.
    pub fn handle_established(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        endpoints: &Endpoints,
        key: Key,
        elapsed: Micros,
    ) -> Option<Event> {
        let tracked = self.requests.get_mut(key)?;
        let (server, attempt) = tracked.latest_attempt?;
        tracked.attempt_began = None;
        context.records.established(tracked, || endpoints.shared_name(server), elapsed);
        let (event, setup) = match std::mem::replace(&mut tracked.stage, Stage::Established) {
            Stage::Reopening(request) => {
                context.audit.reopened(&request, tracked.wire_id);
                (Event::Open { request: *request, server }, None)
            }
            _ => {
                context.audit.established(context.reactor.io.now(), tracked);
                (Event::Established { request: tracked.id, attempt, server, elapsed }, Some(elapsed))
            }
        };
        latency.connection_opened(context.now(), tracked, server, setup);
        Some(event)
    }

    /// Cancels attempts whose line is not written yet and whose endpoint may get nothing new any more.
    pub fn cancel_unwritten_attempts(&self, context: &mut Context, endpoints: &Endpoints) {
        for (key, server) in self.requests.attempted() {
            if !endpoints.is_ready(server) {
                context.with_client(key, |client, io| client.cancel_attempt(io, CancelScope::UnwrittenOnly));
            }
        }
    }

    // ---- connections from before the start ----

    /// Takes a connection that was open before the start back to its endpoint.
    pub(super) fn reopen(&mut self, context: &mut Context, endpoints: &Endpoints, key: Key) {
        if !context.is_awaiting_answer(key) {
            // It has left, which is reported.
            return;
        }
        let Some(tracked) = self.requests.get_mut(key) else { return };
        let Some((server, _)) = tracked.latest_attempt else { return };
        let plan = AttemptPlan { server, timeout: 0, write_deadline: None };
        if !begin_attempt(context, endpoints, key, tracked, plan) {
            self.reopen_later(context, key);
        }
    }

    fn reopen_later(&mut self, context: &mut Context, key: Key) {
        self.reopening.push(key);
        context.set_timer(REOPEN_AFTER, REOPEN);
    }

    /// The timer for that is due.
    pub fn reopen_all(&mut self, context: &mut Context, endpoints: &Endpoints) {
        for key in std::mem::take(&mut self.reopening) {
            self.reopen(context, endpoints, key);
        }
    }
}

/// Makes an attempt; false if it could not even begin.
fn begin_attempt(
    context: &mut Context,
    endpoints: &Endpoints,
    key: Key,
    tracked: &mut TrackedRequest,
    AttemptPlan { server, timeout, write_deadline }: AttemptPlan,
) -> bool {
    tracked.attempts += 1;
    tracked.attempt_began = Some(context.now());
    let verdict = || context.rules.as_ref()?.basis(tracked.id);
    let name = || endpoints.shared_name(server);
    context.records.attempt(tracked.id, tracked.latest_attempt_number(), name, timeout, verdict);
    let connect_timeout = context.config.profile.connect_timeout;
    let rules_write_deadline = context.rules.as_ref().and_then(|rules| rules.write_deadline(tracked.id));
    let parameters = endpoints.address(server).map(|address| AttemptParameters {
        address,
        timeout,
        connect_timeout,
        rules_write_deadline,
        write_deadline,
    });
    let begun = parameters
        .and_then(|parameters| context.with_client(key, |client, io| client.start_attempt(io, parameters)));
    if begun != Some(true) {
        end_attempt(context, tracked, Outcome::NotSent);
    }
    begun == Some(true)
}

/// Notes that the attempt in flight is over, if there is one.
pub(super) fn end_attempt(context: &mut Context, tracked: &mut TrackedRequest, outcome: Outcome) {
    if let Some(began) = tracked.attempt_began.take() {
        context.audit.attempt_ended(tracked, outcome);
        tracked.last_outcome = Some(outcome);
        let elapsed = context.now() - began;
        context.records.attempt_ended(tracked.id, tracked.latest_attempt_number(), outcome, elapsed);
    }
}
