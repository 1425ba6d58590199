//! Stories of operators: what they are told, whatever else goes on.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod peers;
use peers::*;
use std::net::TcpStream;
use std::time::{Duration, Instant};

const TWO_CLASSES: &str = r#"{"balancers":1,"ordinal":0,"zones":["a"],"zone":"a","registryMode":"on_request",
    "policyLimits":{"mostTries":2,"connectTimeout":250000,"retryAfter":true,"maxRetryAfter":1000000},
    "familyInfo":{"messageAim":[150000.0]},
    "requestClasses":[{"name":"look","effect":"safe","target":300000,"deadline":2000000,"gain":1.0},
        {"name":"print:a","effect":"unsafe","target":300000,"deadline":2000000,"gain":1.0}]}"#;

/// The status is ready only while clients can be served.
#[test]
fn status_is_ready_only_while_serving() {
    let node = ScriptedServer::new();
    let mut proxy = Proxy::with_admin(&[], 1024, SETTINGS);
    let (status, why) = proxy.admin_request("GET", "/status", "");
    assert_eq!(status, 503, "{why}");
    assert!(why.contains("no render node"), "{why}");
    let mut watch = proxy.discovery.accept_watch().0;
    watch.send(&chunk(&list(2, true, &[member("s0", &node, "up")])));
    wait_for(TIMEOUT, "a yes", || (proxy.admin_request("GET", "/status", "").0 == 200).then_some(()));
    watch.send(&chunk(&list(3, false, &[member("s0", &node, "draining")])));
    wait_for(TIMEOUT, "a no", || (proxy.admin_request("GET", "/status", "").0 == 503).then_some(()));
    watch.send(&chunk(&list(4, false, &[member("s0", &node, "up")])));
    wait_for(TIMEOUT, "a yes", || (proxy.admin_request("GET", "/status", "").0 == 200).then_some(()));
    proxy.terminate();
    proxy.wait_for_log("asked to stop");
    let (status, why) = proxy.admin_request("GET", "/status", "");
    assert_eq!(status, 503, "{why}");
    assert!(why.contains("shutting down"), "{why}");
    assert!(proxy.wait_for_exit().success());
}

/// What is no request of ours gets a reason.
#[test]
fn explains_bad_admin_requests() {
    let node = ScriptedServer::new();
    let proxy = Proxy::with_admin(&[&node], 1024, SETTINGS);
    assert_eq!(proxy.admin_request("GET", "/metrics", "").0, 404);
    assert_eq!(proxy.admin_request("DELETE", "/status", "").0, 405);
    assert_eq!(proxy.admin_request("POST", "/status/metrics", "").0, 405);
    assert_eq!(proxy.admin_request("GET", "/status", &"x".repeat(2000)).0, 413);
    for (words, status) in [("OPEN 1 2 c=look\r\n\r\n", 400), ("GET /status HTTP/1.1\r\nA", 400)] {
        let mut caller = ScriptedPeer::new(TcpStream::connect(proxy.admin_address()).unwrap());
        caller.send(words);
        caller.finish();
        assert_eq!(caller.answer().0, status, "{words:?}");
    }
    let mut caller = ScriptedPeer::new(TcpStream::connect(proxy.admin_address()).unwrap());
    caller.send(&format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(9000)));
    assert_eq!(caller.answer().0, 431);
    let mut slow = ScriptedPeer::new(TcpStream::connect(proxy.admin_address()).unwrap());
    for byte in "GET /status HTTP/1.1\r\n\r\n".chars() {
        slow.send(&byte.to_string());
        std::thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(slow.answer().0, 200, "a byte at a time is a call too");
}

/// Operators are answered while clients and silent operators come in by hundreds.
#[test]
fn answers_admin_requests_under_load() {
    let node = ScriptedServer::new();
    let proxy = Proxy::with_admin(&[&node], 128, SETTINGS);
    // Clients hold every descriptor that they can get, and operators that say nothing every place of theirs.
    let clients: Vec<ScriptedPeer> = (0..200).map(|_| proxy.open()).collect();
    let silent: Vec<TcpStream> = (0..200).map(|_| TcpStream::connect(proxy.address()).unwrap()).collect();
    let mut mute: Vec<ScriptedPeer> =
        (0..40).map(|_| ScriptedPeer::new(TcpStream::connect(proxy.admin_address()).unwrap())).collect();
    mute.iter_mut().step_by(2).for_each(|caller| caller.send("GET /status HT"));
    let mut worst = Duration::ZERO;
    for _ in 0..30 {
        let began = Instant::now();
        assert_eq!(proxy.admin_request("GET", "/status", "").0, 200);
        assert_eq!(proxy.admin_request("GET", "/status/metrics", "").0, 200);
        worst = worst.max(began.elapsed() / 2);
        mute.push(ScriptedPeer::new(TcpStream::connect(proxy.admin_address()).unwrap()));
    }
    println!("worst answer in the flood: {worst:?}");
    assert!(worst < Duration::from_secs(1), "{worst:?}");
    drop((clients, silent));
}

/// A silent operator is notified that it is late and one that never reads is closed.
#[test]
fn closes_silent_admin_connections() {
    let node = ScriptedServer::new();
    let proxy = Proxy::with_admin(&[&node], 1024, SETTINGS);
    let mut mute = ScriptedPeer::new(TcpStream::connect(proxy.admin_address()).unwrap());
    let began = Instant::now();
    assert_eq!(mute.answer().0, 408);
    assert!(began.elapsed() < Duration::from_secs(4), "{:?}", began.elapsed());
    let mut stays = ScriptedPeer::new(TcpStream::connect(proxy.admin_address()).unwrap());
    stays.send("GET /status HTTP/1.1\r\n\r\n");
    let answered = stays.answer().0;
    assert_eq!(answered, 200);
    // It keeps its side open; the proxy closes it after a while, and what it says then meets a reset.
    wait_for(TIMEOUT, "the end", || {
        stays.try_send("more\r\n").err().or_else(|| {
            std::thread::sleep(Duration::from_millis(50));
            None
        })
    });
}

/// Metrics show what clients and render nodes counted.
#[test]
fn metrics_match_what_peers_counted() {
    let node = ScriptedServer::new();
    let proxy = Proxy::with_admin(&[&node], 1024, TWO_CLASSES);
    let text = proxy.admin_request("GET", "/status/metrics", "").1;
    for zero in [
        "handled.look.passed",
        "handled.look.dropped",
        "handled.look.bad_gateway",
        "handled.print%3aa.passed",
        "upstream_tries",
        "in_progress",
        "skipped_render_nodes",
        "loads",
        "load_errors",
    ] {
        assert!(text.contains(&format!("svc.{zero}:0|")), "{zero}: {text}");
    }
    assert!(text.contains("svc.known_render_nodes:1|g\n"), "{text}");

    // Three are brought up, one of them ends.
    let ups: Vec<(ScriptedPeer, ScriptedPeer)> = (0..3).map(|_| proxy.establish(&node)).collect();
    assert_eq!(proxy.metric("in_progress"), Some(3));
    // One of the other class fails: it may have run, and must not be tried again.
    let mut fails = proxy.connect();
    fails.send(&with_fresh_id(OPEN).replace("c=look", "c=print:a"));
    let mut far = node.accept_attempt().0;
    far.send("ERR no\r\n");
    assert!(fails.receive_rest().unwrap().starts_with("ERR "));
    // The render node is paused for its error, and skipped.
    assert_eq!(proxy.metric("skipped_render_nodes"), Some(1));
    // One is refused early, since it can't wait.
    let mut refused = proxy.connect();
    refused.send(&with_fresh_id(OPEN).replace("d=2000", "d=100"));
    assert!(refused.receive_rest().unwrap().starts_with("BUSY"));
    // One asks for what is not offered, and is no class's.
    let mut stranger = proxy.connect();
    stranger.send(&with_fresh_id(OPEN).replace("c=look", "c=none"));
    assert!(stranger.receive_rest().unwrap().starts_with("ERR "));

    let figures = |names: &[&str]| names.iter().map(|name| proxy.metric(name).unwrap()).collect::<Vec<_>>();
    let look = ["handled.look.passed", "handled.look.dropped", "handled.look.bad_gateway"];
    assert_eq!(figures(&look), [3, 1, 0]);
    let print = ["handled.print%3aa.passed", "handled.print%3aa.dropped", "handled.print%3aa.bad_gateway"];
    assert_eq!(figures(&print), [0, 0, 1]);
    assert_eq!(proxy.metric("upstream_tries"), Some(4), "each attempt that a render node read, and no other");
    drop(ups);
    wait_for(TIMEOUT, "the ends to be counted", || (proxy.metric("in_progress") == Some(0)).then_some(()));
    assert_eq!(figures(&look), [3, 1, 0], "an end is no second answer");
    proxy.reload();
    proxy.wait_for_log("configuration read again");
    proxy.reconfigure(&[("\"settings\"", "\"settinks\"")]);
    proxy.wait_for_log("configuration kept");
    assert_eq!((proxy.metric("loads"), proxy.metric("load_errors")), (Some(1), Some(1)));
}

// ---- maintenance ----

/// Which render nodes get the next connections.
fn places(proxy: &Proxy, nodes: &[ScriptedServer], connections: usize) -> Vec<usize> {
    let mut at: Vec<usize> = (0..connections)
        .map(|_| {
            let mut client = proxy.open();
            let (node, mut far) = accept_attempt_at(nodes);
            far.receive();
            far.send("UP 1\r\n");
            assert_eq!(client.receive(), "UP 1\r\n");
            client.finish();
            node
        })
        .collect();
    at.sort_unstable();
    at.dedup();
    at
}

/// What is out gets nothing whatever discovery lists until it is put back.
#[test]
fn node_in_maintenance_gets_nothing() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let proxy = Proxy::with_admin(&[&nodes[0], &nodes[1]], 1024, SETTINGS);
    let mut watch = proxy.discovery.accept_watch().0;
    assert_eq!(places(&proxy, &nodes, 6), [0, 1]);
    assert_eq!(proxy.admin_request("POST", "/maintenance/enter", "s0").0, 200);
    assert_eq!(proxy.admin_request("POST", "/maintenance/enter", "s0\n").0, 200, "twice is once");
    assert_eq!(proxy.metric("skipped_render_nodes"), Some(1));
    assert_eq!(places(&proxy, &nodes, 6), [1]);
    let both = |revision, started: &str| {
        let first =
            member("s0", &nodes[0], "up").replace("\"up_since_ms\":0", &format!("\"up_since_ms\":{started}"));
        list(revision, true, &[first, member("s1", &nodes[1], "up")])
    };
    let changes = [
        both(2, "0"),
        list(3, false, &[member("s0", &nodes[0], "draining")]),
        list(4, false, &[member("s0", &nodes[0], "removed")]),
        list(5, true, &[member("s1", &nodes[1], "up")]),
        both(6, "1764600000000"),
    ];
    for change in &changes {
        watch.send(&chunk(change));
        assert_eq!(places(&proxy, &nodes, 4), [1], "after {change}");
    }
    proxy.reload();
    proxy.wait_for_log("configuration read again");
    assert_eq!(places(&proxy, &nodes, 4), [1], "after SIGHUP");
    assert_eq!(proxy.admin_request("POST", "/maintenance/exit", "s0").0, 200, "one call undoes both");
    assert_eq!(proxy.metric("skipped_render_nodes"), Some(0));
    assert_eq!(places(&proxy, &nodes, 1), [0], "its turn is the next");
    assert_eq!(proxy.admin_request("POST", "/maintenance/exit", "s0").0, 200);
}

/// An unknown render node gets an error and changes nothing.
#[test]
fn rejects_maintenance_of_unknown_node() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let proxy = Proxy::with_admin(&[&nodes[0], &nodes[1]], 1024, SETTINGS);
    for call in ["/maintenance/enter", "/maintenance/exit"] {
        assert_eq!(proxy.admin_request("POST", call, "s9").0, 404);
        assert_eq!(proxy.admin_request("POST", call, "").0, 400);
        assert_eq!(proxy.admin_request("GET", call, "s0").0, 405);
    }
    assert_eq!(proxy.metric("skipped_render_nodes"), Some(0));
    assert_eq!(places(&proxy, &nodes, 4), [0, 1]);
    // One that discovery has dropped while it was out can be put back.
    let mut watch = proxy.discovery.accept_watch().0;
    assert_eq!(proxy.admin_request("POST", "/maintenance/enter", "s0").0, 200);
    watch.send(&chunk(&list(2, true, &[member("s1", &nodes[1], "up")])));
    wait_for(TIMEOUT, "the list", || (proxy.metric("known_render_nodes") == Some(1)).then_some(()));
    assert_eq!(proxy.admin_request("POST", "/maintenance/exit", "s0").0, 200);
    assert_eq!(
        proxy.admin_request("POST", "/maintenance/enter", "s0").0,
        200,
        "the call is remembered, so the id is known"
    );
    assert_eq!(proxy.admin_request("GET", "/status", "").0, 200);
    assert_eq!(proxy.admin_request("POST", "/maintenance/enter", "s1").0, 200);
    assert_eq!(proxy.admin_request("GET", "/status", "").0, 503, "nothing is left to place on");
}

/// Clients of what is taken out for maintenance are migrated and what is queued goes elsewhere.
#[test]
fn maintenance_migrates_clients_and_requeues_requests() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let proxy = Proxy::with_admin(&[&nodes[0], &nodes[1]], 1024, SETTINGS);
    let mut ups: Vec<(ScriptedPeer, ScriptedPeer)> = Vec::new();
    while ups.len() < 4 {
        let mut client = proxy.open();
        let (node, mut far) = accept_attempt_at(&nodes);
        far.receive();
        far.send("UP 1\r\n");
        client.receive();
        if node == 0 {
            ups.push((client, far));
        }
    }
    // One attempt is out at the render node, and is refused there once it is out.
    let mut tried = proxy.open();
    let (mut node, mut far) = accept_attempt_at(&nodes);
    while node != 0 {
        far.receive();
        far.send("UP 1\r\n");
        tried = proxy.open();
        (node, far) = accept_attempt_at(&nodes);
    }
    far.receive();
    assert_eq!(proxy.admin_request("POST", "/maintenance/enter", "s0").0, 200);
    far.send("BUSY\r\n");
    let mut again = nodes[1].accept_attempt().0;
    again.send("UP 2\r\n");
    assert_eq!(tried.receive(), "UP 2\r\n");
    for (client, _far) in &mut ups {
        assert_eq!(client.receive_rest().unwrap(), "MOVE\r\n", "told to move, and not cut off");
    }
    assert!(nodes[0].poll().is_none());
}

/// A render node that failed before is used at once when it is put back.
#[test]
fn failed_node_is_used_after_maintenance() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let proxy = Proxy::with_admin(&[&nodes[0], &nodes[1]], 1024, SETTINGS);
    // It fails once; ends are kept, since one that is dropped would be the other's failure.
    let mut kept = Vec::new();
    let mut failed = false;
    while !failed {
        let mut client = proxy.open();
        let (node, mut far) = accept_attempt_at(&nodes);
        far.receive();
        failed = node == 0;
        if failed {
            far = nodes[1].accept_attempt_after(far);
        }
        far.send("UP 1\r\n");
        assert_eq!(client.receive(), "UP 1\r\n");
        kept.push((client, far));
    }
    assert_eq!(proxy.metric("skipped_render_nodes"), Some(1), "paused");
    assert_eq!(proxy.admin_request("POST", "/maintenance/enter", "s0").0, 200);
    assert_eq!(proxy.metric("skipped_render_nodes"), Some(1), "once, for two reasons");
    assert_eq!(proxy.admin_request("POST", "/maintenance/exit", "s0").0, 200);
    assert_eq!(proxy.metric("skipped_render_nodes"), Some(0), "the pause is forgotten");
    assert_eq!(places(&proxy, &nodes, 1), [0]);
}

/// It was carried out, and its connection ended with nothing said.
#[test]
fn answers_admin_request_complete_at_timeout() {
    let node = ScriptedServer::new();
    let proxy = Proxy::with_admin(&[&node], 1024, SETTINGS);
    let mut operator = ScriptedPeer::new(TcpStream::connect(proxy.admin_address()).unwrap());
    operator.send("POST /maintenance/enter HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\ns");
    // The proxy has begun to wait for the rest once it has answered a later one.
    assert_eq!(proxy.metric("in_progress"), Some(0));
    proxy.pause();
    std::thread::sleep(Duration::from_millis(2100));
    operator.send("0");
    proxy.resume_after_arrival();
    proxy.wait_for_log("taken out by hand");
    assert_eq!(operator.answer().0, 200);
}
