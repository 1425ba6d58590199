//! Reloading while discovery has sent something that is not read yet. The steps of the event loop are played one by one, so that
//! their order is certain.
#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test panics")]

use super::Driver;
use crate::config::{Config, OperatorConfig};
use crate::net::network_event::{NetworkEvent, WatchLoss};
use cottonnotch_decision::Event;
use cottonnotch_decision::settings::{Pairs, read};
use cottonnotch_proxy_core::EndpointUpdate;
use cottonnotch_reactor::Key;
use cottonnotch_records::Recorder;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

fn config(discovery: SocketAddr) -> Config {
    Config {
        name: "n0".to_owned(),
        listen: "127.0.0.1:0".parse().unwrap(),
        mgmt: None,
        discovery,
        seed: 7,
        sockets: 1024,
        buffer_bound: 16 * 1024,
        peer_addresses: Default::default(),
        gossip: None,
        rules: None,
        initial_endpoints: EndpointUpdate { revision: 1, complete: true, endpoints: Vec::new() },
        profile: read(&Pairs::default()).unwrap(),
        operator: OperatorConfig::default(),
        present_keys: Default::default(),
    }
}

/// Plays rounds of the loop, without handling reports, until the listener has a connection.
fn accept(driver: &mut Driver, discovery: &TcpListener) -> BufReader<TcpStream> {
    discovery.set_nonblocking(true).unwrap();
    for _ in 0..1_000 {
        driver.context.reactor.io.owner_timer(0, u32::MAX);
        driver.context.reactor.turn().unwrap();
        if let Ok((stream, _)) = discovery.accept() {
            stream.set_nonblocking(false).unwrap();
            stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
            return BufReader::new(stream);
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    panic!("nobody comes");
}

/// The request line of a watch, once the driver has sent it.
fn requested(driver: &mut Driver, watch: &mut BufReader<TcpStream>) -> String {
    driver.context.reactor.io.owner_timer(0, u32::MAX);
    driver.context.reactor.turn().unwrap();
    let mut line = String::new();
    watch.read_line(&mut line).unwrap();
    line
}

/// A reload that is handled before the list that had arrived at the old discovery's socket once lost that list, and with it a drain.
#[test]
fn reload_keeps_list_that_has_arrived() {
    let [old, new] = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let moved = new.local_addr().unwrap();
    let reload = Box::new(move || Ok(config(moved)));
    let mut driver = Driver::start(config(old.local_addr().unwrap()), Recorder::off(), reload).unwrap();
    // Starts the first watch.
    while let Some(report) = driver.context.reactor.io.reports.pop_front() {
        driver.dispatch(report);
    }
    let event = driver.endpoints.start_watch(&mut driver.context);
    driver.handle_event(event);
    let mut watch = accept(&mut driver, &old);
    assert!(requested(&mut driver, &mut watch).contains("from=1 "));
    let text = r#"{"revision":9,"complete":true,"members":[]}"#;
    let chunk =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{text}\n\r\n", text.len() + 1);
    watch.get_mut().write_all(chunk.as_bytes()).unwrap();
    // The reload comes before the round in which the loop would read the list.
    driver.dispatch(NetworkEvent::Reload);
    let mut watch = accept(&mut driver, &new);
    let line = requested(&mut driver, &mut watch);
    assert!(line.contains("from=9 "), "{line}");
}

/// Calls that are never answered do not pile up.
#[test]
fn keeps_few_unanswered_calls() {
    const FEW: usize = 4;
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let reload = Box::new(move || Ok(config(discovery)));
    let mut driver = Driver::start(config(discovery), Recorder::off(), reload).unwrap();
    let before = driver.context.reactor.connections();
    for _ in 0..5 * FEW {
        assert_eq!(driver.endpoints.start_watch(&mut driver.context), None);
    }
    assert_eq!(driver.endpoints.calls().iter().count(), FEW);
    assert!(driver.context.reactor.connections() <= before + FEW);
}

/// However often discovery is called, the oldest call stays open: a slow discovery answers it first. Only the latest one determines
/// when the next one goes out.
#[test]
fn oldest_call_outlasts_frequent_ones() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let reload = Box::new(move || Ok(config(discovery)));
    let mut driver = Driver::start(config(discovery), Recorder::off(), reload).unwrap();
    let (context, endpoints) = (&mut driver.context, &mut driver.endpoints);
    assert_eq!(endpoints.start_watch(context), None);
    let oldest = endpoints.calls().iter().next().unwrap();
    for _ in 0..20 {
        assert_eq!(endpoints.start_watch(context), None);
    }
    let calls: Vec<Key> = endpoints.calls().iter().collect();
    assert_eq!(calls[0], oldest);
    let latest = calls[calls.len() - 1];
    for call in calls {
        let event = endpoints.handle_watch_lost(context, call, WatchLoss::Silent, "a test");
        assert_eq!(event, (call == latest).then_some(Event::ListSilent));
    }
}
