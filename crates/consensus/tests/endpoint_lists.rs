//! Tests of endpoint lists: a member whose list is older than that of other members is notified once.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod common;

use common::world::{Disk, MS, World};
use cottonnotch_consensus::{Input, Mutant, Timing};

fn running_cluster(seed: u64) -> World {
    let mut world = World::new(seed, 7, 3, Timing::default(), Mutant::Unmodified);
    world.run(3_000 * MS);
    world
}

#[test]
fn notifies_outdated_member_once_a_revision() {
    let mut world = running_cluster(1);
    for member in 0..7 {
        world.input(member, Input::ListReceived { revision: 10 });
    }
    world.run(2_000 * MS);
    assert_eq!(world.outdated_lists, []);
    for member in 0..6 {
        world.input(member, Input::ListReceived { revision: 11 });
    }
    world.run(3_000 * MS);
    assert_eq!(world.outdated_lists, [(6, 11)]);
    world.input(6, Input::ListReceived { revision: 11 });
    world.input(0, Input::ListReceived { revision: 12 });
    world.run(2_000 * MS);
    let mut outdated = world.outdated_lists.split_off(1);
    outdated.sort_unstable();
    assert_eq!(outdated, (1..7).map(|member| (member, 12)).collect::<Vec<_>>());
}

/// A single member whose revisions restart doesn't affect the others. The new epoch is accepted once a majority of the
/// members is in it.
#[test]
fn new_epoch_counts_once_most_members_are_in_it() {
    let mut world = running_cluster(2);
    for member in 0..7 {
        world.input(member, Input::ListReceived { revision: 100 });
    }
    world.run(2_000 * MS);
    world.input(0, Input::ListReceived { revision: 1 });
    world.run(2_000 * MS);
    assert_eq!(world.outdated_lists, [], "the new epoch of a single member was accepted");
    for member in 1..4 {
        world.input(member, Input::ListReceived { revision: 1 });
    }
    world.run(3_000 * MS);
    let mut outdated = std::mem::take(&mut world.outdated_lists);
    outdated.sort_unstable();
    assert_eq!(outdated, [(4, 1), (5, 1), (6, 1)]);
    for member in 4..7 {
        world.input(member, Input::ListReceived { revision: 1 });
    }
    world.run(2_000 * MS);
    // The new epoch works like the old one, also after a change of leader and for a member that starts later.
    let leader = world.leader().unwrap();
    world.crash(leader, Disk::Kept);
    world.run(3_000 * MS);
    world.restart(leader);
    world.input(leader, Input::ListReceived { revision: 1 });
    world.run(2_000 * MS);
    assert_eq!(world.outdated_lists, []);
    world.input(leader, Input::ListReceived { revision: 2 });
    world.run(3_000 * MS);
    let mut outdated = std::mem::take(&mut world.outdated_lists);
    outdated.sort_unstable();
    assert_eq!(
        outdated,
        (0..7).filter(|&member| member != leader).map(|member| (member, 2)).collect::<Vec<_>>()
    );
    world.assert_no_violation();
}
