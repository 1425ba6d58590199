//! What a placement and a wake-up of queued requests cost by the number of render nodes. `docs/CAPACITY.md` quotes these.
//!
//! A plain main that prints a line of JSON a point, beside Criterion's figures for the single placement: what is asked is how
//! the cost grows, and a wake of thousands is too long for Criterion's loop.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]
#![allow(missing_docs)]

use cottonnotch_decision::*;
use criterion::Criterion;
use std::hint::black_box;
use std::time::{Duration, Instant};

const S: Micros = 1_000_000;
/// Render nodes: the operators' lists of today, and on to what the target may need.
const NODES: [u32; 6] = [16, 90, 256, 1_024, 2_048, 4_096];
/// Requests queued while no render node may be used.
const QUEUED: u64 = 2_000;
/// Placements measured at each size, and wakes.
const PLACEMENTS: u64 = 2_000;
const WAKES: usize = 5;

fn settings(groups: bool) -> Settings {
    Settings {
        nodes: 440,
        classes: vec![Class {
            target: 500_000,
            deadline: 20 * S,
            message_latency_objective: 150_000,
            attempts: 3,
            idempotency: Idempotency::Idempotent,
            priority_weight: 1.0,
        }],
        groups,
        step: 2_000,
        retry_after: true,
        max_retry_after: S,
        ..Settings::default()
    }
}

fn balancer(nodes: u32, groups: bool, now: Micros) -> Balancer {
    let mut balancer = Balancer::new(settings(groups), 7, now);
    let entry = |server: u32| Entry {
        server: ServerId(server),
        digest: u64::from(server + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(17),
        state: ServerState::Ready,
        zone: ZoneId(server as u16 % 6),
        cell: server / 8,
        started: None,
        weight: 1.0,
    };
    let entries = (0..nodes).map(entry).collect();
    balancer.handle(now, Event::List { full: true, copy: true, entries }, &mut Vec::new());
    balancer
}

fn request(id: u64, groups: bool) -> Event {
    // 13,000 groups: 62,000 pairs of group and node, if each subset has some five members.
    let group = groups.then_some((id % 13_000).wrapping_mul(0x9e37_79b9));
    let (class, tenant, left) = (ClassId(0), None, Some(10 * S));
    Event::Request(Request { id: RequestId(id), class, tenant, left, load_hint: None, group, again: false })
}

fn sent(out: &[Action]) -> Option<ServerId> {
    out.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// One placement; the connection stands for a moment and ends, outside of what is measured.
fn place(balancer: &mut Balancer, now: Micros, id: u64, groups: bool, out: &mut Vec<Action>) -> Duration {
    out.clear();
    let event = request(id, groups);
    let start = Instant::now();
    balancer.handle(now, event, out);
    let took = start.elapsed();
    let server = sent(out).expect("all may be used");
    let request = RequestId(id);
    balancer.handle(now, Event::Established { request, attempt: 0, server, elapsed: 1_000 }, out);
    balancer.handle(now, Event::ClientClosed(request), out);
    took
}

fn quantiles(mut all: Vec<Duration>) -> [f64; 3] {
    all.sort_unstable();
    [0, all.len() / 2, all.len() * 99 / 100].map(|at| all[at].as_secs_f64() * 1e6)
}

fn placements(nodes: u32, groups: bool) {
    let mut now = 100 * S;
    let mut balancer = balancer(nodes, groups, now);
    let mut out = Vec::new();
    let times = (0..PLACEMENTS).map(|id| {
        now += 1_000;
        place(&mut balancer, now, id, groups, &mut out)
    });
    let [least, median, p99] = quantiles(times.collect());
    println!(
        r#"{{"what":"placement","nodes":{nodes},"groups":{groups},"n":{PLACEMENTS},"least_us":{least:.2},"median_us":{median:.2},"p99_us":{p99:.2}}}"#
    );
}

/// Every render node is paused to the next second mark, clients arrive and are queued; then the mark.
fn wake(nodes: u32, groups: bool) {
    let (mut holding, mut rings, mut waking, mut placed) = (Vec::new(), Vec::new(), Vec::new(), 0);
    for _ in 0..WAKES {
        let now = 100 * S + 1_000;
        let mut balancer = balancer(nodes, groups, now);
        let mut out = Vec::new();
        for server in (0..nodes).map(ServerId) {
            balancer.handle(now, Event::LatencyUpdate { server, latency: 60_000 }, &mut out);
        }
        out.clear();
        let start = Instant::now();
        for id in 0..QUEUED {
            balancer.handle(now + 1_000, request(id, groups), &mut out);
        }
        holding.push(start.elapsed());
        assert!(sent(&out).is_none(), "{nodes} render nodes: all are held");
        // The pause reaches past the next mark; the timer fires until then, and each time all that is queued is dispatched anew.
        let mut at = now + 1_000;
        let mut due: Vec<Micros> = timers(&out, at);
        out.clear();
        while sent(&out).is_none() {
            due.sort_unstable();
            at = due.remove(0).max(at);
            let start = Instant::now();
            balancer.handle(at, Event::Timer(0), &mut out);
            rings.push(start.elapsed());
            due.extend(timers(&out, at));
        }
        // The ring at which the pauses were over: as many are placed as there are trials.
        waking.extend(rings.pop());
        placed = out.iter().filter(|action| matches!(action, Action::Send { .. })).count();
        black_box(&out);
    }
    let [_, holding, _] = quantiles(holding);
    let [_, futile, _] = quantiles(rings);
    let [least, median, most] = quantiles(waking);
    println!(
        r#"{{"what":"wake","nodes":{nodes},"groups":{groups},"held":{QUEUED},"n":{WAKES},"hold_all_us":{holding:.0},"futile_us":{futile:.0},"least_us":{least:.0},"median_us":{median:.0},"most_us":{most:.0},"placed":{placed}}}"#
    );
}

fn timers(out: &[Action], now: Micros) -> Vec<Micros> {
    let wake = |action: &Action| match action {
        Action::Timer { after, token: 0 } => Some(now + after),
        _ => None,
    };
    out.iter().filter_map(wake).collect()
}

fn main() {
    for groups in [false, true] {
        NODES.into_iter().for_each(|nodes| placements(nodes, groups));
        NODES.into_iter().for_each(|nodes| wake(nodes, groups));
    }
    let mut criterion = Criterion::default().sample_size(20).configure_from_args();
    for nodes in [90, 4_096] {
        let mut now = 100 * S;
        let mut balancer = balancer(nodes, true, now);
        let (mut id, mut out) = (0, Vec::new());
        criterion.bench_function(&format!("a group's placement, {nodes} render nodes"), |bench| {
            bench.iter_custom(|times| {
                let one = |_| {
                    (id, now) = (id + 1, now + 1_000);
                    place(&mut balancer, now, id, true, &mut out)
                };
                (0..times).map(one).sum()
            });
        });
    }
    criterion.final_summary();
}
