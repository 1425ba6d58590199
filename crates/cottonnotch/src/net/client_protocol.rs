//! The interface through which the driver uses a client's connection, independent of the client's protocol. The
//! line protocol in [`client_connection`](super::client_connection) is one implementation; a protocol with several
//! channels per connection could be another.

use super::network_event::Io;
use cottonnotch_decision::Micros;
use std::fmt::Display;
use std::net::SocketAddr;

/// The parameters of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptParameters {
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    /// The time after which the attempt ends as timed out; 0 means that only the client's deadline limits it.
    pub timeout: Micros,
    /// The time after which the attempt ends as failed if it is not connected.
    pub connect_timeout: Micros,
    /// The time, on the clock of the rules, from which the first line must not be written any more.
    pub rules_write_deadline: Option<Micros>,
    /// The time, on the event loop's clock, from which the first line must not be written any more.
    pub write_deadline: Option<Micros>,
}

/// Which attempts are to be cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelScope {
    /// Any attempt that is in flight.
    AnyAttempt,
    /// An attempt whose first line is not completely written, so that the endpoint cannot have executed the request.
    UnwrittenOnly,
}

/// A client's connection, independent of its protocol.
pub trait ClientProtocol {
    /// Starts an attempt; its end is reported as an event. Returns false if no answer is owed any more, or if the
    /// attempt could not start because this machine lacks a resource.
    fn start_attempt(&mut self, io: &mut Io, parameters: AttemptParameters) -> bool;
    /// Reads the client's socket, and returns whether the client still waits for its answer without an attempt in
    /// flight. A client that has left is reported as an event.
    fn is_awaiting_answer(&mut self, io: &mut Io) -> bool;
    /// Cancels the attempt in flight if it is in scope. Returns true if an attempt was cancelled; its end is then
    /// reported as an event, and an answer is still owed.
    fn cancel_attempt(&mut self, io: &mut Io, scope: CancelScope) -> bool;
    /// Sends a rejection as the final answer. The client may safely retry after `retry_after`; 0 omits that time.
    /// Returns false if the client has left or already has its answer, which is reported as an event.
    fn reject(&mut self, io: &mut Io, retry_after: Micros) -> bool;
    /// Sends an error as the final answer. Returns false in the same cases as [`Self::reject`].
    fn fail(&mut self, io: &mut Io, reason: &dyn Display) -> bool;
    /// Ends an established connection with a `MOVE`, after which the client reconnects. Returns false if the
    /// connection is not established.
    fn migrate(&mut self, io: &mut Io) -> bool;
    /// Rejects a client that has not sent a request yet, because the proxy shuts down. Data that it sends
    /// afterwards is discarded. Returns true if the client was rejected.
    fn reject_idle(&mut self, io: &mut Io, retry_after: Micros) -> bool;
    /// Rejects a client as [`Self::reject_idle`] does, to free capacity: closes the connection at once, also if the
    /// client was answered before.
    fn evict_idle(&mut self, io: &mut Io, retry_after: Micros) -> bool;
    /// Returns how long the client's oldest unanswered line has waited; `None` if no line is unanswered.
    fn oldest_unanswered(&self, now: Micros) -> Option<Micros>;
}
