//! What others say of members. Words start questions, never give the answer: nobody is dead or back by hearsay alone.

use crate::peer::State;
use crate::wire::{Rumour, To, Word};
use crate::{Gossip, Incarnation, Micros, Purpose};

/// A life of its own that is said to be later than it is, is believed this often at most: a liar would use numbers up.
const JUMP_EVERY: Micros = 10_000_000;

impl Gossip {
    pub(crate) fn told_of(&mut self, from: u16, rumour: Rumour) {
        let Rumour { subject, incarnation, word } = rumour;
        if subject == self.me {
            return self.told_of_me(incarnation, word);
        }
        // A member speaks of itself by speaking.
        if subject == from || usize::from(subject) >= self.peers.len() {
            return;
        }
        let peer = self.peer_mut(subject);
        let known = peer.incarnation;
        // Who never heard it can't say of which incarnation it speaks.
        let incarnation = if incarnation.life == 0 { known } else { incarnation };
        if incarnation < known || !incarnation.plausible_after(known) {
            return;
        }
        if incarnation > known {
            peer.incarnation = incarnation;
            peer.alive_tellers.clear();
        }
        match word {
            Word::Alive => self.said_alive(from, rumour, incarnation > known),
            Word::Suspect { own } => {
                if own {
                    self.peer_mut(subject).accused_by(from);
                }
                self.said_suspect(subject);
            }
            Word::Left => self.said_left(from, subject),
        }
    }

    /// It contradicted an accusation, or lives anew.
    fn said_alive(&mut self, from: u16, rumour: Rumour, news: bool) {
        let subject = rumour.subject;
        let peer = self.peer_mut(subject);
        let state = peer.state;
        let by_many = !state.takes_part() && peer.said_alive_by(from);
        match state {
            State::Alive | State::Suspect if !news => {}
            State::Alive => self.rumours.put(rumour),
            State::Suspect => {
                self.gave_sign(subject);
                self.rumours.put(rumour);
            }
            // By their words liars could let the dead come and go: more than they must say it, or it is asked itself.
            State::Dead | State::Left if by_many => {
                self.gave_sign(subject);
                self.rumours.put(rumour);
            }
            State::Dead | State::Left => self.probe_within(subject, true, self.spread()),
        }
    }

    fn said_suspect(&mut self, subject: u16) {
        let (now, silence) = (self.now, self.settings.silence);
        let peer = self.peer_mut(subject);
        if peer.state != State::Alive {
            return;
        }
        if now - peer.sign < silence {
            // Own fresh hearing outweighs any number of words, while it is fresh.
            peer.to_ask = true;
        } else {
            self.suspect(subject, false);
        }
    }

    /// It may have left a moment after it was heard last, so that does not contradict this: it is asked itself.
    fn said_left(&mut self, from: u16, subject: u16) {
        let peer = self.peer_mut(subject);
        if peer.state.takes_part() && peer.said_left_by(from) {
            self.probe_within(subject, true, self.spread());
        }
    }

    fn told_of_me(&mut self, said: Incarnation, word: Word) {
        let must_exceed = match word {
            Word::Alive => said > self.incarnation,
            Word::Suspect { .. } | Word::Left => said >= self.incarnation,
        };
        if self.leaving.is_some() || !said.plausible_after(self.incarnation) {
            return;
        }
        if !must_exceed {
            if word != Word::Alive && !self.rumours.holds(self.me) {
                self.contradict();
            }
            return;
        }
        if said.life > self.incarnation.life {
            if self.jumped.is_some_and(|at| self.now - at < JUMP_EVERY) {
                return;
            }
            self.jumped = Some(self.now);
        }
        // Beyond another life's number it must be a life of its own, for its counter began anew.
        self.incarnation =
            if said.life > self.incarnation.life { Incarnation::first(said.life + 1) } else { said.next() };
        self.contradict();
    }

    /// At once, for a suspicion has its time; but a liar can't make this member talk all the time.
    fn contradict(&mut self) {
        self.rumours.put(Rumour { subject: self.me, incarnation: self.incarnation, word: Word::Alive });
        if self.contradicted.is_none_or(|at| self.now - at >= self.settings.period) {
            self.contradicted = Some(self.now);
            for receiver in self.next_receivers() {
                self.send(To::One(receiver.into()), Purpose::Answer, &[]);
            }
        }
    }

    /// Believes for the present that a member may be gone: by own experience, or by hearsay that nothing here contradicts.
    pub(crate) fn suspect(&mut self, subject: u16, own: bool) {
        debug_assert_eq!(self.peers[usize::from(subject)].state, State::Alive);
        let incarnation = self.peers[usize::from(subject)].incarnation;
        self.set_state(subject, State::Suspect);
        self.rumours.put(Rumour { subject, incarnation, word: Word::Suspect { own } });
        self.begin_suspicion(subject, own);
    }

    /// Ends a suspicion for good.
    pub(crate) fn declare_gone(&mut self, subject: u16) {
        let peer = &self.peers[usize::from(subject)];
        let (incarnation, left) = (peer.incarnation, !peer.left_tellers.is_empty());
        self.set_state(subject, if left { State::Left } else { State::Dead });
        if left {
            self.rumours.put(Rumour { subject, incarnation, word: Word::Left });
        }
    }

    /// A member gave a sign of life, itself or through another.
    pub(crate) fn gave_sign(&mut self, subject: u16) {
        let now = self.now;
        let peer = self.peer_mut(subject);
        peer.gave_sign(now);
        self.probes.end(subject);
        if self.peers[usize::from(subject)].state != State::Alive {
            self.rumours.withdraw(subject);
            self.set_state(subject, State::Alive);
        }
    }
}
