//! The whole contract between the decision module and whoever embeds it.
//!
//! An embedder turns what its node sees into [`Event`]s, hands each to
//! [`Balancer::handle`](crate::Balancer::handle) with the present time, and carries out the
//! [`Action`]s it gets back, in order. Times are microseconds of one clock that never goes back.

/// A point in time or a span, in microseconds.
pub type Micros = i64;

/// A second, in [`Micros`].
pub(crate) const SECOND: Micros = 1_000_000;

/// A server, as the embedder numbers it: small numbers, the same for the life of the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// A request (a client's wish for one connection); never repeated within an instance's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Place of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub u16);

/// Place of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub u16);

/// A zone, as the embedder numbers them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneId(pub u16);

/// Which servers drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Every server.
    All,
    /// Those of the zone of the server that may have run it.
    Zone,
    /// Those of its cell.
    Cell,
}

impl Scope {
    /// A server of the one zone and cell does not drop what one of the other zone and cell may have run.
    pub fn separates(self, one: (ZoneId, u32), other: (ZoneId, u32)) -> bool {
        match self {
            Scope::All => false,
            Scope::Zone => one.0 != other.0,
            Scope::Cell => one.1 != other.1,
        }
    }
}

/// What repeating a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats are harmless.
    Idempotent,
    /// Repeats are dropped by the servers in `scope`, for `window` after the first send that may have run.
    Keyed {
        /// Who drops repeats.
        scope: Scope,
        /// For how long.
        window: Micros,
    },
    /// A repeat is allowed only while no earlier attempt may have run.
    NotIdempotent,
}

impl Idempotency {
    /// Until when a repeat may be sent, if the first send that may have run was then; `None`: without end.
    pub fn repeat_until(self, first_sent: Micros) -> Option<Micros> {
        match self {
            Idempotency::Idempotent => None,
            Idempotency::Keyed { window, .. } => Some(first_sent.saturating_add(window)),
            Idempotency::NotIdempotent => Some(first_sent),
        }
    }

    /// Whether a refusal is allowed though an attempt may have run.
    pub fn may_reject(self) -> bool {
        matches!(self, Idempotency::Idempotent | Idempotency::Keyed { scope: Scope::All, .. })
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Connections set up within this time earn their worth; 0 if not stated.
    pub target: Micros,
    /// How long a client waits in all; 0 if not stated.
    pub deadline: Micros,
    /// Wanted time of one message on an established connection; 0 if not stated.
    pub message_latency_objective: Micros,
    /// Most attempts for one request.
    pub attempts: u32,
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// Worth of a request (or of a second, or of a unit of work).
    pub priority_weight: f64,
}

/// A tenant and the part of the service that it may count on.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// New connections a second within its share, over all nodes; 0 if not stated.
    pub allowance_per_s: f64,
    /// Open connections within its share, over all nodes; 0 if not stated.
    pub allowance_open: f64,
}

/// What an instance is told when it starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of this node among its peers, from 0.
    pub ordinal: u32,
    /// How many nodes there are.
    pub nodes: u32,
    /// Zone of this node.
    pub zone: ZoneId,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants, if any.
    pub tenants: Vec<Tenant>,
    /// Connections of one group share work on a server.
    pub groups: bool,
    /// Worth counts for each unit of work, not for each request or second.
    pub weight_by_work: bool,
    /// Worth of a request beyond its tenant's share, as part of the usual.
    pub over_quota_weight: f64,
    /// Batches come at most this often.
    pub step: Micros,
    /// The server list must be asked for.
    pub list_on_request: bool,
    /// What it says counts as told from the start, whether or not it was asked for: the first call is not put off.
    pub list_pushed: bool,
    /// The list's `weight` says how servers compare in size.
    pub weighted: bool,
    /// Refusals carry a time after which the client may come again.
    pub retry_after: bool,
    /// The longest such time that clients honour.
    pub max_retry_after: Micros,
    /// A server starts at this share of its capacity or more ...
    pub slow_start_from: f64,
    /// ... and is warm after this time.
    pub slow_start_window: Micros,
    /// A cold server falls over if all nodes send it more than this multiple of what it can do.
    pub overload_multiple: f64,
    /// How long it bears that.
    pub overload_window: Micros,
    /// Probes are allowed.
    pub probes: bool,
    /// Place of "load over capacity" in a load report, if reports have it.
    pub report_load: Option<usize>,
    /// Price of one probe for each request, as a part of the result.
    pub probe_price: f64,
    /// Price of one move for each request, as a part of the result.
    pub migration_price: f64,
}

impl Settings {
    /// What a repeat does in a class; an unknown one is treated as what allows least.
    pub fn idempotency(&self, class: usize) -> Idempotency {
        self.classes.get(class).map_or(Idempotency::NotIdempotent, |c| c.idempotency)
    }

    /// Most attempts for one request of a class.
    pub fn attempts(&self, class: usize) -> u32 {
        self.classes.get(class).map_or(1, |c| c.attempts)
    }

    /// Within this time a connection of a class is to be set up; `None`: not told.
    pub fn target(&self, class: usize) -> Option<Micros> {
        self.classes.get(class).map(|c| c.target).filter(|target| *target > 0)
    }

    /// The shortest wanted time of a message, if any class states one.
    pub fn shortest_message_objective(&self) -> Option<Micros> {
        self.classes.iter().map(|c| c.message_latency_objective).filter(|aim| *aim > 0).min()
    }

    /// New connections a second that all tenants are allowed together, over all nodes; `None` if not stated.
    pub fn allowance_per_s(&self) -> Option<f64> {
        let allowed = self.tenants.iter().map(|tenant| tenant.allowance_per_s).sum();
        (allowed > 0.0).then_some(allowed)
    }

    /// Connections that all tenants may hold open together, over all nodes and servers; 0 if not stated.
    pub fn allowance_open(&self) -> f64 {
        self.tenants.iter().map(|tenant| tenant.allowance_open).sum()
    }

    /// A set-up that takes no longer shows that what set-ups share has room: a quarter of the shortest target.
    pub fn quick(&self) -> Micros {
        (0..self.classes.len()).filter_map(|class| self.target(class)).min().unwrap_or(0) / 4
    }

    /// The part of its capacity that a server has for certain, this long after its start.
    pub fn share_at(&self, age: Micros) -> f64 {
        let from = self.slow_start_from.clamp(0.05, 1.0);
        let warmth = age.max(0) as f64 / self.slow_start_window.max(1) as f64;
        from + (1.0 - from) * warmth.min(1.0)
    }
}

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

/// What the log should say; the embedder words it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notification {
    /// A server has been paused after failures, or again after a failed trial.
    PausedFailing,
    /// A paused server's trial went well.
    Recovered,
    /// No server may be used now; requests are held.
    Queueing,
    /// The server list cannot be had.
    ListUnreachable,
}

/// What an instance believes of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerHealth {
    /// It may be used.
    Up,
    /// It is left alone.
    Paused {
        /// Until then.
        until: Micros,
    },
    /// After a pause, one attempt tries it.
    Trial,
    /// It gets nothing new.
    Draining,
    /// It is not there, or was never listed.
    #[default]
    Unlisted,
}

/// Why a request gets a final answer without having been served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// The node ends.
    ShuttingDown,
    /// It has had all attempts that its class or a rule allows.
    AttemptsExhausted,
    /// Too little of its time is left for an attempt.
    DeadlineTooClose,
    /// Its repeats have no effect only up to now.
    IdempotencyWindowOver,
    /// A rule says so.
    RejectedByRule,
    /// No server may take it within the time that it can wait.
    NoServer,
}

/// What an instance wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt (numbered 0, 1, 2 ... for each request in the order sent).
    Send {
        /// Whose.
        request: RequestId,
        /// Where.
        server: ServerId,
        /// End it as timed out after this; 0: when the client gives up.
        timeout: Micros,
        /// Its first line is written before then or not at all: repeats have no effect only up to there.
        before: Option<Micros>,
    },
    /// Final answer: turned away, trying again is harmless.
    Reject {
        /// Whose.
        request: RequestId,
        /// Not before this; 0: nothing said.
        retry_after: Micros,
        /// Why it is not served.
        reason: RejectionReason,
    },
    /// Final answer: failed, no promise.
    Fail {
        /// Whose.
        request: RequestId,
        /// Why it is not served.
        reason: RejectionReason,
    },
    /// End an established connection politely; the client comes again.
    Migrate(RequestId),
    /// Ask for changes of the server list.
    WatchList,
    /// Probe a server.
    Probe(ServerId),
    /// Call back with [`Event::Timer`] after this time.
    Timer {
        /// From now.
        after: Micros,
        /// Given back.
        token: u32,
    },
    /// Write a line in the log.
    Log {
        /// What.
        notification: Notification,
        /// About which server.
        server: Option<ServerId>,
    },
    /// Nothing is to be done: the instance believes this of a server from now on. Told when it changes. That a pause
    /// has lapsed shows when the server is next looked at.
    HealthChanged {
        /// Which server.
        server: ServerId,
        /// What.
        health: ServerHealth,
    },
}
