//! A render node on which no connection comes up for now: its queue is full, and the system drops who comes.

use super::{ScriptedPeer, ScriptedServer, TIMEOUT, wait_for};
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// The listener, and those that fill its queue.
pub struct FullBacklog {
    node: ScriptedServer,
    crowd: Vec<TcpStream>,
}

impl FullBacklog {
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let come = || TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
        let crowd: Vec<TcpStream> = std::iter::from_fn(come).collect();
        listener.set_nonblocking(true).unwrap();
        FullBacklog { node: ScriptedServer::listening(listener), crowd }
    }

    /// For the list.
    pub fn node(&self) -> &ScriptedServer {
        &self.node
    }

    /// Makes room; somebody who is there and not of the crowd. One of that may come up only now, too, so they are told by
    /// their addresses.
    pub fn poll(&self) -> Option<ScriptedPeer> {
        let of_crowd = |from: SocketAddr| self.crowd.iter().any(|one| one.local_addr().unwrap() == from);
        let mut there = std::iter::from_fn(|| self.node.poll_from());
        there.find(|(_, from)| !of_crowd(*from)).map(|(peer, _)| peer)
    }

    /// Makes room; the next who is not of the crowd. Who has come in vain comes up when its system next tries, a second
    /// after the first time.
    pub fn accept(&self) -> ScriptedPeer {
        wait_for(TIMEOUT, "a connection beside the crowd's", || self.poll())
    }

    /// As [`Self::accept`], and its first line.
    pub fn accept_attempt(&self) -> (ScriptedPeer, String) {
        let mut peer = self.accept();
        let line = peer.receive();
        (peer, line)
    }
}
