//! The command `compare`: runs two proxies on the same scenarios and seeds.

use super::rehearse::scenarios;
use super::{Outcome, interrupt, write_json};
use clap::Args;
use cottonnotch_kit::compare::{self, Arm, Pair};
use cottonnotch_kit::processes::Daemon;
use std::path::PathBuf;
use std::sync::atomic::Ordering;

/// Runs two builds, or two settings, of the proxy side by side on the same seeds.
#[derive(Debug, Args)]
pub struct Compare {
    /// The first arm: a proxy's program; to pass arguments, quote them together with the program
    /// ("target/release/cottonnotch --operator a.toml").
    a: String,
    /// The second arm, in the same form.
    b: String,
    /// Scenario files, or folders that contain them.
    #[arg(long = "scenario", required = true, value_name = "FILE|DIR")]
    scenarios: Vec<PathBuf>,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds, beginning with the first.
    #[arg(long, default_value_t = 8)]
    seeds: u64,
    /// File to which all pairs and the result are written as JSON.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

/// Parses an arm: a program and its arguments, separated by white space.
pub fn arm(text: &str) -> Result<Arm, String> {
    let mut words = text.split_whitespace();
    let program = words.next().ok_or("an arm must name a program, but is empty")?;
    let daemon = Daemon { program: program.into(), arguments: words.map(Into::into).collect() };
    daemon.check().map_err(|error| error.to_string())?;
    Ok(Arm { name: text.to_owned(), daemon })
}

impl Compare {
    /// Runs all pairs, and prints each of them and the result.
    pub fn run(self) -> Result<Outcome, String> {
        let (a, b) = (arm(&self.a)?, arm(&self.b)?);
        let scenarios = scenarios(&self.scenarios)?;
        let seeds: Vec<u64> = (self.seed..self.seed + self.seeds).collect();
        let interrupted = interrupt()?;
        println!("A: {}\nB: {}", a.name, b.name);
        let say = |pair: &Pair| {
            let [one, other] = pair.service;
            print!(
                "{:<18} seed {:>4}  A {one:.3}  B {other:.3}  B - A {:+.3}",
                pair.scenario,
                pair.seed,
                other - one
            );
            for (name, broken) in ["A", "B"].iter().zip(&pair.broken).filter(|(_, broken)| !broken.is_empty())
            {
                print!("  {name} broke {}", broken.join(", "));
            }
            println!();
        };
        let seen = compare::compare([&a, &b], &scenarios, &seeds, &interrupted, say);
        let seen = seen.map_err(|error| error.to_string())?;
        println!(
            "A {:.3} (standard deviation {:.3}), B {:.3} ({:.3}), {} pairs of {} seeds, {} void",
            seen.means[0],
            seen.spread[0],
            seen.means[1],
            seen.spread[1],
            seen.pairs.len(),
            seeds.len(),
            seen.void
        );
        println!(
            "B - A {:+.4}, 95% interval {:+.4} to {:+.4}",
            seen.difference, seen.interval.0, seen.interval.1
        );
        match seen.better() {
            Some(better) => println!("better: {better}"),
            None => println!("no difference is shown"),
        }
        if let Some(path) = &self.json {
            write_json(path, &seen)?;
        }
        Ok(if interrupted.load(Ordering::Acquire) { Outcome::Interrupted } else { Outcome::Success })
    }
}
