//! Simulates many nodes whose set-ups all use one shared store. The store processes set-ups in the order of
//! arrival, at a fixed rate, and also works on attempts that have timed out. It stays overloaded unless each
//! node keeps to its quota.
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

const SERVERS: u32 = 40;
/// Set-ups per second that the store can process.
const STORE: f64 = 200.0;
/// New connections per second that the tenant's quota allows, over all nodes.
const ALLOWED: f64 = 50.0;
const CLIENTS: u64 = 900;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Request {
        client: u64,
        tries: u32,
    },
    Ends {
        node: usize,
        request: u64,
        attempt: u32,
        server: u32,
        sent: Micros,
        up: bool,
    },
    Timer {
        node: usize,
        token: u32,
    },
    /// All nodes receive a status of the fleet with their share of the demand.
    SendStatus,
}

struct FleetStatus {
    nodes: Vec<Balancer>,
    due: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    numbers: u64,
    /// When the store has processed all set-ups that it has received.
    busy: Micros,
    /// For each request: its client, the number of earlier requests of that client, and the number of
    /// attempts sent.
    requests: Vec<(u64, u32, u32)>,
    /// For each client: when its connection came up; `None` if it is not up.
    up: Vec<Option<Micros>>,
    /// For each set-up: when it was sent, and the server that it was sent to.
    sent: Vec<(Micros, u32)>,
    /// For each node: the number of its open connections and waiting requests.
    connections: Vec<f64>,
}

impl FleetStatus {
    /// Returns a fleet of `nodes`. All servers started at `started`; `None`: long ago.
    fn new(nodes: u32, allowance_open: f64, started: Option<Micros>) -> Self {
        let tenants = vec![Tenant { allowance_per_s: ALLOWED, allowance_open }];
        let balancer = |ordinal| {
            let settings =
                Settings { ordinal, nodes, tenants: tenants.clone(), ..settings(Idempotency::Idempotent) };
            Balancer::new(settings, u64::from(ordinal) + 1, 0)
        };
        let mut fleet = FleetStatus {
            nodes: (0..nodes).map(balancer).collect(),
            due: BinaryHeap::new(),
            numbers: 0,
            busy: 0,
            requests: Vec::new(),
            up: vec![None; CLIENTS as usize],
            sent: Vec::new(),
            connections: vec![0.0; nodes as usize],
        };
        for node in 0..nodes as usize {
            let listed = |server| Entry { started, ..entry(server, ServerState::Ready) };
            let entries = (0..SERVERS).map(listed).collect();
            fleet.notify(node, 0, Event::List { full: true, copy: false, entries });
        }
        fleet
    }

    fn push(&mut self, at: Micros, due: Due) {
        self.numbers += 1;
        self.due.push(Reverse((at, self.numbers, due)));
    }

    fn notify(&mut self, node: usize, now: Micros, event: Event) {
        let mut out = Vec::new();
        self.nodes[node].handle(now, event, &mut out);
        for action in out {
            match action {
                Action::Send { request, server, timeout, .. } => {
                    let RequestId(request) = request;
                    let attempt = self.requests[request as usize].2;
                    self.requests[request as usize].2 += 1;
                    self.sent.push((now, server.0));
                    self.busy = self.busy.max(now) + (1e6 / STORE) as Micros;
                    let timeout = if timeout > 0 { timeout } else { 2 * S };
                    let up = self.busy - now <= timeout;
                    let at = if up { self.busy } else { now + timeout };
                    self.push(at, Due::Ends { node, request, attempt, server: server.0, sent: now, up });
                }
                Action::Reject { request, retry_after, .. } => {
                    self.connections[node] -= 1.0;
                    let (client, tries, _) = self.requests[request.0 as usize];
                    // A rejected client retries. After three retries it waits longer.
                    let wait = if tries < 3 { 100 * MS } else { S };
                    let asks = Due::Request { client, tries: tries + 1 };
                    self.push(now + wait.max(retry_after), asks);
                }
                Action::Timer { after, token } => self.push(now + after, Due::Timer { node, token }),
                _ => {}
            }
        }
    }

    /// Runs the simulation until the given time.
    fn run(&mut self, until: Micros) {
        while let Some(Reverse((now, ..))) = self.due.peek()
            && *now <= until
        {
            let Some(Reverse((now, number, due))) = self.due.pop() else { break };
            match due {
                Due::Request { client, tries } => {
                    // The front end distributes the clients over the nodes.
                    let node = (client.wrapping_mul(7919) + number) as usize % self.nodes.len();
                    let id = self.requests.len() as u64;
                    self.requests.push((client, tries, 0));
                    let request = Request { again: true, ..request(id, Some(2 * S)) };
                    self.connections[node] += 1.0;
                    self.notify(node, now, Event::Request(request));
                }
                Due::Ends { node, request, attempt, server, sent, up } => {
                    let elapsed = now - sent;
                    let id = RequestId(request);
                    let server = ServerId(server);
                    if up {
                        self.up[self.requests[request as usize].0 as usize].get_or_insert(now);
                        let event = Event::Established { request: id, attempt, server, elapsed };
                        self.notify(node, now, event);
                    } else {
                        let outcome = Outcome::TimedOut;
                        let event = Event::Ended { request: id, attempt, server, outcome, last: false };
                        self.notify(node, now, event);
                    }
                }
                Due::SendStatus => {
                    let (nodes, all) =
                        (self.nodes.len() as f64, self.connections.iter().sum::<f64>().max(1.0));
                    for node in 0..self.nodes.len() {
                        let part = self.connections[node] / all;
                        let fleet = cottonnotch_decision::FleetStatus {
                            nodes,
                            demand_share: part,
                            failure_rate: 0.0,
                        };
                        self.notify(node, now, Event::Fleet(fleet));
                    }
                    self.push(now + S, Due::SendStatus);
                }
                Due::Timer { node, token } => self.notify(node, now, Event::Timer(token)),
            }
        }
    }
}

/// Simulates a reconnect storm, in which all clients arrive within 1.5 seconds. Returns the time at which
/// nine tenths of the clients are up, in seconds, and the number of set-ups sent per client.
fn storm(nodes: u32) -> (f64, f64) {
    let mut fleet = FleetStatus::new(nodes, 0.0, None);
    for client in 0..CLIENTS {
        let at = S + (client as f64 / CLIENTS as f64 * 1.5e6) as Micros;
        fleet.push(at, Due::Request { client, tries: 0 });
    }
    fleet.run(60 * S);
    let mut times: Vec<Micros> = fleet.up.iter().map(|up| up.unwrap_or(Micros::MAX)).collect();
    times.sort_unstable();
    let at = times[CLIENTS as usize * 9 / 10];
    (
        if at == Micros::MAX { f64::INFINITY } else { at as f64 / 1e6 },
        fleet.sent.len() as f64 / CLIENTS as f64,
    )
}

/// All clients get a connection soon after a reconnect storm, in fleets of any size.
#[test]
fn storm_on_shared_store_ends() {
    for nodes in [2, 30, 300] {
        let (seconds, sent) = storm(nodes);
        eprintln!("{nodes} nodes: nine tenths up after {seconds} s, {sent} set-ups per client");
        // The nodes keep to 150 set-ups per second, so 900 clients take at least 6 s. With few clients per
        // node, the shares of some nodes stay unused while clients wait for their retry.
        assert!(seconds < 25.0, "{nodes} nodes: nine tenths are up after {seconds} s");
        assert!(sent < 2.5, "{nodes} nodes: {sent} set-ups per client");
    }
}

/// Guards against slow filling of warming servers. In one of the largest benchmark scenarios (join, seed 3),
/// all remaining servers had just started. The tenants' quotas allowed three times as many connections as
/// were open, but the nodes filled the servers only at the rate for the open connections, and clients had to
/// wait.
#[test]
fn warming_servers_fill_at_their_limit() {
    const WANTED: u64 = 300;
    const MAY_HOLD: f64 = 800.0;
    for (nodes, told) in [(2, false), (100, false), (300, false), (100, true), (300, true)] {
        let mut fleet = FleetStatus::new(nodes, MAY_HOLD, Some(0));
        if told {
            fleet.push(0, Due::SendStatus);
        }
        for client in 0..WANTED {
            fleet.push((client * 5) as Micros * MS, Due::Request { client, tries: 0 });
        }
        fleet.run(20 * S);
        let Settings { overload_multiple, overload_window, .. } = settings(Idempotency::Idempotent);
        let of_all = settings(Idempotency::Idempotent);
        let fills = MAY_HOLD / f64::from(SERVERS) / (of_all.slow_start_window as f64 / 1e6);
        for server in 0..SERVERS {
            let times: Vec<Micros> =
                fleet.sent.iter().filter(|(_, at)| *at == server).map(|(t, _)| *t).collect();
            for &from in &times {
                let burst =
                    times.iter().filter(|t| (from..from + overload_window).contains(*t)).count() as f64;
                let bears = overload_multiple * of_all.share_at(from) * fills * overload_window as f64 / 1e6;
                // The nodes don't coordinate their set-ups, so the bound allows for random variation.
                let bears = bears + 2.0 * bears.sqrt();
                assert!(
                    burst <= bears,
                    "{nodes} nodes: {burst} set-ups to a warming server, at most {bears} allowed, after {from} us"
                );
            }
        }
        let mut up: Vec<Micros> = fleet.up.iter().flatten().copied().collect();
        up.sort_unstable();
        let half = up.get(WANTED as usize / 2).copied().unwrap_or(Micros::MAX);
        let most = up.get(WANTED as usize * 9 / 10).copied().unwrap_or(Micros::MAX);
        eprintln!(
            "{nodes} nodes, told {told}: half up after {} s, nine tenths after {} s",
            half as f64 / 1e6,
            most as f64 / 1e6
        );
        assert!(most <= 9 * S, "{nodes} nodes: nine tenths of the clients are up after {most} us");
    }
}

#[test]
fn fleet_failure_rate_holds_back_healthy_node() {
    let fleet = Settings { nodes: 300, ..settings(Idempotency::Idempotent) };
    let mut node = Node::new(fleet, 10);
    node.place(1);
    let told = |failing| {
        Event::Fleet(cottonnotch_decision::FleetStatus {
            nodes: 300.0,
            demand_share: 0.003,
            failure_rate: failing,
        })
    };
    node.notify(told(0.9));
    assert!(sent(&node.ask(2, 2 * S)).is_none(), "the fleet reports that the store is down");
    node.notify(told(0.0));
    let later = node.run_to(node.now + S);
    assert!(sent(&later).is_some(), "the request is sent once the store is back: {later:?}");
}

/// After a process was replaced, all its clients reconnect at once. They are all placed as long as quick
/// set-ups show that the store has capacity left.
#[test]
fn crowd_passes_while_set_ups_are_quick() {
    let tenants = vec![Tenant { allowance_per_s: 3.0, allowance_open: 0.0 }];
    let mut node = Node::new(Settings { nodes: 2, tenants, ..settings(Idempotency::Idempotent) }, 8);
    let mut placed = 0;
    for id in 0..60 {
        node.now += 20 * MS;
        if let Some((at, _)) = sent(&node.ask(id, 2 * S)) {
            placed += 1;
            let elapsed = if id < 40 { 40 * MS } else { 400 * MS };
            let up = Event::Established { request: RequestId(id), attempt: 0, server: at, elapsed };
            node.notify(up);
        }
    }
    // After the first slow set-up, the node's share of the limit applies: the saved tokens and 4.5 per
    // second.
    assert!((41..=46).contains(&placed), "{placed} of 60");
}
