//! A tier of hollow proxies on sockets, from its start to its figures: threads with their members, what happens meanwhile, and
//! what is made of what they tell.

use crate::discovery::Discovery;
use crate::faults::{Act, Fault, acts};
use crate::figures::{Counts, Line, Spread};
use crate::hollow::{Hollow, Place, Standing, View};
use crate::judge::judge;
use crate::records::{Record, What};
use crate::shape::Shape;
use crate::sockets::{
    ACCORD_PORT, Datagrams, Object, PEERS_PORT, RELAYED, Seat, Worker, address, thread_time,
};
use crate::watch;
use cottonnotch_decision::Micros;
use cottonnotch_proxy_core::{EndpointUpdate, Roster, WakeUpTimer};
use cottonnotch_reactor::{Clock, Reactor};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

/// The list's revisions: as all know it at the start, and as it is told later, without a zone.
const FIRST: u64 = 1;
const CHANGED: u64 = 2;
/// Nodes that are used by less are not told.
const LEAST_USE: f64 = cottonnotch_aggregation::wire::MIN_REPORTED_UTILIZATION;

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
    /// What happens from the beginning of the time that is measured.
    #[arg(long, value_enum)]
    pub fault: Option<Fault>,
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

/// What all threads share of a run.
struct Run {
    shape: Shape,
    span: Span,
    known: EndpointUpdate,
    roster: Roster,
    discovery: SocketAddr,
    clock: Clock,
    /// Members know one another by the relay's ends, and all connections are asked for through the module.
    relayed: bool,
    acts: Vec<(Micros, Act)>,
    /// All are there; connections may be opened; all may begin.
    steps: [Barrier; 3],
}

fn work(run: &Run, members: Vec<u32>) -> io::Result<Told> {
    let (shape, span) = (&run.shape, run.span);
    let mut reactor = Reactor::<dyn Object>::new(run.clock)?;
    // As large as the daemon's default.
    reactor.io.buffer_bound = 64 * 1024;
    let now = reactor.io.now();
    let (mut seats, mut records) = (Vec::new(), Vec::new());
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
        records.push(Record { at: now, member, what: What::Began });
        seats.push(Seat {
            member,
            hollow,
            peers,
            accord,
            watch: None,
            alarm: WakeUpTimer::default(),
            stopped: false,
        });
    }
    let accord_port = ACCORD_PORT + if run.relayed { RELAYED } else { 0 };
    let mut worker = Worker { reactor, seats, discovery: run.discovery, accord_port, records };
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
    worker.act(Act::Propose { member: 1, content: 1, kind: 1 })?;
    let from = began + (span.warm_up * 1e6) as Micros;
    worker.run_until(from)?;
    let (before, cpu) = (worker.counts(), thread_time());
    let until = from + (span.window * 1e6) as Micros;
    for (at, act) in &run.acts {
        worker.run_until((from + at).min(until))?;
        worker.act(*act)?;
    }
    worker.run_until(until)?;
    let cpu = thread_time() - cpu;
    let after = worker.counts();
    let counts =
        before.iter().zip(&after).map(|((member, before), (_, after))| (*member, after.since(before)));
    let counts = counts.collect();
    let leaders = worker.seats.iter().filter(|seat| seat.hollow.leads()).map(|seat| seat.member).collect();
    let running = || worker.seats.iter().filter(|seat| !seat.stopped);
    let standing = running().map(|seat| seat.hollow.standing()).collect();
    let views = running().map(|seat| seat.hollow.view()).collect();
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
    known: EndpointUpdate,
    relayed: bool,
) -> io::Result<(Arc<Run>, Receiver<Reply>)> {
    let port = PEERS_PORT + if relayed { RELAYED } else { 0 };
    let addresses: Vec<SocketAddr> = (0..shape.members).map(|member| address(member, port)).collect();
    let threads = span.threads.min(members.len());
    let acts = span.fault.map_or(Some(Vec::new()), |fault| acts(shape, fault));
    let acts = acts.ok_or_else(|| io::Error::other("sockets can't play this fault, virtual time can"))?;
    let barrier = || Barrier::new(threads + 1);
    let run = Arc::new(Run {
        shape: shape.clone(),
        span,
        known,
        roster: Roster::new(&addresses, None),
        discovery,
        clock: Clock::unix(),
        relayed,
        acts,
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
    line.fault = span.fault;
    let mut records: Vec<Record> = told.iter().flat_map(|told| told.records.iter().cloned()).collect();
    records.sort_by_key(|record| record.at);
    // The list that is told at the end loses a zone.
    line.verdict = judge(&records, changed);
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
    let stopped =
        told.iter().flat_map(|told| &told.records).filter(|record| record.what == What::Ended).count();
    let records = told.iter().flat_map(|told| &told.records);
    let taken = records.filter_map(|record| match record.what {
        What::Listed { revision: CHANGED, .. } => Some((record.at - changed) as f64 / 1e6),
        _ => None,
    });
    let taken = taken.collect::<Vec<f64>>();
    let all = taken.len() + stopped == line.shape.members as usize;
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
