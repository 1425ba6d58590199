//! The encoding of datagrams matches the golden files, which earlier builds wrote.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_aggregation::wire::{
    Datagram, EndpointSummary, FleetSummary, Fragment, GroupReport, Report, SubsetSizes, Totals, encode_load,
    encode_rate, read, write_group_report, write_report, write_subset_sizes, write_summary,
};
use cottonnotch_aggregation::{EndpointDigest, Entry, HealthVerdict};
use cottonnotch_golden::{assert_bytes, golden_path};

fn totals() -> Totals {
    Totals { connections: 4_711, requests_per_s: 88.0, successes_per_s: 12.5, failures_per_s: 0.25 }
}

fn report(entries: u32, leaving: bool) -> Report {
    let word = |n| [HealthVerdict::Unknown, HealthVerdict::Healthy, HealthVerdict::Unhealthy][n as usize % 3];
    let entry = |n: u32| Entry {
        endpoint: EndpointDigest((n * 70_001) & 0xff_ffff),
        load: f64::from(n) * 1_000.0,
        groups: (0..n as u8 % 5).collect(),
        health: word(n),
    };
    let entries = (1..=entries).map(entry).collect();
    Report {
        sequence: 513,
        fragment: Fragment::ONLY,
        leaving,
        advance_notice: !leaving,
        next_report_in: 2_300_000,
        totals: totals(),
        entries,
    }
}

fn summary(nodes: u32) -> FleetSummary {
    let word = |n| [HealthVerdict::Unknown, HealthVerdict::Healthy, HealthVerdict::Unhealthy][n as usize % 3];
    let node = |n: u32| EndpointSummary {
        endpoint: EndpointDigest((n * 70_001) & 0xff_ffff),
        utilization: f64::from(n % 64) / 32.0,
        health: word(n),
    };
    FleetSummary {
        sequence: 513,
        fragment: Fragment::ONLY,
        incomplete: nodes == 0,
        report_interval: 1_000_000,
        members: 300,
        totals: totals(),
        mean_load: 640.0,
        endpoints: (1..=nodes).map(node).collect(),
    }
}

fn group_report() -> GroupReport {
    let groups = (1..40).map(|n| (u64::MAX / n, n as f64 * 1_600.0)).collect();
    GroupReport {
        sequence: 513,
        fragment: Fragment::ONLY,
        advance_notice: true,
        next_report_in: 2_300_000,
        groups,
    }
}

fn subset_sizes() -> SubsetSizes {
    let sizes = (1..40).map(|n| (u64::MAX / u64::from(n), 5 + n)).collect();
    SubsetSizes { sequence: 513, fragment: Fragment::ONLY, incomplete: false, sizes }
}

fn datagrams() -> Vec<(&'static str, Vec<u8>)> {
    let messages = [
        ("report_leaving", write_report(&report(0, true))),
        ("report", write_report(&report(60, false))),
        ("table_young", write_summary(&summary(0))),
        ("table", write_summary(&summary(120))),
        ("groups", write_group_report(&group_report())),
        ("homes", write_subset_sizes(&subset_sizes())),
    ];
    messages
        .into_iter()
        .flat_map(|(name, fragments)| fragments.into_iter().map(move |bytes| (name, bytes)))
        .collect()
}

/// Encodes a decoded datagram again. The content of one datagram fits into one fragment.
fn reencode(datagram: &Datagram) -> Vec<Vec<u8>> {
    match datagram {
        Datagram::Report(report) => write_report(report),
        Datagram::Summary(summary) => write_summary(summary),
        Datagram::GroupReport(groups) => write_group_report(groups),
        Datagram::SubsetSizes(sizes) => write_subset_sizes(sizes),
    }
}

#[test]
fn datagrams_keep_their_bytes_and_are_read_back() {
    let encoded = datagrams();
    let golden = assert_bytes(&golden_path!("datagrams.txt"), &encoded);
    // Byte 5 contains the index and the number of fragments. It differs, since a fragment that is encoded alone is the only
    // one.
    const FRAGMENT_OFFSET: usize = 5;
    for (bytes, (name, _)) in golden.iter().zip(&encoded) {
        let datagram = read(bytes).unwrap_or_else(|| panic!("{name} cannot be decoded"));
        let reencoded = reencode(&datagram);
        let [reencoded] = &reencoded[..] else {
            panic!("{name} is encoded as {} datagrams instead of one", reencoded.len())
        };
        assert_eq!(
            (&reencoded[..FRAGMENT_OFFSET], &reencoded[FRAGMENT_OFFSET + 1..]),
            (&bytes[..FRAGMENT_OFFSET], &bytes[FRAGMENT_OFFSET + 1..]),
            "{name}"
        );
    }
}

#[test]
fn scales_keep_their_steps() {
    let values = [0.0, 0.1, 1.0, 63.0, 64.0, 100.0, 1e3, 1e4, 1e5, 1e6, 4e6, 1e9];
    let encoded = [("load", values.map(encode_load).to_vec()), ("rate", values.map(encode_rate).to_vec())];
    assert_bytes(&golden_path!("scales.txt"), &encoded);
}
