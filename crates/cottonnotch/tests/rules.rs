//! Proxies that follow their owners' rules, alone and in agreement, through reloads, stops and losses.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod peers;
use peers::*;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};
use tempfile::TempDir;

const KEY: &str = "0101010101010101010101010101010101010101010101010101010101010101\n";
/// The file of the namespace that owns everything, with these rules.
fn file(revision: u32, rules: &str) -> String {
    format!(
        "namespace = \"consortium\"\nrevision = {revision}\non_doubt = \"refuse\"\nretry_ms = 250\n{rules}"
    )
}

fn require(hall: &str) -> String {
    format!(
        "[[rule]]\nname = \"looks\"\nmust = true\nclasses = [\"look\"]\nplace = {{ require = {{ halls = [\"{hall}\"] }} }}\n"
    )
}

/// One proxy's files.
struct ProxyFolder {
    folder: TempDir,
}

impl ProxyFolder {
    fn new(sections: &str) -> Self {
        let place = ProxyFolder { folder: TempDir::new().unwrap() };
        std::fs::create_dir(place.rules()).unwrap();
        let folder = place.rules().display().to_string();
        let operator = format!("[rules]\nfolder = \"{folder}\"\n{sections}");
        std::fs::write(place.path("key"), KEY).unwrap();
        std::fs::write(place.path("operator.toml"), operator).unwrap();
        place
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn rules(&self) -> PathBuf {
        self.path("rules")
    }

    fn write(&self, text: &str) {
        write(&self.rules().join("consortium.toml"), text);
    }

    fn command(&self) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_cottonnotch"));
        command.arg("--operator").arg(self.path("operator.toml"));
        command
    }

    fn start(&self) -> Proxy {
        self.start_with(SETTINGS)
    }

    fn start_with(&self, settings: &str) -> Proxy {
        Proxy::with_admin_by(self.command(), &[], 1024, settings)
    }
}

fn write(path: &Path, text: &str) {
    let new = path.with_extension("new");
    std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, path)).unwrap();
}

/// A render node in each of two halls, and the endpoint list with both.
struct Halls([ScriptedServer; 2], RefCell<Vec<(ScriptedPeer, ScriptedPeer)>>);

impl Halls {
    fn new() -> Self {
        Halls([ScriptedServer::new(), ScriptedServer::new()], RefCell::default())
    }

    fn list(&self) -> String {
        let member = |at: usize| {
            let (name, hall) = (["sa", "sb"][at], ["a", "b"][at]);
            member(name, &self.0[at], "up")
                .replace(r#""locality":"a""#, &format!(r#""locality":"{hall}","flavor":"granite""#))
        };
        chunk(&list(7, true, &[member(0), member(1)]))
    }

    /// Sends a proxy the list; the watch stays open.
    fn send_list(&self, proxy: &Proxy) -> ScriptedPeer {
        self.send_list_from(&proxy.discovery)
    }

    fn send_list_from(&self, discovery: &ScriptedServer) -> ScriptedPeer {
        let (mut watch, _) = discovery.accept_watch();
        watch.send(&self.list());
        watch
    }

    /// Answers a watch that is waiting now.
    fn answer_pending_watch(&self, discovery: &ScriptedServer) -> Option<ScriptedPeer> {
        let mut watch = discovery.poll()?;
        while watch.receive() != "\r\n" {}
        watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        watch.send(&self.list());
        Some(watch)
    }

    /// The hall in which a new client of this proxy is served; `None`: it is rejected.
    fn place(&self, proxy: &Proxy) -> Option<usize> {
        let mut client = proxy.open();
        let poll = || (0..2).find_map(|at| Some((Some(at), Some(self.0[at].poll()?))));
        let busy = Instant::now() + Duration::from_millis(700);
        let called = wait_for(TIMEOUT, "an attempt or a refusal", || {
            poll().or_else(|| (Instant::now() > busy).then_some((None, None)))
        });
        match called {
            (Some(at), Some(mut far)) => {
                far.receive();
                far.send("UP 1\r\n");
                assert_eq!(client.receive(), "UP 1\r\n");
                // They stay: a render node that goes first looks as if it had failed.
                self.1.borrow_mut().push((client, far));
                Some(at)
            }
            _ => {
                let answer = client.receive();
                assert!(answer.starts_with("BUSY"), "{answer}");
                None
            }
        }
    }
}

/// A proxy without others acts on its own files, and takes new ones completely or not at all.
#[test]
fn single_proxy_follows_its_own_files() {
    let (place, halls) = (ProxyFolder::new(""), Halls::new());
    place.write(&file(1, &require("a")));
    let proxy = place.start();
    let _watch = halls.send_list(&proxy);
    proxy.wait_for_log("rules version 1 is active: 1 rules");
    for _ in 0..6 {
        assert_eq!(halls.place(&proxy), Some(0));
    }
    place.write(&file(2, &require("b").replace("place", "palce")));
    proxy.reload();
    let kept = proxy.wait_for_log("rules of consortium are in a conflict");
    assert!(kept.contains("consortium.toml:") && kept.contains("palce"), "{kept}");
    assert_eq!(halls.place(&proxy), Some(0));
    place.write(&file(2, &require("b")));
    proxy.reload();
    proxy.wait_for_log("rules version 2 is active");
    for _ in 0..6 {
        assert_eq!(halls.place(&proxy), Some(1));
    }
    // One revision with two contents counts as neither a new one nor a faulty one.
    place.write(&file(2, &require("a")));
    proxy.reload();
    proxy.wait_for_log("rules of consortium are in a conflict");
    assert_eq!(halls.place(&proxy), Some(1));
    assert_eq!(proxy.metric("rules.version"), Some(2));
    assert_eq!(proxy.metric("rules.held_back"), Some(1));
}

/// Some proxies that agree, each with files of its own.
struct Cluster {
    folders: Vec<ProxyFolder>,
    addresses: Vec<SocketAddr>,
}

impl Cluster {
    fn new(members: usize, more: &str) -> Self {
        let addresses = addresses(members);
        let listed: Vec<String> = addresses.iter().map(|address| format!("\"{address}\"")).collect();
        let place = |me: usize| {
            let place = ProxyFolder::new("");
            let (listen, folder) = (addresses[me], place.folder.path().display());
            let section = format!(
                "[accord]\nlisten = \"{listen}\"\ncluster = \"story\"\nkey_file = \"{folder}/key\"\nme = {me}\n\
                 voters = [0, 1, 2]\nmembers = [{}]\nstate_folder = \"{folder}/state\"\nfirst_start = true\n\
                 contradiction_ms = 3000\nlease_ms = 2500\n{more}",
                listed.join(", ")
            );
            let operator = std::fs::read_to_string(place.path("operator.toml")).unwrap();
            std::fs::write(place.path("operator.toml"), operator + &section).unwrap();
            place
        };
        Cluster { folders: (0..members).map(place).collect(), addresses }
    }
}

/// An address for each member, in a loopback network of its own for each scenario: nobody else uses its ports.
fn addresses(members: usize) -> Vec<SocketAddr> {
    static SCENARIO: AtomicU8 = AtomicU8::new(1);
    let scenario = SCENARIO.fetch_add(1, Ordering::Relaxed);
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    (0..members as u16).map(|member| ([127, 64 + high % 128, low, scenario], 7400 + member).into()).collect()
}

fn wait_for_version(proxy: &Proxy, version: u64) {
    wait_for(TIMEOUT, "the version", || {
        let left = proxy.metric("rules.lease_left_ms")?;
        let is_it = proxy.metric("rules.version") == Some(version) && proxy.metric("rules.rules") > Some(0);
        (is_it && left > 0).then_some(())
    });
}

#[test]
fn change_at_one_proxy_reaches_all_without_overlap() {
    let (cluster, halls) = (Cluster::new(4, ""), Halls::new());
    cluster.folders[0].write(&file(1, &require("a")));
    let proxies: Vec<Proxy> = cluster.folders.iter().map(ProxyFolder::start).collect();
    let _watches: Vec<ScriptedPeer> = proxies.iter().map(|proxy| halls.send_list(proxy)).collect();
    for proxy in &proxies {
        wait_for_version(proxy, 1);
        assert_eq!(halls.place(proxy), Some(0));
    }
    // The third is given a newer file, which contradicts the old one.
    cluster.folders[2].write(&file(2, &require("b")));
    proxies[2].reload();
    for proxy in &proxies {
        wait_for_version(proxy, 2);
        assert_eq!(halls.place(proxy), Some(1));
    }
    // Files that are behind change nothing.
    proxies[0].reload();
    std::thread::sleep(Duration::from_millis(500));
    for proxy in &proxies {
        wait_for_version(proxy, 2);
    }
    assert!(proxies.iter().filter(|proxy| proxy.metric("rules.leads") == Some(1)).count() == 1);
    assert!(cluster.addresses.len() == 4);
}

#[test]
fn stopped_proxy_does_not_act_on_old_rules() {
    let (cluster, halls) = (Cluster::new(4, ""), Halls::new());
    cluster.folders[0].write(&file(1, &require("a")));
    let proxies: Vec<Proxy> = cluster.folders.iter().map(ProxyFolder::start).collect();
    let _watches: Vec<ScriptedPeer> = proxies.iter().map(|proxy| halls.send_list(proxy)).collect();
    proxies.iter().for_each(|proxy| wait_for_version(proxy, 1));
    // The last one does not vote. It is stopped, with clients at its door, while the rules turn round.
    let stopped = &proxies[3];
    let signal = |name: &str| {
        assert!(Command::new("kill").args([name, &stopped.id().to_string()]).status().unwrap().success());
    };
    signal("-STOP");
    let mut waiting: Vec<ScriptedPeer> = (0..20).map(|_| stopped.open()).collect();
    cluster.folders[1].write(&file(2, &require("b")));
    proxies[1].reload();
    proxies[..3].iter().for_each(|proxy| wait_for_version(proxy, 2));
    signal("-CONT");
    // Each is refused or goes by the new rules: none to hall a.
    let until = Instant::now() + Duration::from_millis(1_500);
    let mut placed = 0;
    while Instant::now() < until {
        assert!(halls.0[0].poll().is_none(), "an old must was acted on");
        if let Some(mut far) = halls.0[1].poll() {
            far.receive();
            far.send("UP 1\r\n");
            placed += 1;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    let refused =
        waiting.iter_mut().filter_map(|client| client.try_receive().ok()).filter(|l| l.starts_with("BUSY"));
    assert_eq!(placed + refused.count(), 20);
    wait_for_version(stopped, 2);
    assert_eq!(halls.place(stopped), Some(1));
}

/// Without a majority requests under requirements are rejected; with one the requirements count again.
#[test]
fn rejects_requirements_without_a_majority() {
    let (cluster, halls) = (Cluster::new(3, ""), Halls::new());
    cluster.folders[0].write(&file(1, &require("a")));
    let mut proxies: Vec<Proxy> = cluster.folders.iter().map(ProxyFolder::start).collect();
    let _watches: Vec<ScriptedPeer> = proxies.iter().map(|proxy| halls.send_list(proxy)).collect();
    proxies.iter().for_each(|proxy| wait_for_version(proxy, 1));
    // Two of three die at once.
    proxies[1].kill();
    proxies[2].kill();
    let last = &proxies[0];
    wait_for(TIMEOUT, "the lease's end", || (last.metric("rules.lease_left_ms") == Some(0)).then_some(()));
    assert_eq!(halls.place(last), None);
    assert!(last.metric("rules.refused_in_doubt").unwrap() >= 1);
    // They come back with what they remember, and no file of their own.
    let again: Vec<Proxy> = cluster.folders[1..].iter().map(ProxyFolder::start).collect();
    let _more: Vec<ScriptedPeer> = again.iter().map(|proxy| halls.send_list(proxy)).collect();
    for proxy in again.iter().chain([last]) {
        wait_for_version(proxy, 1);
        assert_eq!(halls.place(proxy), Some(0));
    }
}

#[test]
fn orders_simultaneous_proposals() {
    let (cluster, halls) = (Cluster::new(3, ""), Halls::new());
    let root = |revision: u32| {
        let delegate = |to: &str, class: &str| {
            format!("[[delegate]]\nto = \"consortium/{to}\"\nclasses = [\"{class}\"]\n")
        };
        let parts = delegate("one", "look") + &delegate("two", "edit");
        format!("namespace = \"consortium\"\nrevision = {revision}\n{parts}")
    };
    let child = |name: &str, class: &str, revision: u32| {
        format!(
            "namespace = \"consortium/{name}\"\nrevision = {revision}\n[[rule]]\nname = \"r\"\nclasses = [\"{class}\"]\n\
             attempts = {{ most = {revision} }}\n"
        )
    };
    cluster.folders[0].write(&(root(1) + "[[rule]]\nname = \"all\"\nattempts = { most = 9 }\n"));
    let settings = SETTINGS.replace(
        r#""gain":1.0}]"#,
        r#""gain":1.0},{"name":"edit","effect":"safe","target":300000,"deadline":2000000,"gain":1.0}]"#,
    );
    let proxies: Vec<Proxy> = cluster.folders.iter().map(|place| place.start_with(&settings)).collect();
    let _watches: Vec<ScriptedPeer> = proxies.iter().map(|proxy| halls.send_list(proxy)).collect();
    proxies.iter().for_each(|proxy| wait_for_version(proxy, 1));
    // Each of two gets a file of its own, and both hear of it at once.
    for (place, name, class) in [(1, "one", "look"), (2, "two", "edit")] {
        write(&cluster.folders[place].rules().join("child.toml"), &child(name, class, 2));
        proxies[place].reload();
    }
    let rules = |proxy: &Proxy| proxy.drain_log_until("is active: 3 rules").len();
    assert!(proxies.iter().all(|proxy| rules(proxy) > 0));
    proxies.iter().for_each(|proxy| wait_for_version(proxy, 3));
}

#[test]
fn successor_takes_over_member_and_state() {
    let (cluster, halls) = (Cluster::new(3, ""), Halls::new());
    cluster.folders[0].write(&file(1, &require("a")));
    let meeting = TempDir::new().unwrap();
    let (shared, discovery) = (free_address(), ScriptedServer::new());
    let alias = ScriptedServer::alias(discovery.address());
    let predecessor = Proxy::shared_by(cluster.folders[0].command(), shared, meeting.path(), discovery, &[]);
    let others: Vec<Proxy> = cluster.folders[1..].iter().map(ProxyFolder::start).collect();
    let _watches: Vec<ScriptedPeer> =
        others.iter().chain([&predecessor]).map(|proxy| halls.send_list(proxy)).collect();
    wait_for_version(&predecessor, 1);
    others.iter().for_each(|proxy| wait_for_version(proxy, 1));
    let successor =
        Proxy::start_without_nodes_by(cluster.folders[0].command(), shared, meeting.path(), alias);
    // No beats are sent here, so the elder asks again now and then, too.
    let mut watches = Vec::new();
    wait_for(TIMEOUT, "the successor", || {
        watches.extend(halls.answer_pending_watch(&predecessor.discovery));
        (successor.admin_request("GET", "/status", "").0 == 200).then_some(())
    });
    // Both serve now at one address, by the elder's lease: none is refused, also when it has been renewed a few times.
    for _ in 0..20 {
        assert_eq!(halls.place(&predecessor), Some(0));
        std::thread::sleep(Duration::from_millis(100));
    }
    wait_for_version(&successor, 1);
    predecessor.terminate();
    predecessor.wait_for_log("another process accepts clients");
    wait_for_version(&successor, 1);
    // Anew under one name and one memory: the three still agree.
    cluster.folders[0].write(&file(2, &require("b")));
    successor.reload();
    wait_for_version(&successor, 2);
    others.iter().for_each(|proxy| wait_for_version(proxy, 2));
}

/// Errors in the sections name the key and the line; a sum of spans that is too large is shown.
#[test]
fn section_errors_name_key_and_line() {
    let consensus = "[accord]\nlisten = \"127.0.0.1:7400\"\ncluster = \"x\"\nme = 0\nvoters = [0]\nmembers = [\"127.0.0.1:7400\"]\n";
    let with_key = |more: &str| {
        let place = ProxyFolder::new("");
        format!("{consensus}key_file = \"{}\"\n{more}", place.path("key").display())
    };
    for (sections, said) in [
        (
            "[accord]\nlease_ms = 1900\n".to_owned(),
            "accord.contradiction_ms cannot be kept: lease_ms 1900 + 2 (drift_ppm 1000) + act_ms 300 = 2202 ms of contradiction_ms 2000",
        ),
        (
            "[accord]\nlese_ms = 1\n".to_owned(),
            "accord.lese_ms is unknown: 'lese_ms', did you mean 'lease_ms'?",
        ),
        ("[accord]\nme = 3\n".to_owned(), "accord.listen is missing"),
        (consensus.to_owned(), "accord.key_file is missing"),
        (
            consensus.replace("me = 0", "me = 1") + "key_file = \"x\"\n",
            "accord.me is 1, and accord.members names 1",
        ),
        (consensus.replace("[0]", "[0, 1]") + "key_file = \"x\"\n", "accord.voters cannot be used"),
        (consensus.to_owned() + "key_file = \"/nowhere\"\n", "accord.key_file cannot be read: '/nowhere'"),
        ("[rules]\nfolder = \"/nowhere\"\n".to_owned(), "rules.folder cannot be read: '/nowhere'"),
        (
            "[[hardware]]\nname = \"x\"\n[[hardware]]\nname = \"x\"\n[rules]\nfolder = \".\"\n".to_owned(),
            "hardware.1.name is there twice",
        ),
    ] {
        let (code, text) = check(&sections);
        assert!(code == Some(2) && text.contains(said) && text.contains(", line "), "{said}: {text}");
    }
    let (code, text) = check(&with_key(""));
    assert_eq!(code, Some(2), "the key's folder is gone: {text}");
}

/// What `cottonnotch check` says of these sections.
fn check(sections: &str) -> (Option<i32>, String) {
    let folder = TempDir::new().unwrap();
    let (operator, config) = (folder.path().join("operator.toml"), folder.path().join("config.json"));
    std::fs::write(&operator, sections).unwrap();
    let member = |name: &str, hall: &str| {
        format!(
            r#"{{"id":"{name}","host_port":"127.0.0.1:1","locality":"{hall}","flavor":"granite","phase":"up"}}"#
        )
    };
    let known = list(1, true, &[member("sa", "a"), member("sb", "b")]);
    let json = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","known":{known},"settings":{SETTINGS}}}"#
    );
    std::fs::write(&config, json).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_cottonnotch"));
    let output =
        command.arg("check").arg("--operator").arg(operator).env("GW_CONFIG", config).output().unwrap();
    (output.status.code(), String::from_utf8([output.stdout, output.stderr].concat()).unwrap())
}

#[test]
fn check_reports_book_conflicts_and_compilation() {
    let place = ProxyFolder::new("");
    place.write(&file(4, &require("a")));
    let other =
        "namespace = \"consortium/stray\"\nrevision = 1\n[[rule]]\nname = \"x\"\nattempts = { most = 1 }\n";
    write(&place.rules().join("stray.toml"), other);
    let sections = std::fs::read_to_string(place.path("operator.toml")).unwrap();
    let (code, text) = check(&sections);
    assert_eq!(code, Some(0), "{text}");
    for line in [
        "rules: agreed with no other process",
        "rules: consortium revision 4, in doubt: Refuse { retry_ms: 250 }",
        "rule: consortium:looks must on classes look: require halls a (consortium.toml, line 5)",
        "conflict: consortium/stray",
        "held back: consortium/stray",
        "runs: consortium:looks on (unknown): exactly",
    ] {
        assert!(text.lines().any(|printed| printed.starts_with(line)), "{line}: {text}");
    }
    let (_, text) = check("");
    assert!(
        !text.contains("rules: ") && !text.contains("rule: "),
        "nothing is said where there are none: {text}"
    );
}

#[test]
fn records_name_the_rules_of_a_verdict() {
    let (cluster, halls) = (Cluster::new(3, ""), Halls::new());
    cluster.folders[0].write(&file(1, &require("a")));
    let records = cluster.folders[0].path("records");
    let operator = std::fs::read_to_string(cluster.folders[0].path("operator.toml")).unwrap();
    let section = format!("[records]\nfile = \"{}\"\nflush_ms = 10\n", records.display());
    std::fs::write(cluster.folders[0].path("operator.toml"), section + &operator).unwrap();
    let mut proxies: Vec<Proxy> = cluster.folders.iter().map(ProxyFolder::start).collect();
    let _watches: Vec<ScriptedPeer> = proxies.iter().map(|proxy| halls.send_list(proxy)).collect();
    proxies.iter().for_each(|proxy| wait_for_version(proxy, 1));
    assert_eq!(halls.place(&proxies[0]), Some(0));
    proxies[1].kill();
    proxies[2].kill();
    let last = &proxies[0];
    wait_for(TIMEOUT, "the lease's end", || (last.metric("rules.lease_left_ms") == Some(0)).then_some(()));
    assert_eq!(halls.place(last), None);
    let by = |uncertain: bool| {
        format!(r#""ruled":{{"version":1,"rules":["consortium:looks"],"in_doubt":{uncertain}}}"#)
    };
    wait_for(TIMEOUT, "the records", || {
        let text = std::fs::read_to_string(&records).unwrap_or_default();
        let has = |event: &str, by: String| text.lines().any(|l| l.contains(event) && l.contains(&by));
        (has(r#""event":"attempt""#, by(false)) && has(r#""answer":"refused""#, by(true))).then_some(())
    });
}

#[test]
fn starts_nothing_without_the_sections() {
    let tasks = |proxy: &Proxy| std::fs::read_dir(format!("/proc/{}/task", proxy.id())).unwrap().count();
    let plain = Proxy::start(&[]);
    assert_eq!(tasks(&plain), 1);
    let (place, halls) = (ProxyFolder::new(""), Halls::new());
    place.write(&file(1, &require("a")));
    let ruled = place.start();
    let _watch = halls.send_list(&ruled);
    ruled.wait_for_log("rules version 1 is active");
    assert_eq!(tasks(&ruled), 2, "alone there is a thread that compiles, and no other");
}

#[test]
fn drops_line_written_too_late_after_the_verdict() {
    let cluster = Cluster::new(1, "");
    let place = &cluster.folders[0];
    let operator = std::fs::read_to_string(place.path("operator.toml")).unwrap();
    let alone = operator.replace("voters = [0, 1, 2]", "voters = [0]");
    std::fs::write(place.path("operator.toml"), alone).unwrap();
    place.write(&file(1, &require("a")));
    let settings = SETTINGS
        .replace(r#""connectTimeout":250000"#, r#""connectTimeout":4000000"#)
        .replace(r#""target":300000,"deadline":2000000"#, r#""target":4000000,"deadline":9000000"#);
    let proxy = place.start_with(&settings);
    // A render node whose queue is full: the connection to it stands only when the system tries again, a second later.
    let full = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    full.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    full.listen(1).unwrap();
    let address = full.local_addr().unwrap().as_socket().unwrap();
    let before = [(); 2].map(|()| TcpStream::connect(address).unwrap());
    let (mut watch, _) = proxy.discovery.accept_watch();
    let node = member("sa", &ScriptedServer::alias(address), "up");
    watch.send(&chunk(&list(7, true, &[node])));
    wait_for_version(&proxy, 1);
    let mut client = proxy.connect();
    client.send(&with_fresh_id(OPEN).replace("d=2000", "d=9000"));
    std::thread::sleep(Duration::from_millis(500));
    drop(before);
    let listener = TcpListener::from(full);
    (0..2).for_each(|_| drop(listener.accept().unwrap()));
    let late = ScriptedPeer::new(listener.accept().unwrap().0).try_receive();
    assert!(late.as_ref().is_ok_and(String::is_empty) || late.is_err(), "written after all: {late:?}");
    // It is decided anew, and the look is fresh then.
    let mut again = ScriptedPeer::new(listener.accept().unwrap().0);
    let line = again.receive();
    assert!(line.starts_with("OPEN "), "{line:?} {:#?}", proxy.drain_log());
    again.send("UP 1\r\n");
    assert_eq!(client.receive(), "UP 1\r\n");
}

/// The files of `examples/accord`, at addresses that are free.
#[test]
fn example_book_is_in_force_on_three_daemons() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let (folder, at) = (TempDir::new().unwrap(), addresses(3));
    let key = folder.path().join("key");
    write(&key, KEY);
    let proxies: Vec<Proxy> = (0..3)
        .map(|n| {
            let read = |kind: &str| {
                std::fs::read_to_string(root.join(format!("examples/accord/proxy-{n}.{kind}"))).unwrap()
            };
            let mut operator =
                read("toml").replace("/tmp/cottonnotch-example.key", &key.display().to_string());
            for (number, address) in at.iter().enumerate() {
                operator = operator.replace(&format!("127.0.0.1:740{number}"), &address.to_string());
            }
            let operator =
                operator.replace("examples/rules", &root.join("examples/rules").display().to_string());
            let path = folder.path().join(format!("proxy-{n}.toml"));
            write(&path, &operator);
            let platform = read("json")
                .replace(&format!("127.0.0.1:811{n}"), "127.0.0.1:0")
                .replace(&format!("127.0.0.1:812{n}"), "127.0.0.1:0");
            let mut command = Command::new(env!("CARGO_BIN_EXE_cottonnotch"));
            command.arg("--operator").arg(&path);
            Proxy::configured(command, platform)
        })
        .collect();
    // Fourteen rules of the five namespaces' own, and seven that their delegations come to: none is left out.
    let settled = |proxy: &Proxy| {
        let figure = |name: &str| proxy.metric(&format!("rules.{name}"));
        (figure("held_back") == Some(0) && figure("rules") == Some(21)).then(|| figure("version"))?
    };
    let versions = wait_for(TIMEOUT, "one version at all three, with every house in it", || {
        let versions: Option<Vec<u64>> = proxies.iter().map(settled).collect();
        versions.filter(|versions| versions.iter().all(|version| *version == versions[0]))
    });
    assert!(versions[0] > 0);
    // None of them is in doubt.
    assert!(proxies.iter().all(|proxy| proxy.metric("rules.lease_left_ms") > Some(0)));
}
