//! The platform's JSON file, and the line number of each key in it. simd-json values carry no positions, but the
//! keys of its borrowed values are slices of the input, so the address of a key yields its offset.

use super::error::ConfigError;
use simd_json::cow::Cow;
use simd_json::{BorrowedValue, OwnedValue};
use std::cell::OnceCell;
use std::collections::BTreeMap;

/// The platform's file as it was read.
#[derive(Debug)]
pub struct JsonFile {
    /// The path, as given in `GW_CONFIG`.
    pub path: String,
    text: Vec<u8>,
    /// The line of each key by its full path; computed when a line is first requested.
    lines: OnceCell<BTreeMap<String, usize>>,
}

impl JsonFile {
    /// Reads and parses a file; returns the file and its JSON value.
    pub fn read(path: String) -> Result<(JsonFile, OwnedValue), ConfigError> {
        let text = match std::fs::read(&path) {
            Ok(text) => text,
            Err(error) => return Err(ConfigError::Unreadable { path, error }),
        };
        // The parser overwrites its input, so it gets a copy: line numbers refer to the original text.
        match simd_json::to_owned_value(&mut text.clone()) {
            Ok(value) => Ok((JsonFile { path, text, lines: OnceCell::new() }, value)),
            Err(error) => {
                // simd-json also reports index 0 for an error without a position.
                let line = (error.index() > 0).then(|| Newlines::of(&text).line(error.index()));
                Err(ConfigError::NotJson { path, line, error })
            }
        }
    }

    /// Returns the line of a key, or of its closest ancestor that the file contains; `None` if it contains neither.
    pub fn line(&self, key: &str) -> Option<usize> {
        let lines = self.lines.get_or_init(|| key_lines(&self.text));
        let mut key = key;
        loop {
            if let Some(line) = lines.get(key) {
                return Some(*line);
            }
            key = key.rsplit_once('.')?.0;
        }
    }
}

/// The byte offsets of the newline characters in a text.
struct Newlines(Vec<usize>);

impl Newlines {
    fn of(text: &[u8]) -> Self {
        Newlines(
            text.iter().enumerate().filter(|(_, byte)| **byte == b'\n').map(|(offset, _)| offset).collect(),
        )
    }

    fn line(&self, offset: usize) -> usize {
        self.0.partition_point(|newline| *newline < offset) + 1
    }
}

/// Maps the full path of each key to its line; the path segments of list items are `.0`, `.1` and so on.
fn key_lines(text: &[u8]) -> BTreeMap<String, usize> {
    let mut found = BTreeMap::new();
    let mut copy = text.to_vec();
    let base = copy.as_ptr().addr();
    if let Ok(value) = simd_json::to_borrowed_value(&mut copy) {
        walk("", &value, &mut |path, key: &str| {
            let offset = key.as_ptr().addr().wrapping_sub(base);
            // Skips a key that is not a slice of the text: its address would yield an arbitrary offset.
            if offset > 0 && text.get(offset - 1) == Some(&b'"') {
                found.insert(path.to_owned(), offset);
            }
        });
    }
    let newlines = Newlines::of(text);
    found.into_iter().map(|(path, offset)| (path, newlines.line(offset))).collect()
}

fn walk(path: &str, value: &BorrowedValue, visit: &mut dyn FnMut(&str, &str)) {
    let child_path = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        BorrowedValue::Object(object) => {
            for (key, value) in object.iter() {
                let path = child_path(key);
                // A key with escape sequences may be a copy instead of a slice of the text.
                if matches!(key, Cow::Borrowed(_)) {
                    visit(&path, key);
                }
                walk(&path, value, visit);
            }
        }
        BorrowedValue::Array(list) => {
            for (i, item) in list.iter().enumerate() {
                walk(&child_path(&i.to_string()), item, visit);
            }
        }
        _ => {}
    }
}
