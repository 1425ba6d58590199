//! The state machine of one member. A member reports to the aggregator, searches for another one if the aggregator does not
//! answer, and acts as aggregator for every member that reports to it. The module `receiving` handles incoming datagrams.

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

/// Time for which the report interval and the connection share of a snapshot are used, in multiples of the maximum report
/// interval.
const SNAPSHOT_LIFETIME_INTERVALS: Micros = 4;
/// Lower limit for the share of all connections that a member assumes to have, as a fraction of an even share.
const MIN_FRACTION_OF_EVEN_SHARE: f64 = 0.5;

/// The purpose of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportKind {
    /// The receiver is to answer with a summary.
    Query,
    /// The receiver is the aggregator of the next epoch and stores the report in advance.
    AdvanceNotice,
}

/// One member of the fleet.
#[derive(Debug)]
pub struct Member {
    pub(crate) settings: Settings,
    pub(crate) ordinal: u32,
    pub(crate) members: u32,
    pub(crate) now: Micros,
    /// Unix time minus `now`, in microseconds. Epochs follow Unix time, so that all members are in the same epoch.
    unix_offset: Micros,
    pub(crate) search: AggregatorSearch,
    pub(crate) schedule: ReportSchedule,
    pub(crate) local: LocalLoad,
    pub(crate) aggregator: Aggregator,
    pub(crate) subsets: SubsetTracker,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) has_left: bool,
    pub(crate) outbox: Outbox,
}

impl Member {
    /// Creates the member with the given `ordinal`, counted from 0, in a fleet of `members`; `unix` is the Unix time in
    /// microseconds at `now`.
    pub fn new(settings: Settings, ordinal: u32, members: u32, seed: u64, now: Micros, unix: Micros) -> Self {
        let unix_offset = unix - now;
        Member {
            ordinal,
            members,
            now,
            unix_offset,
            search: AggregatorSearch::new(epoch_at(unix), members),
            schedule: ReportSchedule::new(&settings, seed, now),
            local: LocalLoad::default(),
            aggregator: Aggregator::default(),
            subsets: SubsetTracker::new(settings.affinity.as_ref(), now),
            snapshot: None,
            has_left: false,
            outbox: Outbox::default(),
            settings,
        }
    }

    /// Handles an input. The caller then calls [`Member::poll`] until it returns `None`. Time does not go backwards: if `now`
    /// is earlier than in a previous call, the previous time is used.
    pub fn handle(&mut self, now: Micros, input: Input<'_>) {
        self.now = self.now.max(now);
        match input {
            Input::Datagram { from, bytes } => self.receive(from, bytes),
            Input::LocalLoad(local) => self.local = local,
            Input::Capacities(capacities) => self.aggregator.set_capacities(capacities),
            // The timers do not run here: a report that is due is sent by a later input, after `Input::LocalLoad` has updated
            // the load.
            Input::GroupLoads(groups) => return self.set_group_loads(groups),
            Input::Leave => self.leave(),
            Input::Tick => {}
        }
        if !self.has_left {
            self.run_timers();
        }
    }

    /// Sets the current Unix time, after a possible step of the wall clock. Only epochs follow the wall clock, so that members
    /// whose machines show the same time are in the same epoch. All other times are independent of it.
    pub fn set_wall_clock(&mut self, now: Micros, unix: Micros) {
        self.unix_offset = unix - now;
    }

    /// The next output; `None` if there is no further one.
    pub fn poll(&mut self) -> Option<Output> {
        self.outbox.pop()
    }

    /// When [`Input::Tick`] is due, unless another input is handled before.
    pub fn next_timeout(&self) -> Micros {
        match self.search.stage {
            _ if self.has_left => Micros::MAX,
            Stage::Asking { due, .. } => due,
            Stage::Idle => self.schedule.next_at,
        }
    }

    /// The last fleet summary, which may be old; `None` before the first one.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// The time between two reports: the value from the aggregator, limited to the range configured at this member.
    pub fn report_interval(&self) -> Micros {
        let requested = self
            .fresh_snapshot()
            .map_or(report_interval::DEFAULT_INTERVAL, |snapshot| snapshot.report_interval);
        requested.clamp(self.settings.min_report_interval, self.settings.max_report_interval)
    }

    /// The aggregator known to this member; `None` if no candidate has answered.
    pub fn aggregator(&self) -> Option<u32> {
        self.search.aggregator()
    }

    /// Whether affinity subsets follow the groups' loads, so that the member needs [`Input::GroupLoads`].
    pub fn wants_groups(&self) -> bool {
        self.settings.affinity.is_some() && !self.has_left
    }

    /// The groups whose affinity subset has more than five endpoints, with the size of the subset.
    pub fn affinity_subsets(&self) -> impl Iterator<Item = (u64, u32)> {
        self.subsets.subsets()
    }

    /// The counters of this member.
    pub fn counts(&self) -> Counts {
        let groups_truncated = self.aggregator.groups_truncated() + self.subsets.groups_truncated();
        Counts { groups_truncated, ..self.outbox.counts }
    }

    fn run_timers(&mut self) {
        if self.search.enter_epoch(epoch_at(self.now + self.unix_offset), self.members) {
            self.aggregator.expire_groups(self.now);
            self.set_aggregator(self.search.first_candidate());
        }
        match self.search.stage {
            // This process was stopped or severely delayed. Answers received now may be just as old, so the member sends a new
            // report.
            Stage::Asking { .. } if self.answer_is_late() => {
                self.search.stage = Stage::Idle;
                self.report();
            }
            Stage::Asking { round, next, due } if due <= self.now => self.retry_report(round, next),
            Stage::Idle if self.schedule.next_at <= self.now => self.report(),
            _ => {}
        }
    }

    pub(crate) fn answer_is_late(&self) -> bool {
        self.now - self.schedule.sent_at > MAX_ANSWER_AGE
    }

    /// Sends a new report to the aggregator and schedules the next one.
    fn report(&mut self) {
        self.schedule.sequence = self.schedule.sequence.wrapping_add(1);
        let receiver = self.search.begin_report(self.schedule.sequence);
        let max_jitter = self.report_interval() / 10;
        let interval =
            self.search.back_off(self.report_interval()).min(2 * self.settings.max_report_interval);
        self.schedule.advance(self.now, interval, max_jitter);
        let Some(receiver) = receiver else { return };
        self.send_advance_notice(interval);
        self.send_report(receiver, ReportKind::Query);
        if receiver == self.ordinal {
            self.answer_own_report();
        } else {
            self.search.await_answer(self.now, receiver);
        }
    }

    /// Sends the report to the next epoch's aggregator too, if that epoch begins before the next report is due.
    fn send_advance_notice(&mut self, interval: Micros) {
        let upcoming_epoch = epoch_at(self.now + interval + interval / 10 + self.unix_offset);
        if let Some(next) = self.search.take_advance_notice_receiver(upcoming_epoch, self.members) {
            self.send_report(next, ReportKind::AdvanceNotice);
        }
    }

    /// Sends the last report again, or to further candidates, after no answer has arrived in time.
    fn retry_report(&mut self, round: u32, next: usize) {
        self.outbox.counts.unanswered += 1;
        let candidates = match self.search.next_round(self.now, round, next) {
            NextRound::Ask(candidates) => candidates,
            NextRound::GiveUp => return self.set_aggregator(None),
        };
        let (own, others): (Vec<u32>, Vec<u32>) =
            candidates.into_iter().partition(|candidate| *candidate == self.ordinal);
        others.into_iter().for_each(|candidate| self.send_report(candidate, ReportKind::Query));
        if !own.is_empty() {
            // This member is the next candidate, and no candidate before it has answered.
            self.send_report(self.ordinal, ReportKind::Query);
            self.set_aggregator(Some(self.ordinal));
            self.answer_own_report();
        }
    }

    /// Sends this member's report to a member. A report to itself is stored without a datagram.
    fn send_report(&mut self, to: u32, kind: ReportKind) {
        if kind == ReportKind::Query {
            self.search.record_asked(to);
        }
        let report = self.own_report(kind);
        let groups = self.own_group_report(&report);
        if to == self.ordinal {
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
            leaving: self.has_left,
            advance_notice: kind == ReportKind::AdvanceNotice,
            // While candidates are being asked, the next report may already be overdue.
            next_report_in: (self.schedule.next_at - self.now).max(self.report_interval()),
            totals: self.local.totals,
            entries: if self.has_left { Vec::new() } else { self.local.entries.clone() },
        }
    }

    /// The group report to send along with `report`; `None` if affinity subsets do not follow the groups' loads, or if this
    /// member is leaving.
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

    /// This member's share of all connections: an even share if no fresh snapshot exists.
    fn connection_share(&self) -> f64 {
        let even = 1.0 / f64::from(self.members.max(1));
        let known = self.fresh_snapshot().map(Snapshot::connection_share);
        known.map_or(even, |share| share.max(MIN_FRACTION_OF_EVEN_SHARE * even))
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
        if self.has_left {
            return;
        }
        self.has_left = true;
        self.schedule.sequence = self.schedule.sequence.wrapping_add(1);
        if let Some(aggregator) = self.search.aggregator().filter(|aggregator| *aggregator != self.ordinal) {
            self.send_report(aggregator, ReportKind::Query);
        }
    }
}

/// The number of the epoch at this Unix time.
fn epoch_at(unix: Micros) -> u64 {
    (unix.max(0) / EPOCH) as u64
}
