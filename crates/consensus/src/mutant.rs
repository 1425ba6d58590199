//! Faults built in on purpose: each must make a test fail, so that the tests are known to look.

/// Which fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(dead_code)]
pub enum Mutant {
    /// None.
    Faithful,
    /// A member counts its lease from when the grant came in, not from when it asked.
    LeaseFromReceipt,
    /// A voter without memory goes on as if there had never been any.
    ForgetfulVoter,
    /// The leader doesn't wait for old leases to end.
    EarlyEffect,
    /// Nobody allows for clocks' drift.
    NoDrift,
    /// A leader doesn't look at its clock before it acts.
    PauseUnnoticed,
    /// A new leader doesn't wait for leases that earlier ones granted.
    NoHandover,
    /// A voter votes though it hears from a leader.
    Fickle,
    /// A voter that restarts with its memory votes at once.
    RashRestart,
    /// A member takes grants below what it released.
    TakesBack,
}
