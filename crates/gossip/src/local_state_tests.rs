use super::*;
use crate::Load;

fn entry(name: u32, connections: u32) -> Entry {
    let load = Load::from_micros_per_s(u64::from(connections) * 10_000);
    Entry { connections, load, ..Entry::empty(EndpointDigest::from_bits(name)) }
}

#[test]
fn largest_change_first_rest_in_rotation() {
    let mut state = LocalState::default();
    let list =
        |changed: u32| (0..100).map(|n| entry(n, if n == changed { 50 } else { 5 })).collect::<Vec<_>>();
    state.replace(list(200), 1);
    while state.entries.values().any(|entry| entry.rounds_left > 0) {
        let order = state.by_urgency();
        state.mark_sent(&order[..10]);
    }
    state.replace(list(70), 1);
    let mut rounds_sent = BTreeMap::<u32, u32>::new();
    for round in 0..11 {
        let order = state.by_urgency();
        assert_eq!(round < 3, order[0].connections == 50, "round {round}");
        state.mark_sent(&order[..10]);
        for entry in &order[..10] {
            *rounds_sent.entry(entry.endpoint.bits()).or_default() += 1;
        }
    }
    assert_eq!(rounds_sent.len(), 100, "11 rounds of 10 send all entries, and the changed one three times");
}

#[test]
fn removed_entry_is_sent_as_empty_then_forgotten() {
    let mut state = LocalState::default();
    state.replace(vec![entry(1, 3), entry(2, 3)], 2);
    let order = state.by_urgency();
    state.mark_sent(&order);
    state.replace(vec![entry(2, 3)], 2);
    assert_eq!(state.len(), 1);
    for _ in 0..6 {
        let order = state.by_urgency();
        assert!(order.iter().any(|e| e.is_empty() && e.endpoint.bits() == 1));
        state.mark_sent(&order);
    }
    assert_eq!(state.by_urgency().len(), 1);
}
