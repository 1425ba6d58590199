//! The listening socket at which one proxy reaches one render node. The socket can be made silent, as if the node's
//! machine had vanished or were cut off.
//!
//! Closing the socket would refuse connections, which a vanished machine doesn't do. Instead, the accept queue is
//! shortened to the minimum and filled with a connection of the emulator's own. The system then drops connection
//! requests, and the caller gets no reply (listen(2); `sk_acceptq_is_full` in `tcp_conn_request` of Linux).

use super::nodes_connection::{NodeReport, NodeSocket};
use cottonnotch_reactor::listener::Listener;
use cottonnotch_reactor::{Key, Reactor};
use mio::net::{TcpListener, TcpStream};
use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Length of the accept queue once the socket is no longer silent. The system may limit it further.
const BACKLOG: i32 = 4096;

/// The listener for one proxy at one render node.
#[derive(Debug)]
pub(super) struct NodeListener {
    pub key: Key,
    socket: Rc<TcpListener>,
    address: SocketAddr,
    /// The connection that fills the accept queue while the socket is silent.
    filler: Option<Socket>,
}

impl NodeListener {
    pub fn open(address: SocketAddr, reactor: &mut Reactor<NodeSocket>) -> io::Result<Self> {
        let mut shared = None;
        let key = reactor.insert(|key, io| {
            let (listener, socket) = Listener::bind(address, NodeReport::Accept, key, io)?;
            shared = Some(socket);
            Ok(Box::new(NodeSocket::Listener(listener)))
        })?;
        let socket = shared.ok_or(io::ErrorKind::NotFound)?;
        Ok(NodeListener { key, socket, address, filler: None })
    }

    pub fn is_silent(&self) -> bool {
        self.filler.is_some()
    }

    /// Makes the socket silent: no further connection is established. Connections that wait to be accepted must be
    /// accepted before.
    pub fn silence(&mut self) -> io::Result<()> {
        SockRef::from(&*self.socket).listen(0)?;
        let filler = Socket::new(Domain::for_address(self.address), Type::STREAM, None)?;
        filler.set_nonblocking(true)?;
        // With a zero linger time, dropping the filler sends a reset, which leaves no state behind.
        filler.set_linger(Some(Duration::ZERO))?;
        // An error is ignored, also `EINPROGRESS`: if the handshake cannot complete, another connection fills the
        // queue already.
        let _ = filler.connect(&self.address.into());
        self.filler = Some(filler);
        Ok(())
    }

    /// Lets connections be established again. The caller must accept waiting connections now, since no readiness is
    /// reported for them. Returns the local address of the filler connection, which must not be served.
    pub fn resume(&mut self) -> io::Result<Option<SocketAddr>> {
        let Some(filler) = self.filler.take() else { return Ok(None) };
        let filler_address = filler.local_addr().ok().and_then(|address| address.as_socket());
        drop(filler);
        SockRef::from(&*self.socket).listen(BACKLOG)?;
        Ok(filler_address)
    }

    /// Accepts the next waiting connection. Returns `None` if there is none.
    pub fn accept(&self) -> io::Result<Option<(TcpStream, SocketAddr)>> {
        loop {
            match self.socket.accept() {
                Ok(accepted) => return Ok(Some(accepted)),
                Err(error) => match error.kind() {
                    io::ErrorKind::WouldBlock => return Ok(None),
                    // The peer has closed the connection already, or a signal interrupted the call.
                    io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted => {}
                    _ => return Err(error),
                },
            }
        }
    }
}
