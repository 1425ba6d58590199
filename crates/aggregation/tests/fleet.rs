//! Simulation of a whole fleet in one process, on virtual time and from one seed. Datagrams are lost and delayed, members
//! restart, and the network is partitioned. The tests compare the utilizations in the snapshots with the true ones, and measure
//! the bandwidth.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_aggregation::wire::{EndpointSummary, Fragment, Totals};
use cottonnotch_aggregation::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const SECOND: Micros = 1_000_000;
/// An arbitrary start time that is not at the beginning of an epoch.
const UNIX: Micros = 1_796_000_000 * SECOND + 7 * SECOND;
/// Capacity of each render node, in microseconds of work per second.
const NODE_CAPACITY: f64 = 2e6;
/// Load of a connection, in microseconds of work per second.
const CONNECTION_LOAD: f64 = 40_000.0;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    DatagramArrives { from: u32, to: u32, bytes: Vec<u8> },
    TimerExpires(u32),
}

struct Simulation {
    rng: ChaCha8Rng,
    seed: u64,
    now: Micros,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    event_count: u64,
    loss: f64,
    /// Partition of each member. Datagrams between different partitions are lost.
    partition: Vec<u8>,
    members: Vec<Option<Member>>,
    /// Number of connections of each member, by render node.
    connections: Vec<BTreeMap<u32, u32>>,
    clock_offset: Vec<Micros>,
    nodes: u32,
    requests_per_s: f64,
    bytes: u64,
    sent: u64,
    settings: Settings,
}

impl Simulation {
    /// Creates a fleet in which each member has about four connections, more of them to some nodes than to others.
    fn new(seed: u64, members: u32, nodes: u32) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut random_connections = || {
            let mut connections = BTreeMap::new();
            for _ in 0..rng.random_range(1..=7) {
                let node = rng.random_range(0..nodes).min(rng.random_range(0..nodes));
                *connections.entry(node).or_insert(0) += 1;
            }
            connections
        };
        let connections = (0..members).map(|_| random_connections()).collect();
        let section = FleetSection { members_from: Some(4), ..FleetSection::default() };
        let mut fleet = Simulation {
            rng,
            seed,
            now: 0,
            events: BinaryHeap::new(),
            event_count: 0,
            loss: 0.1,
            partition: vec![0; members as usize],
            members: (0..members).map(|_| None).collect(),
            connections,
            clock_offset: vec![0; members as usize],
            nodes,
            requests_per_s: f64::from(members) / 4.0,
            bytes: 0,
            sent: 0,
            settings: section.check().unwrap().unwrap(),
        };
        (0..members).for_each(|member| fleet.start(member));
        fleet
    }

    fn member_count(&self) -> u32 {
        self.members.len() as u32
    }

    fn start(&mut self, member: u32) {
        let (seed, clock_offset) = (self.rng.random(), self.clock_offset[member as usize]);
        let unix = UNIX + self.now + clock_offset;
        let member_state =
            Member::new(self.settings.clone(), member, self.member_count(), seed, self.now, unix);
        self.members[member as usize] = Some(member_state);
        let sizes = (0..self.nodes).map(|node| (EndpointDigest(node), NODE_CAPACITY)).collect();
        self.input(member, Input::Capacities(sizes));
    }

    /// Ends the process of a member, which closes its connections.
    fn kill(&mut self, member: u32) {
        self.members[member as usize] = None;
        self.connections[member as usize].clear();
    }

    fn push(&mut self, at: Micros, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn input(&mut self, member: u32, input: Input<'_>) {
        let requests = self.requests_per_s / f64::from(self.member_count());
        let (now, seed) = (self.now, self.seed);
        let connections = &self.connections[member as usize];
        let Some(instance) = &mut self.members[member as usize] else { return };
        let totals = Totals {
            connections: connections.values().sum(),
            requests_per_s: requests,
            successes_per_s: requests,
            failures_per_s: 0.0,
        };
        let entry = |(node, count): (&u32, &u32)| Entry {
            endpoint: EndpointDigest(*node),
            load: CONNECTION_LOAD * f64::from(*count),
            groups: Vec::new(),
            health: HealthVerdict::Unknown,
        };
        instance.handle(
            now,
            Input::LocalLoad(LocalLoad { totals, entries: connections.iter().map(entry).collect() }),
        );
        instance.handle(now, input);
        let mut sends = Vec::new();
        while let Some(output) = instance.poll() {
            if let Output::Send { to, bytes } = output {
                assert!(bytes.len() <= 256, "seed {seed}: {} bytes", bytes.len());
                sends.push((to, bytes));
            }
        }
        let timeout = instance.next_timeout().max(now);
        self.push(timeout, Event::TimerExpires(member));
        for (to, bytes) in sends {
            self.bytes += bytes.len() as u64;
            self.sent += 1;
            let partitioned = self.partition[member as usize] != self.partition[to as usize];
            if !partitioned && !self.rng.random_bool(self.loss) {
                let at = now + self.rng.random_range(1_000..38_000);
                self.push(at, Event::DatagramArrives { from: member, to, bytes });
            }
        }
    }

    fn run_for(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(Reverse((at, ..))) = self.events.peek()
            && *at <= end
        {
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = at;
            match event {
                Event::DatagramArrives { from, to, bytes } => {
                    self.input(to, Input::Datagram { from: Some(from), bytes: &bytes })
                }
                // Only the timer at a member's next timeout is valid; earlier timers are outdated.
                Event::TimerExpires(member) => {
                    let next_timeout = self.members[member as usize].as_ref().map(Member::next_timeout);
                    if next_timeout.is_some_and(|next_timeout| next_timeout <= at) {
                        self.input(member, Input::Tick);
                    }
                }
            }
        }
        self.now = end;
    }

    /// Utilization of a node by the members of a partition.
    fn utilization(&self, partition: u8, node: u32) -> f64 {
        let of_partition =
            (0..self.member_count() as usize).filter(|member| self.partition[*member] == partition);
        let count: u32 = of_partition.filter_map(|member| self.connections[member].get(&node)).sum();
        f64::from(count) * CONNECTION_LOAD / NODE_CAPACITY
    }

    /// Ratio of the utilizations in the fresh snapshots to the true ones, over all nodes with a utilization above 0.5, and the
    /// share of the partition's members whose snapshot is no older than `max_age`.
    fn accuracy(&self, partition: u8, max_age: Micros) -> (f64, f64) {
        let utilized_nodes: Vec<u32> =
            (0..self.nodes).filter(|node| self.utilization(partition, *node) > 0.5).collect();
        let (mut reported, mut actual, mut fresh_snapshots, mut running_members) = (0.0, 0.0, 0.0, 0.0);
        for member in 0..self.member_count() as usize {
            let Some(instance) =
                self.members[member].as_ref().filter(|_| self.partition[member] == partition)
            else {
                continue;
            };
            running_members += 1.0;
            let Some(snapshot) =
                instance.snapshot().filter(|snapshot| self.now - snapshot.received_at <= max_age)
            else {
                continue;
            };
            fresh_snapshots += 1.0;
            for node in &utilized_nodes {
                reported += snapshot.endpoint(EndpointDigest(*node)).utilization;
                actual += self.utilization(partition, *node).min(2.37);
            }
        }
        (if actual > 0.0 { reported / actual } else { 1.0 }, fresh_snapshots / f64::max(running_members, 1.0))
    }

    fn print_accuracy(&self, description: &str, accuracy: (f64, f64), datagrams: f64) {
        eprintln!(
            "seed {}, {} members, {description}: {:.3} of the true utilization, {:.3} of the members with a fresh snapshot, \
             {datagrams:.2} full datagrams per request",
            self.seed,
            self.member_count(),
            accuracy.0,
            accuracy.1
        );
    }
}

/// Runs the fleet for this time and returns the number of full datagrams sent per request.
fn datagrams_per_request(fleet: &mut Simulation, seconds: i64) -> f64 {
    let before = fleet.bytes;
    fleet.run_for(seconds * SECOND);
    (fleet.bytes - before) as f64 / 256.0 / (fleet.requests_per_s * seconds as f64)
}

#[test]
fn sums_and_cost_hold_at_every_size() {
    for (members, nodes) in [(5, 4), (50, 15), (300, 90)] {
        let mut fleet = Simulation::new(u64::from(members), members, nodes);
        fleet.run_for(10 * SECOND);
        let datagrams = datagrams_per_request(&mut fleet, 60);
        let accuracy = fleet.accuracy(0, 3 * fleet.settings.max_report_interval);
        fleet.print_accuracy("60 s at 10% loss", accuracy, datagrams);
        assert!((0.9..1.1).contains(&accuracy.0) && accuracy.1 > 0.9, "seed {}: {accuracy:?}", fleet.seed);
        // With 10% loss, one in five reports stays without an answer and is sent again, hence the tolerance of 1.4.
        let limit = fleet.settings.datagrams_per_request;
        // In small fleets the minimum report interval, not this limit, determines the bandwidth.
        assert!(
            datagrams <= limit * 1.4,
            "seed {}: {datagrams} datagrams per request, {limit} allowed",
            fleet.seed
        );
    }
}

/// Seven of ten members die at once. The others find another aggregator without a storm of retries.
#[test]
fn survivors_find_next_aggregator() {
    for seed in 1..6 {
        let mut fleet = Simulation::new(seed, 300, 90);
        fleet.run_for(20 * SECOND);
        (0..300).filter(|member| member % 10 < 7).for_each(|member| fleet.kill(member));
        fleet.run_for(16 * SECOND);
        let accuracy = fleet.accuracy(0, 8 * SECOND);
        fleet.print_accuracy("16 s after 210 died", accuracy, 0.0);
        assert!(accuracy.1 > 0.85, "seed {seed}: {accuracy:?}");
        let datagrams = datagrams_per_request(&mut fleet, 30);
        assert!(datagrams < 4.5, "seed {seed}: {datagrams} datagrams per request");
    }
}

#[test]
fn rolling_restart_causes_no_storm() {
    let mut fleet = Simulation::new(11, 300, 90);
    fleet.run_for(20 * SECOND);
    let before = fleet.bytes;
    for tenth in 0..10 {
        let restarted: Vec<u32> = (0..300).filter(|member| member % 10 == tenth).collect();
        restarted.iter().for_each(|member| fleet.kill(*member));
        fleet.run_for(SECOND);
        restarted.iter().for_each(|member| fleet.start(*member));
        fleet.run_for(600_000);
    }
    let datagrams = (fleet.bytes - before) as f64 / 256.0 / (fleet.requests_per_s * 16.0);
    fleet.run_for(8 * SECOND);
    let accuracy = fleet.accuracy(0, 10 * SECOND);
    fleet.print_accuracy("8 s after a rolling restart of 16 s", accuracy, datagrams);
    assert!(
        accuracy.1 > 0.9 && datagrams < 2.0 * fleet.settings.datagrams_per_request,
        "{accuracy:?}, {datagrams} datagrams per request"
    );
}

/// During a partition, each side has a snapshot of its own members. After the partition, all members share one snapshot again.
#[test]
fn partition_keeps_own_snapshot_and_heals() {
    let mut fleet = Simulation::new(12, 300, 90);
    fleet.run_for(15 * SECOND);
    (0..60).for_each(|member| fleet.partition[member] = 1);
    fleet.run_for(16 * SECOND);
    for partition in [0, 1] {
        let accuracy = fleet.accuracy(partition, 12 * SECOND);
        fleet.print_accuracy("one side of a partition", accuracy, 0.0);
        assert!(accuracy.1 > 0.8, "partition {partition}: {accuracy:?}");
    }
    fleet.partition.fill(0);
    fleet.run_for(25 * SECOND);
    let accuracy = fleet.accuracy(0, 10 * SECOND);
    fleet.print_accuracy("25 s after the partition healed", accuracy, 0.0);
    assert!((0.85..1.1).contains(&accuracy.0) && accuracy.1 > 0.9, "{accuracy:?}");
}

#[test]
fn tolerates_clock_skew_and_loss() {
    let mut fleet = Simulation::new(13, 300, 90);
    fleet.loss = 0.33;
    for member in 0..300 {
        fleet.clock_offset[member as usize] = i64::from(member % 11 - 5) * SECOND;
        fleet.start(member as u32);
    }
    fleet.run_for(70 * SECOND);
    let accuracy = fleet.accuracy(0, 18 * SECOND);
    fleet.print_accuracy("clock skew of up to 5 s, 33% loss", accuracy, 0.0);
    assert!(accuracy.1 > 0.8 && accuracy.0 > 0.6, "{accuracy:?}");
}

/// A summary in which all nodes are overloaded and unhealthy, as the answer to the report with this sequence number.
fn false_summary(sequence: u16) -> Vec<u8> {
    let endpoints = (0..9)
        .map(|node| EndpointSummary {
            endpoint: EndpointDigest(node),
            utilization: 2.0,
            health: HealthVerdict::Unhealthy,
        })
        .collect();
    let summary = wire::FleetSummary {
        sequence,
        fragment: Fragment::ONLY,
        incomplete: false,
        report_interval: SECOND,
        members: 30,
        totals: Totals::default(),
        mean_load: 0.0,
        endpoints,
    };
    wire::write_summary(&summary).remove(0)
}

/// Lets a member that is not among the first candidates send a report. Returns the member, the receiver, and the sequence
/// number of the report.
fn send_report_from_other_member(fleet: &mut Simulation) -> (u32, u32, u16) {
    let epoch = (UNIX / EPOCH) as u64;
    let order = aggregator_order(epoch, fleet.member_count());
    let sender = (0..fleet.member_count())
        .find(|member| !order[..6].contains(member))
        .expect("a member that is not among the first candidates");
    let member = fleet.members[sender as usize].as_mut().expect("the member runs");
    fleet.now = member.next_timeout();
    member.handle(fleet.now, Input::Tick);
    let Some(Output::Send { to, bytes }) = member.poll() else { panic!("the member sends no report") };
    assert_eq!(to, order[0]);
    let Some(wire::Datagram::Report(report)) = wire::read(&bytes) else {
        panic!("the datagram is no report")
    };
    (sender, to, report.sequence)
}

/// A member accepts an answer only from a member that it sent a report to, and only to its last report.
#[test]
fn accepts_answers_to_own_report_only() {
    let mut fleet = Simulation::new(14, 30, 9);
    let (sender, receiver, sequence) = send_report_from_other_member(&mut fleet);
    let member = fleet.members[sender as usize].as_mut().unwrap();
    let other = (0..30).find(|other| *other != sender && *other != receiver).unwrap();
    let mut receive_summary = |from, sequence| {
        member.handle(fleet.now, Input::Datagram { from, bytes: &false_summary(sequence) });
        member.snapshot().map(|snapshot| snapshot.endpoint(EndpointDigest(0)).utilization)
    };
    // The aggregator of an earlier epoch knows the member's sequence numbers.
    assert_eq!(receive_summary(Some(other), sequence), None);
    assert_eq!(receive_summary(None, sequence), None);
    assert_eq!(
        receive_summary(Some(receiver), sequence.wrapping_add(1)),
        None,
        "the sequence number of the next report"
    );
    assert_eq!(receive_summary(Some(receiver), sequence).map(|utilization| utilization > 1.9), Some(true));
    assert_eq!(member.counts().dropped, 3);
}

/// Some proxies have many connections to many nodes. Their reports are long, which extends the report interval, and must not
/// expire before the next ones arrive.
#[test]
fn long_reports_never_expire_early() {
    let mut fleet = Simulation::new(15, 60, 90);
    fleet.loss = 0.0;
    fleet.requests_per_s = 8.0;
    // These are only one in ten members, but more than one in twenty, so that their values are not limited as those of faulty
    // members.
    for member in 0..6 {
        fleet.connections[member] = (0..90).map(|node| (node, 10)).collect();
    }
    fleet.run_for(30 * SECOND);
    let mut min_ratio = f64::INFINITY;
    for _ in 0..60 {
        fleet.run_for(500_000);
        let reported =
            fleet.members[59].as_ref().unwrap().snapshot().unwrap().endpoint(EndpointDigest(3)).utilization;
        min_ratio = min_ratio.min(reported / fleet.utilization(0, 3).min(2.35));
    }
    assert!(min_ratio > 0.9, "seed {}: minimum {min_ratio:.2} of the true utilization", fleet.seed);
}
