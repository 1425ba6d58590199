//! A member that was stopped while it waited for an answer drops the outdated answers in its socket and sends a new report at
//! once.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_aggregation::{FleetSection, Input, Member, Micros, Output, Settings, aggregator_order};

const SECOND: Micros = 1_000_000;
/// Start time of the test. The clock of all members shows Unix time.
const START: Micros = 1_000_000 * SECOND;

fn settings() -> Settings {
    FleetSection { members_from: Some(4), ..FleetSection::default() }.check().unwrap().unwrap()
}

fn sent(member: &mut Member) -> Vec<(u32, Vec<u8>)> {
    let outputs = std::iter::from_fn(|| member.poll());
    outputs
        .filter_map(|output| if let Output::Send { to, bytes } = output { Some((to, bytes)) } else { None })
        .collect()
}

/// A member that is stopped while it waits for an answer accepts the answer to its next report, but no answer from before the
/// stop.
#[test]
fn stopped_member_drops_stale_answers() {
    let epoch = (START / cottonnotch_aggregation::EPOCH) as u64;
    let aggregator_ordinal = aggregator_order(epoch, 4)[0];
    let member_ordinal = (aggregator_ordinal + 1) % 4;
    let mut aggregator = Member::new(settings(), aggregator_ordinal, 4, 1, START, START);
    let mut member = Member::new(settings(), member_ordinal, 4, 2, START, START);
    let answers_to = |aggregator: &mut Member, now, bytes: &[u8]| {
        aggregator.handle(now, Input::Datagram { from: Some(member_ordinal), bytes });
        sent(aggregator)
            .into_iter()
            .filter(|(to, _)| *to == member_ordinal)
            .map(|(_, bytes)| bytes)
            .collect::<Vec<_>>()
    };
    // The aggregator receives reports until its collection phase is over and its summaries are complete.
    while member.snapshot().is_none() {
        let now = member.next_timeout();
        assert!(now < START + 15 * SECOND, "no snapshot before the end of the epoch");
        member.handle(now, Input::Tick);
        for (to, bytes) in sent(&mut member) {
            for answer in
                if to == aggregator_ordinal { answers_to(&mut aggregator, now, &bytes) } else { Vec::new() }
            {
                member.handle(now, Input::Datagram { from: Some(aggregator_ordinal), bytes: &answer });
            }
        }
    }
    // The member sends a report and is stopped for 3 s. The epoch and therefore the aggregator stay the same.
    let received_at = member.snapshot().unwrap().received_at;
    let mut now = member.next_timeout();
    member.handle(now, Input::Tick);
    let stale_answers: Vec<Vec<u8>> = sent(&mut member)
        .iter()
        .filter(|(to, _)| *to == aggregator_ordinal)
        .flat_map(|(_, bytes)| answers_to(&mut aggregator, now, bytes))
        .collect();
    assert!(!stale_answers.is_empty());
    now += 3 * SECOND;
    for answer in &stale_answers {
        member.handle(now, Input::Datagram { from: Some(aggregator_ordinal), bytes: answer });
    }
    assert!(
        member.counts().late > 0 && member.snapshot().unwrap().received_at == received_at,
        "{:?}",
        member.counts()
    );
    member.handle(now, Input::Tick);
    let new_reports = sent(&mut member);
    let new_reports: Vec<_> = new_reports.iter().filter(|(to, _)| *to == aggregator_ordinal).collect();
    assert!(!new_reports.is_empty(), "the member sends a new report at once");
    for (_, bytes) in new_reports {
        for answer in answers_to(&mut aggregator, now, bytes) {
            member.handle(now, Input::Datagram { from: Some(aggregator_ordinal), bytes: &answer });
        }
    }
    assert_eq!(
        member.snapshot().unwrap().received_at,
        now,
        "the answer to the new report is accepted: {:?}",
        member.counts()
    );
}
