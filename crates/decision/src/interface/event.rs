//! The events that an embedder passes to an instance.

use super::{ClassId, Micros, RequestId, ServerId, Settings, TenantId, ZoneId};

/// State of a server in the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// The server takes new connections.
    Ready,
    /// The server finishes its open connections and must get no new ones.
    Draining,
    /// The server was removed.
    Removed,
}

/// One entry of the server list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The server.
    pub server: ServerId,
    /// Digest of the server's name. It is the same on all nodes and gives them a common order of the servers.
    pub digest: u64,
    /// The server's state.
    pub state: ServerState,
    /// The server's zone.
    pub zone: ZoneId,
    /// The server's cell: a small group of servers that share which idempotency keys they have seen.
    pub cell: u32,
    /// When the server last started; `None`: long ago.
    pub started: Option<Micros>,
    /// The weight of the server according to the list (see [`Settings::weights`]).
    pub weight: f64,
}

/// A request, or a connection that was already open when the instance started.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The request's id.
    pub id: RequestId,
    /// The request's class.
    pub class: ClassId,
    /// The request's tenant, if it states one.
    pub tenant: Option<TenantId>,
    /// Time until the client gives up; `None` if the client did not state one.
    pub left: Option<Micros>,
    /// Expected load, in microseconds of work per second; `None` if unknown.
    pub load_hint: Option<f64>,
    /// The group whose connections share work on a server; `None` if the request has no group.
    pub group: Option<u64>,
    /// The client has come back after its connection broke or was migrated, or marked the request as a retry.
    pub again: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The attempt was served.
    Served,
    /// The server answered with an error.
    Error,
    /// The server was full and rejected the attempt without looking at it. The attempt never ran.
    Full,
    /// The server did not answer in time.
    TimedOut,
    /// No connection to the server could be opened. The attempt never ran.
    ConnectFailed,
    /// The connection was reset.
    Reset,
    /// The attempt was cancelled, or its client left.
    Cancelled,
    /// The attempt was not sent. It never ran.
    NotSent,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A peer's own account of its attempts at a server within the last few seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerVerdict {
    /// Attempts succeeded, and none failed.
    Healthy,
    /// Attempts failed to connect, timed out or got no response, and none succeeded.
    Unhealthy,
    /// No attempt counted, or some succeeded and others failed.
    Inconclusive,
}

/// An event that the embedder passes to an instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The settings have changed. Classes, tenants and zones keep their numbers.
    Settings(Box<Settings>),
    /// The server list has arrived, in full or as a set of changes.
    List {
        /// The list is complete: servers that it does not name are removed.
        full: bool,
        /// This is the copy that the node starts with. It may be outdated, and does not answer a call for the
        /// list.
        copy: bool,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// Operators have overridden the list by hand. The entries are applied like changes of the list, but
    /// don't answer a call for it. A server that was draining and may serve again is treated as newly listed.
    ManualOverride {
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A call for the list failed, or the subscription broke.
    ListFailed,
    /// The subscription has been silent for longer than its heartbeats allow. Changes that it misses will
    /// soon count as notified.
    ListSilent,
    /// A client has sent a request, which must get one final answer.
    Request(Request),
    /// A connection (attempt 0) was already open when the instance started.
    Open {
        /// The connection.
        request: Request,
        /// The server of the connection.
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
    /// An attempt has ended. Each attempt that was sent ends exactly once.
    Ended {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// How the attempt ended.
        outcome: Outcome,
        /// The request needs no further attempt and no answer.
        last: bool,
    },
    /// The load of an established connection has changed.
    LoadUpdate {
        /// The connection's request.
        request: RequestId,
        /// The current load, in microseconds of work per second.
        load: f64,
    },
    /// The latency of messages at a server has changed.
    LatencyUpdate {
        /// The server.
        server: ServerId,
        /// The current latency of a message.
        latency: Micros,
    },
    /// The client has closed its connection; its request needs no answer any more.
    ClientClosed(RequestId),
    /// A health check has finished.
    Probed {
        /// The server.
        server: ServerId,
        /// The values of the load report, in the order of the settings; `None` if the check failed.
        report: Option<Vec<f64>>,
    },
    /// Another node has reported the results of its recent attempts at a server. The report may be mistaken
    /// or false.
    PeerReport {
        /// Number of the sender.
        from: u32,
        /// The server.
        server: ServerId,
        /// The sender's verdict on the server.
        verdict: PeerVerdict,
    },
    /// A new status of the whole fleet has arrived.
    Fleet(FleetStatus),
    /// The number of processes that are this node together, this one included, has changed: they divide the node's share of
    /// what belongs to the whole fleet. It is 1 unless the process is being replaced.
    Processes(u32),
    /// The groups whose affinity subset has more than [`MIN_SUBSET_SIZE`](crate::affinity::MIN_SUBSET_SIZE)
    /// servers: pairs of [`Request::group`] and subset size. They replace all earlier pairs; the subsets of
    /// all other groups have the minimum size.
    AffinitySubsets(Vec<(u64, u32)>),
    /// The rules have changed, so queued requests are evaluated again.
    RulesChanged,
    /// The node shuts down. Queued requests and new ones are answered, and no further attempt is sent.
    ShuttingDown,
    /// The timer with this token is due.
    Timer(u32),
}

/// The status of the whole fleet, as this node last received it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetStatus {
    /// Number of nodes that the status covers.
    pub nodes: f64,
    /// This node's share of the clients' total demand, 0 to 1.
    pub demand_share: f64,
    /// Fraction of the recent set-ups of all nodes, at all servers, that failed, 0 to 1.
    pub failure_rate: f64,
}
