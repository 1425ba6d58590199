//! What others report of members. Reports prompt probes, never give the verdict: nobody is dead or back by indirect reports alone.

use crate::peer::State;
use crate::probes::ProbeKind;
use crate::wire::{Broadcast, ReportedState};
use crate::{Gossip, Incarnation, Micros, Purpose, To};

/// A later generation of this member's own that others report is believed this often at most: a faulty peer would use the numbers
/// up.
const JUMP_INTERVAL: Micros = 10_000_000;

/// Between two probes of a member that all others suspect: half of the answers that the bandwidth limit lets it give by
/// default.
const PROMPTED_PROBE_SPACING: Micros = 125_000;

impl Gossip {
    /// Takes what one member reports of another.
    pub(crate) fn receive_broadcast(&mut self, from: u16, broadcast: Broadcast) {
        let subject = broadcast.subject;
        if subject == self.identity.ordinal {
            return self.receive_report_on_self(broadcast.incarnation, broadcast.state);
        }
        // A member reports on itself by its own datagrams.
        if subject == from || !self.peers.contains(subject) {
            return;
        }
        let known = self.peers[subject].incarnation;
        // A reporter that never heard the subject can't say of which incarnation it speaks.
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

    /// The subject refuted a suspicion, or restarted. Only this raises the incarnation known: if suspicions did, every
    /// refutation would come too late.
    fn receive_alive(&mut self, from: u16, broadcast: Broadcast, is_newer: bool) {
        let subject = broadcast.subject;
        let peer = &mut self.peers[subject];
        if is_newer {
            peer.incarnation = broadcast.incarnation;
            peer.reports.clear_alive();
        }
        let state = peer.state;
        // By their reports faulty peers could let the dead come and go: more than those must agree, or it is probed.
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

    /// The reporter found it itself: suspicions are not passed on by members that only heard of them. Nor is this one: the
    /// subject is probed, and suspected by this member too only if it does not answer.
    fn receive_suspect(&mut self, from: u16, subject: u16) {
        let (now, silence) = (self.now, self.settings.silence);
        let peer = &mut self.peers[subject];
        peer.reports.add_accuser(from);
        // Own fresh datagrams outweigh any number of reports, while they are fresh.
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

    /// The subject may have left a moment after it was heard last, so that does not refute this: it is probed. But if it
    /// has answered such a probe lately, that does.
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

    /// Whether this reporter may prompt a probe of that member. Each prompts few of them, and nobody is probed again and again:
    /// faulty peers could have all probe all, or one, and no answer would arrive in time.
    fn accepts_prompt(&mut self, from: u16, subject: u16) -> bool {
        !self.detector.probes.is_probing(subject)
            && self.may_be_prompted_to_probe(subject)
            && self.peers[from].limits.prompted_probes.try_take(self.now)
    }

    fn probe_on_report(&mut self, subject: u16) {
        self.peers[subject].prompted_at = Some(self.now);
        self.probe_within(subject, ProbeKind::WithIndirect, self.probe_spread());
    }

    /// Whether it is long enough that reports prompted this member to probe that one. If all members do so, it can still
    /// answer.
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

    /// Takes an incarnation beyond the reported one, and refutes with it.
    fn supersede(&mut self, reported: Incarnation) {
        let is_later_generation = reported.generation > self.identity.incarnation.generation;
        if is_later_generation {
            if self.identity.jumped_at.is_some_and(|at| self.now - at < JUMP_INTERVAL) {
                return;
            }
            self.identity.jumped_at = Some(self.now);
        }
        // Beyond another process's number it must be a generation of its own, for its counter began anew.
        self.identity.incarnation =
            if is_later_generation { Incarnation::first(reported.generation + 1) } else { reported.next() };
        self.refute();
    }

    /// Refutes at once, for a suspicion has its time; but a faulty peer can't make this member send all the time.
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

    /// Believes for the present that a member may be dead: it did not answer, directly or through others.
    pub(crate) fn suspect(&mut self, subject: u16) {
        let incarnation = self.peers[subject].incarnation;
        self.set_state(subject, State::Suspect);
        let state = ReportedState::Suspect;
        self.dissemination.broadcasts.enqueue(Broadcast { subject, incarnation, state });
        self.begin_suspicion(subject);
    }

    /// Ends a suspicion for good: the member is dead, or has left if any member reports that.
    pub(crate) fn confirm_gone(&mut self, subject: u16) {
        let peer = &self.peers[subject];
        let (incarnation, has_left) = (peer.incarnation, peer.reports.any_left());
        self.set_state(subject, if has_left { State::Left } else { State::Dead });
        if has_left {
            let state = ReportedState::Left;
            self.dissemination.broadcasts.enqueue(Broadcast { subject, incarnation, state });
        }
    }

    /// A member proved to be alive, itself or through another.
    pub(crate) fn mark_alive(&mut self, subject: u16) {
        self.peers[subject].mark_alive(self.now);
        self.detector.probes.remove(subject);
        if self.peers[subject].state != State::Alive {
            self.dissemination.broadcasts.remove(subject);
            self.set_state(subject, State::Alive);
        }
    }
}
