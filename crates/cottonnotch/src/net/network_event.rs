//! Network events: the reports of client connections, the discovery client, the listeners and the signal handler to
//! the driver.

use super::connection_request::ConnectionRequest;
use super::management::admin_request::AdminRequest;
use super::request_error::RequestError;
use cottonnotch_decision::{Micros, Outcome};
use cottonnotch_proxy_core::EndpointUpdate;
use cottonnotch_reactor::{Key, Report};
use std::net::SocketAddr;

/// An event of the network or of the process.
#[derive(Debug)]
pub enum NetworkEvent {
    /// Clients wait to be accepted.
    ClientsWaiting,
    /// An event of one client's connection.
    Client(Key, ClientEvent),
    /// Discovery has sent the endpoint list or changes to it.
    EndpointUpdate { watch: Key, update: EndpointUpdate },
    /// The first answer on a watch is a heartbeat: nothing has changed since the requested revision.
    WatchUnchanged { watch: Key },
    /// A watch on discovery has ended, is silent, or could not start.
    WatchLost { watch: Key, loss: WatchLoss, reason: String },
    /// Datagrams have arrived; each has its sender's address.
    Datagrams(Vec<(SocketAddr, Vec<u8>)>),
    /// Operators wait to be accepted.
    AdminsWaiting,
    /// An operator has sent a request, and the connection waits for the response.
    AdminRequested(Key, AdminRequest),
    /// It is known of some requests whether their ids are open at another process of this proxy.
    ClaimsEnded,
    /// The process was asked to stop.
    Terminate,
    /// The process was asked to reload its configuration.
    Reload,
    /// A timer of the driver is due.
    Timer(u32),
}

/// An event of one client's connection.
#[derive(Debug)]
pub enum ClientEvent {
    /// The client was rejected with an error. If it had already sent a request, the error is the final answer.
    Rejected(RequestError),
    /// The client requests a connection; it is owed one final answer.
    ConnectionRequested(ConnectionRequest),
    /// The last byte of an attempt's first line was written.
    AttemptWritten,
    /// The endpoint of the attempt accepted the connection; `elapsed` is the time since the attempt started.
    Established { elapsed: Micros },
    /// The attempt has ended without a connection; a final answer is still owed.
    AttemptEnded(Outcome),
    /// The endpoint has stopped answering, and the client was migrated. The end of the connection is reported next.
    EndpointSilent,
    /// An established connection has ended; no answer is owed.
    Ended(Outcome),
    /// The client left before it had an answer. The outcome is the one of its attempt if one was in flight.
    Left(Outcome),
    /// The endpoint has reported a load or a latency on this connection.
    LoadReported(f64),
    /// The endpoint answered a line of the client after this time.
    LineAnswered { latency: Micros },
}

/// How a watch on discovery was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchLoss {
    /// Neither data nor a heartbeat arrived in time.
    Silent,
    /// The request failed, or the connection ended.
    Failed,
}

impl Report for NetworkEvent {
    fn timer(timer: u32) -> Self {
        NetworkEvent::Timer(timer)
    }
}

/// The reactor's I/O interface for callbacks, with this program's event type.
pub type Io = cottonnotch_reactor::Io<NetworkEvent>;
