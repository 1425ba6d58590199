//! Asking silent members for a sign of life, and how long one that gives none is only suspected.
//!
//! SWIM (Das, Gupta, Motivala 2002) with Lifeguard's health and suspicion (Dadgar, Phillips, Currey 2018), and one rule more:
//! a member is gone only if this one asked it itself, directly and through others, and got nothing.

use crate::peer::{MOST_TELLERS, State};
use crate::wire::{Section, To};
use crate::{Gossip, Micros, Purpose};
use rand::RngExt;
use rand::seq::IndexedRandom;
use std::collections::BTreeMap;

/// Members through which one that does not answer is asked (SWIM's and memberlist's k).
const HELPERS: usize = 3;
/// With more suspects than this a partition is likelier than so many deaths: one other is asked for each, and no suspect more
/// often than it must be, or asking all takes minutes.
const MANY: usize = 8;
/// Longer than any suspicion lasts.
const NOT_AGAIN: Micros = 1 << 50;
/// Without confirmation a suspicion lasts this many times the least. Lifeguard has 6; own checks do a part of that here.
const LONGEST_SUSPICION: i64 = 4;
/// Checks of its own that must fail before a member is gone: one at 30% loss fails 1 of 9 times though all is well. Of one
/// that says farewell, so many members tell that nothing more is waited for.
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

    /// What made this member ask is void, if it has not asked yet.
    pub(crate) fn end_unasked(&mut self, target: u16) {
        if self.by_target.get(&target).is_some_and(|probe| matches!(probe.stage, Stage::Waiting)) {
            self.by_target.remove(&target);
        }
    }

    pub(crate) fn running(&self, target: u16) -> bool {
        self.by_target.contains_key(&target)
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
    /// Own checks that failed, and when the last did.
    failures: u32,
    failed_at: Micros,
    next_check: Micros,
}

/// What is to be done about a suspect, and when.
enum Due {
    /// Ask it.
    Check(Micros),
    /// Believe that it is gone.
    Gone(Micros),
}

impl Suspicion {
    pub(crate) fn put_off(&mut self, longer: Micros) {
        self.began += longer;
        self.failed_at += longer;
        self.next_check += longer;
    }
}

/// How long suspicions last: Lifeguard, section IV-C.
struct Spans {
    least: Micros,
    /// Members that could confirm one.
    able: usize,
}

impl Spans {
    /// From the longest towards the least, as so many independent members confirm what this one's own checks found.
    fn with(&self, accusers: usize) -> Micros {
        if self.able == 0 {
            return self.least;
        }
        let part = ((accusers.min(self.able) + 1) as f64).ln() / ((self.able + 1) as f64).ln();
        let longest = self.least * LONGEST_SUSPICION;
        longest - ((longest - self.least) as f64 * part) as Micros
    }
}

impl Gossip {
    /// How long an answer may take, as far as this member trusts its own ears.
    fn patience(&self) -> Micros {
        self.settings.probe_timeout * self.health.factor()
    }

    /// The span of a suspicion from what it depends on for all suspects alike.
    fn spans(&self) -> Spans {
        let able = MOST_TELLERS.min((self.alive() as usize).saturating_sub(2));
        Spans { least: self.least_suspicion(), able }
    }

    /// The least that a suspicion lasts: grows with the logarithm of the members, as the time does in which a contradiction
    /// gets round.
    fn least_suspicion(&self) -> Micros {
        let members = f64::from(self.alive().max(10));
        (self.settings.suspicion as f64 * members.log10()) as Micros * self.health.factor()
    }

    /// What comes next of a suspicion, and when.
    fn due(&self, subject: u16, suspicion: &Suspicion, spans: &Spans) -> Due {
        let peer = &self.peers[usize::from(subject)];
        let span = if peer.left_tellers.len() < MOST_TELLERS { spans.with(peer.accusers.len()) } else { 0 };
        let end = (suspicion.began + span).max(self.now);
        if suspicion.failures < CHECKS || suspicion.next_check < end {
            Due::Check(suspicion.next_check)
        } else if suspicion.failed_at + spans.least < end {
            // What failed long ago proves nothing: a partition may have healed since.
            Due::Check(end)
        } else {
            Due::Gone(end)
        }
    }

    pub(crate) fn next_probe_timeout(&self) -> Option<Micros> {
        let probes = self.probes.by_target.values().map(|probe| probe.due);
        let spans = self.spans();
        let suspicions = self.suspicions.iter().filter_map(|(subject, suspicion)| {
            match self.due(*subject, suspicion, &spans) {
                Due::Check(_) if self.probes.running(*subject) => None,
                Due::Check(at) | Due::Gone(at) => Some(at),
            }
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

    /// In how long members spread a check that all of them are moved to by the same word, so that not all ask at once.
    pub(crate) fn spread(&self) -> Micros {
        self.settings.probe_timeout * if self.few() { 1 } else { 2 }
    }

    /// After a first check that failed.
    pub(crate) fn begin_suspicion(&mut self, subject: u16) {
        let suspicion = Suspicion {
            began: self.now,
            failures: 1,
            failed_at: self.now,
            next_check: self.now + self.check_every(),
        };
        self.suspicions.insert(subject, suspicion);
    }

    /// Between a check that failed and the next. Few members can afford to go on without a pause.
    fn check_every(&self) -> Micros {
        if self.few() { 0 } else { self.settings.period }
    }

    pub(crate) fn run_probes(&mut self) {
        let due = |(target, probe): (&u16, &Probe)| (probe.due <= self.now).then_some(*target);
        let due: Vec<u16> = self.probes.by_target.iter().filter_map(due).collect();
        due.into_iter().for_each(|target| self.next_stage(target));
        let spans = self.spans();
        let due =
            |(subject, suspicion): (&u16, &Suspicion)| (*subject, self.due(*subject, suspicion, &spans));
        let due: Vec<(u16, Due)> = self.suspicions.iter().map(due).collect();
        for (subject, due) in due {
            match due {
                Due::Gone(at) if at <= self.now => self.declare_gone(subject),
                Due::Check(at) if at <= self.now => self.probe(subject, true),
                _ => {}
            }
        }
    }

    fn next_stage(&mut self, target: u16) {
        let patience = self.patience();
        let Some(mut probe) = self.probes.by_target.remove(&target) else { return };
        let ping = [Section::Ping { nonce: probe.nonce }];
        match probe.stage {
            Stage::Waiting => {
                if self.send(To::One(target.into()), Purpose::Probe, &ping) {
                    probe.stage = Stage::Direct;
                    probe.due = self.now + patience;
                } else {
                    probe.due = self.later();
                }
            }
            Stage::Direct if probe.full => match self.ask_others(target, probe.nonce) {
                Some(helpers) => {
                    probe.stage = Stage::Indirect(helpers);
                    probe.due = self.now + 2 * patience;
                }
                None => probe.due = self.later(),
            },
            Stage::Direct | Stage::Indirect(_) => return self.gave_no_sign(target),
        }
        self.probes.by_target.insert(target, probe);
    }

    /// When to try again what the ceiling held back. It asked nobody, so it must not count as unanswered: among hundreds that
    /// made new suspects faster than they could contradict.
    fn later(&mut self) -> Micros {
        let period = self.settings.period;
        self.now + self.chance.random_range(period / 2..=period)
    }

    /// Asks others to ask it, and once more itself, for one datagram lost is the likeliest cause; whom. `None`: the ceiling
    /// has no room for that.
    fn ask_others(&mut self, target: u16, nonce: u16) -> Option<Vec<u16>> {
        let able: Vec<u16> = self
            .others()
            .filter(|other| *other != target && self.peers[usize::from(*other)].state == State::Alive)
            .collect();
        let most = if self.suspicions.len() > MANY { 1 } else { HELPERS };
        let mut helpers: Vec<u16> = able.sample(&mut self.chance, most).copied().collect();
        // All or nothing: half of it, tried again and again, would leave no room for anything.
        if !self.ceiling.has_room(self.now, Purpose::Probe, helpers.len() as u64 + 1, 0) {
            self.counts.withhold(Purpose::Probe);
            return None;
        }
        helpers.retain(|helper| {
            self.send(To::One((*helper).into()), Purpose::Probe, &[Section::IndirectPing { nonce, target }])
        });
        self.send(To::One(target.into()), Purpose::Probe, &[Section::Ping { nonce }]);
        (able.is_empty() || !helpers.is_empty()).then_some(helpers)
    }

    fn gave_no_sign(&mut self, target: u16) {
        match self.peers[usize::from(target)].state {
            State::Alive => self.suspect(target),
            State::Suspect => {
                let (few, many) = (self.few(), self.suspicions.len() > MANY);
                let (every, seldom) = (self.check_every(), self.least_suspicion() / 2);
                let Some(suspicion) = self.suspicions.get_mut(&target) else { return };
                suspicion.failures += 1;
                suspicion.failed_at = self.now;
                // Enough of them: what may be asked is for others, of whom many may be doubted at once.
                let wait = match suspicion.failures {
                    ..CHECKS => every,
                    _ if few => every,
                    _ if many => NOT_AGAIN,
                    _ => seldom,
                };
                suspicion.next_check = self.now + wait;
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
        let doubted =
            |other: &u16| peers[usize::from(*other)].to_ask && silent(*other) && self.may_ask_by_word(*other);
        let doubted: Vec<u16> = self.others().filter(doubted).collect();
        for target in self.asked.next(most, &mut self.chance, silent) {
            self.probe(target, true);
        }
        for target in doubted {
            let now = self.now;
            self.peer_mut(target).asked_by_word = Some(now);
            self.probe(target, true);
        }
        if self.periods.is_multiple_of(GONE_EVERY) {
            let gone: Vec<u16> =
                self.others().filter(|other| !self.peers[usize::from(*other)].state.is_active()).collect();
            if let Some(target) = gone.choose(&mut self.chance) {
                self.probe(*target, false);
            }
        }
    }

    pub(crate) fn asked_to_ping(&mut self, asker: u16, asker_nonce: u16, target: u16) {
        let now = self.now;
        self.probes.relays.retain(|_, relay| relay.until > now);
        let known = usize::from(target) < self.peers.len() && target != self.me && target != asker;
        if known {
            // It asks because the target did not answer it.
            self.peer_mut(target).accused_by(asker);
        }
        // One that doubts it too asks for itself: in a partition it would ask for everybody, and get to nothing else.
        let in_vain = self.suspicions.contains_key(&target);
        if !known || in_vain || self.probes.relays.len() >= MOST_RELAYS {
            return;
        }
        let nonce = self.probes.next_nonce();
        let until = now + 2 * self.settings.probe_timeout;
        self.probes.relays.insert(nonce, Relay { asker, asker_nonce, target, until });
        self.send(To::One(target.into()), Purpose::Answer, &[Section::Ping { nonce }]);
    }

    pub(crate) fn acknowledged(&mut self, from: u16, nonce: u16) {
        // The datagram itself was the sign; here only who asked for it.
        let now = self.now;
        let Some(relay) = self.probes.relays.get(&nonce).filter(|relay| relay.target == from) else { return };
        if relay.until > now {
            let vouch = Section::IndirectAck { nonce: relay.asker_nonce };
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
