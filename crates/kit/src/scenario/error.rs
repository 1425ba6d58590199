//! Errors in a scenario, with the file, the line, the key and a suggested correction.

use std::fmt;
use std::ops::Range;
use std::path::{Path, PathBuf};
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// Why a scenario cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file could not be read.
    #[error("{}: cannot be read: {error}", file.display())]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The content of the file is wrong.
    #[error("{}{}", Position(file, *line, key), problem)]
    Invalid {
        /// Path of the file.
        file: PathBuf,
        /// Line number, counted from 1; `None` if the problem has no line.
        line: Option<usize>,
        /// Full path of the key, with items of a list counted from 0. Empty if the problem is in the whole file.
        key: String,
        /// Description of the problem, which follows the key in the message.
        problem: String,
    },
}

struct Position<'a>(&'a Path, Option<usize>, &'a str);

impl fmt::Display for Position<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.0.display())?;
        if let Some(line) = self.1 {
            write!(f, "{line}:")?;
        }
        write!(f, " ")?;
        if self.2.is_empty() { Ok(()) } else { write!(f, "{}: ", self.2) }
    }
}

/// A problem with the value of a key, before the line of the key is looked up.
#[derive(Debug, PartialEq)]
pub(super) struct Problem {
    pub key: String,
    pub message: String,
}

/// Returns a problem as the result of a check.
pub(super) fn invalid<T>(key: impl Into<String>, message: impl Into<String>) -> Result<T, Problem> {
    Err(Problem { key: key.into(), message: message.into() })
}

/// Returns a suggestion to append to a message: the candidate nearest to `given`. Empty if no candidate is similar
/// enough.
pub(super) fn suggest_name<'a>(given: &str, candidates: impl IntoIterator<Item = &'a str>) -> String {
    let nearest = (candidates.into_iter())
        .map(|candidate| (strsim::damerau_levenshtein(given, candidate), candidate))
        .filter(|(distance, candidate)| *distance <= (candidate.len().max(given.len()) / 3).max(1))
        .min();
    nearest.map_or(String::new(), |(_, candidate)| format!(": did you mean '{candidate}'?"))
}

/// The text of a scenario file, in which the lines of keys are looked up.
pub(super) struct Source<'a> {
    pub file: &'a Path,
    pub text: &'a str,
}

impl Source<'_> {
    /// Converts an error of the TOML parser.
    pub fn parse_error(&self, error: &toml::de::Error) -> ScenarioError {
        let span = error.span();
        let line = span.as_ref().map(|span| self.line(span.start));
        let key = span.as_ref().and_then(|span| Some(key_at(&DeTable::parse(self.text).ok()?, span)));
        let key = key.unwrap_or_default();
        ScenarioError::Invalid {
            file: self.file.to_owned(),
            line,
            key,
            problem: with_suggestion(error.message()),
        }
    }

    /// Converts a problem that a check found.
    pub fn error_at(&self, Problem { key, message }: Problem) -> ScenarioError {
        let table = DeTable::parse(self.text).ok();
        let line = table.and_then(|table| offset_of(&key, &table)).map(|offset| self.line(offset));
        ScenarioError::Invalid { file: self.file.to_owned(), line, key, problem: message }
    }

    fn line(&self, offset: usize) -> usize {
        1 + self.text.bytes().take(offset).filter(|byte| *byte == b'\n').count()
    }
}

/// Appends a suggestion to the TOML parser's message "unknown field `x`, expected one of `y`, `z`".
fn with_suggestion(message: &str) -> String {
    let message = message.trim();
    let mut words = message.split('`').skip(1).step_by(2);
    let suggestion = match words.next() {
        Some(given) if message.starts_with("unknown") => suggest_name(given, words),
        _ => String::new(),
    };
    // The list of expected names is dropped if there is a suggestion, since the suggestion would be hard to find
    // after it.
    let short = message
        .split_once(", expected")
        .filter(|_| !suggestion.is_empty())
        .map_or(message, |(short, _)| short);
    format!("{short}{suggestion}")
}

/// Returns the path of the smallest key or value that contains the range `at` of the text.
fn key_at(table: &Spanned<DeTable<'_>>, at: &Range<usize>) -> String {
    let mut best = (usize::MAX, String::new());
    search_table(table.get_ref(), "", at, &mut best);
    best.1
}

fn search_table(table: &DeTable<'_>, path: &str, at: &Range<usize>, best: &mut (usize, String)) {
    for (name, value) in table {
        let path =
            if path.is_empty() { name.get_ref().to_string() } else { format!("{path}.{}", name.get_ref()) };
        consider(&name.span(), &path, at, best);
        search(value, &path, at, best);
    }
}

fn search(value: &Spanned<DeValue<'_>>, path: &str, at: &Range<usize>, best: &mut (usize, String)) {
    consider(&value.span(), path, at, best);
    match value.get_ref() {
        DeValue::Table(table) => search_table(table, path, at, best),
        DeValue::Array(items) => {
            for (i, item) in items.iter().enumerate() {
                search(item, &format!("{path}[{i}]"), at, best);
            }
        }
        _ => {}
    }
}

fn consider(span: &Range<usize>, path: &str, at: &Range<usize>, best: &mut (usize, String)) {
    let size = span.end.saturating_sub(span.start);
    let contains = span.start <= at.start && at.start < span.end.max(span.start + 1) && at.end <= span.end;
    if contains && (size < best.0 || (size == best.0 && path.len() > best.1.len())) {
        *best = (size, path.to_owned());
    }
}

/// Returns the byte offset of a key. If the key is not in the file, returns the offset of its closest parent that is.
fn offset_of(key: &str, table: &Spanned<DeTable<'_>>) -> Option<usize> {
    let mut table = table.get_ref();
    let mut offset = None;
    for step in key.split('.') {
        let (name, item) = match step.split_once('[') {
            Some((name, item)) => (name, item.trim_end_matches(']').parse::<usize>().ok()),
            None => (step, None),
        };
        let Some((found, mut value)) = table.get_key_value(name) else { break };
        offset = Some(found.span().start);
        if let Some(inner) = item.and_then(|item| value.get_ref().as_array()?.get(item)) {
            offset = Some(inner.span().start);
            value = inner;
        }
        match value.get_ref() {
            DeValue::Table(inner) => table = inner,
            _ => break,
        }
    }
    offset
}
