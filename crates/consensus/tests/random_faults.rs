//! Tests with random faults on many seeds. `ACCORD_SEEDS` sets the number of seeds.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod common;

use common::chaos::{Faults, recover, run_under_faults};
use common::world::MS;

fn seeds() -> u64 {
    std::env::var("ACCORD_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(300)
}

/// No two members act on incompatible versions. Once all faults have ended, earlier proposals finish in bounded time,
/// and a new proposal soon comes in force at all members.
#[test]
fn survives_random_faults_and_recovers() {
    let threads = std::thread::available_parallelism().map_or(4, usize::from).min(4) as u64;
    let slowest = std::thread::scope(|scope| {
        let runs: Vec<_> = (0..threads)
            .map(|thread| {
                scope.spawn(move || {
                    let mut slowest = ((0, 0), 0);
                    for seed in (thread..seeds()).step_by(threads as usize) {
                        let mut world = run_under_faults(seed, &Faults::from_seed(seed));
                        world.assert_no_violation();
                        let greatest = world.oracle.greatest_numbers;
                        let took = recover(&mut world, 60_000 * MS);
                        world.assert_no_violation();
                        let Some(took) = took else {
                            panic!(
                                "seed {seed}: the cluster did not recover: {}",
                                common::chaos::describe(&world)
                            )
                        };
                        assert!(
                            world.oracle.greatest_numbers[0] > greatest[0],
                            "seed {seed}: the last version has no greater number"
                        );
                        slowest = slowest.max((took, seed));
                    }
                    slowest
                })
            })
            .collect();
        runs.into_iter().map(|run| run.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic))).max()
    });
    println!("slowest recovery: {slowest:?}");
}

/// Runs the single seed that `ACCORD_SEED` sets, for debugging.
#[test]
fn one_seed() {
    let Some(seed) = std::env::var("ACCORD_SEED").ok().and_then(|text| text.parse().ok()) else { return };
    let mut world = run_under_faults(seed, &Faults::from_seed(seed));
    world.assert_no_violation();
    let took = recover(&mut world, 60_000 * MS);
    println!("{took:?} {}", common::chaos::describe(&world));
    world.assert_no_violation();
}
