//! A node keeps its invariants under any settings and any faults. Simulations run on virtual time and are
//! checked from outside.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod checker;
mod mutants;
mod routing_verdicts;
mod simulation;
mod strategies;

use checker::Invariant;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, TestRng, TestRunner};
use simulation::{Counts, simulate};
use std::collections::BTreeSet;
use strategies::{Plan, plan};

/// Returns the number of simulations: the environment variable `PLAYS`, or `default` if it is not set.
fn case_count(default: u32) -> u32 {
    std::env::var("PLAYS").ok().and_then(|count| count.parse().ok()).unwrap_or(default)
}

/// Returns plans that are the same in each run.
fn plans(count: u32) -> Vec<Plan> {
    let rng = TestRng::deterministic_rng(Default::default());
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let draw = |_| plan().new_tree(&mut runner).expect("a plan can be drawn").current();
    (0..count).map(draw).collect()
}

proptest! {
    #![proptest_config(Config { cases: case_count(256), failure_persistence: None, ..Config::default() })]

    #[test]
    fn keeps_invariants_under_any_settings(plan in plan()) {
        let (_, violations) = simulate(&plan, None);
        prop_assert!(violations.is_empty(), "seed {}: {violations:#?}", plan.seed);
    }
}

/// Guards against simulations in which the situations that the invariants are about don't occur.
#[test]
fn simulations_exercise_each_invariant() {
    let mut all = Counts::default();
    for plan in plans(case_count(200)) {
        let (counts, violations) = simulate(&plan, None);
        assert!(violations.is_empty(), "seed {}: {violations:#?} in {plan:#?}", plan.seed);
        all.sent += counts.sent;
        all.retries_after_a_run += counts.retries_after_a_run;
        all.suppressed_writes += counts.suppressed_writes;
        all.established += counts.established;
        all.rejected += counts.rejected;
        all.failed += counts.failed;
        all.clients_left += counts.clients_left;
        all.answered_at_shutdown += counts.answered_at_shutdown;
        all.drains += counts.drains;
    }
    println!("{all:?}");
    let Counts {
        sent,
        retries_after_a_run,
        suppressed_writes,
        established,
        rejected,
        failed,
        clients_left,
        ..
    } = all;
    let often = [sent, retries_after_a_run, established, rejected, failed, clients_left, all.drains];
    assert!(often.iter().all(|count| *count >= 100), "{all:?}");
    assert!(suppressed_writes >= 3 && all.answered_at_shutdown >= 20, "{all:?}");
}

/// The checker detects the invariant that each mutant breaks.
#[test]
fn checker_detects_each_mutant() {
    let plans = plans(case_count(150));
    for (mutant, invariant) in mutants::ALL {
        let named: BTreeSet<Invariant> = (plans.iter())
            .flat_map(|plan| simulate(plan, Some(mutant)).1)
            .map(|violation| violation.invariant)
            .collect();
        assert!(named.contains(&invariant), "{mutant:?} breaks {invariant:?}, the checker names {named:?}");
        println!("{mutant:?}: {named:?}");
    }
}
