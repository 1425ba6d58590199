//! Measures the time to parse a list by its length, and the time of a proxy's once-a-second work by its connections and by render
//! nodes. Prints a JSON line for each point; `docs/CAPACITY.md` quotes the results.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]
#![allow(missing_docs)]

use cottonnotch_decision::{Micros, RequestId, ServerId};
use cottonnotch_proxy_core::{EndpointUpdate, FleetUtilisation, LatencySettings, MessageLatencies};
use std::hint::black_box;
use std::time::Instant;

const S: Micros = 1_000_000;
/// 440 proxies with an objective of 60 ms.
const SETTINGS: LatencySettings =
    LatencySettings { proxies: 440, objective: Some(60_000), sizes_are_listed: true };
/// Number of measurements of each point.
const ROUNDS: usize = 9;
/// Number of groups. With five render nodes per group there are 62,000 pairs.
const GROUPS: u64 = 12_400;

fn list(members: usize) -> String {
    let one = |number: usize| {
        let (high, low) = (number >> 8, number & 0xff);
        let (hall, cell) = ((b'a' + (number % 6) as u8) as char, number / 8);
        format!(
            r#"{{"id":"render-{number}","host_port":"10.20.{high}.{low}:7400","locality":"hall-{hall}","flavor":"std-2c","cell":{cell},"phase":"up","size":2.0,"up_since_ms":1796000000000}}"#
        )
    };
    let all: Vec<String> = (0..members).map(one).collect();
    format!(r#"{{"revision":1234567,"complete":true,"members":[{}]}}"#, all.join(","))
}

/// Returns the minimum and median duration of `work`, in microseconds.
fn timed(mut work: impl FnMut()) -> [f64; 2] {
    let round = |_| {
        let start = Instant::now();
        work();
        start.elapsed().as_secs_f64() * 1e6
    };
    let mut all: Vec<f64> = (0..ROUNDS).map(round).collect();
    all.sort_unstable_by(f64::total_cmp);
    [all[0], all[ROUNDS / 2]]
}

fn lists() {
    for members in [16, 90, 256, 1_024, 2_048, 4_096, 20_000] {
        let text = list(members);
        let [least, median] = timed(|| {
            let mut bytes = text.clone().into_bytes();
            black_box(EndpointUpdate::parse(&mut bytes).expect("a valid list"));
        });
        let bytes = text.len();
        println!(
            r#"{{"what":"list","members":{members},"bytes":{bytes},"bytes_a_member":{:.1},"parse_least_us":{least:.0},"parse_median_us":{median:.0},"to_440_callers_mb":{:.1}}}"#,
            bytes as f64 / members as f64,
            bytes as f64 * 440.0 / 1e6
        );
    }
}

/// Creates evenly distributed connections, each to one of the five render nodes of its group.
fn latencies(nodes: u32, connections: u64) -> MessageLatencies {
    let mut latencies = MessageLatencies::new(SETTINGS);
    (0..nodes).for_each(|node| latencies.endpoint_listed(ServerId(node), 2.0));
    for id in 0..connections {
        let group = id.wrapping_mul(0x9e37_79b9_7f4a_7c15) % GROUPS;
        let home = (group * 5 + id % 5).wrapping_mul(0xd134_2543_de82_ef95) >> 20;
        let server = ServerId((home % u64::from(nodes)) as u32);
        latencies.connection_opened(S, RequestId(id), server, Some(group), Some(2_000));
        latencies.load_changed(RequestId(id), 100.0);
    }
    latencies
}

/// The data from which the reports are made: only this proxy's own data (no fresh snapshot), a snapshot of the fleet, or a
/// snapshot and the latencies that render nodes advertise.
#[derive(Clone, Copy)]
enum DataSource {
    Alone,
    Snapshot,
    SnapshotAndAdvertised,
}

impl DataSource {
    /// Returns the name in the printed results, which must not change when a variant is renamed.
    fn name(self) -> &'static str {
        match self {
            DataSource::Alone => "Alone",
            DataSource::Snapshot => "View",
            DataSource::SnapshotAndAdvertised => "ViewAndTold",
        }
    }
}

fn each_second() {
    for known in [DataSource::Alone, DataSource::Snapshot, DataSource::SnapshotAndAdvertised] {
        for nodes in [90, 1_024, 4_096] {
            for connections in [1_000, 10_000, 45_455, 90_909] {
                second(known, nodes, connections);
            }
        }
    }
}

fn second(known: DataSource, nodes: u32, connections: u64) {
    let mut latencies = latencies(nodes, connections);
    let mut now = 100 * S;
    if !matches!(known, DataSource::Alone) {
        let ratios = (0..nodes).step_by(3).map(|node| (ServerId(node), 0.6)).collect();
        latencies.fleet = Some(FleetUtilisation::new(now, 1_000 * S, 100.0, ratios));
    }
    let [_, due_reports] = timed(|| {
        now += S;
        if matches!(known, DataSource::SnapshotAndAdvertised) {
            (0..nodes).for_each(|node| {
                black_box(latencies.latency_advertised(now, ServerId(node), 5_000));
            });
        }
        black_box(latencies.due_reports(now));
    });
    let [_, report] = timed(|| {
        black_box(latencies.established_by_group(now));
    });
    let [_, groups] = timed(|| {
        black_box(latencies.load_by_group(now));
    });
    println!(
        r#"{{"what":"each second","known":"{}","nodes":{nodes},"connections":{connections},"n":{ROUNDS},"notes_median_us":{due_reports:.0},"report_median_us":{report:.0},"groups_median_us":{groups:.0}}}"#,
        known.name()
    );
}

fn main() {
    lists();
    each_second();
}
