//! Call attempts that end: late, in an unknown state, or in the middle of an answer.
//!
//! Unless a story says so, its attempts have more time than the story: what ends one is what its peers do.

use crate::peers::full_backlog::FullBacklog;
use crate::peers::*;
use std::time::{Duration, Instant};

/// Time for an attempt is longer than any story's patience.
fn patient() -> String {
    SETTINGS.replace(r#""target":300000,"deadline":2000000"#, r#""target":30000000,"deadline":90000000"#)
}

/// The settings with another effect.
fn effect(settings: &str, effect: &str) -> String {
    settings.replace(r#""effect":"safe""#, effect)
}

const UNSAFE: &str = r#""effect":"unsafe""#;

/// A client that waits for so long, in milliseconds.
fn open_for(proxy: &Proxy, ms: u32) -> ScriptedPeer {
    let mut client = proxy.connect();
    client.send(&with_fresh_id(OPEN).replace("d=2000", &format!("d={ms}")));
    client
}

fn open(proxy: &Proxy) -> ScriptedPeer {
    open_for(proxy, 60_000)
}

/// A proxy with two render nodes, a client of it, where its attempt is out, and the other render node.
fn first_attempt(settings: &str) -> (Proxy, [ScriptedServer; 2], ScriptedPeer, usize, ScriptedPeer) {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let proxy = Proxy::with_admin(&[&nodes[0], &nodes[1]], 1024, settings);
    let client = open(&proxy);
    let (at, mut far) = accept_attempt_at(&nodes);
    far.receive();
    (proxy, nodes, client, at, far)
}

/// One line and the end: a failure.
fn is_failure(answer: &str) -> bool {
    answer.starts_with("ERR ") && answer.ends_with("\r\n") && answer.lines().count() == 1
}

/// One line and the end: a refusal.
fn is_refusal(answer: &str) -> bool {
    answer.starts_with("BUSY") && answer.ends_with("\r\n") && answer.lines().count() == 1
}

// ---- answers that come with more, in pieces, or spoilt ----

// Guards call_attempt.rs `into_link`: what was read with the answer is handed on with the connection.
/// Lines in the same write as the answer are relayed.
#[test]
fn relays_lines_sent_with_answer() {
    let (proxy, _nodes, mut client, _, mut far) = first_attempt(&patient());
    proxy.pause();
    far.send("UP 1\r\nM 5 x\r\nLOAD 2\r\nM 6");
    proxy.resume_after_arrival();
    assert_eq!(
        [client.receive(), client.receive(), client.receive()],
        ["UP 1\r\n", "M 5 x\r\n", "LOAD 2\r\n"]
    );
    far.send(" y\r\n");
    assert_eq!(client.receive(), "M 6 y\r\n");
}

// Guards relay.rs `pass_subchannel`: an end that was read with the answer shows again.
/// An answer and the end at once reach the client as an answer and an end.
#[test]
fn relays_answer_and_end_at_once() {
    let (proxy, _nodes, mut client, _, mut far) = first_attempt(&patient());
    proxy.pause();
    far.send("UP 1\r\nBYE\r\n");
    drop(far);
    proxy.resume_after_arrival();
    assert_eq!(client.receive_rest().unwrap(), "UP 1\r\nBYE\r\n");
}

// Guards line.rs `fill`, which remembers a reset: the attempt reads it with the answer, the relay would see an end.
/// An answer and a reset at once reach the client as an answer and a reset.
#[test]
fn relays_answer_and_reset_at_once() {
    let (proxy, _nodes, mut client, _, far) = first_attempt(&patient());
    proxy.pause();
    far.send_and_reset("UP 1\r\nM 5 x\r\n");
    proxy.resume_after_arrival();
    assert_eq!([client.receive(), client.receive()], ["UP 1\r\n", "M 5 x\r\n"]);
    assert_eq!(client.receive_rest().unwrap_err().kind(), std::io::ErrorKind::ConnectionReset);
}

// Guards call_attempt.rs `advance`: no whole line and the end is a reset, and half an answer is none.
/// Half an answer and the end is a reset and the next attempt answers alone.
#[test]
fn retries_after_partial_answer() {
    for (half, reset) in [("UP 1", false), ("UP 1\r", true), ("BUSY", false), ("", false), ("", true)] {
        let (proxy, nodes, mut client, at, mut far) = first_attempt(&patient());
        proxy.pause();
        match reset {
            true => far.send_and_reset(half),
            false => {
                far.send(half);
                drop(far);
            }
        }
        proxy.resume_after_arrival();
        let mut second = nodes[1 - at].accept_attempt().0;
        second.send("UP 2\r\n");
        assert_eq!(client.receive(), "UP 2\r\n", "{half:?}");
        second.send("BYE\r\n");
        drop(second);
        assert_eq!(client.receive_rest().unwrap(), "BYE\r\n", "{half:?}");
    }
}

// Guards call_attempt.rs `advance`: what is too long for a line is an error, whatever it begins with.
/// An answer without end is abandoned and nothing of it is relayed.
#[test]
fn drops_endless_answer() {
    let (_proxy, nodes, mut client, at, mut far) = first_attempt(&patient());
    far.send(&format!("UP {}", "x".repeat(4093)));
    let mut second = nodes[1 - at].accept_attempt().0;
    // It never ends, and its connection is closed meanwhile.
    wait_for(TIMEOUT, "the attempt is closed", || far.try_send(&"x".repeat(1000)).err());
    second.send("UP 2\r\nBYE\r\n");
    drop(second);
    assert_eq!(client.receive_rest().unwrap(), "UP 2\r\nBYE\r\n");
}

// Guards line.rs `take_line`, which leaves half a line where it is.
/// An answer may come byte by byte.
#[test]
fn reads_answer_byte_by_byte() {
    let (_proxy, nodes, mut client, at, mut far) = first_attempt(&patient());
    far.send_bytewise("BUSY 5\r\n");
    let mut second = nodes[1 - at].accept_attempt().0;
    second.send_bytewise("UP 77\r\nLOAD 2\r\n");
    assert_eq!([client.receive(), client.receive()], ["UP 77\r\n", "LOAD 2\r\n"]);
}

// Guards rpc.rs `attempt_ended`, which closes the attempt's connection with what it may still hold.
/// What follows a rejection or an error reaches nobody and its connection is not used again.
#[test]
fn drops_data_after_rejection() {
    for answer in
        ["BUSY\r\nUP 9\r\nM 1 x\r\n", "ERR no\r\nUP 9\r\n", "BUSY 5\r\nBUSY 6\r\n", "MOVE\r\nUP 9\r\n"]
    {
        let (proxy, nodes, mut client, at, mut far) = first_attempt(&patient());
        far.send(answer);
        let mut second = nodes[1 - at].accept_attempt().0;
        assert_eq!(far.receive_rest().unwrap(), "", "{answer:?}: closed before the next attempt");
        second.send("UP 2\r\n");
        assert_eq!(client.receive(), "UP 2\r\n", "{answer:?}");
        let mut other = open(&proxy);
        let (_, mut third) = accept_attempt_at(&nodes);
        third.receive();
        third.send("UP 3\r\nBYE\r\n");
        drop(third);
        assert_eq!(other.receive_rest().unwrap(), "UP 3\r\nBYE\r\n", "{answer:?}");
        second.send("BYE\r\n");
        drop(second);
        assert_eq!(client.receive_rest().unwrap(), "BYE\r\n", "{answer:?}");
    }
}

// Guards relay.rs `is_second_answer`, also where the end cuts it short.
/// A second answer just after the first is dropped however it is cut.
#[test]
fn drops_split_second_answer() {
    for second in ["UP 2\r\n", "BUSY 5\r\nERR late\r\n", "BUSY", "ERR late\r"] {
        let (proxy, _nodes, mut client, _, mut far) = first_attempt(&patient());
        proxy.pause();
        far.send(&format!("UP 1\r\n{second}"));
        drop(far);
        proxy.resume_after_arrival();
        assert_eq!(client.receive_rest().unwrap(), "UP 1\r\n", "{second:?}");
    }
    // Cut in two, of which the first is read with a line that the client hears.
    let (_proxy, _nodes, mut client, _, mut far) = first_attempt(&patient());
    far.send("UP 1\r\nLOAD 2\r\nBU");
    assert_eq!([client.receive(), client.receive()], ["UP 1\r\n", "LOAD 2\r\n"]);
    far.send("SY 5\r\nLOAD 3\r\n");
    assert_eq!(client.receive(), "LOAD 3\r\n");
}

// Guards relay.rs `is_second_answer`: no client's line is answered by an answer to its first one.
/// A second answer is dropped though a client's line is unanswered.
#[test]
fn drops_second_answer_with_line_unanswered() {
    for second in ["UP 2\r\n", "BUSY 5\r\n"] {
        let (_proxy, _nodes, mut client, _, mut far) = first_attempt(&patient());
        far.send("UP 1\r\n");
        assert_eq!(client.receive(), "UP 1\r\n");
        client.send("M 1 x\r\n");
        assert_eq!(far.receive(), "M 1 x\r\n");
        far.send(&format!("{second}M 1 x\r\n"));
        assert_eq!(client.receive(), "M 1 x\r\n");
        // Its own lines come back whatever they say.
        client.send("M 2 y\r\nBUSY 5\r\nUP 2\r\n");
        assert_eq!([far.receive(), far.receive(), far.receive()], ["M 2 y\r\n", "BUSY 5\r\n", "UP 2\r\n"]);
        far.send("M 2 y\r\nBUSY 5\r\nUP 2\r\nBYE\r\n");
        drop(far);
        assert_eq!(client.receive_rest().unwrap(), "M 2 y\r\nBUSY 5\r\nUP 2\r\nBYE\r\n");
    }
}

// ---- answers that come late ----

// Guards rpc.rs `timer` and `attempt_ended`: an attempt whose time is up is closed, and its number is not reused.
/// An answer to an attempt that was abandoned reaches nobody.
#[test]
fn drops_answer_to_ended_attempt() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let proxy = Proxy::start(&[&nodes[0], &nodes[1]]);
    let mut client = proxy.open();
    let (at, mut far) = accept_attempt_at(&nodes);
    far.receive();
    let mut second = nodes[1 - at].accept_attempt().0;
    assert_eq!(far.receive_rest().unwrap(), "", "closed when its time was up");
    // The first such write is taken by the system, and answered with a reset.
    far.send("UP 1\r\n");
    wait_for(TIMEOUT, "nobody reads it", || far.try_send("UP 1\r\n").err());
    second.send("UP 2\r\nBYE\r\n");
    drop(second);
    assert_eq!(client.receive_rest().unwrap(), "UP 2\r\nBYE\r\n");
}

// Guards reactor.rs `turn` and rpc.rs `timer`: what has come is read before timers, and an outdated timer does nothing.
/// An answer that is there when its time is up counts and no second attempt is made.
#[test]
fn accepts_answer_at_timeout() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let proxy = Proxy::start(&[&nodes[0], &nodes[1]]);
    let mut client = proxy.open();
    let (at, mut far) = accept_attempt_at(&nodes);
    far.receive();
    proxy.pause();
    far.send("UP 1\r\n");
    // The attempt's 300 ms are over in any case.
    std::thread::sleep(Duration::from_millis(400));
    proxy.resume_after_arrival();
    assert_eq!(client.receive(), "UP 1\r\n");
    client.send("M 1 x\r\n");
    assert_eq!(far.receive(), "M 1 x\r\n");
    far.send("M 1 x\r\nBYE\r\n");
    drop(far);
    assert_eq!(client.receive_rest().unwrap(), "M 1 x\r\nBYE\r\n");
    assert!(nodes[1 - at].poll().is_none(), "one attempt");
}

// ---- what may be repeated ----

// Guards interface.rs `Effect::may_repeat` and `may_refuse`: where an attempt may have run, an unsafe class fails.
/// An unsafe attempt that broke after its last byte is a failure and not retried.
#[test]
fn fails_unsafe_request_after_reset() {
    for (words, reset) in [
        ("", true),
        ("", false),
        ("UP 1", false),
        ("ERR no\r\n", false),
        ("MOVE\r\n", false),
        ("what\r\n", false),
    ] {
        let (_proxy, nodes, mut client, at, mut far) = first_attempt(&effect(&patient(), UNSAFE));
        match reset {
            true => far.send_and_reset(words),
            false => {
                far.send(words);
                drop(far);
            }
        }
        let answer = client.receive_rest().unwrap();
        assert!(is_failure(&answer), "{words:?}: {answer}");
        assert!(nodes[1 - at].poll().is_none() && nodes[at].poll().is_none(), "{words:?}: one attempt");
    }
}

// Guards call_attempt.rs `overdue`: once the line is written, an attempt without an answer may have run.
/// An unsafe attempt without an answer is a failure and not retried.
#[test]
fn fails_unsafe_request_after_timeout() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let proxy = Proxy::with(&[&nodes[0], &nodes[1]], 1024, &effect(SETTINGS, UNSAFE));
    let mut client = proxy.open();
    let (at, mut far) = accept_attempt_at(&nodes);
    far.receive();
    let answer = client.receive_rest().unwrap();
    assert!(is_failure(&answer), "{answer}");
    assert_eq!(far.receive_rest().unwrap(), "", "and the attempt is closed");
    assert!(nodes[1 - at].poll().is_none() && nodes[at].poll().is_none(), "one attempt");
}

// Guards call_attempt.rs `answer`: `BUSY` says that it never ran, and any class may go on.
/// An unsafe attempt that was rejected is retried elsewhere and may be rejected.
#[test]
fn retries_rejected_unsafe_request() {
    let (_proxy, nodes, mut client, at, mut far) = first_attempt(&effect(&patient(), UNSAFE));
    far.send("BUSY\r\n");
    nodes[1 - at].accept_attempt().0.send("UP 2\r\n");
    assert_eq!(client.receive(), "UP 2\r\n");
    let node = ScriptedServer::new();
    let proxy = Proxy::with(&[&node], 1024, &effect(&patient(), UNSAFE));
    let mut client = open_for(&proxy, 300);
    node.accept_attempt().0.send("BUSY\r\n");
    let answer = client.receive_rest().unwrap();
    assert!(is_refusal(&answer), "{answer}");
}

// Guards policy.rs `again`: what was turned away once may have run at the next one.
/// An unsafe attempt that broke after another was rejected is a failure.
#[test]
fn fails_unsafe_request_reset_after_rejection() {
    let (_proxy, nodes, mut client, at, mut far) = first_attempt(&effect(&patient(), UNSAFE));
    far.send("BUSY\r\n");
    nodes[1 - at].accept_attempt().0.reset();
    let answer = client.receive_rest().unwrap();
    assert!(is_failure(&answer), "{answer}");
    assert!(nodes.iter().all(|node| node.poll().is_none()), "no third attempt");
}

// Guards call_attempt.rs `advance`: a refused connect never ran.
/// An unsafe attempt that could not connect is retried elsewhere and may be rejected.
#[test]
fn retries_unconnected_unsafe_request() {
    let (dead, node) = (ScriptedServer::new(), ScriptedServer::new());
    let proxy = Proxy::with(&[&dead, &node], 1024, &effect(&patient(), UNSAFE));
    let alone = Proxy::with(&[&dead], 1024, &effect(&patient(), UNSAFE));
    drop(dead);
    let _open_peers: Vec<(ScriptedPeer, ScriptedPeer)> =
        (0..4).map(|_| (open(&proxy), node.accept_attempt().0)).collect();
    let answer = open_for(&alone, 300).receive_rest().unwrap();
    assert!(is_refusal(&answer), "{answer}");
}

// Guards call_attempt.rs `overdue`: while not connected, nothing has run.
/// An attempt whose time is up while its connect is pending never ran.
#[test]
fn timed_out_connect_never_ran() {
    // The attempt's own time ends first, then that for connecting.
    for (target, connect) in [("100000", "5000000"), ("30000000", "100000")] {
        let settings = effect(SETTINGS, UNSAFE).replace("300000", target).replace("250000", connect);
        let crowded = FullBacklog::new();
        let proxy = Proxy::with(&[crowded.node()], 1024, &settings);
        let answer = open_for(&proxy, 300).receive_rest().unwrap();
        assert!(is_refusal(&answer), "{target}, {connect}: {answer}");
        assert!(crowded.poll().is_none());
    }
}

// Guards call_attempt.rs `advance`: what comes up when its time is over carries nothing, so that it never ran.
/// A connection that is established after its time carries nothing.
#[test]
fn late_connection_carries_nothing() {
    // The system tries to connect again after 1 s; by then, or a second later, the time is over.
    for (target, connect) in [("2000000", "5000000"), ("30000000", "2000000")] {
        let settings = effect(&patient(), UNSAFE).replace("30000000", target).replace("250000", connect);
        let crowded = FullBacklog::new();
        let proxy = Proxy::with_admin(&[crowded.node()], 1024, &settings);
        let mut client = open(&proxy);
        wait_for(TIMEOUT, "the attempt is out", || (proxy.metric("in_progress") == Some(1)).then_some(()));
        let begun = Instant::now();
        proxy.pause();
        // There is room now, and the system connects while the proxy stands still.
        let mut late = crowded.accept();
        wait_for(TIMEOUT, "its time is over", || (begun.elapsed() > Duration::from_secs(2)).then_some(()));
        proxy.resume_after_arrival();
        assert_eq!(late.receive_rest().unwrap(), "", "{target}, {connect}: no line");
        let mut far = crowded.accept_attempt().0;
        far.send("UP 2\r\n");
        assert_eq!(client.receive(), "UP 2\r\n", "{target}, {connect}: it never ran, and may be tried again");
    }
}

/// Two zones of two cells each, of two render nodes each.
fn spread() -> (Vec<ScriptedServer>, Vec<String>) {
    let nodes: Vec<ScriptedServer> = (0..8).map(|_| ScriptedServer::new()).collect();
    let place = |(i, node): (usize, &ScriptedServer)| {
        let zone = if i < 4 { "a" } else { "b" };
        member(&format!("s{i}"), node, "up")
            .replace(r#""locality":"a","cell":0"#, &format!(r#""locality":"{zone}","cell":{}"#, i / 2))
    };
    let members = nodes.iter().enumerate().map(place).collect();
    (nodes, members)
}

// Guards policy.rs `pick` and `answer`: repeats stay in the group, whose end is a failure where others remain.
/// An idempotent repeat stays in its cell or zone and then fails.
#[test]
fn idempotent_retry_stays_in_cell_or_zone() {
    for (group, size) in [("cell", 2), ("zone", 4)] {
        let keyed = format!(r#""effect":"keyed","group":"{group}","window":60000000"#);
        let settings = effect(SETTINGS, &keyed).replace(r#""zones":["a"]"#, r#""zones":["a","b"]"#);
        let (nodes, members) = spread();
        let proxy = Proxy::with_endpoints(&members, &settings);
        let mut client = open(&proxy);
        // No answer in time, then turned away, then broken.
        let (first, mut silent) = accept_attempt_at(&nodes);
        silent.receive();
        let (second, mut full) = accept_attempt_at(&nodes);
        full.receive();
        assert_eq!(silent.receive_rest().unwrap(), "", "{group}: given up");
        full.send("BUSY\r\n");
        let (third, mut broken) = accept_attempt_at(&nodes);
        broken.receive();
        broken.reset();
        let answer = client.receive_rest().unwrap();
        assert!(is_failure(&answer), "{group}: {answer}");
        let tried = [first, second, third];
        assert!(tried.iter().all(|at| at / size == first / size), "{group}: {tried:?}");
        assert!(nodes.iter().all(|node| node.poll().is_none()), "{group}: no fourth attempt");
    }
}

// Guards interface.rs `Effect::may_refuse`: what all drop may be sent anywhere, and refused.
/// An idempotent repeat that all drop goes anywhere and may be rejected.
#[test]
fn idempotent_retry_goes_anywhere_after_drops() {
    let keyed = r#""effect":"keyed","group":"all","window":60000000"#;
    let (proxy, nodes, mut client, at, far) = first_attempt(&effect(&patient(), keyed));
    far.reset();
    let second = nodes[1 - at].accept_attempt().0;
    second.reset();
    let (_, mut third) = accept_attempt_at(&nodes);
    third.receive();
    third.reset();
    let answer = client.receive_rest().unwrap();
    assert!(is_refusal(&answer), "{answer}");
    drop(proxy);
}

// Guards interface.rs `Effect::may_repeat`: the window is counted from the first send.
/// An idempotent attempt that ends after its window is not repeated.
#[test]
fn no_idempotent_retry_after_window() {
    for (group, refused) in [("cell", false), ("zone", false), ("all", true)] {
        let keyed = format!(r#""effect":"keyed","group":"{group}","window":200000"#);
        let nodes = [ScriptedServer::new(), ScriptedServer::new()];
        let proxy = Proxy::with(&[&nodes[0], &nodes[1]], 1024, &effect(SETTINGS, &keyed));
        let mut client = proxy.open();
        let (at, mut far) = accept_attempt_at(&nodes);
        far.receive();
        let answer = client.receive_rest().unwrap();
        assert!(if refused { is_refusal(&answer) } else { is_failure(&answer) }, "{group}: {answer}");
        assert_eq!(far.receive_rest().unwrap(), "", "{group}: closed");
        assert!(nodes[1 - at].poll().is_none() && nodes[at].poll().is_none(), "{group}: one attempt");
    }
}
