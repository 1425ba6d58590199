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

/// Ten nodes in three halls, of two classes.
fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    let entries: Vec<Entry> = (0..10).map(|server| entry(server, ServerState::Ready)).collect();
    fleet.listed(true, &entries, |server| {
        kind(["a", "b", "c"][server.0 as usize % 3], ["x", "y"][server.0 as usize % 2])
    });
    fleet
}

#[test]
fn sets_are_those_of_their_kinds_and_follow_the_list() {
    let mut fleet = fleet();
    assert_eq!(fleet.kinds().len(), 6);
    let in_a = |fleet: &Fleet| NodeKindSet::of(fleet.kinds().len(), |kind| &*fleet.kinds()[kind].hall == "a");
    let meant = in_a(&fleet);
    let numbers = |set: &ServerSet| (0..20).filter(|n| set.contains(ServerId(*n))).collect::<Vec<_>>();
    assert_eq!(numbers(&fleet.set(&meant)), [0, 3, 6, 9]);
    assert!(Arc::ptr_eq(&fleet.set(&meant), &fleet.set(&meant)), "it is made once");
    // One moves to another hall, one is new.
    let change = [entry(3, ServerState::Ready), entry(14, ServerState::Draining)];
    fleet.listed(false, &change, |server| kind(if server.0 == 3 { "b" } else { "a" }, "x"));
    let meant = in_a(&fleet);
    assert_eq!(numbers(&fleet.set(&meant)), [0, 6, 9, 14]);
    assert_eq!(fleet.kind(ServerId(99)), None);
    fleet.listed(true, &[entry(1, ServerState::Ready)], |_| kind("b", "y"));
    let ready: Vec<usize> = (0..6).filter(|kind| fleet.is_ready(*kind)).collect();
    assert_eq!(ready.len(), 1);
}

#[test]
fn a_group_has_the_same_homes_whatever_order_the_list_came_in() {
    let fleet = fleet();
    let all = NodeKindSet::of(fleet.kinds().len(), |_| true);
    let mut again = Fleet::default();
    let mut entries: Vec<Entry> = (0..10).map(|server| entry(server, ServerState::Ready)).collect();
    entries.reverse();
    for one in &entries {
        again.listed(false, std::slice::from_ref(one), |_| kind("a", "x"));
    }
    let all_again = NodeKindSet::of(again.kinds().len(), |_| true);
    let mut used = ServerSet::default();
    for group in 0..40 {
        let homes = fleet.homes(&all, group, 2);
        assert_eq!(homes, again.homes(&all_again, group, 2), "group {group}");
        assert_eq!((0..10).filter(|n| homes.contains(ServerId(*n))).count(), 2);
        (0..10).map(ServerId).filter(|n| homes.contains(*n)).for_each(|n| used.insert(n));
    }
    assert_eq!((0..10).filter(|n| used.contains(ServerId(*n))).count(), 10, "groups differ");
}
