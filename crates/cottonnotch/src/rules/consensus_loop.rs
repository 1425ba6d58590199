//! The loop of the consensus thread. The loop receives datagrams, handles the member's timeouts, and executes the member's
//! outputs in order.

use super::clock::Clock;
use super::compile_job::CompileJob;
use super::consensus_handle::{ConsensusHandle, WAKE_UP};
use super::consensus_setup::{MemberSettings, SharedState};
use super::lease_file::{LeaseFile, LeaseRecord};
use super::state_files::{DURABLE_STATE, LAST_ACTIVE};
use super::version_content::{VersionContent, short_hex};
use cottonnotch_consensus::{
    ContentHash, DurableState, Input, Lease, Member, Message, Micros, Output, Topic,
};
use cottonnotch_proxy_core::MemberDriver;
use cottonnotch_proxy_core::envelope::MAX_DATAGRAM_BYTES;
use std::io;
use std::net::UdpSocket;
use std::sync::mpsc::Receiver;
use std::time::Duration;

/// The delay after a failed read of the socket. Without the delay, a read that keeps failing at once would spin.
const PAUSE_AFTER_ERROR: Duration = Duration::from_millis(10);
/// The minimum and maximum wait for a datagram, in microseconds. The maximum bounds the delay of an input whose wake-up
/// datagram was lost.
const RECEIVE_WAIT_US: (Micros, Micros) = (1_000, 1_000_000);

/// The active version as last reported to the compile worker.
#[derive(Clone, Copy, PartialEq, Eq)]
struct ReportedVersion {
    active: Option<ContentHash>,
    /// Whether the cluster has never had a version. True only while there is a leader, which would know of one.
    cluster_has_no_version: bool,
}

/// A consensus member with its socket and the state that it shares with other threads.
pub struct ConsensusLoop<'a> {
    settings: MemberSettings,
    shared: SharedState,
    handle: &'a ConsensusHandle,
    socket: UdpSocket,
    member: Member,
    /// The file from which a successor reads this process's lease.
    lease_file: Option<LeaseFile>,
    last_reported: Option<ReportedVersion>,
}

impl MemberDriver for ConsensusLoop<'_> {
    type Member = Member;
    type Error = io::Error;

    fn member(&mut self) -> &mut Member {
        &mut self.member
    }

    fn execute(&mut self, _: Micros, output: Output) -> io::Result<()> {
        match output {
            Output::Send { to, message } => self.send(to, message),
            Output::Save(durable_state) => self.save(&durable_state)?,
            Output::Check { hash, against, .. } => self.send_job(CompileJob::Check { hash, against }),
            Output::Fetch { hash, size, from, .. } => self.send_job(CompileJob::Fetch { hash, size, from }),
            Output::LeaseChanged(lease) => self.publish_lease(lease)?,
            Output::ProposalFinished { hash, outcome, .. } => {
                self.send_job(CompileJob::ProposalFinished { hash, outcome });
            }
            Output::ListOutdated { revision } => {
                self.shared.status.lock().newer_list = Some((revision, Clock.now()));
            }
        }
        Ok(())
    }
}

impl<'a> ConsensusLoop<'a> {
    pub fn new(
        settings: MemberSettings,
        shared: SharedState,
        handle: &'a ConsensusHandle,
        socket: UdpSocket,
        member: Member,
        lease_file: Option<LeaseFile>,
    ) -> Self {
        ConsensusLoop { settings, shared, handle, socket, member, lease_file, last_reported: None }
    }

    /// Runs until the thread is told to stop, or until a write fails that the protocol depends on.
    pub fn run(&mut self, inputs: &Receiver<Input>) -> io::Result<()> {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            while let Ok(input) = inputs.try_recv() {
                self.handle_input(Clock.now(), input)?;
            }
            if self.handle.is_stopped() {
                return Ok(());
            }
            self.handle_timeout(Clock.now())?;
            self.report_status();
            self.receive(&mut buffer)?;
        }
    }

    /// Waits for a datagram, at most until the member's next timeout.
    fn receive(&mut self, buffer: &mut [u8]) -> io::Result<()> {
        let wait = (self.member.next_timeout() - Clock.now()).clamp(RECEIVE_WAIT_US.0, RECEIVE_WAIT_US.1);
        self.socket.set_read_timeout(Some(Duration::from_micros(wait as u64)))?;
        match self.socket.recv_from(buffer) {
            Ok((length, _)) if buffer[..length] == *WAKE_UP => {}
            Ok((length, _)) => self.receive_datagram(&buffer[..length])?,
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            // Typically an ICMP error: an earlier datagram could not be delivered.
            Err(_) => std::thread::sleep(PAUSE_AFTER_ERROR),
        }
        Ok(())
    }

    fn receive_datagram(&mut self, datagram: &[u8]) -> io::Result<()> {
        match self.settings.envelope_key.open(datagram) {
            Ok((from, message)) => self.handle_input(Clock.now(), Input::Message { from, message }),
            Err(error) => {
                self.shared.status.lock().invalid_datagrams += 1;
                log::debug!("datagram dropped: {error}");
                Ok(())
            }
        }
    }

    fn send_job(&self, job: CompileJob) {
        // The worker runs until the process ends, so sending does not fail.
        let _ = self.shared.jobs.send(job);
    }

    fn send(&self, to: u16, message: Message) {
        let Some(address) = self.settings.members.get(usize::from(to)) else { return };
        let sent = match self.settings.envelope_key.seal(to, message) {
            Ok(bytes) => self.socket.send_to(&bytes, address).map(|_| ()),
            Err(error) => Err(io::Error::other(error)),
        };
        if let Err(error) = sent {
            self.shared.status.lock().unsent_datagrams += 1;
            log::debug!("datagram to {address} cannot be sent: {error}");
        }
    }

    /// Saves the durable state to disk. On an error the thread ends, because messages that depend on unsaved state must not be
    /// sent.
    fn save(&self, durable_state: &DurableState) -> io::Result<()> {
        let Some(folder) = &*self.handle.state_folder() else { return Ok(()) };
        let bytes = postcard::to_allocvec(durable_state).map_err(io::Error::other)?;
        folder.save(DURABLE_STATE, &bytes)
    }

    /// Writes a changed lease to the lease file, and then publishes the lease to the event loop.
    fn publish_lease(&mut self, lease: Lease) -> io::Result<()> {
        if lease.topic != Topic::Rules {
            return Ok(());
        }
        let Some((number, hash)) = lease.version else {
            self.revoke()?;
            self.log_revoked();
            return Ok(());
        };
        // A version is granted only after its content has arrived, so the content is normally in the cache.
        let Some(content) = self.shared.contents.get(&hash) else {
            self.revoke()?;
            log::error!("rules {} are granted, but their content is missing", short_hex(&hash));
            return Ok(());
        };
        let is_new =
            !matches!(&*self.shared.published.read(), Some(p) if (p.number, p.hash) == (number, hash));
        self.write_lease(LeaseRecord { number, hash, until: lease.until })?;
        self.shared.published.grant(&content.plan, number, hash, lease.until);
        if is_new {
            self.record_activation(number, &content);
        }
        Ok(())
    }

    fn revoke(&self) -> io::Result<()> {
        self.write_lease(LeaseRecord { number: 0, hash: ContentHash::default(), until: Micros::MIN })?;
        self.shared.published.revoke();
        Ok(())
    }

    /// Logs the activation of a version, and stores the version in the state folder for the next start.
    fn record_activation(&self, number: u64, content: &VersionContent) {
        let rules = content.body.book.rules.len();
        log::info!(version = number; "rules version {number} is active: {rules} rules");
        if let Some(folder) = &*self.handle.state_folder()
            && let Ok(bytes) = postcard::to_allocvec(&(number, content.hash))
            && let Err(error) = folder.save(LAST_ACTIVE, &bytes)
        {
            log::error!(error:%; "the active rules version cannot be stored: {error}");
        }
    }

    /// Logs why this process has no valid lease. A change to an incompatible version revokes the lease for a moment, which is
    /// normal operation and no fault.
    fn log_revoked(&self) {
        let newest = self.member.status().topic(Topic::Rules).newest;
        match self.shared.published.read().as_ref().map(|published| published.number) {
            Some(last) if last < newest => {
                log::info!(version = last; "rules version {last} is revoked, {newest} is pending");
            }
            _ => log::warn!("the lease on the rules has expired, requests follow 'on_doubt'"),
        }
    }

    /// Writes the lease for a successor that waits to take over. On an error no later output may be executed: it could tell
    /// other members that nobody acts on a revoked version any more, while the successor still reads the old lease.
    fn write_lease(&self, record: LeaseRecord) -> io::Result<()> {
        self.lease_file.as_ref().map_or(Ok(()), |file| file.write(record))
    }

    /// Updates the operators' status, and tells the compile worker when the active version has changed.
    fn report_status(&mut self) {
        let member = self.member.status();
        let topic = member.topic(Topic::Rules);
        let active = topic.active.map(|version| version.hash);
        let cluster_has_no_version = topic.newest == 0 && active.is_none() && member.leader.is_some();
        {
            let mut status = self.shared.status.lock();
            status.version = topic.active.map(|version| version.number).or(status.version);
            status.lease_until = topic.until;
            status.newest_version = topic.newest.max(status.newest_version);
            (status.role, status.leader, status.term) = (member.role, member.leader, member.term);
            status.live_members = member.live_members;
            status.invariant_violations = member.invariant_violations;
        }
        let report = ReportedVersion { active, cluster_has_no_version };
        if self.last_reported != Some(report) {
            self.last_reported = Some(report);
            self.send_job(CompileJob::ActiveVersion { hash: active, cluster_has_no_version });
        }
    }
}
