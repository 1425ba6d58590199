//! Signals, told to the loop through a pipe.

use crate::clock::Micros;
use crate::reactor::{Connection, Half, Io, Key, Report};
use mio::net::UnixStream;
use std::io::{self, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

pub use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Between two looks at whether a signal has come without a byte in the pipe. Well under the shortest time that a process has to
/// obey one, and seldom enough to cost nothing.
const LOOK_EVERY: Micros = 250_000;

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
    /// Reports each arrival of the signal in place of the system's own answer to it.
    pub fn register(signal: i32, report: fn() -> R, key: Key, io: &mut Io<R>) -> io::Result<Self> {
        let (read, write) = std::os::unix::net::UnixStream::pair()?;
        read.set_nonblocking(true)?;
        let mut pipe = UnixStream::from_std(read);
        io.register_reader(&mut pipe, key)?;
        let pending = Arc::new(AtomicBool::new(false));
        // In this order: the pipe wakes the loop when the flag is set already.
        signal_hook::flag::register(signal, Arc::clone(&pending))?;
        signal_hook::low_level::pipe::register(signal, write)?;
        io.timer(io.now() + LOOK_EVERY, key, 0);
        Ok(Signals { pipe, pending, report, key })
    }

    /// Reports what has come, by the pipe or without it.
    fn take(&mut self, io: &mut Io<R>) {
        let is_pending = self.pending.swap(false, Ordering::AcqRel);
        let was_told = self.empty(io);
        if is_pending && !was_told {
            io.report((self.report)());
        }
    }

    /// Empties the pipe; whether that reported anything.
    fn empty(&mut self, io: &mut Io<R>) -> bool {
        let mut bytes = [0; 16];
        let mut was_told = false;
        loop {
            match self.pipe.read(&mut bytes) {
                Ok(0) => return was_told,
                Ok(_) => {
                    was_told = true;
                    io.report((self.report)());
                }
                // An edge is told once: what is not read now would wait for the next signal.
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return was_told,
            }
        }
    }
}

impl<R: Report> Connection for Signals<R> {
    type Report = R;

    fn readable(&mut self, io: &mut Io<R>, _: Half) {
        self.take(io);
    }

    fn writable(&mut self, _: &mut Io<R>, _: Half) {}

    fn timer(&mut self, io: &mut Io<R>, _: u32) {
        self.take(io);
        io.timer(io.now() + LOOK_EVERY, self.key, 0);
    }

    fn done(&self) -> bool {
        false
    }
}
