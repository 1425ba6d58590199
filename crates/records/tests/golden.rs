//! A record of each event and each reason keeps the line that earlier builds wrote.

use cottonnotch_golden::{assert_text, golden_path};
use cottonnotch_records::{
    Answer, Belief, Change, Event, Hex, MoveReason, Name, Outcome, PeerState, Phase, Record, Reload, Ruled,
    SCHEMA,
};

fn name(text: &str) -> Name {
    text.into()
}

fn ruled() -> Option<Box<Ruled>> {
    let rules = vec![name("consortium:attempts"), name("consortium/casa-c:slow")];
    Some(Box::new(Ruled { version: Some(7), rules, in_doubt: true }))
}

fn bare_ruled() -> Option<Box<Ruled>> {
    Some(Box::new(Ruled { version: None, rules: Vec::new(), in_doubt: false }))
}

fn lists() -> Vec<Event> {
    let address = Some("127.0.0.1:9001".parse().unwrap());
    let changes = vec![
        Change { subchannel: name("s1"), phase: Phase::Up, address },
        Change { subchannel: name("s2"), phase: Phase::Draining, address: None },
        Change { subchannel: name("s3"), phase: Phase::Gone, address: None },
    ];
    let beliefs =
        [Belief::Up, Belief::Paused { until_us: 9_000_000 }, Belief::Trial, Belief::Draining, Belief::Gone];
    let believed = beliefs.map(|belief| Event::Subchannel { subchannel: name("s1"), belief });
    [Event::List { revision: 4, complete: true, changes }].into_iter().chain(believed).collect()
}

fn requests() -> Vec<Event> {
    let (class, wire_id) = (name("page-view"), Hex(0x9b1f_03aa_5c7e_2d41));
    let full = Event::Request {
        request: 3,
        wire_id,
        class: class.clone(),
        tenant: Some(name("edicoes-a")),
        deadline_ms: Some(1_800),
        group: Some(Hex(0x5c0f)),
        again: true,
    };
    let bare = Event::Request {
        request: 4,
        wire_id,
        class,
        tenant: None,
        deadline_ms: None,
        group: None,
        again: false,
    };
    let attempt =
        |ruled| Event::Attempt { request: 3, attempt: 1, subchannel: name("s1"), timeout_ms: 250, ruled };
    vec![full, bare, attempt(None), attempt(ruled()), attempt(bare_ruled())]
}

fn endings() -> Vec<Event> {
    let outcomes = [
        Outcome::Served,
        Outcome::Error,
        Outcome::Full,
        Outcome::TimedOut,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::NotSent,
    ];
    let attempts =
        outcomes.map(|outcome| Event::AttemptEnded { request: 3, attempt: 1, outcome, took_us: 77 });
    let ended = outcomes.map(|outcome| Event::Ended { request: 3, outcome });
    let up = Event::Up { request: 3, attempt: 2, subchannel: name("s1"), took_us: 1_234 };
    attempts.into_iter().chain([up]).chain(ended).collect()
}

fn answers() -> Vec<Event> {
    let answers = [
        Answer::Up,
        Answer::Refused { retry_after_ms: 0, ruled: None },
        Answer::Refused { retry_after_ms: 500, ruled: ruled() },
        Answer::Failed { why: "the deadline has passed".into() },
    ];
    let reasons = [MoveReason::Asked, MoveReason::Draining, MoveReason::Silent, MoveReason::Leaving];
    let moved = reasons.map(|why| Event::Moved { request: 3, subchannel: name("s1"), why });
    let others = [Event::TurnedAway { why: "no first line came".into() }, Event::ClientLeft { request: 3 }];
    answers
        .map(|answer| Event::Answer { request: 3, answer })
        .into_iter()
        .chain(moved)
        .chain(others)
        .collect()
}

fn process() -> Vec<Event> {
    let start = Event::Start {
        name: name("proxy-0"),
        incarnation: 1_764_000_000_000_000,
        pid: 77,
        version: "0.1.0".into(),
    };
    let reloads = [Reload::Taken, Reload::Kept { why: "discovery is missing".into() }];
    let states = [PeerState::Alive, PeerState::Suspect, PeerState::Dead, PeerState::Left];
    let peers = states.map(|state| Event::Peer { peer: 2, state, incarnation: 9 });
    let end = [Event::Shutdown {}, Event::Stop {}, Event::Dropped { count: 3, since_seq: 9 }];
    let reloads = reloads.map(|reload| Event::Reload { reload });
    [start].into_iter().chain(reloads).chain(peers).chain(end).collect()
}

#[test]
fn each_event_keeps_its_line() {
    let events = [process(), lists(), requests(), endings(), answers()].concat();
    let mut bytes = Vec::new();
    for (seq, event) in (0..).zip(&events) {
        let record = Record {
            v: SCHEMA,
            seq,
            wall_us: 1_764_000_000_000_000 + seq,
            mono_us: 1_000 + seq,
            event: event.clone(),
        };
        record.write_line(&mut bytes).unwrap();
    }
    let text = String::from_utf8(bytes).unwrap();
    assert_text(&golden_path!("records.jsonl"), &text);
    for (line, event) in text.lines().zip(events) {
        let read: Record = simd_json::from_slice(&mut line.as_bytes().to_vec()).unwrap();
        assert_eq!(read.event, event, "{line}");
    }
}
