//! The load generator: clients whose units of work are due at fixed times, whether earlier units are done or not.

use super::{LoadError, system_error};
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
const POLL_INTERVAL: Micros = 500;
/// Longest latency that the histogram records, in microseconds, with three significant figures.
const MAX_LATENCY: u64 = 60_000_000;
/// Time after the end of a step in which units in progress may still complete. Such units count as done, but not as
/// done in time.
const GRACE_PERIOD: Micros = 300_000;
/// Maximum number of set-ups in progress per thread. A proxy with more in progress does not sustain the rate anyway.
pub(super) const MAX_SETUPS_IN_PROGRESS: usize = 2000;
/// Bytes that each direction of a connection buffers at most.
const BUFFER_BYTES: usize = 64 * 1024;

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

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
pub struct Step {
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
pub struct StepResult {
    /// Number of units that were due.
    pub due: u64,
    /// Number of units that were done, including those done shortly after the end of the step.
    pub done: u64,
    /// Number of units that were done before the end of the step.
    pub in_time: u64,
    /// Latency of the units that were done, in microseconds from their due time.
    pub latency: Histogram<u64>,
}

impl StepResult {
    fn empty() -> Self {
        let Ok(latency) = Histogram::new_with_bounds(1, MAX_LATENCY, 3) else {
            unreachable!("the bounds of 1 us to 60 s with 3 significant figures are valid")
        };
        StepResult { due: 0, done: 0, in_time: 0, latency }
    }

    /// Share of the due units that were done.
    pub fn done_share(&self) -> f64 {
        self.done as f64 / self.due.max(1) as f64
    }

    /// Whether the rate was sustained: at least `min_done_share` of the units are done, and the 99th percentile of the
    /// latency is at most `max_p99`.
    pub fn is_sustained(&self, min_done_share: f64, max_p99: Duration) -> bool {
        let p99 = self.latency.value_at_quantile(0.99);
        self.done_share() >= min_done_share && u128::from(p99) <= max_p99.as_micros()
    }

    fn record(&mut self, latency: Micros) {
        self.done += 1;
        self.latency.saturating_record(latency.max(1) as u64);
    }

    fn merge(&mut self, other: &StepResult) {
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

    /// Waits until all threads have arrived or the timeout is over. Returns whether they have.
    pub fn wait_for_threads(&self, timeout: Duration) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = self.changed.wait_timeout_while(state, timeout, |(missing, _)| *missing > 0);
        waited.unwrap_or_else(PoisonError::into_inner).0.0 == 0
    }

    /// Opens the gate, so that all waiting threads continue.
    pub fn open(&self) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).1 = true;
        self.changed.notify_all();
    }

    fn arrive_and_wait(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.0 = state.0.saturating_sub(1);
        self.changed.notify_all();
        drop(self.changed.wait_while(state, |(_, open)| !*open));
    }
}

/// Runs one step. Connections go to the addresses in turn.
pub fn run_step(step: &Step, addresses: &[SocketAddr]) -> Result<StepResult, LoadError> {
    let gate = Gate::new(step.shards);
    gate.open();
    run_step_at_gate(step, addresses, &gate)
}

/// Runs one step once the gate opens. Connections for lines are established before that.
pub fn run_step_at_gate(
    step: &Step,
    addresses: &[SocketAddr],
    gate: &Arc<Gate>,
) -> Result<StepResult, LoadError> {
    let shards: Vec<_> = (0..step.shards)
        .map(|shard| {
            let (step, addresses, gate) = (*step, addresses.to_vec(), Arc::clone(gate));
            thread::spawn(move || Shard::run(&step, &addresses, shard, &gate))
        })
        .collect();
    let mut total = StepResult::empty();
    for shard in shards {
        let result = shard.join().map_err(|_| LoadError::Panicked)?;
        total.merge(&result.map_err(system_error("the load generator failed"))?);
    }
    Ok(total)
}

enum ClientReport {
    Timer,
    /// The unit that was due at this time is done.
    UnitDone(Micros),
    /// The `UP` answer of a connection has arrived.
    ConnectionUp,
    /// A connection has ended.
    ConnectionEnded,
}

impl Report for ClientReport {
    fn timer(_: u32) -> Self {
        ClientReport::Timer
    }
}

/// One client connection.
struct Client {
    key: Key,
    stream: LineStream,
    connected: bool,
    up: bool,
    closed: bool,
    /// Due time of the set-up. Such a connection is closed as soon as it is up. `None` on a connection for lines.
    setup_due: Option<Micros>,
    /// Due time of each line in flight, oldest first.
    in_flight_due: VecDeque<Micros>,
    /// Due time of each line that waits because too many lines are in flight.
    waiting_due: VecDeque<Micros>,
    max_in_flight: usize,
}

/// Builds a first line with a unique id.
fn first_line() -> String {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    format!("OPEN {number:016x} {number:016x} c=load,d=10000\r\n")
}

const LINE: &[u8] = b"M 1 0123456789abcdefghijklmnopqrstuv\r\n";

impl Client {
    fn connect(
        address: SocketAddr,
        setup_due: Option<Micros>,
        max_in_flight: usize,
        key: Key,
        io: &Io<ClientReport>,
    ) -> io::Result<Self> {
        let mut stream = LineStream::connect(address, io, key, Half::Near)?;
        stream.push(first_line().as_bytes());
        let (in_flight_due, waiting_due) = (VecDeque::new(), VecDeque::new());
        Ok(Client {
            key,
            stream,
            connected: false,
            up: false,
            closed: false,
            setup_due,
            in_flight_due,
            waiting_due,
            max_in_flight,
        })
    }

    /// Queues a line that was due at the given time, and sends it if few enough lines are in flight.
    fn queue_line(&mut self, due: Micros) {
        self.waiting_due.push_back(due);
        self.send_waiting();
    }

    fn send_waiting(&mut self) {
        let mut sent = false;
        while self.in_flight_due.len() < self.max_in_flight {
            let Some(due) = self.waiting_due.pop_front() else { break };
            self.in_flight_due.push_back(due);
            self.stream.push(LINE);
            sent = true;
        }
        if sent && self.stream.flush().is_err() {
            self.closed = true;
        }
    }

    fn read(&mut self, io: &mut Io<ClientReport>) {
        let fill = self.stream.fill();
        loop {
            match self.stream.take_line() {
                Ok(Some(line)) if !self.up => {
                    if !line.starts_with(b"UP ") {
                        self.closed = true;
                        break;
                    }
                    self.up = true;
                    io.report(ClientReport::ConnectionUp);
                    if let Some(due) = self.setup_due {
                        io.report(ClientReport::UnitDone(due));
                        // A reset leaves no port in TIME_WAIT. Thousands of set-ups a second would use up the ports.
                        self.stream.reset();
                        self.closed = true;
                        break;
                    }
                }
                Ok(Some(_)) => {
                    if let Some(due) = self.in_flight_due.pop_front() {
                        io.report(ClientReport::UnitDone(due));
                    }
                }
                Ok(None) => break,
                Err(_) => {
                    self.closed = true;
                    break;
                }
            }
        }
        match fill {
            Fill::Blocked => {}
            Fill::More => io.call_again(self.key, Half::Near),
            Fill::Ended | Fill::Broken(_) => self.closed = true,
        }
        if !self.closed {
            self.send_waiting();
        }
    }
}

impl Connection for Client {
    type Report = ClientReport;

    fn readable(&mut self, io: &mut Io<ClientReport>, _: Half) {
        if self.connected {
            self.read(io);
        }
    }

    fn writable(&mut self, io: &mut Io<ClientReport>, _: Half) {
        if !self.connected {
            match self.stream.connected() {
                Ok(true) => self.connected = true,
                Ok(false) => return,
                Err(_) => self.closed = true,
            }
        }
        if self.stream.flush().is_err() {
            self.closed = true;
        }
        // The poller does not signal again for input that arrived together with the connect event.
        io.call_again(self.key, Half::Near);
    }

    fn timer(&mut self, _: &mut Io<ClientReport>, _: u32) {}

    fn done(&self) -> bool {
        self.closed
    }

    fn closed(&mut self, io: &mut Io<ClientReport>) {
        self.stream.reset();
        io.report(ClientReport::ConnectionEnded);
    }
}

/// One thread of a step, with its share of the work.
struct Shard {
    reactor: Reactor<Client>,
    addresses: Vec<SocketAddr>,
    result: StepResult,
    /// Established connections for lines.
    line_connections: Vec<Key>,
    up_count: usize,
    open_count: usize,
    round_robin: usize,
    /// Time at which the step ends.
    step_end: Micros,
}

impl Shard {
    fn run(step: &Step, addresses: &[SocketAddr], shard: usize, gate: &Gate) -> io::Result<StepResult> {
        let mut reactor = Reactor::new(Clock::unix())?;
        reactor.io.buffer_bound = BUFFER_BYTES;
        let mut this = Shard {
            reactor,
            addresses: addresses.to_vec(),
            result: StepResult::empty(),
            line_connections: Vec::new(),
            up_count: 0,
            open_count: 0,
            round_robin: shard,
            step_end: Micros::MAX,
        };
        if let Work::Lines { connections, in_flight } = step.work {
            this.open_line_connections(connections / step.shards, in_flight)?;
        }
        gate.arrive_and_wait();
        this.generate(step, shard)?;
        Ok(this.result)
    }

    fn connect(&mut self, setup_due: Option<Micros>, max_in_flight: usize) -> io::Result<Key> {
        self.round_robin += 1;
        let address = self.addresses[self.round_robin % self.addresses.len()];
        let key = self
            .reactor
            .insert(|key, io| Client::connect(address, setup_due, max_in_flight, key, io).map(Box::new))?;
        self.open_count += 1;
        Ok(key)
    }

    /// Opens the connections for lines, at most 64 at a time.
    fn open_line_connections(&mut self, connections: usize, in_flight: usize) -> io::Result<()> {
        let until = self.reactor.io.now() + 20_000_000;
        while self.up_count < connections && self.reactor.io.now() < until {
            while self.line_connections.len() < connections
                && self.line_connections.len() < self.up_count + 64
            {
                let key = self.connect(None, in_flight)?;
                self.line_connections.push(key);
            }
            self.poll_once()?;
        }
        Ok(())
    }

    fn poll_once(&mut self) -> io::Result<()> {
        let now = self.reactor.io.now();
        self.reactor.io.owner_timer(now + POLL_INTERVAL, 0);
        self.reactor.turn()?;
        let now = self.reactor.io.now();
        while let Some(report) = self.reactor.io.reports.pop_front() {
            match report {
                ClientReport::Timer => {}
                ClientReport::UnitDone(due) => {
                    self.result.record(now - due);
                    self.result.in_time += u64::from(now <= self.step_end);
                }
                ClientReport::ConnectionUp => self.up_count += 1,
                ClientReport::ConnectionEnded => self.open_count -= 1,
            }
        }
        Ok(())
    }

    fn generate(&mut self, step: &Step, shard: usize) -> io::Result<()> {
        let interval = 1e6 * step.shards as f64 / step.rate;
        // The due times of the shards interleave.
        let start = self.reactor.io.now() + (interval * shard as f64 / step.shards as f64) as Micros;
        let length = step.length.as_micros() as Micros;
        let total = (length as f64 / interval) as u64;
        let step_end = start + length;
        self.step_end = step_end;
        loop {
            let now = self.reactor.io.now();
            while self.result.due < total {
                let due = start + (self.result.due as f64 * interval) as Micros;
                if due > now {
                    break;
                }
                self.result.due += 1;
                self.start_unit(step.work, due)?;
            }
            let finished = self.result.due == total && self.result.done >= total;
            if now > step_end + GRACE_PERIOD || finished && now >= step_end {
                return Ok(());
            }
            self.poll_once()?;
        }
    }

    fn start_unit(&mut self, work: Work, due: Micros) -> io::Result<()> {
        match work {
            Work::Setups if self.open_count < MAX_SETUPS_IN_PROGRESS => self.connect(Some(due), 1).map(drop),
            Work::Setups => Ok(()),
            Work::Lines { .. } => {
                self.round_robin += 1;
                if let Some(key) =
                    self.line_connections.get(self.round_robin % self.line_connections.len().max(1)).copied()
                {
                    self.reactor.with(key, |client, _| client.queue_line(due));
                }
                Ok(())
            }
        }
    }
}

/// Idle connections that are up, opened one after the other.
pub struct IdleConnections(Vec<TcpStream>);

impl IdleConnections {
    /// Opens this number of connections.
    pub fn open(address: SocketAddr, connections: usize) -> Result<IdleConnections, LoadError> {
        let mut streams = Vec::with_capacity(connections);
        for _ in 0..connections {
            streams.push(Self::open_one(address).map_err(system_error("cannot open an idle connection"))?);
        }
        Ok(IdleConnections(streams))
    }

    fn open_one(address: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(address)?;
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

impl Drop for IdleConnections {
    fn drop(&mut self) {
        for stream in &self.0 {
            // Setting the option fails only on a socket that is already closed.
            let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}
