//! The short soak, in CI: fixed seeds, six to eight daemons each, judged from outside and inside.

use cottonnotch_soak::draw::{Size, draw};
use cottonnotch_soak::play::{Programs, play};
use std::path::PathBuf;

/// A run that was void, since the machine was busy, is played again so often.
const AGAIN: u32 = 2;

/// The folder of the built programs, where `cargo test` has put them; `None` for what was not built.
fn built(name: &str) -> Option<PathBuf> {
    let own = std::env::current_exe().unwrap();
    let folders = own.ancestors().skip(1).take(2);
    folders.map(|folder| folder.join(name)).find(|path| path.is_file())
}

fn programs() -> Programs {
    let find = |name: &str| built(name).unwrap_or_else(|| panic!("{name} is not built"));
    let operator = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/platform.toml");
    Programs {
        daemon: find("cottonnotch"),
        shims: find("libcottonnotch_shims.so"),
        operator: Some(operator.into()),
    }
}

fn soak(seed: u64) {
    let programs = programs();
    for again in 0..=AGAIN {
        let folder = tempfile::tempdir().unwrap();
        let drawn = draw(seed, Size::SHORT).unwrap();
        let soaked = play(drawn, &programs, folder.path()).unwrap();
        if soaked.verdict.is_void() && again < AGAIN && soaked.accusations.is_empty() {
            eprintln!("seed {seed} was void, played again: {:?}", soaked.verdict.void);
            continue;
        }
        assert!(soaked.passed(), "seed {seed}: {}\n{:#?}", soaked.verdict, soaked.accusations);
        let changed: i64 = soaked.injected.iter().map(|(_, count)| count).sum();
        assert!(changed > 0, "the shims were loaded");
        return;
    }
}

#[test]
fn every_seed_draws_a_run_that_the_kit_takes_and_the_same_one_again() {
    for seed in 0..500 {
        let size = if seed % 2 == 0 { Size::SHORT } else { Size::FULL };
        let (one, other) = (draw(seed, size).unwrap(), draw(seed, size).unwrap());
        assert_eq!(one.plan.digest(), other.plan.digest(), "seed {seed}");
        assert_eq!(one.course.changes(), other.course.changes(), "seed {seed}");
        assert!(one.course.changes().iter().all(|change| change.at < one.plan.ends), "seed {seed}");
    }
}

#[test]
fn overlapping_troubles_break_no_rule_first_seed() {
    soak(1);
}

#[test]
fn overlapping_troubles_break_no_rule_second_seed() {
    soak(4);
}
