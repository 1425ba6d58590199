//! The members, their clocks, the links between them.

use super::oracle::Oracle;
use super::time::{Clock, Event};
use super::{contradict, runs_at};
use cottonnotch_consensus::{
    Config, ContentHash, DurableState, Input, Member, Message, Mutant, Output, ProposalOutcome, Role, Status,
    Timing, Topic, Verdict,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, BinaryHeap};

pub const MS: i64 = 1_000;

#[derive(Debug)]
pub enum What {
    Tick { process: usize, timer: u64 },
    Deliver { from: u16, to: u16, message: Message },
    Input { process: usize, input: Input },
}

/// A process: one life of a member.
pub struct Process {
    pub ordinal: u16,
    pub member: Member,
    pub clock: Clock,
    pub stopped: bool,
    pub alive: bool,
    /// Comes to it once it goes on.
    queued: Vec<Input>,
    timer: u64,
    /// Crashes in the midst of its outputs, so many from now.
    dies_after: Option<u32>,
}

#[derive(Clone, Debug)]
pub struct Net {
    pub least: i64,
    pub most: i64,
    /// In thousandths.
    pub loss: u32,
    pub doubled: u32,
}

impl Default for Net {
    fn default() -> Self {
        Self { least: MS / 5, most: MS, loss: 0, doubled: 0 }
    }
}

#[derive(Default, Debug, Clone, Copy)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
    pub largest: usize,
}

pub struct World {
    pub seed: u64,
    pub now: i64,
    pub chance: ChaCha8Rng,
    pub timing: Timing,
    pub members: u16,
    pub voters: Vec<u16>,
    pub processes: Vec<Process>,
    /// By ordinal: its process that hears.
    pub at: Vec<Option<usize>>,
    /// By ordinal: what its disk has.
    pub disks: Vec<Option<DurableState>>,
    /// Members that can't get contents.
    pub fetch_fails: BTreeSet<u16>,
    /// By ordinal: contents its disk has.
    pub contents: Vec<BTreeSet<ContentHash>>,
    pub net: Net,
    pub cut: BTreeSet<(u16, u16)>,
    pub oracle: Oracle,
    pub over: Vec<(u16, Topic, ContentHash, ProposalOutcome)>,
    pub behind: Vec<(u16, u64)>,
    pub mutant: Mutant,
    pub traffic: Traffic,
    /// What each member sent and what it was sent, lost or not.
    pub sent: Vec<Traffic>,
    pub taken: Vec<Traffic>,
    /// Contents that each member handed out: whom the accord names first is asked first, as the daemon does.
    pub handed_out: Vec<u64>,
    /// Times a process's timer came due.
    pub ticks: u64,
    /// Whether sizes are counted; costs an encoding a message.
    pub weigh: bool,
    /// Clocks err by up to this.
    pub ppm: i64,
    /// How long a member takes to fetch and compile, at most.
    pub fetching: i64,
    events: BinaryHeap<Event>,
    order: u64,
    incarnations: u64,
}

impl World {
    pub fn new(seed: u64, members: u16, voters: u16, timing: Timing, mutant: Mutant) -> Self {
        let mut world = Self::empty(seed, members, voters, timing, mutant);
        for ordinal in 0..members {
            let durable_state = world.voters.contains(&ordinal).then(DurableState::initial);
            world.disks[usize::from(ordinal)] = durable_state.clone();
            world.start(ordinal, durable_state);
        }
        world
    }

    pub fn empty(seed: u64, members: u16, voters: u16, timing: Timing, mutant: Mutant) -> Self {
        let ppm = i64::from(timing.drift_ppm);
        Self {
            seed,
            now: 0,
            chance: ChaCha8Rng::seed_from_u64(seed),
            timing,
            members,
            voters: (0..voters).collect(),
            processes: Vec::new(),
            at: vec![None; members.into()],
            disks: vec![None; members.into()],
            contents: vec![BTreeSet::new(); members.into()],
            fetch_fails: BTreeSet::new(),
            net: Net::default(),
            cut: BTreeSet::new(),
            oracle: Oracle::default(),
            over: Vec::new(),
            behind: Vec::new(),
            mutant,
            traffic: Traffic::default(),
            sent: vec![Traffic::default(); members.into()],
            taken: vec![Traffic::default(); members.into()],
            handed_out: vec![0; members.into()],
            ticks: 0,
            weigh: false,
            ppm,
            fetching: 20 * MS,
            events: BinaryHeap::new(),
            order: 0,
            incarnations: 0,
        }
    }

    /// A new process of this member; the one before, if it still lives, no longer hears.
    pub fn start(&mut self, ordinal: u16, durable_state: Option<DurableState>) -> usize {
        self.incarnations += 1;
        let clock = Clock {
            offset: self.chance.random_range(-1_000_000_000..1_000_000_000),
            // The ends of the range are where leases go wrong.
            ppm: match self.chance.random_range(0..4) {
                0 => -self.ppm,
                1 => self.ppm,
                _ => self.chance.random_range(-self.ppm..=self.ppm),
            },
        };
        let config = Config {
            ordinal,
            members: self.members,
            voters: self.voters.clone(),
            timing: self.timing,
            incarnation: self.incarnations,
        };
        config.check().unwrap();
        let mut member = Member::new(config, clock.own(self.now), durable_state, self.chance.random());
        member.mutate(self.mutant);
        let process = self.processes.len();
        self.processes.push(Process {
            ordinal,
            member,
            clock,
            stopped: false,
            alive: true,
            queued: Vec::new(),
            timer: 0,

            dies_after: None,
        });
        self.at[usize::from(ordinal)] = Some(process);
        self.set_timer(process);
        process
    }

    /// The process ends; what its disk has stays, unless lost too.
    pub fn crash(&mut self, ordinal: u16, forgets: bool) {
        if let Some(process) = self.at[usize::from(ordinal)].take() {
            self.processes[process].alive = false;
            self.oracle.gone(process);
        }
        if forgets {
            self.disks[usize::from(ordinal)] = None;
            self.contents[usize::from(ordinal)].clear();
        }
    }

    /// Ends in the midst of what it does next.
    pub fn crash_midway(&mut self, ordinal: u16, after: u32) {
        if let Some(process) = self.at[usize::from(ordinal)] {
            self.processes[process].dies_after = Some(after);
        }
    }

    pub fn restart(&mut self, ordinal: u16) {
        if self.at[usize::from(ordinal)].is_none() {
            let durable_state = self.disks[usize::from(ordinal)].clone();
            self.start(ordinal, durable_state);
        }
    }

    pub fn stop(&mut self, ordinal: u16) {
        if let Some(process) = self.at[usize::from(ordinal)] {
            self.processes[process].stopped = true;
        }
    }

    /// Goes on, and takes what came meanwhile, in any order its threads may.
    pub fn go_on(&mut self, process: usize) {
        if !self.processes[process].alive || !self.processes[process].stopped {
            return;
        }
        self.processes[process].stopped = false;
        for input in std::mem::take(&mut self.processes[process].queued) {
            self.give(process, input);
        }
        self.give(process, Input::Tick);
    }

    pub fn cut_both(&mut self, one: u16, other: u16) {
        self.cut.insert((one, other));
        self.cut.insert((other, one));
    }

    pub fn cut_off(&mut self, ordinal: u16) {
        for other in 0..self.members {
            self.cut_both(ordinal, other);
        }
    }

    fn push(&mut self, at: i64, what: What) {
        self.order += 1;
        self.events.push(Event { at: at.max(self.now), order: self.order, what });
    }

    fn set_timer(&mut self, process: usize) {
        let one = &mut self.processes[process];
        one.timer += 1;
        let (timer, at) = (one.timer, one.clock.real(one.member.next_timeout()));
        if at < i64::MAX {
            self.push(at, What::Tick { process, timer });
        }
    }

    pub fn input(&mut self, ordinal: u16, input: Input) {
        if let Some(process) = self.at[usize::from(ordinal)] {
            self.give(process, input);
        }
    }

    pub fn propose(&mut self, ordinal: u16, topic: Topic, hash: ContentHash) {
        if let Some(process) = self.at[usize::from(ordinal)] {
            self.contents[usize::from(ordinal)].insert(hash);
            self.give(process, Input::Propose { topic, hash, size: 1_000 });
        }
    }

    fn give(&mut self, process: usize, input: Input) {
        let one = &mut self.processes[process];
        if !one.alive {
            return;
        }
        if one.stopped {
            if one.queued.len() < 10_000 {
                one.queued.push(input);
            }
            return;
        }
        let own = one.clock.own(self.now);
        one.member.handle(own, input);
        while let Some(output) = self.processes[process].member.poll() {
            let ordinal = self.processes[process].ordinal;
            match &mut self.processes[process].dies_after {
                Some(0) if self.at[usize::from(ordinal)] == Some(process) => {
                    return self.crash(ordinal, false);
                }
                Some(left) => *left = left.saturating_sub(1),
                None => {}
            }
            self.carry_out(process, output);
        }
        self.set_timer(process);
    }

    fn carry_out(&mut self, process: usize, output: Output) {
        let ordinal = self.processes[process].ordinal;
        match output {
            Output::Send { to, message } => self.transmit(ordinal, to, message),
            Output::Save(durable_state) => self.disks[usize::from(ordinal)] = Some(durable_state),
            Output::Check { topic, hash, against } => {
                let verdict = if hash[8] == 1 {
                    Verdict::Rejected
                } else {
                    let agreeing = against.iter().rev().take_while(|(_, other)| !contradict(&hash, other));
                    agreeing.last().map_or(Verdict::Incompatible, |&(from, _)| Verdict::Compatible { from })
                };
                let at = self.now + 5 * MS;
                self.push(at, What::Input { process, input: Input::Checked { topic, hash, verdict } });
            }
            Output::Fetch { hash, from, .. } => {
                let own = self.contents[usize::from(ordinal)].contains(&hash);
                let source = from.iter().copied().find(|&source| {
                    let reached =
                        !self.cut.contains(&(source, ordinal)) && !self.cut.contains(&(ordinal, source));
                    reached
                        && self.at[usize::from(source)].is_some_and(|source| {
                            let ordinal = usize::from(self.processes[source].ordinal);
                            !self.processes[source].stopped && self.contents[ordinal].contains(&hash)
                        })
                });
                if !own && source.is_none() || self.fetch_fails.contains(&ordinal) {
                    return;
                }
                if let Some(source) = source.filter(|_| !own) {
                    self.handed_out[usize::from(source)] += 1;
                }
                let at = self.now + self.chance.random_range(MS..=self.fetching);
                let input = if runs_at(&hash, ordinal) {
                    Input::ContentReady { hash }
                } else {
                    Input::ContentUnsupported { hash }
                };
                self.push(at, What::Input { process, input });
            }
            Output::LeaseChanged(right) => {
                let until = self.processes[process].clock.real(right.until);
                self.oracle.lease(self.now, process, right, until);
            }
            Output::ProposalFinished { topic, hash, outcome } => {
                self.over.push((ordinal, topic, hash, outcome))
            }
            Output::ListOutdated { revision } => self.behind.push((ordinal, revision)),
        }
    }

    fn transmit(&mut self, from: u16, to: u16, message: Message) {
        if self.weigh {
            let bytes = postcard::to_allocvec(&message).unwrap();
            assert_eq!(postcard::from_bytes::<Message>(&bytes).unwrap(), message);
            self.traffic.bytes += bytes.len() as u64;
            self.traffic.largest = self.traffic.largest.max(bytes.len());
            self.sent[usize::from(from)].bytes += bytes.len() as u64;
            self.taken[usize::from(to)].bytes += bytes.len() as u64;
        }
        self.traffic.messages += 1;
        self.sent[usize::from(from)].messages += 1;
        self.taken[usize::from(to)].messages += 1;
        let copies = if self.chance.random_range(0..1_000) < self.net.doubled { 2 } else { 1 };
        for _ in 0..copies {
            if self.cut.contains(&(from, to)) || self.chance.random_range(0..1_000) < self.net.loss {
                continue;
            }
            let delay = self.chance.random_range(self.net.least..=self.net.most);
            // Now and then one comes very late.
            let delay =
                if self.net.loss > 0 && self.chance.random_range(0..200) == 0 { delay * 50 } else { delay };
            self.push(self.now + delay, What::Deliver { from, to, message: message.clone() });
        }
    }

    /// Runs on for so long, or to the first violation.
    pub fn run(&mut self, span: i64) {
        let end = self.now + span;
        while self.oracle.violation.is_none() && self.events.peek().is_some_and(|event| event.at <= end) {
            let Some(event) = self.events.pop() else { break };
            self.now = event.at;
            match event.what {
                What::Tick { process, timer } => {
                    if self.processes[process].timer == timer {
                        self.ticks += 1;
                        self.give(process, Input::Tick);
                    }
                }
                What::Deliver { from, to, message } => {
                    if let Some(process) = self.at[usize::from(to)] {
                        self.give(process, Input::Message { from, message });
                    }
                }
                What::Input { process, input } => {
                    if let Input::ContentReady { hash } = &input {
                        let ordinal = usize::from(self.processes[process].ordinal);
                        self.contents[ordinal].insert(*hash);
                    }
                    self.give(process, input);
                }
            }
        }
        self.now = end;
    }

    /// Runs until it holds, at most so long; how long it took.
    pub fn run_until(&mut self, most: i64, mut holds: impl FnMut(&World) -> bool) -> Option<i64> {
        let begin = self.now;
        let step = if self.members > 50 { 10 * MS } else { 2 * MS };
        while self.now < begin + most {
            if holds(self) {
                return Some(self.now - begin);
            }
            if self.oracle.violation.is_some() {
                return None;
            }
            self.run(step);
        }
        holds(self).then_some(self.now - begin)
    }

    pub fn status(&self, ordinal: u16) -> Option<Status> {
        self.at[usize::from(ordinal)].map(|process| self.processes[process].member.status())
    }

    /// The voter that leads, by its own clock.
    pub fn leader(&self) -> Option<u16> {
        self.voters.iter().copied().find(|&voter| {
            let Some(process) = self.at[usize::from(voter)] else { return false };
            let one = &self.processes[process];
            let status = one.member.status();
            status.role == Role::Leader
                && !one.stopped
                && status.authority_until.is_some_and(|until| one.clock.own(self.now) < until)
        })
    }

    /// Members whose process may act on this content now.
    pub fn acting_on(&self, topic: Topic, hash: ContentHash) -> usize {
        let acts = |process: &&usize| {
            let one = &self.processes[**process];
            let right = one.member.lease(topic);
            right.version.is_some_and(|(_, held)| held == hash) && one.clock.own(self.now) < right.until
        };
        self.at.iter().flatten().filter(acts).count()
    }

    /// Everything works again.
    pub fn heal(&mut self) {
        self.cut.clear();
        self.net = Net::default();
        for process in 0..self.processes.len() {
            self.processes[process].dies_after = None;
            self.go_on(process);
        }
        for ordinal in 0..self.members {
            self.restart(ordinal);
        }
    }

    /// Processes that a newer life took the place of end.
    pub fn end_old_lives(&mut self) {
        for process in 0..self.processes.len() {
            let ordinal = self.processes[process].ordinal;
            if self.at[usize::from(ordinal)] != Some(process) {
                self.processes[process].alive = false;
                self.oracle.gone(process);
            }
        }
    }

    /// Fails the test if the oracle or a member found something broken.
    pub fn sound(&self) {
        if let Some(violation) = &self.oracle.violation {
            panic!("seed {}, at {} us: {violation}", self.seed, self.now);
        }
        for process in &self.processes {
            let broken = process.member.status().invariant_violations;
            assert_eq!(broken, 0, "seed {}: member {} counts broken invariants", self.seed, process.ordinal);
        }
    }
}
