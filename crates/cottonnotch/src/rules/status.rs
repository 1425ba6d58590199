//! The status of the rules for operators: the version, the lease and the held-back namespaces. The rules' threads write the
//! status, and the admin server reads it on request. The handling of client requests does not depend on it.

use cottonnotch_consensus::{Micros, Role};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The status of the rules.
#[derive(Clone, Debug, Default)]
pub struct RulesStatus {
    /// The number of the version that this process acts on, or last acted on.
    pub version: Option<u64>,
    /// The number of rules in that version.
    pub rule_count: u64,
    /// The time at which the lease on that version expires or expired.
    pub lease_until: Micros,
    /// The remaining time of the lease when the status is read, in milliseconds, rounded up.
    pub lease_left_ms: u64,
    /// The number of the newest known version.
    pub newest_version: u64,
    /// This member's role among the voters.
    pub role: Role,
    /// The ordinal of the leader; `None` if it is unknown.
    pub leader: Option<u16>,
    /// The highest known term.
    pub term: u64,
    /// At the leader, the number of members that requested a lease recently; 0 at other members.
    pub live_members: u32,
    /// The namespaces that are held back on their last valid revision, each with the reason.
    pub held_back: BTreeMap<String, String>,
    /// The number of requests rejected because it was uncertain which rules are in force.
    pub rejected_while_uncertain: u64,
    /// The number of datagrams dropped because they could not be authenticated or decoded.
    pub invalid_datagrams: u64,
    /// The number of datagrams that could not be sent.
    pub unsent_datagrams: u64,
    /// The number of detected invariant violations.
    pub invariant_violations: u64,
    /// The revision of an endpoint list that other members have and that is newer than this proxy's list, and when this proxy
    /// learned of it.
    pub newer_list: Option<(u64, Micros)>,
    /// The error that ended the consensus thread; `None` if there was no error.
    pub consensus_error: Option<String>,
}

/// The status, shared between threads.
#[derive(Debug, Default)]
pub struct SharedStatus(Mutex<RulesStatus>);

impl SharedStatus {
    /// Locks the status for reading or changing.
    pub fn lock(&self) -> MutexGuard<'_, RulesStatus> {
        // No holder of the lock leaves a partial change behind when it panics, so a poisoned lock is safe to use.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
