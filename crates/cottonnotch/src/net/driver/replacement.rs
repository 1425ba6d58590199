//! Replacing the process: one of this proxy's starts while another one serves. Each shows itself by a file in the folder
//! that they share, and proves by a lock on it that it lives: the system lets go of a lock when its process ends,
//! however it ends. What a file says is in its name (when its process began, in Unix time, and whether it is ready) and in two numbers
//! of fixed width: descriptors held, and when its process began by the machine's monotonic clock, which settles who is older
//! though the wall clock be stepped between two starts. Other files are left alone.

use cottonnotch_decision::Micros;
use rustix::time::{ClockId, clock_gettime};
use std::fs::{self, File, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

const STARTING: &str = "starting";
const READY: &str = "ready";
/// Bytes of the descriptors held.
const HELD_WIDTH: usize = 8;
/// Bytes of the start by the monotonic clock, behind them.
const BEGAN_WIDTH: usize = 20;

/// Microseconds since the machine was started; the same clock for all its processes.
fn monotonic() -> Micros {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec.saturating_mul(1_000_000).saturating_add(now.tv_nsec / 1_000)
}

/// Another process of this proxy, which lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Other {
    /// When it began, in microseconds of Unix time.
    pub born: Micros,
    /// When it began by the machine's monotonic clock; `None`: an older build, which doesn't say.
    pub began: Option<Micros>,
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
    began: Micros,
    file: File,
    path: PathBuf,
}

impl Replacement {
    /// Shows this process, as one that starts. Fails where the folder can't be written to.
    pub fn begin(prefix: PathBuf, born: Micros) -> io::Result<Self> {
        let hidden = prefix.with_extension(format!("{}-{born}.new", std::process::id()));
        let path = named(&prefix, born, STARTING);
        let file = File::create(&hidden)?;
        let began = monotonic();
        let text = format!("{:0HELD_WIDTH$}{began:0BEGAN_WIDTH$}", 0);
        // Locked and whole before it can be seen by its name: it would be taken for a dead process's.
        let locked = file.try_lock().map_err(io::Error::from);
        let written = locked.and_then(|()| file.write_all_at(text.as_bytes(), 0));
        let shown = written.and_then(|()| fs::rename(&hidden, &path));
        if let Err(error) = shown {
            // What was begun is no use to anybody.
            let _ = fs::remove_file(&hidden);
            return Err(error);
        }
        Ok(Replacement { prefix, born, began, file, path })
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
        let text = format!("{:0HELD_WIDTH$}", held.min(99_999_999));
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
        let mut bytes = [0; HELD_WIDTH + BEGAN_WIDTH];
        let read = file.read_at(&mut bytes, 0).ok()?;
        let text = std::str::from_utf8(&bytes[..read]).unwrap_or_default();
        let (held, began) = text.split_at_checked(HELD_WIDTH).unwrap_or((text, ""));
        let (held, began) = (held.parse().unwrap_or(0), began.parse().ok());
        Some(Other { born, began, is_ready, held })
    }

    /// One that began before this one.
    pub fn is_elder(&self, other: &Other) -> bool {
        match other.began {
            Some(began) => (began, other.born) < (self.began, self.born),
            None => other.born < self.born,
        }
    }

    /// A process that began later serves clients.
    pub fn has_successor(&self) -> bool {
        self.others().iter().any(|other| !self.is_elder(other) && other.is_ready)
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
        let [elder] = &seen[..] else { panic!("{seen:?}") };
        assert_eq!((elder.born, elder.is_ready, elder.held), (10, true, 73));
        assert!(new.is_elder(elder));
        new.say_ready().unwrap();
        new.say_ready().unwrap();
        assert!(old.has_successor() && !new.has_successor());
        drop(new);
        assert!(!old.has_successor());
        assert_eq!(fs::read_dir(folder.path()).unwrap().count(), 1, "its file is gone");
    }

    #[test]
    fn who_is_older_is_no_matter_of_the_wall_clock_unless_the_other_says_no_more() {
        let folder = tempfile::tempdir().unwrap();
        let prefix = folder.path().join("cottonnotch-a_1.process");
        let first = Replacement::begin(prefix.clone(), 20).unwrap();
        // The wall clock went back.
        let mut second = Replacement::begin(prefix.clone(), 10).unwrap();
        second.say_ready().unwrap();
        assert!(first.has_successor() && !second.has_successor());
        assert!(second.is_elder(&first.others_seen_by(&second)));
        // An older build's file has its descriptors alone.
        second.file.set_len(HELD_WIDTH as u64).unwrap();
        assert!(!first.has_successor(), "by its name it is the older one");
    }

    impl Replacement {
        /// This one, as that other one sees it.
        fn others_seen_by(&self, other: &Replacement) -> Other {
            other.others().into_iter().find(|seen| seen.born == self.born).unwrap()
        }
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
