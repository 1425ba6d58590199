//! Stores the wall-clock steps that a process has observed, for the next process at the same address. A process
//! cannot detect a step that happened before it started; without the file, a render node that started just before a
//! step of an hour would be treated as an hour old.
//!
//! The file is small and replaced as a whole. Its times are those of the machine's monotonic clock, so it is valid
//! only until the machine reboots. A file that cannot be read or is from another boot is ignored.

use super::machine_clock::machine_now;
use cottonnotch_decision::Micros;
use cottonnotch_decision::names::digest;
use cottonnotch_proxy_core::{ClockOffset, WallClock};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// The first line of the file. A file with another format version is ignored.
const FORMAT: &str = "cottonnotch-clock-1";
/// The file that holds the id of the machine's current boot.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";
/// Maximum size of the file in bytes.
const MAX_BYTES: u64 = 4096;

/// The clock file, if there is a folder for it.
#[derive(Debug)]
pub struct ClockFile {
    path: Option<PathBuf>,
    boot_id: String,
    /// Offset of the event loop's clock from the machine's monotonic clock.
    loop_offset: Micros,
}

impl ClockFile {
    /// Stores the history at `path`; `now` is the time of the event loop's clock.
    pub fn new(path: Option<PathBuf>, now: Micros) -> Self {
        // Without a boot id, nothing can be stored.
        let boot_id = fs::read_to_string(BOOT_ID_PATH).map(|id| id.trim().to_owned()).unwrap_or_default();
        let path = path.filter(|_| !boot_id.is_empty());
        ClockFile { path, boot_id, loop_offset: now - machine_now() }
    }

    /// Creates a clock file with a fixed boot id, for tests that compare the file's text.
    #[cfg(test)]
    pub fn with_boot_id(path: PathBuf, boot_id: &str, loop_offset: Micros) -> Self {
        ClockFile { path: Some(path), boot_id: boot_id.to_owned(), loop_offset }
    }

    /// Creates the wall clock from the history that earlier processes stored and the present time.
    pub fn load(&self, now: Micros, unix: Micros) -> WallClock {
        let offsets = self.path.as_deref().and_then(|path| self.read(path)).unwrap_or_default();
        WallClock::with_history(offsets, now, unix)
    }

    fn read(&self, path: &Path) -> Option<Vec<ClockOffset>> {
        let metadata = fs::symlink_metadata(path).ok()?;
        if !metadata.is_file() || metadata.len() > MAX_BYTES {
            return None;
        }
        let text = fs::read_to_string(path).ok()?;
        let (body, checksum) = text.trim_end().rsplit_once('\n')?;
        let mut lines = body.lines();
        let is_valid = checksum == format!("{:016x}", digest(body)) && lines.next() == Some(FORMAT);
        if !is_valid || lines.next() != Some(self.boot_id.as_str()) {
            return None;
        }
        lines.map(|line| self.parse_offset(line)).collect()
    }

    fn parse_offset(&self, line: &str) -> Option<ClockOffset> {
        let mut numbers = line.split(' ').map(str::parse::<Micros>);
        let mut next = || numbers.next()?.ok();
        let (offset, from, seen) = (next()?, next()?, next()?);
        let from = (from >= 0).then_some(from + self.loop_offset);
        Some(ClockOffset { offset: offset - self.loop_offset, from, seen: seen + self.loop_offset })
    }

    /// Stores the known offsets of the wall clock.
    ///
    /// Returns the system's error if that fails; the previous file then stays in place.
    pub fn save(&self, clock: &WallClock) -> io::Result<()> {
        let Some(path) = self.path.as_deref() else { return Ok(()) };
        let mut body = format!("{FORMAT}\n{}", self.boot_id);
        for ClockOffset { offset, from, seen } in clock.offsets() {
            // Times of the machine's monotonic clock are never negative, so -1 stands for an absent time.
            let from = from.map_or(-1, |from| (from - self.loop_offset).max(0));
            body.push_str(&format!("\n{} {from} {}", offset + self.loop_offset, seen - self.loop_offset));
        }
        let temporary_path = path.with_extension(format!("clock-{}.new", std::process::id()));
        let text = format!("{body}\n{:016x}\n", digest(&body));
        let saved = fs::write(&temporary_path, text).and_then(|()| fs::rename(&temporary_path, path));
        if saved.is_err() {
            // Removes the incomplete file.
            let _ = fs::remove_file(&temporary_path);
        }
        saved
    }
}
