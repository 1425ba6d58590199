//! The control file of the shims: words of 64 bits, each a setting or a count. A test writes settings with [`Control`] and reads counts;
//! the shims map the file and see each change at once, in every process that names it in [`CONTROL_VARIABLE`].

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The environment variable that names the control file; without it the shims change nothing.
pub const CONTROL_VARIABLE: &str = "SHIM_CONTROL";
/// The environment variable that names the folder whose files may fail.
pub const FOLDER_VARIABLE: &str = "SHIM_FOLDER";
/// Words of the file: settings first, then as many counts.
pub const WORDS: usize = 64;
/// Where the counts begin: the count of what a setting caused stands so many words behind it.
pub const COUNTS: usize = 32;

/// What can be set. Rates are per thousand calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[repr(usize)]
pub enum Setting {
    /// Microseconds by which the wall clock is off; the monotonic clock is never touched.
    WallOffset = 0,
    /// Rate of `accept` that fails: ECONNABORTED, ENFILE, ENOBUFS, ENOMEM, EINTR, EMFILE in turn.
    Accept = 1,
    /// Rate of `socket` that fails: ENFILE, ENOBUFS, EMFILE, ENOMEM in turn.
    Socket = 2,
    /// Rate of `connect` that fails at once: EADDRNOTAVAIL, ENETUNREACH, EAGAIN in turn.
    Connect = 3,
    /// Rate of `setsockopt` that fails with ENOBUFS.
    SocketOption = 4,
    /// Rate of `epoll_wait` that fails with EINTR.
    Wait = 5,
    /// Rate of reads and writes on sockets that fail with EINTR.
    Interrupt = 6,
    /// Rate of reads and writes on sockets that do only a part.
    Short = 7,
    /// The error number with which writing in the folder fails, creating and renaming included; 0: none.
    FileWrite = 8,
    /// The error number with which syncing in the folder fails; 0: none.
    FileSync = 9,
    /// The error number with which opening and reading in the folder fails; 0: none.
    FileRead = 10,
    /// Rate of reads on sockets that find the connection broken: ETIMEDOUT, EHOSTUNREACH in turn.
    Broken = 11,
    /// Rate of `epoll_ctl` additions that fail with ENOMEM.
    Register = 12,
    /// Milliseconds by which each call on a file of the folder is delayed; 0: none.
    FileDelay = 13,
    /// Milliseconds by which the next `epoll_wait` that finds something returns late; the shims set it back to 0.
    WaitDelay = 14,
}

impl Setting {
    /// All of them.
    pub const ALL: [Setting; 15] = [
        Setting::WallOffset,
        Setting::Accept,
        Setting::Socket,
        Setting::Connect,
        Setting::SocketOption,
        Setting::Wait,
        Setting::Interrupt,
        Setting::Short,
        Setting::FileWrite,
        Setting::FileSync,
        Setting::FileRead,
        Setting::Broken,
        Setting::Register,
        Setting::FileDelay,
        Setting::WaitDelay,
    ];

    /// Its word in the file.
    pub fn word(self) -> usize {
        self as usize
    }
}

/// The test's side of a control file.
#[derive(Debug)]
pub struct Control {
    file: File,
    path: PathBuf,
}

impl Control {
    /// Makes a file in which nothing is set. Fails as the system's calls do.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.write_all_at(&[0; 8 * WORDS], 0)?;
        Ok(Control { file, path: path.to_owned() })
    }

    /// Where it is, for [`CONTROL_VARIABLE`].
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Sets a value; 0 is as usual. Fails as the system's calls do.
    pub fn set(&self, setting: Setting, value: i64) -> io::Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), 8 * setting.word() as u64)
    }

    /// How often a setting made a call fail, or changed it, over all processes. Fails as the system's calls do.
    pub fn count(&self, setting: Setting) -> io::Result<i64> {
        let mut bytes = [0; 8];
        self.file.read_exact_at(&mut bytes, 8 * (COUNTS + setting.word()) as u64)?;
        Ok(i64::from_ne_bytes(bytes))
    }
}
