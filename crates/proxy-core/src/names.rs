//! Names as they go over the wire, and what an event shows of a subchannel.

use crate::interface::Servers;
use cottonnotch_decision::ServerId;
use cottonnotch_gossip::EndpointDigest;
use std::collections::BTreeMap;

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
