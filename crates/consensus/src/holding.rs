//! A member's leases: asked for by its own clock, counted from there, let go of at once when told to.

use crate::mutant::Mutant;
use crate::state::{Pending, Phase};
use crate::status::TopicStatus;
use crate::{
    Config, ContentHash, Lease, LeaseGrant, LeaseRequest, Member, Message, Micros, Output, StateRevision,
    Topic, Version,
};
use rand::RngExt;

/// One topic.
#[derive(Clone, Debug, Default)]
pub(crate) struct Held {
    /// What this process may act on, and until when.
    right: Option<(Version, Micros)>,
    /// What was granted and isn't here yet.
    offered: Option<(Version, Micros)>,
    /// Nothing below is taken: what was held once, or what was released.
    floor: u64,
    revoked_below: u64,
    pub pending: Option<Pending>,
    /// When the embedder was last asked for which contents; the newest few.
    pub asked: Vec<(ContentHash, Micros)>,
    shown: Option<Lease>,
}

/// A member's leases.
#[derive(Clone, Debug)]
pub(crate) struct Holder {
    /// The voter it asks.
    pub target: u16,
    /// Whether that one granted.
    sure: bool,
    /// The newest state it was told of.
    pub revision: StateRevision,
    last_sent: Micros,
    last_echo: Micros,
    next_renew: Micros,
    misses: u32,
    /// Asks ahead of its time: the one before isn't missing.
    prompt: bool,
    /// Went where a voter pointed; two that point at each other must not send it to and fro.
    followed: bool,
    pub topics: [Held; 2],
    pub have: Vec<ContentHash>,
    pub unsupported: Vec<ContentHash>,
}

impl Holder {
    pub fn new(config: &Config, now: Micros) -> Self {
        let target =
            if config.votes(config.ordinal) { Some(config.ordinal) } else { config.voters.first().copied() };
        Self {
            target: target.unwrap_or(config.ordinal),
            sure: false,
            revision: StateRevision::default(),
            last_sent: Micros::MIN,
            last_echo: Micros::MIN,
            next_renew: now,
            misses: 0,
            prompt: false,
            followed: false,
            topics: Default::default(),
            have: Vec::new(),
            unsupported: Vec::new(),
        }
    }

    pub fn has(&self, hash: &ContentHash) -> bool {
        self.have.contains(hash)
    }

    pub fn cannot_run(&self, hash: &ContentHash) -> bool {
        self.unsupported.contains(hash)
    }

    pub fn known_leader(&self) -> Option<u16> {
        self.sure.then_some(self.target)
    }

    pub fn lease(&self, topic: Topic) -> Lease {
        match self.topics[topic.index()].right {
            Some((version, until)) => Lease { topic, version: Some((version.number, version.hash)), until },
            None => Lease { topic, version: None, until: Micros::MIN },
        }
    }

    pub fn topic_status(&self, topic: Topic) -> TopicStatus {
        let held = &self.topics[topic.index()];
        let newest = held.pending.map_or(0, |pending| pending.version.number);
        TopicStatus {
            active: held.right.map(|(version, _)| version),
            until: held.right.map_or(Micros::MIN, |(_, until)| until),
            newest: newest.max(held.offered.map_or(0, |(version, _)| version.number)).max(held.floor),
            members_by_version: Vec::new(),
        }
    }

    pub fn next_timeout(&self) -> Micros {
        let ends = self.topics.iter().filter_map(|held| held.right.map(|(_, until)| until));
        ends.min().unwrap_or(Micros::MAX).min(self.next_renew)
    }
}

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
