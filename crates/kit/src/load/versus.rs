//! Compares two proxies by their throughput under the same overload, in alternating rounds. The ceiling of a load
//! test is only known to a few percent. The throughput under overload is known more precisely, and since the rounds
//! alternate, drifts of the machine's speed affect both proxies.

use super::generator::{self, Aim, Work};
use super::{LoadError, LoadSetup, OTHER_DESCRIPTORS, await_proxy, configuration, echo, start, system};
use crate::addresses::Addresses;
use crate::compare::bootstrap;
use crate::plan::{NodeId, ProxyId};
use crate::processes::{Daemon, need_descriptors, usage};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

/// Due set-ups and lines per second in each round: more than any proxy sustains on one core.
const SETUPS: f64 = 60_000.0;
const LINES: f64 = 200_000.0;

/// Comparison of both proxies by one kind of work.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Ratio {
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
pub struct Versus {
    /// Comparison by set-ups.
    pub setups: Ratio,
    /// Comparison by line round trips.
    pub lines: Ratio,
}

/// Measures `setup.daemon` and `other` alternately, for this number of rounds.
pub fn measure(
    setup: &LoadSetup,
    other: &Daemon,
    rounds: usize,
    mut say: impl FnMut(&str),
) -> Result<Versus, LoadError> {
    setup.daemon.check()?;
    other.check()?;
    let sockets =
        2 * (setup.connections + generator::MOST_AT_ONCE * setup.threads) as u64 + OTHER_DESCRIPTORS;
    need_descriptors(sockets)?;
    let addresses = Addresses::take(std::process::id() as u8)?;
    let nodes: Vec<SocketAddr> =
        (0..setup.threads.max(1)).map(|n| addresses.node(NodeId(n as u16), ProxyId(0))).collect();
    let echo = echo::Echo::start(&nodes).map_err(system("a render node cannot listen"))?;
    let mut arms = Vec::new();
    for (number, daemon) in [&setup.daemon, other].into_iter().enumerate() {
        let folder = tempfile::tempdir().map_err(system("cannot create a folder for the run's files"))?;
        let listen = addresses.proxy(ProxyId(number as u16));
        let proxy = start(daemon, folder.path(), &configuration(listen, &nodes, sockets), sockets)?;
        await_proxy(listen)?;
        arms.push((listen, proxy, folder));
    }
    let lines = Work::Lines { connections: setup.connections, in_flight: setup.in_flight };
    let mut versus = Versus::default();
    for (work, rate, name) in [(Work::Setups, SETUPS, "set-ups"), (lines, LINES, "lines")] {
        let (mut seen, mut cpu) = (Vec::new(), [Vec::new(), Vec::new()]);
        for round in 0..rounds {
            let mut done = [0.0; 2];
            // The order of the two proxies alternates from round to round.
            for arm in [round % 2, 1 - round % 2] {
                if setup.interrupted.load(Ordering::Acquire) {
                    return Err(LoadError::Interrupted);
                }
                let (listen, proxy, _) = &arms[arm];
                let before = usage(proxy.pid()).unwrap_or_default().cpu_us;
                let aim = Aim { work, rate, length: setup.step, shards: setup.threads.max(1) };
                let played = generator::play(&aim, &[*listen])?;
                let after = usage(proxy.pid()).unwrap_or_default().cpu_us;
                done[arm] = played.in_time as f64 / setup.step.as_secs_f64();
                cpu[arm].push((after - before) as f64 / played.done.max(1) as f64);
            }
            say(&format!("{name}: {:.0} and {:.0} a second", done[0], done[1]));
            seen.push(done);
        }
        let ratio = conclude(seen, cpu);
        match work {
            Work::Setups => versus.setups = ratio,
            Work::Lines { .. } => versus.lines = ratio,
        }
    }
    echo.stop().map_err(system("an echo render node failed"))?;
    Ok(versus)
}

fn conclude(rounds: Vec<[f64; 2]>, cpu: [Vec<f64>; 2]) -> Ratio {
    let ratios: Vec<f64> = rounds.iter().map(|[one, other]| other / one.max(1e-9)).collect();
    let ratio = ratios.iter().sum::<f64>() / ratios.len().max(1) as f64;
    let cpu_us = cpu.map(|mut all| {
        all.sort_unstable_by(f64::total_cmp);
        all.get(all.len() / 2).copied().unwrap_or(0.0)
    });
    Ratio { cpu_us, ratio, interval: bootstrap(&ratios, 1), rounds }
}
