//! The listening socket, and the pipes through which signals reach the loop.

use super::happening::Happening;
use super::reactor::{Connection, Io, Key, Leg};
use cottonnotch::Micros;
use mio::net::{TcpListener, UnixStream};
use signal_hook::consts::{SIGHUP, SIGTERM};
use std::io::{self, Read};
use std::net::SocketAddr;

/// Accepted in one callback before others have their turn.
const MAX_TURN: usize = 64;
/// Wait before accepting again when the machine has no descriptor left.
const SHORT_OF_DESCRIPTORS: Micros = 50_000;

/// Where clients connect.
#[derive(Debug)]
pub struct Listener {
    key: Key,
    listener: TcpListener,
}

impl Listener {
    pub fn bind(address: SocketAddr, key: Key, io: &mut Io) -> io::Result<Self> {
        let mut listener = TcpListener::bind(address)?;
        io.register_reader(&mut listener, key)?;
        Ok(Listener { key, listener })
    }

    /// Where it listens, also where the system chose the port.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

impl Connection for Listener {
    fn readable(&mut self, io: &mut Io, _: Leg) {
        for _ in 0..MAX_TURN {
            match self.listener.accept() {
                Ok((stream, _)) => io.tell(Happening::Accepted(stream)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // The client was gone before it was accepted, or a signal came.
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted
                    ) => {}
                Err(error) => {
                    // Guards against EMFILE: the edge is told once, so without this timer the waiting
                    // clients would never be accepted.
                    log::error!("cannot accept: {error}");
                    io.timer(io.now() + SHORT_OF_DESCRIPTORS, self.key, 0);
                    return;
                }
            }
        }
        io.call_again(self.key, Leg::Near);
    }

    fn writable(&mut self, _: &mut Io, _: Leg) {}

    fn timer(&mut self, io: &mut Io, _: u32) {
        self.readable(io, Leg::Near);
    }

    fn done(&self) -> bool {
        false
    }
}

/// The reading end of the pipe that a signal writes to, and what the signal means.
#[derive(Debug)]
pub struct Signals {
    pipe: UnixStream,
    happening: fn() -> Happening,
}

impl Signals {
    /// SIGTERM: the process is asked to stop.
    pub fn terminate(key: Key, io: &mut Io) -> io::Result<Self> {
        Self::register(SIGTERM, || Happening::Terminate, key, io)
    }

    /// SIGHUP: the configuration is to be read again. Guards against the system's own answer to it, which
    /// is to end the process.
    pub fn reload(key: Key, io: &mut Io) -> io::Result<Self> {
        Self::register(SIGHUP, || Happening::Reload, key, io)
    }

    fn register(signal: i32, happening: fn() -> Happening, key: Key, io: &mut Io) -> io::Result<Self> {
        let (read, write) = std::os::unix::net::UnixStream::pair()?;
        signal_hook::low_level::pipe::register(signal, write)?;
        read.set_nonblocking(true)?;
        let mut pipe = UnixStream::from_std(read);
        io.register_reader(&mut pipe, key)?;
        Ok(Signals { pipe, happening })
    }
}

impl Connection for Signals {
    fn readable(&mut self, io: &mut Io, _: Leg) {
        let mut bytes = [0; 16];
        while matches!(self.pipe.read(&mut bytes), Ok(n) if n > 0) {
            io.tell((self.happening)());
        }
    }

    fn writable(&mut self, _: &mut Io, _: Leg) {}

    fn timer(&mut self, _: &mut Io, _: u32) {}

    fn done(&self) -> bool {
        false
    }
}
