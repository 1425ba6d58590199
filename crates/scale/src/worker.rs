//! The members of one thread, on sockets.

use crate::counters::Counts;
use crate::fault::FaultAction;
use crate::hollow::Hollow;
use crate::interface::{HollowInput, HollowOutput};
use crate::records::{MemberEvent, Record};
use crate::sockets::{DatagramKind, Object, Report, address};
use crate::watch::{self, Watch};
use cottonnotch_decision::Micros;
use cottonnotch_proxy_core::WakeUpTimer;
use cottonnotch_reactor::{Key, Reactor};
use rustix::time::{ClockId, clock_gettime};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// A member on the event loop, with the keys of its sockets.
pub(crate) struct HostedMember {
    pub member: u32,
    pub hollow: Hollow,
    pub peers: Key,
    pub consensus: Key,
    pub watch: Option<Key>,
    pub wake_up_timer: WakeUpTimer,
    /// Whether its process has stopped.
    pub stopped: bool,
}

/// Processor time of this thread.
pub(crate) fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

/// The members of a thread on their event loop.
pub(crate) struct Worker {
    pub reactor: Reactor<dyn Object>,
    pub members: Vec<HostedMember>,
    pub discovery: SocketAddr,
    /// Port of the other members' consensus sockets.
    pub consensus_port: u16,
    pub records: Vec<Record>,
}

impl Worker {
    fn handle(&mut self, report: Report) -> io::Result<()> {
        let index = match report {
            Report::Timer(index) => {
                let index = index as usize;
                let Some(hosted) = self.members.get_mut(index) else { return Ok(()) };
                hosted.wake_up_timer.fired();
                return self.wake(index);
            }
            Report::Datagrams { member: index, kind: DatagramKind::Peers, received } => {
                for (from, bytes) in &received {
                    let input = HollowInput::PeerDatagram { from: *from, bytes };
                    self.drive(index, input, |counts| &mut counts.peers_ns)?;
                }
                index
            }
            Report::Datagrams { member: index, kind: DatagramKind::Consensus, received } => {
                for (_, bytes) in &received {
                    self.drive(index, HollowInput::ConsensusDatagram { bytes }, |counts| {
                        &mut counts.consensus_ns
                    })?;
                }
                index
            }
            Report::EndpointUpdate { member: index, watch, text } => {
                if self.members[index].watch == Some(watch) {
                    let (began, bytes) = (thread_time(), text.len());
                    let result = watch::parse_endpoints(text);
                    *self.list_nanoseconds(index) += (thread_time() - began).as_nanos() as u64;
                    let input = match &result {
                        Some(result) => HollowInput::EndpointUpdate { update: result, bytes },
                        None => HollowInput::WatchLost { silent: false },
                    };
                    self.drive(index, input, |counts| &mut counts.list_ns)?;
                }
                index
            }
            Report::WatchLost { member: index, watch, silent } => {
                if self.members[index].watch == Some(watch) {
                    self.members[index].watch = None;
                    self.drive(index, HollowInput::WatchLost { silent }, |counts| &mut counts.list_ns)?;
                }
                index
            }
        };
        self.arm(index);
        Ok(())
    }

    /// Handles all that is due at a member, each timeout on its account of processor time.
    pub fn wake(&mut self, index: usize) -> io::Result<()> {
        let now = self.reactor.io.now();
        while !self.members[index].stopped && self.members[index].hollow.next_timeout() <= now {
            let account = self.members[index].hollow.next_cpu_account();
            self.drive(index, HollowInput::Timeout, move |counts| account.nanoseconds_in(counts))?;
        }
        self.arm(index);
        Ok(())
    }

    fn arm(&mut self, index: usize) {
        let now = self.reactor.io.now();
        let hosted = &mut self.members[index];
        if hosted.stopped {
            return;
        }
        if let Some(after) = hosted.wake_up_timer.arm(now, hosted.hollow.next_timeout()) {
            self.reactor.io.owner_timer(now + after, index as u32);
        }
    }

    fn list_nanoseconds(&mut self, index: usize) -> &mut u64 {
        &mut self.members[index].hollow.counts().list_ns
    }

    /// Hands a member an input and executes its outputs; the processor time goes to that account.
    fn drive(
        &mut self,
        index: usize,
        input: HollowInput<'_>,
        account: impl Fn(&mut Counts) -> &mut u64,
    ) -> io::Result<()> {
        if self.members[index].stopped {
            return Ok(());
        }
        let began = thread_time();
        let now = self.reactor.io.now();
        let hosted = &mut self.members[index];
        hosted.hollow.handle(now, input);
        while let Some(output) = hosted.hollow.poll() {
            match output {
                HollowOutput::PeerDatagram { to, bytes } => {
                    self.reactor.with(hosted.peers, |socket, _| socket.send(to, &bytes));
                }
                HollowOutput::ConsensusDatagram { to, bytes } => {
                    let to = address(u32::from(to), self.consensus_port);
                    self.reactor.with(hosted.consensus, |socket, _| socket.send(to, &bytes));
                }
                HollowOutput::StartWatch { from } => {
                    if let Some(old) = hosted.watch.take() {
                        self.reactor.remove(old);
                    }
                    let discovery = self.discovery;
                    let watch = self
                        .reactor
                        .insert(|key, io| Ok(Box::new(Watch::start(index, discovery, from, key, io)?)))?;
                    hosted.watch = Some(watch);
                }
                HollowOutput::Record(event) => {
                    self.records.push(Record { at: now, member: hosted.member, event });
                }
            }
        }
        *account(hosted.hollow.counts()) += (thread_time() - began).as_nanos() as u64;
        Ok(())
    }

    pub fn run_until(&mut self, until: Micros) -> io::Result<()> {
        // The loop must not sleep beyond it.
        self.reactor.io.owner_timer(until, u32::MAX);
        while self.reactor.io.now() < until {
            self.reactor.turn()?;
            while let Some(report) = self.reactor.io.reports.pop_front() {
                self.handle(report)?;
            }
        }
        Ok(())
    }

    /// Executes an action if its member is one of this thread.
    pub fn execute(&mut self, action: FaultAction) -> io::Result<()> {
        let (FaultAction::Stop(member) | FaultAction::Propose { member, .. }) = action;
        let Some(index) = self.members.iter().position(|hosted| hosted.member == member) else {
            return Ok(());
        };
        match action {
            FaultAction::Stop(_) => {
                let hosted = &mut self.members[index];
                hosted.stopped = true;
                let keys = [Some(hosted.peers), Some(hosted.consensus), hosted.watch.take()];
                keys.into_iter().flatten().for_each(|key| self.reactor.remove(key));
                let at = self.reactor.io.now();
                self.records.push(Record { at, member, event: MemberEvent::Stopped });
            }
            FaultAction::Propose { content, kind, .. } => {
                let input = HollowInput::Propose { content, kind };
                self.drive(index, input, |counts| &mut counts.consensus_ns)?;
                self.arm(index);
            }
        }
        Ok(())
    }

    pub fn counts(&mut self) -> Vec<(u32, Counts)> {
        self.members.iter_mut().map(|hosted| (hosted.member, *hosted.hollow.counts())).collect()
    }
}
