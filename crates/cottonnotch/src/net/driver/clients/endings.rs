//! How requests and their connections end.

use super::Clients;
use super::attempts::end_attempt;
use crate::net::client_protocol::{CancelScope, ClientProtocol};
use crate::net::driver::context::Context;
use crate::net::driver::endpoints::Endpoints;
use crate::net::driver::message_latency::MessageLatency;
use crate::net::driver::request_table::{Stage, TrackedRequest};
use crate::net::invariant::invariant;
use crate::net::network_event::Io;
use crate::net::request_error::RequestError;
use cottonnotch_decision::{Event, Micros, Outcome, RejectionReason, RequestId};
use cottonnotch_reactor::Key;
use cottonnotch_records::MoveReason;

impl Clients {
    // ---- final answers ----

    /// Gives the final answer that the decision module has chosen: a rejection.
    pub fn reject(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        request: RequestId,
        retry_after: Micros,
        reason: RejectionReason,
    ) {
        let reject = |client: &mut dyn ClientProtocol, io: &mut Io| client.reject(io, retry_after);
        if let Some(tracked) = self.give_final_answer(context, latency, request, reject) {
            context.audit.rejected(context.reactor.io.now(), &tracked, reason);
            let Context { records, rules, .. } = context;
            records.rejected(&tracked, retry_after, || rules.as_ref()?.basis(request));
        }
        context.rules.iter().for_each(|rules| rules.forget_request(request));
    }

    /// Gives the final answer that the decision module has chosen: a failure.
    pub fn fail(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        request: RequestId,
        reason: RejectionReason,
    ) {
        let text = &"no attempt went well";
        let fail = |client: &mut dyn ClientProtocol, io: &mut Io| client.fail(io, text);
        if let Some(tracked) = self.give_final_answer(context, latency, request, fail) {
            context.audit.failed(context.reactor.io.now(), &tracked, reason);
            context.records.failed(&tracked, text);
        }
        context.rules.iter().for_each(|rules| rules.forget_request(request));
    }

    /// `None`: no answer was given.
    fn give_final_answer(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        request: RequestId,
        answer: impl FnOnce(&mut dyn ClientProtocol, &mut Io) -> bool,
    ) -> Option<TrackedRequest> {
        let key = self.requests.key(request);
        invariant!(key.is_some(), "a final answer is given once, to a request that is owed one");
        // A client that left or was rejected is removed when the report of that has its turn.
        let answered = key.filter(|key| context.with_client(*key, answer) == Some(true));
        answered.and_then(|key| self.remove(latency, key))
    }

    /// The client was rejected with an error before its request had an answer.
    pub(super) fn end_rejected(
        &self,
        context: &mut Context,
        mut tracked: TrackedRequest,
        error: &RequestError,
    ) -> [Option<Event>; 2] {
        end_attempt(context, &mut tracked, Outcome::Cancelled);
        if tracked.stage == Stage::AwaitingAnswer {
            context.audit.client_rejected(context.reactor.io.now(), &tracked);
        }
        context.records.failed(&tracked, error);
        client_gone_events(tracked, Outcome::Cancelled)
    }

    /// A client left before its answer: that, and the end of its attempt.
    pub fn handle_client_left(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        key: Key,
        outcome: Outcome,
    ) -> [Option<Event>; 2] {
        let Some(mut tracked) = self.remove(latency, key) else { return [None, None] };
        // A request that is queued has had its attempts: what they used must not be given back.
        let outcome = if tracked.attempt_began.is_some() { outcome } else { Outcome::Cancelled };
        end_attempt(context, &mut tracked, outcome);
        context.audit.client_left(&tracked);
        context.records.client_left(tracked.id);
        client_gone_events(tracked, outcome)
    }

    // ---- established connections ----

    /// Why the decision module migrates a request.
    pub fn migration_reason(&self, endpoints: &Endpoints, request: RequestId) -> MoveReason {
        let key = self.requests.key(request);
        let latest_attempt = key.and_then(|key| self.requests.get(key)?.latest_attempt);
        let is_draining = latest_attempt.is_some_and(|(server, _)| endpoints.is_draining(server));
        if is_draining { MoveReason::Draining } else { MoveReason::PolicyRequest }
    }

    /// Migrates a client, if it is established; the event of how its connection ended.
    pub fn migrate(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        endpoints: &Endpoints,
        request: RequestId,
        reason: MoveReason,
    ) -> Option<Event> {
        let key = self.requests.key(request)?;
        if context.with_client(key, |client, io| client.migrate(io)) != Some(true) {
            return None;
        }
        let tracked = self.remove(latency, key)?;
        context.audit.migrated(&tracked, reason);
        let (server, attempt) = tracked.latest_attempt?;
        let outcome = Outcome::Cancelled;
        context.records.migrated(request, || endpoints.shared_name(server), reason);
        context.records.ended(request, outcome);
        Some(Event::Ended { request, attempt, server, outcome, last: true })
    }

    /// A client was migrated since its endpoint had stopped answering.
    pub fn record_silent_endpoint(&self, context: &Context, endpoints: &Endpoints, key: Key) {
        if let Some(TrackedRequest { id, latest_attempt: Some((server, _)), .. }) = self.requests.get(key) {
            let name = || endpoints.shared_name(*server);
            context.records.migrated(*id, name, MoveReason::Unresponsive);
        }
    }

    /// An established connection has ended.
    pub fn handle_connection_ended(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        key: Key,
        outcome: Outcome,
    ) -> Option<Event> {
        let tracked = self.remove(latency, key)?;
        context.audit.ended(&tracked, outcome);
        context.records.ended(tracked.id, outcome);
        let (server, attempt) = tracked.latest_attempt?;
        Some(Event::Ended { request: tracked.id, attempt, server, outcome, last: true })
    }

    // ---- shutdown ----

    /// The proxy shuts down: every attempt in flight is cancelled, and the decision module answers by what may have run.
    /// Connections from before the start are unknown to it, and go back to their endpoint by another proxy.
    pub fn cancel_all_attempts(&mut self, context: &mut Context, latency: &mut MessageLatency) {
        let in_flight: Vec<Key> = self.requests.attempted().map(|(key, _)| key).collect();
        for key in in_flight {
            context.with_client(key, |client, io| client.cancel_attempt(io, CancelScope::AnyAttempt));
        }
        for key in self.requests.reopening() {
            if context.with_client(key, |client, io| client.reject(io, 0)) != Some(true) {
                continue;
            }
            if let Some(mut tracked) = self.remove(latency, key) {
                end_attempt(context, &mut tracked, Outcome::Cancelled);
                context.records.rejected(&tracked, 0, || None);
            }
        }
    }
}

/// The events of a request whose client is gone: that, and the end of its latest attempt, which is reported in any case,
/// or a trial attempt would count as in flight for ever.
fn client_gone_events(tracked: TrackedRequest, outcome: Outcome) -> [Option<Event>; 2] {
    if let Stage::Reopening(_) = tracked.stage {
        return [None, None];
    }
    let request = tracked.id;
    let ended = tracked.latest_attempt.map(|(server, attempt)| Event::Ended {
        request,
        attempt,
        server,
        outcome,
        last: true,
    });
    [Some(Event::ClientClosed(request)), ended]
}
