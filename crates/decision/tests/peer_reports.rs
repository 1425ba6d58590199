//! Other nodes' reports of a server: a report is evidence that confirms other evidence, never a command.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod common;
use common::*;
use cottonnotch_decision::*;

fn report(node: &mut Node, from: u32, server: u32, verdict: PeerVerdict) {
    node.notify(Event::PeerReport { from, server: ServerId(server), verdict });
}

/// Creates a node that has no recent outcomes from its servers, in the middle of a second.
fn quiet_node(servers: u32) -> Node {
    let mut node = Node::new(settings(Idempotency::Idempotent), servers);
    node.now = 200 * S + 300 * MS;
    node
}

fn paused(node: &Node) -> Vec<u32> {
    let mut health_by_server = std::collections::BTreeMap::new();
    for action in &node.actions {
        if let Action::HealthChanged { server, health } = action {
            health_by_server.insert(server.0, *health);
        }
    }
    let now = node.now;
    let is_paused = |health: &ServerHealth| matches!(health, ServerHealth::Paused { until } if *until > now);
    health_by_server.into_iter().filter(|(_, health)| is_paused(health)).map(|(server, _)| server).collect()
}

/// A single peer cannot pause a server, however often it repeats its report.
#[test]
fn single_peer_cannot_pause_server() {
    let mut node = quiet_node(8);
    for _ in 0..10 {
        for server in 0..8 {
            report(&mut node, 3, server, PeerVerdict::Unhealthy);
        }
    }
    assert_eq!(paused(&node), []);
}

/// After the pause, the server gets one trial.
#[test]
fn two_agreeing_peers_pause_until_next_mark() {
    let mut node = quiet_node(8);
    report(&mut node, 3, 5, PeerVerdict::Unhealthy);
    report(&mut node, 4, 5, PeerVerdict::Unhealthy);
    assert_eq!(paused(&node), [5]);
    let placed: Vec<u32> = (0..14).map(|id| node.place(id).0).collect();
    assert!(!placed.contains(&5), "{placed:?}");
    node.run_to(201 * S);
    let placed: Vec<u32> = (20..36).map(|id| node.place(id).0).collect();
    assert_eq!(placed.iter().filter(|at| **at == 5).count(), 1, "the server gets one trial: {placed:?}");
}

#[test]
fn stale_reports_do_not_add_up() {
    let mut node = quiet_node(8);
    report(&mut node, 3, 5, PeerVerdict::Unhealthy);
    node.now += 3 * S + 1;
    report(&mut node, 4, 5, PeerVerdict::Unhealthy);
    assert_eq!(paused(&node), []);
}

#[test]
fn one_report_and_own_failure_suffice() {
    let mut node = quiet_node(8);
    let at = node.place(1);
    node.end_attempt(1, at, Outcome::Full, true);
    node.now = 201 * S + 10 * MS;
    assert_eq!(paused(&node), []);
    report(&mut node, 3, at.0, PeerVerdict::Unhealthy);
    assert_eq!(paused(&node), [at.0]);
}

#[test]
fn own_recent_success_outweighs_reports() {
    let mut node = quiet_node(8);
    let at = node.place(1);
    node.establish(1, at);
    for from in 1..200 {
        report(&mut node, from, at.0, PeerVerdict::Unhealthy);
    }
    assert_eq!(paused(&node), []);
}

#[test]
fn contradicting_peers_do_not_pause() {
    let mut node = quiet_node(8);
    report(&mut node, 1, 5, PeerVerdict::Healthy);
    report(&mut node, 2, 5, PeerVerdict::Healthy);
    report(&mut node, 3, 5, PeerVerdict::Unhealthy);
    report(&mut node, 4, 5, PeerVerdict::Unhealthy);
    assert_eq!(paused(&node), []);
}

#[test]
fn reports_pause_at_most_a_quarter() {
    let mut node = quiet_node(16);
    for server in 0..16 {
        for from in 1..5 {
            report(&mut node, from, server, PeerVerdict::Unhealthy);
        }
    }
    assert_eq!(paused(&node).len(), 4);
    // With three servers, a quarter is less than one server, so reports alone pause none.
    let mut small_fleet = quiet_node(3);
    for server in 0..3 {
        report(&mut small_fleet, 1, server, PeerVerdict::Unhealthy);
        report(&mut small_fleet, 2, server, PeerVerdict::Unhealthy);
    }
    assert_eq!(paused(&small_fleet), []);
}

#[test]
fn repeated_report_needs_own_trial_first() {
    let mut node = quiet_node(8);
    for round in 0..5 {
        report(&mut node, 1, 5, PeerVerdict::Unhealthy);
        report(&mut node, 2, 5, PeerVerdict::Unhealthy);
        assert_eq!(paused(&node).len(), usize::from(round == 0), "round {round}");
        node.run_to((201 + round) * S + 10 * MS);
    }
    let mut id = 0;
    let at = loop {
        id += 1;
        let at = node.place(id);
        if at == ServerId(5) {
            break at;
        }
    };
    node.end_attempt(id, at, Outcome::ConnectFailed, true);
    assert_eq!(paused(&node), [5], "the node's own failed trial counts");
}

/// Healthy reports do not end a pause.
#[test]
fn healthy_reports_advance_trial_only() {
    let mut node = quiet_node(2);
    // Three failures lead to a pause of several seconds.
    for id in 1..20 {
        node.run_to(node.now + 700 * MS);
        if let Some((at, _)) = sent(&node.send_request(id, 2 * S)) {
            let outcome = if at == ServerId(1) { Outcome::ConnectFailed } else { Outcome::Served };
            node.end_attempt(id, at, outcome, true);
        }
    }
    let until = |node: &Node| {
        node.actions.iter().rev().find_map(|action| match action {
            Action::HealthChanged { server: ServerId(1), health: ServerHealth::Paused { until } } => {
                Some(*until)
            }
            _ => None,
        })
    };
    assert!(until(&node).unwrap() > node.now + 2 * S);
    report(&mut node, 1, 1, PeerVerdict::Healthy);
    assert!(until(&node).unwrap() > node.now + 2 * S, "one report is not enough");
    report(&mut node, 2, 1, PeerVerdict::Healthy);
    assert_eq!(
        until(&node).unwrap(),
        (node.now / S + 1) * S,
        "the server is tried at the next full second, not before"
    );
}
