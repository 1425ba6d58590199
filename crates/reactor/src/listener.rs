//! A listening socket. Its owner accepts connections one by one, as it has capacity.

use crate::reactor::{Connection, Half, Io, Key, Report};
use mio::net::TcpListener;
use socket2::{Domain, SockFilter, SockRef, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Connections that may wait to be accepted, if the system's own bound allows. Guards against a flood: past the usual 128, a
/// client's SYN is dropped, and sent again after a second.
const BACKLOG: i32 = 4096;

/// Who else may listen at the address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Binding {
    /// Nobody: a second listener fails.
    Exclusive,
    /// Any process of the same user that says so too (SO_REUSEPORT): the system spreads those who connect.
    Shared,
}

/// Reports, with its key, that a connection waits to be accepted.
#[derive(Debug)]
pub struct Listener<R> {
    _socket: Rc<TcpListener>,
    report: fn(Key) -> R,
    key: Key,
}

impl<R: Report> Listener<R> {
    /// Listens exclusively; the socket is shared with the owner. Fails as the system's calls do: address in use, no descriptor.
    pub fn bind(
        address: SocketAddr,
        report: fn(Key) -> R,
        key: Key,
        io: &mut Io<R>,
    ) -> io::Result<(Self, Rc<TcpListener>)> {
        Self::bind_with(Binding::Exclusive, address, report, key, io)
    }

    /// Listens with this binding; otherwise as [`Self::bind`].
    pub fn bind_with(
        binding: Binding,
        address: SocketAddr,
        report: fn(Key) -> R,
        key: Key,
        io: &mut Io<R>,
    ) -> io::Result<(Self, Rc<TcpListener>)> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        // As the plain way to listen does: a restart must not wait for the old connections' ends.
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(binding == Binding::Shared)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        let mut listener = TcpListener::from_std(socket.into());
        io.register_reader(&mut listener, key)?;
        let listener = Rc::new(listener);
        Ok((Listener { _socket: Rc::clone(&listener), report, key }, listener))
    }
}

/// Makes the system drop new connections to the listener, while those whose handshake has begun can be completed and accepted.
/// Guards against resets: a listener that is closed resets whatever is in its backlog. A new client's SYN is dropped, and sent
/// again a second later, to whoever listens then. Fails where the system has no such filter.
pub fn reject_new_connections(listener: &TcpListener) -> io::Result<()> {
    // Classic BPF: load the flags, byte 13 of the TCP header; keep nothing of what has SYN set, all of anything else.
    const LOAD_BYTE: u16 = 0x30;
    const JUMP_IF_SET: u16 = 0x45;
    const RETURN: u16 = 0x06;
    const FLAGS: u32 = 13;
    const SYN: u32 = 0x02;
    let filter = [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS),
        SockFilter::new(JUMP_IF_SET, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ];
    SockRef::from(listener).attach_filter(&filter)
}

impl<R: Report> Connection for Listener<R> {
    type Report = R;

    fn readable(&mut self, io: &mut Io<R>, _: Half) {
        io.report((self.report)(self.key));
    }

    fn writable(&mut self, _: &mut Io<R>, _: Half) {}

    fn timer(&mut self, _: &mut Io<R>, _: u32) {}

    fn done(&self) -> bool {
        false
    }
}
