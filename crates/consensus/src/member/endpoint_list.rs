//! How far members are with the list of members that discovery tells them. A member that is told less than others hears so.

use crate::{ListRevision, Member, Output};

impl Member {
    /// Discovery told of a list. One with a lower revision than before is claimed to be of the next epoch; whether it is,
    /// the leader finds by how many say so.
    pub(crate) fn list_seen(&mut self, revision: u64) {
        let mine = &mut self.lists.mine;
        if revision < mine.revision {
            mine.epoch += 1;
        }
        mine.revision = revision;
    }

    /// The leader said what others were told.
    pub(crate) fn list_heard(&mut self, newest: ListRevision) {
        let lists = &mut self.lists;
        if newest.epoch > lists.mine.epoch && newest.revision >= lists.mine.revision {
            // Started since, or told less than the new epoch has: it can't have anything of an older epoch to fall back from.
            lists.mine.epoch = newest.epoch;
        }
        if newest > lists.mine && newest > lists.behind {
            lists.behind = newest;
            self.out.push_back(Output::ListOutdated { revision: newest.revision });
        }
    }

    /// Leader: the greatest told. A new epoch counts when more than half of the live members are in it or a later one.
    pub(crate) fn list_told(&mut self) {
        let (now, lease) = (self.now, self.longer(self.config.timing.lease));
        let Some(leader) = self.leader_mut() else { return };
        let mut marks: Vec<ListRevision> =
            leader.leases.live(now, lease).map(|(_, tenant)| tenant.list).collect();
        marks.sort_unstable();
        let Some(middle) = marks.get(marks.len().saturating_sub(1) / 2) else { return };
        let epoch = middle.epoch.max(leader.list.epoch);
        if let Some(&greatest) = marks.iter().rev().find(|mark| mark.epoch <= epoch) {
            leader.list = leader.list.max(greatest);
        }
    }
}
