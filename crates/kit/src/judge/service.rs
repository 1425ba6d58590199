//! Connection seconds: those asked for and those well served, each second of the run, to the microsecond.

use crate::plan::{Plan, SessionId};
use crate::time::{Micros, S};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The worst window is this many seconds long.
const WINDOW: usize = 10;
/// Parts of the mix (BRIEF, "Weights of service").
const MIX: [f64; 4] = [0.3, 0.3, 0.3, 0.1];

/// Parts of the service; none where nothing was asked for.
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

/// Worth asked for and well served in each second from the start of the measured part.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Service {
    /// Asked for.
    pub wanted: Vec<f64>,
    /// Well served.
    pub well: Vec<f64>,
    /// What follows from them.
    pub ratios: Ratios,
}

/// What one session asks for, and until when its service is counted.
#[derive(Clone, Copy, Debug)]
struct Wish {
    from: Micros,
    until: Micros,
    counted: Micros,
}

/// Sums up as the run goes on.
#[derive(Debug)]
pub(super) struct Sums {
    from: Micros,
    ends: Micros,
    worth: Vec<f64>,
    quotas: Vec<f64>,
    /// Class and tenant of each session, as one number.
    cells: Vec<usize>,
    wishes: Vec<Option<Wish>>,
    /// How many sessions of each cell want a connection now; when they cease; how far that is summed up.
    live: Vec<i64>,
    ceasing: BinaryHeap<Reverse<(Micros, usize)>>,
    summed: Micros,
    /// For each second and cell, in microseconds.
    wanted: Vec<i64>,
    well: Vec<i64>,
    /// For each second and tenant: worth asked for within its share, in microseconds times worth.
    within: Vec<f64>,
}

impl Sums {
    pub fn new(plan: &Plan) -> Self {
        let (classes, tenants) = (plan.classes.len().max(1), plan.tenants.len().max(1));
        let seconds = usize::try_from((plan.ends - plan.measured_from + S - 1) / S).unwrap_or(0);
        let cell = |class: u8, tenant: u8| {
            usize::from(class).min(classes - 1) + classes * usize::from(tenant).min(tenants - 1)
        };
        let mut worth: Vec<f64> = plan.classes.iter().map(|c| c.worth).collect();
        worth.resize(classes, 1.0);
        let mut quotas: Vec<f64> = plan.tenants.iter().map(|t| t.quota_connections).collect();
        quotas.resize(tenants, 0.0);
        Sums {
            from: plan.measured_from,
            ends: plan.ends,
            worth,
            quotas,
            cells: plan.sessions.iter().map(|s| cell(s.class, s.tenant)).collect(),
            wishes: vec![None; plan.sessions.len()],
            live: vec![0; classes * tenants],
            ceasing: BinaryHeap::new(),
            summed: plan.measured_from,
            wanted: vec![0; classes * tenants * seconds],
            well: vec![0; classes * tenants * seconds],
            within: vec![0.0; tenants * seconds],
        }
    }

    /// A session wants a connection from now on. One that is not the plan's, or wished before, changes nothing.
    pub fn wanted(&mut self, at: Micros, session: SessionId, until: Micros) {
        self.sum_to(at);
        let Some(wish @ None) = self.wishes.get_mut(session.0 as usize) else { return };
        *wish = Some(Wish { from: at, until, counted: at });
        let cell = self.cells[session.0 as usize];
        if until > at {
            self.live[cell] += 1;
            self.ceasing.push(Reverse((until, cell)));
        }
    }

    /// A span of a session's is over. What it did not ask for, and what is counted already, is left out.
    pub fn served(&mut self, at: Micros, session: SessionId, from: Micros, well: bool) {
        let Some(Some(wish)) = self.wishes.get_mut(session.0 as usize) else { return };
        let (from, to) = (from.max(wish.from).max(wish.counted), at.min(wish.until));
        wish.counted = wish.counted.max(to);
        if well {
            let cell = self.cells[session.0 as usize];
            let (start, cells) = (self.from, self.live.len());
            for (second, span) in pieces(start, from, to.min(self.ends)) {
                if let Some(sum) = self.well.get_mut(second * cells + cell) {
                    *sum += span;
                }
            }
        }
    }

    fn sum_to(&mut self, at: Micros) {
        while let Some(&Reverse((until, cell))) =
            self.ceasing.peek().filter(|Reverse((until, _))| *until <= at)
        {
            self.sum_evenly(until);
            self.live[cell] -= 1;
            self.ceasing.pop();
        }
        self.sum_evenly(at);
    }

    /// As long as nobody comes or goes.
    fn sum_evenly(&mut self, to: Micros) {
        let to = to.min(self.ends);
        if to <= self.summed {
            return;
        }
        let (classes, cells, tenants) = (self.worth.len(), self.live.len(), self.quotas.len());
        for (second, span) in pieces(self.from, self.summed, to) {
            for (cell, live) in self.live.iter().enumerate() {
                self.wanted[second * cells + cell] += live * span;
            }
            for (tenant, quota) in self.quotas.iter().enumerate() {
                let live = &self.live[tenant * classes..(tenant + 1) * classes];
                let worth: f64 = live.iter().zip(&self.worth).map(|(n, worth)| *n as f64 * worth).sum();
                let count = live.iter().sum::<i64>() as f64;
                // A quota of 0 is none.
                let share = if *quota > 0.0 && count > *quota { quota / count } else { 1.0 };
                self.within[second * tenants + tenant] += worth * share * span as f64;
            }
        }
        self.summed = to;
    }

    /// The run is over.
    pub fn finish(mut self, at: Micros, plan: &Plan) -> Service {
        self.sum_to(at);
        let seconds = usize::try_from((at.min(self.ends) - self.from + S - 1) / S).unwrap_or(0);
        let (wanted, well) = (self.by_second(&self.wanted, seconds), self.by_second(&self.well, seconds));
        let mut ratios = Ratios { whole: ratio(wanted.iter().sum(), well.iter().sum()), ..Ratios::default() };
        let size = WINDOW.min(seconds.max(1));
        let windows = wanted.windows(size).zip(well.windows(size)).enumerate();
        for (second, (wanted, well)) in windows {
            if worse(&mut ratios.worst_window, ratio(wanted.iter().sum(), well.iter().sum())) {
                ratios.worst_window_from = self.from + second as Micros * S;
            }
        }
        let classes = self.worth.len();
        for class in 0..classes {
            let sum = |cells: &[i64]| cells.iter().skip(class).step_by(classes).sum::<i64>() as f64;
            if worse(&mut ratios.worst_class, ratio(sum(&self.wanted), sum(&self.well))) {
                ratios.worst_class_name = plan.classes.get(class).map(|c| c.name.clone()).unwrap_or_default();
            }
        }
        for tenant in 0..self.quotas.len() {
            if worse(&mut ratios.worst_tenant, self.within_share(tenant)) {
                ratios.worst_tenant_name =
                    plan.tenants.get(tenant).map(|t| t.name.clone()).unwrap_or_default();
            }
        }
        let parts = [ratios.whole, ratios.worst_window, ratios.worst_class, ratios.worst_tenant];
        ratios.mix = MIX.iter().zip(parts).map(|(weight, part)| Some(weight * part?)).sum();
        Service { wanted, well, ratios }
    }

    /// Worth of each second.
    fn by_second(&self, sums: &[i64], seconds: usize) -> Vec<f64> {
        let classes = self.worth.len();
        let worth = |cells: &[i64]| -> f64 {
            cells.iter().enumerate().map(|(cell, sum)| *sum as f64 / 1e6 * self.worth[cell % classes]).sum()
        };
        sums.chunks(self.live.len()).take(seconds).map(worth).collect()
    }

    /// A tenant's service: in each second, no more is asked for, and no more counts, than is within its share.
    fn within_share(&self, tenant: usize) -> Option<f64> {
        let (classes, cells, tenants) = (self.worth.len(), self.live.len(), self.quotas.len());
        let (mut wanted, mut well) = (0.0, 0.0);
        for (second, sums) in self.well.chunks(cells).enumerate() {
            let within = self.within[second * tenants + tenant];
            let served = &sums[tenant * classes..(tenant + 1) * classes];
            let served: f64 = served.iter().zip(&self.worth).map(|(sum, worth)| *sum as f64 * worth).sum();
            wanted += within;
            well += served.min(within);
        }
        ratio(wanted, well)
    }
}

/// A span cut at the seconds since `start`; what lies before that is left out.
fn pieces(start: Micros, from: Micros, to: Micros) -> impl Iterator<Item = (usize, Micros)> {
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

/// Takes the worse of two.
fn worse(worst: &mut Option<f64>, other: Option<f64>) -> bool {
    let is = other.is_some_and(|other| worst.is_none_or(|worst| other < worst));
    if is {
        *worst = other;
    }
    is
}
