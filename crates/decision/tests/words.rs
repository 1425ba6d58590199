//! What other nodes say of a server: evidence that confirms, never an order.

mod common;
use common::*;
use cottonnotch_decision::*;

fn say(node: &mut Node, from: u32, server: u32, word: PeerVerdict) {
    node.tell(Event::PeerReport { from, server: ServerId(server), verdict: word });
}

/// A node that has had nothing from its servers for long, in the middle of a second.
fn quiet(servers: u32) -> Node {
    let mut node = Node::new(settings(Idempotency::Idempotent), servers);
    node.now = 200 * S + 300 * MS;
    node
}

fn paused(node: &Node) -> Vec<u32> {
    let mut beliefs = std::collections::BTreeMap::new();
    for action in &node.done {
        if let Action::HealthChanged { server, health: belief } = action {
            beliefs.insert(server.0, *belief);
        }
    }
    let now = node.now;
    let still = |b: &ServerHealth| matches!(b, ServerHealth::Paused { until } if *until > now);
    beliefs.into_iter().filter(|(_, belief)| still(belief)).map(|(server, _)| server).collect()
}

#[test]
fn one_accuser_alone_is_not_believed_however_often_it_speaks() {
    let mut node = quiet(8);
    for _ in 0..10 {
        for server in 0..8 {
            say(&mut node, 3, server, PeerVerdict::Unhealthy);
        }
    }
    assert_eq!(paused(&node), []);
}

#[test]
fn two_that_agree_bring_a_pause_until_the_next_mark_and_a_trial_after_it() {
    let mut node = quiet(8);
    say(&mut node, 3, 5, PeerVerdict::Unhealthy);
    say(&mut node, 4, 5, PeerVerdict::Unhealthy);
    assert_eq!(paused(&node), [5]);
    let placed: Vec<u32> = (0..14).map(|id| node.place(id).0).collect();
    assert!(!placed.contains(&5), "{placed:?}");
    node.run_to(201 * S);
    let placed: Vec<u32> = (20..36).map(|id| node.place(id).0).collect();
    assert_eq!(placed.iter().filter(|at| **at == 5).count(), 1, "one trial: {placed:?}");
}

#[test]
fn words_that_are_old_do_not_add_up() {
    let mut node = quiet(8);
    say(&mut node, 3, 5, PeerVerdict::Unhealthy);
    node.now += 3 * S + 1;
    say(&mut node, 4, 5, PeerVerdict::Unhealthy);
    assert_eq!(paused(&node), []);
}

#[test]
fn one_accuser_and_own_trouble_are_enough() {
    let mut node = quiet(8);
    let at = node.place(1);
    node.end(1, at, Outcome::Full, true);
    node.now = 201 * S + 10 * MS;
    assert_eq!(paused(&node), []);
    say(&mut node, 3, at.0, PeerVerdict::Unhealthy);
    assert_eq!(paused(&node), [at.0]);
}

#[test]
fn own_fresh_success_outweighs_any_number_of_words() {
    let mut node = quiet(8);
    let at = node.place(1);
    node.begin(1, at);
    for from in 1..200 {
        say(&mut node, from, at.0, PeerVerdict::Unhealthy);
    }
    assert_eq!(paused(&node), []);
}

#[test]
fn peers_that_contradict_one_another_bring_no_pause() {
    let mut node = quiet(8);
    say(&mut node, 1, 5, PeerVerdict::Healthy);
    say(&mut node, 2, 5, PeerVerdict::Healthy);
    say(&mut node, 3, 5, PeerVerdict::Unhealthy);
    say(&mut node, 4, 5, PeerVerdict::Unhealthy);
    assert_eq!(paused(&node), []);
}

#[test]
fn words_alone_pause_a_quarter_of_the_fleet_at_most() {
    let mut node = quiet(16);
    for server in 0..16 {
        for from in 1..5 {
            say(&mut node, from, server, PeerVerdict::Unhealthy);
        }
    }
    assert_eq!(paused(&node).len(), 4);
    // Three, where a quarter is less than one: words alone never take the last servers.
    let mut few = quiet(3);
    for server in 0..3 {
        say(&mut few, 1, server, PeerVerdict::Unhealthy);
        say(&mut few, 2, server, PeerVerdict::Unhealthy);
    }
    assert_eq!(paused(&few), []);
}

#[test]
fn what_is_repeated_is_not_believed_again_before_this_node_has_looked() {
    let mut node = quiet(8);
    for round in 0..5 {
        say(&mut node, 1, 5, PeerVerdict::Unhealthy);
        say(&mut node, 2, 5, PeerVerdict::Unhealthy);
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
    node.end(id, at, Outcome::ConnectFailed, true);
    assert_eq!(paused(&node), [5], "its own look counts");
}

#[test]
fn good_words_bring_a_trial_forward_but_do_not_end_a_pause() {
    let mut node = quiet(2);
    // Three failures: a pause of several seconds.
    for id in 1..20 {
        node.run_to(node.now + 700 * MS);
        if let Some((at, _)) = sent(&node.ask(id, 2 * S)) {
            let outcome = if at == ServerId(1) { Outcome::ConnectFailed } else { Outcome::Served };
            node.end(id, at, outcome, true);
        }
    }
    let until = |node: &Node| {
        node.done.iter().rev().find_map(|action| match action {
            Action::HealthChanged { server: ServerId(1), health: ServerHealth::Paused { until } } => {
                Some(*until)
            }
            _ => None,
        })
    };
    assert!(until(&node).unwrap() > node.now + 2 * S);
    say(&mut node, 1, 1, PeerVerdict::Healthy);
    assert!(until(&node).unwrap() > node.now + 2 * S, "one is not enough");
    say(&mut node, 2, 1, PeerVerdict::Healthy);
    assert_eq!(until(&node).unwrap(), (node.now / S + 1) * S, "tried at the next mark, not before");
}
