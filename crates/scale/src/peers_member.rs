//! A hollow proxy's member of the fleet's aggregation, or of gossip in a smaller fleet.

use crate::shape::Shape;
use cottonnotch_aggregation::FleetSection;
use cottonnotch_decision::Micros;
use cottonnotch_gossip::{Gossip, GossipSection, Keys, Strength};
use cottonnotch_proxy_core::{Peers, Roster};
use std::collections::BTreeMap;

/// The fleet as a member's last snapshot shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetView {
    /// Members whose reports are summed up.
    pub members: u32,
    /// Interval between two reports of a member.
    pub report_interval: Micros,
    /// Utilization by node, by the shape's numbers.
    pub utilization: BTreeMap<u32, f64>,
}

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

/// The fleet as the last snapshot shows it; `nodes`: the number of nodes of the shape.
pub(crate) fn fleet_view(peers: &Peers, nodes: u32) -> Option<FleetView> {
    let member = peers.aggregation_member()?;
    let snapshot = member.snapshot()?;
    let by_digest: BTreeMap<u32, f64> =
        snapshot.endpoints().map(|(node, load)| (node.0, load.utilization)).collect();
    let by_node = (0..nodes).filter_map(|node| {
        let digest = cottonnotch_gossip::EndpointDigest::of(&format!("n{node}"));
        by_digest.get(&digest.bits()).map(|utilization| (node, *utilization))
    });
    Some(FleetView {
        members: snapshot.members,
        report_interval: member.report_interval(),
        utilization: by_node.collect(),
    })
}
