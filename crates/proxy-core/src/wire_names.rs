//! Endpoints' names as they go over the wire: digests.

use crate::interface::Servers;
use cottonnotch_decision::ServerId;
use cottonnotch_gossip::EndpointDigest;
use std::collections::BTreeMap;

/// Endpoints by the digests of their names, as they go over the wire. Two names of one digest are both left out.
#[derive(Debug, Default)]
pub struct WireNames {
    /// `None`: two names have the digest.
    servers: BTreeMap<EndpointDigest, Option<ServerId>>,
    /// By the server's number.
    digests: Vec<EndpointDigest>,
}

impl WireNames {
    /// Adds the servers that are new since the last call; a number is never reused.
    pub fn learn(&mut self, servers: &dyn Servers) {
        for number in self.digests.len()..servers.count() {
            let server = ServerId(number as u32);
            let digest = EndpointDigest::of(servers.name(server));
            self.servers.entry(digest).and_modify(|known| *known = None).or_insert(Some(server));
            self.digests.push(digest);
        }
    }

    /// The server of this digest, if there is exactly one.
    pub fn server(&self, digest: EndpointDigest) -> Option<ServerId> {
        *self.servers.get(&digest)?
    }

    /// The digest of a server's name, if no other has the same.
    pub fn digest(&self, server: ServerId) -> Option<EndpointDigest> {
        let digest = *self.digests.get(server.0 as usize)?;
        self.server(digest).map(|_| digest)
    }
}
