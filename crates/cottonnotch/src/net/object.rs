//! The objects on the event loop, and what the driver can reach them as.

use super::client_protocol::ClientProtocol;
use super::management::admin_request::AdminResponse;
use super::network_event::{Io, NetworkEvent};
use cottonnotch_reactor::Connection;
use cottonnotch_reactor::listener::Listener;
use cottonnotch_reactor::signals::Signals;
use std::net::SocketAddr;

/// An object on the loop.
pub trait Object: Connection<Report = NetworkEvent> {
    /// The object as a client's connection, if it is one.
    fn client(&mut self) -> Option<&mut dyn ClientProtocol> {
        None
    }
    /// The object as an operator's connection, if it is one.
    fn admin(&mut self) -> Option<&mut dyn AdminResponder> {
        None
    }
    /// The object as the socket between proxies, if it is that.
    fn datagrams(&mut self) -> Option<&mut dyn DatagramSender> {
        None
    }
}

impl Object for Listener<NetworkEvent> {}
impl Object for Signals<NetworkEvent> {}

/// A connection on which an operator waits for a response.
pub trait AdminResponder {
    /// Sends the response; nothing if one was sent before.
    fn respond(&mut self, io: &mut Io, response: &AdminResponse);
}

/// A socket that sends datagrams to other proxies.
pub trait DatagramSender {
    /// Sends one; false if it was not sent. A lost datagram is not sent again.
    fn send(&self, to: SocketAddr, bytes: &[u8]) -> bool;
}
