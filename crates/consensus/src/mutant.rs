//! Deliberate faults in the protocol, each of which the tests must detect.

/// A deliberate fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(dead_code)]
pub enum Mutant {
    /// No fault is built in.
    Unmodified,
    /// A member counts its lease from the arrival of the grant instead of from the sending of the request.
    LeaseFromReceipt,
    /// A voter without durable state starts with an empty state and skips recovery.
    SkipRecovery,
    /// The leader activates a version without waiting for leases on incompatible versions to end.
    EarlyActivation,
    /// Members don't allow for clock drift.
    IgnoreDrift,
    /// A leader acts without checking that its authority is still valid.
    NoAuthorityCheck,
    /// A new leader doesn't wait for leases of earlier leaders to expire.
    SkipHandover,
    /// A voter votes for another candidate while it hears from a leader.
    VoteDespiteLeader,
    /// A voter that restarts with its durable state votes immediately.
    VoteAfterRestart,
    /// A member accepts grants of revoked versions.
    AcceptRevoked,
}
