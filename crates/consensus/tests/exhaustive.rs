//! Exhaustive searches of a small cluster in which three voters act on one version while an incompatible version is
//! proposed. One search visits all orders of messages up to a depth; `ACCORD_STATES` sets the number of states that it
//! visits. The other search runs all schedules of faults in a number of time slots; `ACCORD_DEPTH` adds to this number.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod common;

use common::world::Disk;
use common::{are_incompatible, content};
use cottonnotch_consensus::{
    Config, ContentHash, DurableState, Input, Member, Message, Mutant, Output, Role, Timing, Topic, Verdict,
};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{Hash as _, Hasher};

const MS: i64 = 1_000;

#[derive(Clone)]
struct Node {
    member: Member,
    durable_state: Option<DurableState>,
    stopped: bool,
    /// The inputs that arrived while the node was stopped.
    queued_inputs: Vec<Input>,
    incarnation: u64,
}

/// Three voters that share one clock. Messages wait until the search delivers them, which may happen in any order or
/// never.
#[derive(Clone)]
struct SmallCluster {
    now: i64,
    nodes: Vec<Node>,
    in_flight: Vec<(u16, u16, Message)>,
    hash_by_number: BTreeMap<u64, ContentHash>,
    leader_by_term: BTreeMap<u64, u16>,
    mutant: Mutant,
    path: Vec<String>,
}

fn env_number(name: &str) -> Option<usize> {
    std::env::var(name).ok()?.parse().ok()
}

impl SmallCluster {
    fn new(mutant: Mutant) -> Self {
        let mut cluster = Self {
            now: 0,
            nodes: Vec::new(),
            in_flight: Vec::new(),
            hash_by_number: BTreeMap::new(),
            leader_by_term: BTreeMap::new(),
            mutant,
            path: Vec::new(),
        };
        for index in 0..3 {
            let durable_state = Some(DurableState::initial());
            let member = cluster.create_member(index, 1, durable_state.clone());
            cluster.nodes.push(Node {
                member,
                durable_state,
                stopped: false,
                queued_inputs: Vec::new(),
                incarnation: 1,
            });
        }
        cluster
    }

    fn create_member(&self, index: u16, incarnation: u64, durable_state: Option<DurableState>) -> Member {
        let timing = Timing { drift_ppm: 0, ..Timing::default() };
        let config = Config { ordinal: index, members: 3, voters: vec![0, 1, 2], timing, incarnation };
        let mut member = Member::new(config, self.now, durable_state, u64::from(index) + 10 * incarnation);
        member.mutate(self.mutant);
        member
    }

    fn handle_input(&mut self, index: usize, input: Input) {
        if self.nodes[index].stopped {
            return self.nodes[index].queued_inputs.push(input);
        }
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            self.nodes[index].member.handle(self.now, input);
            while let Some(output) = self.nodes[index].member.poll() {
                match output {
                    Output::Send { to, message } => self.in_flight.push((index as u16, to, message)),
                    Output::Save(durable_state) => self.nodes[index].durable_state = Some(durable_state),
                    Output::Check { topic, hash, against } => {
                        let is_incompatible = against.iter().any(|(_, other)| are_incompatible(&hash, other));
                        let from = against.first().map_or(0, |first| first.0);
                        let verdict = if is_incompatible {
                            Verdict::Incompatible
                        } else {
                            Verdict::Compatible { from }
                        };
                        inputs.push_back(Input::Checked { topic, hash, verdict });
                    }
                    Output::Fetch { hash, .. } => inputs.push_back(Input::ContentReady { hash }),
                    _ => {}
                }
            }
        }
    }

    fn restart(&mut self, index: usize, disk: Disk) {
        let durable_state = self.nodes[index].durable_state.clone().filter(|_| disk == Disk::Kept);
        let incarnation = self.nodes[index].incarnation + 1;
        let member = self.create_member(index as u16, incarnation, durable_state.clone());
        self.nodes[index] =
            Node { member, durable_state, stopped: false, queued_inputs: Vec::new(), incarnation };
    }

    fn next_timeout(&self) -> i64 {
        let running = self.nodes.iter().filter(|node| !node.stopped);
        running.map(|node| node.member.next_timeout()).min().unwrap_or(i64::MAX).max(self.now)
    }

    fn tick_due(&mut self) {
        for index in 0..3 {
            if !self.nodes[index].stopped && self.nodes[index].member.next_timeout() <= self.now {
                self.handle_input(index, Input::Tick);
            }
        }
    }

    /// Runs for this long. Messages arrive immediately and in order if `is_up` allows their link; other messages are lost.
    fn run(&mut self, duration: i64, is_up: &dyn Fn(u16, u16) -> bool) {
        let end = self.now + duration;
        let mut steps = 0;
        loop {
            while !self.in_flight.is_empty() {
                let (from, to, message) = self.in_flight.remove(0);
                if is_up(from, to) {
                    self.handle_input(to.into(), Input::Message { from, message });
                }
            }
            self.check();
            steps += 1;
            assert!(
                steps < 100_000,
                "the members are still busy after 100,000 steps at {} us: {:?}",
                self.now,
                self.path
            );
            let next = self.next_timeout();
            if next > end {
                break;
            }
            self.now = next;
            self.tick_due();
        }
        self.now = end;
    }

    /// Returns the invariant that is violated at this instant, if any.
    fn find_violation(&mut self) -> Option<String> {
        for topic in Topic::ALL {
            let leases: Vec<_> = self.nodes.iter().map(|node| node.member.lease(topic)).collect();
            let acted_on: Vec<(u64, ContentHash)> = leases
                .iter()
                .filter(|lease| self.now < lease.until)
                .filter_map(|lease| lease.version)
                .collect();
            for (index, version) in acted_on.iter().enumerate() {
                if let Some(other) =
                    acted_on[index..].iter().find(|other| are_incompatible(&version.1, &other.1))
                {
                    return Some(format!(
                        "members act on incompatible versions {} and {}",
                        version.0, other.0
                    ));
                }
                if topic == Topic::Rules
                    && *self.hash_by_number.entry(version.0).or_insert(version.1) != version.1
                {
                    return Some(format!("number {} identifies two versions", version.0));
                }
            }
        }
        for (index, node) in self.nodes.iter().enumerate() {
            let status = node.member.status();
            if status.invariant_violations > 0 {
                return Some(format!("member {index} detected an invariant violation"));
            }
            if status.role == Role::Leader
                && *self.leader_by_term.entry(status.term).or_insert(index as u16) != index as u16
            {
                return Some(format!("two leaders in term {}", status.term));
            }
        }
        None
    }

    fn check(&mut self) {
        if let Some(violation) = self.find_violation() {
            panic!("{violation} at {} us, after {:?}", self.now, self.path);
        }
    }

    fn state_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.now.hash(&mut hasher);
        let mut in_flight: Vec<u64> = Vec::new();
        for message in &self.in_flight {
            let mut hasher = DefaultHasher::new();
            message.hash(&mut hasher);
            in_flight.push(hasher.finish());
        }
        in_flight.sort_unstable();
        in_flight.hash(&mut hasher);
        for node in &self.nodes {
            format!("{:?}", node.member).hash(&mut hasher);
            (node.stopped, node.incarnation).hash(&mut hasher);
        }
        hasher.finish()
    }

    fn leader(&self) -> u16 {
        let is_leader = |node: &Node| node.member.status().role == Role::Leader;
        self.nodes.iter().position(is_leader).unwrap_or_default() as u16
    }

    fn members_acting_on(&self, hash: ContentHash) -> usize {
        let is_acting = |node: &&Node| {
            let lease = node.member.lease(Topic::Rules);
            lease.version.is_some_and(|(_, content)| content == hash) && self.now < lease.until
        };
        self.nodes.iter().filter(is_acting).count()
    }
}

fn old_version() -> ContentHash {
    content(1, [1, 0, 0])
}

fn new_version() -> ContentHash {
    content(2, [2, 0, 0])
}

/// Returns a cluster in which all three members act on the old version.
fn cluster_on_old_version(mutant: Mutant) -> SmallCluster {
    let mut cluster = SmallCluster::new(mutant);
    cluster.run(3_000 * MS, &|_, _| true);
    cluster.handle_input(2, Input::Propose { topic: Topic::Rules, hash: old_version(), size: 9 });
    cluster.run(1_000 * MS, &|_, _| true);
    assert_eq!(cluster.members_acting_on(old_version()), 3);
    cluster
}

/// Tries every order of deliveries, with duplicated or lost messages, a restart, and time passing in between. The
/// search starts at the proposal and at several later points of the change, which are reached without faults.
#[test]
fn searches_message_orders_during_a_change() {
    let starts: Vec<usize> = (0..48).step_by(6).collect();
    let max_states = env_number("ACCORD_STATES").unwrap_or(8_000) / starts.len();
    for start in starts {
        let mut initial = cluster_on_old_version(Mutant::Unmodified);
        let proposer = usize::from((initial.leader() + 1) % 3);
        initial.handle_input(proposer, Input::Propose { topic: Topic::Rules, hash: new_version(), size: 9 });
        initial.in_flight.retain(|(_, _, message)| matches!(message, Message::Propose { .. }));
        for _ in 0..start {
            if initial.in_flight.is_empty() {
                break;
            }
            let (from, to, message) = initial.in_flight.remove(0);
            initial.handle_input(to.into(), Input::Message { from, message });
        }
        let (states, depth) = search_orders(initial, max_states);
        println!("after {start} messages: {states} states, complete to depth {depth}");
        assert!(depth >= 3, "the search from {start} is too shallow");
    }
}

/// Searches breadth first, so that every state up to some depth is visited. Returns the number of states and this
/// depth.
fn search_orders(initial: SmallCluster, max_states: usize) -> (usize, usize) {
    let mut seen = HashSet::from([initial.state_hash()]);
    let mut queue = VecDeque::from([(initial, 0, 1, 1)]);
    let mut complete_depth = None;
    while let Some((cluster, depth, duplicates, restarts)) = queue.pop_front() {
        if seen.len() >= max_states {
            complete_depth.get_or_insert(depth);
            continue;
        }
        let mut successors = Vec::new();
        for index in 0..cluster.in_flight.len() {
            let (from, to, message) = cluster.in_flight[index].clone();
            let mut successor = cluster.clone();
            successor.in_flight.remove(index);
            let name =
                format!("{from} -> {to} {}", format!("{message:?}").chars().take(24).collect::<String>());
            successor.path.push(name.clone());
            successor.handle_input(to.into(), Input::Message { from, message: message.clone() });
            successors.push((successor, duplicates, restarts));
            if duplicates > 0 {
                let mut duplicated = cluster.clone();
                duplicated.path.push(format!("{name} (duplicated)"));
                duplicated.handle_input(to.into(), Input::Message { from, message });
                successors.push((duplicated, duplicates - 1, restarts));
            }
        }
        let mut advanced = cluster.clone();
        advanced.now = advanced.next_timeout();
        advanced.path.push(format!("advance time to {}", advanced.now));
        advanced.tick_due();
        successors.push((advanced, duplicates, restarts));
        for index in 0..if restarts > 0 { 3 } else { 0 } {
            let mut successor = cluster.clone();
            successor.path.push(format!("restart {index}"));
            successor.restart(index, Disk::Kept);
            successors.push((successor, duplicates, restarts - 1));
        }
        for (mut successor, duplicates, restarts) in successors {
            successor.check();
            if seen.insert(successor.state_hash()) {
                queue.push_back((successor, depth + 1, duplicates, restarts));
            }
        }
    }
    (seen.len(), complete_depth.unwrap_or(usize::MAX))
}

/// The fault during one time slot.
#[derive(Clone, Copy, Debug)]
enum SlotFault {
    NoFault,
    Isolated(u16),
    CannotSend(u16),
    CannotReceive(u16),
    Stopped(u16),
    Restarted(u16),
    LostState(u16),
}

impl SlotFault {
    fn all() -> Vec<SlotFault> {
        let mut all = vec![SlotFault::NoFault];
        for index in 0..3 {
            all.extend([
                SlotFault::Isolated(index),
                SlotFault::CannotSend(index),
                SlotFault::CannotReceive(index),
                SlotFault::Stopped(index),
                SlotFault::Restarted(index),
            ]);
        }
        all
    }

    fn run(self, cluster: &mut SmallCluster, duration: i64) {
        cluster.path.push(format!("{self:?}"));
        match self {
            SlotFault::Restarted(index) => cluster.restart(index.into(), Disk::Kept),
            SlotFault::LostState(index) => cluster.restart(index.into(), Disk::Lost),
            SlotFault::Stopped(index) => cluster.nodes[usize::from(index)].stopped = true,
            _ => {}
        }
        cluster.run(duration, &|from, to| match self {
            SlotFault::Isolated(index) => from != index && to != index,
            SlotFault::CannotSend(index) => from != index,
            SlotFault::CannotReceive(index) => to != index,
            _ => true,
        });
        if let SlotFault::Stopped(index) = self {
            let node = &mut cluster.nodes[usize::from(index)];
            node.stopped = false;
            for input in std::mem::take(&mut node.queued_inputs) {
                cluster.handle_input(index.into(), input);
                cluster.check();
            }
            cluster.handle_input(index.into(), Input::Tick);
            cluster.check();
        }
    }
}

/// Whether the schedules include voters that restart without their state.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LostState {
    Included,
    Excluded,
}

/// Runs every schedule of faults in slots of different lengths. After the last slot, the cluster runs without faults,
/// and the new version must come in force at all members. Returns the number of schedules.
fn run_schedules(mutant: Mutant, loses_state: LostState, depth: usize, durations: &[i64]) -> usize {
    let mut initial = cluster_on_old_version(mutant);
    let proposer = usize::from((initial.leader() + 1) % 3);
    initial.handle_input(proposer, Input::Propose { topic: Topic::Rules, hash: new_version(), size: 9 });
    let mut faults = SlotFault::all();
    if loses_state == LostState::Included {
        faults.extend((0..3).map(SlotFault::LostState));
    }
    let mut stack = vec![(initial, 0, false)];
    let mut schedule_count = 0;
    while let Some((cluster, index, lost_state)) = stack.pop() {
        if index == depth {
            schedule_count += 1;
            let mut cluster = cluster;
            // A restarted proposer has lost its proposal and doesn't retry it, so all members propose the version
            // again.
            cluster.run(6_000 * MS, &|_, _| true);
            for node in 0..3 {
                cluster
                    .handle_input(node, Input::Propose { topic: Topic::Rules, hash: new_version(), size: 9 });
            }
            cluster.run(4_000 * MS, &|_, _| true);
            assert_eq!(
                cluster.members_acting_on(new_version()),
                3,
                "the new version is not in force at all members after {:?}",
                cluster.path
            );
            continue;
        }
        for &fault in &faults {
            let slot_loses_state = matches!(fault, SlotFault::LostState(_));
            // If two of three voters lose their state, a majority is lost and only an operator can restart the cluster.
            if lost_state && slot_loses_state {
                continue;
            }
            let mut next = cluster.clone();
            fault.run(&mut next, durations[index % durations.len()]);
            stack.push((next, index + 1, lost_state || slot_loses_state));
        }
    }
    schedule_count
}

/// No schedule of faults during a change to an incompatible version violates an invariant.
#[test]
fn searches_fault_schedules_during_a_change() {
    let depth = 2 + env_number("ACCORD_DEPTH").unwrap_or(0);
    let mut count = 0;
    // Short slots end within a phase of the change; long slots last longer than an election or a lease.
    for durations in
        [[3 * MS, 700 * MS, 1_300 * MS], [90 * MS, 1_500 * MS, 400 * MS], [1_000 * MS, 250 * MS, 2_600 * MS]]
    {
        count += run_schedules(Mutant::Unmodified, LostState::Included, depth, &durations);
    }
    println!("{count} schedules of {depth} slots");
}

/// The search detects a leader that activates a version too early.
#[test]
#[should_panic(expected = "members act on incompatible versions")]
fn search_finds_early_activation() {
    run_schedules(Mutant::EarlyActivation, LostState::Excluded, 2, &[3 * MS, 700 * MS]);
}
