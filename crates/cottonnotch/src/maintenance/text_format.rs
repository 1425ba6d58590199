//! The state as a small text that is taken whole or not at all: a first line with the form's name and version, one line
//! for each call, and a last line with a checksum over all before it.

use super::{MOST_MARKS, Maintenance, Mark};
use cottonnotch_decision::names::digest;
use std::fmt::Write;

/// The first line. Another version's state is refused: it may mean something else by the same words.
const FORM: &str = "cottonnotch-maintenance 1";
/// No saved state is longer.
pub const MOST_BYTES: usize = 512 * 1024;

/// Why a saved state is not taken.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum BadSave {
    #[error("it is longer than {MOST_BYTES} bytes")]
    TooLong,
    #[error("it is of another form or version")]
    Form,
    #[error("its checksum is wrong: it is torn, or not ours")]
    Checksum,
    #[error("line {0} cannot be read")]
    Line(usize),
}

/// The text of a state.
pub fn encode(state: &Maintenance) -> String {
    let mut text = format!("{FORM}\n");
    for (id, Mark { at, out, since }) in state.marks() {
        let word = if out { "out" } else { "back" };
        // A text takes whatever is written.
        let _ = writeln!(text, "{word} {at} {since} {id}");
    }
    let sum = digest(&text);
    let _ = writeln!(text, "end {sum:016x}");
    text
}

/// The state of a text.
pub fn decode(bytes: &[u8]) -> Result<Maintenance, BadSave> {
    if bytes.len() > MOST_BYTES {
        return Err(BadSave::TooLong);
    }
    let text = std::str::from_utf8(bytes).map_err(|_| BadSave::Form)?;
    let rest = text.strip_prefix(FORM).and_then(|rest| rest.strip_prefix('\n')).ok_or(BadSave::Form)?;
    let end = rest.rfind("end ").ok_or(BadSave::Checksum)?;
    let (calls, end) = rest.split_at(end);
    let before = &text[..text.len() - end.len()];
    if end != format!("end {:016x}\n", digest(before)) {
        return Err(BadSave::Checksum);
    }
    let marks = calls.lines().enumerate().map(|(i, line)| mark(line).ok_or(BadSave::Line(i + 2)));
    let marks = marks.collect::<Result<Vec<_>, _>>()?;
    if marks.len() > MOST_MARKS { Err(BadSave::TooLong) } else { Ok(Maintenance::of(marks)) }
}

fn mark(line: &str) -> Option<(String, Mark)> {
    let mut words = line.splitn(4, ' ');
    let out = match words.next()? {
        "out" => true,
        "back" => false,
        _ => return None,
    };
    let (at, since) = (words.next()?.parse().ok()?, words.next()?.parse().ok()?);
    let id = words.next().filter(|id| !id.is_empty())?;
    Some((id.to_owned(), Mark { at, out, since }))
}
