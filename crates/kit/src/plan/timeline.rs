//! The scheduled events of a run.

use super::{NodeId, ProxyId};
use crate::time::Micros;
use std::fmt;

/// One scheduled event.
#[derive(Clone, PartialEq)]
pub struct TimelineEvent {
    /// When it happens.
    pub at: Micros,
    /// What changes.
    pub change: TimelineChange,
}

impl fmt::Debug for TimelineEvent {
    /// The plan's digest is taken over this text, so its names stay as they were first published.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Happening").field("at", &self.at).field("what", &self.change).finish()
    }
}

/// A scheduled change.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)] // Each variant's sentence names its fields.
pub enum TimelineChange {
    /// To a render node.
    Node(NodeId, NodeChange),
    /// Discovery learns this of a render node.
    Listed(NodeId, Phase),
    /// To discovery.
    Discovery(DiscoveryChange),
    /// To a proxy.
    Proxy(ProxyId, ProxyChange),
    /// Each session that stands drops its connection with this chance (decided by the session's own seed and this
    /// one), and comes again after a wait of up to `back_within`.
    Drop { share: f64, back_within: Micros, seed: u64 },
    /// To the network.
    Network(NetworkChange),
    /// A text for the log and the judge's report.
    Mark(String),
}

/// A change of a render node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeChange {
    /// It takes nothing new and sends its clients away bit by bit within this time.
    Drain {
        /// From now.
        within: Micros,
    },
    /// Its process ends at once: connections are reset, new ones refused.
    Kill,
    /// Its machine disappears without closing connections.
    Vanish,
    /// It accepts and never replies.
    Hang,
    /// It answers rubbish to new connections.
    Rubbish,
    /// It does everything so many times slower; 1 for as usual.
    Slow(f64),
    /// Its process starts, in slow start. After `Vanish`, its old connections are reset.
    Start,
    /// It does as usual again, without having been restarted (after `Hang`, `Rubbish`, or a short `Vanish`).
    Recover,
}

/// A change of discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryChange {
    /// Gone: connections end, new ones are refused.
    Down,
    /// Each call is answered 503.
    Unavailable,
    /// Each call, and each open watch, is reset.
    Resetting,
    /// Calls and watches are kept open and nothing is said, not even beats.
    Silent,
    /// The next change is written in pieces of a few bytes with pauses between.
    InPieces,
    /// The next watch gets the complete list, as if its version were too old.
    Gap,
    /// The next change comes as a list that cannot be read, once, to each watch.
    BadList,
    /// It listens at another address; the old one takes nothing new and closes what is open after 1.5 s. The
    /// proxies' files are replaced and each gets SIGHUP.
    MoveAway,
    /// As usual.
    Restore,
}

/// A change of a proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProxyChange {
    /// SIGKILL.
    Kill,
    /// SIGTERM; SIGKILL when the time for leaving is over.
    Terminate,
    /// Started again, under its name and addresses.
    Start,
    /// Its files are written anew, without a change that counts, and it gets SIGHUP.
    Reload,
}

/// A change of the network.
#[derive(Clone, Debug, PartialEq)]
pub enum NetworkChange {
    /// This part of the datagrams between proxies is lost.
    Loss(f64),
    /// No datagram passes between a proxy of the one set and one outside it.
    Part(Vec<ProxyId>),
    /// All pass again.
    Join,
    /// The proxy can't reach these render nodes: what is open is silent, what is new never comes up.
    CutOff(ProxyId, Vec<NodeId>),
    /// It can again.
    Reach(ProxyId),
}

/// State of a render node in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Takes new connections.
    Up,
    /// Completes its connections, accepts no new ones.
    Draining,
    /// No longer in the list.
    Removed,
}
