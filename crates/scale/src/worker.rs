//! A thread's members on sockets.

use crate::counters::Counts;
use crate::fault::FaultAction;
use crate::hollow::Hollow;
use crate::interface::{HollowInput, HollowOutput};
use crate::records::{MemberEvent, Record};
use crate::sockets::{Object, Report, address};
use crate::watch::{self, Watch};
use cottonnotch_decision::Micros;
use cottonnotch_proxy_core::WakeUpTimer;
use cottonnotch_reactor::{Key, Reactor};
use rustix::time::{ClockId, clock_gettime};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// A member on the loop.
pub(crate) struct HostedMember {
    pub member: u32,
    pub hollow: Hollow,
    pub peers: Key,
    pub accord: Key,
    pub watch: Option<Key>,
    pub wake_up_timer: WakeUpTimer,
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
    pub seats: Vec<HostedMember>,
    pub discovery: SocketAddr,
    /// Where the others' ends of the accord are.
    pub consensus_port: u16,
    pub records: Vec<Record>,
}

impl Worker {
    fn handle(&mut self, report: Report) -> io::Result<()> {
        let seat = match report {
            Report::Timer(seat) => {
                let seat = seat as usize;
                let Some(there) = self.seats.get_mut(seat) else { return Ok(()) };
                there.wake_up_timer.fired();
                return self.wake(seat);
            }
            Report::Datagrams { seat, accord: false, heard } => {
                for (from, bytes) in &heard {
                    let input = HollowInput::PeerDatagram { from: *from, bytes };
                    self.drive(seat, input, |counts| &mut counts.peers_ns)?;
                }
                seat
            }
            Report::Datagrams { seat, accord: true, heard } => {
                for (_, bytes) in &heard {
                    self.drive(seat, HollowInput::ConsensusDatagram { bytes }, |counts| {
                        &mut counts.consensus_ns
                    })?;
                }
                seat
            }
            Report::Listed { seat, watch, text } => {
                if self.seats[seat].watch == Some(watch) {
                    let (began, bytes) = (thread_time(), text.len());
                    let result = watch::parse_endpoints(text);
                    *self.ns(seat) += (thread_time() - began).as_nanos() as u64;
                    let input = match &result {
                        Some(result) => HollowInput::EndpointUpdate { update: result, bytes },
                        None => HollowInput::WatchLost { silent: false },
                    };
                    self.drive(seat, input, |counts| &mut counts.list_ns)?;
                }
                seat
            }
            Report::ListLost { seat, watch, silent } => {
                if self.seats[seat].watch == Some(watch) {
                    self.seats[seat].watch = None;
                    self.drive(seat, HollowInput::WatchLost { silent }, |counts| &mut counts.list_ns)?;
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
            let account = self.seats[seat].hollow.next_cpu_account();
            self.drive(seat, HollowInput::Timeout, move |counts| account.nanoseconds_in(counts))?;
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
        if let Some(after) = there.wake_up_timer.arm(now, there.hollow.next_timeout()) {
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
        input: HollowInput<'_>,
        account: impl Fn(&mut Counts) -> &mut u64,
    ) -> io::Result<()> {
        if self.seats[seat].stopped {
            return Ok(());
        }
        let began = thread_time();
        let now = self.reactor.io.now();
        let there = &mut self.seats[seat];
        there.hollow.handle(now, input);
        while let Some(output) = there.hollow.poll() {
            match output {
                HollowOutput::PeerDatagram { to, bytes } => {
                    self.reactor.with(there.peers, |socket, _| socket.send(to, &bytes));
                }
                HollowOutput::ConsensusDatagram { to, bytes } => {
                    let to = address(u32::from(to), self.consensus_port);
                    self.reactor.with(there.accord, |socket, _| socket.send(to, &bytes));
                }
                HollowOutput::StartWatch { from } => {
                    if let Some(old) = there.watch.take() {
                        self.reactor.remove(old);
                    }
                    let discovery = self.discovery;
                    let watch = self
                        .reactor
                        .insert(|key, io| Ok(Box::new(Watch::start(seat, discovery, from, key, io)?)))?;
                    there.watch = Some(watch);
                }
                HollowOutput::Record(event) => {
                    self.records.push(Record { at: now, member: there.member, event });
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
    pub fn act(&mut self, act: FaultAction) -> io::Result<()> {
        let (FaultAction::Stop(member) | FaultAction::Propose { member, .. }) = act;
        let Some(seat) = self.seats.iter().position(|seat| seat.member == member) else { return Ok(()) };
        match act {
            FaultAction::Stop(_) => {
                let there = &mut self.seats[seat];
                there.stopped = true;
                let keys = [Some(there.peers), Some(there.accord), there.watch.take()];
                keys.into_iter().flatten().for_each(|key| self.reactor.remove(key));
                let at = self.reactor.io.now();
                self.records.push(Record { at, member, event: MemberEvent::Stopped });
            }
            FaultAction::Propose { content, kind, .. } => {
                let input = HollowInput::Propose { content, kind };
                self.drive(seat, input, |counts| &mut counts.consensus_ns)?;
                self.arm(seat);
            }
        }
        Ok(())
    }

    pub fn counts(&mut self) -> Vec<(u32, Counts)> {
        self.seats.iter_mut().map(|seat| (seat.member, *seat.hollow.counts())).collect()
    }
}
