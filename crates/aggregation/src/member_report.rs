//! What one member has reported: its newest report, and what of the previous one stands in for missing fragments.

use crate::Micros;
use crate::sequence::SequenceOrder;
use crate::wire::{EndpointDigest, Entry, Fragment, Report, Totals};
use std::collections::BTreeSet;

/// The lifetime of a report, in halves of the time to its sender's next one: two reports may be lost.
pub(crate) const LIFETIME_HALF_INTERVALS: i64 = 5;
/// No report says that the next one is due sooner than this.
pub(crate) const MIN_NEXT_REPORT_IN: Micros = 200_000;
/// The newest report of one member, as far as its fragments have arrived.
#[derive(Clone, Debug)]
pub struct MemberReport {
    pub(crate) expires_at: Micros,
    pub(crate) next_report_in: Micros,
    pub(crate) bytes: usize,
    pub(crate) sequence: u16,
    fragments: u8,
    /// Bit n: fragment n has arrived.
    fragments_received: u16,
    pub(crate) totals: Totals,
    /// Each with the sequence number of the report that it is from.
    entries: Vec<(u16, Entry)>,
}

impl MemberReport {
    /// The report that this datagram begins, with nothing of it taken yet.
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

    /// The entries that count: those of the newest report, and while fragments of that are missing, the previous report's entries
    /// of other endpoints too.
    pub(crate) fn current_entries(&self) -> impl Iterator<Item = &Entry> {
        let complete = self.is_complete();
        self.entries
            .iter()
            .filter(move |(sequence, _)| !complete || *sequence == self.sequence)
            .map(|(_, entry)| entry)
    }

    /// Begins a newer report; the previous one's entries stand in for fragments that are still to arrive.
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

    /// Takes one fragment; `bytes` is the size of its datagram.
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

    /// A fragment that arrives twice counts once.
    fn add_bytes(&mut self, fragment: Fragment, bytes: usize) {
        if self.fragments_received & fragment.bit() == 0 {
            self.bytes += bytes;
        }
    }
}
