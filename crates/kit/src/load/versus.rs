//! Compares two proxies by their throughput under the same overload, in alternating rounds. The ceiling of a load
//! test is only known to a few percent. The throughput under overload is known more precisely, and since the rounds
//! alternate, drifts of the machine's speed affect both proxies.

use super::generator::{self, Step, Work};
use super::{
    LoadError, LoadSetup, RESERVED_DESCRIPTORS, await_proxy, echo, proxy_configuration, start_proxy,
    system_error,
};
use crate::addresses::Addresses;
use crate::compare::bootstrap;
use crate::plan::{NodeId, ProxyId};
use crate::processes::{Daemon, need_descriptors, usage};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

/// Due set-ups and lines per second in each round: more than any proxy sustains on one core.
const SETUP_RATE: f64 = 60_000.0;
const LINE_RATE: f64 = 200_000.0;

/// Comparison of both proxies by one kind of work.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ThroughputRatio {
    /// Units done per second in each round, by the first proxy and by the second.
    pub rounds: Vec<[f64; 2]>,
    /// Median CPU time per unit in microseconds, of the first proxy and of the second.
    pub cpu_us: [f64; 2],
    /// Mean over the rounds of the second proxy's throughput divided by the first's.
    pub ratio: f64,
    /// 95% confidence interval of the ratio.
    pub interval: (f64, f64),
}

/// Comparison of both proxies by both kinds of work.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ThroughputComparison {
    /// Comparison by set-ups.
    pub setups: ThroughputRatio,
    /// Comparison by line round trips.
    pub lines: ThroughputRatio,
}

/// Measures `setup.daemon` and `other` alternately, for this number of rounds.
pub fn measure(
    setup: &LoadSetup,
    other: &Daemon,
    rounds: usize,
    mut progress: impl FnMut(&str),
) -> Result<ThroughputComparison, LoadError> {
    setup.daemon.check()?;
    other.check()?;
    let sockets = 2 * (setup.connections + generator::MAX_SETUPS_IN_PROGRESS * setup.threads) as u64
        + RESERVED_DESCRIPTORS;
    need_descriptors(sockets)?;
    let addresses = Addresses::take(std::process::id() as u8)?;
    let nodes: Vec<SocketAddr> =
        (0..setup.threads.max(1)).map(|n| addresses.node(NodeId(n as u16), ProxyId(0))).collect();
    let echo_nodes = echo::EchoNodes::start(&nodes).map_err(system_error("a render node cannot listen"))?;
    let mut proxies = Vec::new();
    for (number, daemon) in [&setup.daemon, other].into_iter().enumerate() {
        let folder =
            tempfile::tempdir().map_err(system_error("cannot create a folder for the run's files"))?;
        let listen = addresses.proxy(ProxyId(number as u16));
        let proxy =
            start_proxy(daemon, folder.path(), &proxy_configuration(listen, &nodes, sockets), sockets)?;
        await_proxy(listen)?;
        proxies.push((listen, proxy, folder));
    }
    let lines = Work::Lines { connections: setup.connections, in_flight: setup.in_flight };
    let mut comparison = ThroughputComparison::default();
    for (work, rate, name) in [(Work::Setups, SETUP_RATE, "set-ups"), (lines, LINE_RATE, "lines")] {
        let (mut throughputs, mut cpu) = (Vec::new(), [Vec::new(), Vec::new()]);
        for round in 0..rounds {
            let mut done = [0.0; 2];
            // The order of the two proxies alternates from round to round.
            for index in [round % 2, 1 - round % 2] {
                if setup.interrupted.load(Ordering::Acquire) {
                    return Err(LoadError::Interrupted);
                }
                let (listen, proxy, _) = &proxies[index];
                let before = usage(proxy.pid()).unwrap_or_default().cpu_us;
                let step = Step { work, rate, length: setup.step, shards: setup.threads.max(1) };
                let result = generator::run_step(&step, &[*listen])?;
                let after = usage(proxy.pid()).unwrap_or_default().cpu_us;
                done[index] = result.in_time as f64 / setup.step.as_secs_f64();
                cpu[index].push((after - before) as f64 / result.done.max(1) as f64);
            }
            progress(&format!("{name}: {:.0} and {:.0} a second", done[0], done[1]));
            throughputs.push(done);
        }
        let ratio = summarize(throughputs, cpu);
        match work {
            Work::Setups => comparison.setups = ratio,
            Work::Lines { .. } => comparison.lines = ratio,
        }
    }
    echo_nodes.stop().map_err(system_error("an echo render node failed"))?;
    Ok(comparison)
}

fn summarize(rounds: Vec<[f64; 2]>, cpu: [Vec<f64>; 2]) -> ThroughputRatio {
    let ratios: Vec<f64> = rounds.iter().map(|[first, second]| second / first.max(1e-9)).collect();
    let ratio = ratios.iter().sum::<f64>() / ratios.len().max(1) as f64;
    let cpu_us = cpu.map(|mut values| {
        values.sort_unstable_by(f64::total_cmp);
        values.get(values.len() / 2).copied().unwrap_or(0.0)
    });
    ThroughputRatio { cpu_us, ratio, interval: bootstrap(&ratios, 1), rounds }
}
