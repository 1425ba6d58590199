//! Clients that have gone while their attempts are out, or in the instant in which they might be sent on: no attempt begins
//! for them, also where the loop has a thousand other events before their ends.
//!
//! One look at the system brings the loop 1,024 events at most. What stirs before a client's end, while the process is
//! stopped, is taken up before it: with enough of that, an attempt fails, or comes up, in an earlier round than the one that
//! shows the end.

use super::peers::full_backlog::FullBacklog;
use super::peers::*;
use std::io::ErrorKind;
use std::time::{Duration, Instant};

/// More than the loop takes up at once.
const MANY: usize = 1100;
const SOCKETS: u32 = 8192;

/// Nothing ends because its time is up, unless a story says so.
fn patient() -> String {
    let settings = SETTINGS.replace("\"target\":300000", "\"target\":60000000");
    settings.replace("\"connectTimeout\":250000", "\"connectTimeout\":60000000")
}

fn line() -> String {
    with_fresh_id(OPEN).replace("d=2000", "d=120000")
}

fn asks(proxy: &Proxy) -> (ScriptedPeer, u64) {
    let (mut client, line) = (proxy.connect(), line());
    client.send(&line);
    (client, id_of(&line))
}

fn in_progress(proxy: &Proxy, count: u64) {
    wait_for(TIMEOUT, "so many in progress", || (proxy.metric("in_progress") == Some(count)).then_some(()));
}

type Leave = fn(ScriptedPeer);

/// Whoever ends its sending gives up: the proxy sees that first, whatever comes after it.
const LEAVINGS: [(&str, Leave); 3] = [
    ("an end", |client| drop(client)),
    ("a reset", |client| client.reset()),
    ("an end of its sending", |client| {
        client.finish();
        drop(client);
    }),
];

type Fail = fn(ScriptedPeer);

const FAILURES: [(&str, Fail); 4] = [
    ("an error", |mut far| far.send("ERR no\r\n")),
    ("a refusal", |mut far| far.send("BUSY\r\n")),
    ("an end", |far| drop(far)),
    ("a reset", |far| far.reset()),
];

/// Clients that rest, as the front's do: whatever they say is one event each, and asks for nothing.
struct Rest(Vec<ScriptedPeer>);

impl Rest {
    fn of(proxy: &Proxy, count: usize) -> Self {
        let mut clients: Vec<ScriptedPeer> = (0..count).map(|_| proxy.connect()).collect();
        clients.iter_mut().for_each(|client| client.send("PING\r\n"));
        clients.iter_mut().for_each(|client| assert_eq!(client.receive(), "PONG\r\n"));
        Rest(clients)
    }

    /// All of them stir: each has begun a line, and the loop is to look at it.
    fn stir(&mut self) {
        self.0.iter_mut().for_each(|client| client.send("P"));
    }
}

/// The second of two render nodes is taken out, so that the first gets every first attempt; then it is put back, and is the
/// only one that a further attempt can go to.
fn only_the_first(proxy: &Proxy) {
    assert_eq!(proxy.admin_request("POST", "/maintenance/enter", "s1").0, 200);
}

fn both(proxy: &Proxy) {
    assert_eq!(proxy.admin_request("POST", "/maintenance/exit", "s1").0, 200);
}

/// A client that asks later is served, and nothing came before it at the second render node.
fn first_at_the_second(proxy: &Proxy, second: &ScriptedServer) {
    assert_eq!(proxy.admin_request("POST", "/maintenance/enter", "s0").0, 200);
    let (mut client, id) = asks(proxy);
    let (mut far, line) = second.accept_attempt();
    assert_eq!(id_of(&line), id, "nothing began for those that had left");
    far.send("UP 1\r\n");
    assert_eq!(client.receive(), "UP 1\r\n");
    drop(client);
    assert_eq!(far.receive_rest().unwrap(), "");
    assert_eq!(proxy.admin_request("POST", "/maintenance/exit", "s0").0, 200);
    in_progress(proxy, 0);
}

/// Guards clients.rs `attempt_ended` and `send`, rpc.rs `awaits_answer`: the failures of 600 attempts and some of the ends of
/// their clients are there in one round, the rest of the ends only in the next.
#[test]
fn no_retry_for_clients_gone_at_failure() {
    for (how, fail) in FAILURES {
        let nodes = [ScriptedServer::new(), ScriptedServer::new()];
        let proxy = Proxy::with_admin(&[&nodes[0], &nodes[1]], SOCKETS, &patient());
        only_the_first(&proxy);
        let pairs: Vec<(ScriptedPeer, ScriptedPeer)> =
            (0..600).map(|_| (asks(&proxy).0, nodes[0].accept_attempt().0)).collect();
        let (clients, fars): (Vec<ScriptedPeer>, Vec<ScriptedPeer>) = pairs.into_iter().unzip();
        both(&proxy);
        proxy.pause();
        fars.into_iter().for_each(fail);
        proxy.wait_until_arrived();
        for (client, (_, leave)) in clients.into_iter().zip(LEAVINGS.iter().cycle()) {
            leave(client);
        }
        proxy.resume_after_arrival();
        in_progress(&proxy, 0);
        assert!(nodes[1].poll().is_none(), "after {how}, a further attempt began for one that had left");
        assert!(nodes[0].poll().is_none());
        first_at_the_second(&proxy, &nodes[1]);
    }
}

/// Guards the same: one client's attempt fails, a thousand others stir, then it leaves.
#[test]
fn no_retry_for_client_gone_behind_queued_events() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let proxy = Proxy::with_admin(&[&nodes[0], &nodes[1]], SOCKETS, &patient());
    for ((answer, fail), (how, leave)) in FAILURES.iter().zip(LEAVINGS.iter().cycle()) {
        let mut rest = Rest::of(&proxy, MANY);
        only_the_first(&proxy);
        let client = asks(&proxy).0;
        let far = nodes[0].accept_attempt().0;
        both(&proxy);
        proxy.pause();
        fail(far);
        proxy.wait_until_arrived();
        rest.stir();
        proxy.wait_until_arrived();
        leave(client);
        proxy.resume_after_arrival();
        in_progress(&proxy, 0);
        assert!(
            nodes[1].poll().is_none(),
            "after {answer}, a further attempt began for one that left by {how}"
        );
        assert!(nodes[0].poll().is_none());
        // The first one is paused after a failure; put back by hand, it begins anew.
        first_at_the_second(&proxy, &nodes[1]);
    }
}

/// Guards the same: what fails is that the connection is refused, which is told only as the system tries again.
#[test]
fn no_retry_for_client_gone_at_refused_connection() {
    for (how, leave) in [LEAVINGS[0], LEAVINGS[1]] {
        let (crowded, second) = (FullBacklog::new(), ScriptedServer::new());
        let proxy = Proxy::with_admin(&[crowded.node(), &second], SOCKETS, &patient());
        let mut rest = Rest::of(&proxy, MANY);
        only_the_first(&proxy);
        let client = asks(&proxy).0;
        in_progress(&proxy, 1);
        both(&proxy);
        proxy.pause();
        let address = crowded.node().address();
        drop(crowded);
        proxy.wait_until_refused(address);
        rest.stir();
        proxy.wait_until_arrived();
        leave(client);
        proxy.resume_after_arrival();
        in_progress(&proxy, 0);
        assert!(second.poll().is_none(), "a further attempt began for one that left by {how}");
        first_at_the_second(&proxy, &second);
    }
}

/// Guards the same: what ends the attempt is its time, which is up while the process stands still.
#[test]
fn no_retry_for_client_gone_at_timeout() {
    const TARGET: Duration = Duration::from_millis(1500);
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let settings = SETTINGS.replace("\"target\":300000", "\"target\":1500000");
    let proxy = Proxy::with_admin(&[&nodes[0], &nodes[1]], SOCKETS, &settings);
    for (how, leave) in [LEAVINGS[0], LEAVINGS[1]] {
        let mut rest = Rest::of(&proxy, MANY);
        only_the_first(&proxy);
        let client = asks(&proxy).0;
        let mut far = nodes[0].accept_attempt().0;
        let began = Instant::now();
        both(&proxy);
        proxy.pause();
        rest.stir();
        proxy.wait_until_arrived();
        leave(client);
        proxy.wait_until_arrived();
        wait_for(TIMEOUT, "its time", || (began.elapsed() > TARGET).then_some(()));
        proxy.resume();
        in_progress(&proxy, 0);
        assert_eq!(far.receive_rest().unwrap(), "");
        assert!(nodes[1].poll().is_none(), "a further attempt began for one that left by {how}");
        first_at_the_second(&proxy, &nodes[1]);
    }
}

/// Guards rpc.rs `advance`: the connection comes up a second late, and its client leaves before the loop looks at it. Its line
/// is not written.
#[test]
fn late_connection_gets_no_line_of_gone_client() {
    for (how, leave) in LEAVINGS {
        let crowded = FullBacklog::new();
        let proxy = Proxy::with_admin(&[crowded.node()], SOCKETS, &patient());
        let client = asks(&proxy).0;
        in_progress(&proxy, 1);
        proxy.pause();
        // It comes up as the system tries again; the process doesn't know yet.
        let mut far = crowded.accept();
        proxy.wait_until_arrived();
        leave(client);
        proxy.resume_after_arrival();
        match far.receive_rest() {
            Ok(said) => assert_eq!(said, "", "its line was written after it had left by {how}"),
            Err(error) => assert_eq!(error.kind(), ErrorKind::ConnectionReset),
        }
        in_progress(&proxy, 0);
    }
}

/// Guards clients.rs `reopen`: a connection from before the start is tried again after 200 ms, and its client leaves meanwhile.
#[test]
fn no_reopening_for_gone_client() {
    let node = ScriptedServer::new();
    let proxy = Proxy::with_admin(&[&node], SOCKETS, &patient());
    for (how, leave) in LEAVINGS {
        let mut rest = Rest::of(&proxy, MANY);
        let mut client = proxy.connect();
        client.send(&line().replace("g=5c0f", "g=5c0f,at=s0"));
        let mut far = node.accept_attempt().0;
        loop {
            far.finish();
            assert_eq!(far.receive_rest().unwrap(), "", "the attempt is over");
            proxy.pause();
            let Some(next) = node.poll() else { break };
            // The process was stopped too late, and its next try is out.
            proxy.resume();
            far = next;
            far.receive();
        }
        let stopped = Instant::now();
        rest.stir();
        proxy.wait_until_arrived();
        leave(client);
        proxy.wait_until_arrived();
        wait_for(TIMEOUT, "its time", || (stopped.elapsed() > Duration::from_millis(250)).then_some(()));
        proxy.resume();
        in_progress(&proxy, 0);
        assert!(node.poll().is_none(), "a further attempt began for one that left by {how}");
    }
}

/// Guards clients.rs `send`: more are held than the loop takes up at once, and released as a trial goes well, which is read
/// before their ends. Who has waited longest leaves last, and is the first to be sent on.
#[test]
fn sends_nothing_for_queued_clients_gone_behind_events() {
    let node = ScriptedServer::new();
    let proxy = Proxy::with_admin(&[&node], SOCKETS, &patient());
    let (mut tried, id) = asks(&proxy);
    node.accept_attempt().0.send("BUSY\r\n");
    // The node is paused, and this is the one trial of it: nobody else is sent until it has ended.
    let (mut far, line) = node.accept_attempt();
    assert_eq!(id_of(&line), id);
    let clients: Vec<ScriptedPeer> = (0..MANY).map(|_| asks(&proxy).0).collect();
    in_progress(&proxy, MANY as u64 + 1);
    proxy.pause();
    far.send("UP 1\r\n");
    proxy.wait_until_arrived();
    for (client, (_, leave)) in clients.into_iter().rev().zip(LEAVINGS.iter().cycle()) {
        leave(client);
    }
    proxy.resume_after_arrival();
    assert_eq!(tried.receive(), "UP 1\r\n");
    in_progress(&proxy, 1);
    assert!(node.poll().is_none(), "an attempt began for one that had left");
    let (mut client, id) = asks(&proxy);
    let (mut far, line) = node.accept_attempt();
    assert_eq!(id_of(&line), id);
    far.send("UP 1\r\n");
    assert_eq!(client.receive(), "UP 1\r\n");
}
