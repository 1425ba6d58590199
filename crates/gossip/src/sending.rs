//! Sending of datagrams, in each period and in between, within the bandwidth limit.

use crate::broadcast_queue::transmit_limit;
use crate::config::JITTER;
use crate::farewell::Farewell;
use crate::interface::Output;
use crate::peer::State;
use crate::wire::{Broadcast, Draft, ReportedState, Section};
use crate::{Entry, Gossip, Purpose, To};
use rand::RngExt;
use rand::seq::SliceRandom;

/// The part of a digest that is still to be sent: the remaining entries, and the total number of entries.
#[derive(Clone, Copy, Debug)]
struct DigestPart<'a> {
    total: u32,
    entries: &'a [Entry],
}

impl Gossip {
    /// Sends a datagram with these sections and the broadcasts that fit. Returns whether the bandwidth limit let it pass.
    pub(crate) fn send(&mut self, to: To, purpose: Purpose, sections: &[Section]) -> bool {
        self.send_datagram(to, purpose, sections, None).is_some()
    }

    /// Sends a datagram with these sections, the broadcasts that fit, and as many entries of the digest as fit. Returns the
    /// number of entries sent, or `None` if the bandwidth limit withheld the datagram.
    fn send_datagram(
        &mut self,
        to: To,
        purpose: Purpose,
        sections: &[Section],
        digest: Option<DigestPart<'_>>,
    ) -> Option<usize> {
        let receiver = match to {
            To::One(ordinal) => Some(ordinal as u16),
            To::All => None,
        };
        let copies = if receiver.is_some() { 1 } else { self.peers.ordinals().count() as u64 };
        // Check the limit before writing the datagram: a proxy that must probe many members stays at its limit for long.
        if !self.has_bandwidth(purpose, copies, 0) {
            return None;
        }
        let header = self.identity.next_header(self.settings.strength, receiver.is_none());
        let mut draft = Draft::new(&header, self.settings.datagram_bytes);
        for section in sections {
            draft.push(section);
        }
        let suspicion = receiver.and_then(|receiver| self.suspicion_for(receiver));
        let room = if digest.is_some() { draft.room() / 2 } else { draft.room() };
        let broadcasts = self.write_broadcasts(&mut draft, receiver, suspicion, room);
        let entries = digest.map_or(0, |digest| draft.entries(digest.total, digest.entries));
        let bytes = (draft.written() + self.settings.strength.proof_bytes()) as u64;
        if !self.has_bandwidth(purpose, copies, bytes) {
            return None;
        }
        self.limits.bandwidth.record(self.now, purpose, copies, bytes);
        self.identity.count_sent();
        self.counts.sent += copies;
        self.counts.sent_bytes += copies * bytes;
        // A datagram to a member that may be dead does not count as a transmission of the broadcasts.
        if suspicion.is_none() {
            let limit = transmit_limit(self.peers.active() + 1, self.settings.fan_out);
            self.dissemination.broadcasts.mark_transmitted(&broadcasts, copies as u32, limit);
        }
        let bytes = draft.finish(&self.keys, to);
        self.output(Output::Send { to, bytes });
        Some(entries)
    }

    /// Returns whether the bandwidth limit allows `copies` datagrams of `bytes` each, and counts a datagram as withheld if not.
    pub(crate) fn has_bandwidth(&mut self, purpose: Purpose, copies: u64, bytes: u64) -> bool {
        let has_room = self.limits.bandwidth.has_room(self.now, purpose, copies, bytes);
        if !has_room {
            self.counts.withhold(purpose);
        }
        has_room
    }

    /// Writes the suspicion of the receiver and the queued broadcasts into at most `room` bytes. Returns the broadcasts that
    /// fitted.
    fn write_broadcasts(
        &self,
        draft: &mut Draft,
        receiver: Option<u16>,
        suspicion: Option<Broadcast>,
        room: usize,
    ) -> Vec<Broadcast> {
        let mut broadcasts = Vec::from_iter(suspicion);
        broadcasts.extend(self.dissemination.broadcasts.pending_for(receiver));
        if !broadcasts.is_empty() {
            let fitted = draft.broadcasts(&broadcasts, room);
            broadcasts.truncate(fitted);
        }
        broadcasts
    }

    /// Returns the suspicion that is added to each datagram to a member that is not believed alive, so that it can refute.
    fn suspicion_for(&self, receiver: u16) -> Option<Broadcast> {
        let peer = &self.peers[receiver];
        (peer.state != State::Alive).then_some(Broadcast {
            subject: receiver,
            incarnation: peer.incarnation,
            state: ReportedState::Suspect,
        })
    }

    /// Returns the receivers of the next round: all active members if the fan-out covers them, else the next in the rotation.
    pub(crate) fn next_receivers(&mut self) -> Vec<u16> {
        let (peers, fan_out) = (&self.peers, self.settings.fan_out);
        self.dissemination.rotation.next(fan_out, &mut self.rng, |other| peers[other].state.is_active())
    }

    /// Begins a period: schedules the next one, probes silent members and sends digests.
    pub(crate) fn begin_period(&mut self) {
        self.schedule.periods += 1;
        let jitter = self.settings.period / JITTER;
        let length = self.settings.period + self.rng.random_range(-jitter..=jitter);
        self.schedule.next_period = self.now + length;
        self.update_health();
        self.probe_silent_members();
        self.send_digests();
    }

    /// Updates the local health. If this member hears no other, it is more likely cut off than all others are dead. With only
    /// one other active member, the two cases can't be told apart.
    fn update_health(&mut self) {
        let active = self.peers.iter().filter(|(_, peer)| peer.state.is_active());
        let silence = self.settings.silence;
        let fresh: Vec<bool> = active.map(|(_, peer)| self.now - peer.last_alive_at < silence).collect();
        if fresh.len() < 2 || fresh.contains(&true) {
            self.detector.health.recover();
        } else {
            self.detector.health.degrade();
        }
    }

    fn send_digests(&mut self) {
        let receivers = self.digest_receivers();
        let entries = self.dissemination.local_state.by_urgency();
        // The number of entries that all receivers were sent: receivers differ in it, as the sections before the entries do.
        let mut sent_to_all: Option<usize> = None;
        for to in receivers {
            let sent = self.send_digest(to, &entries);
            if sent > 0 {
                sent_to_all = Some(sent_to_all.map_or(sent, |least| least.min(sent)));
            }
        }
        if let Some(sent) = sent_to_all {
            self.dissemination.local_state.mark_sent(&entries[..sent]);
        }
    }

    fn digest_receivers(&mut self) -> Vec<To> {
        let receivers = self.next_receivers();
        if self.settings.multicast && receivers.len() > 1 && receivers.len() == self.peers.active() {
            return vec![To::All];
        }
        receivers.into_iter().map(|receiver| To::One(receiver.into())).collect()
    }

    /// Sends up to the configured number of datagrams of a digest. Returns the number of entries sent.
    fn send_digest(&mut self, to: To, entries: &[Entry]) -> usize {
        let total = self.dissemination.local_state.len();
        let mut sent = 0;
        for datagram in 0..self.settings.digest_datagrams {
            // The first datagram is sent even without entries, since it is the heartbeat.
            if datagram > 0 && sent == entries.len() {
                break;
            }
            let digest = DigestPart { total, entries: &entries[sent..] };
            match self.send_datagram(to, Purpose::Digest, &[], Some(digest)) {
                Some(fitted) => sent += fitted,
                None => break,
            }
        }
        sent
    }

    /// Begins to leave the fleet, which takes at most a period.
    pub(crate) fn leave(&mut self) {
        if self.farewell.is_none() {
            self.farewell = Some(Farewell::begin(self.now, self.settings.period));
        }
    }

    /// Sends the farewells that are due.
    pub(crate) fn run_farewell(&mut self) {
        let Some(mut farewell) = self.farewell.take() else { return };
        if farewell.is_due(self.now) {
            if farewell.begin_round() {
                farewell.pending = self.begin_farewell_round();
            }
            self.send_farewells(&mut farewell.pending);
            farewell.schedule_next(self.now);
        }
        self.farewell = Some(farewell);
    }

    /// Returns the members to which a new round sends farewells one by one: none if a multicast datagram was sent to all.
    fn begin_farewell_round(&mut self) -> Vec<u16> {
        let mut receivers: Vec<u16> =
            self.peers.iter().filter(|(_, peer)| peer.state.is_active()).map(|(other, _)| other).collect();
        receivers.shuffle(&mut self.rng);
        if self.settings.multicast && self.send(To::All, Purpose::Digest, &[Section::Leave]) {
            receivers.clear();
        }
        receivers
    }

    /// Sends farewells, the last receiver first, until the bandwidth limit withholds one.
    fn send_farewells(&mut self, receivers: &mut Vec<u16>) {
        while let Some(receiver) = receivers.last() {
            if !self.send(To::One((*receiver).into()), Purpose::Digest, &[Section::Leave]) {
                break;
            }
            receivers.pop();
        }
    }
}
