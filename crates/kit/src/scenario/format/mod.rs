//! The sections of a scenario's file. What is left out has the figures of the operators' fleet (the site file
//! and the bench's page that came with the task); units are in the names.

mod fleet;
mod load;

pub use fleet::{Fleet, Kind, Proxies};
pub use load::{Class, Groups, Load, Shape, Tenant};

use super::range::{Range, Span};
use crate::plan::Misbehavior;
use serde::Deserialize;

/// All of a file but its faults.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Body {
    /// The scenario's name.
    pub name: String,
    /// What it rehearses, in a sentence.
    #[serde(default)]
    pub about: String,
    /// Length of the measured part.
    pub seconds: f64,
    /// Lives, load changes, warm-ups, notices and faults that the file leaves to the usual figures are so
    /// many times as long. What the file writes is taken as written.
    #[serde(default = "one")]
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
    /// Classes of requests; given any, they replace the operators' three.
    #[serde(default = "Class::usual")]
    pub class: Vec<Class>,
    /// Tenants; given any, they replace the operators' three.
    #[serde(default = "Tenant::usual")]
    pub tenant: Vec<Tenant>,
    #[serde(default)]
    #[allow(missing_docs)]
    pub groups: Groups,
    #[serde(default)]
    #[allow(missing_docs)]
    pub clients: Clients,
    /// Rude clients beside the others.
    #[serde(default)]
    pub rude: Option<Rude>,
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
    /// Read one by one, each by its kind.
    #[serde(default, rename = "fault")]
    pub(super) _fault: Option<serde::de::IgnoredAny>,
}

fn one() -> f64 {
    1.0
}

/// How clients behave.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Between two lines.
    pub line_every_s: f64,
    /// Tries again after a failed one, before a long wait.
    pub retries: Range,
    /// Wait before a try again; 0 for at once.
    pub backoff_ms: Range,
    /// The long wait; doubles up to 2^4 times this.
    pub sulk_s: Range,
    /// Part of the clients that follow the time in `BUSY MS`.
    pub honour: Range,
    /// After a break or a move they come again within these bounds, drawn each time.
    pub rejoin_ms: Range,
    /// Repeats are marked `r=1`.
    pub marks_retry: bool,
    /// Part of the clients that give up a try before its time.
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

/// Clients that go beyond the usual.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rude {
    /// How many come a second.
    pub per_s: f64,
    /// What they do; drawn evenly.
    #[serde(default = "Rude::every_kind")]
    pub kinds: Vec<Misbehavior>,
    /// They come from here ...
    #[serde(default)]
    pub from_s: f64,
    /// ... until here; to the end if left out.
    #[serde(default)]
    pub until_s: Option<f64>,
}

impl Rude {
    /// All that are known.
    pub(super) fn every_kind() -> Vec<Misbehavior> {
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

/// How the front behaves.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Front {
    /// Between two `PING`s to each proxy.
    pub ping_ms: Range,
    /// A proxy that has not answered for this long gets no more clients.
    pub notice_s: Span,
    /// After SIGTERM clients keep arriving for this long.
    pub leaves_ms: Range,
}

impl Default for Front {
    fn default() -> Self {
        Front {
            ping_ms: Range::new(250.0, 250.0),
            notice_s: Span::usual(0.97, 4.0),
            leaves_ms: Range::new(200.0, 400.0),
        }
    }
}

/// How late discovery learns things; drawn for each change.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Of a process that drains or has ended.
    pub notice_s: Span,
    /// Of a machine that is gone without a word.
    pub silent_notice_s: Span,
    /// Of a process that runs (again).
    pub up_s: Span,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            notice_s: Span::usual(0.52, 5.0),
            silent_notice_s: Span::usual(6.8, 12.0),
            up_s: Span::usual(0.5, 2.4),
        }
    }
}

/// What holds between the parties.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// One way between a proxy and a render node of its zone.
    pub same_zone_ms: Range,
    /// Of another zone.
    pub cross_zone_ms: Range,
    /// One way of a datagram between proxies: drawn for each between these bounds.
    pub datagram_ms: Range,
    /// Part of the datagrams that is lost.
    pub loss: f64,
    /// Proxies may send one another datagrams.
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

/// The figures of the rules; those of the protocol's page and of the operators' settings.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)] // As in `plan::Rules`.
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
    /// The longest deadline (3 s where it is shorter) and 0.7 s if left out.
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

/// What the run must reach, beside keeping every rule.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Demand {
    /// Service of the whole run, as a part of 1.
    pub service: f64,
    /// Service of the worst 10 s.
    pub worst_window: f64,
    /// Bytes of datagrams that a proxy may send in any second, as delivered; 0: nothing is demanded.
    pub datagram_bytes_per_s: u64,
}
