use super::*;

fn entry(name: u32, connections: u32) -> Entry {
    Entry { connections, ..Entry::empty(EndpointDigest::from_bits(name)) }
}

fn connections(state: &PeerState) -> Vec<(u32, u32)> {
    state.entries().map(|(entry, _)| (entry.endpoint.bits(), entry.connections)).collect()
}

#[test]
fn newer_version_wins_in_any_order() {
    let mut state = PeerState::default();
    assert_eq!(state.merge(5, 0, 2, &[entry(1, 10), entry(2, 20)]).len(), 2);
    assert_eq!(state.merge(4, 1, 3, &[entry(1, 9), entry(2, 9)]), [], "an older datagram is late");
    assert_eq!(state.merge(7, 2, 1, &[entry(1, 0)]), [entry(1, 0)], "the entry is removed");
    assert_eq!(state.merge(6, 3, 2, &[entry(1, 10)]), [], "a late datagram does not restore the entry");
    assert_eq!(connections(&state), [(2, 20)]);
    assert_eq!(state.newest_digest(), Some((2, 1)));
}

#[test]
fn trims_to_reported_total() {
    let mut state = PeerState::default();
    state.merge(1, 0, 3, &[entry(1, 1), entry(2, 2), entry(3, 3)]);
    state.merge(3, 0, 2, &[entry(1, 1), entry(3, 4)]);
    assert_eq!(connections(&state), [(1, 1), (3, 4)]);
}

#[test]
fn entries_are_bounded() {
    let mut state = PeerState::default();
    for version in 1..2_000u64 {
        let names = version as u32 * 20;
        let many: Vec<Entry> = (names..names + 20).map(|name| entry(name, name % 2)).collect();
        state.merge(version, 0, u32::MAX, &many);
        assert!(state.entries.len() <= MAX_ENTRIES + MAX_EMPTY);
    }
}
