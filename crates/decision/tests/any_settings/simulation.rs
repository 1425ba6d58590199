//! Simulates clients, servers and server lists around one node, on virtual time. All events follow from the
//! plan and its seed.

use crate::checker::{Checker, Parameters, Violation};
use crate::mutants::Mutant;
use crate::routing_verdicts::RandomVerdicts;
use crate::strategies::{MS, Plan, S};
use cottonnotch_decision::*;
use std::collections::BTreeMap;

const START: Micros = 100 * S;
/// Duration of the period in which requests arrive.
const ARRIVAL_PERIOD: Micros = 12 * S;
/// End of the simulation. By then each request has its answer: deadlines are at most one minute, and requests
/// without a deadline take at most five time-outs of a one-minute target.
const END: Micros = START + ARRIVAL_PERIOD + 320 * S;
/// How long after its deadline an answer may arrive.
const ANSWER_SLACK: Micros = 8 * MS;

/// Counts of occurrences in a simulation. They show whether the simulations exercise the invariants.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub sent: usize,
    pub retries_after_a_run: usize,
    pub suppressed_writes: usize,
    pub established: usize,
    pub rejected: usize,
    pub failed: usize,
    pub clients_left: usize,
    pub answered_at_shutdown: usize,
    pub drains: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Condition {
    Healthy,
    Full,
    Failing,
    Down,
    Silent,
    /// Connections come up with a delay of up to 1.5 s.
    SlowToConnect,
    /// The server resets each connection.
    Resetting,
}

#[derive(Clone, Debug)]
enum SimEvent {
    RequestArrives(u64),
    ClientCloses(RequestId),
    Written { id: RequestId, number: usize, at: Micros },
    Established { id: RequestId, number: usize, server: ServerId, sent: Micros },
    AttemptEnds { id: RequestId, number: usize, server: ServerId, outcome: Outcome },
    Timer(u32),
    ListChanges,
    ConditionsChange,
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
    established: bool,
    finished: bool,
    may_have_run: bool,
}

pub struct Simulation<'a> {
    plan: &'a Plan,
    mutant: Option<Mutant>,
    random_state: u64,
    now: Micros,
    node: Balancer,
    checker: Checker,
    schedule: BTreeMap<(Micros, u64), SimEvent>,
    last_sequence_number: u64,
    servers: Vec<Server>,
    clients: BTreeMap<RequestId, Client>,
    subscribed: bool,
    shutting_down: bool,
    counts: Counts,
}

/// Runs the simulation of a plan to its end.
pub fn simulate(plan: &Plan, mutant: Option<Mutant>) -> (Counts, Vec<Violation>) {
    let settings = mutant.map_or(plan.settings.clone(), |mutant| mutant.settings(plan.settings.clone()));
    let verdicts = plan.has_rules.then_some(RandomVerdicts { seed: plan.seed, servers: plan.servers });
    let parameters = Parameters { slack: ANSWER_SLACK, grace: plan.grace, verdicts };
    let node = Balancer::new(settings, plan.seed, START);
    let node_verdicts = verdicts.filter(|_| mutant != Some(Mutant::IgnoresRules));
    let mut simulation = Simulation {
        plan,
        mutant,
        random_state: plan.seed,
        now: START,
        node: match node_verdicts {
            Some(verdicts) => node.with_rules(Box::new(verdicts)),
            None => node,
        },
        checker: Checker::new(parameters),
        schedule: BTreeMap::new(),
        last_sequence_number: 0,
        servers: Vec::new(),
        clients: BTreeMap::new(),
        subscribed: !plan.settings.list_on_request,
        shutting_down: false,
        counts: Counts::default(),
    };
    simulation.begin();
    while let Some(((at, _), event)) = simulation.schedule.pop_first() {
        if at > END {
            break;
        }
        if at > simulation.now {
            simulation.checker.advance_to(at);
            simulation.now = at;
        }
        simulation.apply(event);
    }
    simulation.checker.finish();
    (simulation.counts, simulation.checker.violations)
}

impl Simulation<'_> {
    fn random_below(&mut self, bound: u64) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = (self.random_state ^ (self.random_state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % bound.max(1)
    }

    fn random_chance(&mut self, percent: u64) -> bool {
        self.random_below(100) < percent
    }

    fn random_time(&mut self, most: Micros) -> Micros {
        self.random_below(most.max(1) as u64) as Micros
    }

    /// Schedules an event for the first batch that is not before `at`. Batches arrive at multiples of the
    /// step.
    fn schedule_at(&mut self, at: Micros, event: SimEvent) {
        let step = self.plan.settings.step.max(1);
        let at = at.max(self.now);
        let batch_time = (at.saturating_add(step - 1) / step).saturating_mul(step);
        self.last_sequence_number += 1;
        self.schedule.insert((batch_time, self.last_sequence_number), event);
    }

    fn begin(&mut self) {
        for number in 0..self.plan.servers {
            let entry = self.entry(number);
            let condition = self.condition();
            self.servers.push(Server { condition, entry });
        }
        let entries = self.servers.iter().map(|server| server.entry.clone()).collect();
        self.list(true, true, entries);
        for id in 0..self.random_below(5).min(1_000 * self.servers.len() as u64) {
            self.open(RequestId(1_000 + id));
        }
        for id in 0..u64::from(self.plan.requests) {
            let at = START + self.random_time(ARRIVAL_PERIOD);
            self.schedule_at(at, SimEvent::RequestArrives(id));
        }
        for _ in 0..self.random_below(20) {
            let (change, conditions) =
                (START + self.random_time(ARRIVAL_PERIOD), START + self.random_time(ARRIVAL_PERIOD));
            self.schedule_at(change, SimEvent::ListChanges);
            self.schedule_at(conditions, SimEvent::ConditionsChange);
            let outside_event = START + self.random_time(ARRIVAL_PERIOD);
            self.schedule_at(outside_event, SimEvent::OutsideEvent);
        }
        if let Some(after) = self.plan.shutdown {
            self.schedule_at(START + after, SimEvent::ShuttingDown);
        }
    }

    fn entry(&mut self, number: u32) -> Entry {
        let started = [None, Some(0), Some(self.now), Some(self.now - 2 * S), Some(self.now + S)];
        let weights = [1.0, 2.5, 0.0, -1.0, f64::NAN, f64::INFINITY, 1e-9, 1e9];
        let (started, weight) = (started[self.random_below(5) as usize], self.random_below(24) as usize);
        Entry {
            server: ServerId(number),
            digest: u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ self.plan.seed,
            state: ServerState::Ready,
            zone: ZoneId(self.random_below(u64::from(self.plan.zones)) as u16),
            cell: self.random_below(u64::from(self.plan.cells)) as u32,
            started,
            weight: weights.get(weight).copied().unwrap_or(1.0),
        }
    }

    fn condition(&mut self) -> Condition {
        if !self.random_chance(self.plan.faulty_percent) {
            return Condition::Healthy;
        }
        let conditions = [
            Condition::Full,
            Condition::Failing,
            Condition::Down,
            Condition::Silent,
            Condition::SlowToConnect,
            Condition::SlowToConnect,
            Condition::Resetting,
        ];
        conditions[self.random_below(conditions.len() as u64) as usize]
    }

    fn apply(&mut self, event: SimEvent) {
        match event {
            SimEvent::RequestArrives(id) => self.send_request(RequestId(id)),
            SimEvent::ClientCloses(id) => {
                if self.clients.get(&id).is_some_and(|client| !client.established) {
                    // The notification may cross the node's answer.
                    self.counts.clients_left += 1;
                    self.clients.entry(id).and_modify(|client| client.finished = true);
                    self.checker.client_closed(id);
                    self.notify(Event::ClientClosed(id));
                }
            }
            SimEvent::Written { id, number, at } => self.checker.written(at, id, number),
            SimEvent::Established { id, number, server, sent } => {
                let Some(client) = self.clients.get_mut(&id) else { return };
                if client.finished {
                    return self.end(id, number, server, Outcome::Cancelled);
                }
                client.established = true;
                self.counts.established += 1;
                self.checker.established(id);
                let (attempt, elapsed) = (number as u32, self.now - sent);
                self.notify(Event::Established { request: id, attempt, server, elapsed });
                let outcomes = [Outcome::Served, Outcome::Reset, Outcome::Cancelled];
                let outcome = outcomes[self.random_below(3) as usize];
                let ends = self.now + self.random_time(20 * S);
                self.schedule_at(ends, SimEvent::AttemptEnds { id, number, server, outcome });
            }
            SimEvent::AttemptEnds { id, number, server, outcome } => self.end(id, number, server, outcome),
            SimEvent::Timer(token) => self.notify(Event::Timer(token)),
            SimEvent::ListChanges => self.change_list(),
            SimEvent::ConditionsChange => {
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
                if self.random_chance(self.plan.list_failure_percent) {
                    let breaks = self.now + self.random_time(5 * S);
                    self.schedule_at(breaks, SimEvent::ListAnswer { fails: true });
                }
            }
            SimEvent::OutsideEvent => self.outside_event(),
            SimEvent::ShuttingDown => {
                self.shutting_down = true;
                self.checker.shutdown(self.now);
                let before = (self.counts.rejected, self.counts.failed);
                self.notify(Event::ShuttingDown);
                self.counts.answered_at_shutdown +=
                    self.counts.rejected + self.counts.failed - before.0 - before.1;
            }
        }
    }

    fn send_request(&mut self, id: RequestId) {
        let number = self.random_below(self.plan.patience.len() as u64) as usize;
        let left = self.plan.patience[number];
        let hints = [None, Some(0.0), Some(12_000.0), Some(1e9)];
        let request = Request {
            id,
            class: ClassId(number as u16),
            tenant: (!self.plan.settings.tenants.is_empty()).then_some(TenantId(0)),
            left,
            load_hint: hints[self.random_below(4) as usize],
            group: self.random_chance(50).then_some(self.random_state % 7),
            again: self.random_chance(30),
        };
        let deadline = left.map(|left| self.now + left);
        let client =
            Client { deadline, attempts: 0, established: false, finished: false, may_have_run: false };
        self.clients.insert(id, client);
        self.checker.request(self.now, &request, &self.plan.settings.classes[number]);
        if self.random_chance(self.plan.client_leave_percent) {
            let leaves = self.now + self.random_time(left.unwrap_or(5 * S).min(5 * S));
            self.schedule_at(leaves, SimEvent::ClientCloses(id));
        }
        self.notify(Event::Request(request));
    }

    /// Adds a connection that was already up when the node started, and schedules its end.
    fn open(&mut self, id: RequestId) {
        let server = ServerId(self.random_below(self.servers.len() as u64) as u32);
        let class = self.random_below(self.plan.patience.len() as u64) as usize;
        let request = Request {
            id,
            class: ClassId(class as u16),
            tenant: None,
            left: None,
            load_hint: None,
            group: None,
            again: false,
        };
        let client =
            Client { deadline: None, attempts: 1, established: true, finished: false, may_have_run: true };
        self.clients.insert(id, client);
        self.checker.request(self.now, &request, &self.plan.settings.classes[class]);
        self.checker.open(self.now, id);
        let outcome = [Outcome::Served, Outcome::Reset][self.random_below(2) as usize];
        let ends = self.now + self.random_time(ARRIVAL_PERIOD);
        self.schedule_at(ends, SimEvent::AttemptEnds { id, number: 0, server, outcome });
        self.notify(Event::Open { request, server });
    }

    /// Changes the server list. The node is notified only if it is subscribed.
    fn change_list(&mut self) {
        if self.servers.is_empty() {
            return;
        }
        let number = self.random_below(self.servers.len() as u64) as usize;
        let restarted = self.entry(number as u32);
        let state =
            [ServerState::Ready, ServerState::Draining, ServerState::Removed][self.random_below(3) as usize];
        self.counts.drains += usize::from(state != ServerState::Ready);
        // A server that starts again may be in another cell.
        let entry = match state {
            ServerState::Ready => restarted,
            state => Entry { state, ..self.servers[number].entry.clone() },
        };
        self.servers[number].entry = entry.clone();
        if self.subscribed {
            let is_full = self.random_chance(20);
            let changed = if is_full { &self.servers[..] } else { &self.servers[number..=number] };
            let entries = changed.iter().map(|server| server.entry.clone());
            // A full list does not contain removed servers.
            let entries = entries.filter(|entry| !is_full || entry.state != ServerState::Removed).collect();
            self.list(is_full, false, entries);
        }
        if self.random_chance(50) {
            let back = self.now + self.random_time(4 * S);
            self.schedule_at(back, SimEvent::ListChanges);
        }
    }

    fn list(&mut self, full: bool, copy: bool, entries: Vec<Entry>) {
        self.checker.list(self.now, full, &entries);
        self.notify(Event::List { full, copy, entries });
    }

    /// Notifies the node of a random event from its peers, the servers or the operators.
    fn outside_event(&mut self) {
        let server = ServerId(self.random_below(u64::from(self.plan.servers) + 2) as u32);
        let verdict = [PeerVerdict::Healthy, PeerVerdict::Unhealthy, PeerVerdict::Inconclusive]
            [self.random_below(3) as usize];
        let event = match self.random_below(8) {
            0 => Event::LatencyUpdate { server, latency: self.random_time(2 * S) },
            1 => Event::Fleet(FleetStatus {
                nodes: self.random_below(400) as f64,
                demand_share: 0.01,
                failure_rate: self.random_below(2) as f64,
            }),
            2 => Event::RulesChanged,
            3 if self.subscribed => Event::ListSilent,
            4 => Event::ManualOverride { entries: Vec::new() },
            5 => {
                // The number of nodes changes; the classes stay the same.
                let grown =
                    Settings { nodes: 1 + self.random_below(300) as u32, ..self.plan.settings.clone() };
                let applied_settings = self.mutant.map_or(grown.clone(), |mutant| mutant.settings(grown));
                Event::Settings(Box::new(applied_settings))
            }
            6 => Event::LoadUpdate { request: RequestId(self.random_below(80)), load: 1e5 },
            _ => Event::PeerReport { from: self.random_below(4) as u32, server, verdict },
        };
        self.notify(event);
    }

    fn end(&mut self, id: RequestId, number: usize, server: ServerId, outcome: Outcome) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let last = client.finished || client.established;
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
            actions = mutant.actions(self.shutting_down, actions);
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
                self.clients.entry(request).and_modify(|client| client.finished = true);
            }
            Action::Fail { request, .. } => {
                self.counts.failed += 1;
                self.clients.entry(request).and_modify(|client| client.finished = true);
            }
            Action::Timer { after, token } => {
                assert!((0..=71 * 60 * S).contains(&after), "a timer of {after} us");
                // If timers fired in the batch that sets them, time might never advance.
                let at = self.now + after.max(1);
                self.schedule_at(at, SimEvent::Timer(token));
            }
            Action::WatchList => {
                let fails = self.random_chance(self.plan.list_failure_percent);
                let after = self.now + self.random_time(300 * MS);
                self.schedule_at(after, SimEvent::ListAnswer { fails });
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
        let times_out_at = if timeout > 0 { now.saturating_add(timeout) } else { Micros::MAX };
        let limit = times_out_at.min(client.deadline.unwrap_or(Micros::MAX));
        let connect = if condition == Condition::SlowToConnect {
            self.random_time(1_500 * MS)
        } else {
            self.random_time(5 * MS)
        };
        let (up_at, write_deadline) = (now + connect, before.unwrap_or(Micros::MAX));
        let end = |outcome| SimEvent::AttemptEnds { id, number, server, outcome };
        if condition == Condition::Down && up_at < limit {
            return self.schedule_at(up_at, end(Outcome::ConnectFailed));
        }
        if up_at >= limit.min(write_deadline) {
            self.counts.suppressed_writes += usize::from(write_deadline < limit);
            let unsent = if self.random_chance(50) { Outcome::NotSent } else { Outcome::ConnectFailed };
            let outcome = if write_deadline < limit { unsent } else { Outcome::TimedOut };
            return if limit.min(write_deadline) < Micros::MAX {
                self.schedule_at(limit.min(write_deadline), end(outcome))
            };
        }
        self.schedule_at(up_at, SimEvent::Written { id, number, at: up_at });
        let answered_at = up_at + self.random_time(40 * MS);
        if answered_at >= limit || condition == Condition::Silent {
            return if limit < Micros::MAX {
                self.schedule_at(limit, end(Outcome::TimedOut))
            };
        }
        let event = match condition {
            Condition::Full => end(Outcome::Full),
            Condition::Failing => end(Outcome::Error),
            Condition::Resetting => end(Outcome::Reset),
            _ => SimEvent::Established { id, number, server, sent: now },
        };
        self.schedule_at(answered_at, event);
    }
}
