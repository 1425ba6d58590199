//! Errors of the system's that pass: for want of memory, buffers or descriptors. A process that starts waits for their end.

use super::context::PART;
use rustix::io::Errno;
use std::io;
use std::time::Duration;

/// Between two tries.
const AGAIN_AFTER: Duration = Duration::from_millis(20);
/// Tries until the error is final: 2 s, of the 6 in which a process has to be ready.
const TRIES: u32 = 100;
/// The errors.
const PASSING: [Errno; 6] =
    [Errno::NOMEM, Errno::NOBUFS, Errno::NFILE, Errno::MFILE, Errno::INTR, Errno::AGAIN];

/// Whether the same call may go well a moment later.
pub fn passes(error: &io::Error) -> bool {
    Errno::from_io_error(error).is_some_and(|error| PASSING.contains(&error))
}

/// Calls until it goes well, or fails with what doesn't pass. Waits in between: for a process that serves nobody yet.
pub fn patiently<T>(what: &str, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..TRIES {
        match call() {
            Err(error) if passes(&error) => {
                log::warn!(target: PART, error:%; "cannot {what} yet: {error}");
                std::thread::sleep(AGAIN_AFTER);
            }
            other => return other,
        }
    }
    call()
}
