//! The other proxies of the tier: a small one gossips, a large one has a view of the fleet; this proxy is a member of one of the
//! two. What it holds grows with the number of members and of render nodes, not with their product.

use crate::fleet::FleetMember;
use crate::gossip::GossipMember;
use crate::interface::{Around, Input, LocalState, Output, Roster};
use cottonnotch_decision::{Event, Micros};
use cottonnotch_gossip::{Gossip, Strength};
use std::collections::VecDeque;

/// The tier, as this proxy takes part in it.
pub struct Peers {
    way: Way,
    roster: Roster,
    out: VecDeque<Output>,
}

enum Way {
    Gossip(Box<GossipMember>),
    Fleet(Box<FleetMember>),
}

impl Peers {
    /// One of a tier that gossips.
    pub fn gossip(member: Gossip, strength: Strength, roster: Roster) -> Self {
        Peers {
            way: Way::Gossip(Box::new(GossipMember::new(member, strength))),
            roster,
            out: VecDeque::new(),
        }
    }

    /// One of a tier that has a view of the fleet.
    pub fn fleet(member: cottonnotch_aggregation::Member, roster: Roster) -> Self {
        Peers { way: Way::Fleet(Box::new(FleetMember::new(member))), roster, out: VecDeque::new() }
    }

    /// What the module is about to hear.
    pub fn witness(&mut self, now: Micros, event: &Event) {
        match &mut self.way {
            Way::Gossip(member) => member.witness(now, event),
            Way::Fleet(member) => member.witness(now, event),
        }
    }

    /// Takes an input; then [`Peers::poll`] until it gives nothing. `now` never goes back.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, local: &mut LocalState<'_>) {
        let (roster, out) = (&self.roster, &mut self.out);
        match &mut self.way {
            Way::Gossip(member) => member.handle(now, input, &mut Around { local, roster, out }),
            Way::Fleet(member) => member.handle(now, input, &mut Around { local, roster, out }),
        }
    }

    /// The next thing to do, if any.
    pub fn poll(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    /// When [`Input::Tick`] is due, unless another input comes first; [`Micros::MAX`]: never.
    pub fn next_timeout(&self) -> Micros {
        match &self.way {
            Way::Gossip(member) => member.gossip.next_timeout(),
            Way::Fleet(member) => member.member.next_timeout(),
        }
    }

    /// The member of the fleet, where this is one.
    pub fn fleet_member(&self) -> Option<&cottonnotch_aggregation::Member> {
        match &self.way {
            Way::Fleet(member) => Some(&member.member),
            Way::Gossip(_) => None,
        }
    }

    /// The member that gossips, where this is one.
    pub fn gossip_member(&self) -> Option<&Gossip> {
        match &self.way {
            Way::Gossip(member) => Some(&member.gossip),
            Way::Fleet(_) => None,
        }
    }
}
