//! Splits a stream of concatenated JSON objects, without I/O. Line ends and chunk ends do not delimit the objects, and an
//! object may span many lines.
//!
//! `serde_json`'s stream deserializer finds the end of an object without building its value; the caller parses the text
//! with a parser of its choice. Each text is therefore scanned twice, and a text that arrives in many pieces up to three
//! times more.

use serde::de::IgnoredAny;

/// Maximum length of a JSON text in bytes, enough for a list of about 30,000 members.
pub const MAX_TEXT: usize = 4 * 1024 * 1024;

/// The reason why the stream cannot be read any further.
#[derive(Debug, thiserror::Error)]
pub enum JsonStreamError {
    /// The text is not a JSON object. Line and column are relative to the start of the text.
    #[error("it is not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The text is longer than [`MAX_TEXT`].
    #[error("a JSON text is longer than {MAX_TEXT} bytes")]
    TooLong,
}

/// Splits a stream of bytes into JSON objects.
#[derive(Debug, Default)]
pub struct JsonStream {
    /// The received part of a text that is not complete yet.
    buffer: Vec<u8>,
    /// Whether the last byte other than whitespace was a closing brace.
    ends_with_object: bool,
    /// Length of the buffer after it was last searched for complete texts.
    searched_len: usize,
}

impl JsonStream {
    /// Creates a stream that has received no bytes.
    pub fn new() -> Self {
        JsonStream::default()
    }

    /// Adds received bytes and appends all texts that are now complete to `texts`, including those before an error.
    pub fn feed(&mut self, bytes: &[u8], texts: &mut Vec<Vec<u8>>) -> Result<(), JsonStreamError> {
        let bytes = if self.buffer.is_empty() { bytes.trim_ascii_start() } else { bytes };
        self.buffer.extend_from_slice(bytes);
        if self.may_be_complete(bytes) {
            self.split(texts)?;
        }
        if self.buffer.len() > MAX_TEXT { Err(JsonStreamError::TooLong) } else { Ok(()) }
    }

    /// Whether the buffer holds the start of an incomplete text.
    pub fn has_partial_text(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether to search the buffer for a complete text. Searching a long text with every piece would take quadratic time, so
    /// a search is done only if an object may have ended (its closing brace is not followed by a comma or another closing
    /// bracket), or if the buffer has doubled since the last search.
    fn may_be_complete(&mut self, bytes: &[u8]) -> bool {
        let mut ended = false;
        for byte in bytes.iter().filter(|byte| !byte.is_ascii_whitespace()) {
            ended |= self.ends_with_object && !matches!(byte, b',' | b']' | b'}');
            self.ends_with_object = *byte == b'}';
        }
        !self.buffer.is_empty()
            && (ended || self.ends_with_object || self.buffer.len() >= 2 * self.searched_len)
    }

    fn split(&mut self, texts: &mut Vec<Vec<u8>>) -> Result<(), JsonStreamError> {
        let mut used = 0;
        let mut failure = None;
        loop {
            let rest = &self.buffer[used..];
            let begin = rest.len() - rest.trim_ascii_start().len();
            let rest = &rest[begin..];
            // Only objects are accepted, as they are self-delimiting: a number could continue with more digits.
            if rest.first().is_some_and(|first| *first != b'{') {
                failure = serde_json::from_slice::<serde_json::Map<String, serde_json::Value>>(rest).err();
                break;
            }
            let mut stream = serde_json::Deserializer::from_slice(rest).into_iter::<IgnoredAny>();
            match stream.next() {
                Some(Ok(_)) => {
                    let end = stream.byte_offset();
                    texts.push(rest[..end].to_vec());
                    used += begin + end;
                }
                Some(Err(error)) if !error.is_eof() && !ends_within_number(rest) => {
                    failure = Some(error);
                    break;
                }
                Some(Err(_)) | None => {
                    used += begin;
                    break;
                }
            }
        }
        self.buffer.drain(..used);
        self.searched_len = self.buffer.len();
        failure.map_or(Ok(()), |error| Err(error.into()))
    }
}

/// Whether the text ends within a number, for example after its sign, its decimal point or its `e`. When `serde_json` skips
/// values, it reports such a text as an invalid number instead of an unexpected end of input.
fn ends_within_number(text: &[u8]) -> bool {
    let is_number_byte = |byte: &u8| matches!(byte, b'0'..=b'9' | b'+' | b'-' | b'.' | b'e' | b'E');
    let before = &text[..text.len() - text.iter().rev().take_while(|byte| is_number_byte(byte)).count()];
    let rest = serde_json::Deserializer::from_slice(before).into_iter::<IgnoredAny>().next();
    before.len() < text.len() && rest.is_some_and(|rest| rest.is_err_and(|error| error.is_eof()))
}

#[cfg(test)]
#[path = "json_stream_tests.rs"]
mod tests;
