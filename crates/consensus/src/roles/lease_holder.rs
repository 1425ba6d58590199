//! The leases that a member holds, and its requests for them.

use crate::state::Pending;
use crate::status::TopicStatus;
use crate::{Config, ContentHash, Lease, Micros, StateRevision, Topic, Version};

/// The lease on the version of one topic.
#[derive(Clone, Debug, Default)]
pub(crate) struct TopicLease {
    /// The version that this process may act on, and when its lease ends.
    pub active: Option<(Version, Micros)>,
    /// A granted version whose content isn't available yet, and when its lease ends.
    pub offered: Option<(Version, Micros)>,
    /// The greatest number that this process has acted on. The process never acts on a smaller number again.
    pub highest_activated: u64,
    /// The process never acts on a number below this one again, because those versions were revoked.
    pub revoked_below: u64,
    pub pending: Option<Pending>,
    /// The contents that the embedder was asked to fetch, and when it was asked; the newest first.
    pub requested_contents: Vec<(ContentHash, Micros)>,
    /// The lease that the embedder was last notified of.
    pub published: Option<Lease>,
}

/// The state of a member's lease requests, and the voter that receives them.
#[derive(Clone, Debug)]
pub(crate) struct LeaseRequests {
    /// The voter that requests are sent to.
    pub target: u16,
    /// Whether the target has granted a lease, so that it is known to lead.
    pub target_is_leader: bool,
    /// Whether the target was taken from a hint. The next hint is then ignored, so that two voters that name each other
    /// as the leader don't make this member alternate between them.
    pub followed_hint: bool,
    pub last_sent: Micros,
    /// The `sent_at` of the request that the newest grant answers.
    pub last_echo: Micros,
    pub next_request: Micros,
    /// The number of requests since the last answer.
    pub unanswered: u32,
    /// Whether the next request is sent earlier than scheduled. The previous request may then still be answered, so the
    /// early request isn't counted as unanswered.
    pub is_early: bool,
}

impl LeaseRequests {
    fn new(config: &Config, now: Micros) -> Self {
        let own_ordinal = config.is_voter(config.ordinal).then_some(config.ordinal);
        let target = own_ordinal.or_else(|| config.voters.first().copied());
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
    /// The contents that are available locally and compiled.
    pub available: Vec<ContentHash>,
    /// The contents that this process can't run.
    pub unsupported: Vec<ContentHash>,
}

/// The leases of a member on all topics.
#[derive(Clone, Debug)]
pub(crate) struct LeaseHolder {
    pub requests: LeaseRequests,
    /// The revision of the newest state that a leader announced or granted leases from.
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
            newest: pending.max(offered).max(lease.highest_activated),
            members_by_version: Vec::new(),
        }
    }

    pub fn next_timeout(&self) -> Micros {
        let ends = self.topics.iter().filter_map(|lease| lease.active.map(|(_, until)| until));
        ends.min().unwrap_or(Micros::MAX).min(self.requests.next_request)
    }
}
