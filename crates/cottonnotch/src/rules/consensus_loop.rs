//! The accord's loop: hears, ticks, and carries out what the accord asks for, in its order.

use super::clock::Clock;
use super::compile_job::Job;
use super::consensus_handle::{Agent, WAKE};
use super::consensus_parts::Parts;
use super::lease_file::{LeaseFile, LeaseRecord};
use super::state_files::{HELD, MEMORY};
use super::version_content::hex;
use cottonnotch_consensus::{ContentHash, Input, Lease, Member, Message, Micros, Output, Topic};
use cottonnotch_proxy_core::MemberDriver;
use cottonnotch_proxy_core::envelope::MAX_DATAGRAM_BYTES;
use std::io;
use std::net::UdpSocket;
use std::sync::mpsc::Receiver;
use std::time::Duration;

/// A socket that fails at once is not asked again before this.
const PAUSE: Duration = Duration::from_millis(10);

/// One member, with its socket.
pub struct Thread<'a> {
    pub parts: Parts,
    pub agent: &'a Agent,
    pub socket: UdpSocket,
    pub member: Member,
    /// Where a process that takes this one's part reads what holds.
    pub lease: Option<LeaseFile>,
    /// What the worker was last told of this process's version.
    pub told: Option<(Option<ContentHash>, bool)>,
}

impl MemberDriver for Thread<'_> {
    type Member = Member;
    type Error = io::Error;

    fn member(&mut self) -> &mut Member {
        &mut self.member
    }

    fn execute(&mut self, _: Micros, output: Output) -> io::Result<()> {
        match output {
            Output::Send { to, message } => self.send(to, message),
            Output::Save(memory) => {
                if let Some(disk) = &*self.agent.disk() {
                    let bytes = postcard::to_allocvec(&memory).map_err(io::Error::other)?;
                    // Nothing that rests on it may be sent unless this went well: the thread ends.
                    disk.save(MEMORY, &bytes)?;
                }
            }
            Output::Check { hash, against, .. } => self.ask(Job::Check { hash, against }),
            Output::Fetch { hash, size, from, .. } => self.ask(Job::Fetch { hash, size, from }),
            Output::LeaseChanged(right) => self.publish(right)?,
            Output::ProposalFinished { hash, outcome, .. } => self.ask(Job::Over { hash, outcome }),
            Output::ListOutdated { revision } => {
                self.parts.board.seen().newer_list = Some((revision, Clock.now()));
            }
        }
        Ok(())
    }
}

impl Thread<'_> {
    /// Runs until it is told to stop, or until something fails on which the accord rests.
    pub fn run(&mut self, commands: &Receiver<Input>) -> io::Result<()> {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            while let Ok(input) = commands.try_recv() {
                self.handle_input(Clock.now(), input)?;
            }
            if self.agent.is_stopped() {
                return Ok(());
            }
            self.handle_timeout(Clock.now())?;
            self.look();
            let wait = (self.member.next_timeout() - Clock.now()).clamp(1_000, 1_000_000);
            self.socket.set_read_timeout(Some(Duration::from_micros(wait as u64)))?;
            match self.socket.recv_from(&mut buffer) {
                Ok((length, _)) if buffer[..length] == *WAKE => {}
                Ok((length, _)) => match self.parts.seal.open(&buffer[..length]) {
                    Ok((from, message)) => {
                        self.handle_input(Clock.now(), Input::Message { from, message })?
                    }
                    Err(error) => {
                        self.parts.board.seen().invalid_datagrams += 1;
                        log::debug!("datagram dropped: {error}");
                    }
                },
                Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                }
                // An earlier datagram could not be delivered, or worse.
                Err(_) => std::thread::sleep(PAUSE),
            }
        }
    }

    fn ask(&self, job: Job) {
        // The worker ends with the process only.
        let _ = self.parts.jobs.send(job);
    }

    fn send(&self, to: u16, message: Message) {
        let Some(address) = self.parts.members.get(usize::from(to)) else { return };
        let sent = match self.parts.seal.seal(to, message) {
            Ok(bytes) => self.socket.send_to(&bytes, address).map(|_| ()),
            Err(error) => Err(io::Error::other(error)),
        };
        if let Err(error) = sent {
            self.parts.board.seen().unsent_datagrams += 1;
            log::debug!("datagram to {address} is lost: {error}");
        }
    }

    /// What this process may act on has changed.
    fn publish(&mut self, right: Lease) -> io::Result<()> {
        if right.topic != Topic::Rules {
            return Ok(());
        }
        let Some((number, hash)) = right.version else {
            self.lend(0, ContentHash::default(), Micros::MIN)?;
            self.parts.publication.revoke();
            self.say_over();
            return Ok(());
        };
        // It was granted since it is here.
        let Some(compiled) = self.parts.library.get(&hash) else {
            self.lend(0, ContentHash::default(), Micros::MIN)?;
            self.parts.publication.revoke();
            log::error!("rules {} are granted and not here", &hex(&hash)[..12]);
            return Ok(());
        };
        let is_new =
            !matches!(&*self.parts.publication.read(), Some(p) if (p.number, p.hash) == (number, hash));
        self.lend(number, hash, right.until)?;
        self.parts.publication.grant(&compiled.plan, number, hash, right.until);
        if is_new {
            log::info!(version = number; "rules version {number} counts here: {} rules", compiled.content.book.rules.len());
            if let Some(disk) = &*self.agent.disk()
                && let Ok(bytes) = postcard::to_allocvec(&(number, hash))
                && let Err(error) = disk.save(HELD, &bytes)
            {
                log::error!(error:%; "which rules counted last cannot be kept: {error}");
            }
        }
        Ok(())
    }

    /// Why nothing may be acted on now: at each change that contradicts, for a moment, and that is no trouble.
    fn say_over(&self) {
        let newest = self.member.status().topic(Topic::Rules).newest;
        match self.parts.publication.read().as_ref().map(|published| published.number) {
            Some(last) if last < newest => {
                log::info!(version = last; "rules version {last} ends here, {newest} is on its way");
            }
            _ => log::warn!("the lease on the rules is over, those in doubt go by 'on_doubt'"),
        }
    }

    /// What holds, for a process that waits to take this one's part. Unless it is told of the end, nothing after that may be
    /// carried out: others would be told that nobody acts any more on what is let go.
    fn lend(&self, number: u64, hash: ContentHash, until: Micros) -> io::Result<()> {
        self.lease.as_ref().map_or(Ok(()), |file| file.tell(LeaseRecord { number, hash, until }))
    }

    /// Tells operators and the worker how things stand.
    fn look(&mut self) {
        let status = self.member.status();
        let topic = status.topic(Topic::Rules);
        let held = topic.active.map(|version| version.hash);
        let nothing = topic.newest == 0 && held.is_none();
        let is_first = nothing && status.leader.is_some();
        {
            let mut seen = self.parts.board.seen();
            seen.version = topic.active.map(|version| version.number).or(seen.version);
            seen.until = topic.until;
            seen.newest = topic.newest.max(seen.newest);
            (seen.role, seen.leader, seen.term) = (status.role, status.leader, status.term);
            (seen.live_members, seen.invariant_violations) =
                (status.live_members, status.invariant_violations);
        }
        if self.told != Some((held, is_first)) {
            self.told = Some((held, is_first));
            self.ask(Job::Held { version: held, is_first });
        }
    }
}
