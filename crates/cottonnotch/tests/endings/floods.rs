//! Floods of clients, and descriptors at their limit, while answers are owed.

use super::peers::*;
use std::collections::BTreeSet;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

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

/// PINGs that a flood writes at once.
const PINGS_AT_ONCE: usize = 900;
/// How long a flood lasts while others are served: a bad client is owed its error within this time.
const FLOOD_DURATION: Duration = Duration::from_secs(3);

/// Plays usual clients beside a flood: no line is held back for a second, and each request is answered in its time.
fn assert_others_are_served(proxy: &Proxy, node: &ScriptedServer, duration: Duration) {
    let (mut up, mut far) = proxy.establish(node);
    let (began, mut pairs) = (Instant::now(), Vec::new());
    while began.elapsed() < duration || pairs.len() < 20 {
        let sent = Instant::now();
        up.send("M 1 x\r\n");
        assert_eq!(far.receive(), "M 1 x\r\n");
        far.send("M 1 x\r\n");
        assert_eq!(up.receive(), "M 1 x\r\n");
        assert!(sent.elapsed() < Duration::from_secs(1), "a line was held back");
        pairs.push(proxy.establish(node));
        assert!(sent.elapsed() < Duration::from_secs(2), "a request got no answer in its time");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// One client that sends PINGs at full speed once kept the proxy in a single callback: nobody else was served meanwhile.
#[test]
fn ping_flood_delays_no_other_client() {
    let node = ScriptedServer::new();
    let proxy = Proxy::with(&[&node], 1024, SETTINGS);
    let flood = proxy.connect().into_flood("PING\r\n");
    assert_others_are_served(&proxy, &node, FLOOD_DURATION);
    assert!(flood.has_error(), "the flood is answered with an error");
}

/// Each other kind of peer that may send at full speed; `docs/design/turns.md` lists them.
const FLOODS: [fn(&Proxy, &ScriptedServer) -> Vec<Flood>; 6] = [
    // A client whose line never ends, and one that goes on sending after its answer.
    |proxy, _| vec![proxy.connect().into_flood("x"), proxy.connect().into_flood("rubbish\r\n")],
    // A client that is up and its render node send each other the shortest lines.
    |proxy, node| {
        let (client, far) = proxy.establish(node);
        vec![client.into_flood("\n"), far.into_flood("\n")]
    },
    // A render node reports loads, and its client reads them.
    |proxy, node| {
        let (client, far) = proxy.establish(node);
        vec![client.into_flood(""), far.into_flood("LOAD 0.5\r\n")]
    },
    // An operator's head never ends.
    |proxy, _| vec![operator(proxy).into_flood("X-Header: 1\r\n")],
    // An operator goes on sending after the response.
    |proxy, _| vec![operator(proxy).into_flood("GET /status HTTP/1.1\r\n\r\n")],
    // Discovery sends heartbeats without pause.
    |proxy, _| vec![proxy.discovery.accept_watch().0.into_flood("1\r\n\n\r\n")],
];

fn operator(proxy: &Proxy) -> ScriptedPeer {
    ScriptedPeer::new(TcpStream::connect(proxy.admin_address()).unwrap())
}

/// No peer that sends at full speed has more than its turn.
#[test]
fn no_peer_at_full_speed_delays_others() {
    for start in FLOODS {
        let node = ScriptedServer::new();
        let proxy = Proxy::with_admin(&[&node], 1024, SETTINGS);
        let _floods = start(&proxy, &node);
        assert_others_are_served(&proxy, &node, Duration::from_millis(700));
    }
}

/// A client that sends hundreds of PINGs without waiting once had them all answered, and then the request behind them served.
#[test]
fn rejects_client_with_many_pings_at_once() {
    let node = ScriptedServer::new();
    let proxy = Proxy::with(&[&node], 1024, SETTINGS);
    proxy.pause();
    let mut flood = proxy.connect();
    flood.send(&("PING\r\n".repeat(PINGS_AT_ONCE) + &with_fresh_id(OPEN)));
    let mut check = proxy.connect();
    check.send(&"PING\r\n".repeat(20));
    check.send(&with_fresh_id(OPEN));
    proxy.resume_after_arrival();
    let answers = flood.receive_rest().unwrap();
    assert!(answers.ends_with("ERR too many PINGs\r\n"), "{answers:?}");
    assert!(answers.lines().filter(|line| *line == "PONG").count() < 100, "{answers:?}");
    for _ in 0..20 {
        assert_eq!(check.receive(), "PONG\r\n", "a health check may have waited for the process to go on");
    }
    let (mut far, _) = node.accept_attempt();
    far.send("UP 1\r\n");
    assert_eq!(check.receive(), "UP 1\r\n");
    assert!(node.poll().is_none(), "the request behind the flood goes nowhere");
}
