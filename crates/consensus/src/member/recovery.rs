//! A voter without memory: it abstains until what it may have promised is over, then learns what was agreed with its help.

use crate::{DurableState, Member, Message, State, StateRevision};
use rand::RngExt;

impl Member {
    pub(crate) fn turn_recovery(&mut self) {
        let now = self.now;
        let patience = self.config.timing.heartbeat * 2;
        let jitter = self.chance.random_range(0..=patience / 2);
        let chance = self.chance.random();
        let Some(recovering) = self.voter.as_mut().and_then(|voter| voter.recovering.as_mut()) else {
            return;
        };
        if now < recovering.next_ask {
            return;
        }
        recovering.next_ask = now + patience + jitter;
        // Asked again with the same one: answers to any of these questions came after the wait.
        let nonce = *recovering.nonce.get_or_insert(chance);
        self.tell_other_voters(&Message::RecoveryRequest { nonce });
        if self.config.voters.len() == 1 {
            // Alone, it can learn from nobody; only the operator's word helps.
            self.counts.dropped += 1;
        }
    }

    /// Another voter lost its memory.
    pub(crate) fn asked_to_recover(&mut self, from: u16, nonce: u64) {
        let Some(voter) = &self.voter else { return };
        if voter.recovering.is_some() {
            return;
        }
        let DurableState { term, revision, state, .. } = voter.durable_state.clone();
        self.send(from, Message::RecoveryResponse { nonce, term, revision, state: Box::new(state) });
    }

    /// An answer. A majority of all voters, without this one, has seen any term it voted in and any state it helped agree.
    pub(crate) fn recovered(
        &mut self,
        from: u16,
        nonce: u64,
        term: u64,
        revision: StateRevision,
        state: State,
    ) {
        let (now, me, majority) = (self.now, self.config.ordinal, self.config.majority());
        let deadline = self.election_deadline();
        let Some(voter) = &mut self.voter else { return };
        let Some(recovering) = &mut voter.recovering else { return };
        if recovering.nonce != Some(nonce) {
            return self.counts.dropped += 1;
        }
        recovering.answers.insert(from, (term, revision, state));
        if recovering.answers.len() < majority {
            return;
        }
        let term = recovering.answers.values().map(|&(term, ..)| term).max().unwrap_or(0);
        let newest = recovering.answers.values().max_by_key(|(_, revision, _)| *revision);
        let Some((_, revision, state)) = newest.cloned() else { return };
        // Voted for itself in this term, as it were: whom it did vote for, it doesn't know.
        voter.durable_state = DurableState { term, voted: Some(me), revision, state };
        voter.recovering = None;
        voter.heard_at = now;
        voter.deadline = deadline;
        self.save();
    }
}
