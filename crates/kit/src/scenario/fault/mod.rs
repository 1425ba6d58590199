//! What goes wrong in a scenario: `[[fault]]`, each with `at_s` (seconds of the measured part), `kind`, and
//! the figures of that kind.

mod read;

pub(super) use read::read_all;

use super::format::Rude;
use super::range::{Range, Span};
use crate::plan::{DiscoveryChange, Misbehavior};
use serde::Deserialize;

/// A fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When, in seconds of the measured part.
    pub at_s: f64,
    /// What.
    pub kind: Kind,
}

/// The kinds, by the names that files use.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// `kill`, `vanish`, `hang`, `rubbish`.
    Down(DownKind, Down),
    /// `slow`.
    Slow(Slow),
    /// `shrink`.
    Shrink(Shrink),
    /// `rolling-restart`.
    Rolling(Rolling),
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
    Rude(RudeWave),
}

/// How render nodes stop to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DownKind {
    /// The process ends.
    Kill,
    /// The machine is gone without a word.
    Vanish,
    /// It accepts and never replies.
    Hang,
    /// It answers rubbish.
    Rubbish,
}

/// What follows a fault of a render node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Then {
    /// The process starts, cold.
    Start,
    /// It goes on where it was.
    Recover,
    /// Nothing: it stays as it is.
    Stay,
}

/// Figures of `kill`, `vanish`, `hang` and `rubbish`. Exactly one of the first four says which nodes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Down {
    /// This part of the fleet.
    pub share: Option<f64>,
    /// So many nodes.
    pub nodes: Option<u16>,
    /// These.
    pub names: Option<Vec<String>>,
    /// All of this zone.
    pub zone: Option<String>,
    /// One after the other within this time; 0 for together.
    #[serde(default)]
    pub spread_s: f64,
    /// For so long; the operators' 5.9 to 24 s, drawn once for all of them, so that they also come back
    /// together.
    #[serde(default = "Down::for_s")]
    pub for_s: Span,
    /// What follows; `start` unless said.
    #[serde(default = "Down::then")]
    pub then: Then,
}

impl Down {
    fn for_s() -> Span {
        Span::usual(5.9, 24.0)
    }

    fn then() -> Then {
        Then::Start
    }
}

/// Figures of `slow`: nodes do everything so many times slower.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)] // The first five as in `Down`.
pub struct Slow {
    pub share: Option<f64>,
    pub nodes: Option<u16>,
    pub names: Option<Vec<String>>,
    pub zone: Option<String>,
    #[serde(default)]
    pub spread_s: f64,
    /// For so long; the operators' 16 to 32 s.
    #[serde(default = "Slow::for_s")]
    pub for_s: Span,
    /// So many times slower; the operators' 2.1 to 9.4.
    #[serde(default = "Slow::times")]
    pub times: Range,
}

impl Slow {
    fn for_s() -> Span {
        Span::usual(16.0, 32.0)
    }

    fn times() -> Range {
        Range::new(2.1, 9.4)
    }
}

/// Who learns first that a node is to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Told {
    /// The list says so `lead_s` before the node begins to send its clients away.
    Before,
    /// The node begins, and the list says so after discovery's notice: the operators' world.
    After,
}

/// Figures of `shrink`: part of the fleet drains, goes and is taken off the list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shrink {
    /// To this part of the fleet; the operators' 0.42 to 0.77.
    pub to: f64,
    /// The nodes begin to drain within this time; the operators' 8.3 to 25 s.
    #[serde(default = "Shrink::over_s")]
    pub over_s: Span,
    /// Each sends its clients away within this; the operators' 2.5 to 4.7 s. Then it goes.
    #[serde(default = "drain_s")]
    pub drain_s: Range,
    /// Who learns first.
    #[serde(default = "Shrink::told")]
    pub told: Told,
    /// With `told = "before"`: by so much.
    #[serde(default = "lead_s")]
    pub lead_s: f64,
    /// Arrivals fall to this factor meanwhile, and stay there; to the same as `to` if left out.
    pub load_to: Option<f64>,
}

impl Shrink {
    fn over_s() -> Span {
        Span::usual(8.3, 25.0)
    }

    fn told() -> Told {
        Told::After
    }
}

fn drain_s() -> Range {
    Range::new(2.5, 4.7)
}

/// Half a second more than the time after which nothing new may be sent to a node that drains.
fn lead_s() -> f64 {
    1.5
}

/// Figures of `rolling-restart`: the whole fleet, one node after the other.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rolling {
    /// From one node to the next.
    pub every_s: f64,
    /// Each sends its clients away within this.
    #[serde(default = "drain_s")]
    pub drain_s: Range,
    /// From the end of its process to the start of the next.
    #[serde(default = "Rolling::down_s")]
    pub down_s: Range,
    /// Who learns first; `before` unless said, since somebody plans it.
    #[serde(default = "Rolling::told")]
    pub told: Told,
    /// With `told = "before"`: by so much.
    #[serde(default = "lead_s")]
    pub lead_s: f64,
}

impl Rolling {
    fn down_s() -> Range {
        Range::new(0.5, 1.5)
    }

    fn told() -> Told {
        Told::Before
    }
}

/// Figures of `flap`: nodes are killed and start again, several times.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)] // The first four as in `Down`.
pub struct Flap {
    pub share: Option<f64>,
    pub nodes: Option<u16>,
    pub names: Option<Vec<String>>,
    pub zone: Option<String>,
    /// So many times down.
    pub times: u32,
    /// Each time for so long.
    #[serde(default = "Flap::down_s")]
    pub down_s: Range,
    /// And up for so long in between.
    #[serde(default = "Flap::up_s")]
    pub up_s: Range,
}

impl Flap {
    fn down_s() -> Range {
        Range::new(0.5, 2.0)
    }

    fn up_s() -> Range {
        Range::new(2.0, 5.0)
    }
}

/// Figures of `grow`: spare nodes start, cold.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grow {
    /// So many of the spare ones.
    pub nodes: u16,
    /// One after the other within this time.
    #[serde(default)]
    pub spread_s: f64,
}

/// Figures of `drop`: clients drop their connections at once.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DropClients {
    /// This part of the sessions that stand; the operators' 0.2 to 0.57.
    #[serde(default = "DropClients::share")]
    pub share: Range,
    /// They come again within this; the operators' 0.45 to 2.7 s.
    #[serde(default = "DropClients::back_within_s")]
    pub back_within_s: Range,
}

impl DropClients {
    fn share() -> Range {
        Range::new(0.2, 0.57)
    }

    fn back_within_s() -> Range {
        Range::new(0.45, 2.7)
    }
}

/// Figures of `surge`: more arrivals (or fewer) for a time.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Surge {
    /// Arrivals times this.
    pub load: f64,
    /// For so long.
    pub for_s: f64,
}

/// What happens to discovery; see [`DiscoveryChange`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[allow(missing_docs)] // As in `DiscoveryChange`.
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
    /// It lasts until discovery is restored; the others happen once.
    pub fn lasts(self) -> bool {
        use DiscoveryKind::*;
        matches!(self, Down | Unavailable | Resetting | Silent)
    }

    /// In the plan's terms.
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

/// Figures of `discovery`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoveryFault {
    /// What.
    pub change: DiscoveryKind,
    /// For so long, where it lasts; to the end if left out.
    pub for_s: Option<f64>,
}

/// What is done to a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProxyKind {
    /// SIGKILL; started again after `for_s`, or never.
    Kill,
    /// SIGTERM; started again `for_s` after the time for leaving is over, or never.
    Terminate,
    /// As `terminate`, and started again at once if `for_s` does not say when.
    Restart,
    /// Its files are written anew and it gets SIGHUP.
    Reload,
}

/// Figures of `proxy`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxyFault {
    /// What.
    pub change: ProxyKind,
    /// So many, drawn; 1 unless said.
    pub proxies: Option<u16>,
    /// These.
    pub names: Option<Vec<String>>,
    /// Away for so long.
    pub for_s: Option<f64>,
}

/// What happens to the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NetworkKind {
    /// Part of the datagrams between proxies is lost.
    Loss,
    /// No datagram passes between some proxies and the others.
    Part,
    /// Some proxies can't reach some render nodes.
    CutOff,
}

/// Figures of `network`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NetworkFault {
    /// What.
    pub change: NetworkKind,
    /// For `loss`: the part that is lost.
    pub loss: Option<f64>,
    /// For `part` and `cut-off`: so many proxies, drawn.
    pub proxies: Option<u16>,
    /// Or these.
    pub proxy_names: Option<Vec<String>>,
    /// For `cut-off`: so many render nodes, drawn.
    pub nodes: Option<u16>,
    /// Or these.
    pub names: Option<Vec<String>>,
    /// For so long; to the end if left out.
    pub for_s: Option<f64>,
}

/// Figures of `rude`: rude clients for a time, beside those of the section of that name.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RudeWave {
    /// So many a second.
    pub per_s: f64,
    /// For so long.
    pub for_s: f64,
    /// What they do.
    #[serde(default = "Rude::every_kind")]
    pub kinds: Vec<Misbehavior>,
}

impl Fault {
    /// The kind, as files write it.
    pub fn kind_name(&self) -> &'static str {
        match &self.kind {
            Kind::Down(DownKind::Kill, _) => "kill",
            Kind::Down(DownKind::Vanish, _) => "vanish",
            Kind::Down(DownKind::Hang, _) => "hang",
            Kind::Down(DownKind::Rubbish, _) => "rubbish",
            Kind::Slow(_) => "slow",
            Kind::Shrink(_) => "shrink",
            Kind::Rolling(_) => "rolling-restart",
            Kind::Flap(_) => "flap",
            Kind::Grow(_) => "grow",
            Kind::Drop(_) => "drop",
            Kind::Surge(_) => "surge",
            Kind::Discovery(_) => "discovery",
            Kind::Proxy(_) => "proxy",
            Kind::Network(_) => "network",
            Kind::Rude(_) => "rude",
        }
    }
}
