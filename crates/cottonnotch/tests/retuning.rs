//! Stories of SIGHUP with other settings: whole or not at all, and what was taken before keeps its rules.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod peers;
use peers::*;

const TUNED: &str = r#"{"balancers":1,"ordinal":0,"zones":["a"],"zone":"a","registryMode":"on_request",
    "policyLimits":{"mostTries":3,"connectTimeout":250000,"retryAfter":true,"maxRetryAfter":1000000},
    "familyInfo":{"messageAim":[150000.0]},
    "requestClasses":[{"name":"look","effect":"safe","target":300000,"deadline":2000000,"gain":1.0},
        {"name":"edit","effect":"safe","target":300000,"deadline":2000000,"gain":1.0}]}"#;
const EDIT: &str = r#"{"name":"edit","effect":"safe","target":300000,"deadline":2000000,"gain":1.0}"#;

fn open_as(proxy: &Proxy, class: &str) -> ScriptedPeer {
    let mut client = proxy.connect();
    client.send(&with_fresh_id(OPEN).replace("c=look", &format!("c={class}")));
    client
}

/// Each faulty file is rejected as a whole and its key is named.
#[test]
fn rejects_faulty_configuration_and_names_key() {
    let node = ScriptedServer::new();
    let proxy = Proxy::with_admin(&[&node], 1024, TUNED);
    let deadline = r#""deadline":2000000,"gain":1.0},"#;
    let with = |value: &str| format!(r#""deadline":{value},"gain":1.0}},"#);
    let tries = |value: &str| format!(r#""mostTries":{value}"#);
    let mut faults: Vec<(String, String, &str)> = vec![
        (r#""name":"n0""#.into(), r#""was":"n0""#.into(), "name is missing"),
        (r#""discovery""#.into(), r#""recovery""#.into(), "discovery is missing"),
        (r#""listen""#.into(), r#""lost""#.into(), "listen is missing"),
        (r#""known""#.into(), r#""unknown""#.into(), "known is missing"),
        (r#""sockets""#.into(), r#""pockets""#.into(), "limits.sockets is missing"),
        (r#""settings""#.into(), r#""sittings""#.into(), "settings is missing"),
        (r#""mostTries""#.into(), r#""leastTries""#.into(), "settings.policyLimits.mostTries is missing"),
        (r#""policyLimits""#.into(), r#""limits""#.into(), "settings.policyLimits."),
        (r#""messageAim""#.into(), r#""messageGoal""#.into(), "settings.familyInfo.messageAim is missing"),
        (r#""requestClasses""#.into(), r#""classes""#.into(), "settings.requestClasses is missing"),
        (r#""name":"edit","#.into(), "".into(), "settings.requestClasses.1.name is missing"),
        (r#""name":"edit""#.into(), r#""name":"look""#.into(), "settings.requestClasses.1.name is another"),
        (deadline.into(), r#""gain":1.0},"#.into(), "settings.requestClasses.*.deadline is missing"),
        (
            r#""effect":"safe","target""#.into(),
            r#""target""#.into(),
            "settings.requestClasses.*.effect is missing",
        ),
    ];
    for value in ["0", "-1", "-0.5", "1e300", "\"2000000\"", "\"soon\"", "null", "true", "[]", "{}"] {
        faults.push((deadline.into(), with(value), "settings.requestClasses.0.deadline "));
        faults.push((r#""mostTries":3"#.into(), tries(value), "settings.policyLimits.mostTries "));
    }
    for (number, (from, to, named)) in (1..).zip(&faults) {
        proxy.reconfigure(&[(from, to)]);
        let line = proxy.wait_for_log("configuration ");
        assert!(line.contains("configuration kept") && line.contains(named), "{to}: {line}");
        assert_eq!(proxy.metric("load_errors"), Some(number), "{to}");
    }
    let so_far = faults.len() as u64;
    for (number, damage) in (1..).zip([0, 1, 40, 200, 2]) {
        proxy.truncate_config(damage);
        assert!(proxy.wait_for_log("configuration ").contains("configuration kept"), "{damage} bytes");
        assert_eq!(proxy.metric("load_errors"), Some(so_far + number));
    }
    proxy.reconfigure(&[(r#""deadline":2000000,"gain":1.0},"#, r#""deadline":NaN,"gain":1.0},"#)]);
    assert!(proxy.wait_for_log("configuration ").contains("is not JSON"));
    assert_eq!(proxy.metric("loads"), Some(0));
    // All is as it was.
    for class in ["look", "edit"] {
        let mut client = open_as(&proxy, class);
        let mut far = node.accept_attempt().0;
        far.send("UP 1\r\n");
        assert_eq!(client.receive(), "UP 1\r\n");
    }
    proxy.reconfigure(&[(r#""mostTries":3"#, r#""mostTries":1"#)]);
    proxy.wait_for_log("configuration read again");
    assert_eq!(proxy.metric("loads"), Some(1));
}

/// What was accepted before keeps its attempts and its effect.
#[test]
fn accepted_requests_keep_their_attempts_and_effect() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let proxy = Proxy::with_admin(&[&nodes[0], &nodes[1]], 1024, TUNED);
    let mut before = open_as(&proxy, "edit");
    let (first, far) = accept_attempt_at(&nodes);
    proxy.reconfigure(&[
        (r#""mostTries":3"#, r#""mostTries":1"#),
        (r#""name":"edit","effect":"safe""#, r#""name":"edit","effect":"unsafe""#),
    ]);
    proxy.wait_for_log("configuration read again");
    // Its line may have run: by the new rules it would fail.
    let mut far = nodes[1 - first].accept_attempt_after(far);
    far.send("UP 1\r\n");
    assert_eq!(before.receive(), "UP 1\r\n");
    // One that comes now has the one attempt, and may not be repeated.
    let mut after = open_as(&proxy, "edit");
    let mut far = nodes[1 - first].accept_attempt().0;
    far.send("ERR no\r\n");
    assert!(after.receive_rest().unwrap().starts_with("ERR "), "unsafe now");
    // `look` is safe still, and has one attempt too: no other node is tried.
    let mut look = open_as(&proxy, "look");
    let (_, mut far) = accept_attempt_at(&nodes);
    far.receive();
    far.send("BUSY\r\n");
    assert!(look.receive_rest().unwrap().starts_with("BUSY"), "refused after its one attempt");
}

/// A class comes and goes while its connections stay.
#[test]
fn class_changes_keep_connections() {
    let node = ScriptedServer::new();
    let proxy = Proxy::with_admin(&[&node], 1024, TUNED);
    let mut client = open_as(&proxy, "edit");
    let mut far = node.accept_attempt().0;
    far.send("UP 1\r\n");
    assert_eq!(client.receive(), "UP 1\r\n");
    let print = EDIT.replace("edit", "print").replace("safe", "unsafe");
    proxy.reconfigure(&[(EDIT, &print)]);
    proxy.wait_for_log("configuration read again");
    assert_eq!(proxy.metric("handled.print.passed"), Some(0), "there from the first moment");
    client.send("M 1 x\r\n");
    assert_eq!(far.receive(), "M 1 x\r\n");
    far.send("M 1 x\r\n");
    assert_eq!(client.receive(), "M 1 x\r\n", "an open connection goes on");
    assert!(open_as(&proxy, "edit").receive_rest().unwrap().starts_with("ERR the class is unknown"));
    assert_eq!(proxy.metric("handled.edit.bad_gateway"), Some(1), "a dropped class's figures stay");
    assert_eq!(proxy.metric("handled.edit.passed"), Some(1));
    let mut fails = open_as(&proxy, "print");
    let mut near = node.accept_attempt().0;
    near.send("ERR no\r\n");
    assert!(fails.receive_rest().unwrap().starts_with("ERR "), "by the new class's rules");
    // Back as it was, several times in a row.
    for _ in 0..3 {
        proxy.restore_config();
        proxy.wait_for_log("configuration read again");
    }
    assert_eq!(proxy.metric("loads"), Some(4));
    let mut client = open_as(&proxy, "edit");
    let mut far = wait_for(TIMEOUT, "the pause to lapse", || node.poll());
    far.receive();
    far.send("UP 2\r\n");
    assert_eq!(client.receive(), "UP 2\r\n");
    assert_eq!(proxy.metric("handled.edit.passed"), Some(2));
}
