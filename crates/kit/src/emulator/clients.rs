//! The clients on real sockets: each an object that does what its session says ([`crate::model::client`]), from its
//! arrival to its end. One thread has every so-manieth session of the plan.

use crate::addresses::Addresses;
use crate::board::{Board, Live};
use crate::model::client::{Input, Output, Session};
use crate::notes::Notes;
use crate::observation::{Answer, Observation, ProxyClose, Seen};
use crate::plan::{Plan, SessionId, TimelineChange};
use crate::time::{MS, Micros};
use cottonnotch_reactor::line::{Fill, LineStream, TooLong, trim_end};
use cottonnotch_reactor::{Connection, Half, Io, Key, Reactor, Report};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Between two looks at the board.
const TICK: Micros = 5 * MS;
/// Between two notes of how late this thread ran.
const LAG_EVERY: Micros = 100 * MS;

/// The owner's timers.
const TICKING: u32 = 0;
const ARRIVAL: u32 = 1;
const TIMELINE: u32 = 2;

/// What clients have to tell their loop.
#[derive(Debug)]
enum Told {
    Timer(u32),
    Note(Observation),
    /// A session is up (1), or no more (-1).
    Standing(i64),
}

impl Report for Told {
    fn timer(timer: u32) -> Self {
        Told::Timer(timer)
    }
}

/// What all clients of a thread share.
struct Shared {
    plan: Arc<Plan>,
    addresses: Arc<Addresses>,
    board: Arc<Board>,
}

enum Link {
    None,
    Connecting(LineStream),
    /// The first line is not all written.
    Opening(LineStream),
    Open(LineStream),
}

/// One client: a session, and its connection while it has one.
struct Client {
    key: Key,
    shared: Rc<Shared>,
    session: Session,
    link: Link,
    /// The timer that counts; others are outdated.
    armed: Micros,
}

impl Client {
    /// Tells the session, and does what it wants.
    fn step(&mut self, io: &mut Io<Told>, input: Input<'_>) {
        let (was, mut out) = (self.session.up(), Vec::new());
        let board = Arc::clone(&self.shared.board);
        self.session.handle(io.now(), input, &|proxy| board.is_admitted(proxy), &mut out);
        for output in out {
            match output {
                Output::Note(observation) => io.report(Told::Note(observation)),
                Output::Connect(proxy) => {
                    let address = self.shared.addresses.proxy(proxy);
                    match LineStream::connect(address, io, self.key, Half::Near) {
                        Ok(stream) => self.link = Link::Connecting(stream),
                        Err(error) => {
                            log::debug!("no connection to {address}: {error}");
                            self.step(io, Input::Unreached);
                        }
                    }
                }
                Output::Send(line) => match &mut self.link {
                    Link::Opening(stream) | Link::Open(stream) => stream.push(line.as_bytes()),
                    Link::None | Link::Connecting(_) => {}
                },
                Output::Finish => {
                    if let Link::Open(stream) = &mut self.link {
                        stream.finish();
                    }
                }
                Output::Close => self.link = Link::None,
                Output::Reset => {
                    if let Link::Opening(stream) | Link::Open(stream) = &self.link {
                        stream.reset();
                    }
                    self.link = Link::None;
                }
            }
        }
        let is = self.session.up();
        if was != is {
            if let Some((request, _)) = was {
                board.closed(request);
                io.report(Told::Standing(-1));
            }
            if let Some((request, proxy)) = is {
                board.opened(request, proxy);
                io.report(Told::Standing(1));
            }
        }
        self.flush(io);
        if let Some(at) = self.session.next_timeout().filter(|at| *at != self.armed) {
            self.armed = at;
            io.timer(at, self.key, 0);
        }
    }

    fn flush(&mut self, io: &mut Io<Told>) {
        match &mut self.link {
            Link::Opening(stream) => match stream.flush() {
                Ok(false) => {}
                Ok(true) => {
                    if let Link::Opening(stream) = std::mem::replace(&mut self.link, Link::None) {
                        self.link = Link::Open(stream);
                        // An edge is told once: what came before the first line was out is still to be read.
                        io.call_again(self.key, Half::Near);
                    }
                    self.step(io, Input::Written);
                }
                Err(_) => self.step(io, Input::Unreached),
            },
            // That it is broken is found by reading.
            Link::Open(stream) => drop(stream.flush()),
            Link::None | Link::Connecting(_) => {}
        }
    }
}

impl Connection for Client {
    type Report = Told;

    fn readable(&mut self, io: &mut Io<Told>, leg: Half) {
        let Link::Open(stream) = &mut self.link else { return };
        let fill = stream.fill();
        while let Link::Open(stream) = &mut self.link {
            let line = match stream.take_line() {
                Ok(Some(line)) => line,
                Ok(None) => break,
                Err(TooLong) => stream.take_rest(),
            };
            self.step(io, Input::Line(trim_end(&line)));
        }
        // What was read belonged to a connection that was closed on its last line.
        if !matches!(self.link, Link::Open(_)) {
            return;
        }
        match fill {
            Fill::Blocked => {}
            Fill::More => io.call_again(self.key, leg),
            Fill::Ended => self.step(io, Input::Ended(ProxyClose::Closed)),
            Fill::Broken(_) => self.step(io, Input::Ended(ProxyClose::Reset)),
        }
    }

    fn writable(&mut self, io: &mut Io<Told>, _: Half) {
        if let Link::Connecting(stream) = &mut self.link {
            match stream.connected() {
                Ok(false) => return,
                Err(_) => {
                    self.link = Link::None;
                    return self.step(io, Input::Unreached);
                }
                Ok(true) => {}
            }
            if let Link::Connecting(stream) = std::mem::replace(&mut self.link, Link::None) {
                self.link = Link::Opening(stream);
            }
            return self.step(io, Input::Connected);
        }
        self.flush(io);
    }

    fn timer(&mut self, io: &mut Io<Told>, _: u32) {
        // Guards against timers that an earlier one has replaced: each would set a new one, for good.
        if io.now() >= self.armed {
            self.armed = Micros::MIN;
            self.step(io, Input::Due);
        }
    }

    fn done(&self) -> bool {
        self.session.is_over()
    }
}

/// What a thread counts for the progress line.
#[derive(Default)]
struct Figures {
    /// Sessions that want a connection now: until when, and what a second of theirs is worth, in thousandths.
    wanting: BinaryHeap<Reverse<(Micros, u64)>>,
    /// Worth of all of them, in thousandths.
    worth: u64,
    /// Counted up to here.
    counted: Micros,
}

impl Figures {
    fn arrived(&mut self, session: &Session) {
        let worth = (session.worth() * 1e3) as u64;
        self.wanting.push(Reverse((session.wanted_until(), worth)));
        self.worth += worth;
    }

    fn count(&mut self, now: Micros, live: &Live) {
        while let Some(Reverse((_, worth))) =
            self.wanting.peek().copied().filter(|Reverse((at, _))| *at <= now)
        {
            self.wanting.pop();
            self.worth -= worth;
        }
        let span = u64::try_from(now - self.counted).unwrap_or(0);
        self.counted = now.max(self.counted);
        live.wanted.fetch_add(self.worth * span / 1000, Ordering::Relaxed);
    }
}

/// One thread's clients.
struct Clients {
    reactor: Reactor<Client>,
    shared: Rc<Shared>,
    /// The place of the next session to arrive, and how far it is to the one after it.
    next: usize,
    step: usize,
    /// Where the timeline stands.
    happened: usize,
    keys: Vec<Key>,
    notes: Notes,
    figures: Figures,
    tick_due: Micros,
    worst_lag: Micros,
    lag_due: Micros,
}

impl Clients {
    fn new(shared: Shared, shard: usize, shards: usize) -> io::Result<Self> {
        let reactor = Reactor::new(shared.board.clock.for_loop())?;
        let now = reactor.io.now();
        let figures = Figures { counted: shared.plan.measured_from, ..Figures::default() };
        Ok(Clients {
            reactor,
            shared: Rc::new(shared),
            next: shard,
            step: shards.max(1),
            happened: 0,
            keys: Vec::new(),
            notes: Notes::default(),
            figures,
            tick_due: now,
            worst_lag: 0,
            lag_due: now + LAG_EVERY,
        })
    }

    fn play(&mut self) -> io::Result<()> {
        self.tick();
        self.arrivals();
        self.timeline();
        while !self.shared.board.is_stopping() {
            self.reactor.turn()?;
            self.take_reports();
        }
        self.each(Input::Stop);
        Ok(())
    }

    fn take_reports(&mut self) {
        while let Some(report) = self.reactor.io.reports.pop_front() {
            match report {
                Told::Timer(TICKING) => self.tick(),
                Told::Timer(ARRIVAL) => self.arrivals(),
                Told::Timer(_) => self.timeline(),
                Told::Note(observation) => self.note(observation),
                Told::Standing(change) => {
                    self.shared.board.live.standing.fetch_add(change, Ordering::Relaxed);
                }
            }
        }
    }

    fn note(&mut self, Observation { at, seen }: Observation) {
        let live = &self.shared.board.live;
        let one_more = match &seen {
            Seen::Asked { .. } => Some(&live.asked),
            Seen::Answered { answer: Answer::Up(_), .. } => Some(&live.up),
            Seen::Answered { answer: Answer::Busy(_), .. } => Some(&live.busy),
            Seen::Answered { answer: Answer::Failed(_), .. } => Some(&live.failed),
            Seen::Moved { .. } => Some(&live.moved),
            _ => None,
        };
        if let Some(count) = one_more {
            count.fetch_add(1, Ordering::Relaxed);
        }
        if let Seen::Served { session, from, well: true } = seen {
            let plan = &self.shared.plan;
            let class =
                plan.sessions.get(session.0 as usize).and_then(|s| plan.classes.get(usize::from(s.class)));
            let span = (at - from.max(plan.measured_from)).max(0) as f64;
            live.well.fetch_add((span * class.map_or(0.0, |class| class.worth)) as u64, Ordering::Relaxed);
        }
        self.notes.note(at, seen);
    }

    fn tick(&mut self) {
        let now = self.reactor.io.now();
        self.worst_lag = self.worst_lag.max(now - self.tick_due);
        if now >= self.lag_due {
            self.notes.note(now, Seen::Lag { late: self.worst_lag });
            (self.worst_lag, self.lag_due) = (0, now + LAG_EVERY);
            self.figures.count(now, &self.shared.board.live);
        }
        self.tick_due = now + TICK;
        self.reactor.io.owner_timer(self.tick_due, TICKING);
    }

    fn arrivals(&mut self) {
        while let Some(planned) = self.shared.plan.sessions.get(self.next) {
            if planned.arrives > self.reactor.io.now() {
                return self.reactor.io.owner_timer(planned.arrives, ARRIVAL);
            }
            let id = SessionId(self.next as u32);
            self.next += self.step;
            let Some(session) = Session::new(&self.shared.plan, id) else { continue };
            self.figures.arrived(&session);
            let shared = Rc::clone(&self.shared);
            let inserted = self.reactor.insert(|key, _| {
                Ok(Box::new(Client { key, shared, session, link: Link::None, armed: Micros::MIN }))
            });
            if let Ok(key) = inserted {
                self.keys.push(key);
                self.reactor.with(key, |client, io| client.step(io, Input::Due));
            }
        }
    }

    fn timeline(&mut self) {
        let shared = Rc::clone(&self.shared);
        while let Some(event) = shared.plan.timeline.get(self.happened) {
            if let TimelineChange::Drop { share, back_within, seed } = event.change {
                if event.at > self.reactor.io.now() {
                    return self.reactor.io.owner_timer(event.at, TIMELINE);
                }
                self.each(Input::Drop { share, back_within, seed });
            }
            self.happened += 1;
        }
    }

    /// The same for all clients that there are.
    fn each(&mut self, input: Input<'_>) {
        self.keys.retain(|key| self.reactor.contains(*key));
        for key in &self.keys {
            self.reactor.with(*key, |client, io| client.step(io, input));
        }
        self.take_reports();
    }
}

/// Plays the sessions whose place, divided by `shards`, leaves `shard`, until the board says stop. Returns all that
/// they saw; a [`Seen::Served`] is dated at its span's end and may stand up to a message aim late in the list. Fails
/// only if the system has no poll to give.
pub fn run(
    plan: Arc<Plan>,
    addresses: Arc<Addresses>,
    board: Arc<Board>,
    shard: usize,
    shards: usize,
) -> io::Result<Vec<Observation>> {
    let mut clients = Clients::new(Shared { plan, addresses, board }, shard, shards)?;
    clients.shared.board.ready();
    clients.play()?;
    Ok(clients.notes.into_inner())
}
