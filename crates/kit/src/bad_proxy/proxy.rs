//! The proxy: handles the reports of the objects on the event loop, and tells these objects what to do.

use super::beside::Beside;
use super::configuration::{BadProxyError, Configuration};
use super::fault::Fault;
use super::first_line::FirstLine;
use super::report::{Io, Object, Report};
use super::request::{Bounds, Request, Stage};
use super::roster::Roster;
use super::session::Session;
use super::watch::Watch;
use crate::time::{MS, Micros, S};
use cottonnotch_reactor::listener::Listener;
use cottonnotch_reactor::signals::{SIGHUP, SIGTERM, Signals};
use cottonnotch_reactor::{Clock, Key, Reactor};
use mio::net::{TcpListener, UdpSocket};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::rc::Rc;

/// Delay before a lost watch is started again.
const WATCH_AGAIN: Micros = 200 * MS;
/// Delay before the next attempt to accept, when no descriptor was free for a client.
const ACCEPT_AGAIN: Micros = 20 * MS;
/// Descriptors that are not for clients: the event loop, the watch, signals, the listener, and those that the
/// process has from its start.
const OWN_DESCRIPTORS: usize = 32;
/// The clients of a draining render node are moved at an even rate within this time.
const MOVE_WITHIN: Micros = 1_500 * MS;
/// Delay of the move for a client that came up after its render node began to drain.
const MOVE_SOON: Micros = 500 * MS;
/// After SIGTERM, clients are moved at an even rate within this time, or within less if SIGKILL comes sooner:
/// SIGKILL follows SIGTERM after the longest deadline (3 s at most) plus 700 ms.
const LEAVE_WITHIN: Micros = 1_800 * MS;
/// Time between the last lines to clients and the exit of the process, for clients to read these lines.
const LAST_LINES: Micros = 250 * MS;
/// Interval between two rounds of moves.
const ROUND: Micros = 25 * MS;
/// [`Fault::Crashes`] ends the process this long after the first request.
const CRASH_AFTER: Micros = 6 * S;
const CRASH_CODE: i32 = 3;
/// The datagram of [`Fault::BigDatagram`]. The rule allows 256 bytes at most.
const BIG: [u8; 300] = [b'x'; 300];

const WATCH: u32 = 0;
const ACCEPT: u32 = 1;
const LEAVE: u32 = 2;
const CRASH: u32 = 3;

/// The progress of the shutdown after SIGTERM.
#[derive(Debug)]
struct Leaving {
    began: Micros,
    until: Micros,
    moved: usize,
}

/// The state of the proxy.
pub(super) struct Proxy {
    reactor: Reactor<dyn Object>,
    configuration: Configuration,
    fault: Option<Fault>,
    listener: Rc<TcpListener>,
    /// The socket for peers; only [`Fault::BigDatagram`] uses it.
    datagrams: Option<UdpSocket>,
    roster: Roster,
    watch: Option<Key>,
    clients: BTreeSet<Key>,
    requests: BTreeMap<Key, Request>,
    ids: BTreeMap<u64, Key>,
    /// Number of requests so far that a fault with an interval may affect.
    asked: u32,
    leaving: Option<Leaving>,
}

impl Proxy {
    /// Binds the sockets and starts to watch discovery.
    pub fn start(configuration: Configuration, fault: Option<Fault>) -> Result<Self, BadProxyError> {
        let mut reactor: Reactor<dyn Object> = Reactor::new(Clock::unix())?;
        let signals: [(i32, fn() -> Report); 2] =
            [(SIGTERM, || Report::Terminate), (SIGHUP, || Report::Reload)];
        for (signal, report) in signals {
            reactor.insert(|key, io| Ok(Box::new(Signals::register(signal, report, key, io)?)))?;
        }
        let address = configuration.listen;
        let mut listener = None;
        let listening = reactor.insert(|key, io| {
            let (object, socket) = Listener::bind(address, |_| Report::Acceptable, key, io)?;
            listener = Some(socket);
            Ok(Box::new(object))
        });
        listening.map_err(|error| BadProxyError::Listen { address, error })?;
        let listener = listener.ok_or_else(|| io::Error::from(io::ErrorKind::NotConnected))?;
        let datagrams = match configuration.peer {
            Some((own, _)) if fault == Some(Fault::BigDatagram) => {
                let socket = UdpSocket::bind(own);
                Some(socket.map_err(|error| BadProxyError::Listen { address: own, error })?)
            }
            _ => None,
        };
        let roster = Roster::new(configuration.warm_up, configuration.tier);
        let mut proxy = Proxy {
            reactor,
            configuration,
            fault,
            listener,
            datagrams,
            roster,
            watch: None,
            clients: BTreeSet::new(),
            requests: BTreeMap::new(),
            ids: BTreeMap::new(),
            asked: 0,
            leaving: None,
        };
        if let Some(known) = proxy.configuration.known.take() {
            proxy.roster.learn(proxy.reactor.io.now(), known);
        }
        proxy.start_watch();
        Ok(proxy)
    }

    /// Serves until SIGTERM has been received and the shutdown is complete.
    pub fn run(mut self) -> Result<(), BadProxyError> {
        loop {
            self.reactor.turn()?;
            while let Some(report) = self.reactor.io.reports.pop_front() {
                self.take(report);
            }
            let over = |leaving: &Leaving| leaving.until + LAST_LINES <= self.reactor.io.now();
            if self.leaving.as_ref().is_some_and(over) {
                return Ok(());
            }
        }
    }

    fn take(&mut self, report: Report) {
        let now = self.reactor.io.now();
        match report {
            Report::Acceptable | Report::Timer(ACCEPT) => self.accept(),
            Report::Asked(key, line) => self.asked(key, line),
            Report::AttemptOver(key) => {
                let Some(request) = self.requests.get_mut(&key) else { return };
                if let Some(place) = request.attempt_over() {
                    self.roster.failed(now, place);
                }
                self.place(key);
            }
            Report::Up(key) => {
                let Some(request) = self.requests.get_mut(&key) else { return };
                if let Stage::Out(place) = request.stage {
                    request.stage = Stage::Up(place);
                    if self.roster.is_leaving(place) {
                        self.session(key, |session, io| session.move_at(io, now + MOVE_SOON));
                    }
                }
            }
            Report::Gone(key) => {
                self.clients.remove(&key);
                if let Some(request) = self.requests.remove(&key) {
                    self.ids.remove(&request.line.id);
                }
            }
            Report::Listed(watch, list) if self.watch == Some(watch) => {
                for place in self.roster.learn(now, list) {
                    let up = self.requests.iter().filter(|(_, request)| request.stage == Stage::Up(place));
                    let keys: Vec<Key> = up.map(|(key, _)| *key).collect();
                    for (i, key) in keys.iter().enumerate() {
                        let at = now + MOVE_WITHIN * i as Micros / keys.len() as Micros;
                        self.session(*key, |session, io| session.move_at(io, at));
                    }
                }
            }
            Report::WatchLost(watch) if self.watch == Some(watch) => {
                self.watch = None;
                self.reactor.io.owner_timer(now + WATCH_AGAIN, WATCH);
            }
            Report::Listed(..) | Report::WatchLost(_) => {}
            Report::Terminate => self.terminate(),
            Report::Reload => self.reload(),
            Report::Timer(WATCH) if self.watch.is_none() => self.start_watch(),
            Report::Timer(LEAVE) => self.leave(),
            Report::Timer(CRASH) => std::process::exit(CRASH_CODE),
            Report::Timer(_) => {}
        }
    }

    fn session<T>(&mut self, key: Key, use_it: impl FnOnce(&mut Session, &mut Io) -> T) -> Option<T> {
        self.reactor.with(key, |object, io| object.session().map(|session| use_it(session, io))).flatten()
    }

    fn start_watch(&mut self) {
        let (discovery, from) = (self.configuration.discovery, self.roster.revision());
        let watch = self.reactor.insert(|key, io| Ok(Box::new(Watch::start(discovery, from, key, io)?)));
        match watch {
            Ok(watch) => self.watch = Some(watch),
            Err(_) => self.reactor.io.owner_timer(self.reactor.io.now() + WATCH_AGAIN, WATCH),
        }
    }

    fn accept(&mut self) {
        loop {
            let room = self.configuration.sockets.saturating_sub(OWN_DESCRIPTORS) / 2;
            let accepted = match self.clients.len() < room {
                true => self.listener.accept(),
                false => Err(io::ErrorKind::QuotaExceeded.into()),
            };
            match accepted {
                Ok((stream, _)) => {
                    let fault = self.fault;
                    let client = self
                        .reactor
                        .insert(|key, io| Ok(Box::new(Session::accepted(stream, fault, key, io)?)));
                    // An error means that the client has already broken the connection.
                    self.clients.extend(client);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(_) => return self.reactor.io.owner_timer(self.reactor.io.now() + ACCEPT_AGAIN, ACCEPT),
            }
        }
    }

    /// Handles a client's request: rejects it, applies the fault to it, or places it.
    fn asked(&mut self, key: Key, line: FirstLine) {
        let now = self.reactor.io.now();
        let wrong = if !self.configuration.classes.contains(&line.class) {
            Some("no such class")
        } else if self.ids.contains_key(&line.id) {
            Some("the id is another open connection's")
        } else {
            None
        };
        if let Some(wrong) = wrong {
            self.session(key, |session, io| session.reject(io, wrong));
            return;
        }
        let fault = self.strikes(now, &line);
        let mut request = Request::new(now, line, fault);
        self.ids.insert(request.line.id, key);
        let deadline = request.deadline;
        let taken = self.session(key, |session, io| {
            session.strike(fault);
            match fault {
                Some(Fault::NoAnswer) => session.mute(io, Some(deadline + 500 * MS)),
                Some(Fault::DropsRequest) => session.drop_client(),
                Some(Fault::InventedUp) => session.pretend(io),
                _ => return false,
            }
            true
        });
        if taken == Some(true) {
            request.stage = Stage::Over;
        }
        let placing = request.stage == Stage::Placing;
        self.requests.insert(key, request);
        if placing {
            self.place(key);
        }
    }

    /// Returns the fault if it affects this request. A fault that affects one request in several spares connections
    /// that were open before the run.
    fn strikes(&mut self, now: Micros, line: &FirstLine) -> Option<Fault> {
        let fault = self.fault?;
        if fault == Fault::Crashes && self.asked == 0 {
            self.reactor.io.owner_timer(now + CRASH_AFTER, CRASH);
        }
        self.asked += u32::from(line.at.is_none());
        let every = fault.every();
        let strikes = every == 1 || (line.at.is_none() && self.asked.is_multiple_of(every));
        if let (true, Some(socket), Some((_, peer))) = (strikes, &self.datagrams, self.configuration.peer) {
            // A datagram that cannot be sent counts as lost, which any datagram may be.
            let _ = socket.send_to(&BIG, peer);
        }
        strikes.then_some(fault)
    }

    /// Makes the next attempt for a request, or refuses it if none is left.
    fn place(&mut self, key: Key) {
        let now = self.reactor.io.now();
        let is_over = self.leaving.as_ref().is_some_and(|leaving| leaving.until <= now);
        let Some(request) = self.requests.get_mut(&key) else { return };
        let bounds = Bounds {
            most_attempts: self.configuration.most_attempts,
            connect_within: self.configuration.connect_within,
        };
        let order = if is_over { None } else { request.next(now, &mut self.roster, bounds) };
        let Some(order) = order else {
            request.stage = Stage::Over;
            self.session(key, |session, io| session.refuse(io));
            return;
        };
        if let Some(beside) = request.beside(now, &mut self.roster, &order) {
            // If the parallel attempt cannot be made, this request does not show the fault.
            let _ = self
                .reactor
                .insert(|key, io| Ok(Box::new(Beside::start(beside.address, &beside.line, key, io)?)));
        }
        self.session(key, |session, io| session.try_at(io, order));
    }

    fn reload(&mut self) {
        match self.configuration.reload() {
            Ok(configuration) => self.configuration = configuration,
            Err(error) => return eprintln!("configuration not reloaded: {error}"),
        }
        self.roster.configure(self.configuration.warm_up, self.configuration.tier);
        if let Some(old) = self.watch.take() {
            self.reactor.remove(old);
        }
        self.start_watch();
    }

    fn terminate(&mut self) {
        if self.fault == Some(Fault::Stays) || self.leaving.is_some() {
            return;
        }
        let began = self.reactor.io.now();
        let killed = self.configuration.longest_deadline.min(3 * S) + 700 * MS;
        let until = began + LEAVE_WITHIN.min(killed - 2 * LAST_LINES);
        self.leaving = Some(Leaving { began, until, moved: 0 });
        self.leave();
    }

    /// Runs one round of the shutdown: moves clients until the moved share equals the elapsed share of the time.
    fn leave(&mut self) {
        let now = self.reactor.io.now();
        let Some(leaving) = &mut self.leaving else { return };
        if leaving.until <= now {
            // Without this timer, the event loop could sleep past the end of the shutdown.
            self.reactor.io.owner_timer((leaving.until + LAST_LINES).max(now + ROUND), LEAVE);
            for key in self.clients.clone() {
                self.session(key, |session, io| session.leave(io));
            }
            return;
        }
        let up: Vec<Key> = (self.requests.iter())
            .filter(|(_, request)| matches!(request.stage, Stage::Up(_)))
            .map(|(key, _)| *key)
            .collect();
        let passed = (now - leaving.began) as f64 / (leaving.until - leaving.began) as f64;
        let due = ((leaving.moved + up.len()) as f64 * passed).ceil() as usize;
        let quota = due.saturating_sub(leaving.moved);
        leaving.moved += quota;
        for key in up.into_iter().take(quota) {
            if let Some(request) = self.requests.get_mut(&key) {
                request.stage = Stage::Over;
            }
            self.session(key, |session, io| session.move_away(io));
        }
        self.reactor.io.owner_timer(now + ROUND, LEAVE);
    }
}
