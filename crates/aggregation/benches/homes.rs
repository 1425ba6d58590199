//! Cost of load-based affinity subsets for a proxy, and their effect on the most utilized node. The fleet runs on virtual time.
//! The number of a group's connections is inversely proportional to the group's rank; the largest group has a million
//! connections. Each run prints one JSON line, without affinity subsets and with limits of 64 and 320 groups.
//!
//! `cargo bench --locked -p cottonnotch-aggregation --bench homes` runs all fleet sizes; `-- 440` runs one size.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use simulation::*;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const LARGEST: u32 = 1_000_000;
/// Number of simulated groups. Smaller groups would need only five endpoints at any fleet size.
const GROUPS: u64 = 400;

fn main() {
    let given = std::env::args().find_map(|word| word.parse::<u32>().ok());
    for members in given.map_or_else(|| vec![30, 110, 220, 440], |members| vec![members]) {
        for groups in [None, Some(64), Some(320)] {
            play(members, groups);
        }
    }
}

fn play(members: u32, groups: Option<u32>) {
    let scale =
        Scale { members, nodes: 2_048, size: 2e6, load: 80.0, requests_per_s: 45.0 * f64::from(members) };
    let region = Region::new(ALLOCATOR);
    let mut sim = Sim::new(1, scale, settings(groups, 600, 180));
    sim.loss = 0.0;
    for rank in 1..=GROUPS {
        let each = LARGEST / rank as u32 / members;
        sim.groups.iter_mut().for_each(|groups| groups.extend([(rank, each)]));
    }
    sim.chance = ChaCha8Rng::seed_from_u64(1);
    sim.run_for(40 * S);
    let (bytes, busy) = (sim.bytes.clone(), sim.busy.clone());
    let seconds = 60;
    sim.run_for(seconds * S);
    let per_s = |sum: f64| sum / seconds as f64;
    let spent: Vec<f64> = bytes.iter().zip(&sim.bytes).map(|(a, b)| per_s((b - a) as f64)).collect();
    let core: Vec<f64> = busy.iter().zip(&sim.busy).map(|(a, b)| per_s((*b - *a).as_secs_f64())).collect();
    let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len() as f64;
    let most = |all: &[f64]| all.iter().copied().fold(0.0, f64::max);
    let period = sim.members[0].as_ref().map_or(0, |one| one.report_interval());
    let (least, middle, highest) = sim.spread(1);
    let held = region.change();
    println!(
        "{{\"members\": {members}, \"group_homes\": {}, \"homes_of_largest\": [{least}, {middle}, {highest}], \"needs\": {}, \
         \"fullest_of_its_size\": {:.3}, \"period_s\": {:.1}, \"bytes_per_s_mean\": {:.0}, \"bytes_per_s_most_in_a_minute\": {:.0}, \
         \"core_mean\": {:.5}, \"core_most_in_a_minute\": {:.5}, \"memory_each\": {}}}",
        groups.unwrap_or(0),
        sim.required_size(1),
        sim.fullest(1),
        period as f64 / 1e6,
        mean(&spent),
        most(&spent),
        mean(&core),
        most(&core),
        (held.bytes_allocated - held.bytes_deallocated) / members as usize,
    );
}
