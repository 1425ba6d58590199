//! The threads that run the hollow members on sockets, and the steps that they take together.

use crate::connections::NodeLoads;
use crate::counters::Counts;
use crate::fault::{Fault, FaultAction, fault_actions};
use crate::hollow::Hollow;
use crate::interface::MemberSetup;
use crate::peers_member::FleetView;
use crate::records::{MemberEvent, Record};
use crate::shape::Shape;
use crate::sockets::{
    CONSENSUS_PORT, DatagramKind, Datagrams, Object, PEERS_PORT, RELAY_PORT_OFFSET, address,
};
use crate::watch;
use crate::worker::{HostedMember, Worker, thread_time};
use cottonnotch_decision::Micros;
use cottonnotch_proxy_core::{EndpointUpdate, Roster, WakeUpTimer};
use cottonnotch_reactor::{Clock, Reactor};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Barrier};
use std::time::Duration;

/// Seconds until a changed list is expected at all members.
const LIST_PROPAGATION: f64 = 3.0;
/// Part of the warm-up after which the first version is proposed.
const PROPOSAL_AT: f64 = 0.4;

/// How long a run warms up and is measured, on how many threads.
#[derive(Clone, Copy, Debug, clap::Args)]
pub struct RunOptions {
    /// Seconds from the start until the measurement.
    #[arg(long, default_value_t = 8.0)]
    pub warm_up: f64,
    /// Seconds that are measured.
    #[arg(long, default_value_t = 10.0)]
    pub window: f64,
    /// Threads that run the members.
    #[arg(long, default_value_t = 6)]
    pub threads: usize,
    /// Fault that begins with the measurement.
    #[arg(long, value_enum)]
    pub fault: Option<Fault>,
}

/// How the members reach one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Topology {
    /// By their own addresses; their connections are open from the start.
    Direct,
    /// By a relay's sockets; their connections are requested through the decision module.
    Relayed,
}

impl Topology {
    fn port(self, port: u16) -> u16 {
        match self {
            Topology::Direct => port,
            Topology::Relayed => port + RELAY_PORT_OFFSET,
        }
    }
}

/// What a thread reports of its members at its end.
pub(crate) struct ThreadReport {
    /// Counters of each member over the measurement.
    pub counts: Vec<(u32, Counts)>,
    /// Members that are consensus leaders.
    pub leaders: BTreeSet<u32>,
    /// Processor time of the thread over the measurement.
    pub cpu: Duration,
    /// Loads of the members that run.
    pub node_loads: Vec<NodeLoads>,
    /// Fleet views of the members that run.
    pub views: Vec<Option<FleetView>>,
    /// Records of all its members.
    pub records: Vec<Record>,
    /// Set-ups since the start.
    setups: u64,
}

/// What all threads share of a run.
pub(crate) struct Run {
    shape: Shape,
    options: RunOptions,
    known: EndpointUpdate,
    roster: Roster,
    discovery: SocketAddr,
    pub clock: Clock,
    topology: Topology,
    fault_actions: Vec<(Micros, FaultAction)>,
    /// All members exist; connections may be opened; all may start.
    pub steps: [Barrier; 3],
}

/// A duration in seconds as microseconds.
fn micros(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

/// The work of one thread: starts its members, warms them up, measures them, and reports.
fn run_members(run: &Run, members: Vec<u32>) -> io::Result<ThreadReport> {
    let mut worker = start_worker(run, members)?;
    run.steps[0].wait();
    // The main thread measures the heap between two steps.
    run.steps[1].wait();
    connect_clients(run.topology, &mut worker);
    run.steps[2].wait();
    let measured_from = warm_up(run, &mut worker)?;
    let report = measure(run, &mut worker, measured_from)?;
    if run.topology == Topology::Relayed {
        return Ok(ThreadReport { records: worker.records, ..report });
    }
    // The list that is published now loses a zone, while all goes on.
    worker.run_until(measured_from + micros(run.options.window + LIST_PROPAGATION))?;
    Ok(ThreadReport { records: worker.records, ..report })
}

fn start_worker(run: &Run, members: Vec<u32>) -> io::Result<Worker> {
    let mut reactor = Reactor::<dyn Object>::new(run.clock)?;
    // As large as the daemon's default.
    reactor.io.buffer_bound = 64 * 1024;
    let now = reactor.io.now();
    let (mut hosted, mut records) = (Vec::new(), Vec::new());
    for (index, member) in members.into_iter().enumerate() {
        hosted.push(start_member(run, &mut reactor, index, member, now)?);
        records.push(Record { at: now, member, event: MemberEvent::Started });
    }
    let consensus_port = run.topology.port(CONSENSUS_PORT);
    Ok(Worker { reactor, members: hosted, discovery: run.discovery, consensus_port, records })
}

fn start_member(
    run: &Run,
    reactor: &mut Reactor<dyn Object>,
    index: usize,
    member: u32,
    now: Micros,
) -> io::Result<HostedMember> {
    let mut bind = |kind, port| {
        let at = address(member, port);
        reactor.insert(|key, io| Ok(Box::new(Datagrams::bind(at, index, kind, key, io)?)))
    };
    let peers = bind(DatagramKind::Peers, PEERS_PORT)?;
    let consensus = bind(DatagramKind::Consensus, CONSENSUS_PORT)?;
    let setup = MemberSetup {
        shape: run.shape.clone(),
        ordinal: member,
        roster: run.roster.clone(),
        incarnation: (now / 1_000) as u64,
        starts_with_fleet: true,
        durable_state: None,
    };
    Ok(HostedMember {
        member,
        hollow: Hollow::start(setup, &run.known, now),
        peers,
        consensus,
        watch: None,
        wake_up_timer: WakeUpTimer::default(),
        stopped: false,
    })
}

fn connect_clients(topology: Topology, worker: &mut Worker) {
    let now = worker.reactor.io.now();
    for HostedMember { hollow, .. } in &mut worker.members {
        match topology {
            Topology::Direct => hollow.open_connections(now),
            Topology::Relayed => hollow.schedule_initial_requests(now),
        }
    }
}

/// Runs until the measurement begins; the time of that.
fn warm_up(run: &Run, worker: &mut Worker) -> io::Result<Micros> {
    let started = worker.reactor.io.now();
    for index in 0..worker.members.len() {
        worker.wake(index)?;
    }
    // A version is in force before the measurement: leases are what the consensus costs.
    worker.run_until(started + micros(run.options.warm_up * PROPOSAL_AT))?;
    worker.execute(FaultAction::Propose { member: 1, content: 1, kind: 1 })?;
    let measured_from = started + micros(run.options.warm_up);
    worker.run_until(measured_from)?;
    Ok(measured_from)
}

/// Runs over the measurement; the report lacks the records, which go on.
fn measure(run: &Run, worker: &mut Worker, from: Micros) -> io::Result<ThreadReport> {
    let (before, cpu) = (worker.counts(), thread_time());
    let until = from + micros(run.options.window);
    for (at, action) in &run.fault_actions {
        worker.run_until((from + at).min(until))?;
        worker.execute(*action)?;
    }
    worker.run_until(until)?;
    let cpu = thread_time() - cpu;
    let after = worker.counts();
    let counts = before.iter().zip(&after);
    let counts = counts.map(|((member, before), (_, after))| (*member, after.since(before))).collect();
    let leaders = worker.members.iter().filter(|hosted| hosted.hollow.is_leader());
    let leaders = leaders.map(|hosted| hosted.member).collect();
    let running = || worker.members.iter().filter(|hosted| !hosted.stopped);
    Ok(ThreadReport {
        counts,
        leaders,
        cpu,
        node_loads: running().map(|hosted| hosted.hollow.node_loads()).collect(),
        views: running().map(|hosted| hosted.hollow.fleet_view()).collect(),
        records: Vec::new(),
        setups: after.iter().map(|(_, counts)| counts.setups).sum(),
    })
}

pub(crate) type Reply = io::Result<ThreadReport>;

/// Starts threads with these members; they wait at the steps.
pub(crate) fn start_threads(
    shape: &Shape,
    options: RunOptions,
    members: &[u32],
    discovery: SocketAddr,
    known: EndpointUpdate,
    topology: Topology,
) -> io::Result<(Arc<Run>, Receiver<Reply>)> {
    let port = topology.port(PEERS_PORT);
    let addresses: Vec<SocketAddr> = (0..shape.members).map(|member| address(member, port)).collect();
    let threads = options.threads.min(members.len());
    let fault_actions = options.fault.map_or(Some(Vec::new()), |fault| fault_actions(shape, fault));
    let fault_actions =
        fault_actions.ok_or_else(|| io::Error::other("sockets can't play this fault, virtual time can"))?;
    let barrier = || Barrier::new(threads + 1);
    let run = Arc::new(Run {
        shape: shape.clone(),
        options,
        known,
        roster: Roster::new(&addresses, None),
        discovery,
        clock: Clock::unix(),
        topology,
        fault_actions,
        steps: [barrier(), barrier(), barrier()],
    });
    let (sender, receiver): (Sender<Reply>, Receiver<Reply>) = channel();
    for thread in 0..threads {
        let own = members.iter().copied().skip(thread).step_by(threads).collect();
        let (run, sender) = (Arc::clone(&run), sender.clone());
        let builder = std::thread::Builder::new().name(format!("members-{thread}"));
        builder.spawn(move || {
            let report = run_members(&run, own);
            // The main thread has given up if nobody receives it.
            let _ = sender.send(report);
        })?;
    }
    Ok((run, receiver))
}

/// Hollow members of a fleet that a relay joins with real ones.
pub struct HollowFleet {
    receiver: Receiver<Reply>,
}

impl HollowFleet {
    /// Starts these members.
    pub fn start(
        shape: &Shape,
        options: RunOptions,
        members: Vec<u32>,
        discovery: SocketAddr,
        list: &str,
    ) -> io::Result<Self> {
        let known = watch::parse_endpoints(list.as_bytes().to_vec()).ok_or(io::ErrorKind::InvalidData)?;
        let (run, receiver) = start_threads(shape, options, &members, discovery, known, Topology::Relayed)?;
        for step in &run.steps {
            step.wait();
        }
        Ok(HollowFleet { receiver })
    }

    /// Waits for the end of the measurement: processor time over it, and set-ups since the start.
    pub fn finish(self) -> io::Result<(Duration, u64)> {
        let reports: Vec<ThreadReport> = self.receiver.iter().collect::<io::Result<_>>()?;
        let cpu = reports.iter().map(|report| report.cpu).sum();
        Ok((cpu, reports.iter().map(|report| report.setups).sum()))
    }
}
