//! The CPU cost of gossip: receiving a datagram with each strength, dropping an invalid one, and a whole period with different
//! numbers of members and endpoints.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]
#![allow(missing_docs)]

use cottonnotch_gossip::wire::{Draft, Header};
use cottonnotch_gossip::*;
use criterion::{BatchSize, Criterion, Throughput, criterion_group, criterion_main};
use std::hint::black_box;

const SECOND: Micros = 1_000_000;
const GENERATION: u64 = 1_796_000_000_000;

fn key(byte: u8) -> Vec<u8> {
    format!("{byte:02x}").repeat(32).into_bytes()
}

fn keys(strength: Strength, me: u32) -> Keys {
    let public: Vec<String> = (1..=5).map(|byte| Keys::public_of(&key(byte)).unwrap()).collect();
    let public = public.join("\n");
    match strength {
        Strength::Address => Keys::Address,
        Strength::Shared => Keys::load(strength, &[key(9), key(8)], None, me, 5).unwrap(),
        Strength::Signed => {
            Keys::load(strength, &[key(me as u8 + 1)], Some(public.as_bytes()), me, 5).unwrap()
        }
    }
}

fn settings(strength: Strength) -> Settings {
    // The limits are raised so that they don't cut short the work that is measured.
    Settings {
        strength,
        datagrams_per_s: 1 << 30,
        bytes_per_s: u32::MAX,
        ..GossipSection { strength: Some(Strength::Address), ..Default::default() }.check().unwrap().unwrap()
    }
}

fn entries(count: u32, change: u32) -> Vec<Entry> {
    let entry = |number: u32| Entry {
        endpoint: EndpointDigest::from_bits(number.wrapping_mul(2_654_435_761)),
        connections: number % 30 + 1 + (number + change) % 3,
        load: Load::from_micros_per_s(u64::from(number + change) * 9_000 + 5_000),
        groups: number.wrapping_mul(0x9e37_79b9),
        evidence: Evidence { served: 3, age_tenths: 2, ..Default::default() },
    };
    (0..count).map(entry).collect()
}

fn datagram(strength: Strength, counter: u64) -> Vec<u8> {
    let incarnation = Incarnation::first(GENERATION);
    let header = Header { strength, to_all: false, sender: 1, incarnation, counter };
    let mut draft = Draft::new(&header, 256);
    draft.entries(16, &entries(16, counter as u32));
    draft.finish(&keys(strength, 1), To::One(0))
}

fn member(strength: Strength, members: u32) -> Gossip {
    Gossip::new(settings(strength), keys(strength, 0), 0, members, GENERATION, 1, 0)
}

fn receive(c: &mut Criterion) {
    let mut group = c.benchmark_group("receive");
    group.throughput(Throughput::Elements(1));
    for strength in [Strength::Address, Strength::Shared, Strength::Signed] {
        let name = format!("{strength:?}").to_lowercase();
        let datagrams: Vec<Vec<u8>> = (1..=1_000).map(|counter| datagram(strength, counter)).collect();
        group.bench_function(&name, |b| {
            let (mut gossip, mut n) = (member(strength, 5), 0);
            b.iter(|| {
                if n == datagrams.len() {
                    (gossip, n) = (member(strength, 5), 0);
                }
                gossip.handle(0, Input::Datagram { from: Some(1), bytes: &datagrams[n] });
                n += 1;
                while let Some(output) = gossip.poll() {
                    black_box(output);
                }
            });
        });
        group.bench_function(format!("{name}-replayed"), |b| {
            let mut gossip = member(strength, 5);
            b.iter(|| gossip.handle(0, Input::Datagram { from: Some(1), bytes: &datagrams[0] }));
        });
        let mut forged = datagrams[0].clone();
        *forged.last_mut().unwrap() ^= 1;
        group.bench_function(format!("{name}-forged"), |b| {
            let mut gossip = member(strength, 5);
            b.iter(|| gossip.handle(0, Input::Datagram { from: Some(1), bytes: &forged }));
        });
    }
    group.bench_function("stranger", |b| {
        let mut gossip = member(Strength::Signed, 5);
        let bytes = datagram(Strength::Signed, 1);
        b.iter(|| gossip.handle(0, Input::Datagram { from: None, bytes: &bytes }));
    });
    group.finish();
}

/// Measures one period of one member: it replaces its local state, sends the digests and other datagrams that are due, and
/// reads as many digests as others send it. No member answers pings here, so in a large fleet some tens are suspected at any
/// time, which is the expensive case.
fn period(c: &mut Criterion) {
    let mut group = c.benchmark_group("period");
    for members in [5u32, 50, 300] {
        for endpoints in [16, 200] {
            group.bench_function(format!("{members}-members-{endpoints}-endpoints"), |b| {
                let mut gossip = member(Strength::Address, members);
                let (mut now, mut counters) = (0, vec![0u64; members as usize]);
                let mut round = 0u32;
                b.iter_batched(
                    || {
                        round += 1;
                        let from: Vec<(u32, Vec<u8>)> = (0..4)
                            .map(|n| {
                                let sender = 1 + (round * 4 + n) % (members - 1);
                                counters[sender as usize] += 1;
                                let header = Header {
                                    strength: Strength::Address,
                                    to_all: false,
                                    sender: sender as u16,
                                    incarnation: Incarnation::first(GENERATION),
                                    counter: counters[sender as usize],
                                };
                                let mut draft = Draft::new(&header, 256);
                                draft.entries(16, &entries(16, round));
                                (sender, draft.finish(&Keys::Address, To::One(0)))
                            })
                            .collect();
                        (from, entries(endpoints, round))
                    },
                    |(datagrams, own)| {
                        now += SECOND;
                        gossip.handle(now.min(gossip.next_timeout()), Input::LocalState(own));
                        for (from, bytes) in &datagrams {
                            gossip.handle(
                                now.min(gossip.next_timeout()),
                                Input::Datagram { from: Some(*from), bytes },
                            );
                        }
                        while gossip.next_timeout() <= now {
                            gossip.handle(gossip.next_timeout(), Input::Tick);
                        }
                        while let Some(output) = gossip.poll() {
                            black_box(output);
                        }
                    },
                    BatchSize::SmallInput,
                );
            });
        }
    }
    group.finish();
}

criterion_group!(benches, receive, period);
criterion_main!(benches);
