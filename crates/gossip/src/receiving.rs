//! A datagram that came in. Checked in the order of cost: a flood costs a look-up.

use crate::gossip::Output;
use crate::peer::{Heard, State};
use crate::wire::{self, Broadcast, Header, ReportedState, Section, To};
use crate::{DropReason, Gossip, Purpose};

impl Gossip {
    pub(crate) fn datagram(&mut self, from: Option<u32>, bytes: &[u8]) {
        self.counts.received += 1;
        self.counts.received_bytes += bytes.len() as u64;
        match self.admit(from, bytes) {
            Ok((header, parts)) => {
                // A process that leaves has nothing to say but that.
                if self.leaving.is_none() {
                    self.take(header, parts);
                }
            }
            Err(why) => self.counts.drop(why),
        }
    }

    /// The datagram's content, if it is one, is new, and is its sender's. A dropped one changes nothing but counts.
    fn admit(&mut self, from: Option<u32>, bytes: &[u8]) -> Result<(Header, Vec<Section>), DropReason> {
        let from = from.and_then(|from| u16::try_from(from).ok()).ok_or(DropReason::UnknownSender)?;
        if from == self.me || usize::from(from) >= self.peers.len() {
            return Err(DropReason::UnknownSender);
        }
        let now = self.now;
        if !self.peer_mut(from).inbound.take(now) || !self.inbound.take(now) {
            return Err(DropReason::RateLimited);
        }
        let proof = self.settings.strength.proof_bytes();
        if bytes.len() > wire::LONGEST || bytes.len() <= proof {
            return Err(DropReason::Length);
        }
        match bytes[0] {
            wire::VERSION => {}
            0 => return Err(DropReason::Malformed),
            _ => return Err(DropReason::NewerVersion),
        }
        let (header, length) = Header::read(bytes).map_err(|_| DropReason::Malformed)?;
        if header.strength != self.settings.strength {
            return Err(DropReason::WrongStrength);
        }
        if header.sender != from {
            return Err(DropReason::WrongSender);
        }
        if let Some(heard) = self.peers[usize::from(from)].heard {
            if header.incarnation < heard.incarnation {
                self.correct(from);
                return Err(DropReason::Superseded);
            }
            // Within a life the counter goes on when the turn does.
            if header.incarnation.generation == heard.incarnation.generation
                && !heard.window.fresh(header.counter)
            {
                return Err(DropReason::Replayed);
            }
        }
        let body = bytes.get(length..bytes.len() - proof).ok_or(DropReason::Length)?;
        if !self.keys.proves(from, (!header.to_all).then_some(self.me), bytes) {
            return Err(DropReason::Forged);
        }
        let parts = wire::read_sections(body).map_err(|_| DropReason::Malformed)?;
        Ok((header, parts))
    }

    /// Tells a member that it is known by a newer incarnation than it uses: its clock went back between two lives, and it
    /// can't be heard before it goes beyond. At most once a period, for this is an answer to what nothing proves.
    fn correct(&mut self, member: u16) {
        let (now, period) = (self.now, self.settings.period);
        let peer = self.peer_mut(member);
        if peer.corrected.is_some_and(|at| now - at < period) {
            return;
        }
        peer.corrected = Some(now);
        let Some(heard) = peer.heard else { return };
        let broadcast =
            Broadcast { subject: member, incarnation: heard.incarnation, state: ReportedState::Alive };
        self.send(To::One(member.into()), Purpose::Answer, &[Section::Broadcasts(vec![broadcast])]);
    }

    fn take(&mut self, header: Header, parts: Vec<Section>) {
        let from = header.sender;
        let leaves = parts.contains(&Section::Leave);
        if !self.heard(&header, leaves) {
            return;
        }
        let now = self.now;
        for part in parts {
            let asks = matches!(part, Section::Ping { .. } | Section::IndirectPing { .. });
            if asks && !self.peer_mut(from).questions.take(now) {
                self.counts.withhold(Purpose::Answer);
                continue;
            }
            match part {
                Section::Ping { nonce } => {
                    self.send(To::One(from.into()), Purpose::Answer, &[Section::Ack { nonce }]);
                }
                Section::Ack { nonce } => self.acknowledged(from, nonce),
                Section::IndirectPing { nonce, target } => self.asked_to_ping(from, nonce, target),
                Section::IndirectAck { nonce } => self.vouched(from, nonce),
                Section::Leave => {}
                Section::Broadcasts(broadcasts) => {
                    broadcasts.into_iter().for_each(|broadcast| self.told_of(from, broadcast))
                }
                Section::Digest { total, entries } if !leaves => {
                    let news = self.peer_mut(from).told.take(header.counter, now, total, &entries);
                    if !news.is_empty() {
                        self.output(Output::PeerReport { from: from.into(), entries: news });
                    }
                }
                Section::Digest { .. } => {}
            }
        }
    }

    /// Notes a fresh, authentic datagram: its sender lives, unless it says farewell, or said so after sending this.
    fn heard(&mut self, header: &Header, leaves: bool) -> bool {
        let (now, ordinal) = (self.now, header.sender);
        let peer = self.peer_mut(ordinal);
        let news = header.incarnation > peer.incarnation;
        let (first, new_life) = match peer.heard {
            None => (true, false),
            Some(heard) => (false, heard.incarnation.generation != header.incarnation.generation),
        };
        if first || new_life {
            peer.heard = Some(Heard { incarnation: header.incarnation, window: Default::default() });
            peer.told = Default::default();
            peer.farewell = None;
        }
        if let Some(heard) = &mut peer.heard {
            heard.incarnation = header.incarnation;
            heard.window.note(header.counter);
        }
        // Before it was heard, a liar could say any number of it.
        if news || !peer.incarnation.plausible_after(header.incarnation) {
            peer.incarnation = header.incarnation;
        }
        if leaves {
            peer.farewell = peer.farewell.max(Some(header.counter));
        } else if peer.farewell.is_some_and(|farewell| header.counter < farewell) {
            return false;
        } else {
            peer.farewell = None;
        }
        let (state, incarnation) = (peer.state, peer.incarnation);
        if leaves {
            peer.gave_sign(now);
            self.probes.end(ordinal);
            if state != State::Left {
                self.set_state(ordinal, State::Left);
                self.broadcasts.put(Broadcast { subject: ordinal, incarnation, state: ReportedState::Left });
            }
            return true;
        }
        if !state.is_active() && !news {
            // Others may think so too, and believe only a newer incarnation: it is told, so that it contradicts.
            self.send(To::One(ordinal.into()), Purpose::Answer, &[]);
        }
        self.gave_sign(ordinal);
        if state == State::Alive && (first || new_life) {
            self.output(Output::Member { ordinal: ordinal.into(), state, incarnation });
        }
        if news && !first {
            self.broadcasts.put(Broadcast { subject: ordinal, incarnation, state: ReportedState::Alive });
        }
        true
    }
}
