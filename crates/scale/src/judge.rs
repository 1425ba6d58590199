//! What a run's records say, judged from outside: nothing here knows how a proxy, the accord or the fleet view works.

use crate::records::{MemberEvent, Record};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What was found; times in seconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Contents that were called for.
    pub proposed: u32,
    /// ... of which all that ran came to act on it or on a later one.
    pub everywhere: u32,
    /// The longest time from the call until that.
    pub longest_everywhere_s: f64,
    /// The mean one.
    pub mean_everywhere_s: f64,
    /// Contents that a later call took the place of before they were in force.
    pub superseded: u32,
    /// The longest time in which two members acted on contradicting versions at once. 0: never.
    pub longest_contradiction_s: f64,
    /// The longest time that a running member had nothing that it might act on, its first 10 s left out.
    pub longest_without_s: f64,
    /// Members that had nothing for over 5 s.
    pub members_without: u32,
    /// Times that a running member was believed dead by another.
    pub wrongly_dead: u32,
    /// Times that a member found no keeper of the fleet's view.
    #[serde(rename = "without_keeper")]
    pub without_aggregator: u32,
    /// The longest time without a new view of the fleet at a running member.
    pub longest_view_gap_s: f64,
    /// The longest time from a list's first taking to the last running member's.
    pub longest_list_s: f64,
}

/// From when to when, of a member.
#[derive(Clone, Copy, Debug)]
struct Interval {
    from: i64,
    to: i64,
}

/// A member's time, from its records.
#[derive(Debug, Default)]
struct MemberHistory {
    /// When its process ran.
    lives: Vec<Interval>,
    /// When it might act, on which number, content and kind.
    acts: Vec<(Interval, u64, u32, u8)>,
    views: Vec<i64>,
    lists: BTreeMap<u64, i64>,
}

impl MemberHistory {
    fn runs_at(&self, at: i64) -> bool {
        self.lives.iter().any(|life| life.from <= at && at < life.to)
    }

    /// Runs from there to there without an end.
    fn runs_through(&self, from: i64, to: i64) -> bool {
        self.lives.iter().any(|life| life.from <= from && to < life.to)
    }

    fn end(&mut self, at: i64) {
        if let Some(life) = self.lives.last_mut() {
            life.to = life.to.min(at);
        }
        if let Some((interval, ..)) = self.acts.last_mut() {
            interval.to = interval.to.min(at);
        }
    }
}

/// Judges records in the order of their times, up to the time `end`.
pub fn judge(records: &[Record], end: i64) -> Verdict {
    let histories = histories(records, end);
    let mut verdict = Verdict::default();
    in_force(records, &histories, end, &mut verdict);
    verdict.longest_contradiction_s = contradiction(&histories) as f64 / 1e6;
    without(&histories, &mut verdict);
    for record in records {
        match record.event {
            MemberEvent::LivenessChanged { of, is_dead: true } => {
                verdict.wrongly_dead += u32::from(histories.get(&of).is_some_and(|s| s.runs_at(record.at)));
            }
            MemberEvent::AggregatorChanged(None) => verdict.without_aggregator += 1,
            _ => {}
        }
    }
    verdict.longest_view_gap_s = histories.values().map(view_gap).max().unwrap_or(0) as f64 / 1e6;
    verdict.longest_list_s = lists(&histories) as f64 / 1e6;
    verdict
}

fn histories(records: &[Record], end: i64) -> BTreeMap<u32, MemberHistory> {
    let mut histories: BTreeMap<u32, MemberHistory> = BTreeMap::new();
    for Record { at, member, event } in records {
        let history = histories.entry(*member).or_default();
        match event {
            MemberEvent::Started => history.lives.push(Interval { from: *at, to: end }),
            MemberEvent::Stopped => history.end(*at),
            MemberEvent::LeaseChanged { version, kind, until } => {
                // What it may do now takes the place of what it might before.
                if let Some((interval, ..)) = history.acts.last_mut() {
                    interval.to = interval.to.min(*at);
                }
                if let Some((number, content)) = version {
                    history.acts.push((
                        Interval { from: *at, to: (*until).min(end) },
                        *number,
                        *content,
                        *kind,
                    ));
                }
            }
            MemberEvent::SnapshotReceived { .. } => history.views.push(*at),
            MemberEvent::EndpointsReceived { revision, .. } => {
                history.lists.entry(*revision).or_insert(*at);
            }
            _ => {}
        }
    }
    histories
}

fn in_force(records: &[Record], histories: &BTreeMap<u32, MemberHistory>, end: i64, verdict: &mut Verdict) {
    let numbers: BTreeMap<u32, u64> = histories
        .values()
        .flat_map(|history| history.acts.iter().map(|(_, number, content, _)| (*content, *number)))
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
            let acts =
                history.acts.iter().filter(|(interval, theirs, ..)| interval.to > *at && theirs >= number);
            acts.map(|(interval, ..)| interval.from.max(*at)).min()
        };
        // Those that ran all the time from the call to the end: who came later has what is in force from the start.
        let there: Vec<&MemberHistory> =
            histories.values().filter(|history| history.runs_through(*at, end - 1)).collect();
        let firsts: Option<Vec<i64>> = there.into_iter().map(first).collect();
        if let Some(last) = firsts.and_then(|firsts| firsts.into_iter().max()) {
            times.push((last - at) as f64 / 1e6);
        }
    }
    verdict.everywhere = times.len() as u32;
    verdict.longest_everywhere_s = times.iter().copied().fold(0.0, f64::max);
    verdict.mean_everywhere_s = times.iter().sum::<f64>() / times.len().max(1) as f64;
}

/// The longest time in which two kinds were acted on at once.
fn contradiction(histories: &BTreeMap<u32, MemberHistory>) -> i64 {
    let mut edges: Vec<(i64, i32, u8)> = Vec::new();
    for (interval, _, _, kind) in histories.values().flat_map(|history| &history.acts) {
        if interval.from < interval.to {
            edges.push((interval.from, 1, *kind));
            edges.push((interval.to, -1, *kind));
        }
    }
    // Ends before beginnings of the same instant: at its end a right is over.
    edges.sort_unstable();
    let mut acting: BTreeMap<u8, i32> = BTreeMap::new();
    let (mut since, mut longest) = (None, 0);
    for (at, step, kind) in edges {
        *acting.entry(kind).or_default() += step;
        let kinds = acting.values().filter(|count| **count > 0).count();
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

fn without(histories: &BTreeMap<u32, MemberHistory>, verdict: &mut Verdict) {
    const FIRST: i64 = 10_000_000;
    const LONG: i64 = 5_000_000;
    if histories.values().all(|history| history.acts.is_empty()) {
        return;
    }
    for history in histories.values() {
        let mut longest = 0;
        for (nth, life) in history.lives.iter().enumerate() {
            let acts = || {
                history
                    .acts
                    .iter()
                    .filter(|(interval, ..)| interval.from >= life.from && interval.from < life.to)
            };
            // At the start of the tier there is nothing to act on, for as long as nobody called for anything.
            let began = acts().next().map_or(life.to, |(interval, ..)| interval.from);
            let mut covered = if nth == 0 { began } else { life.from + FIRST };
            let within = acts();
            for (interval, ..) in within {
                longest = longest.max(interval.from - covered);
                covered = covered.max(interval.to);
            }
            longest = longest.max(life.to - covered);
        }
        verdict.longest_without_s = verdict.longest_without_s.max(longest as f64 / 1e6);
        verdict.members_without += u32::from(longest > LONG);
    }
}

fn view_gap(history: &MemberHistory) -> i64 {
    let mut longest = 0;
    for life in &history.lives {
        let within: Vec<i64> =
            history.views.iter().copied().filter(|at| (life.from..life.to).contains(at)).collect();
        let Some(first) = within.first() else { continue };
        let ends = within.iter().skip(1).chain([&life.to]);
        let gaps = std::iter::once(first).chain(&within[1..]).zip(ends);
        longest = longest.max(gaps.map(|(from, to)| to - from).max().unwrap_or(0));
    }
    longest
}

fn lists(histories: &BTreeMap<u32, MemberHistory>) -> i64 {
    let revisions: BTreeSet<u64> =
        histories.values().flat_map(|history| history.lists.keys().copied()).collect();
    let spread = |revision: u64| {
        let taken: Vec<i64> = histories.values().filter_map(|s| s.lists.get(&revision).copied()).collect();
        Some(taken.iter().max()? - taken.iter().min()?)
    };
    // Revision 1 is the one that all begin with, whenever that is.
    revisions.into_iter().filter(|revision| *revision > 1).filter_map(spread).max().unwrap_or(0)
}
