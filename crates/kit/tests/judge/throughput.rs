//! Measures the judge's throughput: `cargo test --release -p cottonnotch-kit --test judge -- --ignored --nocapture`.

use crate::fixtures::{RequestIds, Trace, plan};
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

fn fleet_plan(steps: usize) -> Plan {
    let mut plan = plan(CONNECTIONS + steps * CHURN);
    plan.nodes = plan.nodes.iter().cycle().take(NODES).cloned().collect();
    plan.proxies = plan.proxies.iter().cycle().take(PROXIES).cloned().collect();
    plan.ends = (steps as i64 + 1) * 2 * S;
    plan
}

fn request_ids(i: usize) -> RequestIds {
    let attempt = Attempt { node: NodeId((i % NODES) as u16), serial: i as u32 };
    let (request, session) = (RequestId(i as u64), SessionId(i as u32));
    RequestIds { request, session, proxy: ProxyId((i % PROXIES) as u16), attempt }
}

/// The observations of 2 s: some connections end, as many are established, and each of the others sends a line.
fn trace_of_step(n: usize, established: &mut Vec<(RequestIds, u32)>) -> Trace {
    let (mut trace, from) = (Trace::default(), n as f64 * 2000.0);
    let first = if n == 0 { 0 } else { CONNECTIONS + (n - 1) * CHURN };
    if n > 0 {
        established.drain(..CHURN).enumerate().for_each(|(i, (ids, _))| {
            trace.client_done(from + i as f64, ids);
        });
    }
    let spread = 1900.0 / established.len().max(1) as f64;
    for (i, (ids, line)) in established.iter_mut().enumerate() {
        let at = from + i as f64 * spread;
        trace.line_round_trip(at, *ids, *line);
        let served = Seen::Served { session: ids.session, from: (at * 1e3) as i64 - 2 * S, well: true };
        trace.add(at + 1.4, served).add(at + 1.4, Seen::MessageTook { class: 0, took: 1400 });
        *line += 1;
    }
    let new = if n == 0 { CONNECTIONS } else { CHURN };
    for i in first..first + new {
        let (ids, at) = (request_ids(i), from + (i - first) as f64 * 1900.0 / new as f64);
        let until = (n as i64 * 2 + 45) * S;
        trace.add(at, Seen::Wanted { session: ids.session, class: 0, tenant: 0, until }).up(at, ids);
        established.push((ids, 0));
    }
    trace
}

#[test]
#[ignore = "measurement, for release builds"]
fn judges_million_observations_in_seconds() {
    // A second of the run has about 25,000 observations.
    let steps = std::env::var("JUDGE_STEPS").ok().and_then(|n| n.parse().ok()).unwrap_or(21);
    let plan = fleet_plan(steps);
    let (mut established, mut judge) = (Vec::new(), Judge::new(Arc::new(plan.clone())));
    let (mut observed, mut elapsed) = (0usize, Duration::ZERO);
    for n in 0..steps {
        let trace = trace_of_step(n, &mut established).sorted();
        let started = Instant::now();
        trace.iter().for_each(|o| judge.observe(o));
        elapsed += started.elapsed();
        observed += trace.len();
    }
    let started = Instant::now();
    let verdict = judge.finish(plan.ends);
    let finish_elapsed = started.elapsed();
    assert_eq!(verdict.outcome, Outcome::Passed, "{verdict}");
    let nanos_per_observation = elapsed.as_nanos() as f64 / observed as f64;
    println!(
        "{observed} observations in {elapsed:?}, {nanos_per_observation:.0} ns each; the verdict in {finish_elapsed:?}"
    );
    assert!(observed >= 1_000_000 && nanos_per_observation < 5_000.0);
}
