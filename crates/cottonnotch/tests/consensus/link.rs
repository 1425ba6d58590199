//! The faulty network between the proxies of a scenario: a relay for each ordered pair, which the scenario drives.
//!
//! Proxy `i` knows proxy `j` by the address of the link from `i` to `j`. Datagrams pass one way each. Of a TCP connection
//! over that link, what `i` sends has the faults from `i` to `j`, what it receives those from `j` to `i`.

#[cfg(test)]
mod self_tests;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The faults of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Nothing passes.
    pub cut: bool,
    /// No TCP passes.
    pub tcp_cut: bool,
    /// The delay of everything ...
    pub delay: Duration,
    /// ... and a random one on top, drawn for each datagram, so that later ones overtake.
    pub jitter: Duration,
    /// Datagrams lost, in thousandths ...
    pub lost: u32,
    /// ... and datagrams duplicated, in thousandths.
    pub doubled: u32,
}

pub const CUT: Faults =
    Faults { cut: true, tcp_cut: true, delay: Duration::ZERO, jitter: Duration::ZERO, lost: 0, doubled: 0 };

/// A pseudo-random generator with a seed.
#[derive(Debug)]
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Rng(seed)
    }

    pub fn next(&mut self) -> u64 {
        // SplitMix64.
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A number below this bound.
    pub fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 { 0 } else { self.next() % bound }
    }

    fn of_a_thousand(&mut self, share: u32) -> bool {
        self.below(1000) < u64::from(share)
    }
}

/// Datagrams in flight, by their time of arrival.
#[derive(Debug, Default)]
struct OnItsWay {
    due: BinaryHeap<Reverse<(Instant, u64, Vec<u8>)>>,
    count: u64,
}

impl OnItsWay {
    /// Sends a datagram subject to the faults.
    fn send(&mut self, now: Instant, bytes: &[u8], faults: &Faults, rng: &mut Rng) {
        if faults.cut || rng.of_a_thousand(faults.lost) {
            return;
        }
        for _ in 0..1 + u32::from(rng.of_a_thousand(faults.doubled)) {
            let jitter = Duration::from_micros(rng.below(faults.jitter.as_micros() as u64));
            self.count += 1;
            self.due.push(Reverse((now + faults.delay + jitter, self.count, bytes.to_vec())));
        }
    }

    /// The datagrams that have arrived by now, in order.
    fn arrived(&mut self, now: Instant) -> Vec<Vec<u8>> {
        let mut arrived = Vec::new();
        while self.due.peek().is_some_and(|Reverse((due, ..))| *due <= now) {
            arrived.extend(self.due.pop().map(|Reverse((.., bytes))| bytes));
        }
        arrived
    }

    fn wait(&self, now: Instant, most: Duration) -> Duration {
        let until = self.due.peek().map_or(most, |Reverse((due, ..))| due.saturating_duration_since(now));
        until.clamp(Duration::from_micros(200), most)
    }
}

/// A loopback address of this scenario's own: nobody else binds to it.
pub fn own_ip() -> Ipv4Addr {
    static CLUSTER: AtomicU8 = AtomicU8::new(1);
    let (scenario, process) = (CLUSTER.fetch_add(1, Ordering::Relaxed), std::process::id());
    Ipv4Addr::new(127, 64 + (process % 64) as u8, (process / 64 % 250) as u8 + 1, scenario)
}

/// A port that is free there for TCP and for UDP, and both sockets.
pub fn both_free(ip: Ipv4Addr) -> (UdpSocket, TcpListener) {
    for _ in 0..100 {
        let tcp = TcpListener::bind((ip, 0)).unwrap();
        if let Ok(udp) = UdpSocket::bind(tcp.local_addr().unwrap()) {
            return (udp, tcp);
        }
    }
    panic!("no port is free for TCP and UDP");
}

/// The faults from each member to each other one.
#[derive(Debug)]
struct Ways {
    members: usize,
    faults: Vec<Mutex<Faults>>,
    /// Datagrams received for relaying, and datagrams relayed.
    counts: Vec<(AtomicU64, AtomicU64)>,
    stopped: AtomicBool,
}

impl Ways {
    fn at(&self, from: usize, to: usize) -> Faults {
        *self.faults[from * self.members + to].lock().unwrap()
    }

    fn stalls_tcp(&self, from: usize, to: usize) -> bool {
        let faults = self.at(from, to);
        faults.cut || faults.tcp_cut
    }

    fn stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }
}

/// All links of a scenario; they stop when it is dropped.
pub struct Mesh {
    /// The scenario's own address on the loopback network.
    pub ip: Ipv4Addr,
    ways: Arc<Ways>,
    /// The address each member listens on.
    pub own: Vec<SocketAddr>,
    /// The address by which each member (first index) knows each other; its own for itself.
    links: Vec<Vec<SocketAddr>>,
}

impl Mesh {
    pub fn new(members: usize, seed: u64) -> Self {
        let ip = own_ip();
        // Fixed ports: one that was tried and closed could be held a moment longer by a process that is just being started.
        let own = (0..members).map(|member| SocketAddr::from((ip, 7946 + member as u16))).collect();
        Self::between(own, ip, seed)
    }

    fn between(own: Vec<SocketAddr>, ip: Ipv4Addr, seed: u64) -> Self {
        let members = own.len();
        let ways = Arc::new(Ways {
            members,
            faults: (0..members * members).map(|_| Mutex::default()).collect(),
            counts: (0..members * members).map(|_| Default::default()).collect(),
            stopped: AtomicBool::new(false),
        });
        let mut links = vec![own.clone(); members];
        for (from, known) in links.iter_mut().enumerate() {
            for (to, address) in known.iter_mut().enumerate().filter(|(to, _)| *to != from) {
                let (udp, tcp) = both_free(ip);
                let target = std::mem::replace(address, tcp.local_addr().unwrap());
                let (ways, rng) = (Arc::clone(&ways), Rng::new(seed ^ (from * 64 + to) as u64));
                std::thread::spawn(move || relay(&ways, (from, to), &udp, &tcp, target, rng));
            }
        }
        Mesh { ip, ways, own, links }
    }

    /// The addresses by which this member knows all.
    pub fn known_to(&self, member: usize) -> &[SocketAddr] {
        &self.links[member]
    }

    pub fn set(&self, from: usize, to: usize, faults: Faults) {
        *self.ways.faults[from * self.ways.members + to].lock().unwrap() = faults;
    }

    /// Sets the faults of every direction between all members.
    pub fn set_all(&self, faults: Faults) {
        self.ways.faults.iter().for_each(|way| *way.lock().unwrap() = faults);
    }

    pub fn heal(&self) {
        self.set_all(Faults::default());
    }

    /// Cuts both directions between two members.
    pub fn cut(&self, one: usize, other: usize) {
        self.set(one, other, CUT);
        self.set(other, one, CUT);
    }

    /// Cuts this member off from all.
    pub fn isolate(&self, one: usize) {
        (0..self.ways.members).filter(|other| *other != one).for_each(|other| self.cut(one, other));
    }

    /// Cuts what this member sends; it still receives.
    pub fn mute(&self, one: usize) {
        (0..self.ways.members).filter(|to| *to != one).for_each(|to| self.set(one, to, CUT));
    }

    /// Cuts this member's TCP, so that it can't fetch contents; datagrams pass.
    pub fn starve(&self, one: usize) {
        let faults = Faults { tcp_cut: true, ..Faults::default() };
        (0..self.ways.members).filter(|other| *other != one).for_each(|other| self.set(one, other, faults));
    }

    /// Datagrams that the link received, and that it relayed.
    pub fn counts(&self, from: usize, to: usize) -> (u64, u64) {
        let (given, passed) = &self.ways.counts[from * self.ways.members + to];
        (given.load(Ordering::Relaxed), passed.load(Ordering::Relaxed))
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.ways.stopped.store(true, Ordering::Relaxed);
    }
}

fn relay(
    ways: &Arc<Ways>,
    (from, to): (usize, usize),
    udp: &UdpSocket,
    tcp: &TcpListener,
    target: SocketAddr,
    mut rng: Rng,
) {
    let (given, passed) = &ways.counts[from * ways.members + to];
    tcp.set_nonblocking(true).unwrap();
    let (mut on_its_way, mut bytes) = (OnItsWay::default(), [0; 2048]);
    while !ways.stopped() {
        udp.set_read_timeout(Some(on_its_way.wait(Instant::now(), Duration::from_millis(5)))).unwrap();
        // An error may stem from an earlier datagram that reached nobody.
        if let Ok((length, _)) = udp.recv_from(&mut bytes) {
            given.fetch_add(1, Ordering::Relaxed);
            on_its_way.send(Instant::now(), &bytes[..length], &ways.at(from, to), &mut rng);
        }
        for bytes in on_its_way.arrived(Instant::now()) {
            // Datagrams in flight when the link is cut don't arrive.
            if !ways.at(from, to).cut && udp.send_to(&bytes, target).is_ok() {
                passed.fetch_add(1, Ordering::Relaxed);
            }
        }
        if let Ok((caller, _)) = tcp.accept() {
            let ways = Arc::clone(ways);
            std::thread::spawn(move || connect(&ways, (from, to), caller, target));
        }
    }
}

/// Relays one TCP connection: it is established once both directions are open, and each direction has its own faults.
fn connect(ways: &Arc<Ways>, (from, to): (usize, usize), caller: TcpStream, target: SocketAddr) {
    while ways.stalls_tcp(from, to) || ways.stalls_tcp(to, from) {
        if ways.stopped() {
            return;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    let Ok(callee) = TcpStream::connect_timeout(&target, Duration::from_secs(2)) else { return };
    let (Ok(answers), Ok(back)) = (callee.try_clone(), caller.try_clone()) else { return };
    let there = Arc::clone(ways);
    std::thread::spawn(move || pump(&there, (to, from), answers, back));
    pump(ways, (from, to), caller, callee);
}

fn pump(ways: &Ways, (from, to): (usize, usize), mut source: TcpStream, mut sink: TcpStream) {
    let mut bytes = [0; 16 * 1024];
    // On some systems the connection inherits the listener's non-blocking mode.
    let ready =
        source.set_nonblocking(false).and_then(|()| source.set_read_timeout(Some(Duration::from_millis(20))));
    while ready.is_ok() && !ways.stopped() {
        let length = match source.read(&mut bytes) {
            Ok(length) => length,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) => break,
        };
        std::thread::sleep(ways.at(from, to).delay);
        while ways.stalls_tcp(from, to) && !ways.stopped() {
            std::thread::sleep(Duration::from_millis(2));
        }
        if length == 0 || sink.write_all(&bytes[..length]).is_err() {
            break;
        }
    }
    // The other end may have closed first.
    let _ = sink.shutdown(std::net::Shutdown::Write);
}
