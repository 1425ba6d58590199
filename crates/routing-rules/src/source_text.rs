//! Line numbers and errors for positions in a file's text.

use crate::file::{MAX_NAME_BYTES, RuleFileError};

/// The text of a file, with an index of its lines.
pub(crate) struct SourceText<'a> {
    file: &'a str,
    text: &'a str,
    /// The byte offset at which each line starts, so that the line of a position is found by binary search.
    line_starts: Vec<usize>,
}

impl<'a> SourceText<'a> {
    /// Indexes the lines of a file's text.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        let newlines = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n').map(|(at, _)| at + 1);
        SourceText { file, text, line_starts: std::iter::once(0).chain(newlines).collect() }
    }

    /// The line that contains a byte offset, counted from 1.
    pub fn line(&self, offset: usize) -> u32 {
        u32::try_from(self.line_starts.partition_point(|start| *start <= offset)).unwrap_or(u32::MAX)
    }

    /// An error about a key on a line.
    pub fn error(&self, line: u32, key: &str, why: impl Into<String>) -> RuleFileError {
        RuleFileError { file: self.file.to_owned(), line, key: key.to_owned(), why: why.into() }
    }

    /// Converts an error of the TOML parser. The key is the part of the line before the first `=`.
    pub fn parser_error(&self, error: &toml::de::Error) -> RuleFileError {
        let line = error.span().map_or(0, |span| self.line(span.start));
        let text = self.text.lines().nth((line as usize).saturating_sub(1)).unwrap_or_default();
        let key = text.split('=').next().unwrap_or_default().trim();
        let key: String = key.chars().take(MAX_NAME_BYTES).collect();
        self.error(line, &key, error.message())
    }
}
