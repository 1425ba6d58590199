//! Proposals: the proposer sends one proposal for each topic until it is finished, and the leader queues the proposals
//! that it receives.

use crate::roles::change::{CompatibilityCheck, QueuedProposal};
use crate::roles::proposer::OwnProposal;
use crate::state::ProposalId;
use crate::{ContentHash, Member, Message, Output, ProposalOutcome, Topic, Verdict};
use rand::RngExt;

/// The limit of the leader's queue for each topic. A proposal beyond the limit is dropped, and its proposer sends it
/// again.
const MAX_QUEUED: usize = 8;

impl Member {
    /// Accepts a proposal of this process.
    pub(super) fn propose(&mut self, topic: Topic, hash: ContentHash, size: u32) {
        self.content_ready(hash);
        let proposals = &self.proposer.proposals;
        if proposals.iter().any(|proposal| proposal.topic == topic && proposal.hash == hash) {
            // The content is already proposed. One outcome answers both proposals.
            return;
        }
        self.supersede_unsent(topic);
        self.proposer.serial += 1;
        let id = ProposalId {
            member: self.config.ordinal,
            incarnation: self.config.incarnation,
            serial: self.proposer.serial,
        };
        self.proposer.proposals.push(OwnProposal { id, topic, hash, size, next_send: self.now });
    }

    /// Ends the proposals of this topic that haven't been sent yet, because the new proposal would replace them as soon
    /// as they were in force.
    fn supersede_unsent(&mut self, topic: Topic) {
        let first_index = self.proposer.first_index(topic);
        let mut index = 0;
        let outputs = &mut self.outputs;
        self.proposer.proposals.retain(|proposal| {
            let is_kept = proposal.topic != topic || Some(index) == first_index;
            index += 1;
            if !is_kept {
                let outcome = ProposalOutcome::Superseded;
                outputs.push_back(Output::ProposalFinished { topic, hash: proposal.hash, outcome });
            }
            is_kept
        });
    }

    /// Sends the first proposal of each topic to the leader if it is due.
    pub(super) fn tick_proposer(&mut self) {
        let retry_after = self.config.timing.heartbeat * 2;
        for topic in Topic::ALL {
            let Some(index) = self.proposer.first_index(topic) else { continue };
            let jitter = self.rng.random_range(0..=retry_after / 2);
            let proposal = &mut self.proposer.proposals[index];
            if self.now < proposal.next_send {
                continue;
            }
            proposal.next_send = self.now + retry_after + jitter;
            let message =
                Message::Propose { id: proposal.id, topic, hash: proposal.hash, size: proposal.size };
            let to = self.lease_holder.requests.target;
            self.send(to, message);
        }
    }

    pub(super) fn proposal_finished(&mut self, id: ProposalId, outcome: ProposalOutcome) {
        let Some(index) = self.proposer.proposals.iter().position(|proposal| proposal.id == id) else {
            return;
        };
        let OwnProposal { topic, hash, .. } = self.proposer.proposals.remove(index);
        self.outputs.push_back(Output::ProposalFinished { topic, hash, outcome });
    }

    /// Leader: answers a proposal from the committed state, or queues it.
    pub(super) fn receive_proposal(
        &mut self,
        from: u16,
        id: ProposalId,
        topic: Topic,
        hash: ContentHash,
        size: u32,
    ) {
        if id.member != from {
            return self.counters.dropped += 1;
        }
        // Answers must be based on the committed state only.
        let Some(state) = self.authoritative_state() else { return };
        let current = state.topic(topic);
        if let Some(outcome) = current.outcome_of(&id) {
            return self.send(from, Message::ProposalFinished { id, outcome });
        }
        if current.in_force.is_some_and(|version| version.hash == hash) {
            return self.send(from, Message::ProposalFinished { id, outcome: ProposalOutcome::InForce });
        }
        if current.pending.is_some_and(|pending| pending.proposal == id || pending.version.hash == hash) {
            return;
        }
        self.queue_proposal(topic, QueuedProposal { id, hash, size, last_sent_at: self.now });
    }

    fn queue_proposal(&mut self, topic: Topic, proposal: QueuedProposal) {
        let Some(leader) = self.leader_mut() else { return };
        let change = &mut leader.changes[topic.index()];
        if let Some(known) = change.find_proposal(proposal.id) {
            known.last_sent_at = proposal.last_sent_at;
        } else if change.queue.len() < MAX_QUEUED {
            change.queue.push_back(proposal);
        }
    }

    /// Leader: stores the embedder's verdict on the proposal that is being checked.
    pub(super) fn check_finished(&mut self, topic: Topic, hash: ContentHash, answer: Verdict) {
        let Some(leader) = self.leader_mut() else { return };
        if let Some(CompatibilityCheck { proposal, against: Some(_), verdict: verdict @ None, .. }) =
            &mut leader.changes[topic.index()].check
            && proposal.hash == hash
        {
            // The verdict is applied once there is no uncommitted write.
            *verdict = Some(answer);
        }
    }
}
