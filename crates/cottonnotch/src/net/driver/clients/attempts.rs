//! Starts, cancels and ends the attempts of requests.

use super::Clients;
use crate::net::client_protocol::{AttemptParameters, CancelScope};
use crate::net::driver::context::{Context, REOPEN_TIMER};
use crate::net::driver::endpoints::Endpoints;
use crate::net::driver::message_latency::MessageLatency;
use crate::net::driver::request_table::{Stage, TrackedRequest};
use crate::net::invariant::invariant;
use cottonnotch_decision::{Event, Micros, Outcome, RequestId, ServerId};
use cottonnotch_reactor::Key;

/// Interval between the attempts to reopen a connection that was open before this process started. They are repeated
/// until the client gives up.
const REOPEN_DELAY: Micros = 200_000;
/// How long a connection that was open before this process started waits for a first list from discovery, if the
/// list of the configuration does not have its endpoint.
const LIST_TIMEOUT: Micros = 10_000_000;

/// The endpoint and the time limits of an attempt, as the decision module chose them.
#[derive(Clone, Copy, Debug)]
pub struct AttemptPlan {
    /// The endpoint.
    pub server: ServerId,
    /// Time after which the attempt ends as timed out. 0 means no time-out: the attempt lasts until the client gives
    /// up.
    pub timeout: Micros,
    /// The first line is either written before this time or not at all.
    pub write_deadline: Option<Micros>,
}

impl Clients {
    /// Starts an attempt for a request. Returns an event if the attempt could not be started.
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
            // The client has left. The report of this ends the attempt too.
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

    /// Records that the last byte of an attempt's first line was written.
    pub fn handle_attempt_written(&mut self, context: &mut Context, key: Key) {
        context.records.attempt_written();
        if let Some(tracked) = self.requests.get_mut(key) {
            tracked.attempt_written = true;
            context.audit.attempt_written(context.reactor.io.now(), tracked);
        }
    }

    /// Handles an attempt that ended without a connection. Returns the event of the ended attempt, preceded by the
    /// event that the client is gone, if it is.
    pub fn handle_attempt_ended(
        &mut self,
        context: &mut Context,
        key: Key,
        outcome: Outcome,
    ) -> [Option<Event>; 2] {
        let Some(tracked) = self.requests.get_mut(key) else { return [None, None] };
        end_attempt(context, tracked, outcome);
        if tracked.is_reopening() {
            self.schedule_reopen(context, key);
            return [None, None];
        }
        let Some((server, attempt)) = tracked.latest_attempt else { return [None, None] };
        let request = tracked.id;
        let ended = Event::Ended { request, attempt, server, outcome, last: false };
        // A client that left is reported later, and its request is removed then. The module must learn of the
        // departure before the end of the attempt: otherwise it would use a queue place, set-up or budget of other
        // requests for an attempt that is not made.
        let client_closed = (!context.is_awaiting_answer(key)).then_some(Event::ClientClosed(request));
        [client_closed, Some(ended)]
    }

    /// Handles an attempt whose endpoint accepted the connection.
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
        tracked.has_run = true;
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

    /// Cancels attempts whose line is not written yet and whose endpoint may no longer receive new requests.
    pub fn cancel_unwritten_attempts(&self, context: &mut Context, endpoints: &Endpoints) {
        for (key, server) in self.requests.in_flight() {
            if !endpoints.is_ready(server) {
                context.with_client(key, |client, io| client.cancel_attempt(io, CancelScope::UnwrittenOnly));
            }
        }
    }

    // ---- connections that were open before the start ----

    /// Starts an attempt to reconnect a client to the endpoint that it was connected to before this process started.
    fn reopen(&mut self, context: &mut Context, endpoints: &Endpoints, key: Key) {
        if !context.is_awaiting_answer(key) {
            // The client has left, which is reported separately.
            return;
        }
        let Some(tracked) = self.requests.get_mut(key) else { return };
        let Some((server, _)) = tracked.latest_attempt else { return };
        let plan = AttemptPlan { server, timeout: 0, write_deadline: None };
        if !begin_attempt(context, endpoints, key, tracked, plan) {
            self.schedule_reopen(context, key);
        }
    }

    fn schedule_reopen(&mut self, context: &mut Context, key: Key) {
        // One timer for all: each that fires retries all.
        if self.reopening.is_empty() {
            context.set_timer(REOPEN_DELAY, REOPEN_TIMER);
        }
        self.reopening.push(key);
    }

    /// Retries all connections that wait to be reopened. Called when `REOPEN_TIMER` fires. Returns the events of
    /// those that can only be opened anew.
    pub fn reopen_all(&mut self, context: &mut Context, endpoints: &Endpoints) -> Vec<Event> {
        let waiting = std::mem::take(&mut self.reopening).into_iter();
        waiting.filter_map(|key| self.resume_reopening(context, endpoints, key)).collect()
    }

    /// Reopens a connection, or waits for the list if it does not have the connection's endpoint yet. Returns the event
    /// of a connection whose endpoint does not exist: it is opened anew elsewhere.
    pub(super) fn resume_reopening(
        &mut self,
        context: &mut Context,
        endpoints: &Endpoints,
        key: Key,
    ) -> Option<Event> {
        let tracked = self.requests.get_mut(key)?;
        let Stage::AwaitingList(unlisted) = &tracked.stage else {
            self.reopen(context, endpoints, key);
            return None;
        };
        let waited = context.now() - unlisted.since;
        let server = endpoints.find(&unlisted.endpoint);
        if server.is_none() && !endpoints.has_discovery_list() && waited < LIST_TIMEOUT {
            self.schedule_reopen(context, key);
            return None;
        }
        let mut request = unlisted.request.clone();
        if let Some(server) = server {
            tracked.latest_attempt = Some((server, 0));
            tracked.stage = Stage::Reopening(Box::new(request));
            self.reopen(context, endpoints, key);
            return None;
        }
        if !context.is_awaiting_answer(key) {
            // The client has left, which is reported separately.
            return None;
        }
        request.left = request.left.map(|left| (left - waited).max(0));
        tracked.stage = Stage::AwaitingAnswer;
        context.audit.requested(context.now(), &request, tracked.wire_id);
        Some(Event::Request(request))
    }
}

/// Starts an attempt; returns false if it could not be started.
fn begin_attempt(
    context: &mut Context,
    endpoints: &Endpoints,
    key: Key,
    tracked: &mut TrackedRequest,
    AttemptPlan { server, timeout, write_deadline }: AttemptPlan,
) -> bool {
    tracked.attempts += 1;
    tracked.attempt_began = Some(context.now());
    let basis = || context.rules.as_ref()?.basis(tracked.id);
    let name = || endpoints.shared_name(server);
    context.records.attempt(tracked.id, tracked.latest_attempt_number(), name, timeout, basis);
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

/// Records the end of the attempt in flight, if there is one.
pub(super) fn end_attempt(context: &mut Context, tracked: &mut TrackedRequest, outcome: Outcome) {
    if let Some(began) = tracked.attempt_began.take() {
        context.audit.attempt_ended(tracked, outcome);
        tracked.last_outcome = Some(outcome);
        tracked.has_run |= tracked.may_have_run() && !outcome.never_ran();
        tracked.attempt_written = false;
        let elapsed = context.now() - began;
        context.records.attempt_ended(tracked.id, tracked.latest_attempt_number(), outcome, elapsed);
    }
}
