//! The schema and the reader: what is written is read, and nothing that a file can hold stops the reader.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_records::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

fn name() -> impl Strategy<Value = Name> {
    any::<String>().prop_map(Name::from)
}

fn reason() -> impl Strategy<Value = Reason> {
    any::<String>().prop_map(Reason::from)
}

fn outcome() -> impl Strategy<Value = Outcome> {
    use Outcome::*;
    prop::sample::select(vec![Served, Error, Full, TimedOut, ConnectFailed, Reset, Cancelled, NotSent])
}

fn endpoint_change() -> impl Strategy<Value = EndpointChange> {
    let phase = prop::sample::select(vec![Phase::Up, Phase::Draining, Phase::Removed]);
    (name(), phase, any::<Option<(std::net::IpAddr, u16)>>()).prop_map(|(endpoint, phase, address)| {
        EndpointChange { endpoint, phase, address: address.map(Into::into) }
    })
}

fn peer_state() -> impl Strategy<Value = PeerState> {
    prop_oneof![
        Just(PeerState::Alive),
        Just(PeerState::Suspect),
        Just(PeerState::Dead),
        Just(PeerState::Left)
    ]
}

fn endpoint_state() -> impl Strategy<Value = EndpointState> {
    prop_oneof![
        prop::sample::select(vec![
            EndpointState::Up,
            EndpointState::Trial,
            EndpointState::Draining,
            EndpointState::Removed
        ]),
        any::<u64>().prop_map(|until_us| EndpointState::Paused { until_us }),
    ]
}

fn applied_rules() -> impl Strategy<Value = Option<Box<AppliedRules>>> {
    let applied = (any::<Option<u64>>(), prop::collection::vec(name(), 0..4), any::<bool>()).prop_map(
        |(version, rules, version_uncertain)| Box::new(AppliedRules { version, rules, version_uncertain }),
    );
    prop::option::of(applied)
}

fn answer() -> impl Strategy<Value = Answer> {
    prop_oneof![
        Just(Answer::Up),
        (any::<u32>(), applied_rules())
            .prop_map(|(retry_after_ms, applied_rules)| Answer::Rejected { retry_after_ms, applied_rules }),
        reason().prop_map(|reason| Answer::Failed { reason }),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    use MoveReason::*;
    let (u64s, u32s) = (any::<u64>, any::<u32>);
    let move_reason = prop::sample::select(vec![PolicyRequest, Draining, Unresponsive, ProxyShutdown]);
    let reload = prop_oneof![Just(Reload::Applied), reason().prop_map(|reason| Reload::Rejected { reason })];
    let optional = (any::<Option<String>>(), any::<Option<u32>>(), any::<Option<u64>>(), any::<bool>());
    prop_oneof![
        (name(), u64s(), u32s(), reason()).prop_map(|(name, incarnation, pid, version)| Event::Start {
            name,
            incarnation,
            pid,
            version
        }),
        (u64s(), any::<bool>(), prop::collection::vec(endpoint_change(), 0..5))
            .prop_map(|(revision, complete, changes)| Event::List { revision, complete, changes }),
        (name(), endpoint_state()).prop_map(|(endpoint, state)| Event::Endpoint { endpoint, state }),
        (u64s(), u64s(), name(), optional).prop_map(
            |(request, id, class, (tenant, deadline_ms, group, is_retry))| {
                let (tenant, group) = (tenant.map(Name::from), group.map(Hex));
                Event::Request { request, wire_id: Hex(id), class, tenant, deadline_ms, group, is_retry }
            }
        ),
        (u64s(), u32s(), name(), u32s(), applied_rules()).prop_map(
            |(request, attempt, endpoint, timeout_ms, applied_rules)| {
                Event::Attempt { request, attempt, endpoint, timeout_ms, applied_rules }
            }
        ),
        (u64s(), u32s(), outcome(), u64s()).prop_map(|(request, attempt, outcome, took_us)| {
            Event::AttemptEnded { request, attempt, outcome, took_us }
        }),
        (u64s(), u32s(), name(), u64s()).prop_map(|(request, attempt, endpoint, took_us)| Event::Up {
            request,
            attempt,
            endpoint,
            took_us
        }),
        (u64s(), answer()).prop_map(|(request, answer)| Event::Answer { request, answer }),
        reason().prop_map(|reason| Event::ClientRejected { reason }),
        (u64s(), name(), move_reason).prop_map(|(request, endpoint, reason)| Event::Moved {
            request,
            endpoint,
            reason
        }),
        (u64s(), outcome()).prop_map(|(request, outcome)| Event::Ended { request, outcome }),
        u64s().prop_map(|request| Event::ClientLeft { request }),
        reload.prop_map(|reload| Event::Reload { reload }),
        (any::<u32>(), any::<u64>(), peer_state()).prop_map(|(peer, incarnation, state)| Event::Peer {
            peer,
            state,
            incarnation
        }),
        Just(Event::Shutdown {}),
        Just(Event::Stop {}),
    ]
}

/// The lines of a text: records, and findings with their line numbers.
fn read(text: &[u8]) -> (Vec<Record>, Vec<(u64, Finding)>) {
    let (mut records, mut findings) = (Vec::new(), Vec::new());
    for line in Reader::new(text) {
        match line.content {
            LineContent::Record(record) => records.push(record),
            LineContent::Finding(finding) => findings.push((line.location.line, finding)),
        }
    }
    (records, findings)
}

/// A line as a person would write it; `rest` begins after the event's name.
fn line(seq: u64, event: &str, rest: &str) -> String {
    format!(r#"{{"v":1,"seq":{seq},"wall_us":5,"mono_us":6,"event":"{event}"{rest}}}"#) + "\n"
}

proptest! {
    #[test]
    fn reads_what_was_written(events in prop::collection::vec((event(), any::<u64>(), any::<u64>()), 1..30)) {
        let mut written: Vec<Record> = Vec::new();
        for (event, wall_us, mono_us) in events {
            let is_start = matches!(event, Event::Start { .. });
            let seq = if is_start { 0 } else { written.last().map_or(0, |record| record.seq + 1) };
            written.push(Record { v: SCHEMA, seq, wall_us, mono_us, event });
        }
        let mut text = Vec::new();
        written.iter().for_each(|record| record.write_line(&mut text).unwrap());
        prop_assert_eq!(read(&text), (written, Vec::new()));
    }

    #[test]
    fn malformed_bytes_cost_only_their_lines(
        pieces in prop::collection::vec((any::<prop::sample::Index>(), prop::collection::vec(any::<u8>(), 0..60)), 1..12),
    ) {
        let good = line(0, "request", r#","request":1,"wire_id":"1f","class":"a","again":false"#);
        let mut text = Vec::new();
        for (at, malformed) in &pieces {
            let (left, right) = good.as_bytes().split_at(at.index(good.len()));
            text.extend([left, malformed, right, b"\n", good.as_bytes()].concat());
        }
        let (records, _) = read(&text);
        prop_assert!(records.len() >= pieces.len());
    }
}

#[test]
fn findings_have_their_line() {
    let client_left = |seq| line(seq, "client_left", r#","request":1"#);
    let long = format!("\"{}\"\n", "x".repeat(2 * MAX_LINE_BYTES));
    let deep = format!(r#","request":1,"hue":{}{}"#, "[".repeat(100_000), "]".repeat(100_000));
    let newer = client_left(9).replace(r#""v":1"#, r#""v":7"#);
    let text = [
        client_left(4),
        client_left(5),
        line(6, "eclipse", r#","of":"moon""#),
        line(7, "client_left", r#","request":1,"hue":{"a":[1]},"none":null"#),
        line(8, "client_left", r#","request":1,"hue":2"#),
        newer,
        "\n".to_owned(),
        "no record\n".to_owned(),
        long,
        line(10, "client_left", &deep),
        line(10, "client_left", r#","request":"one""#),
        line(14, "dropped", r#","count":3,"since_seq":12"#),
        client_left(3),
        line(
            0,
            "list",
            r#","revision":1,"complete":true,"changes":[{"subchannel":"s","phase":"up","size":1}]"#,
        ),
        client_left(4)[..30].to_owned() + "\n",
        line(0, "start", r#","name":"n","incarnation":1,"pid":2,"version":"x""#),
        client_left(1)[..50].to_owned(),
    ]
    .concat();
    let (records, findings) = read(text.as_bytes());
    let field = |event: &str, field: &str| Finding::UnknownField { event: event.into(), field: field.into() };
    let named: Vec<(u64, Finding)> = findings
        .into_iter()
        .map(|(line, finding)| match finding {
            Finding::Malformed { .. } => (line, Finding::Malformed { why: String::new() }),
            finding => (line, finding),
        })
        .collect();
    let malformed = || Finding::Malformed { why: String::new() };
    assert_eq!(
        named,
        [
            (1, Finding::StartsMidSequence { seq: 4 }),
            (3, Finding::UnknownEvent { event: "eclipse".into() }),
            (4, field("client_left", "hue")),
            (6, Finding::NewerSchema { v: 7 }),
            (8, malformed()),
            (9, Finding::TooLong),
            (10, malformed()),
            (11, malformed()),
            (12, Finding::Gap { since: 11, count: 1 }),
            (13, Finding::SequenceWentBack { expected: 15, found: 3 }),
            (14, field("list", "changes.size")),
            (14, Finding::SequenceWentBack { expected: 4, found: 0 }),
            (15, Finding::Truncated { bytes: 30 }),
            (17, Finding::Truncated { bytes: 50 }),
        ]
    );
    assert_eq!(records.iter().map(|record| record.seq).collect::<Vec<_>>(), [4, 5, 7, 8, 9, 14, 3, 0, 0]);
}

/// The page for readers shows each event by a line that this reader takes without a finding.
#[test]
fn examples_of_the_page_are_records() {
    let page = include_str!("../../../docs/records.md");
    let examples: Vec<&str> = page.lines().map(str::trim).filter(|line| line.starts_with("{\"v\"")).collect();
    let mut names = BTreeSet::new();
    for example in examples {
        let lines: Vec<Line> = Reader::new(example.as_bytes()).collect();
        let record = lines.iter().find_map(|line| match &line.content {
            LineContent::Record(record) => Some(record),
            LineContent::Finding(Finding::StartsMidSequence { .. }) => None,
            LineContent::Finding(finding) => panic!("{example}: {finding}"),
        });
        let mut text = Vec::new();
        record.unwrap().write_line(&mut text).unwrap();
        assert_eq!(String::from_utf8(text).unwrap().trim_end(), example);
        names.extend(
            Event::NAMES.into_iter().filter(|name| example.contains(&format!(r#""event":"{name}""#))),
        );
    }
    assert_eq!(names, BTreeSet::from(Event::NAMES));
}
