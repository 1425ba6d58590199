//! Faults built in on purpose: each must make a test fail, so that the tests are known to look.

/// Which fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(dead_code)]
pub enum Mutant {
    /// None.
    Unmodified,
    /// A member counts its lease from when the grant came in, not from when it asked.
    LeaseFromReceipt,
    /// A voter without memory goes on as if there had never been any.
    SkipRecovery,
    /// The leader doesn't wait for old leases to end.
    EarlyActivation,
    /// Nobody allows for clocks' drift.
    IgnoreDrift,
    /// A leader doesn't look at its clock before it acts.
    NoAuthorityCheck,
    /// A new leader doesn't wait for leases that earlier ones granted.
    SkipHandover,
    /// A voter votes though it hears from a leader.
    VoteDespiteLeader,
    /// A voter that restarts with its memory votes at once.
    VoteAfterRestart,
    /// A member takes grants below what it released.
    AcceptRevoked,
}
