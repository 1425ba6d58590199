//! The scheduled events of a run.

use super::{NodeId, ProxyId};
use crate::time::Micros;
use std::fmt;

/// One scheduled event.
#[derive(Clone, PartialEq)]
pub struct TimelineEvent {
    /// Time of the event.
    pub at: Micros,
    /// The change that takes effect.
    pub change: TimelineChange,
}

impl fmt::Debug for TimelineEvent {
    /// Formats the names that plans have used from the start, since the plan's digest is computed from this text.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Happening").field("at", &self.at).field("what", &self.change).finish()
    }
}

/// A scheduled change.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)] // The comment of each variant explains its fields.
pub enum TimelineChange {
    /// Changes a render node.
    Node(NodeId, NodeChange),
    /// Changes the state of a render node in the endpoint list.
    Listed(NodeId, Phase),
    /// Changes discovery.
    Discovery(DiscoveryChange),
    /// Changes a proxy.
    Proxy(ProxyId, ProxyChange),
    /// Each established session drops its connection with probability `share`, and reconnects after a wait of up to
    /// `back_within`. The session's own seed and `seed` determine the choice.
    Drop { share: f64, back_within: Micros, seed: u64 },
    /// Changes the network.
    Network(NetworkChange),
    /// A text for the log and the judge's report.
    Mark(String),
}

/// A change of a render node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeChange {
    /// The render node accepts no new connections and gradually moves its clients away within `within`.
    Drain {
        /// Duration of the drain.
        within: Micros,
    },
    /// The process ends at once: connections are reset, and new ones are refused.
    Kill,
    /// The machine disappears without closing connections.
    Vanish,
    /// The render node accepts connections and never replies.
    Hang,
    /// The render node answers new connections with unreadable bytes.
    Rubbish,
    /// The render node becomes slower by this factor; 1 is the normal speed.
    Slow(f64),
    /// The process starts, in slow start. After `Vanish`, the old connections are reset.
    Start,
    /// The render node works normally again without a restart, after `Hang`, `Rubbish` or a short `Vanish`.
    Recover,
}

/// A change of discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryChange {
    /// Discovery is down: connections end, and new ones are refused.
    Down,
    /// Discovery answers each call with status 503.
    Unavailable,
    /// Discovery resets each call and each open watch.
    Resetting,
    /// Discovery keeps calls and watches open and sends nothing, not even heartbeats.
    Silent,
    /// Discovery writes the next change in pieces of a few bytes, with pauses between them.
    InPieces,
    /// Discovery answers the next watch with the complete list, as if the proxy's version were too old.
    Gap,
    /// Discovery sends the next change to each watch as an unreadable list, once.
    BadList,
    /// Discovery listens at another address. The old address accepts no new connections and closes the open ones after
    /// 1.5 s. The proxies' files are replaced, and each proxy gets SIGHUP.
    MoveAway,
    /// Discovery works normally again.
    Restore,
}

/// A change of a proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProxyChange {
    /// The proxy gets SIGKILL.
    Kill,
    /// The proxy gets SIGTERM, and SIGKILL at the shutdown deadline.
    Terminate,
    /// The proxy is started again, with the same name and addresses.
    Start,
    /// The proxy's files are rewritten without a relevant change, and it gets SIGHUP.
    Reload,
}

/// A change of the network.
#[derive(Clone, Debug, PartialEq)]
pub enum NetworkChange {
    /// This share of the datagrams between proxies is lost.
    Loss(f64),
    /// Datagrams between a proxy of this set and one outside it are lost.
    Part(Vec<ProxyId>),
    /// Ends the partition of `Part`.
    Join,
    /// The proxy can't reach these render nodes: open connections are silent, and new ones are never established.
    CutOff(ProxyId, Vec<NodeId>),
    /// The proxy can reach all render nodes again.
    Reach(ProxyId),
}

/// State of a render node in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The render node accepts new connections.
    Up,
    /// The render node completes its connections and accepts no new ones.
    Draining,
    /// The render node is no longer in the list.
    Removed,
}
