//! The simulated cluster: its members, their clocks and the links between them.

use super::oracle::Oracle;
use super::time::{Clock, Event};
use super::{are_incompatible, can_run_at};
use cottonnotch_consensus::{
    Config, ContentHash, DurableState, Input, Member, Message, Mutant, Output, ProposalOutcome, Role, Status,
    Timing, Topic, Verdict,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, BinaryHeap};

/// One millisecond, in microseconds.
pub const MS: i64 = 1_000;

#[derive(Debug)]
pub enum EventKind {
    Tick { process: usize, timer: u64 },
    Deliver { from: u16, to: u16, message: Message },
    Input { process: usize, input: Input },
}

/// Whether the disk of a crashing process survives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disk {
    Kept,
    Lost,
}

/// A process, which is one incarnation of a member.
pub struct Process {
    pub ordinal: u16,
    pub member: Member,
    pub clock: Clock,
    pub stopped: bool,
    pub alive: bool,
    /// The inputs that arrived while the process was stopped.
    queued_inputs: Vec<Input>,
    timer: u64,
    /// If set, the process crashes after it has carried out this many more outputs.
    outputs_until_crash: Option<u32>,
}

/// The delays and losses of the simulated network. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Net {
    pub min_delay: i64,
    pub max_delay: i64,
    /// The probability that a message is lost, in thousandths.
    pub loss_permille: u32,
    /// The probability that a message is delivered twice, in thousandths.
    pub duplicated_permille: u32,
}

impl Default for Net {
    fn default() -> Self {
        Self { min_delay: MS / 5, max_delay: MS, loss_permille: 0, duplicated_permille: 0 }
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
    pub rng: ChaCha8Rng,
    pub timing: Timing,
    pub members: u16,
    pub voters: Vec<u16>,
    pub processes: Vec<Process>,
    /// For each ordinal, the process that receives the messages of the member.
    pub current_process: Vec<Option<usize>>,
    /// For each ordinal, the durable state on the disk of the member.
    pub disks: Vec<Option<DurableState>>,
    /// The members that can't fetch contents.
    pub members_unable_to_fetch: BTreeSet<u16>,
    /// For each ordinal, the contents on the disk of the member.
    pub contents: Vec<BTreeSet<ContentHash>>,
    pub net: Net,
    /// The links, as sender and receiver, that lose all messages.
    pub cut_links: BTreeSet<(u16, u16)>,
    pub oracle: Oracle,
    /// The outcomes of proposals, with the ordinals of the proposers, in the order in which they arrived.
    pub finished_proposals: Vec<(u16, Topic, ContentHash, ProposalOutcome)>,
    /// The notifications of newer endpoint lists: the notified member and the newer revision.
    pub outdated_lists: Vec<(u16, u64)>,
    pub mutant: Mutant,
    pub traffic: Traffic,
    /// For each ordinal, the messages that the member sent, including lost ones.
    pub sent: Vec<Traffic>,
    /// For each ordinal, the messages sent to the member, including lost ones.
    pub received: Vec<Traffic>,
    /// The number of contents that each member served. As in the daemon, the source that is named first is asked first.
    pub served_contents: Vec<u64>,
    /// The number of times that the timer of any process fired.
    pub ticks: u64,
    /// Whether bytes are counted, which requires encoding each message.
    pub count_bytes: bool,
    /// The maximum rate error of clocks, in parts per million.
    pub max_drift_ppm: i64,
    /// The maximum time that a member takes to fetch and compile a content.
    pub max_fetch: i64,
    events: BinaryHeap<Event>,
    last_sequence: u64,
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
            rng: ChaCha8Rng::seed_from_u64(seed),
            timing,
            members,
            voters: (0..voters).collect(),
            processes: Vec::new(),
            current_process: vec![None; members.into()],
            disks: vec![None; members.into()],
            contents: vec![BTreeSet::new(); members.into()],
            members_unable_to_fetch: BTreeSet::new(),
            net: Net::default(),
            cut_links: BTreeSet::new(),
            oracle: Oracle::default(),
            finished_proposals: Vec::new(),
            outdated_lists: Vec::new(),
            mutant,
            traffic: Traffic::default(),
            sent: vec![Traffic::default(); members.into()],
            received: vec![Traffic::default(); members.into()],
            served_contents: vec![0; members.into()],
            ticks: 0,
            count_bytes: false,
            max_drift_ppm: ppm,
            max_fetch: 20 * MS,
            events: BinaryHeap::new(),
            last_sequence: 0,
            incarnations: 0,
        }
    }

    /// Starts a new process of this member. An earlier process that still runs receives no more messages.
    pub fn start(&mut self, ordinal: u16, durable_state: Option<DurableState>) -> usize {
        self.incarnations += 1;
        let clock = Clock {
            offset: self.rng.random_range(-1_000_000_000..1_000_000_000),
            // The ends of the range are drawn often, because the lease arithmetic has the least margin there.
            rate_error_ppm: match self.rng.random_range(0..4) {
                0 => -self.max_drift_ppm,
                1 => self.max_drift_ppm,
                _ => self.rng.random_range(-self.max_drift_ppm..=self.max_drift_ppm),
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
        let mut member = Member::new(config, clock.local_time_at(self.now), durable_state, self.rng.random());
        member.mutate(self.mutant);
        let process = self.processes.len();
        self.processes.push(Process {
            ordinal,
            member,
            clock,
            stopped: false,
            alive: true,
            queued_inputs: Vec::new(),
            timer: 0,

            outputs_until_crash: None,
        });
        self.current_process[usize::from(ordinal)] = Some(process);
        self.set_timer(process);
        process
    }

    /// Ends the process of this member.
    pub fn crash(&mut self, ordinal: u16, disk: Disk) {
        if let Some(process) = self.current_process[usize::from(ordinal)].take() {
            self.processes[process].alive = false;
            self.oracle.remove_process(process);
        }
        if disk == Disk::Lost {
            self.disks[usize::from(ordinal)] = None;
            self.contents[usize::from(ordinal)].clear();
        }
    }

    /// Ends the process of this member after it has carried out `outputs` more outputs.
    pub fn crash_after_outputs(&mut self, ordinal: u16, outputs: u32) {
        if let Some(process) = self.current_process[usize::from(ordinal)] {
            self.processes[process].outputs_until_crash = Some(outputs);
        }
    }

    pub fn restart(&mut self, ordinal: u16) {
        if self.current_process[usize::from(ordinal)].is_none() {
            let durable_state = self.disks[usize::from(ordinal)].clone();
            self.start(ordinal, durable_state);
        }
    }

    pub fn stop(&mut self, ordinal: u16) {
        if let Some(process) = self.current_process[usize::from(ordinal)] {
            self.processes[process].stopped = true;
        }
    }

    /// Resumes a stopped process, which then handles the inputs that arrived while it was stopped.
    pub fn resume(&mut self, process: usize) {
        if !self.processes[process].alive || !self.processes[process].stopped {
            return;
        }
        self.processes[process].stopped = false;
        for input in std::mem::take(&mut self.processes[process].queued_inputs) {
            self.handle_input(process, input);
        }
        self.handle_input(process, Input::Tick);
    }

    pub fn cut_both_directions(&mut self, first: u16, second: u16) {
        self.cut_links.insert((first, second));
        self.cut_links.insert((second, first));
    }

    pub fn isolate(&mut self, ordinal: u16) {
        for other in 0..self.members {
            self.cut_both_directions(ordinal, other);
        }
    }

    fn schedule(&mut self, at: i64, kind: EventKind) {
        self.last_sequence += 1;
        self.events.push(Event { at: at.max(self.now), sequence: self.last_sequence, kind });
    }

    fn set_timer(&mut self, process: usize) {
        let instance = &mut self.processes[process];
        instance.timer += 1;
        let (timer, at) = (instance.timer, instance.clock.true_time_at(instance.member.next_timeout()));
        if at < i64::MAX {
            self.schedule(at, EventKind::Tick { process, timer });
        }
    }

    pub fn input(&mut self, ordinal: u16, input: Input) {
        if let Some(process) = self.current_process[usize::from(ordinal)] {
            self.handle_input(process, input);
        }
    }

    pub fn propose(&mut self, ordinal: u16, topic: Topic, hash: ContentHash) {
        if let Some(process) = self.current_process[usize::from(ordinal)] {
            self.contents[usize::from(ordinal)].insert(hash);
            self.handle_input(process, Input::Propose { topic, hash, size: 1_000 });
        }
    }

    fn handle_input(&mut self, process: usize, input: Input) {
        let instance = &mut self.processes[process];
        if !instance.alive {
            return;
        }
        if instance.stopped {
            if instance.queued_inputs.len() < 10_000 {
                instance.queued_inputs.push(input);
            }
            return;
        }
        let local_time = instance.clock.local_time_at(self.now);
        instance.member.handle(local_time, input);
        while let Some(output) = self.processes[process].member.poll() {
            let ordinal = self.processes[process].ordinal;
            match &mut self.processes[process].outputs_until_crash {
                Some(0) if self.current_process[usize::from(ordinal)] == Some(process) => {
                    return self.crash(ordinal, Disk::Kept);
                }
                Some(remaining) => *remaining = remaining.saturating_sub(1),
                None => {}
            }
            self.execute(process, output);
        }
        self.set_timer(process);
    }

    fn execute(&mut self, process: usize, output: Output) {
        let ordinal = self.processes[process].ordinal;
        match output {
            Output::Send { to, message } => self.transmit(ordinal, to, message),
            Output::Save(durable_state) => self.disks[usize::from(ordinal)] = Some(durable_state),
            Output::Check { topic, hash, against } => {
                let verdict = if hash[8] == 1 {
                    Verdict::Rejected
                } else {
                    let compatible =
                        against.iter().rev().take_while(|(_, other)| !are_incompatible(&hash, other));
                    compatible.last().map_or(Verdict::Incompatible, |&(from, _)| Verdict::Compatible { from })
                };
                let at = self.now + 5 * MS;
                self.schedule(
                    at,
                    EventKind::Input { process, input: Input::Checked { topic, hash, verdict } },
                );
            }
            Output::Fetch { hash, from, .. } => {
                let has_content = self.contents[usize::from(ordinal)].contains(&hash);
                let source = from.iter().copied().find(|&source| {
                    let is_reachable = !self.cut_links.contains(&(source, ordinal))
                        && !self.cut_links.contains(&(ordinal, source));
                    is_reachable
                        && self.current_process[usize::from(source)].is_some_and(|source| {
                            let ordinal = usize::from(self.processes[source].ordinal);
                            !self.processes[source].stopped && self.contents[ordinal].contains(&hash)
                        })
                });
                if !has_content && source.is_none() || self.members_unable_to_fetch.contains(&ordinal) {
                    return;
                }
                if let Some(source) = source.filter(|_| !has_content) {
                    self.served_contents[usize::from(source)] += 1;
                }
                let at = self.now + self.rng.random_range(MS..=self.max_fetch);
                let input = if can_run_at(&hash, ordinal) {
                    Input::ContentReady { hash }
                } else {
                    Input::ContentUnsupported { hash }
                };
                self.schedule(at, EventKind::Input { process, input });
            }
            Output::LeaseChanged(lease) => {
                let until = self.processes[process].clock.true_time_at(lease.until);
                self.oracle.lease_changed(self.now, process, lease, until);
            }
            Output::ProposalFinished { topic, hash, outcome } => {
                self.finished_proposals.push((ordinal, topic, hash, outcome))
            }
            Output::ListOutdated { revision } => self.outdated_lists.push((ordinal, revision)),
        }
    }

    fn transmit(&mut self, from: u16, to: u16, message: Message) {
        if self.count_bytes {
            let bytes = postcard::to_allocvec(&message).unwrap();
            assert_eq!(postcard::from_bytes::<Message>(&bytes).unwrap(), message);
            self.traffic.bytes += bytes.len() as u64;
            self.traffic.largest = self.traffic.largest.max(bytes.len());
            self.sent[usize::from(from)].bytes += bytes.len() as u64;
            self.received[usize::from(to)].bytes += bytes.len() as u64;
        }
        self.traffic.messages += 1;
        self.sent[usize::from(from)].messages += 1;
        self.received[usize::from(to)].messages += 1;
        let copies = if self.rng.random_range(0..1_000) < self.net.duplicated_permille { 2 } else { 1 };
        for _ in 0..copies {
            if self.cut_links.contains(&(from, to))
                || self.rng.random_range(0..1_000) < self.net.loss_permille
            {
                continue;
            }
            let delay = self.rng.random_range(self.net.min_delay..=self.net.max_delay);
            // If the network loses messages, one message in 200 arrives very late.
            let delay = if self.net.loss_permille > 0 && self.rng.random_range(0..200) == 0 {
                delay * 50
            } else {
                delay
            };
            self.schedule(self.now + delay, EventKind::Deliver { from, to, message: message.clone() });
        }
    }

    /// Runs for this long, or until the first violation.
    pub fn run(&mut self, duration: i64) {
        let end = self.now + duration;
        while self.oracle.violation.is_none() && self.events.peek().is_some_and(|event| event.at <= end) {
            let Some(event) = self.events.pop() else { break };
            self.now = event.at;
            match event.kind {
                EventKind::Tick { process, timer } => {
                    if self.processes[process].timer == timer {
                        self.ticks += 1;
                        self.handle_input(process, Input::Tick);
                    }
                }
                EventKind::Deliver { from, to, message } => {
                    if let Some(process) = self.current_process[usize::from(to)] {
                        self.handle_input(process, Input::Message { from, message });
                    }
                }
                EventKind::Input { process, input } => {
                    if let Input::ContentReady { hash } = &input {
                        let ordinal = usize::from(self.processes[process].ordinal);
                        self.contents[ordinal].insert(*hash);
                    }
                    self.handle_input(process, input);
                }
            }
        }
        self.now = end;
    }

    /// Runs until the condition holds, for at most `timeout`. Returns how long it took, or `None` if the condition doesn't
    /// hold by then or an invariant was violated.
    pub fn run_until(&mut self, timeout: i64, mut condition: impl FnMut(&World) -> bool) -> Option<i64> {
        let begin = self.now;
        let step = if self.members > 50 { 10 * MS } else { 2 * MS };
        while self.now < begin + timeout {
            if condition(self) {
                return Some(self.now - begin);
            }
            if self.oracle.violation.is_some() {
                return None;
            }
            self.run(step);
        }
        condition(self).then_some(self.now - begin)
    }

    pub fn status(&self, ordinal: u16) -> Option<Status> {
        self.current_process[usize::from(ordinal)].map(|process| self.processes[process].member.status())
    }

    /// Returns the voter that leads by its own clock.
    pub fn leader(&self) -> Option<u16> {
        self.voters.iter().copied().find(|&voter| {
            let Some(process) = self.current_process[usize::from(voter)] else { return false };
            let instance = &self.processes[process];
            let status = instance.member.status();
            status.role == Role::Leader
                && !instance.stopped
                && status.authority_until.is_some_and(|until| instance.clock.local_time_at(self.now) < until)
        })
    }

    /// Returns the number of members whose process may act on this content now.
    pub fn members_acting_on(&self, topic: Topic, hash: ContentHash) -> usize {
        let is_acting = |process: &&usize| {
            let instance = &self.processes[**process];
            let lease = instance.member.lease(topic);
            lease.version.is_some_and(|(_, content)| content == hash)
                && instance.clock.local_time_at(self.now) < lease.until
        };
        self.current_process.iter().flatten().filter(is_acting).count()
    }

    /// Ends all faults.
    pub fn end_faults(&mut self) {
        self.cut_links.clear();
        self.net = Net::default();
        for process in 0..self.processes.len() {
            self.processes[process].outputs_until_crash = None;
            self.resume(process);
        }
        for ordinal in 0..self.members {
            self.restart(ordinal);
        }
    }

    /// Ends the processes that a newer incarnation of their member replaced.
    pub fn end_old_incarnations(&mut self) {
        for process in 0..self.processes.len() {
            let ordinal = self.processes[process].ordinal;
            if self.current_process[usize::from(ordinal)] != Some(process) {
                self.processes[process].alive = false;
                self.oracle.remove_process(process);
            }
        }
    }

    /// Panics if the oracle or a member detected an invariant violation.
    pub fn assert_no_violation(&self) {
        if let Some(violation) = &self.oracle.violation {
            panic!("seed {}, at {} us: {violation}", self.seed, self.now);
        }
        for process in &self.processes {
            let violations = process.member.status().invariant_violations;
            assert_eq!(
                violations, 0,
                "seed {}: member {} detected invariant violations",
                self.seed, process.ordinal
            );
        }
    }
}
