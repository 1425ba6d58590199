//! An oracle that checks the invariants at every instant, with a view of all clocks.

use super::are_incompatible;
use cottonnotch_consensus::{ContentHash, Lease, Topic};
use std::collections::BTreeMap;

/// The lease of a process, with its end by true time.
#[derive(Clone, Copy, Debug)]
struct ActiveLease {
    number: u64,
    hash: ContentHash,
    until: i64,
}

#[derive(Default)]
pub struct Oracle {
    active_leases: [BTreeMap<usize, ActiveLease>; 2],
    last_numbers: [BTreeMap<usize, u64>; 2],
    hash_by_number: [BTreeMap<u64, ContentHash>; 2],
    pub violation: Option<String>,
    /// For each topic, the greatest number that any process had a lease on.
    pub greatest_numbers: [u64; 2],
    /// For each topic, the true time since which each process has been without a lease that it had before.
    without_lease_since: [BTreeMap<usize, i64>; 2],
    pub time_without_lease: [i64; 2],
    /// For each topic and number, when the first process got a lease on the number, and when the last process got or
    /// extended one.
    pub first_leased_at: BTreeMap<(usize, u64), i64>,
    pub last_leased_at: BTreeMap<(usize, u64), i64>,
}

impl Oracle {
    /// Records that a process got or lost a lease. `until` is the end of the lease by true time.
    pub fn lease_changed(&mut self, now: i64, process: usize, lease: Lease, until: i64) {
        let index = lease.topic as usize;
        if let Some(before) = self.active_leases[index].remove(&process)
            && before.until <= now
        {
            self.without_lease_since[index].insert(process, before.until);
        }
        let Some((number, hash)) = lease.version else {
            self.without_lease_since[index].entry(process).or_insert(now);
            return;
        };
        if let Some(since) = self.without_lease_since[index].remove(&process) {
            self.time_without_lease[index] += now - since;
        }
        let known_hash = *self.hash_by_number[index].entry(number).or_insert(hash);
        self.require(known_hash == hash, || {
            format!("number {number} of {:?} identifies two versions", lease.topic)
        });
        let last_number = self.last_numbers[index].entry(process).or_insert(0);
        let is_forward = number >= *last_number;
        *last_number = number;
        self.require(is_forward, || {
            format!("process {process}: the version number of {:?} decreased to {number}", lease.topic)
        });
        self.greatest_numbers[index] = self.greatest_numbers[index].max(number);
        self.first_leased_at.entry((index, number)).or_insert(now);
        let active_lease = ActiveLease { number, hash, until };
        if until > now {
            let mut conflict = None;
            for (&other, other_lease) in &self.active_leases[index] {
                if other_lease.until > now && are_incompatible(&other_lease.hash, &hash) {
                    conflict = Some((other, *other_lease));
                    break;
                }
            }
            if let Some((other, other_lease)) = conflict {
                self.require(false, || {
                    format!(
                        "{:?}: process {process} may act on {number} until {until}, process {other} on {} until {}",
                        lease.topic, other_lease.number, other_lease.until
                    )
                });
            }
            self.last_leased_at.insert((index, number), now);
        }
        self.active_leases[index].insert(process, active_lease);
    }

    /// Removes a process that has ended.
    pub fn remove_process(&mut self, process: usize) {
        for index in 0..2 {
            self.active_leases[index].remove(&process);
            self.without_lease_since[index].remove(&process);
        }
    }

    /// Returns the number of processes that may act on this number now.
    pub fn processes_acting_on(&self, topic: Topic, number: u64, now: i64) -> usize {
        self.active_leases[topic as usize]
            .values()
            .filter(|lease| lease.number == number && now < lease.until)
            .count()
    }

    /// Returns the number of processes that may act on any version now.
    pub fn processes_acting(&self, topic: Topic, now: i64) -> usize {
        self.active_leases[topic as usize].values().filter(|lease| now < lease.until).count()
    }

    pub fn require(&mut self, holds: bool, message: impl FnOnce() -> String) {
        if !holds && self.violation.is_none() {
            self.violation = Some(message());
        }
    }
}
