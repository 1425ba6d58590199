//! Admission of requests: a valid request is tracked and handed to the decision module, an invalid one is answered
//! with an error at once.

use super::Clients;
use crate::config::Config;
use crate::net::connection_request::ConnectionRequest;
use crate::net::driver::acceptor::Acceptor;
use crate::net::driver::context::Context;
use crate::net::driver::endpoints::Endpoints;
use crate::net::driver::log_target::LOG_TARGET;
use crate::net::driver::message_latency::MessageLatency;
use crate::net::driver::open_ids::{ClaimOutcome, ClaimedRequest, IdState};
use crate::net::driver::request_table::{Stage, TrackedRequest, UnlistedRequest};
use crate::net::final_answer::FULL_RETRY_AFTER;
use crate::net::request_error::RequestError;
use cottonnotch_decision::settings::Profile;
use cottonnotch_decision::{ClassId, Event, Micros, Request, RequestId, TenantId};
use cottonnotch_reactor::Key;

impl Clients {
    /// Handles a client's request for a connection. Returns the event for the decision module, or `None` if the
    /// client is answered here or its connection is only reopened.
    pub fn handle_connection_request(
        &mut self,
        context: &mut Context,
        acceptor: &mut Acceptor,
        endpoints: &Endpoints,
        key: Key,
        connection_request: ConnectionRequest,
    ) -> Option<Event> {
        if let Some(error) = self.validate(&context.config, &connection_request) {
            self.reject_invalid(context, key, &connection_request, &error);
            return None;
        }
        let claimed = self.open_ids.claim(context, key, connection_request)?;
        self.admit(context, acceptor, endpoints, key, claimed)
    }

    /// Handles a request whose claim of its id has ended. Returns the same as [`Self::handle_connection_request`].
    pub fn handle_claimed_request(
        &mut self,
        context: &mut Context,
        acceptor: &mut Acceptor,
        endpoints: &Endpoints,
        ClaimedRequest { key, request, outcome }: ClaimedRequest,
    ) -> Option<Event> {
        match outcome {
            ClaimOutcome::Taken => self.reject_invalid(context, key, &request, &RequestError::DuplicateId),
            ClaimOutcome::Unavailable => self.reject_unverified(context, key, &request),
            ClaimOutcome::Granted => {
                // The settings may have changed during the claim.
                if let Some(error) = unknown_name(&context.config, &request) {
                    self.open_ids.release(request.id);
                    self.reject_invalid(context, key, &request, &error);
                } else {
                    return self.admit(context, acceptor, endpoints, key, request);
                }
            }
        }
        None
    }

    /// Admits a request whose id is claimed, and releases the id if the request is answered here.
    fn admit(
        &mut self,
        context: &mut Context,
        acceptor: &mut Acceptor,
        endpoints: &Endpoints,
        key: Key,
        connection_request: ConnectionRequest,
    ) -> Option<Event> {
        let id = connection_request.id;
        let event = self.track(context, acceptor, endpoints, key, connection_request);
        if self.requests.get(key).is_none() {
            self.open_ids.release(id);
        }
        event
    }

    fn track(
        &mut self,
        context: &mut Context,
        acceptor: &mut Acceptor,
        endpoints: &Endpoints,
        key: Key,
        connection_request: ConnectionRequest,
    ) -> Option<Event> {
        if !acceptor.ensure_descriptor_for_attempt(context, self.requests.len()) {
            self.reject_for_sockets(context, key, &connection_request);
            return None;
        }
        let request = to_request(&context.config.profile, self.requests.next_id(), &connection_request)?;
        context.records.request(&request, connection_request.id);
        if !context.is_awaiting_answer(key) {
            // The client left, or sent more than its line, before the request was tracked, so the report of this will
            // find no request. If the module received such a request, it would retry it repeatedly and use up
            // attempts and set-ups of other requests.
            context.records.client_left(request.id);
            return None;
        }
        let tracked = TrackedRequest::new(
            request.id,
            u32::from(request.class.0),
            connection_request.id,
            connection_request.group,
        );
        let Some(endpoint) = connection_request.current_endpoint else {
            context.audit.requested(context.now(), &request, tracked.wire_id);
            self.requests.insert(key, tracked);
            return Some(Event::Request(request));
        };
        let since = context.now();
        let stage = Stage::AwaitingList(Box::new(UnlistedRequest { request, endpoint, since }));
        self.requests.insert(key, TrackedRequest { stage, ..tracked });
        self.resume_reopening(context, endpoints, key)
    }

    /// The error with which a client is answered without an attempt, or `None` if its request may go to an endpoint.
    fn validate(&self, config: &Config, connection_request: &ConnectionRequest) -> Option<RequestError> {
        let taken = self.open_ids.state(connection_request.id).map(|state| match state {
            IdState::Open(_) => RequestError::DuplicateId,
            IdState::Used => RequestError::UsedId,
        });
        unknown_name(config, connection_request).or(taken)
    }

    fn reject_invalid(
        &mut self,
        context: &mut Context,
        key: Key,
        connection_request: &ConnectionRequest,
        error: &RequestError,
    ) {
        self.log_rejection(context, error);
        let class = context.config.profile.classes.find(&connection_request.class);
        context.records.rejected_as_invalid(class, || error.to_string().into());
        context.with_client(key, |client, io| client.fail(io, error));
    }

    /// Rejects a client because the proxy has run out of descriptors. A client that is left waiting without an answer
    /// would not come back.
    fn reject_for_sockets(
        &mut self,
        context: &mut Context,
        key: Key,
        connection_request: &ConnectionRequest,
    ) {
        if let Some(more) = self.socket_shortage_log.due(context.now()) {
            let (requests, sockets) = (self.requests.len(), context.config.sockets);
            log::warn!(
                target: LOG_TARGET, requests, sockets, left_out = more;
                "out of sockets, a client is rejected ({more} more since)"
            );
        }
        let class = context.config.profile.classes.find(&connection_request.class);
        context.records.rejected_before_request(class, || "out of sockets".into());
        context.with_client(key, |client, io| client.reject(io, FULL_RETRY_AFTER));
    }

    /// Rejects a client because it is unknown whether its id is open at another process of this proxy.
    fn reject_unverified(&mut self, context: &mut Context, key: Key, connection_request: &ConnectionRequest) {
        if let Some(left_out) = self.unverified_log.due(context.now()) {
            log::warn!(
                target: LOG_TARGET, left_out;
                "client rejected: it is unknown whether its id is open at another process ({left_out} more since)"
            );
        }
        let class = context.config.profile.classes.find(&connection_request.class);
        context.records.rejected_before_request(class, || "its id may be open".into());
        context.with_client(key, |client, io| client.reject(io, FULL_RETRY_AFTER));
    }

    /// Rejects the requests whose claims take too long.
    pub fn expire_claims(&mut self, context: &mut Context, now: Micros) {
        for ClaimedRequest { key, request, .. } in self.open_ids.expire(now) {
            self.reject_unverified(context, key, &request);
        }
    }

    /// Handles a client that was rejected with an error. If the client had a request already, the error was its
    /// answer.
    pub fn handle_rejected(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        key: Key,
        error: &RequestError,
    ) -> [Option<Event>; 2] {
        self.log_rejection(context, error);
        let Some(tracked) = self.remove(context, latency, key) else {
            context.records.client_rejected(|| error.to_string().into());
            return [None, None];
        };
        self.end_rejected(context, tracked, error)
    }

    fn log_rejection(&mut self, context: &Context, error: &RequestError) {
        if let Some(more) = self.rejection_log.due(context.now()) {
            log::warn!(
                target: LOG_TARGET, reason:% = error, left_out = more;
                "client rejected: {error} ({more} more since the last such line)"
            );
        }
    }
}

/// The error if the settings do not have the request's class or tenant.
fn unknown_name(config: &Config, connection_request: &ConnectionRequest) -> Option<RequestError> {
    let Profile { tenants, settings, .. } = &config.profile;
    let is_unknown = |tenant: &String| !settings.tenants.is_empty() && tenants.find(tenant).is_none();
    if config.profile.class(&connection_request.class).is_none() {
        Some(RequestError::UnknownClass)
    } else if connection_request.tenant.as_ref().is_some_and(is_unknown) {
        Some(RequestError::UnknownTenant)
    } else {
        None
    }
}

/// Converts a request to the numbers that the settings assign. Returns `None` if the class has no number.
fn to_request(profile: &Profile, id: RequestId, connection_request: &ConnectionRequest) -> Option<Request> {
    let class = profile.class(&connection_request.class)?;
    let tenant = connection_request.tenant.as_ref().and_then(|tenant| profile.tenants.find(tenant));
    Some(Request {
        id,
        class: ClassId(class as u16),
        tenant: tenant.map(|tenant| TenantId(tenant as u16)),
        left: connection_request.time_left,
        load_hint: connection_request.load_hint,
        group: connection_request.group,
        again: connection_request.is_repeat,
    })
}
