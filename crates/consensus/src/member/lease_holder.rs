//! A member's leases: asked for by its own clock, counted from there, let go of at once when told to.

use crate::mutant::Mutant;
use crate::roles::lease_holder::Held;
use crate::state::{Pending, Phase};
use crate::{
    ContentHash, Lease, LeaseGrant, LeaseRequest, Member, Message, Micros, Output, StateRevision, Topic,
};
use rand::RngExt;

impl Member {
    /// Members that start together don't all ask at once.
    pub(crate) fn first_renewal(&mut self) {
        let spread = self.chance.random_range(0..=self.config.timing.heartbeat);
        self.holder.next_renew = self.now + spread;
        let at = self.chance.random_range(0..self.config.voters.len());
        if self.voter.is_none() {
            self.holder.target = self.config.voters[at];
        }
    }

    /// Says what this process may act on, if that changed.
    fn show(&mut self, topic: Topic) {
        let (now, right) = (self.now, self.holder.lease(topic));
        let held = &mut self.holder.topics[topic.index()];
        let before = held.shown.map(|right| right.version);
        let right = match right.version {
            // Whatever was shown before is over now, at the latest.
            None => Lease { until: held.shown.map_or(now, |shown| shown.until.min(now)), ..right },
            Some(_) => right,
        };
        if before.flatten() != right.version || (right.version.is_some() && held.shown != Some(right)) {
            held.shown = Some(right);
            self.out.push_back(Output::LeaseChanged(right));
        }
    }

    pub(crate) fn expire_rights(&mut self) {
        for topic in Topic::ALL {
            let held = &mut self.holder.topics[topic.index()];
            held.offered = held.offered.filter(|&(_, until)| self.now < until);
            if held.right.is_some_and(|(_, until)| self.now >= until) {
                held.right = None;
                self.show(topic);
            }
        }
    }

    /// Asks for the leases when it is time to.
    pub(crate) fn turn_holder(&mut self) {
        let now = self.now;
        if now < self.holder.next_renew || now <= self.holder.last_sent {
            return;
        }
        let timing = self.config.timing;
        // A lost message costs little time of the lease; a leader that is gone is soon left for the next voter.
        let patience = (timing.heartbeat * 2).min(timing.lease / 4)
            + timing.heartbeat * i64::from(self.holder.misses.min(4)) / 4;
        let jitter = self.chance.random_range(0..=patience / 4);
        let prompt = std::mem::take(&mut self.holder.prompt);
        if self.holder.misses >= 2 && !prompt {
            self.next_voter();
        }
        let (me, holder) = (self.config.incarnation, &mut self.holder);
        holder.misses += u32::from(!prompt);
        holder.last_sent = now;
        holder.next_renew = now + patience + jitter;
        let per_topic = |of: &dyn Fn(&Held) -> Option<u64>| [of(&holder.topics[0]), of(&holder.topics[1])];
        let pending = |held: &Held, among: &[ContentHash]| {
            held.pending
                .filter(|pending| among.contains(&pending.version.hash))
                .map(|pending| pending.version.number)
        };
        let renew = LeaseRequest {
            incarnation: me,
            sent_at: now,
            active: per_topic(&|held| held.right.map(|(version, _)| version.number)),
            revoked_below: [holder.topics[0].revoked_below, holder.topics[1].revoked_below],
            ready: per_topic(&|held| pending(held, &holder.have)),
            unsupported: per_topic(&|held| pending(held, &holder.unsupported)),
            list: self.lists.mine,
        };
        let to = holder.target;
        self.send(to, Message::LeaseRequest(Box::new(renew)));
    }

    fn next_voter(&mut self) {
        let voters = &self.config.voters;
        let at = voters.iter().position(|&voter| voter == self.holder.target).unwrap_or(0);
        self.holder.target = voters[(at + 1) % voters.len()];
        self.holder.sure = false;
    }

    pub(crate) fn renew_now(&mut self) {
        self.holder.prompt = true;
        self.holder.next_renew = self.now.max(self.holder.last_sent.saturating_add(1));
    }

    /// A voter that doesn't lead answered.
    pub(crate) fn hinted(&mut self, echo: Micros, leader: Option<u16>) {
        if echo != self.holder.last_sent {
            return;
        }
        match leader.filter(|&leader| self.config.votes(leader)) {
            Some(leader) if leader != self.holder.target && !self.holder.followed => {
                self.holder.followed = true;
                self.holder.target = leader;
                self.holder.sure = false;
                self.renew_now();
            }
            _ => {
                self.holder.followed = false;
                self.next_voter();
                let wait = self.chance.random_range(1..=self.config.timing.heartbeat);
                self.holder.next_renew = self.now + wait;
            }
        }
    }

    /// The leader answered.
    pub(crate) fn granted(&mut self, from: u16, grant: LeaseGrant) {
        let takes_back = self.is(Mutant::AcceptRevoked);
        let holder = &mut self.holder;
        let older = grant.echo <= holder.last_echo || grant.revision < holder.revision;
        if grant.incarnation != self.config.incarnation
            || grant.echo > holder.last_sent
            || (older && !takes_back)
        {
            return self.counts.dropped += 1;
        }
        holder.last_echo = grant.echo;
        holder.target = from;
        holder.sure = true;
        holder.followed = false;
        holder.misses = 0;
        self.counts.grants += 1;
        let timing = self.config.timing;
        let jitter = self.chance.random_range(0..=timing.lease / 12);
        self.holder.next_renew = (grant.echo + timing.lease / 3 - jitter).max(self.now + 1);
        self.pending_told(grant.revision, grant.pending, from);
        // From when it was asked for: the leader counts from later, and longer.
        let from_when = if self.is(Mutant::LeaseFromReceipt) { self.now } else { grant.echo };
        let until = from_when + self.shorter(timing.lease);
        for topic in Topic::ALL {
            let Some(version) = grant.versions[topic.index()] else { continue };
            let held = &mut self.holder.topics[topic.index()];
            if version.number < held.floor.max(held.revoked_below) && !takes_back {
                continue;
            }
            held.offered = Some((version, until));
            self.take(topic);
            if !self.holder.has(&version.hash) {
                self.want(topic, version.hash, version.size, vec![from]);
            }
        }
        self.list_heard(grant.list);
    }

    /// Acts on what was offered, once its content is here.
    pub(crate) fn take(&mut self, topic: Topic) {
        let takes_back = self.is(Mutant::AcceptRevoked);
        let held = &mut self.holder.topics[topic.index()];
        let Some((version, until)) = held.offered else { return };
        let held_already = held.right.is_some_and(|(before, _)| before.number == version.number);
        if !(held_already || self.holder.have.contains(&version.hash)) || until <= self.now {
            return;
        }
        held.offered = None;
        let forward = version.number >= held.floor;
        let until = match held.right {
            Some((before, already)) if before.number == version.number => already.max(until),
            _ => until,
        };
        held.right = Some((version, until));
        held.floor = version.number;
        self.sure(forward || takes_back, "a member's number went back");
        self.show(topic);
    }

    /// The leader says, unasked, that something changed.
    pub(crate) fn announced(&mut self, from: u16, revision: StateRevision, pending: [Option<Pending>; 2]) {
        if revision <= self.holder.revision {
            return self.counts.dropped += 1;
        }
        self.holder.target = from;
        self.holder.misses = 0;
        self.pending_told(revision, pending, from);
        self.renew_now();
    }

    fn pending_told(&mut self, revision: StateRevision, pending: [Option<Pending>; 2], leader: u16) {
        if revision < self.holder.revision {
            return;
        }
        self.holder.revision = revision;
        for topic in Topic::ALL {
            let pending = pending[topic.index()];
            self.holder.topics[topic.index()].pending = pending;
            let Some(Pending { version, phase, proposal }) = pending else { continue };
            if phase == Phase::Revoke {
                self.let_go(topic, version.compatible_from);
            }
            self.want(topic, version.hash, version.size, vec![leader, proposal.member]);
        }
    }

    /// Drops what a version contradicts that will be in force for sure, and never takes it again; the leader hears at once.
    fn let_go(&mut self, topic: Topic, below: u64) {
        let held = &mut self.holder.topics[topic.index()];
        if held.revoked_below >= below {
            return;
        }
        held.revoked_below = below;
        held.offered = held.offered.filter(|(version, _)| version.number >= below);
        if held.right.is_some_and(|(version, _)| version.number < below) {
            held.right = None;
            self.show(topic);
        }
        self.renew_now();
    }
}
