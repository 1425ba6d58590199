//! The command `rehearse`: runs scenarios, judges each run, and reports failures in the output and the exit code.

use super::{DaemonArgs, Outcome, interrupt, progress, progress_over, write_json};
use clap::Args;
use cottonnotch_kit::board::Board;
use cottonnotch_kit::plan::Plan;
use cottonnotch_kit::rehearse::{self, Report, Run, Setup};
use cottonnotch_kit::scenario::Scenario;
use cottonnotch_kit::time::S;
use std::collections::VecDeque;
use std::io::IsTerminal;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of repetitions of a void run. A run is void if the machine was too busy.
const MAX_RERUNS: u32 = 1;

/// Runs scenarios and judges each run.
#[derive(Debug, Args)]
pub struct Rehearse {
    /// Scenario files, or folders that contain them.
    #[arg(required = true, value_name = "FILE|DIR")]
    scenarios: Vec<PathBuf>,
    /// The first seed; the same scenario and seed give the same faults and arrivals.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds, beginning with the first.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Number of runs of each plan. Differences between these runs come from the machine, not from the plan.
    #[arg(long, default_value_t = 1)]
    repeat: u64,
    /// Number of concurrent runs. Each needs about two cores; a run is void if the machine was too busy for it.
    #[arg(long, default_value_t = 1)]
    jobs: usize,
    /// File to which the reports are written as JSON.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Folder in which configurations and logs of the proxies are kept.
    #[arg(long, value_name = "DIR")]
    logs: Option<PathBuf>,
    #[command(flatten)]
    daemon: DaemonArgs,
}

/// Reads scenario files, and all scenario files of folders in the order of their names.
pub fn scenarios(paths: &[PathBuf]) -> Result<Vec<Scenario>, String> {
    let mut files = Vec::new();
    for path in paths {
        if path.is_dir() {
            let entries = std::fs::read_dir(path).map_err(|error| format!("{}: {error}", path.display()))?;
            let mut inside: Vec<PathBuf> = entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
            inside.retain(|path| path.extension().is_some_and(|extension| extension == "toml"));
            inside.sort();
            if inside.is_empty() {
                return Err(format!("{}: no scenario (*.toml) in this folder", path.display()));
            }
            files.extend(inside);
        } else {
            files.push(path.clone());
        }
    }
    files.iter().map(|path| Scenario::load(path).map_err(|error| error.to_string())).collect()
}

/// The result of one run.
struct RunResult {
    lines: String,
    report: Option<simd_json::OwnedValue>,
    outcome: Outcome,
    service: f64,
}

impl Rehearse {
    /// Runs all plans and prints each result and a summary.
    pub fn run(self) -> Result<Outcome, String> {
        let daemon = self.daemon.daemon()?;
        let scenarios = scenarios(&self.scenarios)?;
        let interrupted = interrupt()?;
        let mut queue: VecDeque<(Plan, PathBuf)> = VecDeque::new();
        for scenario in &scenarios {
            for seed in self.seed..self.seed + self.seeds {
                for repeat in 0..self.repeat.max(1) {
                    let name = format!("{}-{seed}-{repeat}", scenario.body.name);
                    queue.push_back((scenario.draw(seed), name.into()));
                }
            }
        }
        let total = queue.len();
        let seconds: f64 = queue.iter().map(|(plan, _)| rehearse::lasts(plan)).sum();
        eprintln!("{total} runs, {:.0} s in all", seconds / self.jobs.max(1) as f64);
        let (queue, played) = (Mutex::new(queue), Mutex::new(Vec::new()));
        let failure = Mutex::new(None);
        thread::scope(|scope| {
            for _ in 0..self.jobs.max(1) {
                scope.spawn(|| {
                    while !interrupted.load(Ordering::Acquire) {
                        let next = queue.lock().unwrap_or_else(PoisonError::into_inner).pop_front();
                        let Some((plan, name)) = next else { break };
                        let setup = Setup {
                            daemon: daemon.clone(),
                            keep: self.logs.as_ref().map(|folder| folder.join(&name)),
                            interrupted: interrupted.clone(),
                        };
                        match play(plan, &setup, self.jobs == 1) {
                            Ok(one) => {
                                progress_over();
                                print!("{}", one.lines);
                                played.lock().unwrap_or_else(PoisonError::into_inner).push(one);
                            }
                            Err(error) => {
                                *failure.lock().unwrap_or_else(PoisonError::into_inner) = Some(error);
                                queue.lock().unwrap_or_else(PoisonError::into_inner).clear();
                                break;
                            }
                        }
                    }
                });
            }
        });
        if let Some(failure) = failure.into_inner().unwrap_or_else(PoisonError::into_inner) {
            return Err(failure);
        }
        let mut played = played.into_inner().unwrap_or_else(PoisonError::into_inner);
        if let Some(path) = &self.json {
            let reports: Vec<_> = played.iter_mut().filter_map(|one| one.report.take()).collect();
            write_json(path, &reports)?;
        }
        Ok(summary(&played, total))
    }
}

fn summary(played: &[RunResult], total: usize) -> Outcome {
    let count = |matches: fn(&Outcome) -> bool| played.iter().filter(|one| matches(&one.outcome)).count();
    let (well, broken) = (count(|e| matches!(e, Outcome::Success)), count(|e| matches!(e, Outcome::Failure)));
    let (void, cut) = (count(|e| matches!(e, Outcome::Void)), count(|e| matches!(e, Outcome::Interrupted)));
    if total > 1 {
        let services: Vec<f64> = played.iter().map(|one| one.service).collect();
        let (mean, spread) = cottonnotch_kit::compare::mean_and_spread(&services);
        println!(
            "{well} of {total} runs passed, {broken} failed, {void} void, {} ended early; service {mean:.3} (standard deviation {spread:.3})",
            cut + total - played.len()
        );
    }
    if cut > 0 || played.len() < total {
        Outcome::Interrupted
    } else if broken > 0 {
        Outcome::Failure
    } else if void > 0 {
        Outcome::Void
    } else {
        Outcome::Success
    }
}

fn play(plan: Plan, setup: &Setup, watch: bool) -> Result<RunResult, String> {
    let mut tries = 0;
    loop {
        let watch = watch && std::io::stderr().is_terminal();
        let mut line = Progress::default();
        let run = rehearse::run(plan.clone(), setup, |plan, board| {
            if watch {
                line.show(plan, board);
            }
        });
        let run = run.map_err(|error| error.to_string())?;
        tries += 1;
        if run.verdict.is_void() && tries <= MAX_RERUNS && !run.interrupted {
            continue;
        }
        return Ok(conclude(&run));
    }
}

fn conclude(run: &Run) -> RunResult {
    let report: Report = run.report();
    let outcome = if run.interrupted {
        Outcome::Interrupted
    } else if run.verdict.is_void() {
        Outcome::Void
    } else if run.verdict.passed() {
        Outcome::Success
    } else {
        Outcome::Failure
    };
    let mut lines = format!("{} seed {} (plan {})", report.scenario, report.seed, report.plan);
    if run.interrupted {
        lines += ", ended early: figures of its first part";
    }
    lines += "\n";
    lines += &run.verdict.to_string();
    for used in &run.usage {
        lines += &format!(
            "  {}: {:.2} s of CPU, {:.1} MiB at most, {} descriptors at most, {} {}\n",
            used.name,
            used.cpu_us as f64 / 1e6,
            used.peak_kib as f64 / 1024.0,
            used.descriptors,
            used.lives,
            if used.lives == 1 { "life" } else { "lives" },
        );
    }
    let value = simd_json::serde::to_owned_value(&report).ok();
    RunResult { lines, report: value, outcome, service: run.verdict.service() }
}

/// The progress line of a run, which is updated in place.
pub struct Progress {
    shown: Instant,
    before: [u64; 2],
    ratio: Option<f64>,
}

impl Default for Progress {
    fn default() -> Self {
        Progress { shown: Instant::now(), before: [0; 2], ratio: None }
    }
}

impl Progress {
    /// Updates the line on the terminal, at most once a second.
    pub fn show(&mut self, plan: &Plan, board: &Board) {
        if self.shown.elapsed() < Duration::from_secs(1) {
            return;
        }
        self.shown = Instant::now();
        progress(&self.line(plan, board));
    }

    /// Returns the text of the line. The service ratio covers the time since the previous call.
    pub fn line(&mut self, plan: &Plan, board: &Board) -> String {
        let live = &board.live;
        let get = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
        let now = [get(&live.wanted), get(&live.well)];
        if now[0] > self.before[0] {
            self.ratio = Some((now[1] - self.before[1]) as f64 / (now[0] - self.before[0]) as f64);
        }
        self.before = now;
        let seconds = board.clock.now().max(0) as f64 / S as f64;
        let ratio = self.ratio.map_or("  - ".to_owned(), |ratio| format!("{ratio:.2}"));
        format!(
            "{seconds:>5.1} of {:.0} s  service {ratio}  standing {:>5}  asked {:>6}  up {:>6}  busy {:>5}  failed {:>4}  moved {:>5}",
            plan.ends as f64 / S as f64,
            live.standing.load(Ordering::Relaxed),
            get(&live.asked),
            get(&live.up),
            get(&live.busy),
            get(&live.failed),
            get(&live.moved),
        )
    }
}
