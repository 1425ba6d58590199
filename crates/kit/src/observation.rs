//! Observations by the emulated clients, render nodes, discovery and front, and by the runner of the proxies'
//! processes.
//!
//! They are the judge's only input, in order of time; none comes from a proxy. Each is recorded at the time of the
//! event, and all use the same clock. Reports list observations by their `Debug` text, so the names of [`Seen`]'s
//! variants and fields are part of the output.

use crate::plan::{NodeId, Phase, ProxyId, SessionId};
use crate::time::Micros;
use std::fmt;

/// One observation.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// Time on the clock of the run, in microseconds.
    pub at: Micros,
    /// The event.
    pub seen: Seen,
}

/// The id in a client's first line. Each request that a client sends has a new id, so the id identifies one request and
/// its proxy.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

impl fmt::Debug for RequestId {
    /// Formats the id as on the wire, so that it can be found in a proxy's log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies one attempt at one render node by the render node's count of the first lines that it has received.
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
    /// `BUSY` or `BUSY MS`, with the wait in microseconds; 0 if the answer has none.
    Busy(Micros),
    /// Any other line.
    Failed(String),
}

/// How the proxy ended a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyClose {
    /// With an orderly close.
    Closed,
    /// With a reset.
    Reset,
}

/// Why a client ended its connection itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientClose {
    /// The deadline, and a margin in which a late answer would have been read, passed without an answer.
    GaveUp,
    /// The client gave up before the deadline.
    Impatient,
    /// An event of the scenario's timeline made the client drop the connection.
    Dropped,
    /// The session is over: the client closed its sending side and read the remaining lines.
    Done,
}

/// A render node's answer to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeAnswer {
    /// `UP` with this receipt, unique to the attempt.
    Up(u64),
    /// `BUSY`: the render node did not run the request.
    Busy,
    /// `ERR`, or an unreadable answer.
    Error,
}

/// How an attempt, or the connection that it opened, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The proxy closed the connection or its sending side.
    ByProxy,
    /// The render node ended the connection with `BYE`.
    Bye,
    /// The render node ended the connection with `MOVE`.
    Move,
    /// The render node ended the connection without `BYE` or `MOVE`: its process ended, it shed the connection, or it
    /// closed after `BUSY` or `ERR`.
    Cut,
}

/// The condition of a render node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Accepts connections, answers requests and returns lines.
    Sound,
    /// Accepts connections but neither answers requests nor returns lines.
    Hung,
    /// The machine is down or disconnected: established connections are silent, and new ones are never accepted.
    Vanished,
    /// Answers new connections with unreadable bytes; established connections work.
    Rubbish,
    /// No process runs: established connections were reset, and new ones are refused.
    Down,
}

/// Slow start of a render node: duration of the warm-up, and the capacity during it.
#[derive(Clone, Copy, PartialEq)]
pub struct SlowStart {
    /// New connections a second that the render node accepts when it is warm. This rate fills it within `warm_up`.
    pub joins_per_s: f64,
    /// Share of the full capacity at the start; it rises linearly to 1.
    pub from: f64,
    /// Duration of the warm-up, in microseconds.
    pub warm_up: Micros,
}

impl fmt::Debug for SlowStart {
    /// Formats the names that reports have used from the start, since reports list observations as this text.
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
    /// SIGHUP, after the proxy's files were replaced.
    Reload,
}

/// How a proxy handled a misbehaving client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MisbehaviorOutcome {
    /// The proxy answered `ERR` or `BUSY`.
    Error,
    /// The proxy closed the connection without an answer.
    Closed,
    /// The proxy served the client like one with a valid request.
    Served,
}

/// An observed event.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)] // The comment of each variant explains its fields.
pub enum Seen {
    // -- observed by clients --
    /// A session requests a connection from now until `until`, from any proxy.
    Wanted { session: SessionId, class: u8, tenant: u8, until: Micros },
    /// The client wrote the last byte of a first line to a connection that the proxy's machine had accepted, so the
    /// proxy has accepted the request. The client waits for the answer until `deadline`.
    Asked { request: RequestId, session: SessionId, proxy: ProxyId, deadline: Micros },
    /// The proxy could not be reached, or broke the connection before the last byte was written.
    Unreached { session: SessionId, proxy: ProxyId },
    /// The client read an answer line. A second answer to the same request is recorded in the same way.
    Answered { request: RequestId, answer: Answer },
    /// The client read a `MOVE` line.
    Moved { request: RequestId },
    /// The client read a line that is neither an answer nor a line that the client or the render node sent on this
    /// connection, or a line out of order. `line` has its first bytes as text.
    Garbled { request: RequestId, line: String },
    /// The proxy ended the client's connection.
    Ended { request: RequestId, how: ProxyClose },
    /// The client ended its connection.
    Left { request: RequestId, why: ClientClose },
    /// The client sent its line number `line` (from 0).
    LineSent { request: RequestId, line: u32 },
    /// The client's line number `line` was returned to the client.
    LineBack { request: RequestId, line: u32 },
    /// Connection seconds of a session from `from` until the time of this observation, and whether they were well
    /// served: the connection was established and its message was returned within the class's `message_aim`. Time that
    /// no such span covers was not served. The result is known, and so recorded, up to `message_aim` later.
    Served { session: SessionId, from: Micros, well: bool },
    /// A message was returned `took` after the client was due to send it.
    MessageTook { class: u8, took: Micros },
    /// A session was established `took` after the client's connection attempt was due.
    SetupTook { class: u8, took: Micros },
    /// A misbehaving client has connected. The proxy must answer it with an error or a close by the time `by`.
    RudeCame { rude: u32, proxy: ProxyId, by: Micros },
    /// The misbehaving client is about to send a request with an id of its own, perhaps among other bytes.
    RudeAsked { rude: u32, request: RequestId, proxy: ProxyId },
    /// The proxy answered the misbehaving client, or closed its connection.
    RudeOver { rude: u32, how: MisbehaviorOutcome },

    // -- observed by render nodes --
    /// The process has started or restarted. `cold` describes its slow start; `None` if it was warm from the start.
    Started { node: NodeId, cold: Option<SlowStart> },
    /// The condition of the render node from now on.
    Condition { node: NodeId, condition: Condition },
    /// The render node failed from overload during its slow start, and stays down.
    Fell { node: NodeId },
    /// The last byte of a first line has arrived; its first byte arrived at `first_byte`. `session` is the session
    /// whose key the line carries; `None` if no session has this key.
    Attempt {
        attempt: Attempt,
        request: RequestId,
        session: Option<SessionId>,
        proxy: ProxyId,
        first_byte: Micros,
    },
    /// A first line has arrived that no client sent in this form, apart from its field `d`.
    BadFirstLine { node: NodeId, proxy: ProxyId, line: String },
    /// The render node answered the attempt.
    AttemptAnswered { attempt: Attempt, answer: NodeAnswer },
    /// The attempt, or the connection that it opened, has ended.
    AttemptOver { attempt: Attempt, over: AttemptEnd },
    /// A client's line has arrived at the render node.
    LineAtNode { attempt: Attempt, line: u32 },
    /// The render node returned a client's line.
    LineReturned { attempt: Attempt, line: u32 },

    /// The link between a proxy and a render node was cut, or connected again (`on`).
    Reach { proxy: ProxyId, node: NodeId, on: bool },

    // -- observed by discovery --
    /// The endpoint list has changed: the render node is now in state `phase`.
    Listed { node: NodeId, phase: Phase },
    /// Discovery wrote this change to the proxy's watch.
    Told { proxy: ProxyId, node: NodeId, phase: Phase },
    /// A proxy's watch was answered (`on`) or has ended.
    Watching { proxy: ProxyId, on: bool },
    /// A proxy's poll of the complete list was answered or has failed.
    ListCall { proxy: ProxyId, answered: bool },
    /// Discovery is now reachable by all proxies (`up`) or by none.
    DiscoveryUp { up: bool },

    // -- observed by the front, the runner and the network emulator --
    /// The front began (`on`) or stopped to send new clients to the proxy.
    Admitted { proxy: ProxyId, on: bool },
    /// The runner started the proxy's process, with process id `pid`.
    ProxyStarted { proxy: ProxyId, pid: u32 },
    /// The runner is about to send the signal to the proxy's process.
    ProxySignalled { proxy: ProxyId, signal: Signal },
    /// The proxy's process has exited. `code` is `None` if a signal ended it.
    ProxyExited { proxy: ProxyId, code: Option<i32> },
    /// A proxy sent a datagram to another one.
    Datagram { from: ProxyId, to: ProxyId, bytes: u32 },
    /// The description of an event of the scenario's timeline.
    Mark { text: String },
    /// An emulator ran late by this time.
    Lag { late: Micros },
}

impl fmt::Display for Observation {
    /// Formats the time in seconds and the `Debug` text of the event.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>10.6} s  {:?}", self.at as f64 / 1e6, self.seen)
    }
}
