//! Hard cases by name.

mod common;

use common::scenes::{self, acting, new, old};
use common::world::{MS, World};
use common::{chaos, content};
use cottonnotch_consensus::{DurableState, Mutant, ProposalOutcome, Role, Timing, Topic};

const FAITHFUL: Mutant = Mutant::Unmodified;

#[test]
fn a_leader_stopped_across_a_change_finds_its_right_over() {
    for seed in 0..20 {
        let world = scenes::leader_stopped_across_a_change(seed, FAITHFUL);
        world.sound();
        assert_eq!(world.acting_on(Topic::Rules, old()), 0, "seed {seed}");
    }
}

#[test]
fn a_rival_gets_no_vote_while_the_leader_is_heard() {
    for seed in 0..20 {
        scenes::a_rival_while_the_leader_is_heard(seed, FAITHFUL).sound();
        scenes::a_voter_restarts_under_a_rival(seed, FAITHFUL).sound();
    }
}

#[test]
fn what_a_leader_that_died_granted_is_waited_for() {
    for seed in 0..20 {
        let world = scenes::a_lease_of_a_leader_that_died(seed, FAITHFUL);
        world.sound();
        assert_eq!(world.acting_on(Topic::Rules, new()), 3, "seed {seed}");
    }
}

#[test]
fn what_a_voter_helped_agree_and_forgot_is_not_undone() {
    for seed in 0..20 {
        let mut world = scenes::a_voter_forgets_what_it_helped_agree(seed, FAITHFUL);
        world.sound();
        // Only the one that died knows: without it, nothing is decided.
        assert_eq!(world.oracle.greatest[0], 2, "seed {seed}");
        world.heal();
        let last = content(3, [1, 1, 1]);
        let took = world.run_until(8_000 * MS, |world| world.acting_on(Topic::Rules, last) == 5);
        assert!(took.is_some(), "seed {seed}: {}", chaos::report(&world));
        assert_eq!(world.oracle.greatest[0], 3, "seed {seed}");
        world.sound();
    }
}

/// Killed at each of many moments from the proposal to the effect: whatever the phase, the proposal is in force in the end,
/// as its proposer asks again, and is so once.
#[test]
fn a_leader_killed_between_proposal_and_effect_loses_nothing() {
    for (seed, after) in (0..60).map(|step| (step, step as u32 * 2)) {
        let (mut world, leader) = acting(seed, 5, 3, FAITHFUL);
        world.crash_midway(leader, after);
        world.propose(4, Topic::Rules, new());
        let rest = |world: &World| world.acting_on(Topic::Rules, new()) >= 4;
        let took = world.run_until(10_000 * MS, rest);
        assert!(took.is_some(), "seed {seed}: killed after {after} outputs: {}", chaos::report(&world));
        world.run(500 * MS);
        let over = world
            .over
            .iter()
            .filter(|over| (over.0, over.2, over.3) == (4, new(), ProposalOutcome::InForce))
            .count();
        assert_eq!(over, 1, "seed {seed}");
        assert_eq!(world.oracle.greatest[0], 2, "seed {seed}: it got a second number");
        world.heal();
        world.run(3_000 * MS);
        assert_eq!(world.acting_on(Topic::Rules, new()), 5, "seed {seed}");
        world.sound();
    }
}

#[test]
fn with_a_majority_gone_nothing_is_decided_and_all_leases_end() {
    for seed in 0..10 {
        let (mut world, leader) = acting(seed, 7, 3, FAITHFUL);
        let follower = world.voters.iter().copied().find(|&voter| voter != leader).unwrap_or_default();
        world.crash(follower, false);
        let third = 3 - leader - follower;
        world.crash(third, false);
        world.propose(5, Topic::Rules, new());
        // The leader's authority ends, then the last lease it granted.
        world.run(500 * MS + 1_200 * MS);
        assert_eq!(
            world.oracle.acting(Topic::Rules, world.now),
            0,
            "seed {seed}: a lease outlives the majority"
        );
        world.run(5_000 * MS);
        assert!(world.leader().is_none(), "seed {seed}");
        assert_eq!(world.oracle.greatest[0], 1, "seed {seed}: decided by a minority");
        world.heal();
        let back = world.run_until(5_000 * MS, |world| world.acting_on(Topic::Rules, new()) == 7);
        assert!(back.is_some(), "seed {seed}: not in force once all are back");
        world.sound();
    }
}

#[test]
fn a_voter_that_hears_but_is_not_heard_harms_nobody() {
    for seed in 0..10 {
        let (mut world, leader) = acting(seed, 5, 3, FAITHFUL);
        // First a follower, then the leader itself.
        for mute in [(leader + 1) % 3, leader] {
            let before = world.oracle.greatest[0];
            for other in 0..5 {
                world.cut.insert((mute, other));
            }
            let hash = content(10 + mute, [before as u8 % 2 + 1, 0, 0]);
            world.propose(4, Topic::Rules, hash);
            let took = world.run_until(6_000 * MS, |world| world.acting_on(Topic::Rules, hash) >= 4);
            assert!(took.is_some(), "seed {seed}: {mute} mute: {}", chaos::report(&world));
            world.cut.clear();
            let took = world.run_until(4_000 * MS, |world| world.acting_on(Topic::Rules, hash) == 5);
            assert!(took.is_some(), "seed {seed}: {mute} heard again: {}", chaos::report(&world));
        }
        world.sound();
    }
}

/// A voter that hears nobody asks for votes in vain, and its term doesn't depose the leader when it hears again.
#[test]
fn a_voter_that_is_heard_but_hears_nobody_does_not_depose_the_leader() {
    for seed in 0..10 {
        let (mut world, leader) = acting(seed, 5, 3, FAITHFUL);
        let term = world.status(leader).map(|status| status.term);
        let deaf = (leader + 1) % 3;
        for other in 0..5 {
            world.cut.insert((other, deaf));
        }
        world.run(5_000 * MS);
        world.cut.clear();
        world.run(2_000 * MS);
        assert_eq!(world.leader(), Some(leader), "seed {seed}");
        assert_eq!(world.status(leader).map(|status| status.term), term, "seed {seed}");
        world.sound();
    }
}

/// Each voter has lost its neighbours in a ring: with five, each still hears two others and is heard by them.
#[test]
fn a_ring_of_cuts_leaves_five_voters_a_leader() {
    for seed in 0..10 {
        let (mut world, _) = acting(seed, 8, 5, FAITHFUL);
        for voter in 0..5 {
            world.cut_both(voter, (voter + 1) % 5);
        }
        world.propose(7, Topic::Rules, new());
        let took = world.run_until(20_000 * MS, |world| world.acting_on(Topic::Rules, new()) >= 6);
        assert!(took.is_some(), "seed {seed}: {}", chaos::report(&world));
        world.cut.clear();
        let took = world.run_until(5_000 * MS, |world| world.acting_on(Topic::Rules, new()) == 8);
        assert!(took.is_some(), "seed {seed}: {}", chaos::report(&world));
        world.sound();
    }
}

/// With three, cut one way round, no two voters both hear and are heard: nobody leads, all leases end.
#[test]
fn a_ring_of_one_way_cuts_leaves_three_voters_nothing() {
    for seed in 0..10 {
        let (mut world, _) = acting(seed, 5, 3, FAITHFUL);
        for voter in 0..3 {
            world.cut.insert((voter, (voter + 1) % 3));
        }
        world.propose(4, Topic::Rules, new());
        world.run(3_000 * MS);
        assert_eq!(world.oracle.acting(Topic::Rules, world.now), 0, "seed {seed}");
        world.cut.clear();
        let took = world.run_until(6_000 * MS, |world| world.acting_on(Topic::Rules, new()) == 5);
        assert!(took.is_some(), "seed {seed}: {}", chaos::report(&world));
        world.sound();
    }
}

#[test]
fn two_proposals_at_one_moment_come_in_force_one_after_the_other() {
    for seed in 0..20 {
        let (mut world, _) = acting(seed, 7, 3, FAITHFUL);
        let other = content(3, [0, 1, 0]);
        world.propose(5, Topic::Rules, new());
        world.propose(6, Topic::Rules, other);
        world.run(2_000 * MS);
        let mut over = world.over.split_off(1);
        over.sort_by_key(|over| over.0);
        assert_eq!(
            over,
            [
                (5, Topic::Rules, new(), ProposalOutcome::InForce),
                (6, Topic::Rules, other, ProposalOutcome::InForce)
            ]
        );
        assert_eq!(world.oracle.greatest[0], 3, "seed {seed}");
        world.sound();
    }
}

/// A follower that lost its disk abstains, then helps again; the leader dies meanwhile and nothing is forgotten.
#[test]
fn a_voter_without_memory_learns_before_it_votes() {
    for seed in 0..20 {
        let (mut world, leader) = acting(seed, 5, 3, FAITHFUL);
        let forgetful = (leader + 1) % 3;
        world.crash(forgetful, true);
        world.restart(forgetful);
        world.propose(4, Topic::Rules, new());
        world.run(1_000 * MS);
        assert_eq!(world.status(forgetful).map(|status| status.role), Some(Role::Recovering));
        world.crash(leader, false);
        world.run(4_000 * MS);
        // One voter of three has a memory: it must not decide with one that has none.
        assert!(world.leader().is_none(), "seed {seed}: led by a minority that remembers");
        world.restart(leader);
        let took = world.run_until(8_000 * MS, |world| world.acting_on(Topic::Rules, new()) == 5);
        assert!(took.is_some(), "seed {seed}: {}", chaos::report(&world));
        assert_eq!(world.status(forgetful).map(|status| status.role == Role::Recovering), Some(false));
        world.sound();
    }
}

/// All memory gone: without the operator's word nothing begins anew.
#[test]
fn a_cluster_that_forgot_everything_waits_for_the_operator() {
    let mut world = World::empty(1, 5, 3, Timing::default(), FAITHFUL);
    for ordinal in 0..5 {
        world.start(ordinal, None);
    }
    world.run(30_000 * MS);
    assert!(world.leader().is_none());
    for ordinal in 0..3 {
        world.crash(ordinal, true);
        world.start(ordinal, Some(DurableState::initial()));
    }
    world.run(3_000 * MS);
    assert!(world.leader().is_some());
    world.sound();
}

/// The old process of a member is only stopped when a new one takes its place: its lease ends by time, not by the new one's
/// word, and once it goes on it doesn't act.
#[test]
fn an_old_life_that_was_only_stopped_keeps_its_lease_till_it_ends() {
    for seed in 0..20 {
        let (mut world, _) = acting(seed, 5, 3, FAITHFUL);
        let before = world.at[4].unwrap_or_default();
        world.stop(4);
        world.start(4, None);
        world.propose(3, Topic::Rules, new());
        let took = world.run_until(6_000 * MS, |world| world.acting_on(Topic::Rules, new()) == 5);
        assert!(took.is_some_and(|took| took > 300 * MS), "seed {seed}: {took:?}: not waited for");
        world.go_on(before);
        world.run(1_000 * MS);
        world.sound();
    }
}

/// A member that can't get the content is left behind, in doubt, and catches up once it can.
#[test]
fn a_member_that_cannot_get_the_content_is_left_behind() {
    for seed in 0..5 {
        let (mut world, leader) = acting(seed, 7, 3, FAITHFUL);
        // It hears the leader only, which lets it renew; contents come from nobody.
        world.fetch_fails.insert(5);
        world.propose(6, Topic::Rules, new());
        let took = world.run_until(5_000 * MS, |world| world.acting_on(Topic::Rules, new()) == 6);
        assert!(took.is_some_and(|took| took >= 3_000 * MS), "seed {seed}: {took:?}: prepare time not given");
        world.run(1_500 * MS);
        assert_eq!(world.acting_on(Topic::Rules, new()), 6, "seed {seed}");
        assert_eq!(world.oracle.acting(Topic::Rules, world.now), 6, "seed {seed}: it acts on something");
        world.fetch_fails.clear();
        let took = world.run_until(3_000 * MS, |world| world.acting_on(Topic::Rules, new()) == 7);
        assert!(took.is_some(), "seed {seed}: didn't catch up");
        assert_eq!(world.leader(), Some(leader));
        world.sound();
    }
}
