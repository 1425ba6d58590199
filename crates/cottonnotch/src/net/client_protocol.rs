//! What the driver asks of a client's connection, whatever protocol the client speaks. The line protocol of
//! [`client_connection`](super::client_connection) is one implementation; one with several channels on a
//! connection would be another.

use super::network_event::Io;
use cottonnotch_decision::Micros;
use std::fmt::Display;
use std::net::SocketAddr;

/// One attempt to be made.
#[derive(Clone, Copy, Debug)]
pub struct AttemptParameters {
    /// Where the endpoint listens.
    pub address: SocketAddr,
    /// The attempt ends as timed out after this; 0: when the client gives up.
    pub timeout: Micros,
    /// The attempt ends as failed if it is not connected after this.
    pub connect_timeout: Micros,
    /// Its first line is written before this or not at all, by the rules' clock.
    pub rules_write_deadline: Option<Micros>,
    /// Its first line is written before this or not at all.
    pub write_deadline: Option<Micros>,
}

/// Which attempts are cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelScope {
    /// Whichever is in flight.
    AnyAttempt,
    /// One that can't have run: its first line is not written yet.
    UnwrittenOnly,
}

/// A client's connection, as the driver uses it.
pub trait ClientProtocol {
    /// Begins an attempt, whose end is reported. False if it could not even begin, for want of something on this
    /// machine.
    fn start_attempt(&mut self, io: &mut Io, parameters: AttemptParameters) -> bool;
    /// Whether the client still waits for its answer and no attempt is in flight: its socket is looked at now. A
    /// client that has left is reported.
    fn is_awaiting_answer(&mut self, io: &mut Io) -> bool;
    /// Cancels the attempt in flight, if it is in scope. True if one was cancelled: its end is reported, and an
    /// answer is still owed.
    fn cancel_attempt(&mut self, io: &mut Io, scope: CancelScope) -> bool;
    /// Final answer: a rejection. Trying again is harmless, after this; 0: nothing said. False if the client has
    /// left or has had its answer, which is reported.
    fn reject(&mut self, io: &mut Io, retry_after: Micros) -> bool;
    /// Final answer: failed. False as for [`Self::reject`].
    fn fail(&mut self, io: &mut Io, reason: &dyn Display) -> bool;
    /// Ends an established connection in good order; the client comes back. False if it is not established.
    fn migrate(&mut self, io: &mut Io) -> bool;
    /// The proxy shuts down: a client that has sent no request yet is rejected. What it sends then is read and
    /// sent nowhere. True if it was rejected.
    fn reject_idle(&mut self, io: &mut Io, retry_after: Micros) -> bool;
    /// Capacity is needed: as [`Self::reject_idle`], and the connection is closed at once, as is one that was
    /// answered before.
    fn evict_idle(&mut self, io: &mut Io, retry_after: Micros) -> bool;
    /// For how long the oldest unanswered line of the client's has waited.
    fn oldest_unanswered(&self, now: Micros) -> Option<Micros>;
}
