//! The section `[records]` of the operator's file.

use serde::{Deserialize, Serialize};
use std::path::PathBuf;
use std::time::Duration;

use crate::record::MAX_LINE_BYTES;

/// Bytes of a file where nothing is said. With [`KEEP`] 32 MiB in all: the platform counts files as memory, and
/// grants 192 MB.
const MAX_BYTES: u64 = 8 << 20;
/// A smaller file could not hold the longest line.
const LEAST_BYTES: u64 = MAX_LINE_BYTES as u64;
/// Rotated files where nothing is said.
const KEEP: u32 = 3;
/// Fewer lose what the last rotation put aside; more are a task for a log collector, and each rotation renames all.
const KEEP_WITHIN: (u32, u32) = (1, 999);
/// Records that may wait, where nothing is said: 0.2 s of some 12,000 set-ups a second with five records each,
/// rounded up to a power of 2; about 2 MiB.
const QUEUE_RECORDS: u32 = 16_384;
/// Below, a burst of one turn of the loop is lost; above, the queue alone holds 27 MB.
const QUEUE_WITHIN: (u32, u32) = (64, 262_144);
/// Between two writes, where nothing is said: soon enough for a person who watches.
const FLUSH_MS: u32 = 200;
/// Below, the writer's wake-ups cost more than its work; above, a crash takes too much with it.
const FLUSH_WITHIN: (u32, u32) = (10, 60_000);

/// The section as it is written. Off unless `file` or `descriptor` is set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RecordsSection {
    /// Records go to this file. One proxy a file.
    pub file: Option<PathBuf>,
    /// Records go to this inherited descriptor: a pipe, a terminal, a file; a socket only as 1 or 2.
    pub descriptor: Option<u32>,
    /// Bytes of a file before it is rotated; 8 MiB unless said. Not for a descriptor, whose owner bounds it.
    pub max_bytes: Option<u64>,
    /// Rotated files beside the one that is written; 3 unless said. Not for a descriptor.
    pub keep: Option<u32>,
    /// Records that may wait for the writer; more are dropped and counted.
    pub queue_records: u32,
    /// Between two writes, in milliseconds.
    pub flush_ms: u32,
}

impl Default for RecordsSection {
    fn default() -> Self {
        RecordsSection {
            file: None,
            descriptor: None,
            max_bytes: None,
            keep: None,
            queue_records: QUEUE_RECORDS,
            flush_ms: FLUSH_MS,
        }
    }
}

/// A checked section that is on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Where records go.
    pub target: Target,
    /// Records that may wait.
    pub queue_records: usize,
    /// Between two writes.
    pub flush: Duration,
}

/// Where records go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// To a file that is rotated by size.
    File {
        /// Its path; rotated ones have `.1`, `.2` ... added.
        path: PathBuf,
        /// Its bytes at most.
        max_bytes: u64,
        /// Rotated files that are kept.
        keep: u32,
    },
    /// To an inherited descriptor.
    Descriptor(u32),
}

/// What is wrong with the section; the message names the key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordsSectionError {
    /// Two targets.
    #[error("records.file and records.descriptor are both set: keep one of them")]
    TwoTargets,
    /// A file without a name.
    #[error("records.file is empty: give a path, or leave it out to switch records off")]
    EmptyFile,
    /// Standard input, or beyond what a descriptor can be.
    #[error("records.descriptor is not an output descriptor from 1 on: '{0}'")]
    NoOutput(u32),
    /// A key that means nothing for this target.
    #[error("records.{0} is only for records.file: the owner of a descriptor bounds what it takes")]
    OnlyForFile(&'static str),
    /// Out of bounds.
    #[error("records.{key} is not within {least} to {most}: '{value}'")]
    OutOfBounds {
        /// The key.
        key: &'static str,
        /// The least allowed.
        least: u64,
        /// The most allowed.
        most: u64,
        /// What was given.
        value: u64,
    },
}

impl RecordsSection {
    /// The settings, if the section is sound; `None` if it is off. Bounds are checked even then, so that a fault
    /// shows before the day on which records are wanted.
    pub fn check(&self) -> Result<Option<Settings>, RecordsSectionError> {
        let within = |key, value: u64, (least, most): (u64, u64)| match value {
            _ if (least..=most).contains(&value) => Ok(value),
            _ => Err(RecordsSectionError::OutOfBounds { key, least, most, value }),
        };
        let wide = |(least, most): (u32, u32)| (u64::from(least), u64::from(most));
        let max_bytes = within("max_bytes", self.max_bytes.unwrap_or(MAX_BYTES), (LEAST_BYTES, u64::MAX))?;
        let keep = self.keep.unwrap_or(KEEP);
        within("keep", u64::from(keep), wide(KEEP_WITHIN))?;
        within("queue_records", u64::from(self.queue_records), wide(QUEUE_WITHIN))?;
        within("flush_ms", u64::from(self.flush_ms), wide(FLUSH_WITHIN))?;
        let target = match (&self.file, self.descriptor) {
            (Some(_), Some(_)) => return Err(RecordsSectionError::TwoTargets),
            (None, None) => return Ok(None),
            (Some(path), None) if path.as_os_str().is_empty() => return Err(RecordsSectionError::EmptyFile),
            (Some(path), None) => Target::File { path: path.clone(), max_bytes, keep },
            (None, Some(number)) => {
                if number == 0 || i32::try_from(number).is_err() {
                    return Err(RecordsSectionError::NoOutput(number));
                }
                let given = [("max_bytes", self.max_bytes.is_some()), ("keep", self.keep.is_some())];
                if let Some((key, _)) = given.into_iter().find(|(_, given)| *given) {
                    return Err(RecordsSectionError::OnlyForFile(key));
                }
                Target::Descriptor(number)
            }
        };
        Ok(Some(Settings {
            target,
            queue_records: self.queue_records as usize,
            flush: Duration::from_millis(u64::from(self.flush_ms)),
        }))
    }
}
