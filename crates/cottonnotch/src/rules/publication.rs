//! What requests are ruled by, shared between the thread of the accord and the loop. Whoever reads takes no lock: one
//! look at the version and one at the end of its lease, and the two always belong together.

use super::lent::LeaseFile;
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
mod tests {
    use super::super::lent::LeaseRecord;
    use super::*;
    use cottonnotch_routing_rules::Book;
    use cottonnotch_rule_compiler::{Profiles, lower};
    use std::sync::atomic::AtomicBool;

    fn plan() -> Arc<Plan> {
        Arc::new(lower(&Book::default(), &Profiles::new()).plan)
    }

    #[test]
    fn a_version_is_never_read_with_the_lease_of_another() {
        let (publication, plan, over) = (Publication::default(), plan(), AtomicBool::new(false));
        // Version N is granted until times N * 1000 and the 500 after it, and never else.
        std::thread::scope(|scope| {
            let readers: Vec<_> = (0..3)
                .map(|_| {
                    scope.spawn(|| {
                        let mut seen = (0, 0);
                        while !over.load(Ordering::Relaxed) {
                            let reading = publication.read();
                            let Some(published) = &*reading else { continue };
                            let (number, until) = (published.number, published.until());
                            assert!(number >= seen.0, "versions never go back");
                            let range = number as i64 * 1_000..number as i64 * 1_000 + 500;
                            assert!(until == Micros::MIN || range.contains(&until), "{number} {until}");
                            seen = (number, seen.1 + 1);
                        }
                        seen.1
                    })
                })
                .collect();
            for number in 1..2_000_u64 {
                for more in 0..5 {
                    publication.grant(&plan, number, [number as u8; 32], number as i64 * 1_000 + more);
                }
                if number % 7 == 0 {
                    publication.revoke();
                }
            }
            over.store(true, Ordering::Relaxed);
            for reader in readers {
                reader.join().unwrap();
            }
        });
    }

    #[test]
    fn what_is_lent_is_followed_until_something_is_granted_here() {
        let folder = tempfile::tempdir().unwrap();
        let own = LeaseFile::own(folder.path()).unwrap();
        let publication = Publication::default();
        let tell = |number, until| own.tell(LeaseRecord { number, hash: [3; 32], until }).unwrap();
        let until = || publication.until(publication.read().as_ref().unwrap());
        tell(3, 1_000);
        publication.lend(&plan(), 3, [3; 32], LeaseFile::of_another(folder.path()).unwrap());
        assert_eq!(until(), 1_000);
        tell(3, 2_000);
        assert_eq!(until(), 2_000);
        tell(4, 3_000);
        assert_eq!(until(), Micros::MIN, "the other one goes by another version now");
        tell(3, Micros::MIN);
        assert_eq!(until(), Micros::MIN);
        publication.grant(&plan(), 3, [3; 32], 5_000);
        assert_eq!(until(), 5_000);
        publication.revoke();
        assert_eq!(until(), Micros::MIN);
    }

    #[test]
    fn what_is_revoked_is_known_and_not_in_force() {
        let publication = Publication::default();
        assert!(publication.read().is_none());
        publication.grant(&plan(), 3, [3; 32], 1_000);
        let reading = publication.read();
        let published = reading.as_ref().unwrap();
        assert_eq!(publication.until(published), 1_000);
        publication.revoke();
        assert_eq!(publication.until(published), Micros::MIN);
        assert_eq!(publication.read().as_ref().unwrap().number, 3);
        publication.grant(&plan(), 3, [3; 32], 2_000);
        assert_eq!(publication.read().as_ref().unwrap().until(), 2_000);
    }
}
