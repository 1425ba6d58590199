//! The writer against real files and descriptors, read back by the reader.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_records::*;
use std::fs::{self, OpenOptions};
use std::io::Read;
use std::os::fd::AsRawFd;
use std::path::Path;
use std::time::{Duration, Instant};

const LONG: Duration = Duration::from_secs(20);

fn settings(section: &str) -> Settings {
    toml::from_str::<RecordsSection>(section).unwrap().check().unwrap().unwrap()
}

fn to_file(path: &Path, more: &str) -> Settings {
    settings(&format!("file = {path:?}\nflush_ms = 10\n{more}"))
}

fn open(settings: &Settings) -> Recorder {
    let identity = Identity { name: "n3".into(), incarnation: 7, version: "0".into() };
    Recorder::open(settings, identity).unwrap()
}

fn until(what: &str, mut reached: impl FnMut() -> bool) {
    let end = Instant::now() + LONG;
    while !reached() {
        assert!(Instant::now() < end, "{what}: not within {LONG:?}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn client_left(request: u64) -> Event {
    Event::ClientLeft { request }
}

/// Splits lines into records and findings.
fn split(lines: impl Iterator<Item = Line>) -> (Vec<Record>, Vec<Finding>) {
    let (mut records, mut findings) = (Vec::new(), Vec::new());
    for line in lines {
        match line.content {
            LineContent::Record(record) => records.push(record),
            LineContent::Finding(finding) => findings.push(finding),
        }
    }
    (records, findings)
}

/// Every record is there or counted by a `dropped` one, as the counts say; returns how many were dropped.
fn check_counts(records: &[Record], counts: Counts) -> u64 {
    let dropped = records.iter().filter_map(|record| match record.event {
        Event::Dropped { count, .. } => Some(count),
        _ => None,
    });
    let (lines, dropped) = (dropped.clone().count(), dropped.sum());
    assert_eq!((records.len() - lines) as u64, counts.written);
    assert_eq!((counts.written + counts.dropped, counts.dropped), (counts.produced, dropped), "{counts:?}");
    dropped
}

#[test]
fn rotation_keeps_the_newest_in_order() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("records");
    let mut recorder = open(&to_file(&path, "max_bytes = 262144\nkeep = 3\nqueue_records = 262144"));
    (0..30_000).for_each(|request| recorder.record(client_left(request)));
    let counts = recorder.close(LONG);
    assert_eq!(counts, Counts { produced: 30_002, written: 30_002, dropped: 0 });
    let sizes: Vec<u64> =
        fs::read_dir(&folder).unwrap().map(|e| e.unwrap().metadata().unwrap().len()).collect();
    assert!(sizes.len() == 4 && sizes.iter().all(|size| *size <= 262_144), "{sizes:?}");
    let (records, findings) = split(RotatedSet::open(&path).unwrap());
    let first = records[0].seq;
    assert_eq!(findings, [Finding::StartsMidSequence { seq: first }]);
    let expected = first..counts.produced;
    assert!(records.iter().map(|record| record.seq).eq(expected) && records.len() > 7_500);
    assert!(records.is_sorted_by_key(|record| record.mono_us));

    // Fewer are kept from now on, and the file goes on where it was.
    let mut recorder = open(&to_file(&path, "max_bytes = 262144\nkeep = 1"));
    (0..10_000).for_each(|request| recorder.record(client_left(request)));
    recorder.close(LONG);
    assert_eq!(fs::read_dir(&folder).unwrap().count(), 2);
}

#[test]
fn a_full_queue_drops_and_counts() {
    let (mut reader, writer) = std::io::pipe().unwrap();
    let number = writer.as_raw_fd();
    let mut recorder = open(&settings(&format!("descriptor = {number}\nqueue_records = 64\nflush_ms = 10")));
    drop(writer);
    // More than the pipe, a batch and the queue hold together.
    (0..50_000).for_each(|request| recorder.record(client_left(request)));
    let reading = std::thread::spawn(move || {
        let mut text = Vec::new();
        reader.read_to_end(&mut text).map(|_| text).unwrap()
    });
    let counts = recorder.close(LONG);
    let (records, findings) = split(Reader::new(&reading.join().unwrap()[..]));
    assert_eq!(findings, []);
    assert!(check_counts(&records, counts) > 10_000);
    assert_eq!(records.last().unwrap().event, Event::Stop {});
}

#[test]
fn a_half_full_queue_wakes_the_writer() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("records");
    let recorder = open(&settings(&format!("file = {path:?}\nqueue_records = 64\nflush_ms = 60000")));
    let mut produced = 1;
    until("a write long before it is due", || {
        recorder.record(client_left(produced));
        produced += 1;
        recorder.counts().written > 100
    });
    assert_eq!(recorder.counts().dropped, 0);
}

#[test]
fn an_unread_pipe_does_not_delay_the_end() {
    let (_reader, writer) = std::io::pipe().unwrap();
    let mut recorder = open(&settings(&format!("descriptor = {}", writer.as_raw_fd())));
    (0..20_000).for_each(|request| recorder.record(client_left(request)));
    let begun = Instant::now();
    recorder.close(Duration::from_millis(100));
    assert!(begun.elapsed() < LONG);
    recorder.record_with(|| panic!("nothing is recorded after the end"));
}

#[test]
fn recreates_a_renamed_or_removed_file() {
    let folder = tempfile::tempdir().unwrap();
    let (path, aside) = (folder.path().join("records"), folder.path().join("aside"));
    let mut recorder = open(&to_file(&path, ""));
    until("start", || recorder.counts().written == 1);
    fs::rename(&path, &aside).unwrap();
    fs::write(&path, "").unwrap();
    recorder.record(client_left(1));
    until("after the rename", || recorder.counts().written == 2);
    assert_eq!(split(RotatedSet::open(&path).unwrap()).0.len(), 1);
    fs::remove_file(&path).unwrap();
    recorder.record(client_left(2));
    assert_eq!(recorder.close(LONG), Counts { produced: 4, written: 4, dropped: 0 });
    let seqs = |path| -> Vec<u64> {
        split(RotatedSet::open(path).unwrap()).0.iter().map(|record| record.seq).collect()
    };
    assert_eq!((seqs(&aside), seqs(&path)), (vec![0], vec![2, 3]));
}

#[test]
fn reports_drops_after_failed_writes() {
    let folder = tempfile::tempdir().unwrap();
    let inner = folder.path().join("inner");
    let path = inner.join("records");
    fs::create_dir(&inner).unwrap();
    let mut recorder = open(&to_file(&path, ""));
    until("start", || recorder.counts().written == 1);
    fs::remove_dir_all(&inner).unwrap();
    recorder.record(client_left(1));
    until("first drop", || recorder.counts().dropped == 1);
    recorder.record(client_left(2));
    until("second drop", || recorder.counts().dropped == 2);
    fs::create_dir(&inner).unwrap();
    // It is told though nothing more is recorded.
    until("told", || fs::read(&path).is_ok_and(|text| text.ends_with(b"}\n")));
    let (records, _) = split(RotatedSet::open(&path).unwrap());
    assert_eq!((records.len(), &records[0].event), (1, &Event::Dropped { count: 2, since_seq: 1 }));
    recorder.record(client_left(3));
    assert_eq!(recorder.close(LONG), Counts { produced: 5, written: 3, dropped: 2 });
}

#[test]
fn a_blocked_target_costs_only_records() {
    let full = OpenOptions::new().write(true).open("/dev/full").unwrap();
    let mut recorder = open(&settings(&format!("descriptor = {}", full.as_raw_fd())));
    (0..100).for_each(|request| recorder.record(client_left(request)));
    assert_eq!(recorder.close(LONG), Counts { produced: 102, written: 0, dropped: 102 });
}

/// The descriptor is closed and its number given to another file while the target takes nothing.
#[test]
fn opens_a_descriptor_once() {
    let (reader, writer) = std::io::pipe().unwrap();
    let number = writer.as_raw_fd();
    let recorder = open(&settings(&format!("descriptor = {number}\nflush_ms = 10")));
    until("start", || recorder.counts().written == 1);
    drop((reader, writer));
    recorder.record(client_left(1));
    until("drop", || recorder.counts().dropped == 1);
    let mut other = std::io::pipe().unwrap();
    let mut spare = Vec::new();
    while other.1.as_raw_fd() != number && spare.len() < 100 {
        spare.push(std::mem::replace(&mut other, std::io::pipe().unwrap()));
    }
    drop(recorder);
    let (mut theirs, end) = other;
    drop((end, spare));
    assert_eq!(theirs.read_to_end(&mut Vec::new()).unwrap(), 0);
}

#[test]
fn open_names_a_bad_target() {
    let folder = tempfile::tempdir().unwrap();
    let missing = folder.path().join("missing").join("records");
    let socket = std::os::unix::net::UnixDatagram::unbound().unwrap();
    for (settings, key) in [
        (to_file(&missing, ""), "records.file: "),
        (to_file(folder.path(), ""), "records.file: "),
        (to_file(Path::new("/dev/null"), ""), "records.file: "),
        (settings("descriptor = 987654"), "records.descriptor: '987654'"),
        (settings(&format!("descriptor = {}", socket.as_raw_fd())), "records.descriptor: "),
    ] {
        let identity = Identity { name: "n3".into(), incarnation: 7, version: "0".into() };
        let error = Recorder::open(&settings, identity).err().unwrap().to_string();
        assert!(error.starts_with(key), "{error}");
    }
}

#[test]
fn a_partial_line_does_not_swallow_the_next_start() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("records");
    fs::write(&path, r#"{"v":1,"seq":0,"wa"#).unwrap();
    open(&to_file(&path, "")).close(LONG);
    let (records, findings) = split(RotatedSet::open(&path).unwrap());
    assert_eq!(findings, [Finding::Truncated { bytes: 18 }]);
    assert_eq!(records.iter().map(|record| record.seq).collect::<Vec<_>>(), [0, 1]);
}

#[test]
fn section_errors_name_the_key() {
    let check = |text: &str| toml::from_str::<RecordsSection>(text).unwrap().check();
    assert_eq!(check(""), Ok(None));
    assert!(toml::from_str::<RecordsSection>("flash_ms = 3").is_err());
    for (text, key) in [
        ("file = 'a'\ndescriptor = 3", "records.descriptor"),
        ("file = ''", "records.file"),
        ("descriptor = 0", "records.descriptor"),
        ("descriptor = 3\nkeep = 2", "records.keep"),
        ("descriptor = 3\nmax_bytes = 1000000", "records.max_bytes"),
        ("max_bytes = 1000", "records.max_bytes"),
        ("keep = 0", "records.keep"),
        ("queue_records = 1", "records.queue_records"),
        ("flush_ms = 0", "records.flush_ms"),
    ] {
        let error = check(text).unwrap_err().to_string();
        assert!(error.contains(key), "{text}: {error}");
    }
}
