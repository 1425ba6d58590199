use super::*;
use crate::{EndpointDigest, Evidence, Keys, Load, To};
use proptest::prelude::*;

fn incarnation() -> impl Strategy<Value = Incarnation> {
    (any::<u64>(), any::<u16>()).prop_map(|(generation, refutations)| Incarnation { generation, refutations })
}

fn header() -> impl Strategy<Value = Header> {
    (any::<bool>(), any::<u16>(), incarnation(), any::<u64>()).prop_map(
        |(to_all, sender, incarnation, counter)| Header {
            strength: Strength::Address,
            to_all,
            sender,
            incarnation,
            counter,
        },
    )
}

fn broadcast() -> impl Strategy<Value = Broadcast> {
    let state =
        prop_oneof![Just(ReportedState::Alive), Just(ReportedState::Left), Just(ReportedState::Suspect),];
    (any::<u16>(), incarnation(), state).prop_map(|(subject, incarnation, state)| Broadcast {
        subject,
        incarnation,
        state,
    })
}

fn entry() -> impl Strategy<Value = Entry> {
    let evidence = prop::array::uniform6(prop_oneof![Just(0), any::<u8>()]);
    let connections = prop_oneof![Just(0), 0u32..200, any::<u32>()];
    (any::<u32>(), connections, any::<u16>(), any::<u32>(), evidence).prop_map(
        |(name, connections, load, groups, e)| Entry {
            endpoint: EndpointDigest::from_bits(name),
            connections,
            load: Load(load),
            groups,
            evidence: Evidence {
                full: e[0],
                failed: e[1],
                timed_out: e[2],
                silent: e[3],
                served: e[4],
                age_tenths: e[5],
            },
        },
    )
}

fn section() -> impl Strategy<Value = Section> {
    prop_oneof![
        any::<u16>().prop_map(|nonce| Section::Ping { nonce }),
        any::<u16>().prop_map(|nonce| Section::Ack { nonce }),
        (any::<u16>(), any::<u16>()).prop_map(|(nonce, target)| Section::IndirectPing { nonce, target }),
        any::<u16>().prop_map(|nonce| Section::IndirectAck { nonce }),
        Just(Section::Leave),
        prop::collection::vec(broadcast(), 0..30).prop_map(Section::Broadcasts),
        (any::<u32>(), prop::collection::vec(entry(), 0..60))
            .prop_map(|(total, entries)| Section::Digest { total, entries }),
    ]
}

/// Returns the section that must be read back when only the first items of its list fitted.
fn truncated(section: &Section, fitted: usize) -> Section {
    match section {
        Section::Broadcasts(broadcasts) => Section::Broadcasts(broadcasts[..fitted].to_vec()),
        Section::Digest { total, entries } => {
            Section::Digest { total: *total, entries: entries[..fitted].to_vec() }
        }
        other => other.clone(),
    }
}

proptest! {
    #[test]
    fn datagrams_round_trip(header in header(), sections in prop::collection::vec(section(), 0..12), most in 96usize..400) {
        let mut draft = Draft::new(&header, most);
        let mut wanted = Vec::new();
        for section in &sections {
            let before = draft.written();
            let fitted = match section {
                Section::Broadcasts(broadcasts) => draft.broadcasts(broadcasts, MAX_DATAGRAM_BYTES),
                Section::Digest { total, entries } => draft.entries(*total, entries),
                section => usize::from(draft.push(section)),
            };
            if draft.written() > before {
                wanted.push(truncated(section, fitted));
            }
        }
        let bytes = draft.finish(&Keys::Address, To::All);
        prop_assert!(bytes.len() <= most.min(MAX_DATAGRAM_BYTES));
        let (read, length) = Header::read(&bytes).unwrap();
        prop_assert_eq!(read, header);
        prop_assert_eq!(read_sections(&bytes[length..]).unwrap(), wanted);
    }

    #[test]
    fn arbitrary_bytes_never_panic_and_sections_round_trip(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = Header::read(&bytes);
        let Ok(sections) = read_sections(&bytes) else { return Ok(()) };
        let header = Header { strength: Strength::Address, to_all: false, sender: 0, incarnation: Incarnation::default(), counter: 0 };
        let mut draft = Draft::new(&header, MAX_DATAGRAM_BYTES);
        let begin = draft.written();
        let fitted = sections.iter().take_while(|section| draft.push(section)).count();
        prop_assume!(fitted == sections.len());
        prop_assert_eq!(read_sections(&draft.finish(&Keys::Address, To::All)[begin..]).unwrap(), sections);
    }

    #[test]
    fn corrupted_sections_never_panic(sections in prop::collection::vec(section(), 1..4), at in 0usize..250, with: u8) {
        let header = Header { strength: Strength::Address, to_all: false, sender: 7, incarnation: Incarnation::first(1 << 41), counter: 9 };
        let mut draft = Draft::new(&header, MAX_DATAGRAM_BYTES);
        for section in &sections {
            draft.push(section);
        }
        let mut bytes = draft.finish(&Keys::Address, To::All);
        let place = at % bytes.len();
        bytes[place] = with;
        if let Ok((_, length)) = Header::read(&bytes) {
            let _ = read_sections(&bytes[length..]);
        }
        let _ = read_sections(&bytes[..place]);
    }
}

#[test]
fn skips_unknown_sections_and_fields() {
    // A ping with an additional field after its nonce, a section of an unknown kind, and a leave section.
    let bytes = [kind::PING, 4, 1, 2, 77, 77, 200, 3, 9, 9, 9, kind::LEAVE, 0];
    assert_eq!(read_sections(&bytes), Ok(vec![Section::Ping { nonce: 0x0201 }, Section::Leave]));
}

#[test]
fn rejects_overlong_numbers() {
    for (bytes, sender) in
        [(vec![5], Ok(5)), (vec![0x85, 0], Err(Malformed)), (vec![0xff, 0xff, 4], Err(Malformed))]
    {
        let mut datagram = vec![VERSION, 0];
        datagram.extend(bytes);
        datagram.extend([1, 0, 1]);
        assert_eq!(Header::read(&datagram).map(|(header, _)| header.sender), sender);
    }
}
