//! Counters of datagrams sent, received, dropped and withheld, for records and on-call.

/// Why a received datagram was dropped, in the order of the checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// The address belongs to no member.
    UnknownSender,
    /// The limit on datagrams from one peer, or from all peers together, is exceeded.
    RateLimited,
    /// Too long, or too short for a header and its proof.
    Length,
    /// The datagram has a newer protocol version.
    NewerVersion,
    /// The bytes are no datagram of this protocol.
    Malformed,
    /// The sender uses another strength than is configured here.
    WrongStrength,
    /// The ordinal in the header does not match the sender's address.
    WrongSender,
    /// The sender's incarnation was superseded.
    Superseded,
    /// The datagram was seen before, or is too old for the replay window.
    Replayed,
    /// The proof of the sender is invalid.
    Forged,
}

impl DropReason {
    /// All reasons in the order of the checks.
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

/// The purpose of a datagram. Each purpose has a share of the bandwidth limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// Digests, which also serve as heartbeats, and farewells.
    Digest,
    /// Answers, refutations, and pings on another member's behalf.
    Answer,
    /// Pings and indirect pings.
    Probe,
}

/// Totals since the process started. Byte counts exclude the headers of the network.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent. A datagram to all members counts once for each receiver.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams received, including those dropped.
    pub received: u64,
    /// Bytes of the datagrams received.
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

    /// Datagrams of this purpose that were not sent because of a rate limit.
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
