//! Clients and their RPCs: what they ask and how they fare becomes events, and what is decided of them is asked of
//! their fronts.

use super::acceptor::{Arrivals, FULL_RETRY_AFTER};
use super::context::{Net, PART, REOPEN};
use super::endpoints::Subchannels;
use super::message_latency::Messages;
use super::request_table::{Call, Calls, Stage};
use crate::config::Config;
use crate::net::invariant::invariant;
use crate::net::network_event::{AttemptOrder, CallOff, Front, Io, Wish};
use crate::net::request_error::Objection;
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
    calls: Calls,
    reopening: Vec<Key>,
    crowded: RateLimitedLog,
    rejections: RateLimitedLog,
}

impl Clients {
    pub fn calls(&self) -> &Calls {
        &self.calls
    }

    /// A client was turned away with an error; if it had asked already, that was its answer.
    pub fn turned_away(
        &mut self,
        net: &mut Net,
        messages: &mut Messages,
        key: Key,
        why: &Objection,
    ) -> [Option<Event>; 2] {
        self.log_rejection(net, why);
        let Some(mut call) = self.forget(messages, key) else {
            net.records.turned_away(|| why.to_string().into());
            return [None, None];
        };
        end_attempt(net, &mut call, Outcome::Cancelled);
        if call.stage == Stage::Owed {
            net.audit.turned_away(net.reactor.io.now(), &call);
        }
        net.records.failed(&call, why);
        gone(call, Outcome::Cancelled)
    }

    fn log_rejection(&mut self, net: &Net, why: &Objection) {
        if let Some(more) = self.rejections.due(net.now()) {
            log::warn!(
                target: PART, reason:% = why, left_out = more;
                "client turned away: {why} ({more} more since the last such line)"
            );
        }
    }

    /// Says why a client is answered without an attempt, if a line of it must not reach a subchannel.
    fn objection(&self, config: &Config, wish: &Wish) -> Option<Objection> {
        let Profile { tenants, settings, .. } = &config.profile;
        let stranger = |tenant: &String| !settings.tenants.is_empty() && tenants.find(tenant).is_none();
        if config.profile.class(&wish.class).is_none() {
            Some(Objection::UnknownClass)
        } else if wish.tenant.as_ref().is_some_and(stranger) {
            Some(Objection::UnknownTenant)
        } else if self.calls.has_wire_id(wish.id) {
            Some(Objection::IdOpen)
        } else {
            None
        }
    }

    /// A client wishes for a connection.
    pub fn asked(
        &mut self,
        net: &mut Net,
        arrivals: &mut Arrivals,
        subchannels: &Subchannels,
        key: Key,
        wish: Wish,
    ) -> Option<Event> {
        if let Some(why) = self.objection(&net.config, &wish) {
            self.log_rejection(net, &why);
            let class = net.config.profile.classes.find(&wish.class);
            net.records.objected(class, || why.to_string().into());
            net.with_front(key, |front, io| front.fail(io, &why));
            return None;
        }
        if !arrivals.make_room_for_call(net, self.calls.len()) {
            self.left_out(net, key, &wish);
            return None;
        }
        let profile = &net.config.profile;
        let class = profile.class(&wish.class)?;
        let id = self.calls.new_id();
        let request = Request {
            id,
            class: ClassId(class as u16),
            tenant: wish.tenant.and_then(|t| profile.tenants.find(&t)).map(|t| TenantId(t as u16)),
            left: wish.left,
            load_hint: wish.load_hint,
            group: wish.group,
            again: wish.again,
        };
        net.records.request(&request, wish.id);
        if net.with_front(key, |front, io| front.awaits_answer(io)) != Some(true) {
            // It left, or sent too much, right behind its line: what the report of that finds is nobody. Guards the turns
            // and set-ups of others: the module would try for it again and again, each time for nothing.
            net.records.client_left(request.id);
            return None;
        }
        let call = Call::new(id, class, wish.id, wish.group);
        // One that names a subchannel which is not known is a new connection like any other.
        match wish.at.and_then(|at| subchannels.find(&at)) {
            None => {
                net.audit.requested(net.reactor.io.now(), &request, call.wire_id);
                self.calls.insert(key, call);
                Some(Event::Request(request))
            }
            Some(at) => {
                let stage = Stage::Reopening(Box::new(request));
                self.calls.insert(key, Call { at: Some((at, 0)), stage, ..call });
                self.reopen(net, subchannels, key);
                None
            }
        }
    }

    /// Guards against running out of descriptors: one that waited unanswered would not come again.
    fn left_out(&mut self, net: &mut Net, key: Key, wish: &Wish) {
        if let Some(more) = self.crowded.due(net.now()) {
            let (rpcs, sockets) = (self.calls.len(), net.config.sockets);
            log::warn!(
                target: PART, rpcs, sockets, left_out = more;
                "out of sockets, a client gets the unavailable status ({more} more since)"
            );
        }
        let class = net.config.profile.classes.find(&wish.class);
        net.records.left_out(class, || "out of sockets".into());
        net.with_front(key, |front, io| front.unavailable(io, FULL_RETRY_AFTER));
    }

    // ---- attempts ----

    /// Makes a call attempt for a request; an event if it can't even begin.
    pub fn send(
        &mut self,
        net: &mut Net,
        subchannels: &Subchannels,
        request: RequestId,
        server: ServerId,
        timeout: Micros,
        before: Option<Micros>,
    ) -> Option<Event> {
        let key = self.calls.key(request);
        let call = key.and_then(|key| self.calls.get_mut(key));
        let (Some(key), Some(call)) = (key, call) else {
            invariant!(false, "an attempt is made for a request that is owed an answer");
            return None;
        };
        let attempt = call.attempts;
        call.at = Some((server, attempt));
        if net.with_front(key, |front, io| front.awaits_answer(io)) != Some(true) {
            // It has left, which is reported and ends this attempt too.
            call.attempts += 1;
            return None;
        }
        let not_sent = Event::Ended { request, attempt, server, outcome: Outcome::NotSent, last: false };
        if !net.audit.may_send(net.reactor.io.now(), call, server) {
            call.attempts += 1;
            return Some(not_sent);
        }
        if begin_attempt(net, subchannels, key, call, server, timeout, before) {
            return None;
        }
        Some(not_sent)
    }

    /// The last byte of an attempt's first line was written.
    pub fn written(&self, net: &mut Net, key: Key) {
        net.records.written();
        if let Some(call) = self.calls.get(key) {
            net.audit.written(net.reactor.io.now(), call);
        }
    }

    /// Takes a connection that was open before the start back to its subchannel.
    fn reopen(&mut self, net: &mut Net, subchannels: &Subchannels, key: Key) {
        if net.with_front(key, |front, io| front.awaits_answer(io)) != Some(true) {
            // It has left, which is reported.
            return;
        }
        let Some(call) = self.calls.get_mut(key) else { return };
        let Some((server, _)) = call.at else { return };
        if !begin_attempt(net, subchannels, key, call, server, 0, None) {
            self.reopen_later(net, key);
        }
    }

    fn reopen_later(&mut self, net: &mut Net, key: Key) {
        self.reopening.push(key);
        net.timer_in(REOPEN_AFTER, REOPEN);
    }

    /// The timer for that is due.
    pub fn reopen_all(&mut self, net: &mut Net, subchannels: &Subchannels) {
        for key in std::mem::take(&mut self.reopening) {
            self.reopen(net, subchannels, key);
        }
    }

    /// An attempt has ended without having been up: that, and before it that its client is gone, if it is.
    pub fn attempt_ended(&mut self, net: &mut Net, key: Key, outcome: Outcome) -> [Option<Event>; 2] {
        let Some(call) = self.calls.get_mut(key) else { return [None, None] };
        end_attempt(net, call, outcome);
        if let Stage::Reopening(_) = call.stage {
            self.reopen_later(net, key);
            return [None, None];
        }
        let Some((server, attempt)) = call.at else { return [None, None] };
        let request = call.id;
        let ended = Event::Ended { request, attempt, server, outcome, last: false };
        // One that left is reported, and forgotten then. The module hears of it first: no turn, set-up or budget of others'
        // is taken for an attempt that is not made.
        let is_there = net.with_front(key, |front, io| front.awaits_answer(io)) == Some(true);
        [(!is_there).then_some(Event::ClientClosed(request)), Some(ended)]
    }

    /// An attempt's subchannel took it.
    pub fn up(
        &mut self,
        net: &mut Net,
        messages: &mut Messages,
        subchannels: &Subchannels,
        key: Key,
        elapsed: Micros,
    ) -> Option<Event> {
        let call = self.calls.get_mut(key)?;
        let (server, attempt) = call.at?;
        call.began = None;
        net.records.up(call, || subchannels.shared_name(server), elapsed);
        let (event, setup) = match std::mem::replace(&mut call.stage, Stage::Up) {
            Stage::Reopening(request) => {
                net.audit.reopened(&request, call.wire_id);
                (Event::Open { request: *request, server }, None)
            }
            _ => {
                net.audit.up(net.reactor.io.now(), call);
                (Event::Established { request: call.id, attempt, server, elapsed }, Some(elapsed))
            }
        };
        messages.opened(net.now(), call, server, setup);
        Some(event)
    }

    // ---- endings ----

    /// A final answer that the module has decided on: the unavailable status.
    pub fn refuse(
        &mut self,
        net: &mut Net,
        messages: &mut Messages,
        request: RequestId,
        after: Micros,
        why: RejectionReason,
    ) {
        if let Some(call) = self.answer(net, messages, request, |front, io| front.unavailable(io, after)) {
            net.audit.refused(net.reactor.io.now(), &call, why);
            let Net { records, rules, .. } = net;
            records.refused(&call, after, || rules.as_ref()?.basis(request));
        }
        net.rules.iter().for_each(|rules| rules.forget_request(request));
    }

    /// A final answer that the module has decided on: a failure.
    pub fn fail(&mut self, net: &mut Net, messages: &mut Messages, request: RequestId, why: RejectionReason) {
        let words = &"no attempt went well";
        if let Some(call) = self.answer(net, messages, request, |front, io| front.fail(io, words)) {
            net.audit.failed(net.reactor.io.now(), &call, why);
            net.records.failed(&call, words);
        }
        net.rules.iter().for_each(|rules| rules.forget_request(request));
    }

    /// `None`: no answer was given.
    fn answer(
        &mut self,
        net: &mut Net,
        messages: &mut Messages,
        request: RequestId,
        give: impl FnOnce(&mut dyn Front, &mut Io) -> bool,
    ) -> Option<Call> {
        let key = self.calls.key(request);
        invariant!(key.is_some(), "a final answer is given once, to a request that is owed one");
        // One that left or was turned away is forgotten when the report of that has its turn.
        let given = key.filter(|key| net.with_front(*key, give) == Some(true));
        given.and_then(|key| self.forget(messages, key))
    }

    /// Why the module moves it.
    pub fn reason_to_move(&self, subchannels: &Subchannels, request: RequestId) -> MoveReason {
        let at = self.calls.key(request).and_then(|key| self.calls.get(key)?.at);
        let is_draining = at.is_some_and(|(server, _)| subchannels.is_draining(server));
        if is_draining { MoveReason::Draining } else { MoveReason::PolicyRequest }
    }

    /// Moves a client away, if it is up; an event of how its connection ended.
    pub fn move_away(
        &mut self,
        net: &mut Net,
        messages: &mut Messages,
        subchannels: &Subchannels,
        request: RequestId,
        why: MoveReason,
    ) -> Option<Event> {
        let key = self.calls.key(request)?;
        if net.with_front(key, |front, io| front.move_away(io)) != Some(true) {
            return None;
        }
        let call = self.forget(messages, key)?;
        net.audit.moved(&call, why);
        let (server, attempt) = call.at?;
        let outcome = Outcome::Cancelled;
        net.records.moved(request, || subchannels.shared_name(server), why);
        net.records.ended(request, outcome);
        Some(Event::Ended { request, attempt, server, outcome, last: true })
    }

    /// A client was moved since its subchannel returned nothing any more.
    pub fn silent(&self, net: &Net, subchannels: &Subchannels, key: Key) {
        if let Some(Call { id, at: Some((server, _)), .. }) = self.calls.get(key) {
            net.records.moved(*id, || subchannels.shared_name(*server), MoveReason::Unresponsive);
        }
    }

    /// A connection that was up has ended.
    pub fn ended(
        &mut self,
        net: &mut Net,
        messages: &mut Messages,
        key: Key,
        outcome: Outcome,
    ) -> Option<Event> {
        let call = self.forget(messages, key)?;
        net.audit.ended(&call, outcome);
        net.records.ended(call.id, outcome);
        let (server, attempt) = call.at?;
        Some(Event::Ended { request: call.id, attempt, server, outcome, last: true })
    }

    /// A client left before its answer: that, and the end of its attempt.
    pub fn left(
        &mut self,
        net: &mut Net,
        messages: &mut Messages,
        key: Key,
        outcome: Outcome,
    ) -> [Option<Event>; 2] {
        let Some(mut call) = self.forget(messages, key) else { return [None, None] };
        // One that is held has had its attempts: what they used must not be given back.
        let outcome = if call.began.is_some() { outcome } else { Outcome::Cancelled };
        end_attempt(net, &mut call, outcome);
        net.audit.client_left(&call);
        net.records.client_left(call.id);
        gone(call, outcome)
    }

    /// Attempts whose line is not written yet and whose subchannel may get nothing new any more are called off.
    pub fn call_off_unwritten(&self, net: &mut Net, subchannels: &Subchannels) {
        for (key, server) in self.calls.attempted() {
            if !subchannels.is_ready(server) {
                net.with_front(key, |front, io| front.call_off(io, CallOff::Unwritten));
            }
        }
    }

    /// The proxy leaves: every attempt that is out is called off, and the module answers by what may have run. Whoever was
    /// open before the start is unknown to it, and goes back to where it came from by another proxy.
    pub fn abandon(&mut self, net: &mut Net, messages: &mut Messages) {
        let out: Vec<Key> = self.calls.attempted().map(|(key, _)| key).collect();
        for key in out {
            net.with_front(key, |front, io| front.call_off(io, CallOff::Any));
        }
        for key in self.calls.reopening() {
            if net.with_front(key, |front, io| front.unavailable(io, 0)) != Some(true) {
                continue;
            }
            if let Some(mut call) = self.forget(messages, key) {
                end_attempt(net, &mut call, Outcome::Cancelled);
                net.records.refused(&call, 0, || None);
            }
        }
    }

    fn forget(&mut self, messages: &mut Messages, key: Key) -> Option<Call> {
        let call = self.calls.remove(key)?;
        messages.over(&call);
        Some(call)
    }
}

/// Makes a call attempt; false if it could not even be begun.
fn begin_attempt(
    net: &mut Net,
    subchannels: &Subchannels,
    key: Key,
    call: &mut Call,
    server: ServerId,
    timeout: Micros,
    before: Option<Micros>,
) -> bool {
    call.attempts += 1;
    call.began = Some(net.now());
    let basis = || net.rules.as_ref()?.basis(call.id);
    net.records.attempt(call.id, call.latest(), || subchannels.shared_name(server), timeout, basis);
    let connect_timeout = net.config.profile.connect_timeout;
    let act_by = net.rules.as_ref().and_then(|rules| rules.write_deadline(call.id));
    let order = subchannels.address(server);
    let order = order.map(|address| AttemptOrder { address, timeout, connect_timeout, act_by, before });
    let begun = order.and_then(|order| net.with_front(key, |front, io| front.attempt(io, order)));
    if begun != Some(true) {
        end_attempt(net, call, Outcome::NotSent);
    }
    begun == Some(true)
}

/// An attempt is over, if one is out.
fn end_attempt(net: &mut Net, call: &mut Call, outcome: Outcome) {
    if let Some(began) = call.began.take() {
        net.audit.attempt_ended(call, outcome);
        call.last_outcome = Some(outcome);
        net.records.attempt_ended(call.id, call.latest(), outcome, net.now() - began);
    }
}

/// What the module hears of a request whose client is gone: that, and the end of its attempt, which is told of each,
/// or a trial would be out for ever.
fn gone(call: Call, outcome: Outcome) -> [Option<Event>; 2] {
    if let Stage::Reopening(_) = call.stage {
        return [None, None];
    }
    let request = call.id;
    let ended =
        call.at.map(|(server, attempt)| Event::Ended { request, attempt, server, outcome, last: true });
    [Some(Event::ClientClosed(request)), ended]
}
