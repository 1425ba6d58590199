//! A voter saves what it must not forget, and waits.

use crate::roles::voter::Voter;
use crate::{Member, Micros, Output};

impl Member {
    /// Keeps the voter's memory, ahead of whatever is sent next.
    pub(crate) fn save(&mut self) {
        if let Some(voter) = &self.voter {
            self.out.push_back(Output::Save(voter.durable_state.clone()));
        }
    }

    pub(crate) fn voter_timeout(&self, voter: &Voter) -> Micros {
        if let Some(recovering) = &voter.recovering {
            return recovering.next_ask;
        }
        match &voter.leading {
            Some(leader) => self.leader_timeout(leader),
            None => voter.deadline,
        }
    }
}
