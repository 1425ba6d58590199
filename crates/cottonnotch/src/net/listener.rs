//! The listening socket, and the pipes through which signals reach the loop.

use super::happening::Happening;
use super::reactor::{Connection, Io, Key, Leg};
use mio::net::{TcpListener, UnixStream};
use signal_hook::consts::{SIGHUP, SIGTERM};
use socket2::{Domain, Socket, Type};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::rc::Rc;

/// Clients that the system lets wait to be accepted, if its own bound allows. Guards against a flood: past the
/// usual 128, a client's first packet is dropped, and it tries again after a second.
const BACKLOG: i32 = 4096;

/// Where clients connect. The driver accepts them, one by one, as it has room.
#[derive(Debug)]
pub struct Listener {
    _socket: Rc<TcpListener>,
}

impl Listener {
    /// Listens; the driver shares the socket.
    pub fn bind(address: SocketAddr, key: Key, io: &mut Io) -> io::Result<(Self, Rc<TcpListener>)> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        // As the plain way to listen does: a restart must not wait for the old connections' ends.
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        let mut listener = TcpListener::from_std(socket.into());
        io.register_reader(&mut listener, key)?;
        let listener = Rc::new(listener);
        Ok((Listener { _socket: Rc::clone(&listener) }, listener))
    }
}

impl Connection for Listener {
    fn readable(&mut self, io: &mut Io, _: Leg) {
        io.tell(Happening::Acceptable);
    }

    fn writable(&mut self, _: &mut Io, _: Leg) {}

    fn timer(&mut self, _: &mut Io, _: u32) {}

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
