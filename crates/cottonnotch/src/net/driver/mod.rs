//! Between the sockets and the decisions: turns happenings into the module's events and carries out its
//! actions in order. Here the network's terms (subchannel, RPC, call attempt) meet the module's (server,
//! request, send); nothing is decided.

mod shutdown;

use super::happening::{AttemptOrder, Front, Happening, Io, Object, Wish};
use super::invariant::invariant;
use super::message_delay::{self, MessageDelays, Note};
use super::resolver::Watch;
use super::resolver_result::ResolverResult;
use super::rpc::Rpc;
use crate::config::{BadConfig, Config};
use cottonnotch_decision::names::{Names, digest};
use cottonnotch_decision::settings::Profile;
use cottonnotch_decision::{
    Action, Balancer, ClassId, Entry, Event, Listed, Micros, Notice, Outcome, Request, RequestId, ServerId,
    TenantId, ZoneId,
};
use cottonnotch_reactor::listener::Listener;
use cottonnotch_reactor::seldom::Seldom;
use cottonnotch_reactor::signals::{SIGHUP, SIGTERM, Signals};
use cottonnotch_reactor::{Clock, Key, Reactor};
use mio::net::TcpListener;
use shutdown::Shutdown;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Descriptors kept for what is no RPC: the listener, the watch, the poll, standard streams, signals, and
/// clients that are told that there is no room.
const RESERVED_SOCKETS: usize = 32;
/// A quarter of the descriptors is not given to clients that have not asked yet ...
const KEPT_FOR_CALLS: usize = 4;
/// ... but so many are always let in, the proxy's own few objects included.
const TOLD_AT_ONCE: usize = 14;
/// Accepted in one turn before others have theirs.
const ACCEPTED_AT_ONCE: usize = 32;
/// Wait before accepting again when there is no descriptor left.
const ACCEPT_AFTER: Micros = 20_000;
/// No client is let go for want of room sooner than this after it connected: a usual one has sent its line.
const DISMISSED_AFTER: Micros = 100_000;
/// What a client is told when there is no descriptor for it.
const FULL_RETRY_AFTER: Micros = 1_000_000;
/// A connection that was open before the start is tried again after this, until its client gives up.
const REOPEN_AFTER: Micros = 200_000;

/// Timers: the module's tokens are below these.
const TICK: u32 = 1 << 16;
const ROUND: u32 = TICK + 1;
const REOPEN: u32 = TICK + 2;
const ACCEPT: u32 = TICK + 3;

/// A client's RPC as the driver knows it.
#[derive(Debug)]
struct Call {
    id: RequestId,
    /// Its id on the wire.
    wire_id: u64,
    /// Where its latest attempt went, and that attempt's number.
    at: Option<(ServerId, u32)>,
    attempts: u32,
    group: Option<u64>,
    stage: Stage,
}

#[derive(Debug, PartialEq)]
enum Stage {
    /// One final answer is owed.
    Owed,
    /// Open before the start: it goes to one subchannel, and the module hears of it when it is up.
    Reopening(Box<Request>),
    /// The connection is up.
    Up,
}

/// A render node, as the resolver has it.
#[derive(Debug, Default)]
struct Subchannel {
    address: Option<SocketAddr>,
    started: Option<Micros>,
}

/// Gets the whole configuration anew, from both files.
pub type Reread = Box<dyn Fn() -> Result<Config, BadConfig>>;

/// Everything that one proxy holds.
pub struct Driver {
    address: SocketAddr,
    reactor: Reactor<dyn Object>,
    listener: Rc<TcpListener>,
    accept_due: bool,
    /// Clients in the order in which they connected, until they are let go or are gone.
    arrived: VecDeque<(Micros, Key)>,
    balancer: Balancer,
    config: Config,
    reread: Reread,
    /// Ids of the subchannels: their numbers are the module's servers.
    names: Names,
    subchannels: Vec<Subchannel>,
    calls: BTreeMap<Key, Call>,
    keys: BTreeMap<RequestId, Key>,
    wire_ids: HashSet<u64>,
    next_id: u64,
    watch: Option<Key>,
    revision: u64,
    reopening: Vec<Key>,
    pending: VecDeque<Event>,
    shutdown: Option<Shutdown>,
    delays: MessageDelays,
    holding: Seldom,
    crowded: Seldom,
    rejections: Seldom,
}

impl Driver {
    /// Opens the sockets and starts the module. `reread` gets the configuration anew on SIGHUP.
    pub fn start(config: Config, reread: Reread) -> io::Result<Self> {
        let mut reactor = Reactor::<dyn Object>::new(Clock::unix())?;
        reactor.io.buffer_bound = config.buffer_bound;
        let mut shared = None;
        reactor.insert(|key, io| {
            let (listener, socket) = Listener::bind(config.listen, |_| Happening::Acceptable, key, io)?;
            shared = Some(socket);
            Ok(Box::new(listener))
        })?;
        let listener = shared.ok_or(io::ErrorKind::NotConnected)?;
        // Also where the system chose the port.
        let address = listener.local_addr()?;
        // Guards against the system's own answer to a signal, which is to end the process.
        let signals: [(i32, fn() -> Happening); 2] =
            [(SIGTERM, || Happening::Terminate), (SIGHUP, || Happening::Reload)];
        for (signal, happening) in signals {
            reactor.insert(|key, io| Ok(Box::new(Signals::register(signal, happening, key, io)?)))?;
        }
        let now = reactor.io.now();
        let settings = config.profile.settings.clone();
        let shortest = settings.shortest_aim();
        let delays = MessageDelays::new(settings.nodes, shortest, settings.weighted);
        let mut driver = Driver {
            address,
            balancer: Balancer::new(settings, config.seed, now),
            reactor,
            listener,
            accept_due: false,
            arrived: VecDeque::new(),
            wire_ids: HashSet::new(),
            names: Names::default(),
            subchannels: Vec::new(),
            calls: BTreeMap::new(),
            keys: BTreeMap::new(),
            next_id: 1,
            watch: None,
            revision: 0,
            reopening: Vec::new(),
            pending: VecDeque::new(),
            shutdown: None,
            delays,
            holding: Seldom::default(),
            crowded: Seldom::default(),
            rejections: Seldom::default(),
            config,
            reread,
        };
        let known = driver.config.known.clone();
        driver.resolved(known, true);
        driver.reactor.io.owner_timer(now + message_delay::EVERY, TICK);
        Ok(driver)
    }

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until a shutdown is over.
    pub fn run(&mut self) -> io::Result<()> {
        loop {
            self.reactor.turn()?;
            while let Some(happening) = self.reactor.io.reports.pop_front() {
                self.take(happening);
            }
            let now = self.reactor.io.now();
            if self.shutdown.is_some_and(|s| s.is_over(now)) {
                return Ok(());
            }
        }
    }

    fn take(&mut self, happening: Happening) {
        match happening {
            Happening::Acceptable if self.accept_due => {}
            Happening::Acceptable => self.accept(),
            Happening::Timer(ACCEPT) => {
                self.accept_due = false;
                self.accept();
            }
            Happening::TurnedAway { why } => self.turned_away(&why),
            Happening::Asked(key, wish) => self.asked(key, wish),
            Happening::Up { rpc, elapsed } => self.up(rpc, elapsed),
            Happening::AttemptEnded { rpc, outcome } => self.attempt_ended(rpc, outcome),
            Happening::Ended { rpc, outcome } => self.ended(rpc, outcome),
            Happening::ClientGone { rpc } => self.client_gone(rpc),
            Happening::Load { rpc, load } => {
                if let Some(call) = self.calls.get(&rpc) {
                    self.delays.load(call.id, load);
                    self.tell(Event::LoadNote { request: call.id, load });
                }
            }
            Happening::Message { rpc, delay } => self.message(rpc, delay),
            // What a watch said that is no longer the current one is old.
            Happening::Resolved { watch, result } if self.watch == Some(watch) => {
                self.resolved(result, false);
            }
            Happening::Resolved { .. } => {}
            Happening::ResolverLost { watch, why } => {
                if self.watch == Some(watch) {
                    let (discovery, revision) = (self.config.discovery, self.revision);
                    log::warn!(discovery:%, revision; "watch on discovery lost: {why}");
                    self.watch = None;
                    self.tell(Event::ListFailed);
                }
            }
            Happening::Terminate => self.terminate(),
            Happening::Reload => self.reload(),
            Happening::Timer(TICK) => self.tick(),
            Happening::Timer(ROUND) => self.round(),
            Happening::Timer(REOPEN) => {
                for key in std::mem::take(&mut self.reopening) {
                    self.reopen(key);
                }
            }
            Happening::Timer(token) => self.tell(Event::Timer(token)),
        }
    }

    // ---- clients ----

    fn accept(&mut self) {
        let now = self.reactor.io.now();
        if self.arrived.len() > 2 * self.config.sockets {
            let reactor = &self.reactor;
            self.arrived.retain(|(_, key)| reactor.contains(*key));
        }
        for _ in 0..ACCEPTED_AT_ONCE {
            if !self.make_room(Self::may_accept) {
                return self.accept_after(ACCEPT_AFTER);
            }
            match self.listener.accept() {
                Ok((stream, _)) => {
                    match self.reactor.insert(|key, io| Ok(Box::new(Rpc::accepted(stream, key, io)?))) {
                        Ok(key) => self.arrived.push_back((now, key)),
                        Err(error) => log::warn!(error:%; "client lost while it was accepted: {error}"),
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if is_passing(&error) => {}
                Err(error) => {
                    // Guards against EMFILE: the edge is told once, so without this timer the waiting
                    // clients would never be accepted.
                    let (connections, sockets) = (self.reactor.connections(), self.config.sockets);
                    log::error!(connections, sockets, error:%; "cannot accept: {error}");
                    return self.accept_after(ACCEPT_AFTER);
                }
            }
        }
        self.accept_after(0);
    }

    /// Goes on accepting later; a new client meanwhile is no reason to try sooner, nor for a second timer.
    fn accept_after(&mut self, wait: Micros) {
        let now = self.reactor.io.now();
        self.accept_due = true;
        self.reactor.io.owner_timer(now + wait, ACCEPT);
    }

    /// Descriptors that are free for RPCs. Each counts two: the client's and the subchannel's.
    fn room(&self) -> usize {
        let used = self.reactor.connections() + self.calls.len();
        self.config.sockets.saturating_sub(RESERVED_SOCKETS + used)
    }

    /// There is room for the subchannel's side of one more RPC.
    fn may_call(&self) -> bool {
        self.room() > 0
    }

    /// One more client may be let in: a part is kept for the subchannels of those that ask, and if RPCs have
    /// all of it, a few are let in to be told so.
    fn may_accept(&self) -> bool {
        let others = self.reactor.connections() - self.calls.len();
        self.room() > self.config.sockets / KEPT_FOR_CALLS || others < TOLD_AT_ONCE
    }

    /// Lets clients go that have asked nothing until there is room. Guards against those that connect by
    /// hundreds and say nothing, or stay when they were answered: they would hold the descriptors of others.
    fn make_room(&mut self, enough: fn(&Self) -> bool) -> bool {
        while !enough(self) {
            let now = self.reactor.io.now();
            let Some((at, key)) = self.arrived.front().copied() else { return false };
            if at + DISMISSED_AFTER > now {
                return false;
            }
            self.arrived.pop_front();
            self.with_front(key, |front, io| front.dismiss(io, FULL_RETRY_AFTER));
        }
        true
    }

    /// Says why a client is answered without an attempt, if a line of it must not reach a subchannel.
    fn objection(&self, wish: &Wish) -> Option<&'static str> {
        let Profile { tenants, settings, .. } = &self.config.profile;
        let stranger = |tenant: &String| !settings.tenants.is_empty() && tenants.find(tenant).is_none();
        if self.config.profile.class(&wish.class).is_none() {
            Some("the class is unknown")
        } else if wish.tenant.as_ref().is_some_and(stranger) {
            Some("the tenant is unknown")
        } else if self.wire_ids.contains(&wish.id) {
            // Guards against the id of another client's open connection: every subchannel answers it with an
            // error, and one such client would have them all paused.
            Some("the id is open already")
        } else {
            None
        }
    }

    fn asked(&mut self, key: Key, wish: Wish) {
        if let Some(why) = self.objection(&wish) {
            self.turned_away(why);
            return self.fail(key, why);
        }
        if !self.make_room(Self::may_call) {
            // Guards against running out of descriptors: one that waited unanswered would not come again.
            let now = self.reactor.io.now();
            if let Some(more) = self.crowded.due(now) {
                let (rpcs, sockets) = (self.calls.len(), self.config.sockets);
                log::warn!(
                    rpcs, sockets, left_out = more;
                    "out of sockets, a client gets the unavailable status ({more} more since)"
                );
            }
            self.with_front(key, |front, io| front.unavailable(io, FULL_RETRY_AFTER));
            return;
        }
        let Some(class) = self.config.profile.class(&wish.class) else { return };
        let tenants = &self.config.profile.tenants;
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let request = Request {
            id,
            class: ClassId(class as u16),
            tenant: wish.tenant.and_then(|t| tenants.find(&t)).map(|t| TenantId(t as u16)),
            left: wish.left,
            load_hint: wish.load_hint,
            group: wish.group,
            again: wish.again,
        };
        self.keys.insert(id, key);
        self.wire_ids.insert(wish.id);
        let wire_id = wish.id;
        let call = Call { id, wire_id, at: None, attempts: 0, group: wish.group, stage: Stage::Owed };
        // One that names a subchannel which is not known is a new connection like any other.
        let at = wish.at.and_then(|at| self.names.find(&at));
        match at {
            None => {
                self.calls.insert(key, call);
                self.tell(Event::Request(request));
            }
            Some(at) => {
                let stage = Stage::Reopening(Box::new(request));
                self.calls.insert(key, Call { at: Some((ServerId(at), 0)), stage, ..call });
                self.reopen(key);
            }
        }
    }

    /// Calls `use_it` on a client's RPC, if it still exists.
    fn with_front<T>(&mut self, key: Key, use_it: impl FnOnce(&mut dyn Front, &mut Io) -> T) -> Option<T> {
        self.reactor.with(key, |object, io| object.front().map(|front| use_it(front, io))).flatten()
    }

    /// Logs that a client was turned away with an error.
    fn turned_away(&mut self, why: &str) {
        let now = self.reactor.io.now();
        if let Some(more) = self.rejections.due(now) {
            log::warn!(
                reason = why, left_out = more;
                "client turned away: {why} ({more} more since the last such line)"
            );
        }
    }

    fn fail(&mut self, key: Key, why: &str) {
        self.with_front(key, |front, io| front.fail(io, why));
    }

    /// Takes a connection that was open before the start back to its subchannel.
    fn reopen(&mut self, key: Key) {
        let Some(Call { at: Some((server, _)), .. }) = self.calls.get(&key) else { return };
        if !self.attempt(key, *server, 0) {
            self.reopen_later(key);
        }
    }

    fn reopen_later(&mut self, key: Key) {
        let now = self.reactor.io.now();
        self.reopening.push(key);
        self.reactor.io.owner_timer(now + REOPEN_AFTER, REOPEN);
    }

    fn attempt(&mut self, key: Key, server: ServerId, timeout: Micros) -> bool {
        let address = self.subchannels.get(server.0 as usize).and_then(|s| s.address);
        let Some(address) = address else { return false };
        let connect_timeout = self.config.profile.connect_timeout;
        let order = AttemptOrder { address, timeout, connect_timeout };
        self.with_front(key, |front, io| front.attempt(io, order)).unwrap_or(false)
    }

    fn up(&mut self, key: Key, elapsed: Micros) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        let Some((server, attempt)) = call.at else { return };
        let (request, group) = (call.id, call.group);
        let (event, setup) = match std::mem::replace(&mut call.stage, Stage::Up) {
            Stage::Reopening(request) => (Event::Open { request: *request, server }, None),
            _ => (Event::Established { request, attempt, server, elapsed }, Some(elapsed)),
        };
        let group = group.filter(|_| self.config.profile.settings.groups);
        self.delays.opened(request, server, group, setup);
        self.tell(event);
    }

    fn attempt_ended(&mut self, key: Key, outcome: Outcome) {
        let Some(call) = self.calls.get(&key) else { return };
        let (request, at) = (call.id, call.at);
        match (&call.stage, at) {
            (Stage::Reopening(_), _) => self.reopen_later(key),
            (_, Some((server, attempt))) => {
                self.tell(Event::Ended { request, attempt, server, outcome, last: false });
            }
            _ => {}
        }
    }

    fn ended(&mut self, key: Key, outcome: Outcome) {
        let Some(call) = self.forget(key) else { return };
        if let Some((server, attempt)) = call.at {
            self.tell(Event::Ended { request: call.id, attempt, server, outcome, last: true });
        }
    }

    fn client_gone(&mut self, key: Key) {
        let Some(call) = self.forget(key) else { return };
        if matches!(call.stage, Stage::Reopening(_)) {
            return;
        }
        self.tell(Event::Gone(call.id));
        if let Some((server, attempt)) = call.at {
            // Each attempt's end is told, or a trial would be out for ever.
            let (request, outcome) = (call.id, Outcome::Cancelled);
            self.tell(Event::Ended { request, attempt, server, outcome, last: true });
        }
    }

    fn forget(&mut self, key: Key) -> Option<Call> {
        let call = self.calls.remove(&key)?;
        self.keys.remove(&call.id);
        self.wire_ids.remove(&call.wire_id);
        self.delays.ended(call.id);
        Some(call)
    }

    // ---- messages ----

    fn message(&mut self, key: Key, delay: Micros) {
        let now = self.reactor.io.now();
        let Some(Call { at: Some((server, _)), .. }) = self.calls.get(&key) else { return };
        self.delays.measured(now, *server, delay);
    }

    fn tick(&mut self) {
        let now = self.reactor.io.now();
        self.reactor.io.owner_timer(now + message_delay::EVERY, TICK);
        let up: Vec<Key> = self.up_calls().map(|(key, _)| key).collect();
        for key in up {
            let waited = self.with_front(key, |front, _| front.waiting_for(now)).flatten();
            // A line that is still unanswered shows a delay as well as a late reply does.
            if let Some(waited) = waited {
                self.message(key, waited);
            }
        }
        for Note { request, server, delay } in self.delays.notes(now) {
            if self.keys.contains_key(&request) {
                self.tell(Event::DelayNote { request, server, delay });
            }
        }
    }

    fn up_calls(&self) -> impl Iterator<Item = (Key, RequestId)> {
        let up = self.calls.iter().filter(|(_, call)| call.stage == Stage::Up);
        up.map(|(key, call)| (*key, call.id))
    }

    // ---- the list ----

    fn resolved(&mut self, result: ResolverResult, copy: bool) {
        let ResolverResult { revision, complete: full, members } = result;
        self.revision = revision;
        let mut entries = Vec::with_capacity(members.len());
        for member in members {
            // Numbers are never given anew: a member that restarts or moves keeps its number.
            let number = self.names.intern(&member.id);
            if self.subchannels.len() <= number as usize {
                self.subchannels.resize_with(number as usize + 1, Subchannel::default);
            }
            let subchannel = &mut self.subchannels[number as usize];
            subchannel.address = member.address.or(subchannel.address);
            let anew = std::mem::replace(&mut subchannel.started, member.started) != member.started;
            self.delays.listed(ServerId(number), member.weight, anew);
            entries.push(Entry {
                server: ServerId(number),
                digest: digest(&member.id),
                state: member.state,
                zone: ZoneId(self.config.profile.zones.intern(&member.zone) as u16),
                cell: member.cell,
                started: member.started,
                weight: member.weight,
            });
        }
        let members = entries.len();
        log::debug!(
            revision, members, complete = full;
            "resolver result {revision}: {members} members, complete {full}"
        );
        for entry in entries.iter().filter(|e| e.state != Listed::Ready) {
            let (subchannel, state) = (self.names.name(entry.server.0), entry.state);
            log::info!(subchannel, state:?, revision; "subchannel {subchannel} is {state:?}");
        }
        self.tell(Event::List { full, copy, entries });
    }

    fn watch(&mut self) {
        if let Some(old) = self.watch.take() {
            self.reactor.remove(old);
        }
        let (discovery, from) = (self.config.discovery, self.revision);
        match self.reactor.insert(|key, io| Ok(Box::new(Watch::start(discovery, from, key, io)?))) {
            Ok(key) => self.watch = Some(key),
            Err(error) => {
                log::warn!(discovery:%, error:%; "cannot watch discovery: {error}");
                self.pending.push_back(Event::ListFailed);
            }
        }
    }

    // ---- the configuration ----

    /// Takes a new configuration as a whole, or keeps the old one. No connection is touched.
    fn reload(&mut self) {
        let new = match (self.reread)() {
            Ok(new) => new,
            Err(error) => {
                return log::error!(key = error.key(); "configuration kept, the new one is faulty: {error}");
            }
        };
        if new.listen != self.config.listen {
            log::warn!(
                key = "listen", address:% = self.address;
                "listen cannot change while clients are served, still at {}", self.address
            );
        }
        let old = &self.config;
        let operator = new.operator.succeed(&old.operator);
        log::info!(discovery:% = new.discovery; "configuration read again, discovery at {}", new.discovery);
        let moved = new.discovery != old.discovery;
        let profile = new.profile.succeed(&old.profile);
        let settings = profile.settings.clone();
        self.delays.set(settings.nodes, settings.shortest_aim(), settings.weighted);
        self.reactor.io.buffer_bound = new.buffer_bound;
        let known = old.known.clone();
        self.config = Config { listen: old.listen, seed: old.seed, known, profile, operator, ..new };
        self.tell(Event::Settings(Box::new(settings)));
        if moved {
            // At once, and from the last revision taken: the old address may have told its last already.
            // That its watch ends is no failure; the module hears only of the new one's.
            self.watch();
            self.settle();
        }
    }

    // ---- shutdown ----

    fn terminate(&mut self) {
        if self.shutdown.is_some() {
            return;
        }
        let now = self.reactor.io.now();
        let longest = self.config.profile.settings.classes.iter().map(|c| c.deadline).max();
        let (rpcs, up) = (self.calls.len(), self.up_calls().count());
        log::info!(rpcs, up; "asked to stop: clients are moved");
        self.shutdown = Some(Shutdown::begin(now, longest.unwrap_or(0)));
        self.round();
    }

    fn round(&mut self) {
        let now = self.reactor.io.now();
        let up: Vec<RequestId> = self.up_calls().map(|(_, id)| id).collect();
        let Some(shutdown) = &mut self.shutdown else { return };
        self.reactor.io.owner_timer(now + shutdown::ROUND, ROUND);
        let (quota, is_last) = (shutdown.quota(now, up.len()), shutdown.is_last(now));
        for id in up.iter().take(quota) {
            self.move_away(*id);
        }
        self.settle();
        if is_last {
            let owed: Vec<Key> = self.calls.keys().copied().collect();
            for key in owed {
                self.with_front(key, |front, io| front.abandon(io));
                self.forget(key);
            }
        }
    }

    // ---- the module ----

    fn tell(&mut self, event: Event) {
        self.pending.push_back(event);
        self.settle();
    }

    /// Hands the module what is pending, and what comes of its own actions.
    fn settle(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.pending.pop_front() {
            let now = self.reactor.io.now();
            log::debug!("event {event:?}");
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                log::debug!("action {action:?}");
                self.act(now, action);
            }
        }
    }

    fn act(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { request, server, timeout } => self.send(request, server, timeout),
            Action::Refuse { request, retry_after } => {
                if let Some(key) = self.answerable(request) {
                    self.with_front(key, |front, io| front.unavailable(io, retry_after));
                }
            }
            Action::Fail(request) => {
                if let Some(key) = self.answerable(request) {
                    self.fail(key, "no attempt went well");
                }
            }
            Action::Move(request) => self.move_away(request),
            Action::Watch => self.watch(),
            // No probe is made: the module asks for none.
            Action::Probe(server) => {
                self.pending.push_back(Event::Probed { server, report: None });
            }
            Action::Timer { after, token } => self.reactor.io.owner_timer(now + after, token),
            Action::Log { notice, server } => self.log(notice, server),
        }
    }

    /// The RPC of a request that is owed its final answer, which it then gets.
    fn answerable(&mut self, request: RequestId) -> Option<Key> {
        let key = self.keys.get(&request).copied();
        invariant!(key.is_some(), "a final answer is given once, to a request that is owed one");
        self.forget(key?);
        key
    }

    fn send(&mut self, request: RequestId, server: ServerId, timeout: Micros) {
        let key = self.keys.get(&request).copied();
        let call = key.and_then(|key| self.calls.get_mut(&key));
        let (Some(key), Some(call)) = (key, call) else {
            invariant!(false, "an attempt is made for a request that is owed an answer");
            return;
        };
        let attempt = call.attempts;
        (call.at, call.attempts) = (Some((server, attempt)), attempt + 1);
        if !self.attempt(key, server, timeout) {
            let outcome = Outcome::NotSent;
            self.pending.push_back(Event::Ended { request, attempt, server, outcome, last: false });
        }
    }

    fn move_away(&mut self, request: RequestId) {
        let Some(key) = self.keys.get(&request).copied() else { return };
        if self.with_front(key, |front, io| front.move_away(io)) != Some(true) {
            return;
        }
        let Some(Call { at: Some((server, attempt)), .. }) = self.forget(key) else { return };
        let outcome = Outcome::Cancelled;
        self.pending.push_back(Event::Ended { request, attempt, server, outcome, last: true });
    }

    fn log(&mut self, notice: Notice, server: Option<ServerId>) {
        if notice == Notice::Holding {
            let now = self.reactor.io.now();
            if self.holding.due(now).is_none() {
                return;
            }
        }
        let subchannel = server.map_or("-", |server| self.names.name(server.0));
        let (discovery, revision, rpcs) = (self.config.discovery, self.revision, self.calls.len());
        match notice {
            Notice::PausedFailing => log::warn!(subchannel; "subchannel {subchannel} paused, keeps failing"),
            Notice::Recovered => log::info!(subchannel; "subchannel {subchannel} back after a good trial"),
            Notice::Holding => log::warn!(rpcs; "no subchannel can be used now, holding RPCs"),
            Notice::ListUnreachable => {
                log::error!(
                    discovery:%, revision;
                    "discovery cannot be reached, going on with the last list"
                )
            }
        }
    }
}

/// The client was gone before it was accepted, or a signal came.
fn is_passing(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted)
}
