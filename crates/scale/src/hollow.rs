//! One hollow proxy, sans-io: fully deterministic, no sockets, no clocks, no chance but that from one seed.
//!
//! Its module, its member of the fleet view or of gossip and its member of the accord are the program's own, driven by
//! `cottonnotch-proxy-core`. Its connections are synthetic: drawn from the seed, set up after a fixed time, none ever fails. What it
//! holds grows with its connections, the nodes, the groups and the members, never with a product of two.

use crate::consensus_member::{ConsensusMember, hash_of, start_consensus};
use crate::counters::Counts;
use crate::interface::{CpuAccount, HollowInput, HollowOutput, ScheduledEvent};
use crate::nodes::Nodes;
use crate::records::MemberEvent;
use crate::shape::{HOMES, Shape, mixed};
use cottonnotch_aggregation::FleetSection;
use cottonnotch_consensus::{DurableState, Input as ConsensusInput, Topic, Verdict};
use cottonnotch_decision::{
    Action, Balancer, ClassId, Event, Micros, Outcome, Request, RequestId, ServerId, Settings,
};
use cottonnotch_gossip::{Gossip, GossipSection, Keys, State, Strength};
use cottonnotch_proxy_core::{
    EndpointUpdate, Input, LatencyReport, LocalState, MemberDriver, MessageLatencies, Output, Peers,
    REPORT_INTERVAL, Roster,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

const MS: Micros = 1_000;
/// A set-up at a node takes so long.
const SETUP: Micros = 5 * MS;
/// Between two of the first connections, where they are asked for.
const INITIAL_REQUEST_INTERVAL: Micros = 50 * MS;
/// Bytes of a content, as proposals tell; nothing of that size goes over the wire here.
const CONTENT_BYTES: u32 = 64 * 1024;
/// A connection that is up.
#[derive(Clone, Copy, Debug)]
struct OpenConnection {
    request: RequestId,
    server: ServerId,
    group: u32,
}

/// A request that is owed an answer.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    group: u32,
    attempts: u32,
}

/// What it is in a tier: its number, all addresses, and what is the same for all.
#[derive(Clone, Debug)]
pub struct MemberSetup {
    /// The sizes.
    pub shape: Shape,
    /// Its number.
    pub me: u32,
    /// All members' addresses, by number.
    pub roster: Roster,
    /// Life of its process: Unix time in milliseconds at its start.
    pub incarnation: u64,
    /// It begins with the whole tier, and not in a tier that runs.
    pub starts_with_fleet: bool,
    /// What a voter had on disk; `None`: nothing.
    pub durable_state: Option<DurableState>,
}

/// Load and groups of connections by node, by the shape's numbers.
pub type NodeLoads = BTreeMap<u32, (f64, BTreeSet<u32>)>;

/// What a member was told of all: members in its view, the time between two reports, and use by node.
pub type FleetView = (u32, Micros, BTreeMap<u32, f64>);

/// A hollow proxy.
pub struct Hollow {
    shape: Shape,
    me: u32,
    settings: Settings,
    rng: ChaCha8Rng,
    balancer: Balancer,
    latencies: MessageLatencies,
    nodes: Nodes,
    peers: Option<Peers>,
    consensus: Option<ConsensusMember>,
    open: Vec<OpenConnection>,
    pending_requests: BTreeMap<RequestId, PendingRequest>,
    next_request: u64,
    scheduled: BinaryHeap<Reverse<(Micros, u64, ScheduledEvent)>>,
    number: u64,
    pending: VecDeque<Event>,
    out: VecDeque<HollowOutput>,
    counts: Counts,
}

impl Hollow {
    /// A process that starts now, with the list that its configuration remembers.
    pub fn start(place: MemberSetup, known: &EndpointUpdate, now: Micros) -> Self {
        let MemberSetup { shape, me, roster, incarnation, starts_with_fleet, durable_state } = place;
        let seed = mixed(shape.seed, u64::from(me)) ^ incarnation;
        let settings = shape.settings(me);
        let consensus = start_consensus(&shape, me, durable_state, starts_with_fleet, now, seed);
        let peers = peers(&shape, me, roster, incarnation, now, seed);
        let mut hollow = Hollow {
            balancer: Balancer::new(settings.clone(), seed, now),
            latencies: MessageLatencies::new((&settings).into()),
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: Nodes::default(),
            open: Vec::new(),
            pending_requests: BTreeMap::new(),
            next_request: u64::from(me) << 40 | (incarnation & 0xff_ffff) << 16,
            scheduled: BinaryHeap::new(),
            number: 0,
            pending: VecDeque::new(),
            out: VecDeque::new(),
            counts: Counts::default(),
            shape,
            me,
            settings,
            peers,
            consensus,
        };
        // Not all members of a joint start tick in one instant.
        let first = hollow.rng.random_range(0..REPORT_INTERVAL);
        hollow.schedule(now + first, ScheduledEvent::EverySecond);
        hollow.next_arrival(now);
        let event = hollow.nodes.apply_update(&mut hollow.latencies, known, true);
        hollow.notify_decision(now, event);
        hollow
    }

    /// Its connections are up from here on, as if set up before.
    pub fn open_connections(&mut self, now: Micros) {
        for _ in 0..self.shape.connections {
            let group = self.draw_group();
            let home = self.shape.home(group, self.rng.random_range(0..HOMES));
            let Some(server) = self.nodes.number(home) else { continue };
            let request = self.request(group, false);
            let id = request.id;
            self.notify_decision(now, Event::Open { request, server });
            self.up(now, id, server, group, None);
        }
        self.open.shrink_to_fit();
    }

    /// Its connections are asked for through the module, one after another.
    pub fn schedule_initial_requests(&mut self, now: Micros) {
        for nth in 0..self.shape.connections {
            self.schedule(now + Micros::from(nth) * INITIAL_REQUEST_INTERVAL, ScheduledEvent::InitialRequest);
        }
    }

    fn draw_group(&mut self) -> u32 {
        self.rng.random_range(0..self.shape.groups())
    }

    fn request(&mut self, group: u32, again: bool) -> Request {
        self.next_request += 1;
        Request {
            id: RequestId(self.next_request),
            class: ClassId(0),
            tenant: None,
            left: self.settings.classes.first().map(|class| class.deadline),
            load_hint: None,
            group: Some(digest(group)),
            again,
        }
    }

    fn up(&mut self, now: Micros, request: RequestId, server: ServerId, group: u32, setup: Option<Micros>) {
        self.latencies.connection_opened(now, request, server, Some(digest(group)), setup);
        self.latencies.load_changed(request, self.shape.load(self.me, request.0));
        self.open.push(OpenConnection { request, server, group });
    }

    fn next_arrival(&mut self, now: Micros) {
        if self.shape.setups > 0.0 {
            // Open load: exponential times between two, whatever became of the last one.
            let unit: f64 = self.rng.random_range(1e-9..1.0);
            let after = -unit.ln() / self.shape.setups * 1e6;
            self.schedule(now + after as Micros, ScheduledEvent::Arrival);
        }
    }

    fn schedule(&mut self, at: Micros, event: ScheduledEvent) {
        self.number += 1;
        self.scheduled.push(Reverse((at, self.number, event)));
    }

    /// When [`HollowInput::Timeout`] is due, unless something else happens first.
    pub fn next_timeout(&self) -> Micros {
        let own = self.scheduled.peek().map_or(Micros::MAX, |Reverse((at, ..))| *at);
        let peers = self.peers.as_ref().map_or(Micros::MAX, Peers::next_timeout);
        let consensus = self.consensus.as_ref().map_or(Micros::MAX, ConsensusMember::next_timeout);
        own.min(peers).min(consensus)
    }

    /// The next thing that it wants done, if any.
    pub fn poll(&mut self) -> Option<HollowOutput> {
        self.out.pop_front()
    }

    /// What it counted so far. Who drives it adds what only he knows: processor time.
    pub fn counts(&mut self) -> &mut Counts {
        &mut self.counts
    }

    /// What a voter has on disk.
    pub fn durable_state(&self) -> Option<DurableState> {
        self.consensus.as_ref().and_then(|consensus| consensus.durable_state.clone())
    }

    /// It leads the accord.
    pub fn is_leader(&self) -> bool {
        let is_leader = |consensus: &ConsensusMember| {
            consensus.member.status().role == cottonnotch_consensus::Role::Leader
        };
        self.consensus.as_ref().is_some_and(is_leader)
    }

    /// The last list taken.
    pub fn revision(&self) -> u64 {
        self.nodes.revision()
    }

    /// Load and groups of its connections by node, by the shape's numbers.
    pub fn node_loads(&self) -> NodeLoads {
        let mut all = NodeLoads::new();
        for OpenConnection { request, server, group } in &self.open {
            let Some(node) = self.nodes.place(*server) else { continue };
            let (load, groups) = all.entry(node).or_default();
            *load += self.shape.load(self.me, request.0);
            groups.insert(*group);
        }
        all
    }

    /// What it was told of all: members in its view, the time between two reports, and use by node.
    pub fn fleet_view(&self) -> Option<FleetView> {
        let member = self.peers.as_ref()?.aggregation_member()?;
        let fleet_view = member.snapshot()?;
        let named: BTreeMap<u32, f64> =
            fleet_view.endpoints().map(|(node, told)| (node.0, told.utilization)).collect();
        let by_place = (0..self.shape.nodes).filter_map(|place| {
            let digest = cottonnotch_gossip::EndpointDigest::of(&format!("n{place}"));
            named.get(&digest.bits()).map(|used| (place, *used))
        });
        Some((fleet_view.members, member.report_interval(), by_place.collect()))
    }

    /// Takes what happened; then [`Hollow::poll`] until it gives nothing.
    pub fn handle(&mut self, now: Micros, input: HollowInput<'_>) {
        match input {
            HollowInput::PeerDatagram { from, bytes } => {
                self.counts.peers_in.add(bytes.len());
                self.drive_peers(now, Input::Datagram { from, bytes });
            }
            HollowInput::ConsensusDatagram { bytes } => {
                self.counts.consensus_in.add(bytes.len());
                let Some(consensus) = &mut self.consensus else { return };
                if let Ok((from, message)) = consensus.envelope_key.open(bytes) {
                    let Ok(()) = consensus
                        .handle_input(now - consensus.began, ConsensusInput::Message { from, message });
                    self.collect_consensus_output();
                }
            }
            HollowInput::EndpointUpdate { update, bytes } => {
                self.counts.list_bytes += bytes as u64;
                // A beat is a list of changes that names none.
                let nodes = update.endpoints.len() as u32;
                if update.complete {
                    self.out.push_back(HollowOutput::Record(MemberEvent::EndpointsReceived {
                        revision: update.revision,
                        nodes,
                    }));
                }
                let event = self.nodes.apply_update(&mut self.latencies, update, false);
                self.notify_decision(now, event);
                self.drive_consensus(now, ConsensusInput::ListReceived { revision: update.revision });
            }
            HollowInput::WatchLost { silent: true } => self.notify_decision(now, Event::ListSilent),
            HollowInput::WatchLost { silent: false } => self.notify_decision(now, Event::ListFailed),
            HollowInput::Propose { content, kind } => {
                self.out.push_back(HollowOutput::Record(MemberEvent::Proposed { content }));
                let hash = hash_of(content, kind);
                self.drive_consensus(
                    now,
                    ConsensusInput::Propose { topic: Topic::Rules, hash, size: CONTENT_BYTES },
                );
            }
            HollowInput::Timeout => self.handle_timeout(now),
        }
    }

    /// What is due first is part of this.
    pub fn next_cpu_account(&self) -> CpuAccount {
        let peers = self.peers.as_ref().map_or(Micros::MAX, Peers::next_timeout);
        let consensus = self.consensus.as_ref().map_or(Micros::MAX, ConsensusMember::next_timeout);
        let own = self.scheduled.peek().map(|Reverse((at, _, event))| (*at, event));
        match own {
            Some((at, event)) if at <= peers.min(consensus) => match event {
                ScheduledEvent::EverySecond => CpuAccount::EverySecond,
                ScheduledEvent::InitialRequest
                | ScheduledEvent::Arrival
                | ScheduledEvent::DecisionTimer(_)
                | ScheduledEvent::ConnectionSetUp { .. } => CpuAccount::Setups,
                ScheduledEvent::CompatibilityChecked { .. } | ScheduledEvent::ContentReady { .. } => {
                    CpuAccount::Consensus
                }
            },
            _ if peers <= consensus => CpuAccount::Peers,
            _ => CpuAccount::Consensus,
        }
    }

    /// One thing that is due; whoever drives it comes again while there is another.
    fn handle_timeout(&mut self, now: Micros) {
        if self.next_timeout() > now {
            return;
        }
        match self.next_cpu_account() {
            CpuAccount::EverySecond | CpuAccount::Setups => self.run_next_scheduled(now),
            CpuAccount::Peers => self.drive_peers(now, Input::Tick),
            CpuAccount::Consensus => {
                self.run_next_scheduled(now);
                if let Some(consensus) = &mut self.consensus {
                    let Ok(()) = consensus.handle_timeout(now - consensus.began);
                    self.collect_consensus_output();
                }
            }
        }
    }

    fn run_next_scheduled(&mut self, now: Micros) {
        if self.scheduled.peek().is_some_and(|Reverse((at, ..))| *at <= now)
            && let Some(Reverse((_, _, event))) = self.scheduled.pop()
        {
            self.run_scheduled(now, event);
        }
    }

    fn run_scheduled(&mut self, now: Micros, event: ScheduledEvent) {
        match event {
            ScheduledEvent::EverySecond => {
                self.schedule(now + REPORT_INTERVAL, ScheduledEvent::EverySecond);
                self.drive_peers(now, Input::EverySecond);
                for LatencyReport { server, latency: delay } in self.latencies.due_reports(now) {
                    self.notify_decision(now, Event::LatencyUpdate { server, latency: delay });
                }
            }
            ScheduledEvent::InitialRequest => {
                let group = self.draw_group();
                self.send_request(now, group, false);
            }
            ScheduledEvent::Arrival => {
                self.next_arrival(now);
                // As many go as come, once there are as many as there should be.
                if self.open.len() as u32 >= self.shape.connections && !self.open.is_empty() {
                    let gone = self.rng.random_range(0..self.open.len());
                    let OpenConnection { request, server, .. } = self.open.swap_remove(gone);
                    self.ended(now, request, server);
                }
                let group = self.draw_group();
                self.send_request(now, group, false);
            }
            ScheduledEvent::DecisionTimer(token) => self.notify_decision(now, Event::Timer(token)),
            ScheduledEvent::ConnectionSetUp { request, attempt, server } => {
                let (request, server) = (RequestId(request), ServerId(server));
                if let Some(PendingRequest { group, .. }) = self.pending_requests.remove(&request) {
                    self.counts.setups += 1;
                    self.up(now, request, server, group, Some(SETUP));
                    self.notify_decision(
                        now,
                        Event::Established { request, attempt, server, elapsed: SETUP },
                    );
                }
            }
            ScheduledEvent::CompatibilityChecked { hash, compatible_from } => {
                let verdict =
                    compatible_from.map_or(Verdict::Incompatible, |from| Verdict::Compatible { from });
                self.drive_consensus(now, ConsensusInput::Checked { topic: Topic::Rules, hash, verdict });
            }
            ScheduledEvent::ContentReady { hash } => {
                self.drive_consensus(now, ConsensusInput::ContentReady { hash })
            }
        }
    }

    fn send_request(&mut self, now: Micros, group: u32, again: bool) {
        let request = self.request(group, again);
        self.pending_requests.insert(request.id, PendingRequest { group, attempts: 0 });
        self.notify_decision(now, Event::Request(request));
    }

    fn ended(&mut self, now: Micros, request: RequestId, server: ServerId) {
        self.latencies.connection_closed(request);
        self.notify_decision(
            now,
            Event::Ended { request, attempt: 0, server, outcome: Outcome::Served, last: true },
        );
    }

    fn drive_peers(&mut self, now: Micros, input: Input<'_>) {
        let Some(peers) = &mut self.peers else { return };
        let mut local = LocalState {
            latencies: &mut self.latencies,
            servers: &self.nodes,
            settings: &self.settings,
            requests: self.open.len() + self.pending_requests.len(),
            // This clock is Unix time, and is never stepped.
            unix: now,
        };
        peers.handle(now, input, &mut local);
        while let Some(output) = peers.poll() {
            match output {
                Output::Send { to, bytes } => {
                    self.counts.peers_out.add(bytes.len());
                    self.out.push_back(HollowOutput::PeerDatagram { to, bytes });
                }
                Output::Event(event) => {
                    if let Event::Fleet(tier) = &event {
                        let members = tier.nodes as u32;
                        self.out.push_back(HollowOutput::Record(MemberEvent::SnapshotReceived { members }));
                    }
                    self.pending.push_back(event);
                }
                Output::Member { ordinal, state, .. } => {
                    let is_dead = matches!(state, State::Dead);
                    self.out.push_back(HollowOutput::Record(MemberEvent::LivenessChanged {
                        of: ordinal,
                        is_dead,
                    }));
                }
                Output::Aggregator(keeper) => {
                    self.out.push_back(HollowOutput::Record(MemberEvent::AggregatorChanged(keeper)))
                }
            }
        }
        self.run_decision(now);
    }

    fn drive_consensus(&mut self, now: Micros, input: ConsensusInput) {
        let Some(consensus) = &mut self.consensus else { return };
        let Ok(()) = consensus.handle_input(now - consensus.began, input);
        self.collect_consensus_output();
    }

    fn collect_consensus_output(&mut self) {
        let Some(consensus) = &mut self.consensus else { return };
        let sent = consensus.out.iter().filter_map(|output| match output {
            HollowOutput::ConsensusDatagram { bytes, .. } => Some(bytes.len()),
            _ => None,
        });
        sent.for_each(|bytes| self.counts.consensus_out.add(bytes));
        self.out.append(&mut consensus.out);
        for (at, run_scheduled) in std::mem::take(&mut consensus.scheduled) {
            self.schedule(at, run_scheduled);
        }
    }

    fn notify_decision(&mut self, now: Micros, event: Event) {
        self.pending.push_back(event);
        self.run_decision(now);
    }

    /// Hands the module what is pending, and what comes of its own actions; as the driver does.
    fn run_decision(&mut self, now: Micros) {
        let mut actions = Vec::new();
        while let Some(event) = self.pending.pop_front() {
            if let Some(peers) = &mut self.peers {
                peers.observe(now, &event);
            }
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute_action(now, action);
            }
        }
    }

    fn execute_action(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { request, server, .. } => {
                let Some(pending_requests) = self.pending_requests.get_mut(&request) else { return };
                let attempt = pending_requests.attempts;
                pending_requests.attempts += 1;
                let (request, server) = (request.0, server.0);
                self.schedule(now + SETUP, ScheduledEvent::ConnectionSetUp { request, attempt, server });
            }
            Action::Reject { request, .. } | Action::Fail { request, .. } => {
                self.pending_requests.remove(&request);
                self.counts.refused += 1;
            }
            Action::Migrate(request) => {
                let Some(at) = self.open.iter().position(|open| open.request == request) else { return };
                let OpenConnection { request, server, group } = self.open.swap_remove(at);
                self.counts.moves += 1;
                self.latencies.connection_closed(request);
                let (outcome, last) = (Outcome::Served, true);
                self.pending.push_back(Event::Ended { request, attempt: 0, server, outcome, last });
                let again = self.request(group, true);
                self.pending_requests.insert(again.id, PendingRequest { group, attempts: 0 });
                self.pending.push_back(Event::Request(again));
            }
            Action::WatchList => {
                self.counts.list_calls += 1;
                self.out.push_back(HollowOutput::StartWatch { from: self.nodes.revision() });
            }
            Action::Probe(server) => self.pending.push_back(Event::Probed { server, report: None }),
            Action::Timer { after, token } => {
                self.schedule(now + after, ScheduledEvent::DecisionTimer(token))
            }
            Action::Log { .. } | Action::HealthChanged { .. } => {}
        }
    }
}

/// A group as the wire names it.
pub fn digest(group: u32) -> u64 {
    mixed(u64::from(group), 0x67)
}

fn peers(shape: &Shape, me: u32, roster: Roster, incarnation: u64, now: Micros, seed: u64) -> Option<Peers> {
    if shape.members >= shape.members_from {
        let group_homes = (shape.group_homes > 0).then_some(shape.group_homes);
        let section =
            FleetSection { members_from: Some(shape.members_from), group_homes, ..FleetSection::default() };
        let settings = section.check().ok()??;
        let member = cottonnotch_aggregation::Member::new(settings, me, shape.members, seed, now, now);
        return Some(Peers::with_aggregation(member, roster));
    }
    let section = GossipSection { strength: Some(Strength::Address), ..GossipSection::default() };
    let settings = section.check().ok()??;
    let strength = settings.strength;
    let gossip = Gossip::new(settings, Keys::Address, me, shape.members, incarnation, seed, now);
    Some(Peers::with_gossip(gossip, strength, roster))
}
