//! Files that fail for a while: what an operator was told is still owed, and a process that starts serves.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod peers;
use cottonnotch_shim_control::Setting;
use peers::shims::Shims;
use peers::*;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

// As the system numbers them.
const EIO: i64 = 5;
const ENOSPC: i64 = 28;
/// So long the file system fails.
const FOR_A_WHILE: Duration = Duration::from_millis(600);

/// A process beside others at that address, whose files in the folder may fail.
fn beside(shims: &Shims, address: SocketAddr, folder: &Path, nodes: &[&ScriptedServer]) -> Proxy {
    Proxy::shared_by(shims.command(Some(folder)), address, folder, ScriptedServer::new(), nodes)
}

/// A process beside one that serves, while files in the folder cannot be read: it cannot know which ids are open there, so it
/// accepts no clients for as long as both are so.
fn beside_unreadable(shims: &Shims, address: SocketAddr, folder: &Path, nodes: &[&ScriptedServer]) -> Proxy {
    /// Longer than a process waits for an earlier one that it cannot look for.
    const LONG: Duration = Duration::from_millis(2600);
    let command = shims.command(Some(folder));
    let new = Proxy::shared_unlistening_by(command, address, folder, ScriptedServer::new(), nodes);
    std::thread::sleep(LONG);
    assert!(shims.count(Setting::FileRead) > 0);
    assert_eq!(new.admin_request("GET", "/status", "").0, 503);
    new
}

fn skips(proxy: &Proxy, nodes: u64) {
    wait_for(TIMEOUT, "the bans to be known", || {
        (proxy.metric("skipped_render_nodes") == Some(nodes)).then_some(())
    });
}

/// Maintenance that cannot be read at the start of a successor counts there as soon as it can.
#[test]
fn successor_applies_maintenance_once_readable() {
    let shims = Shims::new();
    let folder = tempfile::tempdir().unwrap();
    let address = free_address();
    let nodes = [ScriptedServer::new(), ScriptedServer::new(), ScriptedServer::new()];
    let known = [&nodes[0], &nodes[1], &nodes[2]];
    let old = Proxy::shared(address, folder.path(), ScriptedServer::new(), &known);
    assert_eq!(old.admin_request("POST", "/maintenance/enter", "s0").0, 200);
    shims.set(Setting::FileRead, EIO);
    let new = beside_unreadable(&shims, address, folder.path(), &known);
    shims.set(Setting::FileRead, 0);
    skips(&new, 1);
    new.wait_for_log("listens on");
}

/// A merged state that could not be written is written once it can be.
#[test]
fn writes_merged_maintenance_once_writable() {
    let shims = Shims::new();
    let folder = tempfile::tempdir().unwrap();
    let address = free_address();
    let nodes = [ScriptedServer::new(), ScriptedServer::new(), ScriptedServer::new()];
    let known = [&nodes[0], &nodes[1], &nodes[2]];
    let old = beside(&shims, address, folder.path(), &known);
    assert_eq!(old.admin_request("POST", "/maintenance/enter", "s0").0, 200);
    let path = maintenance_file(folder.path());
    let saved = std::fs::read(&path).unwrap();
    assert_eq!(old.admin_request("POST", "/maintenance/enter", "s1").0, 200);
    // An older state comes back in its place, as when two write at once, while nothing can be written.
    shims.set(Setting::FileWrite, ENOSPC);
    std::fs::write(path.with_extension("other"), &saved).unwrap();
    std::fs::rename(path.with_extension("other"), &path).unwrap();
    wait_for(TIMEOUT, "a failed writing", || (shims.count(Setting::FileWrite) > 0).then_some(()));
    shims.set(Setting::FileWrite, 0);
    wait_for(TIMEOUT, "both calls on disk", || {
        let text = std::fs::read_to_string(&path).unwrap();
        (text.contains(" s0\n") && text.contains(" s1\n")).then_some(())
    });
}

/// A successor that starts on a full disk serves and takes over once there is space.
#[test]
fn successor_takes_over_once_disk_has_space() {
    let shims = Shims::new();
    let folder = tempfile::tempdir().unwrap();
    let (address, node) = (free_address(), ScriptedServer::new());
    let mut old = Proxy::shared(address, folder.path(), ScriptedServer::new(), &[&node]);
    shims.set(Setting::FileWrite, ENOSPC);
    let new = Proxy::start_without_nodes_by(
        shims.command(Some(folder.path())),
        address,
        folder.path(),
        ScriptedServer::new(),
    );
    std::thread::sleep(FOR_A_WHILE);
    assert!(shims.count(Setting::FileWrite) > 0);
    shims.set(Setting::FileWrite, 0);
    let (mut watch, _) = new.discovery.accept_watch();
    watch.send(&chunk(&list(2, true, &[member("s0", &node, "up")])));
    wait_for(TIMEOUT, "the new one's yes", || {
        (new.admin_request("GET", "/status", "").0 == 200).then_some(())
    });
    old.terminate();
    old.wait_for_log("the listener is closed");
    assert!(old.wait_for_exit().success());
}

/// An override at a successor that could not read the earlier ones takes none of them back.
#[test]
fn override_at_successor_keeps_unread_overrides() {
    let shims = Shims::new();
    let folder = tempfile::tempdir().unwrap();
    let address = free_address();
    let nodes = [ScriptedServer::new(), ScriptedServer::new(), ScriptedServer::new()];
    let known = [&nodes[0], &nodes[1], &nodes[2]];
    let mut old = Proxy::shared(address, folder.path(), ScriptedServer::new(), &known);
    assert_eq!(old.admin_request("POST", "/maintenance/enter", "s0").0, 200);
    shims.set(Setting::FileRead, EIO);
    let new = beside_unreadable(&shims, address, folder.path(), &known);
    // The earlier one is gone before the new one could read what it was told. Nobody else listens now.
    old.kill();
    new.wait_for_log("listens on");
    let answer = new.admin_request("POST", "/maintenance/enter", "s1");
    shims.set(Setting::FileRead, 0);
    skips(&new, if answer.0 == 200 { 2 } else { 1 });
    drop(new);
    let third = Proxy::shared(address, folder.path(), ScriptedServer::new(), &known);
    skips(&third, if answer.0 == 200 { 2 } else { 1 });
}

/// An override that cannot be synced is rejected and changes nothing.
#[test]
fn rejects_override_that_cannot_be_synced() {
    let shims = Shims::new();
    let folder = tempfile::tempdir().unwrap();
    let node = ScriptedServer::new();
    let proxy = beside(&shims, free_address(), folder.path(), &[&node]);
    for setting in [Setting::FileSync, Setting::FileWrite] {
        shims.set(setting, EIO);
        assert_eq!(proxy.admin_request("POST", "/maintenance/enter", "s0").0, 500, "{setting:?}");
        assert!(shims.count(setting) > 0, "{setting:?}");
        assert_eq!(proxy.metric("skipped_render_nodes"), Some(0));
        shims.set(setting, 0);
    }
    assert_eq!(proxy.admin_request("POST", "/maintenance/enter", "s0").0, 200);
    skips(&proxy, 1);
}

/// While the processes of a proxy cannot tell each other their open ids, requests are refused and none is served twice; what is
/// up goes on.
#[test]
fn refuses_requests_while_ids_cannot_be_exchanged() {
    let shims = Shims::new();
    let folder = tempfile::tempdir().unwrap();
    let (address, node) = (free_address(), ScriptedServer::new());
    let old = beside(&shims, address, folder.path(), &[&node]);
    let (mut client, mut far) = old.establish(&node);
    let new = beside(&shims, address, folder.path(), &[&node]);
    for setting in [Setting::FileRead, Setting::FileWrite] {
        shims.set(setting, EIO);
        for _ in 0..10 {
            let answer = old.open().receive_rest().unwrap();
            assert!(answer.starts_with("BUSY "), "{setting:?}: {answer:?}");
            client.send("M 1 x\r\n");
            assert_eq!(far.receive(), "M 1 x\r\n");
            far.send("M 1 x\r\n");
            assert_eq!(client.receive(), "M 1 x\r\n");
        }
        shims.set(setting, 0);
        let _pair = old.establish(&node);
    }
    drop(new);
    let _pair = old.establish(&node);
}

/// While each call on a file takes long, no line is held back for a second, each request is answered in its time, and an open id
/// is served by nobody else.
#[test]
fn slow_files_hold_nothing_back() {
    const DELAY_MS: i64 = 100;
    const DURATION: Duration = Duration::from_secs(3);
    let shims = Shims::new();
    let folder = tempfile::tempdir().unwrap();
    let (address, node) = (free_address(), ScriptedServer::new());
    let old = beside(&shims, address, folder.path(), &[&node]);
    let mut owner = old.connect();
    let line = with_fresh_id(OPEN);
    owner.send(&line);
    let mut far = node.accept_attempt().0;
    far.send("UP 1\r\n");
    assert_eq!(owner.receive(), "UP 1\r\n");
    let _new = beside(&shims, address, folder.path(), &[&node]);
    shims.set(Setting::FileDelay, DELAY_MS);
    let (began, mut up) = (Instant::now(), Vec::new());
    while began.elapsed() < DURATION {
        let sent = Instant::now();
        owner.send("M 1 x\r\n");
        assert_eq!(far.receive(), "M 1 x\r\n");
        far.send("M 1 x\r\n");
        assert_eq!(owner.receive(), "M 1 x\r\n");
        assert!(sent.elapsed() < Duration::from_secs(1), "a line was held back for {:?}", sent.elapsed());
        for line in [line.clone(), with_fresh_id(OPEN)] {
            let (mut client, sent) = (old.connect(), Instant::now());
            client.send(&line);
            if let Some(mut far) = attempt_or_answer(&node, &client) {
                assert_eq!(id_of(&far.receive()), id_of(&line));
                far.send("UP 1\r\n");
                up.push((client, far));
            } else {
                let answer = client.receive();
                assert!(
                    answer.starts_with("BUSY ") || answer.starts_with("ERR the id is open"),
                    "{answer:?}"
                );
            }
            assert!(sent.elapsed() < Duration::from_secs(2), "answered after {:?}", sent.elapsed());
        }
    }
    let ids = up.len();
    shims.set(Setting::FileDelay, 0);
    assert!(shims.count(Setting::FileDelay) > 0);
    println!("{ids} requests served meanwhile");
    let _pair = old.establish(&node);
}

/// The attempt that a client's request leads to, or `None` if the client is answered without one.
fn attempt_or_answer(node: &ScriptedServer, client: &ScriptedPeer) -> Option<ScriptedPeer> {
    wait_for(TIMEOUT, "an attempt or an answer", || match node.poll() {
        Some(far) => Some(Some(far)),
        None => client.has_unread().then_some(None),
    })
}

/// A process that starts on a full disk serves and records once there is space.
#[test]
fn records_once_disk_has_space() {
    let shims = Shims::new();
    let folder = tempfile::tempdir().unwrap();
    let (records, operator) = (folder.path().join("records"), folder.path().join("operator.toml"));
    let section = format!("[records]\nfile = \"{}\"\nflush_ms = 10\n", records.display());
    std::fs::write(&operator, section).unwrap();
    shims.set(Setting::FileWrite, ENOSPC);
    let mut command = shims.command(Some(folder.path()));
    command.arg("--operator").arg(&operator);
    let node = ScriptedServer::new();
    let proxy = Proxy::by(command, &[&node], 1024, SETTINGS);
    let _pair = proxy.establish(&node);
    assert!(shims.count(Setting::FileWrite) > 0);
    shims.set(Setting::FileWrite, 0);
    wait_for(TIMEOUT, "records", || {
        let _pair = proxy.establish(&node);
        std::fs::metadata(&records).is_ok_and(|found| found.len() > 0).then_some(())
    });
}

/// Where calls for maintenance are kept.
fn maintenance_file(folder: &Path) -> std::path::PathBuf {
    let mut entries = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    entries.find(|path| path.extension().is_some_and(|it| it == "maintenance")).expect("calls are kept")
}
