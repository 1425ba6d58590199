//! The sections of a scenario file. The defaults are the values of the operators' fleet, from the operators' site
//! file and bench page. The names include the units.

mod fleet;
mod load;

pub use fleet::{Fleet, MachineKind, Proxies};
pub use load::{Class, Groups, Load, Shape, Tenant};

use super::range::{DurationRange, Range};
use crate::plan::Misbehavior;
use serde::Deserialize;

/// All sections of a scenario file except the faults.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Body {
    /// Name of the scenario.
    pub name: String,
    /// Description of the rehearsal in one sentence.
    #[serde(default)]
    pub about: String,
    /// Duration of the measured part.
    pub seconds: f64,
    /// Factor on the default durations of lives, load changes, warm-ups, notices and faults. Durations that the file
    /// sets are used as they are.
    #[serde(default = "default_one")]
    pub scale: f64,
    #[serde(default)]
    #[allow(missing_docs)]
    pub fleet: Fleet,
    #[serde(default)]
    #[allow(missing_docs)]
    pub proxies: Proxies,
    #[serde(default)]
    #[allow(missing_docs)]
    pub load: Load,
    /// Classes of requests, which replace the three default classes.
    #[serde(default = "Class::default_classes")]
    pub class: Vec<Class>,
    /// Tenants, which replace the three default tenants.
    #[serde(default = "Tenant::default_tenants")]
    pub tenant: Vec<Tenant>,
    #[serde(default)]
    #[allow(missing_docs)]
    pub groups: Groups,
    #[serde(default)]
    #[allow(missing_docs)]
    pub clients: Clients,
    /// Misbehaving clients, in addition to the sessions; `None` means that there are none.
    #[serde(default)]
    pub rude: Option<MisbehavingClients>,
    #[serde(default)]
    #[allow(missing_docs)]
    pub front: Front,
    #[serde(default)]
    #[allow(missing_docs)]
    pub discovery: Discovery,
    #[serde(default)]
    #[allow(missing_docs)]
    pub network: Network,
    #[serde(default)]
    #[allow(missing_docs)]
    pub rules: Rules,
    #[serde(default)]
    #[allow(missing_docs)]
    pub demand: Demand,
    /// The faults, which are ignored here and parsed separately by their kind.
    #[serde(default, rename = "fault")]
    pub(super) _fault: Option<serde::de::IgnoredAny>,
}

fn default_one() -> f64 {
    1.0
}

/// Behavior of the clients.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Interval between two lines of a client.
    pub line_every_s: f64,
    /// Number of further attempts in a series after the first one failed. The wait `sulk_s` follows a series that
    /// failed.
    pub retries: Range,
    /// Wait before a further attempt in a series; 0 means no wait.
    pub backoff_ms: Range,
    /// Wait after all attempts of a series failed. It doubles with each failed series, up to 2^4 times this value.
    pub sulk_s: Range,
    /// Share of the clients that follow the wait in `BUSY MS`.
    pub honour: Range,
    /// Bounds of the wait after which a client reconnects when its connection broke or was moved. The wait is drawn
    /// each time.
    pub rejoin_ms: Range,
    /// Whether clients mark retries with `r=1`.
    pub marks_retry: bool,
    /// Share of the clients that give up an attempt before its deadline.
    pub impatient: Range,
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            line_every_s: 2.0,
            retries: Range::new(2.0, 3.0),
            backoff_ms: Range::new(0.0, 120.0),
            sulk_s: Range::new(1.0, 1.0),
            honour: Range::new(0.0, 0.4),
            rejoin_ms: Range::new(60.0, 1700.0),
            marks_retry: true,
            impatient: Range::new(0.0, 0.03),
        }
    }
}

/// Clients that break the protocol on purpose.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MisbehavingClients {
    /// Arrivals per second.
    pub per_s: f64,
    /// The kinds of misbehavior, drawn with equal probability; all kinds by default.
    #[serde(default = "MisbehavingClients::all_kinds")]
    pub kinds: Vec<Misbehavior>,
    /// Time of the measured part at which they begin to arrive.
    #[serde(default)]
    pub from_s: f64,
    /// Time of the measured part at which they stop arriving; `None` means the end of the run.
    #[serde(default)]
    pub until_s: Option<f64>,
}

impl MisbehavingClients {
    /// Returns all kinds of misbehavior.
    pub(super) fn all_kinds() -> Vec<Misbehavior> {
        use Misbehavior::*;
        vec![
            Garbage,
            Endless,
            Huge,
            NoSuchClass,
            BadDeadline,
            NoId,
            StolenId,
            Half,
            ManyCommands,
            AgainAtOnce,
            Silent,
        ]
    }
}

/// Behavior of the front.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Front {
    /// Interval between two `PING`s to each proxy.
    pub ping_ms: Range,
    /// A proxy that has not answered for this long gets no new clients.
    pub notice_s: DurationRange,
    /// For this long after SIGTERM a proxy still gets new clients.
    pub leaves_ms: Range,
}

impl Default for Front {
    fn default() -> Self {
        Front {
            ping_ms: Range::new(250.0, 250.0),
            notice_s: DurationRange::scalable(0.97, 4.0),
            leaves_ms: Range::new(200.0, 400.0),
        }
    }
}

/// Delays with which discovery lists changes, drawn for each change.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Delay for a process that drains or has ended.
    pub notice_s: DurationRange,
    /// Delay for a machine that disappeared without closing its connections.
    pub silent_notice_s: DurationRange,
    /// Delay for a process that has started or recovered.
    pub up_s: DurationRange,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            notice_s: DurationRange::scalable(0.52, 5.0),
            silent_notice_s: DurationRange::scalable(6.8, 12.0),
            up_s: DurationRange::scalable(0.5, 2.4),
        }
    }
}

/// Properties of the network.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// One-way delay between a proxy and a render node of the same zone.
    pub same_zone_ms: Range,
    /// One-way delay between a proxy and a render node of a different zone.
    pub cross_zone_ms: Range,
    /// Bounds of the one-way delay of a datagram between proxies, drawn for each datagram.
    pub datagram_ms: Range,
    /// Share of the datagrams that is lost.
    pub loss: f64,
    /// Whether datagrams between proxies are allowed.
    pub datagrams: bool,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            same_zone_ms: Range::new(0.098, 0.3),
            cross_zone_ms: Range::new(0.84, 1.6),
            datagram_ms: Range::new(1.2, 38.0),
            loss: 0.0,
            datagrams: true,
        }
    }
}

/// Limits of the rules. The defaults are those of the protocol page and of the operators' settings.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)] // The fields are the same as in `plan::Rules`.
pub struct Rules {
    pub answer_slack_ms: u32,
    pub stop_within_ms: u32,
    pub ask_within_ms: u32,
    pub told_within_ms: u32,
    pub fall_multiple: f64,
    pub fall_window_ms: u32,
    pub line_held_ms: u32,
    pub ended_within_ms: u32,
    pub silent_within_ms: u32,
    pub attempts: u32,
    pub connect_timeout_ms: u32,
    pub retry_after_max_ms: u32,
    pub grace_ms: u32,
    /// Time from SIGTERM to SIGKILL of a proxy. `None` means the longest deadline, but at least 3 s, plus 0.7 s.
    pub term_to_kill_ms: Option<u32>,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            answer_slack_ms: 8,
            stop_within_ms: 1000,
            ask_within_ms: 10_000,
            told_within_ms: 6000,
            fall_multiple: 3.0,
            fall_window_ms: 2000,
            line_held_ms: 1000,
            ended_within_ms: 1000,
            silent_within_ms: 7000,
            attempts: 3,
            connect_timeout_ms: 250,
            retry_after_max_ms: 1000,
            grace_ms: 50,
            term_to_kill_ms: None,
        }
    }
}

/// Values that a run must reach, besides following every rule.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Demand {
    /// Minimum service ratio of the whole run, from 0 to 1; 0 means no demand.
    pub service: f64,
    /// Minimum service ratio of the worst 10 s, from 0 to 1; 0 means no demand.
    pub worst_window: f64,
    /// Maximum datagram bytes that a proxy may send in any second, as delivered; 0 means no limit.
    pub datagram_bytes_per_s: u64,
}
