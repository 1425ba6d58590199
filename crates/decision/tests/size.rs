//! The files of the balancing policy are printed for the on-call folder. Each of them must be short and
//! narrow enough for that, and must begin with a module comment.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use std::path::{Path, PathBuf};

/// Maximum number of lines in one file, without blank lines.
const MAX_LINES: usize = 400;
/// Maximum length of a line, in characters.
const MAX_WIDTH: usize = 110;

/// Returns the path of `policy.rs` and of the files in its folder.
fn policy_files() -> Vec<PathBuf> {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let folder = std::fs::read_dir(source.join("policy")).unwrap().map(|entry| entry.unwrap().path());
    folder.chain([source.join("policy.rs")]).collect()
}

#[test]
fn deciding_files_stay_printable() {
    let files = policy_files();
    assert!(files.len() > 1, "{files:?}");
    for path in files {
        let name = path.display();
        let text = std::fs::read_to_string(&path).unwrap();
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(
            lines <= MAX_LINES,
            "{name} has {lines} lines that are not blank, at most {MAX_LINES} allowed"
        );
        for (i, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= MAX_WIDTH, "{name}, line {}: wider than {MAX_WIDTH}", i + 1);
        }
        assert!(text.starts_with("//! "), "{name} must begin with a module comment");
    }
}

#[test]
fn policy_names_its_interface_first() {
    let text = std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("src/policy.rs")).unwrap();
    assert!(text.lines().next().unwrap().contains("src/interface.rs"));
}

/// The operators find the files of the policy through the list in `deploy/balancer.toml`.
#[test]
fn deploy_file_lists_each_deciding_file() {
    let text =
        std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml"));
    let text = text.unwrap();
    let policy = text.lines().find(|line| line.starts_with("policy = ")).expect("a list of files");
    let files = policy_files();
    for path in &files {
        let file = path.strip_prefix(env!("CARGO_MANIFEST_DIR")).unwrap().display();
        assert!(policy.contains(&format!("\"crates/decision/{file}\"")), "{file} is not listed");
    }
    assert_eq!(policy.matches(".rs\"").count(), files.len(), "a listed file does not exist");
}
