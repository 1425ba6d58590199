//! Estimates of render nodes' utilisation, and of the message latency at a given utilisation.

use cottonnotch_decision::{Micros, ServerId};
use std::collections::BTreeMap;

/// Number of report periods for which a snapshot of the fleet is valid, so that two following snapshots may be lost.
const FLEET_VALID_PERIODS: Micros = 3;

/// Utilisations at which a message takes a third (`busy`) and half (`overloaded`) of the latency objective.
#[derive(Clone, Copy, Debug)]
struct Thresholds {
    busy: f64,
    overloaded: f64,
}

/// Thresholds if the other proxies' load is only estimated. That estimate is biased low.
const ESTIMATED: Thresholds = Thresholds { busy: 0.6, overloaded: 1.0 };
/// Thresholds if the other proxies have reported their load.
const REPORTED: Thresholds = Thresholds { busy: 0.85, overloaded: 1.15 };
/// Thresholds if the aggregator reports the sum over all proxies. They are lower since loads vary within seconds and the sum is
/// some seconds old: in scenario calm day, render nodes dropped connections at an estimate of 0.5.
const AGGREGATED: Thresholds = Thresholds { busy: 0.4, overloaded: 0.7 };
/// Utilisation above `overloaded` that adds [`OBJECTIVES_PER_BACKLOG`] latency objectives to the latency, as work queues up.
const BACKLOG_STEP: f64 = 0.7;
/// Latency objectives added for each [`BACKLOG_STEP`].
const OBJECTIVES_PER_BACKLOG: f64 = 5.0;
/// Maximum number of backlog steps. A larger backlog gives the same latency.
const MAX_BACKLOG_STEPS: f64 = 3.0;

/// The source of an estimate of utilisation.
#[derive(Clone, Copy, Debug)]
pub(super) enum Evidence {
    /// The aggregator's sum over all proxies.
    Aggregated,
    /// This proxy's own connections and the peers' reports. `reported` is the reported fraction of the peers' load, 0 to 1.
    Peers { reported: f64 },
}

/// Estimated utilisation of one render node.
#[derive(Clone, Copy, Debug)]
pub(super) struct Utilisation {
    /// Load over capacity.
    pub ratio: f64,
    /// The source of the estimate.
    pub evidence: Evidence,
}

impl Utilisation {
    /// Estimates the message latency at this utilisation. Latency and objective are in microseconds.
    pub fn message_latency(self, objective: f64) -> Micros {
        let Thresholds { busy, overloaded } = self.evidence.thresholds();
        let objectives = if self.ratio < busy {
            self.ratio / busy / 3.0
        } else if self.ratio < overloaded {
            0.34 + 0.16 * (self.ratio - busy) / (overloaded - busy)
        } else {
            0.5 + OBJECTIVES_PER_BACKLOG * ((self.ratio - overloaded) / BACKLOG_STEP).min(MAX_BACKLOG_STEPS)
        };
        (objectives * objective) as Micros
    }
}

impl Evidence {
    fn thresholds(self) -> Thresholds {
        match self {
            Evidence::Aggregated => AGGREGATED,
            Evidence::Peers { reported } => Thresholds {
                busy: ESTIMATED.busy + (REPORTED.busy - ESTIMATED.busy) * reported,
                overloaded: ESTIMATED.overloaded + (REPORTED.overloaded - ESTIMATED.overloaded) * reported,
            },
        }
    }
}

/// The render nodes' utilisation by all proxies together, as reported by the aggregator.
#[derive(Debug)]
pub struct FleetUtilisation {
    valid_until: Micros,
    mean_load: f64,
    ratios: BTreeMap<ServerId, f64>,
}

impl FleetUtilisation {
    /// Creates the utilisation from a report at the time `at`; the next report is expected after about `period`. `ratios` are load
    /// over capacity by render node, where missing nodes have little load. `mean_load` is the mean load of a connection, in
    /// microseconds of work per second.
    pub fn new(at: Micros, period: Micros, mean_load: f64, ratios: BTreeMap<ServerId, f64>) -> Self {
        FleetUtilisation { valid_until: at + FLEET_VALID_PERIODS * period, mean_load, ratios }
    }

    /// Whether the report is recent enough to be used.
    pub(super) fn is_valid(&self, now: Micros) -> bool {
        self.valid_until > now
    }

    /// Returns the mean load of a connection, if it was reported.
    pub(super) fn mean_load(&self) -> Option<f64> {
        (self.mean_load > 0.0).then_some(self.mean_load)
    }

    /// Returns the utilisation of one render node.
    pub(super) fn of(&self, server: ServerId) -> Utilisation {
        let ratio = self.ratios.get(&server).copied().unwrap_or(0.0);
        Utilisation { ratio, evidence: Evidence::Aggregated }
    }
}
