//! Relays and counts the datagrams between members: each member knows the others by the relay's sockets, so that real and hollow
//! ones are counted alike.

use crate::counters::Traffic;
use crate::sockets::{CONSENSUS_PORT, PEERS_PORT, RELAY_PORT_OFFSET, address};
use cottonnotch_reactor::{Clock, Connection, Half, Key, Reactor};
use mio::net::UdpSocket;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

/// Traffic of a member: sent and received, of the aggregation or gossip, then of the consensus.
pub type MemberTraffic = [[Traffic; 2]; 2];

/// The relay; its thread stops when it is dropped.
pub struct Relay {
    counts: Arc<Mutex<Vec<MemberTraffic>>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

enum Report {
    Timer,
    Received { at: usize, bytes: Vec<u8>, from: SocketAddr },
}

impl cottonnotch_reactor::Report for Report {
    fn timer(_: u32) -> Self {
        Report::Timer
    }
}

struct RelaySocket {
    socket: UdpSocket,
    at: usize,
}

impl Connection for RelaySocket {
    type Report = Report;

    fn readable(&mut self, io: &mut cottonnotch_reactor::Io<Report>, _: Half) {
        let mut bytes = [0; 1_500];
        while let Ok((length, from)) = self.socket.recv_from(&mut bytes) {
            io.report(Report::Received { at: self.at, bytes: bytes[..length].to_vec(), from });
        }
    }

    fn writable(&mut self, _: &mut cottonnotch_reactor::Io<Report>, _: Half) {}

    fn timer(&mut self, _: &mut cottonnotch_reactor::Io<Report>, _: u32) {}

    fn done(&self) -> bool {
        false
    }
}

impl Relay {
    /// Starts a relay between this many members. Fails if an address cannot be bound.
    pub fn start(members: u32) -> io::Result<Self> {
        let counts = Arc::new(Mutex::new(vec![MemberTraffic::default(); members as usize]));
        let stop = Arc::new(AtomicBool::new(false));
        let mut reactor = Reactor::<RelaySocket>::new(Clock::unix())?;
        let mut ends: Vec<Key> = Vec::new();
        let mut ways = BTreeMap::new();
        for (kind, port) in [PEERS_PORT, CONSENSUS_PORT].into_iter().enumerate() {
            for member in 0..members {
                let at = ends.len();
                ends.push(reactor.insert(|key, io| {
                    let mut socket = UdpSocket::bind(address(member, port + RELAY_PORT_OFFSET))?;
                    io.register_reader(&mut socket, key)?;
                    Ok(Box::new(RelaySocket { socket, at }))
                })?);
                ways.insert(address(member, port), (kind, member as usize));
            }
        }
        let (shared, stops) = (Arc::clone(&counts), Arc::clone(&stop));
        let thread = std::thread::Builder::new().name("relay".into()).spawn(move || {
            let members = members as usize;
            while !stops.load(Ordering::Acquire) {
                let now = reactor.io.now();
                reactor.io.owner_timer(now + 50_000, 0);
                reactor.turn()?;
                while let Some(report) = reactor.io.reports.pop_front() {
                    let Report::Received { at, bytes, from } = report else { continue };
                    let Some((kind, sender)) = ways.get(&from).copied() else { continue };
                    let to = at % members;
                    {
                        let mut counts = shared.lock().unwrap_or_else(PoisonError::into_inner);
                        counts[sender][kind][0].add(bytes.len());
                        counts[to][kind][1].add(bytes.len());
                    }
                    let port = if kind == 0 { PEERS_PORT } else { CONSENSUS_PORT };
                    let there = address(to as u32, port);
                    // Sent from the sender's socket here: by its address the receiver knows it.
                    reactor.with(ends[kind * members + sender], |end, _| {
                        let _ = end.socket.send_to(&bytes, there);
                    });
                }
            }
            Ok(())
        })?;
        Ok(Relay { counts, stop, thread: Some(thread) })
    }

    /// The traffic so far, by member.
    pub fn counts(&self) -> Vec<MemberTraffic> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            // A failure of the thread shows in its counters.
            let _ = thread.join();
        }
    }
}
