//! Hand-written scenarios. Each passes with the unmodified code and fails with the mutant that it targets.

use super::content;
use super::world::{Disk, MS, World};
use cottonnotch_consensus::{ContentHash, Mutant, Timing, Topic};
use rand::RngExt;

pub const OLD_ANSWER: u8 = 1;
pub const NEW_ANSWER: u8 = 2;

pub fn old_version() -> ContentHash {
    content(1, [OLD_ANSWER, 0, 0])
}

pub fn new_version() -> ContentHash {
    content(2, [NEW_ANSWER, 0, 0])
}

/// Returns a cluster in which all members act on the old version, and its leader.
pub fn cluster_on_old_version(seed: u64, members: u16, voters: u16, mutant: Mutant) -> (World, u16) {
    let mut world = World::new(seed, members, voters, Timing::default(), mutant);
    let member_count = usize::from(members);
    world.run(3_000 * MS);
    world.propose(members - 1, Topic::Rules, old_version());
    let took = world
        .run_until(3_000 * MS, |world| world.members_acting_on(Topic::Rules, old_version()) == member_count);
    assert!(took.is_some(), "seed {seed}: the first version did not come in force");
    let duration = world.rng.random_range(MS..600 * MS);
    world.run(duration);
    let Some(leader) = world.leader() else { panic!("seed {seed}: no voter leads") };
    (world, leader)
}

fn other_voters(world: &World, excluded: u16) -> Vec<u16> {
    world.voters.iter().copied().filter(|&voter| voter != excluded).collect()
}

/// The leader is stopped, the other members put a new version in force, and the old leader resumes while it is cut off
/// from all members.
pub fn leader_stopped_during_a_change(seed: u64, mutant: Mutant) -> World {
    let (mut world, leader) = cluster_on_old_version(seed, 5, 3, mutant);
    let process = world.current_process[usize::from(leader)].unwrap_or_default();
    world.stop(leader);
    world.propose(4, Topic::Rules, new_version());
    let took = world.run_until(6_000 * MS, |world| world.members_acting_on(Topic::Rules, new_version()) == 4);
    assert!(
        took.is_some() || world.oracle.violation.is_some(),
        "seed {seed}: the other members did not activate the new version"
    );
    world.isolate(leader);
    world.resume(process);
    world.run(3_000 * MS);
    world
}

/// One voter doesn't hear the leader and requests votes. A voter that grants its vote breaks its promise to the leader,
/// which is then cut off and acts for as long as its authority lasts.
pub fn rival_while_leader_is_heard(seed: u64, mutant: Mutant) -> World {
    let (mut world, leader) = cluster_on_old_version(seed, 5, 3, mutant);
    let others = other_voters(&world, leader);
    let rival = others[world.rng.random_range(0..2)];
    world.cut_both_directions(leader, rival);
    world.propose(4, Topic::Rules, new_version());
    world.cut_both_directions(4, leader);
    let rival_won = |world: &World| world.status(rival).is_some_and(|status| status.elections_won > 0);
    // The rival never wins while voters keep their promises.
    if world.run_until(2_000 * MS, rival_won).is_some() {
        world.isolate(leader);
    }
    world.run(4_000 * MS);
    world
}

/// Like `rival_while_leader_is_heard`, but the other voter keeps its promise until it restarts.
pub fn voter_restart_under_a_rival(seed: u64, mutant: Mutant) -> World {
    let (mut world, leader) = cluster_on_old_version(seed, 5, 3, mutant);
    let others = other_voters(&world, leader);
    let (rival, voter) = (others[0], others[1]);
    world.cut_both_directions(leader, rival);
    world.propose(4, Topic::Rules, new_version());
    world.cut_both_directions(4, leader);
    let duration = world.rng.random_range(400 * MS..1_500 * MS);
    world.run(duration);
    world.crash(voter, Disk::Kept);
    world.isolate(leader);
    world.restart(voter);
    world.run(4_000 * MS);
    world
}

/// A member is stopped and the leader crashes at the same moment, so that the next leader doesn't know the lease of
/// that member.
pub fn lease_of_a_crashed_leader(seed: u64, mutant: Mutant) -> World {
    let (mut world, leader) = cluster_on_old_version(seed, 5, 3, mutant);
    world.stop(3);
    world.crash(leader, Disk::Kept);
    world.propose(4, Topic::Rules, new_version());
    world.run(4_000 * MS);
    world
}

/// A voter loses its disk right after it helped to commit a change. The other voter that committed the change crashes,
/// and the third voter doesn't know of the change.
pub fn voter_loses_committed_state(seed: u64, mutant: Mutant) -> World {
    let (mut world, leader) = cluster_on_old_version(seed, 5, 3, mutant);
    let others = other_voters(&world, leader);
    let (recovering, uninformed) = (others[0], others[1]);
    world.isolate(uninformed);
    world.propose(4, Topic::Rules, new_version());
    world.run_until(3_000 * MS, |world| world.members_acting_on(Topic::Rules, new_version()) >= 4);
    world.crash(leader, Disk::Kept);
    world.crash(recovering, Disk::Lost);
    world.cut_links.clear();
    world.restart(recovering);
    world.run(1_000 * MS);
    world.propose(3, Topic::Rules, content(3, [1, 1, 1]));
    world.run(4_000 * MS);
    world
}
