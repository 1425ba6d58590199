//! Recovery of a voter that lost its durable state. The voter abstains until every promise that it may have made has
//! expired, then takes over the newest state among those of a majority of voters other than itself.

use crate::{DurableState, Member, Message, Micros, State, StateRevision};
use rand::RngExt;

impl Member {
    pub(super) fn tick_recovery(&mut self) {
        let now = self.now;
        let retry_after = self.config.timing.heartbeat * 2;
        let jitter = self.rng.random_range(0..=retry_after / 2);
        let new_nonce = self.rng.random();
        let Some(recovery) = self.voter.as_mut().and_then(|voter| voter.recovery.as_mut()) else {
            return;
        };
        if now < recovery.next_request {
            return;
        }
        recovery.next_request = now + retry_after + jitter;
        // Retries use the same nonce, because all of them are sent after the waiting time and every answer to them is
        // valid.
        let nonce = *recovery.nonce.get_or_insert(new_nonce);
        self.send_to_other_voters(&Message::RecoveryRequest { nonce });
        if self.config.voters.len() == 1 {
            // A single voter has no other voter to ask. Only an operator can start it with a new state.
            self.counters.dropped += 1;
        }
    }

    pub(super) fn receive_recovery_request(&mut self, from: u16, nonce: u64) {
        let Some(voter) = &self.voter else { return };
        if voter.recovery.is_some() {
            return;
        }
        let DurableState { term, revision, state, .. } = voter.durable_state.clone();
        self.send(from, Message::RecoveryResponse { nonce, term, revision, state: Box::new(state) });
    }

    /// Handles an answer. Answers are needed from as many other voters as make a majority of all voters: together they
    /// know every term that this voter voted in and every state that it helped to commit.
    pub(super) fn receive_recovery_response(
        &mut self,
        from: u16,
        nonce: u64,
        term: u64,
        revision: StateRevision,
        state: State,
    ) {
        // The deadline is drawn before every check, so that the sequence of random numbers depends only on the
        // messages.
        let deadline = self.draw_election_deadline();
        let majority = self.config.majority();
        let Some(recovery) = self.voter.as_mut().and_then(|voter| voter.recovery.as_mut()) else { return };
        if recovery.nonce != Some(nonce) {
            return self.counters.dropped += 1;
        }
        recovery.answers.insert(from, (term, revision, state));
        if recovery.answers.len() >= majority {
            self.finish_recovery(deadline);
        }
    }

    /// Takes over the greatest term and the newest state of the answers.
    fn finish_recovery(&mut self, election_deadline: Micros) {
        let (now, ordinal) = (self.now, self.config.ordinal);
        let Some(voter) = &mut self.voter else { return };
        let Some(recovery) = &voter.recovery else { return };
        let term = recovery.answers.values().map(|&(term, ..)| term).max().unwrap_or(0);
        let newest = recovery.answers.values().max_by_key(|(_, revision, _)| *revision);
        let Some((_, revision, state)) = newest.cloned() else { return };
        // The voter doesn't know which candidate it voted for in this term. It records a vote for itself, so that it
        // votes for no other candidate.
        voter.durable_state = DurableState { term, voted: Some(ordinal), revision, state };
        voter.recovery = None;
        voter.leader_heard_at = now;
        voter.election_deadline = election_deadline;
        self.save_durable_state();
    }
}
