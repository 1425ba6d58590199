use super::discovery_list::initial_list;
use super::testing::{EmulatorFn, EmulatorRun, Peer};
use crate::model::testing::plan;
use crate::observation::Seen;
use crate::plan::Phase;
use crate::plan::{DiscoveryChange, NodeChange, NodeId, ProxyId, TimelineChange};
use crate::time::{MS, Micros, S};
use simd_json::OwnedValue;
use simd_json::prelude::*;
use std::time::Duration;

const EMULATOR: EmulatorFn = super::discovery::run;
const P1: ProxyId = ProxyId(1);
const SILENCE_PERIOD: Duration = Duration::from_millis(300);

fn start_run(events: Vec<(Micros, TimelineChange)>) -> EmulatorRun {
    let mut plan = plan(3, 2, 0);
    plan.nodes[2].from_start = false;
    EmulatorRun::new(plan, events, EMULATOR)
}

fn discovery_change(change: DiscoveryChange) -> TimelineChange {
    TimelineChange::Discovery(change)
}

fn listed(node: u16, phase: Phase) -> TimelineChange {
    TimelineChange::Listed(NodeId(node), phase)
}

fn send_call(run: &EmulatorRun, moves: u16, query: &str) -> Peer {
    let mut peer = Peer::connect(run.addresses.discovery(moves, P1));
    peer.write(&format!(
        "GET /registry/instances{query} HTTP/1.1\r\nHost: x\r\nAccept: application/json\r\n\r\n"
    ));
    peer
}

/// Reads the head of a response, and returns the status line and the header lines.
fn read_head(peer: &mut Peer) -> (String, String) {
    let status = peer.read_line();
    let mut head = String::new();
    loop {
        let line = peer.read_line();
        if line == "\r\n" || line.is_empty() {
            return (status, head);
        }
        head += &line;
    }
}

/// Reads the next chunk, and returns its text including the line end.
fn read_chunk(peer: &mut Peer) -> String {
    let size = usize::from_str_radix(peer.read_line().trim(), 16).unwrap();
    let text = peer.read_exact(size);
    assert_eq!(peer.read_line(), "\r\n");
    text
}

/// Begins a watch, and returns its connection and its parsed first line.
fn begin_watch(run: &EmulatorRun, moves: u16, from: u64) -> (Peer, OwnedValue) {
    let mut peer = send_call(run, moves, &format!("?watch=1&from={from}"));
    let (status, head) = read_head(&mut peer);
    assert!(status.starts_with("HTTP/1.1 200 "), "{status}");
    assert!(head.to_ascii_lowercase().contains("transfer-encoding: chunked"), "{head}");
    let first = parse_json(&read_chunk(&mut peer));
    (peer, first)
}

fn parse_json(text: &str) -> OwnedValue {
    simd_json::to_owned_value(&mut text.as_bytes().to_vec()).unwrap()
}

fn members(list: &OwnedValue) -> Vec<(String, String)> {
    let member = |m: &OwnedValue| (m.get_str("id").unwrap().into(), m.get_str("phase").unwrap().into());
    list.get_array("members").unwrap().iter().map(member).collect()
}

fn expected_members(expected: &[(&str, &str)]) -> Vec<(String, String)> {
    expected.iter().map(|(id, phase)| (id.to_string(), phase.to_string())).collect()
}

#[test]
fn list_call_returns_the_initial_list_in_protocol_form() {
    let run = start_run(vec![]);
    let mut peer = send_call(&run, 0, "");
    let (status, answer_head) = read_head(&mut peer);
    assert!(status.starts_with("HTTP/1.1 200 "), "{status}");
    let length = answer_head.lines().find_map(|line| line.strip_prefix("Content-Length: ")).unwrap();
    let text = peer.read_exact(length.parse().unwrap());
    assert_eq!(text.trim(), initial_list(&run.plan, &run.addresses, &run.board.clock, P1).unwrap());
    let list = parse_json(&text);
    assert_eq!((list.get_u64("revision"), list.get_bool("complete")), (Some(41), Some(true)));
    let first = &list.get_array("members").unwrap()[0];
    let address = run.addresses.node(NodeId(0), P1).to_string();
    let expected = format!(
        r#"{{"id":"n0","host_port":"{address}","locality":"a","flavor":"std","cell":0,"phase":"up","size":1.0,"up_since_ms":0}}"#
    );
    assert_eq!(*first, parse_json(&expected));
    // The same connection serves a second call. Requests for other paths or with other methods, and input that
    // is not HTTP, are rejected.
    peer.write("GET /registry/instances HTTP/1.1\r\n\r\n");
    assert!(read_head(&mut peer).0.starts_with("HTTP/1.1 200 "));
    for (request, status) in
        [("GET /other HTTP/1.1", "404"), ("PUT /registry/instances HTTP/1.1", "405"), ("x", "400")]
    {
        let mut peer = Peer::connect(run.addresses.discovery(0, P1));
        peer.write(&format!("{request}\r\n\r\n"));
        assert!(read_head(&mut peer).0.contains(status), "{request}");
    }
}

#[test]
fn watch_reports_changes_and_heartbeats() {
    let start = TimelineChange::Node(NodeId(2), NodeChange::Start);
    let run = start_run(vec![
        (0, start),
        (MS, listed(2, Phase::Up)),
        (2 * MS, listed(0, Phase::Draining)),
        (S, listed(0, Phase::Removed)),
    ]);
    let (mut peer, first) = begin_watch(&run, 0, 0);
    run.assert_set_up_in_time();
    assert_eq!(members(&first), expected_members(&[("n0", "up"), ("n1", "up")]));
    let mut changes = Vec::new();
    let mut beats = 0;
    while beats == 0 || changes.len() < 3 {
        match read_chunk(&mut peer).as_str() {
            "\n" => beats += 1,
            line => changes.push(parse_json(line)),
        }
    }
    let of = |i: usize| (changes[i].get_u64("revision"), members(&changes[i]));
    assert_eq!(of(0), (Some(42), expected_members(&[("n2", "up")])));
    assert_eq!(of(1), (Some(43), expected_members(&[("n0", "draining")])));
    assert_eq!(of(2), (Some(44), expected_members(&[("n0", "removed")])));
    let since = changes[0].get_array("members").unwrap()[0].get_u64("up_since_ms").unwrap();
    assert_eq!(since, run.board.clock.unix_ms(super::testing::FIRST_EVENT_AT));
    let (late, first) = begin_watch(&run, 0, 42);
    assert_eq!(members(&first), expected_members(&[("n0", "removed")]));
    drop((peer, late));
    std::thread::sleep(Duration::from_millis(50));
    let notes = run.finish();
    let position = |seen: &Seen| notes.iter().position(|s| s == seen).unwrap();
    let changed = Seen::Listed { node: NodeId(0), phase: Phase::Draining };
    let told = Seen::Told { proxy: P1, node: NodeId(0), phase: Phase::Draining };
    assert!(position(&changed) < position(&told));
    assert!(notes.contains(&Seen::Told { proxy: P1, node: NodeId(1), phase: Phase::Up }));
    let watching = notes.iter().filter(|seen| matches!(seen, Seen::Watching { .. })).count();
    assert_eq!(watching, 4, "two watches began and ended");
}

#[test]
fn discovery_refuses_connections_while_down_and_serves_once_restored() {
    let run = start_run(vec![
        (0, discovery_change(DiscoveryChange::Down)),
        (S, discovery_change(DiscoveryChange::Restore)),
    ]);
    let (mut peer, _) = begin_watch(&run, 0, 0);
    run.assert_set_up_in_time();
    assert!(peer.read_to_end().is_err(), "an open watch is reset");
    let refused = std::net::TcpStream::connect(run.addresses.discovery(0, P1)).unwrap_err();
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    run.wait_until(S);
    begin_watch(&run, 0, 0);
    let notes = run.finish();
    let up: Vec<bool> = notes
        .iter()
        .filter_map(|s| if let Seen::DiscoveryUp { up } = s { Some(*up) } else { None })
        .collect();
    assert_eq!(up, [true, false, true]);
}

#[test]
fn unavailable_answers_503_resetting_resets_and_silent_delays() {
    let run = start_run(vec![
        (0, discovery_change(DiscoveryChange::Unavailable)),
        (700 * MS, discovery_change(DiscoveryChange::Resetting)),
        (1400 * MS, discovery_change(DiscoveryChange::Silent)),
        (1500 * MS, listed(1, Phase::Draining)),
        (2400 * MS, discovery_change(DiscoveryChange::Restore)),
    ]);
    let (mut open_watch, _) = begin_watch(&run, 0, 0);
    run.assert_set_up_in_time();
    run.wait_until(50 * MS);
    let mut peer = send_call(&run, 0, "");
    assert!(read_head(&mut peer).0.starts_with("HTTP/1.1 503 "));
    run.wait_until(750 * MS);
    assert!(open_watch.read_to_end().is_err());
    assert!(send_call(&run, 0, "").read_to_end().is_err());
    run.wait_until(1450 * MS);
    let mut peer = send_call(&run, 0, "?watch=1&from=41");
    assert!(peer.is_silent_for(SILENCE_PERIOD));
    assert!(read_head(&mut peer).0.starts_with("HTTP/1.1 200 "));
    assert_eq!(members(&parse_json(&read_chunk(&mut peer))), expected_members(&[("n1", "draining")]));
}

#[test]
fn change_is_written_in_pieces_and_unreadable_list_is_followed_by_a_good_one() {
    let run = start_run(vec![
        (0, discovery_change(DiscoveryChange::InPieces)),
        (1, listed(0, Phase::Draining)),
        (500 * MS, discovery_change(DiscoveryChange::BadList)),
        (501 * MS, listed(1, Phase::Draining)),
    ]);
    let (mut peer, _) = begin_watch(&run, 0, 0);
    run.assert_set_up_in_time();
    assert_eq!(members(&parse_json(&read_chunk(&mut peer))), expected_members(&[("n0", "draining")]));
    let bad = read_chunk(&mut peer);
    assert!(simd_json::to_owned_value(&mut bad.clone().into_bytes()).is_err(), "{bad}");
    assert_eq!(members(&parse_json(&read_chunk(&mut peer))), expected_members(&[("n1", "draining")]));
    let notes = run.finish();
    let told = Seen::Told { proxy: P1, node: NodeId(1), phase: Phase::Draining };
    assert_eq!(notes.iter().filter(|seen| **seen == told).count(), 1, "an unreadable list tells nothing");
}

#[test]
fn watch_after_a_gap_gets_the_whole_list_and_after_a_move_needs_the_new_address() {
    let run = start_run(vec![
        (0, discovery_change(DiscoveryChange::Gap)),
        (500 * MS, discovery_change(DiscoveryChange::MoveAway)),
    ]);
    let (mut old, first) = begin_watch(&run, 0, 41);
    run.assert_set_up_in_time();
    assert_eq!(first.get_bool("complete"), Some(false));
    run.wait_until(50 * MS);
    let (_gap, first) = begin_watch(&run, 0, 41);
    assert_eq!(first.get_bool("complete"), Some(true));
    run.wait_until(600 * MS);
    let refused = std::net::TcpStream::connect(run.addresses.discovery(0, P1)).unwrap_err();
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    let (_new, _) = begin_watch(&run, 1, 41);
    old.read_to_end().expect("the old watch is closed without a reset");
    let open_for = run.board.clock.now() - super::testing::FIRST_EVENT_AT - 500 * MS;
    assert!(open_for > 1400 * MS, "the old watch was closed {open_for} us after the move");
}
