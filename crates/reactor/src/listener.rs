//! A listening socket, from which its owner accepts single connections as its capacity allows.

use crate::reactor::{Connection, Half, Io, Key, Report};
use mio::net::TcpListener;
use socket2::{Domain, SockFilter, SockRef, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Maximum number of connections that wait to be accepted; the operating system may have a lower limit. With the usual 128, a
/// burst of connects would overflow the backlog: the SYNs are dropped, and clients resend them only after a second.
const BACKLOG: i32 = 4096;

/// Whether other sockets may listen on the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Binding {
    /// A second listener on the address fails.
    Exclusive,
    /// Other processes of the same user may listen with this binding too (SO_REUSEPORT). The operating system distributes new
    /// connections among them.
    Shared,
}

/// A listening socket that reports, with its key, when a connection can be accepted.
#[derive(Debug)]
pub struct Listener<R> {
    _socket: Rc<TcpListener>,
    report: fn(Key) -> R,
    key: Key,
}

impl<R: Report> Listener<R> {
    /// Listens with [`Binding::Exclusive`] and shares the socket with the owner. Fails if a system call fails, for example because
    /// the address is in use or no file descriptor is left.
    pub fn bind(
        address: SocketAddr,
        report: fn(Key) -> R,
        key: Key,
        io: &mut Io<R>,
    ) -> io::Result<(Self, Rc<TcpListener>)> {
        Self::bind_with(Binding::Exclusive, address, report, key, io)
    }

    /// Like [`Self::bind`], with the given binding.
    pub fn bind_with(
        binding: Binding,
        address: SocketAddr,
        report: fn(Key) -> R,
        key: Key,
        io: &mut Io<R>,
    ) -> io::Result<(Self, Rc<TcpListener>)> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        // Like the standard library's listener, so that a restart need not wait for old connections in TIME_WAIT.
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

/// Whether another socket listens on this address, with either binding. An error counts as yes.
pub fn is_address_in_use(address: SocketAddr) -> bool {
    let bound = Socket::new(Domain::for_address(address), Type::STREAM, None).and_then(|socket| {
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())
    });
    bound.is_err()
}

/// Makes the operating system drop the SYNs of new connections to the listener. Connections whose handshake has begun can still
/// be completed and accepted. Without this, closing the listener would reset all connections in its backlog. A client whose SYN
/// is dropped sends it again a second later, to the process that listens then. Fails if the operating system does not support
/// socket filters.
pub fn reject_new_connections(listener: &TcpListener) -> io::Result<()> {
    // Classic BPF: loads the flags (byte 13 of the TCP header), drops packets with SYN set and accepts all others.
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
