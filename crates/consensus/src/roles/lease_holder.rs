//! A member's leases: asked for by its own clock, counted from there, let go of at once when told to.

use crate::state::Pending;
use crate::status::TopicStatus;
use crate::{Config, ContentHash, Lease, Micros, StateRevision, Topic, Version};

/// One topic.
#[derive(Clone, Debug, Default)]
pub(crate) struct Held {
    /// What this process may act on, and until when.
    pub right: Option<(Version, Micros)>,
    /// What was granted and isn't here yet.
    pub offered: Option<(Version, Micros)>,
    /// Nothing below is taken: what was held once, or what was released.
    pub floor: u64,
    pub revoked_below: u64,
    pub pending: Option<Pending>,
    /// When the embedder was last asked for which contents; the newest few.
    pub asked: Vec<(ContentHash, Micros)>,
    pub shown: Option<Lease>,
}

/// A member's leases.
#[derive(Clone, Debug)]
pub(crate) struct Holder {
    /// The voter it asks.
    pub target: u16,
    /// Whether that one granted.
    pub sure: bool,
    /// The newest state it was told of.
    pub revision: StateRevision,
    pub last_sent: Micros,
    pub last_echo: Micros,
    pub next_renew: Micros,
    pub misses: u32,
    /// Asks ahead of its time: the one before isn't missing.
    pub prompt: bool,
    /// Went where a voter pointed; two that point at each other must not send it to and fro.
    pub followed: bool,
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
