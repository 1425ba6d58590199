//! Threads that run the hollow members on sockets.

use crate::counters::Counts;
use crate::fault::{Fault, FaultAction, fault_actions};
use crate::hollow::{FleetView, Hollow, MemberSetup, NodeLoads};
use crate::records::{MemberEvent, Record};
use crate::shape::Shape;
use crate::sockets::{CONSENSUS_PORT, Datagrams, Object, PEERS_PORT, RELAY_PORT_OFFSET, address};
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

/// Seconds that a changed list has to reach all.
const LIST: f64 = 3.0;

/// How long is waited and measured.
#[derive(Clone, Copy, Debug, clap::Args)]
pub struct RunOptions {
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
pub(crate) struct ThreadReport {
    /// Of each member in the time that was measured.
    pub counts: Vec<(u32, Counts)>,
    pub leaders: BTreeSet<u32>,
    pub cpu: Duration,
    pub node_loads: Vec<NodeLoads>,
    pub views: Vec<Option<FleetView>>,
    pub records: Vec<Record>,
    /// Set-ups since the start.
    served: u64,
}

/// What all threads share of a run.
pub(crate) struct Run {
    shape: Shape,
    span: RunOptions,
    known: EndpointUpdate,
    roster: Roster,
    discovery: SocketAddr,
    pub clock: Clock,
    /// Members know one another by the relay's ends, and all connections are asked for through the module.
    relayed: bool,
    fault_actions: Vec<(Micros, FaultAction)>,
    /// All are there; connections may be opened; all may begin.
    pub steps: [Barrier; 3],
}

fn work(run: &Run, members: Vec<u32>) -> io::Result<ThreadReport> {
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
        let (peers, accord) = (open(false, PEERS_PORT)?, open(true, CONSENSUS_PORT)?);
        let place = MemberSetup {
            shape: shape.clone(),
            me: member,
            roster: run.roster.clone(),
            incarnation: (now / 1_000) as u64,
            starts_with_fleet: true,
            durable_state: None,
        };
        let hollow = Hollow::start(place, &run.known, now);
        records.push(Record { at: now, member, event: MemberEvent::Started });
        seats.push(HostedMember {
            member,
            hollow,
            peers,
            accord,
            watch: None,
            wake_up_timer: WakeUpTimer::default(),
            stopped: false,
        });
    }
    let consensus_port = CONSENSUS_PORT + if run.relayed { RELAY_PORT_OFFSET } else { 0 };
    let mut worker = Worker { reactor, seats, discovery: run.discovery, consensus_port, records };
    run.steps[0].wait();
    // The main thread weighs the heap between two steps.
    run.steps[1].wait();
    let now = worker.reactor.io.now();
    for seat in &mut worker.seats {
        if run.relayed {
            seat.hollow.schedule_initial_requests(now)
        } else {
            seat.hollow.open_connections(now)
        }
    }
    run.steps[2].wait();
    let began = worker.reactor.io.now();
    for seat in 0..worker.seats.len() {
        worker.wake(seat)?;
    }
    // A version is in force before it is measured: leases are what the accord costs.
    worker.run_until(began + (span.warm_up * 0.4 * 1e6) as Micros)?;
    worker.act(FaultAction::Propose { member: 1, content: 1, kind: 1 })?;
    let from = began + (span.warm_up * 1e6) as Micros;
    worker.run_until(from)?;
    let (before, cpu) = (worker.counts(), thread_time());
    let until = from + (span.window * 1e6) as Micros;
    for (at, act) in &run.fault_actions {
        worker.run_until((from + at).min(until))?;
        worker.act(*act)?;
    }
    worker.run_until(until)?;
    let cpu = thread_time() - cpu;
    let after = worker.counts();
    let counts =
        before.iter().zip(&after).map(|((member, before), (_, after))| (*member, after.since(before)));
    let counts = counts.collect();
    let leaders =
        worker.seats.iter().filter(|seat| seat.hollow.is_leader()).map(|seat| seat.member).collect();
    let running = || worker.seats.iter().filter(|seat| !seat.stopped);
    let node_loads = running().map(|seat| seat.hollow.node_loads()).collect();
    let views = running().map(|seat| seat.hollow.fleet_view()).collect();
    let served = after.iter().map(|(_, counts)| counts.setups).sum();
    if run.relayed {
        return Ok(ThreadReport { counts, leaders, cpu, node_loads, views, records: worker.records, served });
    }
    // The list that is told now loses a zone, while all goes on.
    worker.run_until(from + ((span.window + LIST) * 1e6) as Micros)?;
    Ok(ThreadReport { counts, leaders, cpu, node_loads, views, records: worker.records, served })
}

pub(crate) type Reply = io::Result<ThreadReport>;

/// Threads with these members; they wait at the steps.
pub(crate) fn begin(
    shape: &Shape,
    span: RunOptions,
    members: &[u32],
    discovery: SocketAddr,
    known: EndpointUpdate,
    relayed: bool,
) -> io::Result<(Arc<Run>, Receiver<Reply>)> {
    let port = PEERS_PORT + if relayed { RELAY_PORT_OFFSET } else { 0 };
    let addresses: Vec<SocketAddr> = (0..shape.members).map(|member| address(member, port)).collect();
    let threads = span.threads.min(members.len());
    let fault_actions = span.fault.map_or(Some(Vec::new()), |fault| fault_actions(shape, fault));
    let fault_actions =
        fault_actions.ok_or_else(|| io::Error::other("sockets can't play this fault, virtual time can"))?;
    let barrier = || Barrier::new(threads + 1);
    let run = Arc::new(Run {
        shape: shape.clone(),
        span,
        known,
        roster: Roster::new(&addresses, None),
        discovery,
        clock: Clock::unix(),
        relayed,
        fault_actions,
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
pub struct HollowFleet {
    receiver: Receiver<Reply>,
}

impl HollowFleet {
    /// These members begin now.
    pub fn start(
        shape: &Shape,
        span: RunOptions,
        members: Vec<u32>,
        discovery: SocketAddr,
        list: &str,
    ) -> io::Result<Self> {
        let known = watch::parse_endpoints(list.as_bytes().to_vec()).ok_or(io::ErrorKind::InvalidData)?;
        let (run, receiver) = begin(shape, span, &members, discovery, known, true)?;
        for step in &run.steps {
            step.wait();
        }
        Ok(HollowFleet { receiver })
    }

    /// Once they have ended: processor time in the window, and set-ups since the start.
    pub fn end(self) -> io::Result<(Duration, u64)> {
        let told: Vec<ThreadReport> = self.receiver.iter().collect::<io::Result<_>>()?;
        Ok((told.iter().map(|told| told.cpu).sum(), told.iter().map(|told| told.served).sum()))
    }
}
