//! The seams: what any client protocol, and any discovery client, has to tell the driver, and what the driver asks
//! of a client protocol. The line protocol of [`rpc`](super::rpc) is one front; one with several channels on
//! a connection would be another.

use super::datagrams::Datagrams;
use super::management::{AdminConnection, AdminRequest};
use super::request_error::RequestError;
use cottonnotch_decision::{Micros, Outcome};
use cottonnotch_proxy_core::EndpointUpdate;
use cottonnotch_reactor::listener::Listener;
use cottonnotch_reactor::signals::Signals;
use cottonnotch_reactor::{Connection, Key, Report};
use std::fmt::Display;
use std::net::SocketAddr;

/// A client's wish for a connection, in the terms of the settings.
#[derive(Debug)]
pub struct ConnectionRequest {
    /// The connection's id, which no other open one has.
    pub id: u64,
    pub class: String,
    pub tenant: Option<String>,
    /// How long the client waits, from now.
    pub time_left: Option<Micros>,
    pub load_hint: Option<f64>,
    pub group: Option<u64>,
    /// A repeat, or a client whose connection was broken or moved.
    pub is_repeat: bool,
    /// The endpoint on which the connection is open already.
    pub current_endpoint: Option<String>,
}

/// One attempt to be made.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOrder {
    pub address: SocketAddr,
    /// Ended as timed out after this; 0: when the client gives up.
    pub timeout: Micros,
    pub connect_timeout: Micros,
    /// Its first line is written before this or not at all, by the rules' clock.
    pub act_by: Option<Micros>,
    /// Its first line is written before this or not at all.
    pub before: Option<Micros>,
}

/// What has happened.
#[derive(Debug)]
pub enum NetworkEvent {
    /// Clients wait to be accepted.
    ClientsWaiting,
    /// A client was turned away with an error. If it had asked already, that is its final answer.
    ClientRejected { client: Key, why: RequestError },
    /// A client wishes for a connection; it is owed one final answer.
    ConnectionRequested(Key, ConnectionRequest),
    /// The attempt's endpoint took it; `elapsed` since the attempt began.
    Established { client: Key, elapsed: Micros },
    /// The attempt has ended without having been up; a final answer is still owed.
    AttemptEnded { client: Key, outcome: Outcome },
    /// The endpoint returned nothing any more, and the client was moved; the connection's end is told next.
    EndpointSilent { client: Key },
    /// The last byte of an attempt's first line was written.
    AttemptWritten { client: Key },
    /// A connection that was up has ended; nothing more is owed.
    ConnectionEnded { client: Key, outcome: Outcome },
    /// The client left before it had an answer; `outcome`: what that makes of its attempt, if one was out.
    ClientLeft { client: Key, outcome: Outcome },
    /// The load of a connection has changed.
    LoadReported { client: Key, load: f64 },
    /// A client's line was answered after this long, or is unanswered for that long by now.
    LineAnswered { client: Key, delay: Micros },
    /// The discovery client's list, or changes of it.
    EndpointUpdate { watch: Key, result: EndpointUpdate },
    /// The discovery client's call failed or its watch is lost; `silent`: it said nothing where a beat was due.
    WatchLost { watch: Key, silent: bool, why: String },
    /// Datagrams have come from other proxies, each with its sender's address.
    Datagrams(Vec<(SocketAddr, Vec<u8>)>),
    /// Operators wait to be let in.
    AdminsWaiting,
    /// An operator calls; the caller waits for its answer.
    AdminRequested(Key, AdminRequest),
    /// The process was asked to stop.
    Terminate,
    /// The configuration is to be read again.
    Reload,
    /// A timer of the driver's.
    Timer(u32),
}

impl Report for NetworkEvent {
    fn timer(timer: u32) -> Self {
        NetworkEvent::Timer(timer)
    }
}

/// What callbacks may use here.
pub type Io = cottonnotch_reactor::Io<NetworkEvent>;

/// An object on the loop.
pub trait Object: Connection<Report = NetworkEvent> {
    /// The object as a client's request, if it is one.
    fn client(&mut self) -> Option<&mut dyn ClientProtocol> {
        None
    }
    /// The object as an operator's connection, if it is one.
    fn admin(&mut self) -> Option<&mut AdminConnection> {
        None
    }
    /// The object as the socket between proxies, if it is that.
    fn datagrams(&mut self) -> Option<&mut Datagrams> {
        None
    }
}

impl Object for Listener<NetworkEvent> {}
impl Object for Signals<NetworkEvent> {}

/// Which attempts are called off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelScope {
    /// Whichever is out.
    AnyAttempt,
    /// One that can't have run: its first line is not written yet.
    UnwrittenOnly,
}

/// What the driver asks of a request, whatever protocol its client speaks.
pub trait ClientProtocol {
    /// Makes an attempt. How it ends is reported; false: it could not even be begun, for want of
    /// something on this machine.
    fn attempt(&mut self, io: &mut Io, order: AttemptOrder) -> bool;
    /// The client still waits for its answer, and no attempt is out: its connection is looked at now. One that has left is
    /// reported.
    fn is_awaiting_answer(&mut self, io: &mut Io) -> bool;
    /// Calls off the attempt that is out, in any case or only if nothing of its line was written yet. True if one was
    /// called off: its end is reported, and an answer is still owed.
    fn cancel_attempt(&mut self, io: &mut Io, what: CancelScope) -> bool;
    /// Final answer: a rejection. Trying again is harmless, after this; 0: nothing said. False if the
    /// client is gone or has had its answer, which is reported.
    fn reject(&mut self, io: &mut Io, retry_after: Micros) -> bool;
    /// Final answer: failed. False as for [`Self::unavailable`].
    fn fail(&mut self, io: &mut Io, why: &dyn Display) -> bool;
    /// Ends a connection that is up politely; the client comes again. False if it is not up.
    fn migrate(&mut self, io: &mut Io) -> bool;
    /// The proxy goes away: a client that has not said what it wants is told to ask elsewhere. What it sends then is read
    /// and sent nowhere. True if it was told.
    fn decline_idle(&mut self, io: &mut Io, retry_after: Micros) -> bool;
    /// Room is needed: as [`Self::go_away`], and it is let go at once, as is one that was answered before.
    fn evict_idle(&mut self, io: &mut Io, retry_after: Micros) -> bool;
    /// For how long the oldest unanswered line of the client's has waited.
    fn oldest_unanswered(&self, now: Micros) -> Option<Micros>;
}
