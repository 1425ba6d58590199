//! One member: it reports to the aggregator, asks others while that is silent, and is aggregator when it is asked. What it does
//! with datagrams is in `receiving`.

use crate::aggregator::Aggregator;
use crate::aggregator_order::EPOCH;
use crate::aggregator_search::{AggregatorSearch, MAX_ANSWER_AGE, NextRound, Stage};
use crate::groups::GroupLoad;
use crate::interface::{Counts, Input, LocalLoad, Outbox, Output};
use crate::report_interval;
use crate::report_schedule::ReportSchedule;
use crate::snapshot::Snapshot;
use crate::subset_tracker::{FleetEstimate, SubsetTracker};
use crate::wire::{self, Fragment, GroupReport, Report};
use crate::{Micros, Settings};

/// How long a snapshot's report interval and connection share count, in multiples of the longest interval.
const SNAPSHOT_LIFETIME_INTERVALS: Micros = 4;
/// A member takes its share of all connections to be this much of an even one at least.
const MIN_OF_EVEN_SHARE: f64 = 0.5;

/// Why a report is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportKind {
    /// The receiver is to answer.
    Query,
    /// The receiver will be aggregator soon: it gets what it will need.
    AdvanceNotice,
}

/// One member of the fleet.
#[derive(Debug)]
pub struct Member {
    pub(crate) settings: Settings,
    pub(crate) me: u32,
    pub(crate) members: u32,
    pub(crate) now: Micros,
    /// Unix time at the time 0 of the clock, microseconds: epochs are the same for all members.
    unix_offset: Micros,
    pub(crate) search: AggregatorSearch,
    pub(crate) schedule: ReportSchedule,
    pub(crate) local: LocalLoad,
    pub(crate) aggregator: Aggregator,
    pub(crate) subsets: SubsetTracker,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) left: bool,
    pub(crate) outbox: Outbox,
}

impl Member {
    /// A member with the ordinal `me`, of a fleet of `members`, numbered from 0; `unix` is Unix time in microseconds at `now`.
    pub fn new(settings: Settings, me: u32, members: u32, seed: u64, now: Micros, unix: Micros) -> Self {
        let unix_offset = unix - now;
        Member {
            me,
            members,
            now,
            unix_offset,
            search: AggregatorSearch::new(epoch_at(unix), members),
            schedule: ReportSchedule::new(&settings, seed, now),
            local: LocalLoad::default(),
            aggregator: Aggregator::default(),
            subsets: SubsetTracker::new(settings.affinity.as_ref(), now),
            snapshot: None,
            left: false,
            outbox: Outbox::default(),
            settings,
        }
    }

    /// Takes an input; then [`Member::poll`] until it gives nothing. `now` never goes back.
    pub fn handle(&mut self, now: Micros, input: Input<'_>) {
        self.now = self.now.max(now);
        match input {
            Input::Datagram { from, bytes } => self.receive(from, bytes),
            Input::LocalLoad(local) => self.local = local,
            Input::Capacities(capacities) => self.aggregator.set_capacities(capacities),
            // A report that is due waits for what this proxy has besides groups.
            Input::GroupLoads(groups) => return self.set_group_loads(groups),
            Input::Leave => self.leave(),
            Input::Tick => {}
        }
        if !self.left {
            self.run_timers();
        }
    }

    /// Sets what the wall clock shows now, in Unix time: it may have been stepped, and epochs follow it, as they do at all members
    /// whose machines read the same clock. No other time does.
    pub fn set_wall_clock(&mut self, now: Micros, unix: Micros) {
        self.unix_offset = unix - now;
    }

    /// The next thing to do, if any.
    pub fn poll(&mut self) -> Option<Output> {
        self.outbox.pop()
    }

    /// When [`Input::Tick`] is due, unless another input comes first.
    pub fn next_timeout(&self) -> Micros {
        match self.search.stage {
            _ if self.left => Micros::MAX,
            Stage::Asking { due, .. } => due,
            Stage::Idle => self.schedule.next_at,
        }
    }

    /// The last fleet summary, if there ever was one. It may be old.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// The time between two reports as the aggregator wants it, within this member's own bounds.
    pub fn report_interval(&self) -> Micros {
        let wanted =
            self.fresh_snapshot().map_or(report_interval::DEFAULT, |snapshot| snapshot.report_interval);
        wanted.clamp(self.settings.min_report_interval, self.settings.max_report_interval)
    }

    /// The aggregator, as far as this member knows.
    pub fn aggregator(&self) -> Option<u32> {
        self.search.aggregator()
    }

    /// Whether affinity subsets follow the groups' loads, and [`Input::GroupLoads`] is of use.
    pub fn wants_groups(&self) -> bool {
        self.settings.affinity.is_some() && !self.left
    }

    /// The groups whose affinity subset has more than five endpoints, and how many.
    pub fn affinity_subsets(&self) -> impl Iterator<Item = (u64, u32)> {
        self.subsets.subsets()
    }

    /// What was sent and received so far.
    pub fn counts(&self) -> Counts {
        let groups_cut = self.aggregator.groups_truncated() + self.subsets.groups_truncated();
        Counts { groups_cut, ..self.outbox.counts }
    }

    fn run_timers(&mut self) {
        if self.search.enter_epoch(epoch_at(self.now + self.unix_offset), self.members) {
            self.aggregator.expire_groups(self.now);
            self.set_aggregator(self.search.first());
        }
        match self.search.stage {
            // This process was stopped, or very late: what it receives now may be as old as that, so it asks anew.
            Stage::Asking { .. } if self.answer_is_late() => {
                self.search.stage = Stage::Idle;
                self.report();
            }
            Stage::Asking { round, next, due } if due <= self.now => self.ask_again(round, next),
            Stage::Idle if self.schedule.next_at <= self.now => self.report(),
            _ => {}
        }
    }

    pub(crate) fn answer_is_late(&self) -> bool {
        self.now - self.schedule.sent_at > MAX_ANSWER_AGE
    }

    /// Begins a new report.
    fn report(&mut self) {
        self.schedule.sequence = self.schedule.sequence.wrapping_add(1);
        let receiver = self.search.begin_report(self.schedule.sequence);
        let max_jitter = self.report_interval() / 10;
        let interval =
            self.search.back_off(self.report_interval()).min(2 * self.settings.max_report_interval);
        self.schedule.advance(self.now, interval, max_jitter);
        let Some(receiver) = receiver else { return };
        self.announce(interval);
        self.send_report(receiver, ReportKind::Query);
        if receiver == self.me {
            self.answer_own_report();
        } else {
            self.search.await_answer(self.now, receiver);
        }
    }

    /// Shortly before another aggregator's time that one gets what it will need.
    fn announce(&mut self, interval: Micros) {
        let soon = epoch_at(self.now + interval + interval / 10 + self.unix_offset);
        if let Some(next) = self.search.announce(soon, self.members) {
            self.send_report(next, ReportKind::AdvanceNotice);
        }
    }

    /// The answer is late.
    fn ask_again(&mut self, round: u32, next: usize) {
        self.outbox.counts.unanswered += 1;
        let candidates = match self.search.next_round(self.now, round, next) {
            NextRound::Ask(candidates) => candidates,
            NextRound::GiveUp => return self.set_aggregator(None),
        };
        let (own, others): (Vec<u32>, Vec<u32>) =
            candidates.into_iter().partition(|candidate| *candidate == self.me);
        others.into_iter().for_each(|candidate| self.send_report(candidate, ReportKind::Query));
        if !own.is_empty() {
            // All candidates before this member are silent.
            self.send_report(self.me, ReportKind::Query);
            self.set_aggregator(Some(self.me));
            self.answer_own_report();
        }
    }

    /// Sends this member's report to one of the members; to itself, without a datagram.
    fn send_report(&mut self, to: u32, kind: ReportKind) {
        if kind == ReportKind::Query {
            self.search.note_asked(to);
        }
        let report = self.own_report(kind);
        let groups = self.own_group_report(&report);
        if to == self.me {
            if let Some(groups) = groups {
                self.aggregator.record_groups(&self.settings, self.now, to, 0, groups);
            }
            return self.aggregator.record_report(self.now, to, 0, report);
        }
        let group_fragments = groups.iter().flat_map(wire::write_group_report);
        wire::write_report(&report)
            .into_iter()
            .chain(group_fragments)
            .for_each(|bytes| self.outbox.send(to, bytes));
    }

    fn own_report(&self, kind: ReportKind) -> Report {
        Report {
            sequence: self.schedule.sequence,
            fragment: Fragment::ONLY,
            leaving: self.left,
            advance_notice: kind == ReportKind::AdvanceNotice,
            // Asking all candidates may have taken longer than to the next report.
            next_report_in: (self.schedule.next_at - self.now).max(self.report_interval()),
            totals: self.local.totals,
            entries: if self.left { Vec::new() } else { self.local.entries.clone() },
        }
    }

    /// The group report that goes with a report, if affinity subsets follow the groups' loads.
    fn own_group_report(&self, report: &Report) -> Option<GroupReport> {
        self.settings.affinity.filter(|_| !report.leaving).map(|_| GroupReport {
            sequence: report.sequence,
            fragment: Fragment::ONLY,
            advance_notice: report.advance_notice,
            next_report_in: report.next_report_in,
            groups: self.subsets.reported_groups(),
        })
    }

    fn set_group_loads(&mut self, groups: Vec<GroupLoad>) {
        let Some(affinity) = self.settings.affinity else { return };
        let fleet = FleetEstimate {
            members: self.members,
            endpoints: self.aggregator.endpoints(),
            mean_load: self.snapshot.as_ref().map_or(0.0, |snapshot| snapshot.mean_load),
            connection_share: self.connection_share(),
        };
        if self.subsets.set_own_groups(&affinity, self.now, groups, &fleet) {
            self.outbox.push(Output::AffinitySubsets);
        }
    }

    /// This member's share of all connections, as far as it knows.
    fn connection_share(&self) -> f64 {
        let even = 1.0 / f64::from(self.members.max(1));
        let known = self.fresh_snapshot().map(Snapshot::connection_share);
        known.map_or(even, |share| share.max(MIN_OF_EVEN_SHARE * even))
    }

    fn fresh_snapshot(&self) -> Option<&Snapshot> {
        let lifetime = SNAPSHOT_LIFETIME_INTERVALS * self.settings.max_report_interval;
        self.snapshot.as_ref().filter(|snapshot| self.now - snapshot.received_at < lifetime)
    }

    pub(crate) fn set_aggregator(&mut self, aggregator: Option<u32>) {
        if self.search.set_aggregator(aggregator) {
            self.outbox.push(Output::Aggregator(aggregator));
        }
    }

    fn leave(&mut self) {
        if self.left {
            return;
        }
        self.left = true;
        self.schedule.sequence = self.schedule.sequence.wrapping_add(1);
        if let Some(aggregator) = self.search.aggregator().filter(|aggregator| *aggregator != self.me) {
            self.send_report(aggregator, ReportKind::Query);
        }
    }
}

/// The epoch at this Unix time.
fn epoch_at(unix: Micros) -> u64 {
    (unix.max(0) / EPOCH) as u64
}
