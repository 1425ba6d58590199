//! One hollow proxy, sans-io: fully deterministic, no sockets, no clocks, no chance but that from one seed.
//!
//! Its module, its member of the fleet view or of gossip and its member of the accord are the program's own, driven by
//! `cottonnotch-proxy-core`. Its connections are synthetic: drawn from the seed, set up after a fixed time, none ever fails. What it
//! holds grows with its connections, the nodes, the groups and the members, never with a product of two.

use crate::consensus_member::{Accord, accord, hash_of};
use crate::counters::Counts;
use crate::interface::{Due, Happening, Part, Wish};
use crate::nodes::Nodes;
use crate::records::What;
use crate::shape::{HOMES, Shape, mixed};
use cottonnotch_aggregation::FleetSection;
use cottonnotch_consensus::{DurableState, Input as Told, Topic, Verdict};
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
const COMES: Micros = 50 * MS;
/// Bytes of a content, as proposals tell; nothing of that size goes over the wire here.
const CONTENT: u32 = 64 * 1024;
/// A connection that is up.
#[derive(Clone, Copy, Debug)]
struct Open {
    request: RequestId,
    server: ServerId,
    group: u32,
}

/// A request that is owed an answer.
#[derive(Clone, Copy, Debug)]
struct Owed {
    group: u32,
    attempts: u32,
}

/// What it is in a tier: its number, all addresses, and what is the same for all.
#[derive(Clone, Debug)]
pub struct Place {
    /// The sizes.
    pub shape: Shape,
    /// Its number.
    pub me: u32,
    /// All members' addresses, by number.
    pub roster: Roster,
    /// Life of its process: Unix time in milliseconds at its start.
    pub life: u64,
    /// It begins with the whole tier, and not in a tier that runs.
    pub is_first: bool,
    /// What a voter had on disk; `None`: nothing.
    pub memory: Option<DurableState>,
}

/// Load and groups of connections by node, by the shape's numbers.
pub type Standing = BTreeMap<u32, (f64, BTreeSet<u32>)>;

/// What a member was told of all: members in its view, the time between two reports, and use by node.
pub type View = (u32, Micros, BTreeMap<u32, f64>);

/// A hollow proxy.
pub struct Hollow {
    shape: Shape,
    me: u32,
    settings: Settings,
    chance: ChaCha8Rng,
    balancer: Balancer,
    delays: MessageLatencies,
    nodes: Nodes,
    peers: Option<Peers>,
    accord: Option<Accord>,
    open: Vec<Open>,
    owed: BTreeMap<RequestId, Owed>,
    next_request: u64,
    due: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    number: u64,
    pending: VecDeque<Event>,
    out: VecDeque<Wish>,
    counts: Counts,
}

impl Hollow {
    /// A process that starts now, with the list that its configuration remembers.
    pub fn start(place: Place, known: &EndpointUpdate, now: Micros) -> Self {
        let Place { shape, me, roster, life, is_first, memory } = place;
        let seed = mixed(shape.seed, u64::from(me)) ^ life;
        let settings = shape.settings(me);
        let accord = accord(&shape, me, memory, is_first, now, seed);
        let peers = peers(&shape, me, roster, life, now, seed);
        let mut hollow = Hollow {
            balancer: Balancer::new(settings.clone(), seed, now),
            delays: MessageLatencies::new((&settings).into()),
            chance: ChaCha8Rng::seed_from_u64(seed),
            nodes: Nodes::default(),
            open: Vec::new(),
            owed: BTreeMap::new(),
            next_request: u64::from(me) << 40 | (life & 0xff_ffff) << 16,
            due: BinaryHeap::new(),
            number: 0,
            pending: VecDeque::new(),
            out: VecDeque::new(),
            counts: Counts::default(),
            shape,
            me,
            settings,
            peers,
            accord,
        };
        // Not all members of a joint start tick in one instant.
        let first = hollow.chance.random_range(0..REPORT_INTERVAL);
        hollow.later(now + first, Due::Second);
        hollow.next_arrival(now);
        let event = hollow.nodes.take(&mut hollow.delays, known, true);
        hollow.tell(now, event);
        hollow
    }

    /// Its connections are up from here on, as if set up before.
    pub fn open_all(&mut self, now: Micros) {
        for _ in 0..self.shape.connections {
            let group = self.any_group();
            let home = self.shape.home(group, self.chance.random_range(0..HOMES));
            let Some(server) = self.nodes.number(home) else { continue };
            let request = self.request(group, false);
            let id = request.id;
            self.tell(now, Event::Open { request, server });
            self.up(now, id, server, group, None);
        }
        self.open.shrink_to_fit();
    }

    /// Its connections are asked for through the module, one after another.
    pub fn come_all(&mut self, now: Micros) {
        for nth in 0..self.shape.connections {
            self.later(now + Micros::from(nth) * COMES, Due::First);
        }
    }

    fn any_group(&mut self) -> u32 {
        self.chance.random_range(0..self.shape.groups())
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
        self.delays.connection_opened(now, request, server, Some(digest(group)), setup);
        self.delays.load_changed(request, self.shape.load(self.me, request.0));
        self.open.push(Open { request, server, group });
    }

    fn next_arrival(&mut self, now: Micros) {
        if self.shape.setups > 0.0 {
            // Open load: exponential times between two, whatever became of the last one.
            let unit: f64 = self.chance.random_range(1e-9..1.0);
            let after = -unit.ln() / self.shape.setups * 1e6;
            self.later(now + after as Micros, Due::Arrival);
        }
    }

    fn later(&mut self, at: Micros, due: Due) {
        self.number += 1;
        self.due.push(Reverse((at, self.number, due)));
    }

    /// When [`Happening::Time`] is due, unless something else happens first.
    pub fn next_timeout(&self) -> Micros {
        let own = self.due.peek().map_or(Micros::MAX, |Reverse((at, ..))| *at);
        let peers = self.peers.as_ref().map_or(Micros::MAX, Peers::next_timeout);
        let accord = self.accord.as_ref().map_or(Micros::MAX, Accord::next_timeout);
        own.min(peers).min(accord)
    }

    /// The next thing that it wants done, if any.
    pub fn poll(&mut self) -> Option<Wish> {
        self.out.pop_front()
    }

    /// What it counted so far. Who drives it adds what only he knows: processor time.
    pub fn counts(&mut self) -> &mut Counts {
        &mut self.counts
    }

    /// What a voter has on disk.
    pub fn memory(&self) -> Option<DurableState> {
        self.accord.as_ref().and_then(|accord| accord.memory.clone())
    }

    /// It leads the accord.
    pub fn leads(&self) -> bool {
        let is_leader = |accord: &Accord| accord.member.status().role == cottonnotch_consensus::Role::Leader;
        self.accord.as_ref().is_some_and(is_leader)
    }

    /// The last list taken.
    pub fn revision(&self) -> u64 {
        self.nodes.revision()
    }

    /// Load and groups of its connections by node, by the shape's numbers.
    pub fn standing(&self) -> Standing {
        let mut all = Standing::new();
        for Open { request, server, group } in &self.open {
            let Some(node) = self.nodes.place(*server) else { continue };
            let (load, groups) = all.entry(node).or_default();
            *load += self.shape.load(self.me, request.0);
            groups.insert(*group);
        }
        all
    }

    /// What it was told of all: members in its view, the time between two reports, and use by node.
    pub fn view(&self) -> Option<View> {
        let member = self.peers.as_ref()?.aggregation_member()?;
        let view = member.snapshot()?;
        let named: BTreeMap<u32, f64> =
            view.endpoints().map(|(node, told)| (node.0, told.utilization)).collect();
        let by_place = (0..self.shape.nodes).filter_map(|place| {
            let digest = cottonnotch_gossip::EndpointDigest::of(&format!("n{place}"));
            named.get(&digest.bits()).map(|used| (place, *used))
        });
        Some((view.members, member.report_interval(), by_place.collect()))
    }

    /// Takes what happened; then [`Hollow::poll`] until it gives nothing.
    pub fn handle(&mut self, now: Micros, happening: Happening<'_>) {
        match happening {
            Happening::Datagram { from, bytes } => {
                self.counts.peers_in.add(bytes.len());
                self.hand_peers(now, Input::Datagram { from, bytes });
            }
            Happening::Accord { bytes } => {
                self.counts.accord_in.add(bytes.len());
                let Some(accord) = &mut self.accord else { return };
                if let Ok((from, message)) = accord.seal.open(bytes) {
                    let Ok(()) = accord.handle_input(now - accord.began, Told::Message { from, message });
                    self.take_accord();
                }
            }
            Happening::Listed { result, bytes } => {
                self.counts.list_bytes += bytes as u64;
                // A beat is a list of changes that names none.
                let nodes = result.endpoints.len() as u32;
                if result.complete {
                    self.out.push_back(Wish::Record(What::Listed { revision: result.revision, nodes }));
                }
                let event = self.nodes.take(&mut self.delays, result, false);
                self.tell(now, event);
                self.hand_accord(now, Told::ListReceived { revision: result.revision });
            }
            Happening::ListLost { silent: true } => self.tell(now, Event::ListSilent),
            Happening::ListLost { silent: false } => self.tell(now, Event::ListFailed),
            Happening::Propose { content, kind } => {
                self.out.push_back(Wish::Record(What::Proposed { content }));
                let hash = hash_of(content, kind);
                self.hand_accord(now, Told::Propose { topic: Topic::Rules, hash, size: CONTENT });
            }
            Happening::Time => self.time(now),
        }
    }

    /// What is due first is part of this.
    pub fn next_part(&self) -> Part {
        let peers = self.peers.as_ref().map_or(Micros::MAX, Peers::next_timeout);
        let accord = self.accord.as_ref().map_or(Micros::MAX, Accord::next_timeout);
        let own = self.due.peek().map(|Reverse((at, _, due))| (*at, due));
        match own {
            Some((at, due)) if at <= peers.min(accord) => match due {
                Due::Second => Part::Second,
                Due::First | Due::Arrival | Due::Module(_) | Due::Up { .. } => Part::Setups,
                Due::Checked { .. } | Due::Have { .. } => Part::Accord,
            },
            _ if peers <= accord => Part::Peers,
            _ => Part::Accord,
        }
    }

    /// One thing that is due; whoever drives it comes again while there is another.
    fn time(&mut self, now: Micros) {
        if self.next_timeout() > now {
            return;
        }
        match self.next_part() {
            Part::Second | Part::Setups => self.next_due(now),
            Part::Peers => self.hand_peers(now, Input::Tick),
            Part::Accord => {
                self.next_due(now);
                if let Some(accord) = &mut self.accord {
                    let Ok(()) = accord.handle_timeout(now - accord.began);
                    self.take_accord();
                }
            }
        }
    }

    fn next_due(&mut self, now: Micros) {
        if self.due.peek().is_some_and(|Reverse((at, ..))| *at <= now)
            && let Some(Reverse((_, _, due))) = self.due.pop()
        {
            self.due(now, due);
        }
    }

    fn due(&mut self, now: Micros, due: Due) {
        match due {
            Due::Second => {
                self.later(now + REPORT_INTERVAL, Due::Second);
                self.hand_peers(now, Input::EverySecond);
                for LatencyReport { server, latency: delay } in self.delays.due_reports(now) {
                    self.tell(now, Event::LatencyUpdate { server, latency: delay });
                }
            }
            Due::First => {
                let group = self.any_group();
                self.ask(now, group, false);
            }
            Due::Arrival => {
                self.next_arrival(now);
                // As many go as come, once there are as many as there should be.
                if self.open.len() as u32 >= self.shape.connections && !self.open.is_empty() {
                    let gone = self.chance.random_range(0..self.open.len());
                    let Open { request, server, .. } = self.open.swap_remove(gone);
                    self.ended(now, request, server);
                }
                let group = self.any_group();
                self.ask(now, group, false);
            }
            Due::Module(token) => self.tell(now, Event::Timer(token)),
            Due::Up { request, attempt, server } => {
                let (request, server) = (RequestId(request), ServerId(server));
                if let Some(Owed { group, .. }) = self.owed.remove(&request) {
                    self.counts.setups += 1;
                    self.up(now, request, server, group, Some(SETUP));
                    self.tell(now, Event::Established { request, attempt, server, elapsed: SETUP });
                }
            }
            Due::Checked { hash, agrees_from } => {
                let verdict = agrees_from.map_or(Verdict::Incompatible, |from| Verdict::Compatible { from });
                self.hand_accord(now, Told::Checked { topic: Topic::Rules, hash, verdict });
            }
            Due::Have { hash } => self.hand_accord(now, Told::ContentReady { hash }),
        }
    }

    fn ask(&mut self, now: Micros, group: u32, again: bool) {
        let request = self.request(group, again);
        self.owed.insert(request.id, Owed { group, attempts: 0 });
        self.tell(now, Event::Request(request));
    }

    fn ended(&mut self, now: Micros, request: RequestId, server: ServerId) {
        self.delays.connection_closed(request);
        self.tell(now, Event::Ended { request, attempt: 0, server, outcome: Outcome::Served, last: true });
    }

    fn hand_peers(&mut self, now: Micros, input: Input<'_>) {
        let Some(peers) = &mut self.peers else { return };
        let mut local = LocalState {
            latencies: &mut self.delays,
            servers: &self.nodes,
            settings: &self.settings,
            requests: self.open.len() + self.owed.len(),
            // This clock is Unix time, and is never stepped.
            unix: now,
        };
        peers.handle(now, input, &mut local);
        while let Some(output) = peers.poll() {
            match output {
                Output::Send { to, bytes } => {
                    self.counts.peers_out.add(bytes.len());
                    self.out.push_back(Wish::Datagram { to, bytes });
                }
                Output::Event(event) => {
                    if let Event::Fleet(tier) = &event {
                        let members = tier.nodes as u32;
                        self.out.push_back(Wish::Record(What::View { members }));
                    }
                    self.pending.push_back(event);
                }
                Output::Member { ordinal, state, .. } => {
                    let is = matches!(state, State::Dead);
                    self.out.push_back(Wish::Record(What::Dead { of: ordinal, is }));
                }
                Output::Aggregator(keeper) => self.out.push_back(Wish::Record(What::Keeper(keeper))),
            }
        }
        self.settle(now);
    }

    fn hand_accord(&mut self, now: Micros, input: Told) {
        let Some(accord) = &mut self.accord else { return };
        let Ok(()) = accord.handle_input(now - accord.began, input);
        self.take_accord();
    }

    fn take_accord(&mut self) {
        let Some(accord) = &mut self.accord else { return };
        let sent = accord.out.iter().filter_map(|wish| match wish {
            Wish::Accord { bytes, .. } => Some(bytes.len()),
            _ => None,
        });
        sent.for_each(|bytes| self.counts.accord_out.add(bytes));
        self.out.append(&mut accord.out);
        for (at, due) in std::mem::take(&mut accord.later) {
            self.later(at, due);
        }
    }

    fn tell(&mut self, now: Micros, event: Event) {
        self.pending.push_back(event);
        self.settle(now);
    }

    /// Hands the module what is pending, and what comes of its own actions; as the driver does.
    fn settle(&mut self, now: Micros) {
        let mut actions = Vec::new();
        while let Some(event) = self.pending.pop_front() {
            if let Some(peers) = &mut self.peers {
                peers.observe(now, &event);
            }
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action);
            }
        }
    }

    fn act(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { request, server, .. } => {
                let Some(owed) = self.owed.get_mut(&request) else { return };
                let attempt = owed.attempts;
                owed.attempts += 1;
                let (request, server) = (request.0, server.0);
                self.later(now + SETUP, Due::Up { request, attempt, server });
            }
            Action::Reject { request, .. } | Action::Fail { request, .. } => {
                self.owed.remove(&request);
                self.counts.refused += 1;
            }
            Action::Migrate(request) => {
                let Some(at) = self.open.iter().position(|open| open.request == request) else { return };
                let Open { request, server, group } = self.open.swap_remove(at);
                self.counts.moves += 1;
                self.delays.connection_closed(request);
                let (outcome, last) = (Outcome::Served, true);
                self.pending.push_back(Event::Ended { request, attempt: 0, server, outcome, last });
                let again = self.request(group, true);
                self.owed.insert(again.id, Owed { group, attempts: 0 });
                self.pending.push_back(Event::Request(again));
            }
            Action::WatchList => {
                self.counts.list_calls += 1;
                self.out.push_back(Wish::Watch { from: self.nodes.revision() });
            }
            Action::Probe(server) => self.pending.push_back(Event::Probed { server, report: None }),
            Action::Timer { after, token } => self.later(now + after, Due::Module(token)),
            Action::Log { .. } | Action::HealthChanged { .. } => {}
        }
    }
}

/// A group as the wire names it.
pub fn digest(group: u32) -> u64 {
    mixed(u64::from(group), 0x67)
}

fn peers(shape: &Shape, me: u32, roster: Roster, life: u64, now: Micros, seed: u64) -> Option<Peers> {
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
    let gossip = Gossip::new(settings, Keys::Address, me, shape.members, life, seed, now);
    Some(Peers::with_gossip(gossip, strength, roster))
}
