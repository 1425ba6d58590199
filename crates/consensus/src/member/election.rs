//! Elections as in Raft, each preceded by a pre-vote (Ongaro's thesis, section 9.6), so that a voter that was
//! disconnected doesn't raise the term.

use crate::mutant::Mutant;
use crate::roles::candidate::Candidacy;
use crate::roles::leader::Leader;
use crate::roles::voter::Voter;
use crate::{Member, Message, Micros, StateRevision};
use rand::RngExt;
use std::collections::BTreeSet;

impl Member {
    /// Draws the time at which this voter becomes a candidate unless it hears from a leader earlier. The time is never
    /// before the end of the promise that the last heard leader relies on.
    pub(super) fn draw_election_deadline(&mut self) -> Micros {
        let min = self.lengthen(self.config.timing.election_timeout_min);
        let max = self.config.timing.election_timeout_max.max(min + 1);
        self.now + self.rng.random_range(min..=max)
    }

    /// Starts an election when it is due. This also ends a running candidacy: the candidate starts again in a new term,
    /// and votes that are still queued for the old term no longer count.
    pub(super) fn tick_election(&mut self) {
        if self.voter.as_ref().is_some_and(|voter| voter.is_election_due(self.now)) {
            self.start_pre_vote();
        }
    }

    /// Starts a pre-vote, which asks whether a majority would vote for this voter.
    fn start_pre_vote(&mut self) {
        let Some(term) = self.begin_candidacy() else { return };
        let votes = BTreeSet::from([self.config.ordinal]);
        self.request_votes(Candidacy { term, pre_vote: true, votes });
    }

    /// Starts an election, after a majority granted the pre-vote.
    fn start_election(&mut self) {
        let ordinal = self.config.ordinal;
        let Some(term) = self.begin_candidacy() else { return };
        let Some(voter) = &mut self.voter else { return };
        voter.durable_state.term = term;
        voter.durable_state.voted = Some(ordinal);
        self.counters.elections += 1;
        self.save_durable_state();
        self.request_votes(Candidacy { term, pre_vote: false, votes: BTreeSet::from([ordinal]) });
    }

    /// Clears the known leader, draws the time of the next election, and returns the term in which the candidate wants
    /// to be elected.
    fn begin_candidacy(&mut self) -> Option<u64> {
        let deadline = self.draw_election_deadline();
        let voter = self.voter.as_mut()?;
        voter.election_deadline = deadline;
        voter.known_leader = None;
        Some(voter.durable_state.term + 1)
    }

    fn request_votes(&mut self, candidacy: Candidacy) {
        let (term, pre_vote) = (candidacy.term, candidacy.pre_vote);
        let Some(voter) = &mut self.voter else { return };
        voter.candidacy = Some(candidacy);
        let revision = voter.durable_state.revision;
        self.send_to_other_voters(&Message::VoteRequest { term, pre_vote, revision });
        self.count_votes();
    }

    fn count_votes(&mut self) {
        let majority = self.config.majority();
        let Some(candidacy) = self.voter.as_ref().and_then(|voter| voter.candidacy.as_ref()) else { return };
        if candidacy.votes.len() < majority {
            return;
        }
        if candidacy.pre_vote { self.start_election() } else { self.become_leader() }
    }

    /// Whether a leader may still rely on this voter's promise not to vote for another candidate.
    fn is_bound_to_leader(&self, voter: &Voter) -> bool {
        if self.has_mutant(Mutant::VoteDespiteLeader) {
            return false;
        }
        let promise = self.lengthen(self.config.timing.election_timeout_min);
        self.now < voter.leader_heard_at.saturating_add(promise) || self.has_authority()
    }

    pub(super) fn receive_vote_request(
        &mut self,
        from: u16,
        term: u64,
        pre_vote: bool,
        revision: StateRevision,
    ) {
        let deadline = self.draw_election_deadline();
        let Some(voter) = &self.voter else { return };
        if voter.recovery.is_some() {
            return;
        }
        let is_up_to_date = revision >= voter.durable_state.revision;
        let own_term = voter.durable_state.term;
        let is_useless_pre_vote = pre_vote && (term == own_term || !is_up_to_date);
        if self.is_bound_to_leader(voter) || term < own_term || is_useless_pre_vote {
            return self.send(from, Message::VoteResponse { term: own_term, pre_vote, granted: false });
        }
        if pre_vote {
            return self.send(from, Message::VoteResponse { term, pre_vote, granted: true });
        }
        if term > own_term {
            self.adopt_term(term, None);
        }
        let Some(voter) = &mut self.voter else { return };
        let granted = is_up_to_date && voter.durable_state.voted.is_none_or(|voted| voted == from);
        if granted {
            voter.durable_state.voted = Some(from);
            voter.election_deadline = deadline;
        }
        if granted || term > own_term {
            self.save_durable_state();
        }
        self.send(from, Message::VoteResponse { term, pre_vote, granted });
    }

    pub(super) fn receive_vote_response(&mut self, from: u16, term: u64, pre_vote: bool, granted: bool) {
        let Some(voter) = &mut self.voter else { return };
        if voter.recovery.is_some() {
            return;
        }
        if !granted {
            // Only a candidate needs to adopt a greater term.
            if term > voter.durable_state.term && voter.candidacy.is_some() {
                self.adopt_term(term, None);
                self.save_durable_state();
            }
            return;
        }
        match &mut voter.candidacy {
            Some(candidacy) if candidacy.term == term && candidacy.pre_vote == pre_vote => {
                candidacy.votes.insert(from);
                self.count_votes();
            }
            _ => self.counters.dropped += 1,
        }
    }

    /// Becomes a follower in a greater term. The caller must save the durable state.
    pub(super) fn adopt_term(&mut self, term: u64, leader: Option<u16>) {
        let deadline = self.draw_election_deadline();
        let Some(voter) = &mut self.voter else { return };
        let is_greater = term > voter.durable_state.term;
        if is_greater {
            voter.durable_state.term = term;
            voter.durable_state.voted = None;
        }
        if voter.leadership.take().is_some() {
            self.counters.leaderships_lost += 1;
        }
        voter.candidacy = None;
        voter.known_leader = leader;
        voter.election_deadline = deadline;
        self.check_invariant(is_greater, "the term must not decrease");
    }

    /// Becomes the leader: rewrites its state with a revision of its own term, and doesn't use the state until a
    /// majority has it.
    fn become_leader(&mut self) {
        let (now, ordinal) = (self.now, self.config.ordinal);
        let Some(voter) = &mut self.voter else { return };
        voter.candidacy = None;
        voter.known_leader = Some(ordinal);
        voter.durable_state.revision =
            StateRevision { term: voter.durable_state.term, seq: voter.durable_state.revision.seq + 1 };
        voter.leadership = Some(Box::new(Leader::new(now)));
        self.counters.elections_won += 1;
        self.save_durable_state();
        self.send_heartbeat();
    }
}
