//! Transient errors of the system: for want of memory, buffers or descriptors. A process that starts retries after them.

use super::log_target::LOG_TARGET;
use rustix::io::Errno;
use std::io;
use std::time::Duration;

/// Between two tries.
const RETRY_AFTER: Duration = Duration::from_millis(20);
/// Tries until the error is final: 2 s, of the 6 in which a process has to be ready.
const MAX_TRIES: u32 = 100;
/// The errors that may pass by themselves.
const TRANSIENT: [Errno; 6] =
    [Errno::NOMEM, Errno::NOBUFS, Errno::NFILE, Errno::MFILE, Errno::INTR, Errno::AGAIN];

/// Whether the same call may succeed a moment later.
fn is_transient(error: &io::Error) -> bool {
    Errno::from_io_error(error).is_some_and(|error| TRANSIENT.contains(&error))
}

/// Calls until it succeeds, or fails with an error that is not transient or too often. Sleeps in between, so it is only for a
/// process that serves nobody yet.
pub fn retry_transient<T>(operation: &str, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..MAX_TRIES {
        match call() {
            Err(error) if is_transient(&error) => {
                log::warn!(target: LOG_TARGET, error:%; "cannot {operation} yet: {error}");
                std::thread::sleep(RETRY_AFTER);
            }
            other => return other,
        }
    }
    call()
}
