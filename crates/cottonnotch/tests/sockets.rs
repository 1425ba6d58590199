//! Stories over loopback sockets: the real program between scripted clients, render nodes and discovery.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod peers;
use peers::*;
use std::io::ErrorKind;
use std::process::Command;
use std::time::{Duration, Instant};

/// Lines pass unchanged and an end is relayed as an end.
#[test]
fn relays_lines_and_end_unchanged() {
    let node = ScriptedServer::new();
    let proxy = Proxy::start(&[&node]);
    let mut client = proxy.connect();
    let (head, tail) = OPEN.split_at(9);
    client.send(head);
    std::thread::sleep(Duration::from_millis(20));
    client.send(tail);
    let (mut far, line) = node.accept_attempt();
    let (before, after) = line.split_once(",d=").unwrap();
    let (wait, after) = after.split_once(',').unwrap();
    assert_eq!((before, after), ("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=look", "g=5c0f\r\n"));
    assert!((200..=300).contains(&wait.parse::<u32>().unwrap()), "the attempt's own time is told: {wait}");
    far.send("UP 77\r\nLOAD 1");
    assert_eq!(client.receive(), "UP 77\r\n");
    far.send("2.5\r\n");
    assert_eq!(client.receive(), "LOAD 12.5\r\n");
    client.send("M 1 abc\r\nM 2 def\r\n");
    assert_eq!((far.receive(), far.receive()), ("M 1 abc\r\n".to_owned(), "M 2 def\r\n".to_owned()));
    far.send("M 1 abc\r\nBYE\r\n");
    drop(far);
    assert_eq!(client.receive_rest().unwrap(), "M 1 abc\r\nBYE\r\n");
}

/// A client's end reaches the render node and its last lines still come back.
#[test]
fn relays_half_close_and_last_lines() {
    let node = ScriptedServer::new();
    let proxy = Proxy::start(&[&node]);
    let (mut client, mut far) = proxy.establish(&node);
    client.send("M 9 x\r\n");
    client.finish();
    assert_eq!(far.receive_rest().unwrap(), "M 9 x\r\n");
    far.send("M 9 x\r\nBYE\r\n");
    drop(far);
    assert_eq!(client.receive_rest().unwrap(), "M 9 x\r\nBYE\r\n");
}

/// A reset is relayed as a reset both ways.
#[test]
fn relays_reset_both_ways() {
    let node = ScriptedServer::new();
    let proxy = Proxy::start(&[&node]);
    let (client, mut far) = proxy.establish(&node);
    client.reset();
    assert_eq!(far.receive_rest().unwrap_err().kind(), ErrorKind::ConnectionReset);
    let (mut client, far) = proxy.establish(&node);
    far.reset();
    assert_eq!(client.receive_rest().unwrap_err().kind(), ErrorKind::ConnectionReset);
}

/// A full render node is left before the next is tried.
#[test]
fn closes_full_endpoint_before_next_attempt() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let proxy = Proxy::start(&[&nodes[0], &nodes[1]]);
    let mut client = proxy.open();
    let (first, mut far) = accept_attempt_at(&nodes);
    far.receive();
    assert!(nodes[1 - first].poll().is_none(), "never two attempts out");
    far.send("BUSY\r\n");
    let mut second = nodes[1 - first].accept_attempt().0;
    assert_eq!(far.receive_rest().unwrap(), "", "the first attempt is closed");
    second.send("UP 2\r\n");
    assert_eq!(client.receive(), "UP 2\r\n");
}

/// A silent render node is abandoned for another one.
#[test]
fn retries_after_silent_endpoint() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let proxy = Proxy::start(&[&nodes[0], &nodes[1]]);
    let mut client = proxy.open();
    let (first, mut far) = accept_attempt_at(&nodes);
    far.receive();
    let mut second = nodes[1 - first].accept_attempt().0;
    assert_eq!(far.receive_rest().unwrap(), "", "closed when its time was up");
    second.send("UP 2\r\n");
    assert_eq!(client.receive(), "UP 2\r\n");
}

/// What cannot be placed is rejected once with a time.
#[test]
fn rejects_once_with_retry_after() {
    let node = ScriptedServer::new();
    let proxy = Proxy::start(&[&node]);
    let mut client = proxy.connect();
    client.send(&OPEN.replace("d=2000", "d=300"));
    let mut far = node.accept_attempt().0;
    let begun = Instant::now();
    far.send("BUSY\r\n");
    let answer = client.receive_rest().unwrap();
    let wait = answer.strip_prefix("BUSY ").and_then(|w| w.strip_suffix("\r\n"));
    assert!(wait.is_some_and(|w| (1..=1000).contains(&w.parse::<u32>().unwrap())), "{answer}");
    assert!(begun.elapsed() < Duration::from_millis(350), "by the deadline");
}

/// Malformed data costs one line and nothing else.
#[test]
fn answers_malformed_lines_with_error() {
    let node = ScriptedServer::new();
    let proxy = Proxy::start(&[&node]);
    let long = format!("OPEN {}\r\n", "x".repeat(5000));
    for rubbish in ["\r\n", "GET / HTTP/1.1\r\n", "OPEN a b c=look,d=-1\r\n", "OPEN a b d=5\r\n", &long] {
        let mut client = proxy.connect();
        client.send(rubbish);
        let answer = client.receive_rest().unwrap();
        assert!(answer.starts_with("ERR ") && answer.ends_with("\r\n"), "{rubbish:?}: {answer}");
        assert_eq!(answer.lines().count(), 1, "{rubbish:?}: {answer}");
    }
    let mut front = proxy.connect();
    front.send("PING\r\nPING\r\n");
    assert_eq!((front.receive(), front.receive()), ("PONG\r\n".to_owned(), "PONG\r\n".to_owned()));
    assert!(node.poll().is_none(), "no rubbish is passed on");
}

/// A connection from before the start goes back to its render node.
#[test]
fn reopens_connection_at_its_endpoint() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let proxy = Proxy::start(&[&nodes[0], &nodes[1]]);
    for _ in 0..3 {
        let mut client = proxy.connect();
        client.send(&with_fresh_id(&OPEN.replace("g=5c0f", "at=s1")));
        nodes[1].accept_attempt().0.send("BUSY\r\n");
        let mut far = nodes[1].accept_attempt().0;
        far.send("UP 5\r\n");
        assert_eq!(client.receive(), "UP 5\r\n", "tried there until it is up");
    }
    assert!(nodes[0].poll().is_none());
}

/// A change in pieces drains a render node and migrates its client.
#[test]
fn drains_endpoint_on_change_in_pieces() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let proxy = Proxy::start(&[&nodes[0]]);
    let (mut client, mut far) = proxy.establish(&nodes[0]);
    let (mut watch, asked) = proxy.discovery.accept_watch();
    assert_eq!(asked, "GET /registry/instances?watch=1&from=1 HTTP/1.1\r\n");
    let members = [member("s0", &nodes[0], "draining"), member("s1", &nodes[1], "up")];
    for piece in chunk(&list(2, false, &members)).as_bytes().chunks(7) {
        watch.send(std::str::from_utf8(piece).unwrap());
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(
        client.receive_rest().unwrap(),
        "MOVE\r\n",
        "the client is told before its render node leaves"
    );
    assert_eq!(far.receive_rest().unwrap(), "");
    let _held: Vec<(ScriptedPeer, ScriptedPeer)> =
        (0..3).map(|_| (proxy.open(), nodes[1].accept_attempt().0)).collect();
    assert!(nodes[0].poll().is_none(), "nothing new to it");
}

/// A bad list is dropped as a whole and requested again.
#[test]
fn drops_bad_list_and_requests_again() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let proxy = Proxy::start(&[&nodes[0]]);
    let (mut watch, _) = proxy.discovery.accept_watch();
    let half = list(9, true, &[member("s1", &nodes[1], "up"), member("s2", &nodes[1], "asleep")]);
    watch.send(&chunk(&half));
    assert!(proxy.wait_for_log("watch on discovery lost").contains("'phase'"));
    let (_, asked) = proxy.discovery.accept_watch();
    assert!(asked.contains("from=1 "), "from the last good revision: {asked}");
    let _client = proxy.open();
    nodes[0].accept_attempt();
    assert!(nodes[1].poll().is_none(), "nothing of the bad list was taken");
}

/// A silent watch is lost and opened again.
#[test]
fn reopens_silent_watch() {
    let node = ScriptedServer::new();
    let proxy = Proxy::start(&[&node]);
    let (mut watch, _) = proxy.discovery.accept_watch();
    watch.send(&chunk(&list(4, false, &[])));
    let again = proxy.discovery.accept_watch().1;
    assert!(again.contains("from=4 "), "{again}");
}

/// A render node that hangs loses its client within seven seconds.
#[test]
fn migrates_client_from_hanging_endpoint() {
    let node = ScriptedServer::new();
    // With no aim for messages, no delay is noted, and the module moves nobody by itself.
    let proxy = Proxy::with(&[&node], 1024, &SETTINGS.replace("[150000.0]", "[]"));
    let (mut client, mut far) = proxy.establish(&node);
    client.send("M 1 a\r\n");
    let begun = Instant::now();
    assert_eq!(client.receive_rest().unwrap(), "MOVE\r\n");
    assert!((4..7).contains(&begun.elapsed().as_secs()), "{:?}", begun.elapsed());
    assert_eq!(far.receive(), "M 1 a\r\n");
    assert_eq!(far.receive(), "", "its connection is closed");
}

/// At the descriptor bound clients are rejected at once.
#[test]
fn rejects_clients_at_descriptor_limit() {
    let node = ScriptedServer::new();
    let proxy = Proxy::with(&[&node], 64, SETTINGS);
    let held: Vec<(ScriptedPeer, ScriptedPeer)> =
        (0..10).map(|_| (proxy.open(), node.accept_attempt().0)).collect();
    let mut late: Vec<ScriptedPeer> = (0..10).map(|_| proxy.open()).collect();
    let last = late.last_mut().unwrap();
    assert_eq!(last.receive(), "BUSY 1000\r\n");
    drop((held, late));
    let mut client = wait_for(TIMEOUT, "room again", || {
        let mut client = proxy.connect();
        client.send("PING\r\n");
        (client.receive() == "PONG\r\n").then_some(client)
    });
    client.send(OPEN);
    node.accept_attempt();
}

/// The id of an open connection is rejected and pauses nobody.
#[test]
fn rejects_id_of_open_connection() {
    let node = ScriptedServer::new();
    let proxy = Proxy::start(&[&node]);
    let mut first = proxy.connect();
    first.send(OPEN);
    let mut far = node.accept_attempt().0;
    for _ in 0..3 {
        let mut other = proxy.connect();
        other.send(&OPEN.replace("7f3a", "beef"));
        assert_eq!(other.receive_rest().unwrap(), "ERR the id is open already\r\n");
    }
    far.send("UP 1\r\n");
    assert_eq!(first.receive(), "UP 1\r\n");
    assert!(node.poll().is_none(), "no render node saw it");
    far.send("BYE\r\n");
    drop(far);
    assert_eq!(first.receive_rest().unwrap(), "BYE\r\n");
    let mut again = proxy.connect();
    again.send(OPEN);
    node.accept_attempt();
}

/// Commands at once are an error and their attempt is closed.
#[test]
fn rejects_data_before_answer() {
    let node = ScriptedServer::new();
    let proxy = Proxy::start(&[&node]);
    let mut client = proxy.connect();
    client.send(&with_fresh_id(OPEN).repeat(300));
    assert_eq!(client.receive_rest().unwrap(), "ERR more than one line before the answer\r\n");
    let mut client = proxy.open();
    let mut far = node.accept_attempt().0;
    client.send("M 1 a\r\n");
    assert_eq!(client.receive_rest().unwrap(), "ERR more than one line before the answer\r\n");
    assert_eq!(far.receive_rest().unwrap(), "");
    proxy.establish(&node);
}

/// A line without end gets its error though more is sent.
#[test]
fn rejects_endless_first_line() {
    let proxy = Proxy::start(&[]);
    let mut client = proxy.connect();
    for _ in 0..2000 {
        client.send(&"x".repeat(4000));
    }
    assert_eq!(client.receive(), "ERR a line of over 4096 bytes\r\n");
}

/// Silent clients get an answer and make room for those that ask.
#[test]
fn evicts_silent_clients() {
    let node = ScriptedServer::new();
    let proxy = Proxy::with(&[&node], 128, SETTINGS);
    let begun = Instant::now();
    // Those that ask once and stay are no better.
    let mut asking: Vec<ScriptedPeer> = (0..100).map(|_| proxy.connect()).collect();
    asking.iter_mut().for_each(|peer| peer.send("PING\r\n"));
    let mut silent: Vec<ScriptedPeer> = (0..200).map(|_| proxy.connect()).collect();
    let pairs: Vec<(ScriptedPeer, ScriptedPeer)> = (0..5).map(|_| proxy.establish(&node)).collect();
    let told: Vec<String> = silent.iter_mut().map(|peer| peer.receive_rest().unwrap()).collect();
    assert!(begun.elapsed() < Duration::from_millis(2500), "{:?}", begun.elapsed());
    assert!(told.iter().all(|word| ["BUSY 1000\r\n", "ERR no first line came\r\n"].contains(&&word[..])));
    drop(pairs);
}

/// A planned restart migrates every client and still serves.
#[test]
fn shutdown_migrates_every_client() {
    let node = ScriptedServer::new();
    let mut proxy = Proxy::start(&[&node]);
    let mut pairs: Vec<(ScriptedPeer, ScriptedPeer)> = (0..8).map(|_| proxy.establish(&node)).collect();
    let begun = Instant::now();
    proxy.terminate();
    proxy.wait_for_log("asked to stop");
    let mut late = proxy.open();
    let mut far = node.accept_attempt().0;
    far.send("UP 2\r\n");
    assert_eq!(late.receive(), "UP 2\r\n", "what arrives is placed");
    let first = pairs[0].0.receive_rest().unwrap();
    assert_eq!(first, "MOVE\r\n");
    let moved = begun.elapsed();
    for (client, _) in &mut pairs[1..] {
        assert_eq!(client.receive_rest().unwrap(), "MOVE\r\n");
    }
    assert_eq!(late.receive_rest().unwrap(), "MOVE\r\n");
    assert!(begun.elapsed() - moved > Duration::from_secs(1), "spread over the time there is");
    assert!(proxy.wait_for_exit().success());
    assert!(begun.elapsed() < Duration::from_millis(2700), "gone before SIGKILL may come");
}

/// A new configuration moves the watch and drops nobody.
#[test]
fn reload_moves_watch_and_drops_nobody() {
    let (nodes, elsewhere) = ([ScriptedServer::new(), ScriptedServer::new()], ScriptedServer::new());
    let mut command = Command::new(env!("CARGO_BIN_EXE_cottonnotch"));
    let old = ScriptedServer::new();
    command.env("GW_DISCOVERY", old.address().to_string());
    let proxy = Proxy::by(command, &[&nodes[0]], 1024, SETTINGS);
    let (mut client, mut far) = proxy.establish(&nodes[0]);
    let (mut watch, _) = old.accept_watch();
    watch.send(&chunk(&list(7, false, &[])));
    let (here, there) = (proxy.discovery.address().to_string(), elsewhere.address().to_string());
    proxy.reconfigure(&[(&here, &there), (r#""mostTries":3"#, r#""mostTries":"many""#)]);
    assert!(proxy.wait_for_log("configuration kept").contains("settings.policyLimits.mostTries"));
    let begun = Instant::now();
    for _ in 0..3 {
        proxy.reconfigure(&[(&here, &there), (r#""name":"look""#, r#""name":"edit""#)]);
    }
    let (mut watch, asked) = elsewhere.accept_watch();
    assert!(begun.elapsed() < Duration::from_millis(500), "at once");
    assert!(asked.contains("from=7 "), "no change is missed: {asked}");
    let members = [member("s0", &nodes[0], "draining"), member("s1", &nodes[1], "up")];
    watch.send(&chunk(&list(8, false, &members)));
    assert_eq!(client.receive_rest().unwrap(), "MOVE\r\n", "not cut off, and the new list counts");
    assert_eq!(far.receive_rest().unwrap(), "");
    assert_eq!(proxy.open().receive(), "ERR the class is unknown\r\n", "the new settings count too");
    let mut edit = proxy.connect();
    edit.send(&OPEN.replace("look", "edit"));
    nodes[1].accept_attempt();
}

/// A faulty configuration is named by its key.
#[test]
fn names_key_of_faulty_configuration() {
    let base = format!(r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{SETTINGS}}}"#);
    for (from, to, named) in [
        (r#""listen":"127.0.0.1:0","#, "", "listen is missing"),
        ("127.0.0.1:1", "nowhere", "discovery is not an address"),
        (r#""settings""#, r#""seed":"xyz","settings""#, "seed is not a hexadecimal"),
        (r#""settings""#, r#""limits":{"sockets":8},"settings""#, "limits.sockets is not"),
        (r#""settings""#, r#""known":{"revision":1},"settings""#, "known: 'complete'"),
        (r#""mostTries":3"#, r#""mostTries":"many""#, "settings.policyLimits.mostTries is not a number"),
        (r#""requestClasses""#, r#""classes""#, "settings.requestClasses is missing"),
        ("}}", "}", "is not JSON"),
    ] {
        let config = base.replacen(from, to, 1);
        assert_ne!(config, base);
        let (mut child, log) = launch(&config);
        let code = wait_for(TIMEOUT, "the proxy to give up", || child.try_wait().unwrap());
        assert_eq!(code.code(), Some(2), "{named}");
        let line = log.iter().next().unwrap();
        assert!(line.contains("cannot start: ") && line.contains(named), "{named}: {line}");
    }
}

/// A dead render node is left for another at once.
#[test]
fn retries_at_once_after_refused_connection() {
    let (dead, node) = (ScriptedServer::new(), ScriptedServer::new());
    let proxy = Proxy::start(&[&dead, &node]);
    drop(dead);
    let begun = Instant::now();
    let _held: Vec<(ScriptedPeer, ScriptedPeer)> =
        (0..4).map(|_| (proxy.open(), node.accept_attempt().0)).collect();
    assert!(begun.elapsed() < Duration::from_millis(250), "a refused connection needs no time-out");
}

/// Loads told are all that shows a crowd: render nodes return lines at once however much is piled up.
#[test]
fn avoids_loaded_endpoint() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new(), ScriptedServer::new()];
    let settings = SETTINGS.replace(r#""balancers""#, r#""weights":"nominal","balancers""#);
    let proxy = Proxy::with(&[&nodes[0], &nodes[1], &nodes[2]], 1024, &settings);
    let open = || {
        let mut client = proxy.connect();
        client.send(&with_fresh_id(&OPEN.replace(",g=5c0f", "")));
        let (at, far) = accept_attempt_at(&nodes);
        (client, at, far)
    };
    let _held: Vec<(ScriptedPeer, usize, ScriptedPeer)> = (0..3)
        .map(|_| {
            let (mut client, at, mut far) = open();
            far.receive();
            far.send(if at == 0 { "UP 1\r\nLOAD 800000\r\n" } else { "UP 1\r\nLOAD 1000\r\n" });
            assert_eq!(
                (client.receive(), client.receive().starts_with("LOAD")),
                ("UP 1\r\n".to_owned(), true)
            );
            (client, at, far)
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1300));
    let later: Vec<(ScriptedPeer, usize, ScriptedPeer)> = (0..4).map(|_| open()).collect();
    assert!(later.iter().all(|(_, at, _)| *at != 0), "its turns are skipped");
}

/// A system short of descriptors delays clients and stops nothing.
#[test]
fn serves_after_descriptor_shortage() {
    let node = ScriptedServer::new();
    let proxy = Proxy::by(with_descriptor_limit(24), &[&node], 1024, SETTINGS);
    let crowd: Vec<ScriptedPeer> = (0..40).map(|_| proxy.connect()).collect();
    proxy.wait_for_log("cannot accept");
    drop(crowd);
    let mut late = proxy.connect();
    late.send("PING\r\n");
    assert_eq!(late.receive(), "PONG\r\n");
}
