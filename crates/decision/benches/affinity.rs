//! The fullest node under one large group, before and after: 440 proxies each place their part of a group of a million
//! connections, with a subset of five and with as many as the load needs. Then what a placement costs. One JSON line a case.
//!
//! `cargo bench --locked -p cottonnotch-decision --bench affinity`; `-- --members 440 --group 1000000` for the whole.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_decision::*;
use std::time::Instant;

/// What one member of the subset is to take of a group: a quarter of a node of two cores, at 80 us a second for a connection (20 million
/// connections use two fifths of 2,048 such nodes), less three connections' load that the group costs there.
const LOAD: f64 = 80.0;
const SIZE: f64 = 2e6;
const MEMBER_USE: f64 = 0.25;

fn needed(connections: u64) -> u32 {
    ((connections as f64 * LOAD / (MEMBER_USE * SIZE - 3.0 * LOAD)).ceil() as u32).max(5)
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

/// Connections by node, and the seconds that placing them took.
fn place(ordinal: u32, members: u32, nodes: u32, subset_size: u32, many: u64) -> (Vec<u64>, f64) {
    let (mut one, mut out) = (balancer(ordinal, members, nodes, subset_size), Vec::new());
    let mut placed = vec![0; nodes as usize];
    let began = Instant::now();
    for id in 0..many {
        let now = id as Micros * 1_000;
        let id = RequestId(id);
        let (class, group) = (ClassId(0), Some(7));
        let request = Request { id, class, tenant: None, left: None, load_hint: None, group, again: false };
        one.handle(now, Event::Request(request), &mut out);
        for action in out.drain(..) {
            if let Action::Send { server, .. } = action {
                placed[server.0 as usize] += 1;
            }
        }
    }
    (placed, began.elapsed().as_secs_f64())
}

fn main() {
    let given: Vec<String> = std::env::args().collect();
    let value = |key: &str, usual: u64| {
        let place = given.iter().position(|word| word == key);
        place.and_then(|place| given.get(place + 1)?.parse().ok()).unwrap_or(usual)
    };
    let (members, group) = (value("--members", 440), value("--group", 1_000_000));
    // Proxies differ by their place in the order alone; a few stand for all unless more are asked for.
    let played = value("--played", 8).min(members);
    for nodes in [90, 256, 1_024, 2_048, 4_096] {
        for subset_size in [5, needed(group)] {
            let (mut all, mut seconds) = (vec![0; nodes as usize], 0.0);
            let each = group / members;
            for ordinal in 0..played {
                let ordinal = ordinal * members / played;
                let (placed, took) = place(ordinal as u32, members as u32, nodes, subset_size, each);
                all.iter_mut().zip(placed).for_each(|(sum, placed)| *sum += placed);
                seconds += took;
            }
            let fullest = all.iter().copied().max().unwrap_or(0) as f64 * members as f64 / played as f64;
            let used = all.iter().filter(|count| **count > 0).count();
            let micros = seconds * 1e6 / (each * played) as f64;
            println!(
                "{{\"members\": {members}, \"played\": {played}, \"group\": {group}, \"nodes\": {nodes}, \"homes\": {subset_size}, \"used\": {used}, \
                 \"fullest\": {fullest:.0}, \"of_its_size\": {:.3}, \"placement_us\": {micros:.1}}}",
                fullest * LOAD / SIZE
            );
        }
    }
}
