//! Stories of SIGHUP with other settings: whole or not at all, and what was taken before keeps its rules.

mod peers;
use peers::*;

const TUNED: &str = r#"{"balancers":1,"ordinal":0,"zones":["a"],"zone":"a","registryMode":"on_request",
    "policyLimits":{"mostTries":3,"connectTimeout":250000,"retryAfter":true,"maxRetryAfter":1000000},
    "familyInfo":{"messageAim":[150000.0]},
    "requestClasses":[{"name":"look","effect":"safe","target":300000,"deadline":2000000,"gain":1.0},
        {"name":"edit","effect":"safe","target":300000,"deadline":2000000,"gain":1.0}]}"#;
const EDIT: &str = r#"{"name":"edit","effect":"safe","target":300000,"deadline":2000000,"gain":1.0}"#;

fn open_as(proxy: &Proxy, class: &str) -> Peer {
    let mut client = proxy.connect();
    client.say(&fresh(OPEN).replace("c=look", &format!("c={class}")));
    client
}

#[test]
fn each_faulty_file_is_turned_down_whole_and_its_key_is_named() {
    let node = Scripted::new();
    let proxy = Proxy::managed(&[&node], 1024, TUNED);
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
        let line = proxy.logged("configuration ");
        assert!(line.contains("configuration kept") && line.contains(named), "{to}: {line}");
        assert_eq!(proxy.figure("load_errors"), Some(number), "{to}");
    }
    let so_far = faults.len() as u64;
    for (number, damage) in (1..).zip([0, 1, 40, 200, 2]) {
        proxy.damage(damage);
        assert!(proxy.logged("configuration ").contains("configuration kept"), "{damage} bytes");
        assert_eq!(proxy.figure("load_errors"), Some(so_far + number));
    }
    proxy.reconfigure(&[(r#""deadline":2000000,"gain":1.0},"#, r#""deadline":NaN,"gain":1.0},"#)]);
    assert!(proxy.logged("configuration ").contains("is not JSON"));
    assert_eq!(proxy.figure("loads"), Some(0));
    // All is as it was.
    for class in ["look", "edit"] {
        let mut client = open_as(&proxy, class);
        let mut far = node.called().0;
        far.say("UP 1\r\n");
        assert_eq!(client.hear(), "UP 1\r\n");
    }
    proxy.reconfigure(&[(r#""mostTries":3"#, r#""mostTries":1"#)]);
    proxy.logged("configuration read again");
    assert_eq!(proxy.figure("loads"), Some(1));
}

#[test]
fn what_was_taken_before_keeps_its_attempts_and_its_effect() {
    let nodes = [Scripted::new(), Scripted::new()];
    let proxy = Proxy::managed(&[&nodes[0], &nodes[1]], 1024, TUNED);
    let mut before = open_as(&proxy, "edit");
    let (first, far) = called_at(&nodes);
    proxy.reconfigure(&[
        (r#""mostTries":3"#, r#""mostTries":1"#),
        (r#""name":"edit","effect":"safe""#, r#""name":"edit","effect":"unsafe""#),
    ]);
    proxy.logged("configuration read again");
    // Its line may have run: by the new rules it would fail.
    let mut far = nodes[1 - first].called_after(far);
    far.say("UP 1\r\n");
    assert_eq!(before.hear(), "UP 1\r\n");
    // One that comes now has the one attempt, and may not be repeated.
    let mut after = open_as(&proxy, "edit");
    let mut far = nodes[1 - first].called().0;
    far.say("ERR no\r\n");
    assert!(after.rest().unwrap().starts_with("ERR "), "unsafe now");
    // `look` is safe still, and has one attempt too: no other node is tried.
    let mut look = open_as(&proxy, "look");
    let (_, mut far) = called_at(&nodes);
    far.hear();
    far.say("BUSY\r\n");
    assert!(look.rest().unwrap().starts_with("BUSY"), "refused after its one attempt");
}

#[test]
fn a_class_comes_and_goes_while_its_connections_stay() {
    let node = Scripted::new();
    let proxy = Proxy::managed(&[&node], 1024, TUNED);
    let mut client = open_as(&proxy, "edit");
    let mut far = node.called().0;
    far.say("UP 1\r\n");
    assert_eq!(client.hear(), "UP 1\r\n");
    let print = EDIT.replace("edit", "print").replace("safe", "unsafe");
    proxy.reconfigure(&[(EDIT, &print)]);
    proxy.logged("configuration read again");
    assert_eq!(proxy.figure("handled.print.passed"), Some(0), "there from the first moment");
    client.say("M 1 x\r\n");
    assert_eq!(far.hear(), "M 1 x\r\n");
    far.say("M 1 x\r\n");
    assert_eq!(client.hear(), "M 1 x\r\n", "an open connection goes on");
    assert!(open_as(&proxy, "edit").rest().unwrap().starts_with("ERR the class is unknown"));
    assert_eq!(proxy.figure("handled.edit.bad_gateway"), Some(1), "a dropped class's figures stay");
    assert_eq!(proxy.figure("handled.edit.passed"), Some(1));
    let mut fails = open_as(&proxy, "print");
    let mut near = node.called().0;
    near.say("ERR no\r\n");
    assert!(fails.rest().unwrap().starts_with("ERR "), "by the new class's rules");
    // Back as it was, several times in a row.
    for _ in 0..3 {
        proxy.restore();
        proxy.logged("configuration read again");
    }
    assert_eq!(proxy.figure("loads"), Some(4));
    let mut client = open_as(&proxy, "edit");
    let mut far = within(PATIENCE, "the pause to lapse", || node.poll());
    far.hear();
    far.say("UP 2\r\n");
    assert_eq!(client.hear(), "UP 2\r\n");
    assert_eq!(proxy.figure("handled.edit.passed"), Some(2));
}
