//! A proxy that ends: what is owed at that moment is answered, and nothing is sent on any more.

use super::peers::*;
use std::time::{Duration, Instant};

/// One attempt each, with time enough; class `once` must not run twice.
fn settings() -> String {
    let once = r#"{"name":"once","effect":"unsafe","target":8000000,"deadline":2000000,"gain":1.0}"#;
    let settings = SETTINGS
        .replace("\"target\":300000", "\"target\":8000000")
        .replace("\"mostTries\":3", "\"mostTries\":1");
    settings.replace("\"gain\":1.0}]", &format!("\"gain\":1.0}},{once}]"))
}

fn asks(proxy: &Proxy, class: &str) -> ScriptedPeer {
    let mut client = proxy.connect();
    client.send(&with_fresh_id(OPEN).replace("c=look", &format!("c={class}")).replace("d=2000", "d=20000"));
    client
}

/// What each of these hears, and that the proxy ends well.
fn told(mut proxy: Proxy, clients: &mut [ScriptedPeer]) -> Vec<String> {
    let told = clients.iter_mut().map(|client| client.receive_rest().unwrap()).collect();
    assert!(proxy.wait_for_exit().success());
    told
}

/// Attempts in flight get their final answer by their outcome.
#[test]
fn shutdown_answers_attempts_in_flight() {
    for at_once in [false, true] {
        let node = ScriptedServer::new();
        let proxy = Proxy::with(&[&node], 1024, &settings());
        let pairs = ["look", "look", "look", "once", "once", "once"].map(|class| {
            let client = asks(&proxy, class);
            (client, node.accept_attempt().0)
        });
        let (mut clients, mut fars): (Vec<ScriptedPeer>, Vec<ScriptedPeer>) = pairs.into_iter().unzip();
        if at_once {
            proxy.pause();
        } else {
            proxy.terminate();
            proxy.wait_for_log("asked to stop");
        }
        for (far, answer) in fars.iter_mut().zip(["UP 1\r\n", "BUSY\r\n", "", "UP 2\r\n", "BUSY\r\n", ""]) {
            far.send(answer);
        }
        fars.remove(5).reset();
        fars.remove(2).reset();
        if at_once {
            proxy.terminate();
            proxy.resume_after_arrival();
        }
        let told = told(proxy, &mut clients);
        assert_eq!((&*told[0], &*told[3]), ("UP 1\r\nMOVE\r\n", "UP 2\r\nMOVE\r\n"));
        for (told, verb) in [(&told[1], "BUSY"), (&told[2], "BUSY"), (&told[4], "BUSY"), (&told[5], "ERR")] {
            assert!(told.starts_with(verb) && told.lines().count() == 1, "{told:?} for {verb}");
        }
        assert!(node.poll().is_none(), "nothing was tried again");
    }
}

/// A MOVE falls between two lines also where lines are half through.
#[test]
fn move_is_sent_between_lines() {
    let node = ScriptedServer::new();
    let proxy = Proxy::start(&[&node]);
    let mut pairs: Vec<(ScriptedPeer, ScriptedPeer)> = (0..10).map(|_| proxy.establish(&node)).collect();
    proxy.pause();
    for (client, far) in &mut pairs {
        far.send("LOAD 1\r\nLOAD 2\r\nM 1");
        client.send("M 2 a\r\nM 3");
    }
    proxy.terminate();
    proxy.resume_after_arrival();
    let (mut clients, fars): (Vec<ScriptedPeer>, Vec<ScriptedPeer>) = pairs.into_iter().unzip();
    for told in told(proxy, &mut clients) {
        assert_eq!(told, "LOAD 1\r\nLOAD 2\r\nMOVE\r\n");
    }
    for mut far in fars {
        assert_eq!(far.receive(), "M 2 a\r\n");
        assert!(!far.try_receive().is_ok_and(|more| !more.is_empty()), "no half line");
    }
}

/// Clients whose handshake has begun are served and migrated.
#[test]
fn shutdown_serves_and_migrates_arriving_clients() {
    let node = ScriptedServer::new();
    let proxy = Proxy::start(&[&node]);
    let mut resting = proxy.connect();
    let mut half = proxy.connect();
    // Both are in once they have been answered. After a PING they may take 30 s for their line, and not 1.5 s, which this test's own
    // steps can take beside load.
    for client in [&mut resting, &mut half] {
        client.send("PING\r\n");
        assert_eq!(client.receive(), "PONG\r\n");
    }
    let line = with_fresh_id(OPEN);
    let (head, tail) = line.split_at(30);
    half.send(head);
    half.wait_until_read();
    proxy.pause();
    // In the queue: its handshake is done, and nobody has accepted it.
    let queued = proxy.open();
    let silent = proxy.connect();
    proxy.terminate();
    proxy.resume_after_arrival();
    proxy.wait_for_log("asked to stop");
    resting.send(&with_fresh_id(OPEN));
    half.send(tail);
    let mut clients = [queued, resting, half, silent];
    clients[3].send(&with_fresh_id(OPEN));
    let mut fars: Vec<ScriptedPeer> = clients.iter().map(|_| node.accept_attempt().0).collect();
    fars.iter_mut().for_each(|far| far.send("UP 1\r\n"));
    for told in told(proxy, &mut clients) {
        assert_eq!(told, "UP 1\r\nMOVE\r\n");
    }
}

/// The line of one that has said nothing so far crosses the word that it has waited too long, or comes just before.
#[test]
fn idle_client_is_served_or_rejected_once() {
    let node = ScriptedServer::new();
    let proxy = Proxy::start(&[&node]);
    let mut just = proxy.connect();
    let mut later = proxy.connect();
    later.send("PING\r\n");
    assert_eq!(later.receive(), "PONG\r\n");
    proxy.pause();
    // Its time is up before the process goes on, and its line is there.
    std::thread::sleep(Duration::from_millis(1600));
    just.send(&with_fresh_id(OPEN));
    proxy.resume_after_arrival();
    // It stays: a render node that ends by itself is paused.
    let mut far = node.accept_attempt().0;
    far.send("UP 1\r\n");
    assert_eq!(just.receive(), "UP 1\r\n");
    let mut late = proxy.connect();
    proxy.wait_for_log("client rejected");
    late.send(&with_fresh_id(OPEN));
    assert_eq!(late.receive_rest().unwrap(), "ERR no first line came\r\n");
    let (mut next, line) = (proxy.connect(), with_fresh_id(OPEN));
    next.send(&line);
    assert_eq!(id_of(&node.accept_attempt().1), id_of(&line), "what came after its word is not sent on");
}

/// A second SIGTERM and a new configuration change nothing about the time there is.
#[test]
fn second_sigterm_and_reload_keep_shutdown_time() {
    let node = ScriptedServer::new();
    let proxy = Proxy::start(&[&node]);
    let pairs: Vec<(ScriptedPeer, ScriptedPeer)> = (0..8).map(|_| proxy.establish(&node)).collect();
    let (mut clients, _fars): (Vec<ScriptedPeer>, Vec<ScriptedPeer>) = pairs.into_iter().unzip();
    proxy.terminate();
    let began = Instant::now();
    let mut log = proxy.drain_log_until("asked to stop");
    assert_eq!(clients.remove(0).receive_rest().unwrap(), "MOVE\r\n");
    proxy.terminate();
    proxy.reconfigure(&[("\"deadline\":2000000", "\"deadline\":2900000")]);
    log.extend(proxy.drain_log_until("configuration read again"));
    // One that asks after all that.
    clients.push(proxy.open());
    let mut far = node.accept_attempt().0;
    far.send("UP 2\r\n");
    proxy.terminate();
    let last = clients.len() - 1;
    let mut proxy = proxy;
    for (number, client) in clients.iter_mut().enumerate() {
        let told = if number == last { "UP 2\r\nMOVE\r\n" } else { "MOVE\r\n" };
        assert_eq!(client.receive_rest().unwrap(), told);
    }
    assert!(proxy.wait_for_exit().success());
    assert!(began.elapsed() < Duration::from_millis(2700), "{:?}", began.elapsed());
    log.extend(proxy.drain_log());
    assert_eq!(log.iter().filter(|line| line.contains("asked to stop")).count(), 1);
}

/// Its client has lines that it has not read, and sends on: a close over what it sent would be a reset, which can take
/// the `MOVE` with it.
#[test]
fn move_reaches_slow_reader() {
    let node = ScriptedServer::new();
    let proxy = Proxy::start(&[&node]);
    let pairs: Vec<(ScriptedPeer, ScriptedPeer)> = (0..5).map(|_| proxy.establish(&node)).collect();
    let (mut clients, mut fars): (Vec<ScriptedPeer>, Vec<ScriptedPeer>) = pairs.into_iter().unzip();
    let (lines, more) = ("LOAD 1\r\n".repeat(500), "M 1 x\r\n".repeat(2000));
    proxy.pause();
    fars.iter_mut().for_each(|far| far.send(&lines));
    clients.iter_mut().for_each(|client| client.send(&more));
    proxy.terminate();
    proxy.resume_after_arrival();
    proxy.wait_for_log("asked to stop");
    for (client, far) in clients.iter_mut().zip(&mut fars) {
        // Its render node's side has ended: it was moved, and what it says now comes after that.
        while far.try_receive().is_ok_and(|line| !line.is_empty()) {}
        client.send(&more);
        client.finish();
        assert_eq!(client.receive_rest().unwrap(), format!("{lines}MOVE\r\n"));
    }
}
