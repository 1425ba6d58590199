//! Probes that wait for an answer: this member's own, and those that it makes for others (SWIM's indirect pings).

use crate::Micros;
use std::collections::BTreeMap;

/// Indirect pings on others' behalf that wait for an answer: a flood of them takes no more memory.
const MAX_RELAYS: usize = 64;

/// How far a probe has come.
#[derive(Debug)]
pub(crate) enum ProbeStage {
    /// Nothing sent yet, so that not all members probe at once.
    Waiting,
    /// A ping was sent.
    Direct,
    /// These members were asked to ping it.
    Indirect(Vec<u16>),
}

/// Whether a member that does not answer is probed through others too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeKind {
    DirectOnly,
    WithIndirect,
}

/// A probe of one member.
#[derive(Debug)]
pub(crate) struct Probe {
    pub(crate) nonce: u16,
    pub(crate) stage: ProbeStage,
    /// When the next stage begins.
    pub(crate) due: Micros,
    pub(crate) kind: ProbeKind,
}

/// A ping on another member's behalf.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) requester: u16,
    pub(crate) requester_nonce: u16,
    pub(crate) target: u16,
    pub(crate) expires_at: Micros,
}

/// All that wait for an answer.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    last_nonce: u16,
    by_target: BTreeMap<u16, Probe>,
    /// By the nonce of this member's ping.
    relays: BTreeMap<u16, Relay>,
}

impl Probes {
    pub(crate) fn next_nonce(&mut self) -> u16 {
        self.last_nonce = self.last_nonce.wrapping_add(1);
        self.last_nonce
    }

    /// Adds a probe, or puts it back with its next stage.
    pub(crate) fn insert(&mut self, target: u16, probe: Probe) {
        self.by_target.insert(target, probe);
    }

    /// Takes a probe out, to go on to its next stage or because the member is known to be alive.
    pub(crate) fn remove(&mut self, target: u16) -> Option<Probe> {
        self.by_target.remove(&target)
    }

    /// Removes a probe that has sent nothing yet: its reason is void.
    pub(crate) fn cancel_waiting(&mut self, target: u16) {
        if self.by_target.get(&target).is_some_and(|probe| matches!(probe.stage, ProbeStage::Waiting)) {
            self.by_target.remove(&target);
        }
    }

    pub(crate) fn is_probing(&self, target: u16) -> bool {
        self.by_target.contains_key(&target)
    }

    /// The probes whose next stage is due.
    pub(crate) fn due(&self, now: Micros) -> Vec<u16> {
        let is_due = |(target, probe): (&u16, &Probe)| (probe.due <= now).then_some(*target);
        self.by_target.iter().filter_map(is_due).collect()
    }

    /// When the first next stage is due.
    pub(crate) fn next_due(&self) -> Option<Micros> {
        self.by_target.values().map(|probe| probe.due).min()
    }

    /// The member that this helper was asked to ping under this nonce.
    pub(crate) fn target_of_indirect(&self, helper: u16, nonce: u16) -> Option<u16> {
        let is_asked = |probe: &Probe| {
            probe.nonce == nonce
                && matches!(&probe.stage, ProbeStage::Indirect(helpers) if helpers.contains(&helper))
        };
        self.by_target.iter().find(|(_, probe)| is_asked(probe)).map(|(target, _)| *target)
    }

    /// Forgets pings on others' behalf that were not answered in time.
    pub(crate) fn expire_relays(&mut self, now: Micros) {
        self.relays.retain(|_, relay| relay.expires_at > now);
    }

    pub(crate) fn has_room_for_relay(&self) -> bool {
        self.relays.len() < MAX_RELAYS
    }

    /// Adds a ping on another's behalf; its nonce.
    pub(crate) fn add_relay(&mut self, relay: Relay) -> u16 {
        let nonce = self.next_nonce();
        self.relays.insert(nonce, relay);
        nonce
    }

    /// Takes out the ping on another's behalf that this member's answer is for.
    pub(crate) fn remove_relay(&mut self, target: u16, nonce: u16) -> Option<Relay> {
        self.relays.get(&nonce).filter(|relay| relay.target == target)?;
        self.relays.remove(&nonce)
    }

    /// Forgets members that there are no more.
    pub(crate) fn retain_below(&mut self, members: u16) {
        self.by_target.retain(|target, _| *target < members);
        self.relays.retain(|_, relay| relay.requester < members && relay.target < members);
    }

    /// Gives all targets this much more time.
    pub(crate) fn postpone(&mut self, by: Micros) {
        self.by_target.values_mut().for_each(|probe| probe.due += by);
    }
}
