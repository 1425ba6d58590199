//! The leases that a leader granted. Grows with the members' live incarnations.

use crate::{ContentHash, LeaseRequest, ListRevision, Micros, Topic, Version};
use std::collections::BTreeMap;

/// One granted lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GrantedLease {
    pub number: u64,
    pub hash: ContentHash,
    /// By the leader's clock; the member's lease ended before, wherever its clock stands.
    pub expires_at: Micros,
}

/// One incarnation of a member, as its last lease request described it.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberLeases {
    /// The member's clock in its last request.
    pub last_sent: Option<Micros>,
    /// The leader's clock when that request arrived.
    pub seen_at: Micros,
    /// The numbers the member acts on, by topic.
    pub active: [Option<u64>; 2],
    /// The pending numbers it is ready to run.
    pub ready: [Option<u64>; 2],
    /// The pending numbers it cannot run.
    pub unsupported: [Option<u64>; 2],
    pub list: ListRevision,
    pub leases: [Vec<GrantedLease>; 2],
}

impl MemberLeases {
    /// Notes what a newer request says of the member.
    pub fn update(&mut self, now: Micros, request: &LeaseRequest) {
        self.last_sent = Some(request.sent_at);
        self.seen_at = now;
        self.active = request.active;
        self.ready = request.ready;
        self.unsupported = request.unsupported;
        self.list = request.list;
    }

    /// Extends the lease on this version, or adds one.
    pub fn extend(&mut self, topic: Topic, version: &Version, expires_at: Micros) {
        let leases = &mut self.leases[topic.index()];
        match leases.iter_mut().find(|lease| lease.number == version.number) {
            Some(lease) => lease.expires_at = expires_at,
            None => leases.push(GrantedLease { number: version.number, hash: version.hash, expires_at }),
        }
    }
}

/// All leases that this leader granted, by member and incarnation. An incarnation ends by time only: its process may just
/// be stopped, whatever a newer one of the same member says.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseGrants {
    pub members: BTreeMap<(u16, u64), MemberLeases>,
}

impl LeaseGrants {
    /// Incarnations whose last request is younger than a lease.
    pub fn live(&self, now: Micros, lease: Micros) -> impl Iterator<Item = (u16, &MemberLeases)> {
        self.members
            .iter()
            .filter(move |(_, member)| now < member.seen_at + lease)
            .map(|(&(ordinal, _), member)| (ordinal, member))
    }

    /// When the last unexpired lease on a version below `number` expires; `None`: there is none.
    pub fn last_expiry_below(&self, topic: Topic, number: u64, now: Micros) -> Option<Micros> {
        self.unexpired(topic, now).filter(|lease| lease.number < number).map(|lease| lease.expires_at).max()
    }

    /// Versions with an unexpired lease, in the order of their numbers.
    pub fn leased_versions(&self, topic: Topic, now: Micros) -> BTreeMap<u64, ContentHash> {
        self.unexpired(topic, now).map(|lease| (lease.number, lease.hash)).collect()
    }

    fn unexpired(&self, topic: Topic, now: Micros) -> impl Iterator<Item = &GrantedLease> {
        self.members
            .values()
            .flat_map(move |member| &member.leases[topic.index()])
            .filter(move |lease| now < lease.expires_at)
    }

    /// Live members, counted by the number they act on; 0 stands for none.
    pub fn members_by_version(&self, topic: Topic, now: Micros, lease: Micros) -> Vec<(u64, u32)> {
        let mut counts = BTreeMap::new();
        for (_, member) in self.live(now, lease) {
            *counts.entry(member.active[topic.index()].unwrap_or(0)).or_insert(0) += 1;
        }
        counts.into_iter().collect()
    }

    /// Removes expired leases, and incarnations that are neither live nor have a lease.
    pub fn remove_expired(&mut self, now: Micros, lease: Micros) {
        self.members.retain(|_, member| {
            for leases in &mut member.leases {
                leases.retain(|lease| now < lease.expires_at);
            }
            now < member.seen_at + lease || member.leases.iter().any(|leases| !leases.is_empty())
        });
    }
}
