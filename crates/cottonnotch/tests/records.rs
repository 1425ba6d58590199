//! The proxy's records, read back by their reader and compared with what the peers saw.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod peers;
use cottonnotch_records::*;
use peers::*;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tempfile::TempDir;

/// A folder with an operator's file and the records.
struct Folder(TempDir);

impl Folder {
    fn new() -> Self {
        Folder(TempDir::new().unwrap())
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }

    /// The program, whose records go to the file, soon.
    fn command(&self) -> Command {
        let records = self.path("records");
        self.write_operator(&format!("[records]\nfile = \"{}\"\nflush_ms = 10\n", records.display()));
        self.with_operator(Command::new(env!("CARGO_BIN_EXE_cottonnotch")))
    }

    fn with_operator(&self, mut command: Command) -> Command {
        command.env("COTTONNOTCH_OPERATOR", self.path("operator.toml"));
        command
    }

    fn write_operator(&self, text: &str) {
        std::fs::write(self.path("operator.toml"), text).unwrap();
    }

    /// The records there are, and what the reader found wrong.
    fn read(&self) -> (Vec<Record>, Vec<Finding>) {
        read(&self.path("records"))
    }
}

fn read(path: &Path) -> (Vec<Record>, Vec<Finding>) {
    let (mut records, mut findings) = (Vec::new(), Vec::new());
    for line in RotatedSet::open(path).unwrap() {
        match line.content {
            LineContent::Record(record) => records.push(record),
            LineContent::Finding(finding) => findings.push(finding),
        }
    }
    (records, findings)
}

/// Milliseconds of the system's clock since the last full second, at which pauses end.
fn since_mark() -> u32 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().subsec_millis()
}

/// What the records say of the request with this id, in order, in the words of this test.
fn history(records: &[Record], wire_id: u64) -> Vec<String> {
    let number = records.iter().find_map(|record| match &record.event {
        Event::Request { request, wire_id: Hex(id), class, deadline_ms, group, is_retry: false, .. }
            if *id == wire_id =>
        {
            assert_eq!((&**class, group), ("look", &Some(Hex(0x5c0f))));
            assert!(deadline_ms.is_some());
            Some(*request)
        }
        _ => None,
    });
    let number = number.unwrap_or_else(|| panic!("no request with id {wire_id:016x}"));
    let words = |record: &Record| {
        let (of, words) = match &record.event {
            Event::Attempt { request, attempt, endpoint, .. } => {
                (request, format!("attempt {attempt} at {endpoint}"))
            }
            Event::AttemptEnded { request, attempt, outcome, .. } => {
                (request, format!("attempt {attempt} {outcome:?}"))
            }
            Event::Up { request, attempt, endpoint, .. } => {
                (request, format!("attempt {attempt} up at {endpoint}"))
            }
            Event::Answer { request, answer } => (request, format!("answer {answer:?}")),
            Event::Moved { request, endpoint, reason } => {
                (request, format!("moved from {endpoint}, {reason:?}"))
            }
            Event::Ended { request, outcome } => (request, format!("ended {outcome:?}")),
            Event::ClientLeft { request } => (request, "left".to_owned()),
            _ => return None,
        };
        (*of == number).then_some(words)
    };
    records.iter().filter_map(words).collect()
}

#[test]
fn records_match_what_the_peers_saw() {
    let was_in_time = (0..10).any(|_| records_are_compared());
    assert!(was_in_time, "this machine is too slow for the test's first second");
}

/// False if a second was over where it must not be: what was paused then could be tried again.
fn records_are_compared() -> bool {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let folder = Folder::new();
    let mut proxy = Proxy::by(folder.command(), &[&nodes[0]], 1024, SETTINGS);
    let (mut watch, _) = proxy.discovery.accept_watch();
    let open = |wait: &str| {
        let line = with_fresh_id(&OPEN.replace("2000", wait));
        let mut client = proxy.connect();
        client.send(&line);
        (client, id_of(&line))
    };
    wait_for(TIMEOUT, "the time", || (50..300).contains(&since_mark()).then_some(()));
    let begun = Instant::now();
    // The only render node refuses one, which is held.
    let (mut first, served) = open("2000");
    let (mut far, line) = nodes[0].accept_attempt();
    assert_eq!(id_of(&line), served);
    far.send("BUSY\r\n");
    assert_eq!(far.receive_rest().unwrap(), "");
    // One can't wait for the pause's end.
    let (mut client, refused) = open("100");
    let answer = client.receive_rest().unwrap();
    let wait: u32 = answer.trim_end().strip_prefix("BUSY ").expect(&answer).parse().unwrap();
    // Some are turned away, before they had a request and after.
    let mut client = proxy.connect();
    client.send("GET / HTTP/1.1\r\n");
    assert_eq!(client.receive_rest().unwrap(), "ERR the line is not OPEN ID KEY NAMES\r\n");
    let mut client = proxy.connect();
    client.send(&with_fresh_id(&OPEN.replace("look", "stroll")));
    assert_eq!(client.receive_rest().unwrap(), "ERR the class is unknown\r\n");
    let (mut client, impatient) = open("2000");
    let is_impatient =
        |r: &Record| matches!(&r.event, Event::Request { wire_id: Hex(id), .. } if *id == impatient);
    wait_for(TIMEOUT, "its request", || folder.read().0.iter().any(is_impatient).then_some(()));
    client.send("M 1 a\r\n");
    assert_eq!(client.receive_rest().unwrap(), "ERR more than one line before the answer\r\n");
    if begun.elapsed() > Duration::from_millis(700) {
        return false;
    }
    // The one that is held is the trial after the pause, is up, and is served to its end.
    let (mut far, line) = nodes[0].accept_attempt();
    assert_eq!(id_of(&line), served);
    far.send("UP 1\r\n");
    assert_eq!(first.receive(), "UP 1\r\n");
    far.send("BYE\r\n");
    drop(far);
    assert_eq!(first.receive_rest().unwrap(), "BYE\r\n");
    // One leaves while its attempt is out.
    let (client, left) = open("2000");
    let (mut far, line) = nodes[0].accept_attempt();
    assert_eq!(id_of(&line), left);
    drop(client);
    assert_eq!(far.receive_rest().unwrap(), "");
    // One is moved as its render node drains.
    let (mut client, drained) = open("2000");
    let mut far = nodes[0].accept_attempt().0;
    far.send("UP 2\r\n");
    assert_eq!(client.receive(), "UP 2\r\n");
    watch.send(&chunk(&list(
        2,
        false,
        &[member("s0", &nodes[0], "draining"), member("s1", &nodes[1], "up")],
    )));
    assert_eq!(client.receive_rest().unwrap(), "MOVE\r\n");
    // Both forms of a reload.
    proxy.reconfigure(&[(r#""mostTries":3"#, r#""mostTries":"many""#)]);
    proxy.wait_for_log("configuration kept");
    folder.write_operator("[records]\nflush_ms = 20\n");
    proxy.reconfigure(&[(r#""mostTries":3"#, r#""mostTries":4"#)]);
    proxy.wait_for_log("records cannot change while clients are served");
    // One is up when the proxy leaves.
    let (mut client, leaving) = open("2000");
    let mut far = nodes[1].accept_attempt().0;
    far.send("UP 3\r\n");
    assert_eq!(client.receive(), "UP 3\r\n");
    proxy.terminate();
    assert_eq!(client.receive_rest().unwrap(), "MOVE\r\n");
    assert!(proxy.wait_for_exit().success());

    let (records, findings) = folder.read();
    assert_eq!(findings, [], "nothing is missing");
    let expect = |id, lines: &[String]| assert_eq!(history(&records, id), lines);
    let served_history = [
        "attempt 0 at s0",
        "attempt 0 Full",
        "attempt 1 at s0",
        "attempt 1 up at s0",
        "answer Up",
        "ended Served",
    ];
    expect(served, &served_history.map(str::to_owned));
    let text = str::to_owned;
    let up = |at: &str| [format!("attempt 0 at {at}"), format!("attempt 0 up at {at}"), text("answer Up")];
    let moved = |at: &str, reason: &str| {
        [&up(at)[..], &[format!("moved from {at}, {reason}"), text("ended Cancelled")]].concat()
    };
    expect(drained, &moved("s0", "Draining"));
    expect(leaving, &moved("s1", "ProxyShutdown"));
    expect(refused, &[format!("answer Rejected {{ retry_after_ms: {wait}, applied_rules: None }}")]);
    let why = "more than one line before the answer";
    expect(impatient, &[format!("answer Failed {{ reason: {why:?} }}")]);
    expect(left, &[text("attempt 0 at s0"), text("attempt 0 Cancelled"), text("left")]);

    let count = |is: fn(&Event) -> bool| records.iter().filter(|record| is(&record.event)).count();
    assert_eq!(count(|e| matches!(e, Event::Request { .. })), 6);
    assert_eq!(count(|e| matches!(e, Event::Answer { .. })), 5, "none for the one that left");
    let rejections: Vec<&str> = records.iter().filter_map(|r| rejection_reason(&r.event)).collect();
    assert_eq!(rejections, ["the line is not OPEN ID KEY NAMES", "the class is unknown"]);
    let others: Vec<&Event> = records.iter().map(|record| &record.event).filter(|e| is_of_proxy(e)).collect();
    let [
        Event::Start { name, pid, .. },
        first,
        second,
        Event::Reload { reload: Reload::Rejected { reason } },
        rest @ ..,
    ] = &others[..]
    else {
        panic!("{others:?}")
    };
    assert_eq!((&**name, *pid), ("n0", proxy.id()));
    assert!(reason.starts_with("settings.policyLimits.mostTries is not a number"), "{reason}");
    assert_eq!(rest, [&Event::Reload { reload: Reload::Applied }, &Event::Shutdown {}, &Event::Stop {}]);
    let change = |i: usize, phase| EndpointChange {
        endpoint: format!("s{i}").into(),
        phase,
        address: Some(nodes[i].address()),
    };
    let listed = |revision, complete, changes| Event::List { revision, complete, changes };
    assert_eq!(**first, listed(1, true, vec![change(0, Phase::Up)]));
    assert_eq!(**second, listed(2, false, vec![change(0, Phase::Draining), change(1, Phase::Up)]));

    let states = |name: &str| -> Vec<EndpointState> {
        let of = |record: &Record| match &record.event {
            Event::Endpoint { endpoint, state } if **endpoint == *name => Some(*state),
            _ => None,
        };
        records.iter().filter_map(of).collect()
    };
    let seen = states("s0");
    let [
        EndpointState::Up,
        EndpointState::Paused { until_us },
        EndpointState::Trial,
        EndpointState::Up,
        EndpointState::Draining,
    ] = seen[..]
    else {
        panic!("{seen:?}")
    };
    assert_eq!(until_us % 1_000_000, 0, "pauses end at marks");
    assert_eq!(states("s1"), [EndpointState::Up]);
    true
}

fn rejection_reason(event: &Event) -> Option<&str> {
    if let Event::ClientRejected { reason } = event { Some(reason) } else { None }
}

fn is_of_proxy(event: &Event) -> bool {
    use Event::*;
    matches!(event, Start { .. } | List { .. } | Reload { .. } | Shutdown {} | Stop {} | Dropped { .. })
}

#[test]
fn records_reconnection_and_unresponsive_endpoint() {
    let node = ScriptedServer::new();
    let folder = Folder::new();
    // With no aim for messages, no delay is noted, and the module moves nobody by itself.
    let settings = SETTINGS.replace("[150000.0]", "[]");
    let proxy = Proxy::by(folder.command(), &[&node], 1024, &settings);
    let mut client = proxy.connect();
    let line = with_fresh_id(&OPEN.replace("g=5c0f", "g=5c0f,at=s0"));
    client.send(&line);
    node.accept_attempt().0.send("BUSY\r\n");
    let mut far = node.accept_attempt().0;
    far.send("UP 1\r\n");
    assert_eq!(client.receive(), "UP 1\r\n");
    client.send("M 1 a\r\n");
    assert_eq!(client.receive_rest().unwrap(), "MOVE\r\n");
    let expected = [
        "attempt 0 at s0",
        "attempt 0 Full",
        "attempt 1 at s0",
        "attempt 1 up at s0",
        "answer Up",
        "moved from s0, Unresponsive",
        "ended Reset",
    ];
    let all = wait_for(TIMEOUT, "the end", || {
        let lines = history(&folder.read().0, id_of(&line));
        (lines.len() >= expected.len()).then_some(lines)
    });
    assert_eq!(all, expected);
}

#[test]
fn bad_target_prevents_the_start() {
    let config = format!(r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{SETTINGS}}}"#);
    let folder = Folder::new();
    std::fs::write(folder.path("config.json"), config).unwrap();
    for (set, said) in [
        ("file = '/nowhere/records'", "records.file cannot be written: '/nowhere/records': No such file"),
        ("descriptor = 77", "records.descriptor cannot be written: '77': No such file"),
        ("file = 'x'\ndescriptor = 3", "records.file and records.descriptor are both set"),
        ("keep = 0", "records.keep is not within 1 to 999: '0'"),
    ] {
        folder.write_operator(&format!("[records]\n{set}\n"));
        let mut command = folder.with_operator(Command::new(env!("CARGO_BIN_EXE_cottonnotch")));
        let output = command.env("GW_CONFIG", folder.path("config.json")).output().unwrap();
        let log = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{log}");
        assert!(log.contains(&format!("cannot start: {said}")), "{said}: {log}");
        assert!(log.contains("operator.toml, line 2)"), "{log}");
    }
}

/// So many clients send a malformed line, one after another, and are rejected.
fn send_malformed(proxy: &Proxy, clients: usize) {
    for _ in 0..clients {
        let mut client = proxy.connect();
        client.send("\r\n");
        assert!(client.receive().starts_with("ERR "));
    }
}

#[test]
fn rejected_clients_are_recorded() {
    let node = ScriptedServer::new();
    let folder = Folder::new();
    let mut proxy = Proxy::by(folder.command(), &[&node], 1024, SETTINGS);
    send_malformed(&proxy, 1500);
    let pair = proxy.establish(&node);
    proxy.terminate();
    assert!(proxy.wait_for_exit().success());
    drop(pair);
    let (records, findings) = folder.read();
    assert_eq!(findings, []);
    assert_eq!(records.iter().filter(|record| rejection_reason(&record.event).is_some()).count(), 1500);
    assert_eq!(records.last().unwrap().event, Event::Stop {});
}

#[test]
fn blocked_target_drops_records_only() {
    let node = ScriptedServer::new();
    let folder = Folder::new();
    folder.write_operator("[records]\ndescriptor = 3\nqueue_records = 64\nflush_ms = 10\n");
    // A pipe that is open and that nobody reads.
    let pipe = folder.path("pipe");
    let mut command = Command::new("/bin/sh");
    let program = env!("CARGO_BIN_EXE_cottonnotch");
    command.args(["-c", &format!("mkfifo '{0}'; exec 3<>'{0}'; exec '{program}'", pipe.display())]);
    let mut proxy = Proxy::by(folder.with_operator(command), &[&node], 1024, SETTINGS);
    // Some 130 bytes each: the pipe holds 64 KiB, and the writer 64 KiB more.
    send_malformed(&proxy, 2500);
    let (mut client, _far) = proxy.establish(&node);
    let begun = Instant::now();
    proxy.terminate();
    assert_eq!(client.receive_rest().unwrap(), "MOVE\r\n");
    let said = proxy.wait_for_log("records of this run were lost");
    assert!(proxy.wait_for_exit().success());
    assert!(begun.elapsed() < Duration::from_millis(2700), "gone before SIGKILL may come");
    let figure = |key: &str| {
        let (_, rest) = said.split_once(key).unwrap();
        rest.split(' ').next().unwrap().parse::<u64>().unwrap()
    };
    // Beside the rejected ones: start, list, endpoint, four of the one that was up, moved, ended, shutdown, stop.
    assert_eq!(figure(" lost=") + figure(" written="), 2500 + 11, "{said}");
}

#[test]
fn records_survive_a_kill() {
    let node = ScriptedServer::new();
    let folder = Folder::new();
    let mut proxy = Proxy::by(folder.command(), &[&node], 1024, SETTINGS);
    let is_up = |record: &Record| matches!(record.event, Event::Up { .. });
    let _pairs: Vec<(ScriptedPeer, ScriptedPeer)> = (0..20).map(|_| proxy.establish(&node)).collect();
    wait_for(TIMEOUT, "what was flushed", || {
        (folder.read().0.iter().filter(|r| is_up(r)).count() == 20).then_some(())
    });
    let before = folder.read().0;
    send_malformed(&proxy, 300);
    proxy.kill();
    let (killed, findings) = folder.read();
    assert!(killed.starts_with(&before));
    assert!(findings.iter().all(|found| matches!(found, Finding::Truncated { .. })), "{findings:?}");
    assert!(killed.iter().all(|record| record.event != Event::Stop {}));

    let mut next = Proxy::by(folder.command(), &[&node], 1024, SETTINGS);
    next.terminate();
    assert!(next.wait_for_exit().success());
    let (records, found) = folder.read();
    assert!(records.starts_with(&killed));
    assert_eq!(found, findings, "nothing more than what the kill left");
    let starts: Vec<u64> = (records.iter())
        .filter_map(|record| match &record.event {
            Event::Start { incarnation, .. } => Some(*incarnation),
            _ => None,
        })
        .collect();
    assert!(matches!(starts[..], [first, second] if first < second), "{starts:?}");
    assert_eq!(records.last().unwrap().event, Event::Stop {});
}
