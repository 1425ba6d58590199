//! One proxy under a constant load: lines at a fixed rate over established connections, while the endpoint list
//! changes and other clients connect and disconnect. Latency counts from the time at which a line was due. Every due
//! line is counted, whether it was done or not.

use super::generator::{self, Step, Work};
use super::{LoadError, LoadSetup, RESERVED_DESCRIPTORS, await_proxy, echo, start_proxy, system_error};
use crate::addresses::Addresses;
use crate::plan::{NodeId, ProxyId};
use crate::processes::{need_descriptors, usage};
use serde::Serialize;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Parameters of the constant load, in addition to those of [`LoadSetup`].
#[derive(Clone, Copy, Debug)]
pub struct SteadyLoad {
    /// Line round trips per second.
    pub lines_per_s: f64,
    /// Connections that are set up and closed per second at the same time.
    pub setups_per_s: f64,
    /// Number of render nodes in the endpoint list. They share the few addresses at which an echo render node
    /// listens.
    pub listed: usize,
    /// Interval between two changes of the endpoint list; zero means that the list never changes.
    pub list_every: Duration,
}

/// Results under the constant load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SteadyResult {
    /// Number of established connections.
    pub connections: usize,
    /// Number of render nodes in the endpoint list.
    pub listed: usize,
    /// Duration of the load in seconds.
    pub seconds: f64,
    /// Number of lines that were due, and that were done by a third of a second after the end.
    pub lines: [u64; 2],
    /// Latency of a line from its due time to its return, in microseconds: median, 99th percentile, 99.9th percentile
    /// and maximum.
    pub line_us: [u64; 4],
    /// Number of set-ups that were due, and that were done.
    pub setups: [u64; 2],
    /// Latency of a set-up from its due time until the connection was up, in the same form as for lines.
    pub setup_us: [u64; 4],
    /// Number of changes of the endpoint list that were sent to the proxy.
    pub lists: u64,
    /// CPU use of the proxy, as a share of one core.
    pub cpu: f64,
    /// Resident memory of the proxy in KiB: before the connections, with all connections established, and at the end.
    pub resident_kib: [u64; 3],
    /// Descriptors of the proxy with all connections established.
    pub descriptors: u64,
}

/// Runs the constant load. `progress` receives progress messages for the user.
pub fn run(
    setup: &LoadSetup,
    steady: &SteadyLoad,
    mut progress: impl FnMut(&str),
) -> Result<SteadyResult, LoadError> {
    setup.daemon.check()?;
    let setups_in_progress = if steady.setups_per_s > 0.0 { generator::MAX_SETUPS_IN_PROGRESS } else { 0 };
    let sockets = 2 * (setup.connections + setups_in_progress) as u64 + RESERVED_DESCRIPTORS;
    need_descriptors(sockets)?;
    let addresses = Addresses::take(std::process::id() as u8)?;
    let nodes: Vec<SocketAddr> =
        (0..setup.threads.max(1)).map(|n| addresses.node(NodeId(n as u16), ProxyId(0))).collect();
    let echo_nodes = echo::EchoNodes::start(&nodes).map_err(system_error("a render node cannot listen"))?;
    let discovery =
        DiscoveryServer::start(nodes.clone(), steady).map_err(system_error("discovery cannot listen"))?;
    let folder = tempfile::tempdir().map_err(system_error("cannot create a folder for the run's files"))?;
    let listen = addresses.proxy(ProxyId(0));
    let text = configuration(listen, discovery.at, &endpoint_list(&nodes, steady.listed, 1), sockets);
    let proxy = start_proxy(&setup.daemon, folder.path(), &text, sockets)?;
    await_proxy(listen)?;
    let pid = proxy.pid();
    let proxy_usage = || usage(pid).unwrap_or_default();
    let mut result =
        SteadyResult { connections: setup.connections, listed: steady.listed, ..SteadyResult::default() };
    result.resident_kib[0] = proxy_usage().resident_kib;

    progress("opening connections");
    let threads = setup.threads.max(1);
    let lines = Work::Lines { connections: setup.connections, in_flight: setup.in_flight };
    let length = setup.step;
    let step = |work, rate, shards| Step { work, rate, length, shards };
    // All connections are established before the first line is due, so that both kinds of work begin together.
    let gate = generator::Gate::new(threads);
    let (thread_gate, addresses) = (Arc::clone(&gate), vec![listen]);
    let lines_step = step(lines, steady.lines_per_s.max(1.0), threads);
    let lines_thread =
        thread::spawn(move || generator::run_step_at_gate(&lines_step, &addresses, &thread_gate));
    if !gate.wait_for_threads(Duration::from_secs(120)) {
        return Err(LoadError::ProxyNotReady(listen));
    }
    let before = proxy_usage();
    (result.resident_kib[1], result.descriptors) = (before.resident_kib, before.descriptors);
    progress(&format!(
        "{} connections established; {:.0} lines a second",
        setup.connections, steady.lines_per_s
    ));
    discovery.change.store(true, Ordering::Release);
    gate.open();
    let start = Instant::now();
    let setups = if steady.setups_per_s > 0.0 {
        Some(generator::run_step(&step(Work::Setups, steady.setups_per_s, 1), &[listen])?)
    } else {
        None
    };
    let lines = lines_thread.join().map_err(|_| LoadError::Panicked)??;
    let after = proxy_usage();
    result.seconds = start.elapsed().as_secs_f64();
    result.cpu = after.cpu_us.saturating_sub(before.cpu_us) as f64 / 1e6 / result.seconds;
    result.resident_kib[2] = after.resident_kib;
    result.lists = discovery.written.load(Ordering::Relaxed);
    let quantiles = |step: &generator::StepResult| {
        let at = |q| step.latency.value_at_quantile(q);
        [at(0.5), at(0.99), at(0.999), step.latency.max()]
    };
    (result.lines, result.line_us) = ([lines.due, lines.done], quantiles(&lines));
    if let Some(setups) = setups {
        (result.setups, result.setup_us) = ([setups.due, setups.done], quantiles(&setups));
    }
    discovery.stop();
    echo_nodes.stop().map_err(system_error("an echo render node failed"))?;
    Ok(result)
}

/// The endpoint list: all render nodes are up and share the few addresses, and their cells change with the revision.
fn endpoint_list(nodes: &[SocketAddr], listed: usize, revision: u64) -> String {
    let member = |number: usize| {
        let at = nodes[number % nodes.len()];
        let cell = number as u64 / 8 + revision % 2;
        format!(
            r#"{{"id":"render-{number}","host_port":"{at}","locality":"a","cell":{cell},"phase":"up","size":1.0,"up_since_ms":0}}"#
        )
    };
    let all: Vec<String> = (0..listed.max(nodes.len())).map(member).collect();
    format!(r#"{{"revision":{revision},"complete":true,"members":[{}]}}"#, all.join(","))
}

fn configuration(listen: SocketAddr, discovery: SocketAddr, known: &str, sockets: u64) -> String {
    format!(
        r#"{{"name":"load","listen":"{listen}","discovery":"{discovery}","seed":"1","limits":{{"sockets":{sockets},"memory_mb":2048}},
        "known":{known},
        "settings":{{"balancers":1,"ordinal":0,"zones":["a"],"zone":"a","registryMode":"on_request",
        "policyLimits":{{"mostTries":3,"connectTimeout":2000000,"retryAfter":true,"maxRetryAfter":1000000}},
        "requestClasses":[{{"name":"load","effect":"safe","target":5000000,"deadline":10000000,"gain":1.0}}]}}}}"#
    )
}

/// A discovery server for one watch at a time. A watch gets the complete list at once, the complete next list after
/// each interval, and a heartbeat every 2 s.
struct DiscoveryServer {
    at: SocketAddr,
    stop: Arc<AtomicBool>,
    change: Arc<AtomicBool>,
    written: Arc<AtomicU64>,
    thread: JoinHandle<()>,
}

const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl DiscoveryServer {
    fn start(nodes: Vec<SocketAddr>, steady: &SteadyLoad) -> io::Result<DiscoveryServer> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let (at, steady) = (listener.local_addr()?, *steady);
        let (stop, change) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let written = Arc::new(AtomicU64::new(0));
        let shared = (Arc::clone(&stop), Arc::clone(&change), Arc::clone(&written));
        let thread = thread::spawn(move || {
            let (stop, change, written) = shared;
            let mut revision = 1;
            while !stop.load(Ordering::Acquire) {
                match listener.accept() {
                    // The proxy opens a new watch if this one breaks.
                    Ok((mut watch, _)) => {
                        let mut serve = |watch: &mut TcpStream| -> io::Result<()> {
                            watch.set_nonblocking(false)?;
                            begin_response(watch)?;
                            write_chunk(watch, &endpoint_list(&nodes, steady.listed, revision))?;
                            let (mut last_change, mut last_heartbeat) = (Instant::now(), Instant::now());
                            while !stop.load(Ordering::Acquire) {
                                thread::sleep(STOP_CHECK_INTERVAL);
                                let changes = change.load(Ordering::Acquire) && !steady.list_every.is_zero();
                                if changes && last_change.elapsed() >= steady.list_every {
                                    (last_change, revision) = (Instant::now(), revision + 1);
                                    write_chunk(watch, &endpoint_list(&nodes, steady.listed, revision))?;
                                    written.fetch_add(1, Ordering::Relaxed);
                                } else if last_heartbeat.elapsed() >= Duration::from_secs(2) {
                                    last_heartbeat = Instant::now();
                                    write_chunk(watch, "\n")?;
                                }
                            }
                            Ok(())
                        };
                        let _ = serve(&mut watch);
                    }
                    Err(_) => thread::sleep(STOP_CHECK_INTERVAL),
                }
            }
        });
        Ok(DiscoveryServer { at, stop, change, written, thread })
    }

    fn stop(self) {
        self.stop.store(true, Ordering::Release);
        // A panic of the thread is ignored, since the thread has ended either way.
        let _ = self.thread.join();
    }
}

fn begin_response(watch: &mut TcpStream) -> io::Result<()> {
    let mut lines = BufReader::new(watch.try_clone()?).lines();
    while lines.next().transpose()?.is_some_and(|line| !line.is_empty()) {}
    watch
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
}

fn write_chunk(watch: &mut TcpStream, text: &str) -> io::Result<()> {
    watch.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}
