//! Tests of single faults at the worst moments, and of the state after them.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod common;

use common::scenarios::{self, cluster_on_old_version, new_version, old_version};
use common::world::{Disk, MS, World};
use common::{chaos, content};
use cottonnotch_consensus::{DurableState, Mutant, ProposalOutcome, Role, Timing, Topic};

const NO_MUTANT: Mutant = Mutant::Unmodified;

#[test]
fn stopped_leader_finds_its_lease_expired() {
    for seed in 0..20 {
        let world = scenarios::leader_stopped_during_a_change(seed, NO_MUTANT);
        world.assert_no_violation();
        assert_eq!(world.members_acting_on(Topic::Rules, old_version()), 0, "seed {seed}");
    }
}

#[test]
fn rejects_rival_while_the_leader_is_heard() {
    for seed in 0..20 {
        scenarios::rival_while_leader_is_heard(seed, NO_MUTANT).assert_no_violation();
        scenarios::voter_restart_under_a_rival(seed, NO_MUTANT).assert_no_violation();
    }
}

#[test]
fn waits_for_leases_of_a_crashed_leader() {
    for seed in 0..20 {
        let world = scenarios::lease_of_a_crashed_leader(seed, NO_MUTANT);
        world.assert_no_violation();
        assert_eq!(world.members_acting_on(Topic::Rules, new_version()), 3, "seed {seed}");
    }
}

#[test]
fn keeps_committed_state_after_a_voter_lost_it() {
    for seed in 0..20 {
        let mut world = scenarios::voter_loses_committed_state(seed, NO_MUTANT);
        world.assert_no_violation();
        // Only the crashed voter has the state, so nothing can be decided without it.
        assert_eq!(world.oracle.greatest_numbers[0], 2, "seed {seed}");
        world.end_faults();
        let last = content(3, [1, 1, 1]);
        let took = world.run_until(8_000 * MS, |world| world.members_acting_on(Topic::Rules, last) == 5);
        assert!(took.is_some(), "seed {seed}: {}", chaos::describe(&world));
        assert_eq!(world.oracle.greatest_numbers[0], 3, "seed {seed}");
        world.assert_no_violation();
    }
}

/// The leader crashes at one of many moments between the proposal and the activation. In every phase, the proposal
/// still comes in force, because its proposer retries, and it comes in force only once.
#[test]
fn leader_crash_during_a_change_loses_nothing() {
    for (seed, output_count) in (0..60).map(|step| (step, step as u32 * 2)) {
        let (mut world, leader) = cluster_on_old_version(seed, 5, 3, NO_MUTANT);
        world.crash_after_outputs(leader, output_count);
        world.propose(4, Topic::Rules, new_version());
        let others_act_on_new_version =
            |world: &World| world.members_acting_on(Topic::Rules, new_version()) >= 4;
        let took = world.run_until(10_000 * MS, others_act_on_new_version);
        assert!(
            took.is_some(),
            "seed {seed}: leader crashed after {output_count} outputs: {}",
            chaos::describe(&world)
        );
        world.run(500 * MS);
        let finished = world
            .finished_proposals
            .iter()
            .filter(|finished| {
                (finished.0, finished.2, finished.3) == (4, new_version(), ProposalOutcome::InForce)
            })
            .count();
        assert_eq!(finished, 1, "seed {seed}");
        assert_eq!(world.oracle.greatest_numbers[0], 2, "seed {seed}: the proposal got a second number");
        world.end_faults();
        world.run(3_000 * MS);
        assert_eq!(world.members_acting_on(Topic::Rules, new_version()), 5, "seed {seed}");
        world.assert_no_violation();
    }
}

/// Without a majority of the voters, nothing is decided and all leases expire.
#[test]
fn decides_nothing_without_a_majority() {
    for seed in 0..10 {
        let (mut world, leader) = cluster_on_old_version(seed, 7, 3, NO_MUTANT);
        let follower = world.voters.iter().copied().find(|&voter| voter != leader).unwrap_or_default();
        world.crash(follower, Disk::Kept);
        let third = 3 - leader - follower;
        world.crash(third, Disk::Kept);
        world.propose(5, Topic::Rules, new_version());
        // The authority of the leader ends, and after it the last lease that the leader granted.
        world.run(500 * MS + 1_200 * MS);
        assert_eq!(
            world.oracle.processes_acting(Topic::Rules, world.now),
            0,
            "seed {seed}: a lease has not expired"
        );
        world.run(5_000 * MS);
        assert!(world.leader().is_none(), "seed {seed}");
        assert_eq!(world.oracle.greatest_numbers[0], 1, "seed {seed}: decided by a minority");
        world.end_faults();
        let recovered =
            world.run_until(5_000 * MS, |world| world.members_acting_on(Topic::Rules, new_version()) == 7);
        assert!(recovered.is_some(), "seed {seed}: not in force after the faults ended");
        world.assert_no_violation();
    }
}

#[test]
fn tolerates_voter_that_cannot_send() {
    for seed in 0..10 {
        let (mut world, leader) = cluster_on_old_version(seed, 5, 3, NO_MUTANT);
        // The fault affects first a follower, then the leader.
        for voter in [(leader + 1) % 3, leader] {
            let before = world.oracle.greatest_numbers[0];
            for other in 0..5 {
                world.cut_links.insert((voter, other));
            }
            let hash = content(10 + voter, [before as u8 % 2 + 1, 0, 0]);
            world.propose(4, Topic::Rules, hash);
            let took = world.run_until(6_000 * MS, |world| world.members_acting_on(Topic::Rules, hash) >= 4);
            assert!(took.is_some(), "seed {seed}: voter {voter} cannot send: {}", chaos::describe(&world));
            world.cut_links.clear();
            let took = world.run_until(4_000 * MS, |world| world.members_acting_on(Topic::Rules, hash) == 5);
            assert!(took.is_some(), "seed {seed}: voter {voter} can send again: {}", chaos::describe(&world));
        }
        world.assert_no_violation();
    }
}

/// A voter that receives no messages requests votes in vain. Its term must not depose the leader once it receives
/// messages again.
#[test]
fn voter_that_cannot_receive_does_not_depose_the_leader() {
    for seed in 0..10 {
        let (mut world, leader) = cluster_on_old_version(seed, 5, 3, NO_MUTANT);
        let term = world.status(leader).map(|status| status.term);
        let unreachable_voter = (leader + 1) % 3;
        for other in 0..5 {
            world.cut_links.insert((other, unreachable_voter));
        }
        world.run(5_000 * MS);
        world.cut_links.clear();
        world.run(2_000 * MS);
        assert_eq!(world.leader(), Some(leader), "seed {seed}");
        assert_eq!(world.status(leader).map(|status| status.term), term, "seed {seed}");
        world.assert_no_violation();
    }
}

/// Each of five voters is cut off from its two neighbours in a ring and still reaches the two others.
#[test]
fn elects_leader_in_a_ring_of_cuts() {
    for seed in 0..10 {
        let (mut world, _) = cluster_on_old_version(seed, 8, 5, NO_MUTANT);
        for voter in 0..5 {
            world.cut_both_directions(voter, (voter + 1) % 5);
        }
        world.propose(7, Topic::Rules, new_version());
        let took =
            world.run_until(20_000 * MS, |world| world.members_acting_on(Topic::Rules, new_version()) >= 6);
        assert!(took.is_some(), "seed {seed}: {}", chaos::describe(&world));
        world.cut_links.clear();
        let took =
            world.run_until(5_000 * MS, |world| world.members_acting_on(Topic::Rules, new_version()) == 8);
        assert!(took.is_some(), "seed {seed}: {}", chaos::describe(&world));
        world.assert_no_violation();
    }
}

/// Three voters are cut in one direction around a ring, so that no two voters reach each other in both directions. No
/// voter leads, and all leases expire.
#[test]
fn elects_no_leader_in_a_ring_of_one_way_cuts() {
    for seed in 0..10 {
        let (mut world, _) = cluster_on_old_version(seed, 5, 3, NO_MUTANT);
        for voter in 0..3 {
            world.cut_links.insert((voter, (voter + 1) % 3));
        }
        world.propose(4, Topic::Rules, new_version());
        world.run(3_000 * MS);
        assert_eq!(world.oracle.processes_acting(Topic::Rules, world.now), 0, "seed {seed}");
        world.cut_links.clear();
        let took =
            world.run_until(6_000 * MS, |world| world.members_acting_on(Topic::Rules, new_version()) == 5);
        assert!(took.is_some(), "seed {seed}: {}", chaos::describe(&world));
        world.assert_no_violation();
    }
}

#[test]
fn orders_simultaneous_proposals() {
    for seed in 0..20 {
        let (mut world, _) = cluster_on_old_version(seed, 7, 3, NO_MUTANT);
        let other = content(3, [0, 1, 0]);
        world.propose(5, Topic::Rules, new_version());
        world.propose(6, Topic::Rules, other);
        world.run(2_000 * MS);
        let mut finished = world.finished_proposals.split_off(1);
        finished.sort_by_key(|finished| finished.0);
        assert_eq!(
            finished,
            [
                (5, Topic::Rules, new_version(), ProposalOutcome::InForce),
                (6, Topic::Rules, other, ProposalOutcome::InForce)
            ]
        );
        assert_eq!(world.oracle.greatest_numbers[0], 3, "seed {seed}");
        world.assert_no_violation();
    }
}

/// A follower that lost its disk abstains and later votes again. The leader crashes meanwhile, and no committed state
/// is lost.
#[test]
fn voter_without_state_recovers_before_it_votes() {
    for seed in 0..20 {
        let (mut world, leader) = cluster_on_old_version(seed, 5, 3, NO_MUTANT);
        let recovering = (leader + 1) % 3;
        world.crash(recovering, Disk::Lost);
        world.restart(recovering);
        world.propose(4, Topic::Rules, new_version());
        world.run(1_000 * MS);
        assert_eq!(world.status(recovering).map(|status| status.role), Some(Role::Recovering));
        world.crash(leader, Disk::Kept);
        world.run(4_000 * MS);
        // Only one of three voters has durable state. It must not form a majority with a voter that has none.
        assert!(
            world.leader().is_none(),
            "seed {seed}: a leader was elected by a minority with durable state"
        );
        world.restart(leader);
        let took =
            world.run_until(8_000 * MS, |world| world.members_acting_on(Topic::Rules, new_version()) == 5);
        assert!(took.is_some(), "seed {seed}: {}", chaos::describe(&world));
        assert_eq!(world.status(recovering).map(|status| status.role == Role::Recovering), Some(false));
        world.assert_no_violation();
    }
}

/// If all durable state is lost, no voter leads until an operator starts the voters with an initial state.
#[test]
fn cluster_without_any_state_stays_inactive() {
    let mut world = World::empty(1, 5, 3, Timing::default(), NO_MUTANT);
    for ordinal in 0..5 {
        world.start(ordinal, None);
    }
    world.run(30_000 * MS);
    assert!(world.leader().is_none());
    for ordinal in 0..3 {
        world.crash(ordinal, Disk::Lost);
        world.start(ordinal, Some(DurableState::initial()));
    }
    world.run(3_000 * MS);
    assert!(world.leader().is_some());
    world.assert_no_violation();
}

/// A member's old process is only stopped when a new process replaces it. The old lease ends only by time, regardless
/// of what the new process reports, and the old process doesn't act after it resumes.
#[test]
fn stopped_incarnation_keeps_its_lease_until_expiry() {
    for seed in 0..20 {
        let (mut world, _) = cluster_on_old_version(seed, 5, 3, NO_MUTANT);
        let before = world.current_process[4].unwrap_or_default();
        world.stop(4);
        world.start(4, None);
        world.propose(3, Topic::Rules, new_version());
        let took =
            world.run_until(6_000 * MS, |world| world.members_acting_on(Topic::Rules, new_version()) == 5);
        assert!(
            took.is_some_and(|took| took > 300 * MS),
            "seed {seed}: {took:?}: the change did not wait for the old lease"
        );
        world.resume(before);
        world.run(1_000 * MS);
        world.assert_no_violation();
    }
}

/// A member that can't fetch the content of a new version loses its lease, and catches up once it can fetch.
#[test]
fn activates_without_a_member_that_cannot_fetch() {
    for seed in 0..5 {
        let (mut world, leader) = cluster_on_old_version(seed, 7, 3, NO_MUTANT);
        // The member reaches the leader, so that its lease is renewed, but it can't fetch contents from any member.
        world.members_unable_to_fetch.insert(5);
        world.propose(6, Topic::Rules, new_version());
        let took =
            world.run_until(5_000 * MS, |world| world.members_acting_on(Topic::Rules, new_version()) == 6);
        assert!(
            took.is_some_and(|took| took >= 3_000 * MS),
            "seed {seed}: {took:?}: the change did not wait for the prepare time-out"
        );
        world.run(1_500 * MS);
        assert_eq!(world.members_acting_on(Topic::Rules, new_version()), 6, "seed {seed}");
        assert_eq!(
            world.oracle.processes_acting(Topic::Rules, world.now),
            6,
            "seed {seed}: the member without the content holds a lease"
        );
        world.members_unable_to_fetch.clear();
        let took =
            world.run_until(3_000 * MS, |world| world.members_acting_on(Topic::Rules, new_version()) == 7);
        assert!(took.is_some(), "seed {seed}: the member did not catch up");
        assert_eq!(world.leader(), Some(leader));
        world.assert_no_violation();
    }
}
