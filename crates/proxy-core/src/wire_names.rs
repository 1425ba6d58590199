//! The mapping between endpoints and the digests that identify them on the wire.

use crate::interface::Servers;
use cottonnotch_decision::ServerId;
use cottonnotch_gossip::EndpointDigest;
use std::collections::BTreeMap;

/// Maps endpoints to the digests of their names and back. Endpoints whose names have the same digest are left out.
#[derive(Debug, Default)]
pub struct WireNames {
    /// `None` if several names have the digest.
    servers: BTreeMap<EndpointDigest, Option<ServerId>>,
    /// Digests, by the server's number.
    digests: Vec<EndpointDigest>,
}

impl WireNames {
    /// Adds the servers that are new since the last call. Server numbers are never reused.
    pub fn learn(&mut self, servers: &dyn Servers) {
        for number in self.digests.len()..servers.count() {
            let server = ServerId(number as u32);
            let digest = EndpointDigest::of(servers.name(server));
            self.servers.entry(digest).and_modify(|known| *known = None).or_insert(Some(server));
            self.digests.push(digest);
        }
    }

    /// Returns the server with this digest, if there is exactly one.
    pub fn server(&self, digest: EndpointDigest) -> Option<ServerId> {
        *self.servers.get(&digest)?
    }

    /// Returns the digest of a server's name, if no other server has the same digest.
    pub fn digest(&self, server: ServerId) -> Option<EndpointDigest> {
        let digest = *self.digests.get(server.0 as usize)?;
        self.server(digest).map(|_| digest)
    }
}
