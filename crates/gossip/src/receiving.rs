//! Handling of received datagrams. The checks are ordered by cost, so that dropping a datagram of a flood costs a look-up.

use crate::interface::Output;
use crate::peer::{Peer, Session, State};
use crate::wire::{self, Broadcast, Header, ReportedState, Section};
use crate::{DropReason, Gossip, Incarnation, Purpose, To};

/// Whether the datagram is a farewell of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    Stays,
    Leaves,
}

/// How the process that sent a datagram relates to the known state of the sender.
#[derive(Clone, Copy, Debug)]
struct Contact {
    /// No datagram was received from the sender before.
    is_first: bool,
    /// The datagram comes from another process than the previous one.
    is_new_process: bool,
    /// The incarnation is newer than the known one.
    is_newer: bool,
}

impl Gossip {
    /// Handles a datagram; `from` is the member with the sender's address, if there is one.
    pub(crate) fn receive(&mut self, from: Option<u32>, bytes: &[u8]) {
        self.counts.received += 1;
        self.counts.received_bytes += bytes.len() as u64;
        match self.admit(from, bytes) {
            Ok((header, sections)) => {
                // A process that is leaving sends only farewells.
                if self.farewell.is_none() {
                    self.process(header, sections);
                }
            }
            Err(reason) => self.counts.drop(reason),
        }
    }

    /// Returns the content of a datagram that is well-formed, new and authentic. A dropped datagram
    /// changes only the counters, except that a superseded incarnation is answered with a correction.
    fn admit(&mut self, from: Option<u32>, bytes: &[u8]) -> Result<(Header, Vec<Section>), DropReason> {
        let from = self.admit_sender(from)?;
        let proof = self.settings.strength.proof_bytes();
        if bytes.len() > wire::MAX_DATAGRAM_BYTES || bytes.len() <= proof {
            return Err(DropReason::Length);
        }
        match bytes[0] {
            wire::VERSION => {}
            0 => return Err(DropReason::Malformed),
            _ => return Err(DropReason::NewerVersion),
        }
        let (header, length) = Header::read(bytes).map_err(|_| DropReason::Malformed)?;
        self.check_header(from, &header)?;
        let body = bytes.get(length..bytes.len() - proof).ok_or(DropReason::Length)?;
        if !self.keys.proves(from, (!header.to_all).then_some(self.identity.ordinal), bytes) {
            return Err(DropReason::Forged);
        }
        let sections = wire::read_sections(body).map_err(|_| DropReason::Malformed)?;
        Ok((header, sections))
    }

    /// Returns the sender's ordinal if it is another member and its datagrams are within the rate limits.
    fn admit_sender(&mut self, from: Option<u32>) -> Result<u16, DropReason> {
        let from = from.and_then(|from| u16::try_from(from).ok()).ok_or(DropReason::UnknownSender)?;
        if from == self.identity.ordinal || !self.peers.contains(from) {
            return Err(DropReason::UnknownSender);
        }
        let now = self.now;
        if !self.peers[from].limits.inbound.try_take(now) || !self.limits.inbound.try_take(now) {
            return Err(DropReason::RateLimited);
        }
        Ok(from)
    }

    /// Checks that the header matches the sender and is new. The proof is checked later.
    fn check_header(&mut self, from: u16, header: &Header) -> Result<(), DropReason> {
        if header.strength != self.settings.strength {
            return Err(DropReason::WrongStrength);
        }
        if header.sender != from {
            return Err(DropReason::WrongSender);
        }
        let Some(session) = self.peers[from].session else { return Ok(()) };
        if header.incarnation < session.incarnation {
            self.send_correction(from, session.incarnation);
            return Err(DropReason::Superseded);
        }
        // Within a process the counter continues when the process refutes a report with a new incarnation.
        let same_process = header.incarnation.generation == session.incarnation.generation;
        if same_process && !session.window.accepts(header.counter) {
            return Err(DropReason::Replayed);
        }
        Ok(())
    }

    /// Tells a member that a newer incarnation of it is known than the one it uses. This happens when its clock went back between
    /// two processes; its datagrams are dropped until it uses a newer incarnation. The correction is sent at most once a period,
    /// since the datagram that causes it is not authenticated.
    fn send_correction(&mut self, member: u16, incarnation: Incarnation) {
        let (now, period) = (self.now, self.settings.period);
        let peer = &mut self.peers[member];
        if peer.corrected_at.is_some_and(|at| now - at < period) {
            return;
        }
        peer.corrected_at = Some(now);
        let broadcast = Broadcast { subject: member, incarnation, state: ReportedState::Alive };
        self.send(To::One(member.into()), Purpose::Answer, &[Section::Broadcasts(vec![broadcast])]);
    }

    /// Processes the sections of a new, authentic datagram.
    fn process(&mut self, header: Header, sections: Vec<Section>) {
        let leaves = sections.contains(&Section::Leave);
        let presence = if leaves { Presence::Leaves } else { Presence::Stays };
        if !self.record_contact(&header, presence) {
            return;
        }
        for section in sections {
            let is_request = matches!(section, Section::Ping { .. } | Section::IndirectPing { .. });
            if is_request && !self.peers[header.sender].limits.requests.try_take(self.now) {
                self.counts.withhold(Purpose::Answer);
                continue;
            }
            self.process_section(&header, presence, section);
        }
    }

    fn process_section(&mut self, header: &Header, presence: Presence, section: Section) {
        let from = header.sender;
        match section {
            Section::Ping { nonce } => {
                self.send(To::One(from.into()), Purpose::Answer, &[Section::Ack { nonce }]);
            }
            Section::Ack { nonce } => self.receive_ack(from, nonce),
            Section::IndirectPing { nonce, target } => self.receive_indirect_ping(from, nonce, target),
            Section::IndirectAck { nonce } => self.receive_indirect_ack(from, nonce),
            Section::Broadcasts(broadcasts) => {
                broadcasts.into_iter().for_each(|broadcast| self.receive_broadcast(from, broadcast));
            }
            Section::Digest { total, entries } if presence == Presence::Stays => {
                let state = &mut self.peers[from].reported_state;
                let new_entries = state.merge(header.counter, self.now, total, &entries);
                if !new_entries.is_empty() {
                    self.output(Output::PeerReport { from: from.into(), entries: new_entries });
                }
            }
            Section::Leave | Section::Digest { .. } => {}
        }
    }

    /// Records a new, authentic datagram. Its sender is alive unless the datagram is a farewell or was sent before a farewell.
    /// Returns whether the sections are to be processed.
    fn record_contact(&mut self, header: &Header, presence: Presence) -> bool {
        let contact = self.peers[header.sender].record_datagram(header);
        if !self.peers[header.sender].record_presence(header, presence) {
            return false;
        }
        match presence {
            Presence::Leaves => self.record_farewell(header.sender),
            Presence::Stays => self.record_alive(header.sender, contact),
        }
        true
    }

    fn record_farewell(&mut self, ordinal: u16) {
        let peer = &mut self.peers[ordinal];
        peer.mark_alive(self.now);
        let (state, incarnation) = (peer.state, peer.incarnation);
        self.detector.probes.remove(ordinal);
        if state != State::Left {
            self.set_state(ordinal, State::Left);
            let state = ReportedState::Left;
            self.dissemination.broadcasts.enqueue(Broadcast { subject: ordinal, incarnation, state });
        }
    }

    fn record_alive(&mut self, ordinal: u16, contact: Contact) {
        let Peer { state, incarnation, .. } = self.peers[ordinal];
        if !state.is_active() && !contact.is_newer {
            // Other members may also believe that the sender is dead or has left, and accept only a newer incarnation. This
            // datagram carries the suspicion, so that the sender refutes it.
            self.send(To::One(ordinal.into()), Purpose::Answer, &[]);
        }
        self.mark_alive(ordinal);
        if state == State::Alive && (contact.is_first || contact.is_new_process) {
            self.output(Output::Member { ordinal: ordinal.into(), state, incarnation });
        }
        if contact.is_newer && !contact.is_first {
            let state = ReportedState::Alive;
            self.dissemination.broadcasts.enqueue(Broadcast { subject: ordinal, incarnation, state });
        }
    }
}

impl Peer {
    /// Records the incarnation and counter of a new, authentic datagram. The entries of an earlier process are discarded.
    fn record_datagram(&mut self, header: &Header) -> Contact {
        let contact = Contact {
            is_first: self.session.is_none(),
            is_new_process: self
                .session
                .is_some_and(|session| session.incarnation.generation != header.incarnation.generation),
            is_newer: header.incarnation > self.incarnation,
        };
        if contact.is_first || contact.is_new_process {
            self.session = None;
            self.reported_state = Default::default();
            self.farewell = None;
        }
        let unused = Session { incarnation: header.incarnation, window: Default::default() };
        let session = self.session.get_or_insert(unused);
        session.incarnation = header.incarnation;
        session.window.record(header.counter);
        // Until the member was heard, a faulty peer could report any incarnation of it; an implausible one is replaced.
        if contact.is_newer || !self.incarnation.plausible_after(header.incarnation) {
            self.incarnation = header.incarnation;
        }
        contact
    }

    /// Records a farewell, or clears an earlier one. Returns false if the datagram was sent before the farewell.
    fn record_presence(&mut self, header: &Header, presence: Presence) -> bool {
        match presence {
            Presence::Leaves => self.farewell = self.farewell.max(Some(header.counter)),
            Presence::Stays if self.farewell.is_some_and(|farewell| header.counter < farewell) => {
                return false;
            }
            Presence::Stays => self.farewell = None,
        }
        true
    }
}
