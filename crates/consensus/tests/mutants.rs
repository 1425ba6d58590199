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
fn find_violation(mutant: Mutant, faults_for: impl Fn(u64) -> Faults) -> (u64, String) {
    for seed in 0..SEEDS {
        let faults = Faults { mutant, ..faults_for(seed) };
        if let Some(violation) = run_under_faults(seed, &faults).oracle.violation {
            println!("{mutant:?}: seed {seed}: {violation}");
            return (seed, violation);
        }
    }
    panic!("{mutant:?} was not detected within {SEEDS} seeds");
}

/// Checks that the oracle detects a violation in a scenario that targets the mutant.
fn find_violation_in_scenario(mutant: Mutant, scenario: impl Fn(u64, Mutant) -> World) {
    let found = (0..SEEDS).find_map(|seed| Some((seed, scenario(seed, mutant).oracle.violation?)));
    println!("{mutant:?}: {found:?}");
    assert!(found.is_some(), "{mutant:?} was not detected within {SEEDS} seeds");
}

fn small_cluster(seed: u64) -> Faults {
    let net = Net { max_delay: 100 * MS, loss_permille: 20, duplicated_permille: 100, ..Net::default() };
    Faults { members: 7, voters: 3, drift_ppm: 1_000, duration: 15_000 * MS, net, ..Faults::from_seed(seed) }
}

#[test]
fn finds_lease_counted_from_receipt() {
    find_violation(Mutant::LeaseFromReceipt, small_cluster);
}

#[test]
fn finds_skipped_recovery() {
    find_violation_in_scenario(Mutant::SkipRecovery, scenarios::voter_loses_committed_state);
}

#[test]
fn finds_early_activation() {
    find_violation(Mutant::EarlyActivation, small_cluster);
}

#[test]
fn finds_ignored_drift() {
    let faults_for = |seed| Faults { drift_ppm: 100_000, net: Net::default(), ..small_cluster(seed) };
    find_violation(Mutant::IgnoreDrift, faults_for);
}

#[test]
fn finds_missing_authority_check() {
    find_violation_in_scenario(Mutant::NoAuthorityCheck, scenarios::leader_stopped_during_a_change);
}

#[test]
fn finds_skipped_handover() {
    find_violation_in_scenario(Mutant::SkipHandover, scenarios::lease_of_a_crashed_leader);
}

#[test]
fn finds_vote_despite_a_leader() {
    find_violation_in_scenario(Mutant::VoteDespiteLeader, scenarios::rival_while_leader_is_heard);
}

#[test]
fn finds_vote_right_after_a_restart() {
    find_violation_in_scenario(Mutant::VoteAfterRestart, scenarios::voter_restart_under_a_rival);
}

#[test]
fn finds_acceptance_of_revoked_versions() {
    find_violation(Mutant::AcceptRevoked, small_cluster);
}

#[test]
fn finds_nothing_without_a_mutant() {
    for seed in 0..50 {
        let world = run_under_faults(seed, &small_cluster(seed));
        world.assert_no_violation();
    }
}
