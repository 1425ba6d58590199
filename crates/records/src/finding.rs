//! What may be wrong with records, or new in them.

use crate::record::MAX_LINE_BYTES;

/// Something wrong, missing or new.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Finding {
    /// The line breaks off: the file is still being written, or its writer died.
    #[error("the line breaks off after {bytes} bytes")]
    Truncated {
        /// What there is of it.
        bytes: usize,
    },
    /// The line is not a record.
    #[error("no record: {why}")]
    Malformed {
        /// What the parser says.
        why: String,
    },
    /// The line is longer than [`MAX_LINE_BYTES`]; it was passed over unread.
    #[error("the line is longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// An event that this reader doesn't know; its record is left out.
    #[error("the event '{event}' is unknown here")]
    UnknownEvent {
        /// Its name.
        event: String,
    },
    /// A field that this reader doesn't know; the record comes without it. Reported once for each.
    #[error("the field '{field}' of '{event}' is unknown here")]
    UnknownField {
        /// The event.
        event: String,
        /// The field, with those that it is within.
        field: String,
    },
    /// From here on, the schema is newer: what is known here may mean something else. Reported when it changes.
    #[error("schema {v} is newer than this reader")]
    NewerSchema {
        /// Its version.
        v: u32,
    },
    /// Records are missing that no `dropped` record accounts for.
    #[error("{count} records are missing, from seq {since} on")]
    Gap {
        /// The first of them.
        since: u64,
        /// How many.
        count: u64,
    },
    /// The first record is not an incarnation's first: earlier ones were removed, usually by rotation.
    #[error("records before seq {seq} are not here any more")]
    StartsMidSequence {
        /// The first that there is.
        seq: u64,
    },
    /// The sequence goes back without a `start`: lines were copied, or a `start` is missing.
    #[error("seq {found} comes where {expected} should: a start is missing, or lines are double")]
    SequenceWentBack {
        /// The `seq` to come.
        expected: u64,
        /// The one that came.
        found: u64,
    },
    /// The source can't be read further.
    #[error("cannot be read further: {why}")]
    Unreadable {
        /// The system's reason.
        why: String,
    },
}
