//! The wall clock is stepped while a proxy runs: ages, budgets and the order of processes go by real time.
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
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const HOUR: i64 = 3_600_000_000;
/// Two render nodes share 40 connections that fill them in 9 s. Cold, one bears 3 times 0.3 of that: 4 in a window of 2 s.
const WARMING_UP: &str = r#"{"balancers":1,"ordinal":0,"zones":["a"],"zone":"a","registryMode":"on_request",
    "policyLimits":{"mostTries":3,"connectTimeout":250000,"retryAfter":true,"maxRetryAfter":1000000},
    "familyInfo":{"messageAim":[150000.0],"tenantQuotaConnections":[40.0]},
    "tenants":[{"name":"t","share":1.0,"allowancePerS":1000.0}],
    "rules":{"coldFrom":0.3,"warmUp":WARM_UP,"fallMultiple":3.0,"fall":2000000},
    "requestClasses":[{"name":"look","effect":"safe","target":300000,"deadline":2000000,"gain":1.0}]}"#;
/// The standing test's bound for 4 in a window: N + 3 x root of N + 3.
const BEARS: usize = 13;

/// A render node that accepts and counts every connection. It ends with the test's process.
struct CountingNode {
    address: SocketAddr,
    accepted: Arc<AtomicUsize>,
}

impl CountingNode {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, accepted) = (listener.local_addr().unwrap(), Arc::new(AtomicUsize::new(0)));
        let counted = Arc::clone(&accepted);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                counted.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || {
                    let _ = stream.write_all(b"UP 1\r\n");
                    let _ = stream.read_to_end(&mut Vec::new());
                });
            }
        });
        CountingNode { address, accepted }
    }

    fn accepted(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }

    /// As a list has it; it started at that Unix time, in milliseconds, or long ago.
    fn member(&self, id: &str, up_since_ms: u64) -> String {
        let address = self.address;
        format!(
            r#"{{"id":"{id}","host_port":"{address}","locality":"a","cell":0,"phase":"up","size":1.0,"up_since_ms":{up_since_ms}}}"#
        )
    }
}

/// What the stepped wall clock shows, in milliseconds of Unix time.
fn wall_ms(offset: i64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64;
    (now + offset / 1000) as u64
}

/// Clients that come together; those that are up stay until they are dropped.
fn crowd(proxy: &Proxy, count: usize) -> Vec<ScriptedPeer> {
    let mut clients: Vec<ScriptedPeer> = (0..count).map(|_| proxy.open()).collect();
    clients.iter_mut().for_each(|client| drop(client.receive()));
    clients
}

/// A proxy that knows a warm render node, and is told of a second one that has started just now, after the wall clock was
/// stepped: how many of forty clients the new one gets, at once and when `wait` has passed.
fn after_a_step(step: i64, warm_up: i64, wait: Duration) -> (usize, usize) {
    let shims = Shims::new();
    let (warm, cold) = (CountingNode::new(), CountingNode::new());
    let settings = WARMING_UP.replace("WARM_UP", &warm_up.to_string());
    let proxy = Proxy::with_endpoints_by(shims.command(None), &[warm.member("s0", 0)], &settings);
    let (mut watch, _) = proxy.discovery.accept_watch();
    shims.set(Setting::WallOffset, step);
    watch.send(&chunk(&list(2, false, &[cold.member("s1", wall_ms(step))])));
    wait_for(TIMEOUT, "the list", || (proxy.metric("known_render_nodes") == Some(2)).then_some(()));
    let first = crowd(&proxy, 40);
    let at_once = cold.accepted();
    drop(first);
    std::thread::sleep(wait);
    let _second = crowd(&proxy, 40);
    (at_once, cold.accepted() - at_once)
}

/// A node that starts after a step back by an hour is warming up.
#[test]
fn node_started_after_hour_back_step_warms_up() {
    let (at_once, _) = after_a_step(-HOUR, 9_000_000, Duration::ZERO);
    assert!(at_once <= BEARS, "{at_once} connections at once for a node that bears {BEARS}");
}

/// A node that starts after a step on by an hour is warming up and warms up in its time.
#[test]
fn node_started_after_hour_forward_step_warms_up() {
    let (at_once, later) = after_a_step(HOUR, 2_000_000, Duration::from_millis(3_500));
    assert!(at_once <= BEARS, "{at_once} connections at once for a node that bears {BEARS}");
    assert!(later >= 10, "{later} of forty after its warm-up");
}

/// A node that starts after a step back by seconds is warming up.
#[test]
fn node_started_after_seconds_back_step_warms_up() {
    let (at_once, _) = after_a_step(-7_000_000, 9_000_000, Duration::ZERO);
    assert!(at_once <= BEARS, "{at_once} connections at once for a node that bears {BEARS}");
}

/// A process can't see a step before its start; the one before it at the same address has kept what it saw.
#[test]
fn later_process_sees_node_started_before_step_as_warming_up() {
    let shims = Shims::new();
    let folder = tempfile::tempdir().unwrap();
    let (warm, cold) = (CountingNode::new(), CountingNode::new());
    let settings = WARMING_UP.replace("WARM_UP", "9000000");
    let address = free_address();
    let start = |known: &[String]| {
        let mut command = shims.command(None);
        command.env("TMPDIR", folder.path());
        Proxy::with_endpoints_at(command, address, known, &settings)
    };
    let mut first = start(&[warm.member("s0", 0)]);
    first.kill();
    let started = wall_ms(0);
    shims.set(Setting::WallOffset, HOUR);
    let second = start(&[warm.member("s0", 0), cold.member("s1", started)]);
    let _clients = crowd(&second, 40);
    assert!(cold.accepted() <= BEARS, "{} connections for a node that bears {BEARS}", cold.accepted());
}

/// Who is the earlier of two processes is no matter of the wall clock.
#[test]
fn hot_restart_survives_clock_step_back() {
    let shims = Shims::new();
    let folder = tempfile::tempdir().unwrap();
    let (address, node) = (free_address(), ScriptedServer::new());
    let mut old =
        Proxy::shared_by(shims.command(None), address, folder.path(), ScriptedServer::new(), &[&node]);
    shims.set(Setting::WallOffset, -HOUR);
    let new = Proxy::shared_by(shims.command(None), address, folder.path(), ScriptedServer::new(), &[&node]);
    wait_for(TIMEOUT, "the new one's yes", || {
        (new.admin_request("GET", "/status", "").0 == 200).then_some(())
    });
    old.terminate();
    old.wait_for_log("the listener is closed");
    assert!(old.wait_for_exit().success());
    // Nobody but the new one is left to take this client.
    let _client = TcpStream::connect(address).unwrap();
}
