//! Positions and errors in a file's text.

use crate::file::{MAX_NAME_BYTES, RuleFileError};

/// A file's text, for the lines and errors of what is read from it.
pub(crate) struct SourceText<'a> {
    file: &'a str,
    text: &'a str,
    /// Where each line starts, so that a line is found without reading the file again.
    starts: Vec<usize>,
}

impl<'a> SourceText<'a> {
    /// The text of this file.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        let newlines = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n').map(|(at, _)| at + 1);
        SourceText { file, text, starts: std::iter::once(0).chain(newlines).collect() }
    }

    /// The line at a position in bytes.
    pub fn line(&self, at: usize) -> u32 {
        u32::try_from(self.starts.partition_point(|start| *start <= at)).unwrap_or(u32::MAX)
    }

    /// An error about a key on that line.
    pub fn error(&self, line: u32, key: &str, why: impl Into<String>) -> RuleFileError {
        RuleFileError { file: self.file.to_owned(), line, key: key.to_owned(), why: why.into() }
    }

    /// The parser's error: the key is what its line starts with.
    pub fn parser_error(&self, error: &toml::de::Error) -> RuleFileError {
        let line = error.span().map_or(0, |span| self.line(span.start));
        let text = self.text.lines().nth((line as usize).saturating_sub(1)).unwrap_or_default();
        let key = text.split('=').next().unwrap_or_default().trim();
        let key: String = key.chars().take(MAX_NAME_BYTES).collect();
        self.error(line, &key, error.message())
    }
}
