//! How far a render node is utilised, and how long a message then takes there.

use cottonnotch_decision::{Micros, ServerId};
use std::collections::BTreeMap;

/// A snapshot of the fleet is valid for so many of its periods: two of the next may be lost.
const FLEET_VALID_PERIODS: Micros = 3;

/// Utilisations at which a message takes a third, and half, of the latency objective.
#[derive(Clone, Copy, Debug)]
struct Thresholds {
    busy: f64,
    overloaded: f64,
}

/// Where the other proxies' load is only guessed, which is biased low.
const GUESSED: Thresholds = Thresholds { busy: 0.6, overloaded: 1.0 };
/// Where the other proxies have reported their load.
const REPORTED: Thresholds = Thresholds { busy: 0.85, overloaded: 1.15 };
/// Where the aggregator reports the sum of all proxies: loads swing within seconds, and the sum is some seconds old. Render
/// nodes dropped connections at an estimate of 0.5 (calm day); the best of seven pairs that were tried.
const AGGREGATED: Thresholds = Thresholds { busy: 0.4, overloaded: 0.7 };
/// Beyond `overloaded`, each such part of utilisation adds [`OBJECTIVES_PER_BACKLOG`] objectives: work piles up.
const BACKLOG_STEP: f64 = 0.7;
const OBJECTIVES_PER_BACKLOG: f64 = 5.0;
/// More steps of backlog than this are not told apart.
const MAX_BACKLOG_STEPS: f64 = 3.0;

/// Where an estimate of utilisation comes from.
#[derive(Clone, Copy, Debug)]
pub(super) enum Evidence {
    /// The aggregator's sum over all proxies.
    Aggregated,
    /// This proxy's own connections and the peers' reports; the fraction of the peers' load that was reported, 0 to 1.
    Peers { reported: f64 },
}

/// Estimated load over capacity of one render node.
#[derive(Clone, Copy, Debug)]
pub(super) struct Utilisation {
    /// Load over capacity.
    pub ratio: f64,
    /// What the estimate stands on.
    pub evidence: Evidence,
}

impl Utilisation {
    /// Time of a message at a render node that is utilised so far, under this latency objective in microseconds.
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
                busy: GUESSED.busy + (REPORTED.busy - GUESSED.busy) * reported,
                overloaded: GUESSED.overloaded + (REPORTED.overloaded - GUESSED.overloaded) * reported,
            },
        }
    }
}

/// The utilisation by all proxies together, as the aggregator reported it.
#[derive(Debug)]
pub struct FleetUtilisation {
    valid_until: Micros,
    mean_load: f64,
    ratios: BTreeMap<ServerId, f64>,
}

impl FleetUtilisation {
    /// Reported at that time; the next report comes after about a `period`. `ratios` are load over capacity by render node
    /// (those that are not named have little), and `mean_load` is a connection's, in microseconds of work a second.
    pub fn new(at: Micros, period: Micros, mean_load: f64, ratios: BTreeMap<ServerId, f64>) -> Self {
        FleetUtilisation { valid_until: at + FLEET_VALID_PERIODS * period, mean_load, ratios }
    }

    /// Whether it still counts.
    pub(super) fn is_valid(&self, now: Micros) -> bool {
        self.valid_until > now
    }

    /// The mean load of a connection, if one was reported.
    pub(super) fn mean_load(&self) -> Option<f64> {
        (self.mean_load > 0.0).then_some(self.mean_load)
    }

    /// The utilisation of one render node.
    pub(super) fn of(&self, server: ServerId) -> Utilisation {
        let ratio = self.ratios.get(&server).copied().unwrap_or(0.0);
        Utilisation { ratio, evidence: Evidence::Aggregated }
    }
}
