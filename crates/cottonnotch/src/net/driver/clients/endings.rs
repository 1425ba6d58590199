//! Ends requests and connections: final answers, clients that leave, migration and shutdown.

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

    /// Rejects a request, as the decision module has chosen.
    pub fn reject(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        request: RequestId,
        retry_after: Micros,
        reason: RejectionReason,
    ) {
        let reject = |client: &mut dyn ClientProtocol, io: &mut Io| client.reject(io, retry_after);
        if let Some(tracked) = self.send_final_answer(context, latency, request, reject) {
            context.audit.rejected(context.reactor.io.now(), &tracked, reason);
            let Context { records, rules, .. } = context;
            records.rejected(&tracked, retry_after, || rules.as_ref()?.basis(request));
        }
        context.rules.iter().for_each(|rules| rules.forget_request(request));
    }

    /// Fails a request, as the decision module has chosen.
    pub fn fail(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        request: RequestId,
        reason: RejectionReason,
    ) {
        let text = &"no attempt went well";
        let fail = |client: &mut dyn ClientProtocol, io: &mut Io| client.fail(io, text);
        if let Some(tracked) = self.send_final_answer(context, latency, request, fail) {
            context.audit.failed(context.reactor.io.now(), &tracked, reason);
            context.records.failed(&tracked, text);
        }
        context.rules.iter().for_each(|rules| rules.forget_request(request));
    }

    /// Sends the final answer and removes the request. Returns `None` if no answer was sent.
    fn send_final_answer(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        request: RequestId,
        answer: impl FnOnce(&mut dyn ClientProtocol, &mut Io) -> bool,
    ) -> Option<TrackedRequest> {
        let key = self.requests.key(request);
        invariant!(key.is_some(), "a final answer is given once, to a request that is owed one");
        // If the client left or was rejected, the request is removed when the report of that is handled.
        let answered = key.filter(|key| context.with_client(*key, answer) == Some(true));
        answered.and_then(|key| self.remove(context, latency, key))
    }

    /// Ends a request whose client was rejected with an error before it was answered.
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

    /// Handles a client that left before it was answered. Returns the events that the client is gone and that its
    /// attempt ended.
    pub fn handle_client_left(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        key: Key,
        outcome: Outcome,
    ) -> [Option<Event>; 2] {
        let Some(mut tracked) = self.remove(context, latency, key) else { return [None, None] };
        // A queued request has no attempt in flight, but may have had earlier ones. `Cancelled` keeps the module from
        // refunding what they used.
        let outcome = if tracked.attempt_began.is_some() { outcome } else { Outcome::Cancelled };
        end_attempt(context, &mut tracked, outcome);
        context.audit.client_left(&tracked);
        context.records.client_left(tracked.id);
        client_gone_events(tracked, outcome)
    }

    // ---- established connections ----

    /// The reason for which the decision module migrates a request.
    pub fn migration_reason(&self, endpoints: &Endpoints, request: RequestId) -> MoveReason {
        let key = self.requests.key(request);
        let latest_attempt = key.and_then(|key| self.requests.get(key)?.latest_attempt);
        let is_draining = latest_attempt.is_some_and(|(server, _)| endpoints.is_draining(server));
        if is_draining { MoveReason::Draining } else { MoveReason::PolicyRequest }
    }

    /// Migrates a client if its connection is established. Returns the event that the connection ended.
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
        let tracked = self.remove(context, latency, key)?;
        context.audit.migrated(&tracked, reason);
        let (server, attempt) = tracked.latest_attempt?;
        let outcome = Outcome::Cancelled;
        context.records.migrated(request, || endpoints.shared_name(server), reason);
        context.records.ended(request, outcome);
        Some(Event::Ended { request, attempt, server, outcome, last: true })
    }

    /// Records that a client was migrated because its endpoint stopped answering.
    pub fn record_silent_endpoint(&self, context: &Context, endpoints: &Endpoints, key: Key) {
        if let Some(TrackedRequest { id, latest_attempt: Some((server, _)), .. }) = self.requests.get(key) {
            let name = || endpoints.shared_name(*server);
            context.records.migrated(*id, name, MoveReason::Unresponsive);
        }
    }

    /// Handles the end of an established connection.
    pub fn handle_connection_ended(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        key: Key,
        outcome: Outcome,
    ) -> Option<Event> {
        let tracked = self.remove(context, latency, key)?;
        context.audit.ended(&tracked, outcome);
        context.records.ended(tracked.id, outcome);
        let (server, attempt) = tracked.latest_attempt?;
        Some(Event::Ended { request: tracked.id, attempt, server, outcome, last: true })
    }

    // ---- shutdown ----

    /// Cancels every attempt in flight when the proxy shuts down. The decision module then answers each request
    /// according to whether it may have run. The module does not know the connections that were open before the
    /// start; these are rejected, and their clients return to the same endpoint through another proxy.
    pub fn cancel_all_attempts(&mut self, context: &mut Context, latency: &mut MessageLatency) {
        let in_flight: Vec<Key> = self.requests.in_flight().map(|(key, _)| key).collect();
        for key in in_flight {
            context.with_client(key, |client, io| client.cancel_attempt(io, CancelScope::AnyAttempt));
        }
        for key in self.requests.reopening() {
            if context.with_client(key, |client, io| client.reject(io, 0)) != Some(true) {
                continue;
            }
            if let Some(mut tracked) = self.remove(context, latency, key) {
                end_attempt(context, &mut tracked, Outcome::Cancelled);
                context.records.rejected(&tracked, 0, || None);
            }
        }
    }
}

/// The events of a request whose client is gone: that the client closed, and that its latest attempt ended. The end
/// of the attempt is reported even if it ended before; otherwise a trial attempt would count as in flight forever.
fn client_gone_events(tracked: TrackedRequest, outcome: Outcome) -> [Option<Event>; 2] {
    if tracked.is_reopening() {
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
