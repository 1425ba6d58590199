//! Elections, as in Raft, with a question ahead of each that binds nobody, so that a voter that was cut off doesn't drive up
//! the term.

use crate::mutant::Mutant;
use crate::roles::candidate::Candidacy;
use crate::roles::leader::Leader;
use crate::roles::voter::Voter;
use crate::{Member, Message, Micros, StateRevision};
use rand::RngExt;
use std::collections::BTreeSet;

impl Member {
    /// When to ask for votes, if no leader is heard till then. Never while the last one heard may count on this voter.
    pub(crate) fn election_deadline(&mut self) -> Micros {
        let least = self.longer(self.config.timing.election_timeout_min);
        let most = self.config.timing.election_timeout_max.max(least + 1);
        self.now + self.chance.random_range(least..=most)
    }

    /// A candidate's window ends by its own clock, too: votes that wait in a queue meanwhile are for a term it then leaves.
    pub(crate) fn turn_election(&mut self) {
        let now = self.now;
        let due = self.voter.as_ref().is_some_and(|voter| {
            voter.recovering.is_none() && voter.leading.is_none() && now >= voter.deadline
        });
        if due {
            self.canvass(true);
        }
    }

    /// Asks for votes; for real only after a majority said it would vote so.
    fn canvass(&mut self, pre_vote: bool) {
        let me = self.config.ordinal;
        let deadline = self.election_deadline();
        let Some(voter) = &mut self.voter else { return };
        voter.deadline = deadline;
        voter.leader = None;
        let term = voter.durable_state.term + 1;
        if !pre_vote {
            voter.durable_state.term = term;
            voter.durable_state.voted = Some(me);
            self.counts.elections += 1;
        }
        voter.candidacy = Some(Candidacy { term, pre_vote, votes: BTreeSet::from([me]) });
        let revision = voter.durable_state.revision;
        if !pre_vote {
            self.save();
        }
        self.tell_other_voters(&Message::VoteRequest { term, pre_vote, revision });
        self.count_votes();
    }

    fn count_votes(&mut self) {
        let majority = self.config.majority();
        let Some(candidacy) = self.voter.as_ref().and_then(|voter| voter.candidacy.as_ref()) else { return };
        if candidacy.votes.len() < majority {
            return;
        }
        if candidacy.pre_vote { self.canvass(false) } else { self.win() }
    }

    /// Whether a leader may still count on this voter.
    fn promised(&self, voter: &Voter) -> bool {
        if self.is(Mutant::VoteDespiteLeader) {
            return false;
        }
        let heard =
            self.now < voter.heard_at.saturating_add(self.longer(self.config.timing.election_timeout_min));
        heard || self.leads_now()
    }

    /// Another voter asks for this one's vote.
    pub(crate) fn canvassed(&mut self, from: u16, term: u64, pre_vote: bool, revision: StateRevision) {
        let deadline = self.election_deadline();
        let Some(voter) = &self.voter else { return };
        if voter.recovering.is_some() {
            return;
        }
        let newer = revision >= voter.durable_state.revision;
        let known = voter.durable_state.term;
        if self.promised(voter) || term < known || (pre_vote && (term == known || !newer)) {
            self.send(from, Message::VoteResponse { term: known, pre_vote, granted: false });
            return;
        }
        if pre_vote {
            self.send(from, Message::VoteResponse { term, pre_vote, granted: true });
            return;
        }
        if term > known {
            self.adopt(term, None);
        }
        let Some(voter) = &mut self.voter else { return };
        let granted = newer && voter.durable_state.voted.is_none_or(|voted| voted == from);
        if granted {
            voter.durable_state.voted = Some(from);
            voter.deadline = deadline;
        }
        if granted || term > known {
            self.save();
        }
        self.send(from, Message::VoteResponse { term, pre_vote, granted });
    }

    /// An answer to this candidate.
    pub(crate) fn voted(&mut self, from: u16, term: u64, pre_vote: bool, granted: bool) {
        let Some(voter) = &mut self.voter else { return };
        if voter.recovering.is_some() {
            return;
        }
        if !granted {
            // Only what is greater tells something; and only a candidate needs to know.
            if term > voter.durable_state.term && voter.candidacy.is_some() {
                self.adopt(term, None);
                self.save();
            }
            return;
        }
        match &mut voter.candidacy {
            Some(candidacy) if candidacy.term == term && candidacy.pre_vote == pre_vote => {
                candidacy.votes.insert(from);
                self.count_votes();
            }
            _ => self.counts.dropped += 1,
        }
    }

    /// Goes on in a greater term. The caller saves.
    pub(crate) fn adopt(&mut self, term: u64, leader: Option<u16>) {
        let deadline = self.election_deadline();
        let Some(voter) = &mut self.voter else { return };
        let forward = term > voter.durable_state.term;
        if forward {
            voter.durable_state.term = term;
            voter.durable_state.voted = None;
        }
        if voter.leading.take().is_some() {
            self.counts.leaderships_lost += 1;
        }
        voter.candidacy = None;
        voter.leader = leader;
        voter.deadline = deadline;
        self.sure(forward, "a term was to go back");
    }

    /// Leads, from here on: writes the state it holds anew, in its own term, and counts on nothing before a majority has it.
    fn win(&mut self) {
        let (now, me) = (self.now, self.config.ordinal);
        let Some(voter) = &mut self.voter else { return };
        voter.candidacy = None;
        voter.leader = Some(me);
        voter.durable_state.revision =
            StateRevision { term: voter.durable_state.term, seq: voter.durable_state.revision.seq + 1 };
        voter.leading = Some(Box::new(Leader::new(now)));
        self.counts.elections_won += 1;
        self.save();
        self.beat();
    }
}
