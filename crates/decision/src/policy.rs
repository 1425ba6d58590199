//! Types, events and actions: `src/interface.rs`. Every decision is in this file and in its folder: lists of
//! servers, the rotation over them, pauses.
//!
//! The mechanism (PIP-385, adapted; docs/design.md): a server that refused a connection as full, or failed,
//! is paused until the next second mark; new connections rotate over the rest; while all are paused they
//! are held, and refused early when they cannot wait. What else is here is an exception to that.

mod lists;
mod pauses;
mod rotation;

use crate::affinity::{self, AffinitySubsets};
use crate::budget::{Bound, FleetTotal};
use crate::interface::*;
use crate::list_polling::ListPoller;
use crate::names::unit;
use crate::pending_request::{Group, Locality, PendingRequest};
use crate::quota::{Quota, TokenBucket};
use crate::rules::{RoutingRules, RoutingVerdict, Stickiness};
use std::collections::BTreeMap;

/// Pauses end at marks of this clock, as PIP-385's quotas do.
const SECOND: Micros = 1_000_000;
/// Arrivals are averaged over about this many seconds.
const RATE_MEMORY: f64 = 20.0;

/// Timers: held connections may be tried again; the list is to be asked for; draining servers' next round.
const WAKE: u32 = 0;
const LIST: u32 = 1;
const DRAIN: u32 = 2;

#[derive(Clone, Debug, Default)]
struct Server {
    /// Takes new connections, or drains, as far as the list tells.
    ready: bool,
    draining: bool,
    /// Its zone and cell.
    spot: Locality,
    weight: f64,
    started: Option<Micros>,
    digest: u64,
    /// Place in the common hashed order, 0 to 1, counted from this node's phase.
    place: f64,
    /// When its next turn is due, in the rotation's own time.
    turn: f64,
    paused_until: Option<Micros>,
    /// The pause has lapsed and the next turn is a trial (half-open); the request that is out as one.
    half_open: bool,
    trial: Option<RequestId>,
    strikes: u32,
    /// When it last gave reason for a pause.
    strained: Option<Micros>,
    /// What its last delay note told, and when that was over the mark.
    delay: Micros,
    slow: Option<Micros>,
    /// New connections that it may get while cold or strained, and when that was last reckoned.
    budget: f64,
    filled: Micros,
    /// This node's established connections there; when they are to have left.
    open: Vec<RequestId>,
    leave_by: Option<Micros>,
    /// What was told of it last.
    told: ServerHealth,
    /// When an attempt of this node's last went well; what other nodes said last, and when.
    well: Option<Micros>,
    words: Vec<(u32, PeerVerdict, Micros)>,
    /// Paused by words alone until then; forgotten with the next experience of this node's own.
    accused: Option<Micros>,
}

/// The decisions of one node.
#[derive(Debug, Default)]
pub struct Balancer {
    settings: Settings,
    /// What may be done with a request, if somebody has rules for that.
    rules: Option<Box<dyn RoutingRules>>,
    random: u64,
    servers: Vec<Server>,
    ready: Vec<ServerId>,
    total_weight: f64,
    whole: FleetTotal,
    jobs: BTreeMap<RequestId, PendingRequest>,
    held: Vec<RequestId>,
    rotation: f64,
    wake: Option<Micros>,
    drain_due: Option<Micros>,
    list_calls: ListPoller,
    arrivals: f64,
    arrivals_at: Micros,
    started_at: Micros,
    /// Quota of the latest set-ups that failed or timed out; when the next may be sent if that is most.
    failing: f64,
    next_send: Micros,
    /// How many servers a group's turns rotate over.
    homes: AffinitySubsets,
    /// This node's part of what all have; set-ups that it may send; when one was last quick, none slow since.
    part: Quota,
    setups: TokenBucket,
    quick: Option<Micros>,
    /// Most of the servers heard of lately are piled up.
    crowded: bool,
    /// The node ends: nothing is sent any more, what is owed is answered.
    leaving: bool,
}

impl Balancer {
    /// A node's decisions from `now` on. `seed` feeds its jitter.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let (part, setups) = (Quota::even(settings.nodes), TokenBucket::new(now));
        let list_calls = ListPoller::among(settings.nodes);
        let blank = Balancer { arrivals_at: now, started_at: now, ..Balancer::default() };
        Balancer { settings, part, setups, list_calls, random: seed, ..blank }
    }

    /// The same under rules, which are asked before each send.
    pub fn with_rules(self, rules: Box<dyn RoutingRules>) -> Self {
        Balancer { rules: Some(rules), ..self }
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::List { full, copy, entries } => self.list(now, full, copy, entries, out),
            Event::ManualOverride { entries } => self.listed(now, entries, out),
            Event::ListFailed => self.list_failed(now, out),
            Event::ListSilent => {
                let chance = self.random();
                ask_list(self.list_calls.fell_silent(now, chance), out);
            }
            Event::Request(request) => {
                if !request.again {
                    let seconds = (now - self.arrivals_at).max(0) as f64 / SECOND as f64;
                    self.arrivals = self.arrivals * (-seconds / RATE_MEMORY).exp() + 1.0;
                    self.arrivals_at = now;
                }
                let id = request.id;
                self.jobs.insert(id, PendingRequest::new(request, now));
                self.dispatch(now, id, out);
            }
            Event::Open { request, server } => {
                let id = request.id;
                let spot = self.server(server).map(|s| s.spot).unwrap_or_default();
                let last = Some((spot, now));
                self.jobs.insert(
                    id,
                    PendingRequest { sent: 1, at: Some(server), last, ..PendingRequest::new(request, now) },
                );
                self.opened(id, server);
                self.move_late_comer(now, server, out);
            }
            Event::Established { request, server, elapsed, .. } => {
                self.opened(request, server);
                self.quick = (elapsed <= self.settings.quick()).then_some(now);
                self.failing -= self.failing / 8.0;
                self.server_mut(server).into_iter().for_each(|s| (s.well, s.accused) = (Some(now), None));
                self.went_well(now, server, request, out);
                self.move_late_comer(now, server, out);
            }
            Event::Ended { request, server, outcome, last, .. } => {
                self.judge(now, server, request, outcome, out);
                if last {
                    self.finish(request);
                } else {
                    self.again(now, request, server, outcome, out);
                }
            }
            Event::ClientClosed(request) => self.finish(request),
            Event::LoadUpdate { request, load } => {
                self.jobs.entry(request).and_modify(|job| job.request.load_hint = Some(load));
            }
            Event::LatencyUpdate { server, latency } => self.latency_changed(now, server, latency, out),
            Event::Timer(WAKE) if self.wake.is_some_and(|at| at <= now) => {
                self.wake = None;
                self.release_held(now, out);
            }
            Event::Timer(LIST) if self.list_calls.is_due(now) => self.call_for_list(now, out),
            Event::Timer(DRAIN) if self.drain_due.is_some_and(|at| at <= now) => self.drain(now, out),
            Event::Settings(settings) => {
                self.part.set_nodes(settings.nodes);
                self.list_calls.set_nodes(settings.nodes);
                self.settings = *settings;
            }
            Event::Fleet(tier) => self.told(now, tier),
            Event::AffinitySubsets(homes) => self.homes.set(homes),
            Event::RulesChanged => self.release_held(now, out),
            Event::ShuttingDown => {
                self.leaving = true;
                self.release_held(now, out);
            }
            Event::PeerReport { from, server, verdict } => {
                self.peer_reported(now, from, server, verdict, out)
            }
            Event::Probed { .. } | Event::Timer(_) => {}
        }
    }

    /// Sends the request on the next turn, holds it, or gives the final answer.
    fn dispatch(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.at.is_some() {
            return;
        }
        let asked = self.rules.as_mut().map(|rules| rules.evaluate(now, &job.request));
        let ruling = asked.unwrap_or_default();
        let left = job.deadline.map(|at| at.saturating_sub(now));
        let last_call = job.last_call(&self.settings);
        // No effect twice: also what was held meanwhile is repeated only within its window, and what comes up
        // late is not written after it.
        let before = job.repeat_until(&self.settings);
        let repeats = job.bound_to(&self.settings);
        let most = self.settings.attempts(job.class()).min(ruling.attempts);
        let late = left.is_some_and(|left| left < job.least_try(&self.settings));
        let is_over = before.is_some_and(|end| end <= now);
        let unserved = if self.leaving {
            Some(RejectionReason::ShuttingDown)
        } else if job.sent >= most {
            Some(RejectionReason::AttemptsExhausted)
        } else if late {
            Some(RejectionReason::DeadlineTooClose)
        } else {
            is_over.then_some(RejectionReason::IdempotencyWindowOver)
        };
        if let Some(reason) = unserved {
            return self.answer(now, id, self.next_chance(now, &ruling, repeats), reason, out);
        }
        if let Some(after) = ruling.refuse {
            return self.answer(now, id, now.saturating_add(after), RejectionReason::RejectedByRule, out);
        }
        let from = ruling.not_before.unwrap_or(now);
        if let Some(server) = (from <= now).then(|| self.pick(now, id, &ruling)).flatten() {
            let Some(job) = self.jobs.get_mut(&id) else { return };
            // A silent server never refuses: the time-out leaves room for another try.
            let target = self.settings.target(job.class());
            let timeout = match left {
                Some(left) if job.sent + 1 < most => target.unwrap_or(left).min(left / 2),
                Some(_) => 0,
                None => target.unwrap_or(SECOND),
            };
            (job.sent, job.at) = (job.sent + 1, Some(server));
            job.last = self.servers.get(server.0 as usize).map(|s| (s.spot, now));
            job.tried.push(server);
            self.rules.iter_mut().for_each(|rules| rules.record_attempt(now, &job.request, server));
            if let Some(s) = self.server_mut(server) {
                s.believe(now, server, out);
            }
            out.push(Action::Send { request: id, server, timeout, before });
            return;
        }
        // What waits for its group is answered as its window ends.
        let until = self.next_chance(now, &ruling, repeats).max(from).min(before.unwrap_or(Micros::MAX));
        // As the paper's send time-outs shorter than the pause left: what cannot wait is refused early.
        if until > last_call {
            return self.answer(now, id, until, RejectionReason::NoServer, out);
        }
        if self.held.is_empty() {
            out.push(Action::Log { notification: Notification::Queueing, server: None });
        }
        self.held.push(id);
        if self.wake.is_none_or(|set| until < set) {
            self.wake = Some(until);
            out.push(Action::Timer { after: until - now, token: WAKE });
        }
    }

    /// The final answer to what cannot be placed: a refusal where that may be said.
    fn answer(
        &mut self,
        now: Micros,
        id: RequestId,
        until: Micros,
        reason: RejectionReason,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get(&id) else { return };
        let refusable = job.may_have_run.is_none() || self.settings.idempotency(job.class()).may_reject();
        let longest = if self.settings.retry_after { self.settings.max_retry_after } else { 0 };
        let retry_after = (until - now).min(longest);
        out.push(if refusable {
            Action::Reject { request: id, retry_after, reason }
        } else {
            Action::Fail { request: id, reason }
        });
        self.finish(id);
    }

    fn again(&mut self, now: Micros, id: RequestId, at: ServerId, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.at == Some(at)) else { return };
        job.at = None;
        if !outcome.never_ran() {
            job.may_have_run = job.may_have_run.or(job.last);
        }
        self.dispatch(now, id, out);
    }

    fn release_held(&mut self, now: Micros, out: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.held) {
            self.dispatch(now, id, out);
        }
    }

    fn opened(&mut self, id: RequestId, at: ServerId) {
        if let Some(s) = self.servers.get_mut(at.0 as usize).filter(|_| self.jobs.contains_key(&id)) {
            s.open.push(id);
        }
    }

    fn finish(&mut self, id: RequestId) {
        let at = self.jobs.remove(&id).and_then(|job| job.at);
        if let Some(s) = at.and_then(|at| self.server_mut(at)) {
            s.open.retain(|open| *open != id);
        }
        self.held.retain(|held| *held != id);
    }

    /// The servers that may take new connections, as far as the list and the rules tell.
    fn allowed<'a>(&'a self, ruling: &'a RoutingVerdict) -> impl Iterator<Item = &'a Server> {
        self.ready.iter().filter(|id| ruling.allows(**id)).filter_map(|id| self.server(*id))
    }

    fn server(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(id.0 as usize)
    }

    fn server_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.servers.get_mut(id.0 as usize)
    }

    fn random(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        unit(self.random)
    }
}

fn ask_list(after: Micros, out: &mut Vec<Action>) {
    out.push(Action::Timer { after, token: LIST });
}

impl Server {
    /// Tells what is believed of this server, if that has changed.
    fn believe(&mut self, now: Micros, server: ServerId, out: &mut Vec<Action>) {
        let belief = match self.paused_until {
            _ if self.draining => ServerHealth::Draining,
            _ if !self.ready => ServerHealth::Unlisted,
            Some(until) if until > now => ServerHealth::Paused { until },
            Some(_) => ServerHealth::Trial,
            None if self.half_open => ServerHealth::Trial,
            None => ServerHealth::Up,
        };
        if std::mem::replace(&mut self.told, belief) != belief {
            out.push(Action::HealthChanged { server, health: belief });
        }
    }
}
