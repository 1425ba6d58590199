//! An oracle that checks the invariants at every instant, with a view of all clocks.

use super::contradict;
use cottonnotch_consensus::{ContentHash, Lease, Topic};
use std::collections::BTreeMap;

/// The lease of a process, with its end by true time.
#[derive(Clone, Copy, Debug)]
struct Acting {
    number: u64,
    hash: ContentHash,
    until: i64,
}

#[derive(Default)]
pub struct Oracle {
    acting: [BTreeMap<usize, Acting>; 2],
    floors: [BTreeMap<usize, u64>; 2],
    named: [BTreeMap<u64, ContentHash>; 2],
    pub violation: Option<String>,
    /// For each topic, the greatest number that any process had a lease on.
    pub greatest: [u64; 2],
    /// For each topic, the true time since which each process has been without a lease that it had before.
    without_lease_since: [BTreeMap<usize, i64>; 2],
    pub time_without_lease: [i64; 2],
    /// For each topic and number, when the first process got a lease on the number, and when the last process got or
    /// extended one.
    pub first: BTreeMap<(usize, u64), i64>,
    pub last: BTreeMap<(usize, u64), i64>,
}

impl Oracle {
    /// Records that a process got or lost a lease. `until` is the end of the lease by true time.
    pub fn lease_changed(&mut self, now: i64, process: usize, lease: Lease, until: i64) {
        let at = lease.topic as usize;
        if let Some(before) = self.acting[at].remove(&process)
            && before.until <= now
        {
            self.without_lease_since[at].insert(process, before.until);
        }
        let Some((number, hash)) = lease.version else {
            self.without_lease_since[at].entry(process).or_insert(now);
            return;
        };
        if let Some(since) = self.without_lease_since[at].remove(&process) {
            self.time_without_lease[at] += now - since;
        }
        let named = *self.named[at].entry(number).or_insert(hash);
        self.demand(named == hash, || {
            format!("number {number} of {:?} identifies two versions", lease.topic)
        });
        let floor = self.floors[at].entry(process).or_insert(0);
        let forward = number >= *floor;
        *floor = number;
        self.demand(forward, || {
            format!("process {process}: the version number of {:?} decreased to {number}", lease.topic)
        });
        self.greatest[at] = self.greatest[at].max(number);
        self.first.entry((at, number)).or_insert(now);
        let mine = Acting { number, hash, until };
        if until > now {
            let mut found = None;
            for (&other, theirs) in &self.acting[at] {
                if theirs.until > now && contradict(&theirs.hash, &hash) {
                    found = Some((other, *theirs));
                    break;
                }
            }
            if let Some((other, theirs)) = found {
                self.demand(false, || {
                    format!(
                        "{:?}: process {process} may act on {number} until {until}, process {other} on {} until {}",
                        lease.topic, theirs.number, theirs.until
                    )
                });
            }
            self.last.insert((at, number), now);
        }
        self.acting[at].insert(process, mine);
    }

    /// Removes a process that has ended.
    pub fn remove_process(&mut self, process: usize) {
        for at in 0..2 {
            self.acting[at].remove(&process);
            self.without_lease_since[at].remove(&process);
        }
    }

    /// Returns the number of processes that may act on this number now.
    pub fn acting_on(&self, topic: Topic, number: u64, now: i64) -> usize {
        self.acting[topic as usize]
            .values()
            .filter(|acting| acting.number == number && now < acting.until)
            .count()
    }

    /// Returns the number of processes that may act on any version now.
    pub fn acting(&self, topic: Topic, now: i64) -> usize {
        self.acting[topic as usize].values().filter(|acting| now < acting.until).count()
    }

    pub fn demand(&mut self, holds: bool, what: impl FnOnce() -> String) {
        if !holds && self.violation.is_none() {
            self.violation = Some(what());
        }
    }
}
