//! The steps that put a pending version in force: members prepare it, leases on incompatible versions are revoked, then
//! it is activated.

use crate::mutant::Mutant;
use crate::roles::leader::Leader;
use crate::state::{Pending, Phase};
use crate::{Member, Message, Micros, ProposalOutcome, State, Topic};
use std::collections::BTreeSet;

impl Member {
    /// Returns when the change of this topic can next advance without another input.
    pub(super) fn change_timeout(&self, leader: &Leader, topic: Topic) -> Micros {
        let Some((_, state)) = leader.committed.as_ref().filter(|_| leader.is_committed) else {
            return Micros::MAX;
        };
        let change = &leader.changes[topic.index()];
        let Some(pending) = state.topic(topic).pending else {
            return change.check.as_ref().map_or(Micros::MAX, |check| self.check_timeout(check));
        };
        let prepare_timeout = self.config.timing.prepare;
        let prepare_deadline =
            change.preparing_since.map_or(Micros::MAX, |(_, since)| since + prepare_timeout);
        let next_check = self.now + self.config.timing.heartbeat;
        match pending.phase {
            // The leases of members whose processes have ended expire, and the change then no longer waits for these
            // members.
            Phase::Prepare if prepare_deadline > self.now => prepare_deadline.min(next_check),
            Phase::Prepare => next_check,
            Phase::Revoke => self.last_incompatible_expiry(leader, topic, &pending).unwrap_or(Micros::MAX),
        }
    }

    /// Returns when the last lease on a version that is incompatible with the pending one expires. `None` means that
    /// there is no such lease.
    fn last_incompatible_expiry(&self, leader: &Leader, topic: Topic, pending: &Pending) -> Option<Micros> {
        leader.grants.last_expiry_below(topic, pending.version.compatible_from, self.now)
    }

    /// Leader: advances the change of this topic as far as possible.
    pub(super) fn advance_change(&mut self, topic: Topic) {
        let Some(state) = self.authoritative_state() else { return };
        match state.topic(topic).pending {
            None => self.advance_check(topic),
            Some(pending) => match pending.phase {
                Phase::Prepare => self.advance_prepare(topic, pending),
                Phase::Revoke => self.advance_revoke(topic, pending),
            },
        }
    }

    /// Waits, for a limited time, until all members are ready for the version. The change continues only if a majority
    /// of the voters has the content, because the next leader must have it.
    fn advance_prepare(&mut self, topic: Topic, pending: Pending) {
        let now = self.now;
        let (number, prepare_timeout) = (pending.version.number, self.config.timing.prepare);
        let Some(leader) = self.leader_mut() else { return };
        let since = leader.changes[topic.index()].prepare_started_at(number, now);
        if self.is_unsupported_by_a_member(topic, number) {
            return self.drop_pending(topic, pending, ProposalOutcome::Unsupported);
        }
        let has_majority = self.is_ready_at_a_majority(topic, number);
        let is_ready = has_majority && self.is_ready_at_all_members(topic, number);
        if !is_ready && now < since + prepare_timeout {
            return;
        }
        if !has_majority {
            if now >= since + 2 * prepare_timeout {
                self.drop_pending(topic, pending, ProposalOutcome::ContentMissing);
            }
            return;
        }
        self.finish_prepare(topic, pending);
    }

    fn is_unsupported_by_a_member(&self, topic: Topic, number: u64) -> bool {
        let (index, lease) = (topic.index(), self.grant_duration());
        self.leader().is_some_and(|leader| {
            leader.grants.live(self.now, lease).any(|(_, member)| member.unsupported[index] == Some(number))
        })
    }

    /// Whether all live members are ready. This is unknown until every lease of an earlier leader has expired, because
    /// a live member may not have sent a request to this leader yet.
    fn is_ready_at_all_members(&self, topic: Topic, number: u64) -> bool {
        let (index, lease) = (topic.index(), self.grant_duration());
        self.earlier_leases_expired()
            && self.leader().is_some_and(|leader| {
                leader.grants.live(self.now, lease).all(|(_, member)| member.ready[index] == Some(number))
            })
    }

    fn is_ready_at_a_majority(&self, topic: Topic, number: u64) -> bool {
        let (index, lease) = (topic.index(), self.grant_duration());
        let Some(leader) = self.leader() else { return false };
        let ready_voters: BTreeSet<u16> = leader
            .grants
            .live(self.now, lease)
            .filter(|(ordinal, member)| self.config.is_voter(*ordinal) && member.ready[index] == Some(number))
            .map(|(ordinal, _)| ordinal)
            .collect();
        ready_voters.len() >= self.config.majority()
    }

    /// Activates the version if no member can act on an incompatible version; otherwise starts to revoke the leases on
    /// incompatible versions.
    fn finish_prepare(&mut self, topic: Topic, pending: Pending) {
        let Some(leader) = self.leader() else { return };
        let has_incompatible = self.last_incompatible_expiry(leader, topic, &pending).is_some();
        let Some(mut state) = self.authoritative_state().cloned() else { return };
        let current = state.topic_mut(topic);
        let is_compatible =
            current.in_force.is_none_or(|version| version.number >= pending.version.compatible_from);
        let nothing_to_revoke = self.earlier_leases_expired() && is_compatible && !has_incompatible;
        if nothing_to_revoke || self.has_mutant(Mutant::EarlyActivation) {
            return self.activate(topic, pending);
        }
        current.pending = Some(Pending { phase: Phase::Revoke, ..pending });
        self.write_state(state);
    }

    fn drop_pending(&mut self, topic: Topic, pending: Pending, outcome: ProposalOutcome) {
        let Some(mut state) = self.authoritative_state().cloned() else { return };
        let current = state.topic_mut(topic);
        current.pending = None;
        current.record_outcome(pending.proposal, outcome);
        self.write_state(state);
    }

    /// Waits until no lease on an incompatible version is left. No such lease has been granted since this phase was
    /// committed. Once the members have given up the earlier ones or the earlier ones have expired, no member can act
    /// on an incompatible version.
    fn advance_revoke(&mut self, topic: Topic, pending: Pending) {
        let Some(leader) = self.leader() else { return };
        let has_incompatible = self.last_incompatible_expiry(leader, topic, &pending).is_some();
        if self.earlier_leases_expired() && !has_incompatible {
            self.activate(topic, pending);
        }
    }

    fn activate(&mut self, topic: Topic, pending: Pending) {
        let Some(mut state) = self.authoritative_state().cloned() else { return };
        let current = state.topic_mut(topic);
        current.in_force = Some(pending.version);
        current.pending = None;
        current.record_outcome(pending.proposal, ProposalOutcome::InForce);
        self.write_state(state);
    }

    /// Announces a newly committed state to the members that it affects, and the outcomes of proposals to their
    /// proposers.
    pub(super) fn announce_state(&mut self, before: Option<State>) {
        let Some(leader) = self.leader() else { return };
        let Some((revision, state)) = leader.committed.clone() else { return };
        let pending = state.pending();
        let mut last = None;
        for member in self.members_to_notify(leader, before.as_ref(), &state) {
            // Two incarnations of the same member receive only one announcement.
            if last.replace(member) != Some(member) {
                self.send(member, Message::Announce { revision, pending });
            }
        }
        if let Some(before) = before {
            self.announce_outcomes(&before, &state);
        }
    }

    /// Returns all members if this is the leader's first committed state, and the live members if a version changed.
    fn members_to_notify(&self, leader: &Leader, before: Option<&State>, state: &State) -> Vec<u16> {
        let versions = |state: &State| state.topics.each_ref().map(|topic| (topic.in_force, topic.pending));
        let lease = self.grant_duration();
        match before {
            None => (0..self.config.members).collect(),
            Some(before) if versions(before) != versions(state) => {
                leader.grants.live(self.now, lease).map(|(member, _)| member).collect()
            }
            Some(_) => Vec::new(),
        }
    }

    fn announce_outcomes(&mut self, before: &State, state: &State) {
        for topic in Topic::ALL {
            let newest = state.topic(topic).results.last().copied();
            if let Some(result) = newest
                && before.topic(topic).results.last().copied() != newest
            {
                let message = Message::ProposalFinished { id: result.proposal, outcome: result.outcome };
                self.send(result.proposal.member, message);
            }
        }
    }
}
