//! Broadcasts: news of members that is still to be passed on.

use crate::wire::Broadcast;
use std::collections::BTreeMap;

/// A broadcast is transmitted this many times the logarithm of the members (SWIM's lambda, memberlist's retransmit multiplier;
/// memberlist has 4, with which one of 50 members once heard too little, and took 22 s where the others took 10).
const RETRANSMIT_MULTIPLIER: u32 = 5;

#[derive(Clone, Copy, Debug)]
struct Queued {
    broadcast: Broadcast,
    transmissions: u32,
}

/// The newest broadcast on each member.
#[derive(Debug, Default)]
pub(crate) struct BroadcastQueue {
    by_subject: BTreeMap<u16, Queued>,
}

impl BroadcastQueue {
    /// Queues a broadcast in place of an older one on the same member.
    pub(crate) fn enqueue(&mut self, broadcast: Broadcast) {
        self.by_subject.insert(broadcast.subject, Queued { broadcast, transmissions: 0 });
    }

    /// Whether a broadcast on this member is queued.
    pub(crate) fn contains(&self, subject: u16) -> bool {
        self.by_subject.contains_key(&subject)
    }

    /// Removes the broadcast on this member: it no longer holds.
    pub(crate) fn remove(&mut self, subject: u16) {
        self.by_subject.remove(&subject);
    }

    /// The least transmitted first; none on the receiver itself, which hears of suspicions only, and from members that have
    /// them.
    pub(crate) fn pending_for(&self, receiver: Option<u16>) -> Vec<Broadcast> {
        let of_others = |queued: &&Queued| Some(queued.broadcast.subject) != receiver;
        let mut pending: Vec<&Queued> = self.by_subject.values().filter(of_others).collect();
        pending.sort_by_key(|queued| queued.transmissions);
        pending.into_iter().map(|queued| queued.broadcast).collect()
    }

    /// Notes that these were sent in this number of copies; one that reached the limit is done.
    pub(crate) fn mark_transmitted(&mut self, broadcasts: &[Broadcast], copies: u32, limit: u32) {
        for broadcast in broadcasts {
            let Some(queued) = self.by_subject.get_mut(&broadcast.subject) else { continue };
            queued.transmissions += copies;
            if queued.transmissions >= limit {
                self.by_subject.remove(&broadcast.subject);
            }
        }
    }
}

/// How often a broadcast is transmitted in a fleet of `members`, of whom `fan_out` get each digest. Among few each hears it
/// twice.
pub(crate) fn transmit_limit(members: usize, fan_out: usize) -> u32 {
    let logarithm = ((members + 1) as f64).log10().ceil() as u32;
    (RETRANSMIT_MULTIPLIER * logarithm).max(2 * fan_out.min(members.saturating_sub(1)) as u32)
}
