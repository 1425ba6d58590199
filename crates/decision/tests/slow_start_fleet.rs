//! Warming servers under the sum of many nodes: a server that has just started falls when it gets more than N + 2 x root of N + 2
//! connections within the settings' window, N being what the settings allow it then. Nodes join without a view, die and are
//! believed alive, receive their shares or not, late, or by two sides that don't hear each other; servers join, and come back
//! cold after a drain or a crash; clients come in a burst.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod common;
use common::*;
use cottonnotch_decision::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A sequence that looks random, the same for a seed.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// 0 to 1.
    fn part(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn within(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * self.part()
    }

    fn below(&mut self, bound: usize) -> usize {
        (self.part() * bound as f64) as usize
    }

    fn one_in(&mut self, of: usize) -> bool {
        self.below(of) == 0
    }
}

/// How nodes receive the status of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
enum StatusMode {
    /// No status is sent.
    Nothing,
    /// All receive it each second.
    All,
    /// Every other one receives it each second.
    Half,
    /// All receive it once, just before the burst comes elsewhere.
    Stale,
    /// A partition: each side receives the status of its own side.
    Cut,
}

const STATUS_MODES: [StatusMode; 5] =
    [StatusMode::Nothing, StatusMode::All, StatusMode::Half, StatusMode::Stale, StatusMode::Cut];

/// One play.
#[derive(Clone, Debug)]
struct Plan {
    seed: u64,
    nodes: u32,
    status_mode: StatusMode,
    /// Connections that fill one server.
    full_connections: f64,
    servers: u32,
    settings: Settings,
    /// When the crowd comes, within how long, and how many.
    burst: (Micros, Micros, u64),
    /// Clients that say they have come before.
    are_returning: bool,
    /// Nodes die, some join anew.
    churn: bool,
    /// Servers are replaced: while they are out, the list is short of them.
    out: f64,
    /// What lists state, and the part of their connections that servers hold from before.
    weights: WeightMeaning,
    standing: f64,
}

/// Cores of each server, and connections that fill one core.
const CORES: f64 = 2.0;
const FULL_LOAD_PER_CORE: f64 = 20.0;

/// Time between two whole lists, where these tell loads.
const LIST_INTERVAL: Micros = 3 * S;
const END: Micros = 30 * S;

fn plan(seed: u64, nodes: u32) -> Plan {
    let random = &mut Random(seed ^ (u64::from(nodes) << 32));
    let servers = 10 + random.below(30) as u32;
    let full_connections = random.within(5.0, 60.0);
    let allowance_open = full_connections * f64::from(servers);
    let tenants = vec![Tenant { allowance_per_s: 0.0, allowance_open }];
    let settings = Settings {
        nodes,
        tenants,
        slow_start_from: random.within(0.1, 0.5),
        slow_start_window: (random.within(5.0, 15.0) * S as f64) as Micros,
        overload_multiple: random.within(2.0, 4.0),
        overload_window: (random.within(1.5, 3.0) * S as f64) as Micros,
        ..settings(Idempotency::Idempotent)
    };
    let crowd = (allowance_open * random.within(0.3, 1.5)) as u64;
    let burst = ((random.within(0.0, 12.0) * S as f64) as Micros, S + random.below(2_000_000) as i64, crowd);
    let status_mode = STATUS_MODES[random.below(STATUS_MODES.len())];
    let (are_returning, churn) = (random.one_in(2), random.one_in(2));
    let out = if random.one_in(2) { random.within(0.0, 0.6) } else { 0.0 };
    let (weights, standing) = (settings.weights, 0.0);
    Plan {
        seed,
        nodes,
        status_mode,
        full_connections,
        servers,
        settings,
        burst,
        are_returning,
        churn,
        out,
        weights,
        standing,
    }
}

/// The fleet is nearly full, and lists tell the size of each server divided by its load.
fn live_plan(seed: u64, nodes: u32) -> Plan {
    let plan = plan(seed, nodes);
    let settings = Settings { weights: WeightMeaning::Live, ..plan.settings };
    Plan { settings, weights: WeightMeaning::Live, standing: 0.9, ..plan }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Request {
        client: usize,
        attempts: u32,
    },
    Up {
        node: usize,
        incarnation: u32,
        request: u64,
        server: u32,
        sent: Micros,
    },
    Timer {
        node: usize,
        incarnation: u32,
        token: u32,
    },
    ListUpdate {
        node: usize,
        incarnation: u32,
        server: u32,
        state: u8,
    },
    Phase {
        server: u32,
        state: u8,
    },
    SendStatus,
    /// All nodes receive the whole list.
    List,
    Killed {
        node: usize,
    },
    Started {
        node: usize,
    },
}

const REMOVED: u8 = 0;
const DRAINS: u8 = 1;
const READY: u8 = 2;

struct Server {
    state: u8,
    started: Option<Micros>,
    /// What came since its last start.
    arrivals: Vec<Micros>,
    /// Connections that it holds.
    held: f64,
}

struct Fleet {
    plan: Plan,
    random: Random,
    nodes: Vec<Option<Balancer>>,
    incarnations: Vec<u32>,
    connections: Vec<f64>,
    /// What those that died had, as others still count it.
    counted: Vec<f64>,
    /// How the front spreads clients: the sum up to each node.
    front: Vec<f64>,
    servers: Vec<Server>,
    due: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    numbers: u64,
    /// Of each request: client, tries.
    requests: Vec<(usize, u32)>,
    /// The worst window: what came over what a server bears.
    worst: (f64, String),
    up: u64,
}

impl Fleet {
    fn play(plan: Plan) -> Fleet {
        let mut random = Random(plan.seed.wrapping_mul(31) ^ u64::from(plan.nodes));
        let count = plan.nodes as usize;
        let mut sum = 0.0;
        let front = (0..count).map(|_| {
            // A few get several times the mean.
            sum += random.part().powi(3) + 0.05;
            sum
        });
        let front: Vec<f64> = front.collect();
        let held = plan.standing * plan.full_connections;
        let server = |_| Server { state: READY, started: None, arrivals: Vec::new(), held };
        let mut fleet = Fleet {
            nodes: (0..count).map(|_| None).collect(),
            incarnations: vec![0; count],
            connections: vec![0.0; count],
            counted: vec![0.0; count],
            front,
            servers: (0..plan.servers).map(server).collect(),
            due: BinaryHeap::new(),
            numbers: 0,
            requests: Vec::new(),
            worst: (0.0, String::new()),
            up: 0,
            random,
            plan,
        };
        fleet.begin();
        fleet.run();
        fleet
    }

    fn begin(&mut self) {
        let Plan { burst: (from, within, crowd), servers, out, status_mode, churn, .. } = self.plan.clone();
        // Half of the servers start cold: as new ones, after a crash, or after a drain.
        for server in 0..servers / 2 {
            let at = self.time(0.0, 4.0);
            let kind = self.random.below(3);
            if kind == 0 {
                self.servers[server as usize].state = REMOVED;
            }
            if kind == 2 {
                self.push(at, Due::Phase { server, state: DRAINS });
            }
            if kind > 0 {
                self.push(at + S, Due::Phase { server, state: REMOVED });
            }
            self.push(at + 2 * S, Due::Phase { server, state: READY });
        }
        // Some of the rest are out for a while, and come back cold late.
        for server in servers / 2..servers / 2 + (f64::from(servers / 2) * out) as u32 {
            self.push(0, Due::Phase { server, state: REMOVED });
            let at = self.time(8.0, 14.0);
            self.push(at, Due::Phase { server, state: READY });
        }
        for node in 0..self.nodes.len() {
            let late = churn && self.random.one_in(4);
            let at = if late { self.time(1.0, 12.0) } else { 0 };
            self.push(at, Due::Started { node });
            if churn && self.random.one_in(3) {
                let at = self.time(1.0, 12.0);
                self.push(at, Due::Killed { node });
                if self.random.one_in(2) {
                    let back = at + self.time(0.5, 6.0);
                    self.push(back, Due::Started { node });
                }
            }
        }
        // A few are there before, and more come.
        for client in 0..crowd as usize {
            let at = match client % 10 {
                0 | 1 => self.time(0.0, 12.0),
                _ => from + (self.random.part() * within as f64) as Micros,
            };
            self.push(at, Due::Request { client, attempts: u32::from(self.plan.are_returning) });
        }
        if self.plan.weights == WeightMeaning::Live {
            self.push(LIST_INTERVAL, Due::List);
        }
        match status_mode {
            StatusMode::Nothing => {}
            StatusMode::Stale => self.push((from - S / 2).max(0), Due::SendStatus),
            _ => self.push(self.plan.seed as i64 % S, Due::SendStatus),
        }
    }

    fn time(&mut self, least: f64, most: f64) -> Micros {
        (self.random.within(least, most) * S as f64) as Micros
    }

    fn push(&mut self, at: Micros, due: Due) {
        self.numbers += 1;
        self.due.push(Reverse((at, self.numbers, due)));
    }

    fn run(&mut self) {
        while let Some(Reverse((now, ..))) = self.due.peek()
            && *now < END
        {
            let Some(Reverse((now, _, due))) = self.due.pop() else { break };
            self.take(now, due);
        }
        for server in 0..self.servers.len() {
            self.judge(server);
        }
    }

    fn take(&mut self, now: Micros, due: Due) {
        match due {
            Due::Request { client, attempts } => self.asks(now, client, attempts),
            Due::Up { node, incarnation, request, server, sent } => {
                if self.incarnations[node] == incarnation {
                    self.up += 1;
                    let (request, server) = (RequestId(request), ServerId(server));
                    self.notify(
                        node,
                        now,
                        Event::Established { request, attempt: 0, server, elapsed: now - sent },
                    );
                }
            }
            Due::Timer { node, incarnation, token } if self.incarnations[node] == incarnation => {
                self.notify(node, now, Event::Timer(token));
            }
            Due::ListUpdate { node, incarnation, server, state }
                if self.incarnations[node] == incarnation =>
            {
                let entries = vec![self.entry(server, state)];
                self.notify(node, now, Event::List { full: false, copy: false, entries });
            }
            Due::Timer { .. } | Due::ListUpdate { .. } => {}
            Due::Phase { server, state } => self.phase(now, server, state),
            Due::SendStatus => self.status_mode(now),
            Due::List => {
                (0..self.nodes.len()).for_each(|node| self.send_list(now, node));
                self.push(now + LIST_INTERVAL, Due::List);
            }
            Due::Killed { node } => {
                self.nodes[node] = None;
                self.incarnations[node] += 1;
                self.counted[node] = std::mem::take(&mut self.connections[node]);
            }
            Due::Started { node } => {
                let proxies = self.plan.settings.nodes;
                let settings = Settings { ordinal: node as u32 % proxies, ..self.plan.settings.clone() };
                self.nodes[node] = Some(Balancer::new(settings, self.plan.seed ^ now as u64, now));
                self.incarnations[node] += 1;
                self.counted[node] = 0.0;
                self.notify(node, now, Event::Processes(self.plan.nodes / proxies));
                self.send_list(now, node);
            }
        }
    }

    fn send_list(&mut self, now: Micros, node: usize) {
        let listed = (0..self.plan.servers).filter(|server| self.servers[*server as usize].state != REMOVED);
        let entries = listed.map(|server| self.entry(server, self.servers[server as usize].state)).collect();
        self.notify(node, now, Event::List { full: true, copy: false, entries });
    }

    fn entry(&self, server: u32, state: u8) -> Entry {
        let listed = [ServerState::Removed, ServerState::Draining, ServerState::Ready][usize::from(state)];
        let Server { started, held, .. } = self.servers[server as usize];
        let load = held / self.plan.full_connections * FULL_LOAD_PER_CORE;
        let weight = if self.plan.weights == WeightMeaning::Live { CORES / (1.0 + load) } else { 1.0 };
        Entry { started, weight, ..entry(server, listed) }
    }

    fn phase(&mut self, now: Micros, server: u32, state: u8) {
        if state == READY {
            self.judge(server as usize);
            self.servers[server as usize].started = Some(now);
            self.servers[server as usize].held = 0.0;
        }
        self.servers[server as usize].state = state;
        for node in 0..self.nodes.len() {
            let at = now + (self.random.part() * 200e3) as Micros;
            self.push(at, Due::ListUpdate { node, incarnation: self.incarnations[node], server, state });
        }
    }

    fn asks(&mut self, now: Micros, client: usize, attempts: u32) {
        let at = self.random.part() * self.front[self.front.len() - 1];
        let node = self.front.partition_point(|sum| *sum < at).min(self.nodes.len() - 1);
        if self.nodes[node].is_none() {
            // The front finds another one.
            return self.push(now + 50 * MS, Due::Request { client, attempts });
        }
        let id = self.requests.len() as u64;
        self.requests.push((client, attempts));
        self.connections[node] += 1.0;
        let request = Request { again: attempts > 0, ..request(id, Some(2 * S)) };
        self.notify(node, now, Event::Request(request));
    }

    fn status_mode(&mut self, now: Micros) {
        let count = self.nodes.len();
        let is_cut = self.plan.status_mode == StatusMode::Cut;
        let side = |node: usize| usize::from(is_cut && node < count / 3);
        let mut sums = [(0.0, 0.0); 2];
        for node in 0..count {
            // One that died is counted as it was.
            if self.nodes[node].is_some() || self.counted[node] > 0.0 {
                let (members, connections) = &mut sums[side(node)];
                *members += 1.0;
                *connections += self.connections[node] + self.counted[node];
            }
        }
        let is_half = self.plan.status_mode == StatusMode::Half;
        for node in (0..count).filter(|node| !is_half || node % 2 == 0) {
            let (members, connections) = sums[side(node)];
            let status = FleetStatus {
                nodes: members,
                demand_share: self.connections[node] / connections.max(1.0),
                failure_rate: 0.0,
            };
            if self.nodes[node].is_some() {
                self.notify(node, now, Event::Fleet(status));
            }
        }
        self.counted.iter_mut().for_each(|counted| *counted *= 0.7);
        if self.plan.status_mode != StatusMode::Stale {
            self.push(now + S, Due::SendStatus);
        }
    }

    fn notify(&mut self, node: usize, now: Micros, event: Event) {
        let mut out = Vec::new();
        let Some(balancer) = &mut self.nodes[node] else { return };
        balancer.handle(now, event, &mut out);
        let incarnation = self.incarnations[node];
        for action in out {
            match action {
                Action::Send { request: RequestId(request), server: ServerId(server), .. } => {
                    self.servers[server as usize].held += 1.0;
                    if self.servers[server as usize].started.is_some() {
                        self.servers[server as usize].arrivals.push(now);
                    }
                    self.push(now + 30 * MS, Due::Up { node, incarnation, request, server, sent: now });
                }
                Action::Reject { request, retry_after, .. } => {
                    self.connections[node] -= 1.0;
                    let (client, attempts) = self.requests[request.0 as usize];
                    let wait = if attempts < 3 { 100 * MS } else { S };
                    self.push(now + wait.max(retry_after), Due::Request { client, attempts: attempts + 1 });
                }
                // It comes again.
                Action::Migrate(request) => {
                    self.connections[node] -= 1.0;
                    let (client, _) = self.requests[request.0 as usize];
                    self.push(now + 200 * MS, Due::Request { client, attempts: 1 });
                }
                Action::Timer { after, token } => {
                    self.push(now + after, Due::Timer { node, incarnation, token })
                }
                _ => {}
            }
        }
    }

    /// Every window that begins with an arrival, against what the server bears in it: its capacity rises evenly, so that of the
    /// window's middle is the mean.
    fn judge(&mut self, server: usize) {
        let Settings { overload_multiple, overload_window, slow_start_window, .. } = self.plan.settings;
        let Some(started) = self.servers[server].started else { return };
        let mut arrivals = std::mem::take(&mut self.servers[server].arrivals);
        // A warm one doesn't fall.
        arrivals.retain(|at| at - started < slow_start_window);
        let per_s = self.plan.full_connections / (slow_start_window as f64 / 1e6);
        for (first, from) in arrivals.iter().enumerate() {
            let burst = arrivals[first..].partition_point(|at| at - from < overload_window) as f64;
            let share = self.plan.settings.share_at(from - started + overload_window / 2);
            let allowed = overload_multiple * share * per_s * overload_window as f64 / 1e6;
            let tolerated = allowed + 2.0 * allowed.sqrt() + 2.0;
            if burst / tolerated > self.worst.0 {
                let age = (from - started) as f64 / 1e6;
                let what = format!(
                    "{burst} at server {server} {age:.2} s after its start, N = {allowed:.1}, it bears {tolerated:.1}"
                );
                self.worst = (burst / tolerated, what);
            }
        }
    }
}

/// Plays so many seeds; the worst of all.
fn hold(nodes: u32, seeds: std::ops::Range<u64>) {
    hold_plans(nodes, seeds, |seed| plan(seed, nodes));
}

fn hold_plans(nodes: u32, seeds: std::ops::Range<u64>, plan: impl Fn(u64) -> Plan) {
    let mut worst = (0.0, String::new());
    let (mut sum, mut over) = (0.0, 0);
    let count = seeds.end - seeds.start;
    for seed in seeds {
        let fleet = Fleet::play(plan(seed));
        sum += fleet.worst.0;
        if fleet.worst.0 > 1.0 {
            over += 1;
            eprintln!("{nodes} nodes, seed {seed}: {}; {:?}", fleet.worst.1, fleet.plan);
        }
        if fleet.worst.0 > worst.0 {
            worst = (fleet.worst.0, format!("seed {seed}, {}, {:?}", fleet.worst.1, fleet.plan.status_mode));
        }
    }
    println!(
        "{nodes} nodes, {count} plays: worst window {:.2} of what is borne, mean {:.2}; {}",
        worst.0,
        sum / count as f64,
        worst.1
    );
    assert_eq!(
        over, 0,
        "{nodes} nodes: cold servers were pushed over in {over} of {count} plays, the worst: {}",
        worst.1
    );
}

/// The fleet while all its proxies are replaced: each is two processes, and the settings count it once.
fn replaced_plan(seed: u64, proxies: u32) -> Plan {
    let plan = plan(seed, 2 * proxies);
    let settings = Settings { nodes: proxies, ..plan.settings };
    Plan { settings, ..plan }
}

fn seeds(count: u64) -> std::ops::Range<u64> {
    let from = std::env::var("COLD_SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let count = std::env::var("COLD_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(count);
    from..from + count
}

#[test]
fn two_nodes_do_not_overload_warming_server() {
    hold(2, seeds(200));
}

#[test]
fn twenty_nodes_do_not_overload_warming_server() {
    hold(20, seeds(300));
}

#[test]
fn thirty_nodes_do_not_overload_warming_server() {
    hold(30, seeds(300));
}

#[test]
fn hundred_nodes_do_not_overload_warming_server() {
    hold(100, seeds(100));
}

#[test]
fn four_hundred_forty_nodes_do_not_overload_warming_server() {
    hold(440, seeds(60));
}

/// Each of two processes of a proxy once used the proxy's whole share: with all proxies being replaced, cold servers got too much.
#[test]
fn replaced_proxies_do_not_overload_warming_server() {
    for proxies in [1, 2, 5, 20, 50, 100] {
        hold_plans(proxies, seeds(100), |seed| replaced_plan(seed, proxies));
    }
}

/// Lists that tell the size divided by the load once made a cold server, which is empty, count for many times its size.
#[test]
fn live_weights_do_not_overload_warming_server() {
    for nodes in [1, 5, 20, 100] {
        hold_plans(nodes, seeds(60), |seed| live_plan(seed, nodes));
    }
}
