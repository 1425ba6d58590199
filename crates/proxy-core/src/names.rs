//! Names as they go over the wire, and what an event shows of a subchannel.

use crate::Servers;
use cottonnotch_decision::{Event, Outcome, ServerId};
use cottonnotch_gossip::{EndpointDigest, Observation};
use std::collections::BTreeMap;

/// What an event shows of a subchannel, if anything.
pub(crate) fn shown(event: &Event) -> Option<(ServerId, Observation)> {
    let (server, outcome) = match event {
        Event::Established { server, .. } => (*server, Outcome::Served),
        Event::Ended { server, outcome, last, .. } if !last || *outcome == Outcome::Reset => {
            (*server, *outcome)
        }
        _ => return None,
    };
    let met = match outcome {
        Outcome::Full => Observation::Full,
        Outcome::ConnectFailed => Observation::Failed,
        Outcome::TimedOut | Outcome::Error => Observation::TimedOut,
        Outcome::Reset => Observation::Silent,
        Outcome::Served => Observation::Served,
        Outcome::Cancelled | Outcome::NotSent => return None,
    };
    Some((server, met))
}

/// Subchannels by the digests of their names, as they go over the wire. Two names of one digest are both left out.
#[derive(Debug, Default)]
pub struct WireNames {
    numbers: BTreeMap<EndpointDigest, Option<ServerId>>,
    digests: Vec<EndpointDigest>,
}

impl WireNames {
    /// Numbers are never given anew, so only names that are new since the last time are looked at.
    pub fn learn(&mut self, servers: &dyn Servers) {
        for number in self.digests.len()..servers.count() {
            let server = ServerId(number as u32);
            let digest = EndpointDigest::of(servers.name(server));
            self.numbers.entry(digest).and_modify(|known| *known = None).or_insert(Some(server));
            self.digests.push(digest);
        }
    }

    /// The subchannel that is meant, if there is exactly one.
    pub fn number(&self, digest: EndpointDigest) -> Option<ServerId> {
        *self.numbers.get(&digest)?
    }

    /// What a subchannel is called on the wire, if no other is called so.
    pub fn digest(&self, server: ServerId) -> Option<EndpointDigest> {
        let digest = *self.digests.get(server.0 as usize)?;
        self.number(digest).map(|_| digest)
    }
}
