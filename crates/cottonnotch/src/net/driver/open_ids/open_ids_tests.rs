//! Tests of the table of open ids and of the thread that exchanges them.
#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test panics")]

use super::layout::IdKind;
use super::sibling_table::SiblingTable;
use super::table::{PublishError, Table, TableFile};
use super::worker::{ClaimOutcome, Job, Sibling, Worker, WorkerReport};
use crate::net::network_event::NetworkEvent;
use crate::net::object::Object;
use cottonnotch_decision::Micros;
use cottonnotch_reactor::waker::WakerSource;
use cottonnotch_reactor::{Clock, Reactor};
use proptest::prelude::*;
use std::collections::HashSet;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

/// A table for so many ids, and its file as another process reads it.
fn table(folder: &Path, ids: usize) -> (Table, SiblingTable) {
    let path = folder.join("table.ids");
    let mut table = Table::new(Arc::new(TableFile::create(&path, ids).unwrap()));
    table.publish().unwrap();
    (table, SiblingTable::open(&path).unwrap().unwrap())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// What is claimed and not released is found, and nothing else, whatever the order.
    #[test]
    fn file_holds_exactly_the_open_ids(steps in prop::collection::vec((any::<bool>(), 0..80_u64), 0..400)) {
        let folder = tempfile::tempdir().unwrap();
        let (mut table, seen) = table(folder.path(), 32);
        let mut open = HashSet::new();
        for (is_claim, id) in steps {
            if !is_claim {
                table.remove(id);
                open.remove(&id);
            } else if table.insert(id, IdKind::Repeatable).is_ok() {
                open.insert(id);
            }
        }
        for id in 0..80 {
            prop_assert_eq!(seen.contains(id).unwrap(), open.contains(&id));
        }
    }
}

/// Extreme ids are ids like others.
#[test]
fn finds_smallest_and_largest_id() {
    let folder = tempfile::tempdir().unwrap();
    let (mut table, seen) = table(folder.path(), 32);
    for id in [0, 1, u64::MAX] {
        assert!(!seen.contains(id).unwrap());
        table.insert(id, IdKind::Repeatable).unwrap();
        assert!(seen.contains(id).unwrap());
    }
}

/// Beside thousands of standing ids, each id finds room however many came and went: nothing grows.
#[test]
fn room_does_not_shrink_as_ids_come_and_go() {
    const STANDING: u64 = 8_000;
    let folder = tempfile::tempdir().unwrap();
    let (mut table, seen) = table(folder.path(), 2 * STANDING as usize);
    (0..STANDING).for_each(|id| table.insert(id, IdKind::Repeatable).unwrap());
    for id in STANDING..300_000 {
        table.insert(id, IdKind::Repeatable).unwrap();
        table.remove(id);
    }
    assert!((0..STANDING).all(|id| seen.contains(id).unwrap()));
    assert!((STANDING..2 * STANDING).all(|id| !seen.contains(id).unwrap()));
}

/// A bucket that is full refuses further ids and keeps those that it has.
#[test]
fn full_bucket_refuses_ids() {
    let folder = tempfile::tempdir().unwrap();
    // One bucket.
    let (mut table, seen) = table(folder.path(), 16);
    (0..32).for_each(|id| table.insert(id, IdKind::Repeatable).unwrap());
    assert!(matches!(table.insert(32, IdKind::Repeatable), Err(PublishError::Full)));
    assert!((0..32).all(|id| seen.contains(id).unwrap()) && !seen.contains(32).unwrap());
    table.remove(0);
    table.insert(32, IdKind::Repeatable).unwrap();
}

/// The ids of a process that has ended are free, whatever its file says.
#[test]
fn ids_of_ended_process_are_free() {
    let folder = tempfile::tempdir().unwrap();
    let (mut table, seen) = table(folder.path(), 32);
    table.insert(7, IdKind::Repeatable).unwrap();
    assert!(seen.contains(7).unwrap());
    drop(table);
    assert!(!seen.contains(7).unwrap());
}

/// The ids of requests that must not run again stay taken when their process has ended, and its successor can read them.
#[test]
fn ids_to_run_once_outlive_their_process() {
    let folder = tempfile::tempdir().unwrap();
    let (mut table, seen) = table(folder.path(), 32);
    table.insert(7, IdKind::Once).unwrap();
    table.insert(8, IdKind::Repeatable).unwrap();
    table.insert(9, IdKind::Once).unwrap();
    table.remove(9);
    drop(table);
    assert!(seen.contains(7).unwrap() && !seen.contains(8).unwrap() && !seen.contains(9).unwrap());
    assert_eq!(seen.ids_to_run_once().unwrap(), [7]);
}

/// Files of other builds are no tables.
#[test]
fn ignores_files_of_other_formats() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("table.ids");
    assert!(SiblingTable::open(&path).unwrap().is_none());
    for content in [vec![], vec![b'x'; 100], vec![0; 4096], b"cottonnotch-ids2".repeat(64)] {
        std::fs::write(&path, content).unwrap();
        assert!(SiblingTable::open(&path).unwrap().is_none());
    }
    std::fs::remove_file(&path).unwrap();
    std::fs::create_dir(&path).unwrap();
    assert!(SiblingTable::open(&path).unwrap().is_none());
}

/// A process with a running thread.
struct Process {
    sibling: Sibling,
    jobs: Sender<Job>,
    reports: Receiver<WorkerReport>,
    /// Keeps the loop's end of the waker.
    _reactor: Reactor<dyn Object>,
    file: Arc<TableFile>,
}

impl Process {
    fn start(folder: &Path, started_unix: Micros) -> Self {
        let path = |start: Micros| -> PathBuf { folder.join(format!("{start}.ids")) };
        let file = Arc::new(TableFile::create(&path(started_unix), 1000).unwrap());
        let mut reactor = Reactor::<dyn Object>::new(Clock::unix()).unwrap();
        let mut waker = None;
        reactor
            .insert(|key, io| {
                let (source, thread_waker) = WakerSource::register(|| NetworkEvent::ClaimsEnded, key, io)?;
                waker = Some(thread_waker);
                Ok(Box::new(source))
            })
            .unwrap();
        let (jobs, job_receiver) = channel();
        let (report_sender, reports) = channel();
        let worker = Worker::new(started_unix, Arc::clone(&file), report_sender, waker.unwrap());
        std::thread::spawn(move || worker.run(&job_receiver));
        Process { sibling: Sibling::new(started_unix, path), jobs, reports, _reactor: reactor, file }
    }

    fn meet(&self, siblings: &[&Process], open_ids: &[u64]) {
        let siblings = siblings.iter().map(|process| process.sibling.clone()).collect();
        let open_ids = open_ids.iter().map(|id| (*id, IdKind::Repeatable)).collect();
        self.jobs.send(Job::Siblings { siblings, open_ids: Some(open_ids) }).unwrap();
    }

    fn wait_until_acknowledged(&self) {
        let report = self.reports.recv_timeout(Duration::from_secs(10)).unwrap();
        assert!(matches!(report, WorkerReport::Acknowledged(_)), "{report:?}");
    }

    fn claim(&self, number: u64, id: u64) {
        self.jobs.send(Job::Claim { number, id, kind: IdKind::Repeatable }).unwrap();
    }

    fn outcome(&self, expected_number: u64) -> ClaimOutcome {
        outcome_of(&self.reports, expected_number)
    }
}

fn outcome_of(reports: &Receiver<WorkerReport>, expected_number: u64) -> ClaimOutcome {
    match reports.recv_timeout(Duration::from_secs(10)).unwrap() {
        WorkerReport::Claim { number, outcome } if number == expected_number => outcome,
        report => panic!("{report:?}"),
    }
}

/// Two processes that have acknowledged each other; the first had these ids before.
fn two_processes(folder: &Path, open_ids: &[u64]) -> [Process; 2] {
    let (old, new) = (Process::start(folder, 10), Process::start(folder, 20));
    old.meet(&[&new], open_ids);
    new.meet(&[&old], &[]);
    old.wait_until_acknowledged();
    new.wait_until_acknowledged();
    [old, new]
}

/// An id that was open before the processes met, or is claimed later, is taken at the other one until it is released.
#[test]
fn claims_respect_ids_of_other_process() {
    let folder = tempfile::tempdir().unwrap();
    let [old, new] = two_processes(folder.path(), &[1, 2]);
    new.claim(1, 1);
    assert_eq!(new.outcome(1), ClaimOutcome::Taken);
    new.claim(2, 3);
    assert_eq!(new.outcome(2), ClaimOutcome::Granted);
    old.claim(1, 3);
    assert_eq!(old.outcome(1), ClaimOutcome::Taken);
    // An id that is released just behind the claim is granted.
    new.claim(3, 2);
    old.jobs.send(Job::Release { id: 2 }).unwrap();
    assert_eq!(new.outcome(3), ClaimOutcome::Granted);
    // The process ends without releasing anything.
    let Process { jobs, file, .. } = old;
    drop(jobs);
    let end = Instant::now() + Duration::from_secs(10);
    while Arc::strong_count(&file) > 1 {
        assert!(Instant::now() < end, "the thread does not end");
    }
    drop(file);
    new.claim(4, 1);
    assert_eq!(new.outcome(4), ClaimOutcome::Granted);
}

/// Two processes that claim one id at the same time: it is granted to one of them and denied to the other.
#[test]
fn simultaneous_claims_have_one_winner() {
    const ROUNDS: u64 = 300;
    let folder = tempfile::tempdir().unwrap();
    let [old, new] = two_processes(folder.path(), &[]);
    let links = [(old.jobs, old.reports), (new.jobs, new.reports)];
    let start = Barrier::new(links.len());
    let outcomes: Vec<Vec<ClaimOutcome>> = std::thread::scope(|scope| {
        let threads = links.map(|(jobs, reports)| {
            let start = &start;
            scope.spawn(move || {
                let play = |round| {
                    start.wait();
                    jobs.send(Job::Claim { number: round, id: 1_000 + round, kind: IdKind::Repeatable })
                        .unwrap();
                    outcome_of(&reports, round)
                };
                (0..ROUNDS).map(play).collect()
            })
        });
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    for (round, (first, second)) in outcomes[0].iter().zip(&outcomes[1]).enumerate() {
        let pair = [*first, *second];
        assert!(
            pair == [ClaimOutcome::Granted, ClaimOutcome::Taken]
                || pair == [ClaimOutcome::Taken, ClaimOutcome::Granted],
            "round {round}: {pair:?}"
        );
    }
}

/// A process that does not know of another one does not acknowledge it; an older build has no table and need not.
#[test]
fn waits_for_acknowledgement() {
    let folder = tempfile::tempdir().unwrap();
    let (old, new) = (Process::start(folder.path(), 10), Process::start(folder.path(), 20));
    let earlier_build = Sibling::new(5, |start| folder.path().join(format!("{start}.ids")));
    let siblings = vec![earlier_build.clone(), old.sibling.clone()];
    new.jobs.send(Job::Siblings { siblings, open_ids: Some(Vec::new()) }).unwrap();
    assert!(new.reports.recv_timeout(Duration::from_millis(100)).is_err(), "the old one has not seen it");
    old.meet(&[&new], &[]);
    new.wait_until_acknowledged();
    let only = vec![earlier_build];
    new.jobs.send(Job::Siblings { siblings: only, open_ids: None }).unwrap();
    let report = new.reports.recv_timeout(Duration::from_secs(10)).unwrap();
    assert!(matches!(&report, WorkerReport::Inherited(ids) if ids.is_empty()), "{report:?}");
    new.wait_until_acknowledged();
}
