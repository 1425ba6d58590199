//! One member: its inputs, its outputs and its clock. The submodules contain the steps of the protocol.

mod activation;
mod compatibility;
mod content;
mod election;
mod endpoint_list;
mod leader;
mod lease_grants;
mod lease_holder;
mod proposal;
mod recovery;
mod voter;

use crate::clock_drift::{lengthen, shorten};
use crate::mutant::Mutant;
use crate::roles::endpoint_lists::KnownLists;
use crate::roles::lease_holder::LeaseHolder;
use crate::roles::proposer::Proposer;
use crate::roles::voter::Voter;
use crate::status::{Role, Status};
use crate::{Config, DurableState, Input, Lease, Message, Micros, Output, Topic};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

/// Counters since the start of the process. [`Status`] documents the meaning of each.
#[derive(Clone, Debug, Default)]
struct Counters {
    elections: u64,
    elections_won: u64,
    leaderships_lost: u64,
    grants: u64,
    dropped: u64,
    invariant_violations: u64,
}

/// One member of the cluster, which is also a voter if the configuration lists it as one.
#[derive(Clone, Debug)]
pub struct Member {
    config: Config,
    /// The time of the newest input.
    now: Micros,
    rng: ChaCha8Rng,
    outputs: VecDeque<Output>,
    /// Messages of this process to itself, for example when the leader renews its own lease.
    loopback: VecDeque<Message>,
    voter: Option<Voter>,
    lease_holder: LeaseHolder,
    proposer: Proposer,
    lists: KnownLists,
    counters: Counters,
    #[cfg(feature = "mutants")]
    mutant: Mutant,
}

impl Member {
    /// Creates a member that starts now. `durable_state` is the state that the member saved last; members that don't
    /// vote need none. A voter without durable state, whether it was lost or never existed, abstains: it waits until
    /// every promise that it may have made has expired, then asks the other voters for their state.
    /// [`DurableState::initial`] must only be used at the very first start of a cluster. The configuration must have
    /// passed [`Config::check`].
    pub fn new(config: Config, now: Micros, durable_state: Option<DurableState>, seed: u64) -> Self {
        let mut member = Self {
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            outputs: VecDeque::new(),
            loopback: VecDeque::new(),
            voter: None,
            lease_holder: LeaseHolder::new(&config, now),
            proposer: Proposer::default(),
            lists: KnownLists::default(),
            counters: Counters::default(),
            #[cfg(feature = "mutants")]
            mutant: Mutant::Unmodified,
            config,
        };
        if member.config.is_voter(member.config.ordinal) {
            let deadline = member.draw_election_deadline();
            member.voter = Some(Voter::new(now, durable_state, deadline, &member.config));
        }
        member.schedule_first_request();
        member
    }

    /// Builds a fault in, for tests.
    #[cfg(feature = "mutants")]
    #[doc(hidden)]
    pub fn mutate(&mut self, mutant: Mutant) {
        self.mutant = mutant;
        if let Some(voter) = &mut self.voter {
            if mutant == Mutant::SkipRecovery && voter.recovery.take().is_some() {
                voter.leader_heard_at = Micros::MIN / 2;
            }
            if mutant == Mutant::VoteAfterRestart {
                voter.leader_heard_at = Micros::MIN / 2;
                voter.election_deadline = self.now;
            }
        }
    }

    /// Whether the fault is built in. Only tests build faults in.
    #[cfg(feature = "mutants")]
    fn has_mutant(&self, mutant: Mutant) -> bool {
        self.mutant == mutant
    }

    /// Whether the fault is built in. Only tests build faults in.
    #[cfg(not(feature = "mutants"))]
    fn has_mutant(&self, _: Mutant) -> bool {
        false
    }

    /// Handles an input that arrived at `now`, by the process's monotonic clock. If `now` is before the time of an
    /// earlier input, the earlier input's time is used.
    pub fn handle(&mut self, now: Micros, input: Input) {
        self.now = self.now.max(now);
        // Leases expire before the input is handled: a process that was stopped must not act under a lease that expired
        // meanwhile.
        self.tick();
        match input {
            Input::Tick => {}
            Input::Message { from, message } => self.receive(from, message),
            Input::Propose { topic, hash, size } => self.propose(topic, hash, size),
            Input::Checked { topic, hash, verdict } => self.check_finished(topic, hash, verdict),
            Input::ContentReady { hash } => self.content_ready(hash),
            Input::ContentUnsupported { hash } => self.content_unsupported(hash),
            Input::ListReceived { revision } => self.list_received(revision),
        }
        self.tick();
        while let Some(message) = self.loopback.pop_front() {
            self.receive(self.config.ordinal, message);
            self.tick();
        }
    }

    /// Performs all steps that are due by the clock or that have become possible.
    fn tick(&mut self) {
        self.expire_leases();
        self.tick_recovery();
        self.tick_election();
        self.tick_leader();
        self.tick_proposer();
        self.tick_lease_holder();
    }

    fn receive(&mut self, from: u16, message: Message) {
        if !self.is_acceptable(from, &message) {
            self.counters.dropped += 1;
            return;
        }
        match message {
            Message::VoteRequest { term, pre_vote, revision } => {
                self.receive_vote_request(from, term, pre_vote, revision)
            }
            Message::VoteResponse { term, pre_vote, granted } => {
                self.receive_vote_response(from, term, pre_vote, granted)
            }
            Message::Heartbeat { term, round, revision, state } => {
                self.receive_heartbeat(from, term, round, revision, state)
            }
            Message::HeartbeatAck { term, round, revision } => {
                self.receive_heartbeat_ack(from, term, round, revision)
            }
            Message::RecoveryRequest { nonce } => self.receive_recovery_request(from, nonce),
            Message::RecoveryResponse { nonce, term, revision, state } => {
                self.receive_recovery_response(from, nonce, term, revision, *state)
            }
            Message::LeaseRequest(request) => self.receive_lease_request(from, &request),
            Message::LeaseGrant(grant) => self.receive_lease_grant(from, &grant),
            Message::LeaderHint { echo, leader } => self.receive_leader_hint(echo, leader),
            Message::Announce { revision, pending } => self.receive_announcement(from, revision, pending),
            Message::Propose { id, topic, hash, size } => self.receive_proposal(from, id, topic, hash, size),
            Message::ProposalFinished { id, outcome } => self.proposal_finished(id, outcome),
        }
    }

    /// Whether the message is within the bounds and may come from this sender.
    fn is_acceptable(&self, from: u16, message: &Message) -> bool {
        let among_voters = message.is_among_voters();
        from < self.config.members
            && message.bounded()
            && (!message.is_from_voter() || self.config.is_voter(from))
            && (!among_voters || (self.voter.is_some() && from != self.config.ordinal))
    }

    /// Returns when [`Input::Tick`] is due, unless another input comes earlier.
    pub fn next_timeout(&self) -> Micros {
        let voter = self.voter.as_ref().map_or(Micros::MAX, |voter| self.voter_timeout(voter));
        voter.min(self.lease_holder.next_timeout()).min(self.proposer.next_timeout())
    }

    /// Returns the next output. The embedder must carry it out before the one after it.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Returns the lease on this topic as of the last input. The caller must compare its `until` with the clock before
    /// each use.
    pub fn lease(&self, topic: Topic) -> Lease {
        self.lease_holder.lease(topic)
    }

    fn send(&mut self, to: u16, message: Message) {
        if to == self.config.ordinal {
            self.loopback.push_back(message);
        } else {
            self.outputs.push_back(Output::Send { to, message });
        }
    }

    fn send_to_other_voters(&mut self, message: &Message) {
        for index in 0..self.config.voters.len() {
            let to = self.config.voters[index];
            if to != self.config.ordinal {
                self.send(to, message.clone());
            }
        }
    }

    /// Checks an invariant. A violation panics in builds with debug assertions, and is counted in other builds.
    fn check_invariant(&mut self, holds: bool, invariant: &str) {
        // Mutants violate invariants deliberately; the oracle of the tests detects these violations.
        let is_unmodified = self.has_mutant(Mutant::Unmodified) || cfg!(not(feature = "mutants"));
        debug_assert!(holds || !is_unmodified, "{invariant}");
        if !holds {
            self.counters.invariant_violations += 1;
        }
    }

    fn drift_ppm(&self) -> u32 {
        if self.has_mutant(Mutant::IgnoreDrift) { 0 } else { self.config.timing.drift_ppm }
    }

    /// Calls [`lengthen`] with the configured drift.
    fn lengthen(&self, duration: Micros) -> Micros {
        lengthen(duration, self.drift_ppm())
    }

    /// Calls [`shorten`] with the configured drift.
    fn shorten(&self, duration: Micros) -> Micros {
        shorten(duration, self.drift_ppm())
    }

    /// Returns how long the leader counts a granted lease by its own clock. This covers the member's lease even if the
    /// two clocks drift apart by the configured maximum.
    fn grant_duration(&self) -> Micros {
        self.lengthen(self.config.timing.lease)
    }

    /// Returns the status of this member and its view of the cluster.
    pub fn status(&self) -> Status {
        let mut status = Status {
            term: self.lease_holder.known_revision.term,
            leader: self.lease_holder.known_leader(),
            proposals: self.proposer.len(),
            elections: self.counters.elections,
            elections_won: self.counters.elections_won,
            leaderships_lost: self.counters.leaderships_lost,
            grants: self.counters.grants,
            dropped: self.counters.dropped,
            invariant_violations: self.counters.invariant_violations,
            ..Status::default()
        };
        for topic in Topic::ALL {
            status.topics[topic.index()] = self.lease_holder.topic_status(topic);
        }
        if let Some(voter) = &self.voter {
            self.add_voter_status(&mut status, voter);
        }
        debug_assert!(self.voter.is_some() || status.role == Role::Member);
        status
    }

    fn add_voter_status(&self, status: &mut Status, voter: &Voter) {
        status.role = voter.role();
        status.term = status.term.max(voter.durable_state.term);
        status.leader = voter.known_leader.or(status.leader);
        status.revision = voter.durable_state.revision;
        status.state = Some(voter.durable_state.state.clone());
        let Some(leader) = &voter.leadership else { return };
        let lease = self.grant_duration();
        status.authority_until = self.authority_until(leader);
        status.live_members = leader.grants.live(self.now, lease).count() as u32;
        for topic in Topic::ALL {
            status.topics[topic.index()].members_by_version =
                leader.grants.members_by_version(topic, self.now, lease);
        }
    }
}
