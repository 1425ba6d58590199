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
use generator::{Aim, Done, Work};
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
const DONE: f64 = 0.98;
/// Maximum 99th percentile of the latency in a step for its rate to count as sustained.
const SLOWEST: Duration = Duration::from_millis(50);
/// Factor from the rate of one step to the rate of the next, until a rate is not sustained.
const STEP: f64 = 1.6;
/// Number of bisection steps between the last sustained rate and the first rate that was not sustained. They locate
/// the ceiling to about 4%.
const HALVINGS: u32 = 4;
/// Wait before the memory of the proxy is read, so that connections that were closed before are gone.
const SETTLES: Duration = Duration::from_millis(300);
/// Share of the ceiling at which the latency is reported. At the ceiling itself, queueing dominates the latency.
const AT: f64 = 0.7;

/// Descriptors reserved for everything that is not a connection.
const OTHER_DESCRIPTORS: u64 = 512;

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
    Place(#[from] NoPlace),
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
    Silent(SocketAddr),
}

fn system(what: &'static str) -> impl Fn(io::Error) -> LoadError {
    move |error| LoadError::System { what, error }
}

/// Results on one path, through the proxy or directly to a render node.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Way {
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
pub struct BothWays {
    /// Results through the proxy.
    pub through: Way,
    /// Results directly to a render node, which show the limit of the kit itself.
    pub direct: Way,
}

impl BothWays {
    /// Ratio of the kit's own ceiling to the proxy's ceiling.
    pub fn headroom(&self) -> f64 {
        self.direct.ceiling / self.through.ceiling.max(1e-9)
    }
}

/// Results of a load test.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Load {
    /// Results for connections that are set up and closed at once.
    pub setups: BothWays,
    /// Results for line round trips over the established connections.
    pub lines: BothWays,
    /// Number of established connections.
    pub connections: usize,
    /// Resident memory of the proxy per established connection, in bytes.
    pub memory_each: f64,
    /// Descriptors of the proxy per established connection.
    pub descriptors_each: f64,
}

/// The configuration of the proxy: one class, no groups, and an endpoint list that never changes.
fn configuration(listen: SocketAddr, nodes: &[SocketAddr], sockets: u64) -> String {
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

/// Runs the load test. `say` receives progress messages for the user.
pub fn measure(setup: &LoadSetup, mut say: impl FnMut(&str)) -> Result<Load, LoadError> {
    setup.daemon.check()?;
    // The kit holds both ends of each established connection and of each set-up in progress. The proxy needs two
    // descriptors for each as well.
    let sockets =
        2 * (setup.connections + generator::MOST_AT_ONCE * setup.threads) as u64 + OTHER_DESCRIPTORS;
    need_descriptors(sockets)?;
    let addresses = Addresses::take(std::process::id() as u8)?;
    let nodes: Vec<SocketAddr> =
        (0..setup.threads.max(1)).map(|n| addresses.node(NodeId(n as u16), ProxyId(0))).collect();
    let echo = echo::Echo::start(&nodes).map_err(system("a render node cannot listen"))?;
    let folder = tempfile::tempdir().map_err(system("cannot create a folder for the run's files"))?;
    let listen = addresses.proxy(ProxyId(0));
    let proxy = start(&setup.daemon, folder.path(), &configuration(listen, &nodes, sockets), sockets)?;
    await_proxy(listen)?;

    let mut load = Load { connections: setup.connections, ..Load::default() };
    let measure = Measure { setup, pid: proxy.pid() };
    // The memory comes first: a proxy keeps the memory that it once allocated, so connections opened after a load
    // would appear to need none.
    say("memory of established connections");
    (load.memory_each, load.descriptors_each) = measure.memory(listen)?;
    say("set-ups, directly to a render node");
    load.setups.direct = measure.way(Work::Setups, &nodes, 4000.0, false, &mut say)?;
    say("set-ups, through the proxy");
    load.setups.through = measure.way(Work::Setups, &[listen], 1000.0, true, &mut say)?;
    let lines = Work::Lines { connections: setup.connections, in_flight: setup.in_flight };
    say("lines, directly to a render node");
    load.lines.direct = measure.way(lines, &nodes, 20_000.0, false, &mut say)?;
    say("lines, through the proxy");
    load.lines.through = measure.way(lines, &[listen], 5000.0, true, &mut say)?;
    echo.stop().map_err(system("an echo render node failed"))?;
    Ok(load)
}

fn start(daemon: &Daemon, folder: &Path, text: &str, sockets: u64) -> Result<Process, LoadError> {
    let path = folder.join("load.json");
    std::fs::write(&path, text).map_err(system("cannot write the proxy's configuration"))?;
    let log = std::fs::File::create(folder.join("load.log"))
        .map_err(system("cannot create the proxy's log file"))?;
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
    Err(LoadError::Silent(listen))
}

struct Measure<'a> {
    setup: &'a LoadSetup,
    pid: u32,
}

impl Measure<'_> {
    fn way(
        &self,
        work: Work,
        to: &[SocketAddr],
        first: f64,
        through: bool,
        say: &mut impl FnMut(&str),
    ) -> Result<Way, LoadError> {
        let (mut ceiling, mut above, mut rate, mut halvings) = (0.0, None, first, 0);
        while halvings <= HALVINGS && rate > 1.0 {
            let done = self.step(work, to, rate)?;
            let slow = done.latency.value_at_quantile(0.99);
            say(&format!("  {rate:.0}/s: {:.1}% done, p99 {slow} us", 100.0 * done.part()));
            match done.borne(DONE, SLOWEST) {
                true => ceiling = rate,
                false => above = Some(rate),
            }
            halvings += u32::from(above.is_some());
            // The ceiling is still 0 if the first rate was not sustained.
            rate = above.map_or(rate * STEP, |above: f64| f64::midpoint(ceiling, above));
        }
        if ceiling == 0.0 {
            return Ok(Way::default());
        }
        let cpu =
            || (usage(self.pid).map_or(0, |u| u.cpu_us), usage(std::process::id()).map_or(0, |u| u.cpu_us));
        let before = cpu();
        let done = self.step(work, to, ceiling * AT)?;
        let after = cpu();
        let each = |from: u64, to: u64| to.saturating_sub(from) as f64 / done.done.max(1) as f64;
        let quantile = |q| done.latency.value_at_quantile(q);
        Ok(Way {
            ceiling,
            latency_us: [quantile(0.5), quantile(0.99), quantile(0.999), done.latency.max()],
            proxy_cpu_us: if through { each(before.0, after.0) } else { 0.0 },
            kit_cpu_us: each(before.1, after.1),
        })
    }

    fn step(&self, work: Work, to: &[SocketAddr], rate: f64) -> Result<Done, LoadError> {
        if self.setup.interrupted.load(Ordering::Acquire) {
            return Err(LoadError::Interrupted);
        }
        let aim = Aim { work, rate, length: self.setup.step, shards: self.setup.threads.max(1) };
        generator::play(&aim, to)
    }

    /// Resident memory in bytes and descriptors of the proxy per idle connection.
    fn memory(&self, listen: SocketAddr) -> Result<(f64, f64), LoadError> {
        let before = usage(self.pid).unwrap_or_default();
        let standing = generator::Standing::open(listen, self.setup.connections)?;
        thread::sleep(SETTLES);
        let after = usage(self.pid).unwrap_or_default();
        let each = |from: u64, to: u64| (to as f64 - from as f64) / standing.len().max(1) as f64;
        let figures = (
            1024.0 * each(before.resident_kib, after.resident_kib),
            each(before.descriptors, after.descriptors),
        );
        drop(standing);
        Ok(figures)
    }
}
