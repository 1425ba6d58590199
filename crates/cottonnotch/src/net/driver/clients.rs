//! Clients and their requests: what they ask and how they fare becomes events, and what is decided of them is asked of
//! their fronts.

use super::acceptor::{Acceptor, FULL_RETRY_AFTER};
use super::context::{Context, LOG_TARGET, REOPEN};
use super::endpoints::Endpoints;
use super::message_latency::MessageLatency;
use super::request_table::{RequestTable, Stage, TrackedRequest};
use crate::config::Config;
use crate::net::invariant::invariant;
use crate::net::network_event::{AttemptOrder, CancelScope, ClientProtocol, ConnectionRequest, Io};
use crate::net::request_error::RequestError;
use cottonnotch_decision::settings::Profile;
use cottonnotch_decision::{
    ClassId, Event, Micros, Outcome, RejectionReason, Request, RequestId, ServerId, TenantId,
};
use cottonnotch_reactor::Key;
use cottonnotch_reactor::rate_limited_log::RateLimitedLog;
use cottonnotch_records::MoveReason;

/// A connection that was open before the start is tried again after this, until its client gives up.
const REOPEN_AFTER: Micros = 200_000;

/// Clients that have asked for a connection.
#[derive(Default)]
pub struct Clients {
    requests: RequestTable,
    reopening: Vec<Key>,
    socket_shortage_log: RateLimitedLog,
    rejection_log: RateLimitedLog,
}

impl Clients {
    pub fn requests(&self) -> &RequestTable {
        &self.requests
    }

    /// A client was turned away with an error; if it had asked already, that was its answer.
    pub fn handle_rejected(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        key: Key,
        why: &RequestError,
    ) -> [Option<Event>; 2] {
        self.log_rejection(context, why);
        let Some(mut tracked) = self.remove(latency, key) else {
            context.records.client_rejected(|| why.to_string().into());
            return [None, None];
        };
        end_attempt(context, &mut tracked, Outcome::Cancelled);
        if tracked.stage == Stage::Owed {
            context.audit.client_rejected(context.reactor.io.now(), &tracked);
        }
        context.records.failed(&tracked, why);
        client_gone_events(tracked, Outcome::Cancelled)
    }

    fn log_rejection(&mut self, context: &Context, why: &RequestError) {
        if let Some(more) = self.rejection_log.due(context.now()) {
            log::warn!(
                target: LOG_TARGET, reason:% = why, left_out = more;
                "client turned away: {why} ({more} more since the last such line)"
            );
        }
    }

    /// Says why a client is answered without an attempt, if a line of it must not reach an endpoint.
    fn validate(&self, config: &Config, wanted: &ConnectionRequest) -> Option<RequestError> {
        let Profile { tenants, settings, .. } = &config.profile;
        let is_unknown = |tenant: &String| !settings.tenants.is_empty() && tenants.find(tenant).is_none();
        if config.profile.class(&wanted.class).is_none() {
            Some(RequestError::UnknownClass)
        } else if wanted.tenant.as_ref().is_some_and(is_unknown) {
            Some(RequestError::UnknownTenant)
        } else if self.requests.has_wire_id(wanted.id) {
            Some(RequestError::IdOpen)
        } else {
            None
        }
    }

    /// A client wishes for a connection.
    pub fn handle_connection_request(
        &mut self,
        context: &mut Context,
        acceptor: &mut Acceptor,
        endpoints: &Endpoints,
        key: Key,
        wanted: ConnectionRequest,
    ) -> Option<Event> {
        if let Some(why) = self.validate(&context.config, &wanted) {
            self.log_rejection(context, &why);
            let class = context.config.profile.classes.find(&wanted.class);
            context.records.rejected_by_validation(class, || why.to_string().into());
            context.with_client(key, |client, io| client.fail(io, &why));
            return None;
        }
        if !acceptor.make_room_for_attempt(context, self.requests.len()) {
            self.reject_for_sockets(context, key, &wanted);
            return None;
        }
        let profile = &context.config.profile;
        let class = profile.class(&wanted.class)?;
        let id = self.requests.new_id();
        let request = Request {
            id,
            class: ClassId(class as u16),
            tenant: wanted.tenant.and_then(|t| profile.tenants.find(&t)).map(|t| TenantId(t as u16)),
            left: wanted.time_left,
            load_hint: wanted.load_hint,
            group: wanted.group,
            again: wanted.is_repeat,
        };
        context.records.request(&request, wanted.id);
        if context.with_client(key, |client, io| client.is_awaiting_answer(io)) != Some(true) {
            // It left, or sent too much, right behind its line: what the report of that finds is nobody. Guards the turns
            // and set-ups of others: the module would try for it again and again, each time for nothing.
            context.records.client_left(request.id);
            return None;
        }
        let tracked = TrackedRequest::new(id, class, wanted.id, wanted.group);
        // One that names an endpoint which is not known is a new connection like any other.
        match wanted.current_endpoint.and_then(|at| endpoints.find(&at)) {
            None => {
                context.audit.requested(context.reactor.io.now(), &request, tracked.wire_id);
                self.requests.insert(key, tracked);
                Some(Event::Request(request))
            }
            Some(at) => {
                let stage = Stage::Reopening(Box::new(request));
                self.requests.insert(key, TrackedRequest { at: Some((at, 0)), stage, ..tracked });
                self.reopen(context, endpoints, key);
                None
            }
        }
    }

    /// Guards against running out of descriptors: one that waited unanswered would not come again.
    fn reject_for_sockets(&mut self, context: &mut Context, key: Key, wanted: &ConnectionRequest) {
        if let Some(more) = self.socket_shortage_log.due(context.now()) {
            let (requests, sockets) = (self.requests.len(), context.config.sockets);
            log::warn!(
                target: LOG_TARGET, requests, sockets, left_out = more;
                "out of sockets, a client gets a rejection ({more} more since)"
            );
        }
        let class = context.config.profile.classes.find(&wanted.class);
        context.records.rejected_for_sockets(class, || "out of sockets".into());
        context.with_client(key, |client, io| client.reject(io, FULL_RETRY_AFTER));
    }

    // ---- attempts ----

    /// Makes an attempt for a request; an event if it can't even begin.
    pub fn start_attempt(
        &mut self,
        context: &mut Context,
        endpoints: &Endpoints,
        request: RequestId,
        server: ServerId,
        timeout: Micros,
        before: Option<Micros>,
    ) -> Option<Event> {
        let key = self.requests.key(request);
        let tracked = key.and_then(|key| self.requests.get_mut(key));
        let (Some(key), Some(tracked)) = (key, tracked) else {
            invariant!(false, "an attempt is made for a request that is owed an answer");
            return None;
        };
        let attempt = tracked.attempts;
        tracked.at = Some((server, attempt));
        if context.with_client(key, |client, io| client.is_awaiting_answer(io)) != Some(true) {
            // It has left, which is reported and ends this attempt too.
            tracked.attempts += 1;
            return None;
        }
        let not_sent = Event::Ended { request, attempt, server, outcome: Outcome::NotSent, last: false };
        if !context.audit.may_send(context.reactor.io.now(), tracked, server) {
            tracked.attempts += 1;
            return Some(not_sent);
        }
        if begin_attempt(context, endpoints, key, tracked, server, timeout, before) {
            return None;
        }
        Some(not_sent)
    }

    /// The last byte of an attempt's first line was written.
    pub fn handle_attempt_written(&self, context: &mut Context, key: Key) {
        context.records.written();
        if let Some(tracked) = self.requests.get(key) {
            context.audit.written(context.reactor.io.now(), tracked);
        }
    }

    /// Takes a connection that was open before the start back to its endpoint.
    fn reopen(&mut self, context: &mut Context, endpoints: &Endpoints, key: Key) {
        if context.with_client(key, |client, io| client.is_awaiting_answer(io)) != Some(true) {
            // It has left, which is reported.
            return;
        }
        let Some(tracked) = self.requests.get_mut(key) else { return };
        let Some((server, _)) = tracked.at else { return };
        if !begin_attempt(context, endpoints, key, tracked, server, 0, None) {
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

    /// An attempt has ended without having been up: that, and before it that its client is gone, if it is.
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
        let Some((server, attempt)) = tracked.at else { return [None, None] };
        let request = tracked.id;
        let ended = Event::Ended { request, attempt, server, outcome, last: false };
        // One that left is reported, and forgotten then. The module hears of it first: no turn, set-up or budget of others'
        // is taken for an attempt that is not made.
        let is_waiting = context.with_client(key, |client, io| client.is_awaiting_answer(io)) == Some(true);
        [(!is_waiting).then_some(Event::ClientClosed(request)), Some(ended)]
    }

    /// An attempt's endpoint took it.
    pub fn handle_established(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        endpoints: &Endpoints,
        key: Key,
        elapsed: Micros,
    ) -> Option<Event> {
        let tracked = self.requests.get_mut(key)?;
        let (server, attempt) = tracked.at?;
        tracked.began = None;
        context.records.up(tracked, || endpoints.shared_name(server), elapsed);
        let (event, setup) = match std::mem::replace(&mut tracked.stage, Stage::Up) {
            Stage::Reopening(request) => {
                context.audit.reopened(&request, tracked.wire_id);
                (Event::Open { request: *request, server }, None)
            }
            _ => {
                context.audit.up(context.reactor.io.now(), tracked);
                (Event::Established { request: tracked.id, attempt, server, elapsed }, Some(elapsed))
            }
        };
        latency.connection_opened(context.now(), tracked, server, setup);
        Some(event)
    }

    // ---- endings ----

    /// A final answer that the module has decided on: a rejection.
    pub fn reject(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        request: RequestId,
        after: Micros,
        why: RejectionReason,
    ) {
        if let Some(tracked) =
            self.give_final_answer(context, latency, request, |client, io| client.reject(io, after))
        {
            context.audit.refused(context.reactor.io.now(), &tracked, why);
            let Context { records, rules, .. } = context;
            records.refused(&tracked, after, || rules.as_ref()?.basis(request));
        }
        context.rules.iter().for_each(|rules| rules.forget_request(request));
    }

    /// A final answer that the module has decided on: a failure.
    pub fn fail(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        request: RequestId,
        why: RejectionReason,
    ) {
        let reason = &"no attempt went well";
        if let Some(tracked) =
            self.give_final_answer(context, latency, request, |client, io| client.fail(io, reason))
        {
            context.audit.failed(context.reactor.io.now(), &tracked, why);
            context.records.failed(&tracked, reason);
        }
        context.rules.iter().for_each(|rules| rules.forget_request(request));
    }

    /// `None`: no answer was given.
    fn give_final_answer(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        request: RequestId,
        give: impl FnOnce(&mut dyn ClientProtocol, &mut Io) -> bool,
    ) -> Option<TrackedRequest> {
        let key = self.requests.key(request);
        invariant!(key.is_some(), "a final answer is given once, to a request that is owed one");
        // One that left or was turned away is forgotten when the report of that has its turn.
        let given = key.filter(|key| context.with_client(*key, give) == Some(true));
        given.and_then(|key| self.remove(latency, key))
    }

    /// Why the module moves it.
    pub fn migration_reason(&self, endpoints: &Endpoints, request: RequestId) -> MoveReason {
        let at = self.requests.key(request).and_then(|key| self.requests.get(key)?.at);
        let is_draining = at.is_some_and(|(server, _)| endpoints.is_draining(server));
        if is_draining { MoveReason::Draining } else { MoveReason::PolicyRequest }
    }

    /// Moves a client away, if it is up; an event of how its connection ended.
    pub fn migrate(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        endpoints: &Endpoints,
        request: RequestId,
        why: MoveReason,
    ) -> Option<Event> {
        let key = self.requests.key(request)?;
        if context.with_client(key, |client, io| client.migrate(io)) != Some(true) {
            return None;
        }
        let tracked = self.remove(latency, key)?;
        context.audit.moved(&tracked, why);
        let (server, attempt) = tracked.at?;
        let outcome = Outcome::Cancelled;
        context.records.moved(request, || endpoints.shared_name(server), why);
        context.records.ended(request, outcome);
        Some(Event::Ended { request, attempt, server, outcome, last: true })
    }

    /// A client was moved since its endpoint returned nothing any more.
    pub fn record_silent_endpoint(&self, context: &Context, endpoints: &Endpoints, key: Key) {
        if let Some(TrackedRequest { id, at: Some((server, _)), .. }) = self.requests.get(key) {
            context.records.moved(*id, || endpoints.shared_name(*server), MoveReason::Unresponsive);
        }
    }

    /// A connection that was up has ended.
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
        let (server, attempt) = tracked.at?;
        Some(Event::Ended { request: tracked.id, attempt, server, outcome, last: true })
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
        // One that is held has had its attempts: what they used must not be given back.
        let outcome = if tracked.began.is_some() { outcome } else { Outcome::Cancelled };
        end_attempt(context, &mut tracked, outcome);
        context.audit.client_left(&tracked);
        context.records.client_left(tracked.id);
        client_gone_events(tracked, outcome)
    }

    /// Attempts whose line is not written yet and whose endpoint may get nothing new any more are called off.
    pub fn cancel_unwritten_attempts(&self, context: &mut Context, endpoints: &Endpoints) {
        for (key, server) in self.requests.attempted() {
            if !endpoints.is_ready(server) {
                context.with_client(key, |client, io| client.cancel_attempt(io, CancelScope::UnwrittenOnly));
            }
        }
    }

    /// The proxy leaves: every attempt that is out is called off, and the module answers by what may have run. Whoever was
    /// open before the start is unknown to it, and goes back to where it came from by another proxy.
    pub fn abandon_attempts(&mut self, context: &mut Context, latency: &mut MessageLatency) {
        let out: Vec<Key> = self.requests.attempted().map(|(key, _)| key).collect();
        for key in out {
            context.with_client(key, |client, io| client.cancel_attempt(io, CancelScope::AnyAttempt));
        }
        for key in self.requests.reopening() {
            if context.with_client(key, |client, io| client.reject(io, 0)) != Some(true) {
                continue;
            }
            if let Some(mut tracked) = self.remove(latency, key) {
                end_attempt(context, &mut tracked, Outcome::Cancelled);
                context.records.refused(&tracked, 0, || None);
            }
        }
    }

    fn remove(&mut self, latency: &mut MessageLatency, key: Key) -> Option<TrackedRequest> {
        let tracked = self.requests.remove(key)?;
        latency.request_over(&tracked);
        Some(tracked)
    }
}

/// Makes an attempt; false if it could not even be begun.
fn begin_attempt(
    context: &mut Context,
    endpoints: &Endpoints,
    key: Key,
    tracked: &mut TrackedRequest,
    server: ServerId,
    timeout: Micros,
    before: Option<Micros>,
) -> bool {
    tracked.attempts += 1;
    tracked.began = Some(context.now());
    let basis = || context.rules.as_ref()?.basis(tracked.id);
    context.records.attempt(tracked.id, tracked.latest(), || endpoints.shared_name(server), timeout, basis);
    let connect_timeout = context.config.profile.connect_timeout;
    let act_by = context.rules.as_ref().and_then(|rules| rules.write_deadline(tracked.id));
    let order = endpoints.address(server);
    let order = order.map(|address| AttemptOrder { address, timeout, connect_timeout, act_by, before });
    let begun = order.and_then(|order| context.with_client(key, |client, io| client.attempt(io, order)));
    if begun != Some(true) {
        end_attempt(context, tracked, Outcome::NotSent);
    }
    begun == Some(true)
}

/// An attempt is over, if one is out.
fn end_attempt(context: &mut Context, tracked: &mut TrackedRequest, outcome: Outcome) {
    if let Some(began) = tracked.began.take() {
        context.audit.attempt_ended(tracked, outcome);
        tracked.last_outcome = Some(outcome);
        context.records.attempt_ended(tracked.id, tracked.latest(), outcome, context.now() - began);
    }
}

/// What the module hears of a request whose client is gone: that, and the end of its attempt, which is told of each,
/// or a trial would be out for ever.
fn client_gone_events(tracked: TrackedRequest, outcome: Outcome) -> [Option<Event>; 2] {
    if let Stage::Reopening(_) = tracked.stage {
        return [None, None];
    }
    let request = tracked.id;
    let ended =
        tracked.at.map(|(server, attempt)| Event::Ended { request, attempt, server, outcome, last: true });
    [Some(Event::ClientClosed(request)), ended]
}
