use super::super::lease_file::LeaseRecord;
use super::*;
use cottonnotch_routing_rules::Book;
use cottonnotch_rule_compiler::{Profiles, compile};
use std::sync::atomic::AtomicBool;

fn plan() -> Arc<Plan> {
    Arc::new(compile(&Book::default(), &Profiles::new()).plan)
}

#[test]
fn never_reads_a_version_with_the_lease_of_another() {
    let (published_plan, plan, done) = (PublishedPlan::default(), plan(), AtomicBool::new(false));
    // Each lease of version N expires between N * 1000 and N * 1000 + 500. An expiry time outside this range would belong to
    // another version.
    std::thread::scope(|scope| {
        let readers: Vec<_> = (0..3)
            .map(|_| {
                scope.spawn(|| {
                    let mut seen = (0, 0);
                    while !done.load(Ordering::Relaxed) {
                        let reading = published_plan.read();
                        let Some(published) = &*reading else { continue };
                        let (number, until) = (published.number, published.valid_until());
                        assert!(number >= seen.0, "version numbers never decrease");
                        let range = number as i64 * 1_000..number as i64 * 1_000 + 500;
                        assert!(until == Micros::MIN || range.contains(&until), "{number} {until}");
                        seen = (number, seen.1 + 1);
                    }
                    seen.1
                })
            })
            .collect();
        for number in 1..2_000_u64 {
            for extension in 0..5 {
                published_plan.grant(&plan, number, [number as u8; 32], number as i64 * 1_000 + extension);
            }
            if number % 7 == 0 {
                published_plan.revoke();
            }
        }
        done.store(true, Ordering::Relaxed);
        for reader in readers {
            reader.join().unwrap();
        }
    });
}

#[test]
fn follows_the_predecessor_until_a_grant() {
    let folder = tempfile::tempdir().unwrap();
    let own_file = LeaseFile::create(folder.path()).unwrap();
    let published_plan = PublishedPlan::default();
    let write = |number, until| own_file.write(LeaseRecord { number, hash: [3; 32], until }).unwrap();
    let until = || published_plan.valid_until(published_plan.read().as_ref().unwrap());
    write(3, 1_000);
    published_plan.follow_predecessor(&plan(), 3, [3; 32], LeaseFile::open(folder.path()).unwrap());
    assert_eq!(until(), 1_000);
    write(3, 2_000);
    assert_eq!(until(), 2_000);
    write(4, 3_000);
    assert_eq!(until(), Micros::MIN, "the predecessor acts on another version");
    write(3, Micros::MIN);
    assert_eq!(until(), Micros::MIN);
    published_plan.grant(&plan(), 3, [3; 32], 5_000);
    assert_eq!(until(), 5_000);
    published_plan.revoke();
    assert_eq!(until(), Micros::MIN);
}

#[test]
fn revoked_version_stays_known() {
    let published_plan = PublishedPlan::default();
    assert!(published_plan.read().is_none());
    published_plan.grant(&plan(), 3, [3; 32], 1_000);
    let reading = published_plan.read();
    let published = reading.as_ref().unwrap();
    assert_eq!(published_plan.valid_until(published), 1_000);
    published_plan.revoke();
    assert_eq!(published_plan.valid_until(published), Micros::MIN);
    assert_eq!(published_plan.read().as_ref().unwrap().number, 3);
    published_plan.grant(&plan(), 3, [3; 32], 2_000);
    assert_eq!(published_plan.read().as_ref().unwrap().valid_until(), 2_000);
}
