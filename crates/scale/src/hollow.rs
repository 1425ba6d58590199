//! One hollow proxy, sans-io: fully deterministic, without sockets, clocks or randomness but that of one seed.
//!
//! Its decision module, its member of the aggregation or of gossip and its consensus member are the program's own, driven by
//! `cottonnotch-proxy-core`; its connections are synthetic. Its memory grows with its connections, the nodes, the groups and
//! the members, never with a product of two.

use crate::connections::{NodeLoads, OpenConnection, RequestOrigin, SyntheticConnections, group_digest};
use crate::consensus_member::{ConsensusMember, hash_of, start_consensus};
use crate::counters::Counts;
use crate::interface::{CpuAccount, HollowInput, HollowOutput, MemberSetup, ScheduledEvent};
use crate::nodes::Nodes;
use crate::peers_member::{FleetView, fleet_view, start_peers};
use crate::records::MemberEvent;
use crate::schedule::Schedule;
use crate::shape::{Shape, mixed};
use cottonnotch_consensus::{DurableState, Input as ConsensusInput, Topic, Verdict};
use cottonnotch_decision::{Action, Balancer, Event, Micros, Outcome, RequestId, ServerId, Settings};
use cottonnotch_gossip::State;
use cottonnotch_proxy_core::{
    EndpointUpdate, Input, LatencyReport, LocalState, MemberDriver, MessageLatencies, Output, Peers,
    REPORT_INTERVAL,
};
use std::collections::VecDeque;

const MS: Micros = 1_000;
/// Time to set up a connection at a node.
const SETUP: Micros = 5 * MS;
/// Interval between two of the initial connections, where they are requested through the decision module.
const INITIAL_REQUEST_INTERVAL: Micros = 50 * MS;
/// Size of a content as proposals state it; nothing of that size is sent here.
const CONTENT_BYTES: u32 = 64 * 1024;

/// A hollow proxy.
pub struct Hollow {
    shape: Shape,
    settings: Settings,
    balancer: Balancer,
    latencies: MessageLatencies,
    nodes: Nodes,
    peers: Option<Peers>,
    consensus: Option<ConsensusMember>,
    connections: SyntheticConnections,
    schedule: Schedule,
    /// Events that the decision module has not handled yet.
    pending: VecDeque<Event>,
    outputs: VecDeque<HollowOutput>,
    counts: Counts,
}

impl Hollow {
    /// Starts a process with the endpoint list that its configuration remembers.
    pub fn start(setup: MemberSetup, known: &EndpointUpdate, now: Micros) -> Self {
        let MemberSetup { shape, ordinal, roster, incarnation, starts_with_fleet, durable_state } = setup;
        let seed = mixed(shape.seed, u64::from(ordinal)) ^ incarnation;
        let settings = shape.settings(ordinal);
        let deadline = settings.classes.first().map(|class| class.deadline);
        let mut hollow = Hollow {
            balancer: Balancer::new(settings.clone(), seed, now),
            latencies: MessageLatencies::new((&settings).into()),
            nodes: Nodes::default(),
            peers: start_peers(&shape, ordinal, roster, incarnation, now, seed),
            consensus: start_consensus(&shape, ordinal, durable_state, starts_with_fleet, now, seed),
            connections: SyntheticConnections::new(shape.clone(), ordinal, incarnation, seed, deadline),
            schedule: Schedule::default(),
            pending: VecDeque::new(),
            outputs: VecDeque::new(),
            counts: Counts::default(),
            shape,
            settings,
        };
        let phase = hollow.connections.draw_tick_phase();
        hollow.schedule.add(now + phase, ScheduledEvent::EverySecond);
        hollow.schedule_arrival(now);
        let event = hollow.nodes.apply_update(&mut hollow.latencies, known, true);
        hollow.notify_decision(now, event);
        hollow
    }

    /// Opens all connections at once, as if they had been set up before.
    pub fn open_connections(&mut self, now: Micros) {
        for _ in 0..self.shape.connections {
            let group = self.connections.draw_group();
            let node = self.connections.draw_node(group);
            let Some(server) = self.nodes.number(node) else { continue };
            let request = self.connections.new_request(group, RequestOrigin::Client);
            let id = request.id;
            self.notify_decision(now, Event::Open { request, server });
            self.add_connection(now, OpenConnection { request: id, server, group }, None);
        }
        self.connections.shrink_to_fit();
    }

    /// Requests all connections through the decision module, one after another.
    pub fn schedule_initial_requests(&mut self, now: Micros) {
        for index in 0..self.shape.connections {
            let at = now + Micros::from(index) * INITIAL_REQUEST_INTERVAL;
            self.schedule.add(at, ScheduledEvent::InitialRequest);
        }
    }

    /// When [`HollowInput::Timeout`] is due, unless another input comes first.
    pub fn next_timeout(&self) -> Micros {
        self.schedule.next_timeout().min(self.peers_timeout()).min(self.consensus_timeout())
    }

    fn peers_timeout(&self) -> Micros {
        self.peers.as_ref().map_or(Micros::MAX, Peers::next_timeout)
    }

    fn consensus_timeout(&self) -> Micros {
        self.consensus.as_ref().map_or(Micros::MAX, ConsensusMember::next_timeout)
    }

    /// The next output, if any.
    pub fn poll(&mut self) -> Option<HollowOutput> {
        self.outputs.pop_front()
    }

    /// The counters. The caller adds the processor time, which it alone knows.
    pub fn counts(&mut self) -> &mut Counts {
        &mut self.counts
    }

    /// The durable state of a voter.
    pub fn durable_state(&self) -> Option<DurableState> {
        self.consensus.as_ref().and_then(|consensus| consensus.durable_state.clone())
    }

    /// Whether it is the consensus leader.
    pub fn is_leader(&self) -> bool {
        let role = |consensus: &ConsensusMember| consensus.member.status().role;
        self.consensus.as_ref().map(role) == Some(cottonnotch_consensus::Role::Leader)
    }

    /// Revision of the last endpoint list applied.
    pub fn revision(&self) -> u64 {
        self.nodes.revision()
    }

    /// Load and groups of its connections by node, by the shape's numbers.
    pub fn node_loads(&self) -> NodeLoads {
        self.connections.node_loads(&self.nodes)
    }

    /// The fleet as its last snapshot shows it; `None` without a snapshot.
    pub fn fleet_view(&self) -> Option<FleetView> {
        fleet_view(self.peers.as_ref()?, self.shape.nodes)
    }

    /// Handles an input; the caller then calls [`Hollow::poll`] until it returns `None`.
    pub fn handle(&mut self, now: Micros, input: HollowInput<'_>) {
        match input {
            HollowInput::PeerDatagram { from, bytes } => {
                self.counts.peers_in.add(bytes.len());
                self.drive_peers(now, Input::Datagram { from, bytes });
            }
            HollowInput::ConsensusDatagram { bytes } => self.handle_consensus_datagram(now, bytes),
            HollowInput::EndpointUpdate { update, bytes } => self.handle_update(now, update, bytes),
            HollowInput::WatchLost { silent: true } => self.notify_decision(now, Event::ListSilent),
            HollowInput::WatchLost { silent: false } => self.notify_decision(now, Event::ListFailed),
            HollowInput::Propose { content, kind } => {
                self.outputs.push_back(HollowOutput::Record(MemberEvent::Proposed { content }));
                let hash = hash_of(content, kind);
                let input = ConsensusInput::Propose { topic: Topic::Rules, hash, size: CONTENT_BYTES };
                self.drive_consensus(now, input);
            }
            HollowInput::Timeout => self.handle_timeout(now),
        }
    }

    fn handle_consensus_datagram(&mut self, now: Micros, bytes: &[u8]) {
        self.counts.consensus_in.add(bytes.len());
        let Some(consensus) = &self.consensus else { return };
        if let Ok((from, message)) = consensus.envelope_key.open(bytes) {
            self.drive_consensus(now, ConsensusInput::Message { from, message });
        }
    }

    fn handle_update(&mut self, now: Micros, update: &EndpointUpdate, bytes: usize) {
        self.counts.list_bytes += bytes as u64;
        let (revision, nodes) = (update.revision, update.endpoints.len() as u32);
        // A heartbeat is an incomplete list without endpoints.
        if update.complete {
            self.outputs.push_back(HollowOutput::Record(MemberEvent::EndpointsReceived { revision, nodes }));
        }
        let event = self.nodes.apply_update(&mut self.latencies, update, false);
        self.notify_decision(now, event);
        self.drive_consensus(now, ConsensusInput::ListReceived { revision });
    }

    /// The account that the processor time of the next timeout goes to.
    pub fn next_cpu_account(&self) -> CpuAccount {
        let (peers, consensus) = (self.peers_timeout(), self.consensus_timeout());
        match self.schedule.peek() {
            Some((at, event)) if at <= peers.min(consensus) => event.cpu_account(),
            _ if peers <= consensus => CpuAccount::Peers,
            _ => CpuAccount::Consensus,
        }
    }

    /// Handles one thing that is due; the caller repeats it while there is another.
    fn handle_timeout(&mut self, now: Micros) {
        if self.next_timeout() > now {
            return;
        }
        match self.next_cpu_account() {
            CpuAccount::EverySecond | CpuAccount::Setups => self.handle_next_scheduled(now),
            CpuAccount::Peers => self.drive_peers(now, Input::Tick),
            CpuAccount::Consensus => {
                self.handle_next_scheduled(now);
                if let Some(consensus) = &mut self.consensus {
                    let Ok(()) = consensus.handle_timeout(now - consensus.began);
                    self.collect_consensus_outputs();
                }
            }
        }
    }

    fn handle_next_scheduled(&mut self, now: Micros) {
        if let Some(event) = self.schedule.pop_due(now) {
            self.handle_scheduled(now, event);
        }
    }

    fn handle_scheduled(&mut self, now: Micros, event: ScheduledEvent) {
        match event {
            ScheduledEvent::EverySecond => self.handle_second(now),
            ScheduledEvent::InitialRequest => self.send_client_request(now),
            ScheduledEvent::Arrival => {
                self.schedule_arrival(now);
                if let Some(replaced) = self.connections.take_replaced() {
                    self.queue_connection_end(replaced);
                    self.run_decision(now);
                }
                self.send_client_request(now);
            }
            ScheduledEvent::DecisionTimer(token) => self.notify_decision(now, Event::Timer(token)),
            ScheduledEvent::ConnectionSetUp { request, attempt, server } => {
                self.establish(now, RequestId(request), attempt, ServerId(server));
            }
            ScheduledEvent::CompatibilityChecked { hash, compatible_from } => {
                let verdict =
                    compatible_from.map_or(Verdict::Incompatible, |from| Verdict::Compatible { from });
                self.drive_consensus(now, ConsensusInput::Checked { topic: Topic::Rules, hash, verdict });
            }
            ScheduledEvent::ContentReady { hash } => {
                self.drive_consensus(now, ConsensusInput::ContentReady { hash });
            }
        }
    }

    fn handle_second(&mut self, now: Micros) {
        self.schedule.add(now + REPORT_INTERVAL, ScheduledEvent::EverySecond);
        self.drive_peers(now, Input::EverySecond);
        for LatencyReport { server, latency } in self.latencies.due_reports(now) {
            self.notify_decision(now, Event::LatencyUpdate { server, latency });
        }
    }

    fn schedule_arrival(&mut self, now: Micros) {
        if let Some(delay) = self.connections.draw_time_to_arrival() {
            self.schedule.add(now + delay, ScheduledEvent::Arrival);
        }
    }

    fn send_client_request(&mut self, now: Micros) {
        let group = self.connections.draw_group();
        let request = self.connections.new_pending_request(group, RequestOrigin::Client);
        self.notify_decision(now, Event::Request(request));
    }

    fn establish(&mut self, now: Micros, request: RequestId, attempt: u32, server: ServerId) {
        let Some(pending) = self.connections.take_pending(request) else { return };
        self.counts.setups += 1;
        self.add_connection(now, OpenConnection { request, server, group: pending.group }, Some(SETUP));
        self.notify_decision(now, Event::Established { request, attempt, server, elapsed: SETUP });
    }

    fn add_connection(&mut self, now: Micros, connection: OpenConnection, setup: Option<Micros>) {
        let OpenConnection { request, server, group } = connection;
        self.latencies.connection_opened(now, request, server, Some(group_digest(group)), setup);
        let load = self.connections.add_open(connection);
        self.latencies.load_changed(request, load);
    }

    fn queue_connection_end(&mut self, OpenConnection { request, server, .. }: OpenConnection) {
        self.latencies.connection_closed(request);
        let (outcome, last) = (Outcome::Served, true);
        self.pending.push_back(Event::Ended { request, attempt: 0, server, outcome, last });
    }

    fn drive_peers(&mut self, now: Micros, input: Input<'_>) {
        let Some(peers) = &mut self.peers else { return };
        let mut local = LocalState {
            latencies: &mut self.latencies,
            servers: &self.nodes,
            settings: &self.settings,
            requests: self.connections.count(),
            // This clock is Unix time, and is never stepped.
            unix: now,
        };
        peers.handle(now, input, &mut local);
        while let Some(output) = peers.poll() {
            let record = match output {
                Output::Send { to, bytes } => {
                    self.counts.peers_out.add(bytes.len());
                    self.outputs.push_back(HollowOutput::PeerDatagram { to, bytes });
                    continue;
                }
                Output::Event(event) => {
                    let members =
                        if let Event::Fleet(fleet) = &event { Some(fleet.nodes as u32) } else { None };
                    self.pending.push_back(event);
                    let Some(members) = members else { continue };
                    MemberEvent::SnapshotReceived { members }
                }
                Output::Member { ordinal, state, .. } => {
                    MemberEvent::LivenessChanged { of: ordinal, is_dead: matches!(state, State::Dead) }
                }
                Output::Aggregator(aggregator) => MemberEvent::AggregatorChanged(aggregator),
            };
            self.outputs.push_back(HollowOutput::Record(record));
        }
        self.run_decision(now);
    }

    fn drive_consensus(&mut self, now: Micros, input: ConsensusInput) {
        let Some(consensus) = &mut self.consensus else { return };
        let Ok(()) = consensus.handle_input(now - consensus.began, input);
        self.collect_consensus_outputs();
    }

    fn collect_consensus_outputs(&mut self) {
        let Some(consensus) = &mut self.consensus else { return };
        for output in consensus.outputs.drain(..) {
            if let HollowOutput::ConsensusDatagram { bytes, .. } = &output {
                self.counts.consensus_out.add(bytes.len());
            }
            self.outputs.push_back(output);
        }
        for (at, event) in consensus.scheduled.drain(..) {
            self.schedule.add(at, event);
        }
    }

    fn notify_decision(&mut self, now: Micros, event: Event) {
        self.pending.push_back(event);
        self.run_decision(now);
    }

    /// Hands the decision module the pending events, and those that follow from its own actions; as the daemon's driver does.
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
                let Some(attempt) = self.connections.next_attempt(request) else { return };
                let (request, server) = (request.0, server.0);
                self.schedule.add(now + SETUP, ScheduledEvent::ConnectionSetUp { request, attempt, server });
            }
            Action::Reject { request, .. } | Action::Fail { request, .. } => {
                self.connections.take_pending(request);
                self.counts.refused += 1;
            }
            Action::Migrate(request) => self.migrate(request),
            Action::WatchList => {
                self.counts.list_calls += 1;
                self.outputs.push_back(HollowOutput::StartWatch { from: self.nodes.revision() });
            }
            Action::Probe(server) => self.pending.push_back(Event::Probed { server, report: None }),
            Action::Timer { after, token } => {
                self.schedule.add(now + after, ScheduledEvent::DecisionTimer(token));
            }
            Action::Log { .. } | Action::HealthChanged { .. } => {}
        }
    }

    /// Ends a connection and requests another one for its client.
    fn migrate(&mut self, request: RequestId) {
        let Some(connection) = self.connections.take_open(request) else { return };
        self.counts.moves += 1;
        self.queue_connection_end(connection);
        let request = self.connections.new_pending_request(connection.group, RequestOrigin::Migration);
        self.pending.push_back(Event::Request(request));
    }
}
