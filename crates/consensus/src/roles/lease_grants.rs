//! The leases that a leader granted. The size of this data is proportional to the number of live incarnations.

use crate::{ContentHash, LeaseRequest, ListRevision, Micros, Topic, Version};
use std::collections::BTreeMap;

/// One granted lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GrantedLease {
    pub number: u64,
    pub hash: ContentHash,
    /// When the lease expires by the leader's clock. The lease has always ended earlier by the member's clock.
    pub expires_at: Micros,
}

/// One incarnation of a member, as described by its last lease request.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberLeases {
    /// The `sent_at` of the last request, by the member's clock.
    pub last_sent: Option<Micros>,
    /// When the last request arrived, by the leader's clock.
    pub last_request_at: Micros,
    /// For each topic, the number of the version that the member acts on.
    pub active: [Option<u64>; 2],
    /// For each topic, the number of the pending version if the member is ready to run it.
    pub ready: [Option<u64>; 2],
    /// For each topic, the number of the pending version if the member can't run it.
    pub unsupported: [Option<u64>; 2],
    pub list: ListRevision,
    pub leases: [Vec<GrantedLease>; 2],
}

impl MemberLeases {
    /// Updates the data of the member from a newer request.
    pub fn update(&mut self, now: Micros, request: &LeaseRequest) {
        self.last_sent = Some(request.sent_at);
        self.last_request_at = now;
        self.active = request.active;
        self.ready = request.ready;
        self.unsupported = request.unsupported;
        self.list = request.list;
    }

    /// Extends the lease on this version, or adds a lease if there is none.
    pub fn extend(&mut self, topic: Topic, version: &Version, expires_at: Micros) {
        let leases = &mut self.leases[topic.index()];
        match leases.iter_mut().find(|lease| lease.number == version.number) {
            Some(lease) => lease.expires_at = expires_at,
            None => leases.push(GrantedLease { number: version.number, hash: version.hash, expires_at }),
        }
    }
}

/// All leases that this leader granted, by member and incarnation. An incarnation ends only when its leases expire and
/// it sends no more requests. A request of a newer incarnation of the same member doesn't end it, because the older
/// process may only be stopped and may resume.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseGrants {
    pub members: BTreeMap<(u16, u64), MemberLeases>,
}

impl LeaseGrants {
    /// Returns the incarnations whose last request is not older than the duration of a lease, with their members'
    /// ordinals.
    pub fn live(&self, now: Micros, lease: Micros) -> impl Iterator<Item = (u16, &MemberLeases)> {
        self.members
            .iter()
            .filter(move |(_, member)| now < member.last_request_at + lease)
            .map(|(&(ordinal, _), member)| (ordinal, member))
    }

    /// Returns when the last unexpired lease on a version below `number` expires. `None` means that there is no such
    /// lease.
    pub fn last_expiry_below(&self, topic: Topic, number: u64, now: Micros) -> Option<Micros> {
        self.unexpired(topic, now).filter(|lease| lease.number < number).map(|lease| lease.expires_at).max()
    }

    /// Returns the versions that have an unexpired lease, in ascending order of their numbers.
    pub fn leased_versions(&self, topic: Topic, now: Micros) -> BTreeMap<u64, ContentHash> {
        self.unexpired(topic, now).map(|lease| (lease.number, lease.hash)).collect()
    }

    fn unexpired(&self, topic: Topic, now: Micros) -> impl Iterator<Item = &GrantedLease> {
        self.members
            .values()
            .flat_map(move |member| &member.leases[topic.index()])
            .filter(move |lease| now < lease.expires_at)
    }

    /// Returns the number of live members by the version number that they act on. 0 stands for no version.
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
            now < member.last_request_at + lease || member.leases.iter().any(|leases| !leases.is_empty())
        });
    }
}
