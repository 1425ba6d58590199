//! What records cost: the loop for each call, the writer for each line, and both together with lines made on the
//! writer's thread or on the loop. Run the last group on one core (`taskset -c N`), as the proxy is.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]
#![allow(missing_docs)]

use cottonnotch_records::*;
use criterion::{BatchSize, Criterion, Throughput, criterion_group, criterion_main};
use std::hint::black_box;
use std::io::Write;
use std::sync::mpsc::sync_channel;
use std::time::{Duration, Instant};

/// Records of a set-up that goes well.
const SETUP: usize = 5;
/// Set-ups that are recorded in one go: well below what the queue holds, so that nothing is dropped.
const BURST: usize = 2_000;
const LONG: Duration = Duration::from_secs(60);

struct Names {
    class: Name,
    tenant: Name,
    endpoint: Name,
}

fn names() -> Names {
    Names { class: "note-edit".into(), tenant: "casa-coral-sul".into(), endpoint: "s-5be2a07c".into() }
}

/// The records of one set-up, as the proxy would build them.
fn setup(names: &Names, request: u64) -> [Event; SETUP] {
    let endpoint = || names.endpoint.clone();
    [
        Event::Request {
            request,
            wire_id: Hex(request.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            class: names.class.clone(),
            tenant: Some(names.tenant.clone()),
            deadline_ms: Some(1_200),
            group: Some(Hex(0x5c0f_6e1a_2b3d_4c59)),
            is_retry: false,
        },
        Event::Attempt { request, attempt: 0, endpoint: endpoint(), timeout_ms: 400, applied_rules: None },
        Event::Up { request, attempt: 0, endpoint: endpoint(), took_us: 31_245 },
        Event::Answer { request, answer: Answer::Up },
        Event::Ended { request, outcome: Outcome::Served },
    ]
}

fn open(folder: &tempfile::TempDir) -> Recorder {
    let section = RecordsSection {
        file: Some(folder.path().join("records")),
        queue_records: 65_536,
        flush_ms: 10,
        ..RecordsSection::default()
    };
    let settings = section.check().unwrap().unwrap();
    Recorder::open(&settings, Identity { name: "n3".into(), incarnation: 1, version: "0".into() }).unwrap()
}

/// Time that the loop spends on so many set-ups; the writer has caught up before each burst.
fn on_loop(recorder: &Recorder, setups: u64) -> Duration {
    let names = names();
    let (mut spent, mut left) = (Duration::ZERO, setups);
    while left > 0 {
        let burst = left.min(BURST as u64);
        let begun = Instant::now();
        for request in 0..burst {
            for event in setup(&names, request) {
                recorder.record(event);
            }
        }
        spent += begun.elapsed();
        left -= burst;
        while recorder.counts().written < recorder.counts().produced {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
    spent
}

fn lines(events: impl IntoIterator<Item = Event>, text: &mut Vec<u8>) {
    for (seq, event) in (0..).zip(events) {
        let record = Record { v: SCHEMA, seq, wall_us: 1_800_000_000_000_000, mono_us: 123_456_789, event };
        record.write_line(text).unwrap();
    }
}

fn loop_cost(c: &mut Criterion) {
    let folder = tempfile::tempdir().unwrap();
    let names = names();
    let mut group = c.benchmark_group("one set-up (5 records), on the loop");
    group.throughput(Throughput::Elements(SETUP as u64));
    let off = Recorder::off();
    group.bench_function("off, record_with", |b| {
        b.iter(|| {
            for request in 0..SETUP as u64 {
                black_box(&off).record_with(|| Event::Up {
                    request,
                    attempt: 0,
                    endpoint: names.endpoint.clone(),
                    took_us: 31_245,
                });
            }
        });
    });
    group.bench_function("events built and thrown away", |b| b.iter(|| setup(black_box(&names), 7)));
    let mut on = open(&folder);
    group.bench_function("on: record", |b| b.iter_custom(|setups| on_loop(&on, setups)));
    let counts = on.close(LONG);
    assert_eq!(counts.dropped, 0, "the queue overran, the figure is not of recording");
    let mut text = Vec::with_capacity(1 << 20);
    group.bench_function("line made on the loop instead", |b| {
        b.iter(|| {
            text.clear();
            lines(setup(&names, 7), &mut text);
            black_box(text.len())
        });
    });
    group.finish();
}

fn writer_cost(c: &mut Criterion) {
    let names = names();
    let mut group = c.benchmark_group("one set-up (5 records), on the writer");
    group.throughput(Throughput::Elements(SETUP as u64));
    let mut text = Vec::with_capacity(1 << 20);
    group.bench_function("lines", |b| {
        b.iter_batched(
            || setup(&names, 7),
            |events| {
                text.clear();
                lines(events, &mut text);
            },
            BatchSize::SmallInput,
        );
    });
    group.finish();
}

/// All that a core spends on a burst: recorded, made to lines, written to a file.
fn total_cost(c: &mut Criterion) {
    let names = names();
    let mut group = c.benchmark_group("2000 set-ups (10000 records), until written");
    group.throughput(Throughput::Elements((BURST * SETUP) as u64));
    group.sample_size(20);
    group.bench_function("lines made on the writer's thread", |b| {
        b.iter_batched(
            || {
                let folder = tempfile::tempdir().unwrap();
                (open(&folder), folder)
            },
            |(mut recorder, folder)| {
                for request in 0..BURST as u64 {
                    setup(&names, request).into_iter().for_each(|event| recorder.record(event));
                }
                assert_eq!(recorder.close(LONG).dropped, 0);
                // Its removal is not timed.
                folder
            },
            BatchSize::PerIteration,
        );
    });
    group.bench_function("lines made on the loop, blocks handed to a thread", |b| {
        b.iter_batched(
            || {
                let (blocks, incoming) = sync_channel::<Vec<u8>>(64);
                let mut file = tempfile::tempfile().unwrap();
                let writer = std::thread::spawn(move || {
                    incoming.iter().for_each(|block| file.write_all(&block).unwrap());
                    file
                });
                (blocks, writer)
            },
            |(blocks, writer)| {
                let mut text = Vec::with_capacity(70_000);
                let began = Instant::now();
                for request in 0..BURST as u64 {
                    for (seq, event) in (0..).zip(setup(&names, request)) {
                        let mono_us = began.elapsed().as_micros() as u64;
                        let record = Record { v: SCHEMA, seq, wall_us: mono_us, mono_us, event };
                        record.write_line(&mut text).unwrap();
                    }
                    if text.len() >= 65_536 {
                        blocks.send(std::mem::replace(&mut text, Vec::with_capacity(70_000))).unwrap();
                    }
                }
                blocks.send(text).unwrap();
                drop(blocks);
                writer.join().unwrap()
            },
            BatchSize::PerIteration,
        );
    });
    group.finish();
}

criterion_group!(benches, loop_cost, writer_cost, total_cost);
criterion_main!(benches);
