//! Executes soak runs seed by seed, and prints which of them broke a rule.

use clap::Parser;
use cottonnotch_soak::generator::{Size, generate};
use cottonnotch_soak::runner::{Programs, SoakResult, run_soak};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Plays dozens of daemons under overlapping faults, and judges each run. Exit code 0: every run passed; 1: one did not, or was void.
#[derive(Debug, Parser)]
#[command(name = "cottonnotch-soak", version)]
struct CommandLine {
    /// The first seed; the same seed gives the same faults and arrivals.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, from the first one on.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Six to eight daemons and fourteen seconds a run, in place of dozens.
    #[arg(long)]
    short: bool,
    /// The daemon; otherwise the one beside this program.
    #[arg(long, value_name = "PATH")]
    daemon: Option<PathBuf>,
    /// The operator's file for it.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Configurations, logs and the drawn scenario of each run are kept here.
    #[arg(long, value_name = "DIR")]
    logs: PathBuf,
}

fn main() -> ExitCode {
    match CommandLine::parse().run() {
        Ok(0) => ExitCode::SUCCESS,
        Ok(failed) => {
            println!("{failed} runs did not pass");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

impl CommandLine {
    /// Executes all runs; the number of those that did not pass.
    fn run(self) -> Result<u64, Box<dyn std::error::Error>> {
        let own = std::env::current_exe()?;
        let beside = |name: &str| own.with_file_name(name);
        let programs = Programs {
            daemon: self.daemon.clone().unwrap_or_else(|| beside("cottonnotch")),
            shims: beside("libcottonnotch_shims.so"),
            operator: self.operator.clone(),
        };
        let size = if self.short { Size::SHORT } else { Size::FULL };
        let mut failed = 0;
        for seed in self.seed..self.seed + self.seeds {
            let folder = self.logs.join(format!("seed-{seed}"));
            std::fs::create_dir_all(&folder)?;
            let generated = generate(seed, size)?;
            std::fs::write(folder.join("scenario.toml"), &generated.scenario)?;
            println!("seed {seed}: {}", describe_faults(&generated.scenario));
            generated.shim_schedule.changes().iter().filter(|change| change.at > 0).for_each(|change| {
                println!("  {:>7.3} s {:?} = {}", change.at as f64 / 1e6, change.setting, change.value);
            });
            let result = run_soak(generated, &programs, &folder)?;
            failed += u64::from(!result.passed());
            print_result(seed, &result, &folder);
        }
        Ok(failed)
    }
}

/// The faults of a scenario in one line.
fn describe_faults(scenario: &str) -> String {
    let wanted = |line: &&str| ["count", "at_s", "kind", "change"].iter().any(|key| line.starts_with(key));
    scenario.lines().filter(wanted).collect::<Vec<_>>().join(", ")
}

fn print_result(seed: u64, result: &SoakResult, folder: &Path) {
    let status = if result.passed() { "passed" } else { "NOT PASSED" };
    let injected: Vec<String> = (result.injected.iter())
        .filter(|(_, count)| *count > 0)
        .map(|(setting, count)| format!("{setting:?} {count}"))
        .collect();
    println!("seed {seed}: {status}; calls changed: {}", injected.join(", "));
    if !result.passed() {
        println!("{}", result.verdict);
        result.findings.iter().for_each(|line| println!("  {line}"));
        println!("  logs in {}", folder.display());
    }
}
