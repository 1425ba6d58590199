//! The group reports that an aggregator has received, and the sizes of the affinity subsets computed from them. Memory grows
//! with the number of members times the groups of a report; the wire format limits those groups. Group reports expire like load
//! reports.

use crate::affinity_subsets::{EndpointPool, MIN_SUBSET_SIZE, required_size};
use crate::fleet_sums::{ALLOWED_CONNECTIONS, MAX_OVER_P95};
use crate::member_report::{LIFETIME_HALF_INTERVALS, MIN_NEXT_REPORT_IN};
use crate::sequence::SequenceOrder;
use crate::wire::GroupReport;
use crate::{AffinitySettings, Micros, Settings};
use std::collections::BTreeMap;

/// Time for which computed sizes are reused. A group's load changes within minutes, and computing the sizes for 440 members
/// takes one or two milliseconds.
const SIZES_LIFETIME: Micros = 1_000_000;
/// Limit for extrapolating sums to members without a report, which are assumed to have the same load as the others. The limit
/// is twice the reported load: if two regions are partitioned, the connections of the unreachable half are still open.
const MAX_EXTRAPOLATION: f64 = 2.0;
/// Approximate number of bytes of one group in an answer.
const BYTES_PER_SIZE: usize = 10;

/// What the aggregator knows about the fleet from sources other than group reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetTotals {
    /// Number of configured members.
    pub configured_members: u32,
    /// Number of members with a load report.
    pub reporting_members: u32,
    /// Connections of the reporting members; each member counts up to the limit.
    pub connections: f64,
    /// Connections of the members that also report groups. Older program versions do not.
    pub connections_with_groups: f64,
    /// Mean load of a connection, in microseconds of work per second.
    pub mean_load: f64,
    /// The number and the mean capacity of the listed endpoints.
    pub endpoints: EndpointPool,
}

impl FleetTotals {
    /// The factor that extrapolates a sum over the members with group reports to all configured members.
    fn extrapolation(&self) -> f64 {
        let without_groups = if self.connections_with_groups > 0.0 {
            (self.connections / self.connections_with_groups).clamp(1.0, MAX_EXTRAPOLATION)
        } else {
            1.0
        };
        let members = f64::from(self.configured_members) / f64::from(self.reporting_members.max(1));
        without_groups * members.clamp(1.0, MAX_EXTRAPOLATION)
    }
}

/// One member's newest group report.
#[derive(Debug)]
struct MemberGroups {
    expires_at: Micros,
    sequence: u16,
    fragments: u8,
    /// Bit n is set if fragment n has arrived.
    fragments_received: u16,
    bytes: usize,
    /// Load of each group, with the sequence number of the report that contained it. Groups of the previous report stay until
    /// all fragments of the newest one have arrived.
    groups: BTreeMap<u64, (u16, f64)>,
}

impl MemberGroups {
    fn begin(now: Micros, report: &GroupReport) -> Self {
        MemberGroups {
            expires_at: now,
            sequence: report.sequence,
            fragments: report.fragment.count,
            fragments_received: 0,
            bytes: 0,
            groups: BTreeMap::new(),
        }
    }

    /// Begins a newer report. The groups of the previous report replace fragments that have not arrived yet.
    fn supersede(&mut self, report: &GroupReport, order: SequenceOrder) {
        let previous = self.sequence;
        let usable = order != SequenceOrder::Restarted;
        self.groups.retain(|_, (sequence, _)| usable && *sequence == previous);
        self.sequence = report.sequence;
        self.fragments = report.fragment.count;
        self.fragments_received = 0;
        self.bytes = 0;
    }

    fn add_fragment(&mut self, bytes: usize, report: GroupReport) {
        self.bytes += bytes;
        self.fragments_received |= report.fragment.bit();
        let sequence = self.sequence;
        self.groups.extend(report.groups.into_iter().map(|(group, load)| (group, (sequence, load))));
        if self.fragments_received.count_ones() >= u32::from(self.fragments) {
            self.groups.retain(|_, (report_sequence, _)| *report_sequence == sequence);
        }
    }
}

/// The result of recording a fragment of a group report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The fragment was stored, or was outdated or a duplicate and changed nothing.
    Accepted,
    /// The fragment has arrived before with other groups. A correct member does not send such a fragment.
    Contradictory,
}

/// All members' group reports.
#[derive(Debug, Default)]
pub struct GroupSums {
    reports: BTreeMap<u32, MemberGroups>,
    /// The last sizes with the time of their computation; `None` before the first one.
    cached_sizes: Option<(Micros, Vec<(u64, u32)>)>,
    /// Number of times that a group was left out of an answer because the limit was reached.
    pub truncated: u64,
}

impl GroupSums {
    /// Stores one fragment of a report; `bytes` is the size of its datagram. A duplicate of a fragment changes no stored group,
    /// so at most two reports of a member are stored.
    pub fn record(
        &mut self,
        settings: &Settings,
        now: Micros,
        from: u32,
        bytes: usize,
        report: GroupReport,
    ) -> RecordOutcome {
        let stored = self.reports.entry(from).or_insert_with(|| MemberGroups::begin(now, &report));
        match SequenceOrder::of(report.sequence, stored.sequence) {
            SequenceOrder::Overtaken => return RecordOutcome::Accepted,
            SequenceOrder::Same => {}
            order => stored.supersede(&report, order),
        }
        // The announced interval is limited to 2.5 maximum intervals: no correct member waits longer between two reports.
        let next_report_in =
            report.next_report_in.clamp(MIN_NEXT_REPORT_IN, 5 * settings.max_report_interval / 2);
        stored.expires_at = now + LIFETIME_HALF_INTERVALS * next_report_in / 2;
        if stored.fragments_received & report.fragment.bit() == 0 {
            stored.add_fragment(bytes, report);
            return RecordOutcome::Accepted;
        }
        let known = report.groups.iter().all(|(group, _)| stored.groups.contains_key(group));
        if known { RecordOutcome::Accepted } else { RecordOutcome::Contradictory }
    }

    /// Removes the report of a member that has left.
    pub fn remove(&mut self, member: u32) {
        self.reports.remove(&member);
    }

    /// Keeps only the reports of the selected members.
    pub fn retain(&mut self, selected: impl Fn(u32) -> bool) {
        self.reports.retain(|member, _| selected(*member));
    }

    /// Removes expired reports.
    pub fn expire(&mut self, now: Micros) {
        self.reports.retain(|_, report| now <= report.expires_at);
    }

    /// Whether a group report of this member is stored.
    pub fn contains(&self, member: u32) -> bool {
        self.reports.contains_key(&member)
    }

    /// Mean number of bytes of a group report and its answer.
    pub fn mean_bytes(&self) -> f64 {
        let reports: usize = self.reports.values().map(|report| report.bytes).sum();
        let answer = self.cached_sizes.as_ref().map_or(0, |(_, sizes)| BYTES_PER_SIZE * sizes.len());
        reports as f64 / self.reports.len().max(1) as f64 + answer as f64
    }

    /// The last sizes, or `None` if they are older than `SIZES_LIFETIME`.
    pub fn cached_sizes(&self, now: Micros) -> Option<Vec<(u64, u32)>> {
        let cached = self.cached_sizes.as_ref();
        cached.filter(|(computed_at, _)| now - computed_at < SIZES_LIFETIME).map(|(_, sizes)| sizes.clone())
    }

    /// The groups whose subset needs more than five endpoints, with the size of the subset, in descending order of size.
    pub fn subset_sizes(
        &mut self,
        settings: &AffinitySettings,
        now: Micros,
        fleet: &FleetTotals,
    ) -> Vec<(u64, u32)> {
        if let Some(sizes) = self.cached_sizes(now) {
            return sizes;
        }
        self.expire(now);
        let extrapolation = fleet.extrapolation();
        let size = |(group, load): (u64, f64)| {
            let load = load * extrapolation;
            (group, required_size(load, fleet.mean_load, fleet.endpoints, settings.target_utilization))
        };
        let sums = self.sums(fleet.mean_load, fleet.configured_members);
        let mut sizes: Vec<(u64, u32)> = sums.into_iter().map(size).collect();
        sizes.retain(|(_, size)| *size > MIN_SUBSET_SIZE);
        sizes.sort_unstable_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(&b.0)));
        self.truncated += sizes.len().saturating_sub(settings.max_groups) as u64;
        sizes.truncate(settings.max_groups);
        self.cached_sizes = Some((now, sizes.clone()));
        sizes
    }

    /// Load of each group, summed over all members with a group report. Each member counts up to twice the 95th percentile of
    /// the group's load plus four connections, which limits the effect of a faulty member. The percentile is taken over at
    /// least half of the configured members, with a load of zero for those without a report: otherwise, with only three
    /// reports, the report of one faulty member would set the percentile.
    pub fn sums(&self, mean_load: f64, configured_members: u32) -> Vec<(u64, f64)> {
        let reported = self.reports.values().flat_map(|report| &report.groups);
        let mut loads: Vec<(u64, f64)> = reported.map(|(group, (_, load))| (*group, *load)).collect();
        loads.sort_unstable_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let members = self.reports.len().max(configured_members as usize / 2);
        let sum_of_group = |loads: &[(u64, f64)]| (loads[0].0, limited_sum(loads, members, mean_load));
        loads.chunk_by(|a, b| a.0 == b.0).map(sum_of_group).collect()
    }
}

/// The sum of one group's loads, which are in ascending order, with each load limited relative to the 95th percentile.
fn limited_sum(loads: &[(u64, f64)], members: usize, mean_load: f64) -> f64 {
    let rank = (members * 19 / 20).saturating_sub(1);
    // Members that do not name the group count with a load of zero.
    let members_without_group = members - loads.len();
    let p95 = rank
        .checked_sub(members_without_group)
        .and_then(|rank| loads.get(rank))
        .map_or(0.0, |(_, load)| *load);
    let limit = MAX_OVER_P95 * p95 + ALLOWED_CONNECTIONS * mean_load;
    loads.iter().map(|(_, load)| load.min(limit)).sum()
}

#[cfg(test)]
#[path = "group_sums_tests.rs"]
mod tests;
