//! The proxy: handles the reports of the objects on the event loop, and tells these objects what to do.

use super::configuration::{BadProxyError, Configuration};
use super::fault::Fault;
use super::first_line::FirstLine;
use super::parallel_attempt::ParallelAttempt;
use super::report::{Io, Object, Report};
use super::request::{AttemptLimits, Request, Stage};
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
const WATCH_RETRY_DELAY: Micros = 200 * MS;
/// Delay before the next attempt to accept, when no descriptor was free for a client.
const ACCEPT_RETRY_DELAY: Micros = 20 * MS;
/// Descriptors that are not for clients: the event loop, the watch, signals, the listener, and those that the
/// process has from its start.
const RESERVED_DESCRIPTORS: usize = 32;
/// The clients of a draining render node are moved at an even rate within this time.
const DRAIN_MOVE_PERIOD: Micros = 1_500 * MS;
/// Delay of the move for a client that came up after its render node began to drain.
const LATE_MOVE_DELAY: Micros = 500 * MS;
/// After SIGTERM, clients are moved at an even rate within this time, or within less if SIGKILL comes sooner:
/// SIGKILL follows SIGTERM after the longest deadline (3 s at most) plus 700 ms.
const SHUTDOWN_MOVE_PERIOD: Micros = 1_800 * MS;
/// Time between the last lines to clients and the exit of the process, for clients to read these lines.
const SHUTDOWN_LINGER: Micros = 250 * MS;
/// Interval between two rounds of moves.
const SHUTDOWN_ROUND_INTERVAL: Micros = 25 * MS;
/// [`Fault::Crashes`] ends the process this long after the first request.
const CRASH_DELAY: Micros = 6 * S;
const CRASH_CODE: i32 = 3;
/// The datagram of [`Fault::BigDatagram`]. The rule allows 256 bytes at most.
const OVERSIZED_DATAGRAM: [u8; 300] = [b'x'; 300];

const WATCH_TIMER: u32 = 0;
const ACCEPT_TIMER: u32 = 1;
const SHUTDOWN_TIMER: u32 = 2;
const CRASH_TIMER: u32 = 3;

/// The progress of the shutdown after SIGTERM.
#[derive(Debug)]
struct Shutdown {
    started: Micros,
    ends: Micros,
    moved: usize,
}

/// The state of the proxy.
pub(super) struct Proxy {
    reactor: Reactor<dyn Object>,
    configuration: Configuration,
    fault: Option<Fault>,
    listener: Rc<TcpListener>,
    /// The socket for peers; only [`Fault::BigDatagram`] uses it.
    peer_socket: Option<UdpSocket>,
    roster: Roster,
    watch: Option<Key>,
    clients: BTreeSet<Key>,
    requests: BTreeMap<Key, Request>,
    keys_by_id: BTreeMap<u64, Key>,
    /// Number of requests so far that a fault with an interval may affect.
    eligible_requests: u32,
    shutdown: Option<Shutdown>,
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
        let peer_socket = match configuration.peer {
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
            peer_socket,
            roster,
            watch: None,
            clients: BTreeSet::new(),
            requests: BTreeMap::new(),
            keys_by_id: BTreeMap::new(),
            eligible_requests: 0,
            shutdown: None,
        };
        if let Some(known) = proxy.configuration.known_list.take() {
            proxy.roster.apply(proxy.reactor.io.now(), known);
        }
        proxy.start_watch();
        Ok(proxy)
    }

    /// Serves until SIGTERM has been received and the shutdown is complete.
    pub fn run(mut self) -> Result<(), BadProxyError> {
        loop {
            self.reactor.turn()?;
            while let Some(report) = self.reactor.io.reports.pop_front() {
                self.handle_report(report);
            }
            let is_complete = |shutdown: &Shutdown| shutdown.ends + SHUTDOWN_LINGER <= self.reactor.io.now();
            if self.shutdown.as_ref().is_some_and(is_complete) {
                return Ok(());
            }
        }
    }

    fn handle_report(&mut self, report: Report) {
        let now = self.reactor.io.now();
        match report {
            Report::Acceptable | Report::Timer(ACCEPT_TIMER) => self.accept(),
            Report::RequestReceived(key, line) => self.handle_request(key, line),
            Report::AttemptFailed(key) => {
                let Some(request) = self.requests.get_mut(&key) else { return };
                if let Some(node) = request.attempt_failed() {
                    self.roster.pause(now, node);
                }
                self.start_next_attempt(key);
            }
            Report::Up(key) => {
                let Some(request) = self.requests.get_mut(&key) else { return };
                if let Stage::Attempting(node) = request.stage {
                    request.stage = Stage::Up(node);
                    if self.roster.is_leaving(node) {
                        self.with_session(key, |session, io| {
                            session.schedule_move(io, now + LATE_MOVE_DELAY)
                        });
                    }
                }
            }
            Report::ClientClosed(key) => {
                self.clients.remove(&key);
                if let Some(request) = self.requests.remove(&key) {
                    self.keys_by_id.remove(&request.line.id);
                }
            }
            Report::ListReceived(watch, list) if self.watch == Some(watch) => {
                for node in self.roster.apply(now, list) {
                    let up = self.requests.iter().filter(|(_, request)| request.stage == Stage::Up(node));
                    let keys: Vec<Key> = up.map(|(key, _)| *key).collect();
                    for (i, key) in keys.iter().enumerate() {
                        let at = now + DRAIN_MOVE_PERIOD * i as Micros / keys.len() as Micros;
                        self.with_session(*key, |session, io| session.schedule_move(io, at));
                    }
                }
            }
            Report::WatchLost(watch) if self.watch == Some(watch) => {
                self.watch = None;
                self.reactor.io.owner_timer(now + WATCH_RETRY_DELAY, WATCH_TIMER);
            }
            Report::ListReceived(..) | Report::WatchLost(_) => {}
            Report::Terminate => self.terminate(),
            Report::Reload => self.reload(),
            Report::Timer(WATCH_TIMER) if self.watch.is_none() => self.start_watch(),
            Report::Timer(SHUTDOWN_TIMER) => self.continue_shutdown(),
            Report::Timer(CRASH_TIMER) => std::process::exit(CRASH_CODE),
            Report::Timer(_) => {}
        }
    }

    fn with_session<T>(&mut self, key: Key, action: impl FnOnce(&mut Session, &mut Io) -> T) -> Option<T> {
        self.reactor.with(key, |object, io| object.session().map(|session| action(session, io))).flatten()
    }

    fn start_watch(&mut self) {
        let (discovery, from) = (self.configuration.discovery, self.roster.revision());
        let watch = self.reactor.insert(|key, io| Ok(Box::new(Watch::start(discovery, from, key, io)?)));
        match watch {
            Ok(watch) => self.watch = Some(watch),
            Err(_) => self.reactor.io.owner_timer(self.reactor.io.now() + WATCH_RETRY_DELAY, WATCH_TIMER),
        }
    }

    fn accept(&mut self) {
        loop {
            let limit = self.configuration.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2;
            let accepted = match self.clients.len() < limit {
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
                Err(_) => {
                    return self
                        .reactor
                        .io
                        .owner_timer(self.reactor.io.now() + ACCEPT_RETRY_DELAY, ACCEPT_TIMER);
                }
            }
        }
    }

    /// Handles a client's request: rejects it, applies the fault to it, or places it.
    fn handle_request(&mut self, key: Key, line: FirstLine) {
        let now = self.reactor.io.now();
        let error = if !self.configuration.classes.contains(&line.class) {
            Some("no such class")
        } else if self.keys_by_id.contains_key(&line.id) {
            Some("the id is another open connection's")
        } else {
            None
        };
        if let Some(error) = error {
            self.with_session(key, |session, io| session.reject(io, error));
            return;
        }
        let fault = self.fault_for(now, &line);
        let mut request = Request::new(now, line, fault);
        self.keys_by_id.insert(request.line.id, key);
        let deadline = request.deadline;
        let is_taken_over = self.with_session(key, |session, io| {
            session.set_fault(fault);
            match fault {
                Some(Fault::NoAnswer) => session.stay_silent(io, Some(deadline + 500 * MS)),
                Some(Fault::DropsRequest) => session.close_without_answer(),
                Some(Fault::InventedUp) => session.serve_by_echo(io),
                _ => return false,
            }
            true
        });
        if is_taken_over == Some(true) {
            request.stage = Stage::Done;
        }
        let needs_attempt = request.stage == Stage::Placing;
        self.requests.insert(key, request);
        if needs_attempt {
            self.start_next_attempt(key);
        }
    }

    /// Returns the fault if it affects this request. A fault that affects one request in several spares connections
    /// that were open before the run.
    fn fault_for(&mut self, now: Micros, line: &FirstLine) -> Option<Fault> {
        let fault = self.fault?;
        if fault == Fault::Crashes && self.eligible_requests == 0 {
            self.reactor.io.owner_timer(now + CRASH_DELAY, CRASH_TIMER);
        }
        self.eligible_requests += u32::from(line.at.is_none());
        let interval = fault.request_interval();
        let applies = interval == 1 || (line.at.is_none() && self.eligible_requests.is_multiple_of(interval));
        if let (true, Some(socket), Some((_, peer))) = (applies, &self.peer_socket, self.configuration.peer) {
            // A datagram that cannot be sent counts as lost, which any datagram may be.
            let _ = socket.send_to(&OVERSIZED_DATAGRAM, peer);
        }
        applies.then_some(fault)
    }

    /// Makes the next attempt for a request, or refuses it if none is left.
    fn start_next_attempt(&mut self, key: Key) {
        let now = self.reactor.io.now();
        let is_time_up = self.shutdown.as_ref().is_some_and(|shutdown| shutdown.ends <= now);
        let Some(request) = self.requests.get_mut(&key) else { return };
        let limits = AttemptLimits {
            max_attempts: self.configuration.max_attempts,
            connect_timeout: self.configuration.connect_timeout,
        };
        let spec = if is_time_up { None } else { request.next_attempt(now, &mut self.roster, limits) };
        let Some(spec) = spec else {
            request.stage = Stage::Done;
            self.with_session(key, |session, io| session.answer_busy(io));
            return;
        };
        if let Some(parallel) = request.parallel_attempt(now, &mut self.roster, &spec) {
            // If the parallel attempt cannot be made, this request does not show the fault.
            let _ = self.reactor.insert(|key, io| {
                Ok(Box::new(ParallelAttempt::start(parallel.address, &parallel.line, key, io)?))
            });
        }
        self.with_session(key, |session, io| session.start_attempt(io, spec));
    }

    fn reload(&mut self) {
        match self.configuration.reload() {
            Ok(configuration) => self.configuration = configuration,
            Err(error) => return eprintln!("configuration not reloaded: {error}"),
        }
        self.roster.configure(self.configuration.warm_up, self.configuration.tier);
        if let Some(old_watch) = self.watch.take() {
            self.reactor.remove(old_watch);
        }
        self.start_watch();
    }

    fn terminate(&mut self) {
        if self.fault == Some(Fault::Stays) || self.shutdown.is_some() {
            return;
        }
        let started = self.reactor.io.now();
        let kill_time = self.configuration.longest_deadline.min(3 * S) + 700 * MS;
        let ends = started + SHUTDOWN_MOVE_PERIOD.min(kill_time - 2 * SHUTDOWN_LINGER);
        self.shutdown = Some(Shutdown { started, ends, moved: 0 });
        self.continue_shutdown();
    }

    /// Runs one round of the shutdown: moves clients until the moved share equals the elapsed share of the time.
    fn continue_shutdown(&mut self) {
        let now = self.reactor.io.now();
        let Some(shutdown) = &mut self.shutdown else { return };
        if shutdown.ends <= now {
            // Without this timer, the event loop could sleep past the end of the shutdown.
            self.reactor.io.owner_timer(
                (shutdown.ends + SHUTDOWN_LINGER).max(now + SHUTDOWN_ROUND_INTERVAL),
                SHUTDOWN_TIMER,
            );
            for key in self.clients.clone() {
                self.with_session(key, |session, io| session.shut_down(io));
            }
            return;
        }
        let up: Vec<Key> = (self.requests.iter())
            .filter(|(_, request)| matches!(request.stage, Stage::Up(_)))
            .map(|(key, _)| *key)
            .collect();
        let passed = (now - shutdown.started) as f64 / (shutdown.ends - shutdown.started) as f64;
        let due = ((shutdown.moved + up.len()) as f64 * passed).ceil() as usize;
        let quota = due.saturating_sub(shutdown.moved);
        shutdown.moved += quota;
        for key in up.into_iter().take(quota) {
            if let Some(request) = self.requests.get_mut(&key) {
                request.stage = Stage::Done;
            }
            self.with_session(key, |session, io| session.move_client(io));
        }
        self.reactor.io.owner_timer(now + SHUTDOWN_ROUND_INTERVAL, SHUTDOWN_TIMER);
    }
}
