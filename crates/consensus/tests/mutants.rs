//! Tests that the oracle detects each deliberate fault. Without them, the other tests might be unable to fail.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod common;

use common::chaos::{Faults, run_under_faults};
use common::scenarios;
use common::world::{MS, Net, World};
use cottonnotch_consensus::Mutant;

/// The limit of seeds to try. Few of them are needed to detect each mutant.
const SEEDS: u64 = 1_000;

/// Returns the first seed for which the oracle detects a violation under random faults.
fn found(mutant: Mutant, shape: impl Fn(u64) -> Faults) -> (u64, String) {
    for seed in 0..SEEDS {
        let faults = Faults { mutant, ..shape(seed) };
        if let Some(violation) = run_under_faults(seed, &faults).oracle.violation {
            println!("{mutant:?}: seed {seed}: {violation}");
            return (seed, violation);
        }
    }
    panic!("{mutant:?} was not detected within {SEEDS} seeds");
}

/// Checks that the oracle detects a violation in a scenario that targets the mutant.
fn found_in(mutant: Mutant, scene: impl Fn(u64, Mutant) -> World) {
    let found = (0..SEEDS).find_map(|seed| Some((seed, scene(seed, mutant).oracle.violation?)));
    println!("{mutant:?}: {found:?}");
    assert!(found.is_some(), "{mutant:?} was not detected within {SEEDS} seeds");
}

fn few(seed: u64) -> Faults {
    let net = Net { most: 100 * MS, loss: 20, duplicated: 100, ..Net::default() };
    Faults { members: 7, voters: 3, drift_ppm: 1_000, span: 15_000 * MS, net, ..Faults::drawn(seed) }
}

#[test]
fn finds_lease_counted_from_receipt() {
    found(Mutant::LeaseFromReceipt, few);
}

#[test]
fn finds_skipped_recovery() {
    found_in(Mutant::SkipRecovery, scenarios::voter_loses_committed_state);
}

#[test]
fn finds_early_activation() {
    found(Mutant::EarlyActivation, few);
}

#[test]
fn finds_ignored_drift() {
    let shape = |seed| Faults { drift_ppm: 100_000, net: Net::default(), ..few(seed) };
    found(Mutant::IgnoreDrift, shape);
}

#[test]
fn finds_missing_authority_check() {
    found_in(Mutant::NoAuthorityCheck, scenarios::leader_stopped_during_a_change);
}

#[test]
fn finds_skipped_handover() {
    found_in(Mutant::SkipHandover, scenarios::lease_of_a_crashed_leader);
}

#[test]
fn finds_vote_despite_a_leader() {
    found_in(Mutant::VoteDespiteLeader, scenarios::rival_while_leader_is_heard);
}

#[test]
fn finds_vote_right_after_a_restart() {
    found_in(Mutant::VoteAfterRestart, scenarios::voter_restart_under_a_rival);
}

#[test]
fn finds_acceptance_of_revoked_versions() {
    found(Mutant::AcceptRevoked, few);
}

#[test]
fn finds_nothing_without_a_mutant() {
    for seed in 0..50 {
        let world = run_under_faults(seed, &few(seed));
        world.assert_no_violation();
    }
}
