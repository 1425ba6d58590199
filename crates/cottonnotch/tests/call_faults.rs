//! System calls that fail for a moment, as Linux documents: no request is lost, no signal is missed.

mod peers;
use cottonnotch_shim_control::Setting;
use peers::shims::Shims;
use peers::*;
use std::time::Duration;

/// Every call.
const ALWAYS: i64 = 1000;
/// Nine calls of ten.
const MOSTLY: i64 = 900;

#[test]
fn a_client_is_served_though_no_option_of_its_socket_can_be_set() {
    let shims = Shims::new();
    let node = ScriptedServer::new();
    let proxy = Proxy::by(shims.command(None), &[&node], 1024, SETTINGS);
    shims.set(Setting::SocketOption, ALWAYS);
    let _pair = proxy.establish(&node);
    assert!(shims.count(Setting::SocketOption) > 0);
}

#[test]
fn a_client_whose_socket_cannot_be_watched_gets_an_answer_not_a_reset() {
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

#[test]
fn a_client_whose_socket_cannot_be_watched_for_a_moment_is_served() {
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

#[test]
fn a_process_starts_though_calls_fail_as_it_does() {
    for setting in [Setting::Socket, Setting::Register, Setting::SocketOption] {
        let shims = Shims::new();
        let node = ScriptedServer::new();
        shims.set(setting, 300);
        let proxy = Proxy::with_admin_by(shims.command(None), &[&node], 1024, SETTINGS);
        shims.set(setting, 0);
        let _pair = proxy.establish(&node);
    }
}

#[test]
fn clients_are_accepted_whatever_accept_fails_with_for_a_moment() {
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

#[test]
fn a_request_whose_attempt_cannot_begin_is_refused_in_time_and_nothing_is_sent() {
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

#[test]
fn a_signal_is_obeyed_though_most_reads_are_interrupted() {
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

#[test]
fn lines_pass_whole_though_calls_are_interrupted_and_do_only_a_part() {
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

#[test]
fn a_broken_connection_at_the_render_node_ends_its_client_within_a_second() {
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
