//! Probing of silent members, and the suspicions that follow when they don't answer.
//!
//! SWIM (Das, Gupta, Motivala 2002) with Lifeguard's health and suspicion (Dadgar, Phillips, Currey 2018), and one rule more:
//! a member is dead only if this one probed it itself, directly and through others, and got no answer.

use crate::peer::State;
use crate::probes::{Probe, ProbeKind, ProbeStage, Relay};
use crate::suspicion::{MIN_FAILED_CHECKS, NextStep, Suspicion, SuspicionTimeouts};
use crate::wire::Section;
use crate::{Gossip, Micros, Purpose, To};
use rand::RngExt;
use rand::seq::IndexedRandom;

/// Members through which one that does not answer is probed (SWIM's and memberlist's k).
const INDIRECT_PROBES: usize = 3;
/// With more suspects than this a partition is likelier than that many deaths: one other is asked for each, and no suspect more
/// often than it must be, or probing all of them takes minutes.
const MANY_SUSPECTS: usize = 8;
/// Longer than any suspicion lasts.
const NEVER: Micros = 1 << 50;
/// Periods between two probes of dead or left members, one of them at a time: a partition that heals is noticed by this.
const GONE_PROBE_PERIODS: u64 = 3;
/// Members for which suspicions last as configured; for more they grow with the logarithm.
const CONFIGURED_FOR_MEMBERS: u32 = 10;

impl Gossip {
    /// How long an answer may take, as far as this member trusts its own timing.
    fn probe_timeout(&self) -> Micros {
        self.settings.probe_timeout * self.detector.health.multiplier()
    }

    fn suspicion_timeouts(&self) -> SuspicionTimeouts {
        SuspicionTimeouts::new(self.min_suspicion(), self.alive())
    }

    /// The least that a suspicion lasts: grows with the logarithm of the members, as the time does in which a refutation
    /// reaches all.
    fn min_suspicion(&self) -> Micros {
        let members = f64::from(self.alive().max(CONFIGURED_FOR_MEMBERS));
        (self.settings.suspicion as f64 * members.log10()) as Micros * self.detector.health.multiplier()
    }

    /// Between a check that failed and the next. Few members can afford to go on without a pause.
    fn check_interval(&self) -> Micros {
        if self.reaches_all_each_period() { 0 } else { self.settings.period }
    }

    /// In how long members spread a probe that all of them are prompted to by the same report, so that not all probe at once.
    pub(crate) fn probe_spread(&self) -> Micros {
        self.settings.probe_timeout * if self.reaches_all_each_period() { 1 } else { 2 }
    }

    /// When a probe or a suspicion is due next.
    pub(crate) fn next_probe_timeout(&self) -> Option<Micros> {
        let timeouts = self.suspicion_timeouts();
        let next_step = |(subject, suspicion): (&u16, &Suspicion)| match suspicion.next_step(
            self.now,
            &self.peers[*subject],
            &timeouts,
        ) {
            NextStep::Check(_) if self.detector.probes.is_probing(*subject) => None,
            NextStep::Check(at) | NextStep::Confirm(at) => Some(at),
        };
        let suspicions = self.detector.suspicions.iter().filter_map(next_step);
        self.detector.probes.next_due().into_iter().chain(suspicions).min()
    }

    /// Probes a member, unless that is being done.
    pub(crate) fn probe(&mut self, target: u16, kind: ProbeKind) {
        self.probe_within(target, kind, 0);
    }

    /// Probes a member after a random wait of up to `within`, where many members may do so at the same time.
    pub(crate) fn probe_within(&mut self, target: u16, kind: ProbeKind, within: Micros) {
        if self.detector.probes.is_probing(target) {
            return;
        }
        let wait = if within > 0 { self.rng.random_range(0..=within) } else { 0 };
        let nonce = self.detector.probes.next_nonce();
        let probe = Probe { nonce, stage: ProbeStage::Waiting, due: self.now + wait, kind };
        self.detector.probes.insert(target, probe);
        if wait == 0 {
            self.advance_probe(target);
        }
    }

    /// Believes for the present that a member may be dead: it did not answer, directly or through others.
    pub(crate) fn begin_suspicion(&mut self, subject: u16) {
        let suspicion = Suspicion::begin(self.now, self.check_interval());
        self.detector.suspicions.insert(subject, suspicion);
    }

    /// Advances the probes and suspicions that are due.
    pub(crate) fn run_probes(&mut self) {
        for target in self.detector.probes.due(self.now) {
            self.advance_probe(target);
        }
        let timeouts = self.suspicion_timeouts();
        let next_step = |(subject, suspicion): (&u16, &Suspicion)| {
            (*subject, suspicion.next_step(self.now, &self.peers[*subject], &timeouts))
        };
        let next_steps: Vec<(u16, NextStep)> = self.detector.suspicions.iter().map(next_step).collect();
        for (subject, step) in next_steps {
            match step {
                NextStep::Confirm(at) if at <= self.now => self.confirm_gone(subject),
                NextStep::Check(at) if at <= self.now => self.probe(subject, ProbeKind::WithIndirect),
                _ => {}
            }
        }
    }

    /// Goes on with a probe: a ping, then indirect ones, then the check has failed.
    fn advance_probe(&mut self, target: u16) {
        let Some(mut probe) = self.detector.probes.remove(target) else { return };
        match probe.stage {
            ProbeStage::Waiting => self.begin_direct(target, &mut probe),
            ProbeStage::Direct if probe.kind == ProbeKind::WithIndirect => {
                self.begin_indirect(target, &mut probe)
            }
            ProbeStage::Direct | ProbeStage::Indirect(_) => return self.check_failed(target),
        }
        self.detector.probes.insert(target, probe);
    }

    fn begin_direct(&mut self, target: u16, probe: &mut Probe) {
        let timeout = self.probe_timeout();
        if self.send(To::One(target.into()), Purpose::Probe, &[Section::Ping { nonce: probe.nonce }]) {
            probe.stage = ProbeStage::Direct;
            probe.due = self.now + timeout;
        } else {
            probe.due = self.retry_time();
        }
    }

    fn begin_indirect(&mut self, target: u16, probe: &mut Probe) {
        let timeout = self.probe_timeout();
        match self.send_indirect_pings(target, probe.nonce) {
            Some(helpers) => {
                probe.stage = ProbeStage::Indirect(helpers);
                probe.due = self.now + 2 * timeout;
            }
            None => probe.due = self.retry_time(),
        }
    }

    /// When to retry what the bandwidth limit withheld. It was not sent, so it must not count as unanswered: among hundreds
    /// of members that made new suspects faster than they could refute.
    fn retry_time(&mut self) -> Micros {
        let period = self.settings.period;
        self.now + self.rng.random_range(period / 2..=period)
    }

    /// Asks others to ping it, and pings once more itself, for one datagram lost is the likeliest cause; returns whom. `None`: the
    /// bandwidth limit has no room for that.
    fn send_indirect_pings(&mut self, target: u16, nonce: u16) -> Option<Vec<u16>> {
        let able: Vec<u16> = self
            .peers
            .iter()
            .filter(|(other, peer)| *other != target && peer.state == State::Alive)
            .map(|(other, _)| other)
            .collect();
        let count = if self.has_many_suspects() { 1 } else { INDIRECT_PROBES };
        let mut helpers: Vec<u16> = able.sample(&mut self.rng, count).copied().collect();
        // All or nothing: half of it, retried again and again, would leave no room for anything.
        if !self.has_bandwidth(Purpose::Probe, helpers.len() as u64 + 1, 0) {
            return None;
        }
        helpers.retain(|helper| {
            self.send(To::One((*helper).into()), Purpose::Probe, &[Section::IndirectPing { nonce, target }])
        });
        self.send(To::One(target.into()), Purpose::Probe, &[Section::Ping { nonce }]);
        (able.is_empty() || !helpers.is_empty()).then_some(helpers)
    }

    fn has_many_suspects(&self) -> bool {
        self.detector.suspicions.len() > MANY_SUSPECTS
    }

    /// A probe had no answer.
    fn check_failed(&mut self, target: u16) {
        match self.peers[target].state {
            State::Alive => self.suspect(target),
            State::Suspect => self.suspect_check_failed(target),
            State::Dead | State::Left => {}
        }
    }

    fn suspect_check_failed(&mut self, target: u16) {
        let (few_members, many_suspects) = (self.reaches_all_each_period(), self.has_many_suspects());
        let (interval, rare_interval) = (self.check_interval(), self.min_suspicion() / 2);
        let Some(suspicion) = self.detector.suspicions.get_mut(&target) else { return };
        suspicion.add_failed_check(self.now);
        // Enough of them: the bandwidth for probes is for others, of whom many may be suspected at once.
        let pause = match suspicion.failed_checks {
            ..MIN_FAILED_CHECKS => interval,
            _ if few_members => interval,
            _ if many_suspects => NEVER,
            _ => rare_interval,
        };
        suspicion.check_at(self.now + pause);
    }

    /// Each period: members that were not heard lately are probed; among many, only the next of them, since others probe the
    /// others.
    pub(crate) fn probe_silent_members(&mut self) {
        let count = if self.reaches_all_each_period() { self.peers.members() } else { 1 };
        let accused: Vec<u16> = self.peers.ordinals().filter(|other| self.is_to_be_probed(*other)).collect();
        let (peers, silent_since) = (&self.peers, self.now - self.settings.silence);
        let is_silent =
            |other: u16| peers[other].state == State::Alive && peers[other].last_alive_at <= silent_since;
        for target in self.detector.rotation.next(count, &mut self.rng, is_silent) {
            self.probe(target, ProbeKind::WithIndirect);
        }
        for target in accused {
            self.peers[target].prompted_at = Some(self.now);
            self.probe(target, ProbeKind::WithIndirect);
        }
        if self.schedule.periods.is_multiple_of(GONE_PROBE_PERIODS) {
            self.probe_gone_member();
        }
    }

    /// Whether a member was accused, has fallen silent since, and may be probed for that.
    fn is_to_be_probed(&self, other: u16) -> bool {
        let peer = &self.peers[other];
        peer.reports.probe_when_silent
            && peer.state == State::Alive
            && peer.last_alive_at <= self.now - self.settings.silence
            && self.may_be_prompted_to_probe(other)
    }

    fn probe_gone_member(&mut self) {
        let is_gone = |other: &u16| !self.peers[*other].state.is_active();
        let gone: Vec<u16> = self.peers.ordinals().filter(is_gone).collect();
        if let Some(target) = gone.choose(&mut self.rng) {
            self.probe(*target, ProbeKind::DirectOnly);
        }
    }

    /// Another member asks to ping this one for it.
    pub(crate) fn receive_indirect_ping(&mut self, requester: u16, requester_nonce: u16, target: u16) {
        self.detector.probes.expire_relays(self.now);
        let is_known = self.peers.contains(target) && target != self.identity.ordinal && target != requester;
        if is_known {
            // It asks because the target did not answer it.
            self.peers[target].reports.add_accuser(requester);
        }
        // A suspect is probed on this member's own behalf: in a partition it would ping for everybody, and get to nothing else.
        let is_suspect = self.detector.suspicions.contains_key(&target);
        if !is_known || is_suspect || !self.detector.probes.has_room_for_relay() {
            return;
        }
        let expires_at = self.now + 2 * self.settings.probe_timeout;
        let nonce = self.detector.probes.add_relay(Relay { requester, requester_nonce, target, expires_at });
        self.send(To::One(target.into()), Purpose::Answer, &[Section::Ping { nonce }]);
    }

    /// A member answers a ping. The datagram itself proved it alive; here only the member that asked for the ping is answered.
    pub(crate) fn receive_ack(&mut self, from: u16, nonce: u16) {
        let Some(relay) = self.detector.probes.remove_relay(from, nonce) else { return };
        if relay.expires_at > self.now {
            let ack = Section::IndirectAck { nonce: relay.requester_nonce };
            self.send(To::One(relay.requester.into()), Purpose::Answer, &[ack]);
        }
    }

    /// A helper reports that the member which it was asked to ping has answered. Counts only from members that were asked.
    pub(crate) fn receive_indirect_ack(&mut self, helper: u16, nonce: u16) {
        if let Some(target) = self.detector.probes.target_of_indirect(helper, nonce) {
            self.mark_alive(target);
        }
    }
}
