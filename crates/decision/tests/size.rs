//! The files that decide are printed and kept in the on-call folder: each stays short and narrow, and says first what it is for.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use std::path::{Path, PathBuf};

/// Lines that are not blank, in one file.
const MAX_LINES: usize = 400;
/// Characters of a line.
const MAX_WIDTH: usize = 110;

/// `policy.rs` and the files of its folder.
fn files_that_decide() -> Vec<PathBuf> {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let folder = std::fs::read_dir(source.join("policy")).unwrap().map(|entry| entry.unwrap().path());
    folder.chain([source.join("policy.rs")]).collect()
}

#[test]
fn deciding_files_stay_printable() {
    let files = files_that_decide();
    assert!(files.len() > 1, "{files:?}");
    for path in files {
        let name = path.display();
        let text = std::fs::read_to_string(&path).unwrap();
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= MAX_LINES, "{name} holds {lines} lines that are not blank, {MAX_LINES} at most");
        for (i, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= MAX_WIDTH, "{name}, line {}: wider than {MAX_WIDTH}", i + 1);
        }
        assert!(text.starts_with("//! "), "{name} says first what it is for");
    }
}

#[test]
fn policy_names_its_interface_first() {
    let text = std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("src/policy.rs")).unwrap();
    assert!(text.lines().next().unwrap().contains("src/interface.rs"));
}

/// The operators read the deciding files from the list in `deploy/balancer.toml`.
#[test]
fn deploy_file_lists_each_deciding_file() {
    let text =
        std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml"));
    let text = text.unwrap();
    let policy = text.lines().find(|line| line.starts_with("policy = ")).expect("it has a list of files");
    let files = files_that_decide();
    for path in &files {
        let file = path.strip_prefix(env!("CARGO_MANIFEST_DIR")).unwrap().display();
        assert!(policy.contains(&format!("\"crates/decision/{file}\"")), "{file} is not listed");
    }
    assert_eq!(policy.matches(".rs\"").count(), files.len(), "a listed file is not there");
}
