//! Measures how the cost of a placement and of a wake-up of queued requests grows with the number of render
//! nodes.
//! `docs/CAPACITY.md` quotes the results.
//!
//! The main function prints one JSON line per measurement and also runs Criterion for a single placement. A
//! wake-up of thousands of requests takes too long for Criterion's loop.
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
/// Numbers of render nodes, from the sizes of the operators' current lists to the size that the capacity
/// target may need.
const NODES: [u32; 6] = [16, 90, 256, 1_024, 2_048, 4_096];
/// Number of requests that are queued while no render node may be used.
const QUEUED: u64 = 2_000;
/// Number of placements that are measured for each number of render nodes.
const PLACEMENTS: u64 = 2_000;
/// Number of wake-ups that are measured for each number of render nodes.
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
    // 13,000 groups make about 62,000 pairs of group and node, because each subset has about five members.
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

/// Measures one placement. The connection is then established and closed, outside the measured time.
fn place(balancer: &mut Balancer, now: Micros, id: u64, groups: bool, out: &mut Vec<Action>) -> Duration {
    out.clear();
    let event = request(id, groups);
    let start = Instant::now();
    balancer.handle(now, event, out);
    let elapsed = start.elapsed();
    let server = sent(out).expect("all servers may be used");
    let request = RequestId(id);
    balancer.handle(now, Event::Established { request, attempt: 0, server, elapsed: 1_000 }, out);
    balancer.handle(now, Event::ClientClosed(request), out);
    elapsed
}

fn quantiles(mut all: Vec<Duration>) -> [f64; 3] {
    all.sort_unstable();
    [0, all.len() / 2, all.len() * 99 / 100].map(|at| all[at].as_secs_f64() * 1e6)
}

fn measure_placements(nodes: u32, groups: bool) {
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

/// Measures wake-ups: all render nodes are paused, requests arrive and are queued, and then the pauses end.
fn measure_wake_up(nodes: u32, groups: bool) {
    let (mut queueing, mut expiries, mut wake_ups, mut placed) = (Vec::new(), Vec::new(), Vec::new(), 0);
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
        queueing.push(start.elapsed());
        assert!(sent(&out).is_none(), "{nodes} render nodes: all requests are queued");
        // The timer fires several times before the pauses end, and each time tries to dispatch all queued
        // requests.
        let mut at = now + 1_000;
        let mut timers_due: Vec<Micros> = timers(&out, at);
        out.clear();
        while sent(&out).is_none() {
            timers_due.sort_unstable();
            at = timers_due.remove(0).max(at);
            let start = Instant::now();
            balancer.handle(at, Event::Timer(0), &mut out);
            expiries.push(start.elapsed());
            timers_due.extend(timers(&out, at));
        }
        // At the last expiry the pauses were over: one request is placed for each trial that is allowed.
        wake_ups.extend(expiries.pop());
        placed = out.iter().filter(|action| matches!(action, Action::Send { .. })).count();
        black_box(&out);
    }
    let [_, queueing, _] = quantiles(queueing);
    let [_, futile, _] = quantiles(expiries);
    let [least, median, most] = quantiles(wake_ups);
    println!(
        r#"{{"what":"wake","nodes":{nodes},"groups":{groups},"held":{QUEUED},"n":{WAKES},"hold_all_us":{queueing:.0},"futile_us":{futile:.0},"least_us":{least:.0},"median_us":{median:.0},"most_us":{most:.0},"placed":{placed}}}"#
    );
}

fn timers(out: &[Action], now: Micros) -> Vec<Micros> {
    let due_at = |action: &Action| match action {
        Action::Timer { after, token: 0 } => Some(now + after),
        _ => None,
    };
    out.iter().filter_map(due_at).collect()
}

fn main() {
    for groups in [false, true] {
        NODES.into_iter().for_each(|nodes| measure_placements(nodes, groups));
        NODES.into_iter().for_each(|nodes| measure_wake_up(nodes, groups));
    }
    let mut criterion = Criterion::default().sample_size(20).configure_from_args();
    for nodes in [90, 4_096] {
        let mut now = 100 * S;
        let mut balancer = balancer(nodes, true, now);
        let (mut id, mut out) = (0, Vec::new());
        criterion.bench_function(&format!("a group's placement, {nodes} render nodes"), |bench| {
            bench.iter_custom(|times| {
                let place_one = |_| {
                    (id, now) = (id + 1, now + 1_000);
                    place(&mut balancer, now, id, true, &mut out)
                };
                (0..times).map(place_one).sum()
            });
        });
    }
    criterion.final_summary();
}
