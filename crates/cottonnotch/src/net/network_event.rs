//! Network events: what client protocols, the discovery client, the listeners and the process's signals report to
//! the driver.

use super::connection_request::ConnectionRequest;
use super::management::admin_request::AdminRequest;
use super::request_error::RequestError;
use cottonnotch_decision::{Micros, Outcome};
use cottonnotch_proxy_core::EndpointUpdate;
use cottonnotch_reactor::{Key, Report};
use std::net::SocketAddr;

/// An event on the network or of the process.
#[derive(Debug)]
pub enum NetworkEvent {
    /// Clients wait to be accepted.
    ClientsWaiting,
    /// An event of one client's connection.
    Client(Key, ClientEvent),
    /// Discovery has sent the endpoint list, or changes of it.
    EndpointUpdate { watch: Key, update: EndpointUpdate },
    /// A watch on discovery has ended, or could not begin.
    WatchLost { watch: Key, loss: WatchLoss, reason: String },
    /// Datagrams of other proxies, each with its sender's address.
    Datagrams(Vec<(SocketAddr, Vec<u8>)>),
    /// Operators wait to be accepted.
    AdminsWaiting,
    /// An operator's request; its connection waits for the response.
    AdminRequested(Key, AdminRequest),
    /// The process was asked to stop.
    Terminate,
    /// The configuration is to be read again.
    Reload,
    /// A timer of the driver's.
    Timer(u32),
}

/// An event of one client's connection.
#[derive(Debug)]
pub enum ClientEvent {
    /// The client was rejected with an error. If it had sent a request already, that is its final answer.
    Rejected(RequestError),
    /// The client requests a connection; it is owed one final answer.
    ConnectionRequested(ConnectionRequest),
    /// The last byte of an attempt's first line was written.
    AttemptWritten,
    /// The attempt's endpoint accepted the connection, this long after the attempt began.
    Established { elapsed: Micros },
    /// The attempt has ended without a connection; a final answer is still owed.
    AttemptEnded(Outcome),
    /// The endpoint has stopped answering, and the client was migrated; the connection's end is reported next.
    EndpointSilent,
    /// An established connection has ended; nothing more is owed.
    Ended(Outcome),
    /// The client left before it had an answer; the outcome is that of its attempt, if one was in flight.
    Left(Outcome),
    /// The endpoint has reported a load or a latency on this connection.
    LoadReported(f64),
    /// A line of the client's was answered after this long.
    LineAnswered { latency: Micros },
}

/// How a watch on discovery was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchLoss {
    /// Nothing came where a heartbeat was due.
    Silent,
    /// The request failed, or the connection has ended.
    Failed,
}

impl Report for NetworkEvent {
    fn timer(timer: u32) -> Self {
        NetworkEvent::Timer(timer)
    }
}

/// What callbacks may use here.
pub type Io = cottonnotch_reactor::Io<NetworkEvent>;
