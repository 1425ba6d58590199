//! Hollow proxies on real loopback sockets and real time: a few threads, many members a thread, each with its own sockets for
//! the fleet view and for the accord, and its own watch on discovery.

use crate::faults::Act;
use crate::figures::Counts;
use crate::hollow::{Happening, Hollow, Wish};
use crate::records::{Record, What};
use crate::watch::{self, Watch};
use cottonnotch_decision::Micros;
use cottonnotch_proxy_core::WakeUpTimer;
use cottonnotch_reactor::{Connection, Half, Key, Reactor};
use mio::net::UdpSocket;
use rustix::time::{ClockId, clock_gettime};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Read in one turn before others have theirs, as the daemon does.
const AT_ONCE: usize = 32;
/// The longest datagrams of the two kinds, and one byte that shows a longer one.
const LONGEST_OF_PEERS: usize = 256;
const LONGEST_OF_ACCORD: usize = 1_200;
/// Ports of the members; each has an address of its own.
pub const PEERS_PORT: u16 = 7_946;
/// See [`PEERS_PORT`].
pub const ACCORD_PORT: u16 = 7_947;
/// A relay's ends have ports that are so much higher.
pub const RELAYED: u16 = 1_000;
/// What objects on the loop have to tell.
pub enum Report {
    /// A timer of the worker's.
    Timer(u32),
    /// Datagrams have come.
    Datagrams {
        /// Whose.
        seat: usize,
        /// Of the accord, or of the fleet view.
        accord: bool,
        /// From there, and their bytes.
        heard: Vec<(SocketAddr, Vec<u8>)>,
    },
    /// Discovery has told a list.
    Listed {
        /// Whom.
        seat: usize,
        /// On this watch.
        watch: Key,
        /// In this text.
        text: Vec<u8>,
    },
    /// A watch is lost.
    ListLost {
        /// Whose.
        seat: usize,
        /// Which.
        watch: Key,
        /// It said nothing where a beat was due.
        silent: bool,
    },
}

impl cottonnotch_reactor::Report for Report {
    fn timer(timer: u32) -> Self {
        Report::Timer(timer)
    }
}

/// What callbacks may use.
pub type Io = cottonnotch_reactor::Io<Report>;

/// An object on the loop.
pub trait Object: Connection<Report = Report> {
    /// Sends a datagram; what can't be sent is lost.
    fn send(&mut self, _to: SocketAddr, _bytes: &[u8]) {}
}

pub(crate) struct Datagrams {
    socket: UdpSocket,
    key: Key,
    seat: usize,
    accord: bool,
}

impl Datagrams {
    pub fn bind(at: SocketAddr, seat: usize, accord: bool, key: Key, io: &mut Io) -> io::Result<Self> {
        let mut socket = UdpSocket::bind(at)?;
        io.register_reader(&mut socket, key)?;
        Ok(Datagrams { socket, key, seat, accord })
    }
}

impl Connection for Datagrams {
    type Report = Report;

    fn readable(&mut self, io: &mut Io, leg: Half) {
        let (seat, accord) = (self.seat, self.accord);
        let longest = if accord { LONGEST_OF_ACCORD } else { LONGEST_OF_PEERS };
        let mut bytes = [0; LONGEST_OF_ACCORD + 1];
        let mut heard = Vec::new();
        for _ in 0..AT_ONCE {
            match self.socket.recv_from(&mut bytes[..=longest]) {
                Ok((length, from)) => heard.push((from, bytes[..length].to_vec())),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    io.report(Report::Datagrams { seat, accord, heard });
                    return;
                }
                // What one was sent to is not there; it says nothing of what may still be read.
                Err(_) => {}
            }
        }
        io.report(Report::Datagrams { seat, accord, heard });
        io.call_again(self.key, leg);
    }

    fn writable(&mut self, _: &mut Io, _: Half) {}

    fn timer(&mut self, _: &mut Io, _: u32) {}

    fn done(&self) -> bool {
        false
    }
}

impl Object for Datagrams {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        // What can't be sent now is lost, as it may be anywhere on its way.
        let _ = self.socket.send_to(bytes, to);
    }
}

/// Where a member's sockets are: an address of its own in a part of the loopback network that this process has for itself.
pub fn address(member: u32, port: u16) -> SocketAddr {
    // Apart from what other programs and tests of this workspace take.
    let net = 200 + (std::process::id() % 50) as u8;
    SocketAddr::from((Ipv4Addr::new(127, net, (member / 250) as u8, (member % 250 + 1) as u8), port))
}

/// A member on the loop.
pub(crate) struct Seat {
    pub member: u32,
    pub hollow: Hollow,
    pub peers: Key,
    pub accord: Key,
    pub watch: Option<Key>,
    pub alarm: WakeUpTimer,
    /// Its process has ended.
    pub stopped: bool,
}

/// Processor time of this thread.
pub(crate) fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

/// A thread's part of the members.
pub(crate) struct Worker {
    pub reactor: Reactor<dyn Object>,
    pub seats: Vec<Seat>,
    pub discovery: SocketAddr,
    /// Where the others' ends of the accord are.
    pub accord_port: u16,
    pub records: Vec<Record>,
}

impl Worker {
    fn handle(&mut self, report: Report) -> io::Result<()> {
        let seat = match report {
            Report::Timer(seat) => {
                let seat = seat as usize;
                let Some(there) = self.seats.get_mut(seat) else { return Ok(()) };
                there.alarm.fired();
                return self.wake(seat);
            }
            Report::Datagrams { seat, accord: false, heard } => {
                for (from, bytes) in &heard {
                    let happening = Happening::Datagram { from: *from, bytes };
                    self.drive(seat, happening, |counts| &mut counts.peers_ns)?;
                }
                seat
            }
            Report::Datagrams { seat, accord: true, heard } => {
                for (_, bytes) in &heard {
                    self.drive(seat, Happening::Accord { bytes }, |counts| &mut counts.accord_ns)?;
                }
                seat
            }
            Report::Listed { seat, watch, text } => {
                if self.seats[seat].watch == Some(watch) {
                    let (began, bytes) = (thread_time(), text.len());
                    let result = watch::read(text);
                    *self.ns(seat) += (thread_time() - began).as_nanos() as u64;
                    let happening = match &result {
                        Some(result) => Happening::Listed { result, bytes },
                        None => Happening::ListLost { silent: false },
                    };
                    self.drive(seat, happening, |counts| &mut counts.list_ns)?;
                }
                seat
            }
            Report::ListLost { seat, watch, silent } => {
                if self.seats[seat].watch == Some(watch) {
                    self.seats[seat].watch = None;
                    self.drive(seat, Happening::ListLost { silent }, |counts| &mut counts.list_ns)?;
                }
                seat
            }
        };
        self.arm(seat);
        Ok(())
    }

    /// All that is due at a member, one thing after another, each to its account.
    pub fn wake(&mut self, seat: usize) -> io::Result<()> {
        let now = self.reactor.io.now();
        while !self.seats[seat].stopped && self.seats[seat].hollow.next_timeout() <= now {
            let part = self.seats[seat].hollow.next_part();
            self.drive(seat, Happening::Time, move |counts| part.of(counts))?;
        }
        self.arm(seat);
        Ok(())
    }

    fn arm(&mut self, seat: usize) {
        let now = self.reactor.io.now();
        let there = &mut self.seats[seat];
        if there.stopped {
            return;
        }
        if let Some(after) = there.alarm.arm(now, there.hollow.next_timeout()) {
            self.reactor.io.owner_timer(now + after, seat as u32);
        }
    }

    fn ns(&mut self, seat: usize) -> &mut u64 {
        &mut self.seats[seat].hollow.counts().list_ns
    }

    /// Hands a member what happened, and carries out what it wants; its processor time goes to that account.
    fn drive(
        &mut self,
        seat: usize,
        happening: Happening<'_>,
        account: impl Fn(&mut Counts) -> &mut u64,
    ) -> io::Result<()> {
        if self.seats[seat].stopped {
            return Ok(());
        }
        let began = thread_time();
        let now = self.reactor.io.now();
        let there = &mut self.seats[seat];
        there.hollow.handle(now, happening);
        while let Some(wish) = there.hollow.poll() {
            match wish {
                Wish::Datagram { to, bytes } => {
                    self.reactor.with(there.peers, |socket, _| socket.send(to, &bytes));
                }
                Wish::Accord { to, bytes } => {
                    let to = address(u32::from(to), self.accord_port);
                    self.reactor.with(there.accord, |socket, _| socket.send(to, &bytes));
                }
                Wish::Watch { from } => {
                    if let Some(old) = there.watch.take() {
                        self.reactor.remove(old);
                    }
                    let discovery = self.discovery;
                    let watch = self
                        .reactor
                        .insert(|key, io| Ok(Box::new(Watch::start(seat, discovery, from, key, io)?)))?;
                    there.watch = Some(watch);
                }
                Wish::Record(what) => {
                    self.records.push(Record { at: now, member: there.member, what });
                }
            }
        }
        *account(there.hollow.counts()) += (thread_time() - began).as_nanos() as u64;
        Ok(())
    }

    pub fn run_until(&mut self, until: Micros) -> io::Result<()> {
        // So that the loop doesn't sleep beyond it.
        self.reactor.io.owner_timer(until, u32::MAX);
        while self.reactor.io.now() < until {
            self.reactor.turn()?;
            while let Some(report) = self.reactor.io.reports.pop_front() {
                self.handle(report)?;
            }
        }
        Ok(())
    }

    /// Does it, if the member that it speaks of is here.
    pub fn act(&mut self, act: Act) -> io::Result<()> {
        let (Act::Stop(member) | Act::Propose { member, .. }) = act;
        let Some(seat) = self.seats.iter().position(|seat| seat.member == member) else { return Ok(()) };
        match act {
            Act::Stop(_) => {
                let there = &mut self.seats[seat];
                there.stopped = true;
                let keys = [Some(there.peers), Some(there.accord), there.watch.take()];
                keys.into_iter().flatten().for_each(|key| self.reactor.remove(key));
                let at = self.reactor.io.now();
                self.records.push(Record { at, member, what: What::Ended });
            }
            Act::Propose { content, kind, .. } => {
                let happening = Happening::Propose { content, kind };
                self.drive(seat, happening, |counts| &mut counts.accord_ns)?;
                self.arm(seat);
            }
        }
        Ok(())
    }

    pub fn counts(&mut self) -> Vec<(u32, Counts)> {
        self.seats.iter_mut().map(|seat| (seat.member, *seat.hollow.counts())).collect()
    }
}
