//! The stored report of one member: the newest report, and entries of the previous one in place of missing fragments.

use crate::Micros;
use crate::sequence::SequenceOrder;
use crate::wire::{EndpointDigest, Entry, Fragment, Report, Totals};
use std::collections::BTreeSet;

/// Lifetime of a report, in halves of the time until its sender's next report. With 2.5 intervals, a member stays in the sums
/// when two of its reports are lost.
pub(crate) const LIFETIME_HALF_INTERVALS: i64 = 5;
/// Lower limit for the announced time until a member's next report.
pub(crate) const MIN_NEXT_REPORT_IN: Micros = 200_000;

/// The received fragments of a member's newest report.
#[derive(Clone, Debug)]
pub struct MemberReport {
    pub(crate) expires_at: Micros,
    pub(crate) next_report_in: Micros,
    pub(crate) bytes: usize,
    pub(crate) sequence: u16,
    fragments: u8,
    /// Bit n is set if fragment n has arrived.
    fragments_received: u16,
    pub(crate) totals: Totals,
    /// Entries with the sequence number of the report that contained them.
    entries: Vec<(u16, Entry)>,
}

impl MemberReport {
    /// Begins the report that this datagram belongs to, without storing the datagram's entries yet.
    pub(crate) fn begin(now: Micros, report: &Report) -> Self {
        MemberReport {
            expires_at: now,
            next_report_in: report.next_report_in,
            bytes: 0,
            sequence: report.sequence,
            fragments: report.fragment.count,
            fragments_received: 0,
            totals: report.totals,
            entries: Vec::new(),
        }
    }

    fn is_complete(&self) -> bool {
        self.fragments_received.count_ones() >= u32::from(self.fragments)
    }

    /// The entries that count: those of the newest report and, while some of its fragments are missing, the entries of the
    /// previous report for other endpoints.
    pub(crate) fn current_entries(&self) -> impl Iterator<Item = &Entry> {
        let complete = self.is_complete();
        self.entries
            .iter()
            .filter(move |(sequence, _)| !complete || *sequence == self.sequence)
            .map(|(_, entry)| entry)
    }

    /// Begins a newer report. The entries of the previous report replace fragments that have not arrived yet.
    pub(crate) fn supersede(&mut self, now: Micros, report: &Report, order: SequenceOrder) {
        let previous = std::mem::replace(self, MemberReport::begin(now, report));
        let usable = match order {
            SequenceOrder::Next => previous.is_complete(),
            SequenceOrder::Later => true,
            SequenceOrder::Same | SequenceOrder::Overtaken | SequenceOrder::Restarted => false,
        };
        if usable {
            let of_previous = |(sequence, _): &(u16, Entry)| *sequence == previous.sequence;
            self.entries = previous.entries.into_iter().filter(of_previous).collect();
        }
    }

    /// Stores one fragment; `bytes` is the size of its datagram.
    pub(crate) fn add_fragment(&mut self, now: Micros, bytes: usize, report: Report) {
        let lifetime = LIFETIME_HALF_INTERVALS * report.next_report_in.max(MIN_NEXT_REPORT_IN) / 2;
        self.expires_at = now + lifetime;
        self.add_bytes(report.fragment, bytes);
        self.fragments_received |= report.fragment.bit();
        let named: BTreeSet<EndpointDigest> = report.entries.iter().map(|entry| entry.endpoint).collect();
        self.entries.retain(|(_, entry)| !named.contains(&entry.endpoint));
        let sequence = self.sequence;
        self.entries.extend(report.entries.into_iter().map(|entry| (sequence, entry)));
    }

    /// Adds the size of a fragment. A fragment that arrives twice counts once.
    fn add_bytes(&mut self, fragment: Fragment, bytes: usize) {
        if self.fragments_received & fragment.bit() == 0 {
            self.bytes += bytes;
        }
    }
}
