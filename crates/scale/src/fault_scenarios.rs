//! The bad days at the size that is coming, on virtual time: each a script, judged from its records alone.

use crate::counters::Counts;
use crate::fault::{Fault, MS, S};
use crate::judge::{Verdict, judge};
use crate::shape::{Shape, ZONES};
use crate::virtual_time::VirtualFleet;
use cottonnotch_decision::Micros;
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// What a play showed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultResult {
    /// What happened.
    pub fault: Fault,
    /// The sizes.
    pub shape: Shape,
    /// Virtual seconds that were judged.
    pub seconds: f64,
    /// What the records say.
    pub verdict: Verdict,
    /// Control bytes both ways a second, of a member: mean.
    pub bytes: f64,
    /// ... and the most of one over the whole time.
    pub bytes_max: f64,
    /// Microseconds of processor time a virtual second and member, without the system's calls; the member's set-ups included.
    pub cpu_us: f64,
    /// Members that ran at the end.
    pub running: usize,
    /// Members in the mean view at the end, of those that run.
    pub view_members: f64,
    /// Requests refused or failed.
    pub refused: u64,
    /// Real seconds that it took.
    pub took_s: f64,
}

fn cpu() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// Plays one.
pub fn play(shape: &Shape, fault: Fault) -> FaultResult {
    let real = cpu();
    let mut world = VirtualFleet::new(shape);
    world.run(20 * S);
    // The first content: without one there is nothing to contradict.
    world.propose(1, 1, 1);
    world.run(15 * S);
    let (from, before, began) = (world.now, total_counters(&mut world), cpu());
    script(&mut world, shape, fault);
    let seconds = (world.now - from) as f64 / 1e6;
    let cpu_us = (cpu() - began) * 1e6 / seconds / f64::from(shape.members);
    let after = total_counters(&mut world);
    let counts = after.iter().zip(&before).map(|(after, before)| after.since(before));
    let bytes: Vec<f64> = counts.map(|counts| counts.control().bytes as f64 / seconds).collect();
    let refused = after.iter().map(|counts| counts.refused).sum();
    let running = world.running();
    let views = running.iter().filter_map(|member| world.member(*member)?.fleet_view());
    let views: Vec<f64> = views.map(|(members, ..)| f64::from(members)).collect();
    FaultResult {
        fault,
        shape: shape.clone(),
        seconds,
        verdict: judge(&world.records, world.now),
        bytes: bytes.iter().sum::<f64>() / bytes.len() as f64,
        bytes_max: bytes.iter().copied().fold(0.0, f64::max),
        cpu_us,
        running: running.len(),
        view_members: views.iter().sum::<f64>() / views.len().max(1) as f64,
        refused,
        took_s: cpu() - real,
    }
}

fn total_counters(world: &mut VirtualFleet) -> Vec<Counts> {
    let sum = |lives: Vec<Counts>| lives.into_iter().fold(Counts::default(), |sum, life| sum.and(&life));
    world.counts().into_iter().map(|(_, lives)| sum(lives)).collect()
}

/// Each content is of another kind than the one before.
fn propose(world: &mut VirtualFleet, member: u32, content: u32) {
    world.propose(member, content, (content % 2) as u8);
}

fn script(world: &mut VirtualFleet, shape: &Shape, fault: Fault) {
    let members = shape.members;
    match fault {
        Fault::Quiet => {
            propose(world, members / 2, 2);
            world.run(30 * S);
        }
        Fault::Zone | Fault::FarZone => {
            let zone = if fault == Fault::Zone { 1 } else { ZONES - 1 };
            for member in (0..members).filter(|member| shape.zone(*member) == zone) {
                world.stop(member);
            }
            world.run(100 * MS);
            // Called for at once, by one that runs.
            propose(world, 0, 2);
            world.run(60 * S);
            propose(world, 0, 3);
            world.run(30 * S);
        }
        Fault::Regions | Fault::RegionsBriefly => {
            let step = if fault == Fault::Regions { 600 * S } else { 150 * S };
            world.regions_cut = true;
            for content in 2..8 {
                propose(world, 0, content);
                world.run(step);
            }
            world.regions_cut = false;
            world.run(20 * S);
            propose(world, 3, 8);
            world.run(30 * S);
        }
        Fault::Restarts => {
            let step: Micros = 1_500 * MS;
            for restart in 0..160_u32 {
                // One after another over all numbers, voters among them.
                let member = restart * 37 % members;
                world.stop(member);
                world.run(step);
                // Down for longer than a step: the one before comes back now.
                if restart > 0 {
                    world.restart((restart - 1) * 37 % members);
                }
                if restart % 40 == 20 {
                    propose(world, 0, 2 + restart / 40);
                }
            }
            world.run(step);
            world.restart(159 * 37 % members);
            world.run(30 * S);
        }
        Fault::List => {
            world.publish_endpoints(2, Some(0));
            world.run(30 * S);
            world.publish_endpoints(3, None);
            world.run(30 * S);
        }
        Fault::Changes => {
            for change in 0..20_u32 {
                propose(world, change * 61 % members, 2 + change);
                world.run(3 * S);
            }
            world.run(30 * S);
        }
    }
}
