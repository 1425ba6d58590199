//! The parallel attempt of `Fault::SecondAttempt`, on a connection of its own, while the client's regular attempt
//! is still pending.

use super::report::{Io, Object, Report};
use crate::time::{MS, Micros};
use cottonnotch_reactor::line::LineStream;
use cottonnotch_reactor::{Connection, Half, Key};
use std::io;
use std::net::SocketAddr;

/// The attempt is closed after this time.
const CLOSE_AFTER: Micros = 400 * MS;

/// The parallel attempt. Its answer is read and discarded.
#[derive(Debug)]
pub(super) struct ParallelAttempt {
    stream: LineStream,
    closed: bool,
}

impl ParallelAttempt {
    /// Connects to `address` and sends `line`, the complete first line.
    pub fn start(address: SocketAddr, line: &[u8], key: Key, io: &mut Io) -> io::Result<Self> {
        let mut stream = LineStream::connect(address, io, key, Half::Near)?;
        stream.push(line);
        io.timer(io.now() + CLOSE_AFTER, key, 0);
        Ok(ParallelAttempt { stream, closed: false })
    }
}

impl Object for ParallelAttempt {}

impl Connection for ParallelAttempt {
    type Report = Report;

    fn readable(&mut self, _: &mut Io, _: Half) {
        self.stream.discard();
    }

    fn writable(&mut self, _: &mut Io, _: Half) {
        let written = self.stream.connected().and_then(|up| if up { self.stream.flush() } else { Ok(true) });
        self.closed |= written.is_err();
    }

    fn timer(&mut self, _: &mut Io, _: u32) {
        self.closed = true;
    }

    fn done(&self) -> bool {
        self.closed
    }
}
