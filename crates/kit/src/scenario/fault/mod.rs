//! The faults of a scenario: each `[[fault]]` has `at_s` (seconds of the measured part), `kind`, and the parameters
//! of that kind.

mod read;

pub(super) use read::parse_all;

use super::format::MisbehavingClients;
use super::range::{DurationRange, Range};
use crate::plan::{DiscoveryChange, Misbehavior};
use serde::Deserialize;

/// A fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Start of the fault, in seconds of the measured part.
    pub at_s: f64,
    /// Kind of the fault, with its parameters.
    pub kind: FaultKind,
}

/// The kinds of faults. Each comment is the name of the kind in a scenario file.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// `kill`, `vanish`, `hang`, `rubbish`.
    Outage(OutageKind, Outage),
    /// `slow`.
    Slow(Slow),
    /// `shrink`.
    Shrink(Shrink),
    /// `rolling-restart`.
    RollingRestart(RollingRestart),
    /// `flap`.
    Flap(Flap),
    /// `grow`.
    Grow(Grow),
    /// `drop`.
    Drop(DropClients),
    /// `surge`.
    Surge(Surge),
    /// `discovery`.
    Discovery(DiscoveryFault),
    /// `proxy`.
    Proxy(ProxyFault),
    /// `network`.
    Network(NetworkFault),
    /// `rude`.
    MisbehaviorWave(MisbehaviorWave),
}

/// How a render node stops serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageKind {
    /// The process is killed.
    Kill,
    /// The machine disappears without closing its connections.
    Vanish,
    /// The render node accepts connections and never replies.
    Hang,
    /// The render node answers new connections with unreadable bytes.
    Rubbish,
}

/// What happens to a render node after its fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AfterOutage {
    /// A new process starts, cold.
    Start,
    /// The same process continues.
    Recover,
    /// The fault lasts until the end of the run.
    Stay,
}

/// Parameters of `kill`, `vanish`, `hang` and `rubbish`. Exactly one of the first four fields selects the render
/// nodes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outage {
    /// Selects this share of the fleet at random.
    pub share: Option<f64>,
    /// Selects this number of render nodes at random.
    pub nodes: Option<u16>,
    /// Selects the render nodes with these names.
    pub names: Option<Vec<String>>,
    /// Selects all render nodes of this zone.
    pub zone: Option<String>,
    /// The fault begins on each render node at a random time within these seconds; 0 means on all at once.
    #[serde(default)]
    pub spread_s: f64,
    /// Duration of the fault; the operators' 5.9 to 24 s by default. It is drawn once for all the render nodes, so
    /// that they also return together.
    #[serde(default = "Outage::default_for_s")]
    pub for_s: DurationRange,
    /// What happens afterwards; `start` by default.
    #[serde(default = "Outage::default_then")]
    pub then: AfterOutage,
}

impl Outage {
    fn default_for_s() -> DurationRange {
        DurationRange::scalable(5.9, 24.0)
    }

    fn default_then() -> AfterOutage {
        AfterOutage::Start
    }
}

/// Parameters of `slow`: all work of the render nodes takes several times as long.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)] // The first five fields are the same as in `Down`.
pub struct Slow {
    pub share: Option<f64>,
    pub nodes: Option<u16>,
    pub names: Option<Vec<String>>,
    pub zone: Option<String>,
    #[serde(default)]
    pub spread_s: f64,
    /// Duration of the fault; the operators' 16 to 32 s by default.
    #[serde(default = "Slow::default_for_s")]
    pub for_s: DurationRange,
    /// Slowdown factor; the operators' 2.1 to 9.4 by default.
    #[serde(default = "Slow::default_times")]
    pub times: Range,
}

impl Slow {
    fn default_for_s() -> DurationRange {
        DurationRange::scalable(16.0, 32.0)
    }

    fn default_times() -> Range {
        Range::new(2.1, 9.4)
    }
}

/// When the endpoint list shows that a render node drains, relative to the start of the drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainNotice {
    /// The list shows the drain `lead_s` before the render node starts to move its clients away.
    Before,
    /// The list shows the drain after the render node has started it, with discovery's delay. The operators' fleet
    /// works like this.
    After,
}

/// Parameters of `shrink`: a part of the fleet drains, ends and is removed from the endpoint list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shrink {
    /// Share of the fleet that remains. The operators' fleet shrinks to 0.42 to 0.77.
    pub to: f64,
    /// The render nodes start to drain at random times within this period; the operators' 8.3 to 25 s by default.
    #[serde(default = "Shrink::default_over_s")]
    pub over_s: DurationRange,
    /// Time in which each render node moves its clients away before its process ends; the operators' 2.5 to 4.7 s by
    /// default.
    #[serde(default = "default_drain_s")]
    pub drain_s: Range,
    /// When the list shows the drain; `after` by default.
    #[serde(default = "Shrink::default_told")]
    pub told: DrainNotice,
    /// With `told = "before"`: seconds by which the list shows the drain before it starts.
    #[serde(default = "default_lead_s")]
    pub lead_s: f64,
    /// Factor to which the arrivals fall during `over_s` and at which they stay; the value of `to` by default.
    pub load_to: Option<f64>,
}

impl Shrink {
    fn default_over_s() -> DurationRange {
        DurationRange::scalable(8.3, 25.0)
    }

    fn default_told() -> DrainNotice {
        DrainNotice::After
    }
}

fn default_drain_s() -> Range {
    Range::new(2.5, 4.7)
}

/// 0.5 s more than the default of `rules.stop_within_ms`, the time after which a proxy may not send new requests to a
/// draining render node.
fn default_lead_s() -> f64 {
    1.5
}

/// Parameters of `rolling-restart`: all render nodes restart, one after the other.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RollingRestart {
    /// Interval from the start of one render node's restart to the start of the next one's.
    pub every_s: f64,
    /// Time in which each render node moves its clients away before its process ends.
    #[serde(default = "default_drain_s")]
    pub drain_s: Range,
    /// Time from the end of a render node's process to the start of its new process.
    #[serde(default = "RollingRestart::default_down_s")]
    pub down_s: Range,
    /// When the list shows the drain; `before` by default, since a rolling restart is planned.
    #[serde(default = "RollingRestart::default_told")]
    pub told: DrainNotice,
    /// With `told = "before"`: seconds by which the list shows the drain before it starts.
    #[serde(default = "default_lead_s")]
    pub lead_s: f64,
}

impl RollingRestart {
    fn default_down_s() -> Range {
        Range::new(0.5, 1.5)
    }

    fn default_told() -> DrainNotice {
        DrainNotice::Before
    }
}

/// Parameters of `flap`: render nodes are killed and start again, several times.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)] // The first four fields are the same as in `Down`.
pub struct Flap {
    pub share: Option<f64>,
    pub nodes: Option<u16>,
    pub names: Option<Vec<String>>,
    pub zone: Option<String>,
    /// Number of times that each render node is killed.
    pub times: u32,
    /// Time that a render node is down each time.
    #[serde(default = "Flap::default_down_s")]
    pub down_s: Range,
    /// Time that a render node is up between two kills.
    #[serde(default = "Flap::default_up_s")]
    pub up_s: Range,
}

impl Flap {
    fn default_down_s() -> Range {
        Range::new(0.5, 2.0)
    }

    fn default_up_s() -> Range {
        Range::new(2.0, 5.0)
    }
}

/// Parameters of `grow`: spare render nodes start, cold.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grow {
    /// Number of spare render nodes that start.
    pub nodes: u16,
    /// Each render node starts at a random time within these seconds; 0 means all at once.
    #[serde(default)]
    pub spread_s: f64,
}

/// Parameters of `drop`: many clients close their connections at the same time.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DropClients {
    /// Share of the standing sessions; the operators' 0.2 to 0.57 by default.
    #[serde(default = "DropClients::default_share")]
    pub share: Range,
    /// Time within which the clients reconnect; the operators' 0.45 to 2.7 s by default.
    #[serde(default = "DropClients::default_back_within_s")]
    pub back_within_s: Range,
}

impl DropClients {
    fn default_share() -> Range {
        Range::new(0.2, 0.57)
    }

    fn default_back_within_s() -> Range {
        Range::new(0.45, 2.7)
    }
}

/// Parameters of `surge`: more or fewer arrivals for some time.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Surge {
    /// Factor on the arrival rate.
    pub load: f64,
    /// Duration of the surge.
    pub for_s: f64,
}

/// A fault of discovery; see [`DiscoveryChange`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[allow(missing_docs)] // The variants are the same as in `DiscoveryChange`.
pub enum DiscoveryKind {
    Down,
    Unavailable,
    Resetting,
    Silent,
    InPieces,
    Gap,
    BadList,
    MoveAway,
}

impl DiscoveryKind {
    /// Whether the fault lasts until discovery is restored. The other faults happen once.
    pub fn is_lasting(self) -> bool {
        use DiscoveryKind::*;
        matches!(self, Down | Unavailable | Resetting | Silent)
    }

    /// The corresponding change in a plan.
    pub(super) fn change(self) -> DiscoveryChange {
        match self {
            DiscoveryKind::Down => DiscoveryChange::Down,
            DiscoveryKind::Unavailable => DiscoveryChange::Unavailable,
            DiscoveryKind::Resetting => DiscoveryChange::Resetting,
            DiscoveryKind::Silent => DiscoveryChange::Silent,
            DiscoveryKind::InPieces => DiscoveryChange::InPieces,
            DiscoveryKind::Gap => DiscoveryChange::Gap,
            DiscoveryKind::BadList => DiscoveryChange::BadList,
            DiscoveryKind::MoveAway => DiscoveryChange::MoveAway,
        }
    }
}

/// Parameters of `discovery`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoveryFault {
    /// The fault of discovery.
    pub change: DiscoveryKind,
    /// Duration of a fault that lasts; `None` means until the end of the run.
    pub for_s: Option<f64>,
}

/// A fault of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProxyKind {
    /// The proxy gets SIGKILL. It starts again after `for_s`, or never if `for_s` is not set.
    Kill,
    /// The proxy gets SIGTERM. It starts again `for_s` after its time to shut down is over, or never if `for_s` is
    /// not set.
    Terminate,
    /// The same as `terminate`, but the proxy starts again shortly after its shutdown if `for_s` is not set.
    Restart,
    /// The files of the proxy are written again, and it gets SIGHUP.
    Reload,
}

/// Parameters of `proxy`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxyFault {
    /// The fault of the proxies.
    pub change: ProxyKind,
    /// Selects this number of proxies at random; 1 by default.
    pub proxies: Option<u16>,
    /// Selects the proxies with these names.
    pub names: Option<Vec<String>>,
    /// Time until the proxies start again; see [`ProxyKind`] for the case that it is not set.
    pub for_s: Option<f64>,
}

/// A fault of the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NetworkKind {
    /// A share of the datagrams between proxies is lost.
    Loss,
    /// Datagrams between the selected proxies and the other proxies are lost.
    Part,
    /// The selected proxies cannot reach the selected render nodes.
    CutOff,
}

/// Parameters of `network`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NetworkFault {
    /// The fault of the network.
    pub change: NetworkKind,
    /// For `loss`: share of the datagrams that is lost.
    pub loss: Option<f64>,
    /// For `part` and `cut-off`: selects this number of proxies at random.
    pub proxies: Option<u16>,
    /// For `part` and `cut-off`: selects the proxies with these names.
    pub proxy_names: Option<Vec<String>>,
    /// For `cut-off`: selects this number of render nodes at random.
    pub nodes: Option<u16>,
    /// For `cut-off`: selects the render nodes with these names.
    pub names: Option<Vec<String>>,
    /// Duration of the fault; `None` means until the end of the run.
    pub for_s: Option<f64>,
}

/// Parameters of `rude`: misbehaving clients for some time, in addition to those of the section `[rude]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MisbehaviorWave {
    /// Arrivals per second.
    pub per_s: f64,
    /// Duration of the arrivals.
    pub for_s: f64,
    /// The kinds of misbehavior, drawn with equal probability; all kinds by default.
    #[serde(default = "MisbehavingClients::all_kinds")]
    pub kinds: Vec<Misbehavior>,
}

impl Fault {
    /// Name of the kind in scenario files.
    pub fn kind_name(&self) -> &'static str {
        match &self.kind {
            FaultKind::Outage(OutageKind::Kill, _) => "kill",
            FaultKind::Outage(OutageKind::Vanish, _) => "vanish",
            FaultKind::Outage(OutageKind::Hang, _) => "hang",
            FaultKind::Outage(OutageKind::Rubbish, _) => "rubbish",
            FaultKind::Slow(_) => "slow",
            FaultKind::Shrink(_) => "shrink",
            FaultKind::RollingRestart(_) => "rolling-restart",
            FaultKind::Flap(_) => "flap",
            FaultKind::Grow(_) => "grow",
            FaultKind::Drop(_) => "drop",
            FaultKind::Surge(_) => "surge",
            FaultKind::Discovery(_) => "discovery",
            FaultKind::Proxy(_) => "proxy",
            FaultKind::Network(_) => "network",
            FaultKind::MisbehaviorWave(_) => "rude",
        }
    }
}
