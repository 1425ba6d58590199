//! The leader's heartbeats and their acknowledgements, the time until which the leader has authority, and the commit of
//! its state.

use crate::mutant::Mutant;
use crate::roles::leader::Leader;
use crate::{Member, Message, Micros, State, StateRevision, Topic};

impl Member {
    /// Returns when the leader sent the newest heartbeat that a majority acknowledged. The leader itself counts as one
    /// voter of the majority.
    fn newest_quorum_round(&self, leader: &Leader) -> Option<Micros> {
        let needed = self.config.majority() - 1;
        if needed == 0 {
            return Some(self.now);
        }
        let mut rounds: Vec<Micros> = leader.acks.values().map(|&(round, _)| round).collect();
        rounds.sort_unstable_by(|left, right| right.cmp(left));
        rounds.get(needed - 1).copied()
    }

    /// Returns until when no other voter can be elected. The voters that acknowledged the heartbeat promised to vote
    /// for no other candidate for some time after they received it, and they received it after the leader sent it.
    pub(super) fn authority_until(&self, leader: &Leader) -> Option<Micros> {
        Some(self.newest_quorum_round(leader)? + self.shorten(self.config.timing.election_timeout_min))
    }

    /// Whether this process is the leader at this instant, by its own clock.
    pub(super) fn has_authority(&self) -> bool {
        let Some(leader) = self.leader() else { return false };
        self.has_mutant(Mutant::NoAuthorityCheck)
            || self.authority_until(leader).is_some_and(|until| self.now < until)
    }

    pub(super) fn leader_mut(&mut self) -> Option<&mut Leader> {
        self.voter.as_mut()?.leadership.as_deref_mut()
    }

    pub(super) fn leader(&self) -> Option<&Leader> {
        self.voter.as_ref()?.leadership.as_deref()
    }

    /// Returns the committed state if this process leads at this instant and has no uncommitted write.
    pub(super) fn authoritative_state(&self) -> Option<&State> {
        let leader = self.leader()?;
        let (_, state) = leader.committed.as_ref()?;
        (leader.is_committed && self.has_authority()).then_some(state)
    }

    /// Returns when every lease of an earlier leader has expired. All these leases were granted before this leader was
    /// elected.
    fn earlier_leases_expire_at(&self, leader: &Leader) -> Micros {
        leader.elected_at + self.grant_duration()
    }

    /// Whether every lease of an earlier leader has expired.
    pub(super) fn earlier_leases_expired(&self) -> bool {
        self.leader().is_some_and(|leader| {
            self.has_mutant(Mutant::SkipHandover) || self.now >= self.earlier_leases_expire_at(leader)
        })
    }

    pub(super) fn leader_timeout(&self, leader: &Leader) -> Micros {
        if !self.has_authority() {
            return leader.next_heartbeat;
        }
        let handover = self.earlier_leases_expire_at(leader);
        let handover = if handover > self.now { handover } else { Micros::MAX };
        let change = Topic::ALL.iter().map(|&topic| self.change_timeout(leader, topic)).min();
        leader.next_heartbeat.min(handover).min(change.unwrap_or(Micros::MAX).max(self.now + 1))
    }

    /// Sends a heartbeat to the other voters. The state is included for voters that haven't acknowledged this revision.
    pub(super) fn send_heartbeat(&mut self) {
        let (now, interval) = (self.now, self.config.timing.heartbeat);
        let Some(voter) = &mut self.voter else { return };
        let Some(leader) = &mut voter.leadership else { return };
        leader.next_heartbeat = now + interval;
        let (term, revision) = (voter.durable_state.term, voter.durable_state.revision);
        let mut heartbeats = Vec::new();
        for &to in &self.config.voters {
            if to == self.config.ordinal {
                continue;
            }
            let is_current = leader.acks.get(&to).is_some_and(|&(_, acked)| acked == revision);
            let state = (!is_current).then(|| Box::new(voter.durable_state.state.clone()));
            heartbeats.push((to, Message::Heartbeat { term, round: now, revision, state }));
        }
        for (to, message) in heartbeats {
            self.send(to, message);
        }
    }

    /// Writes the next state. The state isn't used until a majority has it.
    pub(super) fn write_state(&mut self, state: State) {
        let Some(voter) = &mut self.voter else { return };
        let may_follow = state.may_follow(&voter.durable_state.state);
        voter.durable_state.revision.seq += 1;
        voter.durable_state.state = state;
        if let Some(leader) = &mut voter.leadership {
            leader.is_committed = false;
        }
        self.check_invariant(may_follow, "the state must not be replaced by an older one");
        self.save_durable_state();
        self.send_heartbeat();
    }

    pub(super) fn receive_heartbeat(
        &mut self,
        from: u16,
        term: u64,
        round: Micros,
        revision: StateRevision,
        state: Option<Box<State>>,
    ) {
        let deadline = self.draw_election_deadline();
        let now = self.now;
        let Some(voter) = &mut self.voter else { return };
        if voter.recovery.is_some() {
            // A recovering voter must not acknowledge: the state that it lost may have been newer than its current one.
            voter.known_leader = Some(from);
            voter.leader_heard_at = now;
            return;
        }
        let own_term = voter.durable_state.term;
        if term < own_term {
            let revision = voter.durable_state.revision;
            return self.send(from, Message::HeartbeatAck { term: own_term, round, revision });
        }
        if term > own_term {
            self.adopt_term(term, Some(from));
        }
        let Some(voter) = &mut self.voter else { return };
        if voter.leadership.is_some() {
            return self.check_invariant(false, "two leaders in one term");
        }
        voter.candidacy = None;
        voter.known_leader = Some(from);
        voter.leader_heard_at = now;
        voter.election_deadline = deadline;
        let newer = state.filter(|_| revision > voter.durable_state.revision);
        let is_changed = term > own_term || newer.is_some();
        if let Some(state) = newer {
            voter.durable_state.revision = revision;
            voter.durable_state.state = *state;
        }
        let revision = voter.durable_state.revision;
        if is_changed {
            self.save_durable_state();
        }
        self.send(from, Message::HeartbeatAck { term, round, revision });
    }

    pub(super) fn receive_heartbeat_ack(
        &mut self,
        from: u16,
        term: u64,
        round: Micros,
        revision: StateRevision,
    ) {
        let now = self.now;
        let Some(voter) = &mut self.voter else { return };
        if voter.recovery.is_some() {
            return;
        }
        let own_term = voter.durable_state.term;
        if term > own_term {
            self.adopt_term(term, None);
            return self.save_durable_state();
        }
        let Some(leader) = &mut voter.leadership else { return };
        let is_newest = leader.acks.get(&from).is_none_or(|&(before, _)| round >= before);
        if term == own_term && is_newest && round <= now && round >= leader.elected_at {
            // The new acknowledgement replaces the earlier one: the voter may have lost its durable state in between,
            // so an earlier, greater revision must not count any more.
            leader.acks.insert(from, (round, revision));
        } else {
            self.counters.dropped += 1;
        }
    }

    pub(super) fn tick_leader(&mut self) {
        let Some(leader) = self.leader() else { return };
        let newest = self.newest_quorum_round(leader).unwrap_or(leader.elected_at).max(leader.elected_at);
        let time_since_quorum = self.now - newest;
        if time_since_quorum > self.config.timing.election_timeout_max
            && !self.has_mutant(Mutant::NoAuthorityCheck)
        {
            return self.step_down();
        }
        if self.now >= leader.next_heartbeat {
            self.remove_expired_grants();
            self.update_newest_list();
            self.send_heartbeat();
        }
        self.commit_if_majority();
        for topic in Topic::ALL {
            self.advance_change(topic);
        }
    }

    /// Becomes a follower, because no majority acknowledges this leader and other voters may otherwise wait for it in
    /// vain.
    fn step_down(&mut self) {
        let deadline = self.draw_election_deadline();
        let Some(voter) = &mut self.voter else { return };
        voter.leadership = None;
        voter.known_leader = None;
        voter.election_deadline = deadline;
        self.counters.leaderships_lost += 1;
    }

    fn remove_expired_grants(&mut self) {
        let (now, lease) = (self.now, self.grant_duration());
        if let Some(leader) = self.leader_mut() {
            leader.grants.remove_expired(now, lease);
        }
    }

    /// Commits the state once a majority has it. Only recent acknowledgements count. A voter that lost its durable
    /// state abstains until its earlier acknowledgements are no longer recent. It then learns from a majority of the
    /// other voters which state was committed with its help.
    fn commit_if_majority(&mut self) {
        let (now, max_age) = (self.now, self.config.timing.election_timeout_max);
        let Some(voter) = &mut self.voter else { return };
        let Some(leader) = &mut voter.leadership else { return };
        if leader.is_committed {
            return;
        }
        let (revision, state) = (voter.durable_state.revision, &voter.durable_state.state);
        let acknowledged =
            leader.acks.values().filter(|&&(round, acked)| acked == revision && now <= round + max_age);
        if acknowledged.count() + 1 < self.config.majority() {
            return;
        }
        leader.is_committed = true;
        let before = leader.committed.replace((revision, state.clone()));
        let may_follow = before.as_ref().is_none_or(|(_, before)| state.may_follow(before));
        self.check_invariant(may_follow, "the committed state must not be replaced by an older one");
        self.announce_state(before.map(|(_, before)| before));
    }
}
