//! Communication with the other proxies of the fleet. A small fleet uses the gossip protocol, a large fleet the aggregation
//! protocol. Memory use is proportional to the sum of the numbers of members and render nodes, not to their product.

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
    /// Creates a member of a fleet that uses gossip.
    pub fn with_gossip(member: Gossip, strength: Strength, roster: Roster) -> Self {
        Self::new(Protocol::Gossip(Box::new(GossipMember::new(member, strength))), roster)
    }

    /// Creates a member of a fleet that uses aggregation.
    pub fn with_aggregation(member: cottonnotch_aggregation::Member, roster: Roster) -> Self {
        Self::new(Protocol::Aggregation(Box::new(AggregationMember::new(member))), roster)
    }

    fn new(protocol: Protocol, roster: Roster) -> Self {
        Peers { protocol, roster, outputs: VecDeque::new() }
    }

    /// Records what an event shows, before the decision module handles the event.
    pub fn observe(&mut self, now: Micros, event: &Event) {
        match &mut self.protocol {
            Protocol::Gossip(member) => member.observe(now, event),
            Protocol::Aggregation(member) => member.observe(now, event),
        }
    }

    /// Handles an input. Afterwards the caller calls [`Peers::poll`] until it returns `None`. `now` must not decrease.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, local: &mut LocalState<'_>) {
        let environment = &mut Environment { local, roster: &self.roster, outputs: &mut self.outputs };
        match &mut self.protocol {
            Protocol::Gossip(member) => member.handle(now, input, environment),
            Protocol::Aggregation(member) => member.handle(now, input, environment),
        }
    }

    /// Returns the next output, if any.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Returns the time at which [`Input::Tick`] is due, or [`Micros::MAX`] if none is due. Another input may change that time.
    pub fn next_timeout(&self) -> Micros {
        match &self.protocol {
            Protocol::Gossip(member) => member.gossip.next_timeout(),
            Protocol::Aggregation(member) => member.member.next_timeout(),
        }
    }

    /// Returns the aggregation member if the fleet uses aggregation.
    pub fn aggregation_member(&self) -> Option<&cottonnotch_aggregation::Member> {
        match &self.protocol {
            Protocol::Aggregation(member) => Some(&member.member),
            Protocol::Gossip(_) => None,
        }
    }

    /// Returns the gossip member if the fleet uses gossip.
    pub fn gossip_member(&self) -> Option<&Gossip> {
        match &self.protocol {
            Protocol::Gossip(member) => Some(&member.gossip),
            Protocol::Aggregation(_) => None,
        }
    }
}
