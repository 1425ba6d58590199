//! What a aggregator has been told, and the sums of it. Each member counts with its newest report, as long as that is fresh.

use crate::wire::{
    EndpointDigest, Entry, FleetSummary, HealthVerdict, MIN_REPORTED_UTILIZATION, Report, Totals,
    write_summary,
};
use crate::{Micros, Settings, report_interval};
use std::collections::{BTreeMap, BTreeSet};

/// Load that each group adds to each endpoint which holds any of it, in mean connection loads: the platform's figure,
/// which no setting carries.
pub(crate) const GROUP_COST: f64 = 3.0;
/// A report counts for so many halves of the time to its sender's next one: two may be lost.
pub(crate) const KEPT_HALVES: i64 = 5;
/// No report counts for more than so many times what 19 of 20 report. Guards against a member that lies: what one or two
/// of 40 member_report doesn't move this mark, and clients never come as unevenly.
pub(crate) const MOST_OF_USUAL: f64 = 2.0;
/// ... and this much, connections or any a second, where most have none.
pub(crate) const ALWAYS: f64 = 4.0;
const ALWAYS_PER_S: f64 = 0.5;
/// Mean load of a connection beside the median of what members report.
const MOST_LOAD: f64 = 4.0;
/// A node on which this many times the usual number of proxies, for its size, have just set up connections is told as used by
/// 0.4 at least. Guards against a crowd that all send to the same node before the next table shows what came of it.
const SETTLES: f64 = 1.5;
/// So many must agree on a word: one alone may itself be cut off.
const AGREED: u32 = 2;
/// A table is made anew after this: with 300 reports a second most would be made for nothing.
const REMADE: Micros = 100_000;
/// A aggregator that hears the first reports waits so long for the others'.
const YOUNG: Micros = 1_200_000;
/// No report says that the next comes sooner than this.
pub(crate) const LEAST_NEXT: Micros = 200_000;

/// What one member reports.
#[derive(Clone, Debug)]
pub struct MemberReport {
    until: Micros,
    next: Micros,
    bytes: usize,
    generation: u16,
    parts: u8,
    come: u16,
    totals: Totals,
    entries: Vec<(u16, Entry)>,
}

impl MemberReport {
    fn is_whole(&self) -> bool {
        self.come.count_ones() >= u32::from(self.parts)
    }

    /// Those of the newest report; where a part of that is lost, older ones of the same endpoints stand for it.
    fn counted(&self) -> impl Iterator<Item = &Entry> {
        let whole = self.is_whole();
        self.entries
            .iter()
            .filter(move |(generation, _)| !whole || *generation == self.generation)
            .map(|(_, e)| e)
    }
}

/// Summed for one endpoint.
#[derive(Clone, Debug, Default)]
struct Sum {
    load: f64,
    groups: BTreeSet<u8>,
    well: u32,
    unwell: u32,
}

/// All that was reported.
#[derive(Debug, Default)]
pub struct Aggregation {
    reports: BTreeMap<u32, MemberReport>,
    since: Option<Micros>,
    table: Option<(Micros, FleetSummary)>,
    beside: f64,
}

impl Aggregation {
    /// A report has come, in a datagram of so many bytes.
    pub fn take(&mut self, now: Micros, from: u32, bytes: usize, report: Report) {
        self.forget_old(now);
        self.since.get_or_insert(now);
        if report.leaving {
            self.reports.remove(&from);
            return;
        }
        let (generation, bit) = (report.generation, 1_u16 << report.part.0);
        let fresh = MemberReport {
            until: now,
            next: report.next,
            bytes: 0,
            generation,
            parts: report.part.1,
            come: 0,
            totals: report.totals,
            entries: Vec::new(),
        };
        let member_report = self.reports.entry(from).or_insert_with(|| fresh.clone());
        let newer = generation.wrapping_sub(member_report.generation) as i16;
        if newer < 0 && newer > -16 {
            // Overtaken on the way. One that is far behind is of a new process.
            return;
        }
        if newer != 0 {
            let kept = if newer == 1 && !member_report.is_whole() {
                Vec::new()
            } else {
                std::mem::take(&mut member_report.entries)
            };
            let before = member_report.generation;
            *member_report = fresh;
            // The last report stands for parts that are still to come.
            member_report.entries = kept.into_iter().filter(|(g, _)| *g == before && newer > 0).collect();
        }
        member_report.until = now + KEPT_HALVES * report.next.max(LEAST_NEXT) / 2;
        if member_report.come & bit == 0 {
            member_report.bytes += bytes;
        }
        member_report.come |= bit;
        let named: BTreeSet<EndpointDigest> = report.entries.iter().map(|entry| entry.endpoint).collect();
        member_report.entries.retain(|(_, entry)| !named.contains(&entry.endpoint));
        member_report.entries.extend(report.entries.into_iter().map(|entry| (generation, entry)));
    }

    /// So many bytes go to and fro with each report beside it and its answer.
    pub fn set_beside(&mut self, bytes: f64) {
        self.beside = bytes;
    }

    /// Whether this member reports.
    pub fn has(&self, member: u32) -> bool {
        self.reports.contains_key(&member)
    }

    /// Connections of all that report, and of those that are chosen, none counted for more than it can have.
    pub fn connections(&self, chosen: impl Fn(u32) -> bool) -> (f64, f64) {
        let most = self.most(ALWAYS, |totals| f64::from(totals.connections));
        let count = |member_report: &MemberReport| f64::from(member_report.totals.connections).min(most);
        let all = self.reports.values().map(count).sum();
        (
            all,
            self.reports
                .iter()
                .filter(|(member, _)| chosen(**member))
                .map(|(_, member_report)| count(member_report))
                .sum(),
        )
    }

    fn forget_old(&mut self, now: Micros) {
        self.reports.retain(|_, member_report| now <= member_report.until);
        if self.reports.is_empty() {
            // Whoever reports next is the first of a new time as aggregator.
            self.since = None;
        }
    }

    /// The table as of now; `size` gives a endpoint's capacity in microseconds of work a second, `None` where it isn't
    /// listed.
    pub fn table(
        &mut self,
        settings: &Settings,
        now: Micros,
        size: impl Fn(EndpointDigest) -> Option<f64>,
    ) -> FleetSummary {
        if let Some((made, table)) = &self.table
            && now - made < REMADE
        {
            return table.clone();
        }
        self.forget_old(now);
        // Each of the others reports within the longest time that one has announced.
        let longest = self.reports.values().map(|member_report| member_report.next).max().unwrap_or(0);
        let turn = longest.clamp(YOUNG, settings.longest_period.max(YOUNG));
        let young = self.since.is_none_or(|since| now - since < turn);
        let mut table = self.sum(young, size);
        table.period = self.period(settings, &table);
        self.table = Some((now, table.clone()));
        table
    }

    /// The tier's ceiling, divided: the same for all, so that nobody's report ages out before the next.
    fn period(&self, settings: &Settings, table: &FleetSummary) -> Micros {
        let reports: usize = self.reports.values().map(|member_report| member_report.bytes).sum();
        let tables: usize = write_summary(table).iter().map(Vec::len).sum();
        let bytes = reports as f64 / self.reports.len().max(1) as f64 + tables as f64 + self.beside;
        report_interval::period(settings, f64::from(table.members), bytes, table.totals.requests_per_s)
    }

    fn sum(&self, young: bool, size: impl Fn(EndpointDigest) -> Option<f64>) -> FleetSummary {
        let most = self.most(ALWAYS, |totals| f64::from(totals.connections));
        let most_requests = self.most(ALWAYS_PER_S, |totals| totals.requests_per_s);
        let most_well = self.most(ALWAYS_PER_S, |totals| totals.successes_per_s);
        let most_failed = self.most(ALWAYS_PER_S, |totals| totals.failures_per_s);
        let mut means: Vec<f64> = self.reports.values().filter_map(mean).collect();
        means.sort_by(f64::total_cmp);
        let most_load = MOST_LOAD * means.get(means.len() / 2).copied().unwrap_or(0.0) * most;
        let mut totals = Totals::default();
        let (mut load, mut connections) = (0.0, 0.0);
        let mut sums: BTreeMap<EndpointDigest, Sum> = BTreeMap::new();
        for member_report in self.reports.values() {
            let claimed: f64 = member_report.counted().map(|entry| entry.load).sum();
            let part = if claimed > most_load { most_load / claimed } else { 1.0 };
            let count = f64::from(member_report.totals.connections).min(most);
            totals.connections += count as u32;
            totals.requests_per_s += member_report.totals.requests_per_s.min(most_requests);
            totals.successes_per_s += member_report.totals.successes_per_s.min(most_well);
            totals.failures_per_s += member_report.totals.failures_per_s.min(most_failed);
            load += claimed * part;
            connections += count;
            let mut groups_left = most as usize;
            for entry in member_report.counted() {
                let sum = sums.entry(entry.endpoint).or_default();
                sum.load += entry.load * part;
                for group in entry.groups.iter().take(groups_left) {
                    sum.groups.insert(*group);
                }
                groups_left = groups_left.saturating_sub(entry.groups.len());
                sum.well += u32::from(entry.health == HealthVerdict::Healthy);
                sum.unwell += u32::from(entry.health == HealthVerdict::Unhealthy);
            }
        }
        let mean = if connections > 0.0 { load / connections } else { 0.0 };
        let taken: f64 = sums.values().map(|sum| f64::from(sum.well)).sum();
        let sizes: f64 = sums.keys().filter_map(|node| size(*node)).sum();
        let settles = |well: u32, size: f64| {
            well >= AGREED && f64::from(well) / size.max(1.0) > SETTLES * taken / sizes.max(1.0)
        };
        let node = |(endpoint, sum): (EndpointDigest, Sum)| {
            let used = size(endpoint).map_or(0.0, |size| {
                let used = (sum.load + GROUP_COST * mean * sum.groups.len() as f64) / size.max(1.0);
                if settles(sum.well, size) { used.max(MIN_REPORTED_UTILIZATION) } else { used }
            });
            let word = match (sum.well, sum.unwell) {
                (well, unwell) if unwell >= AGREED && unwell > well => HealthVerdict::Unhealthy,
                (AGREED.., 0) => HealthVerdict::Healthy,
                _ => HealthVerdict::Unknown,
            };
            (endpoint, used, word)
        };
        let nodes = sums.into_iter().map(node).collect();
        let members = self.reports.len() as u32;
        FleetSummary {
            generation: 0,
            part: (0, 1),
            young,
            period: 0,
            members,
            totals,
            mean_load: mean,
            nodes,
        }
    }

    /// The most of a figure that one member's report counts for.
    fn most(&self, always: f64, figure: impl Fn(&Totals) -> f64) -> f64 {
        let mut all: Vec<f64> =
            self.reports.values().map(|member_report| figure(&member_report.totals)).collect();
        all.sort_by(f64::total_cmp);
        // The 19th of 20: with 40 members two may member_report what they like.
        let mark = all.get((all.len() * 19 / 20).saturating_sub(1)).copied().unwrap_or(0.0);
        MOST_OF_USUAL * mark + always
    }
}

fn mean(member_report: &MemberReport) -> Option<f64> {
    let load: f64 = member_report.counted().map(|entry| entry.load).sum();
    (member_report.totals.connections > 0).then(|| load / f64::from(member_report.totals.connections))
}

#[cfg(test)]
#[path = "aggregation_tests.rs"]
mod tests;
