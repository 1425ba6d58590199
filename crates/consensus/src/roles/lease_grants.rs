//! The leader's book of leases, and the answer to a member that asks.

use crate::{ContentHash, ListRevision, Micros, Topic};
use std::collections::BTreeMap;

/// One lease granted: it is over at `over`, by this leader's clock, wherever the member's clock stands.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GrantedLease {
    pub number: u64,
    pub hash: ContentHash,
    pub over: Micros,
}

/// One life of a member.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tenant {
    pub last_sent: Option<Micros>,
    pub seen_at: Micros,
    pub active: [Option<u64>; 2],
    pub ready: [Option<u64>; 2],
    pub unsupported: [Option<u64>; 2],
    pub list: ListRevision,
    pub leases: [Vec<GrantedLease>; 2],
}

/// All leases this leader granted. A life of a member ends by time only: its process may just be stopped, whatever a newer
/// life of it says.
#[derive(Clone, Debug, Default)]
pub(crate) struct Leases {
    pub tenants: BTreeMap<(u16, u64), Tenant>,
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

    pub fn running(&self, topic: Topic, now: Micros) -> impl Iterator<Item = &GrantedLease> {
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
