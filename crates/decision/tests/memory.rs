//! Heap use of one balancer, by the number of standing connections and of render nodes. It grows with each
//! of the two numbers, never with their product. `docs/CAPACITY.md` quotes the bytes for each, and a test
//! fails when they grow past the limits here.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod common;

use common::{S, entry, request, sent, settings};
use cottonnotch_decision::*;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;

#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Most bytes for each standing connection: its pending request, and its entries in the tree of requests
/// and in the list of its server's connections.
const MAX_BYTES_PER_CONNECTION: f64 = 400.0;
/// Most bytes for each render node.
const MAX_BYTES_PER_NODE: f64 = 400.0;

/// How connections come about: placed by the balancer one after another, or reported as already open. The
/// latter is quicker with thousands of nodes, and leaves out the list of servers that were tried.
#[derive(Clone, Copy, PartialEq)]
enum Origin {
    Placed,
    Open,
}

/// Returns the bytes that a balancer with this many render nodes and standing connections has allocated.
fn allocated_bytes(nodes: u32, connections: u64, origin: Origin) -> f64 {
    let region = Region::new(HEAP);
    let mut balancer = Balancer::new(settings(Idempotency::Idempotent), 7, 100 * S);
    let mut out = Vec::new();
    let entries = (0..nodes).map(|server| entry(server, ServerState::Ready)).collect();
    balancer.handle(100 * S, Event::List { full: true, copy: true, entries }, &mut out);
    for id in 0..connections {
        let server = ServerId((id % u64::from(nodes)) as u32);
        let request = Request { group: Some(id % 13_000), ..request(id, None) };
        out.clear();
        if origin == Origin::Open {
            balancer.handle(100 * S, Event::Open { request, server }, &mut out);
            continue;
        }
        let request_id = request.id;
        balancer.handle(100 * S, Event::Request(request), &mut out);
        let server = sent(&out).expect("all servers may be used").0;
        let established = Event::Established { request: request_id, attempt: 0, server, elapsed: 1_000 };
        balancer.handle(100 * S, established, &mut out);
    }
    drop(out);
    let change = region.change();
    drop(balancer);
    change.bytes_allocated as f64 - change.bytes_deallocated as f64
}

/// This file has only one test, because allocations of other tests in the process would be counted too.
#[test]
fn memory_grows_with_connections_plus_nodes() {
    let connection_counts: [u64; 4] = [1_000, 10_000, 45_455, 90_909];
    let cases = [
        (16, Origin::Placed),
        (16, Origin::Open),
        (90, Origin::Open),
        (1_024, Origin::Open),
        (4_096, Origin::Open),
    ];
    for (nodes, origin) in cases {
        let empty = allocated_bytes(nodes, 0, origin);
        for connections in connection_counts {
            let bytes = allocated_bytes(nodes, connections, origin);
            let bytes_each = (bytes - empty) / connections as f64;
            let placed = origin == Origin::Placed;
            println!(
                r#"{{"what":"decision heap","nodes":{nodes},"placed":{placed},"connections":{connections},"bytes":{bytes:.0},"bytes_a_connection":{bytes_each:.1}}}"#
            );
            assert!(
                bytes_each < MAX_BYTES_PER_CONNECTION,
                "{nodes} nodes, {connections}: {bytes_each} bytes a connection"
            );
        }
    }
    for nodes in [90_u32, 1_024, 4_096] {
        let bytes = allocated_bytes(nodes, 0, Origin::Open);
        let bytes_each = bytes / f64::from(nodes);
        println!(
            r#"{{"what":"decision heap","nodes":{nodes},"connections":0,"bytes":{bytes:.0},"bytes_a_node":{bytes_each:.1}}}"#
        );
        assert!(bytes_each < MAX_BYTES_PER_NODE, "{nodes} nodes: {bytes_each} bytes a node");
    }
    // Both at once cost as much as the sum of each alone, except that the lists of connections double in
    // size as they grow.
    let (nodes, connections) =
        (allocated_bytes(4_096, 0, Origin::Open), allocated_bytes(16, 90_909, Origin::Open));
    let both = allocated_bytes(4_096, 90_909, Origin::Open);
    let ratio = both / (nodes + connections);
    println!(r#"{{"what":"decision heap, both over the sum of each","ratio":{ratio:.3}}}"#);
    assert!(
        ratio < 1.25,
        "{both} bytes with both, {nodes} with nodes alone and {connections} with connections alone"
    );
}
