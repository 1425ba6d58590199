//! Hollow proxies on real loopback sockets and real time: a few threads, many members a thread, each with its own sockets for
//! the fleet view and for the accord, and its own watch on discovery.

use cottonnotch_reactor::{Connection, Half, Key};
use mio::net::UdpSocket;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

/// Read in one turn before others have theirs, as the daemon does.
const MAX_READS_PER_TURN: usize = 32;
/// The longest datagrams of the two kinds, and one byte that shows a longer one.
const MAX_PEER_DATAGRAM: usize = 256;
const MAX_CONSENSUS_DATAGRAM: usize = 1_200;
/// Ports of the members; each has an address of its own.
pub const PEERS_PORT: u16 = 7_946;
/// See [`PEERS_PORT`].
pub const CONSENSUS_PORT: u16 = 7_947;
/// A relay's ends have ports that are so much higher.
pub const RELAY_PORT_OFFSET: u16 = 1_000;
/// What objects on the loop have to tell.
pub enum Report {
    /// A timer of the worker's.
    Timer(u32),
    /// Datagrams have come.
    Datagrams {
        /// Whose.
        seat: usize,
        /// Of the accord, or of the fleet view.
        accord: bool,
        /// From there, and their bytes.
        heard: Vec<(SocketAddr, Vec<u8>)>,
    },
    /// Discovery has told a list.
    Listed {
        /// Whom.
        seat: usize,
        /// On this watch.
        watch: Key,
        /// In this text.
        text: Vec<u8>,
    },
    /// A watch is lost.
    ListLost {
        /// Whose.
        seat: usize,
        /// Which.
        watch: Key,
        /// It said nothing where a beat was due.
        silent: bool,
    },
}

impl cottonnotch_reactor::Report for Report {
    fn timer(timer: u32) -> Self {
        Report::Timer(timer)
    }
}

/// What callbacks may use.
pub type Io = cottonnotch_reactor::Io<Report>;

/// An object on the loop.
pub trait Object: Connection<Report = Report> {
    /// Sends a datagram; what can't be sent is lost.
    fn send(&mut self, _to: SocketAddr, _bytes: &[u8]) {}
}

pub(crate) struct Datagrams {
    socket: UdpSocket,
    key: Key,
    seat: usize,
    accord: bool,
}

impl Datagrams {
    pub fn bind(at: SocketAddr, seat: usize, accord: bool, key: Key, io: &mut Io) -> io::Result<Self> {
        let mut socket = UdpSocket::bind(at)?;
        io.register_reader(&mut socket, key)?;
        Ok(Datagrams { socket, key, seat, accord })
    }
}

impl Connection for Datagrams {
    type Report = Report;

    fn readable(&mut self, io: &mut Io, leg: Half) {
        let (seat, accord) = (self.seat, self.accord);
        let longest = if accord { MAX_CONSENSUS_DATAGRAM } else { MAX_PEER_DATAGRAM };
        let mut bytes = [0; MAX_CONSENSUS_DATAGRAM + 1];
        let mut heard = Vec::new();
        for _ in 0..MAX_READS_PER_TURN {
            match self.socket.recv_from(&mut bytes[..=longest]) {
                Ok((length, from)) => heard.push((from, bytes[..length].to_vec())),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    io.report(Report::Datagrams { seat, accord, heard });
                    return;
                }
                // What one was sent to is not there; it says nothing of what may still be read.
                Err(_) => {}
            }
        }
        io.report(Report::Datagrams { seat, accord, heard });
        io.call_again(self.key, leg);
    }

    fn writable(&mut self, _: &mut Io, _: Half) {}

    fn timer(&mut self, _: &mut Io, _: u32) {}

    fn done(&self) -> bool {
        false
    }
}

impl Object for Datagrams {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        // What can't be sent now is lost, as it may be anywhere on its way.
        let _ = self.socket.send_to(bytes, to);
    }
}

/// Where a member's sockets are: an address of its own in a part of the loopback network that this process has for itself.
pub fn address(member: u32, port: u16) -> SocketAddr {
    // Apart from what other programs and tests of this workspace take.
    let net = 200 + (std::process::id() % 50) as u8;
    SocketAddr::from((Ipv4Addr::new(127, net, (member / 250) as u8, (member % 250 + 1) as u8), port))
}
