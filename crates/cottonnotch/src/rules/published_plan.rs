//! The version that requests follow, published by the consensus thread to the event loop. Readers take no lock: they read
//! the version, then the end of its lease, and the two always belong together.

use super::lease_file::LeaseFile;
use arc_swap::{ArcSwapOption, Guard};
use cottonnotch_consensus::{ContentHash, Micros};
use cottonnotch_rule_compiler::Plan;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};

/// A version that was active here, and may still be.
#[derive(Debug)]
pub struct PublishedVersion {
    /// Its plan.
    pub plan: Arc<Plan>,
    /// Its number; counted by this process alone where there is no consensus.
    pub number: u64,
    /// Its content's hash.
    pub hash: ContentHash,
    /// Acting on it is forbidden from this time on, by [`Clock`](super::clock::Clock).
    until: AtomicI64,
}

impl PublishedVersion {
    /// A version with the end of its lease.
    pub fn new(plan: Arc<Plan>, number: u64, hash: ContentHash, until: Micros) -> Self {
        PublishedVersion { plan, number, hash, until: AtomicI64::new(until) }
    }

    /// The end of its lease.
    pub fn until(&self) -> Micros {
        self.until.load(Ordering::Acquire)
    }
}

/// The version that this process acts on. Written by one thread.
#[derive(Debug, Default)]
pub struct PublishedPlan {
    current: ArcSwapOption<PublishedVersion>,
    /// While an earlier process is the member: the file with its lease.
    predecessor_lease: ArcSwapOption<LeaseFile>,
}

/// A version that is being read; it stays as it is meanwhile.
pub type VersionGuard = Guard<Option<Arc<PublishedVersion>>>;

impl PublishedPlan {
    /// The version, if there ever was one. Its lease may have expired.
    pub fn read(&self) -> VersionGuard {
        self.current.load()
    }

    /// When it is forbidden to act on the version that was read.
    pub fn until(&self, published: &PublishedVersion) -> Micros {
        match &*self.predecessor_lease.load() {
            None => published.until(),
            Some(file) => match file.read() {
                Some(lease) if (lease.number, lease.hash) == (published.number, published.hash) => {
                    lease.until
                }
                _ => Micros::MIN,
            },
        }
    }

    /// Publishes the version that the predecessor acts on, for as long as its lease file says so.
    pub fn follow_predecessor(&self, plan: &Arc<Plan>, number: u64, hash: ContentHash, file: LeaseFile) {
        self.predecessor_lease.store(Some(Arc::new(file)));
        let published = PublishedVersion::new(Arc::clone(plan), number, hash, Micros::MIN);
        self.current.store(Some(Arc::new(published)));
    }

    /// Publishes a granted version, or extends its lease.
    pub fn grant(&self, plan: &Arc<Plan>, number: u64, hash: ContentHash, until: Micros) {
        let current = self.current.load();
        match &*current {
            Some(same) if (same.number, same.hash) == (number, hash) => {
                same.until.store(until, Ordering::Release);
            }
            _ => {
                // The end belongs to the version: nobody may read the old version with the new lease.
                self.revoke();
                let published = PublishedVersion::new(Arc::clone(plan), number, hash, until);
                self.current.store(Some(Arc::new(published)));
            }
        }
        self.predecessor_lease.store(None);
    }

    /// Ends the lease now. The version stays known, for rules that hold while it is uncertain which one is in force.
    pub fn revoke(&self) {
        if let Some(current) = &*self.current.load() {
            current.until.store(Micros::MIN, Ordering::Release);
        }
        self.predecessor_lease.store(None);
    }
}

#[cfg(test)]
#[path = "published_plan_tests.rs"]
mod tests;
