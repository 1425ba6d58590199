//! The command `show`: prints the plan of a scenario without running it.

use super::Outcome;
use super::rehearse::scenarios;
use clap::Args;
use cottonnotch_kit::plan::TimelineChange;
use cottonnotch_kit::rehearse;
use cottonnotch_kit::time::S;
use std::path::PathBuf;

/// Prints the plan that a scenario draws from a seed.
#[derive(Debug, Args)]
pub struct Show {
    /// Scenario files, or folders that contain them.
    #[arg(required = true, value_name = "FILE|DIR")]
    scenarios: Vec<PathBuf>,
    /// Seed from which the plan is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Prints each event of the timeline, not only the marks.
    #[arg(long)]
    all: bool,
}

impl Show {
    /// Draws and prints the plan of each scenario.
    pub fn run(self) -> Result<Outcome, String> {
        for scenario in scenarios(&self.scenarios)? {
            let plan = scenario.draw(self.seed);
            println!("{}: {}", plan.name, scenario.body.about);
            println!(
                "  seed {}, plan {:016x}; {:.0} s, {} proxies, {} render nodes ({} from the start), {} sessions, {} rude clients",
                plan.seed,
                plan.digest(),
                rehearse::lasts(&plan),
                plan.proxies.len(),
                plan.nodes.len(),
                plan.nodes.iter().filter(|node| node.from_start).count(),
                plan.sessions.len(),
                plan.rude.len(),
            );
            for event in &plan.timeline {
                let at = event.at as f64 / S as f64;
                match &event.change {
                    TimelineChange::Mark(text) => println!("  {at:>9.3} s  {text}"),
                    what if self.all => println!("  {at:>9.3} s    {what:?}"),
                    _ => {}
                }
            }
        }
        Ok(Outcome::Success)
    }
}
