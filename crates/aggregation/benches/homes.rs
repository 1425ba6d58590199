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

const LARGEST_GROUP_CONNECTIONS: u32 = 1_000_000;
/// Number of simulated groups. Smaller groups would need only five endpoints at any fleet size.
const GROUP_COUNT: u64 = 400;

fn main() {
    let requested_members = std::env::args().find_map(|argument| argument.parse::<u32>().ok());
    for members in requested_members.map_or_else(|| vec![30, 110, 220, 440], |members| vec![members]) {
        for groups in [None, Some(64), Some(320)] {
            run_simulation(members, groups);
        }
    }
}

fn run_simulation(members: u32, groups: Option<u32>) {
    let scale = Scale {
        members,
        nodes: 2_048,
        node_capacity: 2e6,
        connection_load: 80.0,
        requests_per_s: 45.0 * f64::from(members),
    };
    let region = Region::new(ALLOCATOR);
    let mut sim = Simulation::new(1, scale, settings(groups, 600, 180));
    sim.loss = 0.0;
    for rank in 1..=GROUP_COUNT {
        let connections = LARGEST_GROUP_CONNECTIONS / rank as u32 / members;
        sim.groups.iter_mut().for_each(|groups| groups.extend([(rank, connections)]));
    }
    sim.rng = ChaCha8Rng::seed_from_u64(1);
    sim.run_for(40 * SECOND);
    let (bytes, cpu_time_before) = (sim.bytes.clone(), sim.cpu_time.clone());
    let seconds = 60;
    sim.run_for(seconds * SECOND);
    let per_s = |sum: f64| sum / seconds as f64;
    let bytes_per_s: Vec<f64> = bytes.iter().zip(&sim.bytes).map(|(a, b)| per_s((b - a) as f64)).collect();
    let cores_used: Vec<f64> =
        cpu_time_before.iter().zip(&sim.cpu_time).map(|(a, b)| per_s((*b - *a).as_secs_f64())).collect();
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
    let max = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    let report_interval = sim.members[0].as_ref().map_or(0, |member| member.report_interval());
    let (min_size, median_size, max_size) = sim.subset_size_range(1);
    let allocations = region.change();
    println!(
        "{{\"members\": {members}, \"group_homes\": {}, \"homes_of_largest\": [{min_size}, {median_size}, {max_size}], \"needs\": {}, \
         \"fullest_of_its_size\": {:.3}, \"period_s\": {:.1}, \"bytes_per_s_mean\": {:.0}, \"bytes_per_s_most_in_a_minute\": {:.0}, \
         \"core_mean\": {:.5}, \"core_most_in_a_minute\": {:.5}, \"memory_each\": {}}}",
        groups.unwrap_or(0),
        sim.required_size(1),
        sim.max_utilization(1),
        report_interval as f64 / 1e6,
        mean(&bytes_per_s),
        max(&bytes_per_s),
        mean(&cores_used),
        max(&cores_used),
        (allocations.bytes_allocated - allocations.bytes_deallocated) / members as usize,
    );
}
