//! Comparison of the members' endpoint lists: a member whose list is older than that of another member is notified.

use crate::{ListRevision, Member, Output};

impl Member {
    /// Handles an endpoint list from discovery. If the revision is below the previous one, this member assumes a new
    /// epoch; the leader accepts the epoch once enough members are in it.
    pub(super) fn list_received(&mut self, revision: u64) {
        let own = &mut self.lists.own;
        if revision < own.revision {
            own.epoch += 1;
        }
        own.revision = revision;
    }

    /// Handles the leader's report of the newest list that members have.
    pub(super) fn newest_list_reported(&mut self, newest: ListRevision) {
        let lists = &mut self.lists;
        if newest.epoch > lists.own.epoch && newest.revision >= lists.own.revision {
            // The member's own list can't belong to an older epoch. The member didn't count the new epoch because it
            // started later, or because the first revision of the new epoch wasn't below its previous one.
            lists.own.epoch = newest.epoch;
        }
        if newest > lists.own && newest > lists.notified {
            lists.notified = newest;
            self.outputs.push_back(Output::ListOutdated { revision: newest.revision });
        }
    }

    /// Leader: finds the newest list of the live members. A new epoch is accepted once more than half of them are in it
    /// or in a later one.
    pub(super) fn update_newest_list(&mut self) {
        let (now, lease) = (self.now, self.grant_duration());
        let Some(leader) = self.leader_mut() else { return };
        let mut lists: Vec<ListRevision> =
            leader.grants.live(now, lease).map(|(_, member)| member.list).collect();
        lists.sort_unstable();
        let Some(median) = lists.get(lists.len().saturating_sub(1) / 2) else { return };
        let epoch = median.epoch.max(leader.newest_list.epoch);
        if let Some(&newest) = lists.iter().rev().find(|list| list.epoch <= epoch) {
            leader.newest_list = leader.newest_list.max(newest);
        }
    }
}
