//! What a voter keeps.

use super::candidate::Candidacy;
use super::leader::Leader;
use super::recovery::Recovering;
use crate::status::Role;
use crate::{Config, DurableState, Micros};

/// A voter's part of a member.
#[derive(Clone, Debug)]
pub(crate) struct Voter {
    pub durable_state: DurableState,
    /// When it last heard from a leader of its term, or started: it votes for no other for a while after.
    pub heard_at: Micros,
    /// When it asks for votes.
    pub deadline: Micros,
    pub leader: Option<u16>,
    pub recovering: Option<Recovering>,
    pub candidacy: Option<Candidacy>,
    pub leading: Option<Box<Leader>>,
}

impl Voter {
    /// With its memory it goes on, but as if it had just heard from a leader: it may have, before it restarted, and that
    /// leader counts on it.
    pub fn new(now: Micros, durable_state: Option<DurableState>, deadline: Micros, config: &Config) -> Self {
        let recovering = durable_state.is_none().then(|| Recovering::new(now, config));
        Self {
            durable_state: durable_state.unwrap_or_else(DurableState::initial),
            heard_at: now,
            deadline,
            leader: None,
            recovering,
            candidacy: None,
            leading: None,
        }
    }

    pub fn role(&self) -> Role {
        if self.recovering.is_some() {
            Role::Recovering
        } else if self.leading.is_some() {
            Role::Leader
        } else if self.candidacy.is_some() {
            Role::Candidate
        } else {
            Role::Follower
        }
    }
}
