//! Random faults in sequence, followed by a recovery phase without faults.

use super::world::{Disk, MS, Net, World};
use super::{content, not_for};
use cottonnotch_consensus::{Mutant, Role, Timing, Topic};
use rand::RngExt;

/// The parameters of a run with random faults.
#[derive(Clone, Debug)]
pub struct Faults {
    pub members: u16,
    pub voters: u16,
    pub drift_ppm: u32,
    pub span: i64,
    /// The number of voters that may be without durable state at the same time.
    pub max_recovering: usize,
    pub net: Net,
    pub mutant: Mutant,
}

impl Faults {
    /// Derives the parameters from the seed. Most runs have few members; some have many.
    pub fn drawn(seed: u64) -> Self {
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
            span: if members > 50 { 4_000 * MS } else { 12_000 * MS },
            max_recovering: usize::from(voters) / 2,
            net: match seed % 5 {
                0 => Net::default(),
                1 => Net { most: 30 * MS, loss: 50, duplicated: 50, ..Net::default() },
                2 => Net { most: 80 * MS, loss: 20, duplicated: 200, ..Net::default() },
                3 => Net { most: 5 * MS, loss: 200, duplicated: 20, ..Net::default() },
                _ => Net { most: 10 * MS, loss: 10, duplicated: 10, ..Net::default() },
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
pub fn any_content(world: &mut World, id: u16) -> cottonnotch_consensus::ContentHash {
    let says = [0; 3].map(|_: u8| world.rng.random_range(0..=2));
    let hash = content(id, says);
    if world.rng.random_range(0..8) == 0 {
        let member = world.rng.random_range(0..world.members);
        return not_for(hash, member);
    }
    hash
}

/// Runs a cluster under random faults and returns it with the faults still in place.
pub fn run_under_faults(seed: u64, faults: &Faults) -> World {
    let mut world = World::new(seed, faults.members, faults.voters, faults.timing(), faults.mutant);
    world.net = faults.net.clone();
    world.run(2_500 * MS);
    let mut id = 0;
    let end = world.now + faults.span;
    while world.now < end && world.oracle.violation.is_none() {
        for _ in 0..world.rng.random_range(1..=3) {
            if world.rng.random_range(0..3) == 0 {
                id += 1;
                let hash = any_content(&mut world, id);
                let topic = if world.rng.random_range(0..4) == 0 { Topic::Settings } else { Topic::Rules };
                let member = world.rng.random_range(0..world.members);
                world.propose(member, topic, hash);
            } else {
                fault(&mut world, faults);
            }
        }
        let span = world.rng.random_range(20 * MS..900 * MS);
        world.run(span);
    }
    world
}

fn recovering(world: &World) -> usize {
    let lost_state = |&&voter: &&u16| match world.status(voter) {
        Some(status) => status.role == Role::Recovering,
        None => world.disks[usize::from(voter)].is_none(),
    };
    world.voters.iter().filter(lost_state).count()
}

fn fault(world: &mut World, faults: &Faults) {
    let voter = world.rng.random_range(0..world.voters.len()) as u16;
    let leader = world.leader().unwrap_or(voter);
    let any = world.rng.random_range(0..world.members);
    // Faults of the leader have the greatest effect, so they are the most frequent.
    let one = match world.rng.random_range(0..4) {
        0 | 1 => leader,
        2 => voter,
        _ => any,
    };
    match world.rng.random_range(0..15) {
        0 => {
            world.cut.insert((one, any));
        }
        1 => {
            world.cut_both(one, any);
        }
        2 => {
            // The process can receive but not send, or send but not receive.
            let hears = world.rng.random_range(0..2) == 0;
            for other in 0..world.members {
                world.cut.insert(if hears { (one, other) } else { (other, one) });
            }
        }
        3 => world.cut_off(one),
        4 => {
            let side: Vec<bool> = (0..world.members).map(|_| world.rng.random_range(0..2) == 0).collect();
            for from in 0..world.members {
                for to in 0..world.members {
                    if side[usize::from(from)] != side[usize::from(to)] {
                        world.cut.insert((from, to));
                    }
                }
            }
        }
        5..7 => world.cut.clear(),
        7 => world.crash(one, Disk::Kept),
        8 => {
            let after = world.rng.random_range(0..6);
            world.crash_midway(one, after);
        }
        9 => {
            let voting = world.voters.contains(&one);
            if !voting || world.disks[usize::from(one)].is_none() || recovering(world) < faults.max_recovering
            {
                world.crash(one, Disk::Lost);
                if world.rng.random_range(0..2) == 0 {
                    world.restart(one);
                }
            }
        }
        10 | 11 => world.stop(one),
        12 => {
            // Starts a new incarnation while the old one is only stopped. This is not done to voters, because only one
            // process can lock a voter's state folder.
            if !world.voters.contains(&any) {
                world.stop(any);
                world.start(any, None);
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

/// Ends all faults. Earlier proposals must finish within `most`, and a new proposal must then come in force at all
/// members within 5 s. Returns how long both took.
pub fn recover(world: &mut World, most: i64) -> Option<(i64, i64)> {
    world.heal();
    world.end_old_incarnations();
    let quiet = |world: &World| {
        let nothing_waits = |&process: &usize| world.processes[process].member.status().proposals == 0;
        let state = world.leader().and_then(|leader| world.status(leader)).and_then(|status| status.state);
        state.is_some_and(|state| state.topics.iter().all(|topic| topic.pending.is_none()))
            && world.at.iter().flatten().all(nothing_waits)
    };
    let settled = world.run_until(most, quiet)?;
    let last = content(u16::MAX, [1, 2, 1]);
    world.propose(world.members - 1, Topic::Rules, last);
    let members = usize::from(world.members);
    let took = world.run_until(5_000 * MS, |world| world.acting_on(Topic::Rules, last) == members)?;
    Some((settled, took))
}

/// Describes the voters' status and the outcomes of the last proposals, for the message of a failed test.
pub fn report(world: &World) -> String {
    let short = |hash: &cottonnotch_consensus::ContentHash| format!("{:x?}", &hash[..6]);
    let over = world.over.iter().rev().take(9);
    let over = over
        .map(|(member, topic, hash, outcome)| format!("\n  {member} {topic:?} {} {outcome:?}", short(hash)));
    let voters = world.voters.iter().filter_map(|&voter| {
        let status = world.status(voter)?;
        let state = status.state?;
        let part = |at: usize| {
            let topic = &state.topics[at];
            let pending = topic.pending.map(|pending| (pending.version.number, pending.phase));
            format!("{:?} {pending:?}", topic.in_force.map(|version| (version.number, short(&version.hash))))
        };
        let (role, revision) = (status.role, status.revision);
        Some(format!("\n  {voter} {role:?} {revision:?} rules {} settings {}", part(0), part(1)))
    });
    format!("leader {:?}{}{}", world.leader(), over.collect::<String>(), voters.collect::<String>())
}
