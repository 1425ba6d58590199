//! The platform's JSON file, and on which line of it a key stands. simd-json's values carry no positions, but the
//! keys of its borrowing values are slices of the text itself, and where such a slice begins is its position.

use super::error::ConfigError;
use simd_json::cow::Cow;
use simd_json::{BorrowedValue, OwnedValue};
use std::cell::OnceCell;
use std::collections::BTreeMap;

/// The file as it was read.
#[derive(Debug)]
pub struct JsonFile {
    /// Its path, as `GW_CONFIG` has it.
    pub path: String,
    text: Vec<u8>,
    lines: OnceCell<BTreeMap<String, usize>>,
}

impl JsonFile {
    /// Reads a file and its value.
    pub fn read(path: String) -> Result<(JsonFile, OwnedValue), ConfigError> {
        let text = match std::fs::read(&path) {
            Ok(text) => text,
            Err(error) => return Err(ConfigError::Unreadable { path, error }),
        };
        // Parsing overwrites its input, and positions are those of the original text.
        match simd_json::to_owned_value(&mut text.clone()) {
            Ok(value) => Ok((JsonFile { path, text, lines: OnceCell::new() }, value)),
            Err(error) => {
                // Errors without a position have 0, too.
                let line = (error.index() > 0).then(|| Newlines::of(&text).line(error.index()));
                Err(ConfigError::NotJson { path, line, error })
            }
        }
    }

    /// The line of a key, or of the nearest thing around it that the file has; `None` for the whole file.
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

/// The positions of line ends.
struct Newlines(Vec<usize>);

impl Newlines {
    fn of(text: &[u8]) -> Self {
        Newlines(text.iter().enumerate().filter(|(_, byte)| **byte == b'\n').map(|(at, _)| at).collect())
    }

    fn line(&self, at: usize) -> usize {
        self.0.partition_point(|newline| *newline < at) + 1
    }
}

/// The line of each key by its full path; items of lists are `.0`, `.1` ...
fn key_lines(text: &[u8]) -> BTreeMap<String, usize> {
    let mut found = BTreeMap::new();
    let mut copy = text.to_vec();
    let base = copy.as_ptr().addr();
    if let Ok(value) = simd_json::to_borrowed_value(&mut copy) {
        walk("", &value, &mut |path, key: &str| {
            let at = key.as_ptr().addr().wrapping_sub(base);
            // Guards against a key that is no slice of the text: it would have a position by chance.
            if at > 0 && text.get(at - 1) == Some(&b'"') {
                found.insert(path.to_owned(), at);
            }
        });
    }
    let newlines = Newlines::of(text);
    found.into_iter().map(|(path, at)| (path, newlines.line(at))).collect()
}

fn walk(path: &str, value: &BorrowedValue, note: &mut dyn FnMut(&str, &str)) {
    let below = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        BorrowedValue::Object(object) => {
            for (key, value) in object.iter() {
                let path = below(key);
                // An escaped key may be a copy.
                if matches!(key, Cow::Borrowed(_)) {
                    note(&path, key);
                }
                walk(&path, value, note);
            }
        }
        BorrowedValue::Array(list) => {
            for (i, item) in list.iter().enumerate() {
                walk(&below(&i.to_string()), item, note);
            }
        }
        _ => {}
    }
}
