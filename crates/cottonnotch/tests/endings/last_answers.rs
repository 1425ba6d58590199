//! The last answers of a proxy that ends: each by what may have run.

use crate::peers::*;

/// All were told that trying again is harmless.
#[test]
fn what_may_have_run_is_not_refused_at_the_end_of_a_shutdown() {
    let node = Scripted::new();
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
        client.say(&fresh(OPEN).replace("c=look,d=2000", &format!("c={name},d=60000")));
        let far = node.called().0;
        (client, far)
    };
    let mut waiting: Vec<(Peer, Peer)> = ["safe", "all", "cell", "once"].map(open).into();
    proxy.terminate();
    let answers: Vec<String> = waiting.iter_mut().map(|(client, _)| client.rest().unwrap()).collect();
    let verbs: Vec<&str> = answers.iter().map(|answer| answer.split([' ', '\r']).next().unwrap()).collect();
    assert_eq!(verbs, ["BUSY", "BUSY", "ERR", "ERR"], "{answers:?}");
    for (_, far) in &mut waiting {
        assert_eq!(far.rest().unwrap(), "", "the attempt is closed");
    }
    assert!(node.poll().is_none(), "nothing is sent on any more");
    assert!(proxy.exited().success());
}
