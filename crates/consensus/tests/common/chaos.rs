//! Random faults in sequence, followed by a recovery phase without faults.

use super::world::{Disk, MS, Net, World};
use super::{content, unsupported_by};
use cottonnotch_consensus::{Mutant, Role, Timing, Topic};
use rand::RngExt;

/// The parameters of a run with random faults.
#[derive(Clone, Debug)]
pub struct Faults {
    pub members: u16,
    pub voters: u16,
    pub drift_ppm: u32,
    pub duration: i64,
    /// The number of voters that may be without durable state at the same time.
    pub max_recovering: usize,
    pub net: Net,
    pub mutant: Mutant,
}

impl Faults {
    /// Derives the parameters from the seed. Most runs have few members; some have many.
    pub fn from_seed(seed: u64) -> Self {
        let members = match seed % 50 {
            0 => 300,
            1..4 => 60,
            4..10 => 20,
            _ => 5 + (seed % 7) as u16,
        };
        let voters = if seed.is_multiple_of(3) { 5 } else { 3 };
        Self {
            members,
            voters,
            drift_ppm: if seed % 4 == 1 { 100_000 } else { 1_000 },
            duration: if members > 50 { 4_000 * MS } else { 12_000 * MS },
            max_recovering: usize::from(voters) / 2,
            net: match seed % 5 {
                0 => Net::default(),
                1 => Net { max_delay: 30 * MS, loss_permille: 50, duplicated_permille: 50, ..Net::default() },
                2 => {
                    Net { max_delay: 80 * MS, loss_permille: 20, duplicated_permille: 200, ..Net::default() }
                }
                3 => Net { max_delay: 5 * MS, loss_permille: 200, duplicated_permille: 20, ..Net::default() },
                _ => Net { max_delay: 10 * MS, loss_permille: 10, duplicated_permille: 10, ..Net::default() },
            },
            mutant: Mutant::Unmodified,
        }
    }

    pub fn timing(&self) -> Timing {
        let timing = Timing { drift_ppm: self.drift_ppm, contradiction: 3_000_000, ..Timing::default() };
        timing.check().unwrap();
        timing
    }
}

/// Returns a random content with three random answers. About half of these contents are incompatible with a given other
/// one. Every eighth content, on average, can't run at one member.
pub fn random_content(world: &mut World, id: u16) -> cottonnotch_consensus::ContentHash {
    let answers = [0; 3].map(|_: u8| world.rng.random_range(0..=2));
    let hash = content(id, answers);
    if world.rng.random_range(0..8) == 0 {
        let member = world.rng.random_range(0..world.members);
        return unsupported_by(hash, member);
    }
    hash
}

/// Runs a cluster under random faults and returns it with the faults still in place.
pub fn run_under_faults(seed: u64, faults: &Faults) -> World {
    let mut world = World::new(seed, faults.members, faults.voters, faults.timing(), faults.mutant);
    world.net = faults.net.clone();
    world.run(2_500 * MS);
    let mut id = 0;
    let end = world.now + faults.duration;
    while world.now < end && world.oracle.violation.is_none() {
        for _ in 0..world.rng.random_range(1..=3) {
            if world.rng.random_range(0..3) == 0 {
                id += 1;
                let hash = random_content(&mut world, id);
                let topic = if world.rng.random_range(0..4) == 0 { Topic::Settings } else { Topic::Rules };
                let member = world.rng.random_range(0..world.members);
                world.propose(member, topic, hash);
            } else {
                inject_fault(&mut world, faults);
            }
        }
        let duration = world.rng.random_range(20 * MS..900 * MS);
        world.run(duration);
    }
    world
}

fn count_recovering(world: &World) -> usize {
    let is_without_state = |&&voter: &&u16| match world.status(voter) {
        Some(status) => status.role == Role::Recovering,
        None => world.disks[usize::from(voter)].is_none(),
    };
    world.voters.iter().filter(is_without_state).count()
}

fn inject_fault(world: &mut World, faults: &Faults) {
    let voter = world.rng.random_range(0..world.voters.len()) as u16;
    let leader = world.leader().unwrap_or(voter);
    let any_member = world.rng.random_range(0..world.members);
    // Faults of the leader have the greatest effect, so they are the most frequent.
    let target = match world.rng.random_range(0..4) {
        0 | 1 => leader,
        2 => voter,
        _ => any_member,
    };
    match world.rng.random_range(0..15) {
        0 => {
            world.cut_links.insert((target, any_member));
        }
        1 => {
            world.cut_both_directions(target, any_member);
        }
        2 => {
            // The process can receive but not send, or send but not receive.
            let can_receive = world.rng.random_range(0..2) == 0;
            for other in 0..world.members {
                world.cut_links.insert(if can_receive { (target, other) } else { (other, target) });
            }
        }
        3 => world.isolate(target),
        4 => {
            let is_in_first_part: Vec<bool> =
                (0..world.members).map(|_| world.rng.random_range(0..2) == 0).collect();
            for from in 0..world.members {
                for to in 0..world.members {
                    if is_in_first_part[usize::from(from)] != is_in_first_part[usize::from(to)] {
                        world.cut_links.insert((from, to));
                    }
                }
            }
        }
        5..7 => world.cut_links.clear(),
        7 => world.crash(target, Disk::Kept),
        8 => {
            let output_count = world.rng.random_range(0..6);
            world.crash_after_outputs(target, output_count);
        }
        9 => {
            let is_voter = world.voters.contains(&target);
            if !is_voter
                || world.disks[usize::from(target)].is_none()
                || count_recovering(world) < faults.max_recovering
            {
                world.crash(target, Disk::Lost);
                if world.rng.random_range(0..2) == 0 {
                    world.restart(target);
                }
            }
        }
        10 | 11 => world.stop(target),
        12 => {
            // Starts a new incarnation while the old one is only stopped. This is not done to voters, because only one
            // process can lock a voter's state folder.
            if !world.voters.contains(&any_member) {
                world.stop(any_member);
                world.start(any_member, None);
            }
        }
        13 => {
            for process in 0..world.processes.len() {
                world.resume(process);
            }
        }
        _ => {
            for ordinal in 0..world.members {
                world.restart(ordinal);
            }
        }
    }
}

/// Ends all faults. Earlier proposals must finish within `timeout`, and a new proposal must then come in force at all
/// members within 5 s. Returns how long both took.
pub fn recover(world: &mut World, timeout: i64) -> Option<(i64, i64)> {
    world.end_faults();
    world.end_old_incarnations();
    let is_finished = |world: &World| {
        let has_no_proposals = |&process: &usize| world.processes[process].member.status().proposals == 0;
        let state = world.leader().and_then(|leader| world.status(leader)).and_then(|status| status.state);
        state.is_some_and(|state| state.topics.iter().all(|topic| topic.pending.is_none()))
            && world.current_process.iter().flatten().all(has_no_proposals)
    };
    let finished_after = world.run_until(timeout, is_finished)?;
    let last = content(u16::MAX, [1, 2, 1]);
    world.propose(world.members - 1, Topic::Rules, last);
    let members = usize::from(world.members);
    let took = world.run_until(5_000 * MS, |world| world.members_acting_on(Topic::Rules, last) == members)?;
    Some((finished_after, took))
}

/// Describes the voters' status and the outcomes of the last proposals, for the message of a failed test.
pub fn describe(world: &World) -> String {
    let short_hash = |hash: &cottonnotch_consensus::ContentHash| format!("{:x?}", &hash[..6]);
    let finished = world.finished_proposals.iter().rev().take(9);
    let outcomes = finished.map(|(member, topic, hash, outcome)| {
        format!("\n  {member} {topic:?} {} {outcome:?}", short_hash(hash))
    });
    let voters = world.voters.iter().filter_map(|&voter| {
        let status = world.status(voter)?;
        let state = status.state?;
        let describe_topic = |index: usize| {
            let topic = &state.topics[index];
            let pending = topic.pending.map(|pending| (pending.version.number, pending.phase));
            format!(
                "{:?} {pending:?}",
                topic.in_force.map(|version| (version.number, short_hash(&version.hash)))
            )
        };
        let (role, revision) = (status.role, status.revision);
        Some(format!(
            "\n  {voter} {role:?} {revision:?} rules {} settings {}",
            describe_topic(0),
            describe_topic(1)
        ))
    });
    format!("leader {:?}{}{}", world.leader(), outcomes.collect::<String>(), voters.collect::<String>())
}
