//! Render nodes that end, spoil or repeat what they say, on connections that are up.

use crate::peers::*;
use cottonnotch_records::{Event, LineContent, Outcome, RotatedSet};
use std::io::ErrorKind;
use std::process::Command;
use tempfile::TempDir;

/// Render nodes drain from now on; there is no other one.
fn drains(node: &ScriptedServer) -> String {
    chunk(&list(2, false, &[member("s0", node, "draining")]))
}

// Guards relay.rs `pass_subchannel`: what came before the reset is passed on first.
/// Lines before a reset are relayed whole and the reset as a reset.
#[test]
fn relays_lines_before_reset() {
    let node = ScriptedServer::new();
    let proxy = Proxy::start(&[&node]);
    let (mut client, far) = proxy.establish(&node);
    proxy.pause();
    far.send_and_reset("M 1 a\r\nLOAD 2\r\nM 2 b");
    proxy.resume_after_arrival();
    assert_eq!([client.receive(), client.receive()], ["M 1 a\r\n", "LOAD 2\r\n"]);
    assert_eq!(client.receive_rest().unwrap_err().kind(), ErrorKind::ConnectionReset);
}

// Guards line.rs `flush`, which remembers a reset: the client's line is written first, and reading shows an end after it.
/// A reset that a client's line runs into is a reset all the same.
#[test]
fn relays_reset_met_by_client_line() {
    let node = ScriptedServer::new();
    let proxy = Proxy::start(&[&node]);
    let (mut client, far) = proxy.establish(&node);
    proxy.pause();
    client.send("M 1 a\r\n");
    far.send_and_reset("LOAD 2\r\n");
    proxy.resume_after_arrival();
    assert_eq!(client.receive(), "LOAD 2\r\n");
    assert_eq!(client.receive_rest().unwrap_err().kind(), ErrorKind::ConnectionReset);
}

// Guards relay.rs `pass_subchannel`: a client that cannot be written to has broken off, and is told on as that.
/// A client's reset that a line runs into reaches the render node as a reset.
#[test]
fn relays_client_reset_met_by_line() {
    let node = ScriptedServer::new();
    let proxy = Proxy::start(&[&node]);
    let (client, mut far) = proxy.establish(&node);
    proxy.pause();
    far.send("M 1 a\r\n");
    client.send_and_reset("M 2 b\r\n");
    proxy.resume_after_arrival();
    assert_eq!(far.receive_rest().unwrap_err().kind(), ErrorKind::ConnectionReset);
}

// Guards relay.rs `pass_subchannel`: what comes is passed on unchanged up to the end, also where that is no line.
/// Half a line and the end reach the client as they are.
#[test]
fn relays_partial_line_and_end() {
    let node = ScriptedServer::new();
    let proxy = Proxy::start(&[&node]);
    let (mut client, mut far) = proxy.establish(&node);
    proxy.pause();
    far.send("M 1 a\r\nM 2 b");
    drop(far);
    proxy.resume_after_arrival();
    assert_eq!(client.receive_rest().unwrap(), "M 1 a\r\nM 2 b");
}

// Guards relay.rs `pass_subchannel`: half a line is kept back, so that `MOVE` comes between two.
/// A client is migrated between two lines while half a line has come.
#[test]
fn migrates_between_lines() {
    let node = ScriptedServer::new();
    let proxy = Proxy::start(&[&node]);
    let (mut client, mut far) = proxy.establish(&node);
    let (mut watch, _) = proxy.discovery.accept_watch();
    // The half was read with the line before it.
    far.send("M 1 a\r\nM 2 b");
    assert_eq!(client.receive(), "M 1 a\r\n");
    watch.send(&drains(&node));
    assert_eq!(client.receive_rest().unwrap(), "MOVE\r\n");
    assert_eq!(far.receive_rest().unwrap(), "", "and the render node's side is closed");
    // The other half comes in the same moment as the drain.
    let node = ScriptedServer::new();
    let proxy = Proxy::start(&[&node]);
    let (mut client, mut far) = proxy.establish(&node);
    let (mut watch, _) = proxy.discovery.accept_watch();
    far.send("M 1 a\r\nM 2 b");
    assert_eq!(client.receive(), "M 1 a\r\n");
    proxy.pause();
    watch.send(&drains(&node));
    far.send(" c\r\nM 3");
    proxy.resume_after_arrival();
    assert_eq!(client.receive_rest().unwrap(), "M 2 b c\r\nMOVE\r\n");
}

// Guards relay.rs `pass_subchannel` and rpc.rs `relay`: the render node runs, so its client is moved, not cut off.
/// A line without end migrates the client and counts as a reset.
#[test]
fn endless_line_migrates_client() {
    let folder = TempDir::new().unwrap();
    let (records, operator) = (folder.path().join("records"), folder.path().join("operator.toml"));
    let text = format!("[records]\nfile = \"{}\"\nflush_ms = 10\n", records.display());
    std::fs::write(&operator, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_cottonnotch"));
    command.env("COTTONNOTCH_OPERATOR", operator);
    let node = ScriptedServer::new();
    let mut proxy = Proxy::by(command, &[&node], 1024, SETTINGS);
    let (mut client, mut far) = proxy.establish(&node);
    proxy.pause();
    far.send(&format!("M 1 a\r\nM 2 {}", "x".repeat(5000)));
    proxy.resume_after_arrival();
    assert_eq!(client.receive_rest().unwrap(), "M 1 a\r\nMOVE\r\n");
    wait_for(TIMEOUT, "the render node's side is closed", || far.try_send("x").err());
    proxy.terminate();
    assert!(proxy.wait_for_exit().success());
    let ended = RotatedSet::open(&records).unwrap().filter_map(|line| match line.content {
        LineContent::Record(record) => match record.event {
            Event::Ended { outcome, .. } => Some(outcome),
            _ => None,
        },
        LineContent::Finding(finding) => panic!("{finding:?}"),
    });
    assert_eq!(ended.collect::<Vec<_>>(), [Outcome::Reset]);
}

// Guards line.rs `take_line`: the longest line that the protocol has is one.
/// A line of just four kibibytes is relayed.
#[test]
fn relays_line_of_four_kibibytes() {
    let node = ScriptedServer::new();
    let proxy = Proxy::start(&[&node]);
    let (mut client, mut far) = proxy.establish(&node);
    let longest = format!("{}\r\n", "x".repeat(4094));
    far.send(&format!("{longest}M 2 b\r\n"));
    assert_eq!([client.receive(), client.receive()], [longest, "M 2 b\r\n".to_owned()]);
}
