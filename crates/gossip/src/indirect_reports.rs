//! Handling of reports from other members about a member's state. A suspicion or a farewell reported by others only prompts
//! a probe by this member; such reports never decide alone that a member is dead.

use crate::peer::State;
use crate::probes::ProbeKind;
use crate::wire::{Broadcast, ReportedState};
use crate::{Gossip, Incarnation, Micros, Purpose, To};

/// Minimum time between two adoptions of a later generation of this member that others report. A faulty peer could otherwise
/// use up the generation numbers.
const JUMP_INTERVAL: Micros = 10_000_000;

/// Time between two probes of a member that all other members are prompted to probe. Their probes take half of the answers
/// that the default bandwidth limit allows the member.
const PROMPTED_PROBE_SPACING: Micros = 125_000;

impl Gossip {
    /// Handles the report of one member about another.
    pub(crate) fn receive_broadcast(&mut self, from: u16, broadcast: Broadcast) {
        let subject = broadcast.subject;
        if subject == self.identity.ordinal {
            return self.receive_report_on_self(broadcast.incarnation, broadcast.state);
        }
        // A member's own datagrams already show its state.
        if subject == from || !self.peers.contains(subject) {
            return;
        }
        let known = self.peers[subject].incarnation;
        // A reporter that never heard the subject does not know its incarnation.
        let is_unknown = broadcast.incarnation.generation == 0;
        let incarnation = if is_unknown { known } else { broadcast.incarnation };
        if incarnation < known || !incarnation.plausible_after(known) {
            return;
        }
        match broadcast.state {
            ReportedState::Alive => self.receive_alive(from, broadcast, incarnation > known),
            ReportedState::Suspect => self.receive_suspect(from, subject),
            ReportedState::Left => self.receive_left(from, subject),
        }
    }

    /// Handles a report that the subject refuted a suspicion or restarted. Among reports only this kind raises the known
    /// incarnation: if suspicions raised it too, every refutation would be out of date.
    fn receive_alive(&mut self, from: u16, broadcast: Broadcast, is_newer: bool) {
        let subject = broadcast.subject;
        let peer = &mut self.peers[subject];
        if is_newer {
            peer.incarnation = broadcast.incarnation;
            peer.reports.clear_alive();
        }
        let state = peer.state;
        // Faulty peers could report a dead member alive again and again. More reporters than the tolerated faulty peers must
        // agree; until then the member is probed.
        let is_confirmed = !state.is_active() && peer.reports.add_alive(from);
        match state {
            State::Alive | State::Suspect if !is_newer => {}
            State::Alive => {
                peer.discard_reports();
                self.detector.probes.cancel_waiting(subject);
                self.dissemination.broadcasts.enqueue(broadcast);
            }
            State::Suspect => self.accept_alive(broadcast),
            State::Dead | State::Left if is_confirmed => self.accept_alive(broadcast),
            State::Dead | State::Left => {
                self.probe_within(subject, ProbeKind::DirectOnly, self.probe_spread());
            }
        }
    }

    fn accept_alive(&mut self, broadcast: Broadcast) {
        self.mark_alive(broadcast.subject);
        self.dissemination.broadcasts.enqueue(broadcast);
    }

    /// Handles a report that the reporter itself could not reach the subject. Members don't forward suspicions of others, and
    /// this one does not either: it probes the subject and suspects it only if the probe gets no answer.
    fn receive_suspect(&mut self, from: u16, subject: u16) {
        let (now, silence) = (self.now, self.settings.silence);
        let peer = &mut self.peers[subject];
        peer.reports.add_accuser(from);
        // A recent datagram from the subject itself outweighs any number of reports.
        let is_fresh = now - peer.last_alive_at < silence;
        let is_pending = peer.reports.probe_when_silent;
        if peer.state != State::Alive || is_pending || !self.accepts_prompt(from, subject) {
            return;
        }
        if is_fresh {
            self.peers[subject].reports.probe_when_silent = true;
        } else {
            self.probe_on_report(subject);
        }
    }

    /// Handles a report that the subject has left. Even a recent datagram does not refute the report, since the subject may
    /// have left just after it; the subject is probed. A recent answer to a prompted probe does refute the report.
    fn receive_left(&mut self, from: u16, subject: u16) {
        let peer = &mut self.peers[subject];
        if !peer.state.is_active() {
            return;
        }
        peer.reports.add_left(from);
        if peer.state == State::Alive && self.accepts_prompt(from, subject) {
            self.probe_on_report(subject);
        }
    }

    /// Returns whether this reporter may prompt a probe of the subject. The probes per reporter and per subject are limited:
    /// otherwise faulty peers could make all members probe all others, or all probe one, and answers would come too late.
    fn accepts_prompt(&mut self, from: u16, subject: u16) -> bool {
        !self.detector.probes.is_probing(subject)
            && self.may_be_prompted_to_probe(subject)
            && self.peers[from].limits.prompted_probes.try_take(self.now)
    }

    fn probe_on_report(&mut self, subject: u16) {
        self.peers[subject].prompted_at = Some(self.now);
        self.probe_within(subject, ProbeKind::WithIndirect, self.probe_spread());
    }

    /// Returns whether enough time has passed since reports last prompted this member to probe the subject. The interval is
    /// long enough that the subject can answer even if all members probe it.
    pub(crate) fn may_be_prompted_to_probe(&self, subject: u16) -> bool {
        let spacing = self.peers.members() as Micros * PROMPTED_PROBE_SPACING;
        let interval = self.settings.silence.max(spacing);
        self.peers[subject].prompted_at.is_none_or(|at| self.now - at >= interval)
    }

    fn receive_report_on_self(&mut self, reported: Incarnation, state: ReportedState) {
        let own = self.identity.incarnation;
        if self.farewell.is_some() || !reported.plausible_after(own) {
            return;
        }
        let is_superseding = match state {
            ReportedState::Alive => reported > own,
            ReportedState::Suspect | ReportedState::Left => reported >= own,
        };
        if is_superseding {
            self.supersede(reported);
        } else if state != ReportedState::Alive
            && !self.dissemination.broadcasts.contains(self.identity.ordinal)
        {
            self.refute();
        }
    }

    /// Adopts an incarnation that supersedes the reported one, and refutes the report with it.
    fn supersede(&mut self, reported: Incarnation) {
        let is_later_generation = reported.generation > self.identity.incarnation.generation;
        if is_later_generation {
            if self.identity.jumped_at.is_some_and(|at| self.now - at < JUMP_INTERVAL) {
                return;
            }
            self.identity.jumped_at = Some(self.now);
        }
        // The reported generation is that of another process with its own datagram counter, so this process needs a generation
        // of its own.
        self.identity.incarnation =
            if is_later_generation { Incarnation::first(reported.generation + 1) } else { reported.next() };
        self.refute();
    }

    /// Queues a refutation and sends it at once, because a suspicion expires. It is sent at most once per period, so that a
    /// faulty peer can't make this member send continuously.
    fn refute(&mut self) {
        self.dissemination.broadcasts.enqueue(Broadcast {
            subject: self.identity.ordinal,
            incarnation: self.identity.incarnation,
            state: ReportedState::Alive,
        });
        if self.identity.refuted_at.is_none_or(|at| self.now - at >= self.settings.period) {
            self.identity.refuted_at = Some(self.now);
            for receiver in self.next_receivers() {
                self.send(To::One(receiver.into()), Purpose::Answer, &[]);
            }
        }
    }

    /// Marks a member as suspect after a probe that got no answer, directly or through others.
    pub(crate) fn suspect(&mut self, subject: u16) {
        let incarnation = self.peers[subject].incarnation;
        self.set_state(subject, State::Suspect);
        let state = ReportedState::Suspect;
        self.dissemination.broadcasts.enqueue(Broadcast { subject, incarnation, state });
        self.begin_suspicion(subject);
    }

    /// Ends a suspicion: the member is dead, or has left if any member reports that it left.
    pub(crate) fn confirm_gone(&mut self, subject: u16) {
        let peer = &self.peers[subject];
        let (incarnation, has_left) = (peer.incarnation, peer.reports.any_left());
        self.set_state(subject, if has_left { State::Left } else { State::Dead });
        if has_left {
            let state = ReportedState::Left;
            self.dissemination.broadcasts.enqueue(Broadcast { subject, incarnation, state });
        }
    }

    /// Marks a member as alive after a datagram from it, or after another member confirmed that it is alive.
    pub(crate) fn mark_alive(&mut self, subject: u16) {
        self.peers[subject].mark_alive(self.now);
        self.detector.probes.remove(subject);
        if self.peers[subject].state != State::Alive {
            self.dissemination.broadcasts.remove(subject);
            self.set_state(subject, State::Alive);
        }
    }
}
