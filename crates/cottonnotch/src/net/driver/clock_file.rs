//! What a process has seen of the wall clock, stored for the next one at the same address: a step before a process began
//! can't be seen by itself, and a render node that started just before it would count as an hour old.
//!
//! The file is small and replaced as a whole. It counts within one boot of the machine, whose monotonic clock it is in;
//! what can't be read or is of another boot counts as none.

use super::machine_clock::machine_now;
use cottonnotch_decision::Micros;
use cottonnotch_decision::names::digest;
use cottonnotch_proxy_core::{ClockOffset, WallClock};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// The first word. Another version's file is left alone: it may mean something else.
const FORMAT: &str = "cottonnotch-clock-1";
/// Tells one boot of the machine from another.
const BOOT: &str = "/proc/sys/kernel/random/boot_id";
/// No file is longer.
const MAX_BYTES: u64 = 4096;

/// The file, if there is a folder for it.
#[derive(Debug)]
pub struct ClockFile {
    path: Option<PathBuf>,
    boot: String,
    /// The loop's clock less the machine's monotonic one.
    shift: Micros,
}

impl ClockFile {
    /// In this file; `now` is the loop's clock.
    pub fn at(path: Option<PathBuf>, now: Micros) -> Self {
        // Without it nothing can be stored.
        let boot = fs::read_to_string(BOOT).map(|id| id.trim().to_owned()).unwrap_or_default();
        let path = path.filter(|_| !boot.is_empty());
        ClockFile { path, boot, shift: now - machine_now() }
    }

    /// A file of this boot, for tests that hold its text equal.
    #[cfg(test)]
    pub fn of_boot(path: PathBuf, boot: &str, shift: Micros) -> Self {
        ClockFile { path: Some(path), boot: boot.to_owned(), shift }
    }

    /// The wall clock as earlier processes and this one have seen it.
    pub fn load(&self, now: Micros, unix: Micros) -> WallClock {
        let eras = self.path.as_deref().and_then(|path| self.read(path)).unwrap_or_default();
        WallClock::with_history(eras, now, unix)
    }

    fn read(&self, path: &Path) -> Option<Vec<ClockOffset>> {
        let metadata = fs::symlink_metadata(path).ok()?;
        if !metadata.is_file() || metadata.len() > MAX_BYTES {
            return None;
        }
        let text = fs::read_to_string(path).ok()?;
        let (body, sum) = text.trim_end().rsplit_once('\n')?;
        let mut lines = body.lines();
        let is_ours = sum == format!("{:016x}", digest(body)) && lines.next() == Some(FORMAT);
        if !is_ours || lines.next() != Some(self.boot.as_str()) {
            return None;
        }
        lines.map(|line| self.era(line)).collect()
    }

    fn era(&self, line: &str) -> Option<ClockOffset> {
        let mut numbers = line.split(' ').map(str::parse::<Micros>);
        let mut next = || numbers.next()?.ok();
        let (offset, from, seen) = (next()?, next()?, next()?);
        let from = (from >= 0).then_some(from + self.shift);
        Some(ClockOffset { offset: offset - self.shift, from, seen: seen + self.shift })
    }

    /// Stores what is known now. Fails as the system calls do; what was stored before stands then.
    pub fn save(&self, clock: &WallClock) -> io::Result<()> {
        let Some(path) = self.path.as_deref() else { return Ok(()) };
        let mut body = format!("{FORMAT}\n{}", self.boot);
        for ClockOffset { offset, from, seen } in clock.offsets() {
            // Times of the machine's monotonic clock are never negative: that stands for none.
            let from = from.map_or(-1, |from| (from - self.shift).max(0));
            body.push_str(&format!("\n{} {from} {}", offset + self.shift, seen - self.shift));
        }
        let new = path.with_extension(format!("clock-{}.new", std::process::id()));
        let text = format!("{body}\n{:016x}\n", digest(&body));
        let saved = fs::write(&new, text).and_then(|()| fs::rename(&new, path));
        if saved.is_err() {
            // What was begun is no use to anybody.
            let _ = fs::remove_file(&new);
        }
        saved
    }
}
