//! Probing of silent members, and suspicion of those that don't answer.
//!
//! This follows SWIM (Das, Gupta, Motivala 2002) with the local health and the suspicion of Lifeguard (Dadgar, Phillips,
//! Currey 2018), and adds a rule: a member is declared dead only after this member itself probed it, directly and through
//! others, and got no answer.

use crate::peer::State;
use crate::probes::{Probe, ProbeKind, ProbeStage, Relay};
use crate::suspicion::{MIN_FAILED_CHECKS, NextStep, Suspicion, SuspicionTimeouts};
use crate::wire::Section;
use crate::{Gossip, Micros, Purpose, To};
use rand::RngExt;
use rand::seq::IndexedRandom;

/// Number of members asked to ping a member that does not answer (SWIM's and memberlist's k).
const INDIRECT_PROBES: usize = 3;
/// With more suspects than this, a partition is more likely than as many deaths. Each is then probed through one other member
/// only, and no more often than required; otherwise probing all of them would take minutes.
const MANY_SUSPECTS: usize = 8;
/// A pause longer than any suspicion.
const NEVER: Micros = 1 << 50;
/// Number of periods between two probes of members that are dead or have left, one member at a time. These probes detect that
/// a partition has healed.
const GONE_PROBE_PERIODS: u64 = 3;
/// Number of members up to which suspicions last as configured. With more members they grow with the logarithm.
const CONFIGURED_FOR_MEMBERS: u32 = 10;

impl Gossip {
    /// Returns the time-out for an answer, extended by the local health multiplier.
    fn probe_timeout(&self) -> Micros {
        self.settings.probe_timeout * self.detector.health.multiplier()
    }

    fn suspicion_timeouts(&self) -> SuspicionTimeouts {
        SuspicionTimeouts::new(self.min_suspicion(), self.alive())
    }

    /// Returns the minimum duration of a suspicion. It grows with the logarithm of the number of members, as does the time that a
    /// refutation takes to reach all of them.
    fn min_suspicion(&self) -> Micros {
        let members = f64::from(self.alive().max(CONFIGURED_FOR_MEMBERS));
        (self.settings.suspicion as f64 * members.log10()) as Micros * self.detector.health.multiplier()
    }

    /// Returns the pause between a failed check and the next. A small fleet has the bandwidth to go on without a pause.
    fn check_interval(&self) -> Micros {
        if self.reaches_all_each_period() { 0 } else { self.settings.period }
    }

    /// Returns the maximum random delay of a probe that a report prompts, so that members prompted by the same report don't all
    /// probe at once.
    pub(crate) fn probe_spread(&self) -> Micros {
        self.settings.probe_timeout * if self.reaches_all_each_period() { 1 } else { 2 }
    }

    /// Returns when the next step of a probe or a suspicion is due.
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

    /// Probes a member at once, unless a probe of it is pending.
    pub(crate) fn probe(&mut self, target: u16, kind: ProbeKind) {
        self.probe_within(target, kind, 0);
    }

    /// Probes a member after a random delay of up to `within`, because many members may probe it at the same time.
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

    /// Begins the suspicion of a member that did not answer, directly or through others.
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

    /// Advances a probe to its next stage: a direct ping, then indirect pings, then the check has failed.
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

    /// Returns when to retry a ping that the bandwidth limit withheld. A ping that was not sent must not count as unanswered:
    /// with hundreds of members this created new suspects faster than they could refute.
    fn retry_time(&mut self) -> Micros {
        let period = self.settings.period;
        self.now + self.rng.random_range(period / 2..=period)
    }

    /// Asks other members to ping the target, and pings it once more directly, because a lost datagram is the most likely cause.
    /// Returns the members asked, or `None` if the bandwidth limit does not allow it.
    fn send_indirect_pings(&mut self, target: u16, nonce: u16) -> Option<Vec<u16>> {
        let candidates: Vec<u16> = self
            .peers
            .iter()
            .filter(|(other, peer)| *other != target && peer.state == State::Alive)
            .map(|(other, _)| other)
            .collect();
        let count = if self.has_many_suspects() { 1 } else { INDIRECT_PROBES };
        let mut helpers: Vec<u16> = candidates.sample(&mut self.rng, count).copied().collect();
        // Either all of these pings are sent or none. Sending and retrying some of them would use up the bandwidth limit.
        if !self.has_bandwidth(Purpose::Probe, helpers.len() as u64 + 1, 0) {
            return None;
        }
        helpers.retain(|helper| {
            self.send(To::One((*helper).into()), Purpose::Probe, &[Section::IndirectPing { nonce, target }])
        });
        self.send(To::One(target.into()), Purpose::Probe, &[Section::Ping { nonce }]);
        (candidates.is_empty() || !helpers.is_empty()).then_some(helpers)
    }

    fn has_many_suspects(&self) -> bool {
        self.detector.suspicions.len() > MANY_SUSPECTS
    }

    /// Handles a probe that got no answer.
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
        // After enough failed checks, the bandwidth for probes is left to other members, many of which may be suspects.
        let pause = match suspicion.failed_checks {
            ..MIN_FAILED_CHECKS => interval,
            _ if few_members => interval,
            _ if many_suspects => NEVER,
            _ => rare_interval,
        };
        suspicion.check_at(self.now + pause);
    }

    /// Probes silent members at the beginning of a period. In a large fleet only the next of them in the rotation is probed,
    /// since other members probe the rest.
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

    /// Returns whether a member was accused, has become silent since, and may be probed again because of reports.
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

    /// Handles a request of another member to ping the target on its behalf.
    pub(crate) fn receive_indirect_ping(&mut self, requester: u16, requester_nonce: u16, target: u16) {
        self.detector.probes.expire_relays(self.now);
        let is_known = self.peers.contains(target) && target != self.identity.ordinal && target != requester;
        if is_known {
            // The request shows that the target did not answer the requester.
            self.peers[target].reports.add_accuser(requester);
        }
        // This member probes suspects on its own behalf. In a partition, pinging them for all requesters too would use up its
        // bandwidth.
        let is_suspect = self.detector.suspicions.contains_key(&target);
        if !is_known || is_suspect || !self.detector.probes.has_room_for_relay() {
            return;
        }
        let expires_at = self.now + 2 * self.settings.probe_timeout;
        let nonce = self.detector.probes.add_relay(Relay { requester, requester_nonce, target, expires_at });
        self.send(To::One(target.into()), Purpose::Answer, &[Section::Ping { nonce }]);
    }

    /// Handles the answer to a ping. The datagram already showed that its sender is alive, so this only answers the member that
    /// requested the ping, if any.
    pub(crate) fn receive_ack(&mut self, from: u16, nonce: u16) {
        let Some(relay) = self.detector.probes.remove_relay(from, nonce) else { return };
        if relay.expires_at > self.now {
            let ack = Section::IndirectAck { nonce: relay.requester_nonce };
            self.send(To::One(relay.requester.into()), Purpose::Answer, &[ack]);
        }
    }

    /// Handles a helper's report that the member which it was asked to ping has answered. Reports from members that were not
    /// asked are ignored.
    pub(crate) fn receive_indirect_ack(&mut self, helper: u16, nonce: u16) {
        if let Some(target) = self.detector.probes.target_of_indirect(helper, nonce) {
            self.mark_alive(target);
        }
    }
}
