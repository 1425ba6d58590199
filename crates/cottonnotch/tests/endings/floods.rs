//! Floods of clients, and descriptors at their limit, while answers are owed.

use super::peers::*;
use std::collections::BTreeSet;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};

/// What the system can't take at once waits at the client; a client that goes leaves it to the system, or drops it.
const MUCH: usize = 100_000;

/// Clients that flood and leave keep no well-behaved client out.
#[test]
fn floods_keep_no_client_out() {
    let node = ScriptedServer::new();
    let settings = SETTINGS.replace("\"target\":300000", "\"target\":8000000");
    let proxy = Proxy::with_admin(&[&node], 4096, &settings);
    let kinds: [fn() -> String; 4] = [
        || "x".repeat(MUCH),
        || with_fresh_id(OPEN) + &"x".repeat(MUCH),
        || (0..MUCH / OPEN.len()).map(|_| with_fresh_id(OPEN)).collect(),
        || "PING\r\n".repeat(MUCH / 6) + &with_fresh_id(OPEN).repeat(2),
    ];
    proxy.pause();
    let mut sound = Vec::new();
    for kind in kinds {
        for leave in [|client: ScriptedPeer| drop(client), |client: ScriptedPeer| client.reset()] {
            for _ in 0..25 {
                let mut client = proxy.connect().with_send_buffer(4 * MUCH);
                client.send(&kind());
                leave(client);
            }
            let (mut client, line) = (proxy.connect(), with_fresh_id(OPEN).replace("d=2000", "d=20000"));
            client.send(&line);
            sound.push((client, id_of(&line)));
        }
    }
    proxy.resume();
    let asked: BTreeSet<u64> = sound.iter().map(|(_, id)| *id).collect();
    let mut came: Vec<(ScriptedPeer, u64)> = (0..sound.len())
        .map(|_| {
            let (far, line) = node.accept_attempt();
            (far, id_of(&line))
        })
        .collect();
    assert_eq!(
        came.iter().map(|(_, id)| *id).collect::<BTreeSet<u64>>(),
        asked,
        "each once, and nobody else"
    );
    for (far, _) in &mut came {
        far.send("UP 1\r\n");
    }
    for (client, _) in &mut sound {
        assert_eq!(client.receive(), "UP 1\r\n");
    }
    wait_for(TIMEOUT, "the flood to be over", || {
        (proxy.metric("in_progress")? == asked.len() as u64).then_some(())
    });
    assert!(node.poll().is_none());
    assert_eq!(proxy.metric("skipped_render_nodes"), Some(0));
}

/// Clients that reconnect at once by the thousand are each answered once.
#[test]
fn answers_each_reconnecting_client_once() {
    const CROWD: usize = 40;
    const ROUNDS: usize = 25;
    let node = ScriptedServer::new();
    let proxy = Proxy::with_admin(&[&node], 4096, SETTINGS);
    let (mut client, mut far) = proxy.establish(&node);
    // Too little time is left for any attempt, so each is refused at once.
    let line = OPEN.replace("d=2000", "d=50");
    let (address, is_over) = (proxy.address(), AtomicBool::new(false));
    let answers: Vec<String> = std::thread::scope(|scope| {
        let again = || -> Vec<String> {
            let once = || {
                let mut client = ScriptedPeer::new(TcpStream::connect(address).unwrap());
                client.send(&with_fresh_id(&line));
                client.receive_rest().unwrap()
            };
            (0..ROUNDS).map(|_| once()).collect()
        };
        let crowd: Vec<_> = (0..CROWD).map(|_| scope.spawn(again)).collect();
        let served = scope.spawn(|| {
            let mut lines = 0;
            while !is_over.load(Ordering::Relaxed) || lines < 100 {
                client.send("M 1 x\r\n");
                assert_eq!(far.receive(), "M 1 x\r\n");
                far.send("M 1 x\r\n");
                assert_eq!(client.receive(), "M 1 x\r\n");
                lines += 1;
            }
        });
        let answers: Vec<_> = crowd.into_iter().map(|one| one.join()).collect();
        is_over.store(true, Ordering::Relaxed);
        served.join().unwrap();
        answers.into_iter().flat_map(|one| one.unwrap()).collect()
    });
    assert_eq!(answers.len(), CROWD * ROUNDS);
    let is_refusal = |answer: &String| answer.starts_with("BUSY") && answer.lines().count() == 1;
    assert!(answers.iter().all(is_refusal), "{:?}", answers.iter().find(|answer| !is_refusal(answer)));
    wait_for(TIMEOUT, "the one that is up", || (proxy.metric("in_progress")? == 1).then_some(()));
    assert!(node.poll().is_none(), "none was sent on");
    proxy.establish(&node);
}

/// Held clients have all descriptors; what comes meanwhile waits in the queue, and is answered in its turn.
#[test]
fn answers_every_client_at_descriptor_limit() {
    let node = ScriptedServer::new();
    let proxy = Proxy::with_admin_by(with_descriptor_limit(40), &[&node], 1024, SETTINGS);
    assert_eq!(proxy.admin_request("POST", "/maintenance/enter", "s0").0, 200);
    proxy.pause();
    let asks = |_| {
        let mut client = proxy.connect();
        client.send(&with_fresh_id(OPEN).replace("d=2000", "d=1300"));
        client
    };
    let crowd: Vec<ScriptedPeer> = (0..60).map(asks).collect();
    proxy.resume_after_arrival();
    proxy.wait_for_log("cannot accept");
    for mut client in crowd {
        let answer = client.receive_rest().unwrap();
        assert!(answer.starts_with("BUSY ") && answer.lines().count() == 1, "{answer:?}");
    }
    assert!(node.poll().is_none());
    assert_eq!(proxy.admin_request("POST", "/maintenance/exit", "s0").0, 200);
    proxy.establish(&node);
}

/// Clients have all descriptors, and attempts can't begin: whoever can't be placed is refused, the others are served.
#[test]
fn rejects_clients_without_attempt_descriptors() {
    let node = ScriptedServer::new();
    let proxy = Proxy::with_admin_by(with_descriptor_limit(40), &[&node], 1024, SETTINGS);
    proxy.pause();
    let crowd: Vec<ScriptedPeer> = (0..60).map(|_| proxy.open()).collect();
    proxy.resume_after_arrival();
    proxy.wait_for_log("could not begin");
    let is_over = AtomicBool::new(false);
    let (up, refused) = std::thread::scope(|scope| {
        scope.spawn(|| {
            while !is_over.load(Ordering::Relaxed) {
                let Some(mut far) = node.poll() else { continue };
                assert!(far.receive().starts_with("OPEN "));
                far.send("UP 1\r\nBYE\r\n");
            }
        });
        let answers: std::io::Result<Vec<String>> =
            crowd.into_iter().map(|mut client| client.receive_rest()).collect();
        is_over.store(true, Ordering::Relaxed);
        let answers = answers.unwrap();
        let up = answers.iter().filter(|answer| *answer == "UP 1\r\nBYE\r\n").count();
        (up, answers.iter().filter(|answer| answer.starts_with("BUSY")).count())
    });
    assert_eq!(up + refused, 60, "{up} up, {refused} refused");
    assert!(refused > 0);
    wait_for(TIMEOUT, "nobody left", || (proxy.metric("in_progress")? == 0).then_some(()));
    assert_eq!(proxy.metric("skipped_render_nodes"), Some(0), "the render node is not to blame");
    proxy.establish(&node);
}
