//! Golden-file tests: the encoding of datagrams, with each kind of proof, is the same as in earlier builds.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_golden::{assert_bytes, golden_path};
use cottonnotch_gossip::wire::{
    Broadcast, Draft, Header, MAX_DATAGRAM_BYTES, ReportedState, Section, read_sections,
};
use cottonnotch_gossip::{EndpointDigest, Entry, Evidence, Incarnation, Keys, Load, Strength, To};

const SECRET: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

fn incarnation() -> Incarnation {
    Incarnation { generation: 1_764_000_000_000_000, refutations: 3 }
}

fn header(strength: Strength, to_all: bool) -> Header {
    Header { strength, to_all, sender: 300, incarnation: incarnation(), counter: 70_000 }
}

fn entries() -> Vec<Entry> {
    let evidence = Evidence { full: 1, failed: 2, timed_out: 3, silent: 4, served: 5, age_tenths: 6 };
    let load = Load::from_micros_per_s(1_234_567);
    vec![
        Entry { endpoint: EndpointDigest::of("s-1"), connections: 900, load, groups: 0x8001_0203, evidence },
        Entry {
            endpoint: EndpointDigest::of("s-2"),
            connections: 0,
            load: Load::default(),
            groups: 0,
            evidence: Evidence::default(),
        },
    ]
}

fn sections() -> Vec<(&'static str, Section)> {
    let broadcast = |subject, state| Broadcast { subject, incarnation: incarnation(), state };
    let broadcasts = vec![
        broadcast(1, ReportedState::Alive),
        broadcast(200, ReportedState::Suspect),
        broadcast(3, ReportedState::Left),
    ];
    vec![
        ("ping", Section::Ping { nonce: 0x1234 }),
        ("ack", Section::Ack { nonce: 0x1234 }),
        ("ask", Section::IndirectPing { nonce: 7, target: 200 }),
        ("vouch", Section::IndirectAck { nonce: 7 }),
        ("leave", Section::Leave),
        ("rumours", Section::Broadcasts(broadcasts)),
        ("digest", Section::Digest { total: 130, entries: entries() }),
        ("digest_empty", Section::Digest { total: 0, entries: Vec::new() }),
    ]
}

fn datagram(header: &Header, keys: &Keys, to: To, sections: &[Section]) -> Vec<u8> {
    let mut draft = Draft::new(header, MAX_DATAGRAM_BYTES);
    sections.iter().for_each(|section| assert!(draft.push(section)));
    draft.finish(keys, to)
}

#[test]
fn each_section_keeps_its_bytes() {
    let header = header(Strength::Address, false);
    let made: Vec<_> = sections()
        .into_iter()
        .map(|(name, section)| (name, datagram(&header, &Keys::Address, To::One(5), &[section])))
        .collect();
    let golden = assert_bytes(&golden_path!("sections.txt"), &made);
    for (bytes, (name, section)) in golden.iter().zip(sections()) {
        let (read, length) = Header::read(bytes).unwrap();
        assert_eq!((read, read_sections(&bytes[length..]).unwrap()), (header, vec![section]), "{name}");
    }
}

#[test]
fn each_proof_keeps_its_bytes() {
    let secret = [SECRET.as_bytes().to_vec()];
    let public = Keys::public_of(SECRET.as_bytes()).unwrap();
    let shared = Keys::load(Strength::Shared, &secret, None, 0, 1).unwrap();
    let signed = Keys::load(Strength::Signed, &secret, Some(public.as_bytes()), 0, 1).unwrap();
    let sections: Vec<_> = sections().into_iter().map(|(_, section)| section).take(5).collect();
    let make = |keys: &Keys, to| datagram(&header(keys.strength(), to == To::All), keys, to, &sections);
    let made = [
        ("address", make(&Keys::Address, To::One(5))),
        ("shared_to_one", make(&shared, To::One(5))),
        ("shared_to_all", make(&shared, To::All)),
        ("signed_to_one", make(&signed, To::One(5))),
        ("signed_to_all", make(&signed, To::All)),
        ("public_key", public.into_bytes()),
    ];
    assert_bytes(&golden_path!("proofs.txt"), &made);
}
