//! Transient errors of the system: lack of memory, buffers or descriptors. A starting process retries after them.

use super::log_target::LOG_TARGET;
use rustix::io::Errno;
use std::io;
use std::time::Duration;

/// Delay between two tries.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Number of tries before the error is final. They take 2 s of the 6 s within which a process has to be ready.
const MAX_TRIES: u32 = 100;
/// The errors that may disappear on their own.
const TRANSIENT_ERRORS: [Errno; 6] =
    [Errno::NOMEM, Errno::NOBUFS, Errno::NFILE, Errno::MFILE, Errno::INTR, Errno::AGAIN];

/// Whether the same call may succeed a moment later.
fn is_transient(error: &io::Error) -> bool {
    Errno::from_io_error(error).is_some_and(|error| TRANSIENT_ERRORS.contains(&error))
}

/// Repeats the call until it succeeds, fails with an error that is not transient, or has failed `MAX_TRIES` times.
/// Sleeps between tries, so it must only be used by a process that does not serve clients yet.
pub fn retry_transient<T>(operation: &str, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..MAX_TRIES {
        match call() {
            Err(error) if is_transient(&error) => {
                log::warn!(target: LOG_TARGET, error:%; "cannot {operation} yet: {error}");
                std::thread::sleep(RETRY_DELAY);
            }
            other => return other,
        }
    }
    call()
}
