//! Handling of incoming datagrams, and of the answer to this member's own report.

use crate::group_sums::RecordOutcome;
use crate::interface::Output;
use crate::wire::{self, Datagram, FleetSummary, Fragment, GroupReport, Report, SubsetSizes};
use crate::{AffinitySettings, Member, Micros};

/// A summary with fewer members than this fraction of the current snapshot's members replaces the snapshot only once the
/// snapshot is old. An aggregator that has just started may not have received all reports.
const MIN_MEMBER_RATIO: f64 = 0.6;
/// Age, in report intervals, from which a summary with far fewer members replaces a snapshot.
const MAX_SNAPSHOT_AGE_INTERVALS: Micros = 3;

impl Member {
    /// Handles a datagram; `from` is the ordinal of the member with the sender's address.
    pub(crate) fn receive(&mut self, from: Option<u32>, bytes: &[u8]) {
        let from = from.filter(|from| *from != self.ordinal && *from < self.members && !self.has_left);
        let (Some(from), Some(datagram)) = (from, wire::read(bytes)) else {
            self.outbox.counts.dropped += 1;
            return;
        };
        match datagram {
            Datagram::Report(report) => self.receive_report(from, report, bytes.len()),
            Datagram::Summary(summary) => self.receive_summary(from, summary),
            Datagram::GroupReport(report) => self.receive_group_report(from, report, bytes.len()),
            Datagram::SubsetSizes(sizes) => self.receive_subset_sizes(from, sizes),
        }
    }

    fn receive_report(&mut self, from: u32, report: Report, bytes: usize) {
        let sequence = report.sequence;
        let wants_answer = report.fragment.is_last() && !report.advance_notice && !report.leaving;
        self.aggregator.record_report(self.now, from, bytes, report);
        if wants_answer {
            let summary = self.aggregator.summary(&self.settings, self.now);
            let fragments = wire::write_summary(&FleetSummary { sequence, ..summary });
            fragments.into_iter().for_each(|bytes| self.outbox.send(from, bytes));
        }
    }

    fn receive_group_report(&mut self, from: u32, report: GroupReport, bytes: usize) {
        let Some(affinity) = self.settings.affinity else {
            self.outbox.counts.dropped += 1;
            return;
        };
        let sequence = report.sequence;
        let wants_answer = report.fragment.is_last() && !report.advance_notice;
        let outcome = self.aggregator.record_groups(&self.settings, self.now, from, bytes, report);
        self.outbox.counts.dropped += u64::from(outcome == RecordOutcome::Contradictory);
        if wants_answer {
            let incomplete = self.aggregator.summary(&self.settings, self.now).incomplete;
            let sizes = if incomplete { Vec::new() } else { self.compute_subset_sizes(&affinity) };
            let answer = SubsetSizes { sequence, fragment: Fragment::ONLY, incomplete, sizes };
            wire::write_subset_sizes(&answer).into_iter().for_each(|bytes| self.outbox.send(from, bytes));
        }
    }

    fn compute_subset_sizes(&mut self, affinity: &AffinitySettings) -> Vec<(u64, u32)> {
        self.aggregator.subset_sizes(&self.settings, affinity, self.now, self.members)
    }

    /// Whether a datagram with this sequence number answers the last report in time. Only members that the report was sent to
    /// may answer: an earlier aggregator could guess the next sequence number.
    fn is_answer(&mut self, from: u32, sequence: u16) -> bool {
        let asked = sequence == self.schedule.sequence && self.search.has_asked(from);
        let late = self.answer_is_late();
        self.outbox.counts.dropped += u64::from(!asked);
        self.outbox.counts.late += u64::from(asked && late);
        asked && !late
    }

    fn receive_summary(&mut self, from: u32, summary: FleetSummary) {
        if self.is_answer(from, summary.sequence) && self.search.accept_answer(from) {
            self.set_aggregator(Some(from));
            self.apply_summary(summary);
        }
    }

    fn receive_subset_sizes(&mut self, from: u32, sizes: SubsetSizes) {
        if self.is_answer(from, sizes.sequence) && !sizes.incomplete {
            self.apply_subset_sizes(sizes.sizes, sizes.fragment.is_last());
        }
    }

    /// Answers this member's own report, without a datagram, when it is aggregator itself.
    pub(crate) fn answer_own_report(&mut self) {
        self.search.end_report();
        let summary = self.aggregator.summary(&self.settings, self.now);
        let incomplete = summary.incomplete;
        self.apply_summary(summary);
        if let Some(affinity) = self.settings.affinity
            && !incomplete
        {
            let sizes = self.compute_subset_sizes(&affinity);
            self.apply_subset_sizes(sizes, true);
        }
    }

    fn apply_summary(&mut self, summary: FleetSummary) {
        if summary.incomplete || self.has_too_few_members(&summary) {
            return;
        }
        let own_connections = self.local.totals.connections;
        self.snapshot.get_or_insert_default().update(self.now, own_connections, summary);
        // If the report interval has become shorter because of more requests, the next report is moved forward too.
        let latest = self.schedule.sent_at + self.report_interval() * 11 / 10;
        self.schedule.next_at = self.schedule.next_at.min(latest);
        self.outbox.push(Output::Snapshot);
    }

    fn has_too_few_members(&self, summary: &FleetSummary) -> bool {
        self.snapshot.as_ref().is_some_and(|snapshot| {
            f64::from(summary.members) < MIN_MEMBER_RATIO * f64::from(snapshot.members)
                && self.now - snapshot.received_at < MAX_SNAPSHOT_AGE_INTERVALS * self.report_interval()
        })
    }

    fn apply_subset_sizes(&mut self, sizes: Vec<(u64, u32)>, is_last_fragment: bool) {
        self.outbox.counts.subset_size_datagrams_received += 1;
        let max_size = self.aggregator.endpoints().count;
        if self.subsets.apply_answer(self.now, sizes, max_size, is_last_fragment) {
            self.outbox.push(Output::AffinitySubsets);
        }
    }
}
