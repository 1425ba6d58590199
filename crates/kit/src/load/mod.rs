//! How much one proxy bears: set-ups and line round trips a second, latency, CPU, and memory for each standing
//! connection; always through the proxy and directly to a render node in one run, with the ratio.
//!
//! The load is open: work is due at fixed times, whoever is late with the last one, and its latency counts from when
//! it was due. A rate is borne if nearly all of it is done by the end of its step and its 99th percentile stays under
//! a bound; the ceiling is the highest rate that is.

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

/// A rate counts as borne if this part of what was due is done when its step ends ...
const DONE: f64 = 0.98;
/// ... and 99 of 100 took no longer than this.
const SLOWEST: Duration = Duration::from_millis(50);
/// Each step's rate is this multiple of the one before, until one is not borne ...
const STEP: f64 = 1.6;
/// ... then the ceiling is sought between the two, by halving so often: to some 4%.
const HALVINGS: u32 = 4;
/// What was let go last is given this long to be gone, before memory is read.
const SETTLES: Duration = Duration::from_millis(300);
/// Latency is reported at this part of the ceiling: at the ceiling itself there is only the queue to see.
const AT: f64 = 0.7;

/// Descriptors for all that is no connection.
const OTHER_DESCRIPTORS: u64 = 512;

/// What is to be measured.
#[derive(Clone, Debug)]
pub struct LoadSetup {
    /// The program that is put in as the proxy.
    pub daemon: Daemon,
    /// Length of each step.
    pub step: Duration,
    /// Standing connections for line round trips and for the memory of each.
    pub connections: usize,
    /// Lines that each standing connection has in flight at most.
    pub in_flight: usize,
    /// Threads that make the load, and as many that answer it.
    pub threads: usize,
    /// Set from outside to end early.
    pub interrupted: Arc<AtomicBool>,
}

/// Why nothing could be measured.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A process or the system's limits.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// No part of the loopback network is free.
    #[error(transparent)]
    Place(#[from] NoPlace),
    /// A socket or a file.
    #[error("{what}: {error}")]
    System {
        /// What could not be done.
        what: &'static str,
        /// The system's reason.
        error: io::Error,
    },
    /// A thread has panicked: a fault of the kit's.
    #[error("a thread of the load has failed, which is a fault of the kit's")]
    Panicked,
    /// It was ended from outside.
    #[error("ended before all was measured")]
    Interrupted,
    /// The proxy never served.
    #[error("the proxy does not answer at {0}")]
    Silent(SocketAddr),
}

fn system(what: &'static str) -> impl Fn(io::Error) -> LoadError {
    move |error| LoadError::System { what, error }
}

/// One way, through the proxy or directly.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Way {
    /// The highest rate that was borne, a second.
    pub ceiling: f64,
    /// Latency in microseconds at 0.7 of it: median, 99th and 99.9th percentile, longest.
    pub latency_us: [u64; 4],
    /// CPU time of the proxy for each unit of work at that rate, in microseconds; 0 when it is not in the way.
    pub proxy_cpu_us: f64,
    /// CPU time of the kit for each.
    pub kit_cpu_us: f64,
}

/// One kind of work both ways.
#[derive(Clone, Debug, Default, Serialize)]
pub struct BothWays {
    /// Through the proxy.
    pub through: Way,
    /// Directly to a render node: what the kit itself can do.
    pub direct: Way,
}

impl BothWays {
    /// How many times the proxy's ceiling the kit bears.
    pub fn headroom(&self) -> f64 {
        self.direct.ceiling / self.through.ceiling.max(1e-9)
    }
}

/// What was measured.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Load {
    /// Connections set up and ended a second.
    pub setups: BothWays,
    /// Lines there and back a second, over the standing connections.
    pub lines: BothWays,
    /// Standing connections.
    pub connections: usize,
    /// Resident memory of the proxy for each of them, in bytes.
    pub memory_each: f64,
    /// Descriptors of the proxy for each of them.
    pub descriptors_each: f64,
}

/// The proxy's configuration here: one class, no groups, and the list it knows stands.
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

/// Measures. `say` is told what is being done, for a person who waits.
pub fn measure(setup: &LoadSetup, mut say: impl FnMut(&str)) -> Result<Load, LoadError> {
    setup.daemon.check()?;
    // Both ends of all that stands and of all that is being set up; the proxy has two of its own for each as well.
    let sockets =
        2 * (setup.connections + generator::MOST_AT_ONCE * setup.threads) as u64 + OTHER_DESCRIPTORS;
    need_descriptors(sockets)?;
    let addresses = Addresses::take(std::process::id() as u8)?;
    let nodes: Vec<SocketAddr> =
        (0..setup.threads.max(1)).map(|n| addresses.node(NodeId(n as u16), ProxyId(0))).collect();
    let echo = echo::Echo::start(&nodes).map_err(system("a render node cannot listen"))?;
    let folder = tempfile::tempdir().map_err(system("no folder for the run's files"))?;
    let listen = addresses.proxy(ProxyId(0));
    let proxy = start(&setup.daemon, folder.path(), &configuration(listen, &nodes, sockets), sockets)?;
    await_proxy(listen)?;

    let mut load = Load { connections: setup.connections, ..Load::default() };
    let measure = Measure { setup, pid: proxy.pid() };
    // First of all: what a proxy has once needed it keeps, and later connections would seem to cost nothing.
    say("memory of standing connections");
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
    echo.stop().map_err(system("a render node"))?;
    Ok(load)
}

fn start(daemon: &Daemon, folder: &Path, text: &str, sockets: u64) -> Result<Process, LoadError> {
    let path = folder.join("load.json");
    std::fs::write(&path, text).map_err(system("the proxy's configuration cannot be written"))?;
    let log = std::fs::File::create(folder.join("load.log")).map_err(system("no log for the proxy"))?;
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
            // While even the first was too much, the ceiling so far is 0.
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

    /// Resident memory and descriptors of the proxy for each connection that stands and is idle.
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
