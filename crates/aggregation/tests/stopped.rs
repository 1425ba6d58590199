//! A member that was stopped while it waited for an answer drops the outdated answers in its socket and sends a new report at
//! once.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_aggregation::{FleetSection, Input, Member, Micros, Output, Settings, aggregator_order};

const S: Micros = 1_000_000;
/// Start time of the test. The clock of all members shows Unix time.
const START: Micros = 1_000_000 * S;

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
    let aggregator_is = aggregator_order(epoch, 4)[0];
    let me = (aggregator_is + 1) % 4;
    let mut aggregator = Member::new(settings(), aggregator_is, 4, 1, START, START);
    let mut member = Member::new(settings(), me, 4, 2, START, START);
    let answers_to = |aggregator: &mut Member, now, bytes: &[u8]| {
        aggregator.handle(now, Input::Datagram { from: Some(me), bytes });
        sent(aggregator).into_iter().filter(|(to, _)| *to == me).map(|(_, bytes)| bytes).collect::<Vec<_>>()
    };
    // The aggregator receives reports until its collection phase is over and its summaries are complete.
    while member.snapshot().is_none() {
        let now = member.next_timeout();
        assert!(now < START + 15 * S, "no snapshot before the end of the epoch");
        member.handle(now, Input::Tick);
        for (to, bytes) in sent(&mut member) {
            for answer in
                if to == aggregator_is { answers_to(&mut aggregator, now, &bytes) } else { Vec::new() }
            {
                member.handle(now, Input::Datagram { from: Some(aggregator_is), bytes: &answer });
            }
        }
    }
    // The member sends a report and is stopped for 3 s. The epoch and therefore the aggregator stay the same.
    let at = member.snapshot().unwrap().received_at;
    let mut now = member.next_timeout();
    member.handle(now, Input::Tick);
    let old: Vec<Vec<u8>> = sent(&mut member)
        .iter()
        .filter(|(to, _)| *to == aggregator_is)
        .flat_map(|(_, bytes)| answers_to(&mut aggregator, now, bytes))
        .collect();
    assert!(!old.is_empty());
    now += 3 * S;
    for answer in &old {
        member.handle(now, Input::Datagram { from: Some(aggregator_is), bytes: answer });
    }
    assert!(
        member.counts().late > 0 && member.snapshot().unwrap().received_at == at,
        "{:?}",
        member.counts()
    );
    member.handle(now, Input::Tick);
    let asked = sent(&mut member);
    let asked: Vec<_> = asked.iter().filter(|(to, _)| *to == aggregator_is).collect();
    assert!(!asked.is_empty(), "the member sends a new report at once");
    for (_, bytes) in asked {
        for answer in answers_to(&mut aggregator, now, bytes) {
            member.handle(now, Input::Datagram { from: Some(aggregator_is), bytes: &answer });
        }
    }
    assert_eq!(
        member.snapshot().unwrap().received_at,
        now,
        "the answer to the new report is accepted: {:?}",
        member.counts()
    );
}
