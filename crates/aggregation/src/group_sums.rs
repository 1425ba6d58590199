//! What a aggregator was told of groups, and the homes that follow from the sums. Grows with members times the groups of a report,
//! which the wire bounds; a member_report ages out as reports do.

use crate::affinity_subsets::{LEAST_HOMES, Nodes, needed};
use crate::aggregation::{ALWAYS, KEPT_HALVES, LEAST_NEXT, MOST_OF_USUAL};
use crate::wire::GroupReport;
use crate::{AffinitySettings, Micros, Settings};
use std::collections::BTreeMap;

/// A table is made anew after this: a group's size changes within minutes, and 440 members' groups take a millisecond or two.
const REMADE: Micros = 1_000_000;
/// Members that aren't heard are taken to have as much as the others, up to as many again: with two regions that lose each other,
/// the connections of the half that is cut off are still there.
const MOST_UNHEARD: f64 = 2.0;

/// What the aggregator knows of its tier beside groups.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetTotals {
    /// Members that the tier has.
    pub tier: u32,
    /// ... and that report.
    pub members: u32,
    /// Connections of those, none counted for more than it can have.
    pub connections: f64,
    /// Those of members that tell their groups: older programs don't.
    pub with_groups: f64,
    /// Mean load of a connection.
    pub mean_load: f64,
    /// The render nodes.
    pub nodes: Nodes,
}

impl FleetTotals {
    /// What a sum over the members that tell their groups is multiplied with, to stand for all.
    fn scale(&self) -> f64 {
        let told = if self.with_groups > 0.0 {
            (self.connections / self.with_groups).clamp(1.0, MOST_UNHEARD)
        } else {
            1.0
        };
        told * (f64::from(self.tier) / f64::from(self.members.max(1))).clamp(1.0, MOST_UNHEARD)
    }
}

#[derive(Debug)]
struct MemberReport {
    until: Micros,
    generation: u16,
    parts: u8,
    come: u16,
    bytes: usize,
    /// Load, and the report that it is of: where a part of the newest is lost, the last one stands for it.
    groups: BTreeMap<u64, (u16, f64)>,
}

/// All that was told of groups.
#[derive(Debug, Default)]
pub struct GroupSums {
    reports: BTreeMap<u32, MemberReport>,
    table: Option<(Micros, Vec<(u64, u32)>)>,
    /// GroupReport that found no room in a table.
    pub cut: u64,
}

impl GroupSums {
    /// A datagram of so many bytes has come. The same part of a report again changes nothing, so a member_report is two reports at most;
    /// false if it names other groups than the first, which no honest member's does.
    pub fn take(
        &mut self,
        settings: &Settings,
        now: Micros,
        from: u32,
        bytes: usize,
        told: GroupReport,
    ) -> bool {
        let (generation, bit) = (told.generation, 1_u16 << (told.part.0 & 15));
        let fresh = MemberReport {
            until: now,
            generation,
            parts: told.part.1,
            come: 0,
            bytes: 0,
            groups: BTreeMap::new(),
        };
        let member_report = self.reports.entry(from).or_insert(fresh);
        let newer = generation.wrapping_sub(member_report.generation) as i16;
        if newer < 0 && newer > -16 {
            // Overtaken on the way. One that is far behind is of a new process.
            return true;
        }
        if newer != 0 {
            let before = member_report.generation;
            member_report.groups.retain(|_, (of, _)| newer > 0 && *of == before);
            (member_report.generation, member_report.parts, member_report.come, member_report.bytes) =
                (generation, told.part.1, 0, 0);
        }
        // No honest member is silent for longer, whatever this one says.
        let next = told.next.clamp(LEAST_NEXT, 5 * settings.longest_period / 2);
        member_report.until = now + KEPT_HALVES * next / 2;
        if member_report.come & bit != 0 {
            return told.groups.iter().all(|(group, _)| member_report.groups.contains_key(group));
        }
        member_report.bytes += bytes;
        member_report.come |= bit;
        member_report.groups.extend(told.groups.into_iter().map(|(group, load)| (group, (generation, load))));
        if member_report.come.count_ones() >= u32::from(member_report.parts) {
            member_report.groups.retain(|_, (of, _)| *of == generation);
        }
        true
    }

    /// A member has left.
    pub fn forget(&mut self, member: u32) {
        self.reports.remove(&member);
    }

    /// Only these members count.
    pub fn keep(&mut self, heard: impl Fn(u32) -> bool) {
        self.reports.retain(|member, _| heard(*member));
    }

    /// What is old doesn't count any more, and takes no room.
    pub fn forget_old(&mut self, now: Micros) {
        self.reports.retain(|_, member_report| now <= member_report.until);
    }

    /// Whether this member tells its groups.
    pub fn has(&self, member: u32) -> bool {
        self.reports.contains_key(&member)
    }

    /// Bytes to and fro for each report, beside those of the reports and tables.
    pub fn bytes(&self) -> f64 {
        let told: usize = self.reports.values().map(|member_report| member_report.bytes).sum();
        let table = self.table.as_ref().map_or(0, |(_, homes)| 10 * homes.len());
        told as f64 / self.reports.len().max(1) as f64 + table as f64
    }

    /// The last table, while it is not to be made anew.
    pub fn fresh(&self, now: Micros) -> Option<Vec<(u64, u32)>> {
        self.table.as_ref().filter(|(made, _)| now - made < REMADE).map(|(_, table)| table.clone())
    }

    /// The groups that need more than five homes, those that need most first.
    pub fn table(
        &mut self,
        settings: &AffinitySettings,
        now: Micros,
        heard: &FleetTotals,
    ) -> Vec<(u64, u32)> {
        if let Some(table) = self.fresh(now) {
            return table;
        }
        self.forget_old(now);
        let scale = heard.scale();
        let homes = |(group, load): (u64, f64)| {
            (group, needed(load * scale, heard.mean_load, heard.nodes, settings.home_use))
        };
        let mut table: Vec<(u64, u32)> =
            self.sums(heard.mean_load, heard.tier).into_iter().map(homes).collect();
        table.retain(|(_, homes)| *homes > LEAST_HOMES);
        table.sort_unstable_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(&b.0)));
        self.cut += table.len().saturating_sub(settings.groups) as u64;
        table.truncate(settings.groups);
        self.table = Some((now, table.clone()));
        table
    }

    /// Each group's load over all that tell theirs. No member counts for more than twice what 19 of 20 have of a group, and
    /// four connections: one that lies moves a sum by no more. Of a tier half counts at least, as if the rest of that had nothing:
    /// a aggregator that hears three members would take one of them for the usual.
    pub fn sums(&self, mean_load: f64, tier: u32) -> Vec<(u64, f64)> {
        let told = self.reports.values().flat_map(|member_report| &member_report.groups);
        let mut all: Vec<(u64, f64)> = told.map(|(group, (_, load))| (*group, *load)).collect();
        all.sort_unstable_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let members = self.reports.len().max(tier as usize / 2);
        // The 19th of 20; those that don't name the group have nothing of it.
        let place = (members * 19 / 20).saturating_sub(1);
        let sum = |of: &[(u64, f64)]| {
            let nothing = members - of.len();
            let usual =
                place.checked_sub(nothing).and_then(|place| of.get(place)).map_or(0.0, |(_, load)| *load);
            let most = MOST_OF_USUAL * usual + ALWAYS * mean_load;
            (of[0].0, of.iter().map(|(_, load)| load.min(most)).sum())
        };
        all.chunk_by(|a, b| a.0 == b.0).map(sum).collect()
    }
}

#[cfg(test)]
#[path = "group_sums_tests.rs"]
mod tests;
