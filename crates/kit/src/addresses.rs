//! Where everything is: fixed places in a part of 127.0.0.0/8 that a run has for itself.
//!
//! Fixed, since a proxy or render node that is started again must come back at its old address, and a port that the
//! system chose could be given to somebody else meanwhile. Each proxy reaches every other party at an address of its
//! own, so a stand-in knows who calls, and one proxy can be cut off without the others.

use crate::plan::{NodeId, ProxyId};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Render nodes, seen by proxy 0; by proxy p at this port + p.
const NODES: u16 = 8000;
/// Proxies, for clients.
const CLIENTS: u16 = 8000;
/// Discovery; a later address of it at this port + its move.
const DISCOVERY: u16 = 8500;
/// A proxy's own end for datagrams.
const PEER: u16 = 7946;
/// The relays of datagrams, seen by proxy 0; by proxy p at this port + p.
const RELAYS: u16 = 9000;
/// Held by a run as long as it goes on.
const LOCK: u16 = 7999;
/// Render nodes for one value of the third byte.
const ROW: u16 = 250;

/// The places of one run.
#[derive(Debug)]
pub struct Addresses {
    part: u8,
    _lock: TcpListener,
}

/// No place could be had.
#[derive(Debug, thiserror::Error)]
pub enum NoPlace {
    /// All parts of the loopback network that a run may use are in use.
    #[error("every part of 127.0.0.0/8 that a run may use is taken: end the other runs of the kit first")]
    Taken,
    /// The system allows none.
    #[error("no socket can be opened on the loopback network: {0}")]
    System(#[from] io::Error),
}

impl Addresses {
    /// Most render nodes of a run.
    pub const MOST_NODES: u16 = ROW * 250;
    /// Most proxies of a run.
    pub const MOST_PROXIES: u16 = 200;

    /// Takes a part of the loopback network that no other run has; looks from `hint` on.
    pub fn take(hint: u8) -> Result<Self, NoPlace> {
        for step in 0..240_u8 {
            // 127.0.x.x is everybody's, and 127.1.x.x easily somebody's.
            let part = 10 + (hint % 240 + step) % 240;
            match TcpListener::bind((Ipv4Addr::new(127, part, 0, 0), LOCK)) {
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

    /// A render node, as a proxy sees it.
    pub fn node(&self, node: NodeId, seen_by: ProxyId) -> SocketAddr {
        self.at((node.0 / ROW) as u8, (node.0 % ROW) as u8 + 1, NODES + seen_by.0)
    }

    /// Where clients reach a proxy.
    pub fn proxy(&self, proxy: ProxyId) -> SocketAddr {
        self.at(251, proxy.0 as u8 + 1, CLIENTS)
    }

    /// Discovery after so many moves, as a proxy sees it.
    pub fn discovery(&self, moves: u16, seen_by: ProxyId) -> SocketAddr {
        self.at(252, seen_by.0 as u8 + 1, DISCOVERY + moves)
    }

    /// A proxy's own end for datagrams.
    pub fn peer(&self, proxy: ProxyId) -> SocketAddr {
        self.at(251, proxy.0 as u8 + 1, PEER)
    }

    /// The relay at which one proxy sees another one: what is sent there reaches that one from its own relay.
    pub fn relay(&self, of: ProxyId, seen_by: ProxyId) -> SocketAddr {
        self.at(253, of.0 as u8 + 1, RELAYS + seen_by.0)
    }

    /// The relay at which a proxy reaches all others.
    pub fn relay_to_all(&self, seen_by: ProxyId) -> SocketAddr {
        self.at(254, 1, RELAYS + seen_by.0)
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
