//! Elections, as in Raft, with a question ahead of each that binds nobody, so that a voter that was cut off doesn't drive up
//! the term.

use crate::leading::Leader;
use crate::mutant::Mutant;
use crate::voter::Voter;
use crate::{Member, Message, Micros, Stamp};
use rand::RngExt;
use std::collections::BTreeSet;

/// What a candidate counts.
#[derive(Clone, Debug)]
pub(crate) struct Candidacy {
    pub term: u64,
    /// Only asked so far.
    pub only_asked: bool,
    pub votes: BTreeSet<u16>,
}

impl Member {
    /// When to ask for votes, if no leader is heard till then. Never while the last one heard may count on this voter.
    pub(crate) fn election_deadline(&mut self) -> Micros {
        let least = self.longer(self.config.timing.election_least);
        let most = self.config.timing.election_most.max(least + 1);
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
    fn canvass(&mut self, only_asked: bool) {
        let me = self.config.me;
        let deadline = self.election_deadline();
        let Some(voter) = &mut self.voter else { return };
        voter.deadline = deadline;
        voter.leader = None;
        let term = voter.memory.term + 1;
        if !only_asked {
            voter.memory.term = term;
            voter.memory.voted = Some(me);
            self.counts.elections += 1;
        }
        voter.candidacy = Some(Candidacy { term, only_asked, votes: BTreeSet::from([me]) });
        let stamp = voter.memory.stamp;
        if !only_asked {
            self.save();
        }
        self.tell_other_voters(&Message::Canvass { term, only_asked, stamp });
        self.count_votes();
    }

    fn count_votes(&mut self) {
        let majority = self.config.majority();
        let Some(candidacy) = self.voter.as_ref().and_then(|voter| voter.candidacy.as_ref()) else { return };
        if candidacy.votes.len() < majority {
            return;
        }
        if candidacy.only_asked { self.canvass(false) } else { self.win() }
    }

    /// Whether a leader may still count on this voter.
    fn promised(&self, voter: &Voter) -> bool {
        if self.is(Mutant::Fickle) {
            return false;
        }
        let heard = self.now < voter.heard_at.saturating_add(self.longer(self.config.timing.election_least));
        heard || self.leads_now()
    }

    /// Another voter asks for this one's vote.
    pub(crate) fn canvassed(&mut self, from: u16, term: u64, only_asked: bool, stamp: Stamp) {
        let deadline = self.election_deadline();
        let Some(voter) = &self.voter else { return };
        if voter.recovering.is_some() {
            return;
        }
        let newer = stamp >= voter.memory.stamp;
        let known = voter.memory.term;
        if self.promised(voter) || term < known || (only_asked && (term == known || !newer)) {
            self.send(from, Message::Vote { term: known, only_asked, granted: false });
            return;
        }
        if only_asked {
            self.send(from, Message::Vote { term, only_asked, granted: true });
            return;
        }
        if term > known {
            self.adopt(term, None);
        }
        let Some(voter) = &mut self.voter else { return };
        let granted = newer && voter.memory.voted.is_none_or(|voted| voted == from);
        if granted {
            voter.memory.voted = Some(from);
            voter.deadline = deadline;
        }
        if granted || term > known {
            self.save();
        }
        self.send(from, Message::Vote { term, only_asked, granted });
    }

    /// An answer to this candidate.
    pub(crate) fn voted(&mut self, from: u16, term: u64, only_asked: bool, granted: bool) {
        let Some(voter) = &mut self.voter else { return };
        if voter.recovering.is_some() {
            return;
        }
        if !granted {
            // Only what is greater tells something; and only a candidate needs to know.
            if term > voter.memory.term && voter.candidacy.is_some() {
                self.adopt(term, None);
                self.save();
            }
            return;
        }
        match &mut voter.candidacy {
            Some(candidacy) if candidacy.term == term && candidacy.only_asked == only_asked => {
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
        let forward = term > voter.memory.term;
        if forward {
            voter.memory.term = term;
            voter.memory.voted = None;
        }
        if voter.leading.take().is_some() {
            self.counts.deposed += 1;
        }
        voter.candidacy = None;
        voter.leader = leader;
        voter.deadline = deadline;
        self.sure(forward, "a term was to go back");
    }

    /// Leads, from here on: writes the state it holds anew, in its own term, and counts on nothing before a majority has it.
    fn win(&mut self) {
        let (now, me) = (self.now, self.config.me);
        let Some(voter) = &mut self.voter else { return };
        voter.candidacy = None;
        voter.leader = Some(me);
        voter.memory.stamp = Stamp { term: voter.memory.term, seq: voter.memory.stamp.seq + 1 };
        voter.leading = Some(Box::new(Leader::new(now)));
        self.counts.won += 1;
        self.save();
        self.beat();
    }
}
