//! The last answers of a proxy that ends: each by what may have run.

use crate::peers::*;

/// All were told that trying again is harmless.
#[test]
fn shutdown_fails_requests_that_may_have_run() {
    let node = ScriptedServer::new();
    // What is told of a class is shorter than what its clients wait, so that attempts are out at the end.
    let class = |name: &str, effect: &str| {
        format!(r#"{{"name":"{name}","target":30000000,"deadline":300000,"gain":1.0,{effect}}}"#)
    };
    let classes = [
        class("safe", r#""effect":"safe""#),
        class("all", r#""effect":"keyed","group":"all","window":1000"#),
        class("cell", r#""effect":"keyed","group":"cell","window":60000000"#),
        class("once", r#""effect":"unsafe""#),
    ];
    let (head, _) = SETTINGS.split_once(r#""requestClasses""#).unwrap();
    let settings = format!(r#"{head}"requestClasses":[{}]}}"#, classes.join(","));
    let mut proxy = Proxy::with(&[&node], 1024, &settings);
    let open = |name: &str| {
        let mut client = proxy.connect();
        client.send(&with_fresh_id(OPEN).replace("c=look,d=2000", &format!("c={name},d=60000")));
        let far = node.accept_attempt().0;
        (client, far)
    };
    let mut waiting: Vec<(ScriptedPeer, ScriptedPeer)> = ["safe", "all", "cell", "once"].map(open).into();
    proxy.terminate();
    let answers: Vec<String> = waiting.iter_mut().map(|(client, _)| client.receive_rest().unwrap()).collect();
    let verbs: Vec<&str> = answers.iter().map(|answer| answer.split([' ', '\r']).next().unwrap()).collect();
    assert_eq!(verbs, ["BUSY", "BUSY", "ERR", "ERR"], "{answers:?}");
    for (_, far) in &mut waiting {
        assert_eq!(far.receive_rest().unwrap(), "", "the attempt is closed");
    }
    assert!(node.poll().is_none(), "nothing is sent on any more");
    assert!(proxy.wait_for_exit().success());
}

/// They were told nothing, and what they asked in that moment was lost with the process.
#[test]
fn shutdown_rejects_idle_clients() {
    let node = ScriptedServer::new();
    // The shutdown ends before those that rest have rested too long.
    let settings = SETTINGS.replace(r#""deadline":2000000"#, r#""deadline":300000"#);
    let mut proxy = Proxy::with(&[&node], 1024, &settings);
    let (mut silent, mut half, mut late) = (proxy.connect(), proxy.connect(), proxy.connect());
    let mut asking = proxy.connect();
    asking.send("PING\r\n");
    assert_eq!(asking.receive(), "PONG\r\n");
    let line = with_fresh_id(OPEN);
    half.send(&line[..20]);
    proxy.terminate();
    assert_eq!(silent.receive_rest().unwrap(), "BUSY\r\n");
    // Each says its line, or the rest of it, once it could have read that.
    assert_eq!(half.receive(), "BUSY\r\n");
    half.send(&line[20..]);
    assert_eq!(late.receive(), "BUSY\r\n");
    late.send(&with_fresh_id(OPEN));
    assert_eq!(
        (half.receive_rest().unwrap(), late.receive_rest().unwrap()),
        (String::new(), String::new()),
        "no reset"
    );
    assert_eq!(asking.receive_rest().unwrap(), "", "the front asks elsewhere");
    assert!(proxy.wait_for_exit().success());
    assert!(node.poll().is_none(), "what was read after the last word is sent nowhere");
}
