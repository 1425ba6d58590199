//! Reads a TOML file into a serde type. An error names the invalid key and its line, and suggests a similar name.
//! This module does not depend on the sections: `toml` keeps the spans of keys and values, and the key whose span
//! contains the position of an error is the invalid one.

use crate::spelling::nearest_name;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;
use std::path::{Path, PathBuf};
use toml::de::{DeTable, DeValue};

/// The operator's file as it was read.
#[derive(Debug)]
pub struct OperatorFile {
    /// The path of the file.
    pub path: PathBuf,
    text: String,
    spans: BTreeMap<String, KeySpan>,
}

/// The byte ranges of a key and of its value in the text.
#[derive(Debug)]
struct KeySpan {
    key: Range<usize>,
    value: Range<usize>,
}

/// Why the operator's file is rejected. A file is applied completely or not at all.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// The file cannot be read.
    #[error("operator's file '{}' cannot be read: {error}", path.display())]
    Unreadable { path: PathBuf, error: std::io::Error },
    /// The file is not valid TOML.
    #[error("operator's file is not TOML: {problem} ({}, line {line})", path.display())]
    NotToml { path: PathBuf, line: usize, problem: String },
    /// A key is unknown, or its value is invalid.
    #[error("{key} {problem} ({}, line {line})", path.display())]
    Key { path: PathBuf, line: usize, key: String, problem: String },
}

impl OperatorFileError {
    /// Returns the full path of the invalid key; if the whole file is invalid, the setting that names the file.
    pub fn key(&self) -> &str {
        match self {
            OperatorFileError::Unreadable { .. } | OperatorFileError::NotToml { .. } => "operator",
            OperatorFileError::Key { key, .. } => key,
        }
    }
}

impl OperatorFile {
    /// Reads and deserializes a file. For errors that serde does not detect, the caller uses [`Self::reject`].
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

    /// Returns the line of a key; `None` if the file does not contain the key.
    pub fn line(&self, key: &str) -> Option<usize> {
        self.spans.get(key).map(|span| line_at(&self.text, span.key.start))
    }

    /// Builds the error for a problem that serde does not detect. The message of `error` begins with the full path
    /// of the key.
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
        let offset = error.span().map_or(0, |span| span.start);
        let is_around = |span: &KeySpan| span.key.contains(&offset) || span.value.contains(&offset);
        // Takes the innermost key that contains the position: the path of a nested key is longer than its parent's.
        let key = self.spans.iter().filter(|(_, span)| is_around(span)).max_by_key(|(key, _)| key.len());
        let key = key.map_or("operator", |(key, _)| key.as_str()).to_owned();
        let (path, line) = (self.path.clone(), line_at(&self.text, offset));
        OperatorFileError::Key { path, line, key, problem: describe(error.message()) }
    }
}

fn collect_table(path: &str, table: &DeTable, spans: &mut BTreeMap<String, KeySpan>) {
    for (key, value) in table.iter() {
        let name = key.get_ref();
        let child_path = if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
        collect_value(&child_path, key.span(), value.span(), value.get_ref(), spans);
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

fn line_at(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|byte| *byte == b'\n').count() + 1
}

/// Rewrites serde's message as a predicate of the key, and suggests the name that was probably meant. Names in the
/// message are in backticks, the unknown name first and the known names after it; a message in another format is
/// passed on.
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
