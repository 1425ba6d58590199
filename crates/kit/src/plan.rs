//! The plan of a run: everything that a scenario and a seed determine before the run starts.
//!
//! The same scenario and seed give the same plan to the microsecond, and a run never changes its plan. The emulated
//! clients, render nodes and discovery share it by reference. [`Plan::digest`] is computed from the `Debug` text, so
//! the names of the types, fields and variants in that text must not change.

mod rules;
mod timeline;

pub use rules::{Demands, Rules};
pub use timeline::{
    DiscoveryChange, NetworkChange, NodeChange, Phase, ProxyChange, TimelineChange, TimelineEvent,
};

use crate::time::Micros;
use fnv::FnvHasher;
use std::fmt::{self, Write};
use std::hash::Hasher;

/// Identifies a render node by its index in [`Plan::nodes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeId(pub u16);

/// Identifies a proxy by its index in [`Plan::proxies`], which is its `ordinal` in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProxyId(pub u16);

/// Identifies a session by its index in [`Plan::sessions`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SessionId(pub u32);

/// The plan of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Name of the scenario.
    pub name: String,
    /// Seed from which all random values of the plan were drawn.
    pub seed: u64,
    /// Start of the measured part. The initial sessions are established before it.
    pub measured_from: Micros,
    /// End of the run. No session requests a connection, and nothing is judged, after it.
    pub ends: Micros,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants.
    pub tenants: Vec<Tenant>,
    /// Render nodes.
    pub nodes: Vec<Node>,
    /// Proxies.
    pub proxies: Vec<Proxy>,
    /// Sessions, in the order of their arrival.
    pub sessions: Vec<Session>,
    /// Misbehaving clients, in the order of their arrival.
    pub rude: Vec<MisbehavingClient>,
    /// Scheduled events, in order of time.
    pub timeline: Vec<TimelineEvent>,
    /// Behavior of the clients.
    pub habits: Habits,
    /// Behavior of the front.
    pub front: Front,
    /// Properties of the network.
    pub network: Network,
    /// Limits of the rules, for the settings and the judge.
    pub rules: Rules,
    /// Measured values that the run must reach, besides following every rule.
    pub demands: Demands,
    /// Steps of the wall clock, in order of time. The clock of the run is never stepped.
    pub wall_steps: Vec<WallStep>,
}

/// A step of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WallStep {
    /// Time of the step.
    pub at: Micros,
    /// Size of the step in microseconds; negative if the clock is set back.
    pub by: Micros,
}

impl Plan {
    /// A digest of the plan, which runs print: equal plans have equal digests. It is FNV-1a over the `Debug` text, in
    /// which each number is written in the shortest form that parses to the same value.
    pub fn digest(&self) -> u64 {
        struct Sink(FnvHasher);
        impl Write for Sink {
            fn write_str(&mut self, text: &str) -> fmt::Result {
                self.0.write(text.as_bytes());
                Ok(())
            }
        }
        let mut sink = Sink(FnvHasher::default());
        // The sink never returns an error.
        let _ = write!(sink, "{self:?}");
        sink.0.finish()
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Target time of a set-up.
    pub setup_aim: Micros,
    /// How long a client waits for `UP`.
    pub deadline: Micros,
    /// Target time of a message. A message that is returned within it counts as well served.
    pub message_aim: Micros,
    /// Weight of a connection second in the service ratios.
    pub worth: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// The tenant's share of the service.
    pub share: f64,
    /// Quota of open connections over all proxies.
    pub quota_connections: f64,
    /// Quota of new connections a second over all proxies.
    pub quota_per_s: f64,
}

/// A render node. Work is measured in seconds of a core of standard speed.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Id of the render node in the endpoint list.
    pub name: String,
    /// Index of the zone.
    pub zone: u16,
    /// Number of the cell.
    pub cell: u32,
    /// Name of the render node's kind in the scenario.
    pub kind: String,
    /// Registered size: cores times the usual speed of the kind.
    pub size: f64,
    /// Actual capacity: work a second when the render node is warm and runs nothing else.
    pub capacity: f64,
    /// Number of connections whose mean load uses one unit of capacity.
    pub connections_per_unit: f64,
    /// Maximum number of established connections; the render node rejects further ones.
    pub connections_max: u32,
    /// Maximum number of simultaneous set-ups; the render node rejects further ones.
    pub setups_max: u32,
    /// Work of one set-up.
    pub setup_work: f64,
    /// Time that a set-up takes in addition to its work, for the call to the session store.
    pub setup_wait: Micros,
    /// Cost of each group that has a session on the render node, in mean connection loads.
    pub group_cost: f64,
    /// Time to process a message on an idle render node.
    pub message: Micros,
    /// Burstiness of the messages: the factor by which the waiting time grows with utilization.
    pub bursty: f64,
    /// Longest backlog of work; the render node sheds connections beyond it.
    pub buffer: Micros,
    /// Share of the capacity at the beginning of slow start.
    pub cold_from: f64,
    /// Duration of slow start.
    pub warm_up: Micros,
    /// Whether the render node is warm and in the endpoint list from the start of the run.
    pub from_start: bool,
    /// Seed of the render node's own random values (lengths of messages).
    pub seed: u64,
}

/// A proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Proxy {
    /// Name of the proxy.
    pub name: String,
    /// Index of the zone.
    pub zone: u16,
    /// The setting `limits.sockets`.
    pub sockets: u32,
    /// The setting `limits.memory_mb`.
    pub memory_mb: u32,
    /// Seed of the proxy's own random values.
    pub seed: u64,
}

/// A session: one client's demand for a connection, which it may meet by several connections in succession.
#[derive(Clone, Debug, PartialEq)]
pub struct Session {
    /// When the session begins to request a connection.
    pub arrives: Micros,
    /// How long the session requests a connection.
    pub life: Micros,
    /// Index of the class.
    pub class: u8,
    /// Index of the tenant.
    pub tenant: u8,
    /// Index of the zone. The front sends clients to proxies of their zone if it can.
    pub zone: u16,
    /// The key in the session's first lines; unique to the session.
    pub key: u64,
    /// The group of sessions with which this session shares work.
    pub group: u64,
    /// Load over time: pairs of a time since the arrival and the load from then on, in work a second. It is never
    /// empty, and the first time is 0.
    pub loads: Vec<(Micros, f64)>,
    /// Share of the deadline after which the client gives up a request; 1 for most clients.
    pub patience: f64,
    /// Seed of the client's own random values (waits, phases of its lines, ids).
    pub seed: u64,
}

impl Plan {
    /// Number of members: the proxies, and the faulty peers that follow them in the list of peers.
    pub fn member_count(&self) -> u16 {
        (self.proxies.len() + self.network.liars.len()) as u16
    }
}

impl Plan {
    /// Offset of the wall clock at time `at` of the run: the sum of its steps so far.
    pub fn wall_clock_offset(&self, at: Micros) -> Micros {
        self.wall_steps.iter().filter(|step| step.at <= at).map(|step| step.by).sum()
    }
}

impl Session {
    /// The load at the time `since` after the arrival.
    pub fn load_at(&self, since: Micros) -> f64 {
        let i = self.loads.partition_point(|(from, _)| *from <= since);
        self.loads.get(i.saturating_sub(1)).map_or(0.0, |(_, load)| *load)
    }

    /// When the load changes next after `since`, as a time since the arrival; `None` if it does not change again.
    pub fn next_load_change(&self, since: Micros) -> Option<Micros> {
        let i = self.loads.partition_point(|(from, _)| *from <= since);
        self.loads.get(i).map(|(from, _)| *from)
    }
}

/// A client that breaks the protocol on purpose.
#[derive(Clone, PartialEq)]
pub struct MisbehavingClient {
    /// When the client connects.
    pub arrives: Micros,
    /// How the client breaks the protocol.
    pub kind: Misbehavior,
    /// Seed of the client's own random values.
    pub seed: u64,
}

impl fmt::Debug for MisbehavingClient {
    /// Formats the names that plans have used from the start, since the plan's digest is computed from this text.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let MisbehavingClient { arrives, kind, seed } = self;
        f.debug_struct("Rude").field("arrives", arrives).field("kind", kind).field("seed", seed).finish()
    }
}

/// How a misbehaving client breaks the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Misbehavior {
    /// Sends bytes that are not text.
    Garbage,
    /// Sends a line that never ends.
    Endless,
    /// Sends a first line with a value of 60 MB.
    Huge,
    /// Sends a class that does not exist.
    NoSuchClass,
    /// Sends a deadline that is not a number, is negative or is out of range.
    BadDeadline,
    /// Sends a first line without an id.
    NoId,
    /// Sends the id of another client's open request.
    StolenId,
    /// Sends half a command and closes the connection.
    Half,
    /// Sends hundreds of commands at once.
    ManyCommands,
    /// Repeats its request as soon as it is rejected.
    AgainAtOnce,
    /// Connects and sends nothing.
    Silent,
}

/// Behavior of the clients.
#[derive(Clone, Debug, PartialEq)]
pub struct Habits {
    /// Interval between two lines of a client.
    pub line_every: Micros,
    /// Number of attempts in a series, including the first. The wait `sulk` follows a series that failed.
    pub tries: u32,
    /// Wait before a further attempt in a series.
    pub backoff: Micros,
    /// Wait after all attempts of a series failed. It doubles with each failed series, up to 2^4 times this value.
    pub sulk: Micros,
    /// Share of the clients that follow the wait in `BUSY MS`.
    pub honour: f64,
    /// Bounds of the wait after which a client reconnects when its connection broke or was moved.
    pub rejoin: (Micros, Micros),
    /// Whether clients mark retries with `r=1`.
    pub marks_retry: bool,
}

/// Behavior of the front.
#[derive(Clone, Debug, PartialEq)]
pub struct Front {
    /// Interval between two `PING`s to each proxy.
    pub every: Micros,
    /// A proxy that has not answered for this long gets no new clients.
    pub notice: Micros,
    /// For this long after SIGTERM a proxy still gets new clients.
    pub leaves_after: Micros,
}

/// Properties of the network.
#[derive(Clone, Debug, PartialEq)]
pub struct Network {
    /// One-way delay in milliseconds between a proxy and a render node of the same zone, and of different zones. The
    /// emulated render node adds it.
    pub node_ms: (f64, f64),
    /// Minimum and maximum one-way delay of a datagram between proxies.
    pub datagram: (Micros, Micros),
    /// Share of the datagrams that is lost.
    pub loss: f64,
    /// Whether datagrams between proxies are allowed.
    pub datagrams: bool,
    /// Faulty members that serve no clients, with the report that each sends. They follow the proxies in the list of
    /// peers.
    pub liars: Vec<FalseReport>,
}

/// A false report that a faulty peer sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FalseReport {
    /// The peer is a member but reports nothing. This is the control for the other values.
    Nothing,
    /// Reports that connections to each render node fail.
    AllUnwell,
    /// Reports that the peer's connections load each render node with many times its capacity.
    AllCrowded,
}
