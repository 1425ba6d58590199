//! Carries out one run: starts the emulators as threads and the proxies as processes, and has the judge assess the
//! observations afterwards.

use crate::addresses::{Addresses, NoPlace};
use crate::board::Board;
use crate::conductor::{self, ConductError, Conductor, ProxyUsage};
use crate::emulator::{clients, discovery, front, network, nodes, rude};
use crate::judge::{Judge, Verdict};
use crate::notes;
use crate::observation::{Observation, Seen};
use crate::plan::{NodeId, Plan};
use crate::processes::{Daemon, ProcessError, need_descriptors};
use crate::time::{MS, Micros, S};
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Time from the start of the processes to the beginning of the run. A proxy starts within about 20 ms, and the front
/// must have reached it by the beginning; the rest is a margin for a busy machine.
const LEAD: Micros = 1500 * MS;
/// Additional time for each pair of render node and proxy, since the emulated render node opens an address for each
/// proxy.
const LEAD_PER_PAIR: Micros = 3 * MS;
/// Maximum time that the run waits for the emulators to open their sockets.
const OPEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum numbers of render nodes and of sessions that one thread handles.
const NODES_PER_THREAD: usize = 128;
const SESSIONS_PER_THREAD: f64 = 6000.0;
/// Descriptors of the kit that are not connections of sessions: event polls, pipes, standard streams, watches.
const OWN_DESCRIPTORS: u64 = 256;

/// Parameters of a run in addition to its plan.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The program that runs as the proxy.
    pub daemon: Daemon,
    /// Folder in which configurations and logs are kept; `None` if they are deleted after the run.
    pub keep: Option<PathBuf>,
    /// The caller sets this flag to end the run early.
    pub interrupted: Arc<AtomicBool>,
}

/// Why a run could not be started or completed.
#[derive(Debug, thiserror::Error)]
pub enum CannotRun {
    /// A process could not be started or signalled, or a limit of the system is too low.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The conductor, which controls the proxies' processes, failed.
    #[error(transparent)]
    Conduct(#[from] ConductError),
    /// No part of the loopback network is free.
    #[error(transparent)]
    Place(#[from] NoPlace),
    /// The folder for the run's files could not be created.
    #[error("cannot create the folder for the run's files: {0}")]
    Folder(io::Error),
    /// An emulator failed with an I/O error.
    #[error("the emulator of {who} failed: {error}")]
    StandIn {
        /// The parties that the emulator emulates.
        who: &'static str,
        /// The system's error.
        error: io::Error,
    },
    /// A thread of the kit panicked, which is a bug of the kit.
    #[error("the thread for {0} panicked, which is a bug of the kit; see its message above")]
    Panicked(&'static str),
}

/// The result of a run.
#[derive(Debug)]
pub struct Run {
    /// The plan of the run.
    pub plan: Arc<Plan>,
    /// All observations in order of time.
    pub observations: Vec<Observation>,
    /// The judge's verdict on the run.
    pub verdict: Verdict,
    /// Resource usage of each proxy.
    pub usage: Vec<ProxyUsage>,
    /// Whether the run was ended early. If so, the figures cover only its first part.
    pub interrupted: bool,
    /// Time that the judge took.
    pub judged_in: Duration,
}

type EmulatorThread = (&'static str, JoinHandle<io::Result<Vec<Observation>>>);

/// Runs a plan. `watch` is called every few milliseconds with the shared state, for a progress line.
pub fn run(plan: Plan, setup: &Setup, mut watch: impl FnMut(&Plan, &Board)) -> Result<Run, CannotRun> {
    setup.daemon.check()?;
    need_descriptors(descriptors(&plan))?;
    let plan = Arc::new(plan);
    let addresses = Arc::new(Addresses::take(plan.seed as u8)?);
    let board = Arc::new(Board::new(&plan, lead(&plan)));
    let temporary = tempfile::tempdir().map_err(CannotRun::Folder)?;
    let folder = setup.keep.as_deref().unwrap_or(temporary.path());
    std::fs::create_dir_all(folder).map_err(CannotRun::Folder)?;

    let mut emulators =
        EmulatorThreads { board: Arc::clone(&board), threads: start_emulators(&plan, &addresses, &board) };
    emulators.await_ready()?;
    let mut conductor = Conductor::new(
        Arc::clone(&plan),
        Arc::clone(&addresses),
        Arc::clone(&board),
        setup.daemon.clone(),
        folder,
    );
    conductor.start()?;
    let mut started = false;
    let interrupted = loop {
        thread::sleep(Duration::from_micros(conductor::LOOK as u64));
        conductor.look()?;
        let now = board.clock.now();
        if now >= 0 && !std::mem::replace(&mut started, true) {
            conductor.check_started()?;
        }
        watch(&plan, &board);
        emulators.check()?;
        if now >= plan.ends {
            break false;
        }
        if setup.interrupted.load(Ordering::Acquire) {
            break true;
        }
    };
    let ended = board.clock.now();
    let mut all = emulators.finish()?;
    let (notes, usage) = conductor.finish();
    all.push(notes);
    let observations = notes::merge(all);
    let before = Instant::now();
    let verdict = judge(&plan, &observations, ended.min(plan.ends));
    let judged_in = before.elapsed();
    Ok(Run { plan, observations, verdict, usage, interrupted, judged_in })
}

/// Judges a run by the observations up to the time `ended`.
pub fn judge(plan: &Arc<Plan>, observations: &[Observation], ended: Micros) -> Verdict {
    let mut judge = Judge::new(Arc::clone(plan));
    for observation in observations.iter().take_while(|observation| observation.at <= ended) {
        judge.observe(observation);
    }
    judge.finish(ended)
}

/// Returns the number of descriptors that the kit needs for a plan: a client's and a render node's socket for each
/// session, a listener for each pair of render node and proxy, and a relay for each pair of proxies.
fn descriptors(plan: &Plan) -> u64 {
    let (nodes, proxies) = (plan.nodes.len() as u64, plan.proxies.len() as u64);
    let sessions = max_concurrent_sessions(plan) * 2.1;
    OWN_DESCRIPTORS + nodes * proxies + proxies * (proxies + 8) + sessions as u64 + 4 * plan.rude.len() as u64
}

/// Returns the maximum number of sessions that request a connection at the same time.
fn max_concurrent_sessions(plan: &Plan) -> f64 {
    let mut changes: Vec<(Micros, i64)> =
        plan.sessions.iter().flat_map(|s| [(s.arrives, 1), (s.arrives + s.life, -1)]).collect();
    changes.sort_unstable();
    let most = changes.iter().scan(0, |sum, (_, change)| {
        *sum += change;
        Some(*sum)
    });
    most.max().unwrap_or(0) as f64
}

fn start_emulators(plan: &Arc<Plan>, addresses: &Arc<Addresses>, board: &Arc<Board>) -> Vec<EmulatorThread> {
    let mut threads: Vec<EmulatorThread> = Vec::new();
    let shared = || (Arc::clone(plan), Arc::clone(addresses), Arc::clone(board));
    let node_threads = plan.nodes.len().div_ceil(NODES_PER_THREAD);
    for shard in 0..node_threads {
        let which = (shard..plan.nodes.len()).step_by(node_threads).map(|n| NodeId(n as u16)).collect();
        let (p, a, b) = shared();
        threads.push(("render nodes", thread::spawn(move || nodes::run(p, a, b, which))));
    }
    let client_threads = ((max_concurrent_sessions(plan) / SESSIONS_PER_THREAD).ceil() as usize).max(1);
    for shard in 0..client_threads {
        let (p, a, b) = shared();
        threads.push(("clients", thread::spawn(move || clients::run(p, a, b, shard, client_threads))));
    }
    let (p, a, b) = shared();
    threads.push(("discovery", thread::spawn(move || discovery::run(p, a, b))));
    let (p, a, b) = shared();
    threads.push(("the network", thread::spawn(move || network::run(p, a, b))));
    let (p, a, b) = shared();
    threads.push(("the front", thread::spawn(move || front::run(p, a, b))));
    if !plan.rude.is_empty() {
        let (p, a, b) = shared();
        threads.push(("rude clients", thread::spawn(move || rude::run(p, a, b))));
    }
    threads
}

/// The emulators' threads. Dropping the value ends them, so they also end if the run fails.
struct EmulatorThreads {
    board: Arc<Board>,
    threads: Vec<EmulatorThread>,
}

impl EmulatorThreads {
    fn await_ready(&mut self) -> Result<(), CannotRun> {
        let until = Instant::now() + OPEN_TIMEOUT;
        while self.board.are_ready() < self.threads.len() && Instant::now() < until {
            self.check()?;
            thread::sleep(Duration::from_millis(1));
        }
        Ok(())
    }

    /// Returns an error if a thread has failed while the run continues.
    fn check(&mut self) -> Result<(), CannotRun> {
        match self.threads.iter().position(|(_, thread)| thread.is_finished()) {
            Some(index) => join(self.threads.swap_remove(index)).map(drop),
            None => Ok(()),
        }
    }

    fn finish(mut self) -> Result<Vec<Vec<Observation>>, CannotRun> {
        self.board.stop();
        std::mem::take(&mut self.threads).into_iter().map(join).collect()
    }
}

impl Drop for EmulatorThreads {
    fn drop(&mut self) {
        self.board.stop();
        for (_, thread) in self.threads.drain(..) {
            // The run has failed, so the thread's observations are not needed.
            let _ = thread.join();
        }
    }
}

fn join((who, thread): EmulatorThread) -> Result<Vec<Observation>, CannotRun> {
    match thread.join() {
        Ok(Ok(notes)) => Ok(notes),
        Ok(Err(error)) => Err(CannotRun::StandIn { who, error }),
        Err(_) => Err(CannotRun::Panicked(who)),
    }
}

/// The report on a run for `--json`: the plan that was drawn and the results.
#[derive(Debug, serde::Serialize)]
pub struct Report<'a> {
    /// Name of the scenario.
    pub scenario: &'a str,
    /// Seed of the plan, as given on the command line.
    pub seed: u64,
    /// Digest of the plan; equal plans have equal digests.
    pub plan: String,
    /// The judge's verdict with its figures.
    pub verdict: &'a Verdict,
    /// Resource usage of each proxy.
    pub usage: &'a [ProxyUsage],
    /// Whether the run was ended early.
    pub interrupted: bool,
    /// Number of observations.
    pub observations: usize,
    /// Time that the judge took, in microseconds.
    pub judged_in_us: u64,
}

impl Run {
    /// Returns the report on this run.
    pub fn report(&self) -> Report<'_> {
        Report {
            scenario: &self.plan.name,
            seed: self.plan.seed,
            plan: format!("{:016x}", self.plan.digest()),
            verdict: &self.verdict,
            usage: &self.usage,
            interrupted: self.interrupted,
            observations: self.observations.len(),
            judged_in_us: self.judged_in.as_micros() as u64,
        }
    }

    /// Returns the marks of the timeline with their times, for display.
    pub fn marks(&self) -> impl Iterator<Item = (Micros, &str)> {
        self.observations.iter().filter_map(|observation| match &observation.seen {
            Seen::Mark { text } => Some((observation.at, text.as_str())),
            _ => None,
        })
    }
}

/// Returns the duration of a run of this plan in seconds, including the time before its beginning.
pub fn lasts(plan: &Plan) -> f64 {
    (lead(plan) + plan.ends) as f64 / S as f64
}

/// Returns the time from the start of the processes to the beginning of the run.
fn lead(plan: &Plan) -> Micros {
    let pairs = (plan.nodes.len() * plan.proxies.len()) as Micros;
    LEAD + pairs * LEAD_PER_PAIR
}
