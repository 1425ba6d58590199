//! Connections to render nodes that come up after their attempt was given up: these attempts never ran.

use crate::peers::full_backlog::FullBacklog;
use crate::peers::*;

/// Tries that are ended by nothing but what the story does.
fn patient(settings: &str) -> String {
    settings
        .replace(r#""connectTimeout":250000"#, r#""connectTimeout":30000000"#)
        .replace(r#""target":300000"#, r#""target":30000000"#)
}

/// What was there before has been read once the proxy answers, and what comes of it done once it answers again: an answer may
/// be written in the turn in which the rest is only read.
fn taken(proxy: &Proxy) {
    let mut front = proxy.connect();
    for _ in 0..2 {
        front.send("PING\r\n");
        assert_eq!(front.receive(), "PONG\r\n");
    }
}

/// The repeat was sent within its window, but came up after it, and would have had an effect of its own. The window ends before
/// the system's third try, two seconds after its first one at the earliest; until then a busy machine has time to get there.
#[test]
fn late_retry_gets_no_line() {
    let (first, crowded) = (ScriptedServer::new(), FullBacklog::new());
    let keyed = r#""effect":"keyed","group":"all","window":1800000"#;
    let proxy = Proxy::with(&[&first], 1024, &patient(SETTINGS).replace(r#""effect":"safe""#, keyed));
    let (mut watch, _) = proxy.discovery.accept_watch();
    let mut client = proxy.connect();
    client.send(&with_fresh_id(OPEN).replace("d=2000", "d=20000"));
    let far = first.accept_attempt().0;
    watch.send(&chunk(&list(2, false, &[member("s1", crowded.node(), "up")])));
    taken(&proxy);
    far.reset();
    // The repeat is out by now.
    taken(&proxy);
    proxy.wait_until_dropped_twice(crowded.node().address());
    let mut late = crowded.accept();
    assert_eq!(late.receive(), "", "the window was over when it came up");
    assert!(
        client.receive_rest().unwrap().starts_with("BUSY"),
        "all of them drop repeats, so it may be refused"
    );
}

/// It went on connecting, and its line would have come after the drain was told.
#[test]
fn drain_cancels_connecting_attempt() {
    for phase in ["draining", "removed"] {
        let (crowded, other) = (FullBacklog::new(), ScriptedServer::new());
        let proxy = Proxy::with(&[crowded.node()], 1024, &patient(SETTINGS));
        let (mut watch, _) = proxy.discovery.accept_watch();
        let mut client = proxy.connect();
        client.send(&with_fresh_id(OPEN).replace("d=2000", "d=20000"));
        taken(&proxy);
        let members = [member("s0", crowded.node(), phase), member("s1", &other, "up")];
        watch.send(&chunk(&list(2, false, &members)));
        let (mut far, _) = other.accept_attempt();
        far.send("UP 1\r\n");
        assert_eq!(client.receive(), "UP 1\r\n", "{phase}");
    }
}

/// The render node was told the time that was left when the attempt began, a second before its connection came up.
#[test]
fn forwards_time_left_at_write() {
    let crowded = FullBacklog::new();
    let proxy = Proxy::with(&[crowded.node()], 1024, &patient(SETTINGS));
    let mut client = proxy.connect();
    client.send(&with_fresh_id(OPEN).replace("d=2000", "d=20000"));
    taken(&proxy);
    proxy.wait_until_dropped(crowded.node().address());
    let mut far = crowded.accept();
    let line = far.receive();
    let told = line.split([' ', ',']).find_map(|word| word.strip_prefix("d=")).expect("d");
    let told: u32 = told.trim().parse().unwrap();
    // The first packet is dropped, and the system sends it again a second later. Half of the time is for another try.
    assert!(told <= 9_300, "told {told} ms of ten seconds, a second after the attempt began");
    far.send("UP 1\r\n");
    assert_eq!(client.receive(), "UP 1\r\n");
}
