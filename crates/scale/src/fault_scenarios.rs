//! Scenarios of faults at the size of the fleet to come, on virtual time, each judged from its records alone.

use crate::counters::Counts;
use crate::fault::{Fault, MS, S};
use crate::judge::{Verdict, judge};
use crate::shape::{Shape, ZONES};
use crate::virtual_time::VirtualFleet;
use cottonnotch_decision::Micros;
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// Result of a scenario. It is printed as a line of JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultResult {
    /// The fault.
    pub fault: Fault,
    /// The sizes.
    pub shape: Shape,
    /// Virtual seconds that were measured.
    pub seconds: f64,
    /// The verdict on the records.
    pub verdict: Verdict,
    /// Control bytes a second in both directions: mean over the members.
    pub bytes: f64,
    /// ... and the highest of a member, over the whole time.
    pub bytes_max: f64,
    /// Microseconds of processor time a virtual second and member, set-ups included, system calls not.
    pub cpu_us: f64,
    /// Members that run at the end.
    pub running: usize,
    /// Members in a running member's snapshot at the end: mean.
    pub view_members: f64,
    /// Requests that were rejected or failed.
    pub refused: u64,
    /// Real seconds of processor time that the scenario took.
    pub took_s: f64,
}

fn thread_cpu_seconds() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// Plays the scenario of a fault on a fleet that has a version in force.
pub fn play(shape: &Shape, fault: Fault) -> FaultResult {
    let real = thread_cpu_seconds();
    let mut fleet = VirtualFleet::new(shape);
    fleet.run(20 * S);
    // The first content: without one there is nothing to be incompatible with.
    fleet.propose(1, 1, 1);
    fleet.run(15 * S);
    let (from, before, began) = (fleet.now, total_counters(&mut fleet), thread_cpu_seconds());
    play_fault(&mut fleet, shape, fault);
    let seconds = (fleet.now - from) as f64 / 1e6;
    let cpu_us = (thread_cpu_seconds() - began) * 1e6 / seconds / f64::from(shape.members);
    let after = total_counters(&mut fleet);
    let counts = after.iter().zip(&before).map(|(after, before)| after.since(before));
    let bytes: Vec<f64> = counts.map(|counts| counts.control().bytes as f64 / seconds).collect();
    let refused = after.iter().map(|counts| counts.refused).sum();
    let running = fleet.running();
    let views = running.iter().filter_map(|member| fleet.member(*member)?.fleet_view());
    let views: Vec<f64> = views.map(|view| f64::from(view.members)).collect();
    FaultResult {
        fault,
        shape: shape.clone(),
        seconds,
        verdict: judge(&fleet.records, fleet.now),
        bytes: bytes.iter().sum::<f64>() / bytes.len() as f64,
        bytes_max: bytes.iter().copied().fold(0.0, f64::max),
        cpu_us,
        running: running.len(),
        view_members: views.iter().sum::<f64>() / views.len().max(1) as f64,
        refused,
        took_s: thread_cpu_seconds() - real,
    }
}

fn total_counters(fleet: &mut VirtualFleet) -> Vec<Counts> {
    let sum = |runs: Vec<Counts>| runs.into_iter().fold(Counts::default(), |sum, run| sum.and(&run));
    fleet.counts().into_iter().map(|(_, lives)| sum(lives)).collect()
}

/// Proposes a content that is incompatible with the one before.
fn propose(fleet: &mut VirtualFleet, member: u32, content: u32) {
    fleet.propose(member, content, (content % 2) as u8);
}

/// Plays the fault, from now until its consequences are over.
fn play_fault(fleet: &mut VirtualFleet, shape: &Shape, fault: Fault) {
    match fault {
        Fault::Quiet => play_quiet(fleet, shape),
        Fault::Zone => play_zone_loss(fleet, shape, 1),
        Fault::FarZone => play_zone_loss(fleet, shape, ZONES - 1),
        Fault::Regions => play_partition(fleet, 600 * S),
        Fault::RegionsBriefly => play_partition(fleet, 150 * S),
        Fault::Restarts => play_restarts(fleet, shape),
        Fault::List => play_list_loss(fleet),
        Fault::Changes => play_changes(fleet, shape),
    }
}

fn play_quiet(fleet: &mut VirtualFleet, shape: &Shape) {
    propose(fleet, shape.members / 2, 2);
    fleet.run(30 * S);
}

fn play_zone_loss(fleet: &mut VirtualFleet, shape: &Shape, zone: u32) {
    for member in (0..shape.members).filter(|member| shape.zone(*member) == zone) {
        fleet.stop(member);
    }
    fleet.run(100 * MS);
    // Proposed at once, at a member that runs.
    propose(fleet, 0, 2);
    fleet.run(60 * S);
    propose(fleet, 0, 3);
    fleet.run(30 * S);
}

/// Partitions the two regions for six steps, with a proposal at the start of each.
fn play_partition(fleet: &mut VirtualFleet, step: Micros) {
    fleet.regions_cut = true;
    for content in 2..8 {
        propose(fleet, 0, content);
        fleet.run(step);
    }
    fleet.regions_cut = false;
    fleet.run(20 * S);
    propose(fleet, 3, 8);
    fleet.run(30 * S);
}

fn play_restarts(fleet: &mut VirtualFleet, shape: &Shape) {
    const RESTARTS: u32 = 160;
    const STEP: Micros = 1_500 * MS;
    // One after another over all ordinals, voters among them.
    let member = |restart: u32| restart * 37 % shape.members;
    for restart in 0..RESTARTS {
        fleet.stop(member(restart));
        fleet.run(STEP);
        // A member is down for longer than a step: the one before starts now.
        if restart > 0 {
            fleet.restart(member(restart - 1));
        }
        if restart % 40 == 20 {
            propose(fleet, 0, 2 + restart / 40);
        }
    }
    fleet.run(STEP);
    fleet.restart(member(RESTARTS - 1));
    fleet.run(30 * S);
}

fn play_list_loss(fleet: &mut VirtualFleet) {
    fleet.publish_endpoints(2, Some(0));
    fleet.run(30 * S);
    fleet.publish_endpoints(3, None);
    fleet.run(30 * S);
}

fn play_changes(fleet: &mut VirtualFleet, shape: &Shape) {
    for change in 0..20_u32 {
        propose(fleet, change * 61 % shape.members, 2 + change);
        fleet.run(3 * S);
    }
    fleet.run(30 * S);
}
