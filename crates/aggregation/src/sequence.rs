//! Sequence numbers of reports: 16 bits that wrap around and start at a random value.

/// A sequence number at least this far behind the newest known one comes from a restarted process. A smaller distance means a
/// delayed datagram of the same process.
const MAX_BEHIND: i16 = 16;

/// Relation of a received sequence number to the newest known one of the same member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SequenceOrder {
    /// The same report: another fragment, or a duplicate.
    Same,
    /// The report directly after the newest known one.
    Next,
    /// A later report; reports in between were lost or are delayed.
    Later,
    /// An earlier report, which arrived after a newer one.
    Overtaken,
    /// A report of a restarted process.
    Restarted,
}

impl SequenceOrder {
    pub(crate) fn of(received: u16, known: u16) -> Self {
        match received.wrapping_sub(known) as i16 {
            0 => SequenceOrder::Same,
            1 => SequenceOrder::Next,
            2.. => SequenceOrder::Later,
            behind if behind > -MAX_BEHIND => SequenceOrder::Overtaken,
            _ => SequenceOrder::Restarted,
        }
    }
}
