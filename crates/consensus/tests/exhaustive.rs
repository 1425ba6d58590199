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
use common::{content, contradict};
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
    queued: Vec<Input>,
    incarnation: u64,
}

/// Three voters that share one clock. Messages wait until the search delivers them, which may happen in any order or
/// never.
#[derive(Clone)]
struct SmallCluster {
    now: i64,
    nodes: Vec<Node>,
    flight: Vec<(u16, u16, Message)>,
    named: BTreeMap<u64, ContentHash>,
    leaders: BTreeMap<u64, u16>,
    mutant: Mutant,
    path: Vec<String>,
}

fn env(name: &str) -> Option<usize> {
    std::env::var(name).ok()?.parse().ok()
}

impl SmallCluster {
    fn begin(mutant: Mutant) -> Self {
        let mut cluster = Self {
            now: 0,
            nodes: Vec::new(),
            flight: Vec::new(),
            named: BTreeMap::new(),
            leaders: BTreeMap::new(),
            mutant,
            path: Vec::new(),
        };
        for at in 0..3 {
            let durable_state = Some(DurableState::initial());
            let member = cluster.member(at, 1, durable_state.clone());
            cluster.nodes.push(Node {
                member,
                durable_state,
                stopped: false,
                queued: Vec::new(),
                incarnation: 1,
            });
        }
        cluster
    }

    fn member(&self, at: u16, incarnation: u64, durable_state: Option<DurableState>) -> Member {
        let timing = Timing { drift_ppm: 0, ..Timing::default() };
        let config = Config { ordinal: at, members: 3, voters: vec![0, 1, 2], timing, incarnation };
        let mut member = Member::new(config, self.now, durable_state, u64::from(at) + 10 * incarnation);
        member.mutate(self.mutant);
        member
    }

    fn give(&mut self, at: usize, input: Input) {
        if self.nodes[at].stopped {
            return self.nodes[at].queued.push(input);
        }
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            self.nodes[at].member.handle(self.now, input);
            while let Some(output) = self.nodes[at].member.poll() {
                match output {
                    Output::Send { to, message } => self.flight.push((at as u16, to, message)),
                    Output::Save(durable_state) => self.nodes[at].durable_state = Some(durable_state),
                    Output::Check { topic, hash, against } => {
                        let contradicts = against.iter().any(|(_, other)| contradict(&hash, other));
                        let from = against.first().map_or(0, |first| first.0);
                        let verdict =
                            if contradicts { Verdict::Incompatible } else { Verdict::Compatible { from } };
                        inputs.push_back(Input::Checked { topic, hash, verdict });
                    }
                    Output::Fetch { hash, .. } => inputs.push_back(Input::ContentReady { hash }),
                    _ => {}
                }
            }
        }
    }

    fn restart(&mut self, at: usize, disk: Disk) {
        let durable_state = self.nodes[at].durable_state.clone().filter(|_| disk == Disk::Kept);
        let incarnation = self.nodes[at].incarnation + 1;
        let member = self.member(at as u16, incarnation, durable_state.clone());
        self.nodes[at] = Node { member, durable_state, stopped: false, queued: Vec::new(), incarnation };
    }

    fn next_timeout(&self) -> i64 {
        let awake = self.nodes.iter().filter(|node| !node.stopped);
        awake.map(|node| node.member.next_timeout()).min().unwrap_or(i64::MAX).max(self.now)
    }

    fn tick_due(&mut self) {
        for at in 0..3 {
            if !self.nodes[at].stopped && self.nodes[at].member.next_timeout() <= self.now {
                self.give(at, Input::Tick);
            }
        }
    }

    /// Runs for this long. Messages arrive immediately and in order if `up` allows their link; other messages are lost.
    fn run(&mut self, span: i64, up: &dyn Fn(u16, u16) -> bool) {
        let end = self.now + span;
        let mut steps = 0;
        loop {
            while !self.flight.is_empty() {
                let (from, to, message) = self.flight.remove(0);
                if up(from, to) {
                    self.give(to.into(), Input::Message { from, message });
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
    fn broken(&mut self) -> Option<String> {
        for topic in Topic::ALL {
            let leases: Vec<_> = self.nodes.iter().map(|node| node.member.lease(topic)).collect();
            let acting: Vec<(u64, ContentHash)> = leases
                .iter()
                .filter(|lease| self.now < lease.until)
                .filter_map(|lease| lease.version)
                .collect();
            for (at, one) in acting.iter().enumerate() {
                if let Some(other) = acting[at..].iter().find(|other| contradict(&one.1, &other.1)) {
                    return Some(format!("members act on incompatible versions {} and {}", one.0, other.0));
                }
                if topic == Topic::Rules && *self.named.entry(one.0).or_insert(one.1) != one.1 {
                    return Some(format!("number {} identifies two versions", one.0));
                }
            }
        }
        for (at, node) in self.nodes.iter().enumerate() {
            let status = node.member.status();
            if status.invariant_violations > 0 {
                return Some(format!("member {at} detected an invariant violation"));
            }
            if status.role == Role::Leader
                && *self.leaders.entry(status.term).or_insert(at as u16) != at as u16
            {
                return Some(format!("two leaders in term {}", status.term));
            }
        }
        None
    }

    fn check(&mut self) {
        if let Some(broken) = self.broken() {
            panic!("{broken} at {} us, after {:?}", self.now, self.path);
        }
    }

    fn key(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.now.hash(&mut hasher);
        let mut flight: Vec<u64> = Vec::new();
        for message in &self.flight {
            let mut hasher = DefaultHasher::new();
            message.hash(&mut hasher);
            flight.push(hasher.finish());
        }
        flight.sort_unstable();
        flight.hash(&mut hasher);
        for node in &self.nodes {
            format!("{:?}", node.member).hash(&mut hasher);
            (node.stopped, node.incarnation).hash(&mut hasher);
        }
        hasher.finish()
    }

    fn leader(&self) -> u16 {
        let leads = |node: &Node| node.member.status().role == Role::Leader;
        self.nodes.iter().position(leads).unwrap_or_default() as u16
    }

    fn on(&self, hash: ContentHash) -> usize {
        let acts = |node: &&Node| {
            let lease = node.member.lease(Topic::Rules);
            lease.version.is_some_and(|(_, content)| content == hash) && self.now < lease.until
        };
        self.nodes.iter().filter(acts).count()
    }
}

fn old() -> ContentHash {
    content(1, [1, 0, 0])
}

fn new() -> ContentHash {
    content(2, [2, 0, 0])
}

/// Returns a cluster in which all three members act on the old version.
fn acting(mutant: Mutant) -> SmallCluster {
    let mut cluster = SmallCluster::begin(mutant);
    cluster.run(3_000 * MS, &|_, _| true);
    cluster.give(2, Input::Propose { topic: Topic::Rules, hash: old(), size: 9 });
    cluster.run(1_000 * MS, &|_, _| true);
    assert_eq!(cluster.on(old()), 3);
    cluster
}

/// Tries every order of deliveries, with duplicated or lost messages, a restart, and time passing in between. The
/// search starts at the proposal and at several later points of the change, which are reached without faults.
#[test]
fn searches_message_orders_during_a_change() {
    let starts: Vec<usize> = (0..48).step_by(6).collect();
    let most = env("ACCORD_STATES").unwrap_or(8_000) / starts.len();
    for start in starts {
        let mut first = acting(Mutant::Unmodified);
        let proposer = usize::from((first.leader() + 1) % 3);
        first.give(proposer, Input::Propose { topic: Topic::Rules, hash: new(), size: 9 });
        first.flight.retain(|(_, _, message)| matches!(message, Message::Propose { .. }));
        for _ in 0..start {
            if first.flight.is_empty() {
                break;
            }
            let (from, to, message) = first.flight.remove(0);
            first.give(to.into(), Input::Message { from, message });
        }
        let (states, depth) = orders_from(first, most);
        println!("after {start} messages: {states} states, complete to depth {depth}");
        assert!(depth >= 3, "the search from {start} is too shallow");
    }
}

/// Searches breadth first, so that every state up to some depth is visited. Returns the number of states and this
/// depth.
fn orders_from(first: SmallCluster, most: usize) -> (usize, usize) {
    let mut seen = HashSet::from([first.key()]);
    let mut queue = VecDeque::from([(first, 0, 1, 1)]);
    let mut whole = None;
    while let Some((cluster, depth, doubles, restarts)) = queue.pop_front() {
        if seen.len() >= most {
            whole.get_or_insert(depth);
            continue;
        }
        let mut next = Vec::new();
        for at in 0..cluster.flight.len() {
            let (from, to, message) = cluster.flight[at].clone();
            let mut one = cluster.clone();
            one.flight.remove(at);
            let name =
                format!("{from} -> {to} {}", format!("{message:?}").chars().take(24).collect::<String>());
            one.path.push(name.clone());
            one.give(to.into(), Input::Message { from, message: message.clone() });
            next.push((one, doubles, restarts));
            if doubles > 0 {
                let mut two = cluster.clone();
                two.path.push(format!("{name} (duplicated)"));
                two.give(to.into(), Input::Message { from, message });
                next.push((two, doubles - 1, restarts));
            }
        }
        let mut later = cluster.clone();
        later.now = later.next_timeout();
        later.path.push(format!("advance time to {}", later.now));
        later.tick_due();
        next.push((later, doubles, restarts));
        for at in 0..if restarts > 0 { 3 } else { 0 } {
            let mut one = cluster.clone();
            one.path.push(format!("restart {at}"));
            one.restart(at, Disk::Kept);
            next.push((one, doubles, restarts - 1));
        }
        for (mut one, doubles, restarts) in next {
            one.check();
            if seen.insert(one.key()) {
                queue.push_back((one, depth + 1, doubles, restarts));
            }
        }
    }
    (seen.len(), whole.unwrap_or(usize::MAX))
}

/// The fault during one time slot.
#[derive(Clone, Copy, Debug)]
enum Slot {
    Calm,
    CutOff(u16),
    Mute(u16),
    Deaf(u16),
    Stopped(u16),
    Restarted(u16),
    LostState(u16),
}

impl Slot {
    fn all() -> Vec<Slot> {
        let mut all = vec![Slot::Calm];
        for at in 0..3 {
            all.extend([
                Slot::CutOff(at),
                Slot::Mute(at),
                Slot::Deaf(at),
                Slot::Stopped(at),
                Slot::Restarted(at),
            ]);
        }
        all
    }

    fn run(self, cluster: &mut SmallCluster, span: i64) {
        cluster.path.push(format!("{self:?}"));
        match self {
            Slot::Restarted(at) => cluster.restart(at.into(), Disk::Kept),
            Slot::LostState(at) => cluster.restart(at.into(), Disk::Lost),
            Slot::Stopped(at) => cluster.nodes[usize::from(at)].stopped = true,
            _ => {}
        }
        cluster.run(span, &|from, to| match self {
            Slot::CutOff(at) => from != at && to != at,
            Slot::Mute(at) => from != at,
            Slot::Deaf(at) => to != at,
            _ => true,
        });
        if let Slot::Stopped(at) = self {
            let node = &mut cluster.nodes[usize::from(at)];
            node.stopped = false;
            for input in std::mem::take(&mut node.queued) {
                cluster.give(at.into(), input);
                cluster.check();
            }
            cluster.give(at.into(), Input::Tick);
            cluster.check();
        }
    }
}

/// Whether the schedules include voters that restart without their state.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LostState {
    Tried,
    Skipped,
}

/// Runs every schedule of faults in slots of different lengths. After the last slot, the cluster runs without faults,
/// and the new version must come in force at all members. Returns the number of schedules.
fn run_schedules(mutant: Mutant, loses_state: LostState, depth: usize, spans: &[i64]) -> usize {
    let mut first = acting(mutant);
    let proposer = usize::from((first.leader() + 1) % 3);
    first.give(proposer, Input::Propose { topic: Topic::Rules, hash: new(), size: 9 });
    let mut slots = Slot::all();
    if loses_state == LostState::Tried {
        slots.extend((0..3).map(Slot::LostState));
    }
    let mut stack = vec![(first, 0, false)];
    let mut run_schedules = 0;
    while let Some((cluster, at, lost_state)) = stack.pop() {
        if at == depth {
            run_schedules += 1;
            let mut cluster = cluster;
            // A restarted proposer has lost its proposal and doesn't retry it, so all members propose the version
            // again.
            cluster.run(6_000 * MS, &|_, _| true);
            for node in 0..3 {
                cluster.give(node, Input::Propose { topic: Topic::Rules, hash: new(), size: 9 });
            }
            cluster.run(4_000 * MS, &|_, _| true);
            assert_eq!(
                cluster.on(new()),
                3,
                "the new version is not in force at all members after {:?}",
                cluster.path
            );
            continue;
        }
        for &slot in &slots {
            let losing_state = matches!(slot, Slot::LostState(_));
            // If two of three voters lose their state, a majority is lost and only an operator can restart the cluster.
            if lost_state && losing_state {
                continue;
            }
            let mut next = cluster.clone();
            slot.run(&mut next, spans[at % spans.len()]);
            stack.push((next, at + 1, lost_state || losing_state));
        }
    }
    run_schedules
}

/// No schedule of faults during a change to an incompatible version violates an invariant.
#[test]
fn searches_fault_schedules_during_a_change() {
    let depth = 2 + env("ACCORD_DEPTH").unwrap_or(0);
    let mut count = 0;
    // Short slots end within a phase of the change; long slots last longer than an election or a lease.
    for spans in
        [[3 * MS, 700 * MS, 1_300 * MS], [90 * MS, 1_500 * MS, 400 * MS], [1_000 * MS, 250 * MS, 2_600 * MS]]
    {
        count += run_schedules(Mutant::Unmodified, LostState::Tried, depth, &spans);
    }
    println!("{count} schedules of {depth} slots");
}

/// The search detects a leader that activates a version too early.
#[test]
#[should_panic(expected = "members act on incompatible versions")]
fn search_finds_early_activation() {
    run_schedules(Mutant::EarlyActivation, LostState::Skipped, 2, &[3 * MS, 700 * MS]);
}
