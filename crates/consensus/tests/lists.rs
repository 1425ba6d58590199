//! The list of members that discovery tells: whoever is told less than others hears so, once.

mod common;

use common::world::{MS, World};
use cottonnotch_consensus::{Input, Mutant, Timing};

fn running(seed: u64) -> World {
    let mut world = World::new(seed, 7, 3, Timing::default(), Mutant::Unmodified);
    world.run(3_000 * MS);
    world
}

#[test]
fn a_member_that_lags_hears_so_once_a_revision() {
    let mut world = running(1);
    for member in 0..7 {
        world.input(member, Input::ListReceived { revision: 10 });
    }
    world.run(2_000 * MS);
    assert_eq!(world.behind, []);
    for member in 0..6 {
        world.input(member, Input::ListReceived { revision: 11 });
    }
    world.run(3_000 * MS);
    assert_eq!(world.behind, [(6, 11)]);
    world.input(6, Input::ListReceived { revision: 11 });
    world.input(0, Input::ListReceived { revision: 12 });
    world.run(2_000 * MS);
    let mut behind = world.behind.split_off(1);
    behind.sort_unstable();
    assert_eq!(behind, (1..7).map(|member| (member, 12)).collect::<Vec<_>>());
}

/// One member whose revisions begin anew doesn't move the others; a majority does.
#[test]
fn revisions_that_begin_anew_count_once_most_members_say_so() {
    let mut world = running(2);
    for member in 0..7 {
        world.input(member, Input::ListReceived { revision: 100 });
    }
    world.run(2_000 * MS);
    world.input(0, Input::ListReceived { revision: 1 });
    world.run(2_000 * MS);
    assert_eq!(world.behind, [], "one alone was believed");
    for member in 1..4 {
        world.input(member, Input::ListReceived { revision: 1 });
    }
    world.run(3_000 * MS);
    let mut behind = std::mem::take(&mut world.behind);
    behind.sort_unstable();
    assert_eq!(behind, [(4, 1), (5, 1), (6, 1)]);
    for member in 4..7 {
        world.input(member, Input::ListReceived { revision: 1 });
    }
    world.run(2_000 * MS);
    // The new epoch goes on as the old one did, also past a change of leader, and for who starts now.
    let leader = world.leader().unwrap();
    world.crash(leader, false);
    world.run(3_000 * MS);
    world.restart(leader);
    world.input(leader, Input::ListReceived { revision: 1 });
    world.run(2_000 * MS);
    assert_eq!(world.behind, []);
    world.input(leader, Input::ListReceived { revision: 2 });
    world.run(3_000 * MS);
    let mut behind = std::mem::take(&mut world.behind);
    behind.sort_unstable();
    assert_eq!(
        behind,
        (0..7).filter(|&member| member != leader).map(|member| (member, 2)).collect::<Vec<_>>()
    );
    world.sound();
}
