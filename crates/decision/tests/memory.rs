//! What the decisions of one node hold, in bytes of heap, by standing connections and by render nodes: it grows with each of
//! the two alone, never with their product. `docs/CAPACITY.md` quotes the slopes; a test fails when one grows past that.
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

/// Bytes for each standing connection: its pending request, its place in the tree and in its server's list.
const A_CONNECTION: f64 = 400.0;
/// Bytes for each render node.
const A_NODE: f64 = 400.0;

/// How connections are made: placed one after another, or all reported as open, which is quicker with thousands of nodes
/// and leaves out the list of servers that were tried.
#[derive(Clone, Copy, PartialEq)]
enum Origin {
    Placed,
    Open,
}

/// Bytes that are allocated with so many render nodes and connections that stand.
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
        let server = sent(&out).expect("all may be used").0;
        let established = Event::Established { request: request_id, attempt: 0, server, elapsed: 1_000 };
        balancer.handle(100 * S, established, &mut out);
    }
    drop(out);
    let change = region.change();
    drop(balancer);
    change.bytes_allocated as f64 - change.bytes_deallocated as f64
}

/// One test, since what other tests of the process hold would count.
#[test]
fn memory_grows_with_connections_plus_nodes() {
    let all: [u64; 4] = [1_000, 10_000, 45_455, 90_909];
    let cases = [
        (16, Origin::Placed),
        (16, Origin::Open),
        (90, Origin::Open),
        (1_024, Origin::Open),
        (4_096, Origin::Open),
    ];
    for (nodes, origin) in cases {
        let empty = allocated_bytes(nodes, 0, origin);
        for connections in all {
            let bytes = allocated_bytes(nodes, connections, origin);
            let each = (bytes - empty) / connections as f64;
            let placed = origin == Origin::Placed;
            println!(
                r#"{{"what":"decision heap","nodes":{nodes},"placed":{placed},"connections":{connections},"bytes":{bytes:.0},"bytes_a_connection":{each:.1}}}"#
            );
            assert!(each < A_CONNECTION, "{nodes} nodes, {connections}: {each} bytes a connection");
        }
    }
    for nodes in [90_u32, 1_024, 4_096] {
        let bytes = allocated_bytes(nodes, 0, Origin::Open);
        let each = bytes / f64::from(nodes);
        println!(
            r#"{{"what":"decision heap","nodes":{nodes},"connections":0,"bytes":{bytes:.0},"bytes_a_node":{each:.1}}}"#
        );
        assert!(each < A_NODE, "{nodes} nodes: {each} bytes a node");
    }
    // Both at once cost what each costs alone, but for the lists of connections, which double as they grow.
    let (nodes, connections) =
        (allocated_bytes(4_096, 0, Origin::Open), allocated_bytes(16, 90_909, Origin::Open));
    let both = allocated_bytes(4_096, 90_909, Origin::Open);
    let ratio = both / (nodes + connections);
    println!(r#"{{"what":"decision heap, both over the sum of each","ratio":{ratio:.3}}}"#);
    assert!(ratio < 1.25, "{both} bytes of both, {nodes} and {connections} of each alone");
}
