use super::*;
use proptest::prelude::*;

fn entry() -> impl Strategy<Value = Entry> {
    (0..1_u32 << 24, 0.0..3.8e6, prop::collection::vec(any::<u8>(), 0..40), 0..3_u8).prop_map(
        |(endpoint, load, groups, bits)| Entry {
            endpoint: EndpointDigest(endpoint),
            load,
            groups,
            health: HealthVerdict::from_bits(bits),
        },
    )
}

proptest! {
    #[test]
    fn reports_round_trip(entries in prop::collection::vec(entry(), 0..60), sequence: u16) {
        let totals = Totals { connections: 70_000, requests_per_s: 3.0, successes_per_s: 0.0, failures_per_s: 100.0 };
        let next_report_in = 2_300_000;
        let report =
            Report { sequence, fragment: Fragment::ONLY, leaving: false, advance_notice: true, next_report_in, totals, entries };
        let fragments = write_report(&report);
        let mut decoded = Vec::new();
        for (index, bytes) in fragments.iter().enumerate() {
            prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
            let Some(Datagram::Report(read)) = read(bytes) else { panic!("datagram cannot be decoded") };
            prop_assert_eq!(read.fragment, Fragment { index: index as u8, count: fragments.len() as u8 });
            prop_assert!((read.totals.requests_per_s / 3.0 - 1.0).abs() < 0.05 && read.totals.connections == 70_000);
            prop_assert_eq!(read.next_report_in, next_report_in);
            prop_assert!(read.sequence == sequence && read.advance_notice && !read.leaving);
            decoded.extend(read.entries);
        }
        for (sent, read) in report.entries.iter().zip(&decoded) {
            prop_assert_eq!(sent.endpoint, read.endpoint);
            prop_assert_eq!(sent.health, read.health);
            prop_assert!(sent.load < 64.0 || (read.load / sent.load - 1.0).abs() < 0.023);
            prop_assert_eq!(&sent.groups[..sent.groups.len().min(31)], &read.groups[..]);
        }
        prop_assert!(decoded.len() == report.entries.len() || fragments.len() == MAX_FRAGMENTS);
    }

    #[test]
    fn group_reports_and_subset_sizes_round_trip(
        entries in prop::collection::vec((any::<u64>(), 0.0..1e9, any::<u32>()), 0..400),
        sequence: u16,
        flag: bool,
    ) {
        let next_report_in = 6_000_000;
        let groups = entries.iter().map(|(group, load, _)| (*group, *load)).collect();
        let report = GroupReport { sequence, fragment: Fragment::ONLY, advance_notice: flag, next_report_in, groups };
        let (mut decoded, mut decoded_sizes) = (Vec::new(), Vec::new());
        let fragments = write_group_report(&report);
        for (index, bytes) in fragments.iter().enumerate() {
            prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
            let Some(Datagram::GroupReport(read)) = read(bytes) else { panic!("datagram cannot be decoded") };
            prop_assert_eq!(read.fragment, Fragment { index: index as u8, count: fragments.len() as u8 });
            prop_assert!(read.sequence == sequence && read.advance_notice == flag && read.next_report_in == next_report_in);
            decoded.extend(read.groups);
        }
        prop_assert!(decoded.len() == entries.len() || fragments.len() == MAX_FRAGMENTS && decoded.len() >= 288);
        for ((group, load, _), (written, read)) in entries.iter().zip(&decoded) {
            prop_assert!(group == written && (load - read).abs() <= GROUP_LOAD_STEP / 2.0);
        }
        let sizes = entries.iter().map(|(group, _, size)| (*group, *size)).collect();
        let answer = SubsetSizes { sequence, fragment: Fragment::ONLY, incomplete: flag, sizes };
        let fragments = write_subset_sizes(&answer);
        for bytes in &fragments {
            prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
            let Some(Datagram::SubsetSizes(read)) = read(bytes) else { panic!("datagram cannot be decoded") };
            prop_assert!(read.incomplete == flag && read.sequence == sequence);
            decoded_sizes.extend(read.sizes);
        }
        prop_assert!(decoded_sizes[..] == answer.sizes[..decoded_sizes.len()]);
        prop_assert!(decoded_sizes.len() == entries.len() || fragments.len() == MAX_FRAGMENTS);
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut with_valid_header = vec![VERSION, bytes.first().copied().unwrap_or(0) % 5];
        with_valid_header.extend(&bytes);
        read(&bytes);
        if let Some(Datagram::Report(report)) = read(&with_valid_header) {
            prop_assert!(report.fragment.index < report.fragment.count);
        }
    }
}

/// A summary leaves out endpoints with neither a reportable utilization nor a verdict.
#[test]
fn summary_names_full_or_judged_endpoints() {
    let node = |n, utilization, health| EndpointSummary { endpoint: EndpointDigest(n), utilization, health };
    let nodes = vec![
        node(1, 0.2, HealthVerdict::Unknown),
        node(2, 0.2, HealthVerdict::Unhealthy),
        node(3, 0.93, HealthVerdict::Healthy),
        node(4, 9.0, HealthVerdict::Unknown),
    ];
    let totals = Totals { connections: 1, ..Totals::default() };
    let summary = FleetSummary {
        sequence: 9,
        fragment: Fragment::ONLY,
        incomplete: false,
        report_interval: 1_500_000,
        members: 300,
        totals,
        mean_load: 40_000.0,
        endpoints: nodes,
    };
    let Some(Datagram::Summary(decoded)) = read(&write_summary(&summary)[0]) else {
        panic!("datagram cannot be decoded")
    };
    let listed: Vec<u32> = decoded.endpoints.iter().map(|node| node.endpoint.0).collect();
    assert_eq!(listed, [4, 3, 2], "sorted by descending utilization");
    assert!(
        (decoded.endpoints[1].utilization - 0.93).abs() <= UTILIZATION_STEP / 2.0
            && decoded.endpoints[1].health == HealthVerdict::Healthy
    );
    assert!((decoded.mean_load / 40_000.0 - 1.0).abs() < 0.023, "{}", decoded.mean_load);
    assert_eq!(decoded.endpoints[2].utilization, 0.0, "listed only for its health");
    assert_eq!((decoded.members, decoded.sequence, decoded.report_interval), (300, 9, 1_500_000));
    assert!(read(&[1, 2, 0, 0, 0, 0]).is_none(), "version of the gossip protocol");
}
