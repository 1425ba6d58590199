//! Emulates the discovery service on real sockets, on a thread of its own. The [`Discovery`] model decides what is sent
//! and when.

use super::discovery_connection::{DiscoveryConnection, DiscoveryReport, DiscoverySocket, UpdateSummary};
use super::discovery_list;
use super::fault::Fault;
use crate::addresses::Addresses;
use crate::board::Board;
use crate::model::discovery::{Discovery, Input, Output, WriteMode};
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
const STOP_CHECK_INTERVAL: Micros = 10 * MS;
/// Interval at which the lag of this loop is measured.
const LAG_INTERVAL: Micros = 100 * MS;
const STOP_CHECK_TIMER: u32 = 0;
const LAG_TIMER: u32 = 1;
const TIMELINE_TIMER: u32 = 2;
const MODEL_TIMER: u32 = 3;

/// One connection of a proxy.
#[derive(Debug)]
struct Caller {
    /// Number by which the model knows the connection.
    id: u64,
    proxy: ProxyId,
    /// The connection has an open watch.
    is_watching: bool,
}

struct DiscoveryService<'a> {
    plan: &'a Plan,
    addresses: &'a Addresses,
    clock: RunClock,
    reactor: Reactor<DiscoverySocket>,
    model: Discovery,
    listeners: BTreeMap<Key, (Rc<TcpListener>, ProxyId)>,
    callers: BTreeMap<Key, Caller>,
    keys_by_id: BTreeMap<u64, Key>,
    last_caller_id: u64,
    /// Time of the last start of each render node that the timeline has started.
    starts: BTreeMap<NodeId, Micros>,
    notes: Notes,
    next_event: usize,
    lag_due: Micros,
    /// When the model's timer fires. `None` if no timer is set.
    model_timer_due: Option<Micros>,
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
    let mut service = DiscoveryService {
        plan: &plan,
        addresses: &addresses,
        clock: board.clock,
        reactor,
        model: Discovery::new(&plan),
        listeners: BTreeMap::new(),
        callers: BTreeMap::new(),
        keys_by_id: BTreeMap::new(),
        last_caller_id: 0,
        starts: BTreeMap::new(),
        notes: Notes::default(),
        next_event: 0,
        lag_due: now + LAG_INTERVAL,
        model_timer_due: None,
    };
    service.listen(0)?;
    board.ready();
    service.record(Seen::DiscoveryUp { up: true });
    for (node, entry) in Registry::new(&plan).complete_list().entries {
        service.record(Seen::Listed { node, phase: entry.phase });
    }
    service.reactor.io.owner_timer(now + STOP_CHECK_INTERVAL, STOP_CHECK_TIMER);
    service.reactor.io.owner_timer(service.lag_due, LAG_TIMER);
    service.reactor.io.owner_timer(now, TIMELINE_TIMER);
    while !board.is_stopping() {
        service.reactor.turn().map_err(|e| Fault::of("discovery's loop", None, e))?;
        while let Some(report) = service.reactor.io.reports.pop_front() {
            service.handle_report(report)?;
        }
    }
    Ok(merge(vec![service.notes.into_inner()]))
}

impl DiscoveryService<'_> {
    fn now(&self) -> Micros {
        self.reactor.io.now()
    }

    fn record(&mut self, seen: Seen) {
        self.notes.note(self.now(), seen);
    }

    fn handle_report(&mut self, report: DiscoveryReport) -> io::Result<()> {
        match report {
            DiscoveryReport::Timer(timer) => self.handle_timer(timer),
            DiscoveryReport::Accept(key) => self.accept_connections(key),
            DiscoveryReport::Call(key, call) => match self.callers.get(&key) {
                Some(caller) => self.handle_input(Input::Call(caller.id, call)),
                None => Ok(()),
            },
            DiscoveryReport::Written { key, summary, at } => {
                let Some(caller) = self.callers.get_mut(&key) else { return Ok(()) };
                let proxy = caller.proxy;
                if summary.begins_watch {
                    caller.is_watching = true;
                    self.notes.note(at, Seen::Watching { proxy, on: true });
                }
                for (node, phase) in summary.phases {
                    self.notes.note(at, Seen::Told { proxy, node, phase });
                }
                Ok(())
            }
            DiscoveryReport::Closed(key, at) => {
                let Some(caller) = self.callers.remove(&key) else { return Ok(()) };
                self.keys_by_id.remove(&caller.id);
                if caller.is_watching {
                    self.notes.note(at, Seen::Watching { proxy: caller.proxy, on: false });
                }
                self.handle_input(Input::Ended(caller.id))
            }
        }
    }

    fn handle_timer(&mut self, timer: u32) -> io::Result<()> {
        let now = self.now();
        match timer {
            // The timer only wakes the loop, which then checks whether the run is over.
            STOP_CHECK_TIMER => self.reactor.io.owner_timer(now + STOP_CHECK_INTERVAL, STOP_CHECK_TIMER),
            LAG_TIMER => {
                self.record(Seen::Lag { late: now - self.lag_due });
                self.lag_due = now + LAG_INTERVAL;
                self.reactor.io.owner_timer(self.lag_due, LAG_TIMER);
            }
            TIMELINE_TIMER => self.apply_timeline(now)?,
            _ => {
                self.model_timer_due.take_if(|at| *at <= now);
                self.handle_input(Input::Tick)?;
            }
        }
        Ok(())
    }

    /// Applies the timeline events that are due, and sets a timer for the next one.
    fn apply_timeline(&mut self, now: Micros) -> io::Result<()> {
        let plan = self.plan;
        while let Some(event) = plan.timeline.get(self.next_event) {
            if event.at > now {
                self.reactor.io.owner_timer(event.at, TIMELINE_TIMER);
                break;
            }
            self.next_event += 1;
            match event.change {
                TimelineChange::Node(node, NodeChange::Start) => drop(self.starts.insert(node, event.at)),
                TimelineChange::Listed(node, phase) => {
                    self.record(Seen::Listed { node, phase });
                    self.handle_input(Input::Listed(node, phase, self.starts.get(&node).copied()))?;
                }
                TimelineChange::Discovery(change) => self.handle_input(Input::Change(change))?,
                _ => {}
            }
        }
        Ok(())
    }

    fn handle_input(&mut self, input: Input) -> io::Result<()> {
        let mut outputs = Vec::new();
        self.model.handle(self.now(), input, &mut outputs);
        outputs.into_iter().try_for_each(|output| self.perform(output))?;
        if let Some(at) = self.model.next_timeout()
            && self.model_timer_due.is_none_or(|due| at < due)
        {
            self.model_timer_due = Some(at);
            self.reactor.io.owner_timer(at, MODEL_TIMER);
        }
        Ok(())
    }

    fn perform(&mut self, output: Output) -> io::Result<()> {
        match output {
            Output::List(id, update) => {
                let (json, summary) = self.serialize_update(id, &update)?;
                self.record_call(id, true);
                self.with_connection(id, |c, io| c.respond(&json, summary, io));
            }
            Output::StartWatch(id, update) => {
                let (json, summary) = self.serialize_update(id, &update)?;
                self.with_connection(id, |c, io| {
                    c.begin_watch(&json, UpdateSummary { begins_watch: true, ..summary }, io)
                });
            }
            Output::ContinueWatch(id, update, how) => {
                let (json, summary) = self.serialize_update(id, &update)?;
                self.with_connection(id, |c, io| match how {
                    WriteMode::Whole => c.write_line(&json, summary, io),
                    WriteMode::Pieces => c.write_line_in_pieces(&json, summary, io),
                    // Truncated in the middle, as by a faulty writer, so that the proxy cannot parse it.
                    WriteMode::Unreadable => {
                        c.write_line(&json[..json.len() / 2], UpdateSummary::default(), io)
                    }
                });
            }
            Output::Heartbeat(id) => {
                self.with_connection(id, |c, io| c.write_line("", UpdateSummary::default(), io))
            }
            Output::Unavailable(id) => {
                self.record_call(id, false);
                self.with_connection(id, |c, io| c.respond_error("503 Service Unavailable", io));
            }
            Output::Reset(id) => {
                self.record_call(id, false);
                self.with_connection(id, |c, _| c.reset());
            }
            Output::Close(id) => {
                self.with_connection(id, |c, io| c.close(io));
                self.end_watch(id);
            }
            Output::Listen(moves) => self.listen(moves)?,
            Output::StopListening => self.close_listeners(),
            Output::Reachable(up) => self.record(Seen::DiscoveryUp { up }),
        }
        Ok(())
    }

    /// Records that a call for the list was answered or failed. The end of an open watch is recorded by
    /// [`Self::end_watch`] instead.
    fn record_call(&mut self, id: u64, answered: bool) {
        let caller = self.keys_by_id.get(&id).and_then(|key| self.callers.get(key));
        if let Some(Caller { proxy, is_watching: false, .. }) = caller {
            let proxy = *proxy;
            self.record(Seen::ListCall { proxy, answered });
        }
    }

    /// Records the end of a connection's watch, if one is open.
    fn end_watch(&mut self, id: u64) {
        let caller = self.keys_by_id.get(&id).and_then(|key| self.callers.get_mut(key));
        if let Some(caller) = caller
            && std::mem::take(&mut caller.is_watching)
        {
            let proxy = caller.proxy;
            self.record(Seen::Watching { proxy, on: false });
        }
    }

    /// Serializes an update for the proxy of a connection, and lists the phases of render nodes that it tells the
    /// proxy.
    fn serialize_update(&self, id: u64, update: &Update) -> io::Result<(String, UpdateSummary)> {
        let caller = self.keys_by_id.get(&id).and_then(|key| self.callers.get(key));
        let proxy = caller.map_or(ProxyId(0), |caller| caller.proxy);
        let json = discovery_list::serialize_update(update, self.plan, self.addresses, &self.clock, proxy)
            .map_err(|e| Fault::of("discovery's list", None, io::Error::other(e)))?;
        let phases = update.entries.iter().map(|(node, entry)| (*node, entry.phase)).collect();
        Ok((json, UpdateSummary { phases, begins_watch: false }))
    }

    fn with_connection(
        &mut self,
        id: u64,
        action: impl FnOnce(&mut DiscoveryConnection, &mut Io<DiscoveryReport>),
    ) {
        let Some(key) = self.keys_by_id.get(&id).copied() else { return };
        self.reactor.with(key, |socket, io| {
            if let DiscoverySocket::Connection(connection) = socket {
                action(connection, io);
            }
        });
    }

    fn close_listeners(&mut self) {
        for key in std::mem::take(&mut self.listeners).into_keys() {
            self.reactor.remove(key);
        }
    }

    /// Listens for every proxy at the address that discovery has after the given number of moves, and nowhere else.
    fn listen(&mut self, moves: u16) -> io::Result<()> {
        self.close_listeners();
        for proxy in (0..self.plan.proxies.len()).map(|p| ProxyId(p as u16)) {
            let address = self.addresses.discovery(moves, proxy);
            let mut shared = None;
            let bound = self.reactor.insert(|key, io| {
                let (listener, socket) = Listener::bind(address, DiscoveryReport::Accept, key, io)?;
                shared = Some(socket);
                Ok(Box::new(DiscoverySocket::Listener(listener)))
            });
            let key = bound.map_err(|e| Fault::of("discovery", Some(address), e))?;
            if let Some(socket) = shared {
                self.listeners.insert(key, (socket, proxy));
            }
        }
        Ok(())
    }

    fn accept_connections(&mut self, listener: Key) -> io::Result<()> {
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
            let inserted = self.reactor.insert(|key, io| {
                Ok(Box::new(DiscoverySocket::Connection(DiscoveryConnection::accepted(stream, key, io)?)))
            });
            // The connection is already closed, and no call was read from it.
            let Ok(key) = inserted else { continue };
            self.last_caller_id += 1;
            let id = self.last_caller_id;
            self.callers.insert(key, Caller { id, proxy, is_watching: false });
            self.keys_by_id.insert(id, key);
            self.model.record_accepted(id);
        }
        Ok(())
    }
}
