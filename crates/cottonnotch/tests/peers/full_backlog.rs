//! A render node on which no connection is established for now: its backlog is full, and the system drops new ones.

use super::{ScriptedPeer, ScriptedServer, TIMEOUT, wait_for};
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// The listener, and the connections that fill its backlog.
pub struct FullBacklog {
    node: ScriptedServer,
    fillers: Vec<TcpStream>,
}

impl FullBacklog {
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let mut fillers = Vec::new();
        // A connection that isn't established in this time may have met a busy machine, not a full backlog.
        wait_for(TIMEOUT, "a full backlog", || {
            fillers.extend(TcpStream::connect_timeout(&address, Duration::from_millis(100)));
            is_full(address).then_some(())
        });
        listener.set_nonblocking(true).unwrap();
        FullBacklog { node: ScriptedServer::listening(listener), fillers }
    }

    /// For the list.
    pub fn node(&self) -> &ScriptedServer {
        &self.node
    }

    /// Makes room; a connection that is not a filler. A filler may be established only now, too, so they are told apart by
    /// their addresses.
    pub fn poll(&self) -> Option<ScriptedPeer> {
        let is_filler = |from: SocketAddr| self.fillers.iter().any(|one| one.local_addr().unwrap() == from);
        let mut there = std::iter::from_fn(|| self.node.poll_from());
        there.find(|(_, from)| !is_filler(*from)).map(|(peer, _)| peer)
    }

    /// Makes room; the next connection that is not a filler. One that was dropped is established when its system next tries,
    /// a second after the first time.
    pub fn accept(&self) -> ScriptedPeer {
        wait_for(TIMEOUT, "a connection beside the fillers", || self.poll())
    }

    /// As [`Self::accept`], and its first line.
    pub fn accept_attempt(&self) -> (ScriptedPeer, String) {
        let mut peer = self.accept();
        let line = peer.receive();
        (peer, line)
    }
}

/// Whether a connection waits to be accepted at this listener, whose backlog takes one.
fn is_full(listener: SocketAddr) -> bool {
    const LISTEN: &str = "0A";
    let suffix = format!(":{:04X}", listener.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let mut rows = table.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<_>>());
    let waiting = |row: &Vec<&str>| u32::from_str_radix(row[4].split(':').nth(1)?, 16).ok();
    rows.any(|row| {
        row[1].ends_with(&suffix) && row[3] == LISTEN && waiting(&row).is_some_and(|count| count > 0)
    })
}
