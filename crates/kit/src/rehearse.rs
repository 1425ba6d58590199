//! One run from beginning to end: stand-ins on their threads, proxies as processes, and the judge afterwards.

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

/// From the start of the processes to the run's first moment: a proxy is up within some 20 ms, and the front asks
/// it by then; the rest is for a machine that is busy.
const LEAD: Micros = 1500 * MS;
/// And this much for each pair of render node and proxy: the stand-in for the one opens an address for the other.
const LEAD_OF_A_PAIR: Micros = 3 * MS;
/// The stand-ins must have opened their sockets by then.
const OPEN_WITHIN: Duration = Duration::from_secs(10);
/// Render nodes, and sessions, that one thread bears.
const NODES_A_THREAD: usize = 128;
const SESSIONS_A_THREAD: f64 = 6000.0;
/// Descriptors of the kit that are no connection: polls, pipes, standard streams, watches.
const OWN_DESCRIPTORS: u64 = 256;

/// What a run needs beside its plan.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The program that is put in as the proxy.
    pub daemon: Daemon,
    /// Configurations and logs are kept here; otherwise they go with the run.
    pub keep: Option<PathBuf>,
    /// Set from outside to end the run early.
    pub interrupted: Arc<AtomicBool>,
}

/// Why there was no run, or no whole one.
#[derive(Debug, thiserror::Error)]
pub enum CannotRun {
    /// A process or the system's limits.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The proxies' processes.
    #[error(transparent)]
    Conduct(#[from] ConductError),
    /// No part of the loopback network is free.
    #[error(transparent)]
    Place(#[from] NoPlace),
    /// A folder for the run's files.
    #[error("no folder for the run's files: {0}")]
    Folder(io::Error),
    /// A stand-in.
    #[error("the stand-in for {who} cannot go on: {error}")]
    StandIn {
        /// Whose.
        who: &'static str,
        /// The system's reason.
        error: io::Error,
    },
    /// A stand-in has panicked: a fault of the kit's.
    #[error("the stand-in for {0} has failed, which is a fault of the kit's: its message stands above")]
    Panicked(&'static str),
}

/// A run that was played.
#[derive(Debug)]
pub struct Run {
    /// What was played.
    pub plan: Arc<Plan>,
    /// What was seen, in order.
    pub observations: Vec<Observation>,
    /// What the judge says of it.
    pub verdict: Verdict,
    /// What each proxy used.
    pub usage: Vec<ProxyUsage>,
    /// It was ended early: the figures are of its first part.
    pub interrupted: bool,
    /// How long the judge took.
    pub judged_in: Duration,
}

type Stand = (&'static str, JoinHandle<io::Result<Vec<Observation>>>);

/// Plays a plan. `watch` is called every few milliseconds with the board, for a progress line.
pub fn run(plan: Plan, setup: &Setup, mut watch: impl FnMut(&Plan, &Board)) -> Result<Run, CannotRun> {
    setup.daemon.check()?;
    need_descriptors(descriptors(&plan))?;
    let plan = Arc::new(plan);
    let addresses = Arc::new(Addresses::take(plan.seed as u8)?);
    let board = Arc::new(Board::new(&plan, lead(&plan)));
    let temporary = tempfile::tempdir().map_err(CannotRun::Folder)?;
    let folder = setup.keep.as_deref().unwrap_or(temporary.path());
    std::fs::create_dir_all(folder).map_err(CannotRun::Folder)?;

    let mut stands =
        Stands { board: Arc::clone(&board), threads: start_stand_ins(&plan, &addresses, &board) };
    stands.await_ready()?;
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
        stands.check()?;
        if now >= plan.ends {
            break false;
        }
        if setup.interrupted.load(Ordering::Acquire) {
            break true;
        }
    };
    let ended = board.clock.now();
    let mut all = stands.finish()?;
    let (notes, usage) = conductor.finish();
    all.push(notes);
    let observations = notes::merge(all);
    let before = Instant::now();
    let verdict = judge(&plan, &observations, ended.min(plan.ends));
    let judged_in = before.elapsed();
    Ok(Run { plan, observations, verdict, usage, interrupted, judged_in })
}

/// Judges a run by what was seen up to its end.
pub fn judge(plan: &Arc<Plan>, observations: &[Observation], ended: Micros) -> Verdict {
    let mut judge = Judge::new(Arc::clone(plan));
    for observation in observations.iter().take_while(|observation| observation.at <= ended) {
        judge.observe(observation);
    }
    judge.finish(ended)
}

/// Descriptors that the kit needs for a plan: a client's and a render node's end for each session, listeners for each
/// pair of render node and proxy, relays for each pair of proxies.
fn descriptors(plan: &Plan) -> u64 {
    let (nodes, proxies) = (plan.nodes.len() as u64, plan.proxies.len() as u64);
    let sessions = standing(plan) * 2.1;
    OWN_DESCRIPTORS + nodes * proxies + proxies * (proxies + 8) + sessions as u64 + 4 * plan.rude.len() as u64
}

/// The most sessions that want a connection at one time.
fn standing(plan: &Plan) -> f64 {
    let mut changes: Vec<(Micros, i64)> =
        plan.sessions.iter().flat_map(|s| [(s.arrives, 1), (s.arrives + s.life, -1)]).collect();
    changes.sort_unstable();
    let most = changes.iter().scan(0, |sum, (_, change)| {
        *sum += change;
        Some(*sum)
    });
    most.max().unwrap_or(0) as f64
}

fn start_stand_ins(plan: &Arc<Plan>, addresses: &Arc<Addresses>, board: &Arc<Board>) -> Vec<Stand> {
    let mut threads: Vec<Stand> = Vec::new();
    let shared = || (Arc::clone(plan), Arc::clone(addresses), Arc::clone(board));
    let node_threads = plan.nodes.len().div_ceil(NODES_A_THREAD);
    for shard in 0..node_threads {
        let which = (shard..plan.nodes.len()).step_by(node_threads).map(|n| NodeId(n as u16)).collect();
        let (p, a, b) = shared();
        threads.push(("render nodes", thread::spawn(move || nodes::run(p, a, b, which))));
    }
    let client_threads = ((standing(plan) / SESSIONS_A_THREAD).ceil() as usize).max(1);
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

/// The stand-ins' threads. They are ended when this is dropped, however the run ends.
struct Stands {
    board: Arc<Board>,
    threads: Vec<Stand>,
}

impl Stands {
    fn await_ready(&mut self) -> Result<(), CannotRun> {
        let until = Instant::now() + OPEN_WITHIN;
        while self.board.are_ready() < self.threads.len() && Instant::now() < until {
            self.check()?;
            thread::sleep(Duration::from_millis(1));
        }
        Ok(())
    }

    /// Fails if one has ended though the run goes on.
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

impl Drop for Stands {
    fn drop(&mut self) {
        self.board.stop();
        for (_, thread) in self.threads.drain(..) {
            // Its notes are of no use any more.
            let _ = thread.join();
        }
    }
}

fn join((who, thread): Stand) -> Result<Vec<Observation>, CannotRun> {
    match thread.join() {
        Ok(Ok(notes)) => Ok(notes),
        Ok(Err(error)) => Err(CannotRun::StandIn { who, error }),
        Err(_) => Err(CannotRun::Panicked(who)),
    }
}

/// The text of a run's course for `--json`: what was drawn and what came of it.
#[derive(Debug, serde::Serialize)]
pub struct Report<'a> {
    /// The scenario.
    pub scenario: &'a str,
    /// The seed, as it is given on the command line.
    pub seed: u64,
    /// Digest of the plan: equal for equal plans.
    pub plan: String,
    /// The verdict with its figures.
    pub verdict: &'a Verdict,
    /// What each proxy used.
    pub usage: &'a [ProxyUsage],
    /// It was ended early.
    pub interrupted: bool,
    /// Things seen.
    pub observations: usize,
    /// Microseconds that the judge took.
    pub judged_in_us: u64,
}

impl Run {
    /// The report of this run.
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

    /// Marks of the timeline, for a person.
    pub fn marks(&self) -> impl Iterator<Item = (Micros, &str)> {
        self.observations.iter().filter_map(|observation| match &observation.seen {
            Seen::Mark { text } => Some((observation.at, text.as_str())),
            _ => None,
        })
    }
}

/// How long a run of this plan takes, in seconds of real time.
pub fn lasts(plan: &Plan) -> f64 {
    (lead(plan) + plan.ends) as f64 / S as f64
}

/// From the start of the processes to the first moment of this run.
fn lead(plan: &Plan) -> Micros {
    let pairs = (plan.nodes.len() * plan.proxies.len()) as Micros;
    LEAD + pairs * LEAD_OF_A_PAIR
}
