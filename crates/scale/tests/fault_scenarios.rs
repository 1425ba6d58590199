//! Fault scenarios of a small fleet on virtual time, judged from records alone; and the judge itself.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_scale::Shape;
use cottonnotch_scale::fault::Fault;
use cottonnotch_scale::fault_scenarios::play;
use cottonnotch_scale::judge::judge;
use cottonnotch_scale::records::{MemberEvent, Record};

fn small() -> Shape {
    Shape { members: 36, nodes: 90, pairs: 300, connections: 10, setups: 0.2, ..Shape::default() }
}

/// The bound on conflicting leases that operators are promised, in seconds.
const MAX_CONFLICT: f64 = 2.0;
/// The bound on the time until a change is in force at all members, in seconds.
const MAX_EVERYWHERE: f64 = 8.0;

#[test]
fn change_reaches_all_members_without_long_conflict() {
    let result = play(&small(), Fault::Quiet);
    let verdict = &result.verdict;
    assert_eq!((verdict.proposed, verdict.everywhere), (2, 2), "{result:?}");
    assert!(verdict.longest_everywhere_s <= MAX_EVERYWHERE, "{result:?}");
    assert!(verdict.longest_contradiction_s <= MAX_CONFLICT, "{result:?}");
    assert_eq!(result.view_members, 36.0, "{result:?}");
}

#[test]
fn zone_loss_shrinks_snapshots_and_changes_continue() {
    for fault in [Fault::Zone, Fault::FarZone] {
        let result = play(&small(), fault);
        assert_eq!((result.running, result.view_members), (30, 30.0), "{result:?}");
        assert_eq!(result.verdict.everywhere, result.verdict.proposed, "{result:?}");
        assert!(result.verdict.longest_contradiction_s <= MAX_CONFLICT, "{result:?}");
    }
}

#[test]
fn incompatible_changes_do_not_exceed_conflict_bound() {
    let result = play(&small(), Fault::Changes);
    let verdict = &result.verdict;
    assert_eq!(verdict.everywhere + verdict.superseded, verdict.proposed, "{result:?}");
    assert!(verdict.everywhere >= 15, "{result:?}");
    assert!(verdict.longest_contradiction_s <= MAX_CONFLICT, "{result:?}");
}

fn lease(at: i64, member: u32, number: u64, kind: u8, until: i64) -> Record {
    Record {
        at,
        member,
        event: MemberEvent::LeaseChanged { version: Some((number, number as u32)), kind, until },
    }
}

fn started(member: u32) -> Record {
    Record { at: 0, member, event: MemberEvent::Started }
}

#[test]
fn judge_finds_conflicts_and_incomplete_changes() {
    const S: i64 = 1_000_000;
    let proposed = Record { at: S, member: 0, event: MemberEvent::Proposed { content: 2 } };
    let records = [
        started(0),
        started(1),
        lease(0, 0, 1, 1, 9 * S),
        lease(0, 1, 1, 1, 9 * S),
        proposed,
        lease(2 * S, 0, 2, 0, 9 * S),
        lease(5 * S, 1, 2, 0, 9 * S),
    ];
    let verdict = judge(&records, 10 * S);
    assert_eq!(verdict.longest_contradiction_s, 3.0);
    assert_eq!((verdict.everywhere, verdict.longest_everywhere_s), (1, 4.0));
    let verdict = judge(&records[..6], 10 * S);
    assert_eq!((verdict.everywhere, verdict.longest_contradiction_s), (0, 7.0));
    // A member that has stopped holds no lease.
    let ended = Record { at: 3 * S, member: 1, event: MemberEvent::Stopped };
    let verdict = judge(&[&records[..6], &[ended]].concat(), 10 * S);
    assert_eq!((verdict.everywhere, verdict.longest_contradiction_s), (1, 1.0));
}

#[test]
fn judge_finds_wrong_death_verdicts_and_lease_gaps() {
    const S: i64 = 1_000_000;
    let dead = |at, of| Record { at, member: 0, event: MemberEvent::LivenessChanged { of, is_dead: true } };
    let records = [
        started(0),
        started(1),
        lease(0, 0, 1, 1, 40 * S),
        lease(0, 1, 1, 1, 15 * S),
        dead(S, 1),
        Record { at: 20 * S, member: 1, event: MemberEvent::Stopped },
        dead(21 * S, 1),
    ];
    let verdict = judge(&records, 40 * S);
    assert_eq!(verdict.wrongly_dead, 1);
    assert_eq!((verdict.longest_without_s, verdict.members_without), (5.0, 0));
}
