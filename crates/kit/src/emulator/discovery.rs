//! Emulates the discovery service on real sockets, on a thread of its own. The [`Discovery`] model decides what is sent
//! and when.

use super::discovery_connection::{DiscoveryConnection, Party, Report, Tells};
use super::discovery_list::render;
use super::fault::Fault;
use crate::addresses::Addresses;
use crate::board::Board;
use crate::model::discovery::{Discovery, How, Input, Output};
use crate::model::registry::{Registry, Update};
use crate::notes::{Notes, merge};
use crate::observation::{Observation, Seen};
use crate::plan::{NodeChange, NodeId, Plan, ProxyId, TimelineChange};
use crate::time::{MS, Micros, RunClock};
use cottonnotch_reactor::listener::Listener;
use cottonnotch_reactor::{Io, Key, Reactor};
use mio::net::TcpListener;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::sync::Arc;

/// Interval between two checks whether the run is over.
const LOOK: Micros = 10 * MS;
/// Interval at which the lag of this loop is measured.
const LAG: Micros = 100 * MS;
const LOOKS: u32 = 0;
const LAGS: u32 = 1;
const TIMELINE: u32 = 2;
const MODEL: u32 = 3;

#[derive(Debug)]
struct Caller {
    id: u64,
    proxy: ProxyId,
    watches: bool,
}

struct Service<'a> {
    plan: &'a Plan,
    addresses: &'a Addresses,
    clock: RunClock,
    reactor: Reactor<Party>,
    model: Discovery,
    listeners: BTreeMap<Key, (Rc<TcpListener>, ProxyId)>,
    callers: BTreeMap<Key, Caller>,
    keys: BTreeMap<u64, Key>,
    last_id: u64,
    started: BTreeMap<NodeId, Micros>,
    notes: Notes,
    next: usize,
    lag_due: Micros,
    armed: Option<Micros>,
}

/// Runs the discovery service until the board stops the run, and returns the observations.
///
/// # Errors
///
/// A [`Fault`] inside an [`io::Error`]: an address is in use, no file descriptor is left, polling fails, or the list
/// cannot be serialized as JSON.
pub fn run(plan: Arc<Plan>, addresses: Arc<Addresses>, board: Arc<Board>) -> io::Result<Vec<Observation>> {
    let reactor = Reactor::new(board.clock.for_loop()).map_err(|e| Fault::of("discovery", None, e))?;
    let now = board.clock.now();
    let mut service = Service {
        plan: &plan,
        addresses: &addresses,
        clock: board.clock,
        reactor,
        model: Discovery::new(&plan),
        listeners: BTreeMap::new(),
        callers: BTreeMap::new(),
        keys: BTreeMap::new(),
        last_id: 0,
        started: BTreeMap::new(),
        notes: Notes::default(),
        next: 0,
        lag_due: now + LAG,
        armed: None,
    };
    service.listen(0)?;
    board.ready();
    service.note(Seen::DiscoveryUp { up: true });
    for (node, entry) in Registry::new(&plan).whole().entries {
        service.note(Seen::Listed { node, phase: entry.phase });
    }
    service.reactor.io.owner_timer(now + LOOK, LOOKS);
    service.reactor.io.owner_timer(service.lag_due, LAGS);
    service.reactor.io.owner_timer(now, TIMELINE);
    while !board.is_stopping() {
        service.reactor.turn().map_err(|e| Fault::of("discovery's loop", None, e))?;
        while let Some(report) = service.reactor.io.reports.pop_front() {
            service.take(report)?;
        }
    }
    Ok(merge(vec![service.notes.into_inner()]))
}

impl Service<'_> {
    fn now(&self) -> Micros {
        self.reactor.io.now()
    }

    fn note(&mut self, seen: Seen) {
        self.notes.note(self.now(), seen);
    }

    fn take(&mut self, report: Report) -> io::Result<()> {
        match report {
            Report::Timer(timer) => self.timer(timer),
            Report::Accept(key) => self.accept(key),
            Report::Call(key, call) => match self.callers.get(&key) {
                Some(caller) => self.model(Input::Call(caller.id, call)),
                None => Ok(()),
            },
            Report::Written { key, tells, at } => {
                let Some(caller) = self.callers.get_mut(&key) else { return Ok(()) };
                let proxy = caller.proxy;
                if tells.begins {
                    caller.watches = true;
                    self.notes.note(at, Seen::Watching { proxy, on: true });
                }
                for (node, phase) in tells.nodes {
                    self.notes.note(at, Seen::Told { proxy, node, phase });
                }
                Ok(())
            }
            Report::Gone(key, at) => {
                let Some(caller) = self.callers.remove(&key) else { return Ok(()) };
                self.keys.remove(&caller.id);
                if caller.watches {
                    self.notes.note(at, Seen::Watching { proxy: caller.proxy, on: false });
                }
                self.model(Input::Ended(caller.id))
            }
        }
    }

    fn timer(&mut self, timer: u32) -> io::Result<()> {
        let now = self.now();
        match timer {
            // The timer only wakes the loop, which then checks whether the run is over.
            LOOKS => self.reactor.io.owner_timer(now + LOOK, LOOKS),
            LAGS => {
                self.note(Seen::Lag { late: now - self.lag_due });
                self.lag_due = now + LAG;
                self.reactor.io.owner_timer(self.lag_due, LAGS);
            }
            TIMELINE => self.timeline(now)?,
            _ => {
                self.armed.take_if(|at| *at <= now);
                self.model(Input::Tick)?;
            }
        }
        Ok(())
    }

    fn timeline(&mut self, now: Micros) -> io::Result<()> {
        let plan = self.plan;
        while let Some(event) = plan.timeline.get(self.next) {
            if event.at > now {
                self.reactor.io.owner_timer(event.at, TIMELINE);
                break;
            }
            self.next += 1;
            match event.change {
                TimelineChange::Node(node, NodeChange::Start) => drop(self.started.insert(node, event.at)),
                TimelineChange::Listed(node, phase) => {
                    self.note(Seen::Listed { node, phase });
                    self.model(Input::Listed(node, phase, self.started.get(&node).copied()))?;
                }
                TimelineChange::Discovery(change) => self.model(Input::Change(change))?,
                _ => {}
            }
        }
        Ok(())
    }

    fn model(&mut self, input: Input) -> io::Result<()> {
        let mut out = Vec::new();
        self.model.handle(self.now(), input, &mut out);
        out.into_iter().try_for_each(|output| self.perform(output))?;
        if let Some(at) = self.model.next_timeout()
            && self.armed.is_none_or(|armed| at < armed)
        {
            self.armed = Some(at);
            self.reactor.io.owner_timer(at, MODEL);
        }
        Ok(())
    }

    fn perform(&mut self, output: Output) -> io::Result<()> {
        match output {
            Output::List(id, update) => {
                let (json, tells) = self.text(id, &update)?;
                self.called(id, true);
                self.connection(id, |c, io| c.answer(&json, tells, io));
            }
            Output::Begin(id, update) => {
                let (json, tells) = self.text(id, &update)?;
                self.connection(id, |c, io| c.begin(&json, Tells { begins: true, ..tells }, io));
            }
            Output::Line(id, update, how) => {
                let (json, tells) = self.text(id, &update)?;
                self.connection(id, |c, io| match how {
                    How::Whole => c.line(&json, tells, io),
                    How::Pieces => c.line_in_pieces(&json, tells, io),
                    // Truncated in the middle, as by a faulty writer, so that the proxy cannot parse it.
                    How::Unreadable => c.line(&json[..json.len() / 2], Tells::default(), io),
                });
            }
            Output::Beat(id) => self.connection(id, |c, io| c.line("", Tells::default(), io)),
            Output::Unavailable(id) => {
                self.called(id, false);
                self.connection(id, |c, io| c.refuse("503 Service Unavailable", io));
            }
            Output::Reset(id) => {
                self.called(id, false);
                self.connection(id, |c, _| c.reset());
            }
            Output::Close(id) => {
                self.connection(id, |c, io| c.close(io));
                self.watch_ends(id);
            }
            Output::Listen(moves) => self.listen(moves)?,
            Output::Deaf => self.deaf(),
            Output::Reachable(up) => self.note(Seen::DiscoveryUp { up }),
        }
        Ok(())
    }

    /// Records that a call for the list was answered or failed. The end of an open watch is recorded by
    /// [`Self::watch_ends`] instead.
    fn called(&mut self, id: u64, answered: bool) {
        let caller = self.keys.get(&id).and_then(|key| self.callers.get(key));
        if let Some(Caller { proxy, watches: false, .. }) = caller {
            let proxy = *proxy;
            self.note(Seen::ListCall { proxy, answered });
        }
    }

    fn watch_ends(&mut self, id: u64) {
        let caller = self.keys.get(&id).and_then(|key| self.callers.get_mut(key));
        if let Some(caller) = caller
            && std::mem::take(&mut caller.watches)
        {
            let proxy = caller.proxy;
            self.note(Seen::Watching { proxy, on: false });
        }
    }

    /// Serializes an update for the proxy of a connection, and lists the phases of render nodes that it tells the
    /// proxy.
    fn text(&self, id: u64, update: &Update) -> io::Result<(String, Tells)> {
        let caller = self.keys.get(&id).and_then(|key| self.callers.get(key));
        let proxy = caller.map_or(ProxyId(0), |caller| caller.proxy);
        let json = render(update, self.plan, self.addresses, &self.clock, proxy)
            .map_err(|e| Fault::of("discovery's list", None, io::Error::other(e)))?;
        let nodes = update.entries.iter().map(|(node, entry)| (*node, entry.phase)).collect();
        Ok((json, Tells { nodes, begins: false }))
    }

    fn connection(&mut self, id: u64, use_it: impl FnOnce(&mut DiscoveryConnection, &mut Io<Report>)) {
        let Some(key) = self.keys.get(&id).copied() else { return };
        self.reactor.with(key, |party, io| {
            if let Party::Connection(connection) = party {
                use_it(connection, io);
            }
        });
    }

    fn deaf(&mut self) {
        for key in std::mem::take(&mut self.listeners).into_keys() {
            self.reactor.remove(key);
        }
    }

    fn listen(&mut self, moves: u16) -> io::Result<()> {
        self.deaf();
        for proxy in (0..self.plan.proxies.len()).map(|p| ProxyId(p as u16)) {
            let address = self.addresses.discovery(moves, proxy);
            let mut shared = None;
            let bound = self.reactor.insert(|key, io| {
                let (listener, socket) = Listener::bind(address, Report::Accept, key, io)?;
                shared = Some(socket);
                Ok(Box::new(Party::Listener(listener)))
            });
            let key = bound.map_err(|e| Fault::of("discovery", Some(address), e))?;
            if let Some(socket) = shared {
                self.listeners.insert(key, (socket, proxy));
            }
        }
        Ok(())
    }

    fn accept(&mut self, listener: Key) -> io::Result<()> {
        while let Some((socket, proxy)) = self.listeners.get(&listener) {
            let proxy = *proxy;
            let stream = match socket.accept() {
                Ok((stream, _)) => stream,
                Err(error) => match error.kind() {
                    io::ErrorKind::WouldBlock => break,
                    io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted => continue,
                    _ => return Err(Fault::of("discovery's connections", None, error).into()),
                },
            };
            let made = self.reactor.insert(|key, io| {
                Ok(Box::new(Party::Connection(DiscoveryConnection::accepted(stream, key, io)?)))
            });
            // The connection is already closed, and no call was read from it.
            let Ok(key) = made else { continue };
            self.last_id += 1;
            let id = self.last_id;
            self.callers.insert(key, Caller { id, proxy, watches: false });
            self.keys.insert(id, key);
            self.model.opened(id);
        }
        Ok(())
    }
}
