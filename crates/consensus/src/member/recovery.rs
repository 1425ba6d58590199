//! Recovery of a voter that lost its durable state: it abstains until whatever it may have promised is over, then takes over
//! the newest state that a majority of the other voters has.

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
        // Retries carry the same nonce: the answer to any of them came after the wait.
        let nonce = *recovery.nonce.get_or_insert(new_nonce);
        self.send_to_other_voters(&Message::RecoveryRequest { nonce });
        if self.config.voters.len() == 1 {
            // A single voter has nobody to ask; only an operator can start it anew.
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

    /// Counts an answer. A majority of all voters, without this one, has seen every term that it voted in and every state
    /// that it helped to commit.
    pub(super) fn receive_recovery_response(
        &mut self,
        from: u16,
        nonce: u64,
        term: u64,
        revision: StateRevision,
        state: State,
    ) {
        // Drawn ahead of every check, so that the sequence of random numbers depends on the messages alone.
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

    /// Takes over the greatest term and the newest state among the answers.
    fn finish_recovery(&mut self, election_deadline: Micros) {
        let (now, ordinal) = (self.now, self.config.ordinal);
        let Some(voter) = &mut self.voter else { return };
        let Some(recovery) = &voter.recovery else { return };
        let term = recovery.answers.values().map(|&(term, ..)| term).max().unwrap_or(0);
        let newest = recovery.answers.values().max_by_key(|(_, revision, _)| *revision);
        let Some((_, revision, state)) = newest.cloned() else { return };
        // As if it had voted for itself in this term: it doesn't know whom it did vote for.
        voter.durable_state = DurableState { term, voted: Some(ordinal), revision, state };
        voter.recovery = None;
        voter.leader_heard_at = now;
        voter.election_deadline = election_deadline;
        self.save_durable_state();
    }
}
