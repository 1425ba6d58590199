//! How a proposal comes in force: checked, prepared, whatever it contradicts released, then granted.

use crate::mutant::Mutant;
use crate::roles::change::{Checking, Proposal};
use crate::roles::leader::Leader;
use crate::state::{Pending, Phase, ProposalId};
use crate::{Member, Message, Micros, Output, ProposalOutcome, State, Topic, Verdict, Version};
use std::collections::BTreeSet;

impl Member {
    /// When the change can go on by time alone.
    pub(crate) fn change_timeout(&self, leader: &Leader, topic: Topic) -> Micros {
        let Some((_, state)) = leader.committed.as_ref().filter(|_| leader.agreed) else {
            return Micros::MAX;
        };
        let change = &leader.changes[topic.index()];
        let Some(pending) = state.topic(topic).pending else {
            let asked_till =
                |checking: &Checking| checking.proposal.asked_at.saturating_add(self.config.timing.lease);
            return change.checking.as_ref().map_or(Micros::MAX, |checking| match checking.against {
                None => self.fetched_by(checking).min(asked_till(checking)),
                Some(_) => self.fetched_by(checking),
            });
        };
        let below = leader.leases.last_below(topic, pending.version.compatible_from, self.now);
        let prepared = change.prepared.map_or(Micros::MAX, |(_, since)| since + self.config.timing.prepare);
        match pending.phase {
            // Leases of members that went away end, and with them the wait for these members.
            Phase::Prepare if prepared > self.now => prepared.min(self.now + self.config.timing.heartbeat),
            Phase::Prepare => self.now + self.config.timing.heartbeat,
            Phase::Revoke => below.unwrap_or(Micros::MAX),
        }
    }

    fn fetched_by(&self, checking: &Checking) -> Micros {
        checking.since + 2 * self.config.timing.prepare
    }

    /// Leader: goes on with this topic's change, as far as it can now.
    pub(crate) fn drive(&mut self, topic: Topic) {
        let Some(state) = self.settled() else { return };
        match state.topic(topic).pending {
            None => self.check_next(topic),
            Some(pending) => match pending.phase {
                Phase::Prepare => self.prepare(topic, pending),
                Phase::Revoke => self.release(topic, pending),
            },
        }
    }

    fn check_next(&mut self, topic: Topic) {
        let now = self.now;
        let at = topic.index();
        let Some(leader) = self.leader_mut() else { return };
        let change = &mut leader.changes[at];
        change.prepared = None;
        if change.checking.is_none() {
            let Some(proposal) = change.queue.pop_front() else { return };
            change.checking = Some(Checking { proposal, since: now, against: None, verdict: None });
        }
        let Some(checking) = change.checking.clone() else { return };
        let Proposal { id, hash, size, asked_at } = checking.proposal;
        let Some(part) = self.settled().map(|state| state.topic(topic)) else { return };
        let in_force = part.in_force;
        if part.answer_to(&id).is_some() || in_force.is_some_and(|version| version.hash == hash) {
            // It waited in the queue while the same was put in force; its proposer hears when it asks again.
            return self.stop_checking(topic);
        }
        if checking.against.is_none() {
            if self.holder.cannot_run(&hash) {
                return self.refuse(topic, id, ProposalOutcome::Unsupported);
            }
            if now >= self.fetched_by(&checking) {
                return self.refuse(topic, id, ProposalOutcome::ContentUnavailable);
            }
            if !self.holder.has(&hash) && now >= asked_at + self.config.timing.lease {
                // Its proposer is gone, and the content with it; if it comes back, it asks again.
                self.stop_checking(topic);
                return self.check_next(topic);
            }
            if !self.holder.has(&hash) {
                return self.want(topic, hash, size, vec![id.member]);
            }
            // Whoever may act on something else than what is in force has it from this leader, once earlier leases are over.
            let mut against = match self.leader() {
                Some(leader) if self.handed_over() => leader.leases.leased(topic, now),
                _ => Default::default(),
            };
            against.extend(in_force.map(|version| (version.number, version.hash)));
            let against: Vec<_> = against.into_iter().collect();
            if let Some(checking) = self.leader_mut().and_then(|leader| leader.changes[at].checking.as_mut())
            {
                checking.against = Some(against.clone());
            }
            return self.out.push_back(Output::Check { topic, hash, against });
        }
        let Some(verdict) = checking.verdict else {
            if now >= self.fetched_by(&checking) {
                // No word from the embedder: the queue must not stand still for ever.
                self.refuse(topic, id, ProposalOutcome::Rejected);
            }
            return;
        };
        let against = checking.against.unwrap_or_default();
        let Some(mut state) = self.settled().cloned() else { return };
        let part = state.topic_mut(topic);
        let number = part.last_number + 1;
        let compatible_from = match verdict {
            Verdict::Rejected => return self.refuse(topic, id, ProposalOutcome::Rejected),
            Verdict::Incompatible => number,
            // Numbers that weren't checked don't count, were they greater or less.
            Verdict::Compatible { from } => {
                against.iter().map(|&(number, _)| number).find(|&checked| checked >= from).unwrap_or(number)
            }
        };
        part.last_number = number;
        let version = Version { number, hash, size, compatible_from };
        part.pending = Some(Pending { version, phase: Phase::Prepare, proposal: id });
        self.stop_checking(topic);
        self.write(state);
    }

    fn stop_checking(&mut self, topic: Topic) {
        if let Some(leader) = self.leader_mut() {
            leader.changes[topic.index()].checking = None;
        }
    }

    /// A proposal is over before it got a number; agreed, so that it stays over with the next leader.
    fn refuse(&mut self, topic: Topic, id: ProposalId, outcome: ProposalOutcome) {
        self.stop_checking(topic);
        let Some(mut state) = self.settled().cloned() else { return };
        state.topic_mut(topic).answer(id, outcome);
        self.write(state);
    }

    fn prepare(&mut self, topic: Topic, pending: Pending) {
        let (now, lease) = (self.now, self.longer(self.config.timing.lease));
        let (number, at) = (pending.version.number, topic.index());
        let handed_over = self.handed_over();
        let patience = self.config.timing.prepare;
        let Some(leader) = self.leader_mut() else { return };
        let change = &mut leader.changes[at];
        let since = match change.prepared {
            Some((of, since)) if of == number => since,
            _ => {
                change.prepared = Some((number, now));
                now
            }
        };
        if leader.leases.live(now, lease).any(|(_, tenant)| tenant.unsupported[at] == Some(number)) {
            return self.drop_pending(topic, pending, ProposalOutcome::Unsupported);
        }
        // Before that, it doesn't know yet who lives.
        let ready =
            handed_over && leader.leases.live(now, lease).all(|(_, tenant)| tenant.ready[at] == Some(number));
        // Whoever is elected next must have it: what is in force is to be had as long as a majority of voters is.
        let kept = self.kept_by_a_majority(topic, number);
        if (!ready || !kept) && now < since + patience {
            return;
        }
        if !kept {
            if now >= since + 2 * patience {
                self.drop_pending(topic, pending, ProposalOutcome::ContentUnavailable);
            }
            return;
        }
        let Some(leader) = self.leader() else { return };
        let below = leader.leases.last_below(topic, pending.version.compatible_from, now);
        let Some(mut state) = self.settled().cloned() else { return };
        let part = state.topic_mut(topic);
        let agrees = part.in_force.is_none_or(|version| version.number >= pending.version.compatible_from);
        let at_once = (handed_over && agrees && below.is_none()) || self.is(Mutant::EarlyActivation);
        if at_once {
            return self.put_in_force(topic, pending);
        }
        part.pending = Some(Pending { phase: Phase::Revoke, ..pending });
        self.write(state);
    }

    fn kept_by_a_majority(&self, topic: Topic, number: u64) -> bool {
        let lease = self.longer(self.config.timing.lease);
        let Some(leader) = self.leader() else { return false };
        let keepers: BTreeSet<u16> = leader
            .leases
            .live(self.now, lease)
            .filter(|(member, tenant)| {
                self.config.votes(*member) && tenant.ready[topic.index()] == Some(number)
            })
            .map(|(member, _)| member)
            .collect();
        keepers.len() >= self.config.majority()
    }

    fn drop_pending(&mut self, topic: Topic, pending: Pending, outcome: ProposalOutcome) {
        let Some(mut state) = self.settled().cloned() else { return };
        let part = state.topic_mut(topic);
        part.pending = None;
        part.answer(pending.proposal, outcome);
        self.write(state);
    }

    /// Nobody is granted what the pending version contradicts since this phase was agreed; once all such leases are over,
    /// by their holders' word or by time, nobody can act on it.
    fn release(&mut self, topic: Topic, pending: Pending) {
        let Some(leader) = self.leader() else { return };
        let below = leader.leases.last_below(topic, pending.version.compatible_from, self.now);
        if self.handed_over() && below.is_none() {
            self.put_in_force(topic, pending);
        }
    }

    fn put_in_force(&mut self, topic: Topic, pending: Pending) {
        let Some(mut state) = self.settled().cloned() else { return };
        let part = state.topic_mut(topic);
        part.in_force = Some(pending.version);
        part.pending = None;
        part.answer(pending.proposal, ProposalOutcome::InForce);
        self.write(state);
    }

    /// A state was agreed: whom it concerns is told; all members, if this leader is new to them.
    pub(crate) fn tell(&mut self, before: Option<State>) {
        let (now, lease) = (self.now, self.longer(self.config.timing.lease));
        let Some(leader) = self.leader() else { return };
        let Some((revision, state)) = leader.committed.clone() else { return };
        let changed = before.as_ref().is_none_or(|before| {
            let outward =
                |state: &State| [0, 1].map(|at| (state.topics[at].in_force, state.topics[at].pending));
            outward(before) != outward(&state)
        });
        let to: Vec<u16> = match (&before, changed) {
            (None, _) => (0..self.config.members).collect(),
            (Some(_), true) => leader.leases.live(now, lease).map(|(member, _)| member).collect(),
            (Some(_), false) => Vec::new(),
        };
        let pending = [0, 1].map(|at| state.topics[at].pending);
        let mut last = None;
        for member in to {
            // Two lives of one member are told once.
            if last.replace(member) != Some(member) {
                self.send(member, Message::Announce { revision, pending });
            }
        }
        let results = |state: &State, topic: Topic| state.topic(topic).results.last().copied();
        for topic in Topic::ALL {
            let newest = results(&state, topic);
            if let Some(answer) = newest
                && before.as_ref().is_some_and(|before| results(before, topic) != newest)
            {
                self.send(
                    answer.proposal.member,
                    Message::ProposalFinished { id: answer.proposal, outcome: answer.outcome },
                );
            }
        }
    }
}
