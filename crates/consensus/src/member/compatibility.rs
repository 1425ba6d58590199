//! The compatibility check: the leader fetches the content of a proposal, asks the embedder to compare it with the
//! versions that some member may act on, and assigns a number to it.

use crate::roles::change::{CompatibilityCheck, QueuedProposal};
use crate::state::{Pending, Phase, ProposalId};
use crate::{ContentHash, Member, Micros, Output, ProposalOutcome, Topic, Verdict, Version};

impl Member {
    /// Returns when the check fails if the content isn't available and compared by then.
    pub(super) fn check_deadline(&self, check: &CompatibilityCheck) -> Micros {
        check.started_at + 2 * self.config.timing.prepare
    }

    /// Returns when the check can next advance without another input.
    pub(super) fn check_timeout(&self, check: &CompatibilityCheck) -> Micros {
        let deadline = self.check_deadline(check);
        match check.against {
            None => deadline.min(check.proposal.last_sent_at.saturating_add(self.config.timing.lease)),
            Some(_) => deadline,
        }
    }

    /// Continues the current check, or starts to check the first proposal of the queue.
    pub(super) fn advance_check(&mut self, topic: Topic) {
        let Some(check) = self.current_check(topic) else { return };
        if self.is_already_finished(topic, &check.proposal) {
            // The proposer receives the outcome when it sends the proposal again.
            return self.end_check(topic);
        }
        match (&check.against, check.verdict) {
            (None, _) => self.start_check(topic, check),
            (Some(_), Some(verdict)) => self.finish_check(topic, check, verdict),
            (Some(_), None) if self.now >= self.check_deadline(&check) => {
                // The embedder doesn't answer, and the queue must not be blocked forever.
                self.reject_proposal(topic, check.proposal.id, ProposalOutcome::Rejected);
            }
            (Some(_), None) => {}
        }
    }

    /// Returns the current check. If there is none, starts one for the first proposal of the queue.
    fn current_check(&mut self, topic: Topic) -> Option<CompatibilityCheck> {
        let now = self.now;
        let change = &mut self.leader_mut()?.changes[topic.index()];
        change.preparing_since = None;
        if change.check.is_none() {
            let proposal = change.queue.pop_front()?;
            change.check =
                Some(CompatibilityCheck { proposal, started_at: now, against: None, verdict: None });
        }
        change.check.clone()
    }

    /// Whether the proposal already has an outcome, or its content came in force while the proposal was queued.
    fn is_already_finished(&self, topic: Topic, proposal: &QueuedProposal) -> bool {
        self.authoritative_state().is_some_and(|state| {
            let current = state.topic(topic);
            current.outcome_of(&proposal.id).is_some()
                || current.in_force.is_some_and(|version| version.hash == proposal.hash)
        })
    }

    /// Fetches the content if it isn't available, then asks the embedder for its verdict.
    fn start_check(&mut self, topic: Topic, check: CompatibilityCheck) {
        let deadline = self.check_deadline(&check);
        let QueuedProposal { id, hash, size, last_sent_at } = check.proposal;
        if self.lease_holder.is_unsupported(&hash) {
            return self.reject_proposal(topic, id, ProposalOutcome::Unsupported);
        }
        if self.now >= deadline {
            return self.reject_proposal(topic, id, ProposalOutcome::ContentMissing);
        }
        if !self.lease_holder.is_available(&hash) {
            if self.now >= last_sent_at + self.config.timing.lease {
                // The proposer has ended, so its content can't be fetched. If the process returns, it sends the
                // proposal again.
                self.end_check(topic);
                return self.advance_check(topic);
            }
            return self.fetch_content(topic, hash, size, vec![id.member]);
        }
        let against = self.versions_in_use(topic);
        if let Some(check) = self.leader_mut().and_then(|leader| leader.changes[topic.index()].check.as_mut())
        {
            check.against = Some(against.clone());
        }
        self.outputs.push_back(Output::Check { topic, hash, against });
    }

    /// Returns the versions that some member may act on, in ascending order of their numbers. The last one is in force.
    /// Until the leases of earlier leaders have expired, only the version in force is known.
    fn versions_in_use(&self, topic: Topic) -> Vec<(u64, ContentHash)> {
        let mut versions = match self.leader() {
            Some(leader) if self.earlier_leases_expired() => leader.grants.leased_versions(topic, self.now),
            _ => Default::default(),
        };
        let in_force = self.authoritative_state().and_then(|state| state.topic(topic).in_force);
        versions.extend(in_force.map(|version| (version.number, version.hash)));
        versions.into_iter().collect()
    }

    /// Applies the verdict: makes the proposal the pending version of the topic, or rejects it.
    fn finish_check(&mut self, topic: Topic, check: CompatibilityCheck, verdict: Verdict) {
        let QueuedProposal { id, hash, size, .. } = check.proposal;
        let Some(mut state) = self.authoritative_state().cloned() else { return };
        let current = state.topic_mut(topic);
        let number = current.last_number + 1;
        let compatible_from = match verdict {
            Verdict::Rejected => return self.reject_proposal(topic, id, ProposalOutcome::Rejected),
            Verdict::Incompatible => number,
            // `compatible_from` must be a number that was compared, even if the embedder answered with another number.
            Verdict::Compatible { from } => {
                let mut compared = check.against.unwrap_or_default().into_iter().map(|(number, _)| number);
                compared.find(|&compared| compared >= from).unwrap_or(number)
            }
        };
        current.last_number = number;
        let version = Version { number, hash, size, compatible_from };
        current.pending = Some(Pending { version, phase: Phase::Prepare, proposal: id });
        self.end_check(topic);
        self.write_state(state);
    }

    fn end_check(&mut self, topic: Topic) {
        if let Some(leader) = self.leader_mut() {
            leader.changes[topic.index()].check = None;
        }
    }

    /// Ends a proposal that has no number yet. The outcome is written to the state, so that the next leader doesn't
    /// start the proposal again.
    fn reject_proposal(&mut self, topic: Topic, id: ProposalId, outcome: ProposalOutcome) {
        self.end_check(topic);
        let Some(mut state) = self.authoritative_state().cloned() else { return };
        state.topic_mut(topic).record_outcome(id, outcome);
        self.write_state(state);
    }
}
