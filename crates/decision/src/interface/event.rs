//! The events of which an instance is notified while it runs.

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
    /// Time until the client gives up; `None`: not stated.
    pub left: Option<Micros>,
    /// Expected load, work in microseconds a second.
    pub load_hint: Option<f64>,
    /// The group it shares work with.
    pub group: Option<u64>,
    /// The client came back: after a break or a migration, or with a repeat where clients mark them.
    pub again: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The server answered with an error.
    Error,
    /// Rejected by the server as full, unseen; never ran.
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

/// What a node met at a server within the last few seconds, as it reports itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerVerdict {
    /// Attempts succeeded, and none failed.
    Healthy,
    /// Attempts failed to connect, timed out or met silence, and none succeeded.
    Unhealthy,
    /// Neither, or both.
    Inconclusive,
}

/// What an instance is notified of.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The settings have changed. What is numbered keeps its number.
    Settings(Box<Settings>),
    /// The server list: all of it (`full`), or what changed.
    List {
        /// Servers absent from a full list are removed.
        full: bool,
        /// This is the copy that came with the start, possibly outdated; it answers no call for the list.
        copy: bool,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// What the operators said of servers by hand, laid over the list: entries as in a list that names what changed.
    /// It answers no call for the list. A server that was draining and may serve again begins anew.
    ManualOverride {
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A call for the list failed, or the subscription broke.
    ListFailed,
    /// The subscription has sent nothing for longer than it ever should: the changes that it misses will soon count as
    /// notified.
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
    /// An attempt has become an established connection.
    Established {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// Time since the attempt was sent.
        elapsed: Micros,
    },
    /// An attempt has ended; exactly one for each sent.
    Ended {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Nothing more is owed for the request.
        last: bool,
    },
    /// The load of an established connection has changed.
    LoadUpdate {
        /// The connection's request.
        request: RequestId,
        /// The load now, work in microseconds a second.
        load: f64,
    },
    /// The latency of messages at a server has changed.
    LatencyUpdate {
        /// The server.
        server: ServerId,
        /// Time that a message takes now.
        latency: Micros,
    },
    /// The client has closed its connection; nothing more is owed.
    ClientClosed(RequestId),
    /// Result of a health check.
    Probed {
        /// The server.
        server: ServerId,
        /// The load report's values, in the order of the settings; `None`: the check failed.
        report: Option<Vec<f64>>,
    },
    /// What another node has met at a server lately. It is that node's claim: it may be mistaken or false.
    PeerReport {
        /// Number of the sender.
        from: u32,
        /// The server.
        server: ServerId,
        /// What the sender met there.
        verdict: PeerVerdict,
    },
    /// What is known of all nodes together.
    Fleet(FleetStatus),
    /// The groups whose connections rotate over more than [`MIN_SUBSET_SIZE`](crate::affinity::MIN_SUBSET_SIZE)
    /// servers, by [`Request::group`], and over how many. It replaces the earlier ones: all other groups have that minimum.
    AffinitySubsets(Vec<(u64, u32)>),
    /// The rules have changed: queued requests are evaluated anew.
    RulesChanged,
    /// The node shuts down: what is owed or still arrives is answered, and nothing is sent any more.
    ShuttingDown,
    /// A timer is due; its token.
    Timer(u32),
}

/// The status of all nodes together, as one of them last received it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetStatus {
    /// How many nodes take part.
    pub nodes: f64,
    /// This node's share of all that clients want, 0 to 1.
    pub demand_share: f64,
    /// Part of all nodes' latest set-ups that failed, wherever they went, 0 to 1.
    pub failure_rate: f64,
}
