//! Judges the records of a run from outside: nothing here knows how a proxy, the consensus or the aggregation works.

use crate::records::{MemberEvent, Record};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The verdict; times in seconds. It is printed as a part of JSON lines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Contents that were proposed.
    pub proposed: u32,
    /// ... for which every running member received a lease, or one for a later content.
    pub everywhere: u32,
    /// The longest time from the proposal until the last of these leases.
    pub longest_everywhere_s: f64,
    /// The mean of these times.
    pub mean_everywhere_s: f64,
    /// Contents that a later proposal replaced before they were in force.
    pub superseded: u32,
    /// The longest time during which members held leases on incompatible versions. 0: never.
    pub longest_contradiction_s: f64,
    /// The longest time that a running member held no lease, apart from its first 10 s.
    pub longest_without_s: f64,
    /// Members that held no lease for over 5 s.
    pub members_without: u32,
    /// How often a running member was considered dead by another.
    pub wrongly_dead: u32,
    /// How often a member found no aggregator.
    #[serde(rename = "without_keeper")]
    pub without_aggregator: u32,
    /// The longest time without a new fleet snapshot at a running member.
    pub longest_view_gap_s: f64,
    /// The longest time from the first member that applied an endpoint list to the last.
    pub longest_list_s: f64,
}

/// An interval of time; its end is not part of it.
#[derive(Clone, Copy, Debug)]
struct Interval {
    from: i64,
    to: i64,
}

/// A lease that a member holders.
#[derive(Clone, Copy, Debug)]
struct LeaseInterval {
    interval: Interval,
    number: u64,
    content: u32,
    kind: u8,
}

/// The history of a member, from its records.
#[derive(Debug, Default)]
struct MemberHistory {
    /// When its processes ran.
    runs: Vec<Interval>,
    /// Its leases in their order.
    leases: Vec<LeaseInterval>,
    /// When it received snapshots.
    snapshots: Vec<i64>,
    /// When it first applied each revision of the endpoint list.
    lists: BTreeMap<u64, i64>,
}

impl MemberHistory {
    fn runs_at(&self, at: i64) -> bool {
        self.runs.iter().any(|run| run.from <= at && at < run.to)
    }

    /// Whether one process ran for all of this time.
    fn runs_through(&self, from: i64, to: i64) -> bool {
        self.runs.iter().any(|run| run.from <= from && to < run.to)
    }

    fn end(&mut self, at: i64) {
        if let Some(run) = self.runs.last_mut() {
            run.to = run.to.min(at);
        }
        if let Some(lease) = self.leases.last_mut() {
            lease.interval.to = lease.interval.to.min(at);
        }
    }
}

/// Judges records in the order of their times, up to the time `end`.
pub fn judge(records: &[Record], end: i64) -> Verdict {
    let histories = member_histories(records, end);
    let mut verdict = Verdict::default();
    judge_proposals(records, &histories, end, &mut verdict);
    verdict.longest_contradiction_s = longest_conflict(&histories) as f64 / 1e6;
    judge_lease_gaps(&histories, &mut verdict);
    for record in records {
        match record.event {
            MemberEvent::LivenessChanged { of, is_dead: true } => {
                verdict.wrongly_dead += u32::from(histories.get(&of).is_some_and(|s| s.runs_at(record.at)));
            }
            MemberEvent::AggregatorChanged(None) => verdict.without_aggregator += 1,
            _ => {}
        }
    }
    verdict.longest_view_gap_s = histories.values().map(snapshot_gap).max().unwrap_or(0) as f64 / 1e6;
    verdict.longest_list_s = longest_list_spread(&histories) as f64 / 1e6;
    verdict
}

fn member_histories(records: &[Record], end: i64) -> BTreeMap<u32, MemberHistory> {
    let mut histories: BTreeMap<u32, MemberHistory> = BTreeMap::new();
    for Record { at, member, event } in records {
        let history = histories.entry(*member).or_default();
        match event {
            MemberEvent::Started => history.runs.push(Interval { from: *at, to: end }),
            MemberEvent::Stopped => history.end(*at),
            MemberEvent::LeaseChanged { version, kind, until } => {
                // The new lease replaces the one before.
                if let Some(LeaseInterval { interval, .. }) = history.leases.last_mut() {
                    interval.to = interval.to.min(*at);
                }
                if let Some((number, content)) = version {
                    let interval = Interval { from: *at, to: (*until).min(end) };
                    let (number, content, kind) = (*number, *content, *kind);
                    history.leases.push(LeaseInterval { interval, number, content, kind });
                }
            }
            MemberEvent::SnapshotReceived { .. } => history.snapshots.push(*at),
            MemberEvent::EndpointsReceived { revision, .. } => {
                history.lists.entry(*revision).or_insert(*at);
            }
            _ => {}
        }
    }
    histories
}

fn judge_proposals(
    records: &[Record],
    histories: &BTreeMap<u32, MemberHistory>,
    end: i64,
    verdict: &mut Verdict,
) {
    let numbers: BTreeMap<u32, u64> = histories
        .values()
        .flat_map(|history| history.leases.iter().map(|lease| (lease.content, lease.number)))
        .collect();
    let mut times = Vec::new();
    for Record { at, event, .. } in records {
        let MemberEvent::Proposed { content } = event else { continue };
        verdict.proposed += 1;
        let Some(number) = numbers.get(content) else {
            verdict.superseded += 1;
            continue;
        };
        let first = |history: &MemberHistory| {
            let leases = history.leases.iter();
            let leases = leases.filter(|lease| lease.interval.to > *at && lease.number >= *number);
            leases.map(|lease| lease.interval.from.max(*at)).min()
        };
        // Only members that ran from the proposal to the end: a later one starts with the version in force.
        let running: Vec<&MemberHistory> =
            histories.values().filter(|history| history.runs_through(*at, end - 1)).collect();
        let firsts: Option<Vec<i64>> = running.into_iter().map(first).collect();
        if let Some(last) = firsts.and_then(|firsts| firsts.into_iter().max()) {
            times.push((last - at) as f64 / 1e6);
        }
    }
    verdict.everywhere = times.len() as u32;
    verdict.longest_everywhere_s = times.iter().copied().fold(0.0, f64::max);
    verdict.mean_everywhere_s = times.iter().sum::<f64>() / times.len().max(1) as f64;
}

/// The longest time during which leases on two kinds were held at once.
fn longest_conflict(histories: &BTreeMap<u32, MemberHistory>) -> i64 {
    let mut edges: Vec<(i64, i32, u8)> = Vec::new();
    for LeaseInterval { interval, kind, .. } in histories.values().flat_map(|history| &history.leases) {
        if interval.from < interval.to {
            edges.push((interval.from, 1, *kind));
            edges.push((interval.to, -1, *kind));
        }
    }
    // Ends sort before starts of the same instant: a lease does not include its end.
    edges.sort_unstable();
    let mut holders: BTreeMap<u8, i32> = BTreeMap::new();
    let (mut since, mut longest) = (None, 0);
    for (at, step, kind) in edges {
        *holders.entry(kind).or_default() += step;
        let kinds = holders.values().filter(|count| **count > 0).count();
        match (since, kinds > 1) {
            (None, true) => since = Some(at),
            (Some(began), false) => {
                longest = longest.max(at - began);
                since = None;
            }
            _ => {}
        }
    }
    longest
}

fn judge_lease_gaps(histories: &BTreeMap<u32, MemberHistory>, verdict: &mut Verdict) {
    const STARTUP: i64 = 10_000_000;
    const LONG_GAP: i64 = 5_000_000;
    if histories.values().all(|history| history.leases.is_empty()) {
        return;
    }
    for history in histories.values() {
        let mut longest = 0;
        for (index, run) in history.runs.iter().enumerate() {
            let intervals = || {
                let intervals = history.leases.iter().map(|lease| lease.interval);
                intervals.filter(|interval| interval.from >= run.from && interval.from < run.to)
            };
            // At the start of the fleet there is no lease until somebody proposes a content.
            let began = intervals().next().map_or(run.to, |interval| interval.from);
            let mut covered = if index == 0 { began } else { run.from + STARTUP };
            for interval in intervals() {
                longest = longest.max(interval.from - covered);
                covered = covered.max(interval.to);
            }
            longest = longest.max(run.to - covered);
        }
        verdict.longest_without_s = verdict.longest_without_s.max(longest as f64 / 1e6);
        verdict.members_without += u32::from(longest > LONG_GAP);
    }
}

fn snapshot_gap(history: &MemberHistory) -> i64 {
    let mut longest = 0;
    for run in &history.runs {
        let within: Vec<i64> =
            history.snapshots.iter().copied().filter(|at| (run.from..run.to).contains(at)).collect();
        let Some(first) = within.first() else { continue };
        let ends = within.iter().skip(1).chain([&run.to]);
        let gaps = std::iter::once(first).chain(&within[1..]).zip(ends);
        longest = longest.max(gaps.map(|(from, to)| to - from).max().unwrap_or(0));
    }
    longest
}

fn longest_list_spread(histories: &BTreeMap<u32, MemberHistory>) -> i64 {
    let revisions: BTreeSet<u64> =
        histories.values().flat_map(|history| history.lists.keys().copied()).collect();
    let spread = |revision: u64| {
        let taken: Vec<i64> = histories.values().filter_map(|s| s.lists.get(&revision).copied()).collect();
        Some(taken.iter().max()? - taken.iter().min()?)
    };
    // All members start with revision 1, at different times.
    revisions.into_iter().filter(|revision| *revision > 1).filter_map(spread).max().unwrap_or(0)
}
