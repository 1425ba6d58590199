//! Sequence numbers of reports: 16 bits that wrap and begin anywhere.

/// A number this far behind the known one is a new process's; up to here it is a late datagram of the same.
const MAX_BEHIND: i16 = 16;

/// How a received sequence number relates to the newest known one of the same member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SequenceOrder {
    /// Another fragment of the same report, or the same fragment again.
    Same,
    /// The report after the known one.
    Next,
    /// A report further on: some in between were lost.
    Later,
    /// An earlier report, overtaken on the way.
    Overtaken,
    /// Of a process that began anew.
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
