//! What went out and came in, for records and on-call.

/// Why a datagram that came in was dropped, in the order of the checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// From no member's address.
    UnknownSender,
    /// Beyond what is looked at from one peer, or from all.
    RateLimited,
    /// Too long, or too short for a header and its proof.
    Length,
    /// Of a newer version of the protocol.
    NewerVersion,
    /// Not of this protocol.
    Malformed,
    /// Proven in another way than is configured here.
    WrongStrength,
    /// In the name of another than its address has.
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

/// What a datagram was for. Each has its part of the ceiling.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// Digests, which are the beats, and farewells.
    Digest,
    /// Answers, contradictions, asking on another's behalf.
    Answer,
    /// Asking for a sign of life, directly or through others.
    Probe,
}

/// Sums since the start. Bytes are those of datagrams, without the network's headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent, as delivered: one to all counts once for each other member.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams that came in, dropped ones included.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
    dropped: [u64; DropReason::ALL.len()],
    withheld: [u64; 3],
}

impl Counts {
    /// Datagrams dropped for this reason.
    pub fn dropped(&self, why: DropReason) -> u64 {
        self.dropped[why as usize]
    }

    /// Datagrams dropped for whatever reason.
    pub fn dropped_in_all(&self) -> u64 {
        self.dropped.iter().sum()
    }

    /// Datagrams that the ceiling kept from being sent.
    pub fn withheld(&self, purpose: Purpose) -> u64 {
        self.withheld[purpose as usize]
    }

    pub(crate) fn drop(&mut self, why: DropReason) {
        self.dropped[why as usize] += 1;
    }

    pub(crate) fn withhold(&mut self, purpose: Purpose) {
        self.withheld[purpose as usize] += 1;
    }
}
