//! The leases of a member. A lease is counted by the member's own clock from when the member sent the request, and is
//! dropped immediately when the version is revoked.

use crate::mutant::Mutant;
use crate::roles::lease_holder::TopicLease;
use crate::state::{Pending, Phase};
use crate::{
    ContentHash, Lease, LeaseGrant, LeaseRequest, Member, Message, Micros, Output, StateRevision, Topic,
    Version,
};
use rand::RngExt;

impl Member {
    /// Draws the time and the receiver of the first request, so that members that start together don't all send
    /// requests at the same time.
    pub(super) fn schedule_first_request(&mut self) {
        let spread = self.rng.random_range(0..=self.config.timing.heartbeat);
        self.lease_holder.requests.next_request = self.now + spread;
        let index = self.rng.random_range(0..self.config.voters.len());
        if self.voter.is_none() {
            self.lease_holder.requests.target = self.config.voters[index];
        }
    }

    /// Notifies the embedder of the lease, if it changed.
    fn publish_lease(&mut self, topic: Topic) {
        let (now, lease) = (self.now, self.lease_holder.lease(topic));
        let published = &mut self.lease_holder.topics[topic.index()].published;
        let before = published.map(|lease| lease.version);
        let lease = match lease.version {
            // The previously published lease has ended: at its own end, or now if that is earlier.
            None => Lease { until: published.map_or(now, |before| before.until.min(now)), ..lease },
            Some(_) => lease,
        };
        let is_new_version = before.flatten() != lease.version;
        if is_new_version || (lease.version.is_some() && *published != Some(lease)) {
            *published = Some(lease);
            self.outputs.push_back(Output::LeaseChanged(lease));
        }
    }

    pub(super) fn expire_leases(&mut self) {
        for topic in Topic::ALL {
            let lease = &mut self.lease_holder.topics[topic.index()];
            lease.offered = lease.offered.filter(|&(_, until)| self.now < until);
            if lease.active.is_some_and(|(_, until)| self.now >= until) {
                lease.active = None;
                self.publish_lease(topic);
            }
        }
    }

    /// Sends a lease request if one is due.
    pub(super) fn tick_lease_holder(&mut self) {
        let now = self.now;
        if now < self.lease_holder.requests.next_request || now <= self.lease_holder.requests.last_sent {
            return;
        }
        let retry_after = self.lease_retry_after();
        let jitter = self.rng.random_range(0..=retry_after / 4);
        let is_early = std::mem::take(&mut self.lease_holder.requests.is_early);
        if self.lease_holder.requests.unanswered >= 2 && !is_early {
            self.try_next_voter();
        }
        let holder = &mut self.lease_holder;
        holder.requests.unanswered += u32::from(!is_early);
        holder.requests.last_sent = now;
        holder.requests.next_request = now + retry_after + jitter;
        let to = holder.requests.target;
        let request = self.lease_request();
        self.send(to, Message::LeaseRequest(Box::new(request)));
    }

    /// Returns how long to wait for an answer. The time is short, so that a lost message costs little of the lease's
    /// duration and the member soon moves on from a failed leader to the next voter.
    fn lease_retry_after(&self) -> Micros {
        let timing = &self.config.timing;
        let backoff = timing.heartbeat * i64::from(self.lease_holder.requests.unanswered.min(4)) / 4;
        (timing.heartbeat * 2).min(timing.lease / 4) + backoff
    }

    /// Builds the request that is sent now.
    fn lease_request(&self) -> LeaseRequest {
        let holder = &self.lease_holder;
        let by_topic =
            |number_of: &dyn Fn(&TopicLease) -> Option<u64>| holder.topics.each_ref().map(number_of);
        let pending_in = |lease: &TopicLease, contents: &[ContentHash]| {
            lease
                .pending
                .filter(|pending| contents.contains(&pending.version.hash))
                .map(|pending| pending.version.number)
        };
        LeaseRequest {
            incarnation: self.config.incarnation,
            sent_at: holder.requests.last_sent,
            active: by_topic(&|lease| lease.active.map(|(version, _)| version.number)),
            revoked_below: holder.topics.each_ref().map(|lease| lease.revoked_below),
            ready: by_topic(&|lease| pending_in(lease, &holder.contents.available)),
            unsupported: by_topic(&|lease| pending_in(lease, &holder.contents.unsupported)),
            list: self.lists.own,
        }
    }

    fn try_next_voter(&mut self) {
        let voters = &self.config.voters;
        let index = voters.iter().position(|&voter| voter == self.lease_holder.requests.target).unwrap_or(0);
        self.lease_holder.requests.target = voters[(index + 1) % voters.len()];
        self.lease_holder.requests.target_is_leader = false;
    }

    /// Schedules a request for the current time, because the leader waits for the information in it.
    pub(super) fn request_lease_now(&mut self) {
        self.lease_holder.requests.is_early = true;
        self.lease_holder.requests.next_request =
            self.now.max(self.lease_holder.requests.last_sent.saturating_add(1));
    }

    /// Handles the answer of a voter that doesn't lead, if it belongs to the newest request.
    pub(super) fn receive_leader_hint(&mut self, echo: Micros, leader: Option<u16>) {
        if echo != self.lease_holder.requests.last_sent {
            return;
        }
        match leader.filter(|&leader| self.config.is_voter(leader)) {
            Some(leader)
                if leader != self.lease_holder.requests.target
                    && !self.lease_holder.requests.followed_hint =>
            {
                self.lease_holder.requests.followed_hint = true;
                self.lease_holder.requests.target = leader;
                self.lease_holder.requests.target_is_leader = false;
                self.request_lease_now();
            }
            _ => {
                self.lease_holder.requests.followed_hint = false;
                self.try_next_voter();
                let backoff = self.rng.random_range(1..=self.config.timing.heartbeat);
                self.lease_holder.requests.next_request = self.now + backoff;
            }
        }
    }

    /// Handles a lease grant of the leader.
    pub(super) fn receive_lease_grant(&mut self, from: u16, grant: &LeaseGrant) {
        if !self.accepts_grant(grant) {
            return self.counters.dropped += 1;
        }
        let holder = &mut self.lease_holder;
        holder.requests.last_echo = grant.echo;
        holder.requests.target = from;
        holder.requests.target_is_leader = true;
        holder.requests.followed_hint = false;
        holder.requests.unanswered = 0;
        self.counters.grants += 1;
        let timing = self.config.timing;
        let jitter = self.rng.random_range(0..=timing.lease / 12);
        self.lease_holder.requests.next_request = (grant.echo + timing.lease / 3 - jitter).max(self.now + 1);
        self.update_pending(grant.revision, grant.pending, from);
        // The lease is counted from the sending of the request. The leader counts from a later time and for longer.
        let starts_at = if self.has_mutant(Mutant::LeaseFromReceipt) { self.now } else { grant.echo };
        let until = starts_at + self.shorten(timing.lease);
        for topic in Topic::ALL {
            if let Some(version) = grant.versions[topic.index()] {
                self.offer_lease(topic, version, until, from);
            }
        }
        self.newest_list_reported(grant.list);
    }

    /// Whether the grant answers a request of this incarnation, and no newer answer arrived before.
    fn accepts_grant(&self, grant: &LeaseGrant) -> bool {
        let holder = &self.lease_holder;
        let is_old = grant.echo <= holder.requests.last_echo || grant.revision < holder.known_revision;
        grant.incarnation == self.config.incarnation
            && grant.echo <= holder.requests.last_sent
            && (!is_old || self.has_mutant(Mutant::AcceptRevoked))
    }

    /// Starts or extends a granted lease. If the content isn't available, requests it and starts the lease later.
    fn offer_lease(&mut self, topic: Topic, version: Version, until: Micros, leader: u16) {
        let accepts_revoked = self.has_mutant(Mutant::AcceptRevoked);
        let lease = &mut self.lease_holder.topics[topic.index()];
        if version.number < lease.highest_activated.max(lease.revoked_below) && !accepts_revoked {
            return;
        }
        lease.offered = Some((version, until));
        self.activate_offered(topic);
        if !self.lease_holder.is_available(&version.hash) {
            self.fetch_content(topic, version.hash, version.size, vec![leader]);
        }
    }

    /// Starts to act on the offered version if its content is available.
    pub(super) fn activate_offered(&mut self, topic: Topic) {
        let lease = &mut self.lease_holder.topics[topic.index()];
        let Some((version, until)) = lease.offered else { return };
        let current = lease.active.filter(|(active, _)| active.number == version.number);
        if (current.is_none() && !self.lease_holder.contents.available.contains(&version.hash))
            || until <= self.now
        {
            return;
        }
        lease.offered = None;
        let is_forward = version.number >= lease.highest_activated;
        lease.active = Some((version, current.map_or(until, |(_, earlier)| earlier.max(until))));
        lease.highest_activated = version.number;
        let is_allowed = is_forward || self.has_mutant(Mutant::AcceptRevoked);
        self.check_invariant(is_allowed, "the number of a member's version must not decrease");
        self.publish_lease(topic);
    }

    /// Handles the leader's announcement that the state changed.
    pub(super) fn receive_announcement(
        &mut self,
        from: u16,
        revision: StateRevision,
        pending: [Option<Pending>; 2],
    ) {
        if revision <= self.lease_holder.known_revision {
            return self.counters.dropped += 1;
        }
        self.lease_holder.requests.target = from;
        self.lease_holder.requests.unanswered = 0;
        self.update_pending(revision, pending, from);
        self.request_lease_now();
    }

    /// Updates the pending versions: fetches their contents, and drops the leases that they revoke.
    fn update_pending(&mut self, revision: StateRevision, pending: [Option<Pending>; 2], leader: u16) {
        if revision < self.lease_holder.known_revision {
            return;
        }
        self.lease_holder.known_revision = revision;
        for topic in Topic::ALL {
            let pending = pending[topic.index()];
            self.lease_holder.topics[topic.index()].pending = pending;
            let Some(Pending { version, phase, proposal }) = pending else { continue };
            if phase == Phase::Revoke {
                self.revoke_below(topic, version.compatible_from);
            }
            self.fetch_content(topic, version.hash, version.size, vec![leader, proposal.member]);
        }
    }

    /// Drops the lease on a version below `number` and rejects such versions from now on, because an incompatible
    /// version will certainly come in force. Tells the leader immediately.
    fn revoke_below(&mut self, topic: Topic, number: u64) {
        let lease = &mut self.lease_holder.topics[topic.index()];
        if lease.revoked_below >= number {
            return;
        }
        lease.revoked_below = number;
        lease.offered = lease.offered.filter(|(version, _)| version.number >= number);
        if lease.active.is_some_and(|(version, _)| version.number < number) {
            lease.active = None;
            self.publish_lease(topic);
        }
        self.request_lease_now();
    }
}
