//! System calls that fail for a moment, as Linux documents: no request is lost, no signal is missed.
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
use std::time::{Duration, Instant};

/// Every call.
const ALWAYS: i64 = 1000;
/// Nine calls of ten.
const MOSTLY: i64 = 900;

/// A client is served though no option of its socket can be set.
#[test]
fn serves_client_without_socket_options() {
    let shims = Shims::new();
    let node = ScriptedServer::new();
    let proxy = Proxy::by(shims.command(None), &[&node], 1024, SETTINGS);
    shims.set(Setting::SocketOption, ALWAYS);
    let _pair = proxy.establish(&node);
    assert!(shims.count(Setting::SocketOption) > 0);
}

/// A client whose socket cannot be watched gets an answer not a reset.
#[test]
fn answers_client_whose_socket_cannot_be_registered() {
    let shims = Shims::new();
    let node = ScriptedServer::new();
    let proxy = Proxy::by(shims.command(None), &[&node], 1024, SETTINGS);
    shims.set(Setting::Register, ALWAYS);
    let mut clients: Vec<ScriptedPeer> = (0..20).map(|_| proxy.open()).collect();
    for client in &mut clients {
        let answer = client.receive_rest().expect("an answer and an orderly end");
        assert!(answer.starts_with("BUSY"), "{answer:?}");
    }
    assert!(shims.count(Setting::Register) > 0);
    shims.set(Setting::Register, 0);
    let _pair = proxy.establish(&node);
}

/// A client whose socket cannot be watched, and that sends at full speed, once kept the proxy reading from it alone.
#[test]
fn unregistered_flood_delays_no_other_client() {
    let shims = Shims::new();
    let node = ScriptedServer::new();
    let proxy = Proxy::by(shims.command(None), &[&node], 1024, SETTINGS);
    shims.set(Setting::Register, ALWAYS);
    let _floods = [proxy.connect().into_flood("x"), proxy.connect().into_flood("x")];
    // The flood is answered after half a second; its input is discarded from then on.
    std::thread::sleep(Duration::from_millis(700));
    assert!(shims.count(Setting::Register) > 0);
    shims.set(Setting::Register, 0);
    let since = Instant::now();
    let _pair = proxy.establish(&node);
    assert!(since.elapsed() < Duration::from_secs(1));
}

/// A client whose socket cannot be watched for a moment is served.
#[test]
fn serves_client_after_transient_registration_failure() {
    let shims = Shims::new();
    let node = ScriptedServer::new();
    let proxy = Proxy::by(shims.command(None), &[&node], 1024, SETTINGS);
    shims.set(Setting::Register, ALWAYS);
    let mut client = proxy.open();
    wait_for(TIMEOUT, "failed calls", || (shims.count(Setting::Register) > 2).then_some(()));
    shims.set(Setting::Register, 0);
    node.accept_attempt().0.send("UP 1\r\n");
    assert_eq!(client.receive(), "UP 1\r\n");
}

/// A process starts though system calls fail meanwhile.
#[test]
fn starts_despite_transient_errors() {
    for setting in [Setting::Socket, Setting::Register, Setting::SocketOption] {
        let shims = Shims::new();
        let node = ScriptedServer::new();
        shims.set(setting, 300);
        let proxy = Proxy::with_admin_by(shims.command(None), &[&node], 1024, SETTINGS);
        shims.set(setting, 0);
        let _pair = proxy.establish(&node);
    }
}

/// A process that is suspended as it returns from its wait answers a call that was complete in time, not 408.
#[test]
fn suspension_after_a_wait_makes_no_call_late() {
    let shims = Shims::new();
    let node = ScriptedServer::new();
    let proxy = Proxy::with_admin_by(shims.command(None), &[&node], 1024, SETTINGS);
    let mut operator = ScriptedPeer::new(std::net::TcpStream::connect(proxy.admin_address()).unwrap());
    operator.send("POST /maintenance/enter HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\ns");
    // What was sent is read once a later call has been answered.
    assert_eq!(proxy.metric("skipped_render_nodes"), Some(0));
    // Longer than the 2 s that a call has.
    shims.set(Setting::WaitDelay, 2_500);
    let _client = proxy.connect();
    wait_for(TIMEOUT, "the wait that returns late", || (shims.count(Setting::WaitDelay) == 1).then_some(()));
    operator.send("0");
    assert_eq!(operator.answer().0, 200);
}

/// Clients are accepted whatever accept fails with for a moment.
#[test]
fn accepts_clients_after_transient_accept_errors() {
    let shims = Shims::new();
    let node = ScriptedServer::new();
    let proxy = Proxy::by(shims.command(None), &[&node], 1024, SETTINGS);
    shims.set(Setting::Accept, ALWAYS);
    let mut client = proxy.open();
    wait_for(TIMEOUT, "failed calls", || (shims.count(Setting::Accept) > 12).then_some(()));
    shims.set(Setting::Accept, 0);
    let mut far = node.accept_attempt().0;
    far.send("UP 1\r\n");
    assert_eq!(client.receive(), "UP 1\r\n");
}

/// A request whose attempt cannot begin is rejected in time and nothing is sent.
#[test]
fn rejects_request_whose_attempt_cannot_begin() {
    for setting in [Setting::Socket, Setting::Connect] {
        let shims = Shims::new();
        let node = ScriptedServer::new();
        let proxy = Proxy::by(shims.command(None), &[&node], 1024, SETTINGS);
        let (_watch, _) = proxy.discovery.accept_watch();
        shims.set(setting, ALWAYS);
        let mut client = proxy.open();
        let answer = client.receive_rest().expect("an answer and an orderly end");
        assert!(answer.starts_with("BUSY"), "{setting:?}: {answer:?}");
        assert!(shims.count(setting) > 0 && node.poll().is_none(), "{setting:?}");
        shims.set(setting, 0);
        let _pair = proxy.establish(&node);
    }
}

/// A signal is obeyed though most reads are interrupted.
#[test]
fn obeys_signals_despite_interrupted_reads() {
    for _ in 0..5 {
        let shims = Shims::new();
        let node = ScriptedServer::new();
        let mut proxy = Proxy::by(shims.command(None), &[&node], 1024, SETTINGS);
        shims.set(Setting::Interrupt, MOSTLY);
        proxy.terminate();
        proxy.wait_for_log("asked to stop");
        assert!(proxy.wait_for_exit().success());
    }
}

/// Lines pass whole though system calls are interrupted and done only in part.
#[test]
fn relays_lines_despite_partial_reads_and_writes() {
    let shims = Shims::new();
    let node = ScriptedServer::new();
    let proxy = Proxy::by(shims.command(None), &[&node], 1024, SETTINGS);
    for setting in [Setting::Interrupt, Setting::Wait, Setting::Short] {
        shims.set(setting, 500);
    }
    let (mut client, mut far) = proxy.establish(&node);
    let long = "x".repeat(3000);
    for number in 0..50 {
        let line = format!("M {number} {long}\r\n");
        client.send(&line);
        assert_eq!(far.receive(), line);
        far.send(&line);
        assert_eq!(client.receive(), line);
    }
    assert!(shims.count(Setting::Short) > 0);
}

/// A broken connection at the render node ends its client within a second.
#[test]
fn closes_client_within_a_second_of_broken_endpoint() {
    let shims = Shims::new();
    let node = ScriptedServer::new();
    let proxy = Proxy::by(shims.command(None), &[&node], 1024, SETTINGS);
    let (mut client, mut far) = proxy.establish(&node);
    let (mut watch, _) = proxy.discovery.accept_watch();
    shims.set(Setting::Broken, ALWAYS);
    far.send("M 1 x\r\n");
    let begun = std::time::Instant::now();
    // Reset, as the node's side was.
    assert!(client.receive_rest().is_err());
    assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
    shims.set(Setting::Broken, 0);
    let _ = watch.try_send("\r\n");
}
