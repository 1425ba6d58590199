use super::*;
use crate::Load;

fn entry(name: u32, connections: u32) -> Entry {
    let load = Load::from_micros_per_s(u64::from(connections) * 10_000);
    Entry { connections, load, ..Entry::empty(EndpointDigest::from_bits(name)) }
}

#[test]
fn what_changed_most_goes_first_and_the_rest_in_rotation() {
    let mut own = Own::default();
    let list =
        |changed: u32| (0..100).map(|n| entry(n, if n == changed { 50 } else { 5 })).collect::<Vec<_>>();
    own.set(list(200), 1);
    while own.entries.values().any(|mine| mine.untold > 0) {
        let order = own.in_order();
        own.told(&order[..10]);
    }
    own.set(list(70), 1);
    let mut rounds_told = BTreeMap::<u32, u32>::new();
    for round in 0..11 {
        let order = own.in_order();
        assert_eq!(round < 3, order[0].connections == 50, "round {round}");
        own.told(&order[..10]);
        for entry in &order[..10] {
            *rounds_told.entry(entry.endpoint.bits()).or_default() += 1;
        }
    }
    assert_eq!(rounds_told.len(), 100, "11 rounds of 10 tell all, and the changed one three times");
}

#[test]
fn what_is_no_more_is_told_as_empty_then_forgotten() {
    let mut own = Own::default();
    own.set(vec![entry(1, 3), entry(2, 3)], 2);
    let order = own.in_order();
    own.told(&order);
    own.set(vec![entry(2, 3)], 2);
    assert_eq!(own.len(), 1);
    for _ in 0..6 {
        let order = own.in_order();
        assert!(order.iter().any(|e| e.is_empty() && e.endpoint.bits() == 1));
        own.told(&order);
    }
    assert_eq!(own.in_order().len(), 1);
}
