//! Calls for maintenance, and the file in which they outlive the process: both processes of a replacement read and
//! write it, and each takes over what the other was told.

use crate::maintenance::{BadSave, MOST_BYTES, Maintenance, decode, encode};
use cottonnotch_decision::Micros;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// The file is looked at this often. A call on one process binds the other within it, well under the second that a call
/// has.
pub const LOOK_EVERY: Micros = 100_000;

/// Tells one writing of a file from another, without reading it.
type Stamp = (Option<SystemTime>, u64);

/// Why there is nothing to take over.
#[derive(Debug, thiserror::Error)]
pub enum NoSave {
    #[error("{0}")]
    Bad(#[from] BadSave),
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// The file, if calls are kept.
#[derive(Debug, Default)]
pub struct Kept {
    path: Option<PathBuf>,
    seen: Option<Stamp>,
}

impl Kept {
    /// Calls are kept in this file; in none, they end with the process.
    pub fn at(path: Option<PathBuf>) -> Self {
        Kept { path, seen: None }
    }

    /// There is a file to look at.
    pub fn is_kept(&self) -> bool {
        self.path.is_some()
    }

    /// What another process has written since the last look or writing, if anything.
    pub fn look(&mut self) -> Option<Result<Maintenance, NoSave>> {
        let path = self.path.as_deref()?;
        let stamp = match stamp(path) {
            Ok(stamp) => Some(stamp),
            Err(error) if error.kind() == io::ErrorKind::NotFound => None,
            Err(error) => return Some(Err(error.into())),
        };
        if stamp == self.seen {
            return None;
        }
        self.seen = stamp;
        stamp.map(|_| read(path))
    }

    /// Writes the state in place of what is there, all of it or nothing.
    pub fn save(&mut self, state: &Maintenance) -> io::Result<()> {
        let Some(path) = self.path.as_deref() else { return Ok(()) };
        // A name that no other process writes to, so that what is renamed is whole.
        let new = path.with_extension(format!("{}.new", std::process::id()));
        let written = File::create(&new)
            .and_then(|mut file| file.write_all(encode(state).as_bytes()))
            .and_then(|()| fs::rename(&new, path));
        if let Err(error) = written {
            // What was begun is no use to anybody.
            let _ = fs::remove_file(&new);
            return Err(error);
        }
        self.seen = stamp(path).ok();
        Ok(())
    }
}

fn stamp(path: &Path) -> io::Result<Stamp> {
    let metadata = fs::symlink_metadata(path)?;
    #[cfg(unix)]
    let place = std::os::unix::fs::MetadataExt::ino(&metadata);
    Ok((metadata.modified().ok(), place))
}

fn read(path: &Path) -> Result<Maintenance, NoSave> {
    // Guards against what is no plain file: a pipe of that name would hold up the loop.
    if !fs::symlink_metadata(path)?.is_file() {
        return Err(BadSave::Form.into());
    }
    let mut bytes = Vec::new();
    File::open(path)?.take(MOST_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    Ok(decode(&bytes)?)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn two() -> (tempfile::TempDir, Kept, Kept) {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("x.maintenance");
        (folder, Kept::at(Some(path.clone())), Kept::at(Some(path)))
    }

    #[test]
    fn what_one_process_writes_the_other_finds_once() {
        let (_folder, mut one, mut other) = two();
        assert!(one.look().is_none(), "nothing is there");
        let mut state = Maintenance::default();
        state.enter(5, "s1");
        one.save(&state).unwrap();
        assert!(one.look().is_none(), "its own writing is no news");
        assert_eq!(other.look().unwrap().unwrap(), state);
        assert!(other.look().is_none(), "told once");
    }

    #[test]
    fn what_is_torn_or_foreign_is_refused_and_what_is_written_next_counts() {
        let (folder, mut one, mut other) = two();
        let path = folder.path().join("x.maintenance");
        let mut state = Maintenance::default();
        state.enter(5, "s1");
        let text = encode(&state);
        for foreign in [&b""[..], b"{}", &text.as_bytes()[..text.len() / 2], &[0xff; 700_000]] {
            fs::write(&path, foreign).unwrap();
            assert!(one.look().unwrap().is_err(), "{} bytes", foreign.len());
            fs::remove_file(&path).unwrap();
            assert!(one.look().is_none());
        }
        fs::create_dir(&path).unwrap();
        assert!(one.look().unwrap().is_err(), "no file at all");
        assert!(other.save(&state).is_err(), "and nothing can be written over it");
        assert!(fs::read_dir(folder.path()).unwrap().count() == 1, "nothing is left lying about");
        fs::remove_dir(&path).unwrap();
        other.save(&state).unwrap();
        assert_eq!(one.look().unwrap().unwrap(), state);
    }
}
