use super::discovery_list::known;
use super::testing::{Peer, Run, Stage};
use crate::model::testing::plan;
use crate::observation::Seen;
use crate::plan::Phase;
use crate::plan::{DiscoveryChange, NodeChange, NodeId, ProxyId, TimelineChange};
use crate::time::{MS, Micros, S};
use simd_json::OwnedValue;
use simd_json::prelude::*;
use std::time::Duration;

const RUN: Run = super::discovery::run;
const P1: ProxyId = ProxyId(1);
const QUIET: Duration = Duration::from_millis(300);

fn stage(happenings: Vec<(Micros, TimelineChange)>) -> Stage {
    let mut plan = plan(3, 2, 0);
    plan.nodes[2].from_start = false;
    Stage::new(plan, happenings, RUN)
}

fn fault(change: DiscoveryChange) -> TimelineChange {
    TimelineChange::Discovery(change)
}

fn listed(node: u16, phase: Phase) -> TimelineChange {
    TimelineChange::Listed(NodeId(node), phase)
}

fn call(stage: &Stage, moves: u16, query: &str) -> Peer {
    let mut peer = Peer::connect(stage.addresses.discovery(moves, P1));
    peer.say(&format!(
        "GET /registry/instances{query} HTTP/1.1\r\nHost: x\r\nAccept: application/json\r\n\r\n"
    ));
    peer
}

/// Reads the head of a response, and returns the status line and the header lines.
fn head(peer: &mut Peer) -> (String, String) {
    let status = peer.hear();
    let mut head = String::new();
    loop {
        let line = peer.hear();
        if line == "\r\n" || line.is_empty() {
            return (status, head);
        }
        head += &line;
    }
}

/// Reads the next chunk, and returns its text including the line end.
fn chunk(peer: &mut Peer) -> String {
    let size = usize::from_str_radix(peer.hear().trim(), 16).unwrap();
    let text = peer.read_exact(size);
    assert_eq!(peer.hear(), "\r\n");
    text
}

/// Begins a watch, and returns its connection and its parsed first line.
fn watch(stage: &Stage, moves: u16, from: u64) -> (Peer, OwnedValue) {
    let mut peer = call(stage, moves, &format!("?watch=1&from={from}"));
    let (status, head) = head(&mut peer);
    assert!(status.starts_with("HTTP/1.1 200 "), "{status}");
    assert!(head.to_ascii_lowercase().contains("transfer-encoding: chunked"), "{head}");
    let first = json(&chunk(&mut peer));
    (peer, first)
}

fn json(text: &str) -> OwnedValue {
    simd_json::to_owned_value(&mut text.as_bytes().to_vec()).unwrap()
}

fn members(list: &OwnedValue) -> Vec<(String, String)> {
    let member = |m: &OwnedValue| (m.get_str("id").unwrap().into(), m.get_str("phase").unwrap().into());
    list.get_array("members").unwrap().iter().map(member).collect()
}

fn pairs(expected: &[(&str, &str)]) -> Vec<(String, String)> {
    expected.iter().map(|(id, phase)| (id.to_string(), phase.to_string())).collect()
}

#[test]
fn the_list_has_the_form_of_the_protocol_and_is_what_a_proxy_is_told_at_first() {
    let stage = stage(vec![]);
    let mut peer = call(&stage, 0, "");
    let (status, answer_head) = head(&mut peer);
    assert!(status.starts_with("HTTP/1.1 200 "), "{status}");
    let length = answer_head.lines().find_map(|line| line.strip_prefix("Content-Length: ")).unwrap();
    let text = peer.read_exact(length.parse().unwrap());
    assert_eq!(text.trim(), known(&stage.plan, &stage.addresses, &stage.board.clock, P1).unwrap());
    let list = json(&text);
    assert_eq!((list.get_u64("revision"), list.get_bool("complete")), (Some(41), Some(true)));
    let first = &list.get_array("members").unwrap()[0];
    let address = stage.addresses.node(NodeId(0), P1).to_string();
    let expected = format!(
        r#"{{"id":"n0","host_port":"{address}","locality":"a","flavor":"std","cell":0,"phase":"up","size":1.0,"up_since_ms":0}}"#
    );
    assert_eq!(*first, json(&expected));
    // The same connection serves a second call. Requests for other paths or with other methods, and input that
    // is not HTTP, are rejected.
    peer.say("GET /registry/instances HTTP/1.1\r\n\r\n");
    assert!(head(&mut peer).0.starts_with("HTTP/1.1 200 "));
    for (request, status) in
        [("GET /other HTTP/1.1", "404"), ("PUT /registry/instances HTTP/1.1", "405"), ("x", "400")]
    {
        let mut peer = Peer::connect(stage.addresses.discovery(0, P1));
        peer.say(&format!("{request}\r\n\r\n"));
        assert!(head(&mut peer).0.contains(status), "{request}");
    }
}

#[test]
fn a_watch_tells_changes_and_beats() {
    let start = TimelineChange::Node(NodeId(2), NodeChange::Start);
    let stage = stage(vec![
        (0, start),
        (MS, listed(2, Phase::Up)),
        (2 * MS, listed(0, Phase::Draining)),
        (S, listed(0, Phase::Removed)),
    ]);
    let (mut peer, first) = watch(&stage, 0, 0);
    stage.set();
    assert_eq!(members(&first), pairs(&[("n0", "up"), ("n1", "up")]));
    let mut changes = Vec::new();
    let mut beats = 0;
    while beats == 0 || changes.len() < 3 {
        match chunk(&mut peer).as_str() {
            "\n" => beats += 1,
            line => changes.push(json(line)),
        }
    }
    let of = |i: usize| (changes[i].get_u64("revision"), members(&changes[i]));
    assert_eq!(of(0), (Some(42), pairs(&[("n2", "up")])));
    assert_eq!(of(1), (Some(43), pairs(&[("n0", "draining")])));
    assert_eq!(of(2), (Some(44), pairs(&[("n0", "removed")])));
    let since = changes[0].get_array("members").unwrap()[0].get_u64("up_since_ms").unwrap();
    assert_eq!(since, stage.board.clock.unix_ms(super::testing::CUE));
    let (late, first) = watch(&stage, 0, 42);
    assert_eq!(members(&first), pairs(&[("n0", "removed")]));
    drop((peer, late));
    std::thread::sleep(Duration::from_millis(50));
    let notes = stage.notes();
    let place = |seen: &Seen| notes.iter().position(|s| s == seen).unwrap();
    let changed = Seen::Listed { node: NodeId(0), phase: Phase::Draining };
    let told = Seen::Told { proxy: P1, node: NodeId(0), phase: Phase::Draining };
    assert!(place(&changed) < place(&told));
    assert!(notes.contains(&Seen::Told { proxy: P1, node: NodeId(1), phase: Phase::Up }));
    let watching = notes.iter().filter(|seen| matches!(seen, Seen::Watching { .. })).count();
    assert_eq!(watching, 4, "two watches began and ended");
}

#[test]
fn down_it_refuses_and_restored_it_serves() {
    let stage = stage(vec![(0, fault(DiscoveryChange::Down)), (S, fault(DiscoveryChange::Restore))]);
    let (mut peer, _) = watch(&stage, 0, 0);
    stage.set();
    assert!(peer.rest().is_err(), "an open watch is reset");
    let refused = std::net::TcpStream::connect(stage.addresses.discovery(0, P1)).unwrap_err();
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    stage.wait(S);
    watch(&stage, 0, 0);
    let notes = stage.notes();
    let up: Vec<bool> = notes
        .iter()
        .filter_map(|s| if let Seen::DiscoveryUp { up } = s { Some(*up) } else { None })
        .collect();
    assert_eq!(up, [true, false, true]);
}

#[test]
fn unavailable_resetting_and_silent_are_what_they_say() {
    let stage = stage(vec![
        (0, fault(DiscoveryChange::Unavailable)),
        (700 * MS, fault(DiscoveryChange::Resetting)),
        (1400 * MS, fault(DiscoveryChange::Silent)),
        (1500 * MS, listed(1, Phase::Draining)),
        (2400 * MS, fault(DiscoveryChange::Restore)),
    ]);
    let (mut standing, _) = watch(&stage, 0, 0);
    stage.set();
    stage.wait(50 * MS);
    let mut peer = call(&stage, 0, "");
    assert!(head(&mut peer).0.starts_with("HTTP/1.1 503 "));
    stage.wait(750 * MS);
    assert!(standing.rest().is_err());
    assert!(call(&stage, 0, "").rest().is_err());
    stage.wait(1450 * MS);
    let mut peer = call(&stage, 0, "?watch=1&from=41");
    assert!(peer.is_silent_for(QUIET));
    assert!(head(&mut peer).0.starts_with("HTTP/1.1 200 "));
    assert_eq!(members(&json(&chunk(&mut peer))), pairs(&[("n1", "draining")]));
}

#[test]
fn a_change_comes_in_pieces_and_a_bad_list_is_made_good() {
    let stage = stage(vec![
        (0, fault(DiscoveryChange::InPieces)),
        (1, listed(0, Phase::Draining)),
        (500 * MS, fault(DiscoveryChange::BadList)),
        (501 * MS, listed(1, Phase::Draining)),
    ]);
    let (mut peer, _) = watch(&stage, 0, 0);
    stage.set();
    assert_eq!(members(&json(&chunk(&mut peer))), pairs(&[("n0", "draining")]));
    let bad = chunk(&mut peer);
    assert!(simd_json::to_owned_value(&mut bad.clone().into_bytes()).is_err(), "{bad}");
    assert_eq!(members(&json(&chunk(&mut peer))), pairs(&[("n1", "draining")]));
    let notes = stage.notes();
    let told = Seen::Told { proxy: P1, node: NodeId(1), phase: Phase::Draining };
    assert_eq!(notes.iter().filter(|seen| **seen == told).count(), 1, "an unreadable list tells nothing");
}

#[test]
fn after_a_gap_the_whole_list_comes_and_after_a_move_all_is_elsewhere() {
    let stage = stage(vec![(0, fault(DiscoveryChange::Gap)), (500 * MS, fault(DiscoveryChange::MoveAway))]);
    let (mut old, first) = watch(&stage, 0, 41);
    stage.set();
    assert_eq!(first.get_bool("complete"), Some(false));
    stage.wait(50 * MS);
    let (_gap, first) = watch(&stage, 0, 41);
    assert_eq!(first.get_bool("complete"), Some(true));
    stage.wait(600 * MS);
    let refused = std::net::TcpStream::connect(stage.addresses.discovery(0, P1)).unwrap_err();
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    let (_new, _) = watch(&stage, 1, 41);
    old.rest().expect("the old watch is closed without a reset");
    let stood = stage.board.clock.now() - super::testing::CUE - 500 * MS;
    assert!(stood > 1400 * MS, "the old watch was closed {stood} us after the move");
}
