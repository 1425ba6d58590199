//! The seams: what any client protocol, and any resolver, has to tell the driver, and what the driver asks
//! of a client protocol. The line protocol of [`rpc`](super::rpc) is one front; one with several channels on
//! a connection would be another.

use super::datagrams::Datagrams;
use super::management::{Call, Caller};
use super::request_error::Objection;
use cottonnotch_decision::{Micros, Outcome};
use cottonnotch_proxy_core::EndpointUpdate;
use cottonnotch_reactor::listener::Listener;
use cottonnotch_reactor::signals::Signals;
use cottonnotch_reactor::{Connection, Key, Report};
use std::fmt::Display;
use std::net::SocketAddr;

/// A client's wish for a connection, in the terms of the settings.
#[derive(Debug)]
pub struct Wish {
    /// The connection's id, which no other open one has.
    pub id: u64,
    pub class: String,
    pub tenant: Option<String>,
    /// How long the client waits, from now.
    pub left: Option<Micros>,
    pub load_hint: Option<f64>,
    pub group: Option<u64>,
    /// A repeat, or a client whose connection was broken or moved.
    pub again: bool,
    /// The subchannel on which the connection is open already.
    pub at: Option<String>,
}

/// One call attempt to be made.
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
pub enum Happening {
    /// Clients wait to be accepted.
    Acceptable,
    /// A client was turned away with an error. If it had asked already, that is its final answer.
    TurnedAway { rpc: Key, why: Objection },
    /// A client wishes for a connection; it is owed one final answer.
    Asked(Key, Wish),
    /// The call attempt's subchannel took it; `elapsed` since the attempt began.
    Up { rpc: Key, elapsed: Micros },
    /// The call attempt has ended without having been up; a final answer is still owed.
    AttemptEnded { rpc: Key, outcome: Outcome },
    /// The subchannel returned nothing any more, and the client was moved; the connection's end is told next.
    Silent { rpc: Key },
    /// The last byte of a call attempt's first line was written.
    Written { rpc: Key },
    /// A connection that was up has ended; nothing more is owed.
    Ended { rpc: Key, outcome: Outcome },
    /// The client left before it had an answer; `outcome`: what that makes of its attempt, if one was out.
    ClientGone { rpc: Key, outcome: Outcome },
    /// The load of a connection has changed.
    Load { rpc: Key, load: f64 },
    /// A client's line was answered after this long, or is unanswered for that long by now.
    Message { rpc: Key, delay: Micros },
    /// The resolver's list, or changes of it.
    Resolved { watch: Key, result: EndpointUpdate },
    /// The resolver's call failed or its watch is lost; `silent`: it said nothing where a beat was due.
    ResolverLost { watch: Key, silent: bool, why: String },
    /// Datagrams have come from other proxies, each with its sender's address.
    Datagrams(Vec<(SocketAddr, Vec<u8>)>),
    /// Operators wait to be let in.
    Callable,
    /// An operator calls; the caller waits for its answer.
    Called(Key, Call),
    /// The process was asked to stop.
    Terminate,
    /// The configuration is to be read again.
    Reload,
    /// A timer of the driver's.
    Timer(u32),
}

impl Report for Happening {
    fn timer(timer: u32) -> Self {
        Happening::Timer(timer)
    }
}

/// What callbacks may use here.
pub type Io = cottonnotch_reactor::Io<Happening>;

/// An object on the loop.
pub trait Object: Connection<Report = Happening> {
    /// The object as a client's RPC, if it is one.
    fn front(&mut self) -> Option<&mut dyn Front> {
        None
    }
    /// The object as an operator's connection, if it is one.
    fn caller(&mut self) -> Option<&mut Caller> {
        None
    }
    /// The object as the socket between proxies, if it is that.
    fn datagrams(&mut self) -> Option<&mut Datagrams> {
        None
    }
}

impl Object for Listener<Happening> {}
impl Object for Signals<Happening> {}

/// Which attempts are called off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOff {
    /// Whichever is out.
    Any,
    /// One that can't have run: its first line is not written yet.
    Unwritten,
}

/// What the driver asks of an RPC, whatever protocol its client speaks.
pub trait Front {
    /// Makes a call attempt. How it ends is reported; false: it could not even be begun, for want of
    /// something on this machine.
    fn attempt(&mut self, io: &mut Io, order: AttemptOrder) -> bool;
    /// The client still waits for its answer, and no attempt is out: its connection is looked at now. One that has left is
    /// reported.
    fn awaits_answer(&mut self, io: &mut Io) -> bool;
    /// Calls off the attempt that is out, in any case or only if nothing of its line was written yet. True if one was
    /// called off: its end is reported, and an answer is still owed.
    fn call_off(&mut self, io: &mut Io, what: CallOff) -> bool;
    /// Final answer: the unavailable status. Trying again is harmless, after this; 0: nothing said. False if the
    /// client is gone or has had its answer, which is reported.
    fn unavailable(&mut self, io: &mut Io, retry_after: Micros) -> bool;
    /// Final answer: failed. False as for [`Self::unavailable`].
    fn fail(&mut self, io: &mut Io, why: &dyn Display) -> bool;
    /// Ends a connection that is up politely; the client comes again. False if it is not up.
    fn move_away(&mut self, io: &mut Io) -> bool;
    /// The proxy goes away: a client that has not said what it wants is told to ask elsewhere. What it sends then is read
    /// and sent nowhere. True if it was told.
    fn go_away(&mut self, io: &mut Io, retry_after: Micros) -> bool;
    /// Room is needed: as [`Self::go_away`], and it is let go at once, as is one that was answered before.
    fn dismiss(&mut self, io: &mut Io, retry_after: Micros) -> bool;
    /// For how long the oldest unanswered line of the client's has waited.
    fn waiting_for(&self, now: Micros) -> Option<Micros>;
}
