use super::*;

fn entry(name: u32, connections: u32) -> Entry {
    Entry { connections, ..Entry::empty(EndpointDigest::from_bits(name)) }
}

fn connections(told: &Told) -> Vec<(u32, u32)> {
    told.entries().map(|(entry, _)| (entry.endpoint.bits(), entry.connections)).collect()
}

#[test]
fn newer_replaces_older_whatever_the_order() {
    let mut told = Told::default();
    assert_eq!(told.take(5, 0, 2, &[entry(1, 10), entry(2, 20)]).len(), 2);
    assert_eq!(told.take(4, 1, 3, &[entry(1, 9), entry(2, 9)]), [], "older, late");
    assert_eq!(told.take(7, 2, 1, &[entry(1, 0)]), [entry(1, 0)], "no more");
    assert_eq!(told.take(6, 3, 2, &[entry(1, 10)]), [], "does not come back");
    assert_eq!(connections(&told), [(2, 20)]);
    assert_eq!(told.newest(), Some((2, 1)));
}

#[test]
fn what_the_peer_no_longer_has_goes_though_the_word_was_lost() {
    let mut told = Told::default();
    told.take(1, 0, 3, &[entry(1, 1), entry(2, 2), entry(3, 3)]);
    told.take(3, 0, 2, &[entry(1, 1), entry(3, 4)]);
    assert_eq!(connections(&told), [(1, 1), (3, 4)]);
}

#[test]
fn a_peer_can_fill_no_more_than_its_part() {
    let mut told = Told::default();
    for version in 1..2_000u64 {
        let names = version as u32 * 20;
        let many: Vec<Entry> = (names..names + 20).map(|name| entry(name, name % 2)).collect();
        told.take(version, 0, u32::MAX, &many);
        assert!(told.entries.len() <= MOST_ENTRIES + MOST_GONE);
    }
}
