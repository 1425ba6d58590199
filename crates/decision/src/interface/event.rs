//! What an instance is told while it runs.

use super::{ClassId, Micros, RequestId, ServerId, Settings, TenantId, ZoneId};

/// State of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Takes new connections.
    Ready,
    /// Finishing what it has; must get nothing new.
    Draining,
    /// Withdrawn.
    Removed,
}

/// One entry of the server list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The server.
    pub server: ServerId,
    /// A digest of the server's name, the same at every node: gives all nodes one common order.
    pub digest: u64,
    /// Its state.
    pub state: ServerState,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell: a small group of servers that share which keys they have seen.
    pub cell: u32,
    /// When it last started; `None`: long ago.
    pub started: Option<Micros>,
    /// Its size beside other servers' (see [`Settings::weighted`]).
    pub weight: f64,
}

/// A request, or a connection open from before the start.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if there are tenants.
    pub tenant: Option<TenantId>,
    /// Time until the client gives up; `None`: not told.
    pub left: Option<Micros>,
    /// Expected load, work in microseconds a second.
    pub load_hint: Option<f64>,
    /// The group it shares work with.
    pub group: Option<u64>,
    /// The client came again: after a break or a move, or a repeat where clients mark them.
    pub again: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The server answered with an error.
    Error,
    /// Turned away unseen; never ran.
    Full,
    /// No answer in the time allowed.
    TimedOut,
    /// No connection; never ran.
    ConnectFailed,
    /// Connection lost.
    Reset,
    /// Withdrawn, or the client left.
    Cancelled,
    /// Not sent at all; never ran.
    NotSent,
}

impl Outcome {
    /// The outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// What a node met at a server within the last few seconds, as it says itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerVerdict {
    /// Attempts went well, and none failed.
    Healthy,
    /// Attempts failed to connect, timed out or met silence, and none went well.
    Unhealthy,
    /// Neither, or both.
    Inconclusive,
}

/// What an instance is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The settings have changed. What is numbered keeps its number.
    Settings(Box<Settings>),
    /// The server list: all of it (`full`), or what changed.
    List {
        /// Servers absent from a full list are gone.
        full: bool,
        /// This is the copy that came with the start, possibly outdated; no answer to a question.
        copy: bool,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// What the operators said of servers by hand, laid over the list: entries as in a list that names what changed.
    /// No answer to a question. One that was draining and may serve again begins anew.
    ManualOverride {
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A call for the list failed, or the subscription broke.
    ListFailed,
    /// The subscription has said nothing for longer than it ever should: what it misses counts as told soon.
    ListSilent,
    /// A client's request; one final answer is owed.
    Request(Request),
    /// A connection that already runs (attempt 0).
    Open {
        /// The connection.
        request: Request,
        /// Where it runs.
        server: ServerId,
    },
    /// The connection stands.
    Established {
        /// Whose.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
        /// Where.
        server: ServerId,
        /// Time since it was sent.
        elapsed: Micros,
    },
    /// An attempt has ended; exactly one for each sent.
    Ended {
        /// Whose.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
        /// Where.
        server: ServerId,
        /// How.
        outcome: Outcome,
        /// Nothing more is owed for the request.
        last: bool,
    },
    /// The load of an established connection has changed (work in microseconds a second).
    LoadUpdate {
        /// Whose.
        request: RequestId,
        /// The load now.
        load: f64,
    },
    /// Messages at a server take this long now.
    LatencyUpdate {
        /// Where.
        server: ServerId,
        /// Time that a message takes.
        latency: Micros,
    },
    /// The client has left; nothing more is owed.
    ClientClosed(RequestId),
    /// Result of a probe: the load report, or `None` if the probe failed.
    Probed {
        /// The server.
        server: ServerId,
        /// The report's values, in the order of the settings; `None`: no answer.
        report: Option<Vec<f64>>,
    },
    /// What another node has met at a server lately. Its own word: it may be wrong, or lie.
    PeerReport {
        /// Number of the sender.
        from: u32,
        /// The server.
        server: ServerId,
        /// What it met.
        verdict: PeerVerdict,
    },
    /// What is known of all nodes together.
    Fleet(FleetStatus),
    /// The groups whose connections rotate over more than [`MIN_SUBSET_SIZE`](crate::affinity::MIN_SUBSET_SIZE) servers, by
    /// [`Request::group`], and over how many. All others have those few, whatever was told before.
    AffinitySubsets(Vec<(u64, u32)>),
    /// What the rules say has changed: what is held is looked at anew.
    RulesChanged,
    /// The node ends: what is owed or still comes is answered, and nothing is sent any more.
    ShuttingDown,
    /// A timer is due.
    Timer(u32),
}

/// All nodes together, as one of them was told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetStatus {
    /// How many nodes take part.
    pub nodes: f64,
    /// This node's part of all that clients want, 0 to 1.
    pub demand_share: f64,
    /// Quota of all nodes' latest set-ups that failed, wherever they went, 0 to 1.
    pub failure_rate: f64,
}
