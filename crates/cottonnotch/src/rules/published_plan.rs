//! The version that requests follow, published by the consensus thread for the event loop. Readers take no lock. A reader loads
//! the version and then the lease expiry time stored in it, so the two always belong together.

use super::lease_file::LeaseFile;
use arc_swap::{ArcSwapOption, Guard};
use cottonnotch_consensus::{ContentHash, Micros};
use cottonnotch_rule_compiler::Plan;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};

/// A version that was active in this process, and may still be.
#[derive(Debug)]
pub struct PublishedVersion {
    /// The compiled plan.
    pub plan: Arc<Plan>,
    /// The version's number. Without consensus, this process numbers its versions itself.
    pub number: u64,
    /// The hash of the version's content.
    pub hash: ContentHash,
    /// The expiry time of the lease, by [`Clock`](super::clock::Clock). From then on, this process must not act on the version.
    valid_until: AtomicI64,
}

impl PublishedVersion {
    /// Creates a version whose lease expires at `until`.
    pub fn new(plan: Arc<Plan>, number: u64, hash: ContentHash, until: Micros) -> Self {
        PublishedVersion { plan, number, hash, valid_until: AtomicI64::new(until) }
    }

    /// The expiry time of the lease.
    pub fn valid_until(&self) -> Micros {
        self.valid_until.load(Ordering::Acquire)
    }
}

/// The version that this process acts on. Only one thread writes it.
#[derive(Debug, Default)]
pub struct PublishedPlan {
    current: ArcSwapOption<PublishedVersion>,
    /// The predecessor's lease file, while this process acts under the predecessor's lease.
    predecessor_lease: ArcSwapOption<LeaseFile>,
}

/// A guard that keeps a version alive while it is being read.
pub type VersionGuard = Guard<Option<Arc<PublishedVersion>>>;

impl PublishedPlan {
    /// The version; `None` if none was ever published. Its lease may have expired.
    pub fn read(&self) -> VersionGuard {
        self.current.load()
    }

    /// The time from which acting on the version is forbidden. Reads the predecessor's lease file while there is one.
    pub fn valid_until(&self, published: &PublishedVersion) -> Micros {
        match &*self.predecessor_lease.load() {
            None => published.valid_until(),
            Some(file) => match file.read() {
                Some(lease) if (lease.number, lease.hash) == (published.number, published.hash) => {
                    lease.until
                }
                _ => Micros::MIN,
            },
        }
    }

    /// Publishes the version that the predecessor acts on. The predecessor's lease file determines how long it is valid.
    pub fn follow_predecessor(&self, plan: &Arc<Plan>, number: u64, hash: ContentHash, file: LeaseFile) {
        self.predecessor_lease.store(Some(Arc::new(file)));
        let published = PublishedVersion::new(Arc::clone(plan), number, hash, Micros::MIN);
        self.current.store(Some(Arc::new(published)));
    }

    /// Publishes a granted version, or extends the lease if the version is already published.
    pub fn grant(&self, plan: &Arc<Plan>, number: u64, hash: ContentHash, until: Micros) {
        let current = self.current.load();
        match &*current {
            Some(same) if (same.number, same.hash) == (number, hash) => {
                same.valid_until.store(until, Ordering::Release);
            }
            _ => {
                // The expiry time is stored in the version, so no reader can combine the old version with the new lease.
                self.revoke();
                let published = PublishedVersion::new(Arc::clone(plan), number, hash, until);
                self.current.store(Some(Arc::new(published)));
            }
        }
        self.predecessor_lease.store(None);
    }

    /// Ends the lease now. The version remains readable, because some rules apply even while it is uncertain which version is
    /// in force.
    pub fn revoke(&self) {
        if let Some(current) = &*self.current.load() {
            current.valid_until.store(Micros::MIN, Ordering::Release);
        }
        self.predecessor_lease.store(None);
    }
}

#[cfg(test)]
#[path = "published_plan_tests.rs"]
mod tests;
