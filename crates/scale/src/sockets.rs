//! Hollow proxies on real loopback sockets and real time: a few threads, many members a thread, each with its own sockets for
//! the fleet view and for the accord, and its own watch on discovery.

use crate::discovery::Discovery;
use crate::figures::{Counts, Line, Spread};
use crate::hollow::{Happening, Hollow, Place, Standing, View, Wish};
use crate::records::{Record, What};
use crate::shape::Shape;
use crate::watch::{self, Watch};
use cottonnotch_decision::Micros;
use cottonnotch_proxy::{Alarm, ResolverResult, Roster};
use cottonnotch_reactor::{Clock, Connection, Key, Leg, Reactor};
use mio::net::UdpSocket;
use rustix::time::{ClockId, clock_gettime};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

/// Read in one turn before others have theirs, as the daemon does.
const AT_ONCE: usize = 32;
/// The longest datagrams of the two kinds, and one byte that shows a longer one.
const LONGEST_OF_PEERS: usize = 256;
const LONGEST_OF_ACCORD: usize = 1_200;
/// Ports of the members; each has an address of its own.
pub const PEERS_PORT: u16 = 7_946;
/// See [`PEERS_PORT`].
pub const ACCORD_PORT: u16 = 7_947;
/// A relay's ends have ports that are so much higher.
pub const RELAYED: u16 = 1_000;
/// The list's revisions: as all know it at the start, and as it is told later, without a zone.
const FIRST: u64 = 1;
const CHANGED: u64 = 2;
/// Nodes that are used by less are not told.
const LEAST_USE: f64 = cottonnotch_fleet::wire::LEAST_USE;

/// What objects on the loop have to tell.
pub enum Report {
    /// A timer of the worker's.
    Timer(u32),
    /// Datagrams have come.
    Datagrams {
        /// Whose.
        seat: usize,
        /// Of the accord, or of the fleet view.
        accord: bool,
        /// From there, and their bytes.
        heard: Vec<(SocketAddr, Vec<u8>)>,
    },
    /// Discovery has told a list.
    Listed {
        /// Whom.
        seat: usize,
        /// On this watch.
        watch: Key,
        /// In this text.
        text: Vec<u8>,
    },
    /// A watch is lost.
    ListLost {
        /// Whose.
        seat: usize,
        /// Which.
        watch: Key,
        /// It said nothing where a beat was due.
        silent: bool,
    },
}

impl cottonnotch_reactor::Report for Report {
    fn timer(timer: u32) -> Self {
        Report::Timer(timer)
    }
}

/// What callbacks may use.
pub type Io = cottonnotch_reactor::Io<Report>;

/// An object on the loop.
pub trait Object: Connection<Report = Report> {
    /// Sends a datagram; what can't be sent is lost.
    fn send(&mut self, _to: SocketAddr, _bytes: &[u8]) {}
}

struct Datagrams {
    socket: UdpSocket,
    key: Key,
    seat: usize,
    accord: bool,
}

impl Datagrams {
    fn bind(at: SocketAddr, seat: usize, accord: bool, key: Key, io: &mut Io) -> io::Result<Self> {
        let mut socket = UdpSocket::bind(at)?;
        io.register_reader(&mut socket, key)?;
        Ok(Datagrams { socket, key, seat, accord })
    }
}

impl Connection for Datagrams {
    type Report = Report;

    fn readable(&mut self, io: &mut Io, leg: Leg) {
        let (seat, accord) = (self.seat, self.accord);
        let longest = if accord { LONGEST_OF_ACCORD } else { LONGEST_OF_PEERS };
        let mut bytes = [0; LONGEST_OF_ACCORD + 1];
        let mut heard = Vec::new();
        for _ in 0..AT_ONCE {
            match self.socket.recv_from(&mut bytes[..=longest]) {
                Ok((length, from)) => heard.push((from, bytes[..length].to_vec())),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    io.tell(Report::Datagrams { seat, accord, heard });
                    return;
                }
                // What one was sent to is not there; it says nothing of what may still be read.
                Err(_) => {}
            }
        }
        io.tell(Report::Datagrams { seat, accord, heard });
        io.call_again(self.key, leg);
    }

    fn writable(&mut self, _: &mut Io, _: Leg) {}

    fn timer(&mut self, _: &mut Io, _: u32) {}

    fn done(&self) -> bool {
        false
    }
}

impl Object for Datagrams {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        // What can't be sent now is lost, as it may be anywhere on its way.
        let _ = self.socket.send_to(bytes, to);
    }
}

/// Where a member's sockets are: an address of its own in a part of the loopback network that this process has for itself.
pub fn address(member: u32, port: u16) -> SocketAddr {
    let net = 20 + (std::process::id() % 200) as u8;
    SocketAddr::from((Ipv4Addr::new(127, net, (member / 250) as u8, (member % 250 + 1) as u8), port))
}

/// How long is waited and measured.
#[derive(Clone, Copy, Debug, clap::Args)]
pub struct Span {
    /// Seconds from the start until it is measured.
    #[arg(long, default_value_t = 8.0)]
    pub warm_up: f64,
    /// Seconds that are measured.
    #[arg(long, default_value_t = 10.0)]
    pub window: f64,
    /// Threads that run the members.
    #[arg(long, default_value_t = 6)]
    pub threads: usize,
}

/// A member on the loop.
struct Seat {
    member: u32,
    hollow: Hollow,
    peers: Key,
    accord: Key,
    watch: Option<Key>,
    alarm: Alarm,
}

/// What a thread tells of its members.
struct Told {
    /// Of each member in the time that was measured.
    counts: Vec<(u32, Counts)>,
    leaders: BTreeSet<u32>,
    cpu: Duration,
    standing: Vec<Standing>,
    views: Vec<Option<View>>,
    records: Vec<Record>,
    /// Set-ups since the start.
    served: u64,
}

fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

struct Worker {
    reactor: Reactor<dyn Object>,
    seats: Vec<Seat>,
    discovery: SocketAddr,
    /// Where the others' ends of the accord are.
    accord_port: u16,
    records: Vec<Record>,
}

impl Worker {
    fn handle(&mut self, report: Report) -> io::Result<()> {
        let seat = match report {
            Report::Timer(seat) => {
                let seat = seat as usize;
                let Some(there) = self.seats.get_mut(seat) else { return Ok(()) };
                there.alarm.rung();
                return self.wake(seat);
            }
            Report::Datagrams { seat, accord: false, heard } => {
                for (from, bytes) in &heard {
                    let happening = Happening::Datagram { from: *from, bytes };
                    self.drive(seat, happening, |counts| &mut counts.peers_ns)?;
                }
                seat
            }
            Report::Datagrams { seat, accord: true, heard } => {
                for (_, bytes) in &heard {
                    self.drive(seat, Happening::Accord { bytes }, |counts| &mut counts.accord_ns)?;
                }
                seat
            }
            Report::Listed { seat, watch, text } => {
                if self.seats[seat].watch == Some(watch) {
                    let (began, bytes) = (thread_time(), text.len());
                    let result = watch::read(text);
                    *self.ns(seat) += (thread_time() - began).as_nanos() as u64;
                    let happening = match &result {
                        Some(result) => Happening::Listed { result, bytes },
                        None => Happening::ListLost { silent: false },
                    };
                    self.drive(seat, happening, |counts| &mut counts.list_ns)?;
                }
                seat
            }
            Report::ListLost { seat, watch, silent } => {
                if self.seats[seat].watch == Some(watch) {
                    self.seats[seat].watch = None;
                    self.drive(seat, Happening::ListLost { silent }, |counts| &mut counts.list_ns)?;
                }
                seat
            }
        };
        self.arm(seat);
        Ok(())
    }

    /// All that is due at a member, one thing after another, each to its account.
    fn wake(&mut self, seat: usize) -> io::Result<()> {
        let now = self.reactor.io.now();
        while self.seats[seat].hollow.next_timeout() <= now {
            let part = self.seats[seat].hollow.next_part();
            self.drive(seat, Happening::Time, move |counts| part.of(counts))?;
        }
        self.arm(seat);
        Ok(())
    }

    fn arm(&mut self, seat: usize) {
        let now = self.reactor.io.now();
        let there = &mut self.seats[seat];
        if let Some(after) = there.alarm.set(now, there.hollow.next_timeout()) {
            self.reactor.io.owner_timer(now + after, seat as u32);
        }
    }

    fn ns(&mut self, seat: usize) -> &mut u64 {
        &mut self.seats[seat].hollow.counts().list_ns
    }

    /// Hands a member what happened, and carries out what it wants; its processor time goes to that account.
    fn drive(
        &mut self,
        seat: usize,
        happening: Happening<'_>,
        account: impl Fn(&mut Counts) -> &mut u64,
    ) -> io::Result<()> {
        let began = thread_time();
        let now = self.reactor.io.now();
        let there = &mut self.seats[seat];
        there.hollow.handle(now, happening);
        while let Some(wish) = there.hollow.poll() {
            match wish {
                Wish::Datagram { to, bytes } => {
                    self.reactor.with(there.peers, |socket, _| socket.send(to, &bytes));
                }
                Wish::Accord { to, bytes } => {
                    let to = address(u32::from(to), self.accord_port);
                    self.reactor.with(there.accord, |socket, _| socket.send(to, &bytes));
                }
                Wish::Watch { from } => {
                    if let Some(old) = there.watch.take() {
                        self.reactor.remove(old);
                    }
                    let discovery = self.discovery;
                    let watch = self
                        .reactor
                        .insert(|key, io| Ok(Box::new(Watch::start(seat, discovery, from, key, io)?)))?;
                    there.watch = Some(watch);
                }
                Wish::Record(what) => {
                    self.records.push(Record { at: now, member: there.member, what });
                }
            }
        }
        *account(there.hollow.counts()) += (thread_time() - began).as_nanos() as u64;
        Ok(())
    }

    fn run_until(&mut self, until: Micros) -> io::Result<()> {
        // So that the loop doesn't sleep beyond it.
        self.reactor.io.owner_timer(until, u32::MAX);
        while self.reactor.io.now() < until {
            self.reactor.turn()?;
            while let Some(report) = self.reactor.io.reports.pop_front() {
                self.handle(report)?;
            }
        }
        Ok(())
    }

    /// This member is told to put a first content in force, if it is here.
    fn propose(&mut self, member: u32) -> io::Result<()> {
        let Some(seat) = self.seats.iter().position(|seat| seat.member == member) else { return Ok(()) };
        self.drive(seat, Happening::Propose { content: 1, kind: 1 }, |counts| &mut counts.accord_ns)?;
        self.arm(seat);
        Ok(())
    }

    fn counts(&mut self) -> Vec<(u32, Counts)> {
        self.seats.iter_mut().map(|seat| (seat.member, *seat.hollow.counts())).collect()
    }
}

/// What all threads share of a run.
struct Run {
    shape: Shape,
    span: Span,
    known: ResolverResult,
    roster: Roster,
    discovery: SocketAddr,
    clock: Clock,
    /// Members know one another by the relay's ends, and all connections are asked for through the module.
    relayed: bool,
    /// All are there; connections may be opened; all may begin.
    steps: [Barrier; 3],
}

fn work(run: &Run, members: Vec<u32>) -> io::Result<Told> {
    let (shape, span) = (&run.shape, run.span);
    let mut reactor = Reactor::<dyn Object>::new(run.clock)?;
    // As large as the daemon's default.
    reactor.io.buffer_bound = 64 * 1024;
    let now = reactor.io.now();
    let mut seats = Vec::new();
    for (seat, member) in members.into_iter().enumerate() {
        let mut open = |accord, port| {
            let at = address(member, port);
            reactor.insert(|key, io| Ok(Box::new(Datagrams::bind(at, seat, accord, key, io)?)))
        };
        let (peers, accord) = (open(false, PEERS_PORT)?, open(true, ACCORD_PORT)?);
        let place = Place {
            shape: shape.clone(),
            me: member,
            roster: run.roster.clone(),
            life: (now / 1_000) as u64,
            is_first: true,
            memory: None,
        };
        let hollow = Hollow::start(place, &run.known, now);
        seats.push(Seat { member, hollow, peers, accord, watch: None, alarm: Alarm::default() });
    }
    let accord_port = ACCORD_PORT + if run.relayed { RELAYED } else { 0 };
    let mut worker = Worker { reactor, seats, discovery: run.discovery, accord_port, records: Vec::new() };
    run.steps[0].wait();
    // The main thread weighs the heap between two steps.
    run.steps[1].wait();
    let now = worker.reactor.io.now();
    for seat in &mut worker.seats {
        if run.relayed { seat.hollow.come_all(now) } else { seat.hollow.open_all(now) }
    }
    run.steps[2].wait();
    let began = worker.reactor.io.now();
    for seat in 0..worker.seats.len() {
        worker.wake(seat)?;
    }
    // A version is in force before it is measured: leases are what the accord costs.
    worker.run_until(began + (span.warm_up * 0.4 * 1e6) as Micros)?;
    worker.propose(1)?;
    let from = began + (span.warm_up * 1e6) as Micros;
    worker.run_until(from)?;
    let (before, cpu) = (worker.counts(), thread_time());
    worker.run_until(from + (span.window * 1e6) as Micros)?;
    let cpu = thread_time() - cpu;
    let after = worker.counts();
    let counts =
        before.iter().zip(&after).map(|((member, before), (_, after))| (*member, after.since(before)));
    let counts = counts.collect();
    let leaders = worker.seats.iter().filter(|seat| seat.hollow.leads()).map(|seat| seat.member).collect();
    let standing = worker.seats.iter().map(|seat| seat.hollow.standing()).collect();
    let views = worker.seats.iter().map(|seat| seat.hollow.view()).collect();
    let served = after.iter().map(|(_, counts)| counts.setups).sum();
    if run.relayed {
        return Ok(Told { counts, leaders, cpu, standing, views, records: worker.records, served });
    }
    // The list that is told now loses a zone, while all goes on.
    worker.run_until(from + ((span.window + LIST) * 1e6) as Micros)?;
    Ok(Told { counts, leaders, cpu, standing, views, records: worker.records, served })
}

type Reply = io::Result<Told>;

/// Threads with these members; they wait at the steps.
fn begin(
    shape: &Shape,
    span: Span,
    members: &[u32],
    discovery: SocketAddr,
    known: ResolverResult,
    relayed: bool,
) -> io::Result<(Arc<Run>, Receiver<Reply>)> {
    let port = PEERS_PORT + if relayed { RELAYED } else { 0 };
    let addresses: Vec<SocketAddr> = (0..shape.members).map(|member| address(member, port)).collect();
    let threads = span.threads.min(members.len());
    let barrier = || Barrier::new(threads + 1);
    let run = Arc::new(Run {
        shape: shape.clone(),
        span,
        known,
        roster: Roster::new(&addresses, None),
        discovery,
        clock: Clock::unix(),
        relayed,
        steps: [barrier(), barrier(), barrier()],
    });
    let (sender, receiver): (Sender<Reply>, Receiver<Reply>) = channel();
    for thread in 0..threads {
        let mine = members.iter().copied().skip(thread).step_by(threads).collect();
        let (run, sender) = (Arc::clone(&run), sender.clone());
        let builder = std::thread::Builder::new().name(format!("members-{thread}"));
        builder.spawn(move || {
            let told = work(&run, mine);
            // The main thread has given up if it is not there.
            let _ = sender.send(told);
        })?;
    }
    Ok((run, receiver))
}

/// Hollow members of a tier that a relay joins with others.
pub struct Tier {
    receiver: Receiver<Reply>,
}

impl Tier {
    /// These members begin now.
    pub fn start(
        shape: &Shape,
        span: Span,
        members: Vec<u32>,
        discovery: SocketAddr,
        list: &str,
    ) -> io::Result<Self> {
        let known = watch::read(list.as_bytes().to_vec()).ok_or(io::ErrorKind::InvalidData)?;
        let (run, receiver) = begin(shape, span, &members, discovery, known, true)?;
        for step in &run.steps {
            step.wait();
        }
        Ok(Tier { receiver })
    }

    /// Once they have ended: processor time in the window, and set-ups since the start.
    pub fn end(self) -> io::Result<(Duration, u64)> {
        let told: Vec<Told> = self.receiver.iter().collect::<io::Result<_>>()?;
        Ok((told.iter().map(|told| told.cpu).sum(), told.iter().map(|told| told.served).sum()))
    }
}

/// Seconds that a changed list has to reach all.
const LIST: f64 = 3.0;

/// Plays a tier of this shape; `heap` tells the bytes that the process has allocated.
pub fn play(shape: &Shape, span: Span, heap: impl Fn() -> usize) -> io::Result<Line> {
    let began = Instant::now();
    let list = shape.list(FIRST, None);
    let list_bytes = list.len() as f64;
    let known = watch::read(list.clone().into_bytes()).ok_or(io::ErrorKind::InvalidData)?;
    let discovery = Discovery::start(address(60_000, 0), FIRST, list)?;
    let empty = heap();
    let members: Vec<u32> = (0..shape.members).collect();
    let (run, receiver) = begin(shape, span, &members, discovery.address(), known, false)?;
    run.steps[0].wait();
    let hollow = heap();
    run.steps[1].wait();
    run.steps[2].wait();
    let open = heap();
    let connected = Instant::now();
    std::thread::sleep(Duration::from_secs_f64(span.warm_up + span.window));
    let warm = heap();
    let resident = resident();
    std::thread::sleep(Duration::from_millis(300));
    let changed = run.clock.now();
    discovery.tell(CHANGED, shape.list(CHANGED, Some(0)));
    let told: Vec<Told> = receiver.iter().collect::<io::Result<_>>()?;
    debug_assert!(connected.elapsed().as_secs_f64() > span.window);
    let mut line = Line {
        shape: shape.clone(),
        world: "sockets".into(),
        seconds: span.window,
        list_bytes,
        resident,
        heap_bytes: (hollow - empty + warm.saturating_sub(open)) as f64 / f64::from(shape.members),
        heap_bytes_connection: (open - hollow) as f64
            / (f64::from(shape.members) * f64::from(shape.connections)).max(1.0),
        ..Line::default()
    };
    count(&mut line, &told);
    lists(&mut line, &told, changed);
    views(&mut line, &told);
    line.took_s = began.elapsed().as_secs_f64();
    Ok(line)
}

fn count(line: &mut Line, told: &[Told]) {
    let counts: Vec<(u32, Counts)> = told.iter().flat_map(|told| told.counts.iter().copied()).collect();
    let cpu: Duration = told.iter().map(|told| told.cpu).sum();
    line.cpu_us = cpu.as_secs_f64() * 1e6 / counts.len() as f64 / line.seconds;
    let leaders: BTreeSet<u32> = told.iter().flat_map(|told| told.leaders.iter().copied()).collect();
    fill(line, &counts, &leaders);
}

/// The figures that follow from members' counts in the line's time.
pub fn fill(line: &mut Line, counts: &[(u32, Counts)], leaders: &BTreeSet<u32>) {
    let seconds = line.seconds;
    let spread = |figure: &dyn Fn(&Counts) -> f64| {
        Spread::of(counts.iter().map(|(_, counts)| figure(counts) / seconds))
    };
    let us = |ns: u64| ns as f64 / 1e3;
    line.messages_out = spread(&|c| (c.peers_out.messages + c.accord_out.messages) as f64);
    line.messages_in = spread(&|c| (c.peers_in.messages + c.accord_in.messages) as f64);
    line.bytes_out = spread(&|c| (c.peers_out.bytes + c.accord_out.bytes) as f64);
    line.bytes_in = spread(&|c| (c.peers_in.bytes + c.accord_in.bytes) as f64);
    line.peers_bytes = spread(&|c| (c.peers_out.bytes + c.peers_in.bytes) as f64);
    line.accord_bytes = spread(&|c| (c.accord_out.bytes + c.accord_in.bytes) as f64);
    line.cpu_peers_us = spread(&|c| us(c.peers_ns));
    line.cpu_accord_us = spread(&|c| us(c.accord_ns));
    line.cpu_list_us = spread(&|c| us(c.list_ns));
    line.cpu_second_us = spread(&|c| us(c.second_ns));
    let leading = counts.iter().filter(|(member, _)| leaders.contains(member));
    let leading: Vec<&Counts> = leading.map(|(_, counts)| counts).collect();
    let of_leader = |figure: &dyn Fn(&Counts) -> u64| {
        leading.iter().map(|counts| figure(counts) as f64 / seconds).fold(0.0, f64::max)
    };
    line.leader_bytes = of_leader(&|c| c.accord_out.bytes + c.accord_in.bytes);
    line.leader_messages = of_leader(&|c| c.accord_out.messages + c.accord_in.messages);
    let sum = |figure: &dyn Fn(&Counts) -> u64| counts.iter().map(|(_, c)| figure(c)).sum::<u64>() as f64;
    line.setups = sum(&|c| c.setups);
    line.moves = sum(&|c| c.moves);
    line.refused = sum(&|c| c.refused);
    line.setup_us = sum(&|c| c.setups_ns) / 1e3 / line.setups.max(1.0);
}

fn lists(line: &mut Line, told: &[Told], changed: Micros) {
    let records = told.iter().flat_map(|told| &told.records);
    let taken = records.filter_map(|record| match record.what {
        What::Listed { revision: CHANGED, .. } => Some((record.at - changed) as f64 / 1e6),
        _ => None,
    });
    let taken = taken.collect::<Vec<f64>>();
    let all = taken.len() == line.shape.members as usize;
    let spread = Spread::of(taken);
    // Below zero: not all have taken it.
    line.list_all_s = if all { spread.max } else { -1.0 };
    line.list_mean_s = spread.mean;
}

fn views(line: &mut Line, told: &[Told]) {
    let mut truth: BTreeMap<u32, (f64, BTreeSet<u32>)> = BTreeMap::new();
    let mut pairs = 0;
    for (node, (load, groups)) in told.iter().flat_map(|told| &told.standing).flatten() {
        pairs += groups.len();
        let (sum, all) = truth.entry(*node).or_default();
        *sum += load;
        all.extend(groups);
    }
    line.own_pairs = pairs as f64 / f64::from(line.shape.members);
    let used =
        truth.into_iter().map(|(node, (load, groups))| (node, line.shape.used_with(load, groups.len())));
    let used: BTreeMap<u32, f64> = used.filter(|(_, used)| *used >= LEAST_USE).collect();
    let views: Vec<_> = told.iter().flat_map(|told| told.views.iter().flatten()).collect();
    if views.is_empty() {
        return;
    }
    let mean = |figure: &dyn Fn(&View) -> f64| {
        views.iter().map(|view| figure(view)).sum::<f64>() / views.len() as f64
    };
    let all = used.len().max(1) as f64;
    line.view_members = mean(&|(members, ..)| f64::from(*members));
    line.period_s = mean(&|(_, period, _)| *period as f64 / 1e6);
    line.view_named =
        mean(&|(.., view)| used.keys().filter(|node| view.contains_key(node)).count() as f64 / all);
    line.view_error = mean(&|(.., view)| {
        let error = |(node, used): (&u32, &f64)| (view.get(node).copied().unwrap_or(0.0) - used).abs();
        used.iter().map(error).sum::<f64>() / all
    });
}

/// Resident bytes of this process.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * rustix::param::page_size() as u64
}
