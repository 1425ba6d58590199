//! What others say of members. Words start questions, never give the answer: nobody is dead or back by hearsay alone.

use crate::peer::State;
use crate::wire::{Broadcast, ReportedState, To};
use crate::{Gossip, Incarnation, Micros, Purpose};

/// A life of its own that is said to be later than it is, is believed this often at most: a liar would use numbers up.
const JUMP_EVERY: Micros = 10_000_000;

/// A member that all others doubt is asked so often: half of the answers that the ceiling lets it give where nothing is said.
const BETWEEN_QUESTIONS: Micros = 125_000;

impl Gossip {
    pub(crate) fn told_of(&mut self, from: u16, broadcast: Broadcast) {
        let Broadcast { subject, incarnation, state: word } = broadcast;
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
        let incarnation = if incarnation.generation == 0 { known } else { incarnation };
        if incarnation < known || !incarnation.plausible_after(known) {
            return;
        }
        match word {
            // Only this raises the number known: an accuser that could would have every contradiction come too late.
            ReportedState::Alive => {
                if incarnation > known {
                    peer.incarnation = incarnation;
                    peer.alive_tellers.clear();
                }
                self.said_alive(from, broadcast, incarnation > known);
            }
            ReportedState::Suspect => self.said_suspect(from, subject),
            ReportedState::Left => self.said_left(from, subject),
        }
    }

    /// It contradicted an accusation, or lives anew.
    fn said_alive(&mut self, from: u16, broadcast: Broadcast, news: bool) {
        let subject = broadcast.subject;
        let peer = self.peer_mut(subject);
        let state = peer.state;
        let by_many = !state.is_active() && peer.said_alive_by(from);
        match state {
            State::Alive | State::Suspect if !news => {}
            State::Alive => {
                peer.contradicted();
                self.probes.end_unasked(subject);
                self.broadcasts.put(broadcast);
            }
            State::Suspect => {
                self.gave_sign(subject);
                self.broadcasts.put(broadcast);
            }
            // By their words liars could let the dead come and go: more than they must say it, or it is asked itself.
            State::Dead | State::Left if by_many => {
                self.gave_sign(subject);
                self.broadcasts.put(broadcast);
            }
            State::Dead | State::Left => self.probe_within(subject, false, self.spread()),
        }
    }

    /// Whoever says so found it itself: accusations are not passed on by those who only heard them. So is this: it is asked,
    /// and accused by this member too only if it does not answer.
    fn said_suspect(&mut self, from: u16, subject: u16) {
        let (now, silence) = (self.now, self.settings.silence);
        let peer = self.peer_mut(subject);
        peer.accused_by(from);
        // Own fresh hearing outweighs any number of words, while it is fresh.
        let heard = now - peer.sign < silence;
        if peer.state != State::Alive || peer.to_ask || !self.heeds(from, subject) {
            return;
        }
        if heard {
            self.peer_mut(subject).to_ask = true;
        } else {
            self.ask_because_of_word(subject);
        }
    }

    /// It may have left a moment after it was heard last, so that does not contradict this: it is asked itself. But if it
    /// has answered such a question lately, that does.
    fn said_left(&mut self, from: u16, subject: u16) {
        let peer = self.peer_mut(subject);
        if !peer.state.is_active() {
            return;
        }
        peer.said_left_by(from);
        if peer.state == State::Alive && self.heeds(from, subject) {
            self.ask_because_of_word(subject);
        }
    }

    /// Whether this member's words move this one to ask that one. Each moves it to so many questions only, and nobody is
    /// asked again and again: liars could have all ask all, or one, and no answer would come in time.
    fn heeds(&mut self, from: u16, subject: u16) -> bool {
        let now = self.now;
        !self.probes.running(subject) && self.may_ask_by_word(subject) && self.peer_mut(from).heeded.take(now)
    }

    fn ask_because_of_word(&mut self, subject: u16) {
        let now = self.now;
        self.peer_mut(subject).asked_by_word = Some(now);
        self.probe_within(subject, true, self.spread());
    }

    /// Whether it is long enough that this member asked that one because of others' words. If all do so, it can still
    /// answer.
    pub(crate) fn may_ask_by_word(&self, subject: u16) -> bool {
        let interval = self.settings.silence.max(self.peers.len() as Micros * BETWEEN_QUESTIONS);
        self.peers[usize::from(subject)].asked_by_word.is_none_or(|at| self.now - at >= interval)
    }

    fn told_of_me(&mut self, said: Incarnation, word: ReportedState) {
        let must_exceed = match word {
            ReportedState::Alive => said > self.incarnation,
            ReportedState::Suspect | ReportedState::Left => said >= self.incarnation,
        };
        if self.leaving.is_some() || !said.plausible_after(self.incarnation) {
            return;
        }
        if !must_exceed {
            if word != ReportedState::Alive && !self.broadcasts.holds(self.me) {
                self.contradict();
            }
            return;
        }
        if said.generation > self.incarnation.generation {
            if self.jumped.is_some_and(|at| self.now - at < JUMP_EVERY) {
                return;
            }
            self.jumped = Some(self.now);
        }
        // Beyond another life's number it must be a life of its own, for its counter began anew.
        self.incarnation = if said.generation > self.incarnation.generation {
            Incarnation::first(said.generation + 1)
        } else {
            said.next()
        };
        self.contradict();
    }

    /// At once, for a suspicion has its time; but a liar can't make this member talk all the time.
    fn contradict(&mut self) {
        self.broadcasts.put(Broadcast {
            subject: self.me,
            incarnation: self.incarnation,
            state: ReportedState::Alive,
        });
        if self.contradicted.is_none_or(|at| self.now - at >= self.settings.period) {
            self.contradicted = Some(self.now);
            for receiver in self.next_receivers() {
                self.send(To::One(receiver.into()), Purpose::Answer, &[]);
            }
        }
    }

    /// Believes for the present that a member may be gone: it did not answer, directly or through others.
    pub(crate) fn suspect(&mut self, subject: u16) {
        let incarnation = self.peers[usize::from(subject)].incarnation;
        self.set_state(subject, State::Suspect);
        self.broadcasts.put(Broadcast { subject, incarnation, state: ReportedState::Suspect });
        self.begin_suspicion(subject);
    }

    /// Ends a suspicion for good.
    pub(crate) fn declare_gone(&mut self, subject: u16) {
        let peer = &self.peers[usize::from(subject)];
        let (incarnation, left) = (peer.incarnation, !peer.left_tellers.is_empty());
        self.set_state(subject, if left { State::Left } else { State::Dead });
        if left {
            self.broadcasts.put(Broadcast { subject, incarnation, state: ReportedState::Left });
        }
    }

    /// A member gave a sign of life, itself or through another.
    pub(crate) fn gave_sign(&mut self, subject: u16) {
        let now = self.now;
        let peer = self.peer_mut(subject);
        peer.gave_sign(now);
        self.probes.end(subject);
        if self.peers[usize::from(subject)].state != State::Alive {
            self.broadcasts.withdraw(subject);
            self.set_state(subject, State::Alive);
        }
    }
}
