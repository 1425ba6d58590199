//! Faults built in on purpose, each of which the oracle must find: tests that can't fail show nothing.

mod common;

use common::chaos::{Faults, storm};
use common::scenes;
use common::world::{MS, Net, World};
use cottonnotch_consensus::Mutant;

/// Seeds tried; each mutant is found within few of them.
const SEEDS: u64 = 1_000;

/// The first seed on which the oracle finds a member acting against another, or a number gone wrong.
fn found(mutant: Mutant, shape: impl Fn(u64) -> Faults) -> (u64, String) {
    for seed in 0..SEEDS {
        let faults = Faults { mutant, ..shape(seed) };
        if let Some(violation) = storm(seed, &faults).oracle.violation {
            println!("{mutant:?}: seed {seed}: {violation}");
            return (seed, violation);
        }
    }
    panic!("{mutant:?} was not found within {SEEDS} seeds");
}

/// The same in a case made for it.
fn found_in(mutant: Mutant, scene: impl Fn(u64, Mutant) -> World) {
    let found = (0..SEEDS).find_map(|seed| Some((seed, scene(seed, mutant).oracle.violation?)));
    println!("{mutant:?}: {found:?}");
    assert!(found.is_some(), "{mutant:?} was not found within {SEEDS} seeds");
}

fn few(seed: u64) -> Faults {
    let net = Net { most: 100 * MS, loss: 20, doubled: 100, ..Net::default() };
    Faults { members: 7, voters: 3, drift_ppm: 1_000, span: 15_000 * MS, net, ..Faults::drawn(seed) }
}

#[test]
fn a_lease_counted_from_receipt_is_found() {
    found(Mutant::LeaseFromReceipt, few);
}

#[test]
fn a_voter_that_forgets_is_found() {
    found_in(Mutant::SkipRecovery, scenes::a_voter_forgets_what_it_helped_agree);
}

#[test]
fn effect_before_old_leases_end_is_found() {
    found(Mutant::EarlyActivation, few);
}

#[test]
fn drift_not_allowed_for_is_found() {
    let shape = |seed| Faults { drift_ppm: 100_000, net: Net::default(), ..few(seed) };
    found(Mutant::IgnoreDrift, shape);
}

#[test]
fn a_pause_not_noticed_is_found() {
    found_in(Mutant::NoAuthorityCheck, scenes::leader_stopped_across_a_change);
}

#[test]
fn leases_of_earlier_leaders_not_waited_for_are_found() {
    found_in(Mutant::SkipHandover, scenes::a_lease_of_a_leader_that_died);
}

#[test]
fn a_voter_that_votes_while_it_hears_a_leader_is_found() {
    found_in(Mutant::VoteDespiteLeader, scenes::a_rival_while_the_leader_is_heard);
}

#[test]
fn a_voter_that_votes_at_once_after_a_restart_is_found() {
    found_in(Mutant::VoteAfterRestart, scenes::a_voter_restarts_under_a_rival);
}

#[test]
fn a_member_that_takes_back_what_it_released_is_found() {
    found(Mutant::AcceptRevoked, few);
}

#[test]
fn without_a_fault_built_in_nothing_is_found() {
    for seed in 0..50 {
        let world = storm(seed, &few(seed));
        world.sound();
    }
}
