//! The sections `load`, `class`, `tenant` and `groups` of a scenario file.

use super::default_one;
use crate::scenario::curve::Curve;
use crate::scenario::range::{DurationRange, Range};
use serde::Deserialize;

/// How the arrival rate of clients changes over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// The rate is constant.
    Steady,
    /// The rate follows a sine wave.
    Wave,
    /// The rate is constant, except for bursts at regular intervals.
    Bursts,
    /// The rate follows the factors of `trace`.
    Trace,
}

/// How many clients arrive and how long they stay. At most one of the first three fields may be set; the default is a
/// share of 0.35, as on the operators' rough days.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Load of the standing sessions, as a share of the capacity of the render nodes that are up at the start. The
    /// costs of set-ups and groups are not included. The operators' share is 0.25 on quiet days, 0.35 on rough days
    /// and 0.65 on days of overload.
    pub share: Option<Range>,
    /// New sessions per second.
    pub arrivals_per_s: Option<Range>,
    /// Number of standing sessions.
    pub standing: Option<Range>,
    /// How the arrival rate changes over time. The values above apply while its factor is 1.
    pub shape: Shape,
    /// For the shape `wave`: period of the wave.
    pub period_s: Range,
    /// For the shape `wave`: amplitude of the wave. The factor goes from 1 - swing to 1 + swing.
    pub swing: Range,
    /// For the shape `bursts`: interval from one burst to the next.
    pub every_s: Range,
    /// For the shape `bursts`: duration of a burst.
    pub burst_s: Range,
    /// For the shape `bursts`: factor during a burst.
    pub burst: Range,
    /// For the shape `trace`: the factor over time.
    pub trace: Curve,
    /// Mean life of a session.
    pub life_s: DurationRange,
    /// Spread of the lives (sigma of a lognormal distribution).
    pub life_sigma: Range,
    /// Maximum deviation of a zone's weight among the clients from 1.
    pub zone_skew: Range,
    /// Time at the start of the run within which the initial standing sessions arrive.
    pub fill_s: f64,
    /// Time between the end of `fill_s` and the start of the measured part.
    pub settle_s: f64,
    /// A scenario that may draw more sessions than this is rejected.
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
            life_s: DurationRange::scalable(31.0, 59.0),
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
    /// Name of the class.
    pub name: String,
    /// Share of the arrivals. The drawn shares of all classes are normalized to a sum of 1.
    pub share: Range,
    /// Mean load of a session, relative to the other classes.
    #[serde(default = "Class::default_load")]
    pub load: Range,
    /// Mean life of a session, as a multiple of `load.life_s`.
    #[serde(default = "Class::default_life")]
    pub life: Range,
    /// Spread of the loads between sessions (sigma of a lognormal distribution).
    #[serde(default = "Class::default_load_sigma")]
    pub load_sigma: Range,
    /// Spread of a session's load over time (sigma of a lognormal distribution).
    #[serde(default = "Class::default_swing_sigma")]
    pub swing_sigma: Range,
    /// Mean time between two changes of a session's load.
    #[serde(default = "Class::default_change_s")]
    pub change_s: DurationRange,
    /// Share of the time in which a session has no load.
    #[serde(default = "Class::default_idle")]
    pub idle: Range,
    /// Target time of a set-up.
    #[serde(default = "Class::default_setup_aim_ms")]
    pub setup_aim_ms: u32,
    /// Time that a client waits for `UP`.
    #[serde(default = "Class::default_deadline_ms")]
    pub deadline_ms: u32,
    /// Target time of a message. A message that is returned within it counts as well served.
    #[serde(default = "Class::default_message_aim_ms")]
    pub message_aim_ms: u32,
    /// Weight of a well-served connection second in the service ratios.
    #[serde(default = "default_one")]
    pub worth: f64,
}

impl Class {
    fn default_load() -> Range {
        Range::new(1.0, 1.0)
    }

    fn default_life() -> Range {
        Range::new(1.0, 1.0)
    }

    fn default_load_sigma() -> Range {
        Range::new(0.56, 1.1)
    }

    fn default_swing_sigma() -> Range {
        Range::new(0.34, 0.84)
    }

    fn default_change_s() -> DurationRange {
        DurationRange::scalable(10.0, 19.0)
    }

    fn default_idle() -> Range {
        Range::new(0.062, 0.48)
    }

    fn default_setup_aim_ms() -> u32 {
        300
    }

    fn default_deadline_ms() -> u32 {
        1800
    }

    fn default_message_aim_ms() -> u32 {
        150
    }

    /// The default classes: the three of the operators.
    pub(in crate::scenario) fn default_classes() -> Vec<Self> {
        let page_view = Class {
            name: "page-view".to_owned(),
            share: Range::new(0.38, 0.58),
            load: Self::default_load(),
            life: Self::default_life(),
            load_sigma: Self::default_load_sigma(),
            swing_sigma: Self::default_swing_sigma(),
            change_s: Self::default_change_s(),
            idle: Self::default_idle(),
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
            change_s: DurationRange::scalable(4.5, 13.0),
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
            change_s: DurationRange::scalable(7.8, 17.0),
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
    /// Name of the tenant.
    pub name: String,
    /// Share of the service, from which the tenant's quota is computed.
    pub share: f64,
    /// Share of the arrivals, as a multiple of `share`. The shares of all tenants are normalized to a sum of 1.
    #[serde(default = "Tenant::default_usage")]
    pub usage: Range,
    /// Additional factor on `usage` over time.
    #[serde(default)]
    pub usage_over_time: Curve,
}

impl Tenant {
    fn default_usage() -> Range {
        Range::new(0.52, 1.4)
    }

    /// The default tenants: the three member houses of the operators.
    pub(in crate::scenario) fn default_tenants() -> Vec<Self> {
        let house = |name: &str, share, min, max| Tenant {
            name: name.to_owned(),
            share,
            usage: Range::new(min, max),
            usage_over_time: Curve::default(),
        };
        vec![
            house("editora-pampa", 0.45, 0.52, 1.4),
            house("casa-coral-sul", 0.37, 0.58, 1.3),
            house("musica-serra", 0.18, 0.66, 1.4),
        ]
    }
}

/// Groups of sessions. The sessions of a group edit the same score and share work.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Groups {
    /// Mean number of standing sessions in a group.
    pub mean_size: Range,
    /// Exponent of Zipf's law, which the sizes of the groups follow.
    pub zipf: Range,
    /// Cost of each group that has a session on a render node, in mean connection loads.
    pub cost: Range,
}

impl Default for Groups {
    fn default() -> Self {
        Groups { mean_size: Range::new(35.0, 53.0), zipf: Range::new(0.88, 1.1), cost: Range::new(3.0, 3.0) }
    }
}
