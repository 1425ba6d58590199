//! Hollow proxies on real loopback sockets and real time: a few threads, many members a thread, each with its own sockets for
//! the fleet view and for the accord, and its own watch on discovery.

use cottonnotch_reactor::{Connection, Half, Key};
use mio::net::UdpSocket;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

/// Datagrams read in one turn before other sockets have theirs, as in the daemon.
const MAX_READS_PER_TURN: usize = 32;
/// The longest datagrams of the two kinds; one byte more is read, which shows a longer one.
const MAX_PEER_DATAGRAM: usize = 256;
const MAX_CONSENSUS_DATAGRAM: usize = 1_200;
/// Port of the aggregation or of gossip; each member has an address of its own.
pub const PEERS_PORT: u16 = 7_946;
/// Port of the consensus.
pub const CONSENSUS_PORT: u16 = 7_947;
/// The ports of a relay's sockets are higher by this.
pub const RELAY_PORT_OFFSET: u16 = 1_000;

/// The two sockets of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramKind {
    /// Of the aggregation or of gossip.
    Peers,
    /// Of the consensus.
    Consensus,
}

impl DatagramKind {
    /// The longest datagram in bytes.
    fn max_bytes(self) -> usize {
        match self {
            DatagramKind::Peers => MAX_PEER_DATAGRAM,
            DatagramKind::Consensus => MAX_CONSENSUS_DATAGRAM,
        }
    }
}

/// What objects on the event loop report to its owner.
pub enum Report {
    /// A timer of the worker.
    Timer(u32),
    /// Datagrams were received.
    Datagrams {
        /// Index of the receiving member on its thread.
        member: usize,
        /// The member's socket.
        kind: DatagramKind,
        /// Senders and datagrams.
        received: Vec<(SocketAddr, Vec<u8>)>,
    },
    /// Discovery has sent a list.
    EndpointUpdate {
        /// Index of the member on its thread.
        member: usize,
        /// The watch.
        watch: Key,
        /// The list, or a heartbeat.
        text: Vec<u8>,
    },
    /// A watch is lost.
    WatchLost {
        /// Index of the member on its thread.
        member: usize,
        /// The watch.
        watch: Key,
        /// Whether a heartbeat was overdue; otherwise the connection or the response has failed.
        silent: bool,
    },
}

impl cottonnotch_reactor::Report for Report {
    fn timer(timer: u32) -> Self {
        Report::Timer(timer)
    }
}

/// The part of the event loop that callbacks may use.
pub type Io = cottonnotch_reactor::Io<Report>;

/// An object on the event loop.
pub trait Object: Connection<Report = Report> {
    /// Sends a datagram; one that cannot be sent is lost.
    fn send(&mut self, _to: SocketAddr, _bytes: &[u8]) {}
}

pub(crate) struct Datagrams {
    socket: UdpSocket,
    key: Key,
    member: usize,
    kind: DatagramKind,
}

impl Datagrams {
    pub fn bind(
        at: SocketAddr,
        member: usize,
        kind: DatagramKind,
        key: Key,
        io: &mut Io,
    ) -> io::Result<Self> {
        let mut socket = UdpSocket::bind(at)?;
        io.register_reader(&mut socket, key)?;
        Ok(Datagrams { socket, key, member, kind })
    }
}

impl Connection for Datagrams {
    type Report = Report;

    fn readable(&mut self, io: &mut Io, half: Half) {
        let (member, kind) = (self.member, self.kind);
        let mut bytes = [0; MAX_CONSENSUS_DATAGRAM + 1];
        let mut received = Vec::new();
        for _ in 0..MAX_READS_PER_TURN {
            match self.socket.recv_from(&mut bytes[..=kind.max_bytes()]) {
                Ok((length, from)) => received.push((from, bytes[..length].to_vec())),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    io.report(Report::Datagrams { member, kind, received });
                    return;
                }
                // The receiver of an earlier datagram was unreachable; there may still be datagrams to read.
                Err(_) => {}
            }
        }
        io.report(Report::Datagrams { member, kind, received });
        io.call_again(self.key, half);
    }

    fn writable(&mut self, _: &mut Io, _: Half) {}

    fn timer(&mut self, _: &mut Io, _: u32) {}

    fn done(&self) -> bool {
        false
    }
}

impl Object for Datagrams {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        // A datagram that cannot be sent now is lost, as it may be anywhere on its path.
        let _ = self.socket.send_to(bytes, to);
    }
}

/// Address of a member's socket: an IP address of its own in a part of the loopback network that this process has to itself.
pub fn address(member: u32, port: u16) -> SocketAddr {
    // Apart from the addresses that other programs and tests of this workspace use.
    let net = 200 + (std::process::id() % 50) as u8;
    SocketAddr::from((Ipv4Addr::new(127, net, (member / 250) as u8, (member % 250 + 1) as u8), port))
}
