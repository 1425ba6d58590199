//! Connection seconds that were requested and that were well served, for each second of the run, summed exactly in
//! microseconds.

use crate::plan::{Plan, SessionId};
use crate::time::{Micros, S};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Length of the worst window, in seconds.
const WINDOW_SECONDS: usize = 10;
/// Weights of the mixed figure (BRIEF, "Weights of service").
const MIX_WEIGHTS: [f64; 4] = [0.3, 0.3, 0.3, 0.1];

/// Service ratios, 0 to 1; none where nothing was requested.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Ratios {
    /// The whole measured run.
    pub whole: Option<f64>,
    /// The worst 10 s, sliding by 1 s; the whole run if it is shorter.
    pub worst_window: Option<f64>,
    /// When that began.
    pub worst_window_from: Micros,
    /// The worst class, and its name.
    pub worst_class: Option<f64>,
    /// The same.
    pub worst_class_name: String,
    /// The worst tenant within its share, and its name.
    pub worst_tenant: Option<f64>,
    /// The same.
    pub worst_tenant_name: String,
    /// 0.3, 0.3, 0.3 and 0.1 of these.
    pub mix: Option<f64>,
}

/// Weighted connection seconds in each second from the start of the measured part.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Service {
    /// Requested.
    pub wanted: Vec<f64>,
    /// Well served.
    pub well: Vec<f64>,
    /// The ratios computed from them.
    pub ratios: Ratios,
}

/// The time in which one session requests a connection, and up to when its service has been counted.
#[derive(Clone, Copy, Debug)]
struct Demand {
    from: Micros,
    until: Micros,
    counted: Micros,
}

/// Incremental sums over the run.
#[derive(Debug)]
pub(super) struct ServiceSums {
    from: Micros,
    ends: Micros,
    weights: Vec<f64>,
    quotas: Vec<f64>,
    /// Class and tenant of each session, as one number.
    cells: Vec<usize>,
    demands: Vec<Option<Demand>>,
    /// How many sessions of each cell request a connection now, when they end, and up to when that is summed.
    active: Vec<i64>,
    endings: BinaryHeap<Reverse<(Micros, usize)>>,
    summed: Micros,
    /// For each second and cell, in microseconds.
    wanted: Vec<i64>,
    well: Vec<i64>,
    /// For each second and tenant: weighted microseconds requested within the tenant's quota.
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
            from: plan.measured_from,
            ends: plan.ends,
            weights,
            quotas,
            cells: plan.sessions.iter().map(|s| cell(s.class, s.tenant)).collect(),
            demands: vec![None; plan.sessions.len()],
            active: vec![0; classes * tenants],
            endings: BinaryHeap::new(),
            summed: plan.measured_from,
            wanted: vec![0; classes * tenants * seconds],
            well: vec![0; classes * tenants * seconds],
            within_quota: vec![0.0; tenants * seconds],
        }
    }

    /// A session requests a connection from now on. An unknown session, or a second request, changes nothing.
    pub fn wanted(&mut self, at: Micros, session: SessionId, until: Micros) {
        self.sum_to(at);
        let Some(demand @ None) = self.demands.get_mut(session.0 as usize) else { return };
        *demand = Some(Demand { from: at, until, counted: at });
        let cell = self.cells[session.0 as usize];
        if until > at {
            self.active[cell] += 1;
            self.endings.push(Reverse((until, cell)));
        }
    }

    /// A span of a session is over. Time that the session did not request, or that is already counted, is ignored.
    pub fn served(&mut self, at: Micros, session: SessionId, from: Micros, well: bool) {
        let Some(Some(demand)) = self.demands.get_mut(session.0 as usize) else { return };
        let (from, to) = (from.max(demand.from).max(demand.counted), at.min(demand.until));
        demand.counted = demand.counted.max(to);
        if well {
            let cell = self.cells[session.0 as usize];
            let (start, cells) = (self.from, self.active.len());
            for (second, span) in split_by_second(start, from, to.min(self.ends)) {
                if let Some(sum) = self.well.get_mut(second * cells + cell) {
                    *sum += span;
                }
            }
        }
    }

    fn sum_to(&mut self, at: Micros) {
        while let Some(&Reverse((until, cell))) =
            self.endings.peek().filter(|Reverse((until, _))| *until <= at)
        {
            self.sum_constant(until);
            self.active[cell] -= 1;
            self.endings.pop();
        }
        self.sum_constant(at);
    }

    /// Sums up to `to`, with a constant number of active sessions.
    fn sum_constant(&mut self, to: Micros) {
        let to = to.min(self.ends);
        if to <= self.summed {
            return;
        }
        let (classes, cells, tenants) = (self.weights.len(), self.active.len(), self.quotas.len());
        for (second, span) in split_by_second(self.from, self.summed, to) {
            for (cell, active) in self.active.iter().enumerate() {
                self.wanted[second * cells + cell] += active * span;
            }
            for (tenant, quota) in self.quotas.iter().enumerate() {
                let active = &self.active[tenant * classes..(tenant + 1) * classes];
                let weight: f64 =
                    active.iter().zip(&self.weights).map(|(count, weight)| *count as f64 * weight).sum();
                let count = active.iter().sum::<i64>() as f64;
                // A quota of 0 means no quota.
                let share = if *quota > 0.0 && count > *quota { quota / count } else { 1.0 };
                self.within_quota[second * tenants + tenant] += weight * share * span as f64;
            }
        }
        self.summed = to;
    }

    /// Ends the sums at `at` and computes the ratios.
    pub fn finish(mut self, at: Micros, plan: &Plan) -> Service {
        self.sum_to(at);
        let seconds = usize::try_from((at.min(self.ends) - self.from + S - 1) / S).unwrap_or(0);
        let (wanted, well) = (self.by_second(&self.wanted, seconds), self.by_second(&self.well, seconds));
        let mut ratios = Ratios { whole: ratio(wanted.iter().sum(), well.iter().sum()), ..Ratios::default() };
        let size = WINDOW_SECONDS.min(seconds.max(1));
        let windows = wanted.windows(size).zip(well.windows(size)).enumerate();
        for (second, (wanted, well)) in windows {
            if replace_if_worse(&mut ratios.worst_window, ratio(wanted.iter().sum(), well.iter().sum())) {
                ratios.worst_window_from = self.from + second as Micros * S;
            }
        }
        let classes = self.weights.len();
        for class in 0..classes {
            let sum = |cells: &[i64]| cells.iter().skip(class).step_by(classes).sum::<i64>() as f64;
            if replace_if_worse(&mut ratios.worst_class, ratio(sum(&self.wanted), sum(&self.well))) {
                ratios.worst_class_name = plan.classes.get(class).map(|c| c.name.clone()).unwrap_or_default();
            }
        }
        for tenant in 0..self.quotas.len() {
            if replace_if_worse(&mut ratios.worst_tenant, self.within_share(tenant)) {
                ratios.worst_tenant_name =
                    plan.tenants.get(tenant).map(|t| t.name.clone()).unwrap_or_default();
            }
        }
        let parts = [ratios.whole, ratios.worst_window, ratios.worst_class, ratios.worst_tenant];
        ratios.mix = MIX_WEIGHTS.iter().zip(parts).map(|(weight, part)| Some(weight * part?)).sum();
        Service { wanted, well, ratios }
    }

    /// Weighted connection seconds of each second.
    fn by_second(&self, sums: &[i64], seconds: usize) -> Vec<f64> {
        let classes = self.weights.len();
        let weighted = |cells: &[i64]| -> f64 {
            cells.iter().enumerate().map(|(cell, sum)| *sum as f64 / 1e6 * self.weights[cell % classes]).sum()
        };
        sums.chunks(self.active.len()).take(seconds).map(weighted).collect()
    }

    /// A tenant's service: in each second at most the demand within its quota is requested, and at most that counts.
    fn within_share(&self, tenant: usize) -> Option<f64> {
        let (classes, cells, tenants) = (self.weights.len(), self.active.len(), self.quotas.len());
        let (mut wanted, mut well) = (0.0, 0.0);
        for (second, sums) in self.well.chunks(cells).enumerate() {
            let within_quota = self.within_quota[second * tenants + tenant];
            let served = &sums[tenant * classes..(tenant + 1) * classes];
            let served: f64 =
                served.iter().zip(&self.weights).map(|(sum, weight)| *sum as f64 * weight).sum();
            wanted += within_quota;
            well += served.min(within_quota);
        }
        ratio(wanted, well)
    }
}

/// Splits a span at whole seconds since `start`; the part before `start` is ignored.
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

fn ratio(wanted: f64, well: f64) -> Option<f64> {
    (wanted > 0.0).then(|| well / wanted)
}

/// Replaces `worst` if `other` is worse; says whether it did.
fn replace_if_worse(worst: &mut Option<f64>, other: Option<f64>) -> bool {
    let is = other.is_some_and(|other| worst.is_none_or(|worst| other < worst));
    if is {
        *worst = other;
    }
    is
}
