//! Stories of two processes of one proxy: one takes over from the other under load.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod peers;
use peers::*;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A render node that takes whoever comes, and answers each line with itself. It ends with the story's process.
fn obliging(node: ScriptedServer) -> SocketAddr {
    let address = node.address();
    std::thread::spawn(move || {
        loop {
            let Some(mut peer) = node.poll() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            std::thread::spawn(move || {
                if peer.try_receive().is_ok() && peer.try_send("UP 1\r\n").is_ok() {
                    while peer
                        .try_receive()
                        .is_ok_and(|line| !line.is_empty() && peer.try_send(&line).is_ok())
                    {
                    }
                }
            });
        }
    });
    address
}

/// What became of clients that came one after another.
#[derive(Default)]
struct Counts {
    up: AtomicUsize,
    refused: AtomicUsize,
    moved: AtomicUsize,
    /// Reset, or closed on, without an answer or a `MOVE`.
    lost: Mutex<Vec<String>>,
}

fn one_client(address: SocketAddr, counts: &Counts) -> std::io::Result<()> {
    let stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    (&stream).write_all(with_fresh_id(OPEN).as_bytes())?;
    let mut line = String::new();
    reader.read_line(&mut line)?;
    if line.starts_with("BUSY") {
        counts.refused.fetch_add(1, Ordering::Relaxed);
        return Ok(());
    }
    if !line.starts_with("UP") {
        return Err(std::io::Error::other(format!("answered {line:?}")));
    }
    counts.up.fetch_add(1, Ordering::Relaxed);
    for _ in 0..10 {
        std::thread::sleep(Duration::from_millis(20));
        line.clear();
        // A line that crosses a `MOVE` is not answered, and may meet a closed connection.
        let written = (&stream).write_all(b"M 1 x\r\n");
        reader.read_line(&mut line)?;
        if line == "MOVE\r\n" {
            counts.moved.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        written?;
        if line != "M 1 x\r\n" {
            return Err(std::io::Error::other(format!("heard {line:?}")));
        }
    }
    Ok(())
}

/// Clients that arrive throughout a hot restart are all served and none is lost.
#[test]
fn hot_restart_loses_no_client() {
    let folder = tempfile::tempdir().unwrap();
    let address = free_address();
    let node = ScriptedServer::new();
    let known = ScriptedServer::alias(obliging(node));
    let mut old = Proxy::shared(address, folder.path(), ScriptedServer::new(), &[&known]);
    let (counts, stop) = (Arc::new(Counts::default()), Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..24)
        .map(|_| {
            let (counts, stop) = (Arc::clone(&counts), Arc::clone(&stop));
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    if let Err(error) = one_client(address, &counts) {
                        counts.lost.lock().unwrap().push(error.to_string());
                    }
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    let mut replaced = 0;
    for _ in 0..2 {
        let new = Proxy::shared(address, folder.path(), ScriptedServer::new(), &[&known]);
        wait_for(TIMEOUT, "the new one's yes", || {
            (new.admin_request("GET", "/status", "").0 == 200).then_some(())
        });
        assert_eq!(old.admin_request("GET", "/status", "").0, 200, "the old one serves still");
        old.terminate();
        old.wait_for_log("the listener is closed");
        assert!(old.wait_for_exit().success());
        assert_eq!(new.admin_request("GET", "/status", "").0, 200);
        assert!(new.metric("handled.look.passed").unwrap() > 0, "its own counts begin at 0");
        (old, replaced) = (new, replaced + 1);
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let lost = counts.lost.lock().unwrap();
    let count = |n: &AtomicUsize| n.load(Ordering::Relaxed);
    println!(
        "{} connections lost in {replaced} replacements; {} up, {} moved, {} refused",
        lost.len(),
        count(&counts.up),
        count(&counts.moved),
        count(&counts.refused)
    );
    assert!(lost.is_empty(), "{lost:?}");
    assert!(count(&counts.up) > 100 && count(&counts.moved) > 0);
}

/// Maintenance set at either process binds both and outlives the first.
#[test]
fn maintenance_binds_both_processes() {
    let folder = tempfile::tempdir().unwrap();
    let address = free_address();
    let nodes = [ScriptedServer::new(), ScriptedServer::new(), ScriptedServer::new()];
    let known = [&nodes[0], &nodes[1], &nodes[2]];
    let mut old = Proxy::shared(address, folder.path(), ScriptedServer::new(), &known);
    assert_eq!(old.admin_request("POST", "/maintenance/enter", "s0").0, 200);
    let new = Proxy::shared(address, folder.path(), ScriptedServer::new(), &known);
    assert_eq!(new.metric("skipped_render_nodes"), Some(1), "it has the ban before it serves");
    assert_eq!(new.admin_request("POST", "/maintenance/enter", "s1").0, 200);
    wait_for(TIMEOUT, "the old one to hear", || {
        (old.metric("skipped_render_nodes") == Some(2)).then_some(())
    });
    assert_eq!(old.admin_request("POST", "/maintenance/exit", "s0").0, 200);
    wait_for(TIMEOUT, "the new one to hear", || {
        (new.metric("skipped_render_nodes") == Some(1)).then_some(())
    });
    assert_eq!(old.admin_request("POST", "/maintenance/enter", "s0").0, 200);
    old.terminate();
    assert!(old.wait_for_exit().success());
    for _ in 0..6 {
        let _client = new.open();
        let (node, mut far) = accept_attempt_at(&nodes);
        far.receive();
        far.send("UP 1\r\n");
        assert_eq!(node, 2, "the only one that is in use");
    }
    assert_eq!(new.admin_request("POST", "/maintenance/exit", "s0").0, 200);
    let _client = new.open();
    assert_eq!(accept_attempt_at(&nodes).0, 0);
}

/// Answers to clients that come one after another with this line, so that each process of the proxy gets some.
fn answers_to(address: SocketAddr, line: &str, clients: usize) -> Vec<String> {
    let once = |_| {
        let mut client = ScriptedPeer::new(TcpStream::connect(address).unwrap());
        client.send(line);
        client.receive()
    };
    (0..clients).map(once).collect()
}

/// A client whose connection is established with this line, and the line.
fn owner_of(proxy: &Proxy, line: &str) -> (ScriptedPeer, String) {
    let mut owner = proxy.connect();
    owner.send(line);
    assert_eq!(owner.receive(), "UP 1\r\n");
    (owner, line.to_owned())
}

/// An id that was open at one process of a proxy was once served a second time by the other.
#[test]
fn open_id_is_refused_by_both_processes() {
    const THIEVES: usize = 40;
    const REFUSAL: &str = "ERR the id is open already\r\n";
    let folder = tempfile::tempdir().unwrap();
    let address = free_address();
    let known = ScriptedServer::alias(obliging(ScriptedServer::new()));
    let mut old = Proxy::shared(address, folder.path(), ScriptedServer::new(), &[&known]);
    // Clients are moved in the order in which they came, so the last one stays longest.
    let mut owners: Vec<_> = (0..6).map(|_| owner_of(&old, &with_fresh_id(OPEN))).collect();
    let (mut owner, line) = owners.pop().unwrap();
    let new = Proxy::shared(address, folder.path(), ScriptedServer::new(), &[&known]);
    let answers = answers_to(address, &line, THIEVES);
    assert!(answers.iter().all(|answer| answer == REFUSAL), "{answers:?}");
    let refused = [&old, &new].map(|proxy| proxy.metric("handled.look.bad_gateway").unwrap());
    assert!(refused.iter().all(|refused| *refused > 0), "each process refused some: {refused:?}");
    // An id that the new one has is refused by the old one as well.
    let (_owner_at_new, line_at_new) = std::iter::repeat_with(|| owner_of(&old, &with_fresh_id(OPEN)))
        .take(THIEVES)
        .find(|_| new.metric("handled.look.passed").unwrap() > 0)
        .expect("the new process gets a client");
    let answers = answers_to(address, &line_at_new, THIEVES);
    assert!(answers.iter().all(|answer| answer == REFUSAL), "{answers:?}");
    // While the old process drains, its ids are refused until their owners are moved.
    assert_eq!(new.admin_request("GET", "/status", "").0, 200);
    old.terminate();
    old.wait_for_log("the listener is closed");
    assert_eq!(answers_to(address, &line, 1), [REFUSAL]);
    owner.send("M 1 x\r\n");
    let heard = std::iter::repeat_with(|| owner.receive()).find(|line| line != "M 1 x\r\n");
    assert_eq!(heard.unwrap(), "MOVE\r\n");
    assert_eq!(answers_to(address, &line, 1), ["UP 1\r\n"], "its owner is moved");
    assert!(old.wait_for_exit().success());
}

/// The line of a client that has left with its attempt out.
fn abandoned_line(proxy: &Proxy, node: &ScriptedServer) -> String {
    let line = with_fresh_id(OPEN);
    let mut client = proxy.connect();
    client.send(&line);
    let (mut far, _) = node.accept_attempt();
    drop(client);
    assert_eq!(far.receive(), "", "the attempt is given up");
    line
}

/// The id of an unsafe request whose client left ran a second time, at either process.
#[test]
fn used_id_is_refused_by_both_processes() {
    const RETURNS: usize = 40;
    let folder = tempfile::tempdir().unwrap();
    let (address, node) = (free_address(), ScriptedServer::new());
    let settings = SETTINGS.replace(r#""effect":"safe""#, r#""effect":"unsafe""#);
    let old = Proxy::shared_with(address, folder.path(), &[&node], &settings);
    let line = abandoned_line(&old, &node);
    let new = Proxy::shared_with(address, folder.path(), &[&node], &settings);
    let answers = answers_to(address, &line, RETURNS);
    assert!(answers.iter().all(|answer| answer.starts_with("ERR the id ")), "{answers:?}");
    let refused = [&old, &new].map(|proxy| proxy.metric("handled.look.bad_gateway").unwrap());
    assert!(refused.iter().all(|refused| *refused > 0), "each process refused some: {refused:?}");
    assert!(node.poll().is_none(), "it runs once");
}

/// The ids of unsafe requests that had run were forgotten with their process, and ran again at its successor.
#[test]
fn successor_refuses_used_ids() {
    let settings = SETTINGS.replace(r#""effect":"safe""#, r#""effect":"unsafe""#);
    for end in [(|proxy| proxy.terminate()) as fn(&mut Proxy), |proxy| proxy.kill()] {
        let folder = tempfile::tempdir().unwrap();
        let (address, node) = (free_address(), ScriptedServer::new());
        let mut old = Proxy::shared_with(address, folder.path(), &[&node], &settings);
        let line = abandoned_line(&old, &node);
        let new = Proxy::shared_with(address, folder.path(), &[&node], &settings);
        assert_eq!(new.admin_request("GET", "/status", "").0, 200);
        end(&mut old);
        old.wait_for_exit();
        // At once, and after the new process has noticed the end.
        for _ in 0..20 {
            let answers = answers_to(address, &line, 1);
            assert!(answers[0].starts_with("ERR the id "), "{answers:?}");
            std::thread::sleep(Duration::from_millis(25));
        }
        assert!(node.poll().is_none(), "it runs once");
    }
}

/// An id may be used again at either process as soon as its owner's connection has ended at one of them.
#[test]
fn id_is_free_once_its_connection_has_ended() {
    let folder = tempfile::tempdir().unwrap();
    let (address, node) = (free_address(), ScriptedServer::new());
    let _old = Proxy::shared(address, folder.path(), ScriptedServer::new(), &[&node]);
    let _new = Proxy::shared(address, folder.path(), ScriptedServer::new(), &[&node]);
    let line = with_fresh_id(OPEN);
    for round in 0..40 {
        let mut client = ScriptedPeer::new(TcpStream::connect(address).unwrap());
        client.send(&line);
        let mut far = wait_for(TIMEOUT, &format!("the attempt of round {round}"), || node.poll());
        assert!(far.receive().starts_with("OPEN "));
        far.send("UP 1\r\nBYE\r\n");
        drop(far);
        assert_eq!(client.receive_rest().unwrap(), "UP 1\r\nBYE\r\n");
    }
}

/// An earlier build, which publishes no ids, is replaced by this one and put back.
#[test]
fn earlier_build_is_replaced_and_put_back() {
    let Some(build) = earlier_build() else { return };
    let folder = tempfile::tempdir().unwrap();
    let address = free_address();
    let known = ScriptedServer::alias(obliging(ScriptedServer::new()));
    let start = |program: &std::path::Path| {
        let command = std::process::Command::new(program);
        Proxy::shared_by(command, address, folder.path(), ScriptedServer::new(), &[&known])
    };
    let this_build = std::path::Path::new(env!("CARGO_BIN_EXE_cottonnotch"));
    let mut serving = start(&build);
    for program in [this_build, &build, this_build] {
        let successor = start(program);
        assert_eq!(successor.admin_request("GET", "/status", "").0, 200);
        let _owners: Vec<_> = (0..20).map(|_| owner_of(&successor, &with_fresh_id(OPEN))).collect();
        serving.terminate();
        serving.wait_for_log("the listener is closed");
        let _owners: Vec<_> = (0..20).map(|_| owner_of(&successor, &with_fresh_id(OPEN))).collect();
        assert!(serving.wait_for_exit().success());
        serving = successor;
    }
}

/// The processes of a proxy divide its share of what belongs to the fleet, for as long as there are two.
#[test]
fn processes_divide_share_of_proxy() {
    let folder = tempfile::tempdir().unwrap();
    let (address, node) = (free_address(), ScriptedServer::new());
    let operator = folder.path().join("operator.toml");
    std::fs::write(&operator, "[log]\nfilter = \"debug\"\n").unwrap();
    let start = || {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_cottonnotch"));
        command.env("COTTONNOTCH_OPERATOR", &operator);
        Proxy::shared_by(command, address, folder.path(), ScriptedServer::new(), &[&node])
    };
    let mut old = start();
    let new = start();
    old.wait_for_log("event Processes(2)");
    old.kill();
    new.wait_for_log("event Processes(1)");
}

/// The ids of a process that is killed are free at the other one.
#[test]
fn ids_of_killed_process_are_free() {
    let folder = tempfile::tempdir().unwrap();
    let address = free_address();
    let known = ScriptedServer::alias(obliging(ScriptedServer::new()));
    let mut old = Proxy::shared(address, folder.path(), ScriptedServer::new(), &[&known]);
    let owners: Vec<_> = (0..5).map(|_| owner_of(&old, &with_fresh_id(OPEN))).collect();
    let new = Proxy::shared(address, folder.path(), ScriptedServer::new(), &[&known]);
    old.kill();
    for (_, line) in &owners {
        assert_eq!(answers_to(new.address(), line, 1), ["UP 1\r\n"]);
    }
    wait_for(TIMEOUT, "the killed process's files to be removed", || {
        let names = std::fs::read_dir(folder.path()).unwrap().map(|entry| entry.unwrap().file_name());
        (names.filter(|name| name.to_string_lossy().ends_with(".ids")).count() == 1).then_some(())
    });
}

/// A successor that never gets ready or dies leaves the old process serving.
#[test]
fn failed_successor_leaves_predecessor_serving() {
    let folder = tempfile::tempdir().unwrap();
    let address = free_address();
    let node = ScriptedServer::new();
    let mut old = Proxy::shared(address, folder.path(), ScriptedServer::new(), &[&node]);
    let mut new = Proxy::start_without_nodes(address, folder.path());
    assert_eq!(new.admin_request("GET", "/status", "").0, 503, "nothing to place on");
    old.establish(&node);
    new.kill();
    // One that was ready, and is killed: its file is left.
    let mut ready = Proxy::shared(address, folder.path(), ScriptedServer::new(), &[&node]);
    assert_eq!(ready.admin_request("GET", "/status", "").0, 200);
    ready.kill();
    old.establish(&node);
    assert_eq!(old.admin_request("GET", "/status", "").0, 200);
    // An ordinary shutdown: clients still arrive for a while, and are served.
    old.terminate();
    old.wait_for_log("asked to stop");
    std::thread::sleep(Duration::from_millis(250));
    old.establish(&node);
    assert!(old.wait_for_exit().success());
}

/// A crashed process's files and foreign ones stop nobody.
#[test]
fn ignores_stale_and_foreign_process_files() {
    let folder = tempfile::tempdir().unwrap();
    let address = free_address();
    let node = ScriptedServer::new();
    let name = |kind: &str| {
        folder.path().join(format!("cottonnotch-{}.{kind}", address.to_string().replace(':', "_")))
    };
    std::fs::write(name("maintenance"), "cottonnotch-maintenance 1\nout 5 5 s0\nend 0000000000000000\n")
        .unwrap();
    std::fs::write(name("process-99999999999999999.ready"), "rubbish").unwrap();
    std::fs::create_dir(name("process-7.ready")).unwrap();
    let mut old = Proxy::shared(address, folder.path(), ScriptedServer::new(), &[&node]);
    assert_eq!(old.metric("skipped_render_nodes"), Some(0), "a torn state is refused whole");
    old.establish(&node);
    assert_eq!(old.admin_request("POST", "/maintenance/enter", "s0").0, 200, "and replaced by the next call");
    old.terminate();
    assert!(old.wait_for_exit().success());
    let again = Proxy::shared(address, folder.path(), ScriptedServer::new(), &[&node]);
    assert_eq!(again.metric("skipped_render_nodes"), Some(1), "the ban outlives an ordinary restart, too");
}

/// What binding there beside a proxy comes to, for one that is ready to share the address.
fn beside(address: SocketAddr) -> std::io::Result<()> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())
}

/// The address is shared only where processes can meet.
#[test]
fn shares_address_only_with_shared_folder() {
    let node = ScriptedServer::new();
    let alone = Proxy::with_admin(&[&node], 1024, SETTINGS);
    assert_eq!(beside(alone.address()).unwrap_err().kind(), ErrorKind::AddrInUse);
    let folder = tempfile::tempdir().unwrap();
    let shared = Proxy::shared(free_address(), folder.path(), ScriptedServer::new(), &[&node]);
    beside(shared.address()).expect("another process of the same user may listen there");
}
