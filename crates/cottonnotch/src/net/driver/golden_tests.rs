//! Golden tests: the files in `TMPDIR`, the metrics and the reasons must stay byte for byte as earlier builds wrote
//! them.

use super::audit::{Audit, Step, outcome_name, rejection_name};
use super::clock_file::ClockFile;
use super::hot_restart::HotRestart;
use super::request_table::TrackedRequest;
use crate::maintenance::{Maintenance, ManualOverride, decode, encode};
use crate::net::management::metrics::{AffinityMetrics, Gauges, Metrics};
use crate::net::open_line::OpenLineError;
use crate::net::request_error::RequestError;
use crate::rules::RulesStatus;
use cottonnotch_consensus::Role;
use cottonnotch_decision::{ClassId, Outcome, RejectionReason, Request, RequestId};
use cottonnotch_golden::{assert_text, golden_path};
use cottonnotch_proxy_core::{ClockOffset, WallClock};
use cottonnotch_reactor::line::TooLong;
use cottonnotch_records::MoveReason;
use std::collections::BTreeMap;
use std::fmt::Write;

#[test]
fn maintenance_file_keeps_its_text() {
    let overrides = [
        (
            "s1",
            ManualOverride { set_at: 1_764_000_000_000_000, is_out: true, out_since: 1_764_000_000_000_000 },
        ),
        (
            "s 2",
            ManualOverride { set_at: 1_764_000_000_000_009, is_out: false, out_since: 1_764_000_000_000_001 },
        ),
    ];
    let state =
        Maintenance::from_overrides(overrides.map(|(id, manual_override)| (id.to_owned(), manual_override)));
    let path = golden_path!("maintenance.txt");
    assert_text(&path, &encode(&state));
    assert_eq!(decode(&std::fs::read(path).unwrap()), Ok(state));
}

#[test]
fn clock_file_keeps_its_text() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("cottonnotch-127.0.0.1_8000.clock");
    let file = ClockFile::with_boot_id(path.clone(), "00000000-1111-2222-3333-444444444444", -5_000_000);
    let offsets = vec![
        ClockOffset { offset: 1_764_000_000_000_000, from: None, seen: 10_000_000 },
        ClockOffset { offset: 1_764_003_600_000_000, from: Some(9_500_000), seen: 20_000_000 },
    ];
    let clock = WallClock::with_history(offsets, 21_000_000, 1_764_003_621_000_000);
    file.save(&clock).unwrap();
    let golden = golden_path!("clock.txt");
    assert_text(&golden, &std::fs::read_to_string(&path).unwrap());
    std::fs::copy(golden, &path).unwrap();
    let read = file.load(22_000_000, 1_764_003_622_000_000);
    let [first, second] = read.offsets().collect::<Vec<_>>()[..] else { panic!("{read:?}") };
    assert_eq!((first.offset, first.from, first.seen), (1_764_000_000_000_000, None, 10_000_000));
    assert_eq!((second.offset, second.from), (1_764_003_600_000_000, Some(9_500_000)));
}

/// Compares the names and the contents of the process files, except for the monotonic start time.
#[test]
fn process_file_keeps_names_and_format() {
    let folder = tempfile::tempdir().unwrap();
    let prefix = folder.path().join("cottonnotch-127.0.0.1_8000.process");
    let mut text = String::new();
    let mut append_files = || {
        for entry in std::fs::read_dir(folder.path()).unwrap() {
            let path = entry.unwrap().path();
            let content = std::fs::read_to_string(&path).unwrap();
            let (descriptors, started) = content.split_at(8);
            assert!(started.bytes().all(|byte| byte.is_ascii_digit()));
            let name = path.file_name().unwrap().to_str().unwrap();
            writeln!(text, "{name} {descriptors} and {} digits", started.len()).unwrap();
        }
    };
    let mut process = HotRestart::new(prefix, 1_764_000_000_000_000);
    process.publish().unwrap();
    append_files();
    process.announce_ready().unwrap();
    process.publish_descriptors(73).unwrap();
    append_files();
    assert_text(&golden_path!("process.txt"), &text);
}

fn rules_status() -> RulesStatus {
    RulesStatus {
        version: Some(7),
        rule_count: 8,
        lease_left_ms: 900,
        newest_version: 9,
        role: Role::Leader,
        leader: Some(1),
        term: 3,
        live_members: 5,
        held_back: BTreeMap::from([("consortium/verlag b".to_owned(), "a conflict".to_owned())]),
        rejected_while_uncertain: 2,
        invalid_datagrams: 4,
        unsent_datagrams: 6,
        invariant_violations: 1,
        newer_list: Some((5, 6)),
        consensus_error: Some("no address".to_owned()),
        ..RulesStatus::default()
    }
}

/// A connection that was open before this process started.
fn open_connection() -> Request {
    let (tenant, left, load_hint, group) = (None, None, None, None);
    Request { id: RequestId(1), class: ClassId(0), tenant, left, load_hint, group, again: false }
}

#[test]
fn metrics_keep_their_keys() {
    let mut metrics = Metrics::default();
    metrics.set_classes(["page-view", "note edit"].into_iter());
    metrics.served(0);
    metrics.rejected(1);
    metrics.failed(1);
    metrics.attempt_written();
    metrics.configuration_applied();
    metrics.configuration_rejected();
    metrics.watch_lost();
    metrics.older_list_accepted();
    metrics.older_list_rejected();
    let affinity = Some(AffinityMetrics {
        groups: 2,
        largest_subset: 205,
        tables_received: 31,
        groups_cut: 4,
        datagrams_dropped: 5,
    });
    let gauges = Gauges {
        in_progress: 3,
        known_endpoints: 2,
        skipped_endpoints: 1,
        rules: Some(rules_status()),
        affinity,
    };
    let mut audit = Audit::default();
    for outcome in OUTCOMES {
        audit.count(Step::Retried, outcome_name(outcome));
        audit.count(Step::Closed, outcome_name(outcome));
    }
    for reason in REJECTION_REASONS {
        audit.count(Step::Rejected, rejection_name(reason));
        audit.count(Step::Failed, rejection_name(reason));
    }
    let tracked = TrackedRequest::new(RequestId(1), 0, 1, None);
    for reason in
        [MoveReason::PolicyRequest, MoveReason::Draining, MoveReason::Unresponsive, MoveReason::ProxyShutdown]
    {
        audit.reopened(&open_connection(), tracked.wire_id);
        audit.migrated(&tracked, reason);
    }
    assert_text(&golden_path!("figures.txt"), &metrics.text(gauges, audit.metrics()));
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Served,
    Outcome::Error,
    Outcome::Full,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];
const REJECTION_REASONS: [RejectionReason; 6] = [
    RejectionReason::ShuttingDown,
    RejectionReason::AttemptsExhausted,
    RejectionReason::DeadlineTooClose,
    RejectionReason::IdempotencyWindowOver,
    RejectionReason::RejectedByRule,
    RejectionReason::NoServer,
];

#[test]
fn client_errors_keep_their_texts() {
    let lines = [
        OpenLineError::NotText,
        OpenLineError::NotOpen,
        OpenLineError::NoClass,
        OpenLineError::InvalidValue("id"),
        OpenLineError::DuplicateName,
    ];
    let mut texts: Vec<String> =
        lines.into_iter().map(|line| RequestError::InvalidLine(line).to_string()).collect();
    let others = [
        RequestError::TooLong(TooLong),
        RequestError::NoFirstLine,
        RequestError::DataBeforeAnswer,
        RequestError::UnknownClass,
        RequestError::UnknownTenant,
        RequestError::DuplicateId,
        RequestError::TooManyPings,
        RequestError::UsedId,
    ];
    texts.extend(others.iter().map(RequestError::to_string));
    assert_text(&golden_path!("client_errors.txt"), &(texts.join("\n") + "\n"));
}
