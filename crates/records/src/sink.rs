//! Sinks of lines: a file that is rotated by size, or an inherited descriptor.

use crate::config::Target;
use rustix::fs::OFlags;
use std::ffi::OsString;
use std::fs::{self, File, Metadata, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::fd::AsFd;
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Between two writes to a full pipe: its reader is behind, and a sooner retry costs only wake-ups.
const PIPE_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Where the writer writes. The writer calls [`close`](Sink::close) after an error.
pub(crate) trait Sink {
    /// Before each batch: opens what is not open, or no longer where it was. True if what was there ends within a
    /// line.
    fn begin(&mut self) -> io::Result<bool>;
    /// Bytes that may be written now, `line` at least; makes room by rotating.
    fn room(&mut self, line: u64) -> io::Result<u64>;
    /// Writes some of the bytes; `WouldBlock` means that the proxy ends and there is no time left.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize>;
    /// After an error: lets go of what could be opened anew.
    fn close(&mut self);
}

/// The sink of a target; `is_out_of_time` says whether there is no time left to wait for a pipe's reader.
pub(crate) fn sink(
    target: &Target,
    is_out_of_time: impl Fn() -> bool + Send + 'static,
) -> Box<dyn Sink + Send> {
    match target {
        Target::File { path, max_bytes, keep } => {
            let (path, max_bytes, keep) = (path.clone(), *max_bytes, *keep);
            Box::new(RotatedFile { path, max_bytes, keep, open: None })
        }
        Target::Descriptor(number) => {
            Box::new(Stream { number: *number, file: None, is_out_of_time: Box::new(is_out_of_time) })
        }
    }
}

impl<O: Sink + ?Sized> Sink for Box<O> {
    fn begin(&mut self) -> io::Result<bool> {
        (**self).begin()
    }
    fn room(&mut self, line: u64) -> io::Result<u64> {
        (**self).room(line)
    }
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        (**self).write(bytes)
    }
    fn close(&mut self) {
        (**self).close();
    }
}

/// A file `NAME` that becomes `NAME.1`, `NAME.2` ... as it fills.
struct RotatedFile {
    path: PathBuf,
    max_bytes: u64,
    keep: u32,
    open: Option<(File, u64)>,
}

/// The name of a rotated file; the larger the number, the older.
pub(crate) fn rotated(path: &Path, number: u32) -> PathBuf {
    let mut name = OsString::from(path);
    name.push(format!(".{number}"));
    PathBuf::from(name)
}

/// Tells files apart whatever their names.
pub(crate) fn identity(metadata: &Metadata) -> (u64, u64) {
    (metadata.dev(), metadata.ino())
}

/// Whether it was done; a file that is missing already is no error.
fn unless_missing(done: io::Result<()>) -> io::Result<bool> {
    match done {
        Ok(()) => Ok(true),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(false),
        Err(error) => Err(error),
    }
}

impl RotatedFile {
    /// Opens the file; true if it ends within a line.
    fn open(&mut self) -> io::Result<bool> {
        let mut options = OpenOptions::new();
        // Without NONBLOCK, a pipe of that name would hold the writer until somebody reads it.
        options.read(true).append(true).create(true).custom_flags(OFlags::NONBLOCK.bits() as i32);
        let mut file = options.open(&self.path)?;
        let metadata = file.metadata()?;
        if !metadata.is_file() {
            let why = "not a regular file; records.descriptor is for anything else";
            return Err(io::Error::new(io::ErrorKind::InvalidInput, why));
        }
        let mut last = [b'\n'];
        if metadata.len() > 0 {
            file.seek(SeekFrom::End(-1))?;
            file.read_exact(&mut last)?;
        }
        self.open = Some((file, metadata.len()));
        Ok(last != [b'\n'])
    }

    /// From the oldest on, so that whatever fails or stops in between, no rename replaces a newer file.
    fn rotate(&mut self) -> io::Result<()> {
        let mut free = 1;
        while free < self.keep && rotated(&self.path, free).try_exists()? {
            free += 1;
        }
        for number in (1..free).rev() {
            unless_missing(fs::rename(rotated(&self.path, number), rotated(&self.path, number + 1)))?;
        }
        unless_missing(fs::rename(&self.path, rotated(&self.path, 1)))?;
        // Left over from a time when more were kept.
        let mut beyond = self.keep + 1;
        while unless_missing(fs::remove_file(rotated(&self.path, beyond)))? {
            beyond += 1;
        }
        self.open().map(drop)
    }
}

impl Sink for RotatedFile {
    fn begin(&mut self) -> io::Result<bool> {
        if let Some((file, size)) = &mut self.open {
            let open = file.metadata()?;
            // Somebody else may have rotated it, or cut it short.
            if fs::metadata(&self.path).is_ok_and(|there| identity(&there) == identity(&open)) {
                *size = open.len();
                return Ok(false);
            }
        }
        self.open()
    }

    fn room(&mut self, line: u64) -> io::Result<u64> {
        match &self.open {
            Some((_, size)) if *size > 0 && size.saturating_add(line) > self.max_bytes => self.rotate()?,
            Some(_) => {}
            None => return Err(io::ErrorKind::NotFound.into()),
        }
        let size = self.open.as_ref().map_or(0, |(_, size)| *size);
        Ok(self.max_bytes.saturating_sub(size).max(line))
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let (file, size) = self.open.as_mut().ok_or(io::ErrorKind::NotFound)?;
        let written = file.write(bytes)?;
        *size += written as u64;
        Ok(written)
    }

    fn close(&mut self) {
        self.open = None;
    }
}

/// An inherited descriptor.
struct Stream {
    number: u32,
    file: Option<File>,
    is_out_of_time: Box<dyn Fn() -> bool + Send>,
}

impl Stream {
    fn open(&self) -> io::Result<File> {
        match self.number {
            1 => Ok(io::stdout().as_fd().try_clone_to_owned()?.into()),
            2 => Ok(io::stderr().as_fd().try_clone_to_owned()?.into()),
            // Opened by its name, since a bare number can be trusted by nobody. That makes it a description of our
            // own: appending, or a file would be written over from its beginning; and without blocking, so that a
            // pipe that nobody reads holds neither the start nor the end.
            number => OpenOptions::new()
                .append(true)
                .custom_flags(OFlags::NONBLOCK.bits() as i32)
                .open(format!("/proc/self/fd/{number}")),
        }
    }
}

impl Sink for Stream {
    fn begin(&mut self) -> io::Result<bool> {
        if self.file.is_none() {
            self.file = Some(self.open()?);
        }
        Ok(false)
    }

    fn room(&mut self, _: u64) -> io::Result<u64> {
        Ok(u64::MAX)
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let file = self.file.as_mut().ok_or(io::ErrorKind::NotConnected)?;
        loop {
            match file.write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock && !(self.is_out_of_time)() => {
                    std::thread::sleep(PIPE_RETRY_INTERVAL);
                }
                done => return done,
            }
        }
    }

    /// Keeps it: by the time of a second try, the number may be another file's, which would get our lines. A pipe works
    /// again as it is once somebody reads it.
    fn close(&mut self) {}
}
