//! What a keeper has been told, and the sums of it. Each member counts with its newest report, as long as that is fresh.

use crate::wire::{Entry, LEAST_USE, Report, Subchannel, Table, Totals, Word, write_table};
use crate::{Micros, Settings, report_interval};
use std::collections::{BTreeMap, BTreeSet};

/// Load that each group adds to each subchannel which holds any of it, in mean connection loads: the platform's figure,
/// which no setting carries.
pub(crate) const GROUP_COST: f64 = 3.0;
/// A report counts for so many halves of the time to its sender's next one: two may be lost.
pub(crate) const KEPT_HALVES: i64 = 5;
/// No report counts for more than so many times what 19 of 20 report. Guards against a member that lies: what one or two
/// of 40 claim doesn't move this mark, and clients never come as unevenly.
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
/// A keeper that hears the first reports waits so long for the others'.
const YOUNG: Micros = 1_200_000;
/// No report says that the next comes sooner than this.
pub(crate) const LEAST_NEXT: Micros = 200_000;

/// What one member reports.
#[derive(Clone, Debug)]
pub struct Claim {
    until: Micros,
    next: Micros,
    bytes: usize,
    generation: u16,
    parts: u8,
    come: u16,
    totals: Totals,
    entries: Vec<(u16, Entry)>,
}

impl Claim {
    fn is_whole(&self) -> bool {
        self.come.count_ones() >= u32::from(self.parts)
    }

    /// Those of the newest report; where a part of that is lost, older ones of the same subchannels stand for it.
    fn counted(&self) -> impl Iterator<Item = &Entry> {
        let whole = self.is_whole();
        self.entries
            .iter()
            .filter(move |(generation, _)| !whole || *generation == self.generation)
            .map(|(_, e)| e)
    }
}

/// Summed for one subchannel.
#[derive(Clone, Debug, Default)]
struct Sum {
    load: f64,
    groups: BTreeSet<u8>,
    well: u32,
    unwell: u32,
}

/// All that was reported.
#[derive(Debug, Default)]
pub struct Gathering {
    claims: BTreeMap<u32, Claim>,
    since: Option<Micros>,
    table: Option<(Micros, Table)>,
    beside: f64,
}

impl Gathering {
    /// A report has come, in a datagram of so many bytes.
    pub fn take(&mut self, now: Micros, from: u32, bytes: usize, report: Report) {
        self.forget_old(now);
        self.since.get_or_insert(now);
        if report.leaving {
            self.claims.remove(&from);
            return;
        }
        let (generation, bit) = (report.generation, 1_u16 << report.part.0);
        let fresh = Claim {
            until: now,
            next: report.next,
            bytes: 0,
            generation,
            parts: report.part.1,
            come: 0,
            totals: report.totals,
            entries: Vec::new(),
        };
        let claim = self.claims.entry(from).or_insert_with(|| fresh.clone());
        let newer = generation.wrapping_sub(claim.generation) as i16;
        if newer < 0 && newer > -16 {
            // Overtaken on the way. One that is far behind is of a new process.
            return;
        }
        if newer != 0 {
            let kept =
                if newer == 1 && !claim.is_whole() { Vec::new() } else { std::mem::take(&mut claim.entries) };
            let before = claim.generation;
            *claim = fresh;
            // The last report stands for parts that are still to come.
            claim.entries = kept.into_iter().filter(|(g, _)| *g == before && newer > 0).collect();
        }
        claim.until = now + KEPT_HALVES * report.next.max(LEAST_NEXT) / 2;
        if claim.come & bit == 0 {
            claim.bytes += bytes;
        }
        claim.come |= bit;
        let named: BTreeSet<Subchannel> = report.entries.iter().map(|entry| entry.subchannel).collect();
        claim.entries.retain(|(_, entry)| !named.contains(&entry.subchannel));
        claim.entries.extend(report.entries.into_iter().map(|entry| (generation, entry)));
    }

    /// So many bytes go to and fro with each report beside it and its answer.
    pub fn set_beside(&mut self, bytes: f64) {
        self.beside = bytes;
    }

    /// Whether this member reports.
    pub fn has(&self, member: u32) -> bool {
        self.claims.contains_key(&member)
    }

    /// Connections of all that report, and of those that are chosen, none counted for more than it can have.
    pub fn connections(&self, chosen: impl Fn(u32) -> bool) -> (f64, f64) {
        let most = self.most(ALWAYS, |totals| f64::from(totals.connections));
        let count = |claim: &Claim| f64::from(claim.totals.connections).min(most);
        let all = self.claims.values().map(count).sum();
        (all, self.claims.iter().filter(|(member, _)| chosen(**member)).map(|(_, claim)| count(claim)).sum())
    }

    fn forget_old(&mut self, now: Micros) {
        self.claims.retain(|_, claim| now <= claim.until);
        if self.claims.is_empty() {
            // Whoever reports next is the first of a new time as keeper.
            self.since = None;
        }
    }

    /// The table as of now; `size` gives a subchannel's capacity in microseconds of work a second, `None` where it isn't
    /// listed.
    pub fn table(
        &mut self,
        settings: &Settings,
        now: Micros,
        size: impl Fn(Subchannel) -> Option<f64>,
    ) -> Table {
        if let Some((made, table)) = &self.table
            && now - made < REMADE
        {
            return table.clone();
        }
        self.forget_old(now);
        // Each of the others reports within the longest time that one has announced.
        let longest = self.claims.values().map(|claim| claim.next).max().unwrap_or(0);
        let turn = longest.clamp(YOUNG, settings.longest_period.max(YOUNG));
        let young = self.since.is_none_or(|since| now - since < turn);
        let mut table = self.sum(young, size);
        table.period = self.period(settings, &table);
        self.table = Some((now, table.clone()));
        table
    }

    /// The tier's ceiling, divided: the same for all, so that nobody's report ages out before the next.
    fn period(&self, settings: &Settings, table: &Table) -> Micros {
        let reports: usize = self.claims.values().map(|claim| claim.bytes).sum();
        let tables: usize = write_table(table).iter().map(Vec::len).sum();
        let bytes = reports as f64 / self.claims.len().max(1) as f64 + tables as f64 + self.beside;
        report_interval::period(settings, f64::from(table.members), bytes, table.totals.requests)
    }

    fn sum(&self, young: bool, size: impl Fn(Subchannel) -> Option<f64>) -> Table {
        let most = self.most(ALWAYS, |totals| f64::from(totals.connections));
        let most_requests = self.most(ALWAYS_PER_S, |totals| totals.requests);
        let most_well = self.most(ALWAYS_PER_S, |totals| totals.well);
        let most_failed = self.most(ALWAYS_PER_S, |totals| totals.failed);
        let mut means: Vec<f64> = self.claims.values().filter_map(mean).collect();
        means.sort_by(f64::total_cmp);
        let most_load = MOST_LOAD * means.get(means.len() / 2).copied().unwrap_or(0.0) * most;
        let mut totals = Totals::default();
        let (mut load, mut connections) = (0.0, 0.0);
        let mut sums: BTreeMap<Subchannel, Sum> = BTreeMap::new();
        for claim in self.claims.values() {
            let claimed: f64 = claim.counted().map(|entry| entry.load).sum();
            let part = if claimed > most_load { most_load / claimed } else { 1.0 };
            let count = f64::from(claim.totals.connections).min(most);
            totals.connections += count as u32;
            totals.requests += claim.totals.requests.min(most_requests);
            totals.well += claim.totals.well.min(most_well);
            totals.failed += claim.totals.failed.min(most_failed);
            load += claimed * part;
            connections += count;
            let mut groups_left = most as usize;
            for entry in claim.counted() {
                let sum = sums.entry(entry.subchannel).or_default();
                sum.load += entry.load * part;
                for group in entry.groups.iter().take(groups_left) {
                    sum.groups.insert(*group);
                }
                groups_left = groups_left.saturating_sub(entry.groups.len());
                sum.well += u32::from(entry.word == Word::Well);
                sum.unwell += u32::from(entry.word == Word::Unwell);
            }
        }
        let mean = if connections > 0.0 { load / connections } else { 0.0 };
        let taken: f64 = sums.values().map(|sum| f64::from(sum.well)).sum();
        let sizes: f64 = sums.keys().filter_map(|node| size(*node)).sum();
        let settles = |well: u32, size: f64| {
            well >= AGREED && f64::from(well) / size.max(1.0) > SETTLES * taken / sizes.max(1.0)
        };
        let node = |(subchannel, sum): (Subchannel, Sum)| {
            let used = size(subchannel).map_or(0.0, |size| {
                let used = (sum.load + GROUP_COST * mean * sum.groups.len() as f64) / size.max(1.0);
                if settles(sum.well, size) { used.max(LEAST_USE) } else { used }
            });
            let word = match (sum.well, sum.unwell) {
                (well, unwell) if unwell >= AGREED && unwell > well => Word::Unwell,
                (AGREED.., 0) => Word::Well,
                _ => Word::Unclear,
            };
            (subchannel, used, word)
        };
        let nodes = sums.into_iter().map(node).collect();
        let members = self.claims.len() as u32;
        Table { generation: 0, part: (0, 1), young, period: 0, members, totals, mean_load: mean, nodes }
    }

    /// The most of a figure that one member's report counts for.
    fn most(&self, always: f64, figure: impl Fn(&Totals) -> f64) -> f64 {
        let mut all: Vec<f64> = self.claims.values().map(|claim| figure(&claim.totals)).collect();
        all.sort_by(f64::total_cmp);
        // The 19th of 20: with 40 members two may claim what they like.
        let mark = all.get((all.len() * 19 / 20).saturating_sub(1)).copied().unwrap_or(0.0);
        MOST_OF_USUAL * mark + always
    }
}

fn mean(claim: &Claim) -> Option<f64> {
    let load: f64 = claim.counted().map(|entry| entry.load).sum();
    (claim.totals.connections > 0).then(|| load / f64::from(claim.totals.connections))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::FleetSection;
    use proptest::prelude::*;

    const S: Micros = 1_000_000;

    fn settings() -> Settings {
        FleetSection { members_from: Some(4), ..Default::default() }.check().unwrap().unwrap()
    }

    fn report(generation: u16, part: (u8, u8), entries: &[(u32, f64)]) -> Report {
        let entry = |(node, load): &(u32, f64)| Entry {
            subchannel: Subchannel(*node),
            load: *load,
            groups: Vec::new(),
            word: Word::Unclear,
        };
        let entries: Vec<Entry> = entries.iter().map(entry).collect();
        let totals = Totals { connections: entries.len() as u32, ..Totals::default() };
        Report { generation, part, leaving: false, no_answer: false, next: S, totals, entries }
    }

    fn used(gathering: &mut Gathering, now: Micros) -> BTreeMap<u32, f64> {
        gathering.table = None;
        let table = gathering.table(&settings(), now, |_| Some(100.0));
        table.nodes.into_iter().map(|(node, used, _)| (node.0, used)).collect()
    }

    proptest! {
        // What is summed is neither lost nor counted twice, whatever is doubled, late or overtaken.
        #[test]
        fn each_member_counts_once_with_its_newest_report(
            order in prop::collection::vec((0..5_u32, 0..4_u16), 1..60),
        ) {
            let mut gathering = Gathering::default();
            let mut newest: BTreeMap<u32, u16> = BTreeMap::new();
            for (step, (member, generation)) in order.iter().enumerate() {
                let load = f64::from(*generation + 1);
                gathering.take(step as i64, *member, 40, report(*generation, (0, 1), &[(*member, load)]));
                let known = newest.entry(*member).or_insert(*generation);
                *known = (*known).max(*generation);
            }
            let sums = used(&mut gathering, 100);
            for (member, generation) in newest {
                prop_assert_eq!(sums.get(&member).copied(), Some(f64::from(generation + 1) / 100.0));
            }
        }
    }

    #[test]
    fn a_lost_part_is_stood_for_by_the_last_report_and_what_is_told_no_more_is_gone() {
        let mut gathering = Gathering::default();
        let mut take = |now, report| gathering.take(now, 1, 40, report);
        take(0, report(1, (0, 2), &[(1, 10.0)]));
        take(0, report(1, (1, 2), &[(2, 20.0)]));
        take(S, report(2, (0, 2), &[(1, 11.0)]));
        assert_eq!(used(&mut gathering, S), BTreeMap::from([(1, 0.11), (2, 0.2)]));
        gathering.take(2 * S, 1, 40, report(3, (0, 1), &[(1, 12.0)]));
        assert_eq!(used(&mut gathering, 2 * S), BTreeMap::from([(1, 0.12)]));
    }

    #[test]
    fn a_new_process_replaces_the_old_one_and_the_silent_age_out() {
        let mut gathering = Gathering::default();
        gathering.take(0, 1, 40, report(900, (0, 1), &[(1, 10.0)]));
        gathering.take(0, 2, 40, report(5, (0, 1), &[(2, 10.0)]));
        gathering.take(S, 1, 40, report(0, (0, 1), &[(3, 30.0)]));
        assert_eq!(used(&mut gathering, S), BTreeMap::from([(2, 0.1), (3, 0.3)]));
        assert_eq!(used(&mut gathering, 3 * S), BTreeMap::from([(3, 0.3)]), "2 was silent for three periods");
        gathering.take(3 * S, 1, 40, Report { leaving: true, ..report(1, (0, 1), &[]) });
        assert!(used(&mut gathering, 3 * S).is_empty());
    }

    #[test]
    fn two_liars_of_forty_move_the_sums_by_little() {
        let honest = |gathering: &mut Gathering| {
            for member in 0..38 {
                gathering.take(0, member, 40, report(1, (0, 1), &[(member % 10, 10.0), (10, 10.0)]));
            }
        };
        let mut gathering = Gathering::default();
        honest(&mut gathering);
        let before: f64 = used(&mut gathering, 0).values().sum();
        for liar in [38, 39] {
            let mut lie = report(1, (0, 1), &[(0, 4e6), (1, 4e6)]);
            lie.totals.connections = 4_000_000;
            gathering.take(0, liar, 40, lie);
        }
        let after: f64 = used(&mut gathering, 0).values().sum();
        // Honest ones have 2 connections each; a liar counts for 8 of four times the usual load.
        assert!(after - before <= 2.0 * 8.0 * 4.0 * 10.0 / 100.0 + 1e-9, "{before} {after}");
    }

    /// Few requests and few failures at most members; two say that all set-ups fail, and that many come.
    #[test]
    fn two_liars_of_forty_neither_stop_the_tier_nor_raise_its_price() {
        let mut gathering = Gathering::default();
        for member in 0..40 {
            let mut told = report(1, (0, 1), &[(member % 10, 10.0)]);
            told.totals = Totals { connections: 1, requests: 0.3, well: 0.3, failed: 0.0 };
            if member >= 38 {
                told.totals = Totals { connections: 1, requests: 1e6, well: 0.0, failed: 1e6 };
            }
            gathering.take(0, member, 40, told);
        }
        let Table { totals, .. } = gathering.table(&settings(), 0, |_| Some(100.0));
        assert!(totals.failed <= 1.0 && totals.failed / (totals.well + totals.failed) < 0.1, "{totals:?}");
        assert!(totals.requests < 15.0, "{totals:?}");
    }

    #[test]
    fn a_member_with_a_long_way_to_its_next_report_does_not_age_out_before() {
        let mut gathering = Gathering::default();
        gathering.take(0, 1, 40, Report { next: 6 * S, ..report(1, (0, 1), &[(1, 10.0)]) });
        gathering.take(5 * S, 2, 40, report(1, (0, 1), &[(2, 10.0)]));
        assert_eq!(used(&mut gathering, 7 * S), BTreeMap::from([(1, 0.1), (2, 0.1)]));
        assert_eq!(used(&mut gathering, 8 * S), BTreeMap::from([(1, 0.1)]));
    }

    /// Ten nodes; where all take as many, nobody is held off, however many that is.
    #[test]
    fn a_node_that_took_far_more_than_others_settles_and_an_even_rush_holds_nobody_off() {
        let told = |crowd: u32| {
            let mut gathering = Gathering::default();
            for member in 0..60 {
                let node = if member < crowd { 0 } else { member % 10 };
                let mut told = report(1, (0, 1), &[(node, 0.1)]);
                told.entries[0].word = Word::Well;
                gathering.take(0, member, 40, told);
            }
            used(&mut gathering, 0)
        };
        assert!(told(0).values().all(|used| *used < LEAST_USE), "{:?}", told(0));
        let crowded = told(20);
        assert!(crowded[&0] >= LEAST_USE, "{crowded:?}");
        assert!((1..10).all(|node| crowded[&node] < LEAST_USE), "{crowded:?}");
    }

    #[test]
    fn a_word_needs_two_and_no_majority_against_it() {
        let mut gathering = Gathering::default();
        let word = |gathering: &mut Gathering, member, word| {
            let mut told = report(1, (0, 1), &[(1, 1.0)]);
            told.entries[0].word = word;
            gathering.take(0, member, 40, told);
            gathering.table = None;
            gathering.table(&settings(), 0, |_| Some(100.0)).nodes[0].2
        };
        assert_eq!(word(&mut gathering, 1, Word::Unwell), Word::Unclear, "one may be cut off itself");
        assert_eq!(word(&mut gathering, 2, Word::Unwell), Word::Unwell);
        assert_eq!(word(&mut gathering, 3, Word::Well), Word::Unwell);
        assert_eq!(word(&mut gathering, 4, Word::Well), Word::Unclear, "as many say otherwise");
    }
}
