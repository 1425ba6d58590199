//! Where one proxy reaches one render node: a listening socket that can fall silent, as one does whose machine is gone
//! or cut off.
//!
//! A closed socket would refuse, which a machine that is gone does not. Here the queue of connections that wait to be
//! accepted is made as short as it can be and filled with one of our own; the system then drops what asks to connect,
//! and the caller hears nothing (listen(2); `sk_acceptq_is_full` in Linux' tcp_conn_request).

use super::nodes_connection::{Party, Report};
use cottonnotch_reactor::listener::Listener;
use cottonnotch_reactor::{Key, Reactor};
use mio::net::{TcpListener, TcpStream};
use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Connections that may wait to be accepted at other times; the system bounds it further.
const BACKLOG: i32 = 4096;

/// One proxy's way to one render node.
#[derive(Debug)]
pub(super) struct Post {
    pub key: Key,
    socket: Rc<TcpListener>,
    address: SocketAddr,
    filler: Option<Socket>,
}

impl Post {
    pub fn open(address: SocketAddr, reactor: &mut Reactor<Party>) -> io::Result<Self> {
        let mut shared = None;
        let key = reactor.insert(|key, io| {
            let (listener, socket) = Listener::bind(address, Report::Accept, key, io)?;
            shared = Some(socket);
            Ok(Box::new(Party::Listener(listener)))
        })?;
        let socket = shared.ok_or(io::ErrorKind::NotFound)?;
        Ok(Post { key, socket, address, filler: None })
    }

    pub fn is_silent(&self) -> bool {
        self.filler.is_some()
    }

    /// From now on nothing comes up here. Whoever waited to be accepted should have been.
    pub fn hush(&mut self) -> io::Result<()> {
        SockRef::from(&*self.socket).listen(0)?;
        let filler = Socket::new(Domain::for_address(self.address), Type::STREAM, None)?;
        filler.set_nonblocking(true)?;
        // A reset leaves nothing behind.
        filler.set_linger(Some(Duration::ZERO))?;
        // In progress is as good: then another one fills the queue already.
        let _ = filler.connect(&self.address.into());
        self.filler = Some(filler);
        Ok(())
    }

    /// Connections come up again. What waits is to be accepted now: no readiness is told for it.
    /// Returns where our own one comes from, which is not to be served.
    pub fn wake(&mut self) -> io::Result<Option<SocketAddr>> {
        let Some(filler) = self.filler.take() else { return Ok(None) };
        let own = filler.local_addr().ok().and_then(|address| address.as_socket());
        drop(filler);
        SockRef::from(&*self.socket).listen(BACKLOG)?;
        Ok(own)
    }

    /// The next one that waits.
    pub fn accept(&self) -> io::Result<Option<(TcpStream, SocketAddr)>> {
        loop {
            match self.socket.accept() {
                Ok(accepted) => return Ok(Some(accepted)),
                Err(error) => match error.kind() {
                    io::ErrorKind::WouldBlock => return Ok(None),
                    // It has left already.
                    io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted => {}
                    _ => return Err(error),
                },
            }
        }
    }
}
