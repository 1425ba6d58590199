//! Emulates the front, the load balancer before the proxies: probes each proxy by `PING`, and decides whether new
//! clients may connect to it. The clients pick among the admitted proxies themselves ([`crate::model::client`]).
//!
//! The front keeps one connection to each proxy and sends a probe on it every [`crate::plan::Front::every`]. A broken
//! connection is replaced when the next probe is due. `PONG` admits a proxy. A broken connection alone doesn't end the
//! admission: only a proxy that has not answered for [`crate::plan::Front::notice`] gets no more clients. So a killed
//! proxy is still given clients for that time, and one that restarts sooner stays admitted throughout. A held proxy
//! ([`Board::hold`]) is not probed, and its connection is closed, so the answer that admits it again comes from its
//! next process.

use crate::addresses::Addresses;
use crate::board::Board;
use crate::notes::Notes;
use crate::observation::{Observation, Seen};
use crate::plan::{Plan, ProxyId};
use crate::time::{MS, Micros};
use cottonnotch_reactor::line::{Fill, LineStream, trim_end};
use cottonnotch_reactor::{Connection, Half, Io, Key, Reactor, Report};
use std::io;
use std::sync::Arc;

/// Interval at which the front checks held proxies, overdue answers and due probes.
const TICK_INTERVAL: Micros = 5 * MS;

/// Reports of the probe connections to the front's loop.
#[derive(Debug)]
enum ProbeReport {
    Tick,
    Pong(ProxyId),
}

impl Report for ProbeReport {
    fn timer(_: u32) -> Self {
        ProbeReport::Tick
    }
}

/// The probe connection to one proxy.
struct Probe {
    proxy: ProxyId,
    stream: LineStream,
    connected: bool,
    /// No answer is outstanding: no `PING` was sent, or the last one was answered.
    may_ping: bool,
    broken: bool,
}

impl Probe {
    fn send_ping(&mut self) {
        // While an answer is outstanding, no further `PING` is sent, so that they don't pile up.
        if std::mem::take(&mut self.may_ping) {
            self.stream.push(b"PING\r\n");
        }
        if self.connected {
            self.broken |= self.stream.flush().is_err();
        }
    }
}

impl Connection for Probe {
    type Report = ProbeReport;

    fn readable(&mut self, io: &mut Io<ProbeReport>, _: Half) {
        let fill = self.stream.fill();
        while let Ok(Some(line)) = self.stream.take_line() {
            match trim_end(&line) {
                b"PONG" => {
                    self.may_ping = true;
                    io.report(ProbeReport::Pong(self.proxy));
                }
                // Any other answer means that the proxy is not serving; it is probed again on a new connection.
                _ => self.broken = true,
            }
        }
        self.broken |= !matches!(fill, Fill::Blocked);
    }

    fn writable(&mut self, _: &mut Io<ProbeReport>, _: Half) {
        if !self.connected {
            match self.stream.connected() {
                Ok(connected) => self.connected = connected,
                Err(_) => self.broken = true,
            }
        }
        if self.connected {
            self.broken |= self.stream.flush().is_err();
        }
    }

    fn timer(&mut self, _: &mut Io<ProbeReport>, _: u32) {}

    fn done(&self) -> bool {
        self.broken
    }
}

/// The front's state for one proxy.
struct ProxyState {
    probe: Option<Key>,
    ping_due: Micros,
    /// Start of the current wait for an answer: the last answer, the start of the run, or the close of a silent
    /// connection.
    waiting_since: Micros,
    /// The admission that was recorded last.
    admitted: bool,
}

struct Front {
    reactor: Reactor<Probe>,
    plan: Arc<Plan>,
    addresses: Arc<Addresses>,
    board: Arc<Board>,
    proxies: Vec<ProxyState>,
    notes: Notes,
}

impl Front {
    fn set_admitted(&mut self, proxy: ProxyId, on: bool) {
        let state = &mut self.proxies[usize::from(proxy.0)];
        if state.admitted != on {
            state.admitted = on;
            self.notes.note(self.reactor.io.now(), Seen::Admitted { proxy, on });
        }
        self.board.admit(proxy, on);
        // Guards against a race: another thread may hold the proxy after the caller's check.
        if on && self.board.is_held(proxy) {
            self.board.admit(proxy, false);
        }
    }

    fn handle_pong(&mut self, proxy: ProxyId) {
        if self.board.is_held(proxy) {
            return;
        }
        self.proxies[usize::from(proxy.0)].waiting_since = self.reactor.io.now();
        self.set_admitted(proxy, true);
    }

    fn tick(&mut self) {
        for index in 0..self.proxies.len() {
            self.check_proxy(ProxyId(index as u16));
        }
        let next = self.reactor.io.now() + TICK_INTERVAL;
        self.reactor.io.owner_timer(next, 0);
    }

    fn check_proxy(&mut self, proxy: ProxyId) {
        let now = self.reactor.io.now();
        let (every, notice) = (self.plan.front.every, self.plan.front.notice);
        let state = &mut self.proxies[usize::from(proxy.0)];
        if self.board.is_held(proxy) {
            if let Some(key) = state.probe.take() {
                self.reactor.remove(key);
            }
            state.ping_due = now;
            return self.set_admitted(proxy, false);
        }
        state.probe = state.probe.filter(|key| self.reactor.contains(*key));
        if now - state.waiting_since > notice {
            // A connection that stays silent for this long may never answer: the address may belong to another
            // machine by now.
            if let Some(key) = state.probe.take() {
                self.reactor.remove(key);
            }
            state.waiting_since = now;
            self.set_admitted(proxy, false);
        }
        let state = &mut self.proxies[usize::from(proxy.0)];
        if now < state.ping_due {
            return;
        }
        state.ping_due = now + every.max(TICK_INTERVAL);
        if state.probe.is_none() {
            let address = self.addresses.proxy(proxy);
            let inserted = self.reactor.insert(|key, io| {
                let stream = LineStream::connect(address, io, key, Half::Near)?;
                Ok(Box::new(Probe { proxy, stream, connected: false, may_ping: true, broken: false }))
            });
            state.probe = inserted.ok();
        }
        if let Some(key) = state.probe {
            self.reactor.with(key, |probe, _| probe.send_ping());
        }
    }
}

/// Runs the front until the board stops the run, and returns when each proxy was admitted. A held proxy is recorded as
/// not admitted, so the holder doesn't need to record that.
///
/// # Errors
///
/// If the system cannot create a poll instance, or polling fails.
pub fn run(plan: Arc<Plan>, addresses: Arc<Addresses>, board: Arc<Board>) -> io::Result<Vec<Observation>> {
    let reactor = Reactor::new(board.clock.for_loop())?;
    let now = reactor.io.now();
    let new_state = || ProxyState { probe: None, ping_due: now, waiting_since: now, admitted: false };
    let proxies = plan.proxies.iter().map(|_| new_state()).collect();
    let mut front = Front { reactor, plan, addresses, board, proxies, notes: Notes::default() };
    front.tick();
    front.board.ready();
    while !front.board.is_stopping() {
        front.reactor.turn()?;
        while let Some(report) = front.reactor.io.reports.pop_front() {
            match report {
                ProbeReport::Tick => front.tick(),
                ProbeReport::Pong(proxy) => front.handle_pong(proxy),
            }
        }
    }
    Ok(front.notes.into_inner())
}
