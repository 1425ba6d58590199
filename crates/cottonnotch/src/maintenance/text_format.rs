//! The text format of the saved state: a first line with the format's name and version, one line for each override,
//! and a last line with a checksum of everything before it. A text is accepted completely or not at all.

use super::{MAX_OVERRIDES, Maintenance, ManualOverride};
use cottonnotch_decision::names::digest;
use std::fmt::Write;

/// The first line. A state of another version is rejected, because the same words may have another meaning there.
const FORMAT: &str = "cottonnotch-maintenance 1";
/// The first word of the line of a render node that is out of use.
const OUT: &str = "out";
/// The first word of the line of a render node that is back in use.
const BACK: &str = "back";
/// The maximum size of a saved state in bytes; a larger one is rejected.
pub const MAX_BYTES: usize = 512 * 1024;

/// Why a saved state cannot be decoded.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum MaintenanceDecodeError {
    #[error("it is longer than {MAX_BYTES} bytes")]
    TooLong,
    #[error("it has another format or version")]
    InvalidFormat,
    #[error("its checksum is wrong: it is incomplete, damaged or from another program")]
    WrongChecksum,
    #[error("line {0} cannot be read")]
    InvalidLine(usize),
}

/// Encodes a state.
pub fn encode(state: &Maintenance) -> String {
    let mut text = format!("{FORMAT}\n");
    for (id, ManualOverride { set_at, is_out, out_since }) in state.overrides() {
        let state = if is_out { OUT } else { BACK };
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{state} {set_at} {out_since} {id}");
    }
    let sum = digest(&text);
    let _ = writeln!(text, "end {sum:016x}");
    text
}

/// Decodes a state. Fails unless the text is complete and was written by [`encode`].
pub fn decode(bytes: &[u8]) -> Result<Maintenance, MaintenanceDecodeError> {
    if bytes.len() > MAX_BYTES {
        return Err(MaintenanceDecodeError::TooLong);
    }
    let text = std::str::from_utf8(bytes).map_err(|_| MaintenanceDecodeError::InvalidFormat)?;
    let rest = text
        .strip_prefix(FORMAT)
        .and_then(|rest| rest.strip_prefix('\n'))
        .ok_or(MaintenanceDecodeError::InvalidFormat)?;
    let end = rest.rfind("end ").ok_or(MaintenanceDecodeError::WrongChecksum)?;
    let (lines, end) = rest.split_at(end);
    let before = &text[..text.len() - end.len()];
    if end != format!("end {:016x}\n", digest(before)) {
        return Err(MaintenanceDecodeError::WrongChecksum);
    }
    let overrides = lines
        .lines()
        .enumerate()
        .map(|(i, line)| parse_override(line).ok_or(MaintenanceDecodeError::InvalidLine(i + 2)));
    let overrides = overrides.collect::<Result<Vec<_>, _>>()?;
    if overrides.len() > MAX_OVERRIDES {
        Err(MaintenanceDecodeError::TooLong)
    } else {
        Ok(Maintenance::from_overrides(overrides))
    }
}

fn parse_override(line: &str) -> Option<(String, ManualOverride)> {
    let mut words = line.splitn(4, ' ');
    let is_out = match words.next()? {
        OUT => true,
        BACK => false,
        _ => return None,
    };
    let (set_at, out_since) = (words.next()?.parse().ok()?, words.next()?.parse().ok()?);
    let id = words.next().filter(|id| !id.is_empty())?;
    Some((id.to_owned(), ManualOverride { set_at, is_out, out_since }))
}
