//! Replacing the process: one of this proxy's starts while another one serves. Each shows itself by a file in the folder
//! that they share, and proves by a lock on it that it lives: the system lets go of a lock when its process ends,
//! however it ends. What a file says is in its name (when its process began, and whether it is ready) and in eight bytes
//! (descriptors held), so nothing of it can be half written. Other files are left alone.

use cottonnotch_decision::Micros;
use std::fs::{self, File, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

const STARTING: &str = "starting";
const READY: &str = "ready";
/// Bytes of a file.
const WIDTH: usize = 8;

/// Another process of this proxy, which lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Other {
    /// When it began, in microseconds of Unix time.
    pub born: Micros,
    /// It serves clients.
    pub is_ready: bool,
    /// Descriptors that it holds.
    pub held: usize,
}

/// This process among those of its proxy.
#[derive(Debug)]
pub struct Replacement {
    /// What the names of all of them begin with, the folder included.
    prefix: PathBuf,
    born: Micros,
    file: File,
    path: PathBuf,
}

impl Replacement {
    /// Shows this process, as one that starts. Fails where the folder can't be written to.
    pub fn begin(prefix: PathBuf, born: Micros) -> io::Result<Self> {
        let hidden = prefix.with_extension(format!("{}-{born}.new", std::process::id()));
        let path = named(&prefix, born, STARTING);
        let file = File::create(&hidden)?;
        // Locked before it can be seen by its name: it would be taken for a dead process's.
        let shown = file.try_lock().map_err(io::Error::from).and_then(|()| fs::rename(&hidden, &path));
        if let Err(error) = shown {
            // What was begun is no use to anybody.
            let _ = fs::remove_file(&hidden);
            return Err(error);
        }
        Ok(Replacement { prefix, born, file, path })
    }

    /// Shows that this process serves clients.
    pub fn say_ready(&mut self) -> io::Result<()> {
        let ready = named(&self.prefix, self.born, READY);
        if self.path != ready {
            fs::rename(&self.path, &ready)?;
            self.path = ready;
        }
        Ok(())
    }

    /// Tells the others how many descriptors this process holds.
    pub fn tell_held(&self, held: usize) -> io::Result<()> {
        let text = format!("{:0WIDTH$}", held.min(99_999_999));
        self.file.write_all_at(text.as_bytes(), 0)
    }

    /// The others that live. Files of those that have ended are removed. What can't be read shows nobody.
    pub fn others(&self) -> Vec<Other> {
        let folder = self.prefix.parent().unwrap_or(Path::new("."));
        let Ok(entries) = fs::read_dir(folder) else { return Vec::new() };
        let paths = entries.filter_map(|entry| Some(entry.ok()?.path()));
        paths.filter(|path| *path != self.path).filter_map(|path| self.other(&path)).collect()
    }

    fn other(&self, path: &Path) -> Option<Other> {
        let prefix = self.prefix.file_name()?.to_str()?;
        let name = path.file_name()?.to_str()?.strip_prefix(prefix)?.strip_prefix('-')?;
        let (born, word) = name.split_once('.')?;
        let is_ready = match word {
            READY => true,
            STARTING => false,
            _ => return None,
        };
        let born = born.parse().ok()?;
        // Guards against what is no plain file: a pipe of that name would hold up the loop.
        if !fs::symlink_metadata(path).ok()?.is_file() {
            return None;
        }
        let file = File::open(path).ok()?;
        match file.try_lock_shared() {
            Err(TryLockError::WouldBlock) => {}
            Err(TryLockError::Error(_)) => return None,
            Ok(()) => {
                // Its process has ended. If it can't be removed, it is found dead again.
                let _ = fs::remove_file(path);
                return None;
            }
        }
        let mut bytes = [0; WIDTH];
        let read = file.read_at(&mut bytes, 0).ok()?;
        let held = std::str::from_utf8(&bytes[..read]).ok().and_then(|text| text.parse().ok()).unwrap_or(0);
        Some(Other { born, is_ready, held })
    }

    /// One that began before this one.
    pub fn is_elder(&self, other: &Other) -> bool {
        other.born < self.born
    }

    /// A process that began later serves clients.
    pub fn has_successor(&self) -> bool {
        self.others().iter().any(|other| other.born > self.born && other.is_ready)
    }
}

impl Drop for Replacement {
    fn drop(&mut self) {
        // The lock ends with the process in any case; this only tidies up.
        let _ = fs::remove_file(&self.path);
    }
}

fn named(prefix: &Path, born: Micros, word: &str) -> PathBuf {
    let mut name = prefix.as_os_str().to_owned();
    name.push(format!("-{born}.{word}"));
    PathBuf::from(name)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_successor_counts_once_it_is_ready_and_for_as_long_as_it_lives() {
        let folder = tempfile::tempdir().unwrap();
        let prefix = folder.path().join("cottonnotch-a_1.process");
        let mut old = Replacement::begin(prefix.clone(), 10).unwrap();
        old.say_ready().unwrap();
        assert!(old.others().is_empty() && !old.has_successor());
        let mut new = Replacement::begin(prefix.clone(), 20).unwrap();
        assert!(!old.has_successor(), "it only starts");
        old.tell_held(73).unwrap();
        let seen = new.others();
        assert_eq!(seen, [Other { born: 10, is_ready: true, held: 73 }]);
        assert!(new.is_elder(&seen[0]));
        new.say_ready().unwrap();
        new.say_ready().unwrap();
        assert!(old.has_successor() && !new.has_successor());
        drop(new);
        assert!(!old.has_successor());
        assert_eq!(fs::read_dir(folder.path()).unwrap().count(), 1, "its file is gone");
    }

    #[test]
    fn what_a_dead_process_left_is_removed_and_what_is_not_ours_is_left_alone() {
        let folder = tempfile::tempdir().unwrap();
        let prefix = folder.path().join("cottonnotch-a_1.process");
        let me = Replacement::begin(prefix.clone(), 10).unwrap();
        for dead in ["99.ready", "98.starting"] {
            fs::write(folder.path().join(format!("cottonnotch-a_1.process-{dead}")), "rubbish").unwrap();
        }
        let foreign = [
            "cottonnotch-a_1.process-x.ready",
            "cottonnotch-a_1.process-5.other",
            "cottonnotch-b_1.process-7.ready",
        ];
        for name in foreign {
            fs::write(folder.path().join(name), "").unwrap();
        }
        fs::create_dir(folder.path().join("cottonnotch-a_1.process-50.ready")).unwrap();
        assert!(me.others().is_empty());
        let left = fs::read_dir(folder.path()).unwrap().count();
        assert_eq!(left, foreign.len() + 2, "what is foreign, the folder, and this process's own");
    }
}
