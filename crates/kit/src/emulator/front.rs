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
const TICK: Micros = 5 * MS;

/// Reports of the probe connections to the front's loop.
#[derive(Debug)]
enum Told {
    Tick,
    Pong(ProxyId),
}

impl Report for Told {
    fn timer(_: u32) -> Self {
        Told::Tick
    }
}

/// The probe connection to one proxy.
struct Probe {
    proxy: ProxyId,
    link: LineStream,
    connected: bool,
    /// No answer is outstanding: no `PING` was sent, or the last one was answered.
    idle: bool,
    broken: bool,
}

impl Probe {
    fn ask(&mut self) {
        // While an answer is outstanding, no further `PING` is sent, so that they don't pile up.
        if std::mem::take(&mut self.idle) {
            self.link.push(b"PING\r\n");
        }
        if self.connected {
            self.broken |= self.link.flush().is_err();
        }
    }
}

impl Connection for Probe {
    type Report = Told;

    fn readable(&mut self, io: &mut Io<Told>, _: Half) {
        let fill = self.link.fill();
        while let Ok(Some(line)) = self.link.take_line() {
            match trim_end(&line) {
                b"PONG" => {
                    self.idle = true;
                    io.report(Told::Pong(self.proxy));
                }
                // Any other answer means that the proxy is not serving; it is probed again on a new connection.
                _ => self.broken = true,
            }
        }
        self.broken |= !matches!(fill, Fill::Blocked);
    }

    fn writable(&mut self, _: &mut Io<Told>, _: Half) {
        if !self.connected {
            match self.link.connected() {
                Ok(connected) => self.connected = connected,
                Err(_) => self.broken = true,
            }
        }
        if self.connected {
            self.broken |= self.link.flush().is_err();
        }
    }

    fn timer(&mut self, _: &mut Io<Told>, _: u32) {}

    fn done(&self) -> bool {
        self.broken
    }
}

/// The front's state for one proxy.
struct Known {
    probe: Option<Key>,
    ask_due: Micros,
    /// Start of the current wait for an answer: the last answer, the start of the run, or the close of a silent
    /// connection.
    heard: Micros,
    /// The admission that was recorded last.
    admitted: bool,
}

struct Front {
    reactor: Reactor<Probe>,
    plan: Arc<Plan>,
    addresses: Arc<Addresses>,
    board: Arc<Board>,
    proxies: Vec<Known>,
    notes: Notes,
}

impl Front {
    fn set(&mut self, proxy: ProxyId, on: bool) {
        let known = &mut self.proxies[usize::from(proxy.0)];
        if known.admitted != on {
            known.admitted = on;
            self.notes.note(self.reactor.io.now(), Seen::Admitted { proxy, on });
        }
        self.board.admit(proxy, on);
        // Guards against a race: another thread may hold the proxy after the caller's check.
        if on && self.board.is_held(proxy) {
            self.board.admit(proxy, false);
        }
    }

    fn pong(&mut self, proxy: ProxyId) {
        if self.board.is_held(proxy) {
            return;
        }
        self.proxies[usize::from(proxy.0)].heard = self.reactor.io.now();
        self.set(proxy, true);
    }

    fn tick(&mut self) {
        for place in 0..self.proxies.len() {
            self.look_after(ProxyId(place as u16));
        }
        let next = self.reactor.io.now() + TICK;
        self.reactor.io.owner_timer(next, 0);
    }

    fn look_after(&mut self, proxy: ProxyId) {
        let now = self.reactor.io.now();
        let (every, notice) = (self.plan.front.every, self.plan.front.notice);
        let known = &mut self.proxies[usize::from(proxy.0)];
        if self.board.is_held(proxy) {
            if let Some(key) = known.probe.take() {
                self.reactor.remove(key);
            }
            known.ask_due = now;
            return self.set(proxy, false);
        }
        known.probe = known.probe.filter(|key| self.reactor.contains(*key));
        if now - known.heard > notice {
            // A connection that stays silent for this long may never answer: the address may belong to another
            // machine by now.
            if let Some(key) = known.probe.take() {
                self.reactor.remove(key);
            }
            known.heard = now;
            self.set(proxy, false);
        }
        let known = &mut self.proxies[usize::from(proxy.0)];
        if now < known.ask_due {
            return;
        }
        known.ask_due = now + every.max(TICK);
        if known.probe.is_none() {
            let address = self.addresses.proxy(proxy);
            let made = self.reactor.insert(|key, io| {
                let link = LineStream::connect(address, io, key, Half::Near)?;
                Ok(Box::new(Probe { proxy, link, connected: false, idle: true, broken: false }))
            });
            known.probe = made.ok();
        }
        if let Some(key) = known.probe {
            self.reactor.with(key, |probe, _| probe.ask());
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
    let known = || Known { probe: None, ask_due: now, heard: now, admitted: false };
    let proxies = plan.proxies.iter().map(|_| known()).collect();
    let mut front = Front { reactor, plan, addresses, board, proxies, notes: Notes::default() };
    front.tick();
    front.board.ready();
    while !front.board.is_stopping() {
        front.reactor.turn()?;
        while let Some(report) = front.reactor.io.reports.pop_front() {
            match report {
                Told::Tick => front.tick(),
                Told::Pong(proxy) => front.pong(proxy),
            }
        }
    }
    Ok(front.notes.into_inner())
}
