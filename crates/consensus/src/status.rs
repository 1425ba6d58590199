//! What a member knows, for on-call.

use crate::{Micros, State, StateRevision, Topic, Version};

/// What a voter does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Role {
    /// Doesn't vote.
    #[default]
    Member,
    /// Lost its memory; abstains until what it may have promised is over and others told it what they know.
    Recovering,
    /// Votes, follows.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// One topic, as seen here.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TopicStatus {
    /// What this member holds, though its time may be over.
    pub active: Option<Version>,
    /// Until when, by its own clock.
    pub until: Micros,
    /// The newest version known to be in force or pending.
    pub newest: u64,
    /// Leader: live members by the number they said they hold; 0 stands for none.
    pub members_by_version: Vec<(u64, u32)>,
}

/// What a member knows of itself and of the accord.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// What it does.
    pub role: Role,
    /// The greatest term it knows of.
    pub term: u64,
    /// Who leads, as far as it knows.
    pub leader: Option<u16>,
    /// Leader: until when it may act as one, by its own clock.
    pub authority_until: Option<Micros>,
    /// Voter: order of the state it holds.
    pub revision: StateRevision,
    /// Voter: the state it holds; the last change of it may not be agreed yet.
    pub state: Option<State>,
    /// By topic.
    pub topics: [TopicStatus; 2],
    /// Leader: members that asked for a lease within the last one's time.
    pub live_members: u32,
    /// Proposals of this process that aren't over.
    pub proposals: u32,
    /// Elections begun here.
    pub elections: u64,
    /// Elections won here.
    pub elections_won: u64,
    /// Times the authority of a leader ran out here.
    pub leaderships_lost: u64,
    /// Grants that came in and counted.
    pub grants: u64,
    /// Messages dropped: too old, from the wrong one, out of bounds.
    pub dropped: u64,
    /// Invariants found broken. Always 0 unless this code, a clock or a disk is at fault.
    pub invariant_violations: u64,
}

impl Status {
    /// One topic.
    pub fn topic(&self, topic: Topic) -> &TopicStatus {
        &self.topics[topic.index()]
    }
}
