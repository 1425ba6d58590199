//! Tests with faulty peers: false reports, replays, forgeries, floods and other protocol versions.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod common;
use common::*;
use cottonnotch_gossip::wire::{ReportedState, Section};
use cottonnotch_gossip::*;
use rand::RngExt;

fn key(byte: u8) -> Vec<u8> {
    format!("{byte:02x}").repeat(32).into_bytes()
}

fn shared(files: &[u8]) -> Keys {
    let files: Vec<Vec<u8>> = files.iter().map(|byte| key(*byte)).collect();
    Keys::load(Strength::Shared, &files, None, 0, 5).unwrap()
}

/// The keys of a member of five. `second` adds another valid public key for member 2.
fn signed(me: u32, own: u8, second: Option<u8>) -> Keys {
    let public = |byte| Keys::public_of(&key(byte)).unwrap();
    let lines: Vec<String> = (0..5u8)
        .map(|member| match second {
            Some(second) if member == 2 => format!("{} {}", public(2 + 1), public(second)),
            _ => public(member + 1),
        })
        .collect();
    Keys::load(Strength::Signed, &[key(own)], Some(lines.join("\n").as_bytes()), me, 5).unwrap()
}

fn fleet(strength: Strength, seed: u64) -> Fleet {
    let keys = (0..5).map(|member| match strength {
        Strength::Address => Keys::Address,
        Strength::Shared => shared(&[7]),
        Strength::Signed => signed(member, member as u8 + 1, None),
    });
    let mut fleet = Fleet::with_keys(5, seed, Settings { strength, ..settings() }, keys.collect());
    fleet.run_for(10 * SECOND);
    fleet
}

const STRENGTHS: [Strength; 3] = [Strength::Address, Strength::Shared, Strength::Signed];

/// Returns the newest incarnation of the member `of` that the member `by` knows.
fn known(fleet: &Fleet, by: u32, of: u32) -> Incarnation {
    fleet.gossip(by).members().find(|member| member.0 == of).unwrap().2
}

/// Replaces the last members by faulty peers. Four times a second, each of them reports to each correct member that the first
/// `of` correct members are unreachable and have left. The reports use known incarnations, plausible later ones, and
/// generations far ahead.
fn report_falsely(fleet: &mut Fleet, faulty_peers: u32, of: u32, seconds: u32) {
    let members = fleet.members();
    let correct = members - faulty_peers;
    (correct..members).for_each(|faulty| fleet.kill(faulty));
    let mut counter = 1_000_000;
    for _ in 0..seconds * 4 {
        fleet.run_for(250 * MS);
        for faulty in correct..members {
            for to in 0..correct {
                for subject in (0..correct.min(of)).filter(|subject| *subject != to) {
                    let now = known(fleet, to, subject);
                    let said = match fleet.rng.random_range(0..4) {
                        0 => Incarnation { refutations: now.refutations.saturating_add(3), ..now },
                        1 if to == 0 => Incarnation::first(now.generation + (1 << 39)),
                        _ => now,
                    };
                    let states = [ReportedState::Suspect, ReportedState::Left];
                    let broadcasts = states.map(|state| broadcast(subject, said, state)).to_vec();
                    counter += 1;
                    let incarnation = Incarnation::first(EPOCH);
                    let one = To::One(to);
                    let datagram = write(
                        &fleet.keys[0],
                        faulty,
                        incarnation,
                        counter,
                        one,
                        &[Section::Broadcasts(broadcasts)],
                    );
                    fleet.inject(Some(faulty), to, datagram);
                }
            }
        }
    }
}

#[test]
fn two_faulty_peers_cannot_kill_a_member() {
    let few = (0..4).map(|seed| (5, 0.0, 5, seed)).chain((4..8).map(|seed| (5, 0.1, 5, seed)));
    // In large fleets, the reports are about all members, some, or one. Faulty peers that prompt all members to probe one, or
    // all others, must not keep a member from answering in time.
    let many = [(24, 0.02, 24, 8), (100, 0.02, 10, 9), (100, 0.02, 1, 10)];
    for (members, loss, of, seed) in few.chain(many) {
        let mut fleet = Fleet::new(members, seed, settings());
        fleet.network.loss = loss;
        fleet.run_for(10 * SECOND);
        report_falsely(&mut fleet, 2, of, if members < 100 { 60 } else { 30 });
        let correct = members - 2;
        let gone: Vec<Belief> =
            fleet.beliefs.iter().filter(|b| !b.3.is_active() && b.2 < correct).copied().collect();
        assert_eq!(gone, [], "seed {seed}, {members} members, loss {loss}");
        if loss == 0.0 {
            let suspected = fleet.beliefs.iter().filter(|b| b.3 == State::Suspect && b.2 < correct).count();
            assert_eq!(suspected, 0, "seed {seed}: own fresh datagrams outweigh reports");
        }
        fleet.run_for(10 * SECOND);
        // In a fleet of a hundred at 2% loss, some member is briefly suspected at almost any time.
        let well = |state: State| if members < 100 { state == State::Alive } else { state.is_active() };
        for member in 0..correct {
            let sees = (0..correct)
                .filter(|other| *other != member && well(fleet.state_seen_by(member, *other)))
                .count();
            assert_eq!(
                sees,
                correct as usize - 1,
                "seed {seed}, {members} members: {member} after the false reports"
            );
        }
    }
}

#[test]
fn two_faulty_peers_cannot_kill_a_half_reachable_member() {
    let mut fleet = Fleet::new(5, 21, settings());
    fleet.run_for(10 * SECOND);
    fleet.network.cut = vec![(0, 1), (1, 0)];
    report_falsely(&mut fleet, 2, 5, 120);
    let gone: Vec<Belief> = fleet.beliefs.iter().filter(|b| !b.3.is_active() && b.2 < 3).copied().collect();
    assert_eq!(gone, [], "seed 21: member 2 reaches both");
}

#[test]
fn faulty_peer_cannot_revive_the_dead() {
    let mut fleet = Fleet::new(5, 22, settings());
    fleet.run_for(10 * SECOND);
    fleet.kill(1);
    fleet.run_for(15 * SECOND);
    assert_eq!(fleet.count_believing(1, State::Dead), (4, 4), "seed 22");
    fleet.kill(4);
    let began = fleet.now;
    for refutations in 1..100 {
        let said = Incarnation { generation: EPOCH, refutations };
        for to in [0, 2, 3] {
            let sections = [Section::Broadcasts(vec![broadcast(1, said, ReportedState::Alive)])];
            let datagram = write(
                &Keys::Address,
                4,
                Incarnation::first(EPOCH),
                1_000 + u64::from(refutations),
                To::One(to),
                &sections,
            );
            fleet.inject(Some(4), to, datagram);
        }
        fleet.run_for(250 * MS);
    }
    let back: Vec<Belief> =
        fleet.beliefs_since(began, State::Alive).into_iter().filter(|b| b.2 == 1).collect();
    assert_eq!(back, [], "seed 22");
}

#[test]
fn faulty_peer_cannot_exhaust_incarnations() {
    let mut fleet = Fleet::new(5, 23, settings());
    fleet.run_for(10 * SECOND);
    let before = fleet.gossip(0).incarnation();
    for counter in 0..200 {
        let far = Incarnation { generation: u64::MAX - 1 - counter % 2, refutations: u16::MAX };
        let near =
            Incarnation { generation: fleet.gossip(0).incarnation().generation + (1 << 40), refutations: 9 };
        let broadcasts = [far, near].map(|said| broadcast(0, said, ReportedState::Suspect)).to_vec();
        for to in 0..4 {
            let sections = [Section::Broadcasts(broadcasts.clone())];
            let datagram =
                write(&Keys::Address, 4, Incarnation::first(EPOCH), 1_000 + counter, To::One(to), &sections);
            fleet.inject(Some(4), to, datagram);
        }
        fleet.run_for(500 * MS);
    }
    let jumps = (fleet.gossip(0).incarnation().generation - before.generation) >> 40;
    assert!(jumps <= 11, "seed 23: {jumps} generation jumps in 100 s; u64 has room for 16 million");
    assert!(
        !fleet.beliefs.iter().any(|b| b.2 == 0 && !b.3.is_active()),
        "seed 23: the member must stay active"
    );
}

#[test]
fn replayed_datagrams_are_dropped() {
    for (seed, strength) in (30..).zip(STRENGTHS) {
        let mut fleet = fleet(strength, seed);
        let said: Vec<(To, Vec<u8>)> = fleet.nodes[1].recent.iter().cloned().collect();
        fleet.kill(1);
        let began = fleet.now;
        let mut replayed = 0;
        // Datagrams are replayed again and again from the sender's address: without a proof to their original receivers, with a
        // proof all to member 0.
        while fleet.now - began < 15 * SECOND {
            for (to, bytes) in &said {
                let shown = if strength == Strength::Address { *to } else { To::One(0) };
                fleet.inject(Some(1), if let To::One(to) = shown { to } else { 0 }, bytes.clone());
                replayed += 1;
            }
            fleet.run_for(2 * SECOND);
        }
        let (see, all) = fleet.count_believing(1, State::Dead);
        assert_eq!(see, all, "seed {seed}, {strength:?}: {replayed} replays kept nobody alive");
        // A new process starts, and the datagrams of the old one are replayed.
        fleet.start(1, EPOCH + 100_000);
        fleet.run_for(5 * SECOND);
        let superseded = fleet.gossip(0).counts().dropped(DropReason::Superseded);
        for (_, bytes) in said.iter().filter(|(to, _)| *to == To::One(0)) {
            fleet.inject(Some(1), 0, bytes.clone());
        }
        fleet.run_for(5 * SECOND);
        assert!(
            fleet.gossip(0).counts().dropped(DropReason::Superseded) > superseded,
            "seed {seed}, {strength:?}"
        );
        assert_eq!(known(&fleet, 0, 1).generation, EPOCH + 100_000, "seed {seed}, {strength:?}");
    }
}

#[test]
fn impersonation_is_dropped() {
    for (seed, strength) in (40..).zip(STRENGTHS) {
        let mut fleet = fleet(strength, seed);
        let faulty_peers = fleet.keys[3].clone();
        let farewell = |counter| {
            write(&faulty_peers, 1, Incarnation::first(EPOCH), counter, To::One(0), &[Section::Leave])
        };
        // The datagram comes from the faulty peer's own address, which does not match the ordinal in the header.
        fleet.inject(Some(3), 0, farewell(1_000));
        fleet.run_for(10 * MS);
        assert_eq!(fleet.gossip(0).counts().dropped(DropReason::WrongSender), 1, "seed {seed}, {strength:?}");
        assert_eq!(fleet.state_seen_by(0, 1), State::Alive, "seed {seed}, {strength:?}");
        // The datagram comes from the other member's address, as if the faulty peer could send from it. Only a signature
        // detects this.
        fleet.inject(Some(1), 0, farewell(1_001));
        fleet.run_for(10 * MS);
        let (forged, state) =
            (fleet.gossip(0).counts().dropped(DropReason::Forged), fleet.state_seen_by(0, 1));
        match strength {
            Strength::Signed => assert_eq!((forged, state), (1, State::Alive), "seed {seed}"),
            _ => assert_eq!(
                (forged, state),
                (0, State::Left),
                "seed {seed}, {strength:?}: a known limitation of this strength"
            ),
        }
    }
}

#[test]
fn invalid_datagrams_are_counted_and_unanswered() {
    let mut fleet = fleet(Strength::Shared, 50);
    let good = fleet.nodes[1].recent.iter().rfind(|(to, _)| *to == To::One(0)).unwrap().1.clone();
    let newest = fleet.gossip(0).freshness(1).unwrap();
    let mut expect = |what: &str, from: Option<u32>, bytes: &[u8], reason: DropReason| {
        let mut gossip = fleet.nodes[0].gossip.take().unwrap();
        while gossip.poll().is_some() {}
        let before = gossip.counts();
        gossip.handle(fleet.now, Input::Datagram { from, bytes });
        let after = gossip.counts();
        assert_eq!(after.dropped(reason), before.dropped(reason) + 1, "{what}");
        assert_eq!(after.dropped_in_all(), before.dropped_in_all() + 1, "{what}");
        assert_eq!(after.sent, before.sent, "{what} is not answered");
        assert_eq!(gossip.poll(), None, "{what}");
        assert_eq!(gossip.freshness(1).unwrap().1, newest.1, "{what}");
        fleet.nodes[0].gossip = Some(gossip);
    };
    expect("an unknown sender", None, &good, DropReason::UnknownSender);
    expect("an unconfigured ordinal", Some(5), &good, DropReason::UnknownSender);
    expect("an ordinal out of range", Some(70_000), &good, DropReason::UnknownSender);
    expect("its own ordinal", Some(0), &good, DropReason::UnknownSender);
    expect("an empty datagram", Some(1), &[], DropReason::Length);
    expect("a byte too long", Some(1), &[1; 257], DropReason::Length);
    expect("zeros", Some(1), &[0; 100], DropReason::Malformed);
    expect("another strength", Some(1), &[&[1, 0], &good[2..]].concat(), DropReason::WrongStrength);
    expect("a replayed datagram", Some(1), &good, DropReason::Replayed);
    // The counter is new, so that only the proof can show that a datagram is invalid.
    let new =
        write(&shared(&[7]), 1, Incarnation::first(EPOCH), 5_000, To::One(0), &[Section::Ping { nonce: 1 }]);
    expect("cut within the header", Some(1), &new[..17], DropReason::Length);
    for cut in [1, 4] {
        expect("cut at the end", Some(1), &new[..new.len() - cut], DropReason::Forged);
    }
    let mut changed = new.clone();
    changed[new.len() - 20] ^= 1;
    expect("changed", Some(1), &changed, DropReason::Forged);
    let strangers = write(&shared(&[8]), 1, Incarnation::first(EPOCH), 5_000, To::One(0), &[Section::Leave]);
    expect("under another key", Some(1), &strangers, DropReason::Forged);
    // None of the dropped datagrams advanced the replay window.
    fleet.inject(Some(1), 0, new);
    let before = fleet.gossip(0).counts().sent;
    fleet.run_for(MS);
    assert_eq!(fleet.gossip(0).counts().sent, before + 1, "the ping is answered");
}

#[test]
fn newer_programs_datagrams_are_understood() {
    let mut fleet = fleet(Strength::Address, 60);
    let ping = Section::Ping { nonce: 77 };
    let newer = |counter| {
        let mut bytes = write(
            &Keys::Address,
            1,
            Incarnation::first(EPOCH),
            counter,
            To::One(0),
            std::slice::from_ref(&ping),
        );
        // A section of an unknown kind, and a known section with an additional field.
        bytes.extend([200, 3, 1, 2, 3, 2, 4, 1, 0, 9, 9]);
        bytes
    };
    let before = fleet.gossip(0).counts();
    fleet.inject(Some(1), 0, newer(5_000));
    fleet.run_for(MS);
    assert_eq!(fleet.gossip(0).counts().sent, before.sent + 1, "the known section is answered");
    let mut version_2 = newer(5_001);
    version_2[0] = 2;
    fleet.inject(Some(1), 0, version_2);
    fleet.run_for(MS);
    assert_eq!(
        fleet.gossip(0).counts().sent,
        before.sent + 1,
        "a datagram of another version is not answered"
    );
    assert_eq!(fleet.gossip(0).counts().dropped(DropReason::NewerVersion), 1);
}

#[test]
fn flood_from_one_peer_harms_no_other() {
    for (seed, strength) in (70..).zip(STRENGTHS) {
        let mut fleet = fleet(strength, seed);
        let began = fleet.now;
        let keys = fleet.keys[4].clone();
        fleet.kill(4);
        let mut counter = 10_000;
        for _ in 0..200 {
            for _ in 0..100 {
                counter += 1;
                let ask = [Section::Ping { nonce: 1 }, Section::IndirectPing { nonce: 2, target: 1 }];
                let ping = write(&keys, 4, Incarnation::first(EPOCH), counter, To::One(0), &ask);
                fleet.inject(Some(4), 0, ping);
            }
            fleet.run_for(50 * MS);
        }
        // Of 20,000 datagrams in 10 s, 32 per second are processed. The simulation itself checks the bandwidth limit.
        let flood = fleet.gossip(0).counts().dropped(DropReason::RateLimited);
        assert!(flood >= 20_000 - 12 * 32, "seed {seed}, {strength:?}: {flood} dropped");
        let blamed: Vec<Belief> = fleet.beliefs_since(began, State::Dead);
        assert!(blamed.iter().all(|b| b.2 == 4), "seed {seed}, {strength:?}: {blamed:?}");
        assert!(
            (1..4).all(|other| fleet.state_seen_by(0, other) == State::Alive),
            "seed {seed}, {strength:?}"
        );
    }
}

#[test]
fn shared_keys_rotate_without_a_gap() {
    let mut fleet = fleet(Strength::Shared, 80);
    let began = fleet.now;
    for step in [&[7, 8][..], &[8, 7], &[8]] {
        for member in 0..5 {
            fleet.input(member, Input::Keys(shared(step)));
            fleet.run_for(1_300 * MS);
        }
    }
    assert_eq!(fleet.beliefs_since(began, State::Suspect), [], "seed 80");
    assert!((0..5).all(|member| fleet.gossip(member).counts().dropped(DropReason::Forged) == 0), "seed 80");
    // The other members drop the datagrams of a member that has only the old key, and declare it dead.
    fleet.input(2, Input::Keys(shared(&[7])));
    fleet.run_for(20 * SECOND);
    assert_eq!(fleet.count_believing(2, State::Dead).0, 4, "seed 80");
    assert!(fleet.gossip(0).counts().dropped(DropReason::Forged) > 0);
}

#[test]
fn signing_key_rotates_without_a_gap() {
    let mut fleet = fleet(Strength::Signed, 81);
    let began = fleet.now;
    for member in 0..5 {
        fleet.input(member, Input::Keys(signed(member, member as u8 + 1, Some(99))));
        fleet.run_for(1_300 * MS);
    }
    fleet.input(2, Input::Keys(signed(2, 99, Some(99))));
    fleet.run_for(10 * SECOND);
    assert_eq!(fleet.beliefs_since(began, State::Suspect), [], "seed 81");
    assert!((0..5).all(|member| fleet.gossip(member).counts().dropped(DropReason::Forged) == 0), "seed 81");
}
