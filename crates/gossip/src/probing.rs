//! Asking silent members for a sign of life, and how long one that gives none is only suspected.
//!
//! SWIM (Das, Gupta, Motivala 2002) with Lifeguard's health and suspicion (Dadgar, Phillips, Currey 2018), and one rule more:
//! a member is gone only if this one asked it itself, directly and through others, and got nothing.

use crate::peer::{MOST_TELLERS, State};
use crate::wire::{Part, Rumour, To, Word};
use crate::{Gossip, Micros, Purpose};
use rand::RngExt;
use rand::seq::IndexedRandom;
use std::collections::BTreeMap;

/// Members through which one that does not answer is asked (SWIM's and memberlist's k).
const HELPERS: usize = 3;
/// Without confirmation a suspicion lasts this many times the least. Lifeguard has 6; own checks do a part of that here.
const LONGEST_SUSPICION: i64 = 4;
/// Checks of its own that must fail before a member is gone: one at 30% loss fails 1 of 9 times though all is well.
const CHECKS: u32 = 2;
/// A member that is gone is asked every so many periods, one of them at a time: a partition that heals is noticed by this.
const GONE_EVERY: u64 = 3;
/// Requests of others that wait for an answer: a flood of them takes no more memory.
const MOST_RELAYS: usize = 64;

#[derive(Debug)]
enum Stage {
    /// Not asked yet, so that not all ask at once.
    Waiting,
    Direct,
    /// These were asked to ask it.
    Indirect(Vec<u16>),
}

#[derive(Debug)]
struct Probe {
    nonce: u16,
    stage: Stage,
    due: Micros,
    /// Through others too, if it does not answer.
    full: bool,
}

#[derive(Debug)]
struct Relay {
    asker: u16,
    asker_nonce: u16,
    target: u16,
    until: Micros,
}

/// What was asked and waits for an answer.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    nonce: u16,
    by_target: BTreeMap<u16, Probe>,
    relays: BTreeMap<u16, Relay>,
}

impl Probes {
    fn next_nonce(&mut self) -> u16 {
        self.nonce = self.nonce.wrapping_add(1);
        self.nonce
    }

    /// The member has spoken: nothing is to be asked.
    pub(crate) fn end(&mut self, target: u16) {
        self.by_target.remove(&target);
    }

    pub(crate) fn keep_below(&mut self, members: u16) {
        self.by_target.retain(|target, _| *target < members);
        self.relays.retain(|_, relay| relay.asker < members && relay.target < members);
    }

    pub(crate) fn put_off(&mut self, longer: Micros) {
        self.by_target.values_mut().for_each(|probe| probe.due += longer);
    }
}

/// Since when, and what was tried.
#[derive(Debug)]
pub(crate) struct Suspicion {
    began: Micros,
    /// Own checks that failed.
    failures: u32,
    next_check: Micros,
}

impl Suspicion {
    pub(crate) fn put_off(&mut self, longer: Micros) {
        self.began += longer;
        self.next_check += longer;
    }

    /// Whether this member itself could not reach the suspect.
    pub(crate) fn own(&self) -> bool {
        self.failures > 0
    }
}

impl Gossip {
    /// How long an answer may take, as far as this member trusts its own ears.
    fn patience(&self) -> Micros {
        self.settings.probe_timeout * self.health.factor()
    }

    /// The least that a suspicion lasts: grows with the logarithm of the members, as the time does in which a contradiction
    /// gets round.
    fn least_suspicion(&self) -> Micros {
        let members = f64::from(self.alive().max(10));
        (self.settings.suspicion as f64 * members.log10()) as Micros * self.health.factor()
    }

    /// Lifeguard, section IV-C: from the longest towards the least, as independent members confirm it. Words count only once
    /// this member's own check has failed.
    fn suspicion_span(&self, subject: u16, suspicion: &Suspicion) -> Micros {
        let least = self.least_suspicion();
        let able = MOST_TELLERS.min((self.alive() as usize).saturating_sub(2));
        if able == 0 {
            return least;
        }
        let accusers =
            if suspicion.own() { self.peers[usize::from(subject)].accusers.len().min(able) } else { 0 };
        let part = ((accusers + 1) as f64).ln() / ((able + 1) as f64).ln();
        let longest = least * LONGEST_SUSPICION;
        longest - ((longest - least) as f64 * part) as Micros
    }

    /// When the suspicion ends, if nothing changes; not before own checks have failed.
    fn certain_at(&self, subject: u16, suspicion: &Suspicion) -> Option<Micros> {
        if suspicion.own() && self.peers[usize::from(subject)].left_tellers.len() >= MOST_TELLERS {
            return Some(suspicion.began);
        }
        (suspicion.failures >= CHECKS).then(|| suspicion.began + self.suspicion_span(subject, suspicion))
    }

    pub(crate) fn next_probe_timeout(&self) -> Option<Micros> {
        let probes = self.probes.by_target.values().map(|probe| probe.due);
        let suspicions = self.suspicions.iter().filter_map(|(subject, suspicion)| {
            let check = (!self.probes.by_target.contains_key(subject)).then_some(suspicion.next_check);
            self.certain_at(*subject, suspicion).into_iter().chain(check).min()
        });
        probes.chain(suspicions).min()
    }

    /// Asks a member for a sign of life, unless that is being done; `full`: through others too.
    pub(crate) fn probe(&mut self, target: u16, full: bool) {
        self.probe_within(target, full, 0);
    }

    /// The same within so long, at random if there are many who may do it at the same time.
    pub(crate) fn probe_within(&mut self, target: u16, full: bool, within: Micros) {
        if self.probes.by_target.contains_key(&target) {
            return;
        }
        let wait = if within > 0 { self.chance.random_range(0..=within) } else { 0 };
        let nonce = self.probes.next_nonce();
        self.probes
            .by_target
            .insert(target, Probe { nonce, stage: Stage::Waiting, due: self.now + wait, full });
        if wait == 0 {
            self.next_stage(target);
        }
    }

    /// In how long members spread a check that all of them are moved to by the same word.
    pub(crate) fn spread(&self) -> Micros {
        if self.few() { self.settings.probe_timeout } else { self.least_suspicion() / 2 }
    }

    pub(crate) fn begin_suspicion(&mut self, subject: u16, own: bool) {
        let wait = if own { self.check_every() } else { self.chance.random_range(0..=self.spread()) };
        let suspicion = Suspicion { began: self.now, failures: u32::from(own), next_check: self.now + wait };
        self.suspicions.insert(subject, suspicion);
    }

    /// Between a check that failed and the next. Few members can afford to go on without a pause.
    fn check_every(&self) -> Micros {
        if self.few() { 0 } else { self.least_suspicion() / 2 }
    }

    pub(crate) fn run_probes(&mut self) {
        let due = |(target, probe): (&u16, &Probe)| (probe.due <= self.now).then_some(*target);
        let due: Vec<u16> = self.probes.by_target.iter().filter_map(due).collect();
        due.into_iter().for_each(|target| self.next_stage(target));
        let subjects: Vec<u16> = self.suspicions.keys().copied().collect();
        for subject in subjects {
            let suspicion = &self.suspicions[&subject];
            if self.certain_at(subject, suspicion).is_some_and(|at| at <= self.now) {
                self.declare_gone(subject);
            } else if suspicion.next_check <= self.now {
                self.probe(subject, true);
            }
        }
    }

    fn next_stage(&mut self, target: u16) {
        let patience = self.patience();
        let Some(mut probe) = self.probes.by_target.remove(&target) else { return };
        let ping = [Part::Ping { nonce: probe.nonce }];
        match probe.stage {
            Stage::Waiting => {
                probe.stage = Stage::Direct;
                probe.due = self.now + patience;
                self.send(To::One(target.into()), Purpose::Probe, &ping);
            }
            Stage::Direct if probe.full => {
                let able: Vec<u16> = self
                    .others()
                    .filter(|other| *other != target && self.peers[usize::from(*other)].state == State::Alive)
                    .collect();
                let helpers: Vec<u16> = able.sample(&mut self.chance, HELPERS).copied().collect();
                for helper in &helpers {
                    let ask = Part::Ask { nonce: probe.nonce, target };
                    self.send(To::One((*helper).into()), Purpose::Probe, &[ask]);
                }
                // Once more: one datagram lost is the likeliest cause.
                self.send(To::One(target.into()), Purpose::Probe, &ping);
                probe.stage = Stage::Indirect(helpers);
                probe.due = self.now + 2 * patience;
            }
            Stage::Direct | Stage::Indirect(_) => return self.gave_no_sign(target),
        }
        self.probes.by_target.insert(target, probe);
    }

    fn gave_no_sign(&mut self, target: u16) {
        let every = self.check_every();
        let (state, incarnation) =
            (self.peers[usize::from(target)].state, self.peers[usize::from(target)].incarnation);
        match state {
            State::Alive => self.suspect(target, true),
            State::Suspect => {
                let Some(suspicion) = self.suspicions.get_mut(&target) else { return };
                suspicion.failures += 1;
                suspicion.next_check = self.now + every;
                if suspicion.failures == 1 {
                    let word = Word::Suspect { own: true };
                    self.rumours.put(Rumour { subject: target, incarnation, word });
                }
            }
            State::Dead | State::Left => {}
        }
    }

    /// Each period: who was not heard lately is asked; if there are many, only the next of them, since others ask the others.
    pub(crate) fn ask_the_silent(&mut self) {
        let most = if self.few() { self.peers.len() } else { 1 };
        let (peers, spoke_since) = (&self.peers, self.now - self.settings.silence);
        let silent = |other: u16| {
            let peer = &peers[usize::from(other)];
            peer.state == State::Alive && peer.sign <= spoke_since
        };
        let doubted = self.others().filter(|other| peers[usize::from(*other)].to_ask && silent(*other));
        let mut targets: Vec<u16> = doubted.collect();
        targets.extend(self.asked.next(most, &mut self.chance, silent));
        for target in targets {
            self.probe(target, true);
        }
        if self.periods.is_multiple_of(GONE_EVERY) {
            let gone: Vec<u16> =
                self.others().filter(|other| !self.peers[usize::from(*other)].state.takes_part()).collect();
            if let Some(target) = gone.choose(&mut self.chance) {
                self.probe(*target, false);
            }
        }
    }

    pub(crate) fn asked_to_ping(&mut self, asker: u16, asker_nonce: u16, target: u16) {
        let now = self.now;
        self.probes.relays.retain(|_, relay| relay.until > now);
        let known = usize::from(target) < self.peers.len() && target != self.me && target != asker;
        if !known || self.probes.relays.len() >= MOST_RELAYS {
            return;
        }
        let nonce = self.probes.next_nonce();
        let until = now + 2 * self.settings.probe_timeout;
        self.probes.relays.insert(nonce, Relay { asker, asker_nonce, target, until });
        self.send(To::One(target.into()), Purpose::Probe, &[Part::Ping { nonce }]);
    }

    pub(crate) fn acknowledged(&mut self, from: u16, nonce: u16) {
        // The datagram itself was the sign; here only who asked for it.
        let now = self.now;
        let Some(relay) = self.probes.relays.get(&nonce).filter(|relay| relay.target == from) else { return };
        if relay.until > now {
            let vouch = Part::Vouch { nonce: relay.asker_nonce };
            self.send(To::One(relay.asker.into()), Purpose::Answer, &[vouch]);
        }
        self.probes.relays.remove(&nonce);
    }

    /// Counts only from who was asked.
    pub(crate) fn vouched(&mut self, helper: u16, nonce: u16) {
        let asked = |probe: &Probe| {
            probe.nonce == nonce
                && matches!(&probe.stage, Stage::Indirect(helpers) if helpers.contains(&helper))
        };
        let target = self.probes.by_target.iter().find(|(_, probe)| asked(probe)).map(|(target, _)| *target);
        if let Some(target) = target {
            self.gave_sign(target);
        }
    }
}
