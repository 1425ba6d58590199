//! Simulation of a fleet with load-based affinity subsets, on virtual time and from one seed. Datagrams are lost and delayed;
//! members stop, die, are partitioned off, or run an older program version. The tests compare the subset sizes in force at each
//! member with the sizes that the true load of the fleet requires.
#![allow(dead_code)]

use cottonnotch_aggregation::wire::Totals;
use cottonnotch_aggregation::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

pub const SECOND: Micros = 1_000_000;
/// An arbitrary start time that is not at the beginning of an epoch.
const UNIX: Micros = 1_796_000_000 * SECOND + 7 * SECOND;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    DatagramArrives { from: u32, to: u32, bytes: Vec<u8> },
    TimerExpires(u32),
}

/// Datagrams waiting in the socket of a stopped process, with their senders.
pub type WaitingDatagrams = Vec<(u32, Vec<u8>)>;

/// Dimensions of a simulated fleet.
#[derive(Clone, Copy)]
pub struct Scale {
    pub members: u32,
    pub nodes: u32,
    /// Capacity of a node, in microseconds of work per second.
    pub node_capacity: f64,
    /// Load of a connection, in microseconds of work per second.
    pub connection_load: f64,
    pub requests_per_s: f64,
}

pub struct Simulation {
    pub rng: ChaCha8Rng,
    pub seed: u64,
    pub now: Micros,
    pub scale: Scale,
    pub loss: f64,
    /// Partition of each member. Datagrams between different partitions are lost.
    pub partition: Vec<u8>,
    /// Whether all datagrams from a member are lost. The member still receives datagrams.
    pub outgoing_lost: Vec<bool>,
    /// The datagrams waiting for a member whose process is stopped; `None` if the process runs.
    pub stopped: Vec<Option<WaitingDatagrams>>,
    /// Settings of each member. A member with an older program version has no affinity settings.
    pub settings: Vec<Settings>,
    pub members: Vec<Option<Member>>,
    /// Number of connections of each member, by group.
    pub groups: Vec<BTreeMap<u64, u32>>,
    pub bytes: Vec<u64>,
    pub sent: u64,
    pub cpu_time: Vec<Duration>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    event_count: u64,
}

pub fn settings(groups: Option<u32>, hold_s: u32, keep_s: u32) -> Settings {
    let section = FleetSection {
        members_from: Some(4),
        group_homes: groups,
        homes_hold_s: hold_s,
        homes_keep_s: keep_s,
        ..FleetSection::default()
    };
    section.check().unwrap().unwrap()
}

impl Simulation {
    pub fn new(seed: u64, scale: Scale, settings: Settings) -> Self {
        let count = scale.members as usize;
        let mut sim = Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            seed,
            now: 0,
            scale,
            loss: 0.1,
            partition: vec![0; count],
            outgoing_lost: vec![false; count],
            stopped: vec![None; count],
            settings: vec![settings; count],
            members: (0..count).map(|_| None).collect(),
            groups: vec![BTreeMap::new(); count],
            bytes: vec![0; count],
            sent: 0,
            cpu_time: vec![Duration::ZERO; count],
            events: BinaryHeap::new(),
            event_count: 0,
        };
        (0..scale.members).for_each(|member| sim.start(member));
        sim
    }

    /// Adds connections of a group, distributed randomly over the running members.
    pub fn add_connections(&mut self, group: u64, count: u32) {
        let running: Vec<usize> =
            (0..self.members.len()).filter(|member| self.members[*member].is_some()).collect();
        for _ in 0..count {
            let member = running[self.rng.random_range(0..running.len())];
            *self.groups[member].entry(group).or_insert(0) += 1;
        }
    }

    /// Number of connections of a group in the whole fleet.
    pub fn connections_of(&self, group: u64) -> u32 {
        self.groups.iter().filter_map(|groups| groups.get(&group)).sum()
    }

    /// The subset size that the true load of a group requires, computed independently of the crate.
    pub fn required_size(&self, group: u64) -> u32 {
        let Scale { connection_load, node_capacity, nodes, .. } = self.scale;
        let load_per_endpoint = 0.25 * node_capacity - (3.0 * connection_load).min(0.125 * node_capacity);
        let endpoints =
            (f64::from(self.connections_of(group)) * connection_load / load_per_endpoint).ceil() as u32;
        endpoints.clamp(5, nodes.max(5))
    }

    pub fn start(&mut self, member: u32) {
        let (seed, unix) = (self.rng.random(), UNIX + self.now);
        let settings = self.settings[member as usize].clone();
        let member_state = Member::new(settings, member, self.scale.members, seed, self.now, unix);
        self.members[member as usize] = Some(member_state);
        let sizes =
            (0..self.scale.nodes).map(|node| (EndpointDigest(node), self.scale.node_capacity)).collect();
        self.input(member, Input::Capacities(sizes));
    }

    /// Ends the process of a member, whose clients reconnect to the other members.
    pub fn kill(&mut self, member: u32) {
        self.members[member as usize] = None;
        for (group, count) in std::mem::take(&mut self.groups[member as usize]) {
            self.add_connections(group, count);
        }
    }

    pub fn stop(&mut self, member: u32) {
        self.stopped[member as usize] = Some(Vec::new());
    }

    /// Resumes a stopped member, which then reads the datagrams waiting in its socket.
    pub fn resume(&mut self, member: u32) {
        for (from, bytes) in self.stopped[member as usize].take().into_iter().flatten() {
            self.input(member, Input::Datagram { from: Some(from), bytes: &bytes });
        }
        self.input(member, Input::Tick);
    }

    fn push(&mut self, at: Micros, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    pub fn local_state(&self, member: u32) -> (LocalLoad, Vec<GroupLoad>) {
        let groups = &self.groups[member as usize];
        let rate = self.scale.requests_per_s / f64::from(self.scale.members);
        let connections = groups.values().fold(0_u32, |sum, count| sum.saturating_add(*count));
        let totals = Totals { connections, requests_per_s: rate, successes_per_s: rate, failures_per_s: 0.0 };
        let load = self.scale.connection_load;
        let entry = Entry {
            endpoint: EndpointDigest(0),
            load: f64::from(connections) * load,
            groups: vec![],
            health: HealthVerdict::Healthy,
        };
        let group = |(group, count): (&u64, &u32)| GroupLoad {
            group: *group,
            connections: *count,
            load: load * f64::from(*count),
        };
        (LocalLoad { totals, entries: vec![entry] }, groups.iter().map(group).collect())
    }

    fn input(&mut self, member: u32, input: Input<'_>) {
        let index = member as usize;
        if let (Some(waiting), Input::Datagram { from: Some(from), bytes }) =
            (&mut self.stopped[index], &input)
        {
            // The receive buffer of a socket has space for a few hundred datagrams.
            if waiting.len() < 200 {
                waiting.push((*from, bytes.to_vec()));
            }
            return;
        }
        if self.stopped[index].is_some() {
            return;
        }
        let updates_load = matches!(input, Input::Tick | Input::Capacities(_));
        let local_state = updates_load.then(|| self.local_state(member));
        let now = self.now;
        let Some(instance) = &mut self.members[index] else { return };
        let started_at = Instant::now();
        if let Some((local_state, groups)) = local_state {
            instance.handle(now, Input::GroupLoads(groups));
            instance.handle(now, Input::LocalLoad(local_state));
        }
        instance.handle(now, input);
        let mut sends = Vec::new();
        while let Some(output) = instance.poll() {
            if let Output::Send { to, bytes } = output {
                sends.push((to, bytes));
            }
        }
        self.cpu_time[index] += started_at.elapsed();
        let timeout = instance.next_timeout().max(now);
        self.push(timeout, Event::TimerExpires(member));
        for (to, bytes) in sends {
            assert!(bytes.len() <= 256, "seed {}: {} bytes", self.seed, bytes.len());
            self.bytes[index] += bytes.len() as u64;
            self.sent += 1;
            let is_lost = self.partition[index] != self.partition[to as usize] || self.outgoing_lost[index];
            if !is_lost && !self.rng.random_bool(self.loss) {
                self.bytes[to as usize] += bytes.len() as u64;
                let at = now + self.rng.random_range(1_000..38_000);
                self.push(at, Event::DatagramArrives { from: member, to, bytes });
            }
        }
    }

    pub fn run_for(&mut self, span: Micros) {
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

    /// The size of a group's subset that is in force at a member.
    pub fn subset_size(&self, member: u32, group: u64) -> u32 {
        let subsets = self.members[member as usize]
            .as_ref()
            .map(|instance| instance.affinity_subsets().collect::<BTreeMap<u64, u32>>());
        subsets.and_then(|subsets| subsets.get(&group).copied()).unwrap_or(5)
    }

    /// Minimum, median and maximum size of a group's subset over the running members.
    pub fn subset_size_range(&self, group: u64) -> (u32, u32, u32) {
        let running = (0..self.scale.members).filter(|member| self.members[*member as usize].is_some());
        let mut sizes: Vec<u32> = running.map(|member| self.subset_size(member, group)).collect();
        sizes.sort_unstable();
        (sizes[0], sizes[sizes.len() / 2], sizes[sizes.len() - 1])
    }

    /// Utilization of the first endpoint of a group's subset by the group's connections, if each member distributes its
    /// connections evenly over the subset in force there. No other endpoint has a higher utilization.
    pub fn max_utilization(&self, group: u64) -> f64 {
        let utilization = |member: u32| {
            let connections = self.groups[member as usize].get(&group).copied().unwrap_or(0);
            f64::from(connections) / f64::from(self.subset_size(member, group))
        };
        (0..self.scale.members).map(utilization).sum::<f64>() * self.scale.connection_load
            / self.scale.node_capacity
    }

    pub fn sum_counts(&self, value: impl Fn(&Counts) -> u64) -> u64 {
        self.members.iter().flatten().map(|member| value(&member.counts())).sum()
    }
}
