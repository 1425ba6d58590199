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
const TICK_INTERVAL: Micros = 5 * MS;
/// Interval at which the greatest lag is recorded as an observation.
const LAG_INTERVAL: Micros = 100 * MS;

/// Timers of [`Clients`], which owns the reactor.
const TICK_TIMER: u32 = 0;
const ARRIVAL_TIMER: u32 = 1;
const TIMELINE_TIMER: u32 = 2;

/// Reports of a client to the thread's loop.
#[derive(Debug)]
enum ClientReport {
    Timer(u32),
    Observed(Observation),
    /// The number of sessions that are up changes: by 1 when one comes up, by -1 when one ends.
    UpCountChange(i64),
}

impl Report for ClientReport {
    fn timer(timer: u32) -> Self {
        ClientReport::Timer(timer)
    }
}

/// Data shared by all clients of a thread.
struct Shared {
    plan: Arc<Plan>,
    addresses: Arc<Addresses>,
    board: Arc<Board>,
}

enum ConnectionState {
    None,
    Connecting(LineStream),
    /// The connection is established, but the first line is not completely written.
    SendingFirstLine(LineStream),
    Open(LineStream),
}

/// One client: a session and, while there is one, its connection.
struct Client {
    key: Key,
    shared: Rc<Shared>,
    session: Session,
    connection: ConnectionState,
    /// When the current timer fires. Timers that fire earlier are outdated and are ignored.
    timer_due: Micros,
}

impl Client {
    /// Passes an input to the session and carries out the session's outputs.
    fn handle_input(&mut self, io: &mut Io<ClientReport>, input: Input<'_>) {
        let (up_before, mut out) = (self.session.up(), Vec::new());
        let board = Arc::clone(&self.shared.board);
        self.session.handle(io.now(), input, &|proxy| board.is_admitted(proxy), &mut out);
        for output in out {
            match output {
                Output::Record(observation) => io.report(ClientReport::Observed(observation)),
                Output::Connect(proxy) => {
                    let address = self.shared.addresses.proxy(proxy);
                    match LineStream::connect(address, io, self.key, Half::Near) {
                        Ok(stream) => self.connection = ConnectionState::Connecting(stream),
                        Err(error) => {
                            log::debug!("cannot connect to {address}: {error}");
                            self.handle_input(io, Input::Unreached);
                        }
                    }
                }
                Output::Send(line) => match &mut self.connection {
                    ConnectionState::SendingFirstLine(stream) | ConnectionState::Open(stream) => {
                        stream.push(line.as_bytes())
                    }
                    ConnectionState::None | ConnectionState::Connecting(_) => {}
                },
                Output::Finish => {
                    if let ConnectionState::Open(stream) = &mut self.connection {
                        stream.finish();
                    }
                }
                Output::Close => self.connection = ConnectionState::None,
                Output::Reset => {
                    if let ConnectionState::SendingFirstLine(stream) | ConnectionState::Open(stream) =
                        &self.connection
                    {
                        stream.reset();
                    }
                    self.connection = ConnectionState::None;
                }
            }
        }
        let up_after = self.session.up();
        if up_before != up_after {
            if let Some((request, _)) = up_before {
                board.closed(request);
                io.report(ClientReport::UpCountChange(-1));
            }
            if let Some((request, proxy)) = up_after {
                board.opened(request, proxy);
                io.report(ClientReport::UpCountChange(1));
            }
        }
        self.flush(io);
        if let Some(at) = self.session.next_timeout().filter(|at| *at != self.timer_due) {
            self.timer_due = at;
            io.timer(at, self.key, 0);
        }
    }

    fn flush(&mut self, io: &mut Io<ClientReport>) {
        match &mut self.connection {
            ConnectionState::SendingFirstLine(stream) => match stream.flush() {
                Ok(false) => {}
                Ok(true) => {
                    if let ConnectionState::SendingFirstLine(stream) =
                        std::mem::replace(&mut self.connection, ConnectionState::None)
                    {
                        self.connection = ConnectionState::Open(stream);
                        // Readiness is edge-triggered and reported once: data that arrived before the
                        // first line was written still has to be read.
                        io.call_again(self.key, Half::Near);
                    }
                    self.handle_input(io, Input::Written);
                }
                Err(_) => self.handle_input(io, Input::Unreached),
            },
            // A write error is ignored: the next read reports the broken connection.
            ConnectionState::Open(stream) => drop(stream.flush()),
            ConnectionState::None | ConnectionState::Connecting(_) => {}
        }
    }
}

impl Connection for Client {
    type Report = ClientReport;

    fn readable(&mut self, io: &mut Io<ClientReport>, half: Half) {
        let ConnectionState::Open(stream) = &mut self.connection else { return };
        let fill = stream.fill();
        while let ConnectionState::Open(stream) = &mut self.connection {
            let line = match stream.take_line() {
                Ok(Some(line)) => line,
                Ok(None) => break,
                Err(TooLong) => stream.take_rest(),
            };
            self.handle_input(io, Input::Line(trim_end(&line)));
        }
        // The session closed this connection on its last line, so how the read ended no longer matters.
        if !matches!(self.connection, ConnectionState::Open(_)) {
            return;
        }
        match fill {
            Fill::Blocked => {}
            Fill::More => io.call_again(self.key, half),
            Fill::Ended => self.handle_input(io, Input::Ended(ProxyClose::Closed)),
            Fill::Broken(_) => self.handle_input(io, Input::Ended(ProxyClose::Reset)),
        }
    }

    fn writable(&mut self, io: &mut Io<ClientReport>, _: Half) {
        if let ConnectionState::Connecting(stream) = &mut self.connection {
            match stream.connected() {
                Ok(false) => return,
                Err(_) => {
                    self.connection = ConnectionState::None;
                    return self.handle_input(io, Input::Unreached);
                }
                Ok(true) => {}
            }
            if let ConnectionState::Connecting(stream) =
                std::mem::replace(&mut self.connection, ConnectionState::None)
            {
                self.connection = ConnectionState::SendingFirstLine(stream);
            }
            return self.handle_input(io, Input::Connected);
        }
        self.flush(io);
    }

    fn timer(&mut self, io: &mut Io<ClientReport>, _: u32) {
        // Guards against outdated timers: each of them would set a new timer, without end.
        if io.now() >= self.timer_due {
            self.timer_due = Micros::MIN;
            self.handle_input(io, Input::Due);
        }
    }

    fn done(&self) -> bool {
        self.session.is_over()
    }
}

/// Sums of a thread's sessions for the progress line.
#[derive(Default)]
struct Demand {
    /// Sessions that want a connection now: the time until which they do, and the worth of a second, in thousandths.
    wanting: BinaryHeap<Reverse<(Micros, u64)>>,
    /// Total worth per second of the sessions in `wanting`, in thousandths.
    worth_per_s: u64,
    /// Time up to which the wanted seconds have been added to the progress line.
    counted_until: Micros,
}

impl Demand {
    fn add_session(&mut self, session: &Session) {
        let worth = (session.worth() * 1e3) as u64;
        self.wanting.push(Reverse((session.wanted_until(), worth)));
        self.worth_per_s += worth;
    }

    fn count_until(&mut self, now: Micros, live: &Live) {
        while let Some(Reverse((_, worth))) =
            self.wanting.peek().copied().filter(|Reverse((at, _))| *at <= now)
        {
            self.wanting.pop();
            self.worth_per_s -= worth;
        }
        let span = u64::try_from(now - self.counted_until).unwrap_or(0);
        self.counted_until = now.max(self.counted_until);
        live.wanted.fetch_add(self.worth_per_s * span / 1000, Ordering::Relaxed);
    }
}

/// The clients of one thread.
struct Clients {
    reactor: Reactor<Client>,
    shared: Rc<Shared>,
    /// Index in the plan of this thread's next session to arrive.
    next_session: usize,
    /// Distance in the plan between two sessions of this thread: the number of threads.
    session_stride: usize,
    /// Index of the next timeline event.
    next_event: usize,
    keys: Vec<Key>,
    notes: Notes,
    demand: Demand,
    tick_due: Micros,
    worst_lag: Micros,
    lag_due: Micros,
}

impl Clients {
    fn new(shared: Shared, shard: usize, shards: usize) -> io::Result<Self> {
        let reactor = Reactor::new(shared.board.clock.for_loop())?;
        let now = reactor.io.now();
        let demand = Demand { counted_until: shared.plan.measured_from, ..Demand::default() };
        Ok(Clients {
            reactor,
            shared: Rc::new(shared),
            next_session: shard,
            session_stride: shards.max(1),
            next_event: 0,
            keys: Vec::new(),
            notes: Notes::default(),
            demand,
            tick_due: now,
            worst_lag: 0,
            lag_due: now + LAG_INTERVAL,
        })
    }

    fn run_until_stopped(&mut self) -> io::Result<()> {
        self.tick();
        self.start_arrivals();
        self.apply_timeline();
        while !self.shared.board.is_stopping() {
            self.reactor.turn()?;
            self.handle_reports();
        }
        self.input_to_all(Input::Stop);
        Ok(())
    }

    fn handle_reports(&mut self) {
        while let Some(report) = self.reactor.io.reports.pop_front() {
            match report {
                ClientReport::Timer(TICK_TIMER) => self.tick(),
                ClientReport::Timer(ARRIVAL_TIMER) => self.start_arrivals(),
                ClientReport::Timer(_) => self.apply_timeline(),
                ClientReport::Observed(observation) => self.record(observation),
                ClientReport::UpCountChange(change) => {
                    self.shared.board.live.standing.fetch_add(change, Ordering::Relaxed);
                }
            }
        }
    }

    fn record(&mut self, Observation { at, seen }: Observation) {
        let live = &self.shared.board.live;
        let counter = match &seen {
            Seen::Asked { .. } => Some(&live.asked),
            Seen::Answered { answer: Answer::Up(_), .. } => Some(&live.up),
            Seen::Answered { answer: Answer::Busy(_), .. } => Some(&live.busy),
            Seen::Answered { answer: Answer::Failed(_), .. } => Some(&live.failed),
            Seen::Moved { .. } => Some(&live.moved),
            _ => None,
        };
        if let Some(count) = counter {
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
            (self.worst_lag, self.lag_due) = (0, now + LAG_INTERVAL);
            self.demand.count_until(now, &self.shared.board.live);
        }
        self.tick_due = now + TICK_INTERVAL;
        self.reactor.io.owner_timer(self.tick_due, TICK_TIMER);
    }

    fn start_arrivals(&mut self) {
        while let Some(planned) = self.shared.plan.sessions.get(self.next_session) {
            if planned.arrives > self.reactor.io.now() {
                return self.reactor.io.owner_timer(planned.arrives, ARRIVAL_TIMER);
            }
            let id = SessionId(self.next_session as u32);
            self.next_session += self.session_stride;
            let Some(session) = Session::new(&self.shared.plan, id) else { continue };
            self.demand.add_session(&session);
            let shared = Rc::clone(&self.shared);
            let inserted = self.reactor.insert(|key, _| {
                Ok(Box::new(Client {
                    key,
                    shared,
                    session,
                    connection: ConnectionState::None,
                    timer_due: Micros::MIN,
                }))
            });
            if let Ok(key) = inserted {
                self.keys.push(key);
                self.reactor.with(key, |client, io| client.handle_input(io, Input::Due));
            }
        }
    }

    fn apply_timeline(&mut self) {
        let shared = Rc::clone(&self.shared);
        while let Some(event) = shared.plan.timeline.get(self.next_event) {
            if let TimelineChange::Drop { share, back_within, seed } = event.change {
                if event.at > self.reactor.io.now() {
                    return self.reactor.io.owner_timer(event.at, TIMELINE_TIMER);
                }
                self.input_to_all(Input::Drop { share, back_within, seed });
            }
            self.next_event += 1;
        }
    }

    /// Passes an input to every client that is not done yet.
    fn input_to_all(&mut self, input: Input<'_>) {
        self.keys.retain(|key| self.reactor.contains(*key));
        for key in &self.keys {
            self.reactor.with(*key, |client, io| client.handle_input(io, input));
        }
        self.handle_reports();
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
    clients.run_until_stopped()?;
    Ok(clients.notes.into_inner())
}
