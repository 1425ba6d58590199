//! A hollow proxy's member of the fleet's aggregation, or of gossip in a smaller fleet.

use crate::shape::Shape;
use cottonnotch_aggregation::FleetSection;
use cottonnotch_decision::Micros;
use cottonnotch_gossip::{Gossip, GossipSection, Keys, Strength};
use cottonnotch_proxy_core::{Peers, Roster};

/// The member with the defaults of the operator's sections; `None` if these sections turn it off.
pub(crate) fn start_peers(
    shape: &Shape,
    ordinal: u32,
    roster: Roster,
    incarnation: u64,
    now: Micros,
    seed: u64,
) -> Option<Peers> {
    if shape.members >= shape.members_from {
        let group_homes = (shape.group_homes > 0).then_some(shape.group_homes);
        let section =
            FleetSection { members_from: Some(shape.members_from), group_homes, ..FleetSection::default() };
        let settings = section.check().ok()??;
        let member = cottonnotch_aggregation::Member::new(settings, ordinal, shape.members, seed, now, now);
        return Some(Peers::with_aggregation(member, roster));
    }
    let section = GossipSection { strength: Some(Strength::Address), ..GossipSection::default() };
    let settings = section.check().ok()??;
    let strength = settings.strength;
    let gossip = Gossip::new(settings, Keys::Address, ordinal, shape.members, incarnation, seed, now);
    Some(Peers::with_gossip(gossip, strength, roster))
}
