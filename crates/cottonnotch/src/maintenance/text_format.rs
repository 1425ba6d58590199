//! The state as a small text that is taken whole or not at all: a first line with the form's name and version, one line
//! for each call, and a last line with a checksum over all before it.

use super::{MAX_OVERRIDES, Maintenance, ManualOverride};
use cottonnotch_decision::names::digest;
use std::fmt::Write;

/// The first line. Another version's state is refused: it may mean something else by the same words.
const FORMAT: &str = "cottonnotch-maintenance 1";
/// No saved state is longer.
pub const MAX_BYTES: usize = 512 * 1024;

/// Why a saved state is not taken.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum MaintenanceDecodeError {
    #[error("it is longer than {MAX_BYTES} bytes")]
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
    let mut text = format!("{FORMAT}\n");
    for (id, ManualOverride { at, out, since }) in state.overrides() {
        let word = if out { "out" } else { "back" };
        // A text takes whatever is written.
        let _ = writeln!(text, "{word} {at} {since} {id}");
    }
    let sum = digest(&text);
    let _ = writeln!(text, "end {sum:016x}");
    text
}

/// The state of a text.
pub fn decode(bytes: &[u8]) -> Result<Maintenance, MaintenanceDecodeError> {
    if bytes.len() > MAX_BYTES {
        return Err(MaintenanceDecodeError::TooLong);
    }
    let text = std::str::from_utf8(bytes).map_err(|_| MaintenanceDecodeError::Form)?;
    let rest = text
        .strip_prefix(FORMAT)
        .and_then(|rest| rest.strip_prefix('\n'))
        .ok_or(MaintenanceDecodeError::Form)?;
    let end = rest.rfind("end ").ok_or(MaintenanceDecodeError::Checksum)?;
    let (calls, end) = rest.split_at(end);
    let before = &text[..text.len() - end.len()];
    if end != format!("end {:016x}\n", digest(before)) {
        return Err(MaintenanceDecodeError::Checksum);
    }
    let overrides = calls
        .lines()
        .enumerate()
        .map(|(i, line)| parse_override(line).ok_or(MaintenanceDecodeError::Line(i + 2)));
    let overrides = overrides.collect::<Result<Vec<_>, _>>()?;
    if overrides.len() > MAX_OVERRIDES {
        Err(MaintenanceDecodeError::TooLong)
    } else {
        Ok(Maintenance::from_overrides(overrides))
    }
}

fn parse_override(line: &str) -> Option<(String, ManualOverride)> {
    let mut words = line.splitn(4, ' ');
    let out = match words.next()? {
        "out" => true,
        "back" => false,
        _ => return None,
    };
    let (at, since) = (words.next()?.parse().ok()?, words.next()?.parse().ok()?);
    let id = words.next().filter(|id| !id.is_empty())?;
    Some((id.to_owned(), ManualOverride { at, out, since }))
}
