//! What operators may ask of the rules: the version, the lease, what is held back. Written by the threads beside the loop,
//! read when somebody calls; no request looks at it.

use cottonnotch_consensus::{Micros, Role};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// What is known at the moment.
#[derive(Clone, Debug, Default)]
pub struct RulesStatus {
    /// The version that this process holds or last held.
    pub version: Option<u64>,
    /// How many rules that has.
    pub rules: u64,
    /// Until when it may act on it; may be past.
    pub until: Micros,
    /// What is left of that, in milliseconds, when it was asked for.
    pub lease_left_ms: u64,
    /// The newest version it has heard of.
    pub newest: u64,
    /// What it does among the voters.
    pub role: Role,
    /// Who leads, as far as it knows.
    pub leader: Option<u16>,
    /// The greatest term it knows.
    pub term: u64,
    /// Members that the leader has heard of lately; 0 elsewhere.
    pub live_members: u32,
    /// Namespaces of this proxy's folder that are held back, with the reason.
    pub held_back: BTreeMap<String, String>,
    /// Requests that were refused since it was in doubt which rules count.
    pub rejected_while_uncertain: u64,
    /// Datagrams that were dropped unread.
    pub invalid_datagrams: u64,
    /// Datagrams that could not be sent.
    pub unsent_datagrams: u64,
    /// Invariants found broken.
    pub invariant_violations: u64,
    /// Others were told of a newer list of render nodes, of this revision, and when that was heard.
    pub newer_list: Option<(u64, Micros)>,
    /// Why the accord does not run here, if it should.
    pub consensus_error: Option<String>,
}

/// The board.
#[derive(Debug, Default)]
pub struct StatusBoard(Mutex<RulesStatus>);

impl StatusBoard {
    /// To look at it, or change it.
    pub fn seen(&self) -> MutexGuard<'_, RulesStatus> {
        // Nobody leaves it half changed.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
