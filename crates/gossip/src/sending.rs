//! What is sent, each period and in between, under the ceiling.

use crate::config::JITTER;
use crate::peer::State;
use crate::wire::{Broadcast, Draft, Header, ReportedState, Section, To};
use crate::{Entry, Gossip, Micros, Output, Purpose, broadcast_queue};
use rand::RngExt;
use rand::seq::SliceRandom;

/// A farewell is said to each so often, if there is time: at 30% loss one of 37 misses it, and hears it from others.
const FAREWELLS: u32 = 3;
/// Between them. A lost datagram and its neighbour are lost together at times.
const FAREWELL_EVERY: Micros = 100_000;

/// Saying farewell.
#[derive(Debug)]
pub(crate) struct Leaving {
    round: u32,
    /// Who is still to be told in this round.
    pending: Vec<u16>,
    next: Option<Micros>,
    until: Micros,
}

impl Leaving {
    /// When the next is to be told; `None`: over.
    pub(crate) fn next(&self) -> Option<Micros> {
        self.next
    }
}

impl Gossip {
    /// A datagram with these sections and what news has room; whether the ceiling let it through.
    pub(crate) fn send(&mut self, to: To, purpose: Purpose, parts: &[Section]) -> bool {
        self.datagram_to(to, purpose, parts, None).is_some()
    }

    /// The same with entries from the first on, out of so many; how many of them fitted.
    fn datagram_to(
        &mut self,
        to: To,
        purpose: Purpose,
        parts: &[Section],
        digest: Option<(u32, &[Entry])>,
    ) -> Option<usize> {
        let receiver = match to {
            To::One(ordinal) => Some(ordinal as u16),
            To::All => None,
        };
        let copies = if receiver.is_some() { 1 } else { self.others().count() as u64 };
        // Before anything is written: a proxy that has to ask many is at its ceiling for long.
        if !self.ceiling.has_room(self.now, purpose, copies, 0) {
            self.counts.withhold(purpose);
            return None;
        }
        let header = Header {
            strength: self.settings.strength,
            to_all: receiver.is_none(),
            sender: self.me,
            incarnation: self.incarnation,
            counter: self.counter + 1,
        };
        let mut draft = Draft::new(&header, self.settings.datagram_bytes);
        for part in parts {
            draft.push(part);
        }
        let accusation = receiver.and_then(|receiver| self.accusation(receiver));
        let mut broadcasts = Vec::from_iter(accusation);
        broadcasts.extend(self.broadcasts.in_order(receiver));
        let room = if digest.is_some() { draft.room() / 2 } else { draft.room() };
        if !broadcasts.is_empty() {
            let fitted = draft.broadcasts(&broadcasts, room);
            broadcasts.truncate(fitted);
        }
        let entries = digest.map_or(0, |(of, entries)| draft.entries(of, entries));
        let bytes = (draft.written() + self.settings.strength.proof_bytes()) as u64;
        if !self.ceiling.has_room(self.now, purpose, copies, bytes) {
            self.counts.withhold(purpose);
            return None;
        }
        self.ceiling.note(self.now, purpose, copies, bytes);
        self.counter += 1;
        self.counts.sent += copies;
        self.counts.sent_bytes += copies * bytes;
        // What went to one that may be gone was hardly told.
        if accusation.is_none() {
            let limit = broadcast_queue::tellings(self.live_others() + 1, self.settings.fan_out);
            self.broadcasts.told(&broadcasts, copies as u32, limit);
        }
        let bytes = draft.finish(&self.keys, to);
        self.output(Output::Send { to, bytes });
        Some(entries)
    }

    /// Who is not believed alive is told so with whatever it is sent, so that it can contradict.
    fn accusation(&self, receiver: u16) -> Option<Broadcast> {
        let peer = &self.peers[usize::from(receiver)];
        let state = ReportedState::Suspect;
        (peer.state != State::Alive).then_some(Broadcast {
            subject: receiver,
            incarnation: peer.incarnation,
            state,
        })
    }

    /// Who gets this member's next round: all that take part if they are few, else the next of them.
    pub(crate) fn next_receivers(&mut self) -> Vec<u16> {
        let (peers, fan_out) = (&self.peers, self.settings.fan_out);
        self.receivers.next(fan_out, &mut self.chance, |other| peers[usize::from(other)].state.is_active())
    }

    pub(crate) fn period(&mut self) {
        self.periods += 1;
        let jitter = self.settings.period / JITTER;
        self.next_period = self.now + self.settings.period + self.chance.random_range(-jitter..=jitter);
        self.judge_own_health();
        self.ask_the_silent();
        self.tell_digest();
    }

    /// One that hears nobody is likelier cut off itself than all others dead. Of two, neither can tell.
    fn judge_own_health(&mut self) {
        let live =
            self.others().map(|other| &self.peers[usize::from(other)]).filter(|peer| peer.state.is_active());
        let fresh: Vec<bool> = live.map(|peer| self.now - peer.sign < self.settings.silence).collect();
        if fresh.len() < 2 || fresh.contains(&true) {
            self.health.well();
        } else {
            self.health.doubt();
        }
    }

    fn tell_digest(&mut self) {
        let receivers = self.next_receivers();
        let to_all = self.settings.multicast && receivers.len() > 1 && receivers.len() == self.live_others();
        let receivers: Vec<To> = if to_all {
            vec![To::All]
        } else {
            receivers.into_iter().map(|receiver| To::One(receiver.into())).collect()
        };
        let (order, of) = (self.own.in_order(), self.own.len());
        // What each of them was told; sections before the entries differ in length.
        let mut told_to_each: Option<usize> = None;
        for to in receivers {
            let mut told = 0;
            for part in 0..self.settings.digest_datagrams {
                // The first goes out even with nothing to tell: it is the beat.
                if part > 0 && told == order.len() {
                    break;
                }
                match self.datagram_to(to, Purpose::Digest, &[], Some((of, &order[told..]))) {
                    Some(fitted) => told += fitted,
                    None => break,
                }
            }
            if told > 0 {
                told_to_each = Some(told_to_each.map_or(told, |least| least.min(told)));
            }
        }
        if let Some(told) = told_to_each {
            self.own.told(&order[..told]);
        }
    }

    pub(crate) fn leave(&mut self) {
        if self.leaving.is_none() {
            let until = self.now + self.settings.period;
            self.leaving = Some(Leaving { round: 0, pending: Vec::new(), next: Some(self.now), until });
        }
    }

    pub(crate) fn run_leaving(&mut self) {
        let Some(mut leaving) = self.leaving.take() else { return };
        if leaving.next.is_some_and(|at| at <= self.now) {
            if leaving.pending.is_empty() && leaving.round < FAREWELLS {
                leaving.round += 1;
                leaving.pending =
                    self.others().filter(|o| self.peers[usize::from(*o)].state.is_active()).collect();
                leaving.pending.shuffle(&mut self.chance);
                if self.settings.multicast && self.send(To::All, Purpose::Digest, &[Section::Leave]) {
                    leaving.pending.clear();
                }
            }
            while let Some(receiver) = leaving.pending.last() {
                if !self.send(To::One((*receiver).into()), Purpose::Digest, &[Section::Leave]) {
                    break;
                }
                leaving.pending.pop();
            }
            let over = leaving.pending.is_empty() && leaving.round == FAREWELLS;
            let next = self.now + FAREWELL_EVERY;
            leaving.next = (!over && next <= leaving.until).then_some(next);
        }
        self.leaving = Some(leaving);
    }
}
