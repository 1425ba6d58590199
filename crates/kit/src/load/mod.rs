//! Load test of one proxy: set-ups and line round trips per second, latency, CPU time, and memory per idle
//! connection. Each run measures both the path through the proxy and the direct path to a render node, so that the
//! two can be compared.
//!
//! The load is open-loop: each unit of work is due at a fixed time even if earlier units are late, and its latency
//! counts from its due time. The proxy sustains a rate if nearly all units of a step are done when the step ends and
//! the 99th percentile of the latency stays under a limit. The ceiling is the highest sustained rate.

pub mod echo;
pub mod generator;
pub mod steady;
pub mod versus;

use crate::addresses::{Addresses, NoPlace};
use crate::plan::{NodeId, ProxyId};
use crate::processes::{Daemon, Process, ProcessError, need_descriptors, usage};
use generator::{Step, StepResult, Work};
use serde::Serialize;
use std::ffi::OsString;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Minimum share of the due units that must be done in a step for its rate to count as sustained.
const MIN_DONE_SHARE: f64 = 0.98;
/// Maximum 99th percentile of the latency in a step for its rate to count as sustained.
const MAX_P99: Duration = Duration::from_millis(50);
/// Factor from the rate of one step to the rate of the next, until a rate is not sustained.
const RATE_FACTOR: f64 = 1.6;
/// Number of bisection steps between the last sustained rate and the first rate that was not sustained. They locate
/// the ceiling to about 4%.
const BISECTIONS: u32 = 4;
/// Wait before the memory of the proxy is read, so that connections that were closed before are gone.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Share of the ceiling at which the latency is reported. At the ceiling itself, queueing dominates the latency.
const LATENCY_RATE_SHARE: f64 = 0.7;

/// Descriptors reserved for everything that is not a connection.
const RESERVED_DESCRIPTORS: u64 = 512;

/// Parameters of a load test.
#[derive(Clone, Debug)]
pub struct LoadSetup {
    /// The proxy program to measure.
    pub daemon: Daemon,
    /// Duration of each step.
    pub step: Duration,
    /// Number of established connections for the line round trips and for the memory measurement.
    pub connections: usize,
    /// Maximum number of lines in flight on each connection.
    pub in_flight: usize,
    /// Number of threads that generate the load, and number of echo render nodes, each with its own thread.
    pub threads: usize,
    /// The caller sets this flag to end the measurement early.
    pub interrupted: Arc<AtomicBool>,
}

/// Why a measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A process could not be started, or a limit of the system is too low.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// No address range of the loopback network is free.
    #[error(transparent)]
    NoAddresses(#[from] NoPlace),
    /// An operation on a socket or a file failed.
    #[error("{what}: {error}")]
    System {
        /// The operation that failed, as the first part of the message.
        what: &'static str,
        /// The error of the operating system.
        error: io::Error,
    },
    /// A thread panicked, which is a bug in the kit.
    #[error("a load generator thread panicked, which is a bug in the kit")]
    Panicked,
    /// The caller ended the measurement early.
    #[error("interrupted before the measurement was complete")]
    Interrupted,
    /// The proxy did not accept connections in time.
    #[error("the proxy does not accept connections at {0}")]
    ProxyNotReady(SocketAddr),
}

fn system_error(what: &'static str) -> impl Fn(io::Error) -> LoadError {
    move |error| LoadError::System { what, error }
}

/// Results on one path, through the proxy or directly to a render node.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PathResult {
    /// Highest sustained rate, in units per second.
    pub ceiling: f64,
    /// Latency in microseconds at 0.7 of the ceiling: median, 99th percentile, 99.9th percentile and maximum.
    pub latency_us: [u64; 4],
    /// CPU time of the proxy per unit of work at that rate, in microseconds; 0 on the direct path.
    pub proxy_cpu_us: f64,
    /// CPU time of the kit per unit of work at that rate, in microseconds.
    pub kit_cpu_us: f64,
}

/// Results of one kind of work on both paths.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PathComparison {
    /// Results through the proxy.
    pub through: PathResult,
    /// Results directly to a render node, which show the limit of the kit itself.
    pub direct: PathResult,
}

impl PathComparison {
    /// Ratio of the kit's own ceiling to the proxy's ceiling.
    pub fn headroom(&self) -> f64 {
        self.direct.ceiling / self.through.ceiling.max(1e-9)
    }
}

/// Results of a load test.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadResult {
    /// Results for connections that are set up and closed at once.
    pub setups: PathComparison,
    /// Results for line round trips over the established connections.
    pub lines: PathComparison,
    /// Number of established connections.
    pub connections: usize,
    /// Resident memory of the proxy per established connection, in bytes.
    pub memory_each: f64,
    /// Descriptors of the proxy per established connection.
    pub descriptors_each: f64,
}

/// The configuration of the proxy: one class, no groups, and an endpoint list that never changes.
fn proxy_configuration(listen: SocketAddr, nodes: &[SocketAddr], sockets: u64) -> String {
    let members: Vec<String> = nodes
        .iter()
        .enumerate()
        .map(|(i, at)| {
            format!(r#"{{"id":"echo-{i}","host_port":"{at}","locality":"a","cell":0,"phase":"up","size":1.0,"up_since_ms":0}}"#)
        })
        .collect();
    format!(
        r#"{{"name":"load","listen":"{listen}","discovery":"127.0.0.1:9","seed":"1","limits":{{"sockets":{sockets},"memory_mb":2048}},
        "known":{{"revision":1,"complete":true,"members":[{}]}},
        "settings":{{"balancers":1,"ordinal":0,"zones":["a"],"zone":"a","registryMode":"pushed",
        "policyLimits":{{"mostTries":3,"connectTimeout":2000000,"retryAfter":true,"maxRetryAfter":1000000}},
        "requestClasses":[{{"name":"load","effect":"safe","target":5000000,"deadline":10000000,"gain":1.0}}]}}}}"#,
        members.join(",")
    )
}

/// Runs the load test. `progress` receives progress messages for the user.
pub fn measure(setup: &LoadSetup, mut progress: impl FnMut(&str)) -> Result<LoadResult, LoadError> {
    setup.daemon.check()?;
    // The kit holds both ends of each established connection and of each set-up in progress. The proxy needs two
    // descriptors for each as well.
    let sockets = 2 * (setup.connections + generator::MAX_SETUPS_IN_PROGRESS * setup.threads) as u64
        + RESERVED_DESCRIPTORS;
    need_descriptors(sockets)?;
    let addresses = Addresses::take(std::process::id() as u8)?;
    let nodes: Vec<SocketAddr> =
        (0..setup.threads.max(1)).map(|n| addresses.node(NodeId(n as u16), ProxyId(0))).collect();
    let echo_nodes = echo::EchoNodes::start(&nodes).map_err(system_error("a render node cannot listen"))?;
    let folder = tempfile::tempdir().map_err(system_error("cannot create a folder for the run's files"))?;
    let listen = addresses.proxy(ProxyId(0));
    let proxy =
        start_proxy(&setup.daemon, folder.path(), &proxy_configuration(listen, &nodes, sockets), sockets)?;
    await_proxy(listen)?;

    let mut result = LoadResult { connections: setup.connections, ..LoadResult::default() };
    let measurement = Measurement { setup, pid: proxy.pid() };
    // The memory comes first: a proxy keeps the memory that it once allocated, so connections opened after a load
    // would appear to need none.
    progress("memory of established connections");
    (result.memory_each, result.descriptors_each) = measurement.memory_per_connection(listen)?;
    progress("set-ups, directly to a render node");
    result.setups.direct = measurement.measure_path(Work::Setups, &nodes, 4000.0, false, &mut progress)?;
    progress("set-ups, through the proxy");
    result.setups.through = measurement.measure_path(Work::Setups, &[listen], 1000.0, true, &mut progress)?;
    let lines = Work::Lines { connections: setup.connections, in_flight: setup.in_flight };
    progress("lines, directly to a render node");
    result.lines.direct = measurement.measure_path(lines, &nodes, 20_000.0, false, &mut progress)?;
    progress("lines, through the proxy");
    result.lines.through = measurement.measure_path(lines, &[listen], 5000.0, true, &mut progress)?;
    echo_nodes.stop().map_err(system_error("an echo render node failed"))?;
    Ok(result)
}

fn start_proxy(daemon: &Daemon, folder: &Path, text: &str, sockets: u64) -> Result<Process, LoadError> {
    let path = folder.join("load.json");
    std::fs::write(&path, text).map_err(system_error("cannot write the proxy's configuration"))?;
    let log = std::fs::File::create(folder.join("load.log"))
        .map_err(system_error("cannot create the proxy's log file"))?;
    let environment: [(&str, OsString); 1] = [("GW_CONFIG", path.into_os_string())];
    Ok(Process::start(daemon, &environment, sockets, log)?)
}

fn await_proxy(listen: SocketAddr) -> Result<(), LoadError> {
    let until = Instant::now() + Duration::from_secs(5);
    while Instant::now() < until {
        if TcpStream::connect(listen).is_ok() {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(5));
    }
    Err(LoadError::ProxyNotReady(listen))
}

struct Measurement<'a> {
    setup: &'a LoadSetup,
    pid: u32,
}

impl Measurement<'_> {
    fn measure_path(
        &self,
        work: Work,
        addresses: &[SocketAddr],
        first_rate: f64,
        through: bool,
        progress: &mut impl FnMut(&str),
    ) -> Result<PathResult, LoadError> {
        let (mut ceiling, mut failed_rate, mut rate, mut bisections) = (0.0, None, first_rate, 0);
        while bisections <= BISECTIONS && rate > 1.0 {
            let result = self.run_step(work, addresses, rate)?;
            let p99 = result.latency.value_at_quantile(0.99);
            progress(&format!("  {rate:.0}/s: {:.1}% done, p99 {p99} us", 100.0 * result.done_share()));
            match result.is_sustained(MIN_DONE_SHARE, MAX_P99) {
                true => ceiling = rate,
                false => failed_rate = Some(rate),
            }
            bisections += u32::from(failed_rate.is_some());
            // The ceiling is still 0 if the first rate was not sustained.
            rate = failed_rate.map_or(rate * RATE_FACTOR, |failed: f64| f64::midpoint(ceiling, failed));
        }
        if ceiling == 0.0 {
            return Ok(PathResult::default());
        }
        let cpu =
            || (usage(self.pid).map_or(0, |u| u.cpu_us), usage(std::process::id()).map_or(0, |u| u.cpu_us));
        let before = cpu();
        let result = self.run_step(work, addresses, ceiling * LATENCY_RATE_SHARE)?;
        let after = cpu();
        let each = |from: u64, to: u64| to.saturating_sub(from) as f64 / result.done.max(1) as f64;
        let quantile = |q| result.latency.value_at_quantile(q);
        Ok(PathResult {
            ceiling,
            latency_us: [quantile(0.5), quantile(0.99), quantile(0.999), result.latency.max()],
            proxy_cpu_us: if through { each(before.0, after.0) } else { 0.0 },
            kit_cpu_us: each(before.1, after.1),
        })
    }

    fn run_step(&self, work: Work, addresses: &[SocketAddr], rate: f64) -> Result<StepResult, LoadError> {
        if self.setup.interrupted.load(Ordering::Acquire) {
            return Err(LoadError::Interrupted);
        }
        let step = Step { work, rate, length: self.setup.step, shards: self.setup.threads.max(1) };
        generator::run_step(&step, addresses)
    }

    /// Resident memory in bytes and descriptors of the proxy per idle connection.
    fn memory_per_connection(&self, listen: SocketAddr) -> Result<(f64, f64), LoadError> {
        let before = usage(self.pid).unwrap_or_default();
        let idle = generator::IdleConnections::open(listen, self.setup.connections)?;
        thread::sleep(SETTLE_TIME);
        let after = usage(self.pid).unwrap_or_default();
        let each = |from: u64, to: u64| (to as f64 - from as f64) / idle.len().max(1) as f64;
        let per_connection = (
            1024.0 * each(before.resident_kib, after.resident_kib),
            each(before.descriptors, after.descriptors),
        );
        drop(idle);
        Ok(per_connection)
    }
}
