//! The command `demo`: a short rehearsal for new users that needs no preparation and no scenario file.

use super::rehearse::Progress;
use super::{DaemonArgs, Outcome, interrupt, progress_over};
use clap::Args;
use cottonnotch_kit::rehearse::{self, Setup};
use cottonnotch_kit::scenario::Scenario;
use cottonnotch_kit::time::S;
use std::io::IsTerminal;
use std::time::{Duration, Instant};

/// Text of the demo's scenario.
const SCENARIO: &str = include_str!("demo.toml");
/// Interval between two progress lines when standard error is not a terminal.
const PRINT_INTERVAL: Duration = Duration::from_secs(2);

/// Runs two proxies and eight render nodes under load for less than half a minute; one render node is killed, and one
/// drains.
#[derive(Debug, Args)]
pub struct Demo {
    /// Seed from which the plan is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[command(flatten)]
    daemon: DaemonArgs,
}

impl Demo {
    /// Runs the demo and prints its events and its verdict.
    pub fn run(self) -> Result<Outcome, String> {
        let daemon = self.daemon.daemon()?;
        let scenario = Scenario::read("demo".as_ref(), SCENARIO).map_err(|error| error.to_string())?;
        let plan = scenario.draw(self.seed);
        println!(
            "{} proxies, {} render nodes, {} sessions in {:.0} s, all on 127.0.0.0/8 of this machine.",
            plan.proxies.len(),
            plan.nodes.len(),
            plan.sessions.len(),
            plan.ends as f64 / S as f64
        );
        println!(
            "service: worth of the well-served connection seconds, divided by the worth of the requested ones.\n"
        );
        let setup = Setup { daemon, keep: None, interrupted: interrupt()? };
        let watched = std::io::stderr().is_terminal();
        let (mut line, mut printed, mut next_event) = (Progress::default(), Instant::now(), 0);
        let run = rehearse::run(plan, &setup, |plan, board| {
            let now = board.clock.now();
            while let Some(event) = plan.timeline.get(next_event).filter(|event| event.at <= now) {
                next_event += 1;
                if let cottonnotch_kit::plan::TimelineChange::Mark(text) = &event.change {
                    clear_if(watched);
                    println!("{:>5.1} s  {text}", event.at as f64 / S as f64);
                }
            }
            if watched {
                line.show(plan, board);
            } else if printed.elapsed() >= PRINT_INTERVAL {
                printed = Instant::now();
                println!("{}", line.line(plan, board));
            }
        });
        clear_if(watched);
        let run = run.map_err(|error| error.to_string())?;
        println!("\n{}", run.verdict);
        if run.interrupted {
            return Ok(Outcome::Interrupted);
        }
        println!(
            "Next: `cottonnotch-kit rehearse rehearsals/quarter-dies.toml`; docs/ops/rehearsal.md says which when."
        );
        Ok(match (run.verdict.is_void(), run.verdict.passed()) {
            (true, _) => Outcome::Void,
            (false, true) => Outcome::Success,
            (false, false) => Outcome::Failure,
        })
    }
}

fn clear_if(watched: bool) {
    if watched {
        progress_over();
    }
}
