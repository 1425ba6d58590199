//! The size of affinity subsets: the size that is stated for a group determines over how many servers the
//! group's connections rotate, and nothing else.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod common;
use common::*;
use cottonnotch_decision::affinity::MIN_SUBSET_SIZE;
use cottonnotch_decision::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const GROUP: u64 = 4711;

fn grouped(id: u64, group: impl Into<Option<u64>>) -> Request {
    Request { group: group.into(), ..request(id, Some(2 * S)) }
}

fn new_node(ordinal: u32, nodes: u32, servers: u32) -> Node {
    Node::new(Settings { ordinal, nodes, groups: true, ..settings(Idempotency::Idempotent) }, servers)
}

/// Sends and establishes connections with these ids, and counts them by server.
fn connections_by_server(
    node: &mut Node,
    group: impl Into<Option<u64>> + Copy,
    ids: std::ops::Range<u64>,
) -> BTreeMap<u32, u32> {
    let mut connections_by_server = BTreeMap::new();
    for id in ids {
        let out = node.notify(Event::Request(grouped(id, group)));
        let server = out.iter().find_map(|action| match action {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        });
        let server = server.expect("the request is sent to a server");
        node.establish(id, server);
        *connections_by_server.entry(server.0).or_insert(0) += 1;
    }
    connections_by_server
}

fn members(node: &mut Node, group: u64, from: u64) -> BTreeSet<u32> {
    connections_by_server(node, group, from..from + 400).into_keys().collect()
}

#[test]
fn larger_subset_keeps_its_earlier_members() {
    let mut node = new_node(0, 8, 90);
    let minimum = members(&mut node, GROUP, 0);
    assert_eq!(minimum.len(), MIN_SUBSET_SIZE);
    node.notify(Event::AffinitySubsets(vec![(GROUP, 17)]));
    let larger = members(&mut node, GROUP, 1_000);
    assert_eq!(larger.len(), 17);
    assert!(larger.is_superset(&minimum), "a larger subset keeps its earlier members");
    let other = members(&mut new_node(5, 8, 90), GROUP, 0);
    assert_eq!(other, minimum, "a node that knows no size uses the first servers of the same order");
    assert_eq!(members(&mut node, GROUP + 1, 2_000).len(), MIN_SUBSET_SIZE, "another group keeps its size");
    node.notify(Event::AffinitySubsets(vec![]));
    assert_eq!(
        members(&mut node, GROUP, 3_000),
        minimum,
        "a group that is no longer named has the minimum size again"
    );
}

/// Where weights tell loads, they differ from list to list, and a group once moved with each list.
#[test]
fn subset_does_not_follow_live_weights() {
    let settings =
        Settings { groups: true, weights: WeightMeaning::Live, ..settings(Idempotency::Idempotent) };
    let mut node = Node::new(settings, 40);
    let before = members(&mut node, GROUP, 0);
    let weigh = |server: u32| Entry {
        weight: if server.is_multiple_of(3) { 0.1 } else { 2.0 },
        ..entry(server, ServerState::Ready)
    };
    node.notify(Event::List { full: true, copy: false, entries: (0..40).map(weigh).collect() });
    assert_eq!(members(&mut node, GROUP, 1_000), before);
}

/// A subset has no fewer than five servers, and no more than there are.
#[test]
fn subset_size_is_bounded() {
    let mut node = new_node(0, 1, 12);
    for (size, expected) in [(0, 5), (1, 5), (5, 5), (6, 6), (12, 12), (13, 12), (u32::MAX, 12)] {
        node.notify(Event::AffinitySubsets(vec![(GROUP, size)]));
        assert_eq!(members(&mut node, GROUP, u64::from(size) * 1_000).len(), expected, "stated size {size}");
    }
    let mut small_fleet = new_node(0, 1, 3);
    small_fleet.notify(Event::AffinitySubsets(vec![(GROUP, 9)]));
    assert_eq!(members(&mut small_fleet, GROUP, 0).len(), 3);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]
    /// Compares the subset with a plain oracle: the servers are sorted by a score of the group and the
    /// server, and the first ones are taken.
    #[test]
    fn subset_matches_sorted_oracle(group: u64, servers in 1..40_u32, size in 0..60_u32) {
        let score = |server: &u32| {
            let digest = entry(*server, ServerState::Ready).digest;
            let mixed = digest ^ group.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            (names::hash_to_unit(mixed) * 1e18) as u64
        };
        let mut order: Vec<u32> = (0..servers).collect();
        order.sort_by_key(|server| std::cmp::Reverse(score(server)));
        order.truncate(size.max(5) as usize);
        let mut node = new_node(0, 1, servers);
        node.notify(Event::AffinitySubsets(vec![(group, size)]));
        prop_assert_eq!(members(&mut node, group, 0), order.into_iter().collect::<BTreeSet<u32>>());
    }
}

#[test]
fn next_in_order_replaces_draining_member() {
    let mut node = new_node(0, 1, 60);
    node.notify(Event::AffinitySubsets(vec![(GROUP, 20)]));
    let before = members(&mut node, GROUP, 0);
    let removed = *before.first().unwrap();
    let entries = vec![entry(removed, ServerState::Draining)];
    node.notify(Event::List { full: false, copy: false, entries });
    let after = members(&mut node, GROUP, 1_000);
    assert!(!after.contains(&removed) && after.len() == 20);
    assert_eq!(after.intersection(&before).count(), 19, "the other members stay");
}

/// A server that has just started gets no more connections than its budget allows, however many subsets it
/// belongs to, and no more than it gets where connections have no group.
#[test]
fn warming_member_keeps_its_budget() {
    let warming = 3;
    let sent_to_warming = |group: Option<u64>| {
        let mut node = new_node(0, 1, 40);
        connections_by_server(&mut node, group, 0..400);
        let started = Some(node.now);
        let entries = vec![Entry { started, ..entry(warming, ServerState::Ready) }];
        node.notify(Event::List { full: false, copy: false, entries });
        node.notify(Event::AffinitySubsets(vec![(GROUP, 40)]));
        let mut sent = 0;
        for round in 0..30_u64 {
            node.run_to(node.now + S / 10);
            let from = 1_000 + round * 100;
            sent +=
                connections_by_server(&mut node, group, from..from + 40).get(&warming).copied().unwrap_or(0);
        }
        sent
    };
    let (grouped, ungrouped) = (sent_to_warming(Some(GROUP)), sent_to_warming(None));
    assert!(
        grouped > 0 && grouped <= ungrouped,
        "of 1,200 connections, {grouped} with and {ungrouped} without a group went to the warming server"
    );
    assert!(grouped < 1_200 / 40, "the warming server gets less than an even part");
}

/// A retry of a request that may have run goes to a server that drops repeats of it, whether or not that
/// server belongs to the subset.
#[test]
fn keyed_retry_stays_in_its_zone() {
    let keyed = Idempotency::Keyed { scope: Scope::Zone, window: 10 * S };
    let mut node = Node::new(Settings { groups: true, ..settings(keyed) }, 40);
    node.notify(Event::AffinitySubsets(vec![(GROUP, 11)]));
    for id in 0..60 {
        let first = node.notify(Event::Request(grouped(id, GROUP)));
        let Some(Action::Send { server: at, .. }) = first.iter().find(|a| matches!(a, Action::Send { .. }))
        else {
            panic!("{first:?}")
        };
        let again = node.end_attempt(id, *at, Outcome::Reset, false);
        for action in again {
            if let Action::Send { server, .. } = action {
                assert_eq!(server.0 % 2, at.0 % 2, "a server of another zone could run the request twice");
            }
        }
        node.run_to(node.now + 2 * S);
    }
}
