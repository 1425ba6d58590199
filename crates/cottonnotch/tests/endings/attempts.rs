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
#[test]
fn lines_in_the_same_write_as_the_answer_are_passed_on() {
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
#[test]
fn an_answer_and_the_end_at_once_reach_the_client_as_an_answer_and_an_end() {
    let (proxy, _nodes, mut client, _, mut far) = first_attempt(&patient());
    proxy.pause();
    far.send("UP 1\r\nBYE\r\n");
    drop(far);
    proxy.resume_after_arrival();
    assert_eq!(client.receive_rest().unwrap(), "UP 1\r\nBYE\r\n");
}

// Guards line.rs `fill`, which remembers a reset: the attempt reads it with the answer, the relay would see an end.
#[test]
fn an_answer_and_a_reset_at_once_reach_the_client_as_an_answer_and_a_reset() {
    let (proxy, _nodes, mut client, _, far) = first_attempt(&patient());
    proxy.pause();
    far.send_and_reset("UP 1\r\nM 5 x\r\n");
    proxy.resume_after_arrival();
    assert_eq!([client.receive(), client.receive()], ["UP 1\r\n", "M 5 x\r\n"]);
    assert_eq!(client.receive_rest().unwrap_err().kind(), std::io::ErrorKind::ConnectionReset);
}

// Guards call_attempt.rs `advance`: no whole line and the end is a reset, and half an answer is none.
#[test]
fn half_an_answer_and_the_end_is_a_reset_and_the_next_attempt_answers_alone() {
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
#[test]
fn an_answer_without_end_is_given_up_and_nothing_of_it_is_passed_on() {
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
#[test]
fn an_answer_may_come_byte_by_byte() {
    let (_proxy, nodes, mut client, at, mut far) = first_attempt(&patient());
    far.send_bytewise("BUSY 5\r\n");
    let mut second = nodes[1 - at].accept_attempt().0;
    second.send_bytewise("UP 77\r\nLOAD 2\r\n");
    assert_eq!([client.receive(), client.receive()], ["UP 77\r\n", "LOAD 2\r\n"]);
}

// Guards rpc.rs `attempt_ended`, which closes the attempt's connection with what it may still hold.
#[test]
fn what_follows_a_refusal_or_an_error_reaches_nobody_and_its_connection_is_not_used_again() {
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
#[test]
fn a_second_answer_just_after_the_first_is_dropped_however_it_is_cut() {
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
#[test]
fn a_second_answer_is_dropped_though_a_clients_line_is_unanswered() {
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
#[test]
fn an_answer_to_an_attempt_that_was_given_up_reaches_nobody() {
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
#[test]
fn an_answer_that_is_there_when_its_time_is_up_counts_and_no_second_attempt_is_made() {
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
#[test]
fn an_unsafe_attempt_that_broke_after_its_last_byte_is_a_failure_and_tried_nowhere_else() {
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
#[test]
fn an_unsafe_attempt_without_an_answer_is_a_failure_and_tried_nowhere_else() {
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
#[test]
fn an_unsafe_attempt_that_was_turned_away_is_tried_elsewhere_and_may_be_refused() {
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
#[test]
fn an_unsafe_attempt_that_broke_after_another_was_turned_away_is_a_failure() {
    let (_proxy, nodes, mut client, at, mut far) = first_attempt(&effect(&patient(), UNSAFE));
    far.send("BUSY\r\n");
    nodes[1 - at].accept_attempt().0.reset();
    let answer = client.receive_rest().unwrap();
    assert!(is_failure(&answer), "{answer}");
    assert!(nodes.iter().all(|node| node.poll().is_none()), "no third attempt");
}

// Guards call_attempt.rs `advance`: a refused connect never ran.
#[test]
fn an_unsafe_attempt_that_could_not_connect_is_tried_elsewhere_and_may_be_refused() {
    let (dead, node) = (ScriptedServer::new(), ScriptedServer::new());
    let proxy = Proxy::with(&[&dead, &node], 1024, &effect(&patient(), UNSAFE));
    let alone = Proxy::with(&[&dead], 1024, &effect(&patient(), UNSAFE));
    drop(dead);
    let _held: Vec<(ScriptedPeer, ScriptedPeer)> =
        (0..4).map(|_| (open(&proxy), node.accept_attempt().0)).collect();
    let answer = open_for(&alone, 300).receive_rest().unwrap();
    assert!(is_refusal(&answer), "{answer}");
}

// Guards call_attempt.rs `overdue`: while not connected, nothing has run.
#[test]
fn an_attempt_whose_time_is_up_while_its_connect_is_pending_never_ran() {
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
#[test]
fn a_connection_that_comes_up_after_its_time_carries_nothing() {
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
#[test]
fn a_keyed_repeat_stays_in_its_cell_or_zone_and_then_fails() {
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
#[test]
fn a_keyed_repeat_that_all_drop_goes_anywhere_and_may_be_refused() {
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
#[test]
fn a_keyed_attempt_that_ends_after_its_window_is_not_repeated() {
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
