//! The queue of broadcasts: changes of members' states that are still to be transmitted to other members.

use crate::wire::Broadcast;
use std::collections::BTreeMap;

/// A broadcast is transmitted this many times the logarithm of the number of members (SWIM's lambda, memberlist's retransmit
/// multiplier). With memberlist's 4, one of 50 members missed reports and took 22 s to learn of a death instead of 10 s.
const RETRANSMIT_MULTIPLIER: u32 = 5;

#[derive(Clone, Copy, Debug)]
struct Queued {
    broadcast: Broadcast,
    transmissions: u32,
}

/// Holds the newest broadcast about each member.
#[derive(Debug, Default)]
pub(crate) struct BroadcastQueue {
    by_subject: BTreeMap<u16, Queued>,
}

impl BroadcastQueue {
    /// Queues a broadcast and replaces an older one about the same member.
    pub(crate) fn enqueue(&mut self, broadcast: Broadcast) {
        self.by_subject.insert(broadcast.subject, Queued { broadcast, transmissions: 0 });
    }

    /// Returns whether a broadcast about this member is queued.
    pub(crate) fn contains(&self, subject: u16) -> bool {
        self.by_subject.contains_key(&subject)
    }

    /// Removes the broadcast about this member because it no longer holds.
    pub(crate) fn remove(&mut self, subject: u16) {
        self.by_subject.remove(&subject);
    }

    /// Returns the queued broadcasts for this receiver, the least transmitted first. Broadcasts about the receiver itself are
    /// left out: it is told only of suspicions, and the members that suspect it do that themselves.
    pub(crate) fn pending_for(&self, receiver: Option<u16>) -> Vec<Broadcast> {
        let of_others = |queued: &&Queued| Some(queued.broadcast.subject) != receiver;
        let mut pending: Vec<&Queued> = self.by_subject.values().filter(of_others).collect();
        pending.sort_by_key(|queued| queued.transmissions);
        pending.into_iter().map(|queued| queued.broadcast).collect()
    }

    /// Records that these broadcasts were sent in `copies` copies, and removes those that reached `limit` transmissions.
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

/// Returns how often a broadcast is transmitted in a fleet of `members`, where each digest goes to `fan_out` of them. In a
/// small fleet each member receives it twice.
pub(crate) fn transmit_limit(members: usize, fan_out: usize) -> u32 {
    let logarithm = ((members + 1) as f64).log10().ceil() as u32;
    (RETRANSMIT_MULTIPLIER * logarithm).max(2 * fan_out.min(members.saturating_sub(1)) as u32)
}
