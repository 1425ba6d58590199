//! The parallel attempt of `Fault::SecondAttempt`, on a connection of its own, while the client's regular attempt
//! is still pending.

use super::report::{Io, Object, Report};
use crate::time::{MS, Micros};
use cottonnotch_reactor::line::LineStream;
use cottonnotch_reactor::{Connection, Half, Key};
use std::io;
use std::net::SocketAddr;

/// The attempt is closed after this time.
const OUT: Micros = 400 * MS;

/// The parallel attempt. Its answer is read and discarded.
#[derive(Debug)]
pub(super) struct Beside {
    link: LineStream,
    over: bool,
}

impl Beside {
    /// Connects to `address` and sends `line`, the complete first line.
    pub fn start(address: SocketAddr, line: &[u8], key: Key, io: &mut Io) -> io::Result<Self> {
        let mut link = LineStream::connect(address, io, key, Half::Near)?;
        link.push(line);
        io.timer(io.now() + OUT, key, 0);
        Ok(Beside { link, over: false })
    }
}

impl Object for Beside {}

impl Connection for Beside {
    type Report = Report;

    fn readable(&mut self, _: &mut Io, _: Half) {
        self.link.discard();
    }

    fn writable(&mut self, _: &mut Io, _: Half) {
        let written = self.link.connected().and_then(|up| if up { self.link.flush() } else { Ok(true) });
        self.over |= written.is_err();
    }

    fn timer(&mut self, _: &mut Io, _: u32) {
        self.over = true;
    }

    fn done(&self) -> bool {
        self.over
    }
}
