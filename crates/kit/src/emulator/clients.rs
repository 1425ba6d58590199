//! Emulates clients on real sockets. Each client is a reactor object that carries out the outputs of its session model
//! ([`crate::model::client`]) from the session's arrival to its end. The sessions of the plan are divided among
//! threads: of `n` threads, each has every `n`-th session.

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

/// Interval at which a thread measures its lag and, if nothing else happens, checks whether the run is over.
const TICK: Micros = 5 * MS;
/// Interval at which the greatest lag is recorded as an observation.
const LAG_EVERY: Micros = 100 * MS;

/// Timers of [`Clients`], which owns the reactor.
const TICKING: u32 = 0;
const ARRIVAL: u32 = 1;
const TIMELINE: u32 = 2;

/// Reports of a client to the thread's loop.
#[derive(Debug)]
enum Told {
    Timer(u32),
    Note(Observation),
    /// The number of sessions that are up changes: by 1 when one comes up, by -1 when one ends.
    Standing(i64),
}

impl Report for Told {
    fn timer(timer: u32) -> Self {
        Told::Timer(timer)
    }
}

/// Data shared by all clients of a thread.
struct Shared {
    plan: Arc<Plan>,
    addresses: Arc<Addresses>,
    board: Arc<Board>,
}

enum Link {
    None,
    Connecting(LineStream),
    /// The connection is established, but the first line is not completely written.
    Opening(LineStream),
    Open(LineStream),
}

/// One client: a session and, while there is one, its connection.
struct Client {
    key: Key,
    shared: Rc<Shared>,
    session: Session,
    link: Link,
    /// When the current timer fires. Timers that fire earlier are outdated and are ignored.
    armed: Micros,
}

impl Client {
    /// Passes an input to the session and carries out the session's outputs.
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
                            log::debug!("cannot connect to {address}: {error}");
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
                        // Readiness is edge-triggered and reported once: data that arrived before the
                        // first line was written still has to be read.
                        io.call_again(self.key, Half::Near);
                    }
                    self.step(io, Input::Written);
                }
                Err(_) => self.step(io, Input::Unreached),
            },
            // A write error is ignored: the next read reports the broken connection.
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
        // The session closed this connection on its last line, so how the read ended no longer matters.
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
        // Guards against outdated timers: each of them would set a new timer, without end.
        if io.now() >= self.armed {
            self.armed = Micros::MIN;
            self.step(io, Input::Due);
        }
    }

    fn done(&self) -> bool {
        self.session.is_over()
    }
}

/// Sums of a thread's sessions for the progress line.
#[derive(Default)]
struct Figures {
    /// Sessions that want a connection now: the time until which they do, and the worth of a second, in thousandths.
    wanting: BinaryHeap<Reverse<(Micros, u64)>>,
    /// Total worth per second of the sessions in `wanting`, in thousandths.
    worth: u64,
    /// Time up to which the wanted seconds have been added to the progress line.
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

/// The clients of one thread.
struct Clients {
    reactor: Reactor<Client>,
    shared: Rc<Shared>,
    /// Index in the plan of this thread's next session to arrive.
    next: usize,
    /// Distance in the plan between two sessions of this thread: the number of threads.
    step: usize,
    /// Index of the next timeline event.
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

    /// Passes an input to every client that is not done yet.
    fn each(&mut self, input: Input<'_>) {
        self.keys.retain(|key| self.reactor.contains(*key));
        for key in &self.keys {
            self.reactor.with(*key, |client, io| client.step(io, input));
        }
        self.take_reports();
    }
}

/// Runs the sessions whose index modulo `shards` is `shard`, until the board stops the run, and returns the
/// observations. A [`Seen::Served`] carries the time at which its span ends, and may appear in the list up to a message
/// aim later than that.
///
/// # Errors
///
/// If the system cannot create a poll instance, or polling fails.
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
