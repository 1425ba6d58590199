//! The first line of a client: `OPEN ID KEY name=value,...`.

use crate::time::{MS, Micros};

/// Why a first line is rejected. The client receives this text after `ERR`.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub(super) enum FirstLineError {
    #[error("the line is not text")]
    NotText,
    #[error("the line is not OPEN ID KEY NAMES")]
    Malformed,
    #[error("'{0}' is missing or no such figure")]
    InvalidValue(&'static str),
}

/// A valid first line.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct FirstLine {
    pub id: u64,
    pub class: String,
    /// The render node that already holds the connection.
    pub at: Option<String>,
    /// How long the client waits for its answer.
    pub wait: Option<Micros>,
    text: String,
}

impl FirstLine {
    /// Parses a line without its line end.
    pub fn parse(line: &[u8]) -> Result<Self, FirstLineError> {
        let text = std::str::from_utf8(line).map_err(|_| FirstLineError::NotText)?;
        if !text.bytes().all(|b| b == b' ' || b.is_ascii_graphic()) {
            return Err(FirstLineError::NotText);
        }
        let words: Vec<&str> = text.split(' ').collect();
        let ["OPEN", id, key, names] = words[..] else { return Err(FirstLineError::Malformed) };
        let hexadecimal = |word: &str| !word.is_empty() && word.bytes().all(|b| b.is_ascii_hexdigit());
        if !hexadecimal(key) {
            return Err(FirstLineError::InvalidValue("key"));
        }
        let id = u64::from_str_radix(id, 16)
            .ok()
            .filter(|_| hexadecimal(id))
            .ok_or(FirstLineError::InvalidValue("id"))?;
        let (mut class, mut at, mut wait) = (None, None, None);
        for pair in names.split(',') {
            match pair.split_once('=').ok_or(FirstLineError::Malformed)? {
                ("c", value) => class = Some(value.to_owned()),
                ("at", value) => at = Some(value.to_owned()),
                ("d", value) => {
                    let ms = value.parse::<u32>().ok().filter(|ms| *ms > 0 && !value.starts_with('+'));
                    wait = Some(Micros::from(ms.ok_or(FirstLineError::InvalidValue("d"))?) * MS);
                }
                _ => {}
            }
        }
        let class = class.ok_or(FirstLineError::InvalidValue("c"))?;
        Ok(FirstLine { id, class, at, wait, text: text.to_owned() })
    }

    /// The line for a render node: the client's line, with `d` replaced by the time that the proxy waits.
    pub fn forwarded(&self, wait: Micros) -> Vec<u8> {
        let (head, names) = self.text.rsplit_once(' ').unwrap_or(("", &self.text));
        let d = format!("d={}", (wait / MS).max(1));
        let names: Vec<&str> =
            names.split(',').map(|pair| if pair.starts_with("d=") { &d } else { pair }).collect();
        format!("{head} {}\r\n", names.join(",")).into_bytes()
    }

    /// The forwarded line with the last digit of the key changed, for `Fault::BadFirstLine`.
    pub fn with_wrong_key(&self, wait: Micros) -> Vec<u8> {
        let mut line = self.forwarded(wait);
        // The third space follows the key.
        let spaces = line.iter().enumerate().filter(|(_, b)| **b == b' ').map(|(i, _)| i);
        if let Some(end) = spaces.take(3).last() {
            line[end - 1] = if line[end - 1] == b'0' { b'1' } else { b'0' };
        }
        line
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn forwarding_changes_only_d() {
        let line = FirstLine::parse(b"OPEN 9b1f 7f30 c=chat,t=acme,d=2000,g=5c0f,h=1.5").unwrap();
        assert_eq!((line.id, line.class.as_str(), line.wait), (0x9b1f, "chat", Some(2_000_000)));
        assert_eq!(line.forwarded(350_900), b"OPEN 9b1f 7f30 c=chat,t=acme,d=350,g=5c0f,h=1.5\r\n");
        assert_eq!(line.with_wrong_key(350_900), b"OPEN 9b1f 7f31 c=chat,t=acme,d=350,g=5c0f,h=1.5\r\n");
        let open_before = FirstLine::parse(b"OPEN 1 2 c=chat,at=s-5b").unwrap();
        assert_eq!((open_before.at.as_deref(), open_before.wait), (Some("s-5b"), None));
        assert_eq!(open_before.forwarded(1), b"OPEN 1 2 c=chat,at=s-5b\r\n");
    }

    #[test]
    fn invalid_lines_are_rejected_with_their_reason() {
        use FirstLineError::*;
        let bad: [(&[u8], FirstLineError); 10] = [
            (b"\xff\x00", NotText),
            (b"", Malformed),
            (b"GET / HTTP/1.1", Malformed),
            (b"OPEN 1 2 c", Malformed),
            (b"OPEN 1 2 c=a d=1", Malformed),
            (b"OPEN  2 c=a", InvalidValue("id")),
            (b"OPEN 1  c=a", InvalidValue("key")),
            (b"OPEN 11111111111111111 2 c=a", InvalidValue("id")),
            (b"OPEN 1 2 c=a,d=-1", InvalidValue("d")),
            (b"OPEN 1 2 d=5", InvalidValue("c")),
        ];
        for (line, error) in bad {
            assert_eq!(FirstLine::parse(line), Err(error), "{}", line.escape_ascii());
        }
    }
}
