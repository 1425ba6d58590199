//! What voters do in every role: they save their durable state ahead of what they send, and wait.

use crate::roles::voter::Voter;
use crate::{Member, Micros, Output};

impl Member {
    /// Saves the voter's durable state, ahead of whatever is sent next.
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
