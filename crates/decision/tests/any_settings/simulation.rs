//! Simulates clients, servers and server lists around one node, on virtual time. All events follow from the
//! plan and its seed.

use crate::checker::{Checker, Figures, Violation};
use crate::mutants::Mutant;
use crate::routing_verdicts::RandomVerdicts;
use crate::strategies::{MS, Plan, S};
use cottonnotch_decision::*;
use std::collections::BTreeMap;

const START: Micros = 100 * S;
/// Duration of the period in which requests arrive.
const BUSY: Micros = 12 * S;
/// End of the simulation. By then each request has its answer: deadlines are at most one minute, and requests
/// without a deadline take at most five time-outs of a one-minute target.
const OVER: Micros = START + BUSY + 320 * S;
/// How long after its deadline an answer may arrive.
const SLACK: Micros = 8 * MS;

/// Counts of occurrences in a simulation. They show whether the simulations exercise the invariants.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub sent: usize,
    pub retries_after_a_run: usize,
    pub suppressed_writes: usize,
    pub up: usize,
    pub rejected: usize,
    pub failed: usize,
    pub left: usize,
    pub answered_at_shutdown: usize,
    pub drains: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Condition {
    Well,
    Full,
    Failing,
    Down,
    Silent,
    /// Connections come up with a delay of up to 1.5 s.
    Late,
    /// The server resets each connection.
    Cutting,
}

#[derive(Clone, Debug)]
enum SimEvent {
    Ask(u64),
    ClientCloses(RequestId),
    Written { id: RequestId, number: usize, at: Micros },
    Up { id: RequestId, number: usize, server: ServerId, sent: Micros },
    End { id: RequestId, number: usize, server: ServerId, outcome: Outcome },
    Timer(u32),
    Change,
    Conditions,
    ListAnswer { fails: bool },
    OutsideEvent,
    ShuttingDown,
}

#[derive(Clone, Debug)]
struct Server {
    condition: Condition,
    entry: Entry,
}

/// State of a request from the point of view of its client.
#[derive(Clone, Debug)]
struct Client {
    deadline: Option<Micros>,
    attempts: usize,
    up: bool,
    over: bool,
    may_have_run: bool,
}

pub struct Simulation<'a> {
    plan: &'a Plan,
    mutant: Option<Mutant>,
    random: u64,
    now: Micros,
    node: Balancer,
    checker: Checker,
    agenda: BTreeMap<(Micros, u64), SimEvent>,
    number: u64,
    servers: Vec<Server>,
    clients: BTreeMap<RequestId, Client>,
    subscribed: bool,
    ends: bool,
    counts: Counts,
}

/// Runs the simulation of a plan to its end.
pub fn play(plan: &Plan, mutant: Option<Mutant>) -> (Counts, Vec<Violation>) {
    let settings = mutant.map_or(plan.settings.clone(), |mutant| mutant.settings(plan.settings.clone()));
    let verdicts = plan.under_rules.then_some(RandomVerdicts { seed: plan.seed, servers: plan.servers });
    let figures = Figures { slack: SLACK, grace: plan.grace, verdicts };
    let node = Balancer::new(settings, plan.seed, START);
    let heard = verdicts.filter(|_| mutant != Some(Mutant::MissesVerdicts));
    let mut simulation = Simulation {
        plan,
        mutant,
        random: plan.seed,
        now: START,
        node: match heard {
            Some(verdicts) => node.with_rules(Box::new(verdicts)),
            None => node,
        },
        checker: Checker::new(figures),
        agenda: BTreeMap::new(),
        number: 0,
        servers: Vec::new(),
        clients: BTreeMap::new(),
        subscribed: !plan.settings.list_on_request,
        ends: false,
        counts: Counts::default(),
    };
    simulation.begin();
    while let Some(((at, _), event)) = simulation.agenda.pop_first() {
        if at > OVER {
            break;
        }
        if at > simulation.now {
            simulation.checker.passed(at);
            simulation.now = at;
        }
        simulation.apply(event);
    }
    simulation.checker.end();
    (simulation.counts, simulation.checker.violations)
}

impl Simulation<'_> {
    fn below(&mut self, bound: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % bound.max(1)
    }

    fn chance(&mut self, of_a_hundred: u64) -> bool {
        self.below(100) < of_a_hundred
    }

    fn time(&mut self, most: Micros) -> Micros {
        self.below(most.max(1) as u64) as Micros
    }

    /// Schedules an event for the first batch that is not before `at`. Batches arrive at multiples of the
    /// step.
    fn at(&mut self, at: Micros, event: SimEvent) {
        let step = self.plan.settings.step.max(1);
        let at = at.max(self.now);
        let mark = (at.saturating_add(step - 1) / step).saturating_mul(step);
        self.number += 1;
        self.agenda.insert((mark, self.number), event);
    }

    fn begin(&mut self) {
        for number in 0..self.plan.servers {
            let entry = self.entry(number);
            let condition = self.condition();
            self.servers.push(Server { condition, entry });
        }
        let entries = self.servers.iter().map(|server| server.entry.clone()).collect();
        self.list(true, true, entries);
        for id in 0..self.below(5).min(1_000 * self.servers.len() as u64) {
            self.open(RequestId(1_000 + id));
        }
        for id in 0..u64::from(self.plan.requests) {
            let at = START + self.time(BUSY);
            self.at(at, SimEvent::Ask(id));
        }
        for _ in 0..self.below(20) {
            let (change, conditions) = (START + self.time(BUSY), START + self.time(BUSY));
            self.at(change, SimEvent::Change);
            self.at(conditions, SimEvent::Conditions);
            let outside_event = START + self.time(BUSY);
            self.at(outside_event, SimEvent::OutsideEvent);
        }
        if let Some(after) = self.plan.shutdown {
            self.at(START + after, SimEvent::ShuttingDown);
        }
    }

    fn entry(&mut self, number: u32) -> Entry {
        let started = [None, Some(0), Some(self.now), Some(self.now - 2 * S), Some(self.now + S)];
        let weights = [1.0, 2.5, 0.0, -1.0, f64::NAN, f64::INFINITY, 1e-9, 1e9];
        let (started, weight) = (started[self.below(5) as usize], self.below(24) as usize);
        Entry {
            server: ServerId(number),
            digest: u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ self.plan.seed,
            state: ServerState::Ready,
            zone: ZoneId(self.below(u64::from(self.plan.zones)) as u16),
            cell: self.below(u64::from(self.plan.cells)) as u32,
            started,
            weight: weights.get(weight).copied().unwrap_or(1.0),
        }
    }

    fn condition(&mut self) -> Condition {
        if !self.chance(self.plan.faulty) {
            return Condition::Well;
        }
        let conditions = [
            Condition::Full,
            Condition::Failing,
            Condition::Down,
            Condition::Silent,
            Condition::Late,
            Condition::Late,
            Condition::Cutting,
        ];
        conditions[self.below(conditions.len() as u64) as usize]
    }

    fn apply(&mut self, event: SimEvent) {
        match event {
            SimEvent::Ask(id) => self.ask(RequestId(id)),
            SimEvent::ClientCloses(id) => {
                if self.clients.get(&id).is_some_and(|client| !client.up) {
                    // The notification may cross the node's answer.
                    self.counts.left += 1;
                    self.clients.entry(id).and_modify(|client| client.over = true);
                    self.checker.client_closed(id);
                    self.notify(Event::ClientClosed(id));
                }
            }
            SimEvent::Written { id, number, at } => self.checker.written(at, id, number),
            SimEvent::Up { id, number, server, sent } => {
                let Some(client) = self.clients.get_mut(&id) else { return };
                if client.over {
                    return self.end(id, number, server, Outcome::Cancelled);
                }
                client.up = true;
                self.counts.up += 1;
                self.checker.established(id);
                let (attempt, elapsed) = (number as u32, self.now - sent);
                self.notify(Event::Established { request: id, attempt, server, elapsed });
                let outcomes = [Outcome::Served, Outcome::Reset, Outcome::Cancelled];
                let outcome = outcomes[self.below(3) as usize];
                let ends = self.now + self.time(20 * S);
                self.at(ends, SimEvent::End { id, number, server, outcome });
            }
            SimEvent::End { id, number, server, outcome } => self.end(id, number, server, outcome),
            SimEvent::Timer(token) => self.notify(Event::Timer(token)),
            SimEvent::Change => self.change(),
            SimEvent::Conditions => {
                for number in 0..self.servers.len() {
                    self.servers[number].condition = self.condition();
                }
            }
            SimEvent::ListAnswer { fails: true } => {
                self.subscribed = false;
                self.notify(Event::ListFailed);
            }
            SimEvent::ListAnswer { fails: false } => {
                self.subscribed = true;
                let entries = self.servers.iter().map(|server| server.entry.clone()).collect();
                self.list(true, false, entries);
                if self.chance(self.plan.list_fails) {
                    let breaks = self.now + self.time(5 * S);
                    self.at(breaks, SimEvent::ListAnswer { fails: true });
                }
            }
            SimEvent::OutsideEvent => self.outside_event(),
            SimEvent::ShuttingDown => {
                self.ends = true;
                self.checker.shutdown(self.now);
                let before = (self.counts.rejected, self.counts.failed);
                self.notify(Event::ShuttingDown);
                self.counts.answered_at_shutdown +=
                    self.counts.rejected + self.counts.failed - before.0 - before.1;
            }
        }
    }

    fn ask(&mut self, id: RequestId) {
        let number = self.below(self.plan.patience.len() as u64) as usize;
        let left = self.plan.patience[number];
        let hints = [None, Some(0.0), Some(12_000.0), Some(1e9)];
        let request = Request {
            id,
            class: ClassId(number as u16),
            tenant: (!self.plan.settings.tenants.is_empty()).then_some(TenantId(0)),
            left,
            load_hint: hints[self.below(4) as usize],
            group: self.chance(50).then_some(self.random % 7),
            again: self.chance(30),
        };
        let deadline = left.map(|left| self.now + left);
        let client = Client { deadline, attempts: 0, up: false, over: false, may_have_run: false };
        self.clients.insert(id, client);
        self.checker.request(self.now, &request, &self.plan.settings.classes[number]);
        if self.chance(self.plan.clients_leave) {
            let leaves = self.now + self.time(left.unwrap_or(5 * S).min(5 * S));
            self.at(leaves, SimEvent::ClientCloses(id));
        }
        self.notify(Event::Request(request));
    }

    /// Adds a connection that was already up when the node started, and schedules its end.
    fn open(&mut self, id: RequestId) {
        let server = ServerId(self.below(self.servers.len() as u64) as u32);
        let class = self.below(self.plan.patience.len() as u64) as usize;
        let request = Request {
            id,
            class: ClassId(class as u16),
            tenant: None,
            left: None,
            load_hint: None,
            group: None,
            again: false,
        };
        let client = Client { deadline: None, attempts: 1, up: true, over: false, may_have_run: true };
        self.clients.insert(id, client);
        self.checker.request(self.now, &request, &self.plan.settings.classes[class]);
        self.checker.open(self.now, id);
        let outcome = [Outcome::Served, Outcome::Reset][self.below(2) as usize];
        let ends = self.now + self.time(BUSY);
        self.at(ends, SimEvent::End { id, number: 0, server, outcome });
        self.notify(Event::Open { request, server });
    }

    /// Changes the server list. The node is notified only if it is subscribed.
    fn change(&mut self) {
        if self.servers.is_empty() {
            return;
        }
        let number = self.below(self.servers.len() as u64) as usize;
        let anew = self.entry(number as u32);
        let state = [ServerState::Ready, ServerState::Draining, ServerState::Removed][self.below(3) as usize];
        self.counts.drains += usize::from(state != ServerState::Ready);
        // A server that starts again may be in another cell.
        let entry = match state {
            ServerState::Ready => anew,
            state => Entry { state, ..self.servers[number].entry.clone() },
        };
        self.servers[number].entry = entry.clone();
        if self.subscribed {
            let is_full = self.chance(20);
            let changed = if is_full { &self.servers[..] } else { &self.servers[number..=number] };
            let entries = changed.iter().map(|server| server.entry.clone());
            // A full list does not contain removed servers.
            let entries = entries.filter(|entry| !is_full || entry.state != ServerState::Removed).collect();
            self.list(is_full, false, entries);
        }
        if self.chance(50) {
            let back = self.now + self.time(4 * S);
            self.at(back, SimEvent::Change);
        }
    }

    fn list(&mut self, full: bool, copy: bool, entries: Vec<Entry>) {
        self.checker.list(self.now, full, &entries);
        self.notify(Event::List { full, copy, entries });
    }

    /// Notifies the node of a random event from its peers, the servers or the operators.
    fn outside_event(&mut self) {
        let server = ServerId(self.below(u64::from(self.plan.servers) + 2) as u32);
        let word =
            [PeerVerdict::Healthy, PeerVerdict::Unhealthy, PeerVerdict::Inconclusive][self.below(3) as usize];
        let event = match self.below(8) {
            0 => Event::LatencyUpdate { server, latency: self.time(2 * S) },
            1 => Event::Fleet(FleetStatus {
                nodes: self.below(400) as f64,
                demand_share: 0.01,
                failure_rate: self.below(2) as f64,
            }),
            2 => Event::RulesChanged,
            3 if self.subscribed => Event::ListSilent,
            4 => Event::ManualOverride { entries: Vec::new() },
            5 => {
                // The number of nodes changes; the classes stay the same.
                let grown = Settings { nodes: 1 + self.below(300) as u32, ..self.plan.settings.clone() };
                let believed = self.mutant.map_or(grown.clone(), |mutant| mutant.settings(grown));
                Event::Settings(Box::new(believed))
            }
            6 => Event::LoadUpdate { request: RequestId(self.below(80)), load: 1e5 },
            _ => Event::PeerReport { from: self.below(4) as u32, server, verdict: word },
        };
        self.notify(event);
    }

    fn end(&mut self, id: RequestId, number: usize, server: ServerId, outcome: Outcome) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let last = client.over || client.up;
        client.may_have_run |= !outcome.never_ran();
        self.checker.ended(id, number, outcome);
        self.notify(Event::Ended { request: id, attempt: number as u32, server, outcome, last });
    }

    // ---- the node ----

    fn notify(&mut self, event: Event) {
        let event = self.mutant.map_or(Some(event.clone()), |mutant| mutant.event(event));
        let mut actions = Vec::new();
        if let Some(event) = event {
            self.node.handle(self.now, event, &mut actions);
        }
        if let Some(mutant) = self.mutant {
            actions = mutant.actions(self.ends, actions);
        }
        for action in actions {
            self.checker.action(self.now, &action);
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { request, server, timeout, before } => self.send(request, server, timeout, before),
            Action::Reject { request, .. } => {
                self.counts.rejected += 1;
                self.clients.entry(request).and_modify(|client| client.over = true);
            }
            Action::Fail { request, .. } => {
                self.counts.failed += 1;
                self.clients.entry(request).and_modify(|client| client.over = true);
            }
            Action::Timer { after, token } => {
                assert!((0..=71 * 60 * S).contains(&after), "a timer of {after} us");
                // If timers fired in the batch that sets them, time might never advance.
                let at = self.now + after.max(1);
                self.at(at, SimEvent::Timer(token));
            }
            Action::WatchList => {
                let fails = self.chance(self.plan.list_fails);
                let after = self.now + self.time(300 * MS);
                self.at(after, SimEvent::ListAnswer { fails });
            }
            Action::Migrate(_) | Action::Probe(_) | Action::Log { .. } | Action::HealthChanged { .. } => {}
        }
    }

    fn send(&mut self, id: RequestId, server: ServerId, timeout: Micros, before: Option<Micros>) {
        assert!(timeout >= 0, "a time-out of {timeout} us");
        let condition =
            self.servers.get(server.0 as usize).map_or(Condition::Down, |server| server.condition);
        let now = self.now;
        let Some(client) = self.clients.get_mut(&id) else { return };
        let number = client.attempts;
        client.attempts += 1;
        self.counts.sent += 1;
        self.counts.retries_after_a_run += usize::from(client.may_have_run);
        // An attempt without a time-out ends when the client gives up, or never if the client has no
        // deadline.
        let told = if timeout > 0 { now.saturating_add(timeout) } else { Micros::MAX };
        let limit = told.min(client.deadline.unwrap_or(Micros::MAX));
        let connect = if condition == Condition::Late { self.time(1_500 * MS) } else { self.time(5 * MS) };
        let (up, closes) = (now + connect, before.unwrap_or(Micros::MAX));
        let end = |outcome| SimEvent::End { id, number, server, outcome };
        if condition == Condition::Down && up < limit {
            return self.at(up, end(Outcome::ConnectFailed));
        }
        if up >= limit.min(closes) {
            self.counts.suppressed_writes += usize::from(closes < limit);
            let never = if self.chance(50) { Outcome::NotSent } else { Outcome::ConnectFailed };
            let outcome = if closes < limit { never } else { Outcome::TimedOut };
            return if limit.min(closes) < Micros::MAX {
                self.at(limit.min(closes), end(outcome))
            };
        }
        self.at(up, SimEvent::Written { id, number, at: up });
        let answers = up + self.time(40 * MS);
        if answers >= limit || condition == Condition::Silent {
            return if limit < Micros::MAX {
                self.at(limit, end(Outcome::TimedOut))
            };
        }
        let event = match condition {
            Condition::Full => end(Outcome::Full),
            Condition::Failing => end(Outcome::Error),
            Condition::Cutting => end(Outcome::Reset),
            _ => SimEvent::Up { id, number, server, sent: now },
        };
        self.at(answers, event);
    }
}
