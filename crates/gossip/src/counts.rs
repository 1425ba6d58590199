//! What was sent and received, for records and on-call.

/// Why a received datagram was dropped, in the order of the checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// From no member's address.
    UnknownSender,
    /// Beyond what is processed of one peer, or of all.
    RateLimited,
    /// Too long, or too short for a header and its proof.
    Length,
    /// Of a newer version of the protocol.
    NewerVersion,
    /// Not of this protocol.
    Malformed,
    /// Of another strength than is configured here.
    WrongStrength,
    /// The sender's ordinal is not that of its address.
    WrongSender,
    /// Of an incarnation that was superseded.
    Superseded,
    /// Seen before, or too old to tell.
    Replayed,
    /// The proof is wrong.
    Forged,
}

impl DropReason {
    /// All, in order.
    pub const ALL: [DropReason; 10] = [
        DropReason::UnknownSender,
        DropReason::RateLimited,
        DropReason::Length,
        DropReason::NewerVersion,
        DropReason::Malformed,
        DropReason::WrongStrength,
        DropReason::WrongSender,
        DropReason::Superseded,
        DropReason::Replayed,
        DropReason::Forged,
    ];
}

/// What a datagram is for. Each purpose has its share of the bandwidth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// Digests, which are the heartbeats, and farewells.
    Digest,
    /// Answers, refutations, pings on another member's behalf.
    Answer,
    /// Pings and indirect pings.
    Probe,
}

/// Sums since the start. Bytes are those of datagrams, without the network's headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent, as delivered: one to all counts once for each other member.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams received, dropped ones included.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
    dropped: [u64; DropReason::ALL.len()],
    withheld: [u64; 3],
}

impl Counts {
    /// Datagrams dropped for this reason.
    pub fn dropped(&self, reason: DropReason) -> u64 {
        self.dropped[reason as usize]
    }

    /// Datagrams dropped for any reason.
    pub fn dropped_in_all(&self) -> u64 {
        self.dropped.iter().sum()
    }

    /// Datagrams that the bandwidth limit withheld.
    pub fn withheld(&self, purpose: Purpose) -> u64 {
        self.withheld[purpose as usize]
    }

    pub(crate) fn drop(&mut self, reason: DropReason) {
        self.dropped[reason as usize] += 1;
    }

    pub(crate) fn withhold(&mut self, purpose: Purpose) {
        self.withheld[purpose as usize] += 1;
    }
}
