//! The command `load`: measures the capacity of one proxy.

use super::{DaemonArgs, Outcome, interrupt, write_json};
use clap::Args;
use cottonnotch_kit::load::steady::{self, SteadyLoad};
use cottonnotch_kit::load::{self, LoadError, LoadSetup, PathComparison, versus};
use std::path::PathBuf;
use std::time::Duration;

/// Measures the capacity of one proxy, and of a direct connection to a render node in the same run. The load is open
/// loop: operations are due at fixed times, and latency is measured from the due time.
#[derive(Debug, Args)]
pub struct Load {
    /// Number of established connections.
    #[arg(long, default_value_t = 1000)]
    connections: usize,
    /// Maximum number of lines in flight on each connection.
    #[arg(long, default_value_t = 1)]
    in_flight: usize,
    /// Duration of each step in seconds.
    #[arg(long, default_value_t = 2.0)]
    step_s: f64,
    /// Number of threads that generate the load; the same number of threads answers it.
    #[arg(long, default_value_t = 3)]
    threads: usize,
    /// Instead of searching for the capacity, sends this many lines a second for one step of --step-s, over connections
    /// that are all established before the step; prints latency, CPU and memory.
    #[arg(long, value_name = "RATE", conflicts_with = "versus")]
    lines_per_s: Option<f64>,
    /// With --lines-per-s: number of further clients a second that connect and leave during the step.
    #[arg(long, value_name = "RATE", default_value_t = 0.0, requires = "lines_per_s")]
    setups_per_s: f64,
    /// With --lines-per-s: number of render nodes in the endpoint list; they share the --threads addresses that answer.
    #[arg(long, default_value_t = 0, requires = "lines_per_s")]
    listed: usize,
    /// With --lines-per-s: milliseconds between two complete endpoint lists; with 0 the list does not change.
    #[arg(long, value_name = "MS", default_value_t = 0, requires = "lines_per_s")]
    list_every_ms: u64,
    /// Measures a second proxy alternately with the first, under the same overload, and prints the ratio. The value is
    /// a program; to pass arguments, quote them together with the program.
    #[arg(long, value_name = "PROXY")]
    versus: Option<String>,
    /// With --versus: number of rounds of each proxy.
    #[arg(long, default_value_t = 8)]
    rounds: usize,
    /// File to which the results are written as JSON.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Prints no progress during the measurement.
    #[arg(long)]
    quiet: bool,
    #[command(flatten)]
    daemon: DaemonArgs,
}

impl Load {
    /// Runs the measurement and prints the results.
    pub fn run(self) -> Result<Outcome, String> {
        let step =
            Duration::try_from_secs_f64(self.step_s).map_err(|_| "--step-s is not a valid duration")?;
        let setup = LoadSetup {
            daemon: self.daemon.daemon()?,
            step,
            connections: self.connections.max(1),
            in_flight: self.in_flight.max(1),
            threads: self.threads.max(1),
            interrupted: interrupt()?,
        };
        let say = |line: &str| {
            if !self.quiet {
                eprintln!("{line}");
            }
        };
        if let Some(lines_per_s) = self.lines_per_s {
            let list_every = Duration::from_millis(self.list_every_ms);
            let (setups_per_s, listed) = (self.setups_per_s, self.listed);
            let seen =
                match steady::run(&setup, &SteadyLoad { lines_per_s, setups_per_s, listed, list_every }, say)
                {
                    Err(LoadError::Interrupted) => return Ok(Outcome::Interrupted),
                    result => result.map_err(|error| error.to_string())?,
                };
            print_steady(&seen);
            return match &self.json {
                Some(path) => write_json(path, &seen).map(|()| Outcome::Success),
                None => Ok(Outcome::Success),
            };
        }
        if let Some(other) = &self.versus {
            let other = super::compare::arm(other)?.daemon;
            let versus = match versus::measure(&setup, &other, self.rounds.max(1), say) {
                Err(LoadError::Interrupted) => return Ok(Outcome::Interrupted),
                result => result.map_err(|error| error.to_string())?,
            };
            for (name, ratio) in [("set-ups", &versus.setups), ("line round trips", &versus.lines)] {
                println!(
                    "{name}: the second proxy reaches {:.3} times the rate of the first (95% interval {:.3} to {:.3}, {} rounds); CPU each {:.1} and {:.1} us",
                    ratio.ratio,
                    ratio.interval.0,
                    ratio.interval.1,
                    ratio.rounds.len(),
                    ratio.cpu_us[0],
                    ratio.cpu_us[1]
                );
            }
            return match &self.json {
                Some(path) => write_json(path, &versus).map(|()| Outcome::Success),
                None => Ok(Outcome::Success),
            };
        }
        let load = match load::measure(&setup, say) {
            Err(LoadError::Interrupted) => return Ok(Outcome::Interrupted),
            other => other.map_err(|error| error.to_string())?,
        };
        print_both("set-ups", &load.setups);
        print_both("line round trips", &load.lines);
        println!(
            "each of {} standing connections: {:.0} bytes of memory, {:.2} descriptors",
            load.connections, load.memory_each, load.descriptors_each
        );
        if let Some(path) = &self.json {
            write_json(path, &load)?;
        }
        Ok(Outcome::Success)
    }
}

fn print_steady(seen: &steady::SteadyResult) {
    let [before, standing, after] = seen.resident_kib;
    println!(
        "{} connections, {} render nodes listed, {:.1} s, {} lists: CPU {:.1}% of a core; memory {before}, {standing}, {after} KiB; {} descriptors",
        seen.connections,
        seen.listed,
        seen.seconds,
        seen.lists,
        100.0 * seen.cpu,
        seen.descriptors
    );
    for (what, [due, done], [p50, p99, p999, longest]) in
        [("lines", seen.lines, seen.line_us), ("set-ups", seen.setups, seen.setup_us)]
    {
        println!("{what}: {done} of {due} done; p50 {p50} us, p99 {p99}, p99.9 {p999}, longest {longest}");
    }
}

fn print_both(what: &str, both: &PathComparison) {
    for (name, way) in [("through the proxy", &both.through), ("directly", &both.direct)] {
        let [p50, p99, p999, longest] = way.latency_us;
        println!(
            "{what} a second {name:<18} {:>8.0}; at 0.7 of it p50 {p50} us, p99 {p99}, p99.9 {p999}, longest {longest}; CPU each: proxy {:.1} us, kit {:.1} us",
            way.ceiling, way.proxy_cpu_us, way.kit_cpu_us
        );
    }
    println!("{what}: the kit can sustain {:.1} times the maximum rate of the proxy", both.headroom());
}
