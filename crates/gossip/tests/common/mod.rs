//! Simulation of a fleet in one process with virtual time and one seed. Datagrams are lost, delayed, duplicated and reordered.
#![allow(dead_code)] // Each test binary uses only some of these items.

use cottonnotch_gossip::wire::{Broadcast, Draft, Header, ReportedState, Section};
use cottonnotch_gossip::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
/// The Unix time in milliseconds at the virtual time 0.
pub const EPOCH: u64 = 1_796_000_000_000;

pub fn settings() -> Settings {
    GossipSection { strength: Some(Strength::Address), ..Default::default() }.check().unwrap().unwrap()
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives { from: Option<u32>, to: u32, bytes: Vec<u8> },
    Wakes(u32),
    Reports(u32),
}

pub struct Network {
    pub loss: f64,
    pub duplication: f64,
    pub delay: (Micros, Micros),
    /// Members in different partitions don't reach one another.
    pub partitions: Vec<u8>,
    /// Links that are cut in one direction: sender, receiver.
    pub cut: Vec<(u32, u32)>,
}

pub struct Node {
    pub gossip: Option<Gossip>,
    wakes_at: Micros,
    /// The node handles no event before this time.
    pub asleep_until: Micros,
    /// Maximum additional delay of each event for this node.
    pub slow: Micros,
    sent: VecDeque<(Micros, u64, u64)>,
    /// The last datagrams that the node sent, with their receivers, for a faulty peer to replay.
    pub recent: VecDeque<(To, Vec<u8>)>,
}

/// A change of state that a member reported: time, observing member, subject, the subject's state and incarnation.
pub type Belief = (Micros, u32, u32, State, Incarnation);

pub struct Fleet {
    pub seed: u64,
    pub rng: ChaCha8Rng,
    pub now: Micros,
    pub network: Network,
    pub nodes: Vec<Node>,
    pub settings: Settings,
    pub keys: Vec<Keys>,
    pub beliefs: Vec<Belief>,
    pub heard: Vec<(u32, u32, Vec<Entry>)>,
    pub endpoints: u32,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    events_pushed: u64,
}

impl Fleet {
    pub fn new(members: u32, seed: u64, settings: Settings) -> Self {
        Fleet::with_keys(members, seed, settings, vec![Keys::Address; members as usize])
    }

    pub fn with_keys(members: u32, seed: u64, settings: Settings, keys: Vec<Keys>) -> Self {
        let node = || Node {
            gossip: None,
            wakes_at: Micros::MAX,
            asleep_until: 0,
            slow: 0,
            sent: VecDeque::new(),
            recent: VecDeque::new(),
        };
        let mut fleet = Fleet {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            network: Network {
                loss: 0.0,
                duplication: 0.0,
                delay: (MS, 38 * MS),
                partitions: vec![0; members as usize],
                cut: Vec::new(),
            },
            nodes: (0..members).map(|_| node()).collect(),
            settings,
            keys,
            beliefs: Vec::new(),
            heard: Vec::new(),
            endpoints: 16,
            events: BinaryHeap::new(),
            events_pushed: 0,
        };
        (0..members).for_each(|member| fleet.start(member, EPOCH));
        fleet
    }

    pub fn members(&self) -> u32 {
        self.nodes.len() as u32
    }

    pub fn start(&mut self, member: u32, generation: u64) {
        let (members, seed) = (self.members(), self.rng.random());
        let keys = self.keys[member as usize].clone();
        let gossip = Gossip::new(self.settings.clone(), keys, member, members, generation, seed, self.now);
        self.nodes[member as usize].gossip = Some(gossip);
        // A new process does not know what the previous one sent, so its bandwidth limit begins anew.
        self.nodes[member as usize].sent.clear();
        self.after(member);
        let reports_at = self.now + self.rng.random_range(0..SECOND);
        self.push(reports_at, Event::Reports(member));
    }

    pub fn kill(&mut self, member: u32) {
        self.nodes[member as usize].gossip = None;
    }

    pub fn gossip(&self, member: u32) -> &Gossip {
        self.nodes[member as usize].gossip.as_ref().expect("a member that runs")
    }

    pub fn input(&mut self, member: u32, input: Input<'_>) {
        let now = self.now;
        if let Some(gossip) = &mut self.nodes[member as usize].gossip {
            gossip.handle(now, input);
        }
        self.after(member);
    }

    /// Delivers a datagram with this sender address, without the faults of the simulated network.
    pub fn inject(&mut self, from: Option<u32>, to: u32, bytes: Vec<u8>) {
        let at = self.now + MS;
        self.push(at, Event::Arrives { from, to, bytes });
    }

    pub fn state_seen_by(&self, member: u32, of: u32) -> State {
        self.gossip(member).members().find(|(ordinal, ..)| *ordinal == of).expect("a member").1
    }

    /// Returns the number of running members, except the subject, that believe the subject to be in this state, and the number
    /// of all of these running members.
    pub fn count_believing(&self, of: u32, state: State) -> (usize, usize) {
        let running: Vec<u32> = self.running().filter(|member| *member != of).collect();
        (running.iter().filter(|member| self.state_seen_by(**member, of) == state).count(), running.len())
    }

    pub fn running(&self) -> impl Iterator<Item = u32> {
        self.nodes.iter().zip(0u32..).filter(|(node, _)| node.gossip.is_some()).map(|(_, member)| member)
    }

    pub fn beliefs_since(&self, at: Micros, state: State) -> Vec<Belief> {
        self.beliefs.iter().filter(|belief| belief.0 >= at && belief.3 == state).copied().collect()
    }

    pub fn run_for(&mut self, span: Micros) {
        let until = self.now + span;
        while let Some(Reverse((at, ..))) = self.events.peek()
            && *at <= until
        {
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = at;
            self.process(event);
        }
        self.now = until;
    }

    /// Runs until `condition` holds and returns how long that took, or `None` if it does not hold within this time. The condition
    /// is checked every 50 ms.
    pub fn run_until(&mut self, within: Micros, condition: impl Fn(&Fleet) -> bool) -> Option<Micros> {
        let began = self.now;
        while !condition(self) {
            if self.now - began >= within {
                return None;
            }
            self.run_for(50 * MS);
        }
        Some(self.now - began)
    }

    fn push(&mut self, at: Micros, event: Event) {
        self.events_pushed += 1;
        self.events.push(Reverse((at, self.events_pushed, event)));
    }

    fn process(&mut self, event: Event) {
        let member = match event {
            Event::Arrives { to, .. } => to,
            Event::Wakes(member) | Event::Reports(member) => member,
        };
        let node = &self.nodes[member as usize];
        if node.asleep_until > self.now {
            let at = node.asleep_until;
            return self.push(at, event);
        }
        match event {
            Event::Arrives { from, to, bytes } => self.input(to, Input::Datagram { from, bytes: &bytes }),
            Event::Wakes(_) if node.wakes_at > self.now => {}
            Event::Wakes(_) => {
                self.nodes[member as usize].wakes_at = Micros::MAX;
                self.input(member, Input::Tick);
            }
            Event::Reports(_) if node.gossip.is_none() => {}
            Event::Reports(_) => {
                let entries = (0..self.endpoints).map(|n| self.entry(n)).collect();
                self.input(member, Input::LocalState(entries));
                self.push(self.now + SECOND, Event::Reports(member));
            }
        }
    }

    fn entry(&mut self, number: u32) -> Entry {
        let connections = self.rng.random_range(1..40);
        Entry {
            endpoint: EndpointDigest::of(&format!("s-{number}")),
            connections,
            load: Load::from_micros_per_s(u64::from(connections) * self.rng.random_range(5_000..20_000)),
            groups: self.rng.random(),
            evidence: Evidence { served: self.rng.random_range(0..9), age_tenths: 3, ..Default::default() },
        }
    }

    fn after(&mut self, member: u32) {
        let place = member as usize;
        while let Some(output) = self.nodes[place].gossip.as_mut().and_then(Gossip::poll) {
            match output {
                Output::Send { to, bytes } => self.send(member, to, bytes),
                Output::Member { ordinal, state, incarnation } => {
                    self.beliefs.push((self.now, member, ordinal, state, incarnation));
                }
                Output::PeerReport { from, entries } => self.heard.push((member, from, entries)),
            }
        }
        let now = self.now;
        let node = &mut self.nodes[place];
        let Some(gossip) = &node.gossip else { return };
        let late = if node.slow > 0 { self.rng.random_range(0..=node.slow) } else { 0 };
        let due = gossip.next_timeout().max(now).saturating_add(late);
        if due < node.wakes_at {
            node.wakes_at = due;
            self.push(due, Event::Wakes(member));
        }
    }

    fn send(&mut self, from: u32, to: To, bytes: Vec<u8>) {
        let receivers: Vec<u32> = match to {
            To::One(one) => vec![one],
            To::All => (0..self.members()).filter(|other| *other != from).collect(),
        };
        self.check_bandwidth(from, receivers.len() as u64, bytes.len() as u64);
        let recent = &mut self.nodes[from as usize].recent;
        recent.push_back((to, bytes.clone()));
        if recent.len() > 64 {
            recent.pop_front();
        }
        for to in receivers {
            let partitioned = self.network.partitions[from as usize] != self.network.partitions[to as usize];
            if partitioned || self.network.cut.contains(&(from, to)) {
                continue;
            }
            let copies = 1 + u32::from(self.rng.random_bool(self.network.duplication));
            for _ in 0..copies {
                if self.rng.random_bool(self.network.loss) {
                    continue;
                }
                let (least, most) = self.network.delay;
                let slow = self.nodes[to as usize].slow;
                let late = if slow > 0 { self.rng.random_range(0..=slow) } else { 0 };
                let at = self.now + self.rng.random_range(least..=most) + late;
                self.push(at, Event::Arrives { from: Some(from), to, bytes: bytes.clone() });
            }
        }
    }

    /// Asserts that the member stays within its bandwidth limit in every second, and that no datagram is too long.
    fn check_bandwidth(&mut self, member: u32, copies: u64, bytes: u64) {
        assert!(bytes <= 256, "seed {}: member {member} sent {bytes} bytes", self.seed);
        let now = self.now;
        let sent = &mut self.nodes[member as usize].sent;
        sent.push_back((now, copies, copies * bytes));
        while sent.front().is_some_and(|(at, ..)| *at <= now - SECOND) {
            sent.pop_front();
        }
        let (copies, bytes) = sent.iter().fold((0, 0), |sum, one| (sum.0 + one.1, sum.1 + one.2));
        let allowed = (u64::from(self.settings.datagrams_per_s), u64::from(self.settings.bytes_per_s));
        assert!(
            copies <= allowed.0 && bytes <= allowed.1,
            "seed {}: member {member} sent {copies} datagrams, {bytes} bytes in the second to {now}",
            self.seed
        );
    }
}

/// Writes a datagram as a correct member would.
pub fn write(
    keys: &Keys,
    sender: u32,
    incarnation: Incarnation,
    counter: u64,
    to: To,
    sections: &[Section],
) -> Vec<u8> {
    let header = Header {
        strength: keys.strength(),
        to_all: to == To::All,
        sender: sender as u16,
        incarnation,
        counter,
    };
    let mut draft = Draft::new(&header, 256);
    sections.iter().for_each(|section| assert!(draft.push(section), "{section:?} does not fit"));
    draft.finish(keys, to)
}

pub fn broadcast(subject: u32, incarnation: Incarnation, state: ReportedState) -> Broadcast {
    Broadcast { subject: subject as u16, incarnation, state }
}

/// Returns the median and the worst of the times, in seconds.
pub fn median_and_worst(times: &mut [Micros]) -> (f64, f64) {
    times.sort_unstable();
    let seconds = |time: Option<&Micros>| time.map_or(f64::NAN, |time| *time as f64 / SECOND as f64);
    (seconds(times.get(times.len() / 2)), seconds(times.last()))
}
