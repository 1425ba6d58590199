//! Reads a TOML file into a serde type. An error says which key is faulty, on which line, and which name may have been meant.
//! Independent of the sections: `toml` keeps the spans of keys and values, and the key around an error's span is the faulty
//! one.

use crate::spelling::nearest_name;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;
use std::path::{Path, PathBuf};
use toml::de::{DeTable, DeValue};

/// The file as it was read.
#[derive(Debug)]
pub struct OperatorFile {
    /// Its path.
    pub path: PathBuf,
    text: String,
    spans: BTreeMap<String, KeySpan>,
}

/// The byte ranges of a key and its value in the text.
#[derive(Debug)]
struct KeySpan {
    key: Range<usize>,
    value: Range<usize>,
}

/// Why the operator's file is rejected; it is applied whole or not at all.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// It can't be read.
    #[error("operator's file '{}' cannot be read: {error}", path.display())]
    Unreadable { path: PathBuf, error: std::io::Error },
    /// It is not TOML.
    #[error("operator's file is not TOML: {problem} ({}, line {line})", path.display())]
    NotToml { path: PathBuf, line: usize, problem: String },
    /// A key that is unknown, or a value that can't be used.
    #[error("{key} {problem} ({}, line {line})", path.display())]
    Key { path: PathBuf, line: usize, key: String, problem: String },
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
    /// Reads a file and its value. What serde can't see is left to [`Self::reject`].
    pub fn read<T: DeserializeOwned>(path: &Path) -> Result<(OperatorFile, T), OperatorFileError> {
        let path = path.to_owned();
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) => return Err(OperatorFileError::Unreadable { path, error }),
        };
        let mut spans = BTreeMap::new();
        match DeTable::parse(&text) {
            Ok(table) => collect_table("", table.get_ref(), &mut spans),
            Err(error) => {
                let line = line_at(&text, error.span().map_or(0, |span| span.start));
                return Err(OperatorFileError::NotToml { path, line, problem: error.message().to_owned() });
            }
        }
        let value = toml::from_str::<T>(&text);
        let file = OperatorFile { path, text, spans };
        match value {
            Ok(value) => Ok((file, value)),
            Err(error) => Err(file.syntax_error(&error)),
        }
    }

    /// The line of a key; `None` where the file doesn't have it.
    pub fn line(&self, key: &str) -> Option<usize> {
        self.spans.get(key).map(|span| line_at(&self.text, span.key.start))
    }

    /// Rejects the file for an error that serde can't see. Its message begins with the key's full path.
    pub fn reject(&self, error: &dyn fmt::Display) -> OperatorFileError {
        let message = error.to_string();
        let (key, problem) = message.split_once(' ').unwrap_or((&message, "is faulty"));
        let mut enclosing = key;
        let line = loop {
            match (self.line(enclosing), enclosing.rsplit_once('.')) {
                (Some(line), _) => break line,
                (None, Some((parent, _))) => enclosing = parent,
                (None, None) => break 1,
            }
        };
        let (key, problem) = (key.to_owned(), problem.to_owned());
        OperatorFileError::Key { path: self.path.clone(), line, key, problem }
    }

    fn syntax_error(&self, error: &toml::de::Error) -> OperatorFileError {
        let at = error.span().map_or(0, |span| span.start);
        let is_around = |span: &KeySpan| span.key.contains(&at) || span.value.contains(&at);
        // The innermost of those around it; a key is longer than what it stands in.
        let key = self.spans.iter().filter(|(_, span)| is_around(span)).max_by_key(|(key, _)| key.len());
        let key = key.map_or("operator", |(key, _)| key.as_str()).to_owned();
        let (path, line) = (self.path.clone(), line_at(&self.text, at));
        OperatorFileError::Key { path, line, key, problem: describe(error.message()) }
    }
}

fn collect_table(path: &str, table: &DeTable, spans: &mut BTreeMap<String, KeySpan>) {
    for (key, value) in table.iter() {
        let name = key.get_ref();
        let below = if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
        collect_value(&below, key.span(), value.span(), value.get_ref(), spans);
    }
}

fn collect_value(
    path: &str,
    key: Range<usize>,
    span: Range<usize>,
    value: &DeValue,
    spans: &mut BTreeMap<String, KeySpan>,
) {
    match value {
        DeValue::Table(table) => collect_table(path, table, spans),
        DeValue::Array(items) => {
            for (i, item) in items.iter().enumerate() {
                collect_value(&format!("{path}.{i}"), item.span(), item.span(), item.get_ref(), spans);
            }
        }
        _ => {}
    }
    spans.insert(path.to_owned(), KeySpan { key, value: span });
}

fn line_at(text: &str, at: usize) -> usize {
    text.bytes().take(at).filter(|byte| *byte == b'\n').count() + 1
}

/// Serde's message as a predicate of the key, with the name that may have been meant. Names in its message stand in backticks,
/// first the unknown one and then the known ones; a message of another form is passed on.
fn describe(message: &str) -> String {
    let names: Vec<&str> = message.split('`').skip(1).step_by(2).collect();
    let known = |names: &[&str]| names.iter().map(|name| format!("'{name}'")).collect::<Vec<_>>().join(", ");
    let (problem, unknown, names) = match (message, names.as_slice()) {
        (m, [unknown, names @ ..]) if m.starts_with("unknown field") => ("is unknown", *unknown, names),
        (m, [unknown, names @ ..]) if m.starts_with("unknown variant") => {
            ("has an unknown value", *unknown, names)
        }
        _ => return format!("cannot be used: {message}"),
    };
    match nearest_name(unknown, names) {
        Some(name) => format!("{problem}: '{unknown}', did you mean '{name}'?"),
        None => format!("{problem}: '{unknown}', known are {}", known(names)),
    }
}
