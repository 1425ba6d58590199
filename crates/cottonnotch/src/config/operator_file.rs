//! Reads a TOML file into a serde type and says of a fault which key it is, on which line, and what may have been
//! meant. Knows no section: `toml` keeps the spans of keys and values, and the key around a fault's span is the
//! faulty one.

use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::ops::Range;
use std::path::{Path, PathBuf};
use toml::de::{DeTable, DeValue};

/// The file as it was read.
#[derive(Debug)]
pub struct OperatorFile {
    /// Its path.
    pub path: PathBuf,
    text: String,
    spans: BTreeMap<String, Place>,
}

/// Where a key and its value stand in the text, in bytes.
#[derive(Debug)]
struct Place {
    key: Range<usize>,
    value: Range<usize>,
}

/// Why the operator's file is refused; it is taken whole or not at all.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// It can't be had.
    #[error("operator's file '{}' cannot be read: {error}", path.display())]
    Unreadable { path: PathBuf, error: std::io::Error },
    /// It is no TOML.
    #[error("operator's file is not TOML: {trouble} ({}, line {line})", path.display())]
    NotToml { path: PathBuf, line: usize, trouble: String },
    /// A key that nobody knows, or a value that can't be used.
    #[error("{key} {trouble} ({}, line {line})", path.display())]
    Key { path: PathBuf, line: usize, key: String, trouble: String },
}

impl OperatorFileError {
    /// The faulty key, by its full path; what names the file if all of it is faulty.
    pub fn key(&self) -> &str {
        match self {
            OperatorFileError::Unreadable { .. } | OperatorFileError::NotToml { .. } => "operator",
            OperatorFileError::Key { key, .. } => key,
        }
    }
}

impl OperatorFile {
    /// Reads a file and its value. What serde can't see is left to [`Self::refuse`].
    pub fn read<T: DeserializeOwned>(path: &Path) -> Result<(OperatorFile, T), OperatorFileError> {
        let path = path.to_owned();
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) => return Err(OperatorFileError::Unreadable { path, error }),
        };
        let mut spans = BTreeMap::new();
        match DeTable::parse(&text) {
            Ok(table) => collect("", table.get_ref(), &mut spans),
            Err(error) => {
                let line = line_at(&text, error.span().map_or(0, |span| span.start));
                return Err(OperatorFileError::NotToml { path, line, trouble: error.message().to_owned() });
            }
        }
        let value = toml::from_str::<T>(&text);
        let file = OperatorFile { path, text, spans };
        match value {
            Ok(value) => Ok((file, value)),
            Err(error) => Err(file.fault(&error)),
        }
    }

    /// The line of a key; `None` where the file doesn't have it.
    pub fn line(&self, key: &str) -> Option<usize> {
        self.spans.get(key).map(|place| line_at(&self.text, place.key.start))
    }

    /// Refuses the file for a fault that serde can't see. The message begins with the key's full path.
    pub fn refuse(&self, message: &str) -> OperatorFileError {
        let (key, trouble) = message.split_once(' ').unwrap_or((message, "is faulty"));
        let mut near = key;
        let line = loop {
            match (self.line(near), near.rsplit_once('.')) {
                (Some(line), _) => break line,
                (None, Some((around, _))) => near = around,
                (None, None) => break 1,
            }
        };
        let (key, trouble) = (key.to_owned(), trouble.to_owned());
        OperatorFileError::Key { path: self.path.clone(), line, key, trouble }
    }

    fn fault(&self, error: &toml::de::Error) -> OperatorFileError {
        let at = error.span().map_or(0, |span| span.start);
        let around = |place: &Place| place.key.contains(&at) || place.value.contains(&at);
        // The innermost of those around it; a key is longer than what it stands in.
        let key = self.spans.iter().filter(|(_, place)| around(place)).max_by_key(|(key, _)| key.len());
        let key = key.map_or("operator", |(key, _)| key.as_str()).to_owned();
        let (path, line) = (self.path.clone(), line_at(&self.text, at));
        OperatorFileError::Key { path, line, key, trouble: said(error.message()) }
    }
}

fn collect(path: &str, table: &DeTable, spans: &mut BTreeMap<String, Place>) {
    for (key, value) in table.iter() {
        let name = key.get_ref();
        let below = if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
        descend(&below, key.span(), value.span(), value.get_ref(), spans);
    }
}

fn descend(
    path: &str,
    key: Range<usize>,
    span: Range<usize>,
    value: &DeValue,
    spans: &mut BTreeMap<String, Place>,
) {
    match value {
        DeValue::Table(table) => collect(path, table, spans),
        DeValue::Array(items) => {
            for (i, item) in items.iter().enumerate() {
                descend(&format!("{path}.{i}"), item.span(), item.span(), item.get_ref(), spans);
            }
        }
        _ => {}
    }
    spans.insert(path.to_owned(), Place { key, value: span });
}

fn line_at(text: &str, at: usize) -> usize {
    text.bytes().take(at).filter(|byte| *byte == b'\n').count() + 1
}

/// Serde's words, to be read after the key, with what may have been meant. Names in its message stand in
/// backticks, first the unknown one and then those that may be there; a message of another form stays as it is.
fn said(message: &str) -> String {
    let names: Vec<&str> = message.split('`').skip(1).step_by(2).collect();
    let known = |names: &[&str]| names.iter().map(|name| format!("'{name}'")).collect::<Vec<_>>().join(", ");
    let (what, unknown, names) = match (message, names.as_slice()) {
        (m, [unknown, names @ ..]) if m.starts_with("unknown field") => ("is unknown", *unknown, names),
        (m, [unknown, names @ ..]) if m.starts_with("unknown variant") => {
            ("has an unknown value", *unknown, names)
        }
        _ => return format!("cannot be used: {message}"),
    };
    match near_miss(unknown, names) {
        Some(name) => format!("{what}: '{unknown}', did you mean '{name}'?"),
        None => format!("{what}: '{unknown}', known are {}", known(names)),
    }
}

/// The name that was probably meant: at most a third of its letters are wrong, missing, too many or swapped.
pub fn near_miss<'a>(given: &str, names: &[&'a str]) -> Option<&'a str> {
    let distance = |name: &str| strsim::damerau_levenshtein(&given.to_lowercase(), name);
    let near = names.iter().map(|name| (distance(name), *name)).min()?;
    (near.0 <= near.1.chars().count().div_ceil(3)).then_some(near.1)
}
