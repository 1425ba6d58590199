//! Heap use of the connections' loads and of a list: a constant number of bytes per connection, render node and list member.
//! `docs/CAPACITY.md` quotes these numbers; the test fails if one of them exceeds its limit.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_decision::{Micros, RequestId, ServerId};
use cottonnotch_proxy_core::{EndpointUpdate, LatencySettings, MessageLatencies};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;

#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const S: Micros = 1_000_000;
/// 440 proxies with an objective of 60 ms.
const SETTINGS: LatencySettings =
    LatencySettings { proxies: 440, objective: Some(60_000), sizes_are_listed: true };
/// Maximum number of bytes per connection.
const MAX_BYTES_PER_CONNECTION: f64 = 130.0;
/// Maximum number of bytes per render node.
const MAX_BYTES_PER_NODE: f64 = 220.0;
/// Maximum number of bytes per member of a parsed list.
const MAX_BYTES_PER_MEMBER: f64 = 220.0;

/// Returns the heap use in bytes of the value that `make` returns.
fn heap_of<T>(make: impl FnOnce() -> T) -> f64 {
    let region = Region::new(HEAP);
    let made = make();
    let change = region.change();
    drop(made);
    change.bytes_allocated as f64 - change.bytes_deallocated as f64
}

fn latencies(nodes: u32, connections: u64) -> MessageLatencies {
    let mut latencies = MessageLatencies::new(SETTINGS);
    (0..nodes).for_each(|node| latencies.endpoint_listed(ServerId(node), 2.0));
    for id in 0..connections {
        let server = ServerId((id % u64::from(nodes)) as u32);
        latencies.connection_opened(S, RequestId(id), server, Some(id % 12_400), Some(2_000));
        latencies.load_changed(RequestId(id), 100.0);
    }
    latencies
}

fn list(members: usize) -> Vec<u8> {
    let one = |number: usize| {
        format!(
            r#"{{"id":"render-{number}","host_port":"10.20.{}.{}:7400","locality":"hall-a","flavor":"std-2c","cell":7,"phase":"up","size":2.0,"up_since_ms":1796000000000}}"#,
            number >> 8,
            number & 0xff
        )
    };
    let all: Vec<String> = (0..members).map(one).collect();
    format!(r#"{{"revision":1,"complete":true,"members":[{}]}}"#, all.join(",")).into_bytes()
}

/// A single test, since the memory of other tests in the same process would be counted too.
#[test]
fn loads_and_lists_cost_so_much_each() {
    for nodes in [90, 4_096] {
        let empty = heap_of(|| latencies(nodes, 0));
        let each = empty / f64::from(nodes);
        println!(r#"{{"what":"loads heap","nodes":{nodes},"connections":0,"bytes_a_node":{each:.1}}}"#);
        assert!(each < MAX_BYTES_PER_NODE, "{nodes} nodes: {each} bytes each");
        for connections in [1_000, 10_000, 45_455, 90_909] {
            let each = (heap_of(|| latencies(nodes, connections)) - empty) / connections as f64;
            println!(
                r#"{{"what":"loads heap","nodes":{nodes},"connections":{connections},"bytes_a_connection":{each:.1}}}"#
            );
            assert!(
                each < MAX_BYTES_PER_CONNECTION,
                "{nodes} nodes, {connections} connections: {each} bytes each"
            );
        }
    }
    for members in [90, 1_024, 4_096] {
        let mut text = list(members);
        let bytes = heap_of(|| EndpointUpdate::parse(&mut text).expect("a valid list"));
        let each = bytes / members as f64;
        println!(r#"{{"what":"list heap","members":{members},"bytes_a_member":{each:.1}}}"#);
        assert!(each < MAX_BYTES_PER_MEMBER, "{members} members: {each} bytes each");
    }
}
