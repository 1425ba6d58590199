//! A record of each event and each reason keeps the line that earlier builds wrote.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_golden::{assert_text, golden_path};
use cottonnotch_records::{
    Answer, AppliedRules, EndpointChange, EndpointState, Event, Hex, MoveReason, Name, Outcome, PeerState,
    Phase, Record, Reload, SCHEMA,
};

fn name(text: &str) -> Name {
    text.into()
}

fn applied_rules() -> Option<Box<AppliedRules>> {
    let rules = vec![name("consortium:attempts"), name("consortium/casa-c:slow")];
    Some(Box::new(AppliedRules { version: Some(7), rules, version_uncertain: true }))
}

fn bare_rules() -> Option<Box<AppliedRules>> {
    Some(Box::new(AppliedRules { version: None, rules: Vec::new(), version_uncertain: false }))
}

fn lists() -> Vec<Event> {
    let address = Some("127.0.0.1:9001".parse().unwrap());
    let changes = vec![
        EndpointChange { endpoint: name("s1"), phase: Phase::Up, address },
        EndpointChange { endpoint: name("s2"), phase: Phase::Draining, address: None },
        EndpointChange { endpoint: name("s3"), phase: Phase::Removed, address: None },
    ];
    let beliefs = [
        EndpointState::Up,
        EndpointState::Paused { until_us: 9_000_000 },
        EndpointState::Trial,
        EndpointState::Draining,
        EndpointState::Removed,
    ];
    let believed = beliefs.map(|state| Event::Endpoint { endpoint: name("s1"), state });
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
        is_retry: true,
    };
    let bare = Event::Request {
        request: 4,
        wire_id,
        class,
        tenant: None,
        deadline_ms: None,
        group: None,
        is_retry: false,
    };
    let attempt = |applied_rules| Event::Attempt {
        request: 3,
        attempt: 1,
        endpoint: name("s1"),
        timeout_ms: 250,
        applied_rules,
    };
    vec![full, bare, attempt(None), attempt(applied_rules()), attempt(bare_rules())]
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
    let up = Event::Up { request: 3, attempt: 2, endpoint: name("s1"), took_us: 1_234 };
    attempts.into_iter().chain([up]).chain(ended).collect()
}

fn answers() -> Vec<Event> {
    let answers = [
        Answer::Up,
        Answer::Rejected { retry_after_ms: 0, applied_rules: None },
        Answer::Rejected { retry_after_ms: 500, applied_rules: applied_rules() },
        Answer::Failed { reason: "the deadline has passed".into() },
    ];
    let reasons = [
        MoveReason::PolicyRequest,
        MoveReason::Draining,
        MoveReason::Unresponsive,
        MoveReason::ProxyShutdown,
    ];
    let moved = reasons.map(|reason| Event::Moved { request: 3, endpoint: name("s1"), reason });
    let others =
        [Event::ClientRejected { reason: "no first line came".into() }, Event::ClientLeft { request: 3 }];
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
    let reloads = [Reload::Applied, Reload::Rejected { reason: "discovery is missing".into() }];
    let states = [PeerState::Alive, PeerState::Suspect, PeerState::Dead, PeerState::Left];
    let peers = states.map(|state| Event::Peer { peer: 2, state, incarnation: 9 });
    let end = [Event::Shutdown {}, Event::Stop {}, Event::Dropped { count: 3, since_seq: 9 }];
    let reloads = reloads.map(|reload| Event::Reload { reload });
    [start].into_iter().chain(reloads).chain(peers).chain(end).collect()
}

#[test]
fn events_keep_their_lines() {
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
