//! Faults built in on purpose: the tests must find each of them.

/// A built-in fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(dead_code)]
pub enum Mutant {
    /// No fault.
    Unmodified,
    /// A member counts its lease from when the grant arrived, not from when it sent the request.
    LeaseFromReceipt,
    /// A voter without durable state starts with an empty one at once.
    SkipRecovery,
    /// The leader doesn't wait for leases on incompatible versions to end.
    EarlyActivation,
    /// Nobody allows for clock drift.
    IgnoreDrift,
    /// A leader doesn't look at its clock before it acts.
    NoAuthorityCheck,
    /// A new leader doesn't wait for leases that earlier leaders granted.
    SkipHandover,
    /// A voter votes although it hears from a leader.
    VoteDespiteLeader,
    /// A voter that restarts with its durable state votes at once.
    VoteAfterRestart,
    /// A member accepts grants of versions that were revoked.
    AcceptRevoked,
}
