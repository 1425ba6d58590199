//! What requests are ruled by, shared between the thread of the accord and the loop. Whoever reads takes no lock: one
//! look at the version and one at the end of its lease, and the two always belong together.

use super::lease_file::LeaseFile;
use arc_swap::{ArcSwapOption, Guard};
use cottonnotch_consensus::{ContentHash, Micros};
use cottonnotch_rule_compiler::Plan;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};

/// A version that was in force here, and may still be.
#[derive(Debug)]
pub struct Published {
    /// What it says.
    pub plan: Arc<Plan>,
    /// Its place in the order of versions; 0: of this process alone.
    pub number: u64,
    /// Its content.
    pub hash: ContentHash,
    /// Acting on it is forbidden from then on, by [`Clock`](super::clock::Clock).
    until: AtomicI64,
}

impl Published {
    /// A version with its lease's end.
    pub fn new(plan: Arc<Plan>, number: u64, hash: ContentHash, until: Micros) -> Self {
        Published { plan, number, hash, until: AtomicI64::new(until) }
    }

    /// Its lease's end.
    pub fn until(&self) -> Micros {
        self.until.load(Ordering::Acquire)
    }
}

/// The version that this process goes by. Written by one thread.
#[derive(Debug, Default)]
pub struct Publication {
    current: ArcSwapOption<Published>,
    /// While an earlier process is the member: where it says what holds.
    lent: ArcSwapOption<LeaseFile>,
}

/// A version that is being read.
pub type Reading = Guard<Option<Arc<Published>>>;

impl Publication {
    /// The version, if there ever was one. Its lease may be over.
    pub fn read(&self) -> Reading {
        self.current.load()
    }

    /// When it is forbidden to act on what was read.
    pub fn until(&self, published: &Published) -> Micros {
        match &*self.lent.load() {
            None => published.until(),
            Some(file) => match file.read() {
                Some(lease) if (lease.number, lease.hash) == (published.number, published.hash) => {
                    lease.until
                }
                _ => Micros::MIN,
            },
        }
    }

    /// What an earlier process of this member goes by is gone by here too, for as long as its file says so.
    pub fn lend(&self, plan: &Arc<Plan>, number: u64, hash: ContentHash, file: LeaseFile) {
        self.lent.store(Some(Arc::new(file)));
        let published = Published::new(Arc::clone(plan), number, hash, Micros::MIN);
        self.current.store(Some(Arc::new(published)));
    }

    /// A version was granted, or its lease renewed.
    pub fn grant(&self, plan: &Arc<Plan>, number: u64, hash: ContentHash, until: Micros) {
        let current = self.current.load();
        match &*current {
            Some(same) if (same.number, same.hash) == (number, hash) => {
                same.until.store(until, Ordering::Release);
            }
            _ => {
                // The end belongs to the version: nobody reads the old one with the new one's.
                self.revoke();
                let published = Published::new(Arc::clone(plan), number, hash, until);
                self.current.store(Some(Arc::new(published)));
            }
        }
        self.lent.store(None);
    }

    /// What is granted ends now. It is still known, for those rules that go on in doubt.
    pub fn revoke(&self) {
        if let Some(current) = &*self.current.load() {
            current.until.store(Micros::MIN, Ordering::Release);
        }
        self.lent.store(None);
    }
}

#[cfg(test)]
#[path = "published_plan_tests.rs"]
mod tests;
