//! Golden files: what an earlier build wrote to a wire, a disk or an operator, kept under a crate's `tests/golden/`.
//!
//! A test makes the same output again and holds it equal. With the environment variable `UPDATE_GOLDEN` set, the files are
//! written instead; that is only right for an intended change of format. Test support: no crate of the product depends on it.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use std::fmt::Write;
use std::path::{Path, PathBuf};

/// The environment variable that asks for the files to be written.
const UPDATE: &str = "UPDATE_GOLDEN";

/// The golden file of this name in the calling crate.
#[macro_export]
macro_rules! golden_path {
    ($name:expr) => {
        $crate::path(env!("CARGO_MANIFEST_DIR"), $name)
    };
}

/// The golden file of this name in the crate at `manifest_dir`.
pub fn path(manifest_dir: &str, name: &str) -> PathBuf {
    Path::new(manifest_dir).join("tests/golden").join(name)
}

/// Holds a text equal to the golden file.
///
/// # Panics
///
/// If they differ, naming the first line that does, or if the file can't be read.
#[track_caller]
pub fn assert_text(path: &Path, text: &str) {
    if std::env::var_os(UPDATE).is_some() {
        std::fs::write(path, text).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    }
    let golden = read(path);
    let lines = golden.lines().zip(text.lines()).enumerate();
    for (number, (wanted, made)) in lines {
        assert_eq!(made, wanted, "{}, line {}", path.display(), number + 1);
    }
    assert!(golden == text, "{}: one has more lines than the other", path.display());
}

/// Holds named byte strings equal to the golden file, which has a line `NAME HEXADECIMAL` for each. Returns the bytes as
/// they stand in the file, so that the caller can read them back.
///
/// # Panics
///
/// As [`assert_text`].
#[track_caller]
pub fn assert_bytes(path: &Path, made: &[(&str, Vec<u8>)]) -> Vec<Vec<u8>> {
    let mut text = String::new();
    for (name, bytes) in made {
        text.push_str(name);
        text.push(' ');
        bytes.iter().for_each(|byte| write!(text, "{byte:02x}").expect("a string takes any text"));
        text.push('\n');
    }
    assert_text(path, &text);
    read(path).lines().map(bytes_of).collect()
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn bytes_of(line: &str) -> Vec<u8> {
    let (_, digits) = line.split_once(' ').expect("a name and a value");
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).expect("hexadecimal digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}
