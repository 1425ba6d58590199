//! The status of a member and its view of the cluster, for operators.

use crate::Micros;
use crate::state::{State, StateRevision, Topic, Version};

/// The role of a member among the voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Role {
    /// The member is not a voter.
    #[default]
    Member,
    /// The voter lost its durable state. It abstains until every promise it may have made has expired and the other
    /// voters have sent their state.
    Recovering,
    /// The voter votes and follows a leader.
    Follower,
    /// The voter requests votes.
    Candidate,
    /// The voter leads.
    Leader,
}

/// The status of one topic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TopicStatus {
    /// The version that this member has a lease on. The lease may have expired.
    pub active: Option<Version>,
    /// When the lease expires, by the clock of the member.
    pub until: Micros,
    /// The greatest known number of a version in force or pending.
    pub newest: u64,
    /// Only at the leader: the number of live members by the version number that they act on. 0 stands for no version.
    pub members_by_version: Vec<(u64, u32)>,
}

/// The status of a member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// The role of this member.
    pub role: Role,
    /// The greatest term that this member knows.
    pub term: u64,
    /// The ordinal of the leader, as far as this member knows.
    pub leader: Option<u16>,
    /// Only at the leader: until when this member may act as the leader, by its own clock.
    pub authority_until: Option<Micros>,
    /// Only at a voter: the revision of its state.
    pub revision: StateRevision,
    /// Only at a voter: its state. The last write may not be committed yet.
    pub state: Option<State>,
    /// The status of each topic.
    pub topics: [TopicStatus; 2],
    /// Only at the leader: the number of incarnations that requested a lease within the last duration of a lease.
    pub live_members: u32,
    /// The number of unfinished proposals of this process.
    pub proposals: u32,
    /// The number of elections that this process started.
    pub elections: u64,
    /// The number of elections that this process won.
    pub elections_won: u64,
    /// The number of times that this process stopped leading.
    pub leaderships_lost: u64,
    /// The number of accepted lease grants.
    pub grants: u64,
    /// The number of dropped messages: outdated, from the wrong sender, or out of bounds.
    pub dropped: u64,
    /// The number of detected invariant violations. A value above 0 means that this code, a clock or a disk is faulty.
    pub invariant_violations: u64,
}

impl Status {
    /// Returns the status of one topic.
    pub fn topic(&self, topic: Topic) -> &TopicStatus {
        &self.topics[topic.index()]
    }
}
