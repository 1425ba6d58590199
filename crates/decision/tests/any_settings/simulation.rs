//! Clients, servers and lists around one node, on virtual time. All that happens follows from the plan and its seed.

use crate::checker::{Figures, Judge, Violation};
use crate::mutants::Mutant;
use crate::routing_verdicts::Whims;
use crate::strategies::{MS, Plan, S};
use cottonnotch_decision::*;
use std::collections::BTreeMap;

const START: Micros = 100 * S;
/// Requests come within this time ...
const BUSY: Micros = 12 * S;
/// ... and after this everything has its answer: a minute's deadline, or five time-outs of a minute's target.
const OVER: Micros = START + BUSY + 320 * S;
/// What the wire allows after a deadline.
const SLACK: Micros = 8 * MS;

/// What was seen in a play, to know that plays show what they are to show.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    pub sent: usize,
    pub repeats_after_a_run: usize,
    pub kept_from_writing: usize,
    pub up: usize,
    pub refused: usize,
    pub failed: usize,
    pub left: usize,
    pub answered_at_the_end: usize,
    pub drains: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Mood {
    Well,
    Full,
    Failing,
    Down,
    Silent,
    /// Connections come up late, up to 1.5 s.
    Late,
    /// Resets what it was sent.
    Cutting,
}

#[derive(Clone, Debug)]
enum Happening {
    Ask(u64),
    Leave(RequestId),
    Written { id: RequestId, number: usize, at: Micros },
    Up { id: RequestId, number: usize, server: ServerId, sent: Micros },
    End { id: RequestId, number: usize, server: ServerId, outcome: Outcome },
    Ring(u32),
    Change,
    Moods,
    ListAnswer { fails: bool },
    Hearsay,
    Leaving,
}

#[derive(Clone, Debug)]
struct Server {
    mood: Mood,
    entry: Entry,
}

/// A request as its client sees it.
#[derive(Clone, Debug)]
struct Client {
    deadline: Option<Micros>,
    attempts: usize,
    up: bool,
    over: bool,
    may_have_run: bool,
}

pub struct World<'a> {
    plan: &'a Plan,
    mutant: Option<Mutant>,
    random: u64,
    now: Micros,
    node: Balancer,
    judge: Judge,
    agenda: BTreeMap<(Micros, u64), Happening>,
    number: u64,
    servers: Vec<Server>,
    clients: BTreeMap<RequestId, Client>,
    subscribed: bool,
    ends: bool,
    seen: Seen,
}

/// Plays a plan to its end.
pub fn play(plan: &Plan, mutant: Option<Mutant>) -> (Seen, Vec<Violation>) {
    let settings = mutant.map_or(plan.settings.clone(), |mutant| mutant.settings(plan.settings.clone()));
    let whims = plan.ruled.then_some(Whims { seed: plan.seed, servers: plan.servers });
    let figures = Figures { slack: SLACK, grace: plan.grace, whims };
    let node = Balancer::new(settings, plan.seed, START);
    let heard = whims.filter(|_| mutant != Some(Mutant::MissesRulings));
    let mut world = World {
        plan,
        mutant,
        random: plan.seed,
        now: START,
        node: match heard {
            Some(whims) => node.with_rules(Box::new(whims)),
            None => node,
        },
        judge: Judge::new(figures),
        agenda: BTreeMap::new(),
        number: 0,
        servers: Vec::new(),
        clients: BTreeMap::new(),
        subscribed: !plan.settings.list_on_request,
        ends: false,
        seen: Seen::default(),
    };
    world.begin();
    while let Some(((at, _), happening)) = world.agenda.pop_first() {
        if at > OVER {
            break;
        }
        if at > world.now {
            world.judge.passed(at);
            world.now = at;
        }
        world.happen(happening);
    }
    world.judge.end();
    (world.seen, world.judge.violations)
}

impl World<'_> {
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

    /// Batches come at marks of the step, and what is due comes with the next.
    fn at(&mut self, at: Micros, happening: Happening) {
        let step = self.plan.settings.step.max(1);
        let at = at.max(self.now);
        let mark = (at.saturating_add(step - 1) / step).saturating_mul(step);
        self.number += 1;
        self.agenda.insert((mark, self.number), happening);
    }

    fn begin(&mut self) {
        for number in 0..self.plan.servers {
            let entry = self.entry(number);
            let mood = self.mood();
            self.servers.push(Server { mood, entry });
        }
        let entries = self.servers.iter().map(|server| server.entry.clone()).collect();
        self.list(true, true, entries);
        for id in 0..self.below(5).min(1_000 * self.servers.len() as u64) {
            self.open(RequestId(1_000 + id));
        }
        for id in 0..u64::from(self.plan.requests) {
            let at = START + self.time(BUSY);
            self.at(at, Happening::Ask(id));
        }
        for _ in 0..self.below(20) {
            let (change, moods) = (START + self.time(BUSY), START + self.time(BUSY));
            self.at(change, Happening::Change);
            self.at(moods, Happening::Moods);
            let hearsay = START + self.time(BUSY);
            self.at(hearsay, Happening::Hearsay);
        }
        if let Some(after) = self.plan.leaving {
            self.at(START + after, Happening::Leaving);
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

    fn mood(&mut self) -> Mood {
        if !self.chance(self.plan.unwell) {
            return Mood::Well;
        }
        let moods =
            [Mood::Full, Mood::Failing, Mood::Down, Mood::Silent, Mood::Late, Mood::Late, Mood::Cutting];
        moods[self.below(moods.len() as u64) as usize]
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Ask(id) => self.ask(RequestId(id)),
            Happening::Leave(id) => {
                if self.clients.get(&id).is_some_and(|client| !client.up) {
                    // It may cross the answer.
                    self.seen.left += 1;
                    self.clients.entry(id).and_modify(|client| client.over = true);
                    self.judge.gone(id);
                    self.tell(Event::ClientClosed(id));
                }
            }
            Happening::Written { id, number, at } => self.judge.written(at, id, number),
            Happening::Up { id, number, server, sent } => {
                let Some(client) = self.clients.get_mut(&id) else { return };
                if client.over {
                    return self.end(id, number, server, Outcome::Cancelled);
                }
                client.up = true;
                self.seen.up += 1;
                self.judge.established(id);
                let (attempt, elapsed) = (number as u32, self.now - sent);
                self.tell(Event::Established { request: id, attempt, server, elapsed });
                let outcomes = [Outcome::Served, Outcome::Reset, Outcome::Cancelled];
                let outcome = outcomes[self.below(3) as usize];
                let ends = self.now + self.time(20 * S);
                self.at(ends, Happening::End { id, number, server, outcome });
            }
            Happening::End { id, number, server, outcome } => self.end(id, number, server, outcome),
            Happening::Ring(token) => self.tell(Event::Timer(token)),
            Happening::Change => self.change(),
            Happening::Moods => {
                for number in 0..self.servers.len() {
                    self.servers[number].mood = self.mood();
                }
            }
            Happening::ListAnswer { fails: true } => {
                self.subscribed = false;
                self.tell(Event::ListFailed);
            }
            Happening::ListAnswer { fails: false } => {
                self.subscribed = true;
                let entries = self.servers.iter().map(|server| server.entry.clone()).collect();
                self.list(true, false, entries);
                if self.chance(self.plan.list_fails) {
                    let breaks = self.now + self.time(5 * S);
                    self.at(breaks, Happening::ListAnswer { fails: true });
                }
            }
            Happening::Hearsay => self.hearsay(),
            Happening::Leaving => {
                self.ends = true;
                self.judge.leaving(self.now);
                let before = (self.seen.refused, self.seen.failed);
                self.tell(Event::ShuttingDown);
                self.seen.answered_at_the_end += self.seen.refused + self.seen.failed - before.0 - before.1;
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
        self.judge.request(self.now, &request, &self.plan.settings.classes[number]);
        if self.chance(self.plan.clients_leave) {
            let leaves = self.now + self.time(left.unwrap_or(5 * S).min(5 * S));
            self.at(leaves, Happening::Leave(id));
        }
        self.tell(Event::Request(request));
    }

    /// A connection that is up from before the start, and ends some time.
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
        self.judge.request(self.now, &request, &self.plan.settings.classes[class]);
        self.judge.open(self.now, id);
        let outcome = [Outcome::Served, Outcome::Reset][self.below(2) as usize];
        let ends = self.now + self.time(BUSY);
        self.at(ends, Happening::End { id, number: 0, server, outcome });
        self.tell(Event::Open { request, server });
    }

    /// The list changes, as this node hears it or not.
    fn change(&mut self) {
        if self.servers.is_empty() {
            return;
        }
        let number = self.below(self.servers.len() as u64) as usize;
        let anew = self.entry(number as u32);
        let state = [ServerState::Ready, ServerState::Draining, ServerState::Removed][self.below(3) as usize];
        self.seen.drains += usize::from(state != ServerState::Ready);
        // What starts anew may be put into another cell.
        let entry = match state {
            ServerState::Ready => anew,
            state => Entry { state, ..self.servers[number].entry.clone() },
        };
        self.servers[number].entry = entry.clone();
        if self.subscribed {
            let whole = self.chance(20);
            let changed = if whole { &self.servers[..] } else { &self.servers[number..=number] };
            let entries = changed.iter().map(|server| server.entry.clone());
            // What is gone is left out of a whole list.
            let entries = entries.filter(|entry| !whole || entry.state != ServerState::Removed).collect();
            self.list(whole, false, entries);
        }
        if self.chance(50) {
            let back = self.now + self.time(4 * S);
            self.at(back, Happening::Change);
        }
    }

    fn list(&mut self, full: bool, copy: bool, entries: Vec<Entry>) {
        self.judge.list(self.now, full, &entries);
        self.tell(Event::List { full, copy, entries });
    }

    /// What peers, servers and the operators say.
    fn hearsay(&mut self) {
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
                // The tier has grown; classes keep what they are.
                let grown = Settings { nodes: 1 + self.below(300) as u32, ..self.plan.settings.clone() };
                let believed = self.mutant.map_or(grown.clone(), |mutant| mutant.settings(grown));
                Event::Settings(Box::new(believed))
            }
            6 => Event::LoadUpdate { request: RequestId(self.below(80)), load: 1e5 },
            _ => Event::PeerReport { from: self.below(4) as u32, server, verdict: word },
        };
        self.tell(event);
    }

    fn end(&mut self, id: RequestId, number: usize, server: ServerId, outcome: Outcome) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let last = client.over || client.up;
        client.may_have_run |= !outcome.never_ran();
        self.judge.ended(id, number, outcome);
        self.tell(Event::Ended { request: id, attempt: number as u32, server, outcome, last });
    }

    // ---- the node ----

    fn tell(&mut self, event: Event) {
        let event = self.mutant.map_or(Some(event.clone()), |mutant| mutant.event(event));
        let mut actions = Vec::new();
        if let Some(event) = event {
            self.node.handle(self.now, event, &mut actions);
        }
        if let Some(mutant) = self.mutant {
            actions = mutant.actions(self.ends, actions);
        }
        for action in actions {
            self.judge.action(self.now, &action);
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { request, server, timeout, before } => self.send(request, server, timeout, before),
            Action::Reject { request, .. } => {
                self.seen.refused += 1;
                self.clients.entry(request).and_modify(|client| client.over = true);
            }
            Action::Fail { request, .. } => {
                self.seen.failed += 1;
                self.clients.entry(request).and_modify(|client| client.over = true);
            }
            Action::Timer { after, token } => {
                assert!((0..=71 * 60 * S).contains(&after), "a timer of {after} us");
                // A timer that rings in the batch that set it would never let time pass.
                let at = self.now + after.max(1);
                self.at(at, Happening::Ring(token));
            }
            Action::WatchList => {
                let fails = self.chance(self.plan.list_fails);
                let after = self.now + self.time(300 * MS);
                self.at(after, Happening::ListAnswer { fails });
            }
            Action::Migrate(_) | Action::Probe(_) | Action::Log { .. } | Action::HealthChanged { .. } => {}
        }
    }

    fn send(&mut self, id: RequestId, server: ServerId, timeout: Micros, before: Option<Micros>) {
        assert!(timeout >= 0, "a time-out of {timeout} us");
        let mood = self.servers.get(server.0 as usize).map_or(Mood::Down, |server| server.mood);
        let now = self.now;
        let Some(client) = self.clients.get_mut(&id) else { return };
        let number = client.attempts;
        client.attempts += 1;
        self.seen.sent += 1;
        self.seen.repeats_after_a_run += usize::from(client.may_have_run);
        // Without a time-out, when the client gives up; without either, never.
        let told = if timeout > 0 { now.saturating_add(timeout) } else { Micros::MAX };
        let limit = told.min(client.deadline.unwrap_or(Micros::MAX));
        let connect = if mood == Mood::Late { self.time(1_500 * MS) } else { self.time(5 * MS) };
        let (up, closes) = (now + connect, before.unwrap_or(Micros::MAX));
        let end = |outcome| Happening::End { id, number, server, outcome };
        if mood == Mood::Down && up < limit {
            return self.at(up, end(Outcome::ConnectFailed));
        }
        if up >= limit.min(closes) {
            self.seen.kept_from_writing += usize::from(closes < limit);
            let never = if self.chance(50) { Outcome::NotSent } else { Outcome::ConnectFailed };
            let outcome = if closes < limit { never } else { Outcome::TimedOut };
            return if limit.min(closes) < Micros::MAX {
                self.at(limit.min(closes), end(outcome))
            };
        }
        self.at(up, Happening::Written { id, number, at: up });
        let answers = up + self.time(40 * MS);
        if answers >= limit || mood == Mood::Silent {
            return if limit < Micros::MAX {
                self.at(limit, end(Outcome::TimedOut))
            };
        }
        let happening = match mood {
            Mood::Full => end(Outcome::Full),
            Mood::Failing => end(Outcome::Error),
            Mood::Cutting => end(Outcome::Reset),
            _ => Happening::Up { id, number, server, sent: now },
        };
        self.at(answers, happening);
    }
}
