//! The socket on which proxies exchange datagrams.

use super::network_event::{Io, NetworkEvent};
use super::object::{DatagramSender, Object};
use cottonnotch_reactor::{Connection, Half, Key};
use mio::net::UdpSocket;
use std::io;
use std::net::SocketAddr;

/// The longest datagram that the platform carries, and what a longer one is cut to: one byte more shows it.
pub const MAX_DATAGRAM: usize = 256;
/// Read in one turn before clients have theirs. Guards against a flood: the rest waits in the system's own bounded
/// buffer, and what does not fit there is lost before it has cost anything.
const READ_BATCH: usize = 32;

/// The socket of this proxy.
#[derive(Debug)]
pub struct Datagrams {
    socket: UdpSocket,
    key: Key,
}

impl Datagrams {
    /// Listens at this address. Fails as the system calls do.
    pub fn bind(address: SocketAddr, key: Key, io: &mut Io) -> io::Result<Self> {
        let mut socket = UdpSocket::bind(address)?;
        io.register_reader(&mut socket, key)?;
        Ok(Datagrams { socket, key })
    }
}

impl DatagramSender for Datagrams {
    /// What can't be sent now is lost, as it may be anywhere on its way.
    fn send(&self, to: SocketAddr, bytes: &[u8]) -> bool {
        bytes.len() <= MAX_DATAGRAM && self.socket.send_to(bytes, to).is_ok()
    }
}

impl Connection for Datagrams {
    type Report = NetworkEvent;

    fn readable(&mut self, io: &mut Io, leg: Half) {
        let mut received = Vec::new();
        let mut bytes = [0; MAX_DATAGRAM + 1];
        for _ in 0..READ_BATCH {
            match self.socket.recv_from(&mut bytes) {
                Ok((length, from)) => received.push((from, bytes[..length].to_vec())),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    io.report(NetworkEvent::Datagrams(received));
                    return;
                }
                // What one was sent to is not there; it says nothing of what may still be read.
                Err(_) => {}
            }
        }
        io.report(NetworkEvent::Datagrams(received));
        io.call_again(self.key, leg);
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
