//! The objects on the event loop, and the interfaces through which the driver uses them.

use super::client_protocol::ClientProtocol;
use super::management::admin_request::AdminResponse;
use super::network_event::{Io, NetworkEvent};
use cottonnotch_reactor::Connection;
use cottonnotch_reactor::listener::Listener;
use cottonnotch_reactor::signals::Signals;
use cottonnotch_reactor::waker::WakerSource;
use std::net::SocketAddr;

/// An object on the event loop.
pub trait Object: Connection<Report = NetworkEvent> {
    /// Returns the object as a client's connection; `None` if it is something else.
    fn client(&mut self) -> Option<&mut dyn ClientProtocol> {
        None
    }
    /// Returns the object as an operator's connection; `None` if it is something else.
    fn admin(&mut self) -> Option<&mut dyn AdminResponder> {
        None
    }
    /// Returns the object as the datagram socket; `None` if it is something else.
    fn datagrams(&mut self) -> Option<&mut dyn DatagramSender> {
        None
    }
}

impl Object for Listener<NetworkEvent> {}
impl Object for Signals<NetworkEvent> {}
impl Object for WakerSource<NetworkEvent> {}

/// A connection on which an operator waits for a response.
pub trait AdminResponder {
    /// Sends the response; does nothing if a response was already sent.
    fn respond(&mut self, io: &mut Io, response: &AdminResponse);
}

/// A socket that sends datagrams to other proxies.
pub trait DatagramSender {
    /// Sends a datagram; returns false if it was not sent. A lost datagram is not sent again.
    fn send(&self, to: SocketAddr, bytes: &[u8]) -> bool;
}
