//! Types, events and actions: `src/interface.rs`. Every decision is in this file.
//!
//! The mechanism (PIP-385, adapted; docs/design.md): a server that refused a connection as full, or failed,
//! is paused until the next second mark; new connections rotate over the rest; while all are paused they
//! are held, and refused early when they cannot wait. What else is here is an exception to that.

use crate::budget::{Bound, Whole};
use crate::homes::{self, Homes};
use crate::interface::*;
use crate::job::{Group, Job, Spot};
use crate::list_calls::ListCalls;
use crate::names::unit;
use crate::part::{Bucket, Part};
use crate::rules::{Rules, Ruling, Stay};
use std::collections::BTreeMap;

/// Pauses end at marks of this clock, as PIP-385's quotas do.
const SECOND: Micros = 1_000_000;
/// Each further strike doubles the pause, up to 2^5 s: a dead server is tried about twice a minute.
const MOST_DOUBLINGS: u32 = 5;
/// One strike is forgotten for each such time without another.
const FORGET: Micros = 20 * SECOND;
/// While most set-ups fail, a node keeps to its usual rate, or to its part of so many for all, if more.
const LEAST_PACE: f64 = 2.0;
/// All nodes together set up at most this multiple of what tenants are allowed a second, but for nodes whose
/// last set-up was quick: the store that all share goes down under all that come again after a break.
const SETUPS: f64 = 3.0;
/// Multiple of the usual rate for servers not heard of while most others are piled up.
const UNHEARD: f64 = 0.1;
/// Arrivals are averaged over about this many seconds.
const RATE_MEMORY: f64 = 20.0;
/// Part of its own connections that a node moves off a server for each note of messages over the aim: more
/// where more has piled up, so that the pile is gone within about CLEAR_WITHIN.
const MOVED_PER_NOTE: f64 = 0.1;
const CLEAR_WITHIN: f64 = 2.0 * SECOND as f64;
const MOST_MOVED: f64 = 0.25;

/// A draining server's connections are moved within this time, a part each round: what stays is cut off. New
/// ones (`rules.stopSendingWithin`) end at once.
const DRAIN_WITHIN: Micros = 2 * SECOND;
const DRAIN_ROUND: Micros = SECOND / 10;

/// Another node's word counts for this long, and own good experience outweighs any for as long.
const WORD: Micros = 3 * SECOND;
/// So many nodes must agree, or one and own experience: one alone may itself be cut off.
const AGREED: usize = 2;
/// Words alone keep no more than this part of the servers paused at a time: as many as are known to die
/// together (24%). However many nodes lie, the rest is used, and what is paused is tried at the next mark.
const MOST_ACCUSED: f64 = 0.25;

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
    spot: Spot,
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
    told: Belief,
    /// When an attempt of this node's last went well; what other nodes said last, and when.
    well: Option<Micros>,
    words: Vec<(u32, Word, Micros)>,
    /// Paused by words alone until then; forgotten with the next experience of this node's own.
    accused: Option<Micros>,
}

/// The decisions of one node.
#[derive(Debug, Default)]
pub struct Balancer {
    settings: Settings,
    /// What may be done with a request, if somebody has rules for that.
    rules: Option<Box<dyn Rules>>,
    random: u64,
    servers: Vec<Server>,
    ready: Vec<ServerId>,
    total_weight: f64,
    whole: Whole,
    jobs: BTreeMap<RequestId, Job>,
    held: Vec<RequestId>,
    rotation: f64,
    wake: Option<Micros>,
    drain_due: Option<Micros>,
    list_calls: ListCalls,
    arrivals: f64,
    arrivals_at: Micros,
    started_at: Micros,
    /// Part of the latest set-ups that failed or timed out; when the next may be sent if that is most.
    failing: f64,
    next_send: Micros,
    /// How many servers a group's turns rotate over.
    homes: Homes,
    /// This node's part of what all have; set-ups that it may send; when one was last quick, none slow since.
    part: Part,
    setups: Bucket,
    quick: Option<Micros>,
    /// Most of the servers heard of lately are piled up.
    crowded: bool,
    /// The node ends: nothing is sent any more, what is owed is answered.
    leaving: bool,
}

impl Balancer {
    /// A node's decisions from `now` on. `seed` feeds its jitter.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let (part, setups) = (Part::even(settings.nodes), Bucket::new(now));
        let list_calls = ListCalls::among(settings.nodes);
        let blank = Balancer { arrivals_at: now, started_at: now, ..Balancer::default() };
        Balancer { settings, part, setups, list_calls, random: seed, ..blank }
    }

    /// The same under rules, which are asked before each send.
    pub fn under(self, rules: Box<dyn Rules>) -> Self {
        Balancer { rules: Some(rules), ..self }
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::List { full, copy, entries } => self.list(now, full, copy, entries, out),
            Event::ByHand { entries } => self.listed(now, entries, out),
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
                self.jobs.insert(id, Job::new(request, now));
                self.dispatch(now, id, out);
            }
            Event::Open { request, server } => {
                let id = request.id;
                let spot = self.server(server).map(|s| s.spot).unwrap_or_default();
                let last = Some((spot, now));
                self.jobs.insert(id, Job { sent: 1, at: Some(server), last, ..Job::new(request, now) });
                self.opened(id, server);
            }
            Event::Established { request, server, elapsed, .. } => {
                self.opened(request, server);
                self.quick = (elapsed <= self.settings.quick()).then_some(now);
                self.failing -= self.failing / 8.0;
                self.server_mut(server).into_iter().for_each(|s| (s.well, s.accused) = (Some(now), None));
                self.went_well(now, server, request, out);
            }
            Event::Ended { request, server, outcome, last, .. } => {
                self.judge(now, server, request, outcome, out);
                if last {
                    self.finish(request);
                } else {
                    self.again(now, request, server, outcome, out);
                }
            }
            Event::Gone(request) => self.finish(request),
            Event::LoadNote { request, load } => {
                self.jobs.entry(request).and_modify(|job| job.request.load_hint = Some(load));
            }
            Event::DelayNote { server, delay, .. } => self.delayed(now, server, delay, out),
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
            Event::Tier(tier) => self.told(now, tier),
            Event::Homes(homes) => self.homes.set(homes),
            Event::Ruled => self.release_held(now, out),
            Event::Leaving => {
                self.leaving = true;
                self.release_held(now, out);
            }
            Event::Peer { from, server, word } => self.heard(now, from, server, word, out),
            Event::Probed { .. } | Event::Timer(_) => {}
        }
    }

    // ---- the server list ----

    fn list(&mut self, now: Micros, full: bool, copy: bool, entries: Vec<Entry>, out: &mut Vec<Action>) {
        if !copy {
            self.list_calls.answered(now);
        } else if self.settings.list_told_unasked && self.settings.list_on_request {
            self.call_for_list(now, out);
        } else if self.settings.list_on_request {
            let chance = self.random();
            ask_list(self.list_calls.started(now, chance), out);
        }
        if full {
            // What a full list leaves out is gone, and starts anew if it is ever listed again.
            self.servers.iter_mut().for_each(|s| (s.ready, s.draining) = (false, false));
        }
        self.listed(now, entries, out);
    }

    fn call_for_list(&mut self, now: Micros, out: &mut Vec<Action>) {
        out.push(Action::Watch);
        ask_list(self.list_calls.called(now), out);
    }

    fn listed(&mut self, now: Micros, entries: Vec<Entry>, out: &mut Vec<Action>) {
        for entry in entries {
            self.entry(now, entry);
        }
        let ids = 0..self.servers.len() as u32;
        self.ready = ids.map(ServerId).filter(|id| self.server(*id).is_some_and(|s| s.ready)).collect();
        self.total_weight = self.ready.iter().filter_map(|id| self.server(*id)).map(|s| s.weight).sum();
        self.whole.listed(now, self.total_weight);
        for (number, s) in self.servers.iter_mut().enumerate() {
            s.believe(now, ServerId(number as u32), out);
        }
        self.drain(now, out);
        self.release_held(now, out);
    }

    /// Moves an even part of what is left on each draining server, so that the clients come again bit by bit.
    fn drain(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.drain_due.is_some_and(|at| at > now) {
            return;
        }
        self.drain_due = None;
        let chance = self.random() * 0.999;
        for s in &mut self.servers {
            let Some(until) = s.leave_by else { continue };
            let rounds = ((until - now).max(0) / DRAIN_ROUND) as f64 + 1.0;
            let kept = s.open.len() - (s.open.len() as f64 / rounds + chance) as usize;
            out.extend(s.open.drain(kept..).map(Action::Move));
            self.drain_due = self.drain_due.or((kept > 0 || now < until).then_some(now + DRAIN_ROUND));
        }
        out.extend(self.drain_due.map(|_| Action::Timer { after: DRAIN_ROUND, token: DRAIN }));
    }

    fn entry(&mut self, now: Micros, entry: Entry) {
        let index = entry.server.0 as usize;
        if index >= self.servers.len() {
            self.servers.resize_with(index + 1, Server::default);
        }
        let known = &mut self.servers[index];
        let weighted = self.settings.weighted && entry.weight.is_finite() && entry.weight > 0.0;
        let weight = if weighted { entry.weight } else { 1.0 };
        // Put back after a drain: its first turn is the next, or it would wait for one at a quiet hour.
        let back = known.leave_by.is_some() && entry.state == Listed::Ready;
        if known.weight == 0.0 || known.started != entry.started || back {
            // New, or a new life of the process: what was known of the old one no longer counts.
            // All nodes share one hashed order and enter it at phases ordinal/nodes: rotations that walk
            // in step would otherwise put every node's next connection on the same server.
            let phase = f64::from(self.settings.ordinal) / f64::from(self.settings.nodes.max(1));
            let place = (unit(entry.digest) - phase).rem_euclid(1.0);
            let first = (place + self.part.of(now, 1.0)).min(1.0);
            let (turn, budget) = if back { (0.0, first) } else { (self.rotation + place / weight, place) };
            let (open, told) = (std::mem::take(&mut known.open), known.told);
            let digest = entry.digest;
            *known = Server { digest, place, turn, budget, filled: now, open, told, ..Server::default() };
        }
        known.ready = entry.state == Listed::Ready;
        // What drained and is gone by now has its connections moved all the same.
        known.draining = entry.state == Listed::Draining;
        let until = known.draining.then_some(now + DRAIN_WITHIN);
        known.leave_by = known.leave_by.or(until).filter(|_| !known.ready);
        (known.spot, known.weight, known.started) = ((entry.zone, entry.cell), weight, entry.started);
    }

    /// Back-off with jitter: a failing list service is not hammered by all nodes in step.
    fn list_failed(&mut self, now: Micros, out: &mut Vec<Action>) {
        let chance = self.random();
        let (after, is_news) = self.list_calls.failed(now, chance);
        let unreachable = Action::Log { notice: Notice::ListUnreachable, server: None };
        out.extend(is_news.then_some(unreachable));
        ask_list(after, out);
    }

    /// Sends the request on the next turn, holds it, or gives the final answer.
    fn dispatch(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.at.is_some() {
            return;
        }
        let asked = self.rules.as_mut().map(|rules| rules.ruling(now, &job.request));
        let ruling = asked.unwrap_or_default();
        let left = job.deadline.map(|at| at.saturating_sub(now));
        let last_call = job.last_call(&self.settings);
        // No effect twice: also what was held meanwhile is repeated only within its window, and what comes up
        // late is not written after it.
        let before = job.repeat_until(&self.settings);
        let repeats = job.bound_to(&self.settings);
        let most = self.settings.attempts(job.class()).min(ruling.attempts);
        let late = left.is_some_and(|left| left < job.least_try(&self.settings));
        let spent = self.leaving || job.sent >= most || late;
        if spent || before.is_some_and(|end| end <= now) {
            return self.answer(now, id, self.next_chance(now, &ruling, repeats), out);
        }
        if let Some(after) = ruling.refuse {
            return self.answer(now, id, now.saturating_add(after), out);
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
            self.rules.iter_mut().for_each(|rules| rules.sent(now, &job.request, server));
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
            return self.answer(now, id, until, out);
        }
        if self.held.is_empty() {
            out.push(Action::Log { notice: Notice::Holding, server: None });
        }
        self.held.push(id);
        if self.wake.is_none_or(|set| until < set) {
            self.wake = Some(until);
            out.push(Action::Timer { after: until - now, token: WAKE });
        }
    }

    /// The final answer to what cannot be placed: a refusal where that may be said.
    fn answer(&mut self, now: Micros, id: RequestId, until: Micros, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let refusable = job.may_have_run.is_none() || self.settings.effect(job.class()).may_refuse();
        let longest = if self.settings.retry_after { self.settings.max_retry_after } else { 0 };
        let retry_after = (until - now).min(longest);
        out.push(if refusable { Action::Refuse { request: id, retry_after } } else { Action::Fail(id) });
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

    // ---- rotation ----

    /// The unpaused server whose turn is due first, if any; takes its turn.
    fn pick(&mut self, now: Micros, id: RequestId, ruling: &Ruling) -> Option<ServerId> {
        // Failures wherever one turns point at something shared: more tries keep it down (ic7944d).
        let down = self.part.failing(now, self.failing) > 0.5;
        if down && now < self.next_send || !self.setups.fill(now, self.setups_per_s(now)) {
            return None;
        }
        let job = self.jobs.get(&id)?;
        let repeats = job.bound_to(&self.settings);
        let group = job.request.group.filter(|_| self.settings.groups && repeats.is_none());
        // Connections of a group share work: spread over the fleet they would multiply it (ie5ddb3), and in
        // overload none would be held out. A group's turns rotate over the servers that come first in an
        // order of its own, common to all nodes; while these are paused it is held.
        let at_home = |s: &Server| group.map_or(1.0, |g| homes::score(g, s.digest, s.weight));
        let least_home = group.map_or(0.0, |g| self.homes.least(g, self.allowed(ruling).map(at_home)));
        let (usual, rotation) = (self.usual_rates(now), self.rotation);
        let mut best: Option<((bool, bool, f64), ServerId)> = None;
        let (mut due, mut heard, mut bad) = ((true, f64::INFINITY), 0, 0);
        for &candidate in &self.ready {
            let Some(s) = self.servers.get_mut(candidate.0 as usize) else { continue };
            let lately = s.slow.is_some_and(|at| now - at < 3 * SECOND);
            heard += u32::from(lately || !s.open.is_empty());
            bad += u32::from(lately);
            if s.paused_until.is_some_and(|until| until > now) {
                continue;
            }
            if s.paused_until.take().is_some() {
                // The pause has lapsed. The trial comes at this node's own place in the order, so that
                // the nodes do not all reopen the server at one second mark.
                s.half_open = true;
                s.turn = s.turn.max(rotation + s.place / s.weight);
            }
            let mut bound = Bound::of(&self.settings, now, usual, s.weight, s.started, s.strained);
            // Most servers with connections of this node are piled up: those of which it hears nothing are
            // likely so too; tried at server after server, nobody would be held out (i118c6b).
            if self.crowded && bound.is_none() && group.is_none() && s.open.is_empty() {
                bound = Some(Bound::warm(usual.0 * s.weight * UNHEARD));
            }
            s.budget = bound.map_or(s.budget, |bound| bound.filled(s.budget, now - s.filled));
            s.filled = now;
            if repeats.is_some_and(|group| !group.holds(s.spot))
                || !ruling.allows(candidate)
                || s.half_open && s.trial.is_some()
                || bound.is_some() && s.budget < 1.0
                || at_home(s) < least_home
            {
                continue;
            }
            // What is wished for takes turns of its own: the rest would else fall behind, and then get all.
            let second = ruling.is_second_choice(candidate);
            due = if (second, s.turn) < due { (second, s.turn) } else { due };
            let key = (job.tried.contains(&candidate), second, s.turn);
            if best.is_none_or(|(least, _)| key < least) {
                best = Some((key, candidate));
            }
        }
        self.crowded = 2 * bad > heard && self.part.tier(now).is_none();
        let server = best?.1;
        let rate = (usual.0 * self.total_weight).max(self.part.of(now, LEAST_PACE));
        self.setups.take();
        self.next_send = now + (SECOND as f64 / rate) as Micros;
        let rotation = rotation.max(due.1);
        self.rotation = rotation;
        let s = self.server_mut(server)?;
        s.turn = s.turn.max(rotation - 1.0 / s.weight) + 1.0 / s.weight;
        s.trial = s.half_open.then_some(id);
        s.budget = (s.budget - 1.0).max(0.0);
        Some(server)
    }

    /// New connections a second that a server of weight 1 usually gets from this node, and that would fill it
    /// to the others' level, or to what tenants may hold, within its warm-up: a fleet a third full has room.
    fn usual_rates(&self, now: Micros) -> (f64, f64) {
        let age = (now - self.started_at).max(SECOND) as f64 / SECOND as f64;
        let rate = self.arrivals / (RATE_MEMORY * (1.0 - (-age / RATE_MEMORY).exp()));
        // What waits shows no room, and servers that are out leave the rest no more.
        let allowed = self.settings.allowance_open();
        let open: usize = self.servers.iter().map(|s| s.open.len()).sum();
        let own = if allowed > 0.0 { open } else { self.jobs.len() } as f64;
        let full = self.part.careful(now, allowed, own) * self.part.idle(now);
        let fill = full * SECOND as f64 / self.settings.warm_up.max(SECOND) as f64;
        let fill = if allowed > 0.0 { fill } else { fill.max(rate) };
        (rate / self.total_weight.max(1e-9), fill / self.whole.weight(now).max(1e-9))
    }

    /// What has passed by now brought to budgets what the old part was.
    fn told(&mut self, now: Micros, tier: Tier) {
        let usual = self.usual_rates(now);
        for s in &mut self.servers {
            let bound = Bound::of(&self.settings, now, usual, s.weight, s.started, s.strained);
            s.budget = bound.map_or(s.budget, |bound| bound.filled(s.budget, now - s.filled));
            s.filled = now;
        }
        self.part.told(now, tier);
    }

    /// Set-ups that this node may send. In a large tier, which is told of, its own last one says little.
    fn setups_per_s(&self, now: Micros) -> f64 {
        let quick = self.part.tier(now).is_none() && self.quick.is_some_and(|at| now - at < SECOND);
        let allowed = self.settings.allowance_per_s().filter(|_| !quick);
        allowed.map_or(f64::INFINITY, |allowed| self.part.of(now, SETUPS * allowed))
    }

    /// When some server may next be tried: its pause has lapsed and its budget is there.
    fn next_chance(&self, now: Micros, ruling: &Ruling, repeats: Option<Group>) -> Micros {
        let usual = self.usual_rates(now);
        let chance = |s: &Server| {
            let bound = Bound::of(&self.settings, now, usual, s.weight, s.started, s.strained);
            let short = bound.map_or(0, |bound| bound.short(s.budget));
            s.paused_until.unwrap_or(now).max(s.filled.saturating_add(short))
        };
        let within = |s: &&Server| repeats.is_none_or(|group| group.holds(s.spot));
        let soonest = self.allowed(ruling).filter(within).map(chance).min();
        let setups = self.setups.next(self.setups_per_s(now));
        soonest.unwrap_or(now + SECOND).max(setups).clamp(now + SECOND / 20, now + SECOND)
    }

    // ---- pauses ----

    /// What an outcome shows of the server.
    fn judge(&mut self, now: Micros, at: ServerId, id: RequestId, outcome: Outcome, out: &mut Vec<Action>) {
        match outcome {
            Outcome::Full => self.pause(now, at, id, false, out),
            // A reset of an established connection too: the server is lost, or sheds what it cannot carry.
            Outcome::Error | Outcome::ConnectFailed | Outcome::TimedOut | Outcome::Reset => {
                let unwell = matches!(outcome, Outcome::Error | Outcome::TimedOut);
                self.quick = self.quick.filter(|_| !unwell);
                self.failing += if unwell { (1.0 - self.failing) / 8.0 } else { 0.0 };
                self.pause(now, at, id, true, out);
            }
            Outcome::Served => self.went_well(now, at, id, out),
            // Shows nothing: a trial leaves the server half-open. A set-up that was not used is for others.
            Outcome::Cancelled | Outcome::NotSent => {
                self.setups.give_back(outcome == Outcome::NotSent);
                self.server_mut(at).into_iter().for_each(|s| s.trial = s.trial.filter(|trial| *trial != id));
            }
        }
    }

    /// Pauses a server until the next second mark; after failures and failed trials, longer each time.
    fn pause(&mut self, now: Micros, at: ServerId, by: RequestId, failed: bool, out: &mut Vec<Action>) {
        let Some(s) = self.server_mut(at) else { return };
        let trial = s.trial == Some(by);
        if !trial && s.paused_until.is_some_and(|until| until > now) {
            // Sent before the pause, or broken by the same blow: no news.
            return;
        }
        let mut until = (now / SECOND + 1) * SECOND;
        let quiet = s.strained.map_or(0, |since| (now - since) / FORGET);
        s.strikes = s.strikes.saturating_sub(quiet.clamp(0, 64) as u32);
        if failed || trial {
            until += ((1 << s.strikes.min(MOST_DOUBLINGS)) - 1) * SECOND;
            s.strikes += 1;
            if s.strikes == 2 {
                out.push(Action::Log { notice: Notice::PausedFailing, server: Some(at) });
            }
        }
        (s.trial, s.accused) = (None, None);
        s.strained = Some(now);
        s.paused_until = s.paused_until.max(Some(until));
        s.believe(now, at, out);
    }

    fn went_well(&mut self, now: Micros, at: ServerId, by: RequestId, out: &mut Vec<Action>) {
        let Some(s) = self.server_mut(at).filter(|s| s.trial == Some(by)) else { return };
        (s.trial, s.half_open) = (None, false);
        if s.strikes > 1 {
            out.push(Action::Log { notice: Notice::Recovered, server: Some(at) });
        }
        // Half is forgiven, not all: a server that fails most requests passes a trial now and then.
        s.strikes /= 2;
        s.believe(now, at, out);
        self.release_held(now, out);
    }

    /// Messages at a server take long: work has piled up there, though it refuses nothing. A note comes
    /// once a second while that lasts, so the pause reaches to the mark after the next note.
    fn delayed(&mut self, now: Micros, at: ServerId, delay: Micros, out: &mut Vec<Action>) {
        let shortest = self.settings.shortest_aim();
        let chance = self.random();
        let (jobs, settings) = (&self.jobs, &self.settings);
        let Some(s) = self.servers.get_mut(at.0 as usize) else { return };
        let falling = std::mem::replace(&mut s.delay, delay) / 5 * 4 > delay;
        let Some(aim) = shortest.filter(|aim| delay > aim / 3) else { return };
        s.slow = Some(now);
        s.strained = Some(now);
        s.paused_until = s.paused_until.max(Some(((now + SECOND) / SECOND + 1) * SECOND));
        s.believe(now, at, out);
        if delay < aim / 2 || falling {
            return;
        }
        // Load lasts: what is there would earn nothing for minutes. Each node moves a part of its own
        // connections, least worth for their load first. A pile that drains is left to (ie5ddb3).
        let value = |id: &RequestId| jobs.get(id).map_or(0.0, |job| job.value(settings));
        let mut stays = BTreeMap::new();
        if let Some(rules) = &mut self.rules {
            let stay = |id: &RequestId| Some((*id, rules.stay(now, &jobs.get(id)?.request, at)?));
            stays.extend(s.open.iter().filter_map(stay));
        }
        let order = |a: &RequestId, b: &RequestId| {
            stays.get(a).cmp(&stays.get(b)).then(value(a).total_cmp(&value(b)))
        };
        let part = (MOVED_PER_NOTE + delay as f64 / CLEAR_WITHIN).min(MOST_MOVED);
        for _ in 0..(s.open.len() as f64 * part + chance) as usize {
            let least = s.open.iter().enumerate().min_by(|a, b| order(a.1, b.1));
            let may = least.filter(|(_, id)| stays.get(id) != Some(&Stay::UntilDrained));
            let Some((index, _)) = may else { break };
            out.push(Action::Move(s.open.swap_remove(index)));
        }
    }

    /// Another node's word is evidence, no order: it brings a pause or a trial forward where it is confirmed.
    fn heard(&mut self, now: Micros, from: u32, at: ServerId, word: Word, out: &mut Vec<Action>) {
        let fresh = |at: Micros| now - at <= WORD;
        let accused = self.servers.iter().filter(|s| s.accused.is_some_and(|until| until > now)).count();
        let room = accused as f64 + 1.0 <= self.ready.len() as f64 * MOST_ACCUSED;
        let mark = (now / SECOND + 1) * SECOND;
        let Some(s) = self.server_mut(at).filter(|s| s.ready) else { return };
        s.words.retain(|(node, _, said)| *node != from && fresh(*said));
        s.words.push((from, word, now));
        let agree = |word| s.words.iter().filter(|(_, said, _)| *said == word).count();
        let (well, unwell) = (agree(Word::Well), agree(Word::Unwell));
        let paused = s.paused_until.is_some_and(|until| until > now);
        let strained = s.strained.is_some_and(fresh);
        let agreed = unwell > well && unwell + usize::from(strained) >= AGREED;
        match word {
            // Once only: whoever repeats it, this node looks for itself before it believes it again.
            Word::Unwell
                if agreed && !paused && room && s.accused.is_none() && !s.well.is_some_and(fresh) =>
            {
                (s.paused_until, s.accused) = (Some(mark), Some(mark));
            }
            // Others serve there: the trial need not wait for a pause that grew with each failure.
            Word::Well if paused && unwell == 0 && well >= AGREED => {
                s.paused_until = s.paused_until.min(Some(mark));
            }
            _ => {}
        }
        s.believe(now, at, out);
    }

    /// The servers that may take new connections, as far as the list and the rules tell.
    fn allowed<'a>(&'a self, ruling: &'a Ruling) -> impl Iterator<Item = &'a Server> {
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
            _ if self.draining => Belief::Draining,
            _ if !self.ready => Belief::Gone,
            Some(until) if until > now => Belief::Paused { until },
            Some(_) => Belief::Trial,
            None if self.half_open => Belief::Trial,
            None => Belief::Up,
        };
        if std::mem::replace(&mut self.told, belief) != belief {
            out.push(Action::Believe { server, belief });
        }
    }
}
