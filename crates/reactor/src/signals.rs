//! Signals, delivered to the loop through a pipe.

use crate::clock::Micros;
use crate::reactor::{Connection, Half, Io, Key, Report};
use mio::net::UnixStream;
use std::io::{self, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

pub use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Between two checks for a signal that arrived without a byte in the pipe, in microseconds. Well under the shortest time in
/// which a process has to react to one, and rare enough to cost nothing.
const POLL_INTERVAL: Micros = 250_000;

/// The reading end of the pipe that a signal writes to, and what the signal means.
#[derive(Debug)]
pub struct Signals<R> {
    pipe: UnixStream,
    /// Set by the signal as well. Guards against a write in its handler that fails, which nobody would repeat.
    pending: Arc<AtomicBool>,
    report: fn() -> R,
    key: Key,
}

impl<R: Report> Signals<R> {
    /// Reports each arrival of the signal, in place of the system's default action.
    pub fn register(signal: i32, report: fn() -> R, key: Key, io: &mut Io<R>) -> io::Result<Self> {
        let (read, write) = std::os::unix::net::UnixStream::pair()?;
        read.set_nonblocking(true)?;
        let mut pipe = UnixStream::from_std(read);
        io.register_reader(&mut pipe, key)?;
        let pending = Arc::new(AtomicBool::new(false));
        // In this order: the pipe wakes the loop when the flag is set already.
        signal_hook::flag::register(signal, Arc::clone(&pending))?;
        signal_hook::low_level::pipe::register(signal, write)?;
        io.timer(io.now() + POLL_INTERVAL, key, 0);
        Ok(Signals { pipe, pending, report, key })
    }

    /// Reports signals that have arrived, through the pipe or without it.
    fn report_pending(&mut self, io: &mut Io<R>) {
        let is_pending = self.pending.swap(false, Ordering::AcqRel);
        let was_reported = self.drain_pipe(io);
        if is_pending && !was_reported {
            io.report((self.report)());
        }
    }

    /// Drains the pipe and reports a signal for each read; whether it reported any.
    fn drain_pipe(&mut self, io: &mut Io<R>) -> bool {
        let mut bytes = [0; 16];
        let mut was_reported = false;
        loop {
            match self.pipe.read(&mut bytes) {
                Ok(0) => return was_reported,
                Ok(_) => {
                    was_reported = true;
                    io.report((self.report)());
                }
                // Readiness is edge-triggered: what is not read now would wait for the next signal.
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return was_reported,
            }
        }
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
