//! Bad days at a small size on virtual time, judged from records alone; and the judge itself, with what it is there to find.

use cottonnotch_scale::Shape;
use cottonnotch_scale::fault::Fault;
use cottonnotch_scale::fault_scenarios::play;
use cottonnotch_scale::judge::judge;
use cottonnotch_scale::records::{MemberEvent, Record};

fn small() -> Shape {
    Shape { members: 36, nodes: 90, pairs: 300, connections: 10, setups: 0.2, ..Shape::default() }
}

/// What the accord promises to the operator, in seconds.
const CONTRADICTION: f64 = 2.0;
/// Changes are in force everywhere within this, in seconds.
const EVERYWHERE: f64 = 8.0;

#[test]
fn a_change_reaches_all_and_nobody_acts_on_two_kinds_for_long() {
    let played = play(&small(), Fault::Quiet);
    let verdict = &played.verdict;
    assert_eq!((verdict.proposed, verdict.everywhere), (2, 2), "{played:?}");
    assert!(verdict.longest_everywhere_s <= EVERYWHERE, "{played:?}");
    assert!(verdict.longest_contradiction_s <= CONTRADICTION, "{played:?}");
    assert_eq!(played.view_members, 36.0, "{played:?}");
}

#[test]
fn a_zone_less_is_a_smaller_view_and_changes_go_on() {
    for fault in [Fault::Zone, Fault::FarZone] {
        let played = play(&small(), fault);
        assert_eq!((played.running, played.view_members), (30, 30.0), "{played:?}");
        assert_eq!(played.verdict.everywhere, played.verdict.proposed, "{played:?}");
        assert!(played.verdict.longest_contradiction_s <= CONTRADICTION, "{played:?}");
    }
}

#[test]
fn twenty_changes_within_a_minute_contradict_for_no_longer_than_is_promised() {
    let played = play(&small(), Fault::Changes);
    let verdict = &played.verdict;
    assert_eq!(verdict.everywhere + verdict.superseded, verdict.proposed, "{played:?}");
    assert!(verdict.everywhere >= 15, "{played:?}");
    assert!(verdict.longest_contradiction_s <= CONTRADICTION, "{played:?}");
}

fn may(at: i64, member: u32, number: u64, kind: u8, until: i64) -> Record {
    Record {
        at,
        member,
        event: MemberEvent::LeaseChanged { version: Some((number, number as u32)), kind, until },
    }
}

fn began(member: u32) -> Record {
    Record { at: 0, member, event: MemberEvent::Started }
}

#[test]
fn the_judge_finds_two_kinds_at_once_and_a_content_that_not_all_have() {
    const S: i64 = 1_000_000;
    let proposed = Record { at: S, member: 0, event: MemberEvent::Proposed { content: 2 } };
    let records = [
        began(0),
        began(1),
        may(0, 0, 1, 1, 9 * S),
        may(0, 1, 1, 1, 9 * S),
        proposed,
        may(2 * S, 0, 2, 0, 9 * S),
        may(5 * S, 1, 2, 0, 9 * S),
    ];
    let verdict = judge(&records, 10 * S);
    assert_eq!(verdict.longest_contradiction_s, 3.0);
    assert_eq!((verdict.everywhere, verdict.longest_everywhere_s), (1, 4.0));
    let verdict = judge(&records[..6], 10 * S);
    assert_eq!((verdict.everywhere, verdict.longest_contradiction_s), (0, 7.0));
    // A member that has ended acts no more.
    let ended = Record { at: 3 * S, member: 1, event: MemberEvent::Stopped };
    let verdict = judge(&[&records[..6], &[ended]].concat(), 10 * S);
    assert_eq!((verdict.everywhere, verdict.longest_contradiction_s), (1, 1.0));
}

#[test]
fn the_judge_finds_who_is_given_up_wrongly_and_who_may_act_on_nothing() {
    const S: i64 = 1_000_000;
    let dead = |at, of| Record { at, member: 0, event: MemberEvent::LivenessChanged { of, is_dead: true } };
    let records = [
        began(0),
        began(1),
        may(0, 0, 1, 1, 40 * S),
        may(0, 1, 1, 1, 15 * S),
        dead(S, 1),
        Record { at: 20 * S, member: 1, event: MemberEvent::Stopped },
        dead(21 * S, 1),
    ];
    let verdict = judge(&records, 40 * S);
    assert_eq!(verdict.wrongly_dead, 1);
    assert_eq!((verdict.longest_without_s, verdict.members_without), (5.0, 0));
}
