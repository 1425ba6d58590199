//! Measures how one large group loads the fullest render node, and the cost of a placement. Each of 440
//! proxies places its part of a group of a million connections, once with the minimum affinity subset of five
//! nodes, and once with a subset as large as the load needs. Prints one JSON line per case.
//!
//! Run with `cargo bench --locked -p cottonnotch-decision --bench affinity`. The arguments after `--` set the
//! number of proxies and of connections: `-- --members 440 --group 1000000`.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_decision::*;
use std::time::Instant;

/// Load of one connection, in microseconds of work per second. At this load, 20 million connections use two
/// fifths of 2,048 nodes of two cores.
const CONNECTION_LOAD_US: f64 = 80.0;
/// Capacity of a node of two cores, in microseconds of work per second.
const NODE_CAPACITY_US: f64 = 2e6;
/// Fraction of its capacity that a member of the subset uses for the group.
const MEMBER_UTILIZATION: f64 = 0.25;

/// Returns the subset size that a group needs. On each node, the group itself costs as much as three
/// connections.
fn needed_subset_size(connections: u64) -> u32 {
    ((connections as f64 * CONNECTION_LOAD_US
        / (MEMBER_UTILIZATION * NODE_CAPACITY_US - 3.0 * CONNECTION_LOAD_US))
        .ceil() as u32)
        .max(5)
}

fn balancer(ordinal: u32, members: u32, nodes: u32, subset_size: u32) -> Balancer {
    let class = Class {
        target: 500_000,
        deadline: 2_000_000,
        message_latency_objective: 100_000,
        attempts: 4,
        idempotency: Idempotency::Idempotent,
        priority_weight: 1.0,
    };
    let settings = Settings {
        ordinal,
        nodes: members,
        groups: true,
        classes: vec![class],
        step: 5_000,
        ..Settings::default()
    };
    let mut balancer = Balancer::new(settings, u64::from(ordinal) + 1, 0);
    let entry = |server: u32| Entry {
        server: ServerId(server),
        digest: names::digest(&format!("node-{server}")),
        state: ServerState::Ready,
        zone: ZoneId(0),
        cell: server / 2,
        started: None,
        weight: 1.0,
    };
    let list = Event::List { full: true, copy: false, entries: (0..nodes).map(entry).collect() };
    balancer.handle(0, list, &mut Vec::new());
    balancer.handle(0, Event::AffinitySubsets(vec![(7, subset_size)]), &mut Vec::new());
    balancer
}

/// Places connections; returns the number of connections on each node, and the time that the placements took,
/// in seconds.
fn place(ordinal: u32, members: u32, nodes: u32, subset_size: u32, connections: u64) -> (Vec<u64>, f64) {
    let (mut balancer, mut out) = (balancer(ordinal, members, nodes, subset_size), Vec::new());
    let mut placed = vec![0; nodes as usize];
    let began = Instant::now();
    for id in 0..connections {
        let now = id as Micros * 1_000;
        let id = RequestId(id);
        let (class, group) = (ClassId(0), Some(7));
        let request = Request { id, class, tenant: None, left: None, load_hint: None, group, again: false };
        balancer.handle(now, Event::Request(request), &mut out);
        for action in out.drain(..) {
            if let Action::Send { server, .. } = action {
                placed[server.0 as usize] += 1;
            }
        }
    }
    (placed, began.elapsed().as_secs_f64())
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let value = |key: &str, default: u64| {
        let position = arguments.iter().position(|word| word == key);
        position.and_then(|position| arguments.get(position + 1)?.parse().ok()).unwrap_or(default)
    };
    let (members, group) = (value("--members", 440), value("--group", 1_000_000));
    // Proxies differ only by their ordinal. By default a few of them are simulated, and the result is scaled
    // up.
    let simulated = value("--played", 8).min(members);
    for nodes in [90, 256, 1_024, 2_048, 4_096] {
        for subset_size in [5, needed_subset_size(group)] {
            let (mut placed_on, mut seconds) = (vec![0; nodes as usize], 0.0);
            let each = group / members;
            for ordinal in 0..simulated {
                let ordinal = ordinal * members / simulated;
                let (placed, took) = place(ordinal as u32, members as u32, nodes, subset_size, each);
                placed_on.iter_mut().zip(placed).for_each(|(sum, placed)| *sum += placed);
                seconds += took;
            }
            let fullest =
                placed_on.iter().copied().max().unwrap_or(0) as f64 * members as f64 / simulated as f64;
            let used = placed_on.iter().filter(|count| **count > 0).count();
            let micros = seconds * 1e6 / (each * simulated) as f64;
            println!(
                "{{\"members\": {members}, \"played\": {simulated}, \"group\": {group}, \"nodes\": {nodes}, \"homes\": {subset_size}, \"used\": {used}, \
                 \"fullest\": {fullest:.0}, \"of_its_size\": {:.3}, \"placement_us\": {micros:.1}}}",
                fullest * CONNECTION_LOAD_US / NODE_CAPACITY_US
            );
        }
    }
}
