//! The data that a voter keeps in every role.

use super::candidate::Candidacy;
use super::leader::Leader;
use super::recovery::Recovery;
use crate::status::Role;
use crate::{Config, DurableState, Micros};

/// The voter's part of a member.
#[derive(Clone, Debug)]
pub(crate) struct Voter {
    pub durable_state: DurableState,
    /// When the voter last heard from a leader of its term, or started. For some time after this, the voter votes for
    /// no other candidate.
    pub leader_heard_at: Micros,
    /// When the voter becomes a candidate, unless it hears from a leader earlier.
    pub election_deadline: Micros,
    pub known_leader: Option<u16>,
    pub recovery: Option<Recovery>,
    pub candidacy: Option<Candidacy>,
    pub leadership: Option<Box<Leader>>,
}

impl Voter {
    /// Creates a voter that starts. A voter with durable state behaves as if it had just heard from a leader: it may
    /// have acknowledged a heartbeat before the restart, and that leader relies on its promise. A voter without durable
    /// state recovers first.
    pub fn new(
        now: Micros,
        durable_state: Option<DurableState>,
        election_deadline: Micros,
        config: &Config,
    ) -> Self {
        let recovery = durable_state.is_none().then(|| Recovery::new(now, config));
        Self {
            durable_state: durable_state.unwrap_or_else(DurableState::initial),
            leader_heard_at: now,
            election_deadline,
            known_leader: None,
            recovery,
            candidacy: None,
            leadership: None,
        }
    }

    pub fn role(&self) -> Role {
        if self.recovery.is_some() {
            Role::Recovering
        } else if self.leadership.is_some() {
            Role::Leader
        } else if self.candidacy.is_some() {
            Role::Candidate
        } else {
            Role::Follower
        }
    }

    /// Whether the time to start an election has come.
    pub fn is_election_due(&self, now: Micros) -> bool {
        self.recovery.is_none() && self.leadership.is_none() && now >= self.election_deadline
    }
}
