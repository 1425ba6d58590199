//! Addresses of all parties of a run, in a part of 127.0.0.0/8 that the run has for itself.
//!
//! The addresses are fixed, since a restarted proxy or render node must have its old address, and the system could
//! meanwhile give a port that it chose to another process. Each party has a separate address for each proxy that
//! connects to it, so an emulator knows the calling proxy, and one proxy can be cut off without the others.

use crate::plan::{NodeId, ProxyId};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Port of the render nodes for proxy 0; proxy p uses this port + p.
const NODE_PORT: u16 = 8000;
/// Port of the proxies for clients.
const CLIENT_PORT: u16 = 8000;
/// First port of discovery; after n moves, discovery uses this port + n.
const DISCOVERY_PORT: u16 = 8500;
/// Port of a proxy's own datagram socket.
const PEER_PORT: u16 = 7946;
/// Port of the datagram relays for proxy 0; proxy p uses this port + p.
const RELAY_PORT: u16 = 9000;
/// Port on which a run listens until it ends, as a lock on its part of the network.
const LOCK_PORT: u16 = 7999;
/// Number of render nodes for one value of the address's third byte.
const NODES_PER_ROW: u16 = 250;

/// The addresses of one run.
#[derive(Debug)]
pub struct Addresses {
    part: u8,
    _lock: TcpListener,
}

/// Why no part of the loopback network could be taken.
#[derive(Debug, thiserror::Error)]
pub enum NoPlace {
    /// All parts of the loopback network that a run may use are in use.
    #[error("every part of 127.0.0.0/8 that a run may use is taken: end the other runs of the kit first")]
    Taken,
    /// The system does not allow the lock's socket.
    #[error("no socket can be opened on the loopback network: {0}")]
    System(#[from] io::Error),
}

impl Addresses {
    /// Maximum number of render nodes of a run.
    pub const MOST_NODES: u16 = NODES_PER_ROW * 250;
    /// Maximum number of proxies of a run.
    pub const MOST_PROXIES: u16 = 200;

    /// Takes a part of the loopback network that no other run uses. The search begins at `hint`.
    pub fn take(hint: u8) -> Result<Self, NoPlace> {
        for step in 0..240_u8 {
            // Many programs use 127.0.x.x, and some use the parts just above it, such as 127.1.x.x.
            let part = 10 + (hint % 240 + step) % 240;
            match TcpListener::bind((Ipv4Addr::new(127, part, 0, 0), LOCK_PORT)) {
                Ok(lock) => return Ok(Addresses { part, _lock: lock }),
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
                Err(error) => return Err(error.into()),
            }
        }
        Err(NoPlace::Taken)
    }

    fn at(&self, row: u8, place: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.part, row, place), port))
    }

    /// Returns the address at which the proxy `seen_by` reaches a render node.
    pub fn node(&self, node: NodeId, seen_by: ProxyId) -> SocketAddr {
        self.at((node.0 / NODES_PER_ROW) as u8, (node.0 % NODES_PER_ROW) as u8 + 1, NODE_PORT + seen_by.0)
    }

    /// Returns the address at which clients reach a proxy.
    pub fn proxy(&self, proxy: ProxyId) -> SocketAddr {
        self.at(251, proxy.0 as u8 + 1, CLIENT_PORT)
    }

    /// Returns the address at which the proxy `seen_by` reaches discovery after `moves` moves.
    pub fn discovery(&self, moves: u16, seen_by: ProxyId) -> SocketAddr {
        self.at(252, seen_by.0 as u8 + 1, DISCOVERY_PORT + moves)
    }

    /// Returns the address of a proxy's own datagram socket.
    pub fn peer(&self, proxy: ProxyId) -> SocketAddr {
        self.at(251, proxy.0 as u8 + 1, PEER_PORT)
    }

    /// Returns the address of the relay at which the proxy `seen_by` reaches the proxy `of`. The receiver sees each
    /// datagram come from the relay at which it reaches the sender.
    pub fn relay(&self, of: ProxyId, seen_by: ProxyId) -> SocketAddr {
        self.at(253, of.0 as u8 + 1, RELAY_PORT + seen_by.0)
    }

    /// Returns the address of the relay at which the proxy `seen_by` reaches all others.
    pub fn relay_to_all(&self, seen_by: ProxyId) -> SocketAddr {
        self.at(254, 1, RELAY_PORT + seen_by.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn two_runs_share_no_address() {
        let (one, other) = (Addresses::take(5).unwrap(), Addresses::take(5).unwrap());
        assert_ne!(one.proxy(ProxyId(0)).ip(), other.proxy(ProxyId(0)).ip());
        drop(one);
        let again = Addresses::take(5).unwrap();
        assert_ne!(again.proxy(ProxyId(0)), other.proxy(ProxyId(0)));
    }

    #[test]
    fn no_two_parties_share_a_place() {
        let run = Addresses::take(77).unwrap();
        let mut all = std::collections::HashSet::new();
        for p in (0..5).map(ProxyId) {
            for n in (0..600).map(NodeId) {
                assert!(all.insert(run.node(n, p)));
            }
            for q in (0..5).map(ProxyId) {
                assert!(all.insert(run.relay(q, p)));
            }
            let own =
                [run.proxy(p), run.peer(p), run.discovery(0, p), run.discovery(1, p), run.relay_to_all(p)];
            assert!(own.into_iter().all(|address| all.insert(address)));
        }
    }
}
