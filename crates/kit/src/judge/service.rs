//! Sums the connection seconds that were requested and those that were well served, for each second of the run. The
//! sums are exact, in integer microseconds.

use crate::plan::{Plan, SessionId};
use crate::time::{Micros, S};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Length of the sliding window for the worst window's ratio.
const WINDOW_SECONDS: usize = 10;
/// Weights of the whole run, the worst window, the worst class and the worst tenant in [`Ratios::mix`] (BRIEF, "Weights
/// of service").
const MIX_WEIGHTS: [f64; 4] = [0.3, 0.3, 0.3, 0.1];

/// Service ratios from 0 to 1: well-served connection seconds over requested ones, weighted by class. A ratio is `None`
/// if nothing was requested.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Ratios {
    /// Ratio of the whole measured part.
    pub whole: Option<f64>,
    /// Lowest ratio of a window of 10 s that slides by 1 s; the ratio of the whole measured part if that is shorter.
    pub worst_window: Option<f64>,
    /// Start of the worst window.
    pub worst_window_from: Micros,
    /// Lowest ratio of a class.
    pub worst_class: Option<f64>,
    /// Name of the class with the lowest ratio.
    pub worst_class_name: String,
    /// Lowest ratio of a tenant; demand above the tenant's quota does not count.
    pub worst_tenant: Option<f64>,
    /// Name of the tenant with the lowest ratio.
    pub worst_tenant_name: String,
    /// Weighted mean of the four ratios above, with weights 0.3, 0.3, 0.3 and 0.1.
    pub mix: Option<f64>,
}

/// Service in each second from the start of the measured part, in weighted connection seconds, and its ratios.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Service {
    /// Connection seconds that sessions requested.
    pub wanted: Vec<f64>,
    /// Connection seconds that were well served.
    pub well: Vec<f64>,
    /// Ratios of well-served to requested connection seconds.
    pub ratios: Ratios,
}

/// The time in which one session requests a connection.
#[derive(Clone, Copy, Debug)]
struct Demand {
    from: Micros,
    until: Micros,
    /// Up to when the session's service has been counted.
    counted_to: Micros,
}

/// Sums that are updated as the run proceeds. A cell is a pair of a class and a tenant, numbered
/// `class + classes * tenant`.
#[derive(Debug)]
pub(super) struct ServiceSums {
    /// Start of the measured part.
    measured_from: Micros,
    /// End of the run.
    run_end: Micros,
    /// Weight of each class.
    weights: Vec<f64>,
    /// Connection quota of each tenant; 0 means no quota.
    quotas: Vec<f64>,
    /// The cell of each session.
    cells: Vec<usize>,
    /// The demand of each session; `None` until the session requests a connection.
    demands: Vec<Option<Demand>>,
    /// Number of sessions of each cell that request a connection at `summed_to`.
    active: Vec<i64>,
    /// When the demand of each active session ends, with the session's cell.
    demand_ends: BinaryHeap<Reverse<(Micros, usize)>>,
    /// Up to when the requested time has been summed.
    summed_to: Micros,
    /// Requested microseconds in each second and cell.
    requested: Vec<i64>,
    /// Well-served microseconds in each second and cell.
    well_served: Vec<i64>,
    /// Weighted microseconds that were requested within the tenant's quota, in each second and tenant.
    within_quota: Vec<f64>,
}

impl ServiceSums {
    pub fn new(plan: &Plan) -> Self {
        let (classes, tenants) = (plan.classes.len().max(1), plan.tenants.len().max(1));
        let seconds = usize::try_from((plan.ends - plan.measured_from + S - 1) / S).unwrap_or(0);
        let cell = |class: u8, tenant: u8| {
            usize::from(class).min(classes - 1) + classes * usize::from(tenant).min(tenants - 1)
        };
        let mut weights: Vec<f64> = plan.classes.iter().map(|c| c.worth).collect();
        weights.resize(classes, 1.0);
        let mut quotas: Vec<f64> = plan.tenants.iter().map(|t| t.quota_connections).collect();
        quotas.resize(tenants, 0.0);
        ServiceSums {
            measured_from: plan.measured_from,
            run_end: plan.ends,
            weights,
            quotas,
            cells: plan.sessions.iter().map(|s| cell(s.class, s.tenant)).collect(),
            demands: vec![None; plan.sessions.len()],
            active: vec![0; classes * tenants],
            demand_ends: BinaryHeap::new(),
            summed_to: plan.measured_from,
            requested: vec![0; classes * tenants * seconds],
            well_served: vec![0; classes * tenants * seconds],
            within_quota: vec![0.0; tenants * seconds],
        }
    }

    /// Records that a session requests a connection from `at` until `until`. An unknown session and a second request of
    /// a session are ignored.
    pub fn record_demand(&mut self, at: Micros, session: SessionId, until: Micros) {
        self.sum_to(at);
        let Some(demand @ None) = self.demands.get_mut(session.0 as usize) else { return };
        *demand = Some(Demand { from: at, until, counted_to: at });
        let cell = self.cells[session.0 as usize];
        if until > at {
            self.active[cell] += 1;
            self.demand_ends.push(Reverse((until, cell)));
        }
    }

    /// Records a session's span from `from` to `at`, and whether the session was well served. Time that the session did
    /// not request, or that has been counted already, is ignored.
    pub fn record_span(&mut self, at: Micros, session: SessionId, from: Micros, well: bool) {
        let Some(Some(demand)) = self.demands.get_mut(session.0 as usize) else { return };
        let (from, to) = (from.max(demand.from).max(demand.counted_to), at.min(demand.until));
        demand.counted_to = demand.counted_to.max(to);
        if well {
            let cell = self.cells[session.0 as usize];
            let (start, cells) = (self.measured_from, self.active.len());
            for (second, span) in split_by_second(start, from, to.min(self.run_end)) {
                if let Some(sum) = self.well_served.get_mut(second * cells + cell) {
                    *sum += span;
                }
            }
        }
    }

    /// Sums the requested time up to `at`.
    fn sum_to(&mut self, at: Micros) {
        while let Some(&Reverse((until, cell))) =
            self.demand_ends.peek().filter(|Reverse((until, _))| *until <= at)
        {
            self.sum_interval(until);
            self.active[cell] -= 1;
            self.demand_ends.pop();
        }
        self.sum_interval(at);
    }

    /// Sums the requested time up to `to`, until when the number of active sessions does not change.
    fn sum_interval(&mut self, to: Micros) {
        let to = to.min(self.run_end);
        if to <= self.summed_to {
            return;
        }
        let (classes, cells, tenants) = (self.weights.len(), self.active.len(), self.quotas.len());
        for (second, span) in split_by_second(self.measured_from, self.summed_to, to) {
            for (cell, active) in self.active.iter().enumerate() {
                self.requested[second * cells + cell] += active * span;
            }
            for (tenant, quota) in self.quotas.iter().enumerate() {
                let active = &self.active[tenant * classes..(tenant + 1) * classes];
                let weight: f64 =
                    active.iter().zip(&self.weights).map(|(count, weight)| *count as f64 * weight).sum();
                let count = active.iter().sum::<i64>() as f64;
                let share = if *quota > 0.0 && count > *quota { quota / count } else { 1.0 };
                self.within_quota[second * tenants + tenant] += weight * share * span as f64;
            }
        }
        self.summed_to = to;
    }

    /// Ends the sums at `at` and computes the ratios.
    pub fn finish(mut self, at: Micros, plan: &Plan) -> Service {
        self.sum_to(at);
        let seconds = usize::try_from((at.min(self.run_end) - self.measured_from + S - 1) / S).unwrap_or(0);
        let (wanted, well) =
            (self.by_second(&self.requested, seconds), self.by_second(&self.well_served, seconds));
        let mut ratios = Ratios { whole: ratio(wanted.iter().sum(), well.iter().sum()), ..Ratios::default() };
        let size = WINDOW_SECONDS.min(seconds.max(1));
        let windows = wanted.windows(size).zip(well.windows(size)).enumerate();
        for (second, (wanted, well)) in windows {
            if replace_if_worse(&mut ratios.worst_window, ratio(wanted.iter().sum(), well.iter().sum())) {
                ratios.worst_window_from = self.measured_from + second as Micros * S;
            }
        }
        let classes = self.weights.len();
        for class in 0..classes {
            let sum = |cells: &[i64]| cells.iter().skip(class).step_by(classes).sum::<i64>() as f64;
            if replace_if_worse(&mut ratios.worst_class, ratio(sum(&self.requested), sum(&self.well_served)))
            {
                ratios.worst_class_name = plan.classes.get(class).map(|c| c.name.clone()).unwrap_or_default();
            }
        }
        for tenant in 0..self.quotas.len() {
            if replace_if_worse(&mut ratios.worst_tenant, self.ratio_within_quota(tenant)) {
                ratios.worst_tenant_name =
                    plan.tenants.get(tenant).map(|t| t.name.clone()).unwrap_or_default();
            }
        }
        let parts = [ratios.whole, ratios.worst_window, ratios.worst_class, ratios.worst_tenant];
        ratios.mix = MIX_WEIGHTS.iter().zip(parts).map(|(weight, part)| Some(weight * part?)).sum();
        Service { wanted, well, ratios }
    }

    /// Converts sums by second and cell into the weighted connection seconds of each second.
    fn by_second(&self, sums: &[i64], seconds: usize) -> Vec<f64> {
        let classes = self.weights.len();
        let weighted = |cells: &[i64]| -> f64 {
            cells.iter().enumerate().map(|(cell, sum)| *sum as f64 / 1e6 * self.weights[cell % classes]).sum()
        };
        sums.chunks(self.active.len()).take(seconds).map(weighted).collect()
    }

    /// The tenant's ratio of well-served to requested time within its quota. In each second both the requested and the
    /// well-served time are limited to the demand within the quota.
    fn ratio_within_quota(&self, tenant: usize) -> Option<f64> {
        let (classes, cells, tenants) = (self.weights.len(), self.active.len(), self.quotas.len());
        let (mut requested, mut well_served) = (0.0, 0.0);
        for (second, sums) in self.well_served.chunks(cells).enumerate() {
            let within_quota = self.within_quota[second * tenants + tenant];
            let served = &sums[tenant * classes..(tenant + 1) * classes];
            let served: f64 =
                served.iter().zip(&self.weights).map(|(sum, weight)| *sum as f64 * weight).sum();
            requested += within_quota;
            well_served += served.min(within_quota);
        }
        ratio(requested, well_served)
    }
}

/// Splits a span at whole seconds after `start`, and yields the number of the second and the length of each part. The
/// part before `start` is ignored.
fn split_by_second(start: Micros, from: Micros, to: Micros) -> impl Iterator<Item = (usize, Micros)> {
    let mut at = from.max(start);
    std::iter::from_fn(move || {
        if at >= to {
            return None;
        }
        let second = (at - start) / S;
        let end = to.min(start + (second + 1) * S);
        let span = end - at;
        at = end;
        Some((second as usize, span))
    })
}

fn ratio(requested: f64, well_served: f64) -> Option<f64> {
    (requested > 0.0).then(|| well_served / requested)
}

/// Replaces `worst` by `other` if that is lower or `worst` is `None`; returns whether it did.
fn replace_if_worse(worst: &mut Option<f64>, other: Option<f64>) -> bool {
    let is_worse = other.is_some_and(|other| worst.is_none_or(|worst| other < worst));
    if is_worse {
        *worst = other;
    }
    is_worse
}
