//! A member's own leases, and its requests for them.

use crate::state::Pending;
use crate::status::TopicStatus;
use crate::{Config, ContentHash, Lease, Micros, StateRevision, Topic, Version};

/// The lease on one topic.
#[derive(Clone, Debug, Default)]
pub(crate) struct TopicLease {
    /// The version this process may act on, and until when.
    pub active: Option<(Version, Micros)>,
    /// A granted version whose content isn't here yet, and until when.
    pub offered: Option<(Version, Micros)>,
    /// Versions below are never acted on again: a greater one was active.
    pub floor: u64,
    /// Versions below are never acted on again: they were revoked.
    pub revoked_below: u64,
    pub pending: Option<Pending>,
    /// The contents that the embedder was asked for, the newest first, and when.
    pub requested_contents: Vec<(ContentHash, Micros)>,
    /// The lease that the embedder was last notified of.
    pub published: Option<Lease>,
}

/// A member's requests for leases, and the voter that they go to.
#[derive(Clone, Debug)]
pub(crate) struct LeaseRequests {
    /// The voter that requests go to.
    pub target: u16,
    /// The target granted a lease, so it leads.
    pub target_is_leader: bool,
    /// The target was taken from a hint: two voters that point at each other must not send this member to and fro.
    pub followed_hint: bool,
    pub last_sent: Micros,
    /// The request time of the newest grant.
    pub last_echo: Micros,
    pub next_request: Micros,
    /// Requests since the last answer.
    pub unanswered: u32,
    /// The next request is ahead of its time: that the one before has no answer yet isn't a miss.
    pub is_early: bool,
}

impl LeaseRequests {
    fn new(config: &Config, now: Micros) -> Self {
        let own = config.is_voter(config.ordinal).then_some(config.ordinal);
        let target = own.or_else(|| config.voters.first().copied());
        Self {
            target: target.unwrap_or(config.ordinal),
            target_is_leader: false,
            followed_hint: false,
            last_sent: Micros::MIN,
            last_echo: Micros::MIN,
            next_request: now,
            unanswered: 0,
            is_early: false,
        }
    }
}

/// The contents that a member knows, the newest last.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownContents {
    /// Contents that are here and compiled.
    pub available: Vec<ContentHash>,
    /// Contents that this process cannot run.
    pub unsupported: Vec<ContentHash>,
}

/// A member's leases.
#[derive(Clone, Debug)]
pub(crate) struct LeaseHolder {
    pub requests: LeaseRequests,
    /// The newest state that a leader announced.
    pub known_revision: StateRevision,
    pub topics: [TopicLease; 2],
    pub contents: KnownContents,
}

impl LeaseHolder {
    pub fn new(config: &Config, now: Micros) -> Self {
        Self {
            requests: LeaseRequests::new(config, now),
            known_revision: StateRevision::default(),
            topics: Default::default(),
            contents: KnownContents::default(),
        }
    }

    pub fn is_available(&self, hash: &ContentHash) -> bool {
        self.contents.available.contains(hash)
    }

    pub fn is_unsupported(&self, hash: &ContentHash) -> bool {
        self.contents.unsupported.contains(hash)
    }

    pub fn known_leader(&self) -> Option<u16> {
        self.requests.target_is_leader.then_some(self.requests.target)
    }

    pub fn lease(&self, topic: Topic) -> Lease {
        match self.topics[topic.index()].active {
            Some((version, until)) => Lease { topic, version: Some((version.number, version.hash)), until },
            None => Lease { topic, version: None, until: Micros::MIN },
        }
    }

    pub fn topic_status(&self, topic: Topic) -> TopicStatus {
        let lease = &self.topics[topic.index()];
        let pending = lease.pending.map_or(0, |pending| pending.version.number);
        let offered = lease.offered.map_or(0, |(version, _)| version.number);
        TopicStatus {
            active: lease.active.map(|(version, _)| version),
            until: lease.active.map_or(Micros::MIN, |(_, until)| until),
            newest: pending.max(offered).max(lease.floor),
            members_by_version: Vec::new(),
        }
    }

    pub fn next_timeout(&self) -> Micros {
        let ends = self.topics.iter().filter_map(|lease| lease.active.map(|(_, until)| until));
        ends.min().unwrap_or(Micros::MAX).min(self.requests.next_request)
    }
}
