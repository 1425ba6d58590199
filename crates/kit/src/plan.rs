//! The plan of a run: everything that a scenario and a seed determine before the run starts.
//!
//! The same scenario and seed give the same plan to the microsecond, and nothing in a run changes it. The emulated
//! clients, render nodes and discovery share it by reference. [`Plan::digest`] is taken over the `Debug` text, so the
//! names of types, fields and variants printed there stay.

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

/// A render node, by its place in [`Plan::nodes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeId(pub u16);

/// A proxy, by its place in [`Plan::proxies`]; its `ordinal` in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProxyId(pub u16);

/// A session, by its place in [`Plan::sessions`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SessionId(pub u32);

/// A run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The scenario's name.
    pub name: String,
    /// From which everything was drawn.
    pub seed: u64,
    /// Start of the measured part; before it the initial sessions are established.
    pub measured_from: Micros,
    /// No session is wanted, and nothing is judged, after this.
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
    /// Rude clients, in the order of their arrival.
    pub rude: Vec<MisbehavingClient>,
    /// What happens, in order.
    pub timeline: Vec<TimelineEvent>,
    /// How clients behave.
    pub habits: Habits,
    /// How the front behaves.
    pub front: Front,
    /// What holds between the parties.
    pub network: Network,
    /// The figures of the rules, for the settings and the judge.
    pub rules: Rules,
    /// What the run must reach, beside keeping every rule.
    pub demands: Demands,
    /// How the machine's wall clock is stepped, in order; the run's own clock never is.
    pub wall_steps: Vec<WallStep>,
}

/// A step of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WallStep {
    /// When.
    pub at: Micros,
    /// By how much, in microseconds; negative: back.
    pub by: Micros,
}

impl Plan {
    /// A digest of the plan, for a run to print: equal plans have the same. FNV-1a over the plan as text, in
    /// which each number is written in the shortest form that reads back the same.
    pub fn digest(&self) -> u64 {
        struct Sink(FnvHasher);
        impl Write for Sink {
            fn write_str(&mut self, text: &str) -> fmt::Result {
                self.0.write(text.as_bytes());
                Ok(())
            }
        }
        let mut sink = Sink(FnvHasher::default());
        // The sink takes everything.
        let _ = write!(sink, "{self:?}");
        sink.0.finish()
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// A set-up within this time is wanted.
    pub setup_aim: Micros,
    /// How long a client waits for `UP`.
    pub deadline: Micros,
    /// A message within this time is well served.
    pub message_aim: Micros,
    /// Worth of a well-served second.
    pub worth: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its part of the service.
    pub share: f64,
    /// Open connections within its share, over all proxies.
    pub quota_connections: f64,
    /// New connections a second within its share, over all proxies.
    pub quota_per_s: f64,
}

/// A render node. Work is counted in seconds of a core of standard speed.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Its id on the list.
    pub name: String,
    /// Its zone, by place.
    pub zone: u16,
    /// Its cell.
    pub cell: u32,
    /// Its kind's name.
    pub kind: String,
    /// Its registered size: cores times the kind's usual speed.
    pub size: f64,
    /// What it really does: work a second, warm and alone.
    pub capacity: f64,
    /// Connections whose mean load fills one unit of capacity.
    pub connections_per_unit: f64,
    /// Established connections that it bears at most; beyond, new ones are turned away.
    pub connections_max: u32,
    /// Set-ups that it takes in at once; beyond, new ones are turned away.
    pub setups_max: u32,
    /// Work of one set-up.
    pub setup_work: f64,
    /// Time that a set-up takes beside its work: the call to the session store.
    pub setup_wait: Micros,
    /// Each group of which it holds any costs so many mean connection loads.
    pub group_cost: f64,
    /// Time of a message on an idle render node.
    pub message: Micros,
    /// How unevenly messages come: the factor by which waiting grows with use.
    pub bursty: f64,
    /// It sheds connections when more than this is piled up.
    pub buffer: Micros,
    /// Cold, it begins at this part of its capacity ...
    pub cold_from: f64,
    /// ... and is warm after this.
    pub warm_up: Micros,
    /// It is on the list from the start, and warm.
    pub from_start: bool,
    /// For what it draws itself (lengths of messages).
    pub seed: u64,
}

/// A proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Proxy {
    /// Its name.
    pub name: String,
    /// Its zone, by place.
    pub zone: u16,
    /// Its `limits.sockets`.
    pub sockets: u32,
    /// Its `limits.memory_mb`.
    pub memory_mb: u32,
    /// Its seed.
    pub seed: u64,
}

/// A session: what one client wants, however many connections it takes.
#[derive(Clone, Debug, PartialEq)]
pub struct Session {
    /// When it comes.
    pub arrives: Micros,
    /// How long it wants a connection.
    pub life: Micros,
    /// Its class, by place.
    pub class: u8,
    /// Its tenant, by place.
    pub tenant: u8,
    /// Its zone, by place: the front keeps clients to the proxies of their zone where it can.
    pub zone: u16,
    /// The key that its first lines carry; no other session's.
    pub key: u64,
    /// The group that it shares work with.
    pub group: u64,
    /// Its load over time: from each moment since its arrival, work a second. Never empty, begins at 0.
    pub loads: Vec<(Micros, f64)>,
    /// It gives up a try after this part of the deadline (1 for most).
    pub patience: f64,
    /// For what it draws itself (waits, phases of its lines, ids).
    pub seed: u64,
}

impl Plan {
    /// Members of the tier: proxies, and liars behind them.
    pub fn members(&self) -> u16 {
        (self.proxies.len() + self.network.liars.len()) as u16
    }
}

impl Plan {
    /// How far the wall clock is off at that time of the run, by all its steps so far.
    pub fn wall_offset(&self, at: Micros) -> Micros {
        self.wall_steps.iter().filter(|step| step.at <= at).map(|step| step.by).sum()
    }
}

impl Session {
    /// Its load this long after it came.
    pub fn load_at(&self, since: Micros) -> f64 {
        let i = self.loads.partition_point(|(from, _)| *from <= since);
        self.loads.get(i.saturating_sub(1)).map_or(0.0, |(_, load)| *load)
    }

    /// When its load changes next.
    pub fn next_change(&self, since: Micros) -> Option<Micros> {
        let i = self.loads.partition_point(|(from, _)| *from <= since);
        self.loads.get(i).map(|(from, _)| *from)
    }
}

/// A client that breaks the protocol on purpose.
#[derive(Clone, PartialEq)]
pub struct MisbehavingClient {
    /// When it connects.
    pub arrives: Micros,
    /// What it does.
    pub kind: Misbehavior,
    /// For what it draws itself.
    pub seed: u64,
}

impl fmt::Debug for MisbehavingClient {
    /// The plan's digest is taken over this text, so its names stay as they were first published.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let MisbehavingClient { arrives, kind, seed } = self;
        f.debug_struct("Rude").field("arrives", arrives).field("kind", kind).field("seed", seed).finish()
    }
}

/// How a misbehaving client breaks the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Misbehavior {
    /// Bytes that are no text.
    Garbage,
    /// A line without end.
    Endless,
    /// A first line with a value of 60 MB.
    Huge,
    /// A class that does not exist.
    NoSuchClass,
    /// A deadline that is no number, negative, or beyond all numbers.
    BadDeadline,
    /// No id.
    NoId,
    /// The id of another client's open request.
    StolenId,
    /// Half a command and a close.
    Half,
    /// Hundreds of commands at once.
    ManyCommands,
    /// The same again as soon as it is turned away.
    AgainAtOnce,
    /// Connects and says nothing.
    Silent,
}

/// How clients behave.
#[derive(Clone, Debug, PartialEq)]
pub struct Habits {
    /// Between two lines of a client.
    pub line_every: Micros,
    /// Tries for one wish, the first one included, before a long wait.
    pub tries: u32,
    /// Wait before a further try.
    pub backoff: Micros,
    /// Wait after all tries of a wish failed, before the next wish; doubles up to 2^4 times this.
    pub sulk: Micros,
    /// This part of the clients follows the time in `BUSY MS`.
    pub honour: f64,
    /// After a break or a move, a client comes again within these bounds.
    pub rejoin: (Micros, Micros),
    /// Clients mark repeats with `r=1`.
    pub marks_retry: bool,
}

/// How the front behaves.
#[derive(Clone, Debug, PartialEq)]
pub struct Front {
    /// Between two `PING`s to each proxy.
    pub every: Micros,
    /// A proxy that has not answered for this long gets no more clients.
    pub notice: Micros,
    /// After SIGTERM, clients keep arriving for this long.
    pub leaves_after: Micros,
}

/// What holds between the parties.
#[derive(Clone, Debug, PartialEq)]
pub struct Network {
    /// One way between proxies and render nodes of one zone, and of two; added by the emulated render node.
    pub node_ms: (f64, f64),
    /// One way of a datagram between proxies: least and most.
    pub datagram: (Micros, Micros),
    /// Part of the datagrams that is lost.
    pub loss: f64,
    /// Datagrams are allowed at all.
    pub datagrams: bool,
    /// Members of the tier that serve no client and say this; they stand behind the proxies in the list of peers.
    pub liars: Vec<FalseReport>,
}

/// A false report that a faulty peer sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FalseReport {
    /// Nothing: it is there and tells nothing. The control of the others.
    Nothing,
    /// That each render node fails to connect.
    AllUnwell,
    /// That each render node is loaded with many times what it can do by its connections.
    AllCrowded,
}
