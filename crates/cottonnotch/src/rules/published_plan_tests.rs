use super::super::lease_file::LeaseRecord;
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
