//! Pending probes: this member's own probes, and the pings that it sends for others (SWIM's indirect pings).

use crate::Micros;
use std::collections::BTreeMap;

/// Maximum pending pings on behalf of others, which bounds the memory that a flood of requests can take.
const MAX_RELAYS: usize = 64;

/// The stage of a probe.
#[derive(Debug)]
pub(crate) enum ProbeStage {
    /// The probe is delayed, so that not all members probe the target at once. Nothing was sent yet.
    Waiting,
    /// A ping was sent to the target.
    Direct,
    /// These members were asked to ping the target.
    Indirect(Vec<u16>),
}

/// Whether a member that does not answer a direct ping is also probed through other members.
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

/// All probes and relayed pings that wait for an answer.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    last_nonce: u16,
    by_target: BTreeMap<u16, Probe>,
    /// Pings on behalf of others, by the nonce of the ping that this member sent.
    relays: BTreeMap<u16, Relay>,
}

impl Probes {
    pub(crate) fn next_nonce(&mut self) -> u16 {
        self.last_nonce = self.last_nonce.wrapping_add(1);
        self.last_nonce
    }

    /// Adds a probe, or returns one that [`Probes::remove`] took out.
    pub(crate) fn insert(&mut self, target: u16, probe: Probe) {
        self.by_target.insert(target, probe);
    }

    /// Removes a probe, either to advance it to its next stage or because the target is known to be alive.
    pub(crate) fn remove(&mut self, target: u16) -> Option<Probe> {
        self.by_target.remove(&target)
    }

    /// Removes a probe that has sent nothing yet, because the report that prompted it no longer holds.
    pub(crate) fn cancel_waiting(&mut self, target: u16) {
        if self.by_target.get(&target).is_some_and(|probe| matches!(probe.stage, ProbeStage::Waiting)) {
            self.by_target.remove(&target);
        }
    }

    pub(crate) fn is_probing(&self, target: u16) -> bool {
        self.by_target.contains_key(&target)
    }

    /// Returns the targets of the probes whose next stage is due.
    pub(crate) fn due(&self, now: Micros) -> Vec<u16> {
        let is_due = |(target, probe): (&u16, &Probe)| (probe.due <= now).then_some(*target);
        self.by_target.iter().filter_map(is_due).collect()
    }

    /// Returns the earliest time when the next stage of a probe is due.
    pub(crate) fn next_due(&self) -> Option<Micros> {
        self.by_target.values().map(|probe| probe.due).min()
    }

    /// Returns the member that this helper was asked to ping with this nonce.
    pub(crate) fn target_of_indirect(&self, helper: u16, nonce: u16) -> Option<u16> {
        let is_asked = |probe: &Probe| {
            probe.nonce == nonce
                && matches!(&probe.stage, ProbeStage::Indirect(helpers) if helpers.contains(&helper))
        };
        self.by_target.iter().find(|(_, probe)| is_asked(probe)).map(|(target, _)| *target)
    }

    /// Removes pings on behalf of others that were not answered in time.
    pub(crate) fn expire_relays(&mut self, now: Micros) {
        self.relays.retain(|_, relay| relay.expires_at > now);
    }

    pub(crate) fn has_room_for_relay(&self) -> bool {
        self.relays.len() < MAX_RELAYS
    }

    /// Adds a ping on another member's behalf and returns its nonce.
    pub(crate) fn add_relay(&mut self, relay: Relay) -> u16 {
        let nonce = self.next_nonce();
        self.relays.insert(nonce, relay);
        nonce
    }

    /// Removes and returns the ping on another member's behalf that `target` answered with this nonce.
    pub(crate) fn remove_relay(&mut self, target: u16, nonce: u16) -> Option<Relay> {
        self.relays.get(&nonce).filter(|relay| relay.target == target)?;
        self.relays.remove(&nonce)
    }

    /// Removes the probes and relayed pings of members whose ordinals are no longer configured.
    pub(crate) fn retain_below(&mut self, members: u16) {
        self.by_target.retain(|target, _| *target < members);
        self.relays.retain(|_, relay| relay.requester < members && relay.target < members);
    }

    /// Postpones the next stage of all probes by this duration.
    pub(crate) fn postpone(&mut self, by: Micros) {
        self.by_target.values_mut().for_each(|probe| probe.due += by);
    }
}
