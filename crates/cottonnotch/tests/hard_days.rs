//! Stories of hard days: first lines in pieces, and clients that go at every stage.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod peers;
use peers::*;
use std::time::Duration;

/// A first line may come a byte at a time and be split inside its end.
#[test]
fn reads_first_line_byte_by_byte() {
    let node = ScriptedServer::new();
    let proxy = Proxy::with_admin(&[&node], 1024, SETTINGS);
    let mut client = proxy.connect();
    let line = with_fresh_id(OPEN);
    for byte in line.chars() {
        client.send(&byte.to_string());
        std::thread::sleep(Duration::from_millis(1));
    }
    let (mut far, heard) = node.accept_attempt();
    assert_eq!(id_of(&heard), id_of(&line));
    far.send("UP 1\r");
    std::thread::sleep(Duration::from_millis(5));
    far.send("\nLOAD 2\r");
    std::thread::sleep(Duration::from_millis(5));
    far.send("\n");
    assert_eq!((client.receive(), client.receive()), ("UP 1\r\n".to_owned(), "LOAD 2\r\n".to_owned()));
    for piece in ["M", " 1 x\r", "\nM 2", " y\r\n"] {
        client.send(piece);
        std::thread::sleep(Duration::from_millis(2));
    }
    assert_eq!((far.receive(), far.receive()), ("M 1 x\r\n".to_owned(), "M 2 y\r\n".to_owned()));
    // A line that is split before its end's second byte, and no more for as long as a silent client is borne.
    let mut half = proxy.connect();
    half.send(with_fresh_id(OPEN).trim_end_matches('\n'));
    assert!(half.receive_rest().unwrap().starts_with("ERR no first line came"));
    assert!(node.poll().is_none(), "half a line is no request");
}

/// Clients that go at any stage leave nothing behind.
#[test]
fn leaves_nothing_behind_for_gone_clients() {
    let node = ScriptedServer::new();
    let proxy = Proxy::with_admin(&[&node], 1024, SETTINGS);
    let gone =
        || wait_for(TIMEOUT, "none in progress", || (proxy.metric("in_progress") == Some(0)).then_some(()));
    // Before the line, and in the middle of it.
    drop(proxy.connect());
    let mut middle = proxy.connect();
    middle.send("OPEN 12");
    middle.reset();
    // During an attempt: it is closed, and shows nothing of the render node.
    let client = proxy.open();
    let mut far = node.accept_attempt().0;
    drop(client);
    assert_eq!(far.receive_rest().unwrap(), "");
    gone();
    assert_eq!(proxy.metric("skipped_render_nodes"), Some(0));
    // With lines unanswered, by a reset.
    let (mut client, mut far) = proxy.establish(&node);
    client.send("M 1 x\r\n");
    assert_eq!(far.receive(), "M 1 x\r\n");
    client.reset();
    assert!(far.receive_rest().is_err(), "a reset passes as a reset");
    gone();
    // While held: nothing may be used.
    let (mut client, _far) = proxy.establish(&node);
    assert_eq!(proxy.admin_request("POST", "/maintenance/enter", "s0").0, 200);
    let held = proxy.open();
    wait_for(TIMEOUT, "it is held", || (proxy.metric("in_progress")? >= 2).then_some(()));
    drop(held);
    // In the middle of a MOVE: told to go, it sends one more line and is gone.
    assert_eq!(client.receive(), "MOVE\r\n");
    let _ = client.try_send("M 2 y\r\n");
    client.reset();
    gone();
    assert!(node.poll().is_none(), "nothing was sent for those that went");
    assert_eq!(proxy.admin_request("POST", "/maintenance/exit", "s0").0, 200);
    let (_client, _far) = proxy.establish(&node);
    assert_eq!(proxy.metric("handled.look.passed"), Some(3));
}

/// A reload under load drops nobody.
#[test]
fn reload_under_load_drops_nobody() {
    let node = ScriptedServer::new();
    // Attempts have time enough: what ends one here must not be its time-out.
    let patient = SETTINGS.replace("\"target\":300000", "\"target\":8000000");
    let proxy = Proxy::with_admin(&[&node], 1024, &patient);
    let mut ups: Vec<(ScriptedPeer, ScriptedPeer)> = (0..20).map(|_| proxy.establish(&node)).collect();
    let mut waiting: Vec<(ScriptedPeer, ScriptedPeer)> = (0..60)
        .map(|_| {
            let mut client = proxy.connect();
            client.send(&with_fresh_id(OPEN).replace("d=2000", "d=20000"));
            (client, node.accept_attempt().0)
        })
        .collect();
    for tries in ["2", "1", "5"] {
        proxy.reconfigure(&[(r#""mostTries":3"#, &format!(r#""mostTries":{tries}"#))]);
        proxy.wait_for_log("configuration read again");
    }
    for (client, far) in &mut waiting {
        far.send("UP 1\r\n");
        assert_eq!(client.receive(), "UP 1\r\n");
    }
    for (client, far) in &mut ups {
        client.send("M 1 x\r\n");
        assert_eq!(far.receive(), "M 1 x\r\n");
    }
    assert_eq!((proxy.metric("handled.look.passed"), proxy.metric("loads")), (Some(80), Some(3)));
}

/// A second answer is no line of the session and no second final answer.
#[test]
fn drops_second_answer() {
    let node = ScriptedServer::new();
    let proxy = Proxy::start(&[&node]);
    let mut client = proxy.open();
    let mut far = node.accept_attempt().0;
    far.send("UP 1\r\nUP 1\r\n");
    assert_eq!(client.receive(), "UP 1\r\n");
    std::thread::sleep(Duration::from_millis(20));
    far.send("BUSY 5\r\nLOAD 3\r\nERR late\r\n");
    assert_eq!(client.receive(), "LOAD 3\r\n");
    // A client's own line comes back whatever it says.
    client.send("UP a\r\n");
    assert_eq!(far.receive(), "UP a\r\n");
    far.send("UP a\r\nBYE\r\n");
    drop(far);
    assert_eq!(client.receive_rest().unwrap(), "UP a\r\nBYE\r\n");
    // After a refusal the attempt is closed, and the next one's answer is the only one.
    let mut client = proxy.connect();
    client.send(&with_fresh_id(OPEN).replace("d=2000", "d=300"));
    let mut far = node.accept_attempt().0;
    far.send("BUSY\r\nUP 2\r\n");
    let answer = client.receive_rest().unwrap();
    assert!(answer.starts_with("BUSY ") && answer.lines().count() == 1, "{answer}");
}
