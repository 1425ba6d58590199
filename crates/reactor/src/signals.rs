//! Delivery of signals to the event loop through a socket pair.

use crate::clock::Micros;
use crate::reactor::{Connection, Half, Io, Key, Report};
use mio::net::UnixStream;
use std::io::{self, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

pub use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Time between two checks for a signal whose handler could not write to the pipe, in microseconds. It is well below the
/// shortest time in which a process must react to a signal, and long enough that the cost is negligible.
const POLL_INTERVAL: Micros = 250_000;
/// Maximum number of reads from the pipe in one callback, so that a sender of many signals does not delay the connections.
const MAX_READS_PER_CALL: usize = 16;

/// The reading end of the pipe that the signal handler writes to, and the report that a signal causes.
#[derive(Debug)]
pub struct Signals<R> {
    pipe: UnixStream,
    /// Also set by the signal handler, in case its write to the pipe fails: nothing repeats that write.
    pending: Arc<AtomicBool>,
    report: fn() -> R,
    key: Key,
}

impl<R: Report> Signals<R> {
    /// Registers a handler that replaces the signal's default action and reports each signal.
    pub fn register(signal: i32, report: fn() -> R, key: Key, io: &mut Io<R>) -> io::Result<Self> {
        let (read, write) = std::os::unix::net::UnixStream::pair()?;
        read.set_nonblocking(true)?;
        let mut pipe = UnixStream::from_std(read);
        io.register_reader(&mut pipe, key)?;
        let pending = Arc::new(AtomicBool::new(false));
        // In this order, the flag is already set when the pipe wakes the loop.
        signal_hook::flag::register(signal, Arc::clone(&pending))?;
        signal_hook::low_level::pipe::register(signal, write)?;
        io.timer(io.now() + POLL_INTERVAL, key, 0);
        Ok(Signals { pipe, pending, report, key })
    }

    /// Reports that a signal has arrived, whether or not its handler could write to the pipe. Signals that arrive together
    /// cause one report: the report is handled after all of them.
    fn report_pending(&mut self, io: &mut Io<R>) {
        let is_pending = self.pending.swap(false, Ordering::AcqRel);
        let was_written = self.drain_pipe(io);
        if is_pending || was_written {
            io.report((self.report)());
        }
    }

    /// Drains the pipe, up to the limit of one callback. Returns whether a signal handler had written to it.
    fn drain_pipe(&mut self, io: &mut Io<R>) -> bool {
        let mut bytes = [0; 16];
        let mut was_written = false;
        for _ in 0..MAX_READS_PER_CALL {
            match self.pipe.read(&mut bytes) {
                Ok(0) => return was_written,
                Ok(_) => was_written = true,
                // Readiness is edge-triggered: after an interrupted read, unread bytes would wait for the next signal.
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return was_written,
            }
        }
        io.call_again(self.key, Half::Near);
        was_written
    }
}

impl<R: Report> Connection for Signals<R> {
    type Report = R;

    fn readable(&mut self, io: &mut Io<R>, _: Half) {
        self.report_pending(io);
    }

    fn writable(&mut self, _: &mut Io<R>, _: Half) {}

    fn timer(&mut self, io: &mut Io<R>, _: u32) {
        self.report_pending(io);
        io.timer(io.now() + POLL_INTERVAL, self.key, 0);
    }

    fn done(&self) -> bool {
        false
    }
}
