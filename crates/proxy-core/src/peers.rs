//! The other proxies of the fleet: a small fleet gossips, a large one aggregates load reports; this proxy is a member of one of
//! the two protocols. Its state grows with the number of members and of render nodes, not with their product.

use crate::aggregation_member::AggregationMember;
use crate::gossip_member::GossipMember;
use crate::interface::{Environment, Input, LocalState, Output, Roster};
use cottonnotch_decision::{Event, Micros};
use cottonnotch_gossip::{Gossip, Strength};
use std::collections::VecDeque;

/// This proxy's membership in the fleet.
pub struct Peers {
    protocol: Protocol,
    roster: Roster,
    outputs: VecDeque<Output>,
}

enum Protocol {
    Gossip(Box<GossipMember>),
    Aggregation(Box<AggregationMember>),
}

impl Peers {
    /// A member of a fleet that gossips.
    pub fn with_gossip(member: Gossip, strength: Strength, roster: Roster) -> Self {
        Self::new(Protocol::Gossip(Box::new(GossipMember::new(member, strength))), roster)
    }

    /// A member of a fleet that aggregates load reports.
    pub fn with_aggregation(member: cottonnotch_aggregation::Member, roster: Roster) -> Self {
        Self::new(Protocol::Aggregation(Box::new(AggregationMember::new(member))), roster)
    }

    fn new(protocol: Protocol, roster: Roster) -> Self {
        Peers { protocol, roster, outputs: VecDeque::new() }
    }

    /// Observes an event that the decision module is about to handle.
    pub fn observe(&mut self, now: Micros, event: &Event) {
        match &mut self.protocol {
            Protocol::Gossip(member) => member.observe(now, event),
            Protocol::Aggregation(member) => member.observe(now, event),
        }
    }

    /// Handles an input; then [`Peers::poll`] until it returns nothing. `now` never goes back.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, local: &mut LocalState<'_>) {
        let environment = &mut Environment { local, roster: &self.roster, outputs: &mut self.outputs };
        match &mut self.protocol {
            Protocol::Gossip(member) => member.handle(now, input, environment),
            Protocol::Aggregation(member) => member.handle(now, input, environment),
        }
    }

    /// The next output, if any.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When [`Input::Tick`] is due, unless another input comes first; [`Micros::MAX`]: never.
    pub fn next_timeout(&self) -> Micros {
        match &self.protocol {
            Protocol::Gossip(member) => member.gossip.next_timeout(),
            Protocol::Aggregation(member) => member.member.next_timeout(),
        }
    }

    /// The aggregation protocol's member, where that is the protocol.
    pub fn aggregation_member(&self) -> Option<&cottonnotch_aggregation::Member> {
        match &self.protocol {
            Protocol::Aggregation(member) => Some(&member.member),
            Protocol::Gossip(_) => None,
        }
    }

    /// The gossip protocol's member, where that is the protocol.
    pub fn gossip_member(&self) -> Option<&Gossip> {
        match &self.protocol {
            Protocol::Gossip(member) => Some(&member.gossip),
            Protocol::Aggregation(_) => None,
        }
    }
}
