//! The leader's book of leases, and the answer to a member that asks.

use crate::roles::lease_grants::GrantedLease;
use crate::state::Phase;
use crate::{LeaseGrant, LeaseRequest, ListRevision, Member, Message, Topic};

impl Member {
    /// A member asks for its leases.
    pub(crate) fn renewed(&mut self, from: u16, renew: LeaseRequest) {
        let Some(voter) = &self.voter else { return self.counts.dropped += 1 };
        let me = self.config.ordinal;
        let leads = self.leads_now();
        // What was heard long ago points nowhere.
        let lately = self.now < voter.heard_at.saturating_add(self.config.timing.election_timeout_max);
        let known = voter.leader.filter(|&leader| leader != me && lately);
        let committed = self.leader().filter(|_| leads).and_then(|leader| leader.committed.clone());
        let Some((revision, committed)) = committed else {
            if self.leader().is_none() {
                self.send(from, Message::LeaderHint { echo: renew.sent_at, leader: known });
            }
            return;
        };
        let now = self.now;
        let over = now + self.longer(self.config.timing.lease);
        let Some(leader) = self.leader_mut() else { return };
        let tenant = leader.leases.tenants.entry((from, renew.incarnation)).or_default();
        if tenant.last_sent.is_some_and(|last| renew.sent_at <= last) {
            return self.counts.dropped += 1;
        }
        tenant.last_sent = Some(renew.sent_at);
        tenant.seen_at = now;
        tenant.active = renew.active;
        tenant.ready = renew.ready;
        tenant.unsupported = renew.unsupported;
        tenant.list = renew.list;
        let mut versions = [None; 2];
        for topic in Topic::ALL {
            let at = topic.index();
            let (part, released) = (committed.topic(topic), renew.revoked_below[at]);
            // The member's word: it is done with these, and takes no grant of them that may be under way.
            tenant.leases[at].retain(|lease| lease.number >= released);
            let Some(version) = part.in_force else { continue };
            let leaving = part.pending.is_some_and(|pending| {
                pending.phase == Phase::Revoke && version.number < pending.version.compatible_from
            });
            if leaving || version.number < released {
                continue;
            }
            versions[at] = Some(version);
            match tenant.leases[at].iter_mut().find(|lease| lease.number == version.number) {
                Some(lease) => lease.over = over,
                None => {
                    tenant.leases[at].push(GrantedLease { number: version.number, hash: version.hash, over })
                }
            }
        }
        let pending = [0, 1].map(|at| committed.topics[at].pending);
        let list = self.leader().map_or_else(ListRevision::default, |leader| leader.list);
        let grant = LeaseGrant {
            incarnation: renew.incarnation,
            echo: renew.sent_at,
            revision,
            versions,
            pending,
            list,
        };
        self.send(from, Message::LeaseGrant(Box::new(grant)));
    }
}
