//! Emulates misbehaving clients ([`Misbehavior`]). Each connects to an admitted proxy when the plan says so, writes its
//! script as fast as the socket takes it, and reads all the while. The proxy has to answer with an error or close the
//! connection within a few seconds.

use super::rude_script::{Script, script};
use crate::addresses::Addresses;
use crate::board::Board;
use crate::notes::Notes;
use crate::observation::{MisbehaviorOutcome, Observation, Seen};
use crate::plan::{Misbehavior, Plan, ProxyId};
use crate::time::{MS, Micros, S};
use cottonnotch_reactor::line::{Fill, LineStream, TooLong};
use cottonnotch_reactor::{Connection, Half, Io, Key, Reactor, Report};
use std::io;
use std::rc::Rc;
use std::sync::Arc;

/// Time after the connect within which the proxy has to answer a misbehaving client or close its connection.
const OWED_WITHIN: Micros = 3 * S;
/// The same for [`Misbehavior::Huge`], which writes 60 MB.
const OWED_WITHIN_HUGE: Micros = 6 * S;
/// Time for which a client stays connected beyond that, to see whether a late answer or close comes.
const LATE: Micros = S;
/// Time for which a [`Misbehavior::AgainAtOnce`] client reconnects.
const AGAIN_FOR: Micros = S;
/// Interval between two checks for arrivals and for the end of the run.
const TICK: Micros = 5 * MS;
/// Bytes written in one callback before other clients have their turn.
const MAX_TURN: usize = 256 * 1024;

/// Timer of [`run`], which owns the reactor.
const TICKING: u32 = 0;

#[derive(Debug)]
enum Told {
    Timer(u32),
    Note(Micros, Seen),
}

impl Report for Told {
    fn timer(timer: u32) -> Self {
        Told::Timer(timer)
    }
}

struct Shared {
    plan: Arc<Plan>,
    addresses: Arc<Addresses>,
    board: Arc<Board>,
}

/// One misbehaving client.
struct Rude {
    key: Key,
    place: u32,
    kind: Misbehavior,
    seed: u64,
    proxy: ProxyId,
    shared: Rc<Shared>,
    link: LineStream,
    script: Script,
    connected: bool,
    /// Connections established so far.
    visits: u32,
    again_until: Micros,
    by: Micros,
    done: bool,
}

impl Rude {
    fn connected(&mut self, io: &mut Io<Told>) {
        self.connected = true;
        let owed = if self.kind == Misbehavior::Huge { OWED_WITHIN_HUGE } else { OWED_WITHIN };
        let now = io.now();
        self.by = now + owed;
        io.report(Told::Note(now, Seen::RudeCame { rude: self.place, proxy: self.proxy, by: self.by }));
        for request in std::mem::take(&mut self.script.ids) {
            let (rude, proxy) = (self.place, self.proxy);
            io.report(Told::Note(now, Seen::RudeAsked { rude, request, proxy }));
        }
        io.timer(self.by + LATE, self.key, 0);
        if self.visits == 0 {
            self.again_until = now + AGAIN_FOR;
        }
        self.visits += 1;
    }

    /// Writes as much of the script as the socket takes.
    fn say(&mut self, io: &mut Io<Told>) {
        let mut said = 0;
        loop {
            // A write error is ignored: the next read reports the broken connection.
            if !matches!(self.link.flush(), Ok(true)) {
                return;
            }
            if said >= MAX_TURN {
                return io.call_again(self.key, Half::Near);
            }
            match self.script.say_next(&mut self.link) {
                Some(length) => said += length,
                None => return,
            }
        }
    }

    fn over(&mut self, io: &mut Io<Told>, how: MisbehaviorOutcome) {
        io.report(Told::Note(io.now(), Seen::RudeOver { rude: self.place, how }));
        let turned_away = how != MisbehaviorOutcome::Served;
        self.done = !(self.kind == Misbehavior::AgainAtOnce && turned_away && io.now() < self.again_until);
        if !self.done {
            self.come_again(io);
        }
    }

    fn come_again(&mut self, io: &mut Io<Told>) {
        let address = self.shared.addresses.proxy(self.proxy);
        match LineStream::connect(address, io, self.key, Half::Near) {
            Ok(link) => {
                self.link = link;
                self.connected = false;
                self.script = script(&self.shared.plan, self.kind, self.seed, self.place, self.visits, None);
                io.timer(io.now() + OWED_WITHIN, self.key, 0);
            }
            Err(_) => self.done = true,
        }
    }
}

impl Connection for Rude {
    type Report = Told;

    fn readable(&mut self, io: &mut Io<Told>, leg: Half) {
        if !self.connected {
            return;
        }
        let fill = self.link.fill();
        match self.link.take_line() {
            Ok(Some(line)) if line.starts_with(b"UP ") => return self.over(io, MisbehaviorOutcome::Served),
            Ok(Some(_)) | Err(TooLong) => return self.over(io, MisbehaviorOutcome::Error),
            Ok(None) => {}
        }
        match fill {
            Fill::Blocked => self.say(io),
            Fill::More => io.call_again(self.key, leg),
            Fill::Ended | Fill::Broken(_) => self.over(io, MisbehaviorOutcome::Closed),
        }
    }

    fn writable(&mut self, io: &mut Io<Told>, leg: Half) {
        if !self.connected {
            match self.link.connected() {
                Ok(true) => {
                    self.connected(io);
                    io.call_again(self.key, leg);
                }
                Ok(false) => return,
                // No connection was established.
                Err(_) => {
                    self.done = true;
                    return;
                }
            }
        }
        self.say(io);
    }

    fn timer(&mut self, io: &mut Io<Told>, _: u32) {
        // Guards against timers of earlier connections.
        if io.now() >= self.by + LATE {
            self.done = true;
        }
    }

    fn done(&self) -> bool {
        self.done
    }
}

/// Runs the misbehaving clients until the board stops the run, and returns the observations. A client does not connect
/// if no proxy is admitted or if there is no open request whose id it could use.
///
/// # Errors
///
/// If the system cannot create a poll instance, or polling fails.
pub fn run(plan: Arc<Plan>, addresses: Arc<Addresses>, board: Arc<Board>) -> io::Result<Vec<Observation>> {
    let mut reactor: Reactor<Rude> = Reactor::new(board.clock.for_loop())?;
    let shared = Rc::new(Shared { plan, addresses, board });
    let (mut notes, mut next) = (Notes::default(), 0);
    reactor.io.owner_timer(0, TICKING);
    shared.board.ready();
    while !shared.board.is_stopping() {
        reactor.turn()?;
        while let Some(report) = reactor.io.reports.pop_front() {
            match report {
                Told::Note(at, seen) => notes.note(at, seen),
                Told::Timer(TICKING) => {
                    let now = reactor.io.now();
                    while shared.plan.rude.get(next).is_some_and(|rude| rude.arrives <= now) {
                        come(&mut reactor, &shared, next as u32);
                        next += 1;
                    }
                    reactor.io.owner_timer(now + TICK, TICKING);
                }
                Told::Timer(_) => {}
            }
        }
    }
    Ok(notes.into_inner())
}

fn come(reactor: &mut Reactor<Rude>, shared: &Rc<Shared>, place: u32) {
    let Some(&crate::plan::MisbehavingClient { kind, seed, .. }) = shared.plan.rude.get(place as usize)
    else {
        return;
    };
    let stolen = (kind == Misbehavior::StolenId).then(|| shared.board.an_open_id());
    let admitted = |proxy: &ProxyId| shared.board.is_admitted(*proxy);
    let proxies: Vec<ProxyId> = (0..shared.plan.proxies.len() as u16).map(ProxyId).filter(admitted).collect();
    let proxy = match stolen {
        // Only the proxy that serves the request knows that its id is open.
        Some(open) => open.map(|(_, proxy)| proxy),
        None => proxies.get(seed as usize % proxies.len().max(1)).copied(),
    };
    let Some(proxy) = proxy else {
        log::debug!("misbehaving client {place} ({kind:?}) has no proxy to connect to");
        return;
    };
    let script = script(&shared.plan, kind, seed, place, 0, stolen.flatten().map(|(id, _)| id));
    let address = shared.addresses.proxy(proxy);
    let made = reactor.insert(|key, io| {
        let link = LineStream::connect(address, io, key, Half::Near)?;
        let shared = Rc::clone(shared);
        let (now, done) = (io.now(), false);
        // Applies until the connection is established: the client gives up then, as if it were never answered.
        let by = now + OWED_WITHIN;
        io.timer(by + LATE, key, 0);
        let (connected, visits, again_until) = (false, 0, now);
        Ok(Box::new(Rude {
            key,
            place,
            kind,
            seed,
            proxy,
            shared,
            link,
            script,
            connected,
            visits,
            again_until,
            by,
            done,
        }))
    });
    if let Err(error) = made {
        log::debug!("misbehaving client {place} ({kind:?}) has no socket: {error}");
    }
}
