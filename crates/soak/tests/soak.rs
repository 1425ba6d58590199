//! The short soak, in CI: fixed seeds, six to eight daemons each, judged from outside and inside.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_soak::generator::{Size, generate};
use cottonnotch_soak::runner::{Programs, run_soak};
use std::path::PathBuf;

/// Number of repetitions of a run that was void because the machine was busy.
const RETRIES: u32 = 2;

/// A built program beside the test's own; `None` if it was not built.
fn find_built(name: &str) -> Option<PathBuf> {
    let own = std::env::current_exe().unwrap();
    let folders = own.ancestors().skip(1).take(2);
    folders.map(|folder| folder.join(name)).find(|path| path.is_file())
}

fn programs() -> Programs {
    let find = |name: &str| find_built(name).unwrap_or_else(|| panic!("{name} is not built"));
    let operator = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/platform.toml");
    Programs {
        daemon: find("cottonnotch"),
        shims: find("libcottonnotch_shims.so"),
        operator: Some(operator.into()),
    }
}

fn soak(seed: u64) {
    let programs = programs();
    for retry in 0..=RETRIES {
        let folder = tempfile::tempdir().unwrap();
        let generated = generate(seed, Size::SHORT).unwrap();
        let result = run_soak(generated, &programs, folder.path()).unwrap();
        if result.verdict.is_void() && retry < RETRIES && result.findings.is_empty() {
            eprintln!("seed {seed} was void, played again: {:?}", result.verdict.void);
            continue;
        }
        assert!(result.passed(), "seed {seed}: {}\n{:#?}", result.verdict, result.findings);
        let changed: i64 = result.injected.iter().map(|(_, count)| count).sum();
        assert!(changed > 0, "the shims were loaded");
        return;
    }
}

#[test]
fn generates_same_valid_run_for_same_seed() {
    for seed in 0..500 {
        let size = if seed % 2 == 0 { Size::SHORT } else { Size::FULL };
        let (one, other) = (generate(seed, size).unwrap(), generate(seed, size).unwrap());
        assert_eq!(one.plan.digest(), other.plan.digest(), "seed {seed}");
        assert_eq!(one.shim_schedule.changes(), other.shim_schedule.changes(), "seed {seed}");
        assert!(one.shim_schedule.changes().iter().all(|change| change.at < one.plan.ends), "seed {seed}");
    }
}

#[test]
fn overlapping_faults_break_no_rule_first_seed() {
    soak(1);
}

#[test]
fn overlapping_faults_break_no_rule_second_seed() {
    soak(4);
}
