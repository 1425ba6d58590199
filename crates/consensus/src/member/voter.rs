//! The steps that voters take in every role: saving their durable state before sending messages that depend on it, and
//! computing the next time-out.

use crate::roles::voter::Voter;
use crate::{Member, Micros, Output};

impl Member {
    /// Saves the durable state of the voter before any message that is sent later.
    pub(super) fn save_durable_state(&mut self) {
        if let Some(voter) = &self.voter {
            self.outputs.push_back(Output::Save(voter.durable_state.clone()));
        }
    }

    pub(super) fn voter_timeout(&self, voter: &Voter) -> Micros {
        if let Some(recovery) = &voter.recovery {
            return recovery.next_request;
        }
        match &voter.leadership {
            Some(leader) => self.leader_timeout(leader),
            None => voter.election_deadline,
        }
    }
}
