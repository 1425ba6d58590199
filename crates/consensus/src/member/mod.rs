//! One member: its inputs, its outputs, its clock.

mod activation;
mod content;
mod election;
mod endpoint_list;
mod leader;
mod lease_grants;
mod lease_holder;
mod proposal;
mod recovery;
mod voter;

use crate::clock_drift::{longer, shorter};
use crate::mutant::Mutant;
use crate::roles::endpoint_lists::Lists;
use crate::roles::lease_holder::Holder;
use crate::roles::proposer::Proposer;
use crate::roles::voter::Voter;
use crate::status::{Role, Status, TopicStatus};
use crate::{Config, DurableState, Input, Lease, Message, Micros, Output, Topic};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

/// What was counted.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    pub elections: u64,
    pub elections_won: u64,
    pub leaderships_lost: u64,
    pub grants: u64,
    pub dropped: u64,
    pub invariant_violations: u64,
}

/// One member of the accord; a voter too, if the configuration says so.
#[derive(Clone, Debug)]
pub struct Member {
    pub(crate) config: Config,
    pub(crate) now: Micros,
    pub(crate) chance: ChaCha8Rng,
    pub(crate) out: VecDeque<Output>,
    /// What this process tells itself, as when the leader renews its own lease.
    pub(crate) inward: VecDeque<Message>,
    pub(crate) voter: Option<Voter>,
    pub(crate) holder: Holder,
    pub(crate) proposer: Proposer,
    pub(crate) lists: Lists,
    pub(crate) counts: Counts,
    #[cfg(feature = "mutants")]
    mutant: Mutant,
}

impl Member {
    /// A process that starts now. `memory` is what it last saved. A voter without it (lost, or never had) abstains: it
    /// waits until whatever it may have promised is over, then asks the others what they know. Give [`DurableState::initial`] at
    /// the very first start of a cluster only. Other members need none. The configuration is to have been checked.
    pub fn new(config: Config, now: Micros, durable_state: Option<DurableState>, seed: u64) -> Self {
        let mut member = Self {
            now,
            chance: ChaCha8Rng::seed_from_u64(seed),
            out: VecDeque::new(),
            inward: VecDeque::new(),
            voter: None,
            holder: Holder::new(&config, now),
            proposer: Proposer::default(),
            lists: Lists::default(),
            counts: Counts::default(),
            #[cfg(feature = "mutants")]
            mutant: Mutant::Unmodified,
            config,
        };
        if member.config.votes(member.config.ordinal) {
            let deadline = member.election_deadline();
            member.voter = Some(Voter::new(now, durable_state, deadline, &member.config));
        }
        member.first_renewal();
        member
    }

    /// Builds a fault in. For tests.
    #[cfg(feature = "mutants")]
    #[doc(hidden)]
    pub fn mutate(&mut self, mutant: Mutant) {
        self.mutant = mutant;
        if let Some(voter) = &mut self.voter {
            if mutant == Mutant::SkipRecovery && voter.recovering.take().is_some() {
                voter.heard_at = Micros::MIN / 2;
            }
            if mutant == Mutant::VoteAfterRestart {
                voter.heard_at = Micros::MIN / 2;
                voter.deadline = self.now;
            }
        }
    }

    /// Whether the fault is built in. Never, outside of tests.
    #[cfg(feature = "mutants")]
    pub(crate) fn is(&self, mutant: Mutant) -> bool {
        self.mutant == mutant
    }

    /// Whether the fault is built in. Never, outside of tests.
    #[cfg(not(feature = "mutants"))]
    pub(crate) fn is(&self, _: Mutant) -> bool {
        false
    }

    /// Takes what happened at `now`. A time before an earlier one is taken for that one.
    pub fn handle(&mut self, now: Micros, input: Input) {
        self.now = self.now.max(now);
        // What the clock ended comes first: after a stop, nothing may be done under what ran out meanwhile.
        self.turn();
        match input {
            Input::Tick => {}
            Input::Message { from, message } => self.receive(from, message),
            Input::Propose { topic, hash, size } => self.propose(topic, hash, size),
            Input::Checked { topic, hash, verdict } => self.checked(topic, hash, verdict),
            Input::ContentReady { hash } => self.have(hash),
            Input::ContentUnsupported { hash } => self.cannot_run(hash),
            Input::ListReceived { revision } => self.list_seen(revision),
        }
        self.turn();
        while let Some(message) = self.inward.pop_front() {
            self.receive(self.config.ordinal, message);
            self.turn();
        }
    }

    /// What is due by the clock, or has become possible.
    fn turn(&mut self) {
        self.expire_rights();
        self.turn_recovery();
        self.turn_election();
        self.turn_leader();
        self.turn_proposer();
        self.turn_holder();
    }

    fn receive(&mut self, from: u16, message: Message) {
        let among_voters = matches!(
            message,
            Message::VoteRequest { .. }
                | Message::VoteResponse { .. }
                | Message::Heartbeat { .. }
                | Message::HeartbeatAck { .. }
                | Message::RecoveryRequest { .. }
                | Message::RecoveryResponse { .. }
        );
        // These come from voters only; the rest of what voters do, only they do.
        let by_voter = among_voters
            || matches!(
                message,
                Message::LeaseGrant(_)
                    | Message::LeaderHint { .. }
                    | Message::Announce { .. }
                    | Message::ProposalFinished { .. }
            );
        if from >= self.config.members
            || !message.bounded()
            || (by_voter && !self.config.votes(from))
            || (among_voters && (self.voter.is_none() || from == self.config.ordinal))
        {
            self.counts.dropped += 1;
            return;
        }
        match message {
            Message::VoteRequest { term, pre_vote, revision } => {
                self.canvassed(from, term, pre_vote, revision)
            }
            Message::VoteResponse { term, pre_vote, granted } => self.voted(from, term, pre_vote, granted),
            Message::Heartbeat { term, round, revision, state } => {
                self.beaten(from, term, round, revision, state)
            }
            Message::HeartbeatAck { term, round, revision } => self.heard(from, term, round, revision),
            Message::RecoveryRequest { nonce } => self.asked_to_recover(from, nonce),
            Message::RecoveryResponse { nonce, term, revision, state } => {
                self.recovered(from, nonce, term, revision, *state)
            }
            Message::LeaseRequest(renew) => self.renewed(from, *renew),
            Message::LeaseGrant(grant) => self.granted(from, *grant),
            Message::LeaderHint { echo, leader } => self.hinted(echo, leader),
            Message::Announce { revision, pending } => self.announced(from, revision, pending),
            Message::Propose { id, topic, hash, size } => self.proposed(from, id, topic, hash, size),
            Message::ProposalFinished { id, outcome } => self.proposal_over(id, outcome),
        }
    }

    /// When a [`Input::Tick`] is due, if nothing else comes before.
    pub fn next_timeout(&self) -> Micros {
        let voter = self.voter.as_ref().map_or(Micros::MAX, |voter| self.voter_timeout(voter));
        voter.min(self.holder.next_timeout()).min(self.proposer.next_timeout())
    }

    /// What is to be done next.
    pub fn poll(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    /// What this process may act on, as of the last input; to be read with its `until`.
    pub fn lease(&self, topic: Topic) -> Lease {
        self.holder.lease(topic)
    }

    pub(crate) fn send(&mut self, to: u16, message: Message) {
        if to == self.config.ordinal {
            self.inward.push_back(message);
        } else {
            self.out.push_back(Output::Send { to, message });
        }
    }

    pub(crate) fn tell_other_voters(&mut self, message: &Message) {
        for at in 0..self.config.voters.len() {
            let to = self.config.voters[at];
            if to != self.config.ordinal {
                self.send(to, message.clone());
            }
        }
    }

    /// An invariant: stops tests, is counted in programs.
    pub(crate) fn sure(&mut self, holds: bool, what: &str) {
        // Mutants are there to break them; what counts with those is the oracle outside.
        let faithful = self.is(Mutant::Unmodified) || cfg!(not(feature = "mutants"));
        debug_assert!(holds || !faithful, "{what}");
        if !holds {
            self.counts.invariant_violations += 1;
        }
    }

    fn drift(&self) -> u32 {
        if self.is(Mutant::IgnoreDrift) { 0 } else { self.config.timing.drift_ppm }
    }

    pub(crate) fn longer(&self, span: Micros) -> Micros {
        longer(span, self.drift())
    }

    pub(crate) fn shorter(&self, span: Micros) -> Micros {
        shorter(span, self.drift())
    }

    /// What this member knows.
    pub fn status(&self) -> Status {
        let mut status = Status {
            term: self.holder.revision.term,
            leader: self.holder.known_leader(),
            proposals: self.proposer.len(),
            elections: self.counts.elections,
            elections_won: self.counts.elections_won,
            leaderships_lost: self.counts.leaderships_lost,
            grants: self.counts.grants,
            dropped: self.counts.dropped,
            invariant_violations: self.counts.invariant_violations,
            ..Status::default()
        };
        for topic in Topic::ALL {
            status.topics[topic.index()] = self.holder.topic_status(topic);
        }
        if let Some(voter) = &self.voter {
            status.role = voter.role();
            status.term = status.term.max(voter.durable_state.term);
            status.leader = voter.leader.or(status.leader);
            status.revision = voter.durable_state.revision;
            status.state = Some(voter.durable_state.state.clone());
            if let Some(leader) = &voter.leading {
                status.authority_until = self.authority_until(leader);
                status.live_members =
                    leader.leases.live(self.now, self.longer(self.config.timing.lease)).count() as u32;
                for topic in Topic::ALL {
                    let status: &mut TopicStatus = &mut status.topics[topic.index()];
                    status.members_by_version = leader.leases.members_by_version(
                        topic,
                        self.now,
                        self.longer(self.config.timing.lease),
                    );
                }
            }
        }
        debug_assert!(self.voter.is_some() || status.role == Role::Member);
        status
    }
}
