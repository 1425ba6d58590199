//! Measures the judge's throughput: `cargo test --release -p cottonnotch-kit --test judge -- --ignored --nocapture`.

use crate::fixtures::{Exchange, Trace, plan};
use cottonnotch_kit::judge::{Judge, Outcome};
use cottonnotch_kit::observation::{Attempt, RequestId, Seen};
use cottonnotch_kit::plan::{NodeId, Plan, ProxyId, SessionId};
use cottonnotch_kit::time::S;
use std::sync::Arc;
use std::time::{Duration, Instant};

const CONNECTIONS: usize = 8000;
const NODES: usize = 200;
const PROXIES: usize = 5;
/// Connections that end and are replaced in each step of 2 s. This gives connections a lifetime of 45 s.
const CHURN: usize = CONNECTIONS * 2 / 45;

fn fleet(steps: usize) -> Plan {
    let mut plan = plan(CONNECTIONS + steps * CHURN);
    plan.nodes = plan.nodes.iter().cycle().take(NODES).cloned().collect();
    plan.proxies = plan.proxies.iter().cycle().take(PROXIES).cloned().collect();
    plan.ends = (steps as i64 + 1) * 2 * S;
    plan
}

fn exchange(i: usize) -> Exchange {
    let attempt = Attempt { node: NodeId((i % NODES) as u16), serial: i as u32 };
    let (request, session) = (RequestId(i as u64), SessionId(i as u32));
    Exchange { request, session, proxy: ProxyId((i % PROXIES) as u16), attempt }
}

/// The observations of 2 s: some connections end, as many are established, and each of the others sends a line.
fn step(n: usize, established: &mut Vec<(Exchange, u32)>) -> Trace {
    let (mut trace, from) = (Trace::default(), n as f64 * 2000.0);
    let first = if n == 0 { 0 } else { CONNECTIONS + (n - 1) * CHURN };
    if n > 0 {
        established.drain(..CHURN).enumerate().for_each(|(i, (w, _))| {
            trace.client_done(from + i as f64, w);
        });
    }
    let spread = 1900.0 / established.len().max(1) as f64;
    for (i, (w, line)) in established.iter_mut().enumerate() {
        let at = from + i as f64 * spread;
        trace.line_round_trip(at, *w, *line);
        let served = Seen::Served { session: w.session, from: (at * 1e3) as i64 - 2 * S, well: true };
        trace.add(at + 1.4, served).add(at + 1.4, Seen::MessageTook { class: 0, took: 1400 });
        *line += 1;
    }
    let new = if n == 0 { CONNECTIONS } else { CHURN };
    for i in first..first + new {
        let (w, at) = (exchange(i), from + (i - first) as f64 * 1900.0 / new as f64);
        let until = (n as i64 * 2 + 45) * S;
        trace.add(at, Seen::Wanted { session: w.session, class: 0, tenant: 0, until }).up(at, w);
        established.push((w, 0));
    }
    trace
}

#[test]
#[ignore = "measurement, for release builds"]
fn judges_million_observations_in_seconds() {
    // A second of the run has about 25,000 observations.
    let steps = std::env::var("JUDGE_STEPS").ok().and_then(|n| n.parse().ok()).unwrap_or(21);
    let plan = fleet(steps);
    let (mut established, mut judge) = (Vec::new(), Judge::new(Arc::new(plan.clone())));
    let (mut seen, mut took) = (0usize, Duration::ZERO);
    for n in 0..steps {
        let trace = step(n, &mut established).sorted();
        let began = Instant::now();
        trace.iter().for_each(|o| judge.observe(o));
        took += began.elapsed();
        seen += trace.len();
    }
    let began = Instant::now();
    let verdict = judge.finish(plan.ends);
    let end = began.elapsed();
    assert_eq!(verdict.outcome, Outcome::Passed, "{verdict}");
    let each = took.as_nanos() as f64 / seen as f64;
    println!("{seen} observations in {took:?}, {each:.0} ns each; the verdict in {end:?}");
    assert!(seen >= 1_000_000 && each < 5_000.0);
}
