//! What a leader does: rounds to the other voters, what they acknowledged, and until when it may act as one.

use crate::mutant::Mutant;
use crate::roles::leader::Leader;
use crate::{Member, Message, Micros, State, StateRevision, Topic};

impl Member {
    /// When the newest round began that a majority acknowledged; this voter itself is of any.
    fn quorum_round(&self, leader: &Leader) -> Option<Micros> {
        let needed = self.config.majority() - 1;
        if needed == 0 {
            return Some(self.now);
        }
        let mut rounds: Vec<Micros> = leader.heard.values().map(|&(round, _)| round).collect();
        rounds.sort_unstable_by(|one, other| other.cmp(one));
        rounds.get(needed - 1).copied()
    }

    /// Until when no other can be elected: the voters of that round promised so from when they heard it, which is later
    /// than it was sent.
    pub(crate) fn authority_until(&self, leader: &Leader) -> Option<Micros> {
        Some(self.quorum_round(leader)? + self.shorter(self.config.timing.election_timeout_min))
    }

    /// Whether this process leads at this instant, by its own clock.
    pub(crate) fn leads_now(&self) -> bool {
        let Some(leader) = self.voter.as_ref().and_then(|voter| voter.leading.as_ref()) else { return false };
        self.is(Mutant::NoAuthorityCheck)
            || self.authority_until(leader).is_some_and(|until| self.now < until)
    }

    pub(crate) fn leader_mut(&mut self) -> Option<&mut Leader> {
        self.voter.as_mut()?.leading.as_deref_mut()
    }

    pub(crate) fn leader(&self) -> Option<&Leader> {
        self.voter.as_ref()?.leading.as_deref()
    }

    /// The state agreed, if this process leads at this instant and nothing is on its way to be agreed.
    pub(crate) fn settled(&self) -> Option<&State> {
        let leader = self.leader()?;
        let (_, state) = leader.committed.as_ref()?;
        (leader.agreed && self.leads_now()).then_some(state)
    }

    /// Whether leases that earlier leaders granted are over: all of them were granted before this one won.
    pub(crate) fn handed_over(&self) -> bool {
        self.leader().is_some_and(|leader| {
            self.is(Mutant::SkipHandover) || self.now >= leader.won_at + self.longer(self.config.timing.lease)
        })
    }

    pub(crate) fn leader_timeout(&self, leader: &Leader) -> Micros {
        let handover = leader.won_at + self.longer(self.config.timing.lease);
        let handover = if handover > self.now { handover } else { Micros::MAX };
        if !self.leads_now() {
            return leader.next_beat;
        }
        let change = Topic::ALL.iter().map(|&topic| self.change_timeout(leader, topic)).min();
        leader.next_beat.min(handover).min(change.unwrap_or(Micros::MAX).max(self.now + 1))
    }

    /// A round; with the state to those that aren't known to have it.
    pub(crate) fn beat(&mut self) {
        let (now, heartbeat) = (self.now, self.config.timing.heartbeat);
        let Some(voter) = &mut self.voter else { return };
        let Some(leader) = &mut voter.leading else { return };
        leader.next_beat = now + heartbeat;
        let (term, revision) = (voter.durable_state.term, voter.durable_state.revision);
        let mut rounds = Vec::new();
        for &to in &self.config.voters {
            if to == self.config.ordinal {
                continue;
            }
            let has = leader.heard.get(&to).is_some_and(|&(_, had)| had == revision);
            let state = (!has).then(|| Box::new(voter.durable_state.state.clone()));
            rounds.push((to, Message::Heartbeat { term, round: now, revision, state }));
        }
        for (to, message) in rounds {
            self.send(to, message);
        }
    }

    /// Writes the next state; nothing is counted on before a majority has it.
    pub(crate) fn write(&mut self, state: State) {
        let Some(voter) = &mut self.voter else { return };
        let follows = state.may_follow(&voter.durable_state.state);
        voter.durable_state.revision.seq += 1;
        voter.durable_state.state = state;
        if let Some(leader) = &mut voter.leading {
            leader.agreed = false;
        }
        self.sure(follows, "a state was to go back");
        self.save();
        self.beat();
    }

    /// A leader's round came in.
    pub(crate) fn beaten(
        &mut self,
        from: u16,
        term: u64,
        round: Micros,
        revision: StateRevision,
        state: Option<Box<State>>,
    ) {
        let deadline = self.election_deadline();
        let now = self.now;
        let Some(voter) = &mut self.voter else { return };
        if voter.recovering.is_some() {
            // It says nothing of what it has: it may have had more.
            voter.leader = Some(from);
            voter.heard_at = now;
            return;
        }
        if term < voter.durable_state.term {
            let (term, revision) = (voter.durable_state.term, voter.durable_state.revision);
            return self.send(from, Message::HeartbeatAck { term, round, revision });
        }
        let mut changed = term > voter.durable_state.term;
        if changed {
            self.adopt(term, Some(from));
        }
        let Some(voter) = &mut self.voter else { return };
        if voter.leading.is_some() {
            return self.sure(false, "two leaders in one term");
        }
        voter.candidacy = None;
        voter.leader = Some(from);
        voter.heard_at = now;
        voter.deadline = deadline;
        if let Some(state) = state
            && revision > voter.durable_state.revision
        {
            voter.durable_state.revision = revision;
            voter.durable_state.state = *state;
            changed = true;
        }
        let revision = voter.durable_state.revision;
        if changed {
            self.save();
        }
        self.send(from, Message::HeartbeatAck { term, round, revision });
    }

    /// A voter's acknowledgement came in.
    pub(crate) fn heard(&mut self, from: u16, term: u64, round: Micros, revision: StateRevision) {
        let now = self.now;
        let Some(voter) = &mut self.voter else { return };
        if voter.recovering.is_some() {
            return;
        }
        if term > voter.durable_state.term {
            self.adopt(term, None);
            return self.save();
        }
        let known = voter.durable_state.term;
        let Some(leader) = &mut voter.leading else { return };
        let newest = leader.heard.get(&from).is_none_or(|&(before, _)| round >= before);
        if term == known && newest && round <= now && round >= leader.won_at {
            // In place of what it said before, never added to it: it may have lost its memory since.
            leader.heard.insert(from, (round, revision));
        } else {
            self.counts.dropped += 1;
        }
    }

    pub(crate) fn turn_leader(&mut self) {
        let (now, window) = (self.now, self.config.timing.election_timeout_max);
        let Some(leader) = self.leader() else { return };
        let last = self.quorum_round(leader).unwrap_or(leader.won_at).max(leader.won_at);
        if now > last + window && !self.is(Mutant::NoAuthorityCheck) {
            // Nobody hears it, or it hears nobody: as long as it goes on, others may wait for it in vain.
            let deadline = self.election_deadline();
            let Some(voter) = &mut self.voter else { return };
            voter.leading = None;
            voter.leader = None;
            voter.deadline = deadline;
            self.counts.leaderships_lost += 1;
            return;
        }
        if now >= leader.next_beat {
            let lease = self.longer(self.config.timing.lease);
            if let Some(leader) = self.leader_mut() {
                leader.leases.forget(now, lease);
            }
            self.list_told();
            self.beat();
        }
        self.agree();
        for topic in Topic::ALL {
            self.drive(topic);
        }
    }

    /// Whether a majority has the state by now. Only fresh words count: a voter that lost its memory abstains for longer
    /// than they stay fresh, then learns from a majority of the others what was agreed with its help.
    fn agree(&mut self) {
        let (now, window) = (self.now, self.config.timing.election_timeout_max);
        let Some(voter) = &mut self.voter else { return };
        let Some(leader) = &mut voter.leading else { return };
        if leader.agreed {
            return;
        }
        let have = leader
            .heard
            .values()
            .filter(|&&(round, had)| had == voter.durable_state.revision && now <= round + window);
        if have.count() + 1 < self.config.majority() {
            return;
        }
        leader.agreed = true;
        let before =
            leader.committed.replace((voter.durable_state.revision, voter.durable_state.state.clone()));
        let follows = before.as_ref().is_none_or(|(_, before)| voter.durable_state.state.may_follow(before));
        self.sure(follows, "an agreed state went back");
        self.tell(before.map(|(_, before)| before));
    }
}
