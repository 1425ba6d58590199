//! Observations by the emulated clients, render nodes, discovery and front, and by the runner of the proxies' processes.
//!
//! They are the judge's only input, in order of time; none comes from a proxy. Each is recorded at the time of the
//! event, on the one clock of the run. Reports list observations by their `Debug` text, so the names of [`Seen`]'s
//! variants and fields are part of the output.

use crate::plan::{NodeId, Phase, ProxyId, SessionId};
use crate::time::Micros;
use std::fmt;

/// One observation.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// Time on the run's clock, in microseconds.
    pub at: Micros,
    /// The event.
    pub seen: Seen,
}

/// The id in a client's first line. Each attempt of a client has a new one, so it identifies one request and its proxy.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

impl fmt::Debug for RequestId {
    /// As on the wire, so that it can be found in a proxy's log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One attempt at one render node, by the render node's count of the first lines that it received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt {
    /// The render node.
    pub node: NodeId,
    /// Serial number, unique for a render node across its restarts.
    pub serial: u32,
}

/// A final answer, as a client read it.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// `UP RECEIPT`.
    Up(u64),
    /// `BUSY` or `BUSY MS`; the wait in microseconds, 0 if none was given.
    Busy(Micros),
    /// Any other line.
    Failed(String),
}

/// How a client's connection ended, when the proxy ended it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyClose {
    /// By an orderly close.
    Closed,
    /// By a reset.
    Reset,
}

/// Why a client ended its connection itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientClose {
    /// The deadline, and a margin in which a late answer would have been read, passed without an answer.
    GaveUp,
    /// It gave up before the deadline.
    Impatient,
    /// A fault of the scenario made it drop the connection.
    Dropped,
    /// Its session is over: it ended its sending and read the rest.
    Done,
}

/// A render node's answer to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeAnswer {
    /// `UP` with this receipt, unique to the attempt.
    Up(u64),
    /// `BUSY`: the request was not run.
    Busy,
    /// `ERR`, or an unreadable answer.
    Error,
}

/// How an attempt, or the connection that it opened, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The proxy closed it or ended its sending.
    ByProxy,
    /// The render node, with `BYE`.
    Bye,
    /// The render node, with `MOVE`.
    Move,
    /// The render node, without a line: it died, shed the connection, or closed after `BUSY` or `ERR`.
    Cut,
}

/// The condition of a render node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Accepts, answers and returns lines.
    Sound,
    /// Accepts connections and never replies; lines are not returned.
    Hung,
    /// Its machine is down or cut off: established connections are silent and new ones are never accepted.
    Vanished,
    /// Answers new connections with unreadable bytes; established ones work.
    Rubbish,
    /// No process: connections were reset, new ones are refused.
    Down,
}

/// Slow start of a render node: how it warms up, and its capacity meanwhile.
#[derive(Clone, Copy, PartialEq)]
pub struct SlowStart {
    /// New connections a second that it takes when warm: those that fill it within `warm_up`.
    pub joins_per_s: f64,
    /// Share of its capacity at the start; rises linearly to 1.
    pub from: f64,
    /// Duration of the warm-up, in microseconds.
    pub warm_up: Micros,
}

impl fmt::Debug for SlowStart {
    /// Reports list observations as this text, so its names stay as they were first published.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SlowStart { joins_per_s, from, warm_up } = self;
        f.debug_struct("Cold")
            .field("joins_per_s", joins_per_s)
            .field("from", from)
            .field("warm_up", warm_up)
            .finish()
    }
}

/// A signal that the kit sent to a proxy's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGKILL.
    Kill,
    /// SIGTERM.
    Terminate,
    /// SIGHUP, after its files were replaced.
    Reload,
}

/// How a proxy handled a misbehaving client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MisbehaviorOutcome {
    /// `ERR` or `BUSY`.
    Error,
    /// Closed without an answer.
    Closed,
    /// Served, as if its request had run.
    Served,
}

/// An observed event.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)] // Each variant's sentence names its fields.
pub enum Seen {
    // -- clients --
    /// A session wants a connection from now until `until`, whoever serves it.
    Wanted { session: SessionId, class: u8, tenant: u8, until: Micros },
    /// The last byte of a first line was written to a connection that the proxy's machine had accepted: the
    /// proxy has taken the request. The client waits for the answer until `deadline`.
    Asked { request: RequestId, session: SessionId, proxy: ProxyId, deadline: Micros },
    /// The proxy could not be reached, or broke the connection before the last byte was written.
    Unreached { session: SessionId, proxy: ProxyId },
    /// An answer line was read. A second one is noted like the first.
    Answered { request: RequestId, answer: Answer },
    /// A `MOVE` line was read.
    Moved { request: RequestId },
    /// A line was read that neither is an answer nor one that a client or render node sent on this connection, or
    /// that came out of its turn; its first bytes, as text.
    Garbled { request: RequestId, line: String },
    /// The proxy ended the connection.
    Ended { request: RequestId, how: ProxyClose },
    /// The client ended it.
    Left { request: RequestId, why: ClientClose },
    /// The client sent its line number `line` (from 0).
    LineSent { request: RequestId, line: u32 },
    /// Its line came back.
    LineBack { request: RequestId, line: u32 },
    /// Connection seconds of a session from `from` until the time of this note, and whether they were well served:
    /// the connection stood and its message came back within the class's aim. What no such span covers was not
    /// served. Known, and so taken down, only up to that aim later.
    Served { session: SessionId, from: Micros, well: bool },
    /// A message came back this long after the client was due to send it.
    MessageTook { class: u8, took: Micros },
    /// A session was up this long after the try was due.
    SetupTook { class: u8, took: Micros },
    /// A rude client has connected; it is owed an error or a close until `by`.
    RudeCame { rude: u32, proxy: ProxyId, by: Micros },
    /// It is about to put a request with an id of its own, among whatever else it says.
    RudeAsked { rude: u32, request: RequestId, proxy: ProxyId },
    /// It was dealt with.
    RudeOver { rude: u32, how: MisbehaviorOutcome },

    // -- render nodes --
    /// The process runs (again); `cold` unless it was warm from the start.
    Started { node: NodeId, cold: Option<SlowStart> },
    /// What it can do from now on.
    Condition { node: NodeId, condition: Condition },
    /// It was pushed over: too much came while it was cold. It stays down.
    Fell { node: NodeId },
    /// A first line's last byte has arrived; its first one arrived at `first_byte`. `session` is the one that has its key.
    Attempt {
        attempt: Attempt,
        request: RequestId,
        session: Option<SessionId>,
        proxy: ProxyId,
        first_byte: Micros,
    },
    /// A first line that no client sent in this form (but for `d`).
    BadFirstLine { node: NodeId, proxy: ProxyId, line: String },
    /// The attempt was answered.
    AttemptAnswered { attempt: Attempt, answer: NodeAnswer },
    /// The attempt, or the connection that came of it, is over.
    AttemptOver { attempt: Attempt, over: AttemptEnd },
    /// A client's line has arrived.
    LineAtNode { attempt: Attempt, line: u32 },
    /// It was returned.
    LineReturned { attempt: Attempt, line: u32 },

    /// The network between a proxy and a render node is cut, or whole again.
    Reach { proxy: ProxyId, node: NodeId, on: bool },

    // -- discovery --
    /// The list has changed.
    Listed { node: NodeId, phase: Phase },
    /// The change was written to the proxy's watch.
    Told { proxy: ProxyId, node: NodeId, phase: Phase },
    /// A proxy's watch was answered, or has ended.
    Watching { proxy: ProxyId, on: bool },
    /// A call of a proxy's for the whole list was answered, or has failed.
    ListCall { proxy: ProxyId, answered: bool },
    /// Discovery can be reached by all, or by none.
    DiscoveryUp { up: bool },

    // -- the front, and the kit's own hand --
    /// The front gives the proxy new clients, or no more.
    Admitted { proxy: ProxyId, on: bool },
    /// The process was started; `pid` names it.
    ProxyStarted { proxy: ProxyId, pid: u32 },
    /// About to be sent.
    ProxySignalled { proxy: ProxyId, signal: Signal },
    /// The process is gone; its exit code, if it had one.
    ProxyExited { proxy: ProxyId, code: Option<i32> },
    /// A proxy sent a datagram of so many bytes to another one.
    Datagram { from: ProxyId, to: ProxyId, bytes: u32 },
    /// Something of the scenario's timeline, in words.
    Mark { text: String },
    /// A stand-in ran this late.
    Lag { late: Micros },
}

impl fmt::Display for Observation {
    /// For a person: the time in seconds and what was seen.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>10.6} s  {:?}", self.at as f64 / 1e6, self.seen)
    }
}
