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
const STORE_SETUPS_PER_S: f64 = 200.0;
/// New connections per second that the tenant's quota allows, over all nodes.
const QUOTA_PER_S: f64 = 50.0;
const CLIENTS: u64 = 900;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Request {
        client: u64,
        retries: u32,
    },
    AttemptEnds {
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

struct Fleet {
    nodes: Vec<Balancer>,
    schedule: BinaryHeap<Reverse<(Micros, u64, SimEvent)>>,
    last_sequence_number: u64,
    /// When the store has processed all set-ups that it has received.
    store_busy_until: Micros,
    /// For each request: its client, the number of earlier requests of that client, and the number of
    /// attempts sent.
    requests: Vec<(u64, u32, u32)>,
    /// For each client: when its connection came up; `None` if it is not up.
    up_at: Vec<Option<Micros>>,
    /// For each set-up: when it was sent, and the server that it was sent to.
    sent_setups: Vec<(Micros, u32)>,
    /// For each node: the number of its open connections and waiting requests.
    connections: Vec<f64>,
}

impl Fleet {
    /// Returns a fleet of `nodes`. All servers started at `started`; `None`: long ago.
    fn new(nodes: u32, allowance_open: f64, started: Option<Micros>) -> Self {
        let tenants = vec![Tenant { allowance_per_s: QUOTA_PER_S, allowance_open }];
        let balancer = |ordinal| {
            let settings =
                Settings { ordinal, nodes, tenants: tenants.clone(), ..settings(Idempotency::Idempotent) };
            Balancer::new(settings, u64::from(ordinal) + 1, 0)
        };
        let mut fleet = Fleet {
            nodes: (0..nodes).map(balancer).collect(),
            schedule: BinaryHeap::new(),
            last_sequence_number: 0,
            store_busy_until: 0,
            requests: Vec::new(),
            up_at: vec![None; CLIENTS as usize],
            sent_setups: Vec::new(),
            connections: vec![0.0; nodes as usize],
        };
        for node in 0..nodes as usize {
            let listed = |server| Entry { started, ..entry(server, ServerState::Ready) };
            let entries = (0..SERVERS).map(listed).collect();
            fleet.notify(node, 0, Event::List { full: true, copy: false, entries });
        }
        fleet
    }

    fn push(&mut self, at: Micros, event: SimEvent) {
        self.last_sequence_number += 1;
        self.schedule.push(Reverse((at, self.last_sequence_number, event)));
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
                    self.sent_setups.push((now, server.0));
                    self.store_busy_until =
                        self.store_busy_until.max(now) + (1e6 / STORE_SETUPS_PER_S) as Micros;
                    let timeout = if timeout > 0 { timeout } else { 2 * S };
                    let up = self.store_busy_until - now <= timeout;
                    let at = if up { self.store_busy_until } else { now + timeout };
                    self.push(
                        at,
                        SimEvent::AttemptEnds { node, request, attempt, server: server.0, sent: now, up },
                    );
                }
                Action::Reject { request, retry_after, .. } => {
                    self.connections[node] -= 1.0;
                    let (client, retries, _) = self.requests[request.0 as usize];
                    // A rejected client retries. After three retries it waits longer.
                    let wait = if retries < 3 { 100 * MS } else { S };
                    let retry = SimEvent::Request { client, retries: retries + 1 };
                    self.push(now + wait.max(retry_after), retry);
                }
                Action::Timer { after, token } => self.push(now + after, SimEvent::Timer { node, token }),
                _ => {}
            }
        }
    }

    /// Runs the simulation until the given time.
    fn run_until(&mut self, end: Micros) {
        while let Some(Reverse((now, ..))) = self.schedule.peek()
            && *now <= end
        {
            let Some(Reverse((now, number, event))) = self.schedule.pop() else { break };
            match event {
                SimEvent::Request { client, retries } => {
                    // The front end distributes the clients over the nodes.
                    let node = (client.wrapping_mul(7919) + number) as usize % self.nodes.len();
                    let id = self.requests.len() as u64;
                    self.requests.push((client, retries, 0));
                    let request = Request { again: true, ..request(id, Some(2 * S)) };
                    self.connections[node] += 1.0;
                    self.notify(node, now, Event::Request(request));
                }
                SimEvent::AttemptEnds { node, request, attempt, server, sent, up } => {
                    let elapsed = now - sent;
                    let id = RequestId(request);
                    let server = ServerId(server);
                    if up {
                        self.up_at[self.requests[request as usize].0 as usize].get_or_insert(now);
                        let event = Event::Established { request: id, attempt, server, elapsed };
                        self.notify(node, now, event);
                    } else {
                        let outcome = Outcome::TimedOut;
                        let event = Event::Ended { request: id, attempt, server, outcome, last: false };
                        self.notify(node, now, event);
                    }
                }
                SimEvent::SendStatus => {
                    let (nodes, all) =
                        (self.nodes.len() as f64, self.connections.iter().sum::<f64>().max(1.0));
                    for node in 0..self.nodes.len() {
                        let demand_share = self.connections[node] / all;
                        let status = FleetStatus { nodes, demand_share, failure_rate: 0.0 };
                        self.notify(node, now, Event::Fleet(status));
                    }
                    self.push(now + S, SimEvent::SendStatus);
                }
                SimEvent::Timer { node, token } => self.notify(node, now, Event::Timer(token)),
            }
        }
    }
}

/// Simulates a reconnect storm, in which all clients arrive within 1.5 seconds. Returns the time at which
/// nine tenths of the clients are up, in seconds, and the number of set-ups sent per client.
fn simulate_reconnect_storm(nodes: u32) -> (f64, f64) {
    let mut fleet = Fleet::new(nodes, 0.0, None);
    for client in 0..CLIENTS {
        let at = S + (client as f64 / CLIENTS as f64 * 1.5e6) as Micros;
        fleet.push(at, SimEvent::Request { client, retries: 0 });
    }
    fleet.run_until(60 * S);
    let mut times: Vec<Micros> = fleet.up_at.iter().map(|up| up.unwrap_or(Micros::MAX)).collect();
    times.sort_unstable();
    let at = times[CLIENTS as usize * 9 / 10];
    (
        if at == Micros::MAX { f64::INFINITY } else { at as f64 / 1e6 },
        fleet.sent_setups.len() as f64 / CLIENTS as f64,
    )
}

/// All clients get a connection soon after a reconnect storm, in fleets of any size.
#[test]
fn storm_on_shared_store_ends() {
    for nodes in [2, 30, 300] {
        let (seconds, sent) = simulate_reconnect_storm(nodes);
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
    const REQUESTED: u64 = 300;
    const QUOTA_OPEN: f64 = 800.0;
    for (nodes, has_status) in [(2, false), (100, false), (300, false), (100, true), (300, true)] {
        let mut fleet = Fleet::new(nodes, QUOTA_OPEN, Some(0));
        if has_status {
            fleet.push(0, SimEvent::SendStatus);
        }
        for client in 0..REQUESTED {
            fleet.push((client * 5) as Micros * MS, SimEvent::Request { client, retries: 0 });
        }
        fleet.run_until(20 * S);
        let Settings { overload_multiple, overload_window, .. } = settings(Idempotency::Idempotent);
        let defaults = settings(Idempotency::Idempotent);
        let fill_rate = QUOTA_OPEN / f64::from(SERVERS) / (defaults.slow_start_window as f64 / 1e6);
        for server in 0..SERVERS {
            let times: Vec<Micros> =
                fleet.sent_setups.iter().filter(|(_, at)| *at == server).map(|(t, _)| *t).collect();
            for &from in &times {
                let burst =
                    times.iter().filter(|t| (from..from + overload_window).contains(*t)).count() as f64;
                let limit =
                    overload_multiple * defaults.share_at(from) * fill_rate * overload_window as f64 / 1e6;
                // The nodes don't coordinate their set-ups, so the bound allows for random variation.
                let limit = limit + 2.0 * limit.sqrt();
                assert!(
                    burst <= limit,
                    "{nodes} nodes: {burst} set-ups to a warming server after {from} us, limit {limit}"
                );
            }
        }
        let mut up: Vec<Micros> = fleet.up_at.iter().flatten().copied().collect();
        up.sort_unstable();
        let half = up.get(REQUESTED as usize / 2).copied().unwrap_or(Micros::MAX);
        let nine_tenths = up.get(REQUESTED as usize * 9 / 10).copied().unwrap_or(Micros::MAX);
        eprintln!(
            "{nodes} nodes, with status: {has_status}: half up after {} s, nine tenths after {} s",
            half as f64 / 1e6,
            nine_tenths as f64 / 1e6
        );
        assert!(
            nine_tenths <= 9 * S,
            "{nodes} nodes: nine tenths of the clients are up after {nine_tenths} us"
        );
    }
}

#[test]
fn fleet_failure_rate_holds_back_healthy_node() {
    let fleet = Settings { nodes: 300, ..settings(Idempotency::Idempotent) };
    let mut node = Node::new(fleet, 10);
    node.place(1);
    let status = |failure_rate| Event::Fleet(FleetStatus { nodes: 300.0, demand_share: 0.003, failure_rate });
    node.notify(status(0.9));
    assert!(sent(&node.send_request(2, 2 * S)).is_none(), "the fleet reports that the store is down");
    node.notify(status(0.0));
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
        if let Some((at, _)) = sent(&node.send_request(id, 2 * S)) {
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
