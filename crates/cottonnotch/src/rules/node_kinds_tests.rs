use super::*;
use cottonnotch_decision::ZoneId;

fn kind(hall: &str, hardware: &str) -> NodeKind {
    NodeKind { hall: hall.into(), hardware: hardware.into() }
}

fn entry(server: u32, state: ServerState) -> Entry {
    let digest = u64::from(server).wrapping_mul(0x5851_f42d_4c95_7f2d);
    let zone = ZoneId::default();
    Entry { server: ServerId(server), digest, state, zone, cell: 0, started: None, weight: 1.0 }
}

/// Ten nodes in three halls and two hardware classes.
fn render_nodes() -> RenderNodes {
    let mut nodes = RenderNodes::default();
    let entries: Vec<Entry> = (0..10).map(|server| entry(server, ServerState::Ready)).collect();
    nodes.update(true, &entries, |server| {
        kind(["a", "b", "c"][server.0 as usize % 3], ["x", "y"][server.0 as usize % 2])
    });
    nodes
}

#[test]
fn node_sets_follow_kinds_and_list() {
    let mut nodes = render_nodes();
    assert_eq!(nodes.kinds().len(), 6);
    let in_a = |nodes: &RenderNodes| {
        NodeKindSet::from_fn(nodes.kinds().len(), |kind| &*nodes.kinds()[kind].hall == "a")
    };
    let in_hall_a = in_a(&nodes);
    let numbers = |set: &ServerSet| (0..20).filter(|n| set.contains(ServerId(*n))).collect::<Vec<_>>();
    assert_eq!(numbers(&nodes.node_set(&in_hall_a)), [0, 3, 6, 9]);
    assert!(Arc::ptr_eq(&nodes.node_set(&in_hall_a), &nodes.node_set(&in_hall_a)), "the set is cached");
    // Node 3 moves to another hall, and node 14 is new.
    let change = [entry(3, ServerState::Ready), entry(14, ServerState::Draining)];
    nodes.update(false, &change, |server| kind(if server.0 == 3 { "b" } else { "a" }, "x"));
    let in_hall_a = in_a(&nodes);
    assert_eq!(numbers(&nodes.node_set(&in_hall_a)), [0, 6, 9, 14]);
    assert_eq!(nodes.kind(ServerId(99)), None);
    nodes.update(true, &[entry(1, ServerState::Ready)], |_| kind("b", "y"));
    let ready: Vec<usize> = (0..6).filter(|kind| nodes.is_ready(*kind)).collect();
    assert_eq!(ready.len(), 1);
}

#[test]
fn affinity_subset_is_independent_of_list_order() {
    let nodes = render_nodes();
    let all = NodeKindSet::from_fn(nodes.kinds().len(), |_| true);
    let mut reversed = RenderNodes::default();
    let mut entries: Vec<Entry> = (0..10).map(|server| entry(server, ServerState::Ready)).collect();
    entries.reverse();
    for entry in &entries {
        reversed.update(false, std::slice::from_ref(entry), |_| kind("a", "x"));
    }
    let all_reversed = NodeKindSet::from_fn(reversed.kinds().len(), |_| true);
    let mut used = ServerSet::default();
    for group in 0..40 {
        let subset = nodes.affinity_subset(&all, group, 2);
        assert_eq!(subset, reversed.affinity_subset(&all_reversed, group, 2), "group {group}");
        assert_eq!((0..10).filter(|n| subset.contains(ServerId(*n))).count(), 2);
        (0..10).map(ServerId).filter(|n| subset.contains(*n)).for_each(|n| used.insert(n));
    }
    assert_eq!(
        (0..10).filter(|n| used.contains(ServerId(*n))).count(),
        10,
        "the subsets of all groups together cover all nodes"
    );
}
