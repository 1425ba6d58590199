//! Proposals: at the proposer, asked again until they are over; at the leader, one at a time.

use crate::roles::change::{Checking, Proposal};
use crate::roles::proposer::Waiting;
use crate::state::ProposalId;
use crate::{ContentHash, Member, Message, Output, ProposalOutcome, Topic};
use rand::RngExt;

/// Proposals that may wait at the leader, a topic; the rest is asked again by their proposers.
const MOST_QUEUED: usize = 8;

impl Member {
    pub(crate) fn propose(&mut self, topic: Topic, hash: ContentHash, size: u32) {
        self.have(hash);
        if self.proposer.waiting.iter().any(|waiting| waiting.topic == topic && waiting.hash == hash) {
            // Asked for already; one answer serves both.
            return;
        }
        // What wasn't asked for yet would be replaced as soon as it were in force.
        let first = self.proposer.first(topic);
        let mut at = 0;
        let out = &mut self.out;
        self.proposer.waiting.retain(|waiting| {
            let asked = waiting.topic != topic || Some(at) == first;
            at += 1;
            if !asked {
                out.push_back(Output::ProposalFinished {
                    topic,
                    hash: waiting.hash,
                    outcome: ProposalOutcome::Superseded,
                });
            }
            asked
        });
        self.proposer.serial += 1;
        let id = ProposalId {
            member: self.config.ordinal,
            incarnation: self.config.incarnation,
            serial: self.proposer.serial,
        };
        self.proposer.waiting.push(Waiting { id, topic, hash, size, next_ask: self.now });
    }

    pub(crate) fn turn_proposer(&mut self) {
        let patience = self.config.timing.heartbeat * 2;
        for topic in Topic::ALL {
            let Some(at) = self.proposer.first(topic) else { continue };
            let jitter = self.chance.random_range(0..=patience / 2);
            let waiting = &mut self.proposer.waiting[at];
            if self.now < waiting.next_ask {
                continue;
            }
            waiting.next_ask = self.now + patience + jitter;
            let message = Message::Propose { id: waiting.id, topic, hash: waiting.hash, size: waiting.size };
            let to = self.holder.target;
            self.send(to, message);
        }
    }

    pub(crate) fn proposal_over(&mut self, id: ProposalId, outcome: ProposalOutcome) {
        let Some(at) = self.proposer.waiting.iter().position(|waiting| waiting.id == id) else { return };
        let Waiting { topic, hash, .. } = self.proposer.waiting.remove(at);
        self.out.push_back(Output::ProposalFinished { topic, hash, outcome });
    }

    /// A proposal came in.
    pub(crate) fn proposed(&mut self, from: u16, id: ProposalId, topic: Topic, hash: ContentHash, size: u32) {
        if id.member != from {
            return self.counts.dropped += 1;
        }
        // Only what is agreed may be answered with.
        let Some(state) = self.settled() else { return };
        let part = state.topic(topic);
        if let Some(outcome) = part.answer_to(&id) {
            return self.send(from, Message::ProposalFinished { id, outcome });
        }
        if part.in_force.is_some_and(|version| version.hash == hash) {
            return self.send(from, Message::ProposalFinished { id, outcome: ProposalOutcome::InForce });
        }
        if part.pending.is_some_and(|pending| pending.proposal == id || pending.version.hash == hash) {
            return;
        }
        let now = self.now;
        let Some(leader) = self.leader_mut() else { return };
        let change = &mut leader.changes[topic.index()];
        let checked = change.checking.as_mut().map(|checking| &mut checking.proposal);
        if let Some(known) = checked.into_iter().chain(&mut change.queue).find(|proposal| proposal.id == id) {
            known.asked_at = now;
            return;
        }
        if change.queue.len() >= MOST_QUEUED {
            return;
        }
        change.queue.push_back(Proposal { id, hash, size, asked_at: now });
    }

    /// Leader: what the embedder says of the proposal it was asked about.
    pub(crate) fn checked(&mut self, topic: Topic, hash: ContentHash, verdict: crate::Verdict) {
        let Some(leader) = self.leader_mut() else { return };
        if let Some(Checking { proposal, against: Some(_), verdict: slot @ None, .. }) =
            &mut leader.changes[topic.index()].checking
            && proposal.hash == hash
        {
            // Used once nothing else is on its way to be agreed.
            *slot = Some(verdict);
        }
    }
}
