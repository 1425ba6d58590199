//! The UDP socket on which proxies exchange datagrams.

use super::network_event::{Io, NetworkEvent};
use super::object::{DatagramSender, Object};
use cottonnotch_reactor::{Connection, Half, Key};
use mio::net::UdpSocket;
use std::io;
use std::net::SocketAddr;

/// The maximum length of a datagram that the platform carries. The receive buffer is one byte longer, which reveals
/// a longer datagram that the system has truncated.
pub const MAX_DATAGRAM: usize = 256;
/// The maximum number of datagrams read in one turn, so that a flood does not delay the clients. The rest waits in
/// the system's bounded buffer; the system drops datagrams that do not fit there at no cost to the proxy.
const READ_BATCH: usize = 32;

/// This proxy's datagram socket.
#[derive(Debug)]
pub struct Datagrams {
    socket: UdpSocket,
    key: Key,
}

impl Datagrams {
    /// Binds the socket to this address. Returns the error of a failed system call.
    pub fn bind(address: SocketAddr, key: Key, io: &mut Io) -> io::Result<Self> {
        let mut socket = UdpSocket::bind(address)?;
        io.register_reader(&mut socket, key)?;
        Ok(Datagrams { socket, key })
    }
}

impl DatagramSender for Datagrams {
    /// Sends a datagram. One that cannot be sent now is lost, just as datagrams may be lost in the network.
    fn send(&self, to: SocketAddr, bytes: &[u8]) -> bool {
        bytes.len() <= MAX_DATAGRAM && self.socket.send_to(bytes, to).is_ok()
    }
}

impl Connection for Datagrams {
    type Report = NetworkEvent;

    fn readable(&mut self, io: &mut Io, half: Half) {
        let mut received = Vec::new();
        let mut bytes = [0; MAX_DATAGRAM + 1];
        for _ in 0..READ_BATCH {
            match self.socket.recv_from(&mut bytes) {
                Ok((length, from)) => received.push((from, bytes[..length].to_vec())),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    io.report(NetworkEvent::Datagrams(received));
                    return;
                }
                // The error belongs to an earlier datagram whose receiver is unreachable; there may still be
                // datagrams to read.
                Err(_) => {}
            }
        }
        io.report(NetworkEvent::Datagrams(received));
        io.call_again(self.key, half);
    }

    fn writable(&mut self, _: &mut Io, _: Half) {}

    fn timer(&mut self, _: &mut Io, _: u32) {}

    fn done(&self) -> bool {
        false
    }
}

impl Object for Datagrams {
    fn datagrams(&mut self) -> Option<&mut dyn DatagramSender> {
        Some(self)
    }
}
