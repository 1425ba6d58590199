//! The proxy's own records: one JSON object a line. Types and schema, a writer that the proxy's loop never waits
//! for, and a reader that gets through damaged files and says what it met.
//!
//! `docs/records.md` describes the schema, `docs/design/records.md` why it is built so.

mod config;
mod endpoint;
mod event;
mod finding;
mod hex;
mod names;
mod parse;
mod process;
mod reader;
mod record;
mod recorder;
mod request;
mod sequence;
mod sink;
mod writer;

pub use config::{RecordsSection, RecordsSectionError, Settings, Target};
pub use endpoint::{EndpointChange, EndpointState, Phase};
pub use event::Event;
pub use finding::Finding;
pub use hex::Hex;
pub use names::{Name, Reason};
pub use process::{PeerState, Reload};
pub use reader::{Line, LineContent, Location, Reader, RotatedSet};
pub use record::{MAX_LINE_BYTES, Record, SCHEMA};
pub use recorder::{Counts, Identity, Recorder, RecorderError};
pub use request::{Answer, AppliedRules, MoveReason, Outcome};
