//! Validation of the judge: runs scripted proxies with known faults, each of which must break its rule and no other,
//! and one without a fault, which must break none. Without this check, a passed rehearsal could mean that the judge
//! misses faults.

use crate::bad_proxy::Fault;
use crate::judge::{Rule, Verdict};
use crate::processes::Daemon;
use crate::rehearse::{self, CannotRun, Setup};
use crate::scenario::{Scenario, ScenarioError};
use std::collections::VecDeque;
use std::fmt;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// Text of the scenario that all cases run.
const SCENARIO: &str = include_str!("../../../rehearsals/short/scripted.toml");
/// Maximum number of repetitions of a void run.
const MAX_RERUNS: u32 = 2;

/// Why the cases could not be run.
#[derive(Debug, thiserror::Error)]
pub enum CannotProve {
    /// The scenario built into this program is invalid, which is a bug of the kit.
    #[error("{0}")]
    Scenario(#[from] ScenarioError),
    /// A run could not be carried out.
    #[error(transparent)]
    Run(#[from] CannotRun),
}

/// The result of one case.
#[derive(Debug)]
pub struct Proof {
    /// The proxy's fault; `None` for the proxy without a fault.
    pub fault: Option<Fault>,
    /// The judge's verdict.
    pub verdict: Verdict,
}

/// Returns the rule that a fault breaks.
pub fn rule(fault: Fault) -> Rule {
    match fault {
        Fault::AnswersTwice | Fault::NoAnswer | Fault::DropsRequest => Rule::OneFinalAnswer,
        Fault::InventedUp => Rule::InventedAnswer,
        Fault::SecondAttempt => Rule::TwoAttempts,
        Fault::SendsToDrained => Rule::SendAfterDrain,
        Fault::FloodsCold => Rule::SlowStartBudget,
        Fault::CutsWithoutMove => Rule::CutWithoutMove,
        Fault::HoldsLine => Rule::LineDelayed,
        Fault::KeepsEnded => Rule::EndedConnectionOpen,
        Fault::KeepsSilent => Rule::SilentConnectionOpen,
        Fault::BadFirstLine => Rule::BadFirstLine,
        Fault::IgnoresRude => Rule::MisbehavingClientUnanswered,
        Fault::ServesRude => Rule::MisbehavingClientServed,
        Fault::Crashes => Rule::ProxyCrashed,
        Fault::Stays => Rule::ShutdownOverrun,
        Fault::TooManyAttempts => Rule::TooManyAttempts,
        Fault::BigDatagram => Rule::OversizedDatagram,
    }
}

impl Proof {
    /// Returns whether the judge found exactly the expected violations: those of the fault's rule, or none for the
    /// proxy without a fault.
    pub fn holds(&self) -> bool {
        let expected: Vec<Rule> = self.fault.map(rule).into_iter().collect();
        !self.verdict.is_void() && self.verdict.violated_rules().collect::<Vec<_>>() == expected
    }
}

impl fmt::Display for Proof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.fault.map_or("honest".to_owned(), |fault| fault.to_string());
        let broken: Vec<String> =
            self.verdict.violations.iter().map(|(rule, count)| format!("{rule} {count} times")).collect();
        let said = match (self.verdict.is_void(), broken.is_empty()) {
            (true, _) => "void: the machine was too busy".to_owned(),
            (false, true) => "no rule broken".to_owned(),
            (false, false) => broken.join(", "),
        };
        write!(f, "{} {name:<18} {said}", if self.holds() { "ok  " } else { "FAIL" })?;
        if !self.holds() {
            let expected = self.fault.map_or("none".to_owned(), |fault| rule(fault).to_string());
            write!(f, "\n  to be broken: {expected}\n{}", self.verdict)?;
        }
        Ok(())
    }
}

/// Runs all cases with `program`, the kit's own program, `jobs` of them at a time. After an interruption, the result
/// lacks the cases that were not run.
pub fn all(
    program: &Path,
    cases: &[Option<Fault>],
    seed: u64,
    jobs: usize,
    interrupted: &Arc<AtomicBool>,
) -> Result<Vec<Proof>, CannotProve> {
    let scenario = Scenario::read("rehearsals/short/scripted.toml".as_ref(), SCENARIO)?;
    let queue: Mutex<VecDeque<usize>> = Mutex::new((0..cases.len()).collect());
    let proofs = Mutex::new(Vec::new());
    let play = || -> Result<(), CannotProve> {
        while !interrupted.load(Ordering::Acquire) {
            let next = queue.lock().unwrap_or_else(PoisonError::into_inner).pop_front();
            let Some(index) = next else { break };
            let proof = prove(program, cases[index], &scenario, seed, interrupted)?;
            proofs.lock().unwrap_or_else(PoisonError::into_inner).push((index, proof));
        }
        Ok(())
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..jobs).map(|_| scope.spawn(play)).collect();
        threads.into_iter().try_for_each(|thread| match thread.join() {
            Ok(result) => result,
            Err(_) => Err(CannotRun::Panicked("a run").into()),
        })
    })?;
    let mut proofs = proofs.into_inner().unwrap_or_else(PoisonError::into_inner);
    proofs.sort_by_key(|(index, _)| *index);
    Ok(proofs.into_iter().map(|(_, proof)| proof).collect())
}

fn prove(
    program: &Path,
    fault: Option<Fault>,
    scenario: &Scenario,
    seed: u64,
    interrupted: &Arc<AtomicBool>,
) -> Result<Proof, CannotProve> {
    let mut arguments = vec!["bad-proxy".into()];
    arguments.extend(fault.map(|fault| fault.to_string().into()));
    let daemon = Daemon { program: program.to_owned(), arguments };
    let setup = Setup { daemon, keep: None, interrupted: Arc::clone(interrupted) };
    let mut tries = 0;
    loop {
        let run = rehearse::run(scenario.draw(seed), &setup, |_, _| {})?;
        tries += 1;
        if !run.verdict.is_void() || tries > MAX_RERUNS || run.interrupted {
            return Ok(Proof { fault, verdict: run.verdict });
        }
    }
}
