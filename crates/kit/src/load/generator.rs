//! The load generator: clients whose units of work are due at fixed times, whether earlier units are done or not.

use super::{LoadError, system};
use cottonnotch_reactor::line::{Fill, LineStream};
use cottonnotch_reactor::{Clock, Connection, Half, Io, Key, Micros, Reactor, Report};
use hdrhistogram::Histogram;
use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Interval between two checks for due work. Latency counts from the due time, so it includes this delay.
const TICK: Micros = 500;
/// Longest latency that the histogram records, in microseconds, with three significant figures.
const LONGEST: u64 = 60_000_000;
/// Time after the end of a step in which units in progress may still complete. Such units count as done, but not as
/// done in time.
const AFTER: Micros = 300_000;
/// Maximum number of set-ups in progress per thread. A proxy with more in progress does not sustain the rate anyway.
pub(super) const MOST_AT_ONCE: usize = 2000;
/// Bytes that each direction of a connection buffers at most.
const BUFFER: usize = 64 * 1024;

static NUMBER: AtomicU64 = AtomicU64::new(1);

/// A kind of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// Opens a connection, waits until it is up, and closes it.
    Setups,
    /// Sends a line on an established connection and waits for its echo.
    Lines {
        /// Number of established connections.
        connections: usize,
        /// Maximum number of lines in flight on each connection. Further due lines wait, and their latency grows.
        in_flight: usize,
    },
}

/// Parameters of one step of the load.
#[derive(Clone, Copy, Debug)]
pub struct Aim {
    /// The kind of work.
    pub work: Work,
    /// Units of work per second.
    pub rate: f64,
    /// Duration of the step.
    pub length: Duration,
    /// Number of threads that share the work.
    pub shards: usize,
}

/// Result of one step.
#[derive(Debug)]
pub struct Done {
    /// Number of units that were due.
    pub due: u64,
    /// Number of units that were done, including those done shortly after the end of the step.
    pub done: u64,
    /// Number of units that were done before the end of the step.
    pub in_time: u64,
    /// Latency of the units that were done, in microseconds from their due time.
    pub latency: Histogram<u64>,
}

impl Done {
    fn none() -> Self {
        let Ok(latency) = Histogram::new_with_bounds(1, LONGEST, 3) else {
            unreachable!("the bounds of 1 us to 60 s with 3 significant figures are valid")
        };
        Done { due: 0, done: 0, in_time: 0, latency }
    }

    /// Share of the due units that were done.
    pub fn part(&self) -> f64 {
        self.done as f64 / self.due.max(1) as f64
    }

    /// Whether the rate was sustained: at least the share `part` of the units is done, and the 99th percentile of the
    /// latency is at most `slowest`.
    pub fn borne(&self, part: f64, slowest: Duration) -> bool {
        let slow = self.latency.value_at_quantile(0.99);
        self.part() >= part && u128::from(slow) <= slowest.as_micros()
    }

    fn record(&mut self, latency: Micros) {
        self.done += 1;
        self.latency.saturating_record(latency.max(1) as u64);
    }

    fn add(&mut self, other: &Done) {
        self.due += other.due;
        self.done += other.done;
        self.in_time += other.in_time;
        // Adding fails only if the bounds of the histograms differ, and they are the same.
        let _ = self.latency.add(&other.latency);
    }
}

/// A barrier at which the threads of a step wait with their connections established, until it is opened.
#[derive(Debug)]
pub struct Gate {
    /// Number of threads that have not arrived yet, and whether the gate is open.
    state: Mutex<(usize, bool)>,
    changed: Condvar,
}

impl Gate {
    /// Creates a closed gate for this number of threads.
    pub fn new(threads: usize) -> Arc<Gate> {
        Arc::new(Gate { state: Mutex::new((threads, false)), changed: Condvar::new() })
    }

    /// Waits until all threads have arrived, for at most `most`. Returns whether they have.
    pub fn wait(&self, most: Duration) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let all = self.changed.wait_timeout_while(state, most, |(left, _)| *left > 0);
        all.unwrap_or_else(PoisonError::into_inner).0.0 == 0
    }

    /// Opens the gate, so that all waiting threads continue.
    pub fn open(&self) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).1 = true;
        self.changed.notify_all();
    }

    fn pass(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.0 = state.0.saturating_sub(1);
        self.changed.notify_all();
        drop(self.changed.wait_while(state, |(_, open)| !*open));
    }
}

/// Runs one step. Connections go to the addresses in turn.
pub fn play(aim: &Aim, to: &[SocketAddr]) -> Result<Done, LoadError> {
    let gate = Gate::new(aim.shards);
    gate.open();
    play_at(aim, to, &gate)
}

/// Runs one step once the gate opens. Connections for lines are established before that.
pub fn play_at(aim: &Aim, to: &[SocketAddr], gate: &Arc<Gate>) -> Result<Done, LoadError> {
    let shards: Vec<_> = (0..aim.shards)
        .map(|shard| {
            let (aim, to, gate) = (*aim, to.to_vec(), Arc::clone(gate));
            thread::spawn(move || Shard::play(&aim, &to, shard, &gate))
        })
        .collect();
    let mut all = Done::none();
    for shard in shards {
        let done = shard.join().map_err(|_| LoadError::Panicked)?;
        all.add(&done.map_err(system("the load generator failed"))?);
    }
    Ok(all)
}

enum Told {
    Timer,
    /// The unit that was due at this time is done.
    Done(Micros),
    /// The `UP` answer of a connection has arrived.
    Up,
    /// A connection has ended.
    AttemptEnd,
}

impl Report for Told {
    fn timer(_: u32) -> Self {
        Told::Timer
    }
}

/// One client connection.
struct Client {
    key: Key,
    stream: LineStream,
    connected: bool,
    up: bool,
    over: bool,
    /// Due time of the set-up. Such a connection is closed as soon as it is up. `None` on a connection for lines.
    setup: Option<Micros>,
    /// Due time of each line in flight, oldest first.
    out: VecDeque<Micros>,
    /// Due time of each line that waits because too many lines are in flight.
    waiting: VecDeque<Micros>,
    in_flight: usize,
}

/// Builds a first line with a unique id.
fn first_line() -> String {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    format!("OPEN {number:016x} {number:016x} c=load,d=10000\r\n")
}

const LINE: &[u8] = b"M 1 0123456789abcdefghijklmnopqrstuv\r\n";

impl Client {
    fn connect(
        to: SocketAddr,
        setup: Option<Micros>,
        in_flight: usize,
        key: Key,
        io: &Io<Told>,
    ) -> io::Result<Self> {
        let mut stream = LineStream::connect(to, io, key, Half::Near)?;
        stream.push(first_line().as_bytes());
        let (out, waiting) = (VecDeque::new(), VecDeque::new());
        Ok(Client { key, stream, connected: false, up: false, over: false, setup, out, waiting, in_flight })
    }

    /// Queues a line that was due at the given time, and sends it if few enough lines are in flight.
    fn due(&mut self, at: Micros) {
        self.waiting.push_back(at);
        self.send();
    }

    fn send(&mut self) {
        let mut any = false;
        while self.out.len() < self.in_flight {
            let Some(due) = self.waiting.pop_front() else { break };
            self.out.push_back(due);
            self.stream.push(LINE);
            any = true;
        }
        if any && self.stream.flush().is_err() {
            self.over = true;
        }
    }

    fn read(&mut self, io: &mut Io<Told>) {
        let fill = self.stream.fill();
        loop {
            match self.stream.take_line() {
                Ok(Some(line)) if !self.up => {
                    if !line.starts_with(b"UP ") {
                        self.over = true;
                        break;
                    }
                    self.up = true;
                    io.report(Told::Up);
                    if let Some(due) = self.setup {
                        io.report(Told::Done(due));
                        // A reset leaves no port in TIME_WAIT. Thousands of set-ups a second would use up the ports.
                        self.stream.reset();
                        self.over = true;
                        break;
                    }
                }
                Ok(Some(_)) => {
                    if let Some(due) = self.out.pop_front() {
                        io.report(Told::Done(due));
                    }
                }
                Ok(None) => break,
                Err(_) => {
                    self.over = true;
                    break;
                }
            }
        }
        match fill {
            Fill::Blocked => {}
            Fill::More => io.call_again(self.key, Half::Near),
            Fill::Ended | Fill::Broken(_) => self.over = true,
        }
        if !self.over {
            self.send();
        }
    }
}

impl Connection for Client {
    type Report = Told;

    fn readable(&mut self, io: &mut Io<Told>, _: Half) {
        if self.connected {
            self.read(io);
        }
    }

    fn writable(&mut self, io: &mut Io<Told>, _: Half) {
        if !self.connected {
            match self.stream.connected() {
                Ok(true) => self.connected = true,
                Ok(false) => return,
                Err(_) => self.over = true,
            }
        }
        if self.stream.flush().is_err() {
            self.over = true;
        }
        // The poller does not signal again for input that arrived together with the connect event.
        io.call_again(self.key, Half::Near);
    }

    fn timer(&mut self, _: &mut Io<Told>, _: u32) {}

    fn done(&self) -> bool {
        self.over
    }

    fn closed(&mut self, io: &mut Io<Told>) {
        self.stream.reset();
        io.report(Told::AttemptEnd);
    }
}

/// One thread of a step, with its share of the work.
struct Shard {
    reactor: Reactor<Client>,
    to: Vec<SocketAddr>,
    done: Done,
    /// Established connections for lines.
    standing: Vec<Key>,
    up: usize,
    open: usize,
    turn: usize,
    /// Time at which the step ends.
    over: Micros,
}

impl Shard {
    fn play(aim: &Aim, to: &[SocketAddr], shard: usize, gate: &Gate) -> io::Result<Done> {
        let mut reactor = Reactor::new(Clock::unix())?;
        reactor.io.buffer_bound = BUFFER;
        let mut this = Shard {
            reactor,
            to: to.to_vec(),
            done: Done::none(),
            standing: Vec::new(),
            up: 0,
            open: 0,
            turn: shard,
            over: Micros::MAX,
        };
        if let Work::Lines { connections, in_flight } = aim.work {
            this.stand(connections / aim.shards, in_flight)?;
        }
        gate.pass();
        this.step(aim, shard)?;
        Ok(this.done)
    }

    fn connect(&mut self, setup: Option<Micros>, in_flight: usize) -> io::Result<Key> {
        self.turn += 1;
        let to = self.to[self.turn % self.to.len()];
        let key =
            self.reactor.insert(|key, io| Client::connect(to, setup, in_flight, key, io).map(Box::new))?;
        self.open += 1;
        Ok(key)
    }

    /// Opens the connections for lines, at most 64 at a time.
    fn stand(&mut self, connections: usize, in_flight: usize) -> io::Result<()> {
        let until = self.reactor.io.now() + 20_000_000;
        while self.up < connections && self.reactor.io.now() < until {
            while self.standing.len() < connections && self.standing.len() < self.up + 64 {
                let key = self.connect(None, in_flight)?;
                self.standing.push(key);
            }
            self.turn_once()?;
        }
        Ok(())
    }

    fn turn_once(&mut self) -> io::Result<()> {
        let now = self.reactor.io.now();
        self.reactor.io.owner_timer(now + TICK, 0);
        self.reactor.turn()?;
        let now = self.reactor.io.now();
        while let Some(told) = self.reactor.io.reports.pop_front() {
            match told {
                Told::Timer => {}
                Told::Done(due) => {
                    self.done.record(now - due);
                    self.done.in_time += u64::from(now <= self.over);
                }
                Told::Up => self.up += 1,
                Told::AttemptEnd => self.open -= 1,
            }
        }
        Ok(())
    }

    fn step(&mut self, aim: &Aim, shard: usize) -> io::Result<()> {
        let each = 1e6 * aim.shards as f64 / aim.rate;
        // The due times of the shards interleave.
        let began = self.reactor.io.now() + (each * shard as f64 / aim.shards as f64) as Micros;
        let length = aim.length.as_micros() as Micros;
        let total = (length as f64 / each) as u64;
        let over = began + length;
        self.over = over;
        loop {
            let now = self.reactor.io.now();
            while self.done.due < total {
                let due = began + (self.done.due as f64 * each) as Micros;
                if due > now {
                    break;
                }
                self.done.due += 1;
                self.begin(aim.work, due)?;
            }
            let finished = self.done.due == total && self.done.done >= total;
            if now > over + AFTER || finished && now >= over {
                return Ok(());
            }
            self.turn_once()?;
        }
    }

    fn begin(&mut self, work: Work, due: Micros) -> io::Result<()> {
        match work {
            Work::Setups if self.open < MOST_AT_ONCE => self.connect(Some(due), 1).map(drop),
            Work::Setups => Ok(()),
            Work::Lines { .. } => {
                self.turn += 1;
                if let Some(key) = self.standing.get(self.turn % self.standing.len().max(1)).copied() {
                    self.reactor.with(key, |client, _| client.due(due));
                }
                Ok(())
            }
        }
    }
}

/// Idle connections that are up, opened one after the other.
pub struct Standing(Vec<TcpStream>);

impl Standing {
    /// Opens this number of connections.
    pub fn open(to: SocketAddr, connections: usize) -> Result<Standing, LoadError> {
        let mut all = Vec::with_capacity(connections);
        for _ in 0..connections {
            all.push(Self::one(to).map_err(system("cannot open an idle connection"))?);
        }
        Ok(Standing(all))
    }

    fn one(to: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        (&stream).write_all(first_line().as_bytes())?;
        let mut answer = String::new();
        BufReader::new(&stream).read_line(&mut answer)?;
        if answer.starts_with("UP ") { Ok(stream) } else { Err(io::ErrorKind::ConnectionRefused.into()) }
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Drop for Standing {
    fn drop(&mut self) {
        for stream in &self.0 {
            // Setting the option fails only on a socket that is already closed.
            let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}
