//! The leader's book of leases, and the answer to a member that asks.

use crate::lists::ListRevision;
use crate::state::Phase;
use crate::{ContentHash, LeaseGrant, LeaseRequest, Member, Message, Micros, Topic};
use std::collections::BTreeMap;

/// One lease granted: it is over at `over`, by this leader's clock, wherever the member's clock stands.
#[derive(Clone, Copy, Debug)]
struct GrantedLease {
    number: u64,
    hash: ContentHash,
    over: Micros,
}

/// One life of a member.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tenant {
    last_sent: Option<Micros>,
    seen_at: Micros,
    pub active: [Option<u64>; 2],
    pub ready: [Option<u64>; 2],
    pub unsupported: [Option<u64>; 2],
    pub list: ListRevision,
    leases: [Vec<GrantedLease>; 2],
}

/// All leases this leader granted. A life of a member ends by time only: its process may just be stopped, whatever a newer
/// life of it says.
#[derive(Clone, Debug, Default)]
pub(crate) struct Leases {
    tenants: BTreeMap<(u16, u64), Tenant>,
}

impl Leases {
    /// Lives that asked within the last lease's time.
    pub fn live(&self, now: Micros, lease: Micros) -> impl Iterator<Item = (u16, &Tenant)> {
        self.tenants
            .iter()
            .filter(move |(_, tenant)| now < tenant.seen_at + lease)
            .map(|(&(member, _), tenant)| (member, tenant))
    }

    /// When the last lease on a version below `number` is over, if one isn't.
    pub fn last_below(&self, topic: Topic, number: u64, now: Micros) -> Option<Micros> {
        self.running(topic, now).filter(|lease| lease.number < number).map(|lease| lease.over).max()
    }

    /// Versions under lease, least first.
    pub fn leased(&self, topic: Topic, now: Micros) -> BTreeMap<u64, ContentHash> {
        self.running(topic, now).map(|lease| (lease.number, lease.hash)).collect()
    }

    fn running(&self, topic: Topic, now: Micros) -> impl Iterator<Item = &GrantedLease> {
        self.tenants
            .values()
            .flat_map(move |tenant| &tenant.leases[topic.index()])
            .filter(move |lease| now < lease.over)
    }

    /// Live members by the number they hold.
    pub fn members_by_version(&self, topic: Topic, now: Micros, lease: Micros) -> Vec<(u64, u32)> {
        let mut counts = BTreeMap::new();
        for (_, tenant) in self.live(now, lease) {
            *counts.entry(tenant.active[topic.index()].unwrap_or(0)).or_insert(0) += 1;
        }
        counts.into_iter().collect()
    }

    pub fn forget(&mut self, now: Micros, lease: Micros) {
        self.tenants.retain(|_, tenant| {
            for leases in &mut tenant.leases {
                leases.retain(|lease| now < lease.over);
            }
            now < tenant.seen_at + lease || tenant.leases.iter().any(|leases| !leases.is_empty())
        });
    }
}

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
