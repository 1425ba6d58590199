//! A stream of JSON texts one after another, each ending where it is complete: neither a line's nor a chunk's end means
//! anything, and a text may be spread over many lines. No I/O.
//!
//! Where a text ends is found by `serde_json`'s stream, which keeps no values; whoever takes the text reads it with
//! the parser of his choice. What that costs: a text is looked through twice, and one that comes in many pieces up
//! to three times more.

use serde::de::IgnoredAny;

/// A text is not longer: a list of some thirty thousand members.
pub const MAX_TEXT: usize = 4 * 1024 * 1024;

/// Why the stream cannot be read on.
#[derive(Debug, thiserror::Error)]
pub enum JsonStreamError {
    /// It is no JSON object. Line and column are counted from the text's beginning.
    #[error("it is not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The text is longer than its bound.
    #[error("a JSON text of over {MAX_TEXT} bytes")]
    TooLong,
}

/// Splits a stream of bytes into JSON objects.
#[derive(Debug, Default)]
pub struct JsonStream {
    /// From the beginning of the text that is not complete yet.
    buffer: Vec<u8>,
    /// The last byte that is no blank closed an object.
    ends_with_object: bool,
    /// Length of the buffer when it was last searched in vain.
    searched: usize,
}

impl JsonStream {
    /// Before the first byte.
    pub fn new() -> Self {
        JsonStream::default()
    }

    /// Takes bytes as they arrived and appends the texts that are complete now. Those before an error are appended too.
    pub fn feed(&mut self, bytes: &[u8], texts: &mut Vec<Vec<u8>>) -> Result<(), JsonStreamError> {
        let bytes = if self.buffer.is_empty() { bytes.trim_ascii_start() } else { bytes };
        self.buffer.extend_from_slice(bytes);
        if self.may_be_complete(bytes) {
            self.split(texts)?;
        }
        if self.buffer.len() > MAX_TEXT { Err(JsonStreamError::TooLong) } else { Ok(()) }
    }

    /// Whether a text has begun and is not complete.
    pub fn has_partial_text(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Guards against a search through a long text with each piece of it: one is due when an object may have ended, which a
    /// comma or another bracket behind it rules out, or when twice as much is there as the last time.
    fn may_be_complete(&mut self, bytes: &[u8]) -> bool {
        let mut ended = false;
        for byte in bytes.iter().filter(|byte| !byte.is_ascii_whitespace()) {
            ended |= self.ends_with_object && !matches!(byte, b',' | b']' | b'}');
            self.ends_with_object = *byte == b'}';
        }
        !self.buffer.is_empty() && (ended || self.ends_with_object || self.buffer.len() >= 2 * self.searched)
    }

    fn split(&mut self, texts: &mut Vec<Vec<u8>>) -> Result<(), JsonStreamError> {
        let mut used = 0;
        let mut fault = None;
        loop {
            let rest = &self.buffer[used..];
            let begin = rest.len() - rest.trim_ascii_start().len();
            let rest = &rest[begin..];
            // Only objects show by themselves where they end: of a number more digits may come.
            if rest.first().is_some_and(|first| *first != b'{') {
                fault = serde_json::from_slice::<serde_json::Map<String, serde_json::Value>>(rest).err();
                break;
            }
            let mut stream = serde_json::Deserializer::from_slice(rest).into_iter::<IgnoredAny>();
            match stream.next() {
                Some(Ok(_)) => {
                    let end = stream.byte_offset();
                    texts.push(rest[..end].to_vec());
                    used += begin + end;
                }
                Some(Err(error)) if !error.is_eof() && !is_cut_within_a_number(rest) => {
                    fault = Some(error);
                    break;
                }
                Some(Err(_)) | None => {
                    used += begin;
                    break;
                }
            }
        }
        self.buffer.drain(..used);
        self.searched = self.buffer.len();
        fault.map_or(Ok(()), |error| Err(error.into()))
    }
}

/// The text only ends within a number so far: after its sign, its point or the `e`. Guards against a piece that ends right
/// there: what skips values in `serde_json` calls that a bad number, and not a text whose end is missing.
fn is_cut_within_a_number(text: &[u8]) -> bool {
    let is_figure = |byte: &u8| matches!(byte, b'0'..=b'9' | b'+' | b'-' | b'.' | b'e' | b'E');
    let before = &text[..text.len() - text.iter().rev().take_while(|byte| is_figure(byte)).count()];
    let rest = serde_json::Deserializer::from_slice(before).into_iter::<IgnoredAny>().next();
    before.len() < text.len() && rest.is_some_and(|rest| rest.is_err_and(|error| error.is_eof()))
}

#[cfg(test)]
#[path = "json_stream_tests.rs"]
mod tests;
