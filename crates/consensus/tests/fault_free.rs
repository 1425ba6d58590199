//! Tests without faults: proposals soon come in force at all members.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod common;

use common::world::{MS, World};
use common::{content, rejected, unsupported_by};
use cottonnotch_consensus::{Mutant, ProposalOutcome, Timing, Topic};

fn cluster_with_leader(seed: u64, members: u16) -> World {
    let mut world = World::new(seed, members, 3, Timing::default(), Mutant::Unmodified);
    world.run(5_000 * MS);
    assert!(world.leader().is_some(), "seed {seed}: no voter leads");
    world
}

#[test]
fn activates_proposal_at_all_members() {
    for seed in 0..10 {
        let mut world = cluster_with_leader(seed, 7);
        let first = content(1, [1, 0, 0]);
        world.propose(5, Topic::Rules, first);
        let took = world.run_until(1_000 * MS, |world| world.members_acting_on(Topic::Rules, first) == 7);
        assert!(took.is_some(), "seed {seed}: the first version is not in force at all members");
        let second = content(2, [2, 0, 0]);
        world.propose(6, Topic::Rules, second);
        let took = world.run_until(1_000 * MS, |world| world.members_acting_on(Topic::Rules, second) == 7);
        assert!(took.is_some(), "seed {seed}: the incompatible version is not in force at all members");
        world.run(1_000 * MS);
        assert_eq!(
            world.finished_proposals,
            [
                (5, Topic::Rules, first, ProposalOutcome::InForce),
                (6, Topic::Rules, second, ProposalOutcome::InForce)
            ],
            "seed {seed}"
        );
        world.assert_no_violation();
    }
}

#[test]
fn drops_unsupported_and_rejected_proposals() {
    let mut world = cluster_with_leader(1, 7);
    let unsupported = unsupported_by(content(1, [1, 0, 0]), 4);
    world.propose(5, Topic::Rules, unsupported);
    world.run(1_000 * MS);
    let rejected_by_leader = rejected(content(2, [1, 0, 0]));
    world.propose(3, Topic::Rules, rejected_by_leader);
    world.run(1_000 * MS);
    assert_eq!(
        world.finished_proposals,
        [
            (5, Topic::Rules, unsupported, ProposalOutcome::Unsupported),
            (3, Topic::Rules, rejected_by_leader, ProposalOutcome::Rejected)
        ]
    );
    assert_eq!(world.oracle.greatest_numbers, [0, 0]);
    world.assert_no_violation();
}
