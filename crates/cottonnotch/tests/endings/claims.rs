//! What was claimed for a client that is gone: turns, set-ups and attempts are there for others.

use crate::peers::*;

/// Each of them cost a turn and a set-up for each attempt that it might have had, all for nobody.
#[test]
fn clients_gone_with_their_line_use_no_setups() {
    let node = ScriptedServer::new();
    let tenants = r#""tenants":[{"name":"t","allowancePerS":0.01,"share":1.0}],"balancers":1"#;
    let proxy = Proxy::with(&[&node], 1024, &SETTINGS.replace(r#""balancers":1"#, tenants));
    for begin in ["", "and more of it"] {
        proxy.pause();
        let mut gone: Vec<ScriptedPeer> = (0..20).map(|_| proxy.connect()).collect();
        gone.iter_mut().for_each(|client| client.send(&format!("{}{begin}", with_fresh_id(OPEN))));
        drop(gone);
        proxy.resume_after_arrival();
    }
    let mut sound = proxy.open();
    let mut far = node.accept_attempt().0;
    assert!(far.try_send("UP 1\r\n").is_ok());
    assert_eq!(sound.receive(), "UP 1\r\n");
    assert!(node.poll().is_none(), "nobody else was sent on");
}

/// A client that ends its sending gives up, as the pages have it of attempts; but it is told so.
#[test]
fn half_closed_client_gets_error() {
    let node = ScriptedServer::new();
    let proxy = Proxy::with_admin(&[&node], 1024, SETTINGS);
    let mut client = proxy.open();
    let mut far = node.accept_attempt().0;
    client.finish();
    assert_eq!(client.receive_rest().unwrap(), "ERR the client has ended its sending\r\n");
    assert_eq!(far.receive_rest().unwrap(), "", "its attempt is closed");
    assert_eq!(proxy.admin_request("POST", "/maintenance/enter", "s0").0, 200);
    let mut held = proxy.open();
    wait_for(TIMEOUT, "it is held", || (proxy.metric("in_progress")? == 1).then_some(()));
    held.finish();
    assert_eq!(held.receive_rest().unwrap(), "ERR the client has ended its sending\r\n");
    wait_for(TIMEOUT, "nothing is owed", || (proxy.metric("in_progress")? == 0).then_some(()));
}

/// A held client's earlier attempt had ended and been paid for; its set-up was given back when the client left.
#[test]
fn used_setup_is_not_returned() {
    let node = ScriptedServer::new();
    let tenants = r#""tenants":[{"name":"t","allowancePerS":0.001,"share":1.0}],"balancers":1"#;
    let proxy = Proxy::with_admin(&[&node], 1024, &SETTINGS.replace(r#""balancers":1"#, tenants));
    let open = |left: &str| {
        let mut client = proxy.connect();
        client.send(&with_fresh_id(OPEN).replace("d=2000", left));
        client
    };
    // Two set-ups are there, and the next one comes in minutes.
    for _ in 0..2 {
        let client = open("d=20000");
        let mut far = node.accept_attempt().0;
        far.send("BUSY\r\n");
        assert_eq!(far.receive_rest().unwrap(), "", "its attempt is over, and it is held");
        drop(client);
        wait_for(TIMEOUT, "it is gone", || (proxy.metric("in_progress")? == 0).then_some(()));
    }
    let answer = open("d=6000").receive_rest().unwrap();
    assert!(answer.starts_with("BUSY"), "{answer}");
    assert!(node.poll().is_none(), "no third set-up");
}

// Guards clients.rs `attempt_ended`, which tells the module of the client's end before its attempt's.
/// It leaves as its attempt fails, and a further one would have been made: the set-up for that is there for others.
#[test]
fn client_gone_at_failure_uses_no_second_setup() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let tenants = r#""tenants":[{"name":"t","allowancePerS":0.001,"share":1.0}],"balancers":1"#;
    let settings = SETTINGS.replace(r#""balancers":1"#, tenants);
    let proxy = Proxy::with_admin(&[&nodes[0], &nodes[1]], 1024, &settings.replace("300000", "8000000"));
    let open = || {
        let mut client = proxy.connect();
        client.send(&with_fresh_id(OPEN).replace("d=2000", "d=20000"));
        client
    };
    // Two set-ups are there, and the next one comes in minutes.
    let client = open();
    let (at, mut far) = accept_attempt_at(&nodes);
    far.receive();
    proxy.pause();
    far.send("BUSY\r\n");
    proxy.wait_until_arrived();
    drop(client);
    proxy.resume_after_arrival();
    wait_for(TIMEOUT, "it is gone", || (proxy.metric("in_progress")? == 0).then_some(()));
    let mut sound = open();
    let (mut far, _) = nodes[1 - at].accept_attempt();
    far.send("UP 1\r\n");
    assert_eq!(sound.receive(), "UP 1\r\n");
}
