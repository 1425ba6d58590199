//! Random faults, one after another; then everything heals.

use super::world::{MS, Net, World};
use super::{content, not_for};
use cottonnotch_consensus::{Mutant, Role, Timing, Topic};
use rand::RngExt;

/// What may go wrong.
#[derive(Clone, Debug)]
pub struct Faults {
    pub members: u16,
    pub voters: u16,
    pub drift_ppm: u32,
    pub span: i64,
    /// Voters that may have no memory at one time.
    pub forgets: usize,
    pub net: Net,
    pub mutant: Mutant,
}

impl Faults {
    /// Drawn from the seed: mostly few members, now and then many.
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
            forgets: usize::from(voters) / 2,
            net: match seed % 5 {
                0 => Net::default(),
                1 => Net { most: 30 * MS, loss: 50, doubled: 50, ..Net::default() },
                2 => Net { most: 80 * MS, loss: 20, doubled: 200, ..Net::default() },
                3 => Net { most: 5 * MS, loss: 200, doubled: 20, ..Net::default() },
                _ => Net { most: 10 * MS, loss: 10, doubled: 10, ..Net::default() },
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

/// A content drawn at random; half of them contradict a given other.
pub fn any_content(world: &mut World, id: u16) -> cottonnotch_consensus::ContentHash {
    let says = [0; 3].map(|_: u8| world.chance.random_range(0..=2));
    let hash = content(id, says);
    if world.chance.random_range(0..8) == 0 {
        let member = world.chance.random_range(0..world.members);
        return not_for(hash, member);
    }
    hash
}

/// Runs under faults; the world as it is then, not healed.
pub fn storm(seed: u64, faults: &Faults) -> World {
    let mut world = World::new(seed, faults.members, faults.voters, faults.timing(), faults.mutant);
    world.net = faults.net.clone();
    world.run(2_500 * MS);
    let mut id = 0;
    let end = world.now + faults.span;
    while world.now < end && world.oracle.violation.is_none() {
        for _ in 0..world.chance.random_range(1..=3) {
            if world.chance.random_range(0..3) == 0 {
                id += 1;
                let hash = any_content(&mut world, id);
                let topic = if world.chance.random_range(0..4) == 0 { Topic::Settings } else { Topic::Rules };
                let member = world.chance.random_range(0..world.members);
                world.propose(member, topic, hash);
            } else {
                fault(&mut world, faults);
            }
        }
        let span = world.chance.random_range(20 * MS..900 * MS);
        world.run(span);
    }
    world
}

fn forgetful(world: &World) -> usize {
    let forgot = |&&voter: &&u16| match world.status(voter) {
        Some(status) => status.role == Role::Recovering,
        None => world.disks[usize::from(voter)].is_none(),
    };
    world.voters.iter().filter(forgot).count()
}

fn fault(world: &mut World, faults: &Faults) {
    let voter = world.chance.random_range(0..world.voters.len()) as u16;
    let leader = world.leader().unwrap_or(voter);
    let any = world.chance.random_range(0..world.members);
    // Faults of the leader are the ones that matter most.
    let one = match world.chance.random_range(0..4) {
        0 | 1 => leader,
        2 => voter,
        _ => any,
    };
    match world.chance.random_range(0..15) {
        0 => {
            world.cut.insert((one, any));
        }
        1 => {
            world.cut_both(one, any);
        }
        2 => {
            // Hears, but isn't heard; or the other way round.
            let hears = world.chance.random_range(0..2) == 0;
            for other in 0..world.members {
                world.cut.insert(if hears { (one, other) } else { (other, one) });
            }
        }
        3 => world.cut_off(one),
        4 => {
            let side: Vec<bool> = (0..world.members).map(|_| world.chance.random_range(0..2) == 0).collect();
            for from in 0..world.members {
                for to in 0..world.members {
                    if side[usize::from(from)] != side[usize::from(to)] {
                        world.cut.insert((from, to));
                    }
                }
            }
        }
        5..7 => world.cut.clear(),
        7 => world.crash(one, false),
        8 => {
            let after = world.chance.random_range(0..6);
            world.crash_midway(one, after);
        }
        9 => {
            let voting = world.voters.contains(&one);
            if !voting || world.disks[usize::from(one)].is_none() || forgetful(world) < faults.forgets {
                world.crash(one, true);
                if world.chance.random_range(0..2) == 0 {
                    world.restart(one);
                }
            }
        }
        10 | 11 => world.stop(one),
        12 => {
            // A new life while the old one is only stopped. Voters' memory has one process at a time, by a lock.
            if !world.voters.contains(&any) {
                world.stop(any);
                world.start(any, None);
            }
        }
        13 => {
            for process in 0..world.processes.len() {
                world.go_on(process);
            }
        }
        _ => {
            for ordinal in 0..world.members {
                world.restart(ordinal);
            }
        }
    }
}

/// Everything heals. What was proposed before must be over within `most`, and a new proposal in force everywhere soon after;
/// how long both took.
pub fn comes_back(world: &mut World, most: i64) -> Option<(i64, i64)> {
    world.heal();
    world.end_old_lives();
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

/// What the voters say of themselves, and how the last proposals ended.
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
