//! `prove`: the judge is shown proxies with known faults, and must find each.

use super::{Ended, interrupt};
use clap::Args;
use cottonnotch_kit::bad_proxy::Fault;
use cottonnotch_kit::prove;
use std::sync::atomic::Ordering;

/// Plays a scripted proxy with each known fault: each must break its rule and no other, and the honest one none.
#[derive(Debug, Args)]
pub struct Prove {
    /// Only these faults.
    faults: Vec<Fault>,
    /// The seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs at one time.
    #[arg(long, default_value_t = 3)]
    jobs: usize,
}

impl Prove {
    /// Plays all.
    pub fn run(self) -> Result<Ended, String> {
        let interrupted = interrupt()?;
        let faults = if self.faults.is_empty() { Fault::ALL.to_vec() } else { self.faults };
        let cases: Vec<Option<Fault>> = std::iter::once(None).chain(faults.into_iter().map(Some)).collect();
        let program = std::env::current_exe().map_err(|error| format!("where this program is: {error}"))?;
        let proofs = prove::all(&program, &cases, self.seed, self.jobs.max(1), &interrupted);
        let proofs = proofs.map_err(|error| error.to_string())?;
        for proof in &proofs {
            println!("{proof}");
        }
        if interrupted.load(Ordering::Acquire) {
            return Ok(Ended::Interrupted);
        }
        Ok(if proofs.iter().all(prove::Proof::holds) { Ended::Well } else { Ended::Broken })
    }
}
