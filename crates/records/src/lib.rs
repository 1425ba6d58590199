//! The proxy's own records: one JSON object a line. Types and schema, a writer that the proxy's loop never waits
//! for, and a reader that gets through damaged files and says what it met.
//!
//! `docs/records.md` describes the schema, `docs/design/records.md` why it is built so.

mod config;
mod parse;
mod reader;
mod record;
mod recorder;
mod sequence;
mod sink;
mod writer;

pub use config::{RecordsSection, RecordsSectionError, Settings, Target};
pub use reader::{Finding, Line, LineContent, Location, Reader, RotatedSet};
pub use record::{
    Answer, AppliedRules, EndpointChange, EndpointState, Event, Hex, LONGEST_LINE, MoveReason, Name, Outcome,
    PeerState, Phase, Reason, Record, Reload, SCHEMA,
};
pub use recorder::{Counts, Identity, Recorder, RecorderError};
