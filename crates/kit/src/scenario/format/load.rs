//! The sections about what is asked for: load, classes, tenants, groups.

use super::one;
use crate::scenario::curve::Curve;
use crate::scenario::range::{Range, Span};
use serde::Deserialize;

/// How the arrivals of clients go up and down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// Always the same rate.
    Steady,
    /// A sine about it.
    Wave,
    /// The rate, and at even distances a multiple of it.
    Bursts,
    /// A factor over time, as written.
    Trace,
}

/// How many clients come and how long they stay. Exactly one of the first three; a share of 0.35 (the
/// operators' rough days) if none is given.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Load of the standing sessions, as a part of what the nodes that are up at the start can do. Costs of
    /// set-ups and groups come on top. The operators' days: quiet 0.25, rough 0.35, overload 0.65.
    pub share: Option<Range>,
    /// New sessions a second.
    pub arrivals_per_s: Option<Range>,
    /// Sessions that stand.
    pub standing: Option<Range>,
    /// How arrivals go up and down; the figures above are those of a factor of 1.
    pub shape: Shape,
    /// Length of a wave.
    pub period_s: Range,
    /// Its height: the factor goes from 1 - swing to 1 + swing.
    pub swing: Range,
    /// From one burst to the next.
    pub every_s: Range,
    /// Length of a burst.
    pub burst_s: Range,
    /// Its height.
    pub burst: Range,
    /// For the shape `trace`: points of a time and a factor.
    pub trace: Curve,
    /// Mean life of a session.
    pub life_s: Span,
    /// Spread of lives (sigma of a lognormal).
    pub life_sigma: Range,
    /// How uneven the zones' parts of the clients are.
    pub zone_skew: Range,
    /// The standing sessions come up within this time before the measured part ...
    pub fill_s: f64,
    /// ... which begins after this much more.
    pub settle_s: f64,
    /// A scenario that may draw more sessions than this is refused.
    pub max_sessions: u32,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            share: None,
            arrivals_per_s: None,
            standing: None,
            shape: Shape::Steady,
            period_s: Range::new(15.0, 30.0),
            swing: Range::new(0.061, 0.2),
            every_s: Range::new(8.0, 12.0),
            burst_s: Range::new(1.0, 2.0),
            burst: Range::new(2.0, 3.0),
            trace: Curve::default(),
            life_s: Span::usual(31.0, 59.0),
            life_sigma: Range::new(0.8, 1.4),
            zone_skew: Range::new(0.15, 0.45),
            fill_s: 4.0,
            settle_s: 2.0,
            max_sessions: 200_000,
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of the arrivals; what is drawn is brought to a sum of 1.
    pub share: Range,
    /// Its mean load, in multiples that only matter between classes.
    #[serde(default = "Class::load")]
    pub load: Range,
    /// Its mean life, in multiples of the usual one.
    #[serde(default = "Class::life")]
    pub life: Range,
    /// Spread of its sessions' loads (sigma of a lognormal).
    #[serde(default = "Class::load_sigma")]
    pub load_sigma: Range,
    /// Spread of one session's load over time.
    #[serde(default = "Class::swing_sigma")]
    pub swing_sigma: Range,
    /// Mean time between two changes of a session's load.
    #[serde(default = "Class::change_s")]
    pub change_s: Span,
    /// Part of the time in which a session asks for nothing.
    #[serde(default = "Class::idle")]
    pub idle: Range,
    /// A set-up within this is wanted.
    #[serde(default = "Class::setup_aim_ms")]
    pub setup_aim_ms: u32,
    /// A client waits so long for `UP`.
    #[serde(default = "Class::deadline_ms")]
    pub deadline_ms: u32,
    /// A message within this is well served.
    #[serde(default = "Class::message_aim_ms")]
    pub message_aim_ms: u32,
    /// Worth of a well-served second.
    #[serde(default = "one")]
    pub worth: f64,
}

impl Class {
    fn load() -> Range {
        Range::new(1.0, 1.0)
    }

    fn life() -> Range {
        Range::new(1.0, 1.0)
    }

    fn load_sigma() -> Range {
        Range::new(0.56, 1.1)
    }

    fn swing_sigma() -> Range {
        Range::new(0.34, 0.84)
    }

    fn change_s() -> Span {
        Span::usual(10.0, 19.0)
    }

    fn idle() -> Range {
        Range::new(0.062, 0.48)
    }

    fn setup_aim_ms() -> u32 {
        300
    }

    fn deadline_ms() -> u32 {
        1800
    }

    fn message_aim_ms() -> u32 {
        150
    }

    /// The operators' three classes.
    pub(in crate::scenario) fn usual() -> Vec<Self> {
        let page_view = Class {
            name: "page-view".to_owned(),
            share: Range::new(0.38, 0.58),
            load: Self::load(),
            life: Self::life(),
            load_sigma: Self::load_sigma(),
            swing_sigma: Self::swing_sigma(),
            change_s: Self::change_s(),
            idle: Self::idle(),
            setup_aim_ms: 300,
            deadline_ms: 1800,
            message_aim_ms: 150,
            worth: 1.0,
        };
        let note_edit = Class {
            name: "note-edit".to_owned(),
            share: Range::new(0.31, 0.47),
            load: Range::new(2.0, 4.0),
            load_sigma: Range::new(0.75, 1.1),
            swing_sigma: Range::new(0.3, 0.86),
            change_s: Span::usual(4.5, 13.0),
            idle: Range::new(0.18, 0.48),
            deadline_ms: 1200,
            message_aim_ms: 60,
            ..page_view.clone()
        };
        let part_export = Class {
            name: "part-export".to_owned(),
            share: Range::new(0.1, 0.16),
            load: Range::new(0.2, 0.5),
            load_sigma: Range::new(0.51, 1.1),
            swing_sigma: Range::new(0.42, 0.81),
            change_s: Span::usual(7.8, 17.0),
            idle: Range::new(0.18, 0.49),
            setup_aim_ms: 500,
            deadline_ms: 2000,
            message_aim_ms: 250,
            worth: 3.0,
            ..page_view.clone()
        };
        vec![page_view, note_edit, part_export]
    }
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its part of the service: what its quota is made of.
    pub share: f64,
    /// Its part of the arrivals, in multiples of its share; brought to a sum of 1 with the others'.
    #[serde(default = "Tenant::usage")]
    pub usage: Range,
    /// A further factor on it over time.
    #[serde(default)]
    pub usage_over_time: Curve,
}

impl Tenant {
    fn usage() -> Range {
        Range::new(0.52, 1.4)
    }

    /// The operators' three member houses.
    pub(in crate::scenario) fn usual() -> Vec<Self> {
        let house = |name: &str, share, least, most| Tenant {
            name: name.to_owned(),
            share,
            usage: Range::new(least, most),
            usage_over_time: Curve::default(),
        };
        vec![
            house("editora-pampa", 0.45, 0.52, 1.4),
            house("casa-coral-sul", 0.37, 0.58, 1.3),
            house("musica-serra", 0.18, 0.66, 1.4),
        ]
    }
}

/// Sessions that edit the same score share work.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Groups {
    /// Mean number of standing sessions of a group.
    pub mean_size: Range,
    /// How uneven sizes are: the exponent of Zipf's law.
    pub zipf: Range,
    /// What a node pays for each group of which it holds any, in mean connection loads.
    pub cost: Range,
}

impl Default for Groups {
    fn default() -> Self {
        Groups { mean_size: Range::new(35.0, 53.0), zipf: Range::new(0.88, 1.1), cost: Range::new(3.0, 3.0) }
    }
}
