//! The command `prove`: checks that the judge finds the fault of each scripted proxy.

use super::{Outcome, interrupt};
use clap::Args;
use cottonnotch_kit::bad_proxy::Fault;
use cottonnotch_kit::prove;
use std::sync::atomic::Ordering;

/// Runs a scripted proxy with each known fault, which must break its rule and no other, and one without a fault, which
/// must break none.
#[derive(Debug, Args)]
pub struct Prove {
    /// The faults to run; all if none is given.
    faults: Vec<Fault>,
    /// Seed from which the scenario is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of concurrent runs.
    #[arg(long, default_value_t = 3)]
    jobs: usize,
}

impl Prove {
    /// Runs the cases and prints the result of each.
    pub fn run(self) -> Result<Outcome, String> {
        let interrupted = interrupt()?;
        let faults = if self.faults.is_empty() { Fault::ALL.to_vec() } else { self.faults };
        let cases: Vec<Option<Fault>> = std::iter::once(None).chain(faults.into_iter().map(Some)).collect();
        let program = std::env::current_exe()
            .map_err(|error| format!("cannot find the path of this program: {error}"))?;
        let proofs = prove::all(&program, &cases, self.seed, self.jobs.max(1), &interrupted);
        let proofs = proofs.map_err(|error| error.to_string())?;
        for proof in &proofs {
            println!("{proof}");
        }
        if interrupted.load(Ordering::Acquire) {
            return Ok(Outcome::Interrupted);
        }
        Ok(if proofs.iter().all(prove::Proof::holds) { Outcome::Success } else { Outcome::Failure })
    }
}
