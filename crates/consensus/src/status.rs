//! A member's view of itself and of the cluster, for operators.

use crate::Micros;
use crate::state::{State, StateRevision, Topic, Version};

/// A member's role among the voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Role {
    /// Not a voter.
    #[default]
    Member,
    /// Lost its durable state: abstains until what it may have promised is over and the other voters sent theirs.
    Recovering,
    /// Votes, and follows a leader.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// The status of one topic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TopicStatus {
    /// The version this member has a lease on; the lease may have expired.
    pub active: Option<Version>,
    /// When the lease expires, by the member's own clock.
    pub until: Micros,
    /// The greatest number known to be in force or pending.
    pub newest: u64,
    /// Leader: live members by the number they act on; 0 stands for none.
    pub members_by_version: Vec<(u64, u32)>,
}

/// A member's status.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Its role.
    pub role: Role,
    /// The greatest term it knows of.
    pub term: u64,
    /// Who leads, as far as it knows.
    pub leader: Option<u16>,
    /// Leader: until when it may act as one, by its own clock.
    pub authority_until: Option<Micros>,
    /// Voter: the revision of its state.
    pub revision: StateRevision,
    /// Voter: its state; the last write may not be committed yet.
    pub state: Option<State>,
    /// By topic.
    pub topics: [TopicStatus; 2],
    /// Leader: incarnations that requested a lease within the last lease's time.
    pub live_members: u32,
    /// Unfinished proposals of this process.
    pub proposals: u32,
    /// Elections started here.
    pub elections: u64,
    /// Elections won here.
    pub elections_won: u64,
    /// Times this process stopped leading.
    pub leaderships_lost: u64,
    /// Lease grants accepted.
    pub grants: u64,
    /// Messages dropped: outdated, from the wrong sender, or out of bounds.
    pub dropped: u64,
    /// Invariants found violated. Always 0 unless this code, a clock or a disk is at fault.
    pub invariant_violations: u64,
}

impl Status {
    /// The status of one topic.
    pub fn topic(&self, topic: Topic) -> &TopicStatus {
        &self.topics[topic.index()]
    }
}
