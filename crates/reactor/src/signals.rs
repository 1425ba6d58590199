//! Signals, told to the loop through a pipe.

use crate::reactor::{Connection, Io, Key, Leg, Report};
use mio::net::UnixStream;
use std::io::{self, Read};

pub use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// The reading end of the pipe that a signal writes to, and what the signal means.
#[derive(Debug)]
pub struct Signals<R> {
    pipe: UnixStream,
    report: fn() -> R,
}

impl<R: Report> Signals<R> {
    /// Reports each arrival of the signal in place of the system's own answer to it.
    pub fn register(signal: i32, report: fn() -> R, key: Key, io: &mut Io<R>) -> io::Result<Self> {
        let (read, write) = std::os::unix::net::UnixStream::pair()?;
        signal_hook::low_level::pipe::register(signal, write)?;
        read.set_nonblocking(true)?;
        let mut pipe = UnixStream::from_std(read);
        io.register_reader(&mut pipe, key)?;
        Ok(Signals { pipe, report })
    }
}

impl<R: Report> Connection for Signals<R> {
    type Report = R;

    fn readable(&mut self, io: &mut Io<R>, _: Leg) {
        let mut bytes = [0; 16];
        while matches!(self.pipe.read(&mut bytes), Ok(n) if n > 0) {
            io.tell((self.report)());
        }
    }

    fn writable(&mut self, _: &mut Io<R>, _: Leg) {}

    fn timer(&mut self, _: &mut Io<R>, _: u32) {}

    fn done(&self) -> bool {
        false
    }
}
