//! The status of the rules for operators: the version, the lease, namespaces held back. Written by the rules' threads, read on
//! request by the admin server; no client's request looks at it.

use cottonnotch_consensus::{Micros, Role};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The status of the rules.
#[derive(Clone, Debug, Default)]
pub struct RulesStatus {
    /// The version that this process acts on, or acted on last.
    pub version: Option<u64>,
    /// The number of its rules.
    pub rules: u64,
    /// When its lease expires, or expired.
    pub until: Micros,
    /// What is left of the lease when the status is read, in milliseconds, rounded up.
    pub lease_left_ms: u64,
    /// The newest version known.
    pub newest: u64,
    /// The role among the voters.
    pub role: Role,
    /// The leader, as far as it is known.
    pub leader: Option<u16>,
    /// The greatest term known.
    pub term: u64,
    /// Leader: members that requested a lease recently; 0 elsewhere.
    pub live_members: u32,
    /// Namespaces that are held back on their last valid revision, with the reason.
    pub held_back: BTreeMap<String, String>,
    /// Requests rejected since it was uncertain which rules are in force.
    pub rejected_while_uncertain: u64,
    /// Datagrams dropped since they could not be authenticated or decoded.
    pub invalid_datagrams: u64,
    /// Datagrams that could not be sent.
    pub unsent_datagrams: u64,
    /// Invariants found violated.
    pub invariant_violations: u64,
    /// The revision of an endpoint list newer than this proxy's that other members have, and when this proxy heard of it.
    pub newer_list: Option<(u64, Micros)>,
    /// Why the consensus thread ended, if it did.
    pub consensus_error: Option<String>,
}

/// The status, shared between threads.
#[derive(Debug, Default)]
pub struct SharedStatus(Mutex<RulesStatus>);

impl SharedStatus {
    /// The status, to read or to change.
    pub fn lock(&self) -> MutexGuard<'_, RulesStatus> {
        // Nobody panics with it half changed.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
