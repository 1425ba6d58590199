//! The front: asks each proxy by `PING` whether it serves, and admits it for new clients or not. The clients pick
//! among the admitted ones themselves ([`crate::model::client`]).
//!
//! One connection is kept to each proxy and asked on every [`crate::plan::Front::every`]; a broken one is made anew at
//! the next turn. `PONG` admits a proxy. That a connection broke tells nothing: only a proxy that has not answered for
//! [`crate::plan::Front::notice`] gets no more clients, so a killed one goes on being given some, and one that is
//! back sooner was never missed. A held proxy ([`Board::hold`]) is not asked, and its connection is let go: the
//! answer that admits it again comes from its next process.

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

/// Between two looks at the board, and at what is overdue.
const TICK: Micros = 5 * MS;

/// What the probes have to tell.
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

/// A connection to a proxy.
struct Probe {
    proxy: ProxyId,
    link: LineStream,
    connected: bool,
    /// Not asked yet, or answered.
    idle: bool,
    broken: bool,
}

impl Probe {
    fn ask(&mut self) {
        // One that has not answered is not asked again: the answer is what is wanted, not a heap of questions.
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
                // Whoever says anything else is not serving, and is asked on a new connection.
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

/// What the front knows of a proxy.
struct Known {
    probe: Option<Key>,
    ask_due: Micros,
    /// Its last answer, or when the connection that is waiting for one was begun.
    heard: Micros,
    /// As it was noted last.
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
        // Guards against a hold that came between the look at it and this.
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
            // A connection that says nothing for so long may never do: its machine may be another one by now.
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

/// Plays the front until the board says stop; returns which proxies were admitted when. It notes a held proxy as not
/// admitted too, so whoever holds it need not. Fails only if the system has no poll to give.
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
