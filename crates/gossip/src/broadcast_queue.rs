//! News of members that is still to be passed on.

use crate::wire::Broadcast;
use std::collections::BTreeMap;

/// News is told this many times the logarithm of the members (SWIM's lambda; memberlist has 4, with which one of 50 members
/// once heard too little, and took 22 s where the others took 10).
const LAMBDA: u32 = 5;

/// The newest word on each member, and how often it was told.
#[derive(Debug, Default)]
pub(crate) struct Broadcasts {
    by_subject: BTreeMap<u16, (Broadcast, u32)>,
}

impl Broadcasts {
    /// To be told from now on, in place of older word on the same member.
    pub(crate) fn put(&mut self, broadcast: Broadcast) {
        self.by_subject.insert(broadcast.subject, (broadcast, 0));
    }

    /// Whether there is word on this member to be told.
    pub(crate) fn holds(&self, subject: u16) -> bool {
        self.by_subject.contains_key(&subject)
    }

    /// What was said of this member no longer holds.
    pub(crate) fn withdraw(&mut self, subject: u16) {
        self.by_subject.remove(&subject);
    }

    /// The least told first; none on the receiver itself, which is told of accusations only, and by those who doubt it.
    pub(crate) fn in_order(&self, receiver: Option<u16>) -> Vec<Broadcast> {
        let mut all: Vec<(u32, Broadcast)> = self
            .by_subject
            .values()
            .filter(|(r, _)| Some(r.subject) != receiver)
            .map(|(r, told)| (*told, *r))
            .collect();
        all.sort_by_key(|(told, _)| *told);
        all.into_iter().map(|(_, broadcast)| broadcast).collect()
    }

    /// These went out, in so many copies.
    pub(crate) fn told(&mut self, broadcasts: &[Broadcast], copies: u32, limit: u32) {
        for broadcast in broadcasts {
            if let Some((_, told)) = self.by_subject.get_mut(&broadcast.subject) {
                *told += copies;
                if *told >= limit {
                    self.by_subject.remove(&broadcast.subject);
                }
            }
        }
    }
}

/// How often news is told among so many members, of whom so many get each digest. Among few each hears it twice.
pub(crate) fn tellings(members: usize, fan_out: usize) -> u32 {
    let logarithm = ((members + 1) as f64).log10().ceil() as u32;
    (LAMBDA * logarithm).max(2 * fan_out.min(members.saturating_sub(1)) as u32)
}
