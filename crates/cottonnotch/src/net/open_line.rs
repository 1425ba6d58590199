//! The first line of a client's connection: `OPEN ID KEY name=value,...`.

use super::network_event::ConnectionRequest;
use cottonnotch_decision::Micros;
use cottonnotch_decision::names::digest;

/// What is wrong with a first line; the text is what the client is answered.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum OpenLineError {
    #[error("the line is not text")]
    NotText,
    #[error("the line is not OPEN ID KEY NAMES")]
    NotOpen,
    #[error("no class is named")]
    NoClass,
    #[error("the figure of '{0}' cannot be read")]
    BadFigure(&'static str),
    #[error("a name is given twice")]
    Twice,
}

/// A first line, kept as it came so that it can go on unchanged.
#[derive(Clone, Debug)]
pub struct OpenLine {
    text: String,
    /// Where the value of `d` stands in the text.
    wait: Option<(usize, usize)>,
}

impl OpenLine {
    /// The client's id for this connection, as it came: the request's name in the log.
    pub fn id(&self) -> &str {
        self.text.split(' ').nth(1).unwrap_or("-")
    }

    /// Reads a line without its end.
    pub fn parse(line: &[u8]) -> Result<(OpenLine, ConnectionRequest), OpenLineError> {
        let text = std::str::from_utf8(line).map_err(|_| OpenLineError::NotText)?;
        if !text.bytes().all(|b| b == b' ' || b.is_ascii_graphic()) {
            return Err(OpenLineError::NotText);
        }
        let mut words = text.split(' ');
        let (verb, id, key, names) = (words.next(), words.next(), words.next(), words.next());
        let is_given = |word: Option<&str>| word.is_some_and(|w| !w.is_empty());
        let names =
            names.filter(|_| verb == Some("OPEN") && is_given(id) && is_given(key) && words.next().is_none());
        let names = names.ok_or(OpenLineError::NotOpen)?;
        let id = id.and_then(parse_id).ok_or(OpenLineError::BadFigure("id"))?;
        let mut wanted = ConnectionRequest {
            id,
            class: String::new(),
            tenant: None,
            time_left: None,
            load_hint: None,
            group: None,
            is_repeat: false,
            current_endpoint: None,
        };
        let mut wait = None;
        let mut start = text.len() - names.len();
        let mut seen = Vec::new();
        for pair in names.split(',') {
            let (name, value) = pair.split_once('=').ok_or(OpenLineError::NotOpen)?;
            if name.is_empty() || seen.contains(&name) {
                return Err(OpenLineError::Twice);
            }
            seen.push(name);
            match name {
                "c" => wanted.class = value.to_owned(),
                "t" => wanted.tenant = Some(value.to_owned()).filter(|t| !t.is_empty() && t != "-"),
                "d" => {
                    let figure = value.bytes().all(|b| b.is_ascii_digit()).then(|| value.parse().ok());
                    let time_left: u32 =
                        figure.flatten().filter(|d| *d > 0).ok_or(OpenLineError::BadFigure("d"))?;
                    wanted.time_left = Some(Micros::from(time_left) * 1000);
                    wait = Some((start + 2, start + pair.len()));
                }
                "g" => {
                    wanted.group = Some(u64::from_str_radix(value, 16).unwrap_or_else(|_| digest(value)));
                }
                "h" => {
                    let hint = value.parse().ok().filter(|h: &f64| h.is_finite());
                    wanted.load_hint = Some(hint.ok_or(OpenLineError::BadFigure("h"))?);
                }
                "r" => wanted.is_repeat |= parse_flag(value).ok_or(OpenLineError::BadFigure("r"))?,
                "again" => wanted.is_repeat |= parse_flag(value).ok_or(OpenLineError::BadFigure("again"))?,
                "at" => wanted.current_endpoint = Some(value.to_owned()),
                _ => {}
            }
            start += pair.len() + 1;
        }
        if wanted.class.is_empty() {
            return Err(OpenLineError::NoClass);
        }
        Ok((OpenLine { text: text.to_owned(), wait }, wanted))
    }

    /// The line for the endpoint: as it came, but `d` tells how long the proxy will wait.
    pub fn forwarded(&self, wait: Option<Micros>) -> Vec<u8> {
        let text = match (self.wait, wait) {
            (Some((from, to)), Some(wait)) => {
                let ms = (wait / 1000).max(1);
                format!("{}{ms}{}\r\n", &self.text[..from], &self.text[to..])
            }
            _ => format!("{}\r\n", self.text),
        };
        text.into_bytes()
    }
}

/// An id: hexadecimal digits, 64 bits at most.
fn parse_id(word: &str) -> Option<u64> {
    let digits = word.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(word, 16).ok()).flatten()
}

fn parse_flag(value: &str) -> Option<bool> {
    match value {
        "0" => Some(false),
        "1" => Some(true),
        _ => None,
    }
}
